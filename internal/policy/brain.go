// Package policy has every decision of a gateway in this file; its
// interface (settings, events, actions) is api.go, state.go holds the containers. No other file decides.
//
// The path of a request:
//
//	Arrival -> accept: note its need, its aim and its end, set its timer
//	        -> place:  writes and fresh reads -> placeOnPrimary; other reads -> placeRead:
//	                   the session's replica or a random draw among the fresh ones, else the most advanced
//	                   replica that may have caught up (where servers check) or one that asks finds fresh
//	                   (where they do not), else the primary; long reads only one half of the replicas
//	        -> send, or wait in the group's queue until dispatch finds room, best worth for its time first
//	Outcome -> learn (role, position, health, room) -> conclude: served, or tried again as `mayResend` allows
//	Timer   -> finish at the request's end; sweep: probes, ejections, discovery, the queues
//
// Every final answer passes through finish. usable tells whether a server may be used, hasRoom for one more.
package policy

import (
	"slices"

	"marblespan/internal/clock"
)

// The tuned numbers. Shares are in thousandths; spans are shares of the settings' own aims, bounds and ramps.
const (
	one                   = 1000
	maxSessions           = 1 << 14 // sessions remembered; older marks merge into one floor
	initialFleetLimit     = 12      // in flight at one server, of all gateways, before anything is learned
	limitFloorPart        = 3       // a cut leaves this part of the start's limit ...
	minAdmissionChance    = 50      // ... or this chance of one attempt
	latencyRatioHigh      = 450     // mean latency over aim at which a server's limit is cut
	latencyRatioLow       = 350     // below it a limit in full use grows
	smoothing             = 12      // outcomes that a moving mean looks back on
	limitCutFactor        = 850     // what a cut leaves of a limit
	maxCuts               = 8       // a cut counts for the half aims since the last word, up to so many more
	outlierErrorShare     = 400     // share of bad outcomes at which a server is ejected ...
	outlierPeerFactor     = 2       // ... if it is this many times its peers' share
	maxBackOffFactor      = 8       // an ejection grows up to this many times its first span
	retryTokensPerArrival = 200     // further attempts that may have run, for each arrival
	maxSavedTokens        = 10      // such attempts saved up
	checkTokensPerArrival = 250     // probes for freshness, and of dead servers, for each arrival
	sweepsPerObjective    = 16
	expectedLatencyFactor = 2       // an answer may well take this many times the usual ...
	maxExpectedShare      = 750     // ... but no more than this share of its aim
	infeasiblePart        = 4       // with less left than this part of it nothing is sent
	levelPart             = 8       // replicas within this part of the smallest bound are level
	crowdedFactor         = 2       // a replica is crowded beyond this many times the emptiest one, plus one
	objectiveSpread       = 3       // what is learned keeps the pace of aims up to this many times the smallest
	longReadBounds        = 2       // a read is long if its aim is more than this many times the smallest bound
	checkWaitPart         = 3       // a read waits for reports of replicas for this part of its aim
	readShareOfPrimary    = 500     // share of the primary's limit that reads of replicas may fill
	maxSlowStartDraw      = 1500    // a draw of the slow start budget: above one, as its share is a guess
	maxSubscribeBackOff   = 600_000 // at most, between asks: what the list tells is held to be known after 6 s
)

// New makes a router and returns what it does first.
func New(now clock.Micros, seed uint64, set Settings) (*Router, []Action) {
	r := &Router{
		now: now, rng: random{seed}, servers: map[ServerID]*server{}, groups: map[int]*group{},
		requests: map[string]*request{}, sessions: newSessions(maxSessions), retryTokens: maxSavedTokens * one,
		workSince: now,
	}
	r.adopt(set)
	r.setTimer(now+r.sweepInterval(), Timer{Kind: TimerSweep})
	if r.settings.ListSubscribed {
		r.subscribe()
	}
	return r, r.takeActions()
}

// readSettings gives missing or contradictory settings a safe reading: the strictest that still works.
func (r *Router) normalizeSettings() {
	s := r.settings
	raiseTo := func(v *clock.Micros, least clock.Micros, name string) {
		if *v < least {
			r.log("setting %s is %d us, read as %d", name, *v, least)
			*v = least
		}
	}
	raiseTo(&s.Tick, 1, "tick")
	raiseTo(&s.ConnectTimeout, s.Tick, "connect timeout")
	s.Gateways, s.MaxAttempts = max(s.Gateways, 1), max(s.MaxAttempts, 1)
	for i, c := range r.classes {
		raiseTo(&c.Deadline, s.Tick, "deadline")
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			r.log("class %d: aim read as its deadline", i)
			c.LatencyObjective = c.Deadline
		}
		if r.minObjective == 0 || c.LatencyObjective < r.minObjective {
			r.minObjective = c.LatencyObjective
		}
		r.maxObjective = max(r.maxObjective, c.LatencyObjective)
		if c.Need == NeedBounded && c.StalenessBound > 0 && (r.minBound == 0 || c.StalenessBound < r.minBound) {
			r.minBound = c.StalenessBound
		}
	}
	if r.minObjective == 0 {
		r.minObjective, r.maxObjective = s.ConnectTimeout, s.ConnectTimeout
	}
	r.maxObjective = min(r.maxObjective, r.minObjective*objectiveSpread)
	r.meanRequestWork = int64(r.minObjective / infeasiblePart / 2)
	if r.minBound == 0 {
		r.minBound = r.minObjective
	}
}

