package session

import (
	"errors"
	"net"
	"time"

	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// This file is one request and its answer on a server's connection, and what they prove of whether the request ran.

// maxAnswerMessage bounds one message of an answer, in bytes: the largest value, in hex, and its header.
const maxAnswerMessage = 130 << 10

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
	result, reason := taskResult{params: reply.Params, loadReport: loadReport}, notEnded
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
	if reason == notEnded && (err != nil || l.conn.Buffered() > 0) {
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
			due = l.stallDeadline(deadline)
		}
		if err := l.conn.Wait(1, due, t.cancelled); err != nil {
			return row, stallError(err, due, deadline)
		}
		due = l.stallDeadline(deadline)
		if err := l.conn.Wait(postgres.HeaderSize, due, t.cancelled); err != nil {
			return row, stallError(err, due, deadline)
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
		due = l.stallDeadline(deadline)
		if err := l.conn.Wait(head, due, t.cancelled); err != nil {
			return row, stallError(err, due, deadline)
		}
		received := l.conn.Peek(head)
		if err := reply.Handle(header, received[postgres.HeaderSize:]); err != nil {
			return row, errors.Join(errProtocol, err)
		}
		switch {
		case header.Type == postgres.TypeDataRow && value == nil:
			row = postgres.RowValue(received[postgres.HeaderSize:])
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
		due := l.stallDeadline(deadline)
		if err := l.conn.Fill(value, n, due, t.cancelled); err != nil {
			return stallError(err, due, deadline)
		}
		remaining -= n
	}
	return nil
}

// stallDeadline is when an answer that has begun and stops counts as malformed.
func (l *serverConn) stallDeadline(deadline time.Time) time.Time {
	due := time.Now().Add(time.Duration(l.all.InForce.Load().Settings.ConnectTimeout) * time.Microsecond)
	if due.After(deadline) {
		return deadline
	}
	return due
}

// stallError tells an answer that stopped from one that did not arrive in time.
func stallError(err error, due, deadline time.Time) error {
	if errors.Is(err, transport.ErrDeadline) && due.Before(deadline) {
		return errStalled
	}
	return err
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

// duplicateRefusalWindow is how long after a refusal a copy of it may be taken for an answer: later ones are there before the next request is
// written, and end the connection. It is shorter than the pause that policy makes at a server that has rejected a request (a tick at
// the least), so that a retry there is believed when it is rejected too.
const duplicateRefusalWindow = 2 * time.Millisecond

// repeatsRefusal reports whether an error repeats the refusal right before it. It may be a copy of that, which a server or something
// on the way has sent twice and which has crossed the request written at a time: it proves nothing, and the answer is still to come.
func (l *serverConn) repeatsRefusal(code string, written time.Time) bool {
	if executionOf(code) != policy.ExecutionNone {
		return false
	}
	repeated := code == l.lastRefusal && written.Sub(l.refusedAt) < duplicateRefusalWindow
	l.lastRefusal, l.refusedAt = code, time.Now()
	return repeated
}
