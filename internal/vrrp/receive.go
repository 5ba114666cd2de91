package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// remoteRouter is what the last advertisement of another router said. The zero value is none.
type remoteRouter struct {
	from       netip.Addr
	priority   uint8
	receivedAt clock.Micros
	interval   clock.Micros
}

// alive tells whether the router advertised within the last three of its intervals.
func (h remoteRouter) alive(now clock.Micros) bool {
	return h.from.IsValid() && now-h.receivedAt < leaseIntervals*h.interval
}

// staysActive tells whether the router is alive and will remain active when it meets the sender of e, which advertises too.
func (h remoteRouter) staysActive(now clock.Micros, e AdvertisementReceived) bool {
	return h.alive(now) && h.from != e.From &&
		(h.priority > e.Priority || h.priority == e.Priority && e.From.Less(h.from))
}

// receiveAsBackup is RFC 9568, 6.4.2, with three departures.
//   - Of two routers that advertise, the one that will remain active is followed, and a release by the other is ignored.
//     Otherwise a router that finds out late that it is no longer active makes every backup take over from the one that is.
//   - When the followed router releases the address, the other one is followed, if it is alive.
//   - An active router of lower priority is not preempted before the preempt delay and damping are over.
func (m *Machine) receiveAsBackup(now clock.Micros, e AdvertisementReceived) {
	received := remoteRouter{e.From, e.Priority, now, e.AdvertisementInterval}
	switch {
	case e.Priority == PriorityRelease && e.From == m.otherRouter.from:
		m.otherRouter = remoteRouter{}
	case e.Priority == PriorityRelease && e.From == m.activeRouter.from:
		m.timer = now + SkewTime(m.Priority(), m.activeInterval)
		m.released, m.preemptAfter = true, 0
		m.activeRouter = remoteRouter{}
		m.followOtherRouter(now)
	case e.Priority == PriorityRelease:
	case m.activeRouter.staysActive(now, e):
		m.otherRouter = received
	case m.mayPreempt(now, e.Priority): // its down timer runs on
	default:
		if m.activeRouter.from != received.from && m.activeRouter.alive(now) {
			m.otherRouter = m.activeRouter // it is followed again if the new one releases the address
		}
		m.follow(received)
	}
}

// followOtherRouter follows the other router that advertised, now that the followed one is gone, unless it is to be preempted.
// It tells whether it does.
func (m *Machine) followOtherRouter(now clock.Micros) bool {
	other := m.otherRouter
	m.otherRouter = remoteRouter{}
	if !other.alive(now) || m.mayPreempt(now, other.priority) {
		return false
	}
	m.follow(other)
	return true
}

// mayPreempt tells whether an active router of this priority may be preempted now.
func (m *Machine) mayPreempt(now clock.Micros, priority uint8) bool {
	if priority >= m.Priority() {
		m.preemptAfter = 0
		return false
	}
	return m.config.Preempt && m.health.Ready && m.preemptDelayOver(now)
}

// follow makes r the active router that this backup waits for.
func (m *Machine) follow(h remoteRouter) {
	if m.otherRouter.from == h.from {
		m.otherRouter = remoteRouter{}
	}
	m.activeRouter, m.released, m.activeInterval = h, false, h.interval
	m.timer = h.receivedAt + m.downInterval()
}

// preemptDelayOver tells whether the preempt delay, which it starts if need be, and damping are over.
func (m *Machine) preemptDelayOver(now clock.Micros) bool {
	if m.preemptAfter == 0 {
		m.preemptAfter = now + m.config.PreemptDelay
	}
	return now >= m.preemptAfter && now >= m.damper.blockedUntil
}

// receiveAsActive is RFC 9568, 6.4.3, with one departure: a router that is preempted advertises once more.
func (m *Machine) receiveAsActive(now clock.Micros, e AdvertisementReceived, out []Action) []Action {
	switch {
	case e.Priority == PriorityRelease:
		return m.advertise(now, out)
	case e.Priority > m.Priority(), e.Priority == m.Priority() && m.config.LocalAddress.Less(e.From):
		// The other router may have been active all the time, and would not announce the address again, though the
		// network may lead it here. This advertisement makes it announce once more. The RFC has none.
		out = m.becomeBackup(now, CausePreempted, append(out, SendAdvertisement{m.Priority(), m.config.AdvertisementInterval}))
		m.follow(remoteRouter{e.From, e.Priority, now, e.AdvertisementInterval})
		return out
	}
	// A router of lower priority believes that it is active: it and the network are told at once where the address is.
	return append(m.advertise(now, out), AnnounceAddress{m.activation})
}