// Step takes one event and returns the actions it calls for, in order.
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

// requestTimer ends a request at its end, or halfway to it if nothing was sent for it by then.
func (r *Router) requestTimer(id string) {
	req := r.requests[id]
	switch {
	case req == nil:
	case r.now < r.endOf(req) && len(req.attempts) > 0:
		r.setTimer(r.endOf(req), Timer{RequestID: id})
	default:
		r.finish(req)
	}
}

func (r *Router) sweepInterval() clock.Micros {
	return max(r.settings.Tick, r.minObjective/sweepsPerObjective)
}

// ---- requests ----

// accept takes a request in. Its end is the moment after which an answer earns nothing: for a repeatable
// class without late worth the aim, for others a tick before the client stops waiting. With nothing sent by
// half of its time it ends then: a later refusal costs the client the time in which it could come again.
func (r *Router) acceptRequest(e Arrival) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.classes) {
		return
	}
	c := r.classes[e.Class]
	req := &request{
		id: e.ID, settings: r.settings, class: c, group: r.groupOf(e.Group),
		deadline: r.now + e.TimeLeft, objectiveAt: r.now + c.LatencyObjective,
		awaitsCheckUntil: r.now + c.LatencyObjective/checkWaitPart,
	}
	r.requests[req.id] = req
	r.retryTokens = min(r.retryTokens+retryTokensPerArrival, maxSavedTokens*one)
	r.checkTokens = min(r.checkTokens+checkTokensPerArrival, maxSavedTokens*one)
	req.group.lastRequestAt = r.now
	if e.HasSession {
		req.session = r.sessions.get(e.Session)
	}
	if c.Need == NeedSession && e.SinceWrite > 0 { // the commit that it must see comes with the request
		req.requiredPosition = r.now - e.SinceWrite
	}
	halfway := r.now + e.TimeLeft/2 - r.settings.Tick
	r.setTimer(max(min(r.endOf(req), halfway), r.now+1), Timer{RequestID: req.id})
	r.enqueue(req)
	r.dispatch(req.group)
}

// end is when a request stops being worth an answer.
func (r *Router) endOf(req *request) clock.Micros {
	last := req.deadline - req.settings.Tick
	if req.class.LateWeight == 0 && req.class.Effect == EffectIdempotent {
		return min(last, req.objectiveAt)
	}
	return last
}

// value is what an answer to a waiting request still earns for the time it takes, as far as that has been
// seen.
func (r *Router) dispatchValue(req *request) int64 {
	worth := req.class.PriorityWeight
	if r.likelyLate(req) {
		worth = 0
	} else if r.now+r.expectedLatency(req) > req.objectiveAt {
		worth = worth * req.class.LateWeight / one
	}
	return worth * one / int64(max(req.class.typicalLatency/1000, 1))
}

// expected is how long an answer may well take, never so long that a new request looks hopeless. With less
// left it would mostly time out and waste its work. Harm: where latency varies little, a few too many end so.
func (r *Router) expectedLatency(req *request) clock.Micros {
	return min(req.class.typicalLatency*expectedLatencyFactor, req.class.LatencyObjective*maxExpectedShare/one)
}

// pressed tells that a request may well run out of time. Sent while others wait it would mostly waste its
// work; where a server has room it costs nobody. Guards against shutting hasty clients out of idle servers.
func (r *Router) likelyLate(req *request) bool { return r.now+r.expectedLatency(req) > r.endOf(req) }

// enqueue puts a request into its group's queue; the dispatch that follows may send it at once.
func (r *Router) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		req.group.queue = append(req.group.queue, req)
	}
}

// dispatch serves a group's queue, the best worth for its time first and the oldest among equals. What may
// well not be answered in time comes last, and gets its final answer now if nobody else has left it room.
func (r *Router) dispatch(g *group) {
	queue := slices.Clone(g.queue)
	slices.SortStableFunc(queue, func(a, b *request) int { return int(r.dispatchValue(b) - r.dispatchValue(a)) })
	for _, req := range queue {
		if req.done {
			continue
		}
		if r.now+r.expectedLatency(req)/infeasiblePart > r.endOf(req) {
			r.finish(req)
		} else if s := r.place(req); s != nil {
			r.send(req, s)
		} else if r.likelyLate(req) {
			r.finish(req)
		}
	}
}

// place finds a server for a request, or nil to wait.
func (r *Router) place(req *request) *server {
	if needsPrimary(req) {
		return r.placeOnPrimary(req)
	}
	return r.placeRead(req)
}

func needsPrimary(req *request) bool {
	return req.class.Need == NeedWrite || req.class.Need == NeedFresh
}

// placeOnPrimary sends writes and fresh reads to the last known primary. Without one, fresh reads wait, and
// writes try the members, at most one round of misses a pace for all writes together and half of their
// attempts: the list's primary first, then the most advanced, for that one is elected.
func (r *Router) placeOnPrimary(req *request) *server {
	if p := req.group.primary; p != nil && r.inService(p) {
		if r.admits(p, req, one) {
			return p
		}
		return nil
	}
	if req.class.Need == NeedFresh || len(req.attempts)*2 >= req.settings.MaxAttempts {
		return nil
	}
	var best *server
	for _, s := range req.group.servers {
		missed := s.writeMisdirectedAt > 0 && r.now-s.writeMisdirectedAt < r.minObjective/2
		if missed || s == req.group.primary || !r.admits(s, req, one) {
			continue
		}
		if best == nil || s.listedPrimary && !best.listedPrimary ||
			s.listedPrimary == best.listedPrimary && s.position > best.position {
			best = s
		}
	}
	return best
}

