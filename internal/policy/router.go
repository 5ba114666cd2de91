// Package policy decides, for one gateway, which server gets each request for a replicated database.
//
// A Router is a pure state machine: Step turns a time and an event into actions. It has no clock,
// goroutine, socket or file, and takes its random numbers only from the seed that it was created with.
// Package routing drives it in production from a single goroutine: no other goroutine may call it.
// Package simhost drives it in the simulator. All state of a Router is in memory and is lost when the
// process ends.
//
// The path of a request:
//
//	Arrival -> acceptRequest: record its objective and deadline, set its timer, queue it
//	        -> dispatch: serve the queue of its group, the highest value per expected work first
//	        -> place: placeOnPrimary for writes and fresh reads, placeRead for the others
//	        -> send, or wait in the queue until something changes
//	Outcome -> learnFromOutcome: role, position, health, latency, errors
//	        -> completeAttempt: served; queued again if mayRetry and takeRetryToken allow it; or finished
//	Timer   -> requestTimer: finish the request when it expires
//	        -> sweep: subscription, removed servers, expired ejections, health checks, the queues
//
// Where each decision is made:
//
//   - Whether a server may be used: inService (drains, removals, health checks) and hasCapacity (back-off,
//     concurrency limit, slow start). Only candidateReplicas takes ejection into account.
//   - Which replica: the freshness check in placeRead, then drawReplica with the session's sticky replica.
//   - Whether an attempt that has waited for its connection may still begin: Confirm.
//   - Down servers and health checks: healthCheckDue, healthCheckEnded, markDown, observeAlive.
//   - The concurrency limit: observeLatency and cutLimit. Slow start: slowStartWeight, withinSlowStartBudget.
//   - Outliers: detectOutlier ejects; unejectExpired, called by the sweep, ends ejections.
//   - Retries are bounded in four places: mayRetry (attempts left, none in flight, a second run harmless),
//     takeRetryToken (the budget), placeOnPrimary (half of a write's attempts while no primary is known), and
//     routing.Core, which checks attempts, deadline and attempts in flight again before it sends. An
//     attempt that it does not send ends as ResultNotSent.
//   - finish gives every final answer other than a served one. A request ends without finish only if it is
//     served or its client disconnects.
//
// Package routing makes four decisions itself, before the router gets the event. It turns a fresh read
// that a server answered as a replica into ResultMisdirected, although the read ran. It rejects a request
// if no endpoint list has named its group, if its class has changed since it was read, or if its id is
// that of a request that is still open. It keeps a server that operators cordon draining, whatever the
// list contains. And it fails all requests that are still unanswered when the gateway stops.
package policy

import (
	"cmp"
	"fmt"
	"slices"

	"marblespan/internal/clock"
)

// one is the number 1 in fixed-point form: shares and limits are counted in thousandths.
const one = 1000

// maxBackOffFactor is the upper bound of ejections and other periods that double, as a multiple of
// maxObjective.
const maxBackOffFactor = 8

// sweepsPerObjective is the number of sweeps within the smallest latency objective.
const sweepsPerObjective = 16

// Router makes the decisions of one gateway. It is not safe for concurrent use: a single goroutine must
// make all calls.
type Router struct {
	settings *Settings // in force
	classes  []*classState
	rng      random
	now      clock.Micros // never goes back
	actions  []Action     // actions of the current step

	servers    map[ServerID]*server
	groups     map[int]*group
	groupsByID []*group // sorted by id
	requests   map[string]*request
	sessions   *sessions

	intervals
	workMeter
	retryBudget
	checkBudget
	subscription
	dispatcher
}

// server is this gateway's state of one database server.
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
	servers         []*server // sorted by id
	primary         *server   // nil: unknown
	primaryProvenAt clock.Micros
	queues          []*requestQueue // requests that wait for a server, by class
	waiting         int             // number of requests in queues
	lastRequestAt   clock.Micros    // arrival of the last request; 0: never
}

// New creates a router and returns the first actions to carry out. The same seed, settings and events
// always produce the same actions.
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
	r.applySettings(settings)
	r.setTimer(now+r.sweepInterval(), Timer{Kind: TimerSweep})
	if r.settings.ListSubscribed {
		r.subscribe()
	}
	return r, r.takeActions()
}

// Step processes one event and returns the resulting actions in order. If now is earlier than in a
// previous call, the latest time so far is used instead, so that time never goes back.
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

// sweep does the periodic work: it maintains the subscription to the endpoint list, drops removed
// servers, ends expired ejections, starts health checks that are due, and serves the queues.
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
		r.dispatchUpTo(g, g.waiting)
		r.dropFormerQueues(g)
	}
}

// sweepInterval returns the time from one sweep to the next.
func (r *Router) sweepInterval() clock.Micros {
	return max(r.settings.Tick, r.minObjective/sweepsPerObjective)
}

// groupOf returns the group with the given id, and creates it if it does not exist.
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

// takeActions returns the actions collected so far and clears the list.
func (r *Router) takeActions() (out []Action) {
	out, r.actions = r.actions, nil
	return out
}

// emit adds an action to those of the current step.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// setTimer requests a timer event.
func (r *Router) setTimer(at clock.Micros, t Timer) { r.emit(SetTimer{At: at, Timer: t}) }

// log adds a line to the operators' log.
func (r *Router) log(format string, a ...any) { r.emit(Log{Text: fmt.Sprintf(format, a...)}) }

// logServer adds a line about a server to the operators' log.
func (r *Router) logServer(s *server, format string, a ...any) {
	r.emit(Log{Text: fmt.Sprintf(format, a...), Server: s.id})
}

// removeFirst removes the first element equal to x from a list in place, and keeps the order.
func removeFirst[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
