package session

import (
	"bytes"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// maxPipelined is how many queries of one connection may await their answers. Beyond it nothing more is read: a client that
// sends hundreds at once holds a bounded part of memory and of the owner's time.
const maxPipelined = 64

// pendingQuery is one query's place in the order of answers. It stands for its client at the owner.
type pendingQuery struct {
	client       *client
	text         []byte          // what the gateway itself says to it
	answer       *routing.Answer // what the owner has left; guarded by the client's lock, as gone is
	disconnected bool
	reserve      int // bytes set aside for it
	position     *writePosition

	write         intents.Write    // of a booking that must be claimed before it is sent; nil: it need not be
	request       *routing.Request // that goes out once it is claimed
	routingAnswer *routing.Answer  // routing's, until the claim's answer is given; guarded by the client's lock
}

// Marks keeps the last commit of sessions where every gateway finds it. None of its methods blocks; what is to be done is told
// once, on any goroutine.
type SessionPositions interface {
	// Concerns tells whether a class's sessions are kept.
	Covers(class string) bool
	// Able tells whether a session's mark is likely to be promised now.
	CanStore(group int, session uint64) bool
	// Promise keeps a commit. done is told whether it is kept.
	Store(group int, session uint64, position policy.Position, by time.Time, done func(bool))
	// Needed tells the position that a session's read must see; 0: none.
	Required(group int, session uint64, by time.Time, done func(policy.Position))
}

// mark is what is to be kept of a write before its client hears that it ran.
type writePosition struct {
	store   SessionPositions
	group   int
	session uint64
	by      time.Time
}

// Answer takes the final answer from routing. Where the booking is claimed, what is told to its client follows from that.
func (q *pendingQuery) Answer(a routing.Answer) {
	if q.write == nil {
		q.storePositionAndDeliver(a)
		return
	}
	kind, value := indoubt.Failed, []byte(nil)
	switch a.Kind {
	case routing.AnswerServed:
		kind = indoubt.Served
		if a.Value.Size() <= intents.MaxStoredAnswer {
			value = bytes.Join(a.Value.From(0), nil)
		}
	case routing.AnswerRejected, routing.AnswerDuplicateID:
		kind = indoubt.Rejected
	}
	q.client.mu.Lock()
	gone := q.disconnected
	if !gone {
		q.routingAnswer = &a
	}
	q.client.mu.Unlock()
	if gone {
		a.Value.Free()
	}
	q.write.RoutingAnswered(kind, value)
}

// Route sends a booking that is claimed on its way.
func (q *pendingQuery) Route() { q.client.all.Owner.Post(q.request) }

// Drop lets go of one that is not sent.
func (q *pendingQuery) Drop() { q.request.Payload.Free() }

// Reply takes the final answer of a booking that is claimed, or was not to be.
func (q *pendingQuery) Reply(kind indoubt.AnswerKind, value []byte) {
	c := q.client
	c.mu.Lock()
	held := q.routingAnswer
	q.routingAnswer = nil
	c.mu.Unlock()
	a := routing.Answer{Kind: routing.AnswerFailed}
	switch {
	case kind == indoubt.Served && value != nil:
		a = routing.Answer{Kind: routing.AnswerServed, Value: c.all.Buffers.NewMessage()}
		a.Value.Append(value)
	case kind == indoubt.Served && held != nil, kind == indoubt.Rejected && held != nil && held.Kind != routing.AnswerServed:
		a, held = *held, nil
	case kind == indoubt.Rejected:
		a.Kind = routing.AnswerRejected
	}
	if held != nil {
		held.Value.Free()
	}
	q.storePositionAndDeliver(a)
}

// answered takes the answer that the client is to have. That of a write whose commit is to be kept waits for that: if it is not,
// the client must not rely on it.
func (q *pendingQuery) storePositionAndDeliver(a routing.Answer) {
	if q.position == nil || a.Kind != routing.AnswerServed {
		q.deliver(a)
		return
	}
	position := a.Position
	if position == 0 {
		position = q.client.all.Clock.Now() // it was written before now
	}
	q.position.store.Store(q.position.group, q.position.session, position, q.position.by, func(kept bool) {
		if !kept {
			a.Value.Free()
			a = routing.Answer{Kind: routing.AnswerFailed}
		}
		q.deliver(a)
	})
}

// deliver leaves the final answer for the connection's goroutine.
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

func (c *client) push(q *pendingQuery) {
	c.mu.Lock()
	c.queue = append(c.queue, q)
	c.mu.Unlock()
}

// enqueueResponse puts an answer of the gateway's own into the queue.
func (c *client) enqueueResponse(text []byte) { c.push(&pendingQuery{client: c, text: text}) }

// respondError answers a query that never became a request.
func (c *client) respondError(code, message string) {
	c.enqueueResponse(postgres.AppendReady(postgres.AppendError(nil, false, code, message, 0)))
}

// rejectStatement answers a bad statement.
func (c *client) rejectStatement(code, message string) (transport.Reason, error) {
	c.respondError(code, message)
	return c.penalize()
}

// sentAhead tells whether the client has sent more than the message in hand: the end of the connection may lie behind it.
func (c *client) sentAhead() bool { return c.conn.Buffered() > 0 || c.waiting() > 0 }

func (c *client) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// answered tells whether the oldest query has its answer.
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

// pass writes one answer.
func (c *client) writeAnswer(q *pendingQuery) (transport.Reason, error) {
	if q.answer == nil {
		return reasoned(c.write(q.text))
	}
	var out []byte
	switch q.answer.Kind {
	case routing.AnswerServed:
		c.served++
		parts := append(q.answer.Value.From(0), postgres.AppendReady(nil))
		_, err := c.conn.Write(time.Now().Add(c.all.Limits.Answer), parts)
		q.answer.Value.Free()
		return reasoned(err)
	case routing.AnswerRejected:
		out = postgres.AppendError(nil, false, postgres.CodeRefused, "no server can take this in time",
			int64(q.answer.RetryAfter/1000))
	case routing.AnswerFailed:
		out = postgres.AppendError(nil, false, postgres.CodeFailed, "the statement failed, and may have run", 0)
	case routing.AnswerDuplicateID:
		out = postgres.AppendError(nil, false, postgres.CodeBadValue, "the id is that of a request still under way", 0)
	}
	if reason, err := reasoned(c.write(postgres.AppendReady(out))); err != nil || q.answer.Kind != routing.AnswerDuplicateID {
		return reason, err
	}
	return c.penalize()
}

func reasoned(err error) (transport.Reason, error) {
	if err != nil {
		return transport.ReasonOf(err), err
	}
	return 0, nil
}

// watch waits until the oldest query has its answer or the gateway stops, told as ErrWoken, or a further message has come,
// of which the whole is waited for where it fits a buffer. A client that has closed meanwhile has gone away.
func (c *client) watch() (transport.Reason, error) {
	if c.readingStopped || c.waiting() >= maxPipelined {
		return c.watchUnread()
	}
	pending := func() bool { return c.answerDue() || c.isCut() }
	n := postgres.HeaderSize
	for {
		err := c.conn.Wait(n, time.Now().Add(c.all.Limits.Idle), pending)
		switch {
		case errors.Is(err, transport.ErrDeadline):
		case errors.Is(err, transport.ErrWoken):
			return 0, err
		case err != nil:
			return transport.EndPeerGone, err
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

// watchUnread is watch while nothing more is read. What the client has sent stays where it is, and its leaving shows in
// the state of the connection only.
func (c *client) watchUnread() (transport.Reason, error) {
	for !c.answerDue() {
		if c.conn.PeerClosed() {
			return transport.EndPeerGone, io.EOF
		}
		c.awaitAnswer(closeCheck)
	}
	return 0, transport.ErrWoken
}

// awaitAnswer waits until an answer was left, or for a span.
func (c *client) awaitAnswer(timeout time.Duration) {
	wait := time.NewTimer(timeout)
	defer wait.Stop()
	select {
	case <-c.answerReady:
	case <-wait.C:
	}
}

// leave tells the owner that the client is gone; answers that have come or still come are dropped.
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

// received is a query that has come whole, with the memory that was set aside for it and its answer.
type received struct {
	text      *transport.Message
	reserve   int               // bytes
	inForce   *settings.InForce // in force when it was read
	arrival   policy.Arrival
	statement postgres.Statement
	inDoubt   bool // it must be claimed before it is sent
}

// release gives back what a query holds that goes no further.
func (c *client) release(in *received) {
	in.text.Free()
	c.all.Buffers.Release(in.reserve)
}

// query reads one query and asks it.
func (c *client) handleQuery(body int, by time.Time) (transport.Reason, error) {
	in, reason, err := c.receive(body, by)
	if in == nil {
		return reason, err
	}
	fault, code := "", ""
	in.inForce = c.all.InForce.Load()
	in.arrival, in.statement, fault, code = c.parseRequest(in.inForce, in.text, body)
	if code != "" || in.statement.ID == "" {
		c.release(in)
		return c.respondUnrouted(code, fault)
	}
	bookings := c.all.InDoubtWrites
	in.inDoubt = in.statement.Write && bookings != nil && bookings.Covers(in.statement.Class)
	c.known = true
	if !c.admit(in) {
		c.release(in)
		return 0, nil
	}
	c.submit(in)
	return 0, nil
}

// receive reads a query's text. None is returned where it did not come whole, or nobody waits for it, and where there is no
// memory for it, which the client is told.
func (c *client) receive(body int, by time.Time) (*received, transport.Reason, error) {
	// Of the answer only a first buffer is set aside. A larger one waits at its server's connection until there is room for
	// it: were the largest reserved for every request, a small gateway would refuse for memory that nobody uses.
	in := &received{reserve: body + transport.BufferSize}
	if !c.all.Buffers.Reserve(in.reserve) {
		c.all.Counts.OverMemory.Add(1)
		c.respondError(postgres.CodeRefused, "the gateway has no memory left for this")
		reason, err := reasoned(c.conn.SkipBy(body, by, c.interrupted))
		return nil, reason, err
	}
	in.text = c.all.Buffers.NewMessage()
	if err := c.conn.Fill(in.text, body, by, c.interrupted); err != nil {
		c.release(in)
		if transport.ReasonOf(err) == transport.EndTimeout {
			c.end(errors.New("the message did not come in time"))
		}
		return nil, transport.ReasonOf(err), err
	}
	if c.sentAhead() && c.conn.PeerClosed() { // its close lies behind what it has sent: nobody waits for this any more
		c.release(in)
		return nil, transport.EndPeerGone, io.EOF
	}
	return in, 0, nil
}

// respondUnrouted answers a query that makes no request: an empty one, or a bad one.
func (c *client) respondUnrouted(code, fault string) (transport.Reason, error) {
	switch code {
	case "":
		c.all.Counts.Empty.Add(1)
		c.enqueueResponse(postgres.AppendEmptyAnswer(nil))
	case postgres.CodeNotReady:
		c.all.Counts.NotReady.Add(1)
		c.respondError(code, fault)
	default:
		return c.rejectStatement(code, fault)
	}
	return 0, nil
}

// admit tells whether a request may be taken, and refuses it unsent where it may not. What is asked again and is known to all
// gateways may have run: it is looked up, and never refused here.
func (c *client) admit(in *received) bool {
	known := in.inDoubt && in.statement.Repeat
	switch {
	case known:
	case c.all.MayAdmit != nil && !c.all.MayAdmit():
		// The process stood still, and another gateway may have the address by now: the client may ask there.
		c.all.Counts.AddressMoved.Add(1)
		c.respondError(postgres.CodeRefused, "the address has moved to another gateway")
		c.CloseIdle(transport.EndMoved)
		return false
	case c.storesPosition(in) && in.statement.Write && !c.all.SessionPositions.CanStore(in.arrival.Group, in.arrival.Session):
		c.all.Counts.PositionNotStored.Add(1)
		c.respondError(postgres.CodeRefused, "the session's commit could not be kept")
		return false
	}
	return true
}

// marked tells whether the last commit of a request's session is kept where every gateway finds it.
func (c *client) storesPosition(in *received) bool {
	return c.all.SessionPositions != nil && in.arrival.HasSession && c.all.SessionPositions.Covers(in.statement.Class)
}

// ask puts a request into the order of answers and sends it on its way.
func (c *client) submit(in *received) {
	wait := in.statement.Wait
	q := &pendingQuery{client: c, reserve: in.reserve}
	r := &routing.Request{
		Client: q, ClientID: in.statement.ID, Payload: &query{text: in.text, statement: in.statement}, InForce: in.inForce,
		Arrival: in.arrival, ReadAt: c.all.Clock.Now(),
		Timeout: clock.Micros(wait) * 1000, MinPosition: clock.Micros(in.statement.After) * 1000,
	}
	patience := time.Duration(wait) * time.Millisecond
	marked, group, session := c.storesPosition(in), in.arrival.Group, in.arrival.Session
	if marked && in.statement.Write {
		q.position = &writePosition{c.all.SessionPositions, group, session, time.Now().Add(patience)}
	}
	c.push(q)
	if !marked || in.statement.Write {
		c.dispatch(q, r, in.inDoubt)
		return
	}
	c.all.SessionPositions.Required(group, session, time.Now().Add(patience/positionWaitShare), func(needed policy.Position) {
		r.MinPosition = max(r.MinPosition, needed)
		q.postUnlessDisconnected(r)
	})
}

// route hands a request to routing that had to wait before. Its client may have left meanwhile, and routing must hear of that
// behind the request, if it hears of the request at all.
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

// isGone tells whether the client has left.
func (q *pendingQuery) isDisconnected() bool {
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	return q.disconnected
}

// send hands a request to routing, a booking that must be claimed first to the desk of bookings.
func (c *client) dispatch(q *pendingQuery, r *routing.Request, claims bool) {
	if !claims {
		c.all.Owner.Post(r)
		return
	}
	payload := r.Payload.(*query)
	st := &payload.statement
	words, wrote := postgres.Words(bytes.Join(payload.text.From(0), nil))
	q.request = r
	q.write = c.all.InDoubtWrites.NewWrite(intents.Request{
		ID: st.ID, Class: st.Class, Group: st.Group, Key: st.Key, Statement: words, Value: wrote, Repeat: st.Repeat,
		Deadline: time.Now().Add(time.Duration(st.Wait) * time.Millisecond),
	}, q)
	payload.write = q.write
	q.write.Begin()
}

// markPart is the part of its time that a read waits for its session's mark: what is left goes to the primary, which needs none.
const positionWaitShare = 4

// read makes a request of a query's text. An empty query makes none; for a bad one it tells the fault and its code.
func (c *client) parseRequest(facts *settings.InForce, text *transport.Message, body int) (
	a policy.Arrival, st postgres.Statement, fault, code string,
) {
	if body <= transport.BufferSize && postgres.IsEmpty(text.First()) {
		if !c.all.Ready() {
			return a, st, "no server is known yet", postgres.CodeNotReady
		}
		return a, st, "", ""
	}
	st, err := postgres.ParseStatement(text.From(0))
	if err != nil {
		return a, st, err.Error(), postgres.CodeProtocol
	}
	class, ok := facts.ClassIndex[st.Class]
	if !ok {
		return a, st, "class " + strconv.Quote(st.Class) + " is not known", postgres.CodeBadValue
	}
	if st.Write != facts.IsWrite(class) {
		return a, st, "class " + strconv.Quote(st.Class) + " is not for such statements", postgres.CodeBadValue
	}
	a = policy.Arrival{Class: class, Group: st.Group, ClientRetry: st.Repeat}
	if facts.HasSession(class) {
		sum := fnv.New64a()
		sum.Write([]byte(st.Key))
		a.Session, a.HasSession = sum.Sum64(), true
	}
	return a, st, "", ""
}

func (c *client) write(b []byte) error {
	_, err := c.conn.Write(time.Now().Add(c.all.Limits.Answer), net.Buffers{b})
	return err
}
