package routing

import (
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// request is one request that the router knows of.
type request struct {
	id       string // given by Core
	clientID string // given by the client; empty: none
	client   Client
	payload  Payload
	group    int
	readAt   clock.Micros // when its last byte was read
	deadline clock.Micros

	inForce      *settings.Snapshot // the settings it is finished under
	class        int                // index among their classes
	counterIndex int                // of its class among Counts

	attempts []Attempt // by index; nil where one was not sent or has ended
	inFlight int       // attempts sent that have not ended
	ended    []endedAttempt
	closed   bool // answered, or its client has disconnected
}

// requestClass is the class of a request in the settings it is finished under.
func (q *request) requestClass() *policy.Class { return &q.inForce.Settings.Classes[q.class] }

// requestTable holds the requests that are open or have an attempt in flight.
type requestTable struct {
	byID       map[string]*request
	byClientID map[string]*request
	byClient   map[Client]*request // open ones only
	lastID     uint64
}

func newRequestTable() requestTable {
	return requestTable{
		byID: map[string]*request{}, byClientID: map[string]*request{}, byClient: map[Client]*request{},
	}
}

// add gives a request its id and keeps it. The id is the gateway's own, because a client's could be any text.
func (t *requestTable) add(q *request) {
	t.lastID++
	q.id = "r" + strconv.FormatUint(t.lastID, 10)
	t.byID[q.id], t.byClient[q.client] = q, q
	if q.clientID != "" {
		t.byClientID[q.clientID] = q
	}
}

// forgetIfDone drops a closed request that has no attempt in flight.
func (t *requestTable) forgetIfDone(q *request) {
	if q.closed && q.inFlight == 0 {
		delete(t.byID, q.id)
		delete(t.byClientID, q.clientID)
	}
}

// handleRequest gives a request to the router. It answers at once, unseen by the router, where that could not decide well:
//   - No list has ever named the group. Nothing could serve it, and the router would keep state for any number that a
//     client makes up.
//   - The settings changed while the request was on its way in, and its class with them (classOf).
//   - The client's id is that of a request still open or in flight. Each request has an id of its own; a second one under it
//     could run the first a second time. The first is left alone.
func (c *Core) handleRequest(e *Request) {
	if !c.endpoints.knownGroups[e.Arrival.Group] {
		c.Counts.UnknownGroup++
		answerUnsent(e, AnswerRejected)
		return
	}
	class, ok := c.classOf(e)
	if !ok {
		c.Counts.ClassChanged++
		answerUnsent(e, AnswerRejected)
		return
	}
	if e.ClientID != "" && c.requests.byClientID[e.ClientID] != nil {
		c.Counts.Answers[AnswerDuplicateID][c.counterIndexes[class]]++
		answerUnsent(e, AnswerDuplicateID)
		return
	}
	q := &request{
		clientID: e.ClientID, client: e.Client, payload: e.Payload, group: e.Arrival.Group, readAt: e.ReadAt,
		deadline: e.ReadAt + e.Timeout,
		inForce:  c.inForce, class: class, counterIndex: c.counterIndexes[class],
	}
	c.requests.add(q)
	c.Counts.Requests[q.counterIndex]++
	c.step(c.arrival(q, e))
}

// answerUnsent answers a request that the router never sees.
func answerUnsent(e *Request, kind AnswerKind) {
	e.Payload.Free()
	e.Client.Answer(Answer{Kind: kind})
}

// classOf finds a request's class among the settings in force, by its name if it was read under other settings. It fails if
// the class is no more or its need has changed: what was read as one class must not be sent as another.
func (c *Core) classOf(e *Request) (class int, ok bool) {
	if e.Settings == nil || e.Settings == c.inForce {
		return e.Arrival.Class, true
	}
	class, ok = c.inForce.ClassIndex[e.Settings.ClassNames[e.Arrival.Class]]
	return class, ok && c.inForce.Settings.Classes[class].Need == e.Settings.Settings.Classes[e.Arrival.Class].Need
}

// arrival is a request as the router sees it. The time it waited in the queue is taken off the client's timeout.
func (c *Core) arrival(q *request, e *Request) policy.Arrival {
	a := e.Arrival
	a.Class, a.ID, a.TimeLeft = q.class, q.id, max(q.deadline-c.now, 0)
	if e.MinPosition > 0 {
		a.SinceWrite = max(c.now-e.MinPosition, 1)
	}
	return a
}

// handleClientDisconnected closes the client's open request, if it has one, and tells the router. The router may cancel the
// attempt in flight; its end is still awaited. The package comment gives the whole chain, and the fork for in-doubt writes.
func (c *Core) handleClientDisconnected(e ClientDisconnected) {
	q := c.requests.byClient[e.Client]
	if q == nil {
		return
	}
	c.Counts.Disconnects[q.counterIndex]++
	c.closeRequest(q)
	c.step(policy.ClientDisconnected{ID: q.id})
}

// handleAttemptEnded takes in the end of an attempt. A served answer goes to the client before the router hears of it: it is
// final in any case.
func (c *Core) handleAttemptEnded(ended AttemptEnded) {
	received := ended.Result
	ended.Execution = ended.Execution.CombinedWith(received) // before the result is taken for anything else
	c.Counts.Outcomes[received]++
	c.Counts.Executions[ended.Execution]++
	q := c.requests.byID[ended.Job.ID]
	if q == nil {
		ended.Value.Free()
		return
	}
	q.attempts[ended.Job.Attempt] = nil
	q.inFlight--
	if answeredByStaleReplica(q, ended) {
		c.Counts.StaleAnswers++
		ended.Result = policy.ResultMisdirected
	}
	final := q.closed || ended.Result == policy.ResultOK
	c.passOn(q, ended, received)
	c.step(policy.Outcome{
		ID: q.id, Attempt: ended.Job.Attempt, Server: ended.Job.Server, Result: ended.Result, Execution: ended.Execution, Final: final,
		Latency: ended.Latency, Role: ended.Role, Position: ended.Position, LoadReport: ended.LoadReport,
	})
	c.requests.forgetIfDone(q)
}

// passOn answers an open request with what an attempt was served, or frees that and remembers the attempt for the log.
func (c *Core) passOn(q *request, ended AttemptEnded, received policy.Result) {
	if ended.Result == policy.ResultOK && !q.closed {
		c.answer(q, Answer{Kind: AnswerServed, Value: ended.Value, Position: ended.Position})
		return
	}
	ended.Value.Free()
	if ended.Result == policy.ResultOK {
		return
	}
	record := endedAttempt{
		server: ended.Job.Server, received: received, result: ended.Result, execution: ended.Execution, role: ended.Role,
		latency: ended.Latency,
	}
	q.ended = append(q.ended, record)
	if received == policy.ResultOK {
		c.logUnused(q, record, "the server says that it is a replica")
	}
}

// answeredByStaleReplica reports whether a read that needs current data (policy.NeedFresh) was answered by a server that says
// it is a replica. It was taken for the primary, by an old list or before a failover, and its data may be behind; where
// servers check nothing, nobody else would notice. It has run all the same: AttemptEnded.Execution says so, and what must not run
// twice fails here. The price is an answer lost where the replica happened to be current.
func answeredByStaleReplica(q *request, e AttemptEnded) bool {
	return e.Result == policy.ResultOK && e.Role == policy.RoleReplica && q.requestClass().Need == policy.NeedFresh
}

// endUnserved answers a request by its id, unless it is closed, with other than a server's answer.
func (c *Core) endUnserved(id string, a Answer, reason policy.Reason) {
	q := c.requests.byID[id]
	if q == nil || q.closed {
		return
	}
	c.Counts.Reasons[a.Kind][reason]++
	c.logUnserved(q, a.Kind, reason.String())
	c.answer(q, a)
}

// answer gives an open request its one final answer.
func (c *Core) answer(q *request, a Answer) {
	c.Counts.Answers[a.Kind][q.counterIndex]++
	c.closeRequest(q)
	q.client.Answer(a)
}

// closeRequest ends a request for its client. Attempts may still be in flight.
func (c *Core) closeRequest(q *request) {
	q.closed = true
	delete(c.requests.byClient, q.client)
	q.payload.Free()
	c.requests.forgetIfDone(q)
}

// FailAll fails every open request, for the end of the graceful shutdown: what is in flight for it may have run. None is left
// without an answer.
func (c *Core) FailAll() {
	for _, q := range c.requests.byClient {
		c.logUnserved(q, AnswerFailed, "stopping")
		c.answer(q, Answer{Kind: AnswerFailed})
		c.step(policy.ClientDisconnected{ID: q.id})
		c.handlePending()
	}
}
