package routing

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// Core holds the module and the requests it has in hand. It is driven by one goroutine and reads no clock.
type Core struct {
	inForce        *settings.InForce // in force
	counterIndexes []int             // of its classes among the counters
	router         *policy.Router
	servers        Servers
	discovery      Discovery
	log            zerolog.Logger

	now        clock.Micros
	byID       map[string]*request
	byClient   map[Client]*request
	byClientID map[string]*request // by the client's id, for as long as anything is out for it
	lastID     uint64
	timers     timers
	pending    []policy.Event // events that actions have called for, to be told after them
	endpoints  endpointList
	Counts     Counts

	listFailing  bool
	listReceived bool         // in this life, from discovery
	startedAt    clock.Micros // when this life began
}

// listPatience is how long a start waits for a list that is pushed: what its agent has is held to be known here from the first
// moment on, and the list that came with the configuration may be old. An agent that is silent must not keep the gateway
// out of service: restarts are to be over within 10 s.
const maxListWait = clock.Micros(3 * time.Second / time.Microsecond)

// request is one request the module knows of.
type request struct {
	id           string
	clientID     string // the client's id
	client       Client
	payload      Payload
	inForce      *settings.InForce // those it is finished under
	class        int               // among them
	counterIndex int               // among the counters
	deadline     clock.Micros
	attempts     []Attempt // nil once it has ended
	inFlight     int
	closed       bool // its final answer is given, or its client gone
}

// NewCore starts the module with the list the gateway last had.
func NewCore(
	now clock.Micros, seed uint64, facts *settings.InForce, known EndpointListUpdate, servers Servers, disc Discovery,
	log zerolog.Logger,
) *Core {
	c := &Core{
		inForce: facts, servers: servers, discovery: disc, log: log, now: now, startedAt: now,
		byID: map[string]*request{}, byClient: map[Client]*request{}, byClientID: map[string]*request{},
		endpoints: newEndpointList(),
	}
	c.counterIndexes = c.Counts.counterIndexes(facts.ClassNames)
	router, first := policy.New(now, seed, facts.Settings)
	c.router = router
	// The list comes first, so that a watch asks for the changes after it.
	c.updateEndpointList(known, policy.ListCached)
	c.perform(first)
	c.handlePending()
	return c
}

// Ready tells whether a request could be routed: some server is known, and what is known is as new as the rules hold it
// to be.
func (c *Core) Ready() bool {
	old := c.inForce.Settings.ListPushed && !c.listReceived && c.now-c.startedAt < maxListWait
	return c.endpoints.any() && !old
}

// Health is what the owner knows of its gateway's worth.
type Health struct {
	policy.Health
	ListFailing bool // the last word of discovery was a failure
}

// Health tells how the gateway is; groups count that were asked for in the last span.
func (c *Core) Health(lately clock.Micros) Health {
	return Health{c.router.Health(lately), c.listFailing}
}

// Open is the number of requests that still await their answer.
func (c *Core) OpenRequests() int { return len(c.byClient) }

// Handle takes in one event.
func (c *Core) Handle(now clock.Micros, ev Event) {
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case *Request:
		c.handleRequest(e)
	case ClientDisconnected:
		if q := c.byClient[e.Client]; q != nil {
			c.Counts.Disconnects[q.counterIndex]++
			c.closeRequest(q)
			c.step(policy.ClientDisconnected{ID: q.id})
		}
	case AttemptEnded:
		c.handleAttemptEnded(e)
	case HealthCheckEnded:
		c.Counts.HealthChecks[e.Result]++
		c.step(policy.HealthCheckEnded{Server: e.Server, Result: e.Result, Latency: e.Latency, LoadReport: e.Report})
	case EndpointListUpdate:
		form := policy.ListDelta
		if e.Failed {
			form = policy.ListFailed
		} else if e.List.All {
			form = policy.ListFull
		}
		c.updateEndpointList(e, form)
	case Call:
		e.Do(c)
	}
	c.handlePending()
}

// Expire tells the module of the timers that have come due.
func (c *Core) Expire(now clock.Micros) {
	c.now = max(c.now, now)
	for {
		t, ok := c.timers.due(c.now)
		if !ok {
			return
		}
		c.step(t)
		c.handlePending()
	}
}

