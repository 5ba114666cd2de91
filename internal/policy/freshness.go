package policy

import "marblespan/internal/clock"

// This file determines the log position that a replica needs to serve a read, and which part of that the
// router has to check itself. It also decides whether an attempt that was sent earlier may still begin: an
// attempt may wait for its connection for up to the connect timeout, and meanwhile data gets older, and the
// router learns of writes, roles and positions.

// requiredPosition returns the log position that a replica must have reached to serve a read sent now.
func (r *Router) requiredPosition(req *request) Position {
	switch req.class.Need {
	case NeedBounded:
		return r.now - req.class.StalenessBound
	case NeedSession:
		return max(req.statedPosition, req.unstatedPosition, r.sessionPosition(req))
	}
	return 0
}

// sessionPosition returns the log position of the session's writes through this gateway, if the router
// remembers them. A read must see each of them that has been answered by now; a write that is still in flight
// may already be committed, so the position is then the current time.
func (r *Router) sessionPosition(req *request) Position {
	switch {
	case req.session == nil || r.settings.SessionPositionsCarried:
		return 0
	case req.session.writesInFlight > 0:
		return r.now
	}
	return req.session.position
}

// positionToVerify returns the log position that a replica must be known to have reached before it may be
// sent a read. If servers check freshness, that is only the part of the required position that they cannot
// check, because the statement does not state it.
func (r *Router) positionToVerify(req *request) Position {
	if req.settings.FreshnessCheck == FreshnessCheckNone {
		return r.requiredPosition(req)
	}
	position := req.unstatedPosition
	if req.checksSession {
		position = max(position, r.sessionPosition(req))
	}
	if position <= req.statedPosition {
		return 0
	}
	return position
}

// knownToHave returns those servers that are known to have reached a log position.
func knownToHave(servers []*server, position Position) (out []*server) {
	if position == 0 {
		return servers
	}
	for _, s := range servers {
		if s.position >= position {
			out = append(out, s)
		}
	}
	return out
}

// freshUntil returns the time up to which a server is known to be fresh enough for a read that replicas
// may serve. It returns 0 if time does not change the server's freshness for the read, or if the server
// checks freshness itself.
func (r *Router) freshUntil(req *request, s *server) clock.Micros {
	serverChecks := req.settings.FreshnessCheck != FreshnessCheckNone
	if req.class.Need != NeedBounded || s == req.group.primary || serverChecks {
		return 0
	}
	return s.position + req.class.StalenessBound
}

// Confirm reports whether an attempt that has a connection now may still begin, and until when (0: no limit).
// An attempt that may not begin ends as ResultNotSent.
func (r *Router) Confirm(now clock.Micros, id string, attempt int) (until clock.Micros, ok bool) {
	r.now = max(r.now, now)
	req := r.requests[id]
	if req == nil || req.done || attempt < 0 || attempt >= len(req.attempts) || !req.attempts[attempt].inFlight {
		return 0, false
	}
	s := req.attempts[attempt].server
	return r.freshUntil(req, s), r.mayServe(req, s)
}

// mayServe reports whether a server's role and known position still allow it to serve a request. A write
// may go to any server while no primary is known, because a server that is not the primary rejects it.
func (r *Router) mayServe(req *request, s *server) bool {
	if s == req.group.primary || req.class.Need == NeedAny {
		return true
	}
	switch req.class.Need {
	case NeedWrite:
		return req.group.primary == nil
	case NeedFresh:
		return false
	}
	return s.position >= r.positionToVerify(req)
}
