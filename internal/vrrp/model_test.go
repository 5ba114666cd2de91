package vrrp

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// The time units of the model: with an advertisement interval of 1024 units, one step of priority is 4 units of Skew_Time.
// A message takes at most 1 unit. A Tick is due twice an interval.
const (
	interval = 1024
	delay    = 1
)

// mutant makes the machine wrong in one point. It may change the machine and the event before it is handled, the machine and
// the actions after it, and the check of the lease.
type mutant struct {
	name            string
	before          func(m *Machine, now clock.Micros, ev Event) Event
	after           func(m *Machine, now clock.Micros, out []Action) []Action
	mayTakeRequests func(m *Machine, now clock.Micros) bool
}

// node is a machine as a node of the model checker.
type node struct {
	id, nodes  int
	cfg        Config
	m          Machine
	mutant     *mutant
	receivedAt []clock.Micros // for the invariants only: when the last advertisement of each was read, 0 after a release
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
	n.receivedAt = make([]clock.Micros, n.nodes)
	return n.handle(now, Startup{})
}

func (n node) Deliver(now int64, from int, text string) (modelcheck.Node, []modelcheck.Message) {
	p, _ := strconv.Atoi(text)
	n.receivedAt = append([]clock.Micros(nil), n.receivedAt...)
	n.receivedAt[from] = clock.Micros(now)
	if p == 0 {
		n.receivedAt[from] = 0
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
	lately := func(r remoteRouter) clock.Micros { return max(rel(r.receivedAt), -3*interval) }
	fmt.Fprint(&b, m.state, m.health.Ready, rel(m.lastHandled), rel(m.timer),
		m.activeRouter.from, m.activeRouter.priority, lately(m.activeRouter),
		m.otherRouter.from, m.otherRouter.priority, lately(m.otherRouter),
		m.released, rel(m.preemptAfter), m.activeInterval)
	if m.state == Active {
		fmt.Fprint(&b, rel(m.lastSent))
	}
	if m.config.Damping.InitialDelay > 0 {
		fmt.Fprint(&b, max(rel(m.stateSince), -m.config.Damping.Window-1), m.damper.flaps, rel(m.damper.blockedUntil), rel(m.damper.lastFlap))
	}
	for _, h := range n.receivedAt {
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

// needlessTakeover records a take-over from an active router whose advertisements were being received.
type needlessTakeover struct{ what string }

func (n needlessTakeover) Key(int64) string { return n.what }

// recordNeedlessTakeover looks at a transition. A router that just became active must not have received an advertisement in the
// last three intervals, nor have one unread, of an active router that runs and is ready and that it may not preempt.
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
			if h := is.receivedAt[i]; h > 0 && clock.Micros(after.Now)-h < 3*interval || before.Unread(i, j, advert) {
				return needlessTakeover{fmt.Sprintf("%d took over although it received advertisements of %d", j, i)}
			}
		}
	}
	return needlessTakeover{}
}

// invariant returns the check of every state. bound is the longest time without an active router once there are no faults any
// more. With strict, leases never overlap, not even while advertisements are in flight; this holds where no router preempts and
// no two priorities are equal. A paused router counts as if it resumed now, before its machine has handled an event.
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
