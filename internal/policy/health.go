package policy

import "marblespan/internal/clock"

// checkTokensPerArrival is how many health checks for freshness, and of dead servers, each arrival
// pays for, in thousandths.
const checkTokensPerArrival = 250

// health is whether a server is reachable, and how it is checked.
type health struct {
	lastSeenAt      clock.Micros // last sign of life
	suspect         bool         // a connection failed or broke: a health check shall tell whether it is down
	down            bool         // its health checks fail
	downAt          clock.Micros
	recheckInterval clock.Micros // while it is down; doubles
	checking        bool         // a health check is in flight
	checkedAt       clock.Micros // start of the last health check
	failedChecks    int          // in a row
}

// replicationState is a server's place in its group's replication.
type replicationState struct {
	position     Position // the highest known
	role         Role
	roleProvenAt clock.Micros // time of the newest proof of the role

	misdirectedUntil   clock.Micros // it turned a read away as too far behind: tried only if known fresh
	misdirectedBackOff clock.Micros // the last such time; doubles
	writeMisdirectedAt clock.Micros // last time that it turned away a write or a fresh read
}

// checkBudget bounds the health checks for freshness and of dead servers.
type checkBudget struct {
	checkTokens int64 // in thousandths; filled by arrivals
}

// observeAlive takes in a sign of life. A server that was down may have restarted, so it enters
// slow start unless something shows that it ran all the while: an answer to an attempt made before,
// or a position that it can only have reached since. This avoids slow start for servers that only
// this gateway could not reach.
func (r *Router) observeAlive(s *server, ran bool) {
	s.lastSeenAt = r.now
	s.failedChecks = 0
	s.suspect = false
	if s.down {
		s.down = false
		s.recheckInterval = 0
		s.limit = one
		if !ran {
			s.startedAt = max(s.startedAt, r.now)
		}
		r.logServer(s, "server %d is back, in slow start: %v", s.id, !ran)
	}
}

// markDown takes a server out of service until a health check or an answer shows it alive, and
// cancels its idempotent attempts so that they are retried elsewhere. Each further failed check
// doubles the interval to the next.
func (r *Router) markDown(s *server) {
	if !s.down {
		s.down = true
		s.downAt = r.now
		s.recheckInterval = r.settings.ConnectTimeout
		r.logServer(s, "server %d is down", s.id)
	}
	s.recheckInterval = min(s.recheckInterval*2, r.maxObjective)
	if s.group.primary == s {
		r.losePrimary(s.group, "its health checks fail")
	}
	for _, a := range s.inFlight {
		if a.request.settings.CanCancel && !a.request.done && a.request.class.Effect == EffectIdempotent {
			r.emit(Cancel{ID: a.request.id, Attempt: a.index})
		}
	}
}

// startHealthCheck asks a server for its load report.
func (r *Router) startHealthCheck(s *server) {
	s.checking = true
	s.checkedAt = r.now
	r.emit(HealthCheck{Server: s.id})
}

// healthCheckDue tells whether to check a server's health: to find a lost primary, to see whether a
// server that is down is back, and when one with attempts in flight has gone silent. An answer that
// told a server's role is as good as a check, and arrivals pay for the checks of servers that are
// down.
func (r *Router) healthCheckDue(g *group, s *server) bool {
	since := r.now - s.checkedAt
	switch {
	case !r.mayHealthCheck(g, s):
		return false
	case s.down:
		return since >= s.recheckInterval && takeToken(&r.checkTokens) || since >= r.maxObjective*maxBackOffFactor
	case s.suspect:
		return since >= r.sweepInterval()
	case g.primary == nil:
		return r.now-max(s.checkedAt, s.roleProvenAt) >= r.minObjective/2
	case len(s.inFlight) > 0 && r.now-max(s.lastSeenAt, s.busySince) > r.minObjective:
		return since >= r.settings.ConnectTimeout
	}
	return false
}

// mayHealthCheck tells whether a health check is allowed and its result would be used: a request
// came to the group since the last one, or waits there or at the server. It guards against health
// checks that outnumber requests.
//
// The harm: a restart that the endpoint list does not tell is found later.
func (r *Router) mayHealthCheck(g *group, s *server) bool {
	used := g.lastRequestAt > 0 && g.lastRequestAt >= s.checkedAt || len(g.queue)+len(s.inFlight) > 0
	return used && r.settings.CanHealthCheck && !s.checking && !s.excluded
}

// checkStalestReplicas checks replicas whose known position is older than half the smallest bound,
// the one checked longest ago first, as far as the arrivals pay for it.
//
// The harm: with little traffic most positions are old.
func (r *Router) checkStalestReplicas(g *group) {
	for r.settings.FreshnessCheck != FreshnessCheckNone && r.checkTokens >= one {
		var stalest *server
		for _, s := range g.servers {
			due := s != g.primary && !s.down &&
				r.now-max(s.position, s.checkedAt) > r.minBound/2 && r.mayHealthCheck(g, s)
			if due && (stalest == nil || s.checkedAt < stalest.checkedAt) {
				stalest = s
			}
		}
		if stalest == nil || !takeToken(&r.checkTokens) {
			return
		}
		r.startHealthCheck(stalest)
	}
}

// healthCheckEnded takes in the result of a health check. A report is as old as its position: that
// dates the role in it. Two failures in a row take a server down.
func (r *Router) healthCheckEnded(e HealthCheckEnded) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	s.checking = false
	switch e.Result {
	case ResultOK:
		r.observeAlive(s, e.LoadReport.Position > max(s.downAt, r.now-r.minBound))
		if e.LoadReport.HasPosition {
			r.observePosition(s, e.LoadReport.Position)
			r.observeRole(s, e.LoadReport.Role, min(e.LoadReport.Position, r.now))
		}
		r.dispatch(s.group)
	case ResultConnectFailed, ResultReset, ResultTimeout:
		s.suspect = true
		s.failedChecks++
		if s.failedChecks > 1 || s.down {
			r.markDown(s)
		}
	}
}

// observePosition takes in how far a server has applied the log. A position never goes back, and
// one in the future is not believed.
func (r *Router) observePosition(s *server, pos Position) {
	if pos > s.position && pos <= r.now {
		s.position = pos
	}
}

// observeMisdirected notes that a server turned a request away untouched: it is not the primary, or
// too far behind.
func (r *Router) observeMisdirected(s *server, req *request) {
	if needsPrimary(req) {
		s.writeMisdirectedAt = r.now
		r.observeRole(s, RoleReplica, r.now)
		return
	}
	s.misdirectedBackOff = min(max(s.misdirectedBackOff*2, r.minBound/2), r.maxObjective*maxBackOffFactor)
	s.misdirectedUntil = r.now + s.misdirectedBackOff
	req.misdirectedBy = append(req.misdirectedBy, s.id)
}
