package policy

import "marblespan/internal/clock"

// requestQueue holds the requests of one class that wait in one group. Its operations take a time that does
// not grow with the number of waiting requests, or only with its logarithm.
type requestQueue struct {
	class   *classState
	onTime  requestList // an answer is still expected within the objective
	late    requestList // an answer is expected after the objective, and before the request expires
	changes changeHeap  // all requests of both lists
}

// queuePlace is a request's place in its queue. A request that does not wait keeps its last sequence only.
type queuePlace struct {
	queue     *requestQueue
	list      *requestList
	previous  *request // in list
	next      *request // in list
	sequence  uint64   // order in which requests began to wait
	changeAt  clock.Micros
	heapIndex int // in queue.changes
}

// queued reports whether the request waits.
func (p *queuePlace) queued() bool { return p.queue != nil }

// add adds a request whose answer is still expected within its objective. The request leaves the list onTime
// when an answer is expected after changeAt.
func (q *requestQueue) add(req *request, sequence uint64, changeAt clock.Micros) {
	req.queuePlace = queuePlace{queue: q, sequence: sequence, changeAt: changeAt}
	q.onTime.append(req)
	q.changes.push(req)
}

// remove removes a waiting request.
func (q *requestQueue) remove(req *request) {
	req.list.remove(req)
	q.changes.remove(req)
	req.queuePlace = queuePlace{sequence: req.sequence}
}

// moveToLate moves a request from the list onTime to the list late, which it leaves when an answer is
// expected after changeAt.
func (q *requestQueue) moveToLate(req *request, changeAt clock.Micros) {
	q.onTime.remove(req)
	q.late.append(req)
	q.changes.remove(req)
	req.changeAt = changeAt
	q.changes.push(req)
}

// nextChange returns the request whose changeAt is the earliest, or nil if no request waits.
func (q *requestQueue) nextChange() *request {
	if len(q.changes) == 0 {
		return nil
	}
	return q.changes[0]
}

// requestList is a doubly linked list of waiting requests. A request is in at most one list.
type requestList struct{ first, last *request }

func (l *requestList) append(req *request) {
	req.list, req.previous, req.next = l, l.last, nil
	if l.last == nil {
		l.first = req
	} else {
		l.last.next = req
	}
	l.last = req
}

func (l *requestList) remove(req *request) {
	if req.previous == nil {
		l.first = req.next
	} else {
		req.previous.next = req.next
	}
	if req.next == nil {
		l.last = req.previous
	} else {
		req.next.previous = req.previous
	}
	req.list, req.previous, req.next = nil, nil, nil
}

// changeHeap is a binary heap of waiting requests, the one with the earliest changeAt first.
type changeHeap []*request

func (h *changeHeap) push(req *request) {
	req.heapIndex = len(*h)
	*h = append(*h, req)
	h.up(req.heapIndex)
}

func (h *changeHeap) remove(req *request) {
	i, last := req.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h changeHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// up moves the request at an index towards the root until its parent is not later.
func (h changeHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].changeAt <= h[i].changeAt {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the request at an index away from the root until no child is earlier.
func (h changeHeap) down(i int) {
	for {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].changeAt < h[earliest].changeAt {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		h.swap(i, earliest)
		i = earliest
	}
}
