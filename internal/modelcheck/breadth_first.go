// Package modelcheck is an explicit-state model checker for tests. BreadthFirst explores every reachable state of a Model and
// returns the shortest trace that violates the invariant. RandomWalk follows one random trace, which can be longer than the
// traces that an exhaustive search can reach. World is a ready-made Model of several nodes with messages, time and faults.
//
// The tests of pure state machines (vrrp, membership, maintenance, indoubt) use this package. The package starts no
// goroutines, so the caller's goroutine owns all state. The main decisions are in BreadthFirst (search order and limits),
// World.Transitions (the possible steps in a state) and World.Key (which states count as equal).
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Transition is one step that is possible in a state, together with the resulting state.
type Transition[S any] struct {
	Name string
	Next S
}

// Model defines the states and transitions to explore. A state must not be modified after it was returned.
type Model[S any] interface {
	// InitialState returns the state in which every trace begins.
	InitialState() S
	// Key identifies a state. States with equal keys count as equal, so the same sequences of transitions must be possible
	// from them.
	Key(S) string
	// Transitions lists every step that is possible in a state. The order must be deterministic, since traces are
	// reconstructed by index.
	Transitions(S) []Transition[S]
	// CheckInvariant returns an error if the state violates an invariant.
	CheckInvariant(S) error
	// Describe formats a state on one line, for traces.
	Describe(S) string
}

// Limits bounds an exploration. A zero field means no bound.
type Limits struct {
	MaxStates int // distinct states
	MaxDepth  int // transitions from the initial state
}

// Result summarizes an exploration.
type Result struct {
	States         int    // distinct states found
	Transitions    int    // transitions examined, including transitions to states already found
	Depth          int    // number of transitions to the farthest state found
	Complete       bool   // no limit ended the exploration early; also true if a violation ended it
	Counterexample *Trace // nil if no invariant was violated
}

// Trace is a sequence of transitions that ends in a state which violates an invariant.
type Trace struct {
	Err   error
	Steps []Step
}

// Step is one transition of a trace and a description of the state after it.
type Step struct{ Transition, State string }

// String formats a trace with one transition per line.
func (t *Trace) String() string {
	var b strings.Builder
	for i, s := range t.Steps {
		fmt.Fprintf(&b, "%3d  %-28s %s\n", i, s.Transition, s.State)
	}
	fmt.Fprintf(&b, "     violated: %v\n", t.Err)
	return b.String()
}

// predecessor records the state and the transition by which a state was first reached.
type predecessor struct {
	state      int // index of the preceding state; -1 for the initial state
	transition int // index of the transition among those of the preceding state
}

// frontierState is a state whose transitions are still to be explored.
type frontierState[S any] struct {
	state S
	index int // index of the state's entry in search.predecessors
}

// search is the progress of one breadth-first exploration. To save memory, only the states of the frontier are kept
// completely. Of every other state, only the key and the predecessor are kept.
type search[S any] struct {
	model        Model[S]
	limits       Limits
	seen         map[string]struct{}
	predecessors []predecessor
	result       Result
}

// BreadthFirst explores a model until every reachable state is found, the invariant is violated, or a limit is reached.
func BreadthFirst[S any](model Model[S], limits Limits) Result {
	initial := model.InitialState()
	search := &search[S]{
		model: model, limits: limits,
		seen:         map[string]struct{}{model.Key(initial): {}},
		predecessors: []predecessor{{state: -1}},
		result:       Result{States: 1, Complete: true},
	}
	if err := model.CheckInvariant(initial); err != nil {
		search.result.Counterexample = search.trace(0, err)
		return search.result
	}
	frontier := []frontierState[S]{{initial, 0}}
	for len(frontier) > 0 {
		if limits.MaxDepth > 0 && search.result.Depth >= limits.MaxDepth {
			search.result.Complete = false
			break
		}
		next, done := search.expand(frontier)
		if done {
			break
		}
		if len(next) > 0 {
			search.result.Depth++
		}
		frontier = next
	}
	return search.result
}

// expand explores the transitions of one layer and returns the new states that they lead to. done is true if the search must end
// because of a violation or because Limits.MaxStates is reached.
func (c *search[S]) expand(frontier []frontierState[S]) (next []frontierState[S], done bool) {
	for _, from := range frontier {
		for i, transition := range c.model.Transitions(from.state) {
			c.result.Transitions++
			key := c.model.Key(transition.Next)
			if _, known := c.seen[key]; known {
				continue
			}
			c.seen[key] = struct{}{}
			index := len(c.predecessors)
			c.predecessors = append(c.predecessors, predecessor{from.index, i})
			c.result.States++
			if err := c.model.CheckInvariant(transition.Next); err != nil {
				c.result.Depth++
				c.result.Counterexample = c.trace(index, err)
				return nil, true
			}
			if c.limits.MaxStates > 0 && c.result.States >= c.limits.MaxStates {
				c.result.Complete = false
				return nil, true
			}
			next = append(next, frontierState[S]{transition.Next, index})
		}
	}
	return next, false
}

// trace reconstructs the path to a state by repeating the transitions from the initial state, because earlier states are not kept.
func (c *search[S]) trace(last int, err error) *Trace {
	var path []int
	for i := last; i > 0; i = c.predecessors[i].state {
		path = append(path, c.predecessors[i].transition)
	}
	slices.Reverse(path)
	state := c.model.InitialState()
	trace := &Trace{Err: err, Steps: []Step{{"start", c.model.Describe(state)}}}
	for _, i := range path {
		transition := c.model.Transitions(state)[i]
		state = transition.Next
		trace.Steps = append(trace.Steps, Step{transition.Name, c.model.Describe(state)})
	}
	return trace
}
