package gateway

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/routing"
)

// The functions below encode a client's messages without the gateway's codec, so that a fault of the codec is noticed.

func packet(code uint32, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
	return append(binary.BigEndian.AppendUint32(b, code), rest...)
}

func startup() []byte { return packet(3<<16, "user\x00backend\x00database\x00store\x00\x00") }

func typed(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

func query(sql string) []byte { return typed('Q', sql+"\x00") }

// clientConn is a client's connection that is read message by message.
type clientConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (w *testGateway) open() *clientConn {
	w.t.Helper()
	nc, err := net.Dial("tcp", w.gateway.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(testTimeout))
	w.t.Cleanup(func() { nc.Close() })
	return &clientConn{nc, w.t, bufio.NewReader(nc)}
}

// raw opens a connection and completes the start-up.
func (w *testGateway) raw() *clientConn {
	w.t.Helper()
	c := w.open()
	c.Write(startup())
	c.readUntil('Z')
	return c
}

// readMessage reads one message.
func (c *clientConn) readMessage() (byte, string, error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return 0, "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err := io.ReadFull(c.r, body)
	return head[0], string(body), err
}

// readUntil reads messages up to and including one of a type, or a fatal error, and returns the types and bodies of all of them.
func (c *clientConn) readUntil(kind byte) (kinds string, bodies []string) {
	c.t.Helper()
	kinds, bodies, err := c.tryReadUntil(kind)
	if err != nil {
		c.t.Fatalf("after %q: %v", kinds, err)
	}
	return kinds, bodies
}

// tryReadUntil does the work of readUntil and returns the error with which the connection ended.
func (c *clientConn) tryReadUntil(kind byte) (kinds string, bodies []string, err error) {
	for {
		k, body, err := c.readMessage()
		if err != nil {
			return kinds, bodies, err
		}
		kinds, bodies = kinds+string(k), append(bodies, body)
		if k == kind || k == 'E' && strings.Contains(body, "SFATAL\x00") {
			return kinds, bodies, nil
		}
	}
}

// expectEnd checks that the gateway closes the connection without a further message.
func (c *clientConn) expectEnd() {
	c.t.Helper()
	if k, body, err := c.readMessage(); err == nil {
		c.t.Errorf("got %q %q, want the connection's end", k, body)
	}
}

// blockingHandler returns a query handler that sends each query's id to arrived and answers only after release is called, at the
// latest when the test ends.
func blockingHandler(t *testing.T) (handle func(*fake.Query), arrived chan string, release func()) {
	arrived, gate := make(chan string, 1024), make(chan struct{})
	release = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(release)
	return func(q *fake.Query) {
		arrived <- q.ID()
		<-gate
		q.ReplyRow([]byte("value of " + q.ID()))
	}, arrived, release
}

func TestFirstQueryBehindStartup(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.open()
	c.Write(append(startup(), query(readQuery("a"))...))
	c.readUntil('Z')
	if kinds, bodies := c.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], "value of a") {
		t.Errorf("%s %q", kinds, bodies)
	}
}

func TestEncryptionIsDeclined(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.open()
	for _, code := range []uint32{1234<<16 | 5680, 1234<<16 | 5679} {
		c.Write(packet(code, ""))
		if b, err := c.r.ReadByte(); err != nil || b != 'N' {
			t.Fatalf("%q, %v", b, err)
		}
	}
	c.Write(startup())
	c.readUntil('Z')
	cancel := w.open()
	cancel.Write(packet(1234<<16|5678, "12345678"))
	cancel.expectEnd()
	w.expectLogged(`"party":"client"`, `"reason":"cancel_request"`)
	c.Write(typed('X', ""))
	c.expectEnd()
	w.expectLogged(`"party":"client"`, `"reason":"terminate"`)
}

// Pipelined queries are answered in the order in which they were sent, even if a later one could have been answered sooner.
func TestPipelining(t *testing.T) {
	w := newTestGateway(t, nil)
	slow := make(chan struct{})
	w.primary.SetQueryHandler(func(q *fake.Query) {
		<-slow
		q.ReplyRow([]byte("value of " + q.ID()))
	})
	c := w.raw()
	var all []byte
	all = append(all, query(writeQuery("w1"))...)
	for i := range 60 { // more than fit into one buffer
		key := strings.Repeat("k", 250)
		all = append(all, query(strings.Replace(readQuery(fmt.Sprint("r", i)), "'k'", "'"+key+"'", 1))...)
	}
	c.Write(append(all, query("")...))
	w.expectLogged("started")
	close(slow)
	_, bodies := c.readUntil('Z')
	if !strings.HasSuffix(bodies[1], "value of w1") {
		t.Fatalf("%q", bodies)
	}
	for i := range 60 {
		if _, bodies := c.readUntil('Z'); !strings.HasSuffix(bodies[1], fmt.Sprint("value of r", i)) {
			t.Fatalf("%d: %q", i, bodies)
		}
	}
	if kinds, _ := c.readUntil('Z'); kinds != "IZ" {
		t.Errorf("empty query: %s", kinds)
	}
}

