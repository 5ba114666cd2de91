package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// ruleChecker drives one router with random events and asserts the rules on each action. It does not simulate
// servers: outcomes, positions, roles and lists are random, as far as they are allowed.
type ruleChecker struct {
	t          *testing.T
	seed       int64
	set        policy.Settings
	rng        *rand.Rand
	r          *policy.Router
	now        clock.Micros
	reqs       map[string]*modelRequest
	order      []string
	srv        map[policy.ServerID]*modelServer
	ids        []policy.ServerID
	timers     []policy.SetTimer
	openChecks []policy.ServerID
	n          int
}

type modelRequest struct {
	class    int
	group    int
	deadline clock.Micros
	arrived  clock.Micros
	need     policy.Position
	unstated policy.Position // a later position that the read needs and that servers cannot check
	attempts []*modelAttempt
	done     bool // ended by the router, by a final outcome or by the client
	answered int
}

type modelAttempt struct {
	server   policy.ServerID
	at       clock.Micros
	inFlight bool
	neverRan bool
}

type modelServer struct {
	group        int
	state        policy.EndpointState
	known        policy.Position // highest position reported
	mayBePrimary bool            // reported or listed as the primary, and not reported as a replica since
}

func (w *ruleChecker) fail(format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, at %d: %s", w.seed, w.now-origin, fmt.Sprintf(format, a...))
}

func (w *ruleChecker) checkActions(acts []policy.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case policy.Send:
			w.send(a)
		case policy.Reject:
			q := w.recordEnd(a.ID)
			for _, t := range q.attempts {
				if !t.neverRan && w.set.Classes[q.class].Effect == policy.EffectNonIdempotent {
					w.fail("%s: a non-idempotent request that may have run was rejected", a.ID)
				}
			}
		case policy.Fail:
			w.recordEnd(a.ID)
		case policy.Cancel:
			if q := w.reqs[a.ID]; q == nil || a.Attempt >= len(q.attempts) {
				w.fail("%s: cancel of an attempt that was never sent", a.ID)
			}
		case policy.SetTimer:
			if a.At <= w.now {
				w.fail("a timer is set in the past")
			}
			w.timers = append(w.timers, a)
		case policy.HealthCheck:
			s := w.srv[a.Server]
			if s == nil {
				w.fail("health check of server %d, which was never listed", a.Server)
			}
			w.openChecks = append(w.openChecks, a.Server)
		}
	}
}

func (w *ruleChecker) recordEnd(id string) *modelRequest {
	q := w.reqs[id]
	if q == nil || q.done {
		w.fail("%s: a final answer to an unknown or ended request", id)
	}
	if w.now > q.deadline+w.set.AnswerSlack {
		w.fail("%s: answered %d us past its deadline", id, w.now-q.deadline)
	}
	q.done, q.answered = true, q.answered+1
	return q
}

func (w *ruleChecker) send(a policy.Send) {
	q, s := w.reqs[a.ID], w.srv[a.Server]
	if q == nil || q.done {
		w.fail("%s: an unknown or ended request was sent", a.ID)
	}
	if s == nil || s.group != q.group {
		w.fail("%s: sent to %d, outside its group", a.ID, a.Server)
	}
	if s.state != policy.EndpointReady && !(w.set.RemovedStayUsable && s.state == policy.EndpointRemoved) {
		w.fail("%s: sent to %d in state %d", a.ID, a.Server, s.state)
	}
	if len(q.attempts) >= w.set.MaxAttempts {
		w.fail("%s: more attempts than allowed", a.ID)
	}
	c := w.set.Classes[q.class]
	for _, t := range q.attempts {
		switch {
		case t.inFlight && !w.set.CanHedge:
			w.fail("%s: two attempts in flight", a.ID)
		case !t.neverRan && c.Effect == policy.EffectNonIdempotent:
			w.fail("%s: a non-idempotent request that may have run was sent again", a.ID)
		}
	}
	if w.set.FreshnessCheck == policy.FreshnessCheckNone && !s.mayBePrimary {
		need := q.need
		switch c.Need {
		case policy.NeedBounded:
			need = w.now - c.StalenessBound
		case policy.NeedFresh:
			need = q.arrived
		}
		if c.Need != policy.NeedWrite && c.Need != policy.NeedAny && s.known < need {
			w.fail("%s: a read that needs position %d was sent to server %d, whose known position is %d",
				a.ID, need-origin, a.Server, s.known-origin)
		}
	}
	if !s.mayBePrimary && s.known < q.unstated {
		w.fail("%s: a read that needs the unstated position %d was sent to server %d, whose known position is %d",
			a.ID, q.unstated-origin, a.Server, s.known-origin)
	}
	q.attempts = append(q.attempts, &modelAttempt{server: a.Server, at: w.now, inFlight: true})
}

