package session

import (
	"errors"
	"io"
	"time"

	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// maxPipelined is how many queries of one connection may await their answers. Beyond it nothing more is read: a client that
// sends hundreds at once takes a bounded part of the memory and of the owner's time.
const maxPipelined = 64

// push puts a query at the end of the order of answers.
func (c *client) push(q *pendingQuery) {
	c.mu.Lock()
	c.queue = append(c.queue, q)
	c.mu.Unlock()
}

// enqueueResponse puts an answer of the gateway's own into the order of answers.
func (c *client) enqueueResponse(text []byte) { c.push(&pendingQuery{client: c, text: text}) }

// respondError answers a query that never became a request.
func (c *client) respondError(code, message string) {
	c.enqueueResponse(postgres.AppendReadyForQuery(postgres.AppendErrorResponse(nil, false, code, message, 0)))
}

// rejectStatement answers a bad statement, and penalizes it.
func (c *client) rejectStatement(code, message string) (transport.Reason, error) {
	c.respondError(code, message)
	return c.penalize()
}

// sentAhead reports whether the client has sent more than the message just read: its close may lie behind that.
func (c *client) sentAhead() bool { return c.conn.Buffered() > 0 || c.waiting() > 0 }

// waiting is how many queries await their answers.
func (c *client) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// answerDue reports whether the oldest query has its answer.
func (c *client) answerDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && (c.queue[0].answer != nil || c.queue[0].text != nil)
}

// flush writes the answers that are due, in the order of their queries.
func (c *client) flush() (transport.Reason, error) {
	for c.answerDue() {
		c.mu.Lock()
		q := c.queue[0]
		if c.queue = c.queue[1:]; len(c.queue) == 0 {
			c.queue = nil
		}
		c.mu.Unlock()
		reason, err := c.writeAnswer(q)
		c.all.Buffers.Release(q.reserve)
		if err != nil {
			return reason, err
		}
	}
	return 0, nil
}

// writeAnswer writes one answer.
func (c *client) writeAnswer(q *pendingQuery) (transport.Reason, error) {
	if q.answer == nil {
		return withReason(c.write(q.text))
	}
	var out []byte
	switch q.answer.Kind {
	case routing.AnswerServed:
		c.served++
		parts := append(q.answer.Value.BuffersFrom(0), postgres.AppendReadyForQuery(nil))
		_, err := c.conn.Write(time.Now().Add(c.all.Limits.Answer), parts)
		q.answer.Value.Free()
		return withReason(err)
	case routing.AnswerRejected:
		out = postgres.AppendErrorResponse(nil, false, postgres.CodeTooManyConnections, "no server can take this in time",
			int64(q.answer.RetryAfter/1000))
	case routing.AnswerFailed:
		out = postgres.AppendErrorResponse(nil, false, postgres.CodeSystemError, "the statement failed, and may have run", 0)
	case routing.AnswerDuplicateID:
		out = postgres.AppendErrorResponse(nil, false, postgres.CodeInvalidParameterValue, "the id is that of a request still under way", 0)
	}
	if reason, err := withReason(c.write(postgres.AppendReadyForQuery(out))); err != nil || q.answer.Kind != routing.AnswerDuplicateID {
		return reason, err
	}
	return c.penalize()
}

// withReason adds the reason for which a connection ends to an error.
func withReason(err error) (transport.Reason, error) {
	if err != nil {
		return transport.ReasonOf(err), err
	}
	return 0, nil
}

// watch waits until the oldest query has its answer or the gateway shuts down, returned as ErrWoken, or a further message has
// arrived, completely if it fits a buffer. A client that closes meanwhile has disconnected.
func (c *client) watch() (transport.Reason, error) {
	if c.readingStopped || c.waiting() >= maxPipelined {
		return c.watchUnread()
	}
	pending := func() bool { return c.answerDue() || c.pastCutOff() }
	n := postgres.HeaderSize
	for {
		err := c.conn.Wait(n, time.Now().Add(c.all.Limits.Idle), pending)
		switch {
		case errors.Is(err, transport.ErrDeadline):
		case errors.Is(err, transport.ErrWoken):
			return 0, err
		case err != nil:
			return transport.EndClientDisconnected, err
		default:
			h, err := postgres.ParseHeader(c.conn.Peek(postgres.HeaderSize))
			size := postgres.HeaderSize + h.Body
			if err != nil || size > transport.BufferSize || c.conn.Buffered() >= size {
				return 0, nil
			}
			n = size
		}
	}
}

// watchUnread is watch while nothing more is read. What the client has sent stays in the socket, and its close shows in the
// state of the connection only.
func (c *client) watchUnread() (transport.Reason, error) {
	for !c.answerDue() {
		if c.conn.PeerClosed() {
			return transport.EndClientDisconnected, io.EOF
		}
		c.awaitAnswer(closeCheck)
	}
	return 0, transport.ErrWoken
}

// awaitAnswer waits until an answer was delivered, or for a time.
func (c *client) awaitAnswer(timeout time.Duration) {
	wait := time.NewTimer(timeout)
	defer wait.Stop()
	select {
	case <-c.answerReady:
	case <-wait.C:
	}
}

// abandonQueries is the first step after a client has disconnected, and the last of its connection's goroutine. Answers that
// have arrived or still arrive are dropped. Each open query goes one of two ways:
//   - A query in routing: ClientDisconnected is posted, and routing cancels the attempt (see package routing).
//   - An in-doubt write: its resolver is told by Write.Cancel. An attempt already sent is not cancelled, so that whoever
//     repeats the write finds its result.
func (c *client) abandonQueries() {
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	for _, q := range queue {
		q.disconnected = true
		if q.answer != nil {
			q.answer.Value.Free()
		}
		if q.routingAnswer != nil {
			q.routingAnswer.Value.Free()
			q.routingAnswer = nil
		}
	}
	c.mu.Unlock()
	for _, q := range queue {
		c.all.Buffers.Release(q.reserve)
		switch {
		case q.text != nil || q.answer != nil:
		case q.write != nil: // what has gone out is still waited for: whoever asks again has its answer
			q.write.Cancel()
		default:
			c.all.Owner.Post(routing.ClientDisconnected{Client: q})
		}
	}
}
