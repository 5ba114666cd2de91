package policy

import "marblespan/internal/clock"

// The tuned numbers of slow start.
const (
	maxSlowStartDraw = 1500 // in thousandths of one request; above one, as the share of the budget is a guess
	unseenWorkPart   = 4    // a request of a class not yet seen counts as this part of its objective
)

// slowStartState is what was sent to a server in slow start.
type slowStartState struct {
	slowStartSends   []slowStartSend // within the last overload window
	slowStartDraw    int64           // against a budget below one send, in thousandths
	slowStartDrawnAt clock.Micros
}

// slowStartSend is a send to a server in slow start.
type slowStartSend struct {
	at   clock.Micros
	work int64 // expected, in microseconds
}

// workMeter measures the work that one server does for this gateway, in microseconds of latency.
type workMeter struct {
	workServed      int64 // since workSince
	workSince       clock.Micros
	usualWork       int64 // moving mean of one server's work in an overload window
	meanRequestWork int64 // moving mean of one request's work
}

// slowStartWeight is the least share of its capacity that a server has by now, in thousandths: from
// the settings' minimum at its start, in a straight line, to one.
func (r *Router) slowStartWeight(s *server) int64 {
	age := r.now - s.startedAt
	if s.startedAt == 0 || age >= r.settings.SlowStartWindow {
		return one
	}
	first := r.settings.SlowStartMinWeight
	return first + (one-first)*int64(max(age, 0))/int64(r.settings.SlowStartWindow)
}

// withinSlowStartBudget keeps the work sent within any overload window under what brings a server
// in slow start down. Each gateway keeps to its own share, measured by the work that it usually
// gets from one server, so that all gateways together stay below the overload however unevenly they
// are used. Less than one request is a chance, drawn once a window. Every attempt counts as the
// usual work of its class, rejected ones too.
//
// The harm: capacity comes back slowly.
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
	share := max(r.usualWork, initialFleetLimit*r.meanRequestWork/int64(r.settings.Gateways))
	return used < share*r.settings.OverloadFactor/one*weight/one
}

// expectedWork is the work that a request may be, as far as its class has been seen, in
// microseconds.
func (r *Router) expectedWork(req *request) int64 {
	if t := req.class.typicalLatency; t > 0 {
		return int64(t)
	}
	return int64(req.class.LatencyObjective / unseenWorkPart)
}

// recordWork adds an answered request to the meter, and takes the mean over the servers in service
// after each window.
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
	r.usualWork += (mean - r.usualWork) / 2
	r.workServed = 0
	r.workSince = r.now
}
