package indoubt

import (
	"cmp"
	"slices"

	"marblespan/internal/clock"
)

// writeTable holds the writes that are in flight at one gateway. What one event costs does not grow with the number of writes, or only
// with its logarithm. The indexes follow from the writes: whoever changes a write must call touch, and update brings the indexes up to
// date with the writes that were touched.
type writeTable struct {
	lastSequence uint64
	byID         map[uint64]*tableEntry
	byCall       map[uint64]*tableEntry   // by the last store call of each write, until its reply
	byKey        map[string][]*tableEntry // in the order in which the requests were received
	inClass      map[string]int           // number of writes of each class
	due          dueHeap
	touched      []*tableEntry
}

// tableEntry is a write in the table.
type tableEntry struct {
	write
	sequence  uint64       // order in which the requests were received
	dueAt     clock.Micros // in the heap: the time that write.due returned
	heapIndex int          // index in the heap; -1 if the write is not in the heap
	isTouched bool
}

func newWriteTable() writeTable {
	return writeTable{
		byID: map[uint64]*tableEntry{}, byCall: map[uint64]*tableEntry{}, byKey: map[string][]*tableEntry{}, inClass: map[string]int{},
	}
}

// add adds a write, which counts as touched.
func (t *writeTable) add(w write) *write {
	t.lastSequence++
	e := &tableEntry{write: w, sequence: t.lastSequence, heapIndex: -1}
	t.byID[w.request.ID] = e
	t.byKey[w.request.Key] = append(t.byKey[w.request.Key], e)
	t.inClass[w.request.Class]++
	t.touchEntry(e)
	return &e.write
}

// find returns the write with an ID, which counts as touched, or nil.
func (t *writeTable) find(id uint64) *write {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	t.touchEntry(e)
	return &e.write
}

// takeCall returns the write that waits for the reply to a store call, which counts as touched, or nil. The call is over.
func (t *writeTable) takeCall(call uint64) *write {
	e := t.byCall[call]
	delete(t.byCall, call)
	if e == nil || e.call.id != call || t.byID[e.request.ID] != e {
		return nil
	}
	t.touchEntry(e)
	e.call.id = 0
	return &e.write
}

// setCall records the store call whose reply a write waits for.
func (t *writeTable) setCall(w *write, call pendingCall) {
	w.call = call
	t.byCall[call.id] = t.byID[w.request.ID]
}

// touch records that a write is about to change.
func (t *writeTable) touch(w *write) {
	if e := t.byID[w.request.ID]; e != nil {
		t.touchEntry(e)
	}
}

func (t *writeTable) touchEntry(e *tableEntry) {
	if !e.isTouched {
		e.isTouched = true
		t.touched = append(t.touched, e)
	}
}

// update brings the times at which the touched writes are due up to date.
func (t *writeTable) update() {
	for _, e := range t.touched {
		at, waits := e.due()
		t.due.set(e, at, waits)
	}
}

// nextDue returns the earliest time at which a write is due, and whether there is one. It is up to date after update.
func (t *writeTable) nextDue() (clock.Micros, bool) {
	if len(t.due) == 0 {
		return 0, false
	}
	return t.due[0].dueAt, true
}

// takeDue returns the writes that are due, in the order of their requests. They count as touched, and are not due again before update.
func (t *writeTable) takeDue(now clock.Micros) []*write {
	var due []*tableEntry
	for len(t.due) > 0 && t.due[0].dueAt <= now {
		e := t.due[0]
		t.due.set(e, 0, false)
		t.touchEntry(e)
		due = append(due, e)
	}
	return inOrder(due)
}

// touchedFollowers returns, in the order of their requests, the writes in the phase followingWrite that were touched or that follow a
// touched write. They count as touched.
func (t *writeTable) touchedFollowers() []*write {
	var followers []*tableEntry
	for _, e := range t.touched {
		if e.phase == followingWrite {
			followers = append(followers, e)
			continue
		}
		for _, other := range t.byKey[e.request.Key] {
			if other.phase == followingWrite && other.followed == e.request.ID && !other.isTouched {
				followers = append(followers, other)
			}
		}
	}
	for _, e := range followers {
		t.touchEntry(e)
	}
	return inOrder(followers)
}

// takeFinished ends the event that is being handled: no write counts as touched any more. It removes and returns the touched writes that
// are finished, in the order of their requests.
func (t *writeTable) takeFinished() []*write {
	t.update()
	var done []*tableEntry
	for _, e := range t.touched {
		e.isTouched = false
		if e.phase == finished {
			t.remove(e)
			done = append(done, e)
		}
	}
	clear(t.touched)
	t.touched = t.touched[:0]
	return inOrder(done)
}

// remove removes a write from the table.
func (t *writeTable) remove(e *tableEntry) {
	t.due.set(e, 0, false)
	delete(t.byID, e.request.ID)
	if t.inClass[e.request.Class]--; t.inClass[e.request.Class] == 0 {
		delete(t.inClass, e.request.Class)
	}
	key := e.request.Key
	rest := slices.DeleteFunc(t.byKey[key], func(other *tableEntry) bool { return other == e })
	if len(rest) == 0 {
		delete(t.byKey, key)
		return
	}
	t.byKey[key] = rest
}

// all returns the writes in the order of their requests. They do not count as touched.
func (t *writeTable) all() []*write {
	entries := make([]*tableEntry, 0, len(t.byID))
	for _, e := range t.byID {
		entries = append(entries, e)
	}
	return inOrder(entries)
}

// clone returns a copy that shares no mutable state with t. It must not be called while an event is handled.
func (t *writeTable) clone() writeTable {
	c := newWriteTable()
	for _, w := range t.all() {
		copied := c.add(*w)
		if w.call.id != 0 {
			c.setCall(copied, w.call)
		}
	}
	c.takeFinished()
	return c
}

// inOrder sorts entries by the order of their requests and returns their writes.
func inOrder(entries []*tableEntry) []*write {
	slices.SortFunc(entries, func(a, b *tableEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	writes := make([]*write, len(entries))
	for i, e := range entries {
		writes[i] = &e.write
	}
	return writes
}
