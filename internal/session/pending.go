package session

import (
	"bytes"
	"sync/atomic"
	"time"

	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
)

// pendingQuery is an unanswered query in a client's queue. It is the routing.Client of the query's request.
type pendingQuery struct {
	client       *client
	text         []byte          // the answer, if the gateway itself made it
	answer       *routing.Answer // the delivered answer; like disconnected, guarded by client.mu
	disconnected bool
	reserve      int // bytes of the memory budget reserved for the query and its answer
	// holdsText is set while the query's text is held, and inQueue while the query is in the client's queue. The reserve is released
	// when neither is set any more; both are guarded by client.mu.
	holdsText, inQueue bool

	position *writePosition
	awaiting *routing.Request // the request while it waits for its session's position; guarded by client.mu

	writeReserve  atomic.Int64     // bytes of the memory budget reserved for an in-doubt write, until its resolver has finished
	write         intents.Write    // an in-doubt write, which must be claimed before it is sent; nil for other queries
	request       *routing.Request // the request for the in-doubt write, posted once the write is claimed
	repeat        bool             // the in-doubt write may have run for an earlier request
	routingAnswer *routing.Answer  // kept until the resolver calls Reply; guarded by client.mu
}

// SessionPositions stores the log position of each session's last write so that every gateway can read it. None of the methods
// blocks; done is called once, on any goroutine.
type SessionPositions interface {
	// Covers reports whether positions are stored for sessions of the class.
	Covers(class string) bool
	// CanStore reports whether a position could probably be stored now.
	CanStore(group int, session uint64) bool
	// Store stores a position, and calls done with whether the position was stored by the deadline.
	Store(group int, session uint64, position policy.Position, by time.Time, done func(bool))
	// Required determines the minimum position that a read of the session requires, and calls done with it; 0: no minimum.
	Required(group int, session uint64, by time.Time, done func(policy.Position))
}

// writePosition specifies where the log position of a write is stored before the write's answer is delivered to the client.
type writePosition struct {
	store    SessionPositions
	group    int
	session  uint64
	deadline time.Time
}

// leaveQueue records that the query has left the client's queue, and releases its reserve unless the text is still held.
func (q *pendingQuery) leaveQueue() { q.release(&q.inQueue) }

// dropText records that the query's text has been freed, and releases the query's reserve unless the query is still in the client's
// queue. An attempt, a lookup of the session's position or an in-doubt write may hold the text for seconds after the client has gone.
func (q *pendingQuery) dropText() { q.release(&q.holdsText) }

// release clears a holder of the query's reserve, and releases the reserve if it was the last one.
func (q *pendingQuery) release(holder *bool) {
	q.client.mu.Lock()
	held := *holder
	*holder = false
	last := held && !q.holdsText && !q.inQueue
	q.client.mu.Unlock()
	if last {
		q.client.all.Buffers.Release(q.reserve)
	}
}

// Answer receives the final answer from routing, on the owner's goroutine. For an in-doubt write, the resolver decides which
// answer the client gets, and calls Reply.
func (q *pendingQuery) Answer(a routing.Answer) {
	if q.write == nil {
		q.storePositionAndDeliver(a)
		return
	}
	kind, value := inDoubtKind(a), []byte(nil)
	if kind == indoubt.Served && q.reserveStoredAnswer(a.Value.Size()) {
		value = bytes.Join(a.Value.BuffersFrom(0), nil)
	}
	q.client.mu.Lock()
	disconnected := q.disconnected
	if !disconnected {
		q.routingAnswer = &a
	}
	q.client.mu.Unlock()
	if disconnected {
		a.Value.Free()
	}
	q.write.RoutingAnswered(kind, value)
}

// inDoubtKind returns what routing's answer proves about an in-doubt write. If the settings allow a class's writes to run twice, a
// write may have run even though routing rejected it (Answer.MayHaveRun). Such a rejection counts as failed, because the intent may
// record the write as unsent only if it certainly did not run.
func inDoubtKind(a routing.Answer) indoubt.AnswerKind {
	switch {
	case a.Kind == routing.AnswerServed:
		return indoubt.Served
	case a.Kind == routing.AnswerRejected && !a.MayHaveRun, a.Kind == routing.AnswerDuplicateID:
		return indoubt.Rejected
	}
	return indoubt.Failed
}

// Route posts the request of an in-doubt write that has been claimed. The resolver calls it. If the client has its final answer
// already, because the gateway stops, nothing is sent.
func (q *pendingQuery) Route() {
	if q.isAnswered() {
		q.Drop()
		q.write.RoutingAnswered(indoubt.Rejected, nil)
		return
	}
	q.client.all.Owner.Post(q.request)
}

