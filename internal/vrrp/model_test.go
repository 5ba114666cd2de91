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

// The time units of the model: an advertisement interval is 1024 units, so that a difference of one in priority changes
// Skew_Time by 4 units. A message takes at most 1 unit. A Tick is due at least twice per interval.
const (
	interval = 1024
	delay    = 1
)

// mutant makes the machine wrong in one point. before may change the machine and the event before the event is handled, after
// may change the machine and the actions afterwards, and mayTakeRequests replaces the check of the lease.
type mutant struct {
	name            string
	before          func(m *Machine, now clock.Micros, ev Event) Event
	after           func(m *Machine, now clock.Micros, out []Action) []Action
	mayTakeRequests func(m *Machine, now clock.Micros) bool
}

// node adapts a machine to the model checker's Node interface.
type node struct {
	id, nodes  int
	cfg        Config
	m          Machine
	mutant     *mutant
	receivedAt []clock.Micros // only for the invariants: when the last advertisement of each node was handled; 0 after a release
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

// needlessTakeover describes a takeover from an active router whose advertisements were still being received. It is empty if
// none has happened.
type needlessTakeover struct{ what string }

func (n needlessTakeover) Key(int64) string { return n.what }

// recordNeedlessTakeover checks a transition for a needless takeover: a router became active although it received an
// advertisement in the last three intervals, or has an unread one, from an active router that is running and ready and that
// it may not preempt.
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

// invariant returns the check of every state. bound is the longest time after the last fault during which there may be no
// active router, or more than one. If strict is set, leases must never overlap, not even while advertisements are in flight;
// this holds if no router preempts and all priorities differ. A paused router is treated as if it resumed now and had not
// handled an event yet.
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
					return fmt.Errorf("%d and %d may both accept requests", j, i)
				}
				if r.DownUntil[j] != 0 || b.m.state != Active || r.InFlight(i, j, delay) {
					continue
				}
				if network && r.FaultsLeft.Pause == full.Pause {
					return fmt.Errorf("%d and %d are both active although no message was lost or delayed and no node was paused", j, i)
				}
				if network && r.Running(i) && r.Running(j) && a.mayTakeRequests(r.Now) && b.mayTakeRequests(r.Now) {
					return fmt.Errorf("%d and %d may both accept requests after a pause", j, i)
				}
				if calm {
					return fmt.Errorf("%d and %d are still both active", j, i)
				}
			}
		}
		if calm && ready > 0 && active == 0 {
			return errors.New("no node is active although there are no more faults and a node is ready")
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