// Pipelined queries are sent to servers at once, even while earlier ones wait for their answers, and are answered in order. The
// error for an invalid query keeps its place in that order too. When the client disconnects, all of its queries end.
func TestQueriesSentAheadDoNotWait(t *testing.T) {
	w := newTestGateway(t, nil)
	hold, arrived, release := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	c := w.raw()
	c.Write(append(append(append(query(writeQuery("w1")), query(readQuery("r1"))...), query("nonsense")...), query(writeQuery("w2"))...))
	for _, id := range []string{"w1", "w2"} {
		if got := <-arrived; got != id {
			t.Errorf("the primary received %s, want %s", got, id)
		}
	}
	eventually(t, func() bool { return w.counts().Answers[routing.AnswerServed][0] == 1 },
		func() string { return "the read after the write was not served" })
	release()
	for _, want := range []string{"value of w1", "value of r1", "08P01", "value of w2"} {
		if kinds, bodies := c.readUntil('Z'); !strings.Contains(strings.Join(bodies, ""), want) {
			t.Errorf("%s %q, want %s", kinds, bodies, want)
		}
	}

	hold, arrived, _ = blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	leaving := w.raw()
	var all []byte
	for i := range 20 {
		all = append(all, query(writeQuery(fmt.Sprint("g", i)))...)
	}
	leaving.Write(all)
	<-arrived
	eventually(t, func() bool { return w.counts().Requests[1] == 22 }, func() string { return "not all queries were routed" })
	leaving.Close()
	eventually(t, func() bool { return w.counts().Disconnects[1] == 20 && w.gateway.buffers.Reserved() == 0 },
		func() string { return fmt.Sprintf("%+v, %d bytes held", w.counts(), w.gateway.buffers.Reserved()) })
}

// Hundreds of pipelined queries are all answered, although only some of them are routed at the same time.
func TestMoreQueriesAheadThanAreRoutedAtOnce(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.raw()
	const n = 500
	go func() {
		var all []byte
		for i := range n {
			all = append(all, query(readQuery(fmt.Sprint("q", i)))...)
		}
		c.Write(all)
	}()
	for i := range n {
		kinds, bodies := c.readUntil('Z')
		if s := strings.Join(bodies, ""); !strings.Contains(s, fmt.Sprint("value of q", i)) && !strings.Contains(s, "C53300") {
			t.Fatalf("%d: %s %q", i, kinds, bodies)
		}
	}
}

