package policy

import (
	"cmp"
	"slices"

	"marblespan/internal/clock"
)

// Parameters of the queue. Shares are in thousandths.
const (
	expectedLatencyFactor = 2   // an answer is expected within this many times the typical latency ...
	maxExpectedShare      = 750 // ... but at most within this share of the objective
	infeasibleDivisor     = 4   // nothing is sent with less time left than the expected latency divided by this
)

// maxFailedPlacements is how many requests of one list a dispatch tries in vain, unless a sweep dispatches.
// Requests of one class mostly need the same servers, so the ones behind them would be tried in vain too.
const maxFailedPlacements = 16

// dispatcher is the state that dispatching needs beside the queues of the groups.
type dispatcher struct {
	lastSequence uint64
	lists        []dispatchList // reused by each dispatch
	likelyLate   []*request     // reused by each dispatch
}

// dispatchList is a list of waiting requests while it is dispatched.
type dispatchList struct {
	next     *request // the next request to try; nil: none is left
	value    int64    // the value by which the lists are ordered; see valueOf
	failures int      // requests that were tried in vain
}

// enqueue adds a request to its group's queue. The dispatch that follows may send it at once.
func (r *Router) enqueue(req *request) {
	if req.queued() {
		return
	}
	r.lastSequence++
	req.group.waiting++
	req.group.queueOf(req.class).add(req, r.lastSequence, min(req.objectiveAt, r.expiryOf(req)))
}

// dequeue removes a request from its group's queue, if it waits.
func (r *Router) dequeue(req *request) {
	if req.queued() {
		req.group.waiting--
		req.queue.remove(req)
	}
}

// queueOf returns the group's queue of a class, and creates it if it does not exist.
func (g *group) queueOf(class *classState) *requestQueue {
	for _, q := range g.queues {
		if q.class == class {
			return q
		}
	}
	q := &requestQueue{class: class}
	g.queues = append(g.queues, q)
	return q
}

// dropFormerQueues drops the empty queues of classes that are not in force any more.
func (r *Router) dropFormerQueues(g *group) {
	g.queues = slices.DeleteFunc(g.queues, func(q *requestQueue) bool {
		return q.nextChange() == nil && !slices.Contains(r.classes, q.class)
	})
}

// dispatch serves a group's queue: the highest value per expected work first, and the oldest first among
// equals. A request that is likely to be late comes last, and gets its final answer now if the others
// have left no capacity for it. A request with too little time left for any attempt is finished.
//
// Trade-off: while many requests wait, one that could be sent may wait for the next sweep behind others of
// its class that cannot.
func (r *Router) dispatch(g *group) { r.dispatchUpTo(g, maxFailedPlacements) }

// dispatchUpTo does the work of dispatch. It tries up to maxFailures requests of each list in vain.
func (r *Router) dispatchUpTo(g *group, maxFailures int) {
	if g.waiting == 0 {
		return
	}
	r.prepareLists(g)
	for {
		list := firstList(r.lists)
		if list == nil {
			break
		}
		req := list.next
		list.next = req.next // before send removes the request from its list
		if s := r.place(req); s != nil {
			r.send(req, s)
		} else if list.failures++; list.failures >= maxFailures {
			list.next = nil
		}
	}
	for _, req := range r.likelyLate {
		r.dispatchLikelyLate(req)
	}
	clear(r.lists)
	clear(r.likelyLate)
}

// prepareLists moves requests between the lists of a group's queues as time requires, and collects the lists
// to dispatch and the requests that are likely to be late.
func (r *Router) prepareLists(g *group) {
	r.lists, r.likelyLate = r.lists[:0], r.likelyLate[:0]
	for _, q := range g.queues {
		r.updateQueue(q)
		weight := q.class.PriorityWeight
		for _, list := range []dispatchList{
			{next: q.onTime.first, value: q.class.valueOf(weight)},
			{next: q.late.first, value: q.class.valueOf(weight * q.class.LateWeight / one)},
		} {
			if list.next != nil {
				r.lists = append(r.lists, list)
			}
		}
	}
	slices.SortFunc(r.likelyLate, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
}

// updateQueue moves the requests whose answers are expected after their objective to the list late. It
// removes and collects those that are likely to be late; dispatchLikelyLate sends or finishes each of them. A
// request that is late stays late when answers become faster.
func (r *Router) updateQueue(q *requestQueue) {
	answered := r.now + q.class.expectedLatency()
	for {
		req := q.nextChange()
		if req == nil || req.changeAt >= answered {
			return
		}
		if expiry := r.expiryOf(req); answered <= expiry {
			q.moveToLate(req, expiry)
			continue
		}
		r.dequeue(req)
		r.likelyLate = append(r.likelyLate, req)
	}
}

// firstList returns the list whose next request has the highest value, the oldest among equals, or nil if no
// request is left.
func firstList(lists []dispatchList) *dispatchList {
	var first *dispatchList
	for i := range lists {
		list := &lists[i]
		if list.next == nil {
			continue
		}
		if first == nil || list.value > first.value ||
			list.value == first.value && list.next.sequence < first.next.sequence {
			first = list
		}
	}
	return first
}

// dispatchLikelyLate sends or finishes a request that is likely to be late.
func (r *Router) dispatchLikelyLate(req *request) {
	if r.now+req.class.expectedLatency()/infeasibleDivisor > r.expiryOf(req) {
		r.finish(req, ReasonTooLate)
	} else if s := r.place(req); s != nil {
		r.send(req, s)
	} else {
		r.finish(req, ReasonNoCapacity)
	}
}

// place returns a server for a request, or nil if the request has to wait.
func (r *Router) place(req *request) *server {
	if needsPrimary(req) {
		return r.placeOnPrimary(req)
	}
	return r.placeRead(req)
}

// valueOf returns the value by which waiting requests are ordered: the weight that an answer can still earn,
// divided by the typical latency of the class in ms.
func (c *classState) valueOf(weight int64) int64 {
	return weight * one / int64(max(c.typicalLatency/1000, 1))
}

// expectedLatency returns the time within which an answer is expected, bounded by a share of the objective so
// that no new request looks infeasible. With less time left than the expected latency, most attempts would
// time out and waste the server's work: the request is likely to be late. Sending it while others wait would
// mostly waste the server's work, too. Sending it to a server with spare capacity takes nothing from other
// requests, and lets clients with short timeouts be served.
//
// Trade-off: where latency varies little, some requests are given up that would have been answered just in
// time.
func (c *classState) expectedLatency() clock.Micros {
	return min(c.typicalLatency*expectedLatencyFactor, c.LatencyObjective*maxExpectedShare/one)
}
