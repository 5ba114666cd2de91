package session

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/fake"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// clientHarness contains a client's connection without a goroutine of its own: the test calls its steps one by one, so that it can
// cause events between two of them.
type clientHarness struct {
	t      *testing.T
	c      *client
	peer   *net.TCPConn
	events chan routing.Event
}

func newClientHarness(t *testing.T) *clientHarness {
	t.Helper()
	c, peer := idleClient(t)
	x := &clientHarness{t: t, c: c, peer: peer.(*net.TCPConn), events: make(chan routing.Event, 1024)}
	c.all.Owner, c.all.Clock, c.all.Buffers = poster(x.events), routing.NewClock(), transport.NewBuffers(1<<24)
	c.all.Counts = &ClientCounts{}
	c.all.InForce = settings.NewLive(&settings.Snapshot{
		Settings:   policy.Settings{Classes: []policy.Class{{Name: "look", Need: policy.NeedAny}, {Name: "put", Need: policy.NeedWrite}}},
		ClassIndex: map[string]int{"look": 0, "put": 1}, ClassNames: []string{"look", "put"},
	})
	c.all.Limits.Backoff = testTimeout
	return x
}

func lookStatement(id string) []byte {
	return postgres.AppendQuery(nil, "/* id="+id+",c=look,d=4000,cluster=7 */ SELECT content FROM kv WHERE name = 'k'")
}

// largeStatement returns a statement that is longer than a buffer.
func largeStatement(id string) []byte {
	return postgres.AppendQuery(nil, "/* id="+id+",c=put,d=4000,cluster=7 */ INSERT INTO kv (name, content) VALUES ('k', '\\x"+
		strings.Repeat("01", transport.BufferSize)+"') RETURNING content")
}

// awaitArrival waits until bytes from the peer, and its close if closed is true, have arrived in the kernel.
func (x *clientHarness) awaitArrival(closed bool) {
	x.t.Helper()
	for end := time.Now().Add(testTimeout); x.c.conn.Silent() || closed && !x.c.conn.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatal("the bytes from the peer did not arrive")
		}
	}
}

// nextRequest returns the next request posted to the owner.
func (x *clientHarness) nextRequest() *routing.Request {
	x.t.Helper()
	select {
	case ev := <-x.events:
		return ev.(*routing.Request)
	case <-time.After(testTimeout):
		x.t.Fatal("no request was posted")
		return nil
	}
}

// serve delivers an answer to a request.
func (x *clientHarness) serve(r *routing.Request, text string) {
	value := x.c.all.Buffers.NewMessage()
	value.Append([]byte(text))
	r.Client.Answer(routing.Answer{Kind: routing.AnswerServed, Value: value})
}

// If a client sends many queries at once and disconnects, no request is posted after its close has arrived, although the close is
// behind unread bytes. The test fails without the check for the close in receive.
func TestNoRequestForADisconnectedClient(t *testing.T) {
	x := newClientHarness(t)
	x.peer.Write(bytes.Repeat(lookStatement("x"), 200))
	x.peer.Close()
	x.awaitArrival(true)
	if reason, err := x.c.serveMessages(); err == nil || reason != transport.EndClientDisconnected {
		t.Errorf("ended with %v, %v", reason, err)
	}
	if n := len(x.events); n != 0 {
		t.Errorf("%d events posted to the owner, want none", n)
	}
}

// A client with maxPipelined open requests is not read from, but its disconnect is detected nevertheless, and each of its requests
// is cancelled. The test fails without the check for the close in watchUnread.
func TestDisconnectIsNoticedWhileNothingIsRead(t *testing.T) {
	x := newClientHarness(t)
	x.peer.Write(bytes.Repeat(lookStatement("x"), 4*maxPipelined))
	ended := make(chan transport.Reason, 1)
	go func() {
		reason, _ := x.c.serveMessages()
		x.c.abandonQueries()
		ended <- reason
	}()
	for range maxPipelined {
		x.nextRequest()
	}
	x.peer.Close()
	if reason := <-ended; reason != transport.EndClientDisconnected {
		t.Errorf("ended with %v", reason)
	}
	for range maxPipelined {
		if _, disconnected := (<-x.events).(routing.ClientDisconnected); !disconnected {
			t.Fatal("a request was posted after the close")
		}
	}
}