// placeRead is the freshness gate and the draw; every bounded read goes through it at the moment it is sent.
func (r *Router) placeRead(req *request) *server {
	able, need := r.candidateReplicas(req), r.requiredPosition(req)
	if r.isLongRead(req) {
		able = r.longReadReplicas(req.group, able)
	}
	var fresh []*server
	for _, s := range able {
		if req.class.Need == NeedAny || s.position >= need {
			fresh = append(fresh, s)
		}
	}
	if s := r.drawReplica(req, r.preferOwnZone(fresh)); s != nil {
		return s
	}
	if req.settings.FreshnessCheck != FreshnessCheckNone {
		if s := r.drawReplica(req, r.furthestAhead(able)); s != nil {
			return s
		}
	}
	if r.awaitsHealthCheck(req, able) {
		return nil
	}
	if p := req.group.primary; p != nil && r.admits(p, req, readShareOfPrimary) {
		return p
	}
	return nil
}

// long tells that a read for which any member will do may take longer than the smallest bound.
func (r *Router) isLongRead(req *request) bool {
	return req.class.Need == NeedAny && req.class.LatencyObjective > r.minBound*longReadBounds
}

// aside keeps, of the able replicas, every other one of the group's, in the order that all gateways see. Long
// reads go there: a replica may apply nothing while it holds one, and spread over all they would leave none
// fresh. The primary's data are current whatever it holds, so it may help out. Harm: where long reads do not
// stop the log, their half may be the fuller one.
func (r *Router) longReadReplicas(g *group, able []*server) (out []*server) {
	n := 0
	for _, s := range g.servers {
		if s == g.primary || !r.inService(s) {
			continue
		}
		if n++; n%2 == 0 && contains(able, s) {
			out = append(out, s)
		}
	}
	if n < 2 {
		return able
	}
	return out
}

