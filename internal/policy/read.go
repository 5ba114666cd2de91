package policy

import "slices"

// The tuned numbers of reads from replicas. Shares are in thousandths.
const (
	levelPart          = 8   // replicas within this part of the smallest bound count as equally far ahead
	crowdedFactor      = 2   // a replica is crowded beyond this many times the emptiest one's attempts, plus one
	longReadBounds     = 2   // a read is long if its objective is over this many times the smallest bound
	checkWaitPart      = 3   // a read waits for health checks of replicas for this part of its objective
	readShareOfPrimary = 500 // of the primary's limit, which reads for replicas may fill
)

// placeRead is the freshness gate and the choice of a replica; every read for replicas passes
// through it at the moment it is sent. It tries, in this order: the replicas known to be fresh
// enough; where servers check freshness themselves, the replicas furthest ahead; where they do not,
// a health check that may show one to be fresh; the primary.
func (r *Router) placeRead(req *request) *server {
	candidates, required := r.candidateReplicas(req), r.requiredPosition(req)
	if r.isLongRead(req) {
		candidates = r.longReadReplicas(req.group, candidates)
	}
	var fresh []*server
	for _, s := range candidates {
		if req.class.Need == NeedAny || s.position >= required {
			fresh = append(fresh, s)
		}
	}
	if s := r.drawReplica(req, r.preferOwnZone(fresh)); s != nil {
		return s
	}
	if req.settings.FreshnessCheck != FreshnessCheckNone {
		if s := r.drawReplica(req, r.furthestAhead(candidates)); s != nil {
			return s
		}
	}
	if r.awaitsHealthCheck(req, candidates) {
		return nil
	}
	if p := req.group.primary; p != nil && r.admits(p, req, readShareOfPrimary) {
		return p
	}
	return nil
}

// isLongRead tells that a read which any server may serve may take longer than the smallest
// staleness bound.
func (r *Router) isLongRead(req *request) bool {
	return req.class.Need == NeedAny && req.class.LatencyObjective > r.minBound*longReadBounds
}

// longReadReplicas keeps, of the candidates, every other replica of the group, in the order of ids
// that all gateways share. A replica may apply nothing while it runs a long read; spread over all
// replicas they would leave none fresh. The primary's data are current in any case, so it may help
// out.
//
// The harm: where long reads do not stop replication, their half may be the fuller one.
func (r *Router) longReadReplicas(g *group, candidates []*server) (out []*server) {
	n := 0
	for _, s := range g.servers {
		if s == g.primary || !r.inService(s) {
			continue
		}
		n++
		if n%2 == 0 && slices.Contains(candidates, s) {
			out = append(out, s)
		}
	}
	if n < 2 {
		return candidates
	}
	return out
}

// awaitsHealthCheck has replicas checked for a bounded read that finds none fresh, and tells
// whether the read should wait for that before the primary takes it. It acts where servers do not
// check freshness: there an old known position rules a replica out, and with little traffic most
// are old. All waiting reads share one check. The replica furthest ahead is checked first, so that
// few positions have to be known, and none again within half the bound or before it can have caught
// up.
//
// The harm: the read is later by the check.
func (r *Router) awaitsHealthCheck(req *request, candidates []*server) bool {
	if req.class.Need != NeedBounded || req.settings.FreshnessCheck != FreshnessCheckNone ||
		!r.settings.CanHealthCheck {
		return false
	}
	var best *server
	for _, s := range candidates {
		if s.checking && r.now-s.checkedAt < r.settings.ConnectTimeout/2 {
			return r.now < req.awaitsCheckUntil
		}
		interval := max(r.minBound, s.checkedAt-s.position-r.minBound) / 2
		if !s.checking && r.now-s.checkedAt > interval && (best == nil || s.position > best.position) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	r.startHealthCheck(best)
	return r.now < req.awaitsCheckUntil
}

// requiredPosition is the log position that a replica must have reached to serve a read sent now.
// Where session positions are kept here, a read must see each write of its session that was
// answered by now; one still in flight may have been committed.
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

// candidateReplicas lists the replicas that may take a read now: in service, with capacity, not
// crowded. Ejected ones are listed only when no other is left, so an ejection never empties a
// group.
//
// The harm: a session moves away from its replica while that is crowded.
func (r *Router) candidateReplicas(req *request) []*server {
	var open, ejected []*server
	fewest := -1
	for _, s := range req.group.servers {
		if s == req.group.primary || !r.inService(s) || slices.Contains(req.misdirectedBy, s.id) {
			continue
		}
		if !s.ejected && (fewest < 0 || len(s.inFlight) < fewest) {
			fewest = len(s.inFlight)
		}
		switch {
		case !r.admits(s, req, one):
		case s.ejected:
			ejected = append(ejected, s)
		default:
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return ejected
	}
	return slices.DeleteFunc(open, func(s *server) bool { return len(s.inFlight) > fewest*crowdedFactor+1 })
}

// preferOwnZone keeps the replicas of this gateway's own zone whose latency is below the cut of the
// limit, if there are any, where crossing zones has a price.
//
// The harm: a zone with more requests than replicas fills them up to that latency.
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

// drawReplica keeps the session's sticky replica while it qualifies, and draws another one at
// random when it does not.
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
	req.session.replica = s.id
	req.session.sticky = true
	return s
}

// furthestAhead is what to try when no replica is known to be fresh enough and the servers check it
// themselves: the replica with the highest known position, and those about as far. An old position
// rules none out, for load reports may be late while the data is not; a rejected read does, for a
// time that doubles until a read is served.
//
// The harm: some rejected reads where all replicas really lag.
func (r *Router) furthestAhead(candidates []*server) []*server {
	var top Position
	var ahead []*server
	for _, s := range candidates {
		if r.now >= s.misdirectedUntil {
			top = max(top, s.position)
			ahead = append(ahead, s)
		}
	}
	return slices.DeleteFunc(ahead, func(s *server) bool { return s.position < top-r.minBound/levelPart })
}
