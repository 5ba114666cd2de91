package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// The time units of the model: a probe interval is 1200 units, and a message takes at most 1 unit.
const (
	interval = 1200
	delay    = 1
)

// mutant makes the machine wrong in one point: alterEvent changes the machine or the event before it is handled, and
// alterActions changes the machine or the resulting actions afterwards.
type mutant struct {
	name         string
	alterEvent   func(m *Machine, now clock.Micros, ev Event) Event
	alterActions func(m *Machine, now clock.Micros, out []Action) []Action
}

// modelNode is one machine of the model.
type modelNode struct {
	id, nodes        int
	mutant           *mutant
	machine          *Machine
	endedGenerations map[string]uint64 // the latest generation of each member that this node has seen end
	violation        string            // the invariant that this node's own view violated; empty: none
	clockSetBack     bool              // the node's clock is set back between two generations
}

func nodeName(i int) string { return string(rune('a' + i)) }

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

func (g modelNode) Boot(now int64) (modelcheck.Node, []modelcheck.Message) {
	// Multiplied by 1000, so that generations that a running machine starts on its own, which are one higher each, stay below
	// the generation of its next restart, as they do with real clocks.
	generation := uint64(now) * 1000
	if g.clockSetBack {
		generation = 1<<40 - generation
	}
	g.machine = New(Config{
		Name: nodeName(g.id), Address: nodeAddress(g.id), Generation: generation, Interval: interval, Join: []netip.AddrPort{nodeAddress(0), nodeAddress(1)},
	})
	g.endedGenerations, g.violation = map[string]uint64{}, ""
	return g.step(now, Started{})
}

func (g modelNode) step(now int64, ev Event) (modelcheck.Node, []modelcheck.Message) {
	n := g
	n.machine = g.machine.Clone()
	if n.mutant != nil && n.mutant.alterEvent != nil {
		ev = n.mutant.alterEvent(n.machine, clock.Micros(now), ev)
	}
	var out []Action
	if ev != nil {
		out = n.machine.Handle(clock.Micros(now), ev)
	}
	if n.mutant != nil && n.mutant.alterActions != nil {
		out = n.mutant.alterActions(n.machine, clock.Micros(now), out)
	}
	n.endedGenerations = map[string]uint64{}
	for k, v := range g.endedGenerations {
		n.endedGenerations[k] = v
	}
	var sent []modelcheck.Message
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			for i := range g.nodes {
				if nodeAddress(i) == a.Address && i != g.id {
					raw, _ := json.Marshal(a.Message)
					sent = append(sent, modelcheck.Message{To: i, Text: string(raw)})
				}
			}
		case MemberChanged:
			n.checkChange(a)
		}
	}
	return n, sent
}

// checkChange records a violation if a member becomes alive or suspect in a generation that this node has already seen end, or
// in an earlier one.
func (g *modelNode) checkChange(a MemberChanged) {
	switch ended := a.State.Ended(); {
	case !ended && a.Generation <= g.endedGenerations[a.Name]:
		g.violation = fmt.Sprintf("generation %d of %s is %[4]v after generation %[3]d had ended", a.Generation, a.Name, g.endedGenerations[a.Name], a.State)
	case ended:
		g.endedGenerations[a.Name] = max(g.endedGenerations[a.Name], a.Generation)
	}
}

func (g modelNode) Deliver(now int64, from int, text string) (modelcheck.Node, []modelcheck.Message) {
	var msg Message
	if err := json.Unmarshal([]byte(text), &msg); err != nil {
		panic(err)
	}
	return g.step(now, MessageReceived{Source: nodeAddress(from), Message: msg})
}

func (g modelNode) Tick(now int64) (modelcheck.Node, []modelcheck.Message) {
	return g.step(now, Tick{})
}

func (g modelNode) NextTimer() (int64, bool) {
	at, ok := g.machine.Next()
	return int64(at), ok
}

func (g modelNode) Key(now int64) string {
	return fmt.Sprintf("%+v", g.machine.Members()) + fmt.Sprint(g.machine.self, g.violation)
}

