package modelcheck

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// counting is a model of two counters that must not both be 3; the shortest way there has six moves.
type counting struct{ maximum int }

func (counting) InitialState() [2]int     { return [2]int{} }
func (counting) Key(s [2]int) string      { return fmt.Sprint(s) }
func (counting) Describe(s [2]int) string { return fmt.Sprint(s) }
func (c counting) Transitions(s [2]int) (moves []Transition[[2]int]) {
	for i := range s {
		if to := s; s[i] < c.maximum {
			to[i]++
			moves = append(moves, Transition[[2]int]{fmt.Sprint("count ", i), to})
		}
	}
	return moves
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

func TestWholeAndLimits(t *testing.T) {
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

// ball is a node of a world: whoever has the ball passes it on after 10; one without it for 100 makes a new one.
type ball struct {
	id   int
	has  bool
	due  int64
	seen string
}

func (b ball) Boot(now int64) (Node, []Message) {
	return ball{id: b.id, has: b.id == 0, due: now + 10 + int64(b.id)*90}, nil
}
func (b ball) Deliver(now int64, _ int, text string) (Node, []Message) {
	b.has, b.due, b.seen = true, now+10, text
	return b, nil
}
func (b ball) Tick(now int64) (Node, []Message) {
	switch {
	case now < b.due:
		return b, nil
	case b.has:
		b.has, b.due = false, now+100
		return b, []Message{{1 - b.id, "ball"}}
	}
	b.has, b.due = true, now+10
	return b, nil
}
func (b ball) NextTimer() (int64, bool)  { return b.due, true }
func (b ball) Key(now int64) string      { return fmt.Sprint(b.has, b.due-now) }
func (b ball) Describe(now int64) string { return fmt.Sprint(b.has) }

// Every kind of move does to the world what its name says: with none of them there is one ball for ever; each fault that
// can make a second one, or lose the only one for long, is found to do so, and the others are not.
func TestWorldMoves(t *testing.T) {
	balls := func(s *State) (n int) {
		for i := range s.Nodes {
			if s.DownUntil[i] == 0 && s.Nodes[i].(ball).has {
				n++
			}
		}
		return n + len(s.air)
	}
	for _, c := range []struct {
		name   string
		faults Faults
		two    bool
	}{
		{"none", Faults{}, false}, {"lost", Faults{Lose: 1}, true}, {"doubled", Faults{Duplicate: 1}, true},
		{"late", Faults{Delay: 1}, true}, {"pause", Faults{Pause: 1}, true}, {"crash", Faults{Crash: 1}, true},
		{"changed", Faults{EnvironmentChange: 1}, true},
	} {
		w := &World{
			Nodes: []Node{ball{id: 0}, ball{id: 1}}, MaxDelay: 1, ExtraDelay: 200, PauseDurations: []int64{300}, RestartDelay: 5,
			Faults: c.faults, Horizon: 2000,
			EnvironmentChanges: func(i int, n Node, now int64) []EnvironmentChange {
				b := n.(ball)
				b.has = true
				return []EnvironmentChange{{Name: "finds a ball", Next: b}}
			},
			Invariant: func(s *State) error {
				if n := balls(s); n > 1 {
					return fmt.Errorf("%d balls", n)
				}
				return nil
			},
		}
		res := BreadthFirst(w, Limits{MaxStates: 100_000})
		if (res.Counterexample != nil) != c.two {
			t.Errorf("%s: %+v", c.name, res)
		}
		if !c.two && res.States < 4 {
			t.Errorf("%s: %d states only", c.name, res.States)
		}
	}
}

// A message that was overtaken by a later one of its sender does not arrive where receivers know the order.
func TestOrder(t *testing.T) {
	s := &State{air: []flight{{from: 0, to: 1, text: "a"}, {from: 1, to: 0, text: "x"}, {from: 0, to: 1, text: "b"}}}
	for _, order := range []bool{false, true} {
		c := s.clone()
		c.take(2, order)
		if left := map[bool]int{false: 2, true: 1}[order]; len(c.air) != left {
			t.Errorf("order %v: %+v", order, c.air)
		}
	}
}
