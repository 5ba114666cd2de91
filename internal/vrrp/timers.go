package vrrp

import (
	"marblespan/internal/clock"
)

// stallPollLimit is how many poll intervals may pass without an event before a backup concludes that its process was
// stalled. A poll interval is half an advertisement interval, so that a busy processor is not taken for a stall at once.
const stallPollLimit = 3

// lateTimerDivisor is the part of an advertisement interval (a quarter) by which a timer may be handled late. A backup that
// is later than that may have unread advertisements, and waits that long again for them to be read.
const lateTimerDivisor = 4

// leaseIntervals is for how many intervals after an advertisement its sender may act as the active router. No peer takes
// over sooner: the shortest Active_Down_Interval is longer by its Skew_Time.
const leaseIntervals = 3

// SkewTime is Skew_Time of RFC 9568, 6.1: the higher the priority, the sooner a backup takes over.
func SkewTime(priority uint8, interval clock.Micros) clock.Micros {
	return (256 - clock.Micros(priority)) * interval / 256
}

// ActiveDownInterval is Active_Down_Interval of RFC 9568, 6.1: how long a backup waits for an advertisement of the active
// router before it takes over.
func ActiveDownInterval(priority uint8, interval clock.Micros) clock.Micros {
	return 3*interval + SkewTime(priority, interval)
}

// Lease is the time after which no request may be taken under the present activation unless another advertisement is sent
// first, for peers may have taken over. It is checked for every request: after a stall, the goroutine that takes requests may
// run before the one that owns the machine. It is 0 while not active.
func (m *Machine) Lease() clock.Micros {
	if m.state != Active {
		return 0
	}
	return m.lastSent + leaseIntervals*m.config.AdvertisementInterval
}

// Next is when a Tick is due. It returns false in Initialize.
func (m *Machine) Next() (clock.Micros, bool) {
	if m.state == Initialize {
		return 0, false
	}
	poll := m.lastHandled + m.pollInterval()
	if m.state == Backup && !m.health.Ready {
		return poll, true
	}
	return min(m.timerDue(), poll), true
}

// pollInterval is the longest time between two Ticks; a gap of several shows a stall.
func (m *Machine) pollInterval() clock.Micros { return m.config.AdvertisementInterval / 2 }

// timerDue is when the timer in force expires. For a backup it is never before the end of damping.
func (m *Machine) timerDue() clock.Micros {
	if m.state == Backup {
		return max(m.timer, m.damper.blockedUntil)
	}
	return m.timer
}

// downInterval is Active_Down_Interval for the interval that the active router advertised.
func (m *Machine) downInterval() clock.Micros {
	return ActiveDownInterval(m.Priority(), m.activeInterval)
}

// checkStall looks for a stall of the process. A router that was active becomes a backup without an advertisement: whoever
// took over must not be disturbed. A backup starts its timer again, as it may have missed advertisements; one that is only a
// little late waits for unread advertisements to be read.
func (m *Machine) checkStall(now clock.Micros) []Action {
	tolerance := m.config.AdvertisementInterval / lateTimerDivisor
	next, _ := m.Next()
	switch {
	case m.state == Active && now > m.Lease():
		return m.becomeBackup(now, CauseStalled, nil)
	case m.state == Backup && now-m.lastHandled > stallPollLimit*m.pollInterval():
		m.timer = max(m.timer, now+m.downInterval())
	case m.state == Backup && now-next > tolerance:
		m.timer = max(m.timer, now+tolerance)
	}
	return nil
}

// tick acts on the timer in force, if it has expired.
func (m *Machine) tick(now clock.Micros, out []Action) []Action {
	switch {
	case m.state == Active && now >= m.timer:
		return m.advertise(now, out)
	case m.state == Backup && m.health.Ready && now >= m.timerDue() && !m.followOtherRouter(now):
		cause := CauseActiveDown
		if m.released {
			cause = CauseReleased
		}
		return m.becomeActive(now, cause, out)
	}
	return out
}
