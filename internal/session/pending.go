package session

import (
	"bytes"
	"time"

	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
)

// pendingQuery is one query's place in the order of answers. It is the routing.Client of the query's request.
type pendingQuery struct {
	client       *client
	text         []byte          // the answer, if it is the gateway's own
	answer       *routing.Answer // delivered; guarded by client.mu, as disconnected is
	disconnected bool
	reserve      int // bytes set aside for it
	position     *writePosition

	write         intents.Write    // of an in-doubt write, which must be claimed before it is sent; nil: it is none
	request       *routing.Request // posted once write is claimed
	routingAnswer *routing.Answer  // kept until the resolver calls Reply; guarded by client.mu
}

// SessionPositions stores the log position of each session's last write where every gateway finds it. None of its methods
// blocks; done is called once, on any goroutine.
type SessionPositions interface {
	// Covers reports whether the positions of a class's sessions are stored.
	Covers(class string) bool
	// CanStore reports whether a position could probably be stored now.
	CanStore(group int, session uint64) bool
	// Store stores a position by the deadline; done is told whether it is stored.
	Store(group int, session uint64, position policy.Position, by time.Time, done func(bool))
	// Required finds the position that a session's read must see; 0: none.
	Required(group int, session uint64, by time.Time, done func(policy.Position))
}

// writePosition says where the log position of a write is stored, before its client hears that it has run.
type writePosition struct {
	store    SessionPositions
	group    int
	session  uint64
	deadline time.Time
}

// Answer takes the final answer from routing, on the owner's goroutine. For an in-doubt write the resolver decides what its
// client is told, and calls Reply.
func (q *pendingQuery) Answer(a routing.Answer) {
	if q.write == nil {
		q.storePositionAndDeliver(a)
		return
	}
	kind, value := inDoubtKind(a), []byte(nil)
	if kind == indoubt.Served && a.Value.Size() <= intents.MaxStoredAnswer {
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

// inDoubtKind is what routing's answer proves of an in-doubt write. A rejection of a class that may run twice by the settings promises
// less than an intent that says "unsent".
func inDoubtKind(a routing.Answer) indoubt.AnswerKind {
	switch {
	case a.Kind == routing.AnswerServed:
		return indoubt.Served
	case a.Kind == routing.AnswerRejected && !a.MayHaveRun, a.Kind == routing.AnswerDuplicateID:
		return indoubt.Rejected
	}
	return indoubt.Failed
}

// Route posts an in-doubt write that has been claimed. The resolver calls it.
func (q *pendingQuery) Route() { q.client.all.Owner.Post(q.request) }

// Drop frees an in-doubt write that is not sent. The resolver calls it in place of Route.
func (q *pendingQuery) Drop() { q.request.Payload.Free() }

// Reply takes the final answer to an in-doubt write from the resolver.
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

// storePositionAndDeliver delivers an answer. That of a write whose log position has to be stored waits until it is: if it could
// not be stored, the client must not rely on the write, and is told that it failed.
func (q *pendingQuery) storePositionAndDeliver(a routing.Answer) {
	if q.position == nil || a.Kind != routing.AnswerServed {
		q.deliver(a)
		return
	}
	position := a.Position
	if position == 0 {
		position = q.client.all.Clock.Now() // it was written before now
	}
	q.position.store.Store(q.position.group, q.position.session, position, q.position.deadline, func(stored bool) {
		if !stored {
			a.Value.Free()
			a = routing.Answer{Kind: routing.AnswerFailed}
		}
		q.deliver(a)
	})
}

// deliver hands the final answer to the connection's goroutine.
func (q *pendingQuery) deliver(a routing.Answer) {
	c := q.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.disconnected {
		a.Value.Free()
		return
	}
	q.answer = &a
	if c.queue[0] == q {
		select {
		case c.answerReady <- struct{}{}:
		default:
		}
		c.conn.Wake()
	}
}

// postUnlessDisconnected posts a request that had to wait. Its client may have disconnected meanwhile; routing must hear of that
// after the request, if it hears of the request at all.
func (q *pendingQuery) postUnlessDisconnected(r *routing.Request) {
	if q.isDisconnected() {
		r.Payload.Free()
		return
	}
	owner := q.client.all.Owner
	owner.Post(r)
	if q.isDisconnected() {
		owner.Post(routing.ClientDisconnected{Client: q})
	}
}

// isDisconnected reports whether the client has disconnected.
func (q *pendingQuery) isDisconnected() bool {
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	return q.disconnected
}
