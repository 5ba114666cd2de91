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
	one          = 1000
	maxSessions  = 1 << 14 // sessions remembered; older marks merge into one floor
	startLimit   = 12      // attempts out at one server, by all gateways together, before anything is learned
	floorPart    = 3       // a cut leaves this part of the start's limit ...
	leastChance  = 50      // ... or this chance of one attempt
	strainHigh   = 450     // mean latency over aim at which a server's limit is cut
	strainLow    = 350     // below it a limit in full use grows
	smoothing    = 12      // outcomes that a moving mean looks back on
	cutTo        = 850     // what a cut leaves of a limit
	mostCuts     = 8       // a cut counts for the half aims since the last word, up to so many more
	badHigh      = 400     // share of bad outcomes at which a server is ejected ...
	badPeers     = 2       // ... if it is this many times its peers' share
	ejectGrowth  = 8       // an ejection grows up to this many times its first span
	retryShare   = 200     // further attempts that may have run, for each arrival
	retryBurst   = 10      // such attempts saved up
	probeShare   = 250     // probes for freshness, and of dead servers, for each arrival
	sweepsPerAim = 16
	expectTimes  = 2       // an answer may well take this many times the usual ...
	expectMost   = 750     // ... but no more than this share of its aim
	hopelessPart = 4       // with less left than this part of it nothing is sent
	levelPart    = 8       // replicas within this part of the smallest bound are level
	crowdFactor  = 2       // a replica is crowded beyond this many times the emptiest one's attempts, plus one
	aimSpread    = 3       // what is learned keeps the pace of aims up to this many times the smallest
	longBounds   = 2       // a read is long if its aim is more than this many times the smallest bound
	askPart      = 3       // a read waits for reports of replicas for this part of its aim
	readRoom     = 500     // share of the primary's limit that reads of replicas may fill
	coldChance   = 1500    // a chance of the cold budget is drawn up to this: above one, as its share is a guess
	askPause     = 600_000 // at most, between asks: what the list tells is held to be known after 6 s
)

// New makes a router and returns what it does first.
func New(now clock.Micros, seed uint64, set Settings) (*Router, []Action) {
	r := &Router{
		now: now, rng: random{seed}, servers: map[ServerID]*server{}, groups: map[int]*group{},
		requests: map[string]*request{}, sessions: newSessions(maxSessions), retries: retryBurst * one,
		servedFrom: now,
	}
	r.adopt(set)
	r.setTimer(now+r.sweepSpan(), Timer{Kind: TimerSweep})
	if r.set.ListSubscribed {
		r.askList()
	}
	return r, r.take()
}

// readSettings gives missing or contradictory settings a safe reading: the strictest that still works.
func (r *Router) readSettings() {
	s := r.set
	atLeast := func(v *clock.Micros, least clock.Micros, name string) {
		if *v < least {
			r.log("setting %s is %d us, read as %d", name, *v, least)
			*v = least
		}
	}
	atLeast(&s.Tick, 1, "tick")
	atLeast(&s.ConnectTimeout, s.Tick, "connect timeout")
	s.Gateways, s.MaxAttempts = max(s.Gateways, 1), max(s.MaxAttempts, 1)
	for i, c := range r.kinds {
		atLeast(&c.Deadline, s.Tick, "deadline")
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			r.log("class %d: aim read as its deadline", i)
			c.LatencyObjective = c.Deadline
		}
		if r.minAim == 0 || c.LatencyObjective < r.minAim {
			r.minAim = c.LatencyObjective
		}
		r.maxAim = max(r.maxAim, c.LatencyObjective)
		if c.Need == NeedBounded && c.StalenessBound > 0 && (r.minBound == 0 || c.StalenessBound < r.minBound) {
			r.minBound = c.StalenessBound
		}
	}
	if r.minAim == 0 {
		r.minAim, r.maxAim = s.ConnectTimeout, s.ConnectTimeout
	}
	r.maxAim, r.meanCost = min(r.maxAim, r.minAim*aimSpread), int64(r.minAim/hopelessPart/2)
	if r.minBound == 0 {
		r.minBound = r.minAim
	}
}

// Step takes one event and returns the actions it calls for, in order.
func (r *Router) Step(now clock.Micros, ev Event) []Action {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case Arrival:
		r.accept(e)
	case Outcome:
		r.conclude(e)
	case ClientDisconnected:
		if q := r.requests[e.ID]; q != nil && !q.done {
			r.close(q)
		}
	case Timer:
		switch e.Kind {
		case TimerSweep:
			r.sweep()
		case TimerRequest:
			r.requestTimer(e.RequestID)
		}
	case HealthCheckEnded:
		r.probed(e)
	case EndpointUpdate:
		r.members(e)
	}
	return r.take()
}

