package policy

import "marblespan/internal/clock"

// checkTokensPerArrival is the number of tokens, in thousandths, that each arrival adds for health checks
// of freshness and of servers that are down.
const checkTokensPerArrival = 250

// health is whether a server is reachable, and the state of its health checks.
type health struct {
	lastSeenAt      clock.Micros // last sign of life
	suspect         bool         // a connection failed or broke; a health check must show if the server is down
	down            bool         // the server's health checks fail
	downAt          clock.Micros
	recheckInterval clock.Micros // time between health checks while the server is down; doubles each time
	checking        bool         // a health check is in flight
	checkedAt       clock.Micros // start of the last health check
	failedChecks    int          // consecutive failures
}

// replicationState is a server's role and position in the replication of its group.
type replicationState struct {
	position     Position // highest known log position
	role         Role
	roleProvenAt clock.Micros // time of the newest evidence of the role

	misdirectedUntil   clock.Micros // until then the server, which rejected a read, is used only if known fresh
	misdirectedBackOff clock.Micros // length of the last period up to misdirectedUntil; doubles each time
	writeMisdirectedAt clock.Micros // last time that the server rejected a write or a fresh read
}

// checkBudget bounds the health checks of freshness and of servers that are down.
type checkBudget struct {
	checkTokens int64 // in thousandths; added by arrivals
}

// observeAlive records a sign of life. A server that was down may have restarted, so the server enters slow
// start unless keptRunning is set. keptRunning means that there is evidence against a restart: the server
// answered an attempt that was sent before it was marked as down, or it reports a position that it can only
// have reached while it was marked as down. A server that was running but could not be reached from this
// gateway thereby skips slow start.
func (r *Router) observeAlive(s *server, keptRunning bool) {
	s.lastSeenAt = r.now
	s.failedChecks = 0
	s.suspect = false
	if s.down {
		s.down = false
		s.recheckInterval = 0
		s.limit = one
		if !keptRunning {
			s.startedAt = max(s.startedAt, r.now)
		}
		r.logServer(s, "server %d is back in service, slow start: %v", s.id, !keptRunning)
	}
}

// markDown takes a server out of service until a health check or an answer shows that it is alive. It cancels
// the idempotent attempts in flight at the server, so that they are retried elsewhere. Each further failed
// check doubles the interval to the next check, up to maxObjective.
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

// startHealthCheck requests a server's load report.
func (r *Router) startHealthCheck(s *server) {
	s.checking = true
	s.checkedAt = r.now
	r.emit(HealthCheck{Server: s.id})
}

// healthCheckDue reports whether to start a health check of a server: to see whether a server that is
// down or suspect can be reached, to find an unknown primary, or because a server with attempts in flight
// has gone silent. While the primary is unknown, an answer that shows the server's role replaces a check.
// A check of a server that is down takes a token; each arrival adds a part of a token. If the last check
// was maxBackOffFactor times maxObjective ago, the check is made even without a token.
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

// mayHealthCheck reports whether a health check is allowed and its result would be used: a request has
// arrived for the group since the last check of the server, or a request is waiting in the group or in flight
// at the server. This keeps health checks from outnumbering requests.
//
// Trade-off: a restart that the endpoint list does not report is found later.
func (r *Router) mayHealthCheck(g *group, s *server) bool {
	used := g.lastRequestAt > 0 && g.lastRequestAt >= s.checkedAt || g.waiting+len(s.inFlight) > 0
	return used && r.settings.CanHealthCheck && !s.checking && !s.excluded
}

// checkStalestReplicas starts health checks of replicas whose known position and last check are older
// than half the smallest staleness bound, as far as the tokens added by arrivals allow. The replica
// checked longest ago comes first.
//
// Trade-off: with little traffic most positions are old.
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

// healthCheckEnded processes the result of a health check. The position in a report shows how old the report
// is, so the role in the report counts as evidence only as of the time of that position. After two
// consecutive failures the server is marked as down.
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

// observePosition records how far a server has applied the log. The recorded position never goes back,
// and a reported position later than the current time is ignored.
func (r *Router) observePosition(s *server, pos Position) {
	if pos > s.position && pos <= r.now {
		s.position = pos
	}
}

// observeMisdirected records that a server did not serve a request because it is not the primary, or
// because it is too far behind.
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
