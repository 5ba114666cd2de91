package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/routing"
)

// stop calls Stop on another goroutine and returns holdAfterDrain after idle clients were closed; before that, the gateway serves
// as usual. ended is closed when Stop has returned.
func (w *testGateway) stop() (ended chan struct{}) {
	w.t.Helper()
	idle := w.raw()
	w.stopped = true
	ended = make(chan struct{})
	go func() {
		w.gateway.Stop()
		close(ended)
	}()
	idle.expectEnd()
	time.Sleep(holdAfterDrain)
	return ended
}

// holdAfterDrain is how long a test delays its request after idle clients were closed. By then a gateway that fails to wait for
// requests in flight has gone on to the next step of the shutdown. A gateway that does wait waits for longer than this.
const holdAfterDrain = 100 * time.Millisecond

// wantServed reads one answer and checks that its value ends with the given text.
func (c *clientConn) wantServed(value string) {
	c.t.Helper()
	if kinds, bodies := c.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], value) {
		c.t.Errorf("got %s %.200q, want %q", kinds, bodies, value)
	}
}

// A request that was read but has not reached the routing core when Stop begins is still routed and answered. This test and the
// next two fail if Stop does not wait for clients with requests in flight.
func TestStopBeforeARequestIsRouted(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.raw()
	held, release := make(chan struct{}), make(chan struct{})
	go w.gateway.owner.Call(func(*routing.Core) {
		close(held)
		<-release
	})
	<-held
	c.Write(query(writeQuery("x")))
	eventually(t, func() bool { return w.gateway.clients.Busy() == 1 }, func() string { return "the request was not read" })
	ended := w.stop()
	close(release)
	c.wantServed("value of x")
	<-ended
}

// A request that waits for a connection to a server is sent once the connection is up, even while the gateway is stopping.
func TestStopWhileAConnectionComesUp(t *testing.T) {
	w, c, server := writeToConnectingPrimary(t)
	ended := w.stop()
	server.Write([]byte{'R', 0, 0, 0, 8, 0, 0, 0, 0, 'S', 0, 0, 0, 17, 'r', 'o', 'l', 'e', 0, 'p', 'r', 'i', 'm', 'a', 'r', 'y', 0})
	server.Write([]byte{'Z', 0, 0, 0, 5, 'I'})
	if _, err := io.ReadFull(server, make([]byte, 5)); err != nil {
		t.Fatalf("nothing was sent: %v", err)
	}
	server.Write(append(fake.RowMessages([]byte("late")), 'Z', 0, 0, 0, 5, 'I'))
	c.wantServed("late")
	<-ended
}

// A retry that becomes due while the gateway is stopping is sent.
func TestStopBeforeARetry(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) {
		c.InForce.Settings.MaxAttempts = 1 << 20
		for i := range c.InForce.Settings.Classes {
			c.InForce.Settings.Classes[i].LatencyObjective = 100_000 // the delays between attempts depend on it
		}
	})
	w.replica.SetQueryHandler(func(q *fake.Query) { q.ReplyError("25006") })
	rejected := make(chan struct{}, 1024)
	w.primary.SetQueryHandler(func(q *fake.Query) {
		q.ReplyError("53300")
		rejected <- struct{}{}
	})
	c := w.raw()
	c.Write(query(strings.Replace(writeQuery("x"), "d=5000", "d=20000", 1)))
	<-rejected
	ended := w.stop()
	w.primary.SetQueryHandler(func(q *fake.Query) { q.ReplyRow([]byte("at last")) })
	c.wantServed("at last")
	<-ended
}

// A watch is reset right before a server begins to drain. The gateway opens a new watch and learns of the drain, so that no
// request is sent to the server. The same holds if the new watch is silent at first.
func TestWatchResetBeforeADrain(t *testing.T) {
	for _, answer := range []string{"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		w := newTestGateway(t, func(c *config.Config) {}, func(g *Gateway) { g.discovery.Limits.Answer = 200 * time.Millisecond })
		w.lists(formFull, 1)
		w.discovery.SetRawResponse(answer)
		w.discovery.ResetConns()
		draining := w.targets()[1]
		draining.State = "draining"
		w.discovery.SetEndpoints(w.targets()[0], draining)
		if answer != "" {
			w.lists(formFailed, 2)
			w.discovery.SetRawResponse("")
		}
		w.lists(formFull, 2)
		w.expectAnswer(w.dial(), readQuery("a"), "value of a", "")
		if n := len(w.replica.Queries()); n != 0 {
			t.Error("a read went to a draining server")
		}
	}
}

// If a client repeats a request under a new id on the same connection before the first request has ended, both are routed, and
// each id is sent once.
func TestRepeatBeforeTheFirstHasEnded(t *testing.T) {
	w := newTestGateway(t, nil)
	hold, arrived, release := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	c := w.raw()
	c.Write(query(writeQuery("first")))
	<-arrived
	again := strings.Replace(writeQuery("again"), "cluster=7", "cluster=7,r=1", 1)
	c.Write(query(again))
	if id := <-arrived; id != "again" {
		t.Errorf("%s was sent", id)
	}
	release()
	c.wantServed("value of first")
	c.wantServed("value of again")
	if n := len(w.primary.Queries()); n != 2 {
		t.Errorf("%d statements", n)
	}
}
