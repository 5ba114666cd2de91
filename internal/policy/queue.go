package policy

import (
	"slices"

	"marblespan/internal/clock"
)

// Parameters of the queue. Shares are in thousandths.
const (
	expectedLatencyFactor = 2   // an answer is expected within this many times the typical latency ...
	maxExpectedShare      = 750 // ... but at most within this share of the objective
	infeasibleDivisor     = 4   // nothing is sent with less time left than the expected latency divided by this
)

// enqueue adds a request to its group's queue. The dispatch that follows may send it at once.
func (r *Router) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		req.group.queue = append(req.group.queue, req)
	}
}

// dispatch serves a group's queue: the highest value per expected work first, and the oldest first among
// equals. A request that is likely to be late comes last, and gets its final answer now if the others
// have left no capacity for it. A request with too little time left for any attempt is finished.
func (r *Router) dispatch(g *group) {
	queue := slices.Clone(g.queue)
	slices.SortStableFunc(queue, func(a, b *request) int { return int(r.dispatchValue(b) - r.dispatchValue(a)) })
	for _, req := range queue {
		if req.done {
			continue
		}
		if r.now+r.expectedLatency(req)/infeasibleDivisor > r.expiryOf(req) {
			r.finish(req, ReasonTooLate)
		} else if s := r.place(req); s != nil {
			r.send(req, s)
		} else if r.likelyLate(req) {
			r.finish(req, ReasonNoCapacity)
		}
	}
}

// place returns a server for a request, or nil if the request has to wait.
func (r *Router) place(req *request) *server {
	if needsPrimary(req) {
		return r.placeOnPrimary(req)
	}
	return r.placeRead(req)
}

// dispatchValue returns the value by which the queue is ordered: the weight that an answer can still
// earn, divided by the typical latency of the class in ms.
func (r *Router) dispatchValue(req *request) int64 {
	weight := req.class.PriorityWeight
	if r.likelyLate(req) {
		weight = 0
	} else if r.now+r.expectedLatency(req) > req.objectiveAt {
		weight = weight * req.class.LateWeight / one
	}
	return weight * one / int64(max(req.class.typicalLatency/1000, 1))
}

// expectedLatency returns the time within which an answer is expected, bounded by a share of the objective so
// that no new request looks infeasible. With less time left than the expected latency, most attempts would
// time out and waste the server's work.
//
// Trade-off: where latency varies little, some requests are given up that would have been answered just in
// time.
func (r *Router) expectedLatency(req *request) clock.Micros {
	return min(req.class.typicalLatency*expectedLatencyFactor, req.class.LatencyObjective*maxExpectedShare/one)
}

// likelyLate reports whether a request is likely to run out of time. Sending it while others wait would
// mostly waste the server's work. Sending it to a server with spare capacity takes nothing from other
// requests, and lets clients with short timeouts be served.
func (r *Router) likelyLate(req *request) bool { return r.now+r.expectedLatency(req) > r.expiryOf(req) }
