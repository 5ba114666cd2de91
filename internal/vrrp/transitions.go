package vrrp

import (
	"marblespan/internal/clock"
)

// announcePeriod is the number of advertisements between two announcements of the address, once an activation has sent that
// many advertisements.
const announcePeriod = 64

// startup handles the Startup event of RFC 9568, 6.4.1. A ready router with PriorityOwner becomes active; any other router becomes
// a backup.
func (m *Machine) startup(now clock.Micros, out []Action) []Action {
	m.activeInterval = m.config.AdvertisementInterval
	if m.Priority() == PriorityOwner && m.health.Ready {
		return m.becomeActive(now, CauseStartup, out)
	}
	m.timer = now + m.downInterval()
	return m.setState(now, Backup, CauseStartup, out)
}

// shutdown handles the Shutdown event of RFC 9568, 6.4.2 and 6.4.3. An active router first releases the address.
func (m *Machine) shutdown(now clock.Micros, out []Action) []Action {
	if m.state == Active {
		out = m.release(now, CauseShutdown, out)
	}
	if m.state == Initialize {
		return out
	}
	return m.setState(now, Initialize, CauseShutdown, out)
}

// becomeActive starts an activation. The listener is opened before the address is announced to the network, so that no
// connection is refused.
func (m *Machine) becomeActive(now clock.Micros, cause Cause, out []Action) []Action {
	m.activation++
	m.advertisementsSent = 0
	out = m.setState(now, Active, cause, out)
	m.activeRouter, m.otherRouter, m.released, m.preemptAfter = remoteRouter{}, remoteRouter{}, false, 0
	return append(m.advertise(now, append(out, Activate{m.activation})), AnnounceAddress{m.activation})
}

// advertise sends an advertisement, restarts the advertisement timer, and repeats the announcement of the address when due.
func (m *Machine) advertise(now clock.Micros, out []Action) []Action {
	m.lastSent, m.timer = now, now+m.config.AdvertisementInterval
	out = append(out, SendAdvertisement{m.Priority(), m.config.AdvertisementInterval})
	// An announcement may be lost, and no other machine requests it again. Therefore the announcement is repeated with the 2nd,
	// 4th, 8th and so on advertisement, and later with every 64th. In the RFC, the active router announces the address only
	// once.
	m.advertisementsSent++
	if n := m.advertisementsSent; n > 1 && (n%announcePeriod == 0 || n < announcePeriod && n&(n-1) == 0) {
		out = append(out, AnnounceAddress{m.activation})
	}
	return out
}

// release makes an active router a backup and advertises priority 0, so that the other routers wait only for their Skew_Time.
func (m *Machine) release(now clock.Micros, cause Cause, out []Action) []Action {
	return m.becomeBackup(now, cause, append(out, SendAdvertisement{PriorityRelease, m.config.AdvertisementInterval}))
}

// becomeBackup ends the activation without sending an advertisement.
func (m *Machine) becomeBackup(now clock.Micros, cause Cause, out []Action) []Action {
	if cause == CausePreempted || cause == CauseStalled {
		m.damper.activationEnded(now, now-m.stateSince, m.config.Damping)
	}
	m.activeInterval = m.config.AdvertisementInterval
	m.timer = now + m.downInterval()
	return m.setState(now, Backup, cause, append(out, Deactivate{m.activation, cause}))
}

// setState changes the state and adds a StateChanged action.
func (m *Machine) setState(now clock.Micros, to State, cause Cause, out []Action) []Action {
	out = append(out, StateChanged{m.state, to, cause})
	m.state, m.stateSince = to, now
	return out
}
