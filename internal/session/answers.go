package session

import (
	"errors"
	"io"
	"slices"
	"time"

	"marblespan/internal/intents"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// maxPipelined is the maximum number of unanswered queries per connection. When it is reached, the connection is not read from,
// so that a client that sends hundreds of queries at once uses a bounded share of the memory and of the routing owner's time.
const maxPipelined = 64

// maxQueuedResponses is the maximum number of answers that the gateway itself made and that wait for an earlier query's answer. When
// it is reached, the connection is not read from. Such answers are not counted against the memory budget.
const maxQueuedResponses = 8

// push appends a query to the queue, whose order is the order of the answers. It reports whether the query may become a request.
// Once the client's open queries are being failed (Clients.RefuseNew), push answers the query instead.
func (c *client) push(q *pendingQuery) (admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.inQueue = true
	c.queue = append(c.queue, q)
	if q.text != nil {
		c.queuedResponses++
		return true
	}
	if c.refusesNew {
		answer := q.unsentAnswer()
		q.answer, q.awaiting = &answer, nil
	}
	return !c.refusesNew
}

// setAnswer sets the final answer to a query in the queue and wakes the connection's goroutine if the answer is due. The caller
// holds c.mu.
func (c *client) setAnswer(q *pendingQuery, a routing.Answer) {
	q.answer = &a
	if c.queue[0] == q {
		select {
		case c.answerReady <- struct{}{}:
		default:
		}
		c.conn.Wake()
	}
}

// enqueueResponse appends to the queue an answer that the gateway itself made.
func (c *client) enqueueResponse(text []byte) { c.push(&pendingQuery{client: c, text: text}) }

// respondError answers a query that never became a request.
func (c *client) respondError(code, message string) {
	c.enqueueResponse(postgres.AppendReadyForQuery(postgres.AppendErrorResponse(nil, false, code, message, 0)))
}

// rejectStatement answers an invalid statement with an error and applies the penalty for bad messages.
func (c *client) rejectStatement(code, message string) (transport.Reason, error) {
	c.respondError(code, message)
	return c.penalize()
}

// sentAhead reports whether the client sends without waiting for answers: bytes are buffered beyond the message just read, or
// queries are unanswered. Such a client may already have closed the connection, although a read would report the close only after
// the unread bytes.
func (c *client) sentAhead() bool { return c.conn.Buffered() > 0 || c.waiting() > 0 }

// waiting returns the number of unanswered queries.
func (c *client) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// queueFull reports whether so many queries are unanswered that the connection is not read from.
func (c *client) queueFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) >= maxPipelined || c.queuedResponses >= maxQueuedResponses
}

// answerDue reports whether the answer to the oldest query is available.
func (c *client) answerDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && (c.queue[0].answer != nil || c.queue[0].text != nil)
}

// flush writes the available answers in the order of their queries, up to the first query without an answer.
func (c *client) flush() (transport.Reason, error) {
	for c.answerDue() {
		c.mu.Lock()
		q := c.queue[0]
		if c.queue = c.queue[1:]; len(c.queue) == 0 {
			c.queue = nil
		}
		if q.text != nil {
			c.queuedResponses--
		}
		c.mu.Unlock()
		reason, err := c.writeAnswer(q)
		q.leaveQueue()
		if err != nil {
			return reason, err
		}
	}
	return 0, nil
}

// writeAnswer writes the answer to one query.
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
		out = postgres.AppendErrorResponse(nil, false, postgres.CodeInvalidParameterValue, "the id is that of a request still under way, or of one that may have run", 0)
	}
	if reason, err := withReason(c.write(postgres.AppendReadyForQuery(out))); err != nil || q.answer.Kind != routing.AnswerDuplicateID {
		return reason, err
	}
	return c.penalize()
}

// withReason returns an error, and the reason to record if that error ends the connection.
func withReason(err error) (transport.Reason, error) {
	if err != nil {
		return transport.ReasonOf(err), err
	}
	return 0, nil
}

