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

// serverConn is one connection to a database server. It carries out one task at a time. Only its goroutine reads and writes the
// socket; the fields guarded by mu are shared with the goroutines that assign tasks, cancel them or ask the connection to close.
type serverConn struct {
	all      *Servers
	endpoint *serverEndpoint
	conn     *transport.Conn

	mu      sync.Mutex
	current *task // the task that is being carried out; nil while the connection is idle
	closing bool
	reason  transport.Reason
	served  int

	answered atomic.Int64 // time at which the last complete answer was read, as clock.Micros

	lastCode    string    // code of the last answer, empty if that was no error; used by the connection's goroutine only
	lastRefusal string    // code of the last error that proved that its request did not run; used by the connection's goroutine only
	refusedAt   time.Time // time at which that error was read
}

// assign gives an idle connection its next task. It returns false if the connection is closing.
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

// abort aborts the connection if it is still carrying out the task.
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

// hasTaskOrClosing reports whether the connection has a task or has been asked to close.
func (l *serverConn) hasTaskOrClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil || l.closing
}

// run connects, carries out the first task and then each assigned task, until the connection ends.
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
		if reason == notEnded {
			reason, err = l.idle()
		}
		if reason != notEnded {
			break
		}
	}
	l.all.Ends.Record(transport.Server, l.endpoint.endpoint, reason, since, l.served, err)
}

// notEnded is used instead of a reason while the connection has not ended.
const notEnded = transport.Reason(255)

// connect dials the server and completes the start-up, within the connect timeout.
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
		return resultOf(reply.Code, true), transport.EndRejected, errors.New("the server rejected the start-up with " + reply.Code)
	}
	l.answered.Store(int64(clock.Now()))
	return policy.ResultOK, 0, nil
}

// carryOut carries out the current task and posts its result to the owner. If the task did not end with the server's ReadyForQuery,
// the connection is closed before the result is posted.
func (l *serverConn) carryOut() (transport.Reason, error) {
	t := l.task()
	if l.served > 0 && !l.conn.Silent() { // the server closed the connection before any write, so the task may run on another connection
		l.end()
		l.all.dial(t, l.endpoint)
		return transport.EndPeerClosed, nil
	}
	e, reason, err := l.exchange(t)
	return l.finishTask(t, e, reason, err)
}

// finishTask closes the connection or returns it to the pool, and posts the result of its task to the owner.
func (l *serverConn) finishTask(t *task, result taskResult, reason transport.Reason, err error) (transport.Reason, error) {
	l.served++
	if reason != notEnded {
		l.end()
		switch {
		case t.healthCheck && result.result == policy.ResultTimeout:
			// The server's machine may be unreachable. When it is reachable again, its kernel may have forgotten the other idle
			// connections, and a request on one of them would be lost like this health check. If the machine was
			// reachable, the cost is some unnecessary handshakes.
			closeIdleConns(l.endpoint)
		case result.result == policy.ResultReset && l.served > 1:
			l.endpoint.suspectedAt.Store(int64(l.all.Clock.Now()))
			if t.healthCheck { // the reset proves only that this connection is dead; a new connection shows whether the server is down
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
	case l.conn.Aborted(): // the task was cancelled just as it completed
		l.closing, l.reason = true, transport.EndAbandoned
	case l.all.endpointOf(l.endpoint.server) != l.endpoint: // the server has moved to another address
		l.closing, l.reason = true, transport.EndReplaced
	}
	closing := l.closing
	l.mu.Unlock()
	if result.result != policy.ResultNotSent {
		l.answered.Store(int64(l.all.Clock.Now()))
	}
	if !closing {
		l.all.Fds.MarkIdle(l, transport.IdleServer)
		l.endpoint.idle.Put(l)
	}
	l.all.postEnded(t, result)
	return notEnded, nil
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

// errUnsolicited is returned when a server sends, between requests, a message that it may send only as part of an answer.
var errUnsolicited = errors.New("unsolicited message from the server")

// idle waits for the next task. It detects a close by the server, or a message from the server, at once.
func (l *serverConn) idle() (transport.Reason, error) {
	deadline := time.Now().Add(l.all.idleAfter())
	for {
		err := l.conn.Wait(postgres.HeaderSize, deadline, l.hasTaskOrClosing)
		if err == nil {
			if err = l.skipAsync(); err == nil {
				continue
			}
		}
		l.mu.Lock()
		next, closing, reason := l.current, l.closing, l.reason
		if next == nil {
			l.closing = true // from here on, assign returns false
		}
		l.mu.Unlock()
		unsolicited := errors.Is(err, errUnsolicited)
		switch {
		case next != nil && !unsolicited:
			l.all.Fds.MarkBusy(l)
			return notEnded, nil
		case unsolicited:
			reason = transport.EndServerFailed
		case closing:
			err = nil
		case errors.Is(err, transport.ErrDeadline):
			reason, err = transport.EndIdle, nil
		default:
			reason = transport.ReasonOf(err)
		}
		l.end()
		if next != nil { // the task was assigned while the connection ended; a new connection carries out the task
			l.all.dial(next, l.endpoint)
		}
		return reason, err
	}
}

// skipAsync skips a message that a server may send between requests. For any other message it returns errUnsolicited, which ends
// the connection.
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

var _ routing.Attempt = (*task)(nil)
