package policy

import "marblespan/internal/clock"

// Parameters of slow start.
const (
	// maxSlowStartDraw is the upper bound of slowStartDraw, in thousandths of one request. It is above one
	// request because the budget is based on an estimate of this gateway's share.
	maxSlowStartDraw = 1500
	// The expected work of a class without answers is its latency objective divided by unseenWorkDivisor.
	unseenWorkDivisor = 4
)

// slowStartState records what was sent to a server in slow start.
type slowStartState struct {
	slowStartSends   []slowStartSend // sends within the last overload window
	slowStartDraw    int64           // random number for a budget below one send, in thousandths
	slowStartDrawnAt clock.Micros
}

// slowStartSend is a send to a server in slow start.
type slowStartSend struct {
	at   clock.Micros
	work int64 // expected work, in microseconds
}

// workMeter measures the work that one server does for this gateway, in microseconds of latency.
type workMeter struct {
	workServed      int64 // work served since workSince
	workSince       clock.Micros
	meanServerWork  int64 // moving mean of one server's work in an overload window
	meanRequestWork int64 // moving mean of one request's work
}

// slowStartWeight returns the smallest share of its capacity that a server can have now, in thousandths. The
// share grows linearly from SlowStartMinWeight at the start of the server to one at the end of slow start.
func (r *Router) slowStartWeight(s *server) int64 {
	age := r.now - s.startedAt
	if s.startedAt == 0 || age >= r.settings.SlowStartWindow {
		return one
	}
	first := r.settings.SlowStartMinWeight
	return first + (one-first)*int64(max(age, 0))/int64(r.settings.SlowStartWindow)
}

// withinSlowStartBudget reports whether a request may be sent to a server in slow start. It keeps the
// work sent within any overload window below the load that makes such a server fail. Each gateway keeps
// to its own share of that load, which is based on the work that one server usually does for this
// gateway. All gateways together thereby stay below the overload, even if some of them get far more
// requests than others. A budget of less than one request is used as a probability, with one random
// number per window. Every attempt counts as the typical work of its class, even if it is rejected.
//
// Trade-off: capacity comes back slowly.
func (r *Router) withinSlowStartBudget(s *server, req *request, weight int64) bool {
	for len(s.slowStartSends) > 0 && r.now-s.slowStartSends[0].at >= r.settings.OverloadWindow {
		s.slowStartSends = s.slowStartSends[1:]
	}
	if r.now-s.slowStartDrawnAt >= r.settings.OverloadWindow {
		s.slowStartDrawnAt = r.now
		s.slowStartDraw = int64(r.rng.below(maxSlowStartDraw))
	}
	used := s.slowStartDraw * r.expectedWork(req) / one
	for _, send := range s.slowStartSends {
		used += send.work
	}
	share := max(r.meanServerWork, initialFleetLimit*r.meanRequestWork/int64(r.settings.Gateways))
	return used < share*r.settings.OverloadFactor/one*weight/one
}

// expectedWork returns the work that a request is expected to cause, in microseconds: the typical latency
// of its class, or a part of the objective as long as the class has no answers.
func (r *Router) expectedWork(req *request) int64 {
	if t := req.class.typicalLatency; t > 0 {
		return int64(t)
	}
	return int64(req.class.LatencyObjective / unseenWorkDivisor)
}

// recordWork adds an answered request to the meter. After each overload window it updates meanServerWork with
// the mean work per server in service.
func (r *Router) recordWork(req *request) {
	r.workServed += r.expectedWork(req)
	r.meanRequestWork += (r.expectedWork(req) - r.meanRequestWork) / smoothing
	elapsed := r.now - r.workSince
	if elapsed < r.settings.OverloadWindow {
		return
	}
	servers := int64(0)
	for _, s := range r.servers {
		if r.inService(s) {
			servers++
		}
	}
	mean := r.workServed * int64(r.settings.OverloadWindow) / int64(elapsed) / max(servers, 1)
	r.meanServerWork += (mean - r.meanServerWork) / 2
	r.workServed = 0
	r.workSince = r.now
}
