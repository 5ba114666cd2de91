package policy

import "marblespan/internal/clock"

// needsPrimary reports whether only the primary may serve a request.
func needsPrimary(req *request) bool {
	return req.class.Need == NeedWrite || req.class.Need == NeedFresh
}

// placeOnPrimary returns the server for a write or a fresh read, or nil if the request has to wait. The
// server is the known primary if the primary has capacity. Without a primary in service, fresh reads wait,
// and writes try the other servers with at most half of their attempts: first the server listed as the
// primary, then the server with the highest known position, because a failover elects the server that is
// furthest ahead. A server that rejected a write or a fresh read as misdirected is skipped by all writes for
// half of the smallest objective.
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

// observeRole records evidence that a server had a role at the given time. Older evidence never overrides
// newer evidence.
func (r *Router) observeRole(s *server, role Role, at clock.Micros) {
	g := s.group
	if role == RoleUnknown || at < s.roleProvenAt {
		return
	}
	s.role = role
	s.roleProvenAt = at
	switch {
	case role == RolePrimary && g.primary != s && at >= g.primaryProvenAt:
		r.logServer(s, "group %d: primary is server %d", g.id, s.id)
		g.primary = s
		g.primaryProvenAt = at
		s.writeMisdirectedAt = 0
		r.dispatch(g)
	case role == RolePrimary && g.primary == s:
		g.primaryProvenAt = max(g.primaryProvenAt, at)
	case role == RoleReplica && g.primary == s && at >= g.primaryProvenAt:
		r.losePrimary(g, "it reports that it is a replica")
	}
}

// observeOutcomeRole records the role that an outcome shows. The role of a replica counts as evidence as of
// now. The role of the primary counts only as of the time when the server did the work, because an attempt
// that a former primary finishes after a failover must not make that server the known primary again.
//
// Trade-off: a primary that is known only from slow answers is recognized later.
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

// losePrimary clears the known primary of a group. Health checks and writes then search for the next primary.
func (r *Router) losePrimary(g *group, why string) {
	r.logServer(g.primary, "group %d: primary lost: %s; %d attempts in flight to it, %d requests waiting", g.id,
		why, len(g.primary.inFlight), g.waiting)
	g.primary = nil
}

// adoptListedPrimary takes the primary from the endpoint list as long as there has been no evidence of a
// primary in the group.
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