func TestBadInput(t *testing.T) {
	w := newTestGateway(t, nil)
	other := w.dial()
	for _, c := range []struct {
		name string
		in   []byte
		code string
		live bool // the connection stays open
	}{
		{"no comment", query("SELECT 1"), "08P01", true},
		{"unknown class", query(strings.Replace(readQuery("a"), "c=look", "c=nothing", 1)), "22023", true},
		{"write of a class that reads", query(strings.Replace(writeQuery("a"), "c=put", "c=look", 1)), "22023", true},
		{"two statements", query(readQuery("a") + "; DROP TABLE kv"), "08P01", true},
		{"another table", query(strings.Replace(readQuery("a"), "kv", "pg_user", 1)), "08P01", true},
		{"half a value", query(strings.Replace(writeQuery("a"), `\x01`, `\x0`, 1)), "08P01", true},
		{"nothing behind the comment", query(readQuery("a")[:strings.Index(readQuery("a"), "*/")+3]), "08P01", true},
		{"bad d", query(strings.Replace(readQuery("a"), "d=4000", "d=soon", 1)), "08P01", true},
		{"unknown group", query(strings.Replace(readQuery("a"), "cluster=7", "cluster=70", 1)), "53300", true},
		{"function call", typed('F', "\x00\x00"), "0A000", true},
		{"extended protocol", append(append(typed('P', "\x00SELECT 1\x00\x00\x00"), typed('B', "\x00\x00")...),
			append(query("SELECT skipped"), typed('S', "")...)...), "0A000", true},
		{"unknown message", typed('!', ""), "08P01", false},
		{"length below four", []byte{'Q', 0, 0, 0, 1}, "08P01", false},
		{"negative length", []byte{'Q', 255, 255, 255, 255}, "08P01", false},
		{"oversized", append([]byte{'Q', 0, 64, 0, 0}, make([]byte, 64<<10)...), "08P01", false},
	} {
		conn := w.raw()
		conn.Write(c.in)
		_, bodies := conn.readUntil('E')
		if last := bodies[len(bodies)-1]; !strings.Contains(last, "C"+c.code+"\x00") {
			t.Errorf("%s: %q, want %s", c.name, last, c.code)
		}
		if c.live {
			conn.readUntil('Z')
			conn.Write(query(""))
			if kinds, _ := conn.readUntil('Z'); kinds != "IZ" {
				t.Errorf("%s: then %s", c.name, kinds)
			}
		} else if k, _, err := conn.readMessage(); err != io.EOF { // a reset could discard the error before the client reads it
			t.Errorf("%s: then %q, %v", c.name, k, err)
		}
	}
	for name, in := range map[string][]byte{
		"short":     {0, 0, 0, 5, 0},
		"oversized": {127, 0, 0, 5, 0},
		"version 2": packet(2<<16, "user\x00u\x00\x00"),
		"http":      []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		conn := w.open()
		conn.Write(in)
		if kinds, bodies := conn.readUntil('E'); !strings.Contains(bodies[0], "08P01") {
			t.Errorf("start-up %s: %s %q", name, kinds, bodies)
		}
		conn.expectEnd()
	}
	w.expectAnswer(other, readQuery("fine"), "value of fine", "")
	if n := len(w.primary.Queries()) + len(w.replica.Queries()); n != 1 {
		t.Errorf("%d statements reached a server", n)
	}
}

// A value of 64 KiB, encoded in hex in the query and in the answer, arrives complete.
func TestLargeValues(t *testing.T) {
	w := newTestGateway(t, nil)
	value := bytes.Repeat([]byte("0123456789abcdef"), 8<<10) // 128 KiB of hex
	echo := func(q *fake.Query) {
		from := strings.Index(q.SQL, `'\x`) + 3
		q.ReplyRow([]byte(q.SQL[from : from+strings.IndexByte(q.SQL[from:], '\'')]))
	}
	w.primary.SetQueryHandler(echo)
	c := w.dial()
	for i := range 3 {
		sql := strings.Replace(writeQuery(fmt.Sprint("big", i)), `\x01`, `\x`+string(value), 1)
		w.expectAnswer(c, sql, string(value), "")
	}
	eventually(t, func() bool { return w.gateway.buffers.Reserved() == 0 },
		func() string { return fmt.Sprint(w.gateway.buffers.Reserved(), " bytes still held") })
}

// A request that exceeds the memory budget is rejected before any attempt.
func TestMemoryBudget(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.MemoryMB = 32 }) // 16 MB for messages
	hold, _, release := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	w.replica.SetQueryHandler(hold)
	value := strings.Repeat("00", 60<<10)
	const clients = 180 // each request takes an eighth of a megabyte: more than the budget in total
	var conns []*clientConn
	for i := range clients {
		c := w.raw()
		conns = append(conns, c)
		c.Write(query(strings.Replace(writeQuery(fmt.Sprint("big", i)), `\x01`, `\x`+value, 1)))
	}
	eventually(t, func() bool { return w.gateway.clients.Counts.OverMemory.Load() > 0 },
		func() string {
			return fmt.Sprintf("no request was rejected for memory: %d bytes reserved, %+v", w.gateway.buffers.Reserved(), w.counts())
		})
	if held := w.gateway.buffers.Reserved(); held > 16<<20 {
		t.Errorf("%d bytes reserved", held)
	}
	release()
	served, rejected := 0, 0
	for _, c := range conns {
		kinds, bodies := c.readUntil('Z')
		switch {
		case kinds == "TDCZ":
			served++
		case kinds == "EZ" && strings.Contains(bodies[0], "C53300\x00"):
			rejected++
		default:
			t.Fatalf("%s %q", kinds, bodies)
		}
	}
	if served == 0 || rejected == 0 {
		t.Errorf("%d served, %d rejected", served, rejected)
	}
}

