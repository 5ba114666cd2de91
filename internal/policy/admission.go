package policy

// primaryDrawsPerObjective is how many times within its latency objective a request for the primary gets a
// new random number. The number is compared with a limit below one attempt.
const primaryDrawsPerObjective = 16

// inService reports whether the endpoint list and health checks allow anything to be sent to a server. It
// ignores ejection, which counts only in the choice of replicas (candidateReplicas).
func (r *Router) inService(s *server) bool { return !s.excluded && !s.down }

// admits reports whether a request may be sent to a server now, if only the given share of the server's
// concurrency limit (in thousandths) may be used.
func (r *Router) admits(s *server, req *request, share int64) bool {
	return r.inService(s) && r.hasCapacity(s, req, share)
}

// hasCapacity reports whether this gateway may have one more attempt in flight at a server, if only the given
// share of the server's concurrency limit may be used. In slow start the limit is multiplied by the server's
// weight, and the work sent is bounded by a budget. A capacity below one attempt is the probability that the
// request is admitted while nothing is in flight. Weight and share do not lower the capacity below a floor,
// which is one attempt, or the limit if the limit is below one. If share is below one, a floor below one is
// squared, so that reads do not crowd writes out of the primary.
func (r *Router) hasCapacity(s *server, req *request, share int64) bool {
	if r.now < s.backOffUntil {
		return false
	}
	weight := r.slowStartWeight(s)
	floor := min(one, s.limit)
	if share < one {
		floor = floor * floor / one
	}
	capacity := max(floor, s.limit*share/one*weight/one)
	if capacity < one && r.admissionDraw(req) < capacity {
		capacity = one
	}
	return int64(len(s.inFlight)+1)*one <= capacity && (weight == one || r.withinSlowStartBudget(s, req, weight))
}

// admissionDraw returns a request's random number, from 0 to 999. hasCapacity admits the request if the
// number is below the capacity. Neither a minimum nor a rate could take the place of this probability: a
// minimum of one attempt in flight from each of hundreds of gateways would overload a server, and a fixed
// rate would be too high for gateways with little traffic and too low for busy ones. The number is drawn
// again after each latency objective, and more often for a request that only the primary can serve.
//
// Trade-off: some requests wait or end although there was capacity.
func (r *Router) admissionDraw(req *request) int64 {
	if r.now >= req.admissionDrawUntil {
		req.admissionDraw = int64(r.rng.below(one))
		req.admissionDrawUntil = r.now + req.class.LatencyObjective
		if needsPrimary(req) {
			req.admissionDrawUntil = r.now + req.class.LatencyObjective/primaryDrawsPerObjective
		}
	}
	return req.admissionDraw
}
