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
// are set before the first use. The methods of routing.Servers are called by the owner's goroutine; each connection has a
// goroutine of its own (Servers.dial), which ends with the connection.
//
// The map endpoints is a copy of the addresses on routing's endpoint list, for use by the connections' goroutines. The map is
// guarded by mu. Only SetEndpoint and Forget, which the owner's goroutine calls, change the map.
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

// Queue accepts events for the owner's goroutine. It is implemented by routing.Owner.
type Queue interface{ Post(routing.Event) }

// serverEndpoint is the address of a server, with the idle connections to it.
type serverEndpoint struct {
	server      policy.ServerID
	endpoint    string
	idle        transport.Pool[*serverConn]
	suspectedAt atomic.Int64 // time at which a reused connection was last reset during a request
	// withdrawals counts the calls of Withdraw. An attempt that was passed to Send before the last call must not be started.
	withdrawals atomic.Int64
}

// suspectFor begins when a reused connection is reset during a request. During this time, no idle connection to that server is
// used for non-idempotent requests. After this time, only idle connections that have answered since the reset are used for such
// requests. This rule guards against idle connections that a server, a machine that was unreachable for a while, or the network
// has dropped without notice. Closing all idle connections instead would cost handshakes on a path that resets connections at
// random. The cost of the rule is some unnecessary handshakes for writes in the first seconds after a server has failed.
const suspectFor = 5 * clock.Micros(time.Second/time.Microsecond)

// task is one attempt or one health check. It implements routing.Attempt.
type task struct {
	routing.Job
	healthCheck       bool
	withdrawalsAtSend int64 // value of serverEndpoint.withdrawals when the task was passed to start
	ctx               context.Context
	stop              context.CancelFunc

	mu   sync.Mutex
	conn *serverConn // the connection that carries out the task; set before the connection is dialled
}

// Cancel cancels the task, whatever its state. It does not block.
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

// setConn records the connection that Cancel has to abort.
func (t *task) setConn(l *serverConn) {
	t.mu.Lock()
	t.conn = l
	t.mu.Unlock()
}

// SetEndpoint sets the address of a server. Idle connections to a previous address are closed.
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

// Withdraw ends every attempt at a server if no byte of the attempt has been written yet. The result is that of a failed connect,
// so that routing may send the attempt to another server.
func (s *Servers) Withdraw(server policy.ServerID) {
	if p := s.endpointOf(server); p != nil {
		p.withdrawals.Add(1)
	}
}

// Forget removes a server's address and closes the idle connections to it. Forget is called when no attempt at the server is in
// flight.
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

// endpointOf returns the endpoint of a server, or nil if the server has none.
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

// start assigns a task to an idle connection, or opens a new connection for the task.
func (s *Servers) start(t *task) {
	p := s.endpointOf(t.Server)
	if p == nil { // the server has no address, so nothing is sent
		go s.postEnded(t, unsent(policy.ResultConnectFailed)) // on a goroutine: the owner calls start and must not block on its own queue
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

// dial opens a connection for a task and starts the connection's goroutine, which ends with the connection. Servers.Close waits
// for the goroutine.
func (s *Servers) dial(t *task, p *serverEndpoint) {
	l := &serverConn{all: s, endpoint: p, current: t}
	s.mu.Lock()
	s.conns[l] = struct{}{}
	if s.closed { // the task comes from a connection that failed during Close
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

// taskResult is the result of a task.
type taskResult struct {
	result     policy.Result
	execution  policy.Execution
	params     postgres.Params
	loadReport string
	value      *transport.Message
}

// unsent returns the result of a task whose last byte was not written. Such a request has not run, because a server starts
// executing it only when it has received the last byte.
func unsent(result policy.Result) taskResult {
	return taskResult{result: result, execution: policy.ExecutionNone}
}

// postEnded posts the end of a task, with its result, to the owner.
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

// parseLoadReport parses a load report. If any field cannot be parsed, it returns an empty report.
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

// Close cancels all tasks in flight, closes every connection and waits until the connections' goroutines have ended. No task may be
// started afterwards.
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

// idleMargin is how long before the server's idle timeout the gateway closes an idle connection. A request written just as the
// server closes the connection would end with a reset, and the server's timeout may have started slightly earlier.
const idleMargin = 2 * time.Second

// idleAfter returns how long a connection may be idle.
func (s *Servers) idleAfter() time.Duration {
	keep := time.Duration(s.InForce.Load().Keepalive) * time.Microsecond
	if keep <= 0 {
		return DefaultTimeouts.Idle
	}
	return max(keep-idleMargin, keep/2)
}