// A client that does not read its answers delays no other client, and is disconnected after a timeout.
func TestStuckReader(t *testing.T) {
	w := newTestGateway(t, nil, func(g *Gateway) { g.clients.Limits.Answer = 300 * time.Millisecond })
	w.replica.SetQueryHandler(func(q *fake.Query) { q.ReplyRow(bytes.Repeat([]byte("x"), 64<<10)) })
	stuck := w.raw()
	stuck.Conn.(*net.TCPConn).SetReadBuffer(4096)
	go func() {
		for i := range 2000 {
			if _, err := stuck.Write(query(readQuery(fmt.Sprint("s", i)))); err != nil {
				return
			}
		}
	}()
	w.expectAnswer(w.dial(), writeQuery("p"), "value of p", "")
	w.expectLogged(`"party":"client"`, `"reason":"timeout"`)
}

// When the descriptors run out, idle clients are closed, the one idle longest first, and no client that has a request in flight.
func TestDescriptorCap(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.Sockets = 64 })
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	w.primary.SetQueryHandler(func(q *fake.Query) {
		arrived <- struct{}{}
		<-release
		q.ReplyRow([]byte("held"))
	})
	busy := w.raw()
	busy.Write(query(writeQuery("held")))
	<-arrived
	oldest := w.raw()
	var conns []*clientConn
	for range 60 { // one after the other, so that the order in which they became idle is known
		conns = append(conns, w.raw())
	}
	oldest.expectEnd()
	w.expectLogged(`"party":"client"`, `"reason":"room"`)
	// Clients that the gateway is closing keep their descriptors until they are closed, so until then a request may find no
	// descriptor for its server.
	eventually(t, func() bool { return w.gateway.descriptors.Used() < 64-24-8 },
		func() string {
			return fmt.Sprint(w.gateway.descriptors.Used(), " descriptors in use: idle connections are not closed")
		})
	newest := conns[len(conns)-1]
	newest.Write(query(readQuery("n")))
	if kinds, _ := newest.readUntil('Z'); kinds != "TDCZ" {
		t.Errorf("the newest client got %s", kinds)
	}
	if n := w.gateway.descriptors.Used(); n > 64 {
		t.Errorf("%d connections open", n)
	}
	close(release)
	if kinds, _ := busy.readUntil('Z'); kinds != "TDCZ" {
		t.Errorf("the request in flight got %s", kinds)
	}
}

func TestDiscoveryFaults(t *testing.T) {
	w := newTestGateway(t, nil)
	if first := <-w.discovery.Requests; !strings.Contains(first, "watch=1&from=1 ") {
		t.Fatalf("the first request to discovery was %q", first)
	}
	lists := func(form int) int64 { return w.counts().ListUpdates[form] }
	const delta, full, failed = formDelta, formFull, formFailed
	eventually(t, func() bool { return lists(full) == 1 }, func() string { return "no list was received" })

	moved := w.targets()[1]
	moved.State = "draining"
	w.discovery.Push(moved)
	eventually(t, func() bool { return lists(delta) == 1 }, func() string { return "no change was received" })
	c := w.dial()
	w.expectAnswer(c, readQuery("d"), "value of d", "")
	if n := len(w.replica.Queries()); n != 0 {
		t.Error("a read went to a draining server")
	}

	for i, answer := range []string{
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nno\n\r\n",
		"nonsense\r\n\r\n",
	} {
		w.discovery.SetRawResponse(answer)
		w.discovery.ResetConns()
		want := int64(2 * (i + 1)) // the watch that was reset, and the call that followed
		eventually(t, func() bool { return lists(failed) >= want },
			func() string { return fmt.Sprintf("%d failed lists, want %d", lists(failed), want) })
		w.discovery.SetRawResponse("")
		n := lists(full)
		eventually(t, func() bool { return lists(full) > n }, func() string { return "no list after " + answer })
	}
	w.expectLogged(`"party":"discovery"`, `"reason":"status"`)
	w.expectLogged(`"party":"discovery"`, `"reason":"protocol"`)
	w.expectAnswer(c, readQuery("e"), "value of e", "")
}

