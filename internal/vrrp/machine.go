// Package vrrp decides which of several gateways holds a floating address. It is the state machine of VRRP version 3
// (RFC 9568) with three additions: the priority depends on the gateway's own health, a gateway that flaps between active and
// backup is damped, and a process that was stalled does not act on its old state.
//
// The state machine is pure: Machine.Handle takes an event and the time, and returns the actions to carry out. It uses no
// clock, socket, goroutine or random source. Times are whole microseconds of a clock that never steps back. The caller is
// internal/floatingip, where a single goroutine owns all Machines.
//
// The main decisions are in Machine.receiveAsBackup and Machine.receiveAsActive (which router is followed, and which router
// stays active), Machine.tick (when a backup takes over), Machine.checkStall (what happens after a stall), Machine.Lease (until
// when requests may be accepted), effectivePriority and damper.
package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// State is a state of RFC 9568, 6.3.
type State uint8

// The states of RFC 9568, 6.3.
const (
	Initialize State = iota
	Backup
	Active
)

// String returns the state's name in the RFC, in lower case.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Machine is the state of one virtual router on one gateway. New returns a Machine; the zero value is not usable. A Machine is a
// plain value: a copy is independent of the original.
type Machine struct {
	config     Config
	health     Health
	state      State
	activation uint32

	lastHandled        clock.Micros // when the last event was handled
	lastSent           clock.Micros // when the last advertisement was sent; valid while active
	timer              clock.Micros // expiry of the advertisement timer while active, or of the active-down timer while backup
	activeInterval     clock.Micros // the interval that the active router advertised
	activeRouter       remoteRouter // the router that this backup follows
	otherRouter        remoteRouter // another router that advertised as active and that this backup does not follow
	stateSince         clock.Micros // start of the current state
	released           bool         // the active router released the address, and no other router has been followed since
	preemptAfter       clock.Micros // when an active router of lower priority may be preempted; 0: no such router advertised
	advertisementsSent uint32       // number of advertisements sent in this activation
	damper             damper
}

// New returns a machine in state Initialize.
func New(cfg Config) Machine { return Machine{config: cfg} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Activation returns how many times this machine has become active, which is also the number of the latest activation.
func (m *Machine) Activation() uint32 { return m.activation }

// Priority returns the effective priority: the configured priority minus the steps of all conditions that hold.
func (m *Machine) Priority() uint8 {
	return effectivePriority(m.config.Priority, m.config.PrioritySteps, m.health)
}

// Ready reports whether the gateway can serve requests. Only a ready gateway becomes or stays active.
func (m *Machine) Ready() bool { return m.health.Ready }

// ActiveRouter returns the address of the active router that a backup follows, or the zero value if no active router
// is known.
func (m *Machine) ActiveRouter() netip.Addr { return m.activeRouter.from }

// Since returns the time at which the current state began.
func (m *Machine) Since() clock.Micros { return m.stateSince }

// PreemptBlockedUntil returns the time until which damping keeps the gateway from becoming active.
func (m *Machine) PreemptBlockedUntil() clock.Micros { return m.damper.blockedUntil }

// Handle processes one event and returns the actions to carry out. If now is earlier than the time of the previous event, that
// time is used instead.
func (m *Machine) Handle(now clock.Micros, ev Event) []Action {
	now = max(now, m.lastHandled)
	out := m.checkStall(now)
	m.lastHandled = now
	switch e := ev.(type) {
	case Startup:
		if m.state == Initialize {
			out = m.startup(now, out)
		}
	case Shutdown:
		out = m.shutdown(now, out)
	case AdvertisementReceived:
		switch {
		case m.state == Backup:
			m.receiveAsBackup(now, e)
		case m.state == Active:
			out = m.receiveAsActive(now, e, out)
		}
	case HealthChanged:
		out = m.healthChanged(now, e.Health, out)
	case ActivateFailed:
		if m.state == Active && e.Activation == m.activation {
			out = m.release(now, CauseActivateFailed, out)
			m.damper.recordFlap(now, m.config.Damping)
		}
	case ConfigChanged:
		out = m.configChanged(now, e.Config, out)
	}
	return m.tick(now, out)
}

// healthChanged stores the gateway's new health. An active router that is not ready releases the address at once. A backup that
// becomes ready waits for at least its Skew_Time, so that several backups do not become active simultaneously.
func (m *Machine) healthChanged(now clock.Micros, h Health, out []Action) []Action {
	wasReady := m.health.Ready
	m.health = h
	switch {
	case m.state == Active && !h.Ready:
		return m.release(now, CauseNotReady, out)
	case m.state == Backup && h.Ready && !wasReady:
		m.timer = max(m.timer, now+SkewTime(m.Priority(), m.activeInterval))
	}
	return out
}

// configChanged applies new settings. An active router advertises a new interval at once.
func (m *Machine) configChanged(now clock.Micros, next Config, out []Action) []Action {
	next.VRID, next.LocalAddress = m.config.VRID, m.config.LocalAddress
	changed := next.AdvertisementInterval != m.config.AdvertisementInterval
	m.config = next
	if m.state == Active && changed {
		return m.advertise(now, out) // so that backups stop using the old interval for their timers
	}
	return out
}
