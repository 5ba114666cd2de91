package assignment

// queue is a heap of tasks ordered by wakeAt. It implements heap.Interface.
type queue []*task

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].wakeAt < q[j].wakeAt }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push and Pop implement heap.Interface. Callers use heap.Push and heap.Pop instead.
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
