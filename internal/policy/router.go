// Package policy decides, for one gateway, where each request of a replicated database goes.
//
// A Router is a pure state machine: Step turns (now, event) into actions. It owns no clock,
// goroutine, socket or file, and draws random numbers only from the seed it was given. Package
// routing drives it on its one goroutine, which alone may call it; package simhost drives it on the
// simulator's wire. What it learns it forgets with the process.
//
// The path of a request:
//
//	Arrival -> acceptRequest: note its objective and deadline, set its timer, queue it
//	        -> dispatch: the queue of its group, the highest value for the expected work first
//	        -> place: placeOnPrimary for writes and fresh reads, placeRead for the others
//	        -> send, or wait in the queue until something changes
//	Outcome -> learnFromOutcome: role, position, health, latency, errors
//	        -> completeAttempt: served, or queued again as mayRetry and takeRetryToken allow, or finished
//	Timer   -> requestTimer: finish at the request's end
//	        -> sweep: subscription, removed servers, expired ejections, health checks, the queues
//
// Where the decisions stand:
//
//   - Whether a server may be used: inService (drains, removals, health checks) and hasCapacity (back-off,
//     concurrency limit, slow start). Of the placements only candidateReplicas looks at ejection.
//   - Which replica: the freshness gate in placeRead, then drawReplica with the session's sticky replica.
//   - Down servers and health checks: healthCheckDue, healthCheckEnded, markDown, observeAlive.
//   - The concurrency limit: observeLatency and cutLimit. Slow start: slowStartWeight, withinSlowStartBudget.
//   - Outliers: detectOutlier ejects; the sweep only ends ejections (unejectExpired).
//   - Retries are bounded in four places: mayRetry (attempts left, none in flight, no harm in a second run),
//     takeRetryToken (the budget), placeOnPrimary (half of a write's attempts while no primary is known), and
//     routing.Core, which checks attempts, deadline and attempts in flight again before it sends, and ends
//     what it does not send as ResultNotSent.
//   - Every final answer that is not a served one passes through finish. Only an answer that was served, or
//     the disconnect of its client, ends a request without it.
//
// Package routing decides four things itself, before the router hears of them: it turns a fresh read that
// a server answered as a replica into ResultMisdirected, though it ran; it rejects requests of groups
// that no list has named, of classes that changed on the way, and with the id of a request still in hand;
// it keeps a server that operators cordon draining whatever the list says; and it fails what is still
// unanswered when the gateway stops.
package policy

import (
	"cmp"
	"fmt"
	"slices"

	"marblespan/internal/clock"
)

// one is the whole of a share that is counted in thousandths.
const one = 1000

// maxBackOffFactor bounds intervals that double: they grow up to this many learned objectives.
const maxBackOffFactor = 8

// sweepsPerObjective is how often the sweep runs within the smallest latency objective.
const sweepsPerObjective = 16

// Router decides for one gateway. It is not safe for concurrent use: one goroutine calls it.
type Router struct {
	settings *Settings // in force
	classes  []*classState
	rng      random
	now      clock.Micros // never goes back
	actions  []Action     // of the step under way

	servers    map[ServerID]*server
	groups     map[int]*group
	groupsByID []*group // in the order of their ids
	requests   map[string]*request
	sessions   *sessions

	intervals
	workMeter
	retryBudget
	checkBudget
	subscription
}

// server is what this gateway knows of one database server.
type server struct {
	id        ServerID
	group     *group
	inFlight  []*attempt // oldest first
	busySince clock.Micros

	listing
	replicationState
	health
	concurrencyLimit
	outlierState
	slowStartState
}

// group is a primary and its replicas.
type group struct {
	id              int
	servers         []*server // by id
	primary         *server   // nil: not known
	primaryProvenAt clock.Micros
	queue           []*request   // waiting for a server
	lastRequestAt   clock.Micros // last arrival of a request; 0: never
}

// New makes a router and returns the actions to carry out first. The same seed, settings and events
// give the same actions.
func New(now clock.Micros, seed uint64, settings Settings) (*Router, []Action) {
	r := &Router{
		rng:         random{seed},
		now:         now,
		servers:     map[ServerID]*server{},
		groups:      map[int]*group{},
		requests:    map[string]*request{},
		sessions:    newSessions(maxSessions),
		workMeter:   workMeter{workSince: now},
		retryBudget: retryBudget{retryTokens: maxSavedTokens * one},
	}
	r.adopt(settings)
	r.setTimer(now+r.sweepInterval(), Timer{Kind: TimerSweep})
	if r.settings.ListSubscribed {
		r.subscribe()
	}
	return r, r.takeActions()
}

// Step takes in one event and returns the actions that it calls for, in order. Time never goes
// back: an earlier now counts as the last one.
func (r *Router) Step(now clock.Micros, ev Event) []Action {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case Arrival:
		r.acceptRequest(e)
	case Outcome:
		r.completeAttempt(e)
	case ClientDisconnected:
		if req := r.requests[e.ID]; req != nil && !req.done {
			r.closeRequest(req)
		}
	case Timer:
		switch e.Kind {
		case TimerSweep:
			r.sweep()
		case TimerRequest:
			r.requestTimer(e.RequestID)
		}
	case HealthCheckEnded:
		r.healthCheckEnded(e)
	case EndpointUpdate:
		r.updateEndpoints(e)
	}
	return r.takeActions()
}

// sweep does what time alone calls for: it keeps the subscription to the endpoint list, drops
// removed servers, ends ejections that are over, starts health checks that are due, and serves the
// queues.
func (r *Router) sweep() {
	r.setTimer(r.now+r.sweepInterval(), Timer{Kind: TimerSweep})
	r.keepSubscribed()
	for _, g := range r.groupsByID {
		for _, s := range slices.Clone(g.servers) {
			if r.removable(s) {
				g.servers = removeFirst(g.servers, s)
				delete(r.servers, s.id)
				r.emit(Forget{s.id})
				continue
			}
			r.unejectExpired(s)
			if r.healthCheckDue(g, s) {
				r.startHealthCheck(s)
			}
		}
		r.checkStalestReplicas(g)
		r.dispatch(g)
	}
}

// sweepInterval is the time from one sweep to the next.
func (r *Router) sweepInterval() clock.Micros {
	return max(r.settings.Tick, r.minObjective/sweepsPerObjective)
}

// groupOf finds a group, or makes an empty one.
func (r *Router) groupOf(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id}
		r.groups[id] = g
		r.groupsByID = append(r.groupsByID, g)
		slices.SortFunc(r.groupsByID, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	}
	return g
}

// takeActions hands over the actions gathered so far.
func (r *Router) takeActions() (out []Action) {
	out, r.actions = r.actions, nil
	return out
}

// emit adds an action to those of the step under way.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// setTimer asks for a timer event.
func (r *Router) setTimer(at clock.Micros, t Timer) { r.emit(SetTimer{At: at, Timer: t}) }

// log writes a line for the operators.
func (r *Router) log(format string, a ...any) { r.emit(Log{Text: fmt.Sprintf(format, a...)}) }

// logServer is log for a line about a server.
func (r *Router) logServer(s *server, format string, a ...any) {
	r.emit(Log{Text: fmt.Sprintf(format, a...), Server: s.id})
}

// removeFirst removes the first x from list in place, keeping the order.
func removeFirst[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
