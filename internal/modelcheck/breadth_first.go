// Package modelcheck looks through all that can happen to a few state machines and the messages between them, breadth first,
// and finds the shortest way to break an invariant. It knows no machine: a model says which moves a state allows, what they
// lead to and what must hold.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Move is one thing that can happen, and the state after it.
type Transition[S any] struct {
	Name string
	Next S
}

// Model is what is explored. Its states must not change once handed over.
type Model[S any] interface {
	// Start is the state to begin with.
	InitialState() S
	// Key tells states apart: two with the same key must allow the same futures.
	Key(S) string
	// Moves lists all that can happen in a state.
	Transitions(S) []Transition[S]
	// Check tells which invariant a state breaks, if any.
	CheckInvariant(S) error
	// Show draws a state in a line, for traces.
	Describe(S) string
}

// Limits bound an exploration. Zero values are no bound.
type Limits struct {
	MaxStates int // stop after so many
	MaxDepth  int // moves from the start
}

// Result is what an exploration has seen.
type Result struct {
	States         int  // different ones
	Transitions    int  // looked at, those to known states among them
	Depth          int  // of the longest shortest way
	Complete       bool // nothing was left out for a limit
	Counterexample *Trace
}

// Trace is the shortest run that breaks an invariant.
type Trace struct {
	Err   error
	Steps []Step
}

// Step is one move of a trace and the state after it.
type Step struct{ Transition, State string }

// String prints a trace, a move a line.
func (t *Trace) String() string {
	var b strings.Builder
	for i, s := range t.Steps {
		fmt.Fprintf(&b, "%3d  %-28s %s\n", i, s.Transition, s.State)
	}
	fmt.Fprintf(&b, "     broken: %v\n", t.Err)
	return b.String()
}

// origin is how a state was first reached.
type origin struct {
	from int // index of the state before it; -1 at the start
	move int // which of that state's moves led here
}

// Run explores a model until every state is seen, an invariant breaks, or a limit is reached.
func BreadthFirst[S any](m Model[S], limits Limits) Result {
	start := m.InitialState()
	seen := map[string]struct{}{m.Key(start): {}}
	origins := []origin{{from: -1}}
	layer, indices := []S{start}, []int{0}
	res := Result{States: 1, Complete: true}
	if err := m.CheckInvariant(start); err != nil {
		res.Counterexample = replay(m, origins, 0, err)
		return res
	}
	for len(layer) > 0 {
		if limits.MaxDepth > 0 && res.Depth >= limits.MaxDepth {
			res.Complete = false
			return res
		}
		var next []S
		var nextIndices []int
		for i, s := range layer {
			for k, mv := range m.Transitions(s) {
				res.Transitions++
				key := m.Key(mv.Next)
				if _, ok := seen[key]; ok {
					continue
				}
				seen[key] = struct{}{}
				origins = append(origins, origin{indices[i], k})
				res.States++
				if err := m.CheckInvariant(mv.Next); err != nil {
					res.Depth++
					res.Counterexample = replay(m, origins, len(origins)-1, err)
					return res
				}
				if limits.MaxStates > 0 && res.States >= limits.MaxStates {
					res.Complete = false
					return res
				}
				next, nextIndices = append(next, mv.Next), append(nextIndices, len(origins)-1)
			}
		}
		if len(next) > 0 {
			res.Depth++
		}
		layer, indices = next, nextIndices
	}
	return res
}

// replay walks the moves to a state again, for only the layer at work is kept in memory.
func replay[S any](m Model[S], origins []origin, last int, err error) *Trace {
	var moves []int
	for i := last; i > 0; i = origins[i].from {
		moves = append(moves, origins[i].move)
	}
	slices.Reverse(moves)
	s := m.InitialState()
	t := &Trace{Err: err, Steps: []Step{{"start", m.Describe(s)}}}
	for _, k := range moves {
		mv := m.Transitions(s)[k]
		s = mv.Next
		t.Steps = append(t.Steps, Step{mv.Name, m.Describe(s)})
	}
	return t
}
