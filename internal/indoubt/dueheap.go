package indoubt

import (
	"container/heap"

	"marblespan/internal/clock"
)

// dueHeap holds the writes that are due at some time, for container/heap: the earliest first.
type dueHeap []*tableEntry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is called by package heap only.
func (h *dueHeap) Push(x any) {
	e := x.(*tableEntry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop is called by package heap only.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = -1
	return e
}

// set sets the time at which a write is due. If waits is false, the write is not due at any time.
func (h *dueHeap) set(e *tableEntry, at clock.Micros, waits bool) {
	switch {
	case !waits && e.heapIndex >= 0:
		heap.Remove(h, e.heapIndex)
	case !waits:
	case e.heapIndex < 0:
		e.dueAt = at
		heap.Push(h, e)
	case e.dueAt != at:
		e.dueAt = at
		heap.Fix(h, e.heapIndex)
	}
}