func (w *ruleChecker) step(ev policy.Event) { w.checkActions(w.r.Step(w.now, ev)) }

func (w *ruleChecker) arrive() {
	w.n++
	id := fmt.Sprint("q", w.n)
	class := w.rng.Intn(len(w.set.Classes))
	c := w.set.Classes[class]
	e := policy.Arrival{ID: id, Class: class, Group: 1 + w.rng.Intn(2), TimeLeft: c.Deadline * clock.Micros(20+w.rng.Intn(80)) / 100}
	q := &modelRequest{class: class, group: e.Group, deadline: w.now + e.TimeLeft, arrived: w.now}
	if c.Need == policy.NeedSession && w.set.SessionPositionsCarried && w.rng.Intn(2) == 0 {
		e.SinceWrite = clock.Micros(w.rng.Intn(900)+1) * ms
		q.need = w.now - e.SinceWrite
	}
	if c.Need == policy.NeedSession && w.rng.Intn(3) == 0 {
		e.SinceUnstatedWrite = clock.Micros(w.rng.Intn(900)+1) * ms
		if position := w.now - e.SinceUnstatedWrite; position > q.need {
			q.unstated = position
		}
	}
	if c.Need == policy.NeedSession || c.Need == policy.NeedWrite {
		e.Session, e.HasSession = uint64(w.rng.Intn(40)), true
	}
	w.reqs[id] = q
	w.order = append(w.order, id)
	w.step(e)
}

func (w *ruleChecker) endAttempt() {
	var ids []string
	for _, id := range w.order {
		for _, t := range w.reqs[id].attempts {
			if t.inFlight {
				ids = append(ids, id)
				break
			}
		}
	}
	if len(ids) == 0 {
		return
	}
	id := ids[w.rng.Intn(len(ids))]
	q := w.reqs[id]
	k := 0
	for !q.attempts[k].inFlight {
		k++
	}
	t, s := q.attempts[k], w.srv[q.attempts[k].server]
	res := []policy.Result{0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 8}[w.rng.Intn(14)]
	t.inFlight = false
	// Any result may come with any execution, because results are rewritten for roles, freshness and health.
	execution := executionFor(res)
	if w.rng.Intn(3) == 0 {
		execution = []policy.Execution{policy.ExecutionUnknown, policy.ExecutionNone, policy.ExecutionDone}[w.rng.Intn(3)]
	}
	wasWhole := res == policy.ResultOK || res == policy.ResultError || res == policy.ResultTimeout || res == policy.ResultReset
	t.neverRan = execution == policy.ExecutionNone && !wasWhole
	o := policy.Outcome{ID: id, Attempt: k, Server: t.server, Result: res, Execution: execution, Latency: w.now - t.at}
	switch res {
	case policy.ResultOK, policy.ResultError, policy.ResultOverloaded, policy.ResultMisdirected:
		o.Role = []policy.Role{policy.RolePrimary, policy.RoleReplica}[w.rng.Intn(2)]
		if res == policy.ResultOK && w.set.Classes[q.class].Need == policy.NeedWrite {
			o.Role = policy.RolePrimary
		}
		if w.rng.Intn(2) == 0 {
			o.Position = w.now - clock.Micros(w.rng.Intn(1500))*ms
			s.known = max(s.known, o.Position)
		}
		s.mayBePrimary = s.mayBePrimary && o.Role != policy.RoleReplica || o.Role == policy.RolePrimary
	}
	if res == policy.ResultOK {
		q.done = true
	}
	o.Final = q.done
	w.step(o)
}

func (w *ruleChecker) updateEndpoint() {
	id := w.ids[w.rng.Intn(len(w.ids))]
	s := w.srv[id]
	s.state = policy.EndpointReady
	if n := w.rng.Intn(12); n < 2 {
		s.state = []policy.EndpointState{policy.EndpointDraining, policy.EndpointRemoved}[n]
	}
	m := policy.Endpoint{Server: id, Group: s.group, State: s.state, Primary: w.rng.Intn(4) == 0}
	if w.rng.Intn(3) == 0 {
		m.Started = w.now - clock.Micros(w.rng.Intn(3000))*ms
	}
	if m.Primary {
		s.mayBePrimary = true
	}
	w.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{m}})
}

