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

// The clock of the model: an interval of 1200 units, and messages that take at most 1.
const (
	interval = 1200
	delay    = 1
)

// mutant spoils one thing about the machine: before an event, or the actions that come of it.
type mutant struct {
	name   string
	before func(m *Machine, now clock.Micros, ev Event) Event
	after  func(m *Machine, now clock.Micros, out []Action) []Action
}

// gateway is one machine of the explored world.
type gateway struct {
	id, count int
	mut       *mutant
	m         *Machine
	lives     map[string]uint64 // the latest life that it has seen end, by name
	broken    string            // what it did that it must not do
	back      bool              // its clock is set back between two lives
}

func nameOf(i int) string { return string(rune('a' + i)) }

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

func (g gateway) Boot(now int64) (modelcheck.Node, []modelcheck.Message) {
	// Lives are as far apart as clocks make them: a machine that makes new lives of its own stays below its next start.
	life := uint64(now) * 1000
	if g.back {
		life = 1<<40 - life
	}
	g.m = New(Config{
		Name: nameOf(g.id), Address: addrOf(g.id), Generation: life, Interval: interval, Join: []netip.AddrPort{addrOf(0), addrOf(1)},
	})
	g.lives, g.broken = map[string]uint64{}, ""
	return g.step(now, Started{})
}

func (g gateway) step(now int64, ev Event) (modelcheck.Node, []modelcheck.Message) {
	n := g
	n.m = g.m.Clone()
	if n.mut != nil && n.mut.before != nil {
		ev = n.mut.before(n.m, clock.Micros(now), ev)
	}
	var out []Action
	if ev != nil {
		out = n.m.Handle(clock.Micros(now), ev)
	}
	if n.mut != nil && n.mut.after != nil {
		out = n.mut.after(n.m, clock.Micros(now), out)
	}
	n.lives = map[string]uint64{}
	for k, v := range g.lives {
		n.lives[k] = v
	}
	var sent []modelcheck.Message
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			for i := range g.count {
				if addrOf(i) == a.Address && i != g.id {
					raw, _ := json.Marshal(a.Message)
					sent = append(sent, modelcheck.Message{To: i, Text: string(raw)})
				}
			}
		case MemberChanged:
			n.judge(a)
		}
	}
	return n, sent
}

// judge holds a change against what came before: an end is final, and only a suspicion leads to a death.
func (g *gateway) judge(a MemberChanged) {
	switch ended := a.State.Ended(); {
	case !ended && a.Generation <= g.lives[a.Name]:
		g.broken = fmt.Sprintf("life %d of %s ended at %d and is %v again", a.Generation, a.Name, g.lives[a.Name], a.State)
	case ended:
		g.lives[a.Name] = max(g.lives[a.Name], a.Generation)
	}
}

func (g gateway) Deliver(now int64, from int, text string) (modelcheck.Node, []modelcheck.Message) {
	var msg Message
	if err := json.Unmarshal([]byte(text), &msg); err != nil {
		panic(err)
	}
	return g.step(now, MessageReceived{Source: addrOf(from), Message: msg})
}

func (g gateway) Wake(now int64) (modelcheck.Node, []modelcheck.Message) { return g.step(now, Tick{}) }

func (g gateway) Next() (int64, bool) {
	at, ok := g.m.Next()
	return int64(at), ok
}

func (g gateway) Key(now int64) string {
	return fmt.Sprintf("%+v", g.m.Members()) + fmt.Sprint(g.m.self, g.broken)
}

