package policy

import "marblespan/internal/clock"

// The tuned numbers of outlier detection.
const (
	outlierErrorShare = 400 // share of failed outcomes at which a replica is ejected, in thousandths ...
	outlierPeerFactor = 2   // ... if it is this many times the mean of its peers
)

// outlierState is how a server compares with its peers.
type outlierState struct {
	errorShare   int64 // moving share of attempts that failed, in thousandths
	ejected      bool
	ejectedAt    clock.Micros
	ejectionTime clock.Micros // of the last ejection; doubles
}

// detectOutlier follows the share of attempts that ended in an error, a broken connection or a
// rejection for overload, and ejects a replica that is far worse than its peers. It never acts
// where all are as bad. Slowness is left to the concurrency limit.
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

// unejectExpired ends an ejection whose time is over: one attempt at a time, and the next failed
// one ejects again. It also doubles a limit below one attempt each time so long has passed without
// a cut, or a server that is seldom used would stay avoided for good. Resetting the limit at once
// would have hundreds of gateways, each with few outcomes, overload a server again and again.
//
// The harm: a server that is sound again is used fully some seconds later.
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
