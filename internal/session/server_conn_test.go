package session

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/fake"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// harness is a Servers with an owner that only records events.
type harness struct {
	t       *testing.T
	servers *Servers
	server  *fake.Server
	events  chan routing.Event
}

// testTimeout bounds every wait for an event; only a test that fails reaches it.
const testTimeout = 20 * time.Second

func newHarness(t *testing.T) *harness {
	t.Helper()
	server, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, server: server, events: make(chan routing.Event, 64)}
	snapshot := &settings.Snapshot{Settings: policy.Settings{ConnectTimeout: 250_000}, Keepalive: 30_000_000}
	r.servers = &Servers{
		Owner: poster(r.events), InForce: settings.NewLive(snapshot), Buffers: transport.NewBuffers(1 << 24),
		Fds: transport.NewDescriptors(1024), Ends: transport.NewEndRecorder(zerolog.Nop()), Clock: routing.NewClock(),
		User: "backend", DB: "store",
	}
	r.servers.SetEndpoint(1, server.Addr())
	t.Cleanup(func() {
		server.Close()
		r.servers.Close()
	})
	return r
}

// changeSettings puts changed settings in force.
func (r *harness) changeSettings(change func(*settings.Snapshot)) {
	next := *r.servers.InForce.Load()
	change(&next)
	r.servers.InForce.Store(&next)
}

// poster hands what is posted to a channel.
type poster chan routing.Event

func (p poster) Post(ev routing.Event) { p <- ev }

func (r *harness) job(id string) routing.Job {
	text := r.servers.Buffers.NewMessage()
	text.Append([]byte("/* id=" + id + ",c=x,d=5000,cluster=1 */ SELECT content FROM kv WHERE name = 'k'\x00"))
	st, err := postgres.ParseStatement(text.BuffersFrom(0))
	if err != nil {
		r.t.Fatal(err)
	}
	now := r.servers.Clock.Now()
	return routing.Job{
		ID: id, Server: 1, Payload: &query{text: text, statement: st}, SentAt: now, Deadline: now + 5_000_000,
	}
}

func (r *harness) attemptEnded() routing.AttemptEnded {
	r.t.Helper()
	select {
	case ev := <-r.events:
		return ev.(routing.AttemptEnded)
	case <-time.After(testTimeout):
		r.t.Fatal("nothing was posted")
		return routing.AttemptEnded{}
	}
}

// idleConn returns the connection that has carried out one task and is idle now.
func (r *harness) idleConn() *serverConn {
	r.t.Helper()
	r.servers.Send(r.job("first"))
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		r.t.Fatalf("the first attempt ended with %d", e.Result)
	}
	l, ok := r.servers.endpointOf(1).idle.Take()
	if !ok {
		r.t.Fatal("no connection was kept")
	}
	return l
}

// The server has closed, the kernel knows, and the task came before the goroutine saw it: written now, the request would
// end as a reset that may have run. It must go out on another connection instead.
func TestTaskOnAConnectionThatHasJustClosed(t *testing.T) {
	r := newHarness(t)
	first := newTask(r.job("first"))
	defer first.Payload.Free()
	l := &serverConn{all: r.servers, endpoint: r.servers.endpointOf(1), current: first, served: 1}
	if _, _, err := l.connect(first); err != nil {
		t.Fatal(err)
	}
	r.server.ResetConns()
	<-r.server.Closed
	l.current = newTask(r.job("second"))
	l.carryOut() // here, where no goroutine of its own sees the end first
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Errorf("ended with %s", routing.ResultNames[e.Result])
	}
	if n := r.server.ConnsOpened(); n != 2 {
		t.Errorf("%d connections opened", n)
	}
}

// A task assigned to a connection at the moment it ends is carried out by another.
func TestTaskAssignedToAnEndingConnection(t *testing.T) {
	r := newHarness(t)
	l := r.idleConn()
	done := make(chan struct{})
	l.mu.Lock() // the goroutine wakes up to a closed connection, and finds the task there
	go func() {
		r.server.ResetConns()
		<-r.server.Closed
		close(done)
	}()
	<-done
	l.current = newTask(r.job("second"))
	l.mu.Unlock()
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Errorf("ended with %s", routing.ResultNames[e.Result])
	}
	if n := len(r.server.Queries()); n != 2 {
		t.Errorf("%d statements for two tasks", n)
	}
}

