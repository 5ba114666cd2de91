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
	facts     *settings.InForce // in force
	places    []int             // of its classes among the counters
	router    *policy.Router
	servers   Servers
	discovery Discovery
	log       zerolog.Logger

	now      clock.Micros
	requests map[string]*request
	byClient map[Client]*request
	byName   map[string]*request // by the client's id, for as long as anything is out for it
	next     uint64
	timers   timers
	pending  []policy.Event // events that actions have called for, to be told after them
	members  members
	Counts   Counts

	listFailing bool
	listHeard   bool         // in this life, from discovery
	startedAt   clock.Micros // when this life began
}

// listPatience is how long a start waits for a list that is pushed: what its agent has is held to be known here from the first
// moment on, and the list that came with the configuration may be old. An agent that is silent must not keep the gateway
// out of service: restarts are to be over within 10 s.
const listPatience = clock.Micros(3 * time.Second / time.Microsecond)

// request is one request the module knows of.
type request struct {
	id       string
	name     string // the client's id
	client   Client
	payload  Payload
	facts    *settings.InForce // those it is finished under
	class    int               // among them
	place    int               // among the counters
	deadline clock.Micros
	attempts []Attempt // nil once it has ended
	out      int
	over     bool // its final answer is given, or its client gone
}

// NewCore starts the module with the list the gateway last had.
func NewCore(
	now clock.Micros, seed uint64, facts *settings.InForce, known ListNews, servers Servers, disc Discovery,
	log zerolog.Logger,
) *Core {
	c := &Core{
		facts: facts, servers: servers, discovery: disc, log: log, now: now, startedAt: now,
		requests: map[string]*request{}, byClient: map[Client]*request{}, byName: map[string]*request{},
		members: newMembers(),
	}
	c.places = c.Counts.places(facts.ClassNames)
	router, first := policy.New(now, seed, facts.Settings)
	c.router = router
	// The list comes first, so that a watch asks for the changes after it.
	c.list(known, policy.ListCached)
	c.perform(first)
	c.settle()
	return c
}

// Ready tells whether a request could be routed: some server is known, and what is known is as new as the rules hold it
// to be.
func (c *Core) Ready() bool {
	old := c.facts.Settings.ListPushed && !c.listHeard && c.now-c.startedAt < listPatience
	return c.members.known() && !old
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
func (c *Core) Open() int { return len(c.byClient) }

// Handle takes in one event.
func (c *Core) Handle(now clock.Micros, ev Event) {
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case *Request:
		c.arrive(e)
	case Gone:
		if q := c.byClient[e.Client]; q != nil {
			c.Counts.Gone[q.place]++
			c.over(q)
			c.step(policy.ClientDisconnected{ID: q.id})
		}
	case Ended:
		c.ended(e)
	case ProbeEnded:
		c.Counts.Probes[e.Result]++
		c.step(policy.HealthCheckEnded{Server: e.Server, Result: e.Result, Latency: e.Latency, LoadReport: e.Report})
	case ListNews:
		form := policy.ListDelta
		if e.Failed {
			form = policy.ListFailed
		} else if e.List.All {
			form = policy.ListFull
		}
		c.list(e, form)
	case Inspect:
		e.Do(c)
	}
	c.settle()
}

// Expire tells the module of the timers that have come due.
func (c *Core) Expire(now clock.Micros) {
	c.now = max(c.now, now)
	for {
		t, ok := c.timers.due(c.now)
		if !ok {
			return
		}
		c.step(policy.Timer{Token: t})
		c.settle()
	}
}

// NextTimer is when Expire has something to do.
func (c *Core) NextTimer() (clock.Micros, bool) { return c.timers.first() }

func (c *Core) step(ev policy.Event) { c.perform(c.router.Step(c.now, ev)) }

// settle tells the module what its own actions have brought about.
func (c *Core) settle() {
	for len(c.pending) > 0 {
		ev := c.pending[0]
		c.pending = c.pending[1:]
		c.step(ev)
	}
}

// arrive hands a request to the module under an id of the gateway's own: a client's could be any text.
func (c *Core) arrive(e *Request) {
	if !c.members.seen[e.Arrival.Group] {
		// No list has ever named the group. Nothing could serve it, and whatever number a client makes up would
		// stay in memory for good.
		c.Counts.UnknownGroup++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: Refused})
		return
	}
	class, ok := c.classOf(e)
	if !ok {
		// The settings changed while it was on its way in, and its class with them. Nothing was sent for it.
		c.Counts.ClassChanged++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: Refused})
		return
	}
	if e.ID != "" && c.byName[e.ID] != nil {
		// Every request has an id of its own. A second one under it would be a second copy to the servers, whoever sent
		// it; the first is left alone.
		c.Counts.Answers[Rejected][c.places[class]]++
		e.Payload.Free()
		e.Client.Answer(Answer{Kind: Rejected})
		return
	}
	c.next++
	id := "r" + strconv.FormatUint(c.next, 10)
	q := &request{
		id: id, name: e.ID, client: e.Client, payload: e.Payload, facts: c.facts, class: class, place: c.places[class],
		deadline: e.ReadAt + e.Wait,
	}
	c.requests[id], c.byClient[e.Client] = q, q
	if q.name != "" {
		c.byName[q.name] = q
	}
	c.Counts.Requests[q.place]++
	a := e.Arrival
	a.Class, a.ID, a.TimeLeft = class, id, max(q.deadline-c.now, 0)
	if e.After > 0 {
		a.SinceWrite = max(c.now-e.After, 1)
	}
	c.step(a)
}

