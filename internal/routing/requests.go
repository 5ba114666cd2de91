package routing

import (
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// request is a request that has been passed to the router.
type request struct {
	id       string // id that Core assigned
	clientID string // id that the client assigned; empty: none
	client   Client
	payload  Payload
	group    int
	readAt   clock.Micros // time at which the last byte of the request was read
	deadline clock.Micros

	settings     *settings.Snapshot // settings in force when the request arrived; the request finishes under these settings
	class        int                // index into the classes of those settings
	counterIndex int                // index of the request's class in Counts

	attempts []Attempt // attempts by index; nil for an attempt that was not sent or has ended
	inFlight int       // number of attempts that were sent and have not ended
	ended    []endedAttempt
	closed   bool // the request is answered, or its client has disconnected

	claimed    bool // a resolver decides whether the request may run again; see Request.Claimed
	mayHaveRun bool // an attempt ended and is not proven not to have run
}

// requestClass returns the class of the request in the settings that it finishes under.
func (q *request) requestClass() *policy.Class { return &q.settings.Settings.Classes[q.class] }

// mustNotRunAgain reports whether the request may have run and a second run would do harm that only routing can prevent.
func (q *request) mustNotRunAgain() bool {
	return q.mayHaveRun && !q.claimed && q.requestClass().Effect == policy.EffectNonIdempotent
}

// requestTable holds the requests that are open or have an attempt in flight, and the ids that must not be used again.
type requestTable struct {
	byID       map[string]*request
	byClientID map[string]*request
	byClient   map[Client]*request // only open requests
	used       usedIDs
	lastID     uint64
}

func newRequestTable(now clock.Micros) requestTable {
	return requestTable{
		byID: map[string]*request{}, byClientID: map[string]*request{}, byClient: map[Client]*request{}, used: newUsedIDs(now),
	}
}

// add assigns an id to a request and stores the request. The gateway uses ids of its own because a client's id can be any text.
func (t *requestTable) add(q *request) {
	t.lastID++
	q.id = "r" + strconv.FormatUint(t.lastID, 10)
	t.byID[q.id], t.byClient[q.client] = q, q
	if q.clientID != "" {
		t.byClientID[q.clientID] = q
	}
}

// forgetIfDone drops a closed request that has no attempt in flight. Its client's id stays recorded if it must not run again.
func (t *requestTable) forgetIfDone(now clock.Micros, q *request) {
	if !q.closed || q.inFlight > 0 {
		return
	}
	delete(t.byID, q.id)
	delete(t.byClientID, q.clientID)
	if q.clientID != "" && q.mustNotRunAgain() {
		t.used.add(now, q.clientID)
	}
}

// idConflict is why a request must not be accepted because of its client's id. Its text is the reason in the log.
type idConflict string

// The conflicts of ids.
const (
	idNoConflict idConflict = ""
	idUnderWay   idConflict = "id_under_way"    // another request with that id is open or in flight
	idMayHaveRun idConflict = "id_may_have_run" // a request with that id has ended, may have run, and must not run again
)

// conflictOf returns the conflict of a request's id with earlier requests. A class that may run again, and a claimed write, conflict
// only with a request that is under way.
func (t *requestTable) conflictOf(now clock.Micros, e *Request, effect policy.Effect) idConflict {
	switch {
	case e.ClientID == "":
	case t.byClientID[e.ClientID] != nil:
		return idUnderWay
	case effect == policy.EffectNonIdempotent && !e.Claimed && t.used.contains(now, e.ClientID):
		return idMayHaveRun
	}
	return idNoConflict
}

// handleRequest passes a request to the router. It answers a request immediately, without the router, in these cases:
//   - No endpoint list has ever named the group. No server could serve the request, and the router would keep state for any
//     group number that a client makes up.
//   - The settings changed after the request was read, and its class changed with them (see classOf).
//   - The client's id is that of a request that is still open or in flight, or that may have run and must not run again. Each
//     request has an id of its own, so a second request with the same id may be a repetition that would run the first one again.
//     The first request is not affected.
func (c *Core) handleRequest(e *Request) {
	if e.Client.Gone() { // its ClientDisconnected finds no request
		c.Counts.GoneBeforeRouting++
		e.Payload.Free()
		return
	}
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
	if conflict := c.requests.conflictOf(c.now, e, c.inForce.Settings.Classes[class].Effect); conflict != idNoConflict {
		c.Counts.Answers[AnswerDuplicateID][c.counterIndexes[class]]++
		c.logRejectedID(e, class, conflict)
		answerUnsent(e, AnswerDuplicateID)
		return
	}
	q := &request{
		clientID: e.ClientID, claimed: e.Claimed, client: e.Client, payload: e.Payload, group: e.Arrival.Group, readAt: e.ReadAt,
		deadline: e.ReadAt + e.Timeout,
		settings: c.inForce, class: class, counterIndex: c.counterIndexes[class],
	}
	c.requests.add(q)
	c.Counts.Requests[q.counterIndex]++
	c.step(c.arrival(q, e))
}

// answerUnsent answers a request that is not passed to the router.
func answerUnsent(e *Request, kind AnswerKind) {
	e.Payload.Free()
	e.Client.Answer(Answer{Kind: kind})
}

// classOf returns the index of a request's class in the settings in force. If the request was read under other settings, the
// class is found by its name. ok is false if the class no longer exists or needs different data, because a request that was
// read as one class must not be sent as another.
func (c *Core) classOf(e *Request) (class int, ok bool) {
	if e.Settings == nil || e.Settings == c.inForce {
		return e.Arrival.Class, true
	}
	class, ok = c.inForce.ClassIndex[e.Settings.ClassNames[e.Arrival.Class]]
	return class, ok && c.inForce.Settings.Classes[class].Need == e.Settings.Settings.Classes[e.Arrival.Class].Need
}

// arrival returns a request as the router sees it. The time that the request waited in the queue is subtracted from the client's
// timeout.
func (c *Core) arrival(q *request, e *Request) policy.Arrival {
	a := e.Arrival
	a.Class, a.ID, a.TimeLeft = q.class, q.id, max(q.deadline-c.now, 0)
	a.SinceWrite, a.SinceUnstatedWrite = c.ageOf(e.StatedPosition), c.ageOf(e.UnstatedPosition)
	return a
}

// ageOf returns how long ago a log position was reached; 0: there is no position.
func (c *Core) ageOf(position policy.Position) clock.Micros {
	if position <= 0 {
		return 0
	}
	return max(c.now-position, 1)
}

// handleClientDisconnected closes the client's open request, if it has one, and passes the event to the router. The router may
// cancel the attempt in flight, which still ends with an AttemptEnded. The package comment describes the complete sequence, and
// the different sequence for in-doubt writes.
func (c *Core) handleClientDisconnected(e ClientDisconnected) {
	q := c.requests.byClient[e.Client]
	if q == nil {
		return
	}
	c.Counts.Disconnects[q.counterIndex]++
	c.closeRequest(q)
	c.step(policy.ClientDisconnected{ID: q.id})
}

// handleAttemptEnded handles the end of an attempt. A server's answer goes to the client before the outcome goes to the router,
// because the answer is final whatever the router does.
func (c *Core) handleAttemptEnded(ended AttemptEnded) {
	received := ended.Result
	ended.Execution = ended.Execution.CombinedWith(received) // uses the result as received, before it may be replaced below
	c.Counts.Outcomes[received]++
	c.Counts.Executions[ended.Execution]++
	q := c.requests.byID[ended.Job.ID]
	if q == nil {
		ended.Value.Free()
		return
	}
	if received == policy.ResultCancelled && !q.closed && q.client.Gone() { // its ClientDisconnected is on its way
		c.handleClientDisconnected(ClientDisconnected{q.client})
	}
	q.attempts[ended.Job.Attempt] = nil
	q.inFlight--
	q.mayHaveRun = q.mayHaveRun || ended.Execution != policy.ExecutionNone
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
	c.requests.forgetIfDone(c.now, q)
}

// passOn sends the server's answer of an attempt to the client if the request is open. Otherwise it frees the answer, if
// there is one. An attempt that was not served is also recorded for the log.
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

// answeredByStaleReplica reports whether a read that needs current data (policy.NeedFresh) was answered by a server that
// reports the replica role. The router took such a server for the primary, because the endpoint list was old or a failover
// happened, and the server's data may be behind. If the servers do not check freshness, this is the only check.
// AttemptEnded.Execution still shows that the read ran, so a request that must not run twice fails. The cost of this check:
// if the replica's data was current, a correct answer is discarded.
func answeredByStaleReplica(q *request, e AttemptEnded) bool {
	return e.Result == policy.ResultOK && e.Role == policy.RoleReplica && q.requestClass().Need == policy.NeedFresh
}

// endUnserved rejects or fails the request with the given id, unless it is closed, and counts and logs the reason.
func (c *Core) endUnserved(id string, a Answer, reason policy.Reason) {
	q := c.requests.byID[id]
	if q == nil || q.closed {
		return
	}
	c.Counts.Reasons[a.Kind][reason]++
	c.logUnserved(q, a.Kind, reason.String())
	c.answer(q, a)
}

// answer sends an open request its one final answer.
func (c *Core) answer(q *request, a Answer) {
	c.Counts.Answers[a.Kind][q.counterIndex]++
	c.closeRequest(q)
	q.client.Answer(a)
}

// closeRequest closes a request, so that no result of its attempts is passed on to its client any more. Attempts may still be
// in flight.
func (c *Core) closeRequest(q *request) {
	q.closed = true
	delete(c.requests.byClient, q.client)
	q.payload.Free()
	c.requests.forgetIfDone(c.now, q)
}

// FailAll fails every open request at the end of a graceful shutdown, so that no request is left without an answer. The requests
// are failed, not rejected, because their attempts in flight may have run.
func (c *Core) FailAll() {
	for _, q := range c.requests.byClient {
		c.logUnserved(q, AnswerFailed, "stopping")
		c.answer(q, Answer{Kind: AnswerFailed})
		c.step(policy.ClientDisconnected{ID: q.id})
		c.handlePending()
	}
}
