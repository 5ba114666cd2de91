package policy

import "marblespan/internal/clock"

// Parameters of the adaptive concurrency limit. Shares are in thousandths.
const (
	initialFleetLimit    = 12  // initial limit of attempts in flight at one server, over all gateways
	limitFloorDivisor    = 3   // cuts leave at least the initial limit divided by this ...
	minAdmissionChance   = 50  // ... or this chance of one attempt, whichever is higher
	latencyRatioHigh     = 450 // ratio of mean latency to objective above which a server's limit is cut
	latencyRatioLow      = 350 // ratio of mean latency to objective below which a limit in full use grows
	limitCutFactor       = 850 // share of the limit that remains after a cut
	maxCuts              = 8   // maximum of additional cuts: one for each half objective since the last outcome
	limitRecoveryDivisor = 8   // a quick answer raises a limit below one by its distance to one, divided by this
	smoothing            = 12  // number of outcomes that a moving mean covers
)

// concurrencyLimit is the number of attempts that this gateway may have in flight at one server, and the
// state from which it is adapted.
type concurrencyLimit struct {
	limit         int64 // in thousandths of an attempt; below one it is the chance that a request is admitted
	limitCutAt    clock.Micros
	latencyRatio  int64 // moving mean of the ratio of latency to objective, in thousandths
	latencySeenAt clock.Micros

	backOffUntil clock.Micros // until then nothing is sent to the server, which was overloaded or unreachable
	backOff      clock.Micros // length of the last pause in sending; doubles each time
}

// initialLimit returns the limit of a server about which nothing has been learned.
func (r *Router) initialLimit() int64 {
	return max(one, initialFleetLimit*one/int64(r.settings.Gateways))
}

// observeLatency compares a server's latency with the objective of the class and adapts the limit. The limit
// is cut when the mean ratio of latency to objective is above latencyRatioHigh. The limit grows when nearly
// all of the limit is in use and the mean ratio is below latencyRatioLow. Adapting the limit guards against
// slow servers, overloaded servers and starting servers. The mean weights an outcome by the time since the
// previous outcome, so that gateways with little traffic adapt the limit too.
//
// Trade-off: a run of costly requests reduces the use of a healthy server. At a gateway with little traffic,
// a single slow answer has the same effect.
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
		s.limit += max(growth, (one-min(s.limit, one))/limitRecoveryDivisor)
	}
	s.latencySeenAt = r.now
}

// cutLimit lowers a server's limit. The longer ago the server's previous outcome was, the deeper the cut,
// because where outcomes are rare, each outcome stands for many outcomes at other gateways. The limit does
// not fall below a part of the initial limit, for two reasons: with so few attempts in flight the latency is
// caused by the server itself, and a lower limit would recover slowly.
func (r *Router) cutLimit(s *server) {
	floor := max(minAdmissionChance, initialFleetLimit*one/limitFloorDivisor/int64(r.settings.Gateways))
	for n := min((r.now-max(s.limitCutAt, s.latencySeenAt))/(r.minObjective/2), maxCuts); n >= 0; n-- {
		s.limit = max(floor, s.limit*limitCutFactor/one)
	}
	s.limitCutAt = r.now
}

// backOffFrom stops sending to a server that rejected a request for overload or could not be reached. The
// period doubles each time until the server serves an attempt. Without the pause, such a server would
// look idle, because its attempts fail at once. Possible causes are that its queue is full, that it
// accepts no connection, or that it drains and the endpoint list does not show this yet.
//
// Trade-off: some short back-offs are unnecessary.
func (r *Router) backOffFrom(s *server) {
	r.cutLimit(s)
	s.backOff = min(max(s.backOff*2, r.sweepInterval()), r.minObjective)
	s.backOffUntil = r.now + s.backOff
}
