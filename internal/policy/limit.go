package policy

import "marblespan/internal/clock"

// The tuned numbers of the adaptive concurrency limit. Shares are in thousandths.
const (
	initialFleetLimit  = 12  // attempts in flight at one server, of all gateways, before anything is learned
	limitFloorPart     = 3   // cuts leave this part of the initial limit ...
	minAdmissionChance = 50  // ... or this chance of one attempt
	latencyRatioHigh   = 450 // mean latency over objective at which a server's limit is cut
	latencyRatioLow    = 350 // below it a limit in full use grows
	limitCutFactor     = 850 // what a cut leaves of a limit
	maxCuts            = 8   // a cut counts for the half objectives since the last outcome, up to so many more
	limitRecoveryPart  = 8   // a limit below one grows by this part of what it lacks with each quick answer
	smoothing          = 12  // outcomes that a moving mean looks back on
)

// concurrencyLimit is how many attempts this gateway lets be in flight at one server, and what it
// follows.
type concurrencyLimit struct {
	limit         int64 // in thousandths of an attempt; below one it is the chance that a request may go
	limitCutAt    clock.Micros
	latencyRatio  int64 // moving mean of latency over objective, in thousandths
	latencySeenAt clock.Micros

	backOffUntil clock.Micros // it rejected a request unseen or could not be reached: left alone until then
	backOff      clock.Micros // the last such time; doubles
}

// initialLimit is a server's limit before anything is learned of it.
func (r *Router) initialLimit() int64 {
	return max(one, initialFleetLimit*one/int64(r.settings.Gateways))
}

// observeLatency follows a server's latency against the objectives, and adapts the limit: it is cut
// when the mean nears the objective, and grows when it is in full use and answers stay quick. This
// guards against slow, overloaded and starting servers alike. The mean weighs an outcome by the
// time since the last one, so that gateways with little traffic learn as well.
//
// The harm: a run of costly requests holds a sound server back; at a gateway with little traffic
// one slow answer does.
func (r *Router) observeLatency(s *server, req *request, latency clock.Micros) {
	ratio := min(int64(latency*one/req.class.LatencyObjective), 4*one)
	elapsed := int64(r.now - s.latencySeenAt)
	share := max(one/smoothing, elapsed*one/(elapsed+int64(r.maxObjective)))
	s.latencyRatio += (ratio - s.latencyRatio) * share / one
	switch {
	case s.latencyRatio > latencyRatioHigh:
		if r.now-s.limitCutAt > r.minObjective/2 {
			r.cutLimit(s)
		}
	case s.latencyRatio < latencyRatioLow && int64(len(s.inFlight)+2)*one > s.limit:
		growth := one * one / max(s.limit, one) / int64(r.settings.Gateways)
		s.limit += max(growth, (one-min(s.limit, one))/limitRecoveryPart)
	}
	s.latencySeenAt = r.now
}

// cutLimit lowers a server's limit, the more the longer nothing was heard of it: where outcomes are
// rare, each stands for many at other gateways. The floor is a part of the initial limit: with so
// few attempts the latency is the server's own, and a limit that low recovers slowly.
func (r *Router) cutLimit(s *server) {
	floor := max(minAdmissionChance, initialFleetLimit*one/limitFloorPart/int64(r.settings.Gateways))
	for n := min((r.now-max(s.limitCutAt, s.latencySeenAt))/(r.minObjective/2), maxCuts); n >= 0; n-- {
		s.limit = max(floor, s.limit*limitCutFactor/one)
	}
	s.limitCutAt = r.now
}

// backOffFrom leaves a server alone that rejected a request unseen or could not be reached, twice
// as long each time until it answers. Such a server answers at once and looks idle: a full queue,
// no connection, a drain not yet listed.
//
// The harm: a short back-off too many.
func (r *Router) backOffFrom(s *server) {
	r.cutLimit(s)
	s.backOff = min(max(s.backOff*2, r.sweepInterval()), r.minObjective)
	s.backOffUntil = r.now + s.backOff
}