// A server that gets another address while an attempt is in flight gets nothing new at the former one.
func TestEndpointChangedWhileBusy(t *testing.T) {
	r := newHarness(t)
	other, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	arrived, release := make(chan struct{}), make(chan struct{})
	r.server.SetQueryHandler(func(q *fake.Query) {
		close(arrived)
		<-release
		q.ReplyRow([]byte("old place"))
	})
	r.servers.Send(r.job("a"))
	<-arrived
	r.servers.SetEndpoint(1, other.Addr())
	close(release)
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Errorf("ended with %s", routing.ResultNames[e.Result])
	}
	select { // the connection to the old place does not linger
	case <-r.server.Closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection to the old place stays")
	}
	r.servers.Send(r.job("b"))
	if e := r.attemptEnded(); e.Result != policy.ResultOK || len(other.Queries()) != 1 {
		t.Errorf("ended with %s, %d statements at the new place", routing.ResultNames[e.Result], len(other.Queries()))
	}
}

// An idle connection to a former address is closed.
func TestEndpointChangedWhileIdle(t *testing.T) {
	r := newHarness(t)
	r.servers.endpointOf(1).idle.Put(r.idleConn())
	r.servers.SetEndpoint(1, "127.0.0.1:9")
	select {
	case <-r.server.Closed:
	case <-time.After(testTimeout):
		t.Error("the connection stays")
	}
}

// A cancel while the connection is being made, and one of an attempt to a server never listed.
func TestCancelBeforeAnythingIsWritten(t *testing.T) {
	r := newHarness(t)
	task := newTask(r.job("a"))
	task.Cancel()
	r.servers.start(task)
	if e := r.attemptEnded(); e.Result != policy.ResultCancelled || len(r.server.Queries()) != 0 {
		t.Errorf("ended with %s, %d statements", routing.ResultNames[e.Result], len(r.server.Queries()))
	}
	job := r.job("b")
	job.Server = 9
	r.servers.Send(job)
	if e := r.attemptEnded(); e.Result != policy.ResultConnectFailed {
		t.Errorf("ended with %s", routing.ResultNames[e.Result])
	}
}

// A value larger than what was reserved for it would exceed the memory budget.
func TestOversizedAnswer(t *testing.T) {
	r := newHarness(t)
	r.server.SetQueryHandler(func(q *fake.Query) { q.ReplyRow(make([]byte, maxAnswerMessage)) })
	r.servers.Send(r.job("a"))
	if e := r.attemptEnded(); e.Result != policy.ResultError || e.Value != nil {
		t.Errorf("ended with %s", routing.ResultNames[e.Result])
	}
	<-r.server.Closed
}

// Role, position and load that a server reports reach the owner with the outcome, in its units.
func TestAnswerCarriesRoleAndPosition(t *testing.T) {
	r := newHarness(t)
	r.server.Position.Store(1_796_133_629_826)
	r.servers.Send(r.job("a"))
	e := r.attemptEnded()
	if e.Role != policy.RolePrimary || e.Position != 1_796_133_629_826_000 {
		t.Errorf("role %d at %d", e.Role, e.Position)
	}
	e.Value.Free()
	now := r.servers.Clock.Now()
	r.servers.HealthCheck(1, now, now+5_000_000)
	p := (<-r.events).(routing.HealthCheckEnded)
	if p.Result != policy.ResultOK || p.LoadReport.Position != 1_796_133_629_826_000 || p.LoadReport.Role != policy.RolePrimary ||
		p.LoadReport.Util != 250 {
		t.Errorf("%+v", p)
	}
}

// The router may close idle connections; a busy one ends after its answer.
func TestCloseIdle(t *testing.T) {
	r := newHarness(t)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	r.server.SetQueryHandler(func(q *fake.Query) {
		if q.ID() == "slow" {
			arrived <- struct{}{}
			<-release
		}
		q.ReplyRow([]byte("v"))
	})
	r.servers.Send(r.job("slow"))
	<-arrived
	r.servers.Send(r.job("quick"))
	if e := r.attemptEnded(); e.Job.ID != "quick" || e.Result != policy.ResultOK {
		t.Fatalf("%s ended with %s", e.Job.ID, routing.ResultNames[e.Result])
	}
	r.servers.CloseIdle(1)
	select {
	case n := <-r.server.Closed:
		if n != 2 {
			t.Errorf("connection %d ended, want the idle one", n)
		}
	case <-time.After(testTimeout):
		t.Fatal("the idle connection stays")
	}
	close(release)
	if e := r.attemptEnded(); e.Job.ID != "slow" || e.Result != policy.ResultOK {
		t.Errorf("%s ended with %s", e.Job.ID, routing.ResultNames[e.Result])
	}
}