// During the backoff after a bad message, the answers to earlier requests are written, and a disconnect is detected. The test fails
// if backOff only sleeps.
func TestAnswersAndDisconnectDuringTheBackoff(t *testing.T) {
	x := newClientHarness(t)
	x.peer.Write(append(lookStatement("x"), postgres.AppendQuery(nil, "DROP TABLE kv")...))
	ended := make(chan transport.Reason, 1)
	go func() {
		reason, _ := x.c.serveMessages()
		ended <- reason
	}()
	x.serve(x.nextRequest(), "the answer")
	var got []byte
	for rest := make([]byte, 256); !bytes.Contains(got, []byte(postgres.CodeProtocolViolation)) || !bytes.HasSuffix(got, postgres.AppendReadyForQuery(nil)); {
		n, err := x.peer.Read(rest)
		if got = append(got, rest[:n]...); err != nil {
			t.Fatalf("read %q, %v", got, err)
		}
	}
	if !bytes.HasPrefix(got, []byte("the answer")) {
		t.Errorf("read %q", got)
	}
	x.peer.Close()
	select {
	case reason := <-ended:
		if reason != transport.EndClientDisconnected {
			t.Errorf("ended with %v", reason)
		}
	case <-time.After(testTimeout):
		t.Error("the close was not detected")
	}
}

// An answer is written while the next message, which is longer than a buffer, is still arriving. The test fails if the answer does
// not interrupt Fill.
func TestAnswerWhileALargeMessageComesIn(t *testing.T) {
	x := newClientHarness(t)
	large := largeStatement("y")
	x.peer.Write(append(lookStatement("x"), large[:transport.BufferSize+100]...))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.c.serveMessages()
	}()
	first := x.nextRequest()
	x.serve(first, "the answer")
	got := make([]byte, len("the answer"))
	if _, err := io.ReadFull(x.peer, got); err != nil || string(got) != "the answer" {
		t.Fatalf("read %q, %v", got, err)
	}
	x.peer.Write(large[transport.BufferSize+100:])
	if r := x.nextRequest(); r.ClientID != "y" {
		t.Errorf("the next request is %q, want y", r.ClientID)
	}
	x.peer.Close()
	<-ended
}

// If CutOff is called between reading the header of a request and its body, which has arrived, the request is submitted. The test
// fails if CutOff stops the reading at once.
func TestCutOffBetweenHeaderAndBody(t *testing.T) {
	x := newClientHarness(t)
	large := largeStatement("x")
	x.peer.Write(large[:postgres.HeaderSize])
	if reason, err := x.c.idle(postgres.HeaderSize); err != nil {
		t.Fatal(reason, err)
	}
	x.peer.Write(large[postgres.HeaderSize:])
	x.awaitArrival(false)
	x.c.all.open = map[*client]struct{}{x.c: {}}
	x.c.all.CutOff()
	if reason, err := x.c.handleMessage(); err != nil {
		t.Fatalf("ended with %v, %v", reason, err)
	}
	if r := x.nextRequest(); r.ClientID != "x" {
		t.Errorf("the request is %q, want x", r.ClientID)
	}
}

