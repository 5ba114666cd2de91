package policy

import "marblespan/internal/clock"

// attempt is one send of a request to one server.
type attempt struct {
	request  *request
	index    int // index in request.attempts
	server   *server
	sentAt   clock.Micros
	inFlight bool
	// execution is ExecutionUnknown while the attempt is in flight.
	execution Execution
}

// send sends a request to a server as its next attempt. No other function of the package emits Send.
func (r *Router) send(req *request, s *server) {
	a := &attempt{request: req, index: len(req.attempts), server: s, sentAt: r.now, inFlight: true}
	req.attempts = append(req.attempts, a)
	r.dequeue(req)
	if len(s.inFlight) == 0 {
		s.busySince = r.now
	}
	s.inFlight = append(s.inFlight, a)
	if req.writesSession() {
		req.session.writesInFlight++
	}
	if r.slowStartWeight(s) < one {
		s.slowStartSends = append(s.slowStartSends, slowStartSend{at: r.now, work: r.expectedWork(req)})
		s.slowStartDrawnAt = r.now
	}
	r.emit(Send{
		ID: req.id, Server: s.id, Until: max(r.expiryOf(req), r.now+1), FreshUntil: r.freshUntil(req, s),
	})
}

// completeAttempt records how an attempt ended. It then ends the request, queues it for a retry, or
// changes nothing if the request already has its final answer.
func (r *Router) completeAttempt(e Outcome) {
	req := r.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || !req.attempts[e.Attempt].inFlight {
		return
	}
	a := req.attempts[e.Attempt]
	a.inFlight = false
	a.execution = e.Execution.CombinedWith(e.Result)
	a.server.inFlight = removeFirst(a.server.inFlight, a)
	r.learnFromOutcome(a, e)
	switch {
	case e.Final:
		req.done = true
	case req.done:
	case !mayReject(req):
		r.finish(req, ReasonMayHaveRun)
	case !r.mayRetry(req):
		r.finish(req, ReasonAttemptsUsed)
	case !r.takeRetryToken(a):
		r.finish(req, ReasonRetryBudget)
	default:
		r.enqueue(req)
	}
	r.releaseRequest(req)
	r.dispatch(req.group)
}

// learnFromOutcome updates the router's state of a server from an outcome: role, position, health, latency,
// errors.
func (r *Router) learnFromOutcome(ended *attempt, e Outcome) {
	srv, req := ended.server, ended.request
	if req.writesSession() {
		r.recordSessionWrite(ended, e)
	}
	r.observeOutcomeRole(ended, e)
	r.observePosition(srv, e.Position)
	switch e.Result {
	case ResultOK:
		r.observeAlive(srv, true)
		r.observeAnswer(srv, req, e)
	case ResultError:
		r.observeAlive(srv, true)
		r.detectOutlier(srv, true)
	case ResultOverloaded:
		r.observeAlive(srv, true)
		r.backOffFrom(srv)
		r.detectOutlier(srv, true)
	case ResultConnectFailed:
		r.backOffFrom(srv)
		srv.suspect = true
	case ResultReset:
		r.detectOutlier(srv, true)
		srv.suspect = true
	case ResultMisdirected:
		r.observeAlive(srv, true)
		r.observeMisdirected(srv, req)
	case ResultTimeout, ResultCancelled:
		r.observeLatency(srv, req, r.now-ended.sentAt)
	}
}

// observeAnswer records a served answer in the typical latency of the request's class, in the server's
// latency and errors, and in the work meter.
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