// NextTimer is when Expire has something to do.
func (c *Core) NextTimer() (clock.Micros, bool) { return c.timers.first() }

func (c *Core) step(ev policy.Event) { c.perform(c.router.Step(c.now, ev)) }

// settle tells the module what its own actions have brought about.
func (c *Core) handlePending() {
	for len(c.pending) > 0 {
		ev := c.pending[0]
		c.pending = c.pending[1:]
		c.step(ev)
	}
}

// arrive hands a request to the module under an id of the gateway's own: a client's could be any text.
func (c *Core) handleRequest(e *Request) {
	if !c.endpoints.knownGroups[e.Arrival.Group] {
		// No list has ever named the group. Nothing could serve it, and whatever number a client makes up would
		// stay in memory for good.
		c.Counts.UnknownGroup++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: AnswerRejected})
		return
	}
	class, ok := c.classOf(e)
	if !ok {
		// The settings changed while it was on its way in, and its class with them. Nothing was sent for it.
		c.Counts.ClassChanged++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: AnswerRejected})
		return
	}
	if e.ClientID != "" && c.byClientID[e.ClientID] != nil {
		// Every request has an id of its own. A second one under it would be a second copy to the servers, whoever sent
		// it; the first is left alone.
		c.Counts.Answers[AnswerDuplicateID][c.counterIndexes[class]]++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: AnswerDuplicateID})
		return
	}
	c.lastID++
	id := "r" + strconv.FormatUint(c.lastID, 10)
	q := &request{
		id: id, clientID: e.ClientID, client: e.Client, payload: e.Payload, inForce: c.inForce, class: class, counterIndex: c.counterIndexes[class],
		deadline: e.ReadAt + e.Timeout,
	}
	c.byID[id], c.byClient[e.Client] = q, q
	if q.clientID != "" {
		c.byClientID[q.clientID] = q
	}
	c.Counts.Requests[q.counterIndex]++
	a := e.Arrival
	a.Class, a.ID, a.TimeLeft = class, id, max(q.deadline-c.now, 0)
	if e.MinPosition > 0 {
		a.SinceWrite = max(c.now-e.MinPosition, 1)
	}
	c.step(a)
}

// classOf finds a request's class among the settings in force, by its name if it was read by others. A class that needs
// other data now is another class: what was read as one must not go out as the other.
func (c *Core) classOf(e *Request) (int, bool) {
	if e.InForce == nil || e.InForce == c.inForce {
		return e.Arrival.Class, true
	}
	class, ok := c.inForce.ClassIndex[e.InForce.ClassNames[e.Arrival.Class]]
	return class, ok && c.inForce.Settings.Classes[class].Need == e.InForce.Settings.Classes[e.Arrival.Class].Need
}

// Reconfigure puts other settings in force. The requests in hand are finished under those that they came under.
func (c *Core) Reconfigure(facts *settings.InForce) {
	c.inForce, c.counterIndexes = facts, c.Counts.counterIndexes(facts.ClassNames)
	c.Counts.Reloads++
	c.perform(c.router.Reconfigure(c.now, facts.Settings))
	c.handlePending()
}

// ended takes in the end of an attempt. An answer goes out before the module hears of it: it is final in any case.
func (c *Core) handleAttemptEnded(e AttemptEnded) {
	c.Counts.Outcomes[e.Result]++
	q := c.byID[e.Job.ID]
	if q == nil {
		e.Value.Free()
		return
	}
	q.attempts[e.Job.Attempt] = nil
	q.inFlight--
	if e.Result == policy.ResultOK && e.Role == policy.RoleReplica && q.inForce.Settings.Classes[q.class].Need == policy.NeedFresh {
		// It was taken for the primary, by an old list or before a failover, and says itself that it is none: what it has may be
		// behind. Where servers check nothing, nobody else would notice. Harm: one more attempt where it was current all the same.
		c.Counts.StaleAnswers++
		e.Result = policy.ResultMisdirected
	}
	final := q.closed || e.Result == policy.ResultOK
	if e.Result == policy.ResultOK && !q.closed {
		c.answer(q, Answer{Kind: AnswerServed, Value: e.Value, Position: e.Position})
	} else {
		e.Value.Free()
	}
	c.step(policy.Outcome{
		ID: q.id, Attempt: e.Job.Attempt, Server: e.Job.Server, Result: e.Result, Final: final, Latency: e.Latency,
		Role: e.Role, Position: e.Position, LoadReport: e.Report,
	})
	c.forgetIfDone(q)
}