// If the rest of a message does not arrive, its connection ends soon after CutOff, whether the message stopped within the header or
// after it.
func TestCutOffEndsIncompleteMessages(t *testing.T) {
	for _, part := range []int{1, postgres.HeaderSize + 20} {
		x := newClientHarness(t)
		x.c.all.open = map[*client]struct{}{x.c: {}}
		x.peer.Write(lookStatement("x")[:part])
		x.awaitArrival(false)
		ended := make(chan error, 1)
		go func() {
			_, err := x.c.serveMessages()
			ended <- err
		}()
		x.c.all.Drain(transport.EndDraining)
		x.c.all.CutOff()
		select {
		case err := <-ended:
			if !errors.Is(err, transport.ErrWoken) {
				t.Errorf("%d bytes: ended with %v", part, err)
			}
		case <-time.After(testTimeout):
			t.Errorf("%d bytes: the connection was not ended", part)
		}
	}
}

// If a request arrives just as its idle connection is closed, it is not forwarded, and the client sees an orderly end, after which it
// may send the request elsewhere. The test fails without linger in Serve.
func TestRequestDuringTheCloseOfAnIdleConnection(t *testing.T) {
	x := newClientHarness(t)
	x.c.all.Limits.Linger = testTimeout
	startup := postgres.AppendStartup(nil, "backend", "store")
	x.peer.Write(startup)
	served := make(chan struct{})
	go func() {
		defer close(served)
		x.c.all.Serve(x.c.conn, true)
	}()
	x.readReady()
	x.c.all.Drain(transport.EndDraining)
	x.readEnd()
	for range 2 { // a reset would make the second write fail
		if _, err := x.peer.Write(lookStatement("x")); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
	}
	x.peer.Close()
	<-served
	if n := len(x.events); n != 0 {
		t.Errorf("%d events posted to the owner, want none", n)
	}
}

// A client that is rejected for lack of a descriptor can read the complete error and an orderly end, whatever it has sent before.
// The test fails without linger in rejectConnection.
func TestRejectionBeforeTheStartUpIsRead(t *testing.T) {
	x := newClientHarness(t)
	x.c.all.Limits.Linger = testTimeout
	x.peer.Write(append(postgres.AppendStartup(nil, "backend", "store"), lookStatement("x")...))
	x.awaitArrival(false)
	served := make(chan struct{})
	go func() {
		defer close(served)
		x.c.all.Serve(x.c.conn, false)
	}()
	got, err := io.ReadAll(x.peer)
	if err != nil || !bytes.Contains(got, []byte("C"+postgres.CodeTooManyConnections+"\x00")) {
		t.Errorf("read %q, %v", got, err)
	}
	x.peer.Close()
	<-served
}

// readReady reads messages from the gateway up to ReadyForQuery.
func (x *clientHarness) readReady() {
	x.t.Helper()
	x.peer.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		head := make([]byte, postgres.HeaderSize)
		if _, err := io.ReadFull(x.peer, head); err != nil {
			x.t.Fatal(err)
		}
		h, err := postgres.ParseHeader(head)
		if err != nil {
			x.t.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, x.peer, int64(h.Body)); err != nil {
			x.t.Fatal(err)
		}
		if h.Type == postgres.TypeReadyForQuery {
			return
		}
	}
}

// readEnd fails the test unless the connection ends in an orderly way without further bytes.
func (x *clientHarness) readEnd() {
	x.t.Helper()
	x.peer.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := x.peer.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		x.t.Fatalf("read %d bytes, %v, want EOF", n, err)
	}
}

// If a task is cancelled just after its complete answer was read, the connection is not used again. The test fails without the check
// for the abort in finishTask.
func TestCancelAfterACompleteAnswer(t *testing.T) {
	r := newHarness(t)
	answered := newTask(r.job("a"))
	l := &serverConn{all: r.servers, endpoint: r.servers.endpointOf(1), current: answered}
	if _, _, err := l.connect(answered); err != nil {
		t.Fatal(err)
	}
	e, reason, err := l.exchange(answered)
	answered.conn = l
	answered.Cancel()
	if reason, err := l.finishTask(answered, e, reason, err); reason != notEnded || err != nil {
		t.Fatal(reason, err)
	}
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Errorf("the task ended with result %d, want ResultOK", e.Result)
	}
	if _, ok := r.servers.endpointOf(1).idle.Take(); ok {
		t.Error("the connection is in the pool")
	}
	if reason, _ := l.idle(); reason != transport.EndAbandoned {
		t.Errorf("the connection ended with %v", reason)
	}
}

