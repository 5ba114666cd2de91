package policy

import (
	"slices"

	"marblespan/internal/clock"
)

// The tuned numbers of the queue. Shares are in thousandths.
const (
	expectedLatencyFactor = 2   // an answer may well take this many times the usual latency ...
	maxExpectedShare      = 750 // ... but counts as no more than this share of the objective
	infeasiblePart        = 4   // with less left than this part of it nothing is sent
)

// enqueue puts a request into its group's queue; the dispatch that follows may send it at once.
func (r *Router) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		req.group.queue = append(req.group.queue, req)
	}
}

// dispatch serves a group's queue: the highest value for the expected work first, the oldest among
// equals. A request that is likely to be late comes last, and gets its final answer now if the
// others have left it no capacity.
func (r *Router) dispatch(g *group) {
	queue := slices.Clone(g.queue)
	slices.SortStableFunc(queue, func(a, b *request) int { return int(r.dispatchValue(b) - r.dispatchValue(a)) })
	for _, req := range queue {
		if req.done {
			continue
		}
		if r.now+r.expectedLatency(req)/infeasiblePart > r.endOf(req) {
			r.finish(req, ReasonTooLate)
		} else if s := r.place(req); s != nil {
			r.send(req, s)
		} else if r.likelyLate(req) {
			r.finish(req, ReasonNoCapacity)
		}
	}
}

// place finds a server for a request, or nil: it waits.
func (r *Router) place(req *request) *server {
	if needsPrimary(req) {
		return r.placeOnPrimary(req)
	}
	return r.placeRead(req)
}

// dispatchValue is the order of the queue: what an answer still earns, divided by the usual latency
// of the class in ms.
func (r *Router) dispatchValue(req *request) int64 {
	weight := req.class.PriorityWeight
	if r.likelyLate(req) {
		weight = 0
	} else if r.now+r.expectedLatency(req) > req.objectiveAt {
		weight = weight * req.class.LateWeight / one
	}
	return weight * one / int64(max(req.class.typicalLatency/1000, 1))
}

// expectedLatency is how long an answer may well take, bounded by a share of the objective so that
// no new request looks infeasible. With less time left most attempts would time out and waste the
// server's work.
//
// The harm: where latency varies little, some requests are given up that would just have been
// answered.
func (r *Router) expectedLatency(req *request) clock.Micros {
	return min(req.class.typicalLatency*expectedLatencyFactor, req.class.LatencyObjective*maxExpectedShare/one)
}

// likelyLate tells that a request may well run out of time. Sent while others wait, it would mostly
// waste the server's work; where a server has capacity left it costs nobody, and clients with short
// timeouts are still served.
func (r *Router) likelyLate(req *request) bool { return r.now+r.expectedLatency(req) > r.endOf(req) }
