package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Message is what one node sends another. Its text is all there is to it.
type Message struct {
	To   int
	Text string
}

// Node is one machine of a World, as a value: each call hands back the node after it and what it sends. Times are whole
// units of the model's clock.
type Node interface {
	// Boot starts the machine from nothing.
	Boot(now int64) (Node, []Message)
	// Deliver hands it a message.
	Deliver(now int64, from int, text string) (Node, []Message)
	// Wake lets it look at the time: a timer is due, or it runs again after a pause.
	Wake(now int64) (Node, []Message)
	// Next is when its next timer is due.
	Next() (int64, bool)
	// Key tells its states apart, with times given relative to now.
	Key(now int64) string
	// Show draws it in a word or two.
	Show(now int64) string
}

// Faults is how often each kind of fault may happen in a run.
type Faults struct {
	Lose, Duplicate, Late, Crash, Pause, Shift, Part int
}

// World is a model of several nodes, the messages between them, time, and faults.
type World struct {
	Nodes []Node
	// Delay is how long an ordinary message takes at the most. Anything may happen in that time; a message that takes
	// longer is a fault.
	Delay int64
	// LateBy is how much longer a late message may take.
	LateBy int64
	// InOrder tells that receivers know the order of a sender's messages: one that was overtaken is dropped.
	InOrder bool
	// PauseFor are the lengths of pauses tried.
	PauseFor []int64
	// PartFor is how long a node that is parted from all others hears nobody and is heard by nobody, while it runs.
	PartFor int64
	// DownFor is how long a crashed node stays away; 0: for good.
	DownFor int64
	Faults  Faults
	// Horizon ends runs at a time; 0: never, and the states must repeat of themselves.
	Horizon int64
	// Shifts lists nodes' changes from outside (a condition that comes or goes), by name. Each costs a Shift.
	Shifts func(node int, n Node, now int64) []Shift
	// Calm is how long without a fault invariants look back; up to it the time since the last one tells states apart.
	Calm int64
	// Invariant is checked in every state.
	Invariant func(*State) error
	// Memory keeps what an invariant has to remember of the past; it becomes part of the key, relative to now.
	Memory func(before, after *State) Memory
}

// Shift is a change from outside.
type Shift struct {
	Name string
	To   Node
	Out  []Message
}

// Memory is what an invariant remembers.
type Memory interface{ Key(now int64) string }

// flight is one message under way.
type flight struct {
	from, to int
	text     string
	sent     int64
	by       int64 // when it must have arrived
	unread   bool  // it lay in the socket of a node that stood still
}

// State is one state of a World.
type State struct {
	Now    int64
	Nodes  []Node
	Down   []int64 // when each node comes back; 0: it is up, -1: never
	Paused []int64 // when each node's pause ends; 0: it runs
	Parted []int64 // when each node is joined to the others again; 0: it is
	Left   Faults
	Calm   int64 // the last time that a fault or a change from outside happened
	Memory Memory

	air []flight
}

// Up tells whether a node is up and running.
func (r *State) Up(i int) bool { return r.Down[i] == 0 && r.Paused[i] == 0 }

// UnderWay tells whether a message that left within the last span is on its way between two nodes, in either direction.
func (r *State) UnderWay(i, j int, span int64) bool {
	for _, f := range r.air {
		if (f.from == i && f.to == j || f.from == j && f.to == i) && r.Now-f.sent <= span {
			return true
		}
	}
	return false
}

// Unread tells whether a message from one node lies unread at another that stood still when it came.
func (r *State) Unread(from, to int, match func(text string) bool) bool {
	for _, f := range r.air {
		if f.from == from && f.to == to && f.unread && match(f.text) {
			return true
		}
	}
	return false
}

// Whole tells that no fault is at work now: nobody stands still or is about to come back, and no message is held up.
func (r *State) Whole(delay int64) bool {
	for i := range r.Nodes {
		if r.Down[i] > 0 || r.Paused[i] > 0 || r.Parted[i] > 0 {
			return false
		}
	}
	for _, f := range r.air {
		if f.by-f.sent > delay && !f.unread {
			return false
		}
	}
	return true
}

// take removes a message that arrives, and with order those from the same sender that it overtook.
func (r *State) take(i int, order bool) {
	f := r.air[i]
	r.air = slices.Delete(r.air, i, i+1)
	for k := i - 1; order && k >= 0; k-- {
		if g := r.air[k]; g.from == f.from && g.to == f.to {
			r.air = slices.Delete(r.air, k, k+1)
		}
	}
}

