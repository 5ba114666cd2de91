package policy

import "marblespan/internal/clock"

// needsPrimary tells whether only the primary may serve a request.
func needsPrimary(req *request) bool {
	return req.class.Need == NeedWrite || req.class.Need == NeedFresh
}

// placeOnPrimary sends writes and fresh reads to the last known primary. Without one, fresh reads
// wait, and writes try the other servers with at most half of their attempts: the one listed as the
// primary first, then the one furthest ahead, since that one gets elected. A server that turned a
// write away is left out for half of the smallest objective, for all writes together.
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
		misdirected := s.writeMisdirectedAt > 0 && r.now-s.writeMisdirectedAt < r.minObjective/2
		if misdirected || s == req.group.primary || !r.admits(s, req, one) {
			continue
		}
		if best == nil || s.listedPrimary && !best.listedPrimary ||
			s.listedPrimary == best.listedPrimary && s.position > best.position {
			best = s
		}
	}
	return best
}

// observeRole takes in a proof of a server's role by the time at which it held: an older proof
// never overrides a newer one.
func (r *Router) observeRole(s *server, role Role, at clock.Micros) {
	g := s.group
	if role == RoleUnknown || at < s.roleProvenAt {
		return
	}
	s.role = role
	s.roleProvenAt = at
	switch {
	case role == RolePrimary && g.primary != s && at >= g.primaryProvenAt:
		r.logServer(s, "group %d: primary is %d", g.id, s.id)
		g.primary = s
		g.primaryProvenAt = at
		s.writeMisdirectedAt = 0
		r.dispatch(g)
	case role == RolePrimary && g.primary == s:
		g.primaryProvenAt = max(g.primaryProvenAt, at)
	case role == RoleReplica && g.primary == s && at >= g.primaryProvenAt:
		r.losePrimary(g, "it says that it is a replica")
	}
}

// observeOutcomeRole takes the role from an outcome. That a server is a replica holds from now on.
// That it is the primary was so when the work was done: what a former primary still finishes after
// a failover must not bring its role back.
//
// The harm: a primary known only by slow answers is believed later.
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

// losePrimary forgets the primary of a group; health checks and writes look for the next one.
func (r *Router) losePrimary(g *group, why string) {
	r.logServer(g.primary, "group %d: primary lost: %s; %d attempts in flight there, %d requests wait", g.id,
		why, len(g.primary.inFlight), len(g.queue))
	g.primary = nil
}

// adoptListedPrimary believes the endpoint list as long as no proof of a primary was ever seen in
// the group.
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
