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

// stop begins a stop, and returns once it has closed the clients that rest: until then the gateway serves as before.
func (w *testGateway) stop() (ended chan struct{}) {
	w.t.Helper()
	resting := w.raw()
	w.stopped = true
	ended = make(chan struct{})
	go func() {
		w.gateway.Stop()
		close(ended)
	}()
	resting.expectEnd()
	time.Sleep(holdAfterDrain)
	return ended
}

// holdAfterDrain is how long a test holds its request up behind the closing of the clients that rest, so that a gateway that
// does not wait for requests under way is past that by then. One that does has longer to wait than this.
const holdAfterDrain = 100 * time.Millisecond

// wantServed reads one answer and its value's end.
func (c *clientConn) wantServed(value string) {
	c.t.Helper()
	if kinds, bodies := c.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], value) {
		c.t.Errorf("got %s %.200q, want %q", kinds, bodies, value)
	}
}

// A request that was read and is not with routing yet when the stop begins is routed and answered. This and the next two fail
// where the stop does not wait for clients with requests under way.
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

// One that waits for its connection to come up is sent once it has, also while the gateway stops.
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

// A further attempt that falls due while the gateway stops is made.
func TestStopBeforeARetry(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) {
		c.InForce.Settings.MaxAttempts = 1 << 20
		for i := range c.InForce.Settings.Classes {
			c.InForce.Settings.Classes[i].LatencyObjective = 100_000 // the pauses between attempts follow it
		}
	})
	w.replica.SetQueryHandler(func(q *fake.Query) { q.ReplyError("25006") })
	turnedAway := make(chan struct{}, 1024)
	w.primary.SetQueryHandler(func(q *fake.Query) {
		q.ReplyError("53300")
		turnedAway <- struct{}{}
	})
	c := w.raw()
	c.Write(query(strings.Replace(writeQuery("x"), "d=5000", "d=20000", 1)))
	<-turnedAway
	ended := w.stop()
	w.primary.SetQueryHandler(func(q *fake.Query) { q.ReplyRow([]byte("at last")) })
	c.wantServed("at last")
	<-ended
}

// A watch that is reset right before servers begin to drain is opened again, and what it missed is heard: nothing goes to
// them. The same when nothing but silence comes from the new watch at first.
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

// A client that comes again on the same connection before its first request has ended, with a new id, is asked beside it;
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