// A health check without an answer closes the other idle connections to the server: the machine may be cut off, and when it is
// back its kernel knows none of them.
func TestHealthCheckTimeoutClosesIdleConnections(t *testing.T) {
	r := newHarness(t)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	r.server.SetQueryHandler(func(q *fake.Query) {
		arrived <- struct{}{}
		<-release
		q.ReplyRow([]byte("v"))
	})
	r.servers.Send(r.job("a"))
	r.servers.Send(r.job("b"))
	<-arrived
	<-arrived
	close(release)
	for range 2 {
		if e := r.attemptEnded(); e.Result != policy.ResultOK {
			t.Fatalf("ended with %s", routing.ResultNames[e.Result])
		}
	}
	r.server.Silent.Store(true)
	now := r.servers.Clock.Now()
	r.servers.HealthCheck(1, now, now+100_000)
	if p := (<-r.events).(routing.HealthCheckEnded); p.Result != policy.ResultTimeout {
		t.Errorf("the health check ended with %s", routing.ResultNames[p.Result])
	}
	for range 2 {
		select {
		case <-r.server.Closed:
		case <-time.After(testTimeout):
			t.Fatal("an idle sibling stays")
		}
	}
}

// Between requests a server may send a parameter's new value; any other message ends the connection, and a task that was
// assigned at that moment is carried out on another.
func TestUnsolicitedMessages(t *testing.T) {
	r := newHarness(t)
	queries := make(chan *fake.Query, 4)
	r.server.SetQueryHandler(func(q *fake.Query) {
		queries <- q
		q.ReplyRow([]byte("v"))
	})
	r.servers.endpointOf(1).idle.Put(r.idleConn())
	first := <-queries
	first.Write([]byte("S\x00\x00\x00\x08a\x00b\x00"))
	r.servers.Send(r.job("second"))
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Fatalf("behind a parameter's value: ended with %s", routing.ResultNames[e.Result])
	}
	second := <-queries
	l, _ := r.servers.endpointOf(1).idle.Take()
	l.mu.Lock()
	second.Write([]byte("E\x00\x00\x00\x05\x00"))
	l.current = newTask(r.job("third"))
	l.mu.Unlock()
	if e := r.attemptEnded(); e.Result != policy.ResultOK {
		t.Errorf("given as an error came: ended with %s", routing.ResultNames[e.Result])
	}
	if third := <-queries; third.Conn == second.Conn {
		t.Error("carried out on the connection that had failed")
	}
}

// message is a message as a server writes it, made here and not by the gateway's codec.
func message(kind byte, body string) string {
	n := len(body) + 4
	return string([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}) + body
}

// A malformed answer is an attempt that may have run: nothing in it is used, and its connection is never used again. None of them
// may hold its request up until the deadline.
func TestMalformedAnswers(t *testing.T) {
	answer := string(fake.RowMessages([]byte("v")))
	params := message('S', "role\x00primary\x00") + message('S', "applied_ms\x001796133629826\x00")
	for name, raw := range map[string]string{
		"noise":                         "\x91\x02\xfe\x00\x7f\x11 and more of it",
		"a line that never ends":        strings.Repeat("x", 300<<10),
		"a value said to hold 3 GB":     answer[:len(answer)-len(message('C', "SELECT 1\x00"))-12] + "D\xb2\xd0\x5e\x00" + strings.Repeat("y", 300<<10),
		"a length below four":           "T\x00\x00\x00\x01",
		"a refusal that cannot be read": params + message('E', "C53300") + message('Z', "I"),
		"a row that stops":              params + answer[:len(answer)-20],
		"a header that stops":           "T\x00\x00",
		"an answer without its end":     params + message('T', answer[5:5+26+4])[:20],
		"noise before the end":          params + answer + "\x00\x00\x00\x00\x00\x00\x00",
	} {
		r := newHarness(t)
		r.server.SetQueryHandler(func(q *fake.Query) { q.Write([]byte(raw)) })
		r.servers.Send(r.job("a"))
		e := r.attemptEnded()
		if e.Result != policy.ResultError || e.Role != policy.RoleUnknown || e.Position != 0 || e.Value != nil {
			t.Errorf("%s: ended with %s, role %d at %d", name, routing.ResultNames[e.Result], e.Role, e.Position)
		}
		if e.Latency > 4_000_000 {
			t.Errorf("%s: held for %d us", name, e.Latency)
		}
		<-r.server.Closed
		if n := r.servers.Fds.Used(); n != 0 {
			t.Errorf("%s: %d connections kept", name, n)
		}
	}
}