func (w *ruleChecker) endHealthCheck() {
	if len(w.openChecks) == 0 {
		return
	}
	id := w.openChecks[0]
	w.openChecks = w.openChecks[1:]
	p := policy.HealthCheckEnded{Server: id, Result: []policy.Result{0, 0, 0, 0, 0, 0, 0, 2, 3, 4}[w.rng.Intn(10)], Latency: ms}
	if p.Result == policy.ResultOK {
		s := w.srv[id]
		p.LoadReport.HasPosition, p.LoadReport.Position = true, w.now-clock.Micros(w.rng.Intn(2500))*ms
		p.LoadReport.Role = []policy.Role{policy.RolePrimary, policy.RoleReplica, policy.RoleReplica}[w.rng.Intn(3)]
		s.known = max(s.known, p.LoadReport.Position)
		s.mayBePrimary = s.mayBePrimary || p.LoadReport.Role == policy.RolePrimary
	}
	w.step(p)
}

// fireTimers delivers the timers that are due, each at the first tick at or after its time, as the simulator
// does.
func (w *ruleChecker) fireTimers() {
	for fired := true; fired; {
		fired = false
		for i, a := range w.timers {
			if a.At <= w.now {
				w.timers = append(w.timers[:i:i], w.timers[i+1:]...)
				w.step(a.Timer)
				fired = true
				break
			}
		}
	}
}

func (w *ruleChecker) disconnectClients() {
	for _, id := range w.order {
		q := w.reqs[id]
		if !q.done && (w.now > q.deadline+w.set.AnswerSlack) {
			w.fail("%s: no final answer by its deadline", id)
		}
		if !q.done && w.rng.Intn(500) == 0 {
			q.done = true
			w.step(policy.ClientDisconnected{ID: id})
		}
	}
	if len(w.order) > 400 {
		var kept []string
		for _, id := range w.order {
			open := !w.reqs[id].done
			for _, t := range w.reqs[id].attempts {
				open = open || t.inFlight
			}
			if open {
				kept = append(kept, id)
			}
		}
		w.order = kept
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	sends, ends := 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		rng := rand.New(rand.NewSource(seed))
		set := settings()
		freshOnce := set.Classes[freshRead]
		freshOnce.Effect = policy.EffectNonIdempotent
		set.Classes = append(set.Classes, freshOnce)
		set.FreshnessCheck = policy.FreshnessCheck(seed % 3)
		set.SessionPositionsCarried = seed%2 == 0
		set.ListSubscribed, set.RemovedStayUsable = seed%5 == 0, seed%7 == 0
		set.Gateways, set.CanCancel, set.CanSendRetryAfter = []int{1, 2, 3, 40, 250}[seed%5], seed%4 != 0, seed%3 == 0
		set.MaxAttempts = 1 + int(seed%8)
		w := &ruleChecker{t: t, seed: seed, set: set, rng: rng, now: origin,
			reqs: map[string]*modelRequest{}, srv: map[policy.ServerID]*modelServer{}}
		r, acts := policy.New(w.now, uint64(seed), set)
		w.r = r
		w.checkActions(acts)
		var list []policy.Endpoint
		for id := policy.ServerID(1); id <= 8; id++ {
			g := 1 + int(id)%2
			w.srv[id] = &modelServer{group: g, state: policy.EndpointReady, mayBePrimary: id <= 2}
			w.ids = append(w.ids, id)
			list = append(list, policy.Endpoint{Server: id, Group: g, State: policy.EndpointReady, Primary: id <= 2})
		}
		w.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: list})
		for range 4000 {
			w.now += 5 * ms
			w.fireTimers()
			w.disconnectClients()
			for k := rng.Intn(4); k > 0; k-- {
				switch n := rng.Intn(20); {
				case n < 4:
					w.arrive()
				case n < 15:
					w.endAttempt()
				case n < 19:
					w.endHealthCheck()
				case rng.Intn(3) == 0:
					w.updateEndpoint()
				}
			}
		}
		for _, q := range w.reqs {
			sends, ends = sends+len(q.attempts), ends+q.answered
		}
	}
	if sends < 20_000 || ends < 20_000 {
		t.Fatalf("too few events to check the rules: %d sends, %d final answers", sends, ends)
	}
}
