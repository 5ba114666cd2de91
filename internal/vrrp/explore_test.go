package vrrp

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// The clock of the model: an interval of 1024 units, so that one step of priority is 4 units of skew, and messages that
// take at most 1. A look is due twice an interval.
const (
	interval = 1024
	delay    = 1
)

// mutant spoils one thing about the machine. It may change the machine before an event, the event, and what comes out.
type mutant struct {
	name            string
	before          func(m *Machine, now clock.Micros, ev Event) Event
	after           func(m *Machine, now clock.Micros, out []Action) []Action
	mayTakeRequests func(m *Machine, now clock.Micros) bool
}

// node is a machine in the explorer's world.
type node struct {
	id, nodes int
	cfg       Config
	m         Machine
	mutant    *mutant
	heard     []clock.Micros // ghost: when the last advertisement of each was read, 0 after a release
}

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}) }

func (n node) handle(now int64, ev Event) (modelcheck.Node, []modelcheck.Message) {
	if n.mutant != nil && n.mutant.before != nil {
		ev = n.mutant.before(&n.m, clock.Micros(now), ev)
	}
	var out []Action
	if ev != nil {
		out = n.m.Handle(clock.Micros(now), ev)
	}
	if n.mutant != nil && n.mutant.after != nil {
		out = n.mutant.after(&n.m, clock.Micros(now), out)
	}
	var sent []modelcheck.Message
	for _, a := range out {
		if ad, ok := a.(SendAdvertisement); ok {
			for i := range n.nodes {
				if i != n.id {
					sent = append(sent, modelcheck.Message{To: i, Text: strconv.Itoa(int(ad.Priority))})
				}
			}
		}
	}
	return n, sent
}

func (n node) Boot(now int64) (modelcheck.Node, []modelcheck.Message) {
	n.m = New(n.cfg)
	n.m.health.Ready = true
	n.heard = make([]clock.Micros, n.nodes)
	return n.handle(now, Startup{})
}

func (n node) Deliver(now int64, from int, text string) (modelcheck.Node, []modelcheck.Message) {
	p, _ := strconv.Atoi(text)
	n.heard = append([]clock.Micros(nil), n.heard...)
	n.heard[from] = clock.Micros(now)
	if p == 0 {
		n.heard[from] = 0
	}
	return n.handle(now, AdvertisementReceived{From: addr(from), Priority: uint8(p), AdvertisementInterval: interval})
}

func (n node) Tick(now int64) (modelcheck.Node, []modelcheck.Message) { return n.handle(now, Tick{}) }

func (n node) NextTimer() (int64, bool) {
	at, ok := n.m.Next()
	return int64(at), ok
}

func (n node) Key(now int64) string {
	m := &n.m
	rel := func(t clock.Micros) clock.Micros {
		if t == 0 {
			return 1 << 40
		}
		return max(t-clock.Micros(now), -8*interval)
	}
	var b strings.Builder
	fmt.Fprint(&b, m.state, m.health.Ready, rel(m.lastHandled), rel(m.timer), m.activeRouter.from, m.activeRouter.priority, max(rel(m.activeRouter.receivedAt), -3*interval), m.otherRouter.from, m.otherRouter.priority, max(rel(m.otherRouter.receivedAt), -3*interval), m.released, rel(m.preemptAfter), m.activeInterval)
	if m.state == Active {
		fmt.Fprint(&b, rel(m.lastSent))
	}
	if m.config.Damping.InitialDelay > 0 {
		fmt.Fprint(&b, max(rel(m.stateSince), -m.config.Damping.Window-1), m.damper.flaps, rel(m.damper.blockedUntil), rel(m.damper.lastFlap))
	}
	for _, h := range n.heard {
		fmt.Fprint(&b, max(rel(h), -4*interval), " ")
	}
	return b.String()
}

func (n node) Describe(now int64) string {
	word := n.m.state.String()
	if !n.m.health.Ready {
		word += "/not ready"
	}
	return word
}

func (n node) mayTakeRequests(now int64) bool {
	if n.mutant != nil && n.mutant.mayTakeRequests != nil {
		return n.mutant.mayTakeRequests(&n.m, clock.Micros(now))
	}
	return clock.Micros(now) <= n.m.Lease()
}

// needless remembers a take-over from an active router that was being heard.
type needlessTakeover struct{ what string }

func (n needlessTakeover) Key(int64) string { return n.what }

