package policy

import "marblespan/internal/clock"

// request is one accepted request, from its arrival to its final answer.
type request struct {
	id       string
	settings *Settings // in force when it came; it is finished under them, as its class
	class    *classState
	group    *group
	session  *session // nil: none

	requiredPosition Position // what a replica must have applied, as far as it came with the request
	deadline         clock.Micros
	objectiveAt      clock.Micros
	awaitsCheckUntil clock.Micros // a bounded read waits for health checks of replicas until then

	attempts      []*attempt // all, by index
	misdirectedBy []ServerID // replicas that turned it away as too far behind

	admissionDraw      int64 // against limits below one attempt, in thousandths
	admissionDrawUntil clock.Micros

	queued bool
	done   bool // its final answer is given
}

// outstanding counts the attempts in flight.
func (req *request) outstanding() int {
	n := 0
	for _, a := range req.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// writesSession tells whether the request is a write whose commit its session's later reads must
// see.
func (req *request) writesSession() bool { return req.class.Need == NeedWrite && req.session != nil }

// acceptRequest takes a request in, sets its timer and queues it. With nothing sent by half of its
// time it ends then: a later rejection would cost the client the time in which it could retry.
//
// The harm: waiting on might have served it.
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

// endOf is the time after which an answer to a request earns nothing: the latency objective for an
// idempotent class without a late weight, a tick before the client stops waiting for any other.
func (r *Router) endOf(req *request) clock.Micros {
	last := req.deadline - req.settings.Tick
	if req.class.LateWeight == 0 && req.class.Effect == EffectIdempotent {
		return min(last, req.objectiveAt)
	}
	return last
}

// requestTimer ends a request at its end, or halfway to it if nothing was sent for it by then.
func (r *Router) requestTimer(id string) {
	req := r.requests[id]
	switch {
	case req == nil:
	case r.now >= r.endOf(req):
		r.finish(req, ReasonTimeUp)
	case len(req.attempts) == 0:
		r.finish(req, ReasonNothingSent)
	default:
		r.setTimer(r.endOf(req), Timer{RequestID: id})
	}
}

// finish gives the one final answer that is not a served one, and stops what is still in flight. It
// rejects where it is true that a retry does no harm, and fails the request otherwise. A rejected
// client is asked to stay away for as long as it heeds: lack of capacity or of a primary mostly
// outlasts its patience.
//
// The harm: after a short fault it comes back later than it could.
func (r *Router) finish(req *request, reason Reason) {
	if req.done {
		return
	}
	if mayReject(req) {
		advice := clock.Micros(0)
		if req.settings.CanSendRetryAfter {
			advice = req.settings.MaxRetryAfter
		}
		r.emit(Reject{ID: req.id, RetryAfter: advice, Reason: reason, MayHaveRun: mayHaveRun(req)})
	} else {
		r.emit(Fail{ID: req.id, Reason: reason})
	}
	r.closeRequest(req)
}

// closeRequest marks a request as over and cancels its attempts in flight.
func (r *Router) closeRequest(req *request) {
	req.done = true
	if req.queued {
		req.queued = false
		req.group.queue = removeFirst(req.group.queue, req)
	}
	for _, a := range req.attempts {
		if a.inFlight && req.settings.CanCancel {
			r.emit(Cancel{ID: req.id, Attempt: a.index})
		}
	}
	r.releaseRequest(req)
}

// releaseRequest drops the record of a request that is over, once its last attempt has ended.
func (r *Router) releaseRequest(req *request) {
	if req.done && req.outstanding() == 0 {
		delete(r.requests, req.id)
	}
}
