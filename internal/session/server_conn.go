package session

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// serverConn is one connection to a database server. It carries out one task at a time. Its goroutine alone reads and writes the
// socket; the fields behind mu are shared with those that assign tasks, cancel them or ask for its end.
type serverConn struct {
	all      *Servers
	endpoint *serverEndpoint
	conn     *transport.Conn

	mu      sync.Mutex
	current *task // being carried out; nil while idle
	closing bool
	reason  transport.Reason
	served  int

	answered atomic.Int64 // when its last complete answer was read, as clock.Micros

	lastRefusal string    // code of the last error that proved that nothing ran; of its goroutine only
	refusedAt   time.Time // when that was read
}

// assign gives an idle connection its next task, unless it is about to close.
func (l *serverConn) assign(t *task) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.current = t
	t.setConn(l)
	l.conn.Wake()
	return true
}

// abort breaks the connection off if it still carries out the task.
func (l *serverConn) abort(t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == t && l.conn != nil {
		l.conn.Abort()
	}
}

// CloseIdle asks the connection to close once it is idle.
func (l *serverConn) CloseIdle(reason transport.Reason) {
	l.endpoint.idle.Remove(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return
	}
	l.closing, l.reason = true, reason
	if l.current == nil && l.conn != nil {
		l.conn.Wake()
	}
}

func (l *serverConn) task() *task {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// disturbed reports whether an idle connection has been given a task or asked to close.
func (l *serverConn) disturbed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil || l.closing
}

// run connects, carries out the first task, and then whatever is assigned, until the connection ends.
func (l *serverConn) run(first *task) {
	defer l.all.remove(l)
	since := time.Now()
	result, reason, err := l.connect(first)
	if err != nil {
		if l.conn != nil {
			l.conn.Close()
		}
		if first.cancelled() {
			result, reason = policy.ResultCancelled, transport.EndAbandoned
		}
		l.all.Ends.Record(transport.Server, l.endpoint.endpoint, reason, since, 0, err)
		l.all.postEnded(first, unsent(result))
		return
	}
	for {
		reason, err = l.carryOut()
		if reason == carryOn {
			reason, err = l.idle()
		}
		if reason != carryOn {
			break
		}
	}
	l.all.Ends.Record(transport.Server, l.endpoint.endpoint, reason, since, l.served, err)
}

// carryOn takes the place of the reason for a connection that has not ended.
const carryOn = transport.Reason(255)