// A task that is cancelled between connecting and writing its first byte is not sent to the server. The test fails without the check
// for the abort in Write.
func TestCancelBeforeTheFirstByte(t *testing.T) {
	r := newHarness(t)
	task := newTask(r.job("a"))
	l := &serverConn{all: r.servers, endpoint: r.servers.endpointOf(1), current: task}
	if _, _, err := l.connect(task); err != nil {
		t.Fatal(err)
	}
	task.Cancel()
	if e, _, _ := l.exchange(task); e.result != policy.ResultCancelled {
		t.Errorf("ended with %d", e.result)
	}
	task.Payload.Free()
	l.conn.Close()
	<-r.server.Closed
	if n := len(r.server.Queries()); n != 0 {
		t.Errorf("%d statements reached the server", n)
	}
}

// An answer or an error that is complete except for ReadyForQuery is posted soon, not only at the request's deadline. So is the
// error for an incomplete answer.
func TestAnswerWithoutReadyForQuery(t *testing.T) {
	for want, handle := range map[policy.Result]func(*fake.Query){
		policy.ResultOK:    func(q *fake.Query) { q.Write(fake.RowMessages([]byte("v"))) },
		policy.ResultError: func(q *fake.Query) { q.Write(fake.RowMessages([]byte("v"))[:30]) },
		policy.ResultOverloaded: func(q *fake.Query) {
			q.Write(postgres.AppendErrorResponse(nil, false, postgres.CodeTooManyConnections, "full", 0))
		},
	} {
		r := newHarness(t)
		r.server.SetQueryHandler(handle)
		job := r.job("a")
		job.Deadline = job.SentAt + 4*clock.Micros(testTimeout/time.Microsecond)
		r.servers.Send(job)
		if e := r.attemptEnded(); e.Result != want {
			t.Errorf("ended with %d, want %d", e.Result, want)
		} else {
			e.Value.Free()
		}
	}
}

// slowPositions is a SessionPositions in which the test decides when Required calls done.
type slowPositions struct {
	SessionPositions
	required func(policy.Position)
}

func (*slowPositions) Covers(string) bool { return true }

func (m *slowPositions) Required(_ int, _ uint64, _ time.Time, done func(policy.Position)) {
	m.required = done
}

// disconnectingQueue is a queue that makes the client disconnect just before its request is posted.
type disconnectingQueue struct {
	poster
	disconnect func()
}

func (q disconnectingQueue) Post(ev routing.Event) {
	if _, is := ev.(*routing.Request); is {
		q.disconnect()
	}
	q.poster.Post(ev)
}

// A read that waits for its session's position is not posted if its client disconnects meanwhile. If the client disconnects just as
// the request is posted, ClientDisconnected is posted after the request, not only before it. The test fails without the checks in
// positionKnown.
func TestDisconnectWhileAPositionIsAwaited(t *testing.T) {
	for name, late := range map[string]bool{"before": false, "during the post": true} {
		t.Run(name, func(t *testing.T) {
			x := newClientHarness(t)
			snapshot := *x.c.all.InForce.Load()
			snapshot.Settings.Classes[0].Need = policy.NeedSession
			x.c.all.InForce.Store(&snapshot)
			positions := &slowPositions{}
			x.c.all.SessionPositions = positions
			x.peer.Write(lookStatement("x"))
			if reason, err := x.c.idle(postgres.HeaderSize); err != nil {
				t.Fatal(reason, err)
			}
			if reason, err := x.c.handleMessage(); err != nil {
				t.Fatal(reason, err)
			}
			if late {
				x.c.all.Owner = disconnectingQueue{poster(x.events), x.c.abandonQueries}
			} else {
				x.c.abandonQueries()
			}
			positions.required(1)
			close(x.events)
			routed, disconnected := false, false
			for ev := range x.events {
				_, isRequest := ev.(*routing.Request)
				routed = routed || isRequest
				disconnected = !isRequest // the last event counts
			}
			if !disconnected || routed != late {
				t.Errorf("request posted: %v, disconnect posted last: %v", routed, disconnected)
			}
		})
	}
}

