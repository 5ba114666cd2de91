package policy

import "marblespan/internal/clock"

// Parameters of outlier detection.
const (
	outlierErrorShare = 400 // share of failed outcomes at which a replica is ejected, in thousandths ...
	outlierPeerFactor = 2   // ... if the share is at least this many times the mean share of the other replicas
)

// outlierState is the state of outlier detection for one server.
type outlierState struct {
	errorShare   int64 // moving share of attempts that failed, in thousandths
	ejected      bool
	ejectedAt    clock.Micros
	ejectionTime clock.Micros // length of the last ejection; doubles
}

// detectOutlier updates the share of a server's attempts that ended in an error, a broken connection or a
// rejection for overload, and ejects a replica whose share is far higher than that of its peers. If all
// replicas fail equally often, none is ejected. Slow servers are handled by the concurrency limit instead.
func (r *Router) detectOutlier(s *server, failed bool) {
	s.errorShare -= s.errorShare / smoothing
	if failed {
		s.errorShare += one / smoothing
	}
	if s.ejected || s.errorShare < outlierErrorShare || s == s.group.primary {
		return
	}
	peerSum, peers := int64(0), int64(0)
	for _, p := range s.group.servers {
		if p != s && p != s.group.primary && r.inService(p) && !p.ejected {
			peerSum = peerSum + p.errorShare
			peers = peers + 1
		}
	}
	if peers == 0 || peerSum/peers*outlierPeerFactor > s.errorShare {
		return
	}
	s.ejected = true
	s.ejectedAt = r.now
	s.ejectionTime = min(max(s.ejectionTime*2, r.maxObjective), r.maxObjective*maxBackOffFactor)
	r.logServer(s, "server %d ejected for %d ms, error share %d", s.id, s.ejectionTime/1000, s.errorShare)
}

// unejectExpired ends an ejection whose time is over. After the ejection, the server gets one attempt at a
// time, and the next failed attempt ejects the server again. unejectExpired also doubles a limit below one
// attempt after each long period without a cut, because a server that is seldom used would otherwise be
// avoided forever. If the limit were reset at once, hundreds of gateways, each with few outcomes, would
// overload a server again and again.
//
// Trade-off: a server that has recovered is used fully only some seconds later.
func (r *Router) unejectExpired(s *server) {
	if s.ejected && r.now-s.ejectedAt >= s.ejectionTime {
		s.ejected = false
		s.limit = one
		s.latencyRatio = latencyRatioHigh
		s.errorShare = outlierErrorShare - 1
	}
	if s.limit < one && r.now-s.limitCutAt > r.maxObjective*maxBackOffFactor {
		s.limit = min(s.limit*2, one)
		s.limitCutAt = r.now
	}
}