// requestTimer ends a request at its end, or halfway to it if nothing was sent for it by then.
func (r *Router) requestTimer(id string) {
	q := r.requests[id]
	switch {
	case q == nil:
	case r.now < r.end(q) && len(q.attempts) > 0:
		r.setTimer(r.end(q), Timer{RequestID: id})
	default:
		r.finish(q)
	}
}

func (r *Router) sweepSpan() clock.Micros { return max(r.set.Tick, r.minAim/sweepsPerAim) }

// ---- requests ----

// accept takes a request in. Its end is the moment after which an answer earns nothing: for a repeatable
// class without late worth the aim, for others a tick before the client stops waiting. With nothing sent by
// half of its time it ends then: a later refusal costs the client the time in which it could come again.
func (r *Router) accept(e Arrival) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.kinds) {
		return
	}
	c := r.kinds[e.Class]
	q := &request{
		id: e.ID, set: r.set, class: c, group: r.groupOf(e.Group),
		deadline: r.now + e.TimeLeft, aimAt: r.now + c.LatencyObjective,
		askUntil: r.now + c.LatencyObjective/askPart,
	}
	r.requests[q.id] = q
	r.retries = min(r.retries+retryShare, retryBurst*one)
	r.probes = min(r.probes+probeShare, retryBurst*one)
	q.group.askedAt = r.now
	if e.HasSession {
		q.session = r.sessions.get(e.Session)
	}
	if c.Need == NeedSession && e.SinceWrite > 0 { // the commit that it must see comes with the request
		q.need = r.now - e.SinceWrite
	}
	halfway := r.now + e.TimeLeft/2 - r.set.Tick
	r.setTimer(max(min(r.end(q), halfway), r.now+1), Timer{RequestID: q.id})
	r.enqueue(q)
	r.dispatch(q.group)
}

// end is when a request stops being worth an answer.
func (r *Router) end(q *request) clock.Micros {
	last := q.deadline - q.set.Tick
	if q.class.LateWeight == 0 && q.class.Effect == EffectIdempotent {
		return min(last, q.aimAt)
	}
	return last
}

// value is what an answer to a waiting request still earns for the time it takes, as far as that has been
// seen.
func (r *Router) value(q *request) int64 {
	worth := q.class.PriorityWeight
	if r.pressed(q) {
		worth = 0
	} else if r.now+r.expected(q) > q.aimAt {
		worth = worth * q.class.LateWeight / one
	}
	return worth * one / int64(max(q.class.typical/1000, 1))
}

// expected is how long an answer may well take, never so long that a new request looks hopeless. With less
// left it would mostly time out and waste its work. Harm: where latency varies little, a few too many end so.
func (r *Router) expected(q *request) clock.Micros {
	return min(q.class.typical*expectTimes, q.class.LatencyObjective*expectMost/one)
}

// pressed tells that a request may well run out of time. Sent while others wait it would mostly waste its
// work; where a server has room it costs nobody. Guards against shutting hasty clients out of idle servers.
func (r *Router) pressed(q *request) bool { return r.now+r.expected(q) > r.end(q) }

// enqueue puts a request into its group's queue; the dispatch that follows may send it at once.
func (r *Router) enqueue(q *request) {
	if !q.waiting {
		q.waiting = true
		q.group.waiting = append(q.group.waiting, q)
	}
}

// dispatch serves a group's queue, the best worth for its time first and the oldest among equals. What may
// well not be answered in time comes last, and gets its final answer now if nobody else has left it room.
func (r *Router) dispatch(g *group) {
	queue := slices.Clone(g.waiting)
	slices.SortStableFunc(queue, func(a, b *request) int { return int(r.value(b) - r.value(a)) })
	for _, q := range queue {
		if q.done {
			continue
		}
		if r.now+r.expected(q)/hopelessPart > r.end(q) {
			r.finish(q)
		} else if s := r.place(q); s != nil {
			r.send(q, s)
		} else if r.pressed(q) {
			r.finish(q)
		}
	}
}

// place finds a server for a request, or nil to wait.
func (r *Router) place(q *request) *server {
	if primaryBound(q) {
		return r.placeOnPrimary(q)
	}
	return r.placeRead(q)
}

func primaryBound(q *request) bool { return q.class.Need == NeedWrite || q.class.Need == NeedFresh }

// placeOnPrimary sends writes and fresh reads to the last known primary. Without one, fresh reads wait, and
// writes try the members, at most one round of misses a pace for all writes together and half of their
// attempts: the list's primary first, then the most advanced, for that one is elected.
func (r *Router) placeOnPrimary(q *request) *server {
	if p := q.group.primary; p != nil && r.usable(p) {
		if r.takes(p, q, one) {
			return p
		}
		return nil
	}
	if q.class.Need == NeedFresh || len(q.attempts)*2 >= q.set.MaxAttempts {
		return nil
	}
	var best *server
	for _, s := range q.group.members {
		missed := s.writeMiss > 0 && r.now-s.writeMiss < r.minAim/2
		if missed || s == q.group.primary || !r.takes(s, q, one) {
			continue
		}
		if best == nil || s.listed && !best.listed || s.listed == best.listed && s.pos > best.pos {
			best = s
		}
	}
	return best
}

