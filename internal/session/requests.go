package session

import (
	"errors"
	"hash/fnv"
	"io"
	"strconv"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/intents"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// received is a completely read query, with the memory reserved for it and its answer.
type received struct {
	text      *transport.Message
	reserve   int                // bytes of the memory budget reserved for the query and its answer
	inForce   *settings.Snapshot // the settings in force when the query was read
	arrival   policy.Arrival
	statement postgres.Statement
	inDoubt   bool // the query is an in-doubt write, which must be claimed before it is sent
}

// release frees a query that does not become a request.
func (c *client) release(in *received) {
	in.text.Free()
	c.all.Buffers.Release(in.reserve)
}

// handleQuery reads one query. It submits the query as a request, or answers it without creating a request.
func (c *client) handleQuery(body int, deadline time.Time) (transport.Reason, error) {
	in, reason, err := c.receive(body, deadline)
	if in == nil {
		return reason, err
	}
	in.inForce = c.all.InForce.Load()
	var fault *requestError
	in.arrival, in.statement, fault = c.parseRequest(in.inForce, in.text, body)
	if fault != nil || in.statement.ID == "" {
		c.release(in)
		return c.respondUnrouted(fault)
	}
	resolver := c.all.InDoubtWrites
	in.inDoubt = in.statement.Write && resolver != nil && resolver.Covers(in.statement.Class)
	c.sentRequest = true
	if !c.admit(in) {
		c.release(in)
		return 0, nil
	}
	c.submit(in)
	return 0, nil
}

// requestMemory is the memory that an open request takes beside its text and answer, in bytes: its records in session, routing and
// policy.
const requestMemory = 2 << 10

// noMemoryText is the text of the error for a request for which the memory budget has no room.
const noMemoryText = "the gateway has no memory left for this"

// receive reads a query's text. It returns nil if the text did not arrive completely, if the client has closed the connection, or
// if there is no memory for the query. In the last case the client gets an error.
func (c *client) receive(body int, deadline time.Time) (*received, transport.Reason, error) {
	// Only one buffer is reserved for the answer. A larger answer waits at its server's connection until there is memory for it.
	// If the maximum were reserved for every request, a small gateway would reject requests for lack of memory that is not in use.
	in := &received{reserve: body + transport.BufferSize + requestMemory}
	if !c.all.Buffers.Reserve(in.reserve) {
		c.all.Counts.OverMemory.Add(1)
		c.respondError(postgres.CodeTooManyConnections, noMemoryText)
		reason, err := withReason(c.conn.SkipUntil(body, deadline, c.flushOrStop))
		return nil, reason, err
	}
	in.text = c.all.Buffers.NewMessage()
	if err := c.conn.Fill(in.text, body, deadline, c.flushOrStop); err != nil {
		c.release(in)
		if transport.ReasonOf(err) == transport.EndTimeout {
			c.end(errors.New("the message did not come in time"))
		}
		return nil, transport.ReasonOf(err), err
	}
	if c.sentAhead() && c.conn.PeerClosed() { // the client sent without waiting and then closed, so it waits for no answer
		c.release(in)
		return nil, transport.EndClientDisconnected, io.EOF
	}
	return in, 0, nil
}

// requestError describes why a query cannot become a request.
type requestError struct {
	code string // PostgreSQL error code sent to the client
	text string
}

// parseRequest parses a query's text into the data of a request. An empty query does not become a request; for an empty query,
// parseRequest returns no error and a statement without an ID.
func (c *client) parseRequest(inForce *settings.Snapshot, text *transport.Message, body int) (
	arrival policy.Arrival, statement postgres.Statement, fault *requestError,
) {
	if body <= transport.BufferSize && postgres.IsEmptyQuery(text.FirstBuffer()) {
		if !c.all.Ready() {
			fault = &requestError{postgres.CodeCannotConnectNow, "no server is known yet"}
		}
		return arrival, statement, fault
	}
	statement, err := postgres.ParseStatement(text.BuffersFrom(0))
	if err != nil {
		return arrival, statement, &requestError{postgres.CodeProtocolViolation, err.Error()}
	}
	class, ok := inForce.ClassIndex[statement.Class]
	if !ok {
		return arrival, statement, badClass(statement.Class, "is not known")
	}
	if statement.Write != inForce.IsWrite(class) {
		return arrival, statement, badClass(statement.Class, "is not for such statements")
	}
	arrival = policy.Arrival{Class: class, Group: statement.Group, ClientRetry: statement.Retry}
	if inForce.HasSession(class) {
		sum := fnv.New64a()
		sum.Write([]byte(statement.Key))
		arrival.Session, arrival.HasSession = sum.Sum64(), true
	}
	return arrival, statement, nil
}

// badClass returns the error for a statement whose class is unknown or does not match the statement.
func badClass(class, problem string) *requestError {
	return &requestError{postgres.CodeInvalidParameterValue, "class " + strconv.Quote(class) + " " + problem}
}

// respondUnrouted answers a query that does not become a request: an empty query if fault is nil, otherwise an invalid one.
func (c *client) respondUnrouted(fault *requestError) (transport.Reason, error) {
	switch {
	case fault == nil:
		c.all.Counts.Empty.Add(1)
		c.enqueueResponse(postgres.AppendEmptyQueryResponse(nil))
	case fault.code == postgres.CodeCannotConnectNow:
		c.all.Counts.NotReady.Add(1)
		c.respondError(fault.code, fault.text)
	default:
		return c.rejectStatement(fault.code, fault.text)
	}
	return 0, nil
}

// admit reports whether a request may be submitted; if not, it rejects the request. A repeated in-doubt write is never rejected
// here, because the write may already have run; the write's resolver determines the result.
func (c *client) admit(in *received) bool {
	mayHaveRun := in.inDoubt && in.statement.Retry
	switch {
	case mayHaveRun:
	case c.all.MayAdmit != nil && !c.all.MayAdmit():
		// The process was suspended, so that another gateway may hold the floating address by now; or the address is about to be
		// released; or the gateway admits nothing because of maintenance. The client may connect to another gateway.
		c.all.Counts.AddressMoved.Add(1)
		c.respondError(postgres.CodeTooManyConnections, "the address has moved to another gateway")
		c.CloseIdle(transport.EndAddressMigrated)
		return false
	case c.storesPosition(in) && in.statement.Write && !c.all.SessionPositions.CanStore(in.arrival.Group, in.arrival.Session):
		c.all.Counts.PositionNotStored.Add(1)
		c.respondError(postgres.CodeTooManyConnections, "the session's commit could not be kept")
		return false
	}
	return !in.inDoubt || c.reserveWrite(mayHaveRun)
}

// reserveWrite reserves the memory that the resolver needs for an in-doubt write. If there is none, it answers the request and returns
// false. A repeat gets the answer that the write may have run, because its first request may have run.
func (c *client) reserveWrite(mayHaveRun bool) bool {
	if c.all.Buffers.Reserve(intents.WriteMemory) {
		return true
	}
	c.all.Counts.OverMemory.Add(1)
	if mayHaveRun {
		c.respondError(postgres.CodeSystemError, "the statement failed, and may have run")
	} else {
		c.respondError(postgres.CodeTooManyConnections, noMemoryText)
	}
	return false
}

// storesPosition reports whether the log position of the request's session is stored for all gateways.
func (c *client) storesPosition(in *received) bool {
	return c.all.SessionPositions != nil && in.arrival.HasSession && c.all.SessionPositions.Covers(in.statement.Class)
}

// submit adds a query to the client's queue of unanswered queries and dispatches its request.
func (c *client) submit(in *received) {
	wait := in.statement.TimeoutMillis
	q := &pendingQuery{client: c, reserve: in.reserve, holdsText: true, repeat: in.inDoubt && in.statement.Retry}
	r := &routing.Request{
		Client: q, ClientID: in.statement.ID, Payload: &query{text: in.text, statement: in.statement, onFree: q.dropText}, Settings: in.inForce,
		Arrival: in.arrival, ReadAt: c.all.Clock.Now(), Claimed: in.inDoubt,
		Timeout: clock.Micros(wait) * 1000, StatedPosition: clock.Micros(in.statement.After) * 1000,
	}
	timeout := time.Duration(wait) * time.Millisecond
	storesPosition := c.storesPosition(in)
	r.Arrival.RouterChecksSession = storesPosition
	switch {
	case storesPosition && in.statement.Write:
		q.position = &writePosition{c.all.SessionPositions, in.arrival.Group, in.arrival.Session, time.Now().Add(timeout)}
	case storesPosition:
		q.awaiting = r
	}
	if in.inDoubt {
		c.prepareWrite(q, r)
	}
	if !c.push(q) {
		r.Payload.Free()
		q.Finished()
		return
	}
	c.dispatch(q, r, timeout)
}

// positionWaitShare limits how long a read waits for its session's position, to the read's time limit divided by this number. The
// rest of the time is left for an attempt at the primary, for which no position is needed.
const positionWaitShare = 4

// dispatch posts a request to routing. An in-doubt write is passed to its resolver instead, which claims the write before the request
// is posted. A read of a session whose position is stored is posted only when the position has been looked up.
func (c *client) dispatch(q *pendingQuery, r *routing.Request, timeout time.Duration) {
	switch {
	case q.write != nil:
		q.write.Begin()
	case !r.Arrival.RouterChecksSession || q.position != nil:
		c.all.Owner.Post(r)
	case !c.all.awaitsPositions():
		q.positionKnown(c.all.Clock.Now())
	default:
		c.all.SessionPositions.Required(r.Arrival.Group, r.Arrival.Session, time.Now().Add(timeout/positionWaitShare), q.positionKnown)
	}
}

// prepareWrite creates the write of an in-doubt query, for its resolver.
func (c *client) prepareWrite(q *pendingQuery, r *routing.Request) {
	payload := r.Payload.(*query)
	st := &payload.statement
	q.request = r
	q.writeReserve.Store(intents.WriteMemory)
	q.write = c.all.InDoubtWrites.NewWrite(intents.Request{
		ID: st.ID, Class: st.Class, Group: st.Group, Key: st.Key, Repeat: st.Retry,
		IntentKey: intents.Key(st.Class, st.Group, payload.text.BuffersFrom(st.TextStart())...),
		Writes:    payload.writes,
		Deadline:  time.Now().Add(time.Duration(st.TimeoutMillis) * time.Millisecond),
	}, q)
	payload.write = q.write
}