// A watch on which not even empty lines arrive counts as failed, and so does a call that is never answered.
func TestDiscoverySilence(t *testing.T) {
	w := newTestGateway(t, nil, func(g *Gateway) {
		g.discovery.Limits.Answer, g.discovery.Limits.Silence = 200*time.Millisecond, 200*time.Millisecond
	})
	const full, failed = formFull, formFailed
	eventually(t, func() bool { n := w.counts(); return n.ListUpdates[full] >= 2 && n.ListUpdates[failed] >= 1 },
		func() string { return fmt.Sprintf("lists by form %v", w.counts().ListUpdates) })
	w.discovery.SetRawResponse("silent")
	n := w.counts().ListUpdates[failed]
	eventually(t, func() bool { return w.counts().ListUpdates[failed] >= n+3 },
		func() string { return fmt.Sprintf("lists by form %v", w.counts().ListUpdates) })
	w.expectLogged(`"party":"discovery"`, `"reason":"timeout"`)
	w.expectAnswer(w.dial(), readQuery("a"), "value of a", "") // the last list is still used
}

// A client that never completes the start-up, or stops in the middle of a message, is disconnected. An idle client is closed.
func TestClientTimeouts(t *testing.T) {
	w := newTestGateway(t, nil, func(g *Gateway) {
		g.clients.Limits.FirstRequest, g.clients.Limits.Message = 300*time.Millisecond, 100*time.Millisecond
		g.clients.Limits.Idle = 300 * time.Millisecond
	})
	for name, sent := range map[string][]byte{
		"nothing": nil, "half a length": {0, 0}, "half a start-up": startup()[:20],
	} {
		c := w.open()
		c.Write(sent)
		if k, body, err := c.readMessage(); err == nil {
			t.Errorf("%s: got %q %q, want the connection's end", name, k, body)
		}
	}
	halfway := w.raw()
	halfway.Write(query(readQuery("a"))[:20])
	if kinds, bodies := halfway.readUntil('E'); !strings.Contains(bodies[0], "08P01") {
		t.Errorf("half a message: %s %q", kinds, bodies)
	}
	halfway.expectEnd()
	slow := w.raw() // the timeout is for the whole message, not for each read
	since := time.Now()
	for _, b := range query(readQuery("a")) {
		if _, err := slow.Write([]byte{b}); err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(since); took > testTimeout/2 {
		t.Errorf("a message that arrives byte by byte was read for %v", took)
	}
	w.raw().expectEnd()
	w.expectLogged(`"party":"client"`, `"reason":"timeout"`)
	w.expectLogged(`"party":"client"`, `"reason":"idle"`)
	served := w.raw() // a client that was served is closed after the same idle time
	served.Write(query(readQuery("served")))
	served.readUntil('Z')
	served.expectEnd()
	if n := len(w.replica.Queries()); n != 1 {
		t.Errorf("%d statements were sent on", n)
	}
}

func TestNotReadyWithoutServers(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.KnownServers.Entries = nil; c.Discovery = "127.0.0.1:9" })
	c := w.dial()
	w.expectAnswer(c, "", "", "57P03")
	w.expectAnswer(c, readQuery("a"), "", "53300")
	if n := w.counts(); n.Answers[routing.AnswerServed][0] != 0 {
		t.Errorf("%+v", n)
	}
}

func TestCountersArePrinted(t *testing.T) {
	w := newTestGateway(t, nil)
	w.expectAnswer(w.dial(), readQuery("a"), "value of a", "")
	w.gateway.LogCounters()
	w.expectLogged(`"class":"look"`, `"requests":1`, `"sends":1`, `"served":1`, `"refused":0`)
	w.expectLogged("outcomes of attempts", `"served":1`)
	w.expectLogged("outcomes of health checks", `"sent":`)
	w.expectLogged("endpoint lists", `"watches":1`)
}

// A client that sends invalid statements gets an error for each, after longer and longer delays, and is disconnected in the end.
// Other clients are not affected, even if it sends them as fast as it can.
func TestRepeatedBadStatements(t *testing.T) {
	w := newTestGateway(t, nil, func(g *Gateway) { g.clients.Limits.Backoff = time.Millisecond })
	bad := w.raw()
	go func() {
		for range 300 {
			if _, err := bad.Write(query("DROP TABLE kv")); err != nil {
				return
			}
		}
	}()
	errors, fatal := 0, 0
	for {
		k, body, err := bad.readMessage()
		if err != nil {
			break
		}
		if k == 'E' {
			errors++
			if strings.Contains(body, "SFATAL\x00") {
				fatal++
			}
		}
	}
	if errors < 2 || errors > 20 || fatal != 1 {
		t.Errorf("%d errors, %d of them fatal", errors, fatal)
	}
	w.expectLogged(`"party":"client"`, `"reason":"protocol"`, "too many bad messages")
	w.expectAnswer(w.dial(), readQuery("fine"), "value of fine", "")
}

