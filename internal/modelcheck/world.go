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
	Tick(now int64) (Node, []Message)
	// Next is when its next timer is due.
	NextTimer() (int64, bool)
	// Key tells its states apart, with times given relative to now.
	Key(now int64) string
	// Show draws it in a word or two.
	Describe(now int64) string
}

// Faults is how often each kind of fault may happen in a run.
type Faults struct {
	Lose, Duplicate, Delay, Crash, Pause, EnvironmentChange, Partition int
}

// World is a model of several nodes, the messages between them, time, and faults.
type World struct {
	Nodes []Node
	// Delay is how long an ordinary message takes at the most. Anything may happen in that time; a message that takes
	// longer is a fault.
	MaxDelay int64
	// LateBy is how much longer a late message may take.
	ExtraDelay int64
	// InOrder tells that receivers know the order of a sender's messages: one that was overtaken is dropped.
	InOrder bool
	// PauseFor are the lengths of pauses tried.
	PauseDurations []int64
	// PartFor is how long a node that is parted from all others hears nobody and is heard by nobody, while it runs.
	PartitionDuration int64
	// DownFor is how long a crashed node stays away; 0: for good.
	RestartDelay int64
	Faults       Faults
	// Horizon ends runs at a time; 0: never, and the states must repeat of themselves.
	Horizon int64
	// Shifts lists nodes' changes from outside (a condition that comes or goes), by name. Each costs a Shift.
	EnvironmentChanges func(node int, n Node, now int64) []EnvironmentChange
	// Calm is how long without a fault invariants look back; up to it the time since the last one tells states apart.
	FaultFreeWindow int64
	// Invariant is checked in every state.
	Invariant func(*State) error
	// Memory keeps what an invariant has to remember of the past; it becomes part of the key, relative to now.
	History func(before, after *State) History
}

// Shift is a change from outside.
type EnvironmentChange struct {
	Name string
	Next Node
	Sent []Message
}

// Memory is what an invariant remembers.
type History interface{ Key(now int64) string }

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
	Now              int64
	Nodes            []Node
	DownUntil        []int64 // when each node comes back; 0: it is up, -1: never
	PausedUntil      []int64 // when each node's pause ends; 0: it runs
	PartitionedUntil []int64 // when each node is joined to the others again; 0: it is
	FaultsLeft       Faults
	LastFaultAt      int64 // the last time that a fault or a change from outside happened
	History          History

	air []flight
}

// Up tells whether a node is up and running.
func (r *State) Running(i int) bool { return r.DownUntil[i] == 0 && r.PausedUntil[i] == 0 }

