package policy

import (
	"cmp"
	"slices"
)

// Parameters of reads from replicas. Shares are in thousandths.
const (
	toleranceDivisor   = 8   // ignored lag behind the replica furthest ahead: minBound divided by this
	crowdedFactor      = 2   // a replica is crowded with over this many times the fewest attempts, plus one
	longReadBounds     = 2   // a read is long if its objective is over this many times the smallest bound
	checkWaitDivisor   = 3   // a read waits for health checks at most for its objective divided by this
	readShareOfPrimary = 500 // share of the primary's limit that reads for replicas may use
)

// placeRead returns the server for a read that replicas may serve, or nil if the read has to wait. It checks
// freshness and chooses the replica; every read that replicas may serve passes through placeRead at the
// moment the read is sent. Before the read begins, freshness is checked again (freshness.go). placeRead
// tries, in this order: the replicas known to be fresh enough; if servers check freshness themselves, the
// replicas furthest ahead of those that have what servers cannot check; if the router has to check freshness,
// a health check that may show that a replica is fresh enough; the primary.
func (r *Router) placeRead(req *request) *server {
	candidates := r.candidateReplicas(req)
	if r.isLongRead(req) {
		candidates = r.longReadReplicas(req.group, candidates)
	}
	fresh := knownToHave(candidates, r.requiredPosition(req))
	if s := r.drawReplica(req, r.preferOwnZone(fresh)); s != nil {
		return s
	}
	if req.settings.FreshnessCheck != FreshnessCheckNone {
		if s := r.drawReplica(req, r.furthestAhead(knownToHave(candidates, r.positionToVerify(req)))); s != nil {
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

// isLongRead reports whether a read that any server may serve may take longer than the smallest staleness
// bound.
func (r *Router) isLongRead(req *request) bool {
	return req.class.Need == NeedAny && req.class.LatencyObjective > r.minBound*longReadBounds
}

// longReadReplicas returns those candidates that may serve long reads: every second replica of the group,
// counted in the order of server ids, which is the same for all gateways. A replica may apply no commits
// while it runs a long read, so long reads on all replicas would leave none of them fresh. The primary's
// data is always current, so it may serve long reads too.
//
// Trade-off: where long reads do not stop replication, the half of the replicas that serves long reads may be
// busier than the other half.
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

// awaitsHealthCheck starts a health check of a replica for a read for which no replica is known to be fresh
// enough, and reports whether the read should wait for the result before it goes to the primary. It does so
// only for reads whose freshness the router has to check itself, because then a replica with an old known
// position cannot be used, and with little traffic most positions are old. All waiting reads share one check.
//
// Trade-off: the check delays the read.
func (r *Router) awaitsHealthCheck(req *request, candidates []*server) bool {
	if !r.mayAwaitHealthCheck(req) {
		return false
	}
	var due []*server
	for _, s := range candidates {
		if s.checking && r.now-s.checkedAt < r.settings.ConnectTimeout/2 {
			return r.now < req.awaitsCheckUntil
		}
		if !s.checking && r.healthCheckMayHelp(req, s) {
			due = append(due, s)
		}
	}
	if len(due) == 0 {
		return false
	}
	r.startHealthCheck(r.replicaToCheck(req, due))
	return r.now < req.awaitsCheckUntil
}

// mayAwaitHealthCheck reports whether a read may wait for a health check: a bounded read if servers do not
// check freshness, and a session read that needs a position that its statement does not state.
func (r *Router) mayAwaitHealthCheck(req *request) bool {
	if !r.settings.CanHealthCheck {
		return false
	}
	if req.class.Need == NeedBounded {
		return req.settings.FreshnessCheck == FreshnessCheckNone
	}
	return req.checksSession || req.unstatedPosition > 0
}

// healthCheckMayHelp reports whether a health check may show that a replica is fresh enough for a read. No
// replica is checked again within half the smallest bound, or before it can have caught up. For a session
// read it is checked sooner if it has the position that the read needs, unless it has fallen further behind
// since the last check.
func (r *Router) healthCheckMayHelp(req *request, s *server) bool {
	lag := s.checkedAt - s.position
	if r.now-s.checkedAt > max(r.minBound, lag-r.minBound)/2 {
		return true
	}
	return req.class.Need == NeedSession && r.now-max(lag, 0) >= r.positionToVerify(req)
}

// replicaToCheck chooses one of the replicas that are due for a health check. For a bounded read it is the
// one furthest ahead, so that few positions have to be known. For a session read it is the session's sticky
// replica or a random one, so that sessions stay spread over the replicas.
func (r *Router) replicaToCheck(req *request, due []*server) *server {
	if req.class.Need == NeedSession {
		return r.drawReplica(req, due)
	}
	return slices.MaxFunc(due, func(a, b *server) int { return cmp.Compare(a.position, b.position) })
}

// candidateReplicas returns the replicas that may take a read now: in service, with capacity, and not
// crowded. Ejected replicas are returned only if no other replica is left, so that ejection never empties a
// group.
//
// Trade-off: a session moves away from its replica while that replica is crowded.
func (r *Router) candidateReplicas(req *request) []*server {
	var available, ejected []*server
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
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return ejected
	}
	return slices.DeleteFunc(available, func(s *server) bool { return len(s.inFlight) > fewest*crowdedFactor+1 })
}

// preferOwnZone returns the replicas in this gateway's zone whose latency ratio is below latencyRatioHigh,
// provided that there are such replicas and that crossing zones has a cost. Otherwise preferOwnZone returns
// all given replicas.
//
// Trade-off: in a zone with too many requests for its replicas, the load brings their latency ratio up to
// latencyRatioHigh.
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

// drawReplica returns the session's sticky replica if it is among the given replicas. Otherwise it chooses
// one of the given replicas at random, which becomes the session's sticky replica.
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

// furthestAhead returns the replicas to try if none is known to be fresh enough and the servers check
// freshness themselves: the replica with the highest known position, and the replicas about equally far
// ahead. An old known position excludes no replica, because load reports may be late although the data is
// current. A replica that rejected a read is excluded, for a period that doubles until it serves a read.
//
// Trade-off: some reads are rejected while all replicas really lag.
func (r *Router) furthestAhead(candidates []*server) []*server {
	var top Position
	var ahead []*server
	for _, s := range candidates {
		if r.now >= s.misdirectedUntil {
			top = max(top, s.position)
			ahead = append(ahead, s)
		}
	}
	return slices.DeleteFunc(ahead, func(s *server) bool { return s.position < top-r.minBound/toleranceDivisor })
}
