package policy

// primaryDrawsPerObjective is how often within its objective a request that needs the primary draws
// anew against a limit below one attempt.
const primaryDrawsPerObjective = 16

// inService tells whether the endpoint list and health checks let anything be sent to a server at
// all. Ejection does not count here: only the choice of replicas looks at it (candidateReplicas).
func (r *Router) inService(s *server) bool { return !s.excluded && !s.down }

// admits tells whether a request may go to a server now, within a share of the server's limit in
// thousandths.
func (r *Router) admits(s *server, req *request, share int64) bool {
	return r.inService(s) && r.hasCapacity(s, req, share)
}

// hasCapacity tells whether this gateway may have one more attempt in flight at a server, within a
// share of its limit. In slow start the limit shrinks by the server's weight, and what is sent
// keeps to a budget. Of a limit below one attempt a share below one takes the square: reads must
// not crowd writes out of the primary.
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

// admissionDraw is a request's random draw, from 0 to 999. A limit below one attempt is the chance
// that a request may go: one attempt from each gateway would let hundreds of gateways overload a
// server, and a fixed rate is too much for gateways with little traffic and too little for busy
// ones. It is drawn anew after each objective, and more often for what can go only to the primary.
//
// The harm: some requests wait or end though there was capacity.
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