// A request with the id of another request in flight is rejected, whichever client sends it, and the request in flight is not
// affected. Once that request is answered, the id may be used again by a read, but not by a write, which must not run twice.
func TestIDInUse(t *testing.T) {
	w := newTestGateway(t, nil)
	hold, arrived, release := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	first, second := w.raw(), w.dial()
	first.Write(query(writeQuery("same")))
	<-arrived
	w.expectAnswer(second, writeQuery("same"), "", "22023")
	w.expectAnswer(second, readQuery("same"), "", "22023")
	release()
	if kinds, bodies := first.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], "value of same") {
		t.Errorf("%s %q", kinds, bodies)
	}
	w.expectAnswer(second, writeQuery("same"), "", "22023")
	w.expectAnswer(second, readQuery("same"), "value of same", "")
	w.expectAnswer(second, readQuery("same"), "value of same", "")
	if n := len(w.primary.Queries()) + len(w.replica.Queries()); n != 3 {
		t.Errorf("%d statements reached a server", n)
	}
}

// If the gateway has no descriptor left for a client, it sends an error before the start-up, with a code on which clients try
// again later.
func TestNoCapacityForAClient(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.Sockets = 64 })
	hold, _, _ := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	w.replica.SetQueryHandler(hold)
	busy := 0
	for ; busy < 64; busy++ {
		c := w.open()
		c.Write(startup())
		kinds, bodies := c.readUntil('Z')
		if kinds[0] == 'E' {
			if !strings.Contains(bodies[0], "C53300\x00") {
				t.Errorf("%s %q", kinds, bodies)
			}
			break
		}
		c.Write(query(writeQuery(fmt.Sprint("b", busy))))
		eventually(t, func() bool { return w.counts().Requests[1] == int64(busy+1) },
			func() string { return fmt.Sprintf("request %d was not counted", busy) })
	}
	if busy < 10 || busy > 40 {
		t.Errorf("%d clients were accepted, with 64 descriptors", busy)
	}
	w.expectLogged(`"party":"client"`, `"reason":"descriptors"`)
}

// Stop waits for requests in flight, but not for messages that have arrived only in part, even behind a request in flight.
func TestStopDoesNotWaitForHalfMessages(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) {}, func(g *Gateway) { g.clients.Limits.FirstRequest = testTimeout })
	hold, arrived, release := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	silent, half, halfStart := w.open(), w.raw(), w.open()
	half.Write(query(readQuery("h"))[:30])
	halfStart.Write(startup()[:10])
	behind := w.raw() // sends half a message behind a request that is in flight
	behind.Write(append(query(writeQuery("b")), query(readQuery("c"))[:30]...))
	<-arrived
	stopped := make(chan struct{})
	w.stopped = true
	go func() {
		w.gateway.Stop()
		close(stopped)
	}()
	for _, c := range []*clientConn{silent, half, halfStart} {
		c.expectEnd()
	}
	release()
	if kinds, bodies := behind.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], "value of b") {
		t.Errorf("the request in flight got %s %q", kinds, bodies)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout / 2):
		t.Error("Stop does not return")
	}
}

// Stop does not wait for clients that keep connecting without sending a request.
func TestStopDoesNotWaitForNewConnections(t *testing.T) {
	w := newTestGateway(t, nil)
	w.expectAnswer(w.dial(), readQuery("a"), "value of a", "")
	stopped, crowd := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(crowd)
		for {
			nc, err := net.Dial("tcp", w.gateway.Addr())
			if err != nil {
				return
			}
			defer nc.Close()
			select {
			case <-stopped:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	w.stopped = true
	since := time.Now()
	w.gateway.Stop()
	close(stopped)
	<-crowd
	if took := time.Since(since); took > 4*time.Second {
		t.Errorf("Stop took %v", took)
	}
}

// A request that no server has answered when the time for Stop is over gets an error instead of no answer.
func TestStopFailsWhatIsLeft(t *testing.T) {
	w := newTestGateway(t, nil)
	hold, arrived, _ := blockingHandler(t)
	w.primary.SetQueryHandler(hold)
	c := w.raw()
	c.Write(query(strings.Replace(writeQuery("b"), "d=5000", "d=20000", 1)))
	<-arrived
	w.stopped = true
	w.gateway.Stop()
	if kinds, bodies := c.readUntil('Z'); kinds != "EZ" || !strings.Contains(bodies[0], "C58000\x00") {
		t.Errorf("the request in flight got %s %q", kinds, bodies)
	}
}