func (g gateway) Show(now int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%d[", g.m.self.Name, g.m.self.Generation)
	for _, v := range g.m.Members()[1:] {
		fmt.Fprintf(&b, "%s/%d.%d:%v ", v.Name, v.Generation, v.Incarnation, v.State)
	}
	return strings.TrimSpace(b.String()) + "]"
}

// settled is how long after the last fault everybody must know everybody again: an ask of the dead, a probe and a suspicion of
// its longest, and what the news take.
const settled = (rejoinIntervals + 3*maxSuspicionIntervals) * interval

func invariant(w *modelcheck.World) func(*modelcheck.State) error {
	return func(s *modelcheck.State) error {
		for i := range s.Nodes {
			g := s.Nodes[i].(gateway)
			if s.Down[i] != 0 {
				continue
			}
			if g.broken != "" {
				return fmt.Errorf("%s: %s", nameOf(i), g.broken)
			}
			for j := range s.Nodes {
				if i == j {
					continue
				}
				o := s.Nodes[j].(gateway)
				r, known := g.m.Lookup(nameOf(j))
				// Whoever is believed alive in a life knows that life: a member that was declared dead knows it before it is
				// believed again.
				if known && !r.State.Ended() && s.Down[j] == 0 && r.Generation > o.m.self.Generation && !g.back {
					return fmt.Errorf("%s believes in life %d of %s, which is in life %d", nameOf(i), r.Generation, nameOf(j), o.m.self.Generation)
				}
				if !s.Whole(delay) || s.Now-s.Calm < settled {
					continue
				}
				switch up := s.Down[j] == 0; {
				case up && (!known || r.State != Alive || r.Generation != o.m.self.Generation):
					return fmt.Errorf("%s does not know %s long after the last fault: %v", nameOf(i), nameOf(j), r.State)
				case !up && known && !r.State.Ended():
					return fmt.Errorf("%s believes that %s is %v, long after its end", nameOf(i), nameOf(j), r.State)
				}
			}
		}
		return nil
	}
}

type setting struct {
	name   string
	nodes  int
	faults modelcheck.Faults
	down   int64 // how long a crashed one stays away; 0: for good
	back   bool  // clocks are set back while it is away
}

var settings = []setting{
	{"three, calm", 3, modelcheck.Faults{}, 0, false},
	{"three, a crash for good", 3, modelcheck.Faults{Crash: 1}, 0, false},
	{"three, a crash and a restart", 3, modelcheck.Faults{Crash: 1}, 30 * interval, false},
	{"three, a quick restart", 3, modelcheck.Faults{Crash: 2}, interval / 2, false},
	{"three, a restart with the clock set back", 3, modelcheck.Faults{Crash: 1, Lose: 1}, 30 * interval, true},
	{"three, a quick restart with the clock set back", 3, modelcheck.Faults{Crash: 2}, interval / 2, true},
	{"three, pauses", 3, modelcheck.Faults{Pause: 2}, 0, false},
	{"three, losses", 3, modelcheck.Faults{Lose: 6}, 0, false},
	{"three, late and doubled", 3, modelcheck.Faults{Late: 3, Duplicate: 3}, 0, false},
	{"three, one parted", 3, modelcheck.Faults{Part: 2}, 0, false},
	{"four, partings and a crash", 4, modelcheck.Faults{Part: 3, Crash: 1, Lose: 2}, 9 * interval, false},
	{"four, all of it", 4, modelcheck.Faults{Lose: 4, Late: 2, Duplicate: 2, Crash: 1, Pause: 1}, 20 * interval, false},
	{"four, two crashes and a pause", 4, modelcheck.Faults{Crash: 2, Pause: 1, Lose: 2}, 9 * interval, false},
}

func (s setting) world(mut *mutant) *modelcheck.World {
	w := &modelcheck.World{
		Delay: delay, LateBy: interval, PauseFor: []int64{2 * interval, 12 * interval, 40 * interval}, DownFor: s.down, Faults: s.faults,
		PartFor: 30 * interval, Calm: settled,
	}
	for i := range s.nodes {
		w.Nodes = append(w.Nodes, gateway{id: i, count: s.nodes, mut: mut, back: s.back})
	}
	w.Invariant = invariant(w)
	return w
}

// room bounds how many walks are made at a time: other packages' tests run real processes beside, which are not to starve.
var room = make(chan bool, 2)

// walk makes one run of moves drawn at random, faults more seldom than all else, until long after the last of them.
func walk(s setting, mut *mutant, seed uint64) error {
	room <- true
	defer func() { <-room }()
	w := s.world(mut)
	rng := rand.New(rand.NewPCG(seed, 11))
	state := w.Start()
	stood := make([]bool, s.nodes)
	for steps := 0; state.Now < 2*settled+100*interval || state.Now-state.Calm < settled+interval; steps++ {
		moves := w.Moves(state)
		if len(moves) == 0 {
			return nil
		}
		faulty := func(m modelcheck.Move[*modelcheck.State]) bool { return m.To.Left != state.Left }
		usual := slices.DeleteFunc(slices.Clone(moves), faulty)
		if calm := state.Now > settled+60*interval; calm || rng.IntN(150) > 0 || len(usual) == len(moves) {
			moves = usual
		} else {
			moves = slices.DeleteFunc(slices.Clone(moves), func(m modelcheck.Move[*modelcheck.State]) bool { return !faulty(m) })
		}
		m := moves[rng.IntN(len(moves))]
		state = m.To
		err := w.Invariant(state)
		for j := range state.Nodes {
			if stood[j] = stood[j] || state.Paused[j]-state.Now > 3*interval || slices.Max(state.Parted) > 0; stood[j] || state.Down[j] != 0 {
				continue
			}
			// The few losses of a run may have somebody suspected, and never dead: there is time to say that it lives.
			o := state.Nodes[j].(gateway)
			for i := range state.Nodes {
				if r, known := state.Nodes[i].(gateway).m.Lookup(nameOf(j)); known && r.State == Dead && r.Generation == o.m.self.Generation && state.Down[i] == 0 {
					err = fmt.Errorf("%s holds %s dead, which never stood still for long", nameOf(i), nameOf(j))
				}
			}
		}
		if err != nil {
			return fmt.Errorf("seed %d, step %d, after %s: %w\n%s", seed, steps, m.Name[:min(len(m.Name), 40)], err, w.Show(state)[:min(len(w.Show(state)), 300)])
		}
	}
	return nil
}

// walks is how many runs each setting gets.
const walks = 5

func TestWalks(t *testing.T) {
	for _, s := range settings {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walks / fewer) {
				if err := walk(s, nil, seed); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// narrow is a world in which what is usual happens in one order, and a fault may come at every place of a span: breadth first
// all of these runs are looked at, where with every order of messages it would not get past the first moments.
type narrow struct {
	*modelcheck.World
	from, to int64
}

func (n narrow) Moves(s *modelcheck.State) (out []modelcheck.Move[*modelcheck.State]) {
	if s.Now > n.to+n.Calm+interval {
		return nil
	}
	for _, m := range n.World.Moves(s) {
		if faulty := m.To.Left != s.Left; faulty && s.Now >= n.from && s.Now < n.to || !faulty && len(out) == 0 {
			out = append(out, m)
		}
	}
	return out
}

// One fault, at every place of an interval in which three or four members know each other, and a second one at the
// same places: nothing is broken on the way, and everybody knows everybody long after it.
func TestEveryPlace(t *testing.T) {
	if fewer > 1 {
		t.Skip("the same states as without the race detector, many times slower")
	}
	for _, c := range []struct {
		setting
		span int64
	}{
		{setting{"three, a crash and a restart", 3, modelcheck.Faults{Crash: 1}, 30 * interval, false}, interval},
		{setting{"three, a pause", 3, modelcheck.Faults{Pause: 1}, 0, false}, interval / 2},
		{setting{"three, losses", 3, modelcheck.Faults{Lose: 2}, 0, false}, interval},
		{setting{"three, one late or doubled", 3, modelcheck.Faults{Late: 1, Duplicate: 1}, 0, false}, interval},
		{setting{"four, a loss", 4, modelcheck.Faults{Lose: 1}, 0, false}, interval},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			room <- true
			defer func() { <-room }()
			n := narrow{World: c.world(nil), from: 10 * interval, to: 10*interval + c.span}
			res := modelcheck.Run(n, modelcheck.Limits{})
			t.Logf("%d states, %d moves, depth %d", res.States, res.Moves, res.Depth)
			if res.Broken != nil {
				t.Error(res.Broken)
			}
			if !res.Whole || res.States < res.Depth+100 {
				t.Error("it has not looked at all places")
			}
		})
	}
}

// without drops the records for which skip holds from a message.
func without(ev Event, skip func(Record) bool) Event {
	h, ok := ev.(MessageReceived)
	if !ok {
		return ev
	}
	h.Message.Records = slices.DeleteFunc(slices.Clone(h.Message.Records), skip)
	return h
}

// Each of these machines is wrong in one point. The walks must find a run that shows it, or the invariants are worth nothing.
var mutants = []mutant{
	{name: "never suspects", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.probes {
			m.probes[i].sentAt = now
		}
		return out
	}},
	{name: "a suspicion never ends", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			m.members[i].suspectedSince = now
		}
		return out
	}},
	{name: "a suspicion kills at once", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			m.members[i].suspectedSince, m.members[i].lastAck = now-99*interval, 0
		}
		return out
	}},
	{name: "does not say that it lives", before: func(m *Machine, now clock.Micros, ev Event) Event {
		return without(ev, func(r Record) bool { return r.Name == m.self.Name && r.State == Suspect })
	}},
	{name: "says that it lives in the same words", after: func(m *Machine, now clock.Micros, out []Action) []Action {
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
	{name: "does not believe that it was declared dead", before: func(m *Machine, now clock.Micros, ev Event) Event {
		return without(ev, func(r Record) bool { return r.Name == m.self.Name && r.State.Ended() })
	}},
	{name: "the dead come back in the same life", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.State == Dead && e.Generation == h.Message.Generation {
				e.State, e.accusers = Alive, nil
			}
		}
		return ev
	}},
	{name: "goes back to an earlier life", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.Generation > h.Message.Generation {
				e.Generation = h.Message.Generation
			}
		}
		return ev
	}},
	{name: "makes up a new life for one that is declared dead", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		for i := range m.members {
			if e := &m.members[i]; e.State == Dead {
				e.State, e.Generation = Alive, e.Generation+1
			}
		}
		return out
	}},
	{name: "a new life that is no later than the last", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		for _, a := range out {
			if n, ok := a.(Notice); ok && n.Kind == DeclaredDead {
				m.self.Generation--
			}
		}
		return out
	}},
	{name: "never asks to be let in", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		return slices.DeleteFunc(out, func(a Action) bool { s, ok := a.(Send); return ok && s.To == "" && s.Message.Kind == Ping })
	}},
	{name: "answers nobody whom it does not know", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		return slices.DeleteFunc(out, func(a Action) bool { s, ok := a.(Send); return ok && s.To == "" })
	}},
	{name: "judges on waking what lies unread", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if next, ok := m.Next(); ok && now > next+interval {
			for i := range m.members {
				if e := &m.members[i]; e.State == Alive {
					e.State, e.suspectedSince, e.lastAck, e.accusers = Suspect, 1, 0, []string{m.self.Name}
					m.suspected = append(m.suspected, e.Name)
				}
			}
			m.lastEvent, m.accuseFrom = now, 0
		}
		return ev
	}},
	{name: "does not listen to the dead, not even about itself", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(MessageReceived); ok {
			if e := m.find(h.Message.From); e != nil && e.State == Dead && e.Generation == h.Message.Generation {
				h.Message.Records = nil
				return h
			}
		}
		return ev
	}},
	{name: "tells nobody that he is accused", before: func(m *Machine, now clock.Micros, ev Event) Event {
		return without(ev, func(r Record) bool { return r.Name == m.self.Name })
	}},
}

func TestMutantsAreCaught(t *testing.T) {
	if fewer > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walks) {
				for _, s := range settings {
					if err := walk(s, &mut, seed); err != nil {
						t.Logf("caught by %q: %.160s", s.name, err)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
