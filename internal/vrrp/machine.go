// Package vrrp decides which of several gateways holds a floating address. It is the state machine of VRRP version 3
// (RFC 9568) with three additions: the priority follows the gateway's own health, a state that flaps is damped, and a process
// that was stalled does not act on its old state.
//
// It is pure: Machine.Handle takes an event and the time, and returns the actions to carry out. There is no clock, socket,
// goroutine or random source in it; times are whole microseconds of a clock that never steps back. The caller is
// internal/floatingip, whose one goroutine owns every Machine.
//
// The main decisions: Machine.receiveAsBackup and Machine.receiveAsActive (which router is followed, who stays active),
// Machine.tick (when a backup takes over), Machine.checkStall (what a stalled process does), Machine.Lease (how long requests
// may be taken), effectivePriority and damper.
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

// String is the state's name in the RFC.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Machine is the state of one group on one gateway. New makes one; the zero value is not usable. It is a plain value: a copy
// is independent of the original.
type Machine struct {
	config     Config
	health     Health
	state      State
	activation uint32

	lastHandled        clock.Micros // when the last event was handled
	lastSent           clock.Micros // when the last advertisement was sent; valid while active
	timer              clock.Micros // the advertisement timer while active, the active-down timer while backup
	activeInterval     clock.Micros // the interval that the active router advertised
	activeRouter       remoteRouter
	otherRouter        remoteRouter // the last other router that advertised and was not followed
	stateSince         clock.Micros // start of this state
	released           bool         // the active router released the address, and no other is followed since
	preemptAfter       clock.Micros // when an active router of lower priority may be preempted; 0: none advertised
	advertisementsSent uint32       // of this activation
	damper             damper
}

// New returns a machine in Initialize.
func New(cfg Config) Machine { return Machine{config: cfg} }

// State is the present state.
func (m *Machine) State() State { return m.state }

// Activation numbers the times that this machine became active, from 1.
func (m *Machine) Activation() uint32 { return m.activation }

// Priority is the priority in force: that of the settings less the steps of all conditions that hold.
func (m *Machine) Priority() uint8 {
	return effectivePriority(m.config.Priority, m.config.PrioritySteps, m.health)
}

// Ready tells whether the gateway may be active at all.
func (m *Machine) Ready() bool { return m.health.Ready }

// ActiveRouter is the address of the active router that a backup follows. It is the zero value where none is known.
func (m *Machine) ActiveRouter() netip.Addr { return m.activeRouter.from }

// Since is when the present state began.
func (m *Machine) Since() clock.Micros { return m.stateSince }

// PreemptBlockedUntil is until when damping keeps the gateway from taking the address.
func (m *Machine) PreemptBlockedUntil() clock.Micros { return m.damper.blockedUntil }

// Handle processes one event and returns the actions to carry out. Time never goes back: an earlier now counts as the last one.
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

// healthChanged takes over the gateway's health. An active router that is not ready releases the address at once. A backup
// that becomes ready waits its Skew_Time, so that several do not become active in the same moment.
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

// configChanged takes over new settings. An active router advertises a new interval at once.
func (m *Machine) configChanged(now clock.Micros, next Config, out []Action) []Action {
	next.VRID, next.LocalAddress = m.config.VRID, m.config.LocalAddress
	changed := next.AdvertisementInterval != m.config.AdvertisementInterval
	m.config = next
	if m.state == Active && changed {
		return m.advertise(now, out) // backups learn the new interval before they wait by the old one
	}
	return out
}
