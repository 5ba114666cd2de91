package session

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// Servers holds the connections to the database servers and carries out attempts and health checks on them. The exported fields
// are set before the first use. Its routing.Servers methods are called by the owner's goroutine; each connection has a goroutine
// of its own (Servers.dial), which ends with the connection.
//
// The addresses in endpoints are a copy of those on routing's endpoint list, for the connections' goroutines. Only SetEndpoint
// and Forget write it, called by the owner's goroutine; mu guards it.
type Servers struct {
	Owner   Queue
	InForce *settings.Live
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
	Ends    *transport.EndRecorder
	Clock   routing.Clock
	User    string
	DB      string

	mu        sync.Mutex
	endpoints map[policy.ServerID]*serverEndpoint
	open      sync.WaitGroup
	conns     map[*serverConn]struct{}
	closed    bool
}

// Queue takes events for the owner's goroutine; it is a routing.Owner.
type Queue interface{ Post(routing.Event) }

// serverEndpoint is the address of a server, with the idle connections there.
type serverEndpoint struct {
	server      policy.ServerID
	endpoint    string
	idle        transport.Pool[*serverConn]
	suspectedAt atomic.Int64 // when an idle connection was last reset under a request
	// withdrawals counts calls of Withdraw: a task that was sent before the last one may not begin.
	withdrawals atomic.Int64
}

// suspectFor is how long idle connections to a server are not trusted with what must not run twice, after one was reset under a
// request; later only those are that have answered since. It guards against servers, machines back from being cut off and
// paths to them that have dropped idle connections without a word. Closing all of them instead would cost handshakes on a path
// that resets at random. The price is some handshakes too many for writes in the seconds after a server's death.
const suspectFor = 5 * clock.Micros(time.Second/time.Microsecond)

// task is one attempt or one health check. It implements routing.Attempt.
type task struct {
	routing.Job
	healthCheck       bool
	withdrawalsAtSend int64 // serverEndpoint.withdrawals when it was sent
	ctx               context.Context
	stop              context.CancelFunc

	mu   sync.Mutex
	conn *serverConn // that carries it out, while or after it connects
}

// Cancel gives the task up, in whatever state it is. It does not block.
func (t *task) Cancel() {
	t.stop()
	t.mu.Lock()
	l := t.conn
	t.mu.Unlock()
	if l != nil {
		l.abort(t)
	}
}

func (t *task) cancelled() bool { return t.ctx.Err() != nil }

// setConn notes the connection that a cancel has to reach.
func (t *task) setConn(l *serverConn) {
	t.mu.Lock()
	t.conn = l
	t.mu.Unlock()
}

// SetEndpoint says at which address a server is. Idle connections to a former address are closed.
func (s *Servers) SetEndpoint(server policy.ServerID, endpoint string) {
	s.mu.Lock()
	if s.endpoints == nil {
		s.endpoints, s.conns = map[policy.ServerID]*serverEndpoint{}, map[*serverConn]struct{}{}
	}
	old := s.endpoints[server]
	if old == nil || old.endpoint != endpoint {
		s.endpoints[server] = &serverEndpoint{server: server, endpoint: endpoint}
	}
	s.mu.Unlock()
	if old != nil && old.endpoint != endpoint {
		closeIdleConns(old)
	}
}

// CloseIdle closes the idle connections to a server.
func (s *Servers) CloseIdle(server policy.ServerID) {
	if p := s.endpointOf(server); p != nil {
		closeIdleConns(p)
	}
}

// Withdraw has every attempt at a server that has not written its first byte end as one that could not connect: it may be sent
// elsewhere.
func (s *Servers) Withdraw(server policy.ServerID) {
	if p := s.endpointOf(server); p != nil {
		p.withdrawals.Add(1)
	}
}

// Forget drops a server's address once nothing is in flight there. Its idle connections are closed.
func (s *Servers) Forget(server policy.ServerID) {
	s.mu.Lock()
	p := s.endpoints[server]
	delete(s.endpoints, server)
	s.mu.Unlock()
	if p != nil {
		closeIdleConns(p)
	}
}

// closeIdleConns closes the idle connections to an address.
func closeIdleConns(p *serverEndpoint) {
	for _, l := range p.idle.TakeAll() {
		l.CloseIdle(transport.EndReplaced)
	}
}

// endpointOf is the address of a server; nil if there is none.
func (s *Servers) endpointOf(server policy.ServerID) *serverEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[server]
}

// Send starts an attempt.
func (s *Servers) Send(job routing.Job) routing.Attempt {
	t := newTask(job)
	s.start(t)
	return t
}