// UnderWay tells whether a message that left within the last span is on its way between two nodes, in either direction.
func (r *State) InFlight(i, j int, span int64) bool {
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
func (r *State) FaultFree(delay int64) bool {
	for i := range r.Nodes {
		if r.DownUntil[i] > 0 || r.PausedUntil[i] > 0 || r.PartitionedUntil[i] > 0 {
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
	c.Nodes, c.DownUntil, c.PausedUntil, c.PartitionedUntil = slices.Clone(r.Nodes), slices.Clone(r.DownUntil), slices.Clone(r.PausedUntil), slices.Clone(r.PartitionedUntil)
	c.air = slices.Clone(r.air)
	return &c
}

// Start boots every node at time 1.
func (w *World) InitialState() *State {
	n := len(w.Nodes)
	r := &State{
		Now: 1, Nodes: slices.Clone(w.Nodes), DownUntil: make([]int64, n), PausedUntil: make([]int64, n), PartitionedUntil: make([]int64, n), FaultsLeft: w.Faults, LastFaultAt: 1,
	}
	for i := range r.Nodes {
		node, out := r.Nodes[i].Boot(r.Now)
		w.settle(r, i, node, out)
	}
	if w.History != nil {
		r.History = w.History(nil, r)
	}
	return r
}

// settle takes over a node's new state and puts what it sends into the air.
func (w *World) settle(r *State, i int, node Node, out []Message) {
	r.Nodes[i] = node
	for _, m := range out {
		if r.DownUntil[m.To] != 0 || r.PartitionedUntil[i] != 0 || r.PartitionedUntil[m.To] != 0 {
			continue // nobody is there, or nothing passes
		}
		r.air = append(r.air, flight{i, m.To, m.Text, r.Now, r.Now + w.MaxDelay, false})
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
		rel(r.DownUntil[i])
		rel(r.PausedUntil[i])
		rel(r.PartitionedUntil[i])
		if r.DownUntil[i] == 0 {
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
	fmt.Fprint(&b, r.FaultsLeft, min(r.Now-r.LastFaultAt, w.FaultFreeWindow+1))
	if r.History != nil {
		b.WriteString(r.History.Key(r.Now))
	}
	return b.String()
}

// Check asks the invariant.
func (w *World) CheckInvariant(r *State) error { return w.Invariant(r) }

// Show draws the state in a line.
func (w *World) Describe(r *State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "t=%-6d", r.Now)
	for i, n := range r.Nodes {
		word := n.Describe(r.Now)
		if r.DownUntil[i] != 0 {
			word = "down"
		} else if r.PausedUntil[i] != 0 {
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
func (w *World) Transitions(r *State) []Transition[*State] {
	var moves []Transition[*State]
	add := func(name string, fault bool, do func(*State)) {
		c := r.clone()
		do(c)
		if fault {
			c.LastFaultAt = c.Now
		}
		if w.History != nil {
			c.History = w.History(r, c)
		}
		moves = append(moves, Transition[*State]{name, c})
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
		if r.Running(f.to) {
			add("arrives "+what, false, func(c *State) {
				c.take(i, w.InOrder)
				node, out := c.Nodes[f.to].Deliver(c.Now, f.from, f.text)
				w.settle(c, f.to, node, out)
			})
		}
		if r.FaultsLeft.Lose > 0 {
			add("lost "+what, true, func(c *State) {
				c.FaultsLeft.Lose--
				c.air = slices.Delete(c.air, i, i+1)
			})
		}
		if r.FaultsLeft.Duplicate > 0 {
			add("doubled "+what, true, func(c *State) {
				c.FaultsLeft.Duplicate--
				c.air = slices.Insert(c.air, i, f)
			})
		}
		if r.FaultsLeft.Delay > 0 && f.by-f.sent == w.MaxDelay && !f.unread {
			add("held up "+what, true, func(c *State) {
				c.FaultsLeft.Delay--
				c.air[i].by += w.ExtraDelay
			})
		}
	}
}

func (w *World) atNode(r *State, i int, add adder) {
	if !r.Running(i) {
		return
	}
	name := strconv.Itoa(i)
	if at, ok := r.Nodes[i].NextTimer(); ok && at <= r.Now {
		add("timer of "+name, false, func(c *State) {
			node, out := c.Nodes[i].Tick(c.Now)
			w.settle(c, i, node, out)
		})
	}
	if r.FaultsLeft.Crash > 0 {
		add("crash of "+name, true, func(c *State) {
			c.FaultsLeft.Crash--
			c.DownUntil[i] = -1
			if w.RestartDelay > 0 {
				c.DownUntil[i] = c.Now + w.RestartDelay
			}
			c.air = slices.DeleteFunc(c.air, func(f flight) bool { return f.to == i })
		})
	}
	if r.FaultsLeft.Pause > 0 {
		for _, span := range w.PauseDurations {
			add(fmt.Sprintf("pause of %d for %d", i, span), true, func(c *State) {
				c.FaultsLeft.Pause--
				c.PausedUntil[i] = c.Now + span
			})
		}
	}
	if r.FaultsLeft.Partition > 0 && r.PartitionedUntil[i] == 0 {
		add("parting of "+name, true, func(c *State) {
			c.FaultsLeft.Partition--
			c.PartitionedUntil[i] = c.Now + w.PartitionDuration
		})
	}
	if r.FaultsLeft.EnvironmentChange > 0 && w.EnvironmentChanges != nil {
		for _, s := range w.EnvironmentChanges(i, r.Nodes[i], r.Now) {
			add(s.Name+" at "+name, true, func(c *State) {
				c.FaultsLeft.EnvironmentChange--
				w.settle(c, i, s.Next, s.Sent)
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
		if r.PartitionedUntil[i] > 0 {
			soonest(r.PartitionedUntil[i])
		}
		switch {
		case r.DownUntil[i] > 0:
			soonest(r.DownUntil[i])
		case r.DownUntil[i] < 0:
		case r.PausedUntil[i] > 0:
			soonest(r.PausedUntil[i])
		default:
			if at, ok := n.NextTimer(); ok {
				soonest(at)
			}
		}
	}
	for _, f := range r.air {
		if r.Running(f.to) {
			soonest(f.by)
		}
	}
	return next, found && next > r.Now
}

func (w *World) advance(c *State, at int64) {
	c.Now = at
	for i := range c.Nodes {
		if c.PartitionedUntil[i] > 0 && c.PartitionedUntil[i] <= at {
			c.PartitionedUntil[i], c.LastFaultAt = 0, at
		}
		switch {
		case c.DownUntil[i] > 0 && c.DownUntil[i] <= at:
			c.DownUntil[i] = 0
			c.LastFaultAt = at
			node, out := w.Nodes[i].Boot(at)
			w.settle(c, i, node, out)
		case c.PausedUntil[i] > 0 && c.PausedUntil[i] <= at:
			c.PausedUntil[i] = 0
			c.LastFaultAt = at
			for k := range c.air { // what lay unread in its socket arrives from now on
				if c.air[k].to == i && c.air[k].by < at {
					c.air[k].by, c.air[k].unread = at, true
				}
			}
			node, out := c.Nodes[i].Tick(at)
			w.settle(c, i, node, out)
		}
	}
}
