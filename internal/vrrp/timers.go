package vrrp

import (
	"marblespan/internal/clock"
)

// stallPollLimit is the number of poll intervals that may pass without an event before a backup concludes that its process was
// stalled. A poll interval is half an advertisement interval; the limit keeps a delay on a busy processor from counting as a
// stall immediately.
const stallPollLimit = 3

// A timer may be handled late by up to an advertisement interval divided by lateTimerDivisor. A backup whose timer is handled
// later than that may have unread advertisements. It waits for the same fraction of an interval, so that the unread
// advertisements are read first.
const lateTimerDivisor = 4

// leaseIntervals is the number of intervals after an advertisement for which its sender may act as the active router. No peer
// takes over earlier, because every Active_Down_Interval is three intervals plus the peer's Skew_Time.
const leaseIntervals = 3

// SkewTime returns Skew_Time of RFC 9568, 6.1. The skew time is shorter for a higher priority, so that the backup with the
// highest priority takes over first.
func SkewTime(priority uint8, interval clock.Micros) clock.Micros {
	return (256 - clock.Micros(priority)) * interval / 256
}

// ActiveDownInterval returns Active_Down_Interval of RFC 9568, 6.1: how long a backup waits for an advertisement of the active
// router before it takes over.
func ActiveDownInterval(priority uint8, interval clock.Micros) clock.Micros {
	return 3*interval + SkewTime(priority, interval)
}

// Lease returns the time until which requests may be accepted in the current activation, or 0 if the router is not active.
// After that time peers may have taken over, unless another advertisement has been sent, which extends the lease. The lease is
// checked for every request, because after a stall the goroutine that accepts requests may run before the goroutine that
// owns the machine.
func (m *Machine) Lease() clock.Micros {
	if m.state != Active {
		return 0
	}
	return m.lastSent + leaseIntervals*m.config.AdvertisementInterval
}

// Next returns the time at which a Tick is due. It returns false in state Initialize.
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

// pollInterval returns the longest time between two Ticks. If several such intervals pass without an event, the process was
// stalled.
func (m *Machine) pollInterval() clock.Micros { return m.config.AdvertisementInterval / 2 }

// timerDue returns the time at which the timer of the current state expires. A backup's timer does not expire before
// damping is over.
func (m *Machine) timerDue() clock.Micros {
	if m.state == Backup {
		return max(m.timer, m.damper.blockedUntil)
	}
	return m.timer
}

// downInterval returns Active_Down_Interval for the interval that the active router advertised.
func (m *Machine) downInterval() clock.Micros {
	return ActiveDownInterval(m.Priority(), m.activeInterval)
}

// checkStall checks whether the process was stalled. An active router whose lease has expired becomes a backup. It sends no
// advertisement, because an advertisement would interfere with a router that has taken over. A backup that was stalled restarts
// its timer, because it may have missed advertisements. A backup that is only slightly late waits briefly, so that unread
// advertisements are read first.
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

// tick acts on the timer of the current state if it has expired. An active router advertises. A backup that is ready follows
// otherRouter if it can, and otherwise becomes active.
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