// connect dials and starts up, within the connect timeout.
func (l *serverConn) connect(t *task) (policy.Result, transport.Reason, error) {
	t.setConn(l)
	clock := l.all.Clock
	deadline := clock.Time(min(clock.Now()+l.all.InForce.Load().Settings.ConnectTimeout, t.Deadline))
	conn, err := transport.Dial(t.ctx, l.endpoint.endpoint, deadline, l.all.Buffers, l.all.Fds, t.healthCheck)
	if err != nil {
		return policy.ResultConnectFailed, transport.DialReason(err), err
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	if _, err := conn.Write(deadline, net.Buffers{postgres.AppendStartup(nil, l.all.User, l.all.DB)}); err != nil {
		return policy.ResultConnectFailed, transport.ReasonOf(err), err
	}
	reply := postgres.Reply{Startup: true}
	if _, err := l.readReply(&reply, deadline, t, nil); err != nil {
		reason := transport.ReasonOf(err)
		if errors.Is(err, transport.ErrDeadline) {
			reason = transport.EndUnreachable
		}
		if reply.Code == postgres.CodeTooManyConnections {
			return policy.ResultOverloaded, transport.EndRejected, err
		}
		return policy.ResultConnectFailed, reason, err
	}
	if reply.Code != "" {
		return resultOf(reply.Code, true), transport.EndRejected, errors.New("turned away with " + reply.Code)
	}
	return policy.ResultOK, 0, nil
}

// resultOf maps the code of an error to the result. Before the start-up is complete nothing can have run.
func resultOf(code string, starting bool) policy.Result {
	switch {
	case code == postgres.CodeTooManyConnections:
		return policy.ResultOverloaded
	case starting:
		return policy.ResultConnectFailed
	case code == postgres.CodeReadOnlyTransaction, code == postgres.CodeSnapshotTooOld:
		return policy.ResultMisdirected
	}
	return policy.ResultError
}

// executionOf is what the code of an error in place of an answer proves.
func executionOf(code string) policy.Execution {
	switch code {
	case postgres.CodeTooManyConnections, postgres.CodeReadOnlyTransaction, postgres.CodeSnapshotTooOld:
		return policy.ExecutionNone
	}
	return policy.ExecutionUnknown
}

// surplusWindow is how long after a refusal a copy of it may still arrive.
const surplusWindow = 10 * time.Millisecond

// repeatsRefusal reports whether an error repeats the refusal right before it. It may be a copy of that, which a server or something
// on the way has sent twice and which has crossed the request written at a time: it proves nothing, and the answer is still to come.
func (l *serverConn) repeatsRefusal(code string, written time.Time) bool {
	if executionOf(code) != policy.ExecutionNone {
		return false
	}
	repeated := code == l.lastRefusal && written.Sub(l.refusedAt) < surplusWindow
	l.lastRefusal, l.refusedAt = code, time.Now()
	return repeated
}

// carryOut carries out the current task and tells the owner how it ended. A connection whose task did not end with the server's
// ReadyForQuery is closed before the owner hears of it.
func (l *serverConn) carryOut() (transport.Reason, error) {
	t := l.task()
	if l.served > 0 && !l.conn.Silent() { // closed by the server: nothing was written, so another connection may be tried
		l.end()
		l.all.dial(t, l.endpoint)
		return transport.EndPeerClosed, nil
	}
	e, reason, err := l.exchange(t)
	return l.finishTask(t, e, reason, err)
}

// finishTask closes the connection or returns it to the pool, and tells the owner how its task ended.
func (l *serverConn) finishTask(t *task, result taskResult, reason transport.Reason, err error) (transport.Reason, error) {
	l.served++
	if reason != carryOn {
		l.end()
		switch {
		case t.healthCheck && result.result == policy.ResultTimeout:
			// The machine is cut off: when it is back its kernel knows none of the idle siblings, and a request on
			// one of them would be lost like this check. The price is some handshakes too many.
			closeIdleConns(l.endpoint)
		case result.result == policy.ResultReset && l.served > 1:
			l.endpoint.suspectedAt.Store(int64(l.all.Clock.Now()))
			if t.healthCheck { // only this connection is known to be dead; a new one shows whether the server is
				l.all.dial(t, l.endpoint)
				return reason, err
			}
		}
		l.all.postEnded(t, result)
		return reason, err
	}
	l.mu.Lock()
	l.current = nil
	switch {
	case l.closing:
	case l.conn.Aborted(): // the task was cancelled at the moment it was done
		l.closing, l.reason = true, transport.EndAbandoned
	case l.all.endpointOf(l.endpoint.server) != l.endpoint: // the server has another address by now
		l.closing, l.reason = true, transport.EndReplaced
	}
	closing := l.closing
	l.mu.Unlock()
	l.answered.Store(int64(l.all.Clock.Now()))
	if !closing {
		l.all.Fds.MarkIdle(l, transport.IdleServer)
		l.endpoint.idle.Put(l)
	}
	l.all.postEnded(t, result)
	return carryOn, nil
}

// end closes the connection.
func (l *serverConn) end() {
	l.mu.Lock()
	l.closing, l.current = true, nil
	l.mu.Unlock()
	l.endpoint.idle.Remove(l)
	l.all.Fds.MarkBusy(l)
	l.conn.Close()
}

// errUnsolicited is a message from a server that no request called for.
var errUnsolicited = errors.New("a message that nobody asked for")

// idle waits for the next task. What the server sends, and its close, is noticed at once.
func (l *serverConn) idle() (transport.Reason, error) {
	deadline := time.Now().Add(l.all.idleAfter())
	for {
		err := l.conn.Wait(postgres.HeaderSize, deadline, l.disturbed)
		if err == nil {
			if err = l.skipAsync(); err == nil {
				continue
			}
		}
		l.mu.Lock()
		next, closing, reason := l.current, l.closing, l.reason
		if next == nil {
			l.closing = true // from here on assign fails
		}
		l.mu.Unlock()
		unasked := errors.Is(err, errUnsolicited)
		switch {
		case next != nil && !unasked:
			l.all.Fds.MarkBusy(l)
			return carryOn, nil
		case unasked:
			reason = transport.EndServerFailed
		case closing:
			err = nil
		case errors.Is(err, transport.ErrDeadline):
			reason, err = transport.EndIdle, nil
		default:
			reason = transport.ReasonOf(err)
		}
		l.end()
		if next != nil { // assigned at this moment: another connection takes it
			l.all.dial(next, l.endpoint)
		}
		return reason, err
	}
}

// skipAsync skips a message that a server may send between requests; any other ends the connection.
func (l *serverConn) skipAsync() error {
	h, err := postgres.ParseHeader(l.conn.Peek(postgres.HeaderSize))
	if err != nil || h.Type != postgres.TypeParameterStatus && h.Type != postgres.TypeNoticeResponse {
		return errUnsolicited
	}
	if err := l.conn.SkipUntil(postgres.HeaderSize+h.Body, time.Now().Add(DefaultTimeouts.Message), nil); err != nil {
		return errors.Join(errUnsolicited, err)
	}
	return nil
}

// errWithdrawn says that a server was withdrawn, or has another address, before the first byte of an attempt went there.
var errWithdrawn = errors.New("withdrawn before its first byte")

// withdrawn reports whether a task may not begin here any more.
func (l *serverConn) withdrawn(t *task) bool {
	return !t.healthCheck && (t.withdrawalsAtSend != l.endpoint.withdrawals.Load() || l.all.endpointOf(t.Server) != l.endpoint)
}

// exchange writes a request and reads its answer.
func (l *serverConn) exchange(t *task) (taskResult, transport.Reason, error) {
	if l.withdrawn(t) {
		return unsent(policy.ResultConnectFailed), transport.EndReplaced, errWithdrawn
	}
	clock := l.all.Clock
	until := clock.Time(t.Deadline)
	var parts net.Buffers
	var total int64
	var value *transport.Message
	if t.healthCheck {
		q := postgres.AppendQuery(nil, postgres.LoadQuery)
		parts, total = net.Buffers{q}, int64(len(q))
	} else {
		parts, total = t.Payload.(*query).parts(int64(max(t.Deadline-clock.Now(), 1000)) / 1000)
		value = l.all.Buffers.NewMessage()
	}
	if reason, err := l.writeRequest(t, parts, total, until); err != nil {
		value.Free()
		if t.cancelled() {
			return unsent(policy.ResultCancelled), transport.EndAbandoned, nil
		}
		return unsent(policy.ResultConnectFailed), reason, err
	}
	// From here on it may have run, unless the server itself says otherwise.
	written := time.Now()
	var reply postgres.Reply
	loadReport, err := l.readReply(&reply, until, t, value)
	result, reason := taskResult{params: reply.Params, loadReport: loadReport}, carryOn
	switch {
	case errors.Is(err, errProtocol): // malformed: it may have run, and nothing in the answer is used
		result, reason = taskResult{result: policy.ResultError}, transport.EndProtocol
	case reply.Complete():
		result.result, result.execution, result.value = policy.ResultOK, policy.ExecutionDone, value
	case reply.Code != "":
		result.result = resultOf(reply.Code, false)
		result.execution = executionOf(reply.Code)
		if l.repeatsRefusal(reply.Code, written) {
			result.execution, reason = policy.ExecutionUnknown, transport.EndServerFailed
		}
	case errors.Is(err, errStalled):
		result, reason = taskResult{result: policy.ResultError}, transport.EndProtocol
	case errors.Is(err, transport.ErrWoken):
		result.result, reason = policy.ResultCancelled, transport.EndAbandoned
	case errors.Is(err, transport.ErrDeadline):
		result.result, reason = policy.ResultTimeout, transport.EndTimeout
	default:
		result.result, reason = policy.ResultReset, transport.ReasonOf(err)
	}
	if reason == carryOn && (err != nil || l.conn.Buffered() > 0) {
		reason = transport.EndServerFailed // more came than belongs to the answer: it must not count for the next one
	}
	if result.value == nil {
		value.Free()
	}
	return result, reason, err
}

// errFenced says that an in-doubt write may not be sent from here any more: its claim is not confirmed.
var errFenced = errors.New("the booking is claimed by another gateway, or its claim could not be confirmed")

// writeRequest writes a request. Of an in-doubt write the last byte is held back until the write is known to be claimed by this
// gateway: a server begins with the last byte, and this process may have been suspended before any of the others.
func (l *serverConn) writeRequest(t *task, parts net.Buffers, total int64, until time.Time) (transport.Reason, error) {
	write := func(parts net.Buffers, total int64) (transport.Reason, error) {
		if n, err := l.conn.Write(until, parts); n < total {
			return transport.ReasonOf(err), err
		}
		return 0, nil
	}
	q, _ := t.Payload.(*query)
	if q == nil || q.write == nil {
		return write(parts, total)
	}
	at := len(parts) - 1
	last := parts[at][len(parts[at])-1:]
	parts[at] = parts[at][:len(parts[at])-1]
	if reason, err := write(parts, total-1); err != nil {
		return reason, err
	}
	if !q.write.MaySend(t.ctx, l.endpoint.endpoint, until) {
		return transport.EndAbandoned, errFenced
	}
	return write(net.Buffers{last}, 1)
}

// errProtocol marks what a server must not send.
var errProtocol = errors.New("protocol broken")

// errStalled is an answer that has begun and then stopped. What it said in complete messages holds.
var errStalled = errors.New("the answer stopped in its middle")

// readReply reads messages up to ReadyForQuery. What belongs to the answer goes into value; of a health check's row it returns
// the text. An answer that has begun must go on: one that stops for longer than the connect timeout counts as malformed, and its
// request need not wait for its deadline. The price is an answer lost where a machine is held up in the middle of it.
func (l *serverConn) readReply(reply *postgres.Reply, deadline time.Time, t *task, value *transport.Message) (string, error) {
	row := ""
	for !reply.Ready {
		due := deadline
		if reply.Started() {
			due = l.stall(deadline)
		}
		if err := l.conn.Wait(1, due, t.cancelled); err != nil {
			return row, stalled(err, due, deadline)
		}
		due = l.stall(deadline)
		if err := l.conn.Wait(postgres.HeaderSize, due, t.cancelled); err != nil {
			return row, stalled(err, due, deadline)
		}
		header, err := postgres.ParseHeader(l.conn.Peek(postgres.HeaderSize))
		if err != nil {
			return row, errors.Join(errProtocol, err)
		}
		size := postgres.HeaderSize + header.Body
		head := min(size, transport.BufferSize)
		if size > head && (header.Type != postgres.TypeDataRow || value == nil || size > maxAnswerMessage) {
			return row, errors.Join(errProtocol, errors.New("a message is too large"))
		}
		due = l.stall(deadline)
		if err := l.conn.Wait(head, due, t.cancelled); err != nil {
			return row, stalled(err, due, deadline)
		}
		seen := l.conn.Peek(head)
		if err := reply.Handle(header, seen[postgres.HeaderSize:]); err != nil {
			return row, errors.Join(errProtocol, err)
		}
		switch {
		case header.Type == postgres.TypeDataRow && value == nil:
			row = postgres.RowValue(seen[postgres.HeaderSize:])
		case value != nil && postgres.IsForwarded(header.Type):
			if err := l.readValue(value, size, deadline, t); err != nil {
				return row, err
			}
			continue
		}
		if err := l.conn.Skip(size); err != nil {
			return row, err
		}
		if reply.Fatal {
			return row, errors.New("the server ended the session with " + reply.Code)
		}
	}
	return row, nil
}

// readValue reads a message into the value, a buffer at a time. A large one waits here until there is memory for it; answers that
// are in memory already go out to their clients meanwhile.
func (l *serverConn) readValue(value *transport.Message, remaining int, deadline time.Time, t *task) error {
	if err := value.Grow(remaining, deadline, t.cancelled); err != nil {
		return err
	}
	for remaining > 0 {
		n := min(remaining, transport.BufferSize)
		due := l.stall(deadline)
		if err := l.conn.Fill(value, n, due, t.cancelled); err != nil {
			return stalled(err, due, deadline)
		}
		remaining -= n
	}
	return nil
}

// stall is when an answer that has begun and stops counts as malformed.
func (l *serverConn) stall(deadline time.Time) time.Time {
	due := time.Now().Add(time.Duration(l.all.InForce.Load().Settings.ConnectTimeout) * time.Microsecond)
	if due.After(deadline) {
		return deadline
	}
	return due
}

// stalled tells an answer that stopped from one that did not arrive in time.
func stalled(err error, due, deadline time.Time) error {
	if errors.Is(err, transport.ErrDeadline) && due.Before(deadline) {
		return errStalled
	}
	return err
}

var _ routing.Attempt = (*task)(nil)

// maxAnswerMessage bounds one message of an answer, in bytes: the largest value, in hex, and its header.
const maxAnswerMessage = 130 << 10
