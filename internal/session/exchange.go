package session

import (
	"errors"
	"net"
	"time"

	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// This file writes one request to a server's connection, reads its answer, and derives from both whether the request ran.

// maxAnswerMessage is the maximum size of one message of an answer, in bytes: the largest value, in hex, and its header.
const maxAnswerMessage = 130 << 10

// errSurplus is the cause of the end of a connection on which the server has sent more than the answers to its requests.
var errSurplus = errors.New("the server sent more than one answer to a request")

// exchange writes a request and reads its answer.
func (l *serverConn) exchange(t *task) (taskResult, transport.Reason, error) {
	if !l.mayBegin(t) {
		return unsent(policy.ResultNotSent), notEnded, nil
	}
	if l.withdrawn(t) {
		return unsent(policy.ResultConnectFailed), transport.EndReplaced, errWithdrawn
	}
	if !t.healthCheck && t.Client.Gone() {
		return unsent(policy.ResultCancelled), transport.EndAbandoned, errClientGone
	}
	until := l.all.Clock.Time(t.Deadline)
	if reason, err := l.writeRequest(t, until); err != nil {
		if t.cancelled() {
			return unsent(policy.ResultCancelled), transport.EndAbandoned, nil
		}
		return unsent(policy.ResultConnectFailed), reason, err
	}
	// From here on the request may have run, unless the server's answer proves that it did not.
	written := time.Now()
	answer, err := l.readAnswer(t, until)
	result, reason := l.evaluate(&answer, written, err)
	if err == nil && (answer.surplus || l.conn.Buffered() > 0) {
		err = errSurplus
	}
	if reason == notEnded && err != nil {
		reason = transport.EndServerFailed
	}
	if result.value == nil {
		answer.value.Free()
	}
	return result, reason, err
}

// evaluate derives the result of a request, and whether the connection ends, from the answer and from the error with which reading
// it ended. The request was completely written at the time written.
func (l *serverConn) evaluate(answer *serverAnswer, written time.Time, err error) (taskResult, transport.Reason) {
	reply := &answer.reply
	result := taskResult{params: reply.Params, loadReport: answer.loadReport}
	switch {
	case errors.Is(err, errProtocol): // malformed answer: the request may have run, and nothing in the answer is used
		return taskResult{result: policy.ResultError}, transport.EndProtocol
	case reply.Complete():
		result.result, result.execution, result.value = policy.ResultOK, policy.ExecutionDone, answer.value
	case reply.Code != "":
		result.result = resultOf(reply.Code, false)
		result.execution = executionOf(reply.Code)
		if l.repeatsRefusal(reply.Code, written) || answer.unmatched {
			result.execution = policy.ExecutionUnknown
			return result, transport.EndServerFailed
		}
	case errors.Is(err, errStalled):
		return taskResult{result: policy.ResultError}, transport.EndProtocol
	case errors.Is(err, transport.ErrWoken):
		result.result = policy.ResultCancelled
		return result, transport.EndAbandoned
	case errors.Is(err, transport.ErrDeadline):
		result.result = policy.ResultTimeout
		return result, transport.EndTimeout
	default:
		result.result = policy.ResultReset
		return result, transport.ReasonOf(err)
	}
	return result, notEnded
}

// errFenced is returned when an in-doubt write must no longer be sent by this gateway, because its claim is not confirmed.
var errFenced = errors.New("the in-doubt write is claimed by another gateway, or its claim could not be confirmed")

// writeRequest writes a request, behind a sync query if the connection was used before. For an in-doubt write, the last byte is
// held back until this gateway's claim to the write has been confirmed. The claim is confirmed this late because the process may
// have been suspended, and have lost the claim, before it wrote any of the earlier bytes. Holding back one byte is enough, because a
// server starts executing only when it has the last byte.
func (l *serverConn) writeRequest(t *task, until time.Time) (transport.Reason, error) {
	var parts net.Buffers
	if l.needsSync() {
		parts = append(parts, syncQuery)
	}
	q, _ := t.Payload.(*query)
	if t.healthCheck {
		parts = append(parts, postgres.AppendQuery(nil, postgres.LoadQuery))
	} else {
		parts = append(parts, q.parts(int64(max(t.Deadline-l.all.Clock.Now(), 1000))/1000)...)
	}
	if q == nil || q.write == nil {
		return l.write(parts, until)
	}
	at := len(parts) - 1
	last := parts[at][len(parts[at])-1:]
	parts[at] = parts[at][:len(parts[at])-1]
	if reason, err := l.write(parts, until); err != nil {
		return reason, err
	}
	if !q.write.MaySend(t.ctx, l.endpoint.endpoint, until) {
		return transport.EndAbandoned, errFenced
	}
	return l.write(net.Buffers{last}, until)
}

// write writes all parts, or returns why it could not.
func (l *serverConn) write(parts net.Buffers, until time.Time) (transport.Reason, error) {
	total := int64(0)
	for _, part := range parts {
		total += int64(len(part))
	}
	if n, err := l.conn.Write(until, parts); n < total {
		return transport.ReasonOf(err), err
	}
	return 0, nil
}

// errProtocol marks answers that violate the protocol.
var errProtocol = errors.New("protocol violation")

// errStalled is returned when an answer has begun and then stalled. The messages that were received completely remain valid.
var errStalled = errors.New("the answer stalled before it was complete")

// readReply reads messages up to ReadyForQuery. The messages of the answer that are forwarded to the client are stored in value;
// for a health check, readReply returns the text of the row. An answer that has begun and then stalls for longer than the connect
// timeout counts as malformed, so that the request does not have to wait until its deadline. The cost: if a server's machine is
// suspended for that long in the middle of an answer, the answer is lost.
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
			return row, errors.Join(errProtocol, errors.New("the message is too large"))
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

// readValue reads a message into the value, one buffer at a time. A large message waits here until there is memory for it, which
// is freed as other answers are written to their clients.
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

// stallDeadline returns the time at which an answer counts as malformed if nothing more of it arrives: one connect timeout from
// now, but no later than the deadline.
func (l *serverConn) stallDeadline(deadline time.Time) time.Time {
	due := time.Now().Add(time.Duration(l.all.InForce.Load().Settings.ConnectTimeout) * time.Microsecond)
	if due.After(deadline) {
		return deadline
	}
	return due
}

// stallError returns errStalled if err reports that the time due was reached and that time is before the deadline; otherwise it
// returns err.
func stallError(err error, due, deadline time.Time) error {
	if errors.Is(err, transport.ErrDeadline) && due.Before(deadline) {
		return errStalled
	}
	return err
}

// resultOf returns the result for the code of an error. Every error during the start-up means that nothing can have run.
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

// executionOf returns what the code of an error, received in place of an answer, proves about the execution of the request.
func executionOf(code string) policy.Execution {
	switch code {
	case postgres.CodeTooManyConnections, postgres.CodeReadOnlyTransaction, postgres.CodeSnapshotTooOld:
		return policy.ExecutionNone
	}
	return policy.ExecutionUnknown
}

// duplicateRefusalWindow is the time after a refusal during which the same refusal of the next request proves nothing. A refusal is
// an error that proves that its request did not run. The sync query finds a duplicate that the server sent before it had received
// the next request; the window is for a server that sends it later. The window is shorter than the pause of at least one Tick that
// package policy makes after a server has rejected a request, so that the rejection of a retry at that server counts as genuine.
const duplicateRefusalWindow = 2 * time.Millisecond

// repeatsRefusal reports whether an error has the same code as the last refusal and answers a request that was written within
// duplicateRefusalWindow after it. Such an error may be a duplicate of that refusal. It proves nothing about the request, whose real
// answer may still follow.
// repeatsRefusal also records the error as the last refusal, if it is one.
func (l *serverConn) repeatsRefusal(code string, written time.Time) bool {
	if executionOf(code) != policy.ExecutionNone {
		return false
	}
	repeated := code == l.lastRefusal && written.Sub(l.refusedAt) < duplicateRefusalWindow
	l.lastRefusal, l.refusedAt = code, time.Now()
	return repeated
}