// slowServer accepts connections; the test decides when their start-up completes.
type slowServer struct {
	t *testing.T
	l net.Listener
}

func newSlowServer(t *testing.T, r *harness) *slowServer {
	s := &slowServer{t, listenLoopback(t)}
	r.servers.SetEndpoint(1, s.l.Addr().String())
	return s
}

// accept accepts a connection and reads its start-up message.
func (s *slowServer) accept() net.Conn {
	s.t.Helper()
	s.l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := s.l.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(nc, make([]byte, len(postgres.AppendStartup(nil, "backend", "store")))); err != nil {
		s.t.Fatal(err)
	}
	return nc
}

// admitted is a server's answer to a successful start-up.
var admitted = []byte{'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'}

// If a server is removed from the endpoint list, or gets another address, while a connection to it is being established, no byte of
// a request is written on that connection: the attempt has not run, and may be sent elsewhere. An attempt that is sent after the
// server has returned reaches it. The test fails without the call of withdrawn in exchange.
func TestWithdrawnWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"withdrawn": func(r *harness) { r.servers.Withdraw(1) },
		"moved":     func(r *harness) { r.servers.SetEndpoint(1, r.server.Addr()) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.changeSettings(func(f *settings.Snapshot) { f.Settings.ConnectTimeout = clock.Micros(testTimeout / time.Microsecond) })
			slow := newSlowServer(t, r)
			r.servers.Send(r.job("a"))
			nc := slow.accept()
			change(r)
			nc.Write(admitted)
			if e := r.attemptEnded(); e.Result != policy.ResultConnectFailed {
				t.Errorf("ended with %s", routing.ResultNames[e.Result])
			}
			if got, _ := io.ReadAll(nc); len(got) > 0 {
				t.Errorf("the server received %q", got)
			}
			r.servers.SetEndpoint(1, r.server.Addr())
			r.servers.Send(r.job("b"))
			if e := r.attemptEnded(); e.Result != policy.ResultOK {
				t.Errorf("after the return: %s", routing.ResultNames[e.Result])
			} else {
				e.Value.Free()
			}
		})
	}
}

// The time limit sent to a server is the time that remains when the request's first byte is written, not when the connection was
// started. The test fails if the time limit is computed before the connection is established.
func TestRequestCarriesTheRemainingTime(t *testing.T) {
	r := newHarness(t)
	r.changeSettings(func(f *settings.Snapshot) { f.Settings.ConnectTimeout = clock.Micros(testTimeout / time.Microsecond) })
	slow := newSlowServer(t, r)
	job := r.job("a")
	r.servers.Send(job)
	nc := slow.accept()
	const late = 200_000
	for r.servers.Clock.Now() < job.SentAt+late {
		time.Sleep(time.Millisecond)
	}
	nc.Write(admitted)
	head := make([]byte, postgres.HeaderSize)
	if _, err := io.ReadFull(nc, head); err != nil {
		t.Fatal(err)
	}
	h, _ := postgres.ParseHeader(head)
	body := make([]byte, h.Body)
	if _, err := io.ReadFull(nc, body); err != nil {
		t.Fatal(err)
	}
	sent, err := strconv.Atoi((&fake.Query{SQL: string(body)}).Field("d"))
	if maxLeft := int(job.Deadline-job.SentAt-late) / 1000; err != nil || sent > maxLeft || sent < maxLeft/2 {
		t.Errorf("the request carried %d ms (%v), at most %d ms remained", sent, err, maxLeft)
	}
	nc.Close()
	r.attemptEnded()
}