func newTask(job routing.Job) *task {
	t := &task{Job: job}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// HealthCheck asks a server for its load report.
func (s *Servers) HealthCheck(server policy.ServerID, sent, until clock.Micros) {
	t := newTask(routing.Job{Server: server, SentAt: sent, Deadline: until})
	t.healthCheck = true
	s.start(t)
}

// start gives a task to an idle connection, or to a new one.
func (s *Servers) start(t *task) {
	p := s.endpointOf(t.Server)
	if p == nil { // never listed: nothing can have run there
		go s.postEnded(t, unsent(policy.ResultConnectFailed)) // the owner must not wait for its own queue
		return
	}
	t.withdrawalsAtSend = p.withdrawals.Load()
	suspected := p.suspectedAt.Load()
	for !t.NonIdempotent || int64(s.Clock.Now()-suspectFor) >= suspected {
		l, ok := p.idle.Take()
		if !ok {
			break
		}
		if t.NonIdempotent && l.answered.Load() < suspected {
			l.CloseIdle(transport.EndReplaced)
			continue
		}
		if l.assign(t) {
			return
		}
	}
	s.dial(t, p)
}

// dial starts a connection for a task. The goroutine of the connection ends when the connection does; Close waits for it.
func (s *Servers) dial(t *task, p *serverEndpoint) {
	l := &serverConn{all: s, endpoint: p, current: t}
	s.mu.Lock()
	s.conns[l] = struct{}{}
	if s.closed { // the task of a connection that broke during Close
		t.stop()
		l.closing, l.reason = true, transport.EndDraining
	}
	s.mu.Unlock()
	s.open.Add(1)
	go func() {
		defer s.open.Done()
		l.run(t)
	}()
}

// taskResult is how a task ended.
type taskResult struct {
	result     policy.Result
	execution  policy.Execution
	params     postgres.Params
	loadReport string
	value      *transport.Message
}

// unsent is the result of a task whose last byte was not written: a server begins with the last byte.
func unsent(result policy.Result) taskResult {
	return taskResult{result: result, execution: policy.ExecutionNone}
}

// postEnded tells the owner how a task ended.
func (s *Servers) postEnded(t *task, result taskResult) {
	t.stop()
	latency := s.Clock.Now() - t.SentAt
	if t.healthCheck {
		s.Owner.Post(routing.HealthCheckEnded{
			Server: t.Server, Result: result.result, Latency: latency, LoadReport: s.parseLoadReport(result.loadReport),
		})
		return
	}
	t.Payload.Free()
	out := routing.AttemptEnded{
		Job: t.Job, Result: result.result, Execution: result.execution, Latency: latency, Role: roles[result.params.Role],
		LoadReport: s.parseLoadReport(result.params.Load), Value: result.value,
	}
	if pos, err := settings.ParseScaled(result.params.Position, 3); err == nil {
		out.Position = policy.Position(pos)
	}
	s.Owner.Post(out)
}

var roles = map[string]policy.Role{"primary": policy.RolePrimary, "replica": policy.RoleReplica}

// parseLoadReport reads a load report. One of which any field cannot be read counts as empty.
func (s *Servers) parseLoadReport(text string) policy.LoadReport {
	var loadReport policy.LoadReport
	fields, ok := postgres.LoadFields(text)
	for _, f := range fields {
		ok = ok && settings.SetLoadReportField(&loadReport, f.Name, f.Value, 0) == nil
	}
	if !ok {
		return policy.LoadReport{}
	}
	return loadReport
}

// Close cancels what is in flight, closes every connection and waits for their goroutines. Nothing may be started afterwards.
func (s *Servers) Close() {
	s.mu.Lock()
	s.closed = true
	all := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, l := range all {
		l.CloseIdle(transport.EndDraining)
		if t := l.task(); t != nil {
			t.Cancel()
		}
	}
	s.open.Wait()
}

func (s *Servers) remove(l *serverConn) {
	s.mu.Lock()
	delete(s.conns, l)
	s.mu.Unlock()
}

// idleMargin is how long before a server closes an idle connection the gateway does: a request written then would
// end as a reset, and the server's clock for it may have started a little earlier.
const idleMargin = 2 * time.Second

// idleAfter is how long a connection may be idle.
func (s *Servers) idleAfter() time.Duration {
	keep := time.Duration(s.InForce.Load().Keepalive) * time.Microsecond
	if keep <= 0 {
		return DefaultTimeouts.Idle
	}
	return max(keep-idleMargin, keep/2)
}
