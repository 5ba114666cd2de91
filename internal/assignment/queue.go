package assignment

// queue is a heap of tasks ordered by wakeAt. It implements heap.Interface.
type queue []*task

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].wakeAt < q[j].wakeAt }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push and Pop are for the package container/heap only. To add or remove a task, call heap.Push, heap.Pop or heap.Remove, which
// keep the heap ordered.
func (q *queue) Push(x any) {
	d := x.(*task)
	d.index = len(*q)
	*q = append(*q, d)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return d
}