// Drop frees the request of an in-doubt write that is not sent. The resolver calls it instead of Route.
func (q *pendingQuery) Drop() { q.request.Payload.Free() }

// reserveStoredAnswer reserves the memory to store the answer to an in-doubt write, and reports whether the answer may be stored: it is
// small enough, and the memory budget has room for it.
func (q *pendingQuery) reserveStoredAnswer(size int) bool {
	memory := intents.AnswerMemory(size)
	if size > intents.MaxStoredAnswer || !q.client.all.Buffers.Reserve(memory) {
		return false
	}
	q.writeReserve.Add(int64(memory))
	return true
}

// Finished releases the memory that was reserved for an in-doubt write. The resolver calls it when it holds nothing of the write any
// more, which may be after the client has its answer.
func (q *pendingQuery) Finished() { q.client.all.Buffers.Release(int(q.writeReserve.Swap(0))) }

// Reply receives the final answer to an in-doubt write from the resolver.
func (q *pendingQuery) Reply(kind indoubt.AnswerKind, value []byte) {
	c := q.client
	c.mu.Lock()
	routingAnswer := q.routingAnswer
	q.routingAnswer = nil
	c.mu.Unlock()
	a := routing.Answer{Kind: routing.AnswerFailed}
	switch {
	case kind == indoubt.Served && value != nil:
		a = routing.Answer{Kind: routing.AnswerServed, Value: c.all.Buffers.NewMessage()}
		a.Value.Append(value)
	case kind == indoubt.Served && routingAnswer != nil, kind == indoubt.Rejected && routingAnswer != nil && routingAnswer.Kind != routing.AnswerServed:
		a, routingAnswer = *routingAnswer, nil
	case kind == indoubt.Rejected:
		a.Kind = routing.AnswerRejected
	}
	if routingAnswer != nil {
		routingAnswer.Value.Free()
	}
	q.storePositionAndDeliver(a)
}

// storePositionAndDeliver delivers an answer. If the log position of a write has to be stored, it stores the position first. If
// that fails, it delivers a failed answer instead: the client must not rely on the write, because later reads of its session might
// not see it.
func (q *pendingQuery) storePositionAndDeliver(a routing.Answer) {
	if q.position == nil || a.Kind != routing.AnswerServed {
		q.deliver(a)
		return
	}
	position := a.Position
	if position == 0 {
		position = q.client.all.Clock.Now() // the write ran before now, so its position is no higher than now
	}
	q.position.store.Store(q.position.group, q.position.session, position, q.position.deadline, func(stored bool) {
		if !stored {
			a.Value.Free()
			a = routing.Answer{Kind: routing.AnswerFailed}
		}
		q.deliver(a)
	})
}

// deliver passes the final answer to the connection's goroutine, unless the client has disconnected or has been answered by failOpen.
func (q *pendingQuery) deliver(a routing.Answer) {
	c := q.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.disconnected || q.answer != nil {
		a.Value.Free()
		return
	}
	c.setAnswer(q, a)
}

// unsentAnswer returns the final answer to a query for which nothing was sent.
func (q *pendingQuery) unsentAnswer() routing.Answer {
	if q.repeat {
		return routing.Answer{Kind: routing.AnswerFailed}
	}
	return routing.Answer{Kind: routing.AnswerRejected}
}

// positionKnown posts the request if it still waits for its session's position. If the client disconnects while the request is
// posted, ClientDisconnected is posted again, because routing must receive it after the request.
func (q *pendingQuery) positionKnown(position policy.Position) {
	q.client.mu.Lock()
	r := q.awaiting
	q.awaiting = nil
	q.client.mu.Unlock()
	if r == nil {
		return
	}
	r.UnstatedPosition = position
	owner := q.client.all.Owner
	owner.Post(r)
	if q.isDisconnected() {
		owner.Post(routing.ClientDisconnected{Client: q})
	}
}

// Gone reports whether the client waits for no answer any more: it has disconnected, or has its final answer. Gone queries the kernel,
// because the connection's goroutine may not have noticed a disconnect yet. An attempt of an in-doubt write is made even if the client is
// gone, so that a repeat of the write gets its result.
func (q *pendingQuery) Gone() bool {
	return q.write == nil && (q.isClosed() || q.client.conn.PeerClosed())
}

// isClosed reports whether the query has its final answer, or the connection's goroutine has noticed that the client has disconnected.
func (q *pendingQuery) isClosed() bool {
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	return q.disconnected || q.answer != nil
}

// isAnswered reports whether the query has its final answer.
func (q *pendingQuery) isAnswered() bool {
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	return q.answer != nil
}

// isDisconnected reports whether the connection's goroutine has noticed that the client has disconnected.
func (q *pendingQuery) isDisconnected() bool {
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	return q.disconnected
}
