package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// remoteRouter holds the contents of the last advertisement of another router. The zero value means that no such
// router is known.
type remoteRouter struct {
	from       netip.Addr
	priority   uint8
	receivedAt clock.Micros
	interval   clock.Micros
}

// alive reports whether the router advertised within the last three of its advertisement intervals.
func (h remoteRouter) alive(now clock.Micros) bool {
	return h.from.IsValid() && now-h.receivedAt < leaseIntervals*h.interval
}

// staysActive reports whether the router is alive and will remain active when both the router and the sender of e advertise as
// active.
func (h remoteRouter) staysActive(now clock.Micros, e AdvertisementReceived) bool {
	return h.alive(now) && h.from != e.From &&
		(h.priority > e.Priority || h.priority == e.Priority && e.From.Less(h.from))
}

// receiveAsBackup implements RFC 9568, 6.4.2, with three deviations:
//   - If two routers advertise, the backup follows the one that will remain active and ignores a release by the other router.
//     Otherwise the release by a router that detects late that it is no longer active would make every backup take over from the
//     router that is active.
//   - When the followed router releases the address, the other router is followed if it is alive.
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
	case m.mayPreempt(now, e.Priority): // the active-down timer is not restarted: this backup takes over when the timer expires
	default:
		if m.activeRouter.from != received.from && m.activeRouter.alive(now) {
			m.otherRouter = m.activeRouter // the former router is followed again if the new router releases the address
		}
		m.follow(received)
	}
}

// followOtherRouter makes this backup follow otherRouter, after the followed router has released the address or stopped
// advertising. It does nothing if otherRouter is not alive or may be preempted. It reports whether otherRouter is now followed.
func (m *Machine) followOtherRouter(now clock.Micros) bool {
	other := m.otherRouter
	m.otherRouter = remoteRouter{}
	if !other.alive(now) || m.mayPreempt(now, other.priority) {
		return false
	}
	m.follow(other)
	return true
}

// mayPreempt reports whether an active router of the given priority may be preempted now.
func (m *Machine) mayPreempt(now clock.Micros, priority uint8) bool {
	if priority >= m.Priority() {
		m.preemptAfter = 0
		return false
	}
	return m.config.Preempt && m.health.Ready && m.preemptDelayOver(now)
}

// follow makes h the active router that this backup follows, and restarts the active-down timer.
func (m *Machine) follow(h remoteRouter) {
	if m.otherRouter.from == h.from {
		m.otherRouter = remoteRouter{}
	}
	m.activeRouter, m.released, m.activeInterval = h, false, h.interval
	m.timer = h.receivedAt + m.downInterval()
}

// preemptDelayOver reports whether the preempt delay and damping are over. It starts the preempt delay if the delay is
// not running.
func (m *Machine) preemptDelayOver(now clock.Micros) bool {
	if m.preemptAfter == 0 {
		m.preemptAfter = now + m.config.PreemptDelay
	}
	return now >= m.preemptAfter && now >= m.damper.blockedUntil
}

// receiveAsActive implements RFC 9568, 6.4.3, with one deviation: a router that is preempted advertises once more.
func (m *Machine) receiveAsActive(now clock.Micros, e AdvertisementReceived, out []Action) []Action {
	switch {
	case e.Priority == PriorityRelease:
		return m.advertise(now, out)
	case e.Priority > m.Priority(), e.Priority == m.Priority() && m.config.LocalAddress.Less(e.From):
		// The other router may have been active for some time already. It would then not announce the address again, although
		// the network may still direct the address to this gateway. This additional advertisement, which the RFC does not
		// have, makes the other router announce the address once more.
		out = m.becomeBackup(now, CausePreempted, append(out, SendAdvertisement{m.Priority(), m.config.AdvertisementInterval}))
		m.follow(remoteRouter{e.From, e.Priority, now, e.AdvertisementInterval})
		return out
	}
	// The sender also advertises as active, but must give way to this router. Advertise at once so that the sender becomes a
	// backup, and announce the address again because the network may direct packets for the address to the sender.
	return append(m.advertise(now, out), AnnounceAddress{m.activation})
}