func (r *State) clone() *State {
	c := *r
	c.Nodes, c.Down, c.Paused, c.Parted = slices.Clone(r.Nodes), slices.Clone(r.Down), slices.Clone(r.Paused), slices.Clone(r.Parted)
	c.air = slices.Clone(r.air)
	return &c
}

// Start boots every node at time 1.
func (w *World) Start() *State {
	n := len(w.Nodes)
	r := &State{
		Now: 1, Nodes: slices.Clone(w.Nodes), Down: make([]int64, n), Paused: make([]int64, n), Parted: make([]int64, n), Left: w.Faults, Calm: 1,
	}
	for i := range r.Nodes {
		node, out := r.Nodes[i].Boot(r.Now)
		w.settle(r, i, node, out)
	}
	if w.Memory != nil {
		r.Memory = w.Memory(nil, r)
	}
	return r
}

// settle takes over a node's new state and puts what it sends into the air.
func (w *World) settle(r *State, i int, node Node, out []Message) {
	r.Nodes[i] = node
	for _, m := range out {
		if r.Down[m.To] != 0 || r.Parted[i] != 0 || r.Parted[m.To] != 0 {
			continue // nobody is there, or nothing passes
		}
		r.air = append(r.air, flight{i, m.To, m.Text, r.Now, r.Now + w.Delay, false})
	}
}