func (g modelNode) Describe(now int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%d[", g.machine.self.Name, g.machine.self.Generation)
	for _, v := range g.machine.Members()[1:] {
		fmt.Fprintf(&b, "%s/%d.%d:%v ", v.Name, v.Generation, v.Incarnation, v.State)
	}
	return strings.TrimSpace(b.String()) + "]"
}

// convergeTime is the time after the last fault within which all members must see each other correctly again. It covers a ping
// to a dead member, a probe, the longest suspicion, and the time that gossip takes.
const convergeTime = (rejoinIntervals + 3*maxSuspicionIntervals) * interval

// invariant returns the check of every state.
func invariant(w *modelcheck.World) func(*modelcheck.State) error {
	return func(s *modelcheck.State) error {
		for i := range s.Nodes {
			g := s.Nodes[i].(modelNode)
			if s.DownUntil[i] != 0 {
				continue
			}
			if g.violation != "" {
				return fmt.Errorf("%s: %s", nodeName(i), g.violation)
			}
			for j := range s.Nodes {
				if i == j {
					continue
				}
				o := s.Nodes[j].(modelNode)
				r, known := g.machine.Lookup(nodeName(j))
				// No member is considered alive in a generation later than its own, because only the member itself starts a new
				// generation, after it has learned that it was declared dead.
				if known && !r.State.Ended() && s.DownUntil[j] == 0 && r.Generation > o.machine.self.Generation && !g.clockSetBack {
					return fmt.Errorf("%s considers generation %d of %s alive, but that member is in generation %d", nodeName(i), r.Generation, nodeName(j), o.machine.self.Generation)
				}
				if !s.FaultFree(delay) || s.Now-s.LastFaultAt < convergeTime {
					continue
				}
				switch up := s.DownUntil[j] == 0; {
				case up && (!known || r.State != Alive || r.Generation != o.machine.self.Generation):
					return fmt.Errorf("%s does not consider %s alive long after the last fault: %v", nodeName(i), nodeName(j), r.State)
				case !up && known && !r.State.Ended():
					return fmt.Errorf("%s still has %s as %v long after it crashed", nodeName(i), nodeName(j), r.State)
				}
			}
		}
		return nil
	}
}

// scenario is a number of nodes and the faults that may happen to them.
type scenario struct {
	name         string
	nodes        int
	faults       modelcheck.Faults
	downFor      int64 // how long a crashed node stays down; 0: permanently
	clockSetBack bool  // a crashed node's clock is set back while it is down
}

var scenarios = []scenario{
	{"three, no fault", 3, modelcheck.Faults{}, 0, false},
	{"three, a permanent crash", 3, modelcheck.Faults{Crash: 1}, 0, false},
	{"three, a crash and a restart", 3, modelcheck.Faults{Crash: 1}, 30 * interval, false},
	{"three, a quick restart", 3, modelcheck.Faults{Crash: 2}, interval / 2, false},
	{"three, a restart with the clock set back", 3, modelcheck.Faults{Crash: 1, Lose: 1}, 30 * interval, true},
	{"three, a quick restart with the clock set back", 3, modelcheck.Faults{Crash: 2}, interval / 2, true},
	{"three, pauses", 3, modelcheck.Faults{Pause: 2}, 0, false},
	{"three, losses", 3, modelcheck.Faults{Lose: 6}, 0, false},
	{"three, delayed and duplicated", 3, modelcheck.Faults{Delay: 3, Duplicate: 3}, 0, false},
	{"three, one partitioned", 3, modelcheck.Faults{Partition: 2}, 0, false},
	{"four, partitions and a crash", 4, modelcheck.Faults{Partition: 3, Crash: 1, Lose: 2}, 9 * interval, false},
	{"four, all faults", 4, modelcheck.Faults{Lose: 4, Delay: 2, Duplicate: 2, Crash: 1, Pause: 1}, 20 * interval, false},
	{"four, two crashes and a pause", 4, modelcheck.Faults{Crash: 2, Pause: 1, Lose: 2}, 9 * interval, false},
}

func (s scenario) world(mut *mutant) *modelcheck.World {
	w := &modelcheck.World{
		MaxDelay: delay, ExtraDelay: interval, PauseDurations: []int64{2 * interval, 12 * interval, 40 * interval}, RestartDelay: s.downFor, Faults: s.faults,
		PartitionDuration: 30 * interval, FaultFreeWindow: convergeTime,
	}
	for i := range s.nodes {
		w.Nodes = append(w.Nodes, modelNode{id: i, nodes: s.nodes, mutant: mut, clockSetBack: s.clockSetBack})
	}
	w.Invariant = invariant(w)
	return w
}

// walkSlots limits how many walks run at a time, because tests of other packages may run real processes at the same time.
var walkSlots = make(chan bool, 2)

// randomWalk makes random moves, with faults less often than other moves, until convergeTime after the last fault has passed.
// It returns an error when a state violates the invariant.
func randomWalk(sc scenario, mut *mutant, seed uint64) error {
	walkSlots <- true
	defer func() { <-walkSlots }()
	w := sc.world(mut)
	rng := rand.New(rand.NewPCG(seed, 11))
	state := w.InitialState()
	disturbed := make([]bool, sc.nodes)
	for steps := 0; state.Now < 2*convergeTime+100*interval || state.Now-state.LastFaultAt < convergeTime+interval; steps++ {
		moves := w.Transitions(state)
		if len(moves) == 0 {
			return nil
		}
		faulty := func(m modelcheck.Transition[*modelcheck.State]) bool { return m.Next.FaultsLeft != state.FaultsLeft }
		faultless := slices.DeleteFunc(slices.Clone(moves), faulty)
		if calm := state.Now > convergeTime+60*interval; calm || rng.IntN(150) > 0 || len(faultless) == len(moves) {
			moves = faultless
		} else {
			moves = slices.DeleteFunc(slices.Clone(moves), func(m modelcheck.Transition[*modelcheck.State]) bool { return !faulty(m) })
		}
		m := moves[rng.IntN(len(moves))]
		state = m.Next
		err := w.Invariant(state)
		for j := range state.Nodes {
			if disturbed[j] = disturbed[j] || state.PausedUntil[j]-state.Now > 3*interval || slices.Max(state.PartitionedUntil) > 0; disturbed[j] || state.DownUntil[j] != 0 {
				continue
			}
			// The few messages lost in a run may cause a member to be suspected, but never to be declared dead, because it has
			// enough time to refute the suspicion. Members that were paused or partitioned for long are exempt.
			o := state.Nodes[j].(modelNode)
			for i := range state.Nodes {
				if r, known := state.Nodes[i].(modelNode).machine.Lookup(nodeName(j)); known && r.State == Dead && r.Generation == o.machine.self.Generation && state.DownUntil[i] == 0 {
					err = fmt.Errorf("%s considers %s dead, although it was never stalled or partitioned for long", nodeName(i), nodeName(j))
				}
			}
		}
		if err != nil {
			return fmt.Errorf("seed %d, step %d, after %s: %w\n%s", seed, steps, m.Name[:min(len(m.Name), 40)], err, w.Describe(state)[:min(len(w.Describe(state)), 300)])
		}
	}
	return nil
}

// walksPerScenario is the number of random walks for each scenario.
const walksPerScenario = 5

func TestRandomWalks(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walksPerScenario / runDivisor) {
				if err := randomWalk(s, nil, seed); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// singleOrder is a world in which moves without a fault happen in a single order, and a fault may happen at any moment between
// two times. A breadth-first search covers all of these runs; if it also had to try every order of messages, it would not get
// beyond the first moments.
type singleOrder struct {
	*modelcheck.World
	from, to int64
}

func (o singleOrder) Transitions(s *modelcheck.State) (out []modelcheck.Transition[*modelcheck.State]) {
	if s.Now > o.to+o.FaultFreeWindow+interval {
		return nil
	}
	for _, m := range o.World.Transitions(s) {
		if faulty := m.Next.FaultsLeft != s.FaultsLeft; faulty && s.Now >= o.from && s.Now < o.to || !faulty && len(out) == 0 {
			out = append(out, m)
		}
	}
	return out
}

// TestFaultAtEveryMoment injects a fault at every moment of an interval in which three or four members know each other, and
// where the scenario allows it a second one: no state violates an invariant, and all members see each other correctly
// convergeTime after the fault.
func TestFaultAtEveryMoment(t *testing.T) {
	if runDivisor > 1 {
		t.Skip("explores the same states as without the race detector, but many times slower")
	}
	for _, c := range []struct {
		scenario
		window int64
	}{
		{scenario{"three, a crash and a restart", 3, modelcheck.Faults{Crash: 1}, 30 * interval, false}, interval},
		{scenario{"three, a pause", 3, modelcheck.Faults{Pause: 1}, 0, false}, interval / 2},
		{scenario{"three, losses", 3, modelcheck.Faults{Lose: 2}, 0, false}, interval},
		{scenario{"three, one delayed or duplicated", 3, modelcheck.Faults{Delay: 1, Duplicate: 1}, 0, false}, interval},
		{scenario{"four, a loss", 4, modelcheck.Faults{Lose: 1}, 0, false}, interval},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			walkSlots <- true
			defer func() { <-walkSlots }()
			n := singleOrder{World: c.world(nil), from: 10 * interval, to: 10*interval + c.window}
			res := modelcheck.BreadthFirst(n, modelcheck.Limits{})
			t.Logf("%d states, %d moves, depth %d", res.States, res.Transitions, res.Depth)
			if res.Counterexample != nil {
				t.Error(res.Counterexample)
			}
			if !res.Complete || res.States < res.Depth+100 {
				t.Errorf("got %d states, depth %d, complete %v: want all moments checked", res.States, res.Depth, res.Complete)
			}
		})
	}
}