// remember looks at a move: whoever just became active must not have heard a living one, of at least its own priority or
// not to be preempted, in the last three intervals, nor have its word unread.
func recordNeedlessTakeover(before, after *modelcheck.State) modelcheck.History {
	if before == nil {
		return needlessTakeover{}
	}
	if m := before.History.(needlessTakeover); m.what != "" {
		return m
	}
	for j := range after.Nodes {
		was, is := before.Nodes[j].(node), after.Nodes[j].(node)
		if after.DownUntil[j] != 0 || is.m.state != Active || was.m.state != Backup {
			continue
		}
		for i := range after.Nodes {
			other := before.Nodes[i].(node)
			if i == j || !before.Running(i) || other.m.state != Active || !other.m.health.Ready ||
				is.cfg.Preempt && is.m.Priority() > other.m.Priority() {
				continue
			}
			advert := func(text string) bool { return text != "0" }
			if h := is.heard[i]; h > 0 && clock.Micros(after.Now)-h < 3*interval || before.Unread(i, j, advert) {
				return needlessTakeover{fmt.Sprintf("%d took over though it heard %d", j, i)}
			}
		}
	}
	return needlessTakeover{}
}

// invariant is what must hold in every state. bound is the longest time without an active router once all is well.
// Where strict, leases never overlap, not even while advertisements cross: nobody preempts, and nobody starts alike. A
// paused router counts as if it woke just now, before its machine has noticed.
func invariant(full modelcheck.Faults, bound int64, strict bool) func(*modelcheck.State) error {
	return func(r *modelcheck.State) error {
		if m, ok := r.History.(needlessTakeover); ok && m.what != "" {
			return errors.New(m.what)
		}
		network := r.FaultsLeft.Lose == full.Lose && r.FaultsLeft.Delay == full.Delay
		calm := r.FaultFree(delay) && r.Now-r.LastFaultAt > bound
		active, ready := 0, 0
		for i := range r.Nodes {
			if r.DownUntil[i] != 0 {
				continue
			}
			a := r.Nodes[i].(node)
			if a.m.health.Ready {
				ready++
			}
			if a.m.state != Active {
				continue
			}
			active++
			if r.Running(i) && !a.m.health.Ready {
				return fmt.Errorf("%d is active and not ready", i)
			}
			for j := range i {
				b := r.Nodes[j].(node)
				if strict && r.DownUntil[j] == 0 && a.mayTakeRequests(r.Now) && b.mayTakeRequests(r.Now) {
					return fmt.Errorf("%d and %d may both take work", j, i)
				}
				if r.DownUntil[j] != 0 || b.m.state != Active || r.InFlight(i, j, delay) {
					continue
				}
				if network && r.FaultsLeft.Pause == full.Pause {
					return fmt.Errorf("%d and %d are both active, with nothing lost, late or standing still", j, i)
				}
				if network && r.Running(i) && r.Running(j) && a.mayTakeRequests(r.Now) && b.mayTakeRequests(r.Now) {
					return fmt.Errorf("%d and %d both take work after a pause", j, i)
				}
				if calm {
					return fmt.Errorf("%d and %d are still both active", j, i)
				}
			}
		}
		if calm && ready > 0 && active == 0 {
			return errors.New("nobody is active, though the network is whole and somebody ready")
		}
		return nil
	}
}

func readinessChanges(i int, n modelcheck.Node, now int64) []modelcheck.EnvironmentChange {
	v := n.(node)
	h := v.m.health
	h.Ready = !h.Ready
	to, out := v.handle(now, HealthChanged{h})
	name := "not ready"
	if h.Ready {
		name = "ready"
	}
	return []modelcheck.EnvironmentChange{{Name: name, Next: to, Sent: out}}
}

// setting is one arrangement that is explored.
type scenario struct {
	name         string
	priorities   []uint8
	preempt      bool
	preemptDelay clock.Micros
	damping      Damping
	faults       modelcheck.Faults
	until        int64
	strict       bool
}

var scenarios = []scenario{
	{"two, not preempting: a pause and a doubled one", []uint8{200, 100}, false, 0, Damping{},
		modelcheck.Faults{Pause: 1, Duplicate: 1}, 0, true},
	{"two: lost and late", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 1, Delay: 1}, 0, false},
	{"two: six lost", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 6}, 0, false},
	{"two: doubled and late", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Duplicate: 1, Delay: 1}, 0, false},
	{"two: a pause and a change", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Pause: 1, EnvironmentChange: 1}, 0, false},
	{"two: a pause and a crash", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Pause: 1, Crash: 1}, 0, false},
	{"two alike, not preempting: two pauses", []uint8{100, 100}, false, 0, Damping{}, modelcheck.Faults{Pause: 2}, 0, false},
	{"two alike: late and changes", []uint8{100, 100}, true, 0, Damping{}, modelcheck.Faults{Delay: 1, EnvironmentChange: 2}, 0, false},
	{"two, delayed and damped: two late", []uint8{200, 199}, true, 2 * interval, Damping{4 * interval, interval, 4 * interval},
		modelcheck.Faults{Delay: 2}, 16 * interval, false},
	{"three: a crash and a change", []uint8{200, 150, 100}, true, 0, Damping{}, modelcheck.Faults{Crash: 1, EnvironmentChange: 1}, 0, false},
	{"three alike: a pause", []uint8{100, 100, 100}, false, 0, Damping{}, modelcheck.Faults{Pause: 1}, 0, false},
	{"three: a loss and a change", []uint8{200, 150, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 1, EnvironmentChange: 1}, 0, false},
	{"three: one late and a change", []uint8{200, 150, 100}, false, 0, Damping{}, modelcheck.Faults{Delay: 1, EnvironmentChange: 1}, 0, false},
}

