package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Message is a message from a node to the node with the number To. Text is the complete content of the message.
type Message struct {
	To   int
	Text string
}

// Node is the state machine of one node of a World. It is an immutable value: each call returns the resulting node and the
// messages that it sends. Every time is a whole number of units of the model's clock.
type Node interface {
	// Boot starts the node without any earlier state.
	Boot(now int64) (Node, []Message)
	// Deliver handles a message.
	Deliver(now int64, from int, text string) (Node, []Message)
	// Tick handles the timers that are due. It is called when a timer is due, and when a pause of the node ends.
	Tick(now int64) (Node, []Message)
	// NextTimer returns the time at which the next timer is due, and whether a timer is set.
	NextTimer() (int64, bool)
	// Key identifies the node's state, with times relative to now.
	Key(now int64) string
	// Describe formats the node's state in a word or two.
	Describe(now int64) string
}

// Faults holds, for each kind of fault, how often it may still happen in a run.
type Faults struct {
	Lose, Duplicate, Delay, Crash, Pause, EnvironmentChange, Partition int
}

// World is a Model of several nodes, the messages between them, time, and faults.
type World struct {
	Nodes []Node
	// MaxDelay bounds the time from sending a message to its arrival, except under a Delay fault or while the receiver cannot
	// read. Within this time, messages may arrive in any order.
	MaxDelay int64
	// ExtraDelay is added to MaxDelay for a message that a Delay fault delays.
	ExtraDelay int64
	// InOrder means that receivers know the order of a sender's messages, and drop a message that arrives after a later one.
	InOrder bool
	// PauseDurations lists the lengths of pauses to try.
	PauseDurations []int64
	// PartitionDuration is how long a partitioned node runs without sending messages to other nodes or receiving messages from
	// them.
	PartitionDuration int64
	// RestartDelay is how long a crashed node stays down; 0 means that the node never restarts.
	RestartDelay int64
	Faults       Faults
	// Horizon is the time at which runs end. 0 means that runs never end; the state space must then be finite for other
	// reasons.
	Horizon int64
	// EnvironmentChanges lists the external changes that are possible at a node. Each change uses up one fault of the kind
	// EnvironmentChange.
	EnvironmentChanges func(node int, n Node, now int64) []EnvironmentChange
	// FaultFreeWindow is how far back invariants look for the last fault. The time since the last fault is part of a state's key;
	// a time longer than FaultFreeWindow counts as FaultFreeWindow+1.
	FaultFreeWindow int64
	// Invariant is checked in every state.
	Invariant func(*State) error
	// History computes what the invariant needs to know about earlier states (a history variable in TLA+). before is nil for the
	// initial state. The result is part of the state's key. History may be nil.
	History func(before, after *State) History
}

// EnvironmentChange is an external change of a node, such as a condition that begins or ends.
type EnvironmentChange struct {
	Name string
	Next Node
	Sent []Message
}

// History holds what an invariant needs to know about earlier states. The result of Key must contain times only relative to now.
type History interface{ Key(now int64) string }

// InitialState boots every node at time 1.
func (w *World) InitialState() *State {
	n := len(w.Nodes)
	s := &State{
		Now: 1, Nodes: slices.Clone(w.Nodes), FaultsLeft: w.Faults, LastFaultAt: 1,
		DownUntil: make([]int64, n), PausedUntil: make([]int64, n), PartitionedUntil: make([]int64, n),
	}
	for i := range s.Nodes {
		node, sent := s.Nodes[i].Boot(s.Now)
		w.update(s, i, node, sent)
	}
	if w.History != nil {
		s.History = w.History(nil, s)
	}
	return s
}

// CheckInvariant evaluates the world's invariant.
func (w *World) CheckInvariant(s *State) error { return w.Invariant(s) }

// Key returns a key that covers the complete state, with all times relative to now. States that differ only in the order of
// messages between different pairs of sender and receiver have the same key.
func (w *World) Key(s *State) string {
	var b strings.Builder
	for i, n := range s.Nodes {
		s.writeRelative(&b, s.DownUntil[i])
		s.writeRelative(&b, s.PausedUntil[i])
		s.writeRelative(&b, s.PartitionedUntil[i])
		if s.DownUntil[i] == 0 {
			b.WriteString(n.Key(s.Now))
		}
		b.WriteByte('|')
	}
	network := slices.Clone(s.network)
	slices.SortStableFunc(network, func(a, b inFlightMessage) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	for _, m := range network {
		fmt.Fprint(&b, m.from, m.to, m.text, m.sent-s.Now, m.deadline-s.Now, m.unread, ";")
	}
	fmt.Fprint(&b, s.FaultsLeft, min(s.Now-s.LastFaultAt, w.FaultFreeWindow+1))
	if s.History != nil {
		b.WriteString(s.History.Key(s.Now))
	}
	return b.String()
}

// Describe formats the state on one line.
func (w *World) Describe(s *State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "t=%-6d", s.Now)
	for i, n := range s.Nodes {
		description := n.Describe(s.Now)
		if s.DownUntil[i] != 0 {
			description = "down"
		} else if s.PausedUntil[i] != 0 {
			description += " (paused)"
		}
		fmt.Fprintf(&b, " %d:%s", i, description)
	}
	for _, m := range s.network {
		fmt.Fprintf(&b, "  %d>%d %s", m.from, m.to, m.text)
	}
	return b.String()
}

// writeRelative writes a time relative to now. The values 0 and -1 have special meanings (see State) and are written unchanged.
func (s *State) writeRelative(b *strings.Builder, at int64) {
	if at <= 0 {
		b.WriteString(strconv.FormatInt(at, 10))
	} else {
		b.WriteByte('+')
		b.WriteString(strconv.FormatInt(at-s.Now, 10))
	}
	b.WriteByte(' ')
}