// watch waits while queries are unanswered. It returns ErrWoken when the answer to the oldest query is available or the time
// set by cutOff has passed. It returns nil when another message has arrived completely or, if the message does not fit into a
// buffer, when its header has arrived. If the client closes the connection meanwhile, the reason is EndClientDisconnected.
func (c *client) watch() (transport.Reason, error) {
	if c.readingStopped || c.queueFull() {
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

// watchUnread does the work of watch while the connection is not read from. The bytes that the client has sent stay in the
// socket, so a close is found only by polling the state of the connection.
func (c *client) watchUnread() (transport.Reason, error) {
	for !c.answerDue() {
		if c.conn.PeerClosed() {
			return transport.EndClientDisconnected, io.EOF
		}
		c.awaitAnswer(closeCheck)
	}
	return 0, transport.ErrWoken
}

// awaitAnswer waits until an answer has been delivered or the timeout has passed.
func (c *client) awaitAnswer(timeout time.Duration) {
	wait := time.NewTimer(timeout)
	defer wait.Stop()
	select {
	case <-c.answerReady:
	case <-wait.C:
	}
}

// abandonQueries drops the queries that are still in the queue when client.run returns. Answers that have arrived are freed now,
// and the others when they arrive. Each query without an answer is handled in one of two ways:
//   - A query in routing: ClientDisconnected is posted, and routing cancels the attempt (see package routing). If the query still waits
//     for its session's position, its request is dropped.
//   - An in-doubt write: Write.Cancel informs its resolver. An attempt already sent is not cancelled, so that a client that
//     repeats the write gets its result.
func (c *client) abandonQueries() {
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	var dropped []*routing.Request
	for _, q := range queue {
		q.disconnected = true
		if q.awaiting != nil {
			dropped, q.awaiting = append(dropped, q.awaiting), nil
		}
		if q.answer != nil {
			q.answer.Value.Free()
		}
		if q.routingAnswer != nil {
			q.routingAnswer.Value.Free()
			q.routingAnswer = nil
		}
	}
	c.mu.Unlock()
	freePayloads(dropped)
	for _, q := range queue {
		q.leaveQueue()
		switch {
		case q.text != nil || q.answer != nil:
		case q.write != nil: // an attempt already sent goes on, so that a repeat of the write gets its result
			q.write.Cancel()
		default:
			c.all.Owner.Post(routing.ClientDisconnected{Client: q})
		}
	}
}

// postAwaiting posts each request that waits for its session's position, with the position that is needed if it is not known.
func (c *client) postAwaiting() {
	c.mu.Lock()
	queue := slices.Clone(c.queue)
	c.mu.Unlock()
	for _, q := range queue {
		q.positionKnown(c.all.Clock.Now())
	}
}

// refuseNew makes the client answer each query that is read from now on without submitting it.
func (c *client) refuseNew() {
	c.mu.Lock()
	c.refusesNew = true
	c.mu.Unlock()
}

// failOpen gives each query in the queue that has no answer its final answer. Whatever the query waits for, the result is dropped.
func (c *client) failOpen() {
	var dropped []*routing.Request
	var writes []intents.Write
	c.mu.Lock()
	for _, q := range c.queue {
		switch {
		case q.text != nil || q.answer != nil:
		case q.awaiting != nil:
			dropped, q.awaiting = append(dropped, q.awaiting), nil
			c.setAnswer(q, q.unsentAnswer())
		default:
			if q.write != nil {
				writes = append(writes, q.write)
			}
			c.setAnswer(q, routing.Answer{Kind: routing.AnswerFailed})
		}
	}
	c.mu.Unlock()
	freePayloads(dropped)
	for _, w := range writes {
		w.Cancel()
	}
}

// freePayloads frees the payloads of requests that are not posted.
func freePayloads(requests []*routing.Request) {
	for _, r := range requests {
		r.Payload.Free()
	}
}