func (s scenario) world(mut *mutant) *modelcheck.World {
	w := &modelcheck.World{
		MaxDelay: delay, ExtraDelay: 5 * interval, PauseDurations: []int64{interval, 5 * interval}, RestartDelay: 2 * interval, Faults: s.faults,
		InOrder: true, Horizon: s.until, EnvironmentChanges: readinessChanges, History: recordNeedlessTakeover,
	}
	w.FaultFreeWindow = int64(6*interval + s.damping.MaxDelay + s.preemptDelay)
	w.Invariant = invariant(s.faults, w.FaultFreeWindow, s.strict)
	for i, p := range s.priorities {
		w.Nodes = append(w.Nodes, node{
			id: i, nodes: len(s.priorities), mutant: mut,
			cfg: Config{
				VRID: 1, Priority: p, AdvertisementInterval: interval, Preempt: s.preempt, PreemptDelay: s.preemptDelay, LocalAddress: addr(i), Damping: s.damping,
			},
		})
	}
	return w
}

// mostStates bounds one exploration; only those of three instances reach it.
const maxStates = 60_000

func TestExplore(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			res := modelcheck.BreadthFirst(s.world(nil), modelcheck.Limits{MaxStates: maxStates / fewerStates})
			t.Logf("%d states, %d moves, depth %d, whole: %v", res.States, res.Transitions, res.Depth, res.Complete)
			if res.Counterexample != nil {
				t.Error(res.Counterexample)
			}
		})
	}
}

// Each of these machines is wrong in one point. The explorer must find a run that shows it, or its invariants are worth
// nothing.
var mutants = []mutant{
	{name: "holds the address though it is not ready", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if n, ok := ev.(HealthChanged); ok && !n.Health.Ready && m.state == Active {
			m.health = n.Health
			return nil
		}
		return ev
	}},
	{name: "does not give way to a higher priority", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority > m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "does not settle a tie", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority == m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "does not answer a lower one", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority < m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "acts on its old state after a pause", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if m.state == Active {
			m.lastHandled, m.lastSent = now, now
		}
		return ev
	}},
	{name: "takes over on waking, with its messages unread", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if m.state == Backup && now >= m.timerDue() {
			m.lastHandled, m.timer = now, now
		}
		return ev
	}},
	{name: "follows any release", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Backup && h.Priority == PriorityRelease {
			m.activeRouter.from, m.otherRouter = h.From, remoteRouter{}
		}
		return ev
	}},
	{name: "follows whoever advertised last", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if _, ok := ev.(AdvertisementReceived); ok && m.state == Backup {
			m.activeRouter.receivedAt -= 4 * interval
		}
		return ev
	}},
	{name: "forgets the rival", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		m.otherRouter = remoteRouter{}
		return out
	}},
	{name: "never takes over", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup {
			m.timer = now + 9*interval
		}
		return out
	}},
	{name: "waits two intervals only", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup {
			m.timer = min(m.timer, now+2*interval)
		}
		return out
	}},
	{name: "does not wait anew when it hears the active one", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Backup && h.Priority != PriorityRelease && m.health.Ready {
			return nil
		}
		return ev
	}},
	{name: "takes work for as long as it thinks it is active", mayTakeRequests: func(m *Machine, now clock.Micros) bool {
		return m.state == Active
	}},
	{name: "goes for the address although it is not ready", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup && !m.health.Ready && now >= m.timer {
			return m.becomeActive(now, CauseActiveDown, out)
		}
		return out
	}},
}

func TestMutantsAreCaught(t *testing.T) {
	if fewerStates > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, s := range scenarios {
				if res := modelcheck.BreadthFirst(s.world(&mut), modelcheck.Limits{MaxStates: maxStates}); res.Counterexample != nil {
					t.Logf("caught by %q after %d states: %v", s.name, res.States, res.Counterexample.Err)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