// classOf finds a request's class among the settings in force, by its name if it was read by others. A class that needs
// other data now is another class: what was read as one must not go out as the other.
func (c *Core) classOf(e *Request) (int, bool) {
	if e.Facts == nil || e.Facts == c.facts {
		return e.Arrival.Class, true
	}
	class, ok := c.facts.ClassIndex[e.Facts.ClassNames[e.Arrival.Class]]
	return class, ok && c.facts.Settings.Classes[class].Need == e.Facts.Settings.Classes[e.Arrival.Class].Need
}

// Reconfigure puts other settings in force. The requests in hand are finished under those that they came under.
func (c *Core) Reconfigure(facts *settings.InForce) {
	c.facts, c.places = facts, c.Counts.places(facts.ClassNames)
	c.Counts.Reloads++
	c.perform(c.router.Reconfigure(c.now, facts.Settings))
	c.settle()
}

// ended takes in the end of an attempt. An answer goes out before the module hears of it: it is final in any case.
func (c *Core) ended(e Ended) {
	c.Counts.Outcomes[e.Result]++
	q := c.requests[e.Job.ID]
	if q == nil {
		e.Value.Free()
		return
	}
	q.attempts[e.Job.Attempt] = nil
	q.out--
	if e.Result == policy.ResultOK && e.Role == policy.RoleReplica && q.facts.Settings.Classes[q.class].Need == policy.NeedFresh {
		// It was taken for the primary, by an old list or before a failover, and says itself that it is none: what it has may be
		// behind. Where servers check nothing, nobody else would notice. Harm: one more attempt where it was current all the same.
		c.Counts.NotCurrent++
		e.Result = policy.ResultMisdirected
	}
	final := q.over || e.Result == policy.ResultOK
	if e.Result == policy.ResultOK && !q.over {
		c.answer(q, Answer{Kind: Served, Value: e.Value, Position: e.Position})
	} else {
		e.Value.Free()
	}
	c.step(policy.Outcome{
		ID: q.id, Attempt: e.Job.Attempt, Server: e.Job.Server, Result: e.Result, Final: final, Latency: e.Latency,
		Role: e.Role, Position: e.Position, LoadReport: e.Report,
	})
	c.forget(q)
}

// answer gives a request its one final answer.
func (c *Core) answer(q *request, a Answer) {
	c.Counts.Answers[a.Kind][q.place]++
	c.over(q)
	q.client.Answer(a)
}

func (c *Core) over(q *request) {
	q.over = true
	delete(c.byClient, q.client)
	q.payload.Free()
	c.forget(q)
}

func (c *Core) forget(q *request) {
	if q.over && q.out == 0 {
		delete(c.requests, q.id)
		delete(c.byName, q.name)
	}
}

// FailAll gives every request that still awaits its answer a final one: the gateway leaves, and what is out for it may
// have run. None is left unanswered.
func (c *Core) FailAll() {
	for _, q := range c.byClient {
		c.answer(q, Answer{Kind: Failed})
		c.step(policy.ClientDisconnected{ID: q.id})
		c.settle()
	}
}

// perform carries out the module's actions, in order.
func (c *Core) perform(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			c.send(a)
		case policy.Reject:
			if q := c.requests[a.ID]; q != nil && !q.over {
				c.answer(q, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
			}
		case policy.Fail:
			if q := c.requests[a.ID]; q != nil && !q.over {
				c.answer(q, Answer{Kind: Failed})
			}
		case policy.Cancel:
			if q := c.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && q.attempts[a.Attempt] != nil {
				q.attempts[a.Attempt].Cancel()
			}
		case policy.SetTimer:
			c.timers.set(a.At, a.Token)
		case policy.HealthCheck:
			c.Counts.ProbesSent++
			c.servers.Probe(a.Server, c.now, c.now+c.facts.Settings.ConnectTimeout)
		case policy.CloseIdle:
			c.servers.CloseIdle(a.Server)
		case policy.Withdraw:
			c.servers.Withdraw(a.Server)
		case policy.Forget:
			c.members.forget(a.Server)
			c.servers.Forget(a.Server)
		case policy.Watch:
			c.Counts.Watches++
			if a.On {
				c.discovery.Watch(c.members.rev)
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
func (c *Core) send(a policy.Send) {
	q := c.requests[a.ID]
	if q == nil {
		return
	}
	index := len(q.attempts)
	q.attempts = append(q.attempts, nil)
	until := min(a.Until, q.deadline)
	if q.over || q.out > 0 || until <= c.now || index >= max(q.facts.Settings.MaxAttempts, 1) {
		c.Counts.Outcomes[policy.ResultNotSent]++
		c.pending = append(c.pending, policy.Outcome{
			ID: q.id, Attempt: index, Server: a.Server, Result: policy.ResultNotSent, Final: q.over,
		})
		return
	}
	c.Counts.Sends[q.place]++
	q.out++
	q.attempts[index] = c.servers.Send(Job{
		ID: q.id, Attempt: index, Server: a.Server, Payload: q.payload.Share(), Sent: c.now, Until: until,
		NonIdempotent: q.facts.Settings.Classes[q.class].Effect == policy.EffectNonIdempotent,
	})
}