// Key is the whole state with every time relative to now, and the messages in no order.
func (w *World) Key(r *State) string {
	var b strings.Builder
	rel := func(t int64) {
		if t <= 0 {
			b.WriteString(strconv.FormatInt(t, 10))
		} else {
			b.WriteByte('+')
			b.WriteString(strconv.FormatInt(t-r.Now, 10))
		}
		b.WriteByte(' ')
	}
	for i, n := range r.Nodes {
		rel(r.Down[i])
		rel(r.Paused[i])
		rel(r.Parted[i])
		if r.Down[i] == 0 {
			b.WriteString(n.Key(r.Now))
		}
		b.WriteByte('|')
	}
	air := slices.Clone(r.air)
	slices.SortStableFunc(air, func(a, b flight) int { // the order on a link counts, that of links does not
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	for _, f := range air {
		fmt.Fprint(&b, f.from, f.to, f.text, f.sent-r.Now, f.by-r.Now, f.unread, ";")
	}
	fmt.Fprint(&b, r.Left, min(r.Now-r.Calm, w.Calm+1))
	if r.Memory != nil {
		b.WriteString(r.Memory.Key(r.Now))
	}
	return b.String()
}

// Check asks the invariant.
func (w *World) Check(r *State) error { return w.Invariant(r) }

// Show draws the state in a line.
func (w *World) Show(r *State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "t=%-6d", r.Now)
	for i, n := range r.Nodes {
		word := n.Show(r.Now)
		if r.Down[i] != 0 {
			word = "down"
		} else if r.Paused[i] != 0 {
			word += " (stands still)"
		}
		fmt.Fprintf(&b, " %d:%s", i, word)
	}
	for _, f := range r.air {
		fmt.Fprintf(&b, "  %d>%d %s", f.from, f.to, f.text)
	}
	return b.String()
}

// Moves lists all that can happen: a message arrives, is lost, doubled or held up; a node crashes or stands still; something
// changes from outside; or, if nothing has to happen first, time passes until something does.
func (w *World) Moves(r *State) []Move[*State] {
	var moves []Move[*State]
	add := func(name string, fault bool, do func(*State)) {
		c := r.clone()
		do(c)
		if fault {
			c.Calm = c.Now
		}
		if w.Memory != nil {
			c.Memory = w.Memory(r, c)
		}
		moves = append(moves, Move[*State]{name, c})
	}
	w.inTheAir(r, add)
	for i := range r.Nodes {
		w.atNode(r, i, add)
	}
	if at, ok := w.passes(r); ok && (w.Horizon == 0 || at <= w.Horizon) {
		add(strconv.FormatInt(at-r.Now, 10)+" pass", false, func(c *State) { w.advance(c, at) })
	}
	return moves
}

type adder func(name string, fault bool, do func(*State))

func (w *World) inTheAir(r *State, add adder) {
	for i, f := range r.air {
		if slices.ContainsFunc(r.air[:i], func(g flight) bool { return g == f }) {
			continue // its twin has the same moves
		}
		what := fmt.Sprintf("%d>%d %s", f.from, f.to, f.text)
		if r.Up(f.to) {
			add("arrives "+what, false, func(c *State) {
				c.take(i, w.InOrder)
				node, out := c.Nodes[f.to].Deliver(c.Now, f.from, f.text)
				w.settle(c, f.to, node, out)
			})
		}
		if r.Left.Lose > 0 {
			add("lost "+what, true, func(c *State) {
				c.Left.Lose--
				c.air = slices.Delete(c.air, i, i+1)
			})
		}
		if r.Left.Duplicate > 0 {
			add("doubled "+what, true, func(c *State) {
				c.Left.Duplicate--
				c.air = slices.Insert(c.air, i, f)
			})
		}
		if r.Left.Late > 0 && f.by-f.sent == w.Delay && !f.unread {
			add("held up "+what, true, func(c *State) {
				c.Left.Late--
				c.air[i].by += w.LateBy
			})
		}
	}
}

func (w *World) atNode(r *State, i int, add adder) {
	if !r.Up(i) {
		return
	}
	name := strconv.Itoa(i)
	if at, ok := r.Nodes[i].Next(); ok && at <= r.Now {
		add("timer of "+name, false, func(c *State) {
			node, out := c.Nodes[i].Wake(c.Now)
			w.settle(c, i, node, out)
		})
	}
	if r.Left.Crash > 0 {
		add("crash of "+name, true, func(c *State) {
			c.Left.Crash--
			c.Down[i] = -1
			if w.DownFor > 0 {
				c.Down[i] = c.Now + w.DownFor
			}
			c.air = slices.DeleteFunc(c.air, func(f flight) bool { return f.to == i })
		})
	}
	if r.Left.Pause > 0 {
		for _, span := range w.PauseFor {
			add(fmt.Sprintf("pause of %d for %d", i, span), true, func(c *State) {
				c.Left.Pause--
				c.Paused[i] = c.Now + span
			})
		}
	}
	if r.Left.Part > 0 && r.Parted[i] == 0 {
		add("parting of "+name, true, func(c *State) {
			c.Left.Part--
			c.Parted[i] = c.Now + w.PartFor
		})
	}
	if r.Left.Shift > 0 && w.Shifts != nil {
		for _, s := range w.Shifts(i, r.Nodes[i], r.Now) {
			add(s.Name+" at "+name, true, func(c *State) {
				c.Left.Shift--
				w.settle(c, i, s.To, s.Out)
			})
		}
	}
}

// passes tells to when time may pass: the next timer, arrival, end of a pause or return. It may not pass over a message
// that is due at a node that runs, nor over a due timer.
func (w *World) passes(r *State) (int64, bool) {
	next, found := int64(0), false
	soonest := func(at int64) {
		if !found || at < next {
			next, found = at, true
		}
	}
	for i, n := range r.Nodes {
		if r.Parted[i] > 0 {
			soonest(r.Parted[i])
		}
		switch {
		case r.Down[i] > 0:
			soonest(r.Down[i])
		case r.Down[i] < 0:
		case r.Paused[i] > 0:
			soonest(r.Paused[i])
		default:
			if at, ok := n.Next(); ok {
				soonest(at)
			}
		}
	}
	for _, f := range r.air {
		if r.Up(f.to) {
			soonest(f.by)
		}
	}
	return next, found && next > r.Now
}

func (w *World) advance(c *State, at int64) {
	c.Now = at
	for i := range c.Nodes {
		if c.Parted[i] > 0 && c.Parted[i] <= at {
			c.Parted[i], c.Calm = 0, at
		}
		switch {
		case c.Down[i] > 0 && c.Down[i] <= at:
			c.Down[i] = 0
			c.Calm = at
			node, out := w.Nodes[i].Boot(at)
			w.settle(c, i, node, out)
		case c.Paused[i] > 0 && c.Paused[i] <= at:
			c.Paused[i] = 0
			c.Calm = at
			for k := range c.air { // what lay unread in its socket arrives from now on
				if c.air[k].to == i && c.air[k].by < at {
					c.air[k].by, c.air[k].unread = at, true
				}
			}
			node, out := c.Nodes[i].Wake(at)
			w.settle(c, i, node, out)
		}
	}
}