// answer gives a request its one final answer.
func (c *Core) answer(q *request, a Answer) {
	c.Counts.Answers[a.Kind][q.counterIndex]++
	c.closeRequest(q)
	q.client.Answer(a)
}

func (c *Core) closeRequest(q *request) {
	q.closed = true
	delete(c.byClient, q.client)
	q.payload.Free()
	c.forgetIfDone(q)
}

func (c *Core) forgetIfDone(q *request) {
	if q.closed && q.inFlight == 0 {
		delete(c.byID, q.id)
		delete(c.byClientID, q.clientID)
	}
}

// FailAll gives every request that still awaits its answer a final one: the gateway leaves, and what is out for it may
// have run. None is left unanswered.
func (c *Core) FailAll() {
	for _, q := range c.byClient {
		c.answer(q, Answer{Kind: AnswerFailed})
		c.step(policy.ClientDisconnected{ID: q.id})
		c.handlePending()
	}
}

// perform carries out the module's actions, in order.
func (c *Core) perform(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			c.startAttempt(a)
		case policy.Reject:
			if q := c.byID[a.ID]; q != nil && !q.closed {
				c.answer(q, Answer{Kind: AnswerRejected, RetryAfter: a.RetryAfter})
			}
		case policy.Fail:
			if q := c.byID[a.ID]; q != nil && !q.closed {
				c.answer(q, Answer{Kind: AnswerFailed})
			}
		case policy.Cancel:
			if q := c.byID[a.ID]; q != nil && a.Attempt < len(q.attempts) && q.attempts[a.Attempt] != nil {
				q.attempts[a.Attempt].Cancel()
			}
		case policy.SetTimer:
			c.timers.set(a.At, a.Timer)
		case policy.HealthCheck:
			c.Counts.HealthChecksSent++
			c.servers.HealthCheck(a.Server, c.now, c.now+c.inForce.Settings.ConnectTimeout)
		case policy.CloseIdle:
			c.servers.CloseIdle(a.Server)
		case policy.Withdraw:
			c.servers.Withdraw(a.Server)
		case policy.Forget:
			c.endpoints.forget(a.Server)
			c.servers.Forget(a.Server)
		case policy.Watch:
			c.Counts.Watches++
			if a.On {
				c.discovery.Watch(c.endpoints.revision)
			} else {
				c.discovery.StopWatch()
			}
		case policy.Fetch:
			c.Counts.Fetches++
			c.discovery.Fetch()
		case policy.Log:
			c.log.Info().Str("from", "module").Msg(a.Text)
		case policy.SendToPeer: // there is no path between gateways
		}
	}
}

// send makes an attempt. One that must not go out is told as moot, after the other actions.
func (c *Core) startAttempt(a policy.Send) {
	q := c.byID[a.ID]
	if q == nil {
		return
	}
	index := len(q.attempts)
	q.attempts = append(q.attempts, nil)
	until := min(a.Until, q.deadline)
	if q.closed || q.inFlight > 0 || until <= c.now || index >= max(q.inForce.Settings.MaxAttempts, 1) {
		c.Counts.Outcomes[policy.ResultNotSent]++
		c.pending = append(c.pending, policy.Outcome{
			ID: q.id, Attempt: index, Server: a.Server, Result: policy.ResultNotSent, Final: q.closed,
		})
		return
	}
	c.Counts.Sends[q.counterIndex]++
	q.inFlight++
	q.attempts[index] = c.servers.Send(Job{
		ID: q.id, Attempt: index, Server: a.Server, Payload: q.payload.Share(), SentAt: c.now, Deadline: until,
		NonIdempotent: q.inForce.Settings.Classes[q.class].Effect == policy.EffectNonIdempotent,
	})
}