// placeRead is the freshness gate and the draw; every bounded read goes through it at the moment it is sent.
func (r *Router) placeRead(q *request) *server {
	able, need := r.replicas(q), r.needOf(q)
	if r.long(q) {
		able = r.aside(q.group, able)
	}
	var fresh []*server
	for _, s := range able {
		if q.class.Need == NeedAny || s.pos >= need {
			fresh = append(fresh, s)
		}
	}
	if s := r.draw(q, r.near(fresh)); s != nil {
		return s
	}
	if q.set.FreshnessCheck != FreshnessCheckNone {
		if s := r.draw(q, r.mostAdvanced(able)); s != nil {
			return s
		}
	}
	if p := q.group.primary; !r.asks(q, able) && p != nil && r.takes(p, q, readRoom) {
		return p
	}
	return nil
}

// long tells that a read for which any member will do may take longer than the smallest bound.
func (r *Router) long(q *request) bool {
	return q.class.Need == NeedAny && q.class.LatencyObjective > r.minBound*longBounds
}

// aside keeps, of the able replicas, every other one of the group's, in the order that all gateways see. Long
// reads go there: a replica may apply nothing while it holds one, and spread over all they would leave none
// fresh. The primary's data are current whatever it holds, so it may help out. Harm: where long reads do not
// stop the log, their half may be the fuller one.
func (r *Router) aside(g *group, able []*server) (out []*server) {
	n := 0
	for _, s := range g.members {
		if s == g.primary || !r.usable(s) {
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
func (r *Router) asks(q *request, able []*server) bool {
	if q.class.Need != NeedBounded || q.set.FreshnessCheck != FreshnessCheckNone || !r.set.CanHealthCheck {
		return false
	}
	var best *server
	for _, s := range able {
		if s.probing && r.now-s.probedAt < r.set.ConnectTimeout/2 {
			return r.now < q.askUntil
		}
		pause := max(r.minBound, s.probedAt-s.pos-r.minBound) / 2
		if !s.probing && r.now-s.probedAt > pause && (best == nil || s.pos > best.pos) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	r.probe(best)
	return r.now < q.askUntil
}

// needOf is the position that a read's answer must have reached if it is sent now. Where marks are remembered
// it must see each write of its session that was answered by now; one that is out may have been.
func (r *Router) needOf(q *request) Position {
	switch {
	case q.class.Need == NeedBounded:
		return r.now - q.class.StalenessBound
	case q.class.Need != NeedSession || q.session == nil || r.set.SessionPositionsCarried:
		return q.need
	case q.session.writesOut > 0:
		return r.now
	}
	return max(q.need, q.session.mark)
}

// replicas lists the members that may take a read now: those that have room and are not crowded, the primary
// aside. Ejected ones are listed only when nothing else is left: an ejection never empties a group.
func (r *Router) replicas(q *request) []*server {
	var out, trials []*server
	least := -1
	for _, s := range q.group.members {
		if s == q.group.primary || !r.usable(s) || contains(q.missed, s.id) {
			continue
		}
		if !s.ejected && (least < 0 || len(s.open) < least) {
			least = len(s.open)
		}
		switch {
		case !r.takes(s, q, one):
		case s.ejected:
			trials = append(trials, s)
		default:
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return trials
	}
	return slices.DeleteFunc(out, func(s *server) bool { return len(s.open) > least*crowdFactor+1 })
}

// near keeps the replicas of this gateway's own zone that are not strained, if there are any, where crossing
// zones has a price. Harm: a zone with more requests than replicas crowds them up to that strain.
func (r *Router) near(from []*server) []*server {
	var out []*server
	for _, s := range from {
		if r.set.CrossZoneCost > 0 && s.zone == r.set.Zone && s.strain < strainHigh {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return from
	}
	return out
}

// draw keeps the session's replica while it qualifies, and draws anew when it does not.
func (r *Router) draw(q *request, from []*server) *server {
	if len(from) == 0 {
		return nil
	}
	if q.session == nil {
		return from[r.rng.below(len(from))]
	}
	for _, s := range from {
		if q.session.stuck && s.id == q.session.replica {
			return s
		}
	}
	s := from[r.rng.below(len(from))]
	q.session.replica, q.session.stuck = s.id, true
	return s
}

// mostAdvanced is what to try when no replica is known to be fresh enough and the servers check: the one with
// the highest position, and those as near to it as news is old anyway. Old news rules nobody out, for reports
// may be late while the data is not; a miss does, for a span that doubles until a read goes through.
func (r *Router) mostAdvanced(able []*server) []*server {
	var top Position
	var near []*server
	for _, s := range able {
		if r.now >= s.missUntil {
			top, near = max(top, s.pos), append(near, s)
		}
	}
	return slices.DeleteFunc(near, func(s *server) bool { return s.pos < top-r.minBound/levelPart })
}

// ---- attempts ----

// send makes the next attempt. It is the only place that sends.
func (r *Router) send(q *request, s *server) {
	a := &attempt{req: q, index: len(q.attempts), server: s, sentAt: r.now, out: true}
	q.attempts = append(q.attempts, a)
	q.waiting = false
	q.group.waiting = drop(q.group.waiting, q)
	if len(s.open) == 0 {
		s.busySince = r.now
	}
	s.open = append(s.open, a)
	if q.writesSession() {
		q.session.writesOut++
	}
	if r.warmth(s) < one {
		s.sends, s.coldDrawnAt = append(s.sends, coldSend{r.now, r.cost(q)}), r.now
	}
	r.do(Send{ID: q.id, Server: s.id, Until: max(r.end(q), r.now+1)})
}

// neverRan tells which results prove that an attempt had no effect.
func neverRan(res Result) bool {
	switch res {
	case ResultOverloaded, ResultConnectFailed, ResultNotSent, ResultMisdirected:
		return true
	}
	return false
}

// mayResend says whether another attempt is allowed now: what may have run is repeated only if its class is
// safe; nothing has two attempts out.
func (r *Router) mayResend(q *request) bool {
	return !q.done && len(q.attempts) < q.set.MaxAttempts && q.outstanding() == 0 && mayRefuse(q)
}

// mayRefuse says whether it is true to tell the client that asking again is harmless.
func mayRefuse(q *request) bool { return q.class.Effect == EffectIdempotent || firstMaybe(q) == nil }

// finish gives the one final answer that is not a served one, and stops what is still out. A refused client
// is asked to stay away as long as it heeds: want of room or of a primary mostly outlasts its patience. Harm:
// after a short trouble it comes back later than it could.
func (r *Router) finish(q *request) {
	if q.done {
		return
	}
	if mayRefuse(q) {
		advice := clock.Micros(0)
		if q.set.CanSendRetryAfter {
			advice = q.set.MaxRetryAfter
		}
		r.do(Reject{ID: q.id, RetryAfter: advice})
	} else {
		r.do(Fail{ID: q.id})
	}
	r.close(q)
}

// close marks a request over and cancels what is out for it; its record goes with its last attempt.
func (r *Router) close(q *request) {
	q.done = true
	if q.waiting {
		q.waiting = false
		q.group.waiting = drop(q.group.waiting, q)
	}
	for _, a := range q.attempts {
		if a.out && q.set.CanCancel {
			r.do(Cancel{ID: q.id, Attempt: a.index})
		}
	}
	r.forget(q)
}

func (r *Router) forget(q *request) {
	if q.done && q.outstanding() == 0 {
		delete(r.requests, q.id)
	}
}

// conclude takes in how an attempt ended and decides what becomes of its request.
func (r *Router) conclude(e Outcome) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || !q.attempts[e.Attempt].out {
		return
	}
	a := q.attempts[e.Attempt]
	a.out, a.neverRan = false, neverRan(e.Result)
	a.server.open = drop(a.server.open, a)
	r.learn(a, e)
	switch {
	case e.Final:
		q.done = true
	case q.done:
	case !r.mayResend(q) || !r.affords(e.Result):
		r.finish(q)
	default:
		r.enqueue(q)
	}
	r.forget(q)
	r.dispatch(q.group)
}

// affords spends from the retry budget for a repeat of what may have run, so that slowness or errors
// everywhere do not multiply the load. What never ran costs nothing.
func (r *Router) affords(res Result) bool {
	return neverRan(res) || spend(&r.retries)
}

// spend takes one from a budget that arrivals fill, if there is one.
func spend(budget *int64) bool {
	if *budget < one {
		return false
	}
	*budget -= one
	return true
}

// ---- what outcomes teach ----

// learn takes from an outcome what it says of the server: role, position, health, room.
func (r *Router) learn(a *attempt, e Outcome) {
	s, q := a.server, a.req
	if q.writesSession() {
		r.wrote(q.session, e)
	}
	r.noted(a, e)
	r.position(s, e.Position)
	switch e.Result {
	case ResultOK:
		r.alive(s, true)
		r.answered(s, q, e)
	case ResultError:
		r.alive(s, true)
		r.judge(s, true)
	case ResultOverloaded:
		r.alive(s, true)
		r.rest(s)
		r.judge(s, true)
	case ResultConnectFailed:
		r.rest(s)
		s.suspect = true
	case ResultReset:
		r.judge(s, true)
		s.suspect = true
	case ResultMisdirected:
		r.alive(s, true)
		r.missed(s, q)
	case ResultTimeout, ResultCancelled:
		r.strained(s, q, r.now-a.sentAt)
	}
}

// wrote notes for the reads of a session how an attempt of its write ended. What may have run counts as
// committed by now: its answer may have been lost.
func (r *Router) wrote(t *session, e Outcome) {
	t.writesOut--
	switch {
	case e.Result == ResultOK && e.Position > 0:
		t.mark = max(t.mark, e.Position)
	case !neverRan(e.Result):
		t.mark = max(t.mark, r.now)
	}
}

// answered notes an answer: the class's usual latency and the server's strain.
func (r *Router) answered(s *server, q *request, e Outcome) {
	if q.class.typical == 0 {
		q.class.typical = e.Latency
	}
	q.class.typical += (e.Latency - q.class.typical) / smoothing
	s.restSpan = 0
	if q.class.Need == NeedBounded || q.class.Need == NeedSession && r.needOf(q) > 0 {
		s.missSpan = 0
	}
	r.countServed(q)
	r.strained(s, q, e.Latency)
	r.judge(s, false)
}

// missed notes that a server turned a request away untouched: it is no primary, or too far behind.
func (r *Router) missed(s *server, q *request) {
	if primaryBound(q) {
		s.writeMiss = r.now
		r.role(s, RoleReplica, r.now)
		return
	}
	s.missSpan = min(max(s.missSpan*2, r.minBound/2), r.maxAim*ejectGrowth)
	s.missUntil = r.now + s.missSpan
	q.missed = append(q.missed, s.id)
}

// position takes news of how far a server has applied the log; it never goes back.
func (r *Router) position(s *server, pos Position) {
	if pos > s.pos && pos <= r.now {
		s.pos = pos
	}
}

// role weighs a proof of a server's role by its time: late news never overrides newer proof.
func (r *Router) role(s *server, role Role, at clock.Micros) {
	g := s.group
	if role == RoleUnknown || at < s.roleAt {
		return
	}
	s.role, s.roleAt = role, at
	switch {
	case role == RolePrimary && g.primary != s && at >= g.primaryAt:
		r.log("group %d: primary is %d", g.id, s.id)
		g.primary, g.primaryAt, s.writeMiss = s, at, 0
		r.dispatch(g)
	case role == RolePrimary && g.primary == s:
		g.primaryAt = max(g.primaryAt, at)
	case role == RoleReplica && g.primary == s && at >= g.primaryAt:
		r.losePrimary(g)
	}
}

// noted takes the role from an outcome. That a server is a replica holds from now on. That it is the primary
// was so when the work was done: what a primary still finishes after it has handed over must not bring its
// role back.
func (r *Router) noted(a *attempt, e Outcome) {
	if e.Result == ResultOK && a.req.class.Need == NeedWrite {
		e.Role = RolePrimary
	}
	at := r.now
	if e.Role == RolePrimary {
		at = min(max(a.sentAt, e.Position), r.now)
	}
	r.role(a.server, e.Role, at)
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
func (r *Router) strained(s *server, q *request, latency clock.Micros) {
	x := min(int64(latency*one/q.class.LatencyObjective), 4*one)
	gap := int64(r.now - s.strainAt)
	s.strain += (x - s.strain) * max(one/smoothing, gap*one/(gap+int64(r.maxAim))) / one
	switch {
	case s.strain > strainHigh:
		if r.now-s.cutAt > r.minAim/2 {
			r.cut(s)
		}
	case s.strain < strainLow && int64(len(s.open)+2)*one > s.limit:
		s.limit += max(one*one/max(s.limit, one)/int64(r.set.Gateways), (one-min(s.limit, one))/levelPart)
	}
	s.strainAt = r.now
}

// rest leaves a server alone that turned a request away unseen, longer each time until it answers. It guards
// against whatever answers no at once and so looks idle: a full queue, no connection, a drain not yet told.
func (r *Router) rest(s *server) {
	r.cut(s)
	s.restSpan = min(max(s.restSpan*2, r.sweepSpan()), r.minAim)
	s.restUntil = r.now + s.restSpan
}

// firstLimit is a server's limit before anything is learned of it.
func (r *Router) firstLimit() int64 { return max(one, startLimit*one/int64(r.set.Gateways)) }

// cut lowers a server's limit, the more the longer nothing was heard of it: where outcomes are rare each
// stands for many of other gateways. The least is a part of the start's limit: at so few attempts the latency
// is the server's own, and a limit that low finds its way back slowly.
func (r *Router) cut(s *server) {
	least := max(leastChance, startLimit*one/floorPart/int64(r.set.Gateways))
	for n := min((r.now-max(s.cutAt, s.strainAt))/(r.minAim/2), mostCuts); n >= 0; n-- {
		s.limit = max(least, s.limit*cutTo/one)
	}
	s.cutAt = r.now
}

// judge follows the share of attempts answered with an error or turned away as full, and ejects a replica
// that is far worse than its peers. It never acts where all are as bad. Slowness is left to the limit.
func (r *Router) judge(s *server, bad bool) {
	if s.bad -= s.bad / smoothing; bad {
		s.bad += one / smoothing
	}
	if s.ejected || s.bad < badHigh || s == s.group.primary {
		return
	}
	peers, n := int64(0), int64(0)
	for _, p := range s.group.members {
		if p != s && p != s.group.primary && r.usable(p) && !p.ejected {
			peers, n = peers+p.bad, n+1
		}
	}
	if n == 0 || peers/n*badPeers > s.bad {
		return
	}
	s.ejected, s.ejectedAt = true, r.now
	s.ejectSpan = min(max(s.ejectSpan*2, r.maxAim), r.maxAim*ejectGrowth)
	r.log("server %d ejected for %d ms, bad %d", s.id, s.ejectSpan/1000, s.bad)
}

// readmit ends an ejection: one attempt at a time, and the next bad one ejects again. It also doubles a limit
// below one attempt after each time as long, or a server seldom used stays shunned; forgetting it at once
// would have hundreds of gateways, none of which hears much, fill an overloaded server again and again.
func (r *Router) readmit(s *server) {
	if s.ejected && r.now-s.ejectedAt >= s.ejectSpan {
		s.ejected, s.limit, s.strain = false, one, strainHigh
		s.bad = badHigh - 1
	}
	if s.limit < one && r.now-s.cutAt > r.maxAim*ejectGrowth {
		s.limit, s.cutAt = min(s.limit*2, one), r.now
	}
}

// alive notes a sign of life. A server that was out of reach may have started again, so it counts as cold,
// unless something shows that it ran all the while: an answer to an attempt made before, or a position that
// it can only have reached since. Guards against easing in what only this gateway could not reach.
func (r *Router) alive(s *server, ran bool) {
	s.heardAt, s.probeFails, s.suspect = r.now, 0, false
	if s.down {
		s.down, s.downSpan, s.limit = false, 0, one
		if !ran {
			s.started = max(s.started, r.now)
		}
		r.log("server %d is back, cold: %v", s.id, !ran)
	}
}

// markDown takes a server out until a probe or an answer shows it alive, and moves what may be repeated. Each
// further failed probe doubles the span to the next.
func (r *Router) markDown(s *server) {
	if !s.down {
		s.down, s.downAt, s.downSpan = true, r.now, r.set.ConnectTimeout
		r.log("server %d is down", s.id)
	}
	s.downSpan = min(s.downSpan*2, r.maxAim)
	if s.group.primary == s {
		r.losePrimary(s.group)
	}
	for _, a := range s.open {
		if a.req.set.CanCancel && !a.req.done && a.req.class.Effect == EffectIdempotent {
			r.do(Cancel{ID: a.req.id, Attempt: a.index})
		}
	}
}

// ---- servers ----

// usable tells whether anything may be sent to a server at all.
func (r *Router) usable(s *server) bool { return !s.forbidden && !s.down }

// takes tells whether a request may go to a server now, within a share of the server's limit.
func (r *Router) takes(s *server, q *request, share int64) bool {
	return r.usable(s) && r.hasRoom(s, q, share)
}

// hasRoom tells whether this gateway may have one more attempt out at a server, within a share of its limit.
// A cold server's limit shrinks with its warmth, and what is sent to it keeps a budget.
func (r *Router) hasRoom(s *server, q *request, share int64) bool {
	if r.now < s.restUntil {
		return false
	}
	warmth := r.warmth(s)
	least := min(one, s.limit)
	if share < one {
		least = least * least / one
	}
	room := max(least, s.limit*share/one*warmth/one)
	if room < one && r.luck(q) < room {
		room = one
	}
	return int64(len(s.open)+1)*one <= room && (warmth == one || r.coldBudget(s, q, warmth))
}

// luck is a request's draw, from 0 to 999, anew after each aim, and sooner for what has only the primary to
// go to. A limit below one attempt is the chance that a request may go: one attempt each lets hundreds of
// gateways bury a server, and one now and then is too much for the quiet ones and too little for the busy.
func (r *Router) luck(q *request) int64 {
	if r.now >= q.luckUntil {
		q.luck, q.luckUntil = int64(r.rng.below(one)), r.now+q.class.LatencyObjective
		if primaryBound(q) {
			q.luckUntil = r.now + q.class.LatencyObjective/sweepsPerAim
		}
	}
	return q.luck
}

// warmth is the least share of its capacity that a server has, by the settings' ramp.
func (r *Router) warmth(s *server) int64 {
	age := r.now - s.started
	if s.started == 0 || age >= r.set.SlowStartWindow {
		return one
	}
	first := r.set.SlowStartMinWeight
	return first + (one-first)*int64(max(age, 0))/int64(r.set.SlowStartWindow)
}

// coldBudget keeps the work sent within any fall window under what brings a cold server down. Each gateway
// keeps to its own share of it, measured by the work that it gets from a server in the mean, so that all
// together stay below the fall however unevenly they are used; less than one request is a chance, drawn once
// a window. Every attempt counts, refused ones too, each as much as its class usually takes.
func (r *Router) coldBudget(s *server, q *request, warmth int64) bool {
	for len(s.sends) > 0 && r.now-s.sends[0].at >= r.set.OverloadWindow {
		s.sends = s.sends[1:]
	}
	if r.now-s.coldDrawnAt >= r.set.OverloadWindow {
		s.coldDrawnAt, s.coldDraw = r.now, int64(r.rng.below(coldChance))
	}
	sent := s.coldDraw * r.cost(q) / one
	for _, c := range s.sends {
		sent += c.cost
	}
	share := max(r.usualServed, startLimit*r.meanCost/int64(r.set.Gateways))
	return sent < share*r.set.OverloadFactor/one*warmth/one
}

// cost is the work that a request may be, as far as its class has been seen.
func (r *Router) cost(q *request) int64 {
	if t := q.class.typical; t > 0 {
		return int64(t)
	}
	return int64(q.class.LatencyObjective / hopelessPart)
}

// countServed keeps the mean of the work that one server does for this gateway in a fall window.
func (r *Router) countServed(q *request) {
	r.served += r.cost(q)
	r.meanCost += (r.cost(q) - r.meanCost) / smoothing
	if span := r.now - r.servedFrom; span >= r.set.OverloadWindow {
		usable := int64(0)
		for _, s := range r.servers {
			if r.usable(s) {
				usable++
			}
		}
		mean := r.served * int64(r.set.OverloadWindow) / int64(span) / max(usable, 1)
		r.usualServed += (mean - r.usualServed) / 2
		r.served, r.servedFrom = 0, r.now
	}
}

// ---- the member list ----

// members takes news of the list. Draining binds at once; gone does too, unless the settings say otherwise.
func (r *Router) members(e EndpointUpdate) {
	if e.Form == ListFailed {
		r.askFailed()
		return
	}
	if e.Form != ListCached && e.Form != ListCordoned {
		r.subscribed, r.asking, r.askSpan = true, false, 0
	}
	named := map[ServerID]bool{}
	for _, m := range e.Endpoints {
		named[m.Server] = true
		r.member(m)
	}
	if e.Form != ListDelta && e.Form != ListCordoned {
		for _, g := range r.order {
			for _, s := range g.members {
				if !named[s.id] {
					r.gone(s)
				}
			}
		}
	}
	for _, g := range r.order {
		r.listedPrimary(g)
		r.dispatch(g)
	}
}

func (r *Router) member(m Endpoint) {
	s := r.servers[m.Server]
	if s == nil {
		if m.State == EndpointRemoved {
			return
		}
		s = &server{id: m.Server, group: r.groupOf(m.Group)}
		s.limit = r.firstLimit()
		r.servers[m.Server] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return int(a.id) - int(b.id) })
	}
	s.zone, s.listed = m.Zone, m.Primary
	if m.Started > s.started {
		s.started, s.limit = m.Started, min(s.limit, r.firstLimit())
		r.do(Withdraw{Server: s.id}) // what was to go to a warm server is placed anew, within the cold budget
	}
	if m.State == EndpointRemoved {
		r.gone(s)
	} else if s.state, s.forbidden = m.State, false; m.State == EndpointDraining {
		r.forbid(s)
	}
}

// gone takes a server off the list.
func (r *Router) gone(s *server) {
	s.state, s.listed = EndpointRemoved, false
	if !r.set.RemovedStayUsable {
		r.forbid(s)
	}
}

// forbid takes a server out by the list's word; what waits for a connection to it does not begin any more.
func (r *Router) forbid(s *server) {
	s.forbidden = true
	r.do(Withdraw{Server: s.id})
	if s.group.primary == s {
		r.losePrimary(s.group)
	}
}

// listedPrimary believes the list where nothing better has ever been seen.
func (r *Router) listedPrimary(g *group) {
	if g.primary != nil || g.primaryAt > 0 {
		return
	}
	for _, s := range g.members {
		if s.listed && r.usable(s) && s.role != RoleReplica {
			g.primary = s
		}
	}
}

// askList subscribes to the list.
func (r *Router) askList() {
	r.asking, r.askAt = true, r.now
	r.do(Watch{On: true})
}

// askFailed plans the next ask, later each time and jittered, so that many gateways do not ask in step. The
// first one comes with the next sweep where changes count as known at once.
func (r *Router) askFailed() {
	r.subscribed, r.asking = false, false
	if r.askSpan == 0 && r.set.ListPushed {
		r.askSpan, r.askAt = 1, r.now
		return
	}
	r.askSpan = max(min(r.askSpan*2, r.set.SubscribeWithin/4, askPause), r.set.ConnectTimeout)
	r.askAt = r.now + r.askSpan/2 + clock.Micros(r.rng.below(int(r.askSpan)))
}

// ---- the sweep ----

// sweep does what time alone calls for.
func (r *Router) sweep() {
	r.setTimer(r.now+r.sweepSpan(), Timer{Kind: TimerSweep})
	if r.set.ListSubscribed && r.asking && r.now-r.askAt > max(r.set.SubscribeWithin/4, r.set.ConnectTimeout) {
		r.askFailed()
	}
	if r.set.ListSubscribed && !r.subscribed && !r.asking && r.now >= r.askAt {
		r.askList()
	}
	for _, g := range r.order {
		for _, s := range append([]*server(nil), g.members...) {
			if r.forgettable(s) {
				g.members = drop(g.members, s)
				delete(r.servers, s.id)
				r.do(Forget{s.id})
				continue
			}
			r.readmit(s)
			if r.probeDue(g, s) {
				r.probe(s)
			}
		}
		r.probeStalest(g)
		r.dispatch(g)
	}
}

func (r *Router) probe(s *server) {
	s.probing, s.probedAt = true, r.now
	r.do(HealthCheck{Server: s.id})
}

// forgettable tells whether a server may leave memory: the list calls it gone, and that binds or it has been
// out of reach for as long as a list may be old. A list that is wrong costs nothing learned.
func (r *Router) forgettable(s *server) bool {
	dead := s.down && r.now-s.heardAt > max(r.set.SubscribeWithin, r.set.SlowStartWindow)
	return s.state == EndpointRemoved && len(s.open) == 0 && (s.forbidden || dead)
}

// probeDue says whether to probe a server for its health: to find a lost primary, to see whether one that is
// down has come back, and when one has fallen silent. Only a group in use is looked at. An answer that told a
// server's role is as good as a probe, and many gateways ask the dead no oftener than arrivals pay for.
func (r *Router) probeDue(g *group, s *server) bool {
	since := r.now - s.probedAt
	switch {
	case !r.mayProbe(g, s):
		return false
	case s.down:
		return since >= s.downSpan && spend(&r.probes) || since >= r.maxAim*ejectGrowth
	case s.suspect:
		return since >= r.sweepSpan()
	case g.primary == nil:
		return r.now-max(s.probedAt, s.roleAt) >= r.minAim/2
	case len(s.open) > 0 && r.now-max(s.heardAt, s.busySince) > r.minAim: // at work, and not a word
		return since >= r.set.ConnectTimeout
	}
	return false
}

// mayProbe tells whether a probe is allowed and its news would be used: a request came to the group since the
// last, or waits there or at the server. It guards against probes that outnumber requests.
func (r *Router) mayProbe(g *group, s *server) bool {
	used := g.askedAt > 0 && g.askedAt >= s.probedAt || len(g.waiting)+len(s.open) > 0
	return used && r.set.CanHealthCheck && !s.probing && !s.forbidden
}

// probeStalest probes replicas whose known position is older than half the bound, the one probed longest ago
// first, as far as the arrivals pay for it. Harm: with little traffic most positions are old.
func (r *Router) probeStalest(g *group) {
	for r.set.FreshnessCheck != FreshnessCheckNone && r.probes >= one {
		var old *server
		for _, s := range g.members {
			due := s != g.primary && !s.down && r.now-max(s.pos, s.probedAt) > r.minBound/2 && r.mayProbe(g, s)
			if due && (old == nil || s.probedAt < old.probedAt) {
				old = s
			}
		}
		if old == nil || !spend(&r.probes) {
			return
		}
		r.probe(old)
	}
}

// probed takes in a probe's result. A report is as old as its sender makes it: a primary's position tells
// when.
func (r *Router) probed(e HealthCheckEnded) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	s.probing = false
	switch e.Result {
	case ResultOK:
		r.alive(s, e.LoadReport.Position > max(s.downAt, r.now-r.minBound))
		if e.LoadReport.HasPosition {
			r.position(s, e.LoadReport.Position)
			r.role(s, e.LoadReport.Role, min(e.LoadReport.Position, r.now))
		}
		r.dispatch(s.group)
	case ResultConnectFailed, ResultReset, ResultTimeout:
		s.suspect = true
		if s.probeFails++; s.probeFails > 1 || s.down {
			r.markDown(s)
		}
	}
}
