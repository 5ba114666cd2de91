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

// clientHarness is a client's connection without a goroutine of its own: the test calls its steps one by one and lets things
// happen between two of them.
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

// largeStatement is longer than a buffer.
func largeStatement(id string) []byte {
	return postgres.AppendQuery(nil, "/* id="+id+",c=put,d=4000,cluster=7 */ INSERT INTO kv (name, content) VALUES ('k', '\\x"+
		strings.Repeat("01", transport.BufferSize)+"') RETURNING content")
}

// awaitArrival waits until all that the peer has written is in our kernel.
func (x *clientHarness) awaitArrival(closed bool) {
	x.t.Helper()
	for end := time.Now().Add(testTimeout); x.c.conn.Silent() || closed && !x.c.conn.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatal("what the peer wrote never came")
		}
	}
}

// nextRequest is the next request that was posted to the owner.
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

// A client sends much at once and disconnects: no request is posted once its close has arrived, although the close lies behind
// unread bytes. Fails without the check for it in receive.
func TestNoRequestForADisconnectedClient(t *testing.T) {
	x := newClientHarness(t)
	x.peer.Write(bytes.Repeat(lookStatement("x"), 200))
	x.peer.Close()
	x.awaitArrival(true)
	if reason, err := x.c.serveMessages(); err == nil || reason != transport.EndClientDisconnected {
		t.Errorf("ended with %v, %v", reason, err)
	}
	if n := len(x.events); n != 0 {
		t.Errorf("%d events for the owner", n)
	}
}

// A client with maxPipelined open requests is not read from; its disconnect is noticed all the same, and each of its requests is
// cancelled. Fails without the check for it in watchUnread.
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

// During the backoff after a bad message, the answers to earlier requests are written, and a disconnect is noticed. Fails where
// the backoff only sleeps.
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
		t.Error("the close was not noticed")
	}
}

// An answer goes out while the next message, longer than a buffer, is still on its way in. Fails where Fill is not
// interrupted for it.
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
		t.Errorf("then %q was requested", r.ClientID)
	}
	x.peer.Close()
	<-ended
}

// A CutOff between the header of a request and its body, which has arrived, takes the request in. Fails where it ends the reading
// at once.
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
		t.Errorf("%q was requested", r.ClientID)
	}
}

// A message whose rest does not arrive ends the connection soon after CutOff, whether it stopped within the header or after it.
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
			t.Errorf("%d bytes: the connection goes on", part)
		}
	}
}

// An idle connection is closed, and a request arrives at that moment: it is not forwarded, and the client sees an orderly end,
// after which it may send the request elsewhere. Fails without linger in Serve.
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
	for range 2 { // a reset would show at the second
		if _, err := x.peer.Write(lookStatement("x")); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
	}
	x.peer.Close()
	<-served
	if n := len(x.events); n != 0 {
		t.Errorf("%d events for the owner", n)
	}
}

// A client for which there is no descriptor reads its complete rejection and an orderly end, whatever it has sent by then. Fails
// without linger in rejectConnection.
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

func (x *clientHarness) readEnd() {
	x.t.Helper()
	x.peer.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := x.peer.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		x.t.Fatalf("%d bytes, %v, want the end", n, err)
	}
}

// A task that is cancelled at the moment its complete answer was read leaves a connection that is not used again. Fails without
// the check for the abort in finishTask.
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
		t.Errorf("the answer was lost: %d", e.Result)
	}
	if _, ok := r.servers.endpointOf(1).idle.Take(); ok {
		t.Error("the connection was kept")
	}
	if reason, _ := l.idle(); reason != transport.EndAbandoned {
		t.Errorf("the connection ended with %v", reason)
	}
}

// A task that is cancelled after the connection was made and before the first byte is not sent: the server never sees it. Fails
// without the check for the abort in Write.
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

// An answer that is complete but for ReadyForQuery is forwarded soon, not at the request's deadline; likewise an error.
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

// slowPositions returns the position that a session's read requires when the test wants it.
type slowPositions struct {
	SessionPositions
	required func(policy.Position)
}

func (*slowPositions) Covers(string) bool { return true }

func (m *slowPositions) Required(_ int, _ uint64, _ time.Time, done func(policy.Position)) {
	m.required = done
}

// disconnectingQueue has the client disconnect as its request is posted.
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

// A read that waits for its session's position is not posted once its client has disconnected; where it disconnects at that
// moment, routing hears of it after the request, not before. Fails without the checks in postUnlessDisconnected.
func TestDisconnectWhileAPositionIsAwaited(t *testing.T) {
	for name, late := range map[string]bool{"before": false, "in the moment": true} {
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
				t.Errorf("posted %v, and then the disconnect: %v", routed, disconnected)
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

// accept takes a connection in and reads its start-up.
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

// admitted is a server's answer to a start-up.
var admitted = []byte{'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'}

// A server that is removed from the list, or gets another address, while a connection to it is being made gets no byte of a
// request on it: the attempt never ran, and may be sent elsewhere. What is sent after its return arrives. Fails without
// withdrawn in exchange.
func TestWithdrawnWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"taken out": func(r *harness) { r.servers.Withdraw(1) },
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
				t.Errorf("the server got %q", got)
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

// The time sent to a server is what is left when its first byte is written, not when the connection was begun. Fails where it is
// computed before the connection is up.
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
		t.Errorf("sent %d ms (%v), %d are left", sent, err, maxLeft)
	}
	nc.Close()
	r.attemptEnded()
}
