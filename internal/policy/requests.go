package policy

import "marblespan/internal/clock"

// request is one accepted request, from its arrival to its final answer.
type request struct {
	id       string
	settings *Settings // settings in force on arrival; the request keeps these and its class to its end
	class    *classState
	group    *group
	session  *session // nil: none

	statedPosition   Position // position that the read must see by its statement; 0: none
	unstatedPosition Position // position that the read must see and its statement does not state; 0: none
	checksSession    bool     // see Arrival.RouterChecksSession

	deadline         clock.Micros
	objectiveAt      clock.Micros
	awaitsCheckUntil clock.Micros // until then a bounded read waits for health checks of replicas

	attempts      []*attempt // all attempts of the request, by index
	misdirectedBy []ServerID // replicas that rejected the request because they were too far behind

	admissionDraw      int64 // random number for hasCapacity, in thousandths; see admissionDraw
	admissionDrawUntil clock.Micros

	queuePlace
	done bool // the request has its final answer, or its client has disconnected
}

// outstanding returns the number of attempts in flight.
func (req *request) outstanding() int {
	n := 0
	for _, a := range req.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// writesSession reports whether the request is a write that the later reads of its session must see.
func (req *request) writesSession() bool { return req.class.Need == NeedWrite && req.session != nil }

// acceptRequest records a request, sets its timer and queues it. If no attempt has been sent when half of
// the client's time has passed, the timer ends the request: a later rejection would leave the client too
// little time for a retry.
//
// Trade-off: the request might have been served if it had waited longer.
func (r *Router) acceptRequest(e Arrival) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.classes) {
		return
	}
	c := r.classes[e.Class]
	req := &request{
		id: e.ID, settings: r.settings, class: c, group: r.groupOf(e.Group),
		deadline: r.now + e.TimeLeft, objectiveAt: r.now + c.LatencyObjective,
		awaitsCheckUntil: r.now + c.LatencyObjective/checkWaitDivisor,
	}
	r.requests[req.id] = req
	r.retryTokens = min(r.retryTokens+retryTokensPerArrival, maxSavedTokens*one)
	r.checkTokens = min(r.checkTokens+checkTokensPerArrival, maxSavedTokens*one)
	req.group.lastRequestAt = r.now
	if e.HasSession {
		req.session = r.sessions.get(e.Session)
	}
	r.recordPositions(req, e)
	halfway := r.now + e.TimeLeft/2 - r.settings.Tick
	r.setTimer(max(min(r.expiryOf(req), halfway), r.now+1), Timer{RequestID: req.id})
	r.enqueue(req)
	r.dispatch(req.group)
}

// recordPositions records the positions that a session read must see.
func (r *Router) recordPositions(req *request, e Arrival) {
	if req.class.Need != NeedSession {
		return
	}
	req.checksSession = e.RouterChecksSession
	if e.SinceWrite > 0 {
		req.statedPosition = r.now - e.SinceWrite
	}
	if e.SinceUnstatedWrite > 0 {
		req.unstatedPosition = r.now - e.SinceUnstatedWrite
	}
}

// expiryOf returns the time after which an answer to a request earns nothing. This time is one tick before
// the client stops waiting. For an idempotent class without a late weight, an answer after the latency
// objective earns nothing either.
func (r *Router) expiryOf(req *request) clock.Micros {
	last := req.deadline - req.settings.Tick
	if req.class.LateWeight == 0 && req.class.Effect == EffectIdempotent {
		return min(last, req.objectiveAt)
	}
	return last
}

// requestTimer ends a request that has expired, or that is halfway to its deadline without an attempt.
func (r *Router) requestTimer(id string) {
	req := r.requests[id]
	switch {
	case req == nil:
	case r.now >= r.expiryOf(req):
		r.finish(req, ReasonTimeUp)
	case len(req.attempts) == 0:
		r.finish(req, ReasonNothingSent)
	default:
		r.setTimer(r.expiryOf(req), Timer{RequestID: id})
	}
}

// finish gives a request that is not served its final answer, and cancels the attempts that are still in
// flight. It rejects the request if a retry is harmless, and fails it otherwise. The retry advice of a
// rejection is the longest that the client obeys, because a lack of capacity or of a primary usually lasts
// longer than the advice.
//
// Trade-off: after a short fault the client comes back later than it could.
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

// closeRequest marks a request as done and cancels its attempts in flight.
func (r *Router) closeRequest(req *request) {
	req.done = true
	r.dequeue(req)
	for _, a := range req.attempts {
		if a.inFlight && req.settings.CanCancel {
			r.emit(Cancel{ID: req.id, Attempt: a.index})
		}
	}
	r.releaseRequest(req)
}

// releaseRequest drops the record of a request that is done once its last attempt has ended.
func (r *Router) releaseRequest(req *request) {
	if req.done && req.outstanding() == 0 {
		delete(r.requests, req.id)
	}
}