// What follows directly after a good answer is never taken for the next request's answer.
func TestExtraBytesAfterAnAnswer(t *testing.T) {
	r := newHarness(t)
	whole := string(fake.RowMessages([]byte("first"))) + message('Z', "I")
	r.server.SetQueryHandler(func(q *fake.Query) {
		if q.ID() == "first" {
			q.Write([]byte(whole + whole))
			return
		}
		q.ReplyRow([]byte("second"))
	})
	for _, id := range []string{"first", "second"} {
		r.servers.Send(r.job(id))
		e := r.attemptEnded()
		if e.Result != policy.ResultOK {
			t.Fatalf("%s ended with %s", id, routing.ResultNames[e.Result])
		}
		if parts := e.Value.BuffersFrom(0); !bytes.Contains(bytes.Join(parts, nil), []byte(id)) {
			t.Errorf("%s got %q", id, parts)
		}
		e.Value.Free()
	}
	if n := r.server.ConnsOpened(); n != 2 {
		t.Errorf("%d connections opened, want one for each", n)
	}
}

// A good answer with a load report that cannot be read is served; nothing of the report is used.
func TestUnreadableLoadReport(t *testing.T) {
	r := newHarness(t)
	r.server.SetQueryHandler(func(q *fake.Query) {
		q.Write([]byte(message('S', "load\x00x0=1796133629.826,\xff\x00") + message('S', "load") +
			string(fake.RowMessages([]byte("v"))) + message('Z', "I")))
	})
	r.servers.Send(r.job("a"))
	if e := r.attemptEnded(); e.Result != policy.ResultOK || e.LoadReport.HasPosition {
		t.Errorf("ended with %s, report %+v", routing.ResultNames[e.Result], e.LoadReport)
	}
	if r.servers.parseLoadReport("x0=1796133629.826,x1=zero").HasPosition {
		t.Error("half a report was believed")
	}
}

// Where idle connections are reset under requests, what is not idempotent is sent on a new one.
func TestSuspectedConnections(t *testing.T) {
	r := newHarness(t)
	r.server.SetQueryHandler(func(q *fake.Query) {
		if q.ID() == "reset" {
			q.CloseConn()
			return
		}
		q.ReplyRow([]byte("v"))
	})
	send := func(id string, nonIdempotent bool) policy.Result {
		job := r.job(id)
		job.NonIdempotent = nonIdempotent
		r.servers.Send(job)
		e := r.attemptEnded()
		e.Value.Free()
		return e.Result
	}
	send("first", true)
	send("second", true)
	if n := r.server.ConnsOpened(); n != 1 {
		t.Fatalf("%d connections opened with nothing to doubt", n)
	}
	if res := send("reset", false); res != policy.ResultReset {
		t.Fatalf("ended with %s", routing.ResultNames[res])
	}
	send("third", false)
	send("fourth", false) // on the connection that is kept
	before := r.server.ConnsOpened()
	if res := send("fifth", true); res != policy.ResultOK || r.server.ConnsOpened() != before+1 {
		t.Errorf("ended with %s on connection %d, want a new one behind %d", routing.ResultNames[res],
			r.server.ConnsOpened(), before)
	}
	r.servers.endpointOf(1).suspectedAt.Store(0)
	if send("sixth", true); r.server.ConnsOpened() != before+1 {
		t.Error("a new connection with nothing left to doubt")
	}
}

// A health check that is reset on an idle connection says nothing about the server: it is repeated on a new one.
func TestHealthCheckResetOnAnIdleConnection(t *testing.T) {
	r := newHarness(t)
	r.servers.endpointOf(1).idle.Put(r.idleConn())
	r.server.SetHealthCheckHandler(func(q *fake.Query) bool {
		if q.Conn == 1 {
			q.CloseConn()
			return true
		}
		return false
	})
	now := r.servers.Clock.Now()
	r.servers.HealthCheck(1, now, now+5_000_000)
	if p := (<-r.events).(routing.HealthCheckEnded); p.Result != policy.ResultOK {
		t.Errorf("the health check ended with %s", routing.ResultNames[p.Result])
	}
	r.server.SetHealthCheckHandler(func(q *fake.Query) bool { q.CloseConn(); return true })
	r.servers.HealthCheck(1, now, now+5_000_000)
	if p := (<-r.events).(routing.HealthCheckEnded); p.Result != policy.ResultReset {
		t.Errorf("with every connection reset it ended with %s", routing.ResultNames[p.Result])
	}
}
