package modelcheck

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// counting is a model of two counters that must not both be 3; the shortest trace to that state has six transitions.
type counting struct{ maximum int }

func (counting) InitialState() [2]int     { return [2]int{} }
func (counting) Key(s [2]int) string      { return fmt.Sprint(s) }
func (counting) Describe(s [2]int) string { return fmt.Sprint(s) }
func (c counting) Transitions(s [2]int) (transitions []Transition[[2]int]) {
	for i := range s {
		if next := s; s[i] < c.maximum {
			next[i]++
			transitions = append(transitions, Transition[[2]int]{fmt.Sprint("count ", i), next})
		}
	}
	return transitions
}

func (counting) CheckInvariant(s [2]int) error {
	if s == [2]int{3, 3} {
		return errors.New("both are 3")
	}
	return nil
}

func TestShortestTrace(t *testing.T) {
	res := BreadthFirst(counting{5}, Limits{})
	if res.Counterexample == nil || len(res.Counterexample.Steps) != 7 || res.Depth != 6 {
		t.Fatalf("%+v", res)
	}
	text := res.Counterexample.String()
	if strings.Count(text, "count 0") != 3 || !strings.Contains(text, "[3 3]") || !strings.Contains(text, "both are 3") {
		t.Error(text)
	}
}

func TestCompleteAndLimits(t *testing.T) {
	if res := BreadthFirst(counting{2}, Limits{}); res.States != 9 || res.Transitions != 12 || !res.Complete || res.Depth != 4 || res.Counterexample != nil {
		t.Errorf("%+v", res)
	}
	if res := BreadthFirst(counting{2}, Limits{MaxStates: 5}); res.States != 5 || res.Complete {
		t.Errorf("%+v", res)
	}
	if res := BreadthFirst(counting{2}, Limits{MaxDepth: 2}); res.Depth != 2 || res.States != 6 || res.Complete {
		t.Errorf("%+v", res)
	}
}

// tokenNode is a node of a World: it passes the token on 10 after it received it, and creates a new token if it has had none for
// 100.
type tokenNode struct {
	id       int
	hasToken bool
	due      int64
}

func (n tokenNode) Boot(now int64) (Node, []Message) {
	return tokenNode{id: n.id, hasToken: n.id == 0, due: now + 10 + int64(n.id)*90}, nil
}
func (n tokenNode) Deliver(now int64, _ int, _ string) (Node, []Message) {
	n.hasToken, n.due = true, now+10
	return n, nil
}
func (n tokenNode) Tick(now int64) (Node, []Message) {
	switch {
	case now < n.due:
		return n, nil
	case n.hasToken:
		n.hasToken, n.due = false, now+100
		return n, []Message{{1 - n.id, "token"}}
	}
	n.hasToken, n.due = true, now+10
	return n, nil
}
func (n tokenNode) NextTimer() (int64, bool)  { return n.due, true }
func (n tokenNode) Key(now int64) string      { return fmt.Sprint(n.hasToken, n.due-now) }
func (n tokenNode) Describe(now int64) string { return fmt.Sprint(n.hasToken) }

// Each kind of fault in the table has an effect. Without faults there is never more than one token. Each of these faults can
// duplicate the token, or lose or delay it for so long that a node creates a second one, and the search must find this.
func TestWorldTransitions(t *testing.T) {
	tokens := func(s *State) (n int) {
		for i := range s.Nodes {
			if s.DownUntil[i] == 0 && s.Nodes[i].(tokenNode).hasToken {
				n++
			}
		}
		return n + len(s.network)
	}
	for _, test := range []struct {
		name      string
		faults    Faults
		duplicate bool // a second token can appear
	}{
		{"none", Faults{}, false},
		{"lost", Faults{Lose: 1}, true},
		{"duplicated", Faults{Duplicate: 1}, true},
		{"delayed", Faults{Delay: 1}, true},
		{"paused", Faults{Pause: 1}, true},
		{"crashed", Faults{Crash: 1}, true},
		{"changed", Faults{EnvironmentChange: 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &World{
				Nodes: []Node{tokenNode{id: 0}, tokenNode{id: 1}}, MaxDelay: 1, ExtraDelay: 200, PauseDurations: []int64{300}, RestartDelay: 5,
				Faults: test.faults, Horizon: 2000,
				EnvironmentChanges: func(i int, n Node, now int64) []EnvironmentChange {
					next := n.(tokenNode)
					next.hasToken = true
					return []EnvironmentChange{{Name: "gains a token", Next: next}}
				},
				Invariant: func(s *State) error {
					if n := tokens(s); n > 1 {
						return fmt.Errorf("%d tokens", n)
					}
					return nil
				},
			}
			result := BreadthFirst(w, Limits{MaxStates: 100_000})
			if (result.Counterexample != nil) != test.duplicate {
				t.Errorf("%+v", result)
			}
			if !test.duplicate && result.States < 4 {
				t.Errorf("only %d states", result.States)
			}
		})
	}
}

// A message that was overtaken by a later one on the same link is dropped if receivers know the order (World.InOrder).
func TestOrder(t *testing.T) {
	s := &State{network: []inFlightMessage{{from: 0, to: 1, text: "a"}, {from: 1, to: 0, text: "x"}, {from: 0, to: 1, text: "b"}}}
	for _, order := range []bool{false, true} {
		c := s.clone()
		c.removeDelivered(2, order)
		if left := map[bool]int{false: 2, true: 1}[order]; len(c.network) != left {
			t.Errorf("order %v: %+v", order, c.network)
		}
	}
}
