package routing

import (
	"container/heap"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// timers holds the module's timers by their time, and by their order among equals.
type timers struct {
	heap timerHeap
	n    uint64
}

type timer struct {
	at    clock.Micros
	n     uint64
	event policy.Timer
}

func (t *timers) set(at clock.Micros, event policy.Timer) {
	t.n++
	heap.Push(&t.heap, timer{at, t.n, event})
}

func (t *timers) first() (clock.Micros, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

func (t *timers) due(now clock.Micros) (policy.Timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return policy.Timer{}, false
	}
	return heap.Pop(&t.heap).(timer).event, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
