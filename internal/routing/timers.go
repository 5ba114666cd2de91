package routing

import (
	"container/heap"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// timers holds the timers that the router has set, ordered by time. Timers with the same time keep the order in which they were
// set.
type timers struct {
	heap         timerHeap
	lastSequence uint64
}

type timer struct {
	at       clock.Micros
	sequence uint64
	event    policy.Timer
}

func (t *timers) set(at clock.Micros, event policy.Timer) {
	t.lastSequence++
	heap.Push(&t.heap, timer{at, t.lastSequence, event})
}

// first returns the time of the next timer, and whether a timer is set.
func (t *timers) first() (clock.Micros, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// due removes and returns the next timer that is due at the time now, if a timer is due.
func (t *timers) due(now clock.Micros) (policy.Timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return policy.Timer{}, false
	}
	return heap.Pop(&t.heap).(timer).event, true
}

// timerHeap is the heap of timers for container/heap: the earliest first, and in the order of sequence among equal times.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