// asks has replicas report to a bounded read that finds none fresh, and tells whether it is worth waiting for
// that before the primary takes it. It acts where servers check nothing: there old news rules a replica out,
// and with little traffic most news is old. All that wait share a probe; the most advanced is asked first, so
// that few positions have to be known, and none again within half the bound or before it can have caught up.
// Harm: the read is later by the probe.
func (r *Router) awaitsHealthCheck(req *request, able []*server) bool {
	if req.class.Need != NeedBounded || req.settings.FreshnessCheck != FreshnessCheckNone ||
		!r.settings.CanHealthCheck {
		return false
	}
	var best *server
	for _, s := range able {
		if s.checking && r.now-s.checkedAt < r.settings.ConnectTimeout/2 {
			return r.now < req.awaitsCheckUntil
		}
		pause := max(r.minBound, s.checkedAt-s.position-r.minBound) / 2
		if !s.checking && r.now-s.checkedAt > pause && (best == nil || s.position > best.position) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	r.startHealthCheck(best)
	return r.now < req.awaitsCheckUntil
}

// needOf is the position that a read's answer must have reached if it is sent now. Where marks are remembered
// it must see each write of its session that was answered by now; one that is out may have been.
func (r *Router) requiredPosition(req *request) Position {
	switch {
	case req.class.Need == NeedBounded:
		return r.now - req.class.StalenessBound
	case req.class.Need != NeedSession || req.session == nil || r.settings.SessionPositionsCarried:
		return req.requiredPosition
	case req.session.writesInFlight > 0:
		return r.now
	}
	return max(req.requiredPosition, req.session.position)
}

// replicas lists the members that may take a read now: those that have room and are not crowded, the primary
// aside. Ejected ones are listed only when nothing else is left: an ejection never empties a group.
func (r *Router) candidateReplicas(req *request) []*server {
	var out, trials []*server
	least := -1
	for _, s := range req.group.servers {
		if s == req.group.primary || !r.inService(s) || contains(req.misdirectedBy, s.id) {
			continue
		}
		if !s.ejected && (least < 0 || len(s.inFlight) < least) {
			least = len(s.inFlight)
		}
		switch {
		case !r.admits(s, req, one):
		case s.ejected:
			trials = append(trials, s)
		default:
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return trials
	}
	return slices.DeleteFunc(out, func(s *server) bool { return len(s.inFlight) > least*crowdedFactor+1 })
}

// near keeps the replicas of this gateway's own zone that are not strained, if there are any, where crossing
// zones has a price. Harm: a zone with more requests than replicas crowds them up to that strain.
func (r *Router) preferOwnZone(from []*server) []*server {
	var out []*server
	for _, s := range from {
		if r.settings.CrossZoneCost > 0 && s.zone == r.settings.Zone && s.latencyRatio < latencyRatioHigh {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return from
	}
	return out
}

// draw keeps the session's replica while it qualifies, and draws anew when it does not.
func (r *Router) drawReplica(req *request, from []*server) *server {
	if len(from) == 0 {
		return nil
	}
	if req.session == nil {
		return from[r.rng.below(len(from))]
	}
	for _, s := range from {
		if req.session.sticky && s.id == req.session.replica {
			return s
		}
	}
	s := from[r.rng.below(len(from))]
	req.session.replica, req.session.sticky = s.id, true
	return s
}

// mostAdvanced is what to try when no replica is known to be fresh enough and the servers check: the one with
// the highest position, and those as near to it as news is old anyway. Old news rules nobody out, for reports
// may be late while the data is not; a miss does, for a span that doubles until a read goes through.
func (r *Router) furthestAhead(able []*server) []*server {
	var top Position
	var near []*server
	for _, s := range able {
		if r.now >= s.misdirectedUntil {
			top, near = max(top, s.position), append(near, s)
		}
	}
	return slices.DeleteFunc(near, func(s *server) bool { return s.position < top-r.minBound/levelPart })
}

// ---- attempts ----

// send makes the next attempt. It is the only place that sends.
func (r *Router) send(req *request, s *server) {
	a := &attempt{request: req, index: len(req.attempts), server: s, sentAt: r.now, inFlight: true}
	req.attempts = append(req.attempts, a)
	req.queued = false
	req.group.queue = drop(req.group.queue, req)
	if len(s.inFlight) == 0 {
		s.busySince = r.now
	}
	s.inFlight = append(s.inFlight, a)
	if req.writesSession() {
		req.session.writesInFlight++
	}
	if r.slowStartWeight(s) < one {
		s.slowStartSends = append(s.slowStartSends, slowStartSend{r.now, r.expectedWork(req)})
		s.slowStartDrawnAt = r.now
	}
	r.emit(Send{ID: req.id, Server: s.id, Until: max(r.endOf(req), r.now+1)})
}

// neverRan tells which results prove that an attempt had no effect.
func provesNotRun(res Result) bool {
	switch res {
	case ResultOverloaded, ResultConnectFailed, ResultNotSent, ResultMisdirected:
		return true
	}
	return false
}

// mayResend says whether another attempt is allowed now: what may have run is repeated only if its class is
// safe; nothing has two attempts out.
func (r *Router) mayRetry(req *request) bool {
	return !req.done && len(req.attempts) < req.settings.MaxAttempts && req.outstanding() == 0 && mayReject(req)
}

// mayRefuse says whether it is true to tell the client that asking again is harmless.
func mayReject(req *request) bool {
	return req.class.Effect == EffectIdempotent || firstMaybe(req) == nil
}

// finish gives the one final answer that is not a served one, and stops what is still out. A refused client
// is asked to stay away as long as it heeds: want of room or of a primary mostly outlasts its patience. Harm:
// after a short trouble it comes back later than it could.
func (r *Router) finish(req *request) {
	if req.done {
		return
	}
	if mayReject(req) {
		advice := clock.Micros(0)
		if req.settings.CanSendRetryAfter {
			advice = req.settings.MaxRetryAfter
		}
		r.emit(Reject{ID: req.id, RetryAfter: advice})
	} else {
		r.emit(Fail{ID: req.id})
	}
	r.closeRequest(req)
}

// close marks a request over and cancels what is out for it; its record goes with its last attempt.
func (r *Router) closeRequest(req *request) {
	req.done = true
	if req.queued {
		req.queued = false
		req.group.queue = drop(req.group.queue, req)
	}
	for _, a := range req.attempts {
		if a.inFlight && req.settings.CanCancel {
			r.emit(Cancel{ID: req.id, Attempt: a.index})
		}
	}
	r.releaseRequest(req)
}

func (r *Router) releaseRequest(req *request) {
	if req.done && req.outstanding() == 0 {
		delete(r.requests, req.id)
	}
}

// conclude takes in how an attempt ended and decides what becomes of its request.
func (r *Router) completeAttempt(e Outcome) {
	req := r.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || !req.attempts[e.Attempt].inFlight {
		return
	}
	a := req.attempts[e.Attempt]
	a.inFlight, a.neverRan = false, provesNotRun(e.Result)
	a.server.inFlight = drop(a.server.inFlight, a)
	r.learnFromOutcome(a, e)
	switch {
	case e.Final:
		req.done = true
	case req.done:
	case !r.mayRetry(req) || !r.takeRetryToken(e.Result):
		r.finish(req)
	default:
		r.enqueue(req)
	}
	r.releaseRequest(req)
	r.dispatch(req.group)
}

// affords spends from the retry budget for a repeat of what may have run, so that slowness or errors
// everywhere do not multiply the load. What never ran costs nothing.
func (r *Router) takeRetryToken(res Result) bool {
	return provesNotRun(res) || takeToken(&r.retryTokens)
}

// spend takes one from a budget that arrivals fill, if there is one.
func takeToken(budget *int64) bool {
	if *budget < one {
		return false
	}
	*budget -= one
	return true
}

// ---- what outcomes teach ----

// learn takes from an outcome what it says of the server: role, position, health, room.
func (r *Router) learnFromOutcome(a *attempt, e Outcome) {
	s, req := a.server, a.request
	if req.writesSession() {
		r.recordSessionWrite(req.session, e)
	}
	r.observeOutcomeRole(a, e)
	r.observePosition(s, e.Position)
	switch e.Result {
	case ResultOK:
		r.observeAlive(s, true)
		r.observeAnswer(s, req, e)
	case ResultError:
		r.observeAlive(s, true)
		r.detectOutlier(s, true)
	case ResultOverloaded:
		r.observeAlive(s, true)
		r.backOffFrom(s)
		r.detectOutlier(s, true)
	case ResultConnectFailed:
		r.backOffFrom(s)
		s.suspect = true
	case ResultReset:
		r.detectOutlier(s, true)
		s.suspect = true
	case ResultMisdirected:
		r.observeAlive(s, true)
		r.observeMisdirected(s, req)
	case ResultTimeout, ResultCancelled:
		r.observeLatency(s, req, r.now-a.sentAt)
	}
}

// wrote notes for the reads of a session how an attempt of its write ended. What may have run counts as
// committed by now: its answer may have been lost.
func (r *Router) recordSessionWrite(t *session, e Outcome) {
	t.writesInFlight--
	switch {
	case e.Result == ResultOK && e.Position > 0:
		t.position = max(t.position, e.Position)
	case !provesNotRun(e.Result):
		t.position = max(t.position, r.now)
	}
}

// answered notes an answer: the class's usual latency and the server's strain.
func (r *Router) observeAnswer(s *server, req *request, e Outcome) {
	if req.class.typicalLatency == 0 {
		req.class.typicalLatency = e.Latency
	}
	req.class.typicalLatency += (e.Latency - req.class.typicalLatency) / smoothing
	s.backOff = 0
	if req.class.Need == NeedBounded || req.class.Need == NeedSession && r.requiredPosition(req) > 0 {
		s.misdirectedBackOff = 0
	}
	r.recordWork(req)
	r.observeLatency(s, req, e.Latency)
	r.detectOutlier(s, false)
}

// missed notes that a server turned a request away untouched: it is no primary, or too far behind.
func (r *Router) observeMisdirected(s *server, req *request) {
	if needsPrimary(req) {
		s.writeMisdirectedAt = r.now
		r.observeRole(s, RoleReplica, r.now)
		return
	}
	s.misdirectedBackOff = min(max(s.misdirectedBackOff*2, r.minBound/2), r.maxObjective*maxBackOffFactor)
	s.misdirectedUntil = r.now + s.misdirectedBackOff
	req.misdirectedBy = append(req.misdirectedBy, s.id)
}

// position takes news of how far a server has applied the log; it never goes back.
func (r *Router) observePosition(s *server, pos Position) {
	if pos > s.position && pos <= r.now {
		s.position = pos
	}
}

// role weighs a proof of a server's role by its time: late news never overrides newer proof.
func (r *Router) observeRole(s *server, role Role, at clock.Micros) {
	g := s.group
	if role == RoleUnknown || at < s.roleProvenAt {
		return
	}
	s.role, s.roleProvenAt = role, at
	switch {
	case role == RolePrimary && g.primary != s && at >= g.primaryProvenAt:
		r.log("group %d: primary is %d", g.id, s.id)
		g.primary, g.primaryProvenAt, s.writeMisdirectedAt = s, at, 0
		r.dispatch(g)
	case role == RolePrimary && g.primary == s:
		g.primaryProvenAt = max(g.primaryProvenAt, at)
	case role == RoleReplica && g.primary == s && at >= g.primaryProvenAt:
		r.losePrimary(g)
	}
}

// noted takes the role from an outcome. That a server is a replica holds from now on. That it is the primary
// was so when the work was done: what a primary still finishes after it has handed over must not bring its
// role back.
func (r *Router) observeOutcomeRole(a *attempt, e Outcome) {
	if e.Result == ResultOK && a.request.class.Need == NeedWrite {
		e.Role = RolePrimary
	}
	at := r.now
	if e.Role == RolePrimary {
		at = min(max(a.sentAt, e.Position), r.now)
	}
	r.observeRole(a.server, e.Role, at)
}

// losePrimary forgets a group's primary; probes and writes look for the next.
func (r *Router) losePrimary(g *group) {
	r.log("group %d: primary lost", g.id)
	g.primary = nil
}

// strained follows a server's latency against the aims, and fits to it how many attempts may be out: the
// limit is cut when the mean nears the aim and grows when it is in full use and answers stay quick. It guards
// against slow, crowded, robbed and cold servers alike; it may hold back a server whose costly requests came
// together.
func (r *Router) observeLatency(s *server, req *request, latency clock.Micros) {
	x := min(int64(latency*one/req.class.LatencyObjective), 4*one)
	gap := int64(r.now - s.latencySeenAt)
	s.latencyRatio += (x - s.latencyRatio) * max(one/smoothing, gap*one/(gap+int64(r.maxObjective))) / one
	switch {
	case s.latencyRatio > latencyRatioHigh:
		if r.now-s.limitCutAt > r.minObjective/2 {
			r.cutLimit(s)
		}
	case s.latencyRatio < latencyRatioLow && int64(len(s.inFlight)+2)*one > s.limit:
		s.limit += max(one*one/max(s.limit, one)/int64(r.settings.Gateways), (one-min(s.limit, one))/levelPart)
	}
	s.latencySeenAt = r.now
}

// rest leaves a server alone that turned a request away unseen, longer each time until it answers. It guards
// against whatever answers no at once and so looks idle: a full queue, no connection, a drain not yet told.
func (r *Router) backOffFrom(s *server) {
	r.cutLimit(s)
	s.backOff = min(max(s.backOff*2, r.sweepInterval()), r.minObjective)
	s.backOffUntil = r.now + s.backOff
}

// firstLimit is a server's limit before anything is learned of it.
func (r *Router) initialLimit() int64 {
	return max(one, initialFleetLimit*one/int64(r.settings.Gateways))
}

// cut lowers a server's limit, the more the longer nothing was heard of it: where outcomes are rare each
// stands for many of other gateways. The least is a part of the start's limit: at so few attempts the latency
// is the server's own, and a limit that low finds its way back slowly.
func (r *Router) cutLimit(s *server) {
	least := max(minAdmissionChance, initialFleetLimit*one/limitFloorPart/int64(r.settings.Gateways))
	for n := min((r.now-max(s.limitCutAt, s.latencySeenAt))/(r.minObjective/2), maxCuts); n >= 0; n-- {
		s.limit = max(least, s.limit*limitCutFactor/one)
	}
	s.limitCutAt = r.now
}

// judge follows the share of attempts answered with an error or turned away as full, and ejects a replica
// that is far worse than its peers. It never acts where all are as bad. Slowness is left to the limit.
func (r *Router) detectOutlier(s *server, bad bool) {
	if s.errorShare -= s.errorShare / smoothing; bad {
		s.errorShare += one / smoothing
	}
	if s.ejected || s.errorShare < outlierErrorShare || s == s.group.primary {
		return
	}
	peers, n := int64(0), int64(0)
	for _, p := range s.group.servers {
		if p != s && p != s.group.primary && r.inService(p) && !p.ejected {
			peers, n = peers+p.errorShare, n+1
		}
	}
	if n == 0 || peers/n*outlierPeerFactor > s.errorShare {
		return
	}
	s.ejected, s.ejectedAt = true, r.now
	s.ejectionTime = min(max(s.ejectionTime*2, r.maxObjective), r.maxObjective*maxBackOffFactor)
	r.log("server %d ejected for %d ms, bad %d", s.id, s.ejectionTime/1000, s.errorShare)
}

// readmit ends an ejection: one attempt at a time, and the next bad one ejects again. It also doubles a limit
// below one attempt after each time as long, or a server seldom used stays shunned; forgetting it at once
// would have hundreds of gateways, none of which hears much, fill an overloaded server again and again.
func (r *Router) unejectExpired(s *server) {
	if s.ejected && r.now-s.ejectedAt >= s.ejectionTime {
		s.ejected, s.limit, s.latencyRatio = false, one, latencyRatioHigh
		s.errorShare = outlierErrorShare - 1
	}
	if s.limit < one && r.now-s.limitCutAt > r.maxObjective*maxBackOffFactor {
		s.limit, s.limitCutAt = min(s.limit*2, one), r.now
	}
}

// alive notes a sign of life. A server that was out of reach may have started again, so it counts as cold,
// unless something shows that it ran all the while: an answer to an attempt made before, or a position that
// it can only have reached since. Guards against easing in what only this gateway could not reach.
func (r *Router) observeAlive(s *server, ran bool) {
	s.lastSeenAt, s.failedChecks, s.suspect = r.now, 0, false
	if s.down {
		s.down, s.recheckInterval, s.limit = false, 0, one
		if !ran {
			s.startedAt = max(s.startedAt, r.now)
		}
		r.log("server %d is back, cold: %v", s.id, !ran)
	}
}

// markDown takes a server out until a probe or an answer shows it alive, and moves what may be repeated. Each
// further failed probe doubles the span to the next.
func (r *Router) markDown(s *server) {
	if !s.down {
		s.down, s.downAt, s.recheckInterval = true, r.now, r.settings.ConnectTimeout
		r.log("server %d is down", s.id)
	}
	s.recheckInterval = min(s.recheckInterval*2, r.maxObjective)
	if s.group.primary == s {
		r.losePrimary(s.group)
	}
	for _, a := range s.inFlight {
		if a.request.settings.CanCancel && !a.request.done && a.request.class.Effect == EffectIdempotent {
			r.emit(Cancel{ID: a.request.id, Attempt: a.index})
		}
	}
}

// ---- servers ----

// usable tells whether anything may be sent to a server at all.
func (r *Router) inService(s *server) bool { return !s.excluded && !s.down }

// takes tells whether a request may go to a server now, within a share of the server's limit.
func (r *Router) admits(s *server, req *request, share int64) bool {
	return r.inService(s) && r.hasCapacity(s, req, share)
}

// hasRoom tells whether this gateway may have one more attempt out at a server, within a share of its limit.
// A cold server's limit shrinks with its warmth, and what is sent to it keeps a budget.
func (r *Router) hasCapacity(s *server, req *request, share int64) bool {
	if r.now < s.backOffUntil {
		return false
	}
	warmth := r.slowStartWeight(s)
	least := min(one, s.limit)
	if share < one {
		least = least * least / one
	}
	room := max(least, s.limit*share/one*warmth/one)
	if room < one && r.admissionDraw(req) < room {
		room = one
	}
	return int64(len(s.inFlight)+1)*one <= room && (warmth == one || r.withinSlowStartBudget(s, req, warmth))
}

// luck is a request's draw, from 0 to 999, anew after each aim, and sooner for what has only the primary to
// go to. A limit below one attempt is the chance that a request may go: one attempt each lets hundreds of
// gateways bury a server, and one now and then is too much for the quiet ones and too little for the busy.
func (r *Router) admissionDraw(req *request) int64 {
	if r.now >= req.admissionDrawUntil {
		req.admissionDraw, req.admissionDrawUntil = int64(r.rng.below(one)), r.now+req.class.LatencyObjective
		if needsPrimary(req) {
			req.admissionDrawUntil = r.now + req.class.LatencyObjective/sweepsPerObjective
		}
	}
	return req.admissionDraw
}

// warmth is the least share of its capacity that a server has, by the settings' ramp.
func (r *Router) slowStartWeight(s *server) int64 {
	age := r.now - s.startedAt
	if s.startedAt == 0 || age >= r.settings.SlowStartWindow {
		return one
	}
	first := r.settings.SlowStartMinWeight
	return first + (one-first)*int64(max(age, 0))/int64(r.settings.SlowStartWindow)
}

// coldBudget keeps the work sent within any fall window under what brings a cold server down. Each gateway
// keeps to its own share of it, measured by the work that it gets from a server in the mean, so that all
// together stay below the fall however unevenly they are used; less than one request is a chance, drawn once
// a window. Every attempt counts, refused ones too, each as much as its class usually takes.
func (r *Router) withinSlowStartBudget(s *server, req *request, warmth int64) bool {
	for len(s.slowStartSends) > 0 && r.now-s.slowStartSends[0].at >= r.settings.OverloadWindow {
		s.slowStartSends = s.slowStartSends[1:]
	}
	if r.now-s.slowStartDrawnAt >= r.settings.OverloadWindow {
		s.slowStartDrawnAt, s.slowStartDraw = r.now, int64(r.rng.below(maxSlowStartDraw))
	}
	sent := s.slowStartDraw * r.expectedWork(req) / one
	for _, c := range s.slowStartSends {
		sent += c.work
	}
	share := max(r.usualWork, initialFleetLimit*r.meanRequestWork/int64(r.settings.Gateways))
	return sent < share*r.settings.OverloadFactor/one*warmth/one
}

// cost is the work that a request may be, as far as its class has been seen.
func (r *Router) expectedWork(req *request) int64 {
	if t := req.class.typicalLatency; t > 0 {
		return int64(t)
	}
	return int64(req.class.LatencyObjective / infeasiblePart)
}

// countServed keeps the mean of the work that one server does for this gateway in a fall window.
func (r *Router) recordWork(req *request) {
	r.workServed += r.expectedWork(req)
	r.meanRequestWork += (r.expectedWork(req) - r.meanRequestWork) / smoothing
	if span := r.now - r.workSince; span >= r.settings.OverloadWindow {
		usable := int64(0)
		for _, s := range r.servers {
			if r.inService(s) {
				usable++
			}
		}
		mean := r.workServed * int64(r.settings.OverloadWindow) / int64(span) / max(usable, 1)
		r.usualWork += (mean - r.usualWork) / 2
		r.workServed, r.workSince = 0, r.now
	}
}

// ---- the member list ----

// members takes news of the list. Draining binds at once; gone does too, unless the settings say otherwise.
func (r *Router) updateEndpoints(e EndpointUpdate) {
	if e.Form == ListFailed {
		r.subscribeFailed()
		return
	}
	if e.Form != ListCached && e.Form != ListCordoned {
		r.subscribed, r.subscribing, r.subscribeBackOff = true, false, 0
	}
	named := map[ServerID]bool{}
	for _, m := range e.Endpoints {
		named[m.Server] = true
		r.updateEndpoint(m)
	}
	if e.Form != ListDelta && e.Form != ListCordoned {
		for _, g := range r.groupsByID {
			for _, s := range g.servers {
				if !named[s.id] {
					r.endpointRemoved(s)
				}
			}
		}
	}
	for _, g := range r.groupsByID {
		r.adoptListedPrimary(g)
		r.dispatch(g)
	}
}

func (r *Router) updateEndpoint(m Endpoint) {
	s := r.servers[m.Server]
	if s == nil {
		if m.State == EndpointRemoved {
			return
		}
		s = &server{id: m.Server, group: r.groupOf(m.Group)}
		s.limit = r.initialLimit()
		r.servers[m.Server] = s
		s.group.servers = append(s.group.servers, s)
		slices.SortFunc(s.group.servers, func(a, b *server) int { return int(a.id) - int(b.id) })
	}
	s.zone, s.listedPrimary = m.Zone, m.Primary
	if m.Started > s.startedAt {
		s.startedAt, s.limit = m.Started, min(s.limit, r.initialLimit())
		r.emit(Withdraw{Server: s.id}) // what was to go to a warm server is placed anew, within the cold budget
	}
	if m.State == EndpointRemoved {
		r.endpointRemoved(s)
	} else if s.state, s.excluded = m.State, false; m.State == EndpointDraining {
		r.exclude(s)
	}
}

// gone takes a server off the list.
func (r *Router) endpointRemoved(s *server) {
	s.state, s.listedPrimary = EndpointRemoved, false
	if !r.settings.RemovedStayUsable {
		r.exclude(s)
	}
}

// forbid takes a server out by the list's word; what waits for a connection to it does not begin any more.
func (r *Router) exclude(s *server) {
	s.excluded = true
	r.emit(Withdraw{Server: s.id})
	if s.group.primary == s {
		r.losePrimary(s.group)
	}
}

// listedPrimary believes the list where nothing better has ever been seen.
func (r *Router) adoptListedPrimary(g *group) {
	if g.primary != nil || g.primaryProvenAt > 0 {
		return
	}
	for _, s := range g.servers {
		if s.listedPrimary && r.inService(s) && s.role != RoleReplica {
			g.primary = s
		}
	}
}

// askList subscribes to the list.
func (r *Router) subscribe() {
	r.subscribing, r.subscribeAt = true, r.now
	r.emit(Watch{On: true})
}

// askFailed plans the next ask, later each time and jittered, so that many gateways do not ask in step. The
// first one comes with the next sweep where changes count as known at once.
func (r *Router) subscribeFailed() {
	r.subscribed, r.subscribing = false, false
	if r.subscribeBackOff == 0 && r.settings.ListPushed {
		r.subscribeBackOff, r.subscribeAt = 1, r.now
		return
	}
	longest := min(r.settings.SubscribeWithin/4, maxSubscribeBackOff)
	r.subscribeBackOff = max(min(r.subscribeBackOff*2, longest), r.settings.ConnectTimeout)
	r.subscribeAt = r.now + r.subscribeBackOff/2 + clock.Micros(r.rng.below(int(r.subscribeBackOff)))
}

// ---- the sweep ----

// sweep does what time alone calls for.
func (r *Router) sweep() {
	r.setTimer(r.now+r.sweepInterval(), Timer{Kind: TimerSweep})
	subscribeTimeout := max(r.settings.SubscribeWithin/4, r.settings.ConnectTimeout)
	if r.settings.ListSubscribed && r.subscribing && r.now-r.subscribeAt > subscribeTimeout {
		r.subscribeFailed()
	}
	if r.settings.ListSubscribed && !r.subscribed && !r.subscribing && r.now >= r.subscribeAt {
		r.subscribe()
	}
	for _, g := range r.groupsByID {
		for _, s := range append([]*server(nil), g.servers...) {
			if r.removable(s) {
				g.servers = drop(g.servers, s)
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

func (r *Router) startHealthCheck(s *server) {
	s.checking, s.checkedAt = true, r.now
	r.emit(HealthCheck{Server: s.id})
}

// forgettable tells whether a server may leave memory: the list calls it gone, and that binds or it has been
// out of reach for as long as a list may be old. A list that is wrong costs nothing learned.
func (r *Router) removable(s *server) bool {
	dead := s.down && r.now-s.lastSeenAt > max(r.settings.SubscribeWithin, r.settings.SlowStartWindow)
	return s.state == EndpointRemoved && len(s.inFlight) == 0 && (s.excluded || dead)
}

// probeDue says whether to probe a server for its health: to find a lost primary, to see whether one that is
// down has come back, and when one has fallen silent. Only a group in use is looked at. An answer that told a
// server's role is as good as a probe, and many gateways ask the dead no oftener than arrivals pay for.
func (r *Router) healthCheckDue(g *group, s *server) bool {
	since := r.now - s.checkedAt
	switch {
	case !r.mayHealthCheck(g, s):
		return false
	case s.down:
		return since >= s.recheckInterval && takeToken(&r.checkTokens) || since >= r.maxObjective*maxBackOffFactor
	case s.suspect:
		return since >= r.sweepInterval()
	case g.primary == nil:
		return r.now-max(s.checkedAt, s.roleProvenAt) >= r.minObjective/2
	case len(s.inFlight) > 0 && r.now-max(s.lastSeenAt, s.busySince) > r.minObjective: // at work, and not a word
		return since >= r.settings.ConnectTimeout
	}
	return false
}

// mayProbe tells whether a probe is allowed and its news would be used: a request came to the group since the
// last, or waits there or at the server. It guards against probes that outnumber requests.
func (r *Router) mayHealthCheck(g *group, s *server) bool {
	used := g.lastRequestAt > 0 && g.lastRequestAt >= s.checkedAt || len(g.queue)+len(s.inFlight) > 0
	return used && r.settings.CanHealthCheck && !s.checking && !s.excluded
}

// probeStalest probes replicas whose known position is older than half the bound, the one probed longest ago
// first, as far as the arrivals pay for it. Harm: with little traffic most positions are old.
func (r *Router) checkStalestReplicas(g *group) {
	for r.settings.FreshnessCheck != FreshnessCheckNone && r.checkTokens >= one {
		var old *server
		for _, s := range g.servers {
			due := s != g.primary && !s.down &&
				r.now-max(s.position, s.checkedAt) > r.minBound/2 && r.mayHealthCheck(g, s)
			if due && (old == nil || s.checkedAt < old.checkedAt) {
				old = s
			}
		}
		if old == nil || !takeToken(&r.checkTokens) {
			return
		}
		r.startHealthCheck(old)
	}
}

// probed takes in a probe's result. A report is as old as its sender makes it: a primary's position tells
// when.
func (r *Router) healthCheckEnded(e HealthCheckEnded) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	s.checking = false
	switch e.Result {
	case ResultOK:
		r.observeAlive(s, e.LoadReport.Position > max(s.downAt, r.now-r.minBound))
		if e.LoadReport.HasPosition {
			r.observePosition(s, e.LoadReport.Position)
			r.observeRole(s, e.LoadReport.Role, min(e.LoadReport.Position, r.now))
		}
		r.dispatch(s.group)
	case ResultConnectFailed, ResultReset, ResultTimeout:
		s.suspect = true
		if s.failedChecks++; s.failedChecks > 1 || s.down {
			r.markDown(s)
		}
	}
}