// withoutRecords returns the event with the records for which skip returns true removed, if it is a message.
func withoutRecords(ev Event, skip func(Record) bool) Event {
	h, ok := ev.(MessageReceived)
	if !ok {
		return ev
	}
	h.Message.Records = slices.DeleteFunc(slices.Clone(h.Message.Records), skip)
	return h
}

// Each of these mutants is wrong in one point. The walks must find a violation for each; a mutant that is not caught shows
// that the invariants are too weak.
var mutants = []mutant{
	{name: "never suspects", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.probes {
			m.probes[i].sentAt = now
		}
		return out
	}},
	{name: "a suspicion never ends", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			m.members[i].suspectedSince = now
		}
		return out
	}},
	{name: "declares a suspect dead at once", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			m.members[i].suspectedSince, m.members[i].lastAck = now-99*interval, 0
		}
		return out
	}},
	{name: "does not refute a suspicion", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		return withoutRecords(ev, func(r Record) bool { return r.Name == m.self.Name && r.State == Suspect })
	}},
	{name: "refutes without a higher incarnation", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		m.self.Incarnation, m.digestStale = 0, true
		for i := range out {
			if s, ok := out[i].(Send); ok {
				s.Message.Incarnation = 0
				for k := range s.Message.Records {
					if r := &s.Message.Records[k]; r.Name == m.self.Name {
						r.Incarnation = 0
					}
				}
				out[i] = s
			}
		}
		return out
	}},
	{name: "ignores that it was declared dead", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		return withoutRecords(ev, func(r Record) bool { return r.Name == m.self.Name && r.State.Ended() })
	}},
	{name: "a dead member comes back in the same generation", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.State == Dead && e.Generation == h.Message.Generation {
				e.State, e.suspectedBy = Alive, nil
			}
		}
		return ev
	}},
	{name: "goes back to an earlier generation", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.Generation > h.Message.Generation {
				e.Generation = h.Message.Generation
			}
		}
		return ev
	}},
	{name: "invents a new generation for a dead member", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			if e := &m.members[i]; e.State == Dead {
				e.State, e.Generation = Alive, e.Generation+1
			}
		}
		return out
	}},
	{name: "starts a new generation that is not later than the last", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		for _, a := range out {
			if n, ok := a.(Notice); ok && n.Kind == DeclaredDead {
				m.self.Generation--
			}
		}
		return out
	}},
	{name: "never joins", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		return slices.DeleteFunc(out, func(a Action) bool { s, ok := a.(Send); return ok && s.To == "" && s.Message.Kind == Ping })
	}},
	{name: "does not answer unknown members", alterActions: func(m *Machine, now clock.Micros, out []Action) []Action {
		return slices.DeleteFunc(out, func(a Action) bool { s, ok := a.(Send); return ok && s.To == "" })
	}},
	{name: "suspects members after a stall before reading their messages", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		if next, ok := m.Next(); ok && now > next+interval {
			for i := range m.members {
				if e := &m.members[i]; e.State == Alive {
					e.State, e.suspectedSince, e.lastAck, e.suspectedBy = Suspect, 1, 0, []string{m.self.Name}
					m.suspected = append(m.suspected, e.Name)
				}
			}
			m.lastEvent, m.stallGraceUntil = now, 0
		}
		return ev
	}},
	{name: "ignores the records of it that a dead member sends", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.State == Dead && e.Generation == h.Message.Generation {
				h.Message.Records = nil
				return h
			}
		}
		return ev
	}},
	{name: "does not process records of itself", alterEvent: func(m *Machine, now clock.Micros, ev Event) Event {
		return withoutRecords(ev, func(r Record) bool { return r.Name == m.self.Name })
	}},
}

func TestMutantsAreCaught(t *testing.T) {
	if runDivisor > 1 {
		t.Skip("makes the same runs as without the race detector, but many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walksPerScenario) {
				for _, s := range scenarios {
					if err := randomWalk(s, &mut, seed); err != nil {
						t.Logf("caught by %q: %.160s", s.name, err)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
