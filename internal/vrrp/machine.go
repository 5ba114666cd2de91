package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// standstillBeats is how many beats may be missed before a backup takes it that its process stood still. A beat is half an
// interval, so that a starved core is not mistaken for a stop at once.
const stallPollLimit = 3

// lateLooks is the part of an interval by which a look may come late before a backup doubts what it knows, and for which it
// then waits for what lies unread.
const lateTimerFraction = 4

// leaseIntervals is for how many intervals after an advertisement its sender may act on being active. No peer takes over
// sooner: the shortest Active_Down_Interval is longer by its skew.
const leaseIntervals = 3

// announceEvery is how many advertisements go between two announcements of a long tenure.
const announcePeriod = 64

// Machine is one group's state on one gateway. Its zero value is of no use; New makes one. It is a plain value: a copy goes
// its own way.
type Machine struct {
	config     Config
	health     Health
	state      State
	activation uint32

	lastHandled        clock.Micros // last time anything was handled
	lastSent           clock.Micros // last advertisement, valid while active
	timer              clock.Micros // the advertisement timer while active, the active-down timer while backup
	activeInterval     clock.Micros // the interval that the active router advertised
	activeRouter       remoteRouter
	otherRouter        remoteRouter // the last other one that advertised and was not followed
	stateSince         clock.Micros // start of this state
	released           bool         // the holder released the address, and nobody has taken it since
	preemptAfter       clock.Micros // when a lower active router may be preempted; 0: none was heard
	advertisementsSent uint32       // of this tenure
	damper             damper
}

// holder is the active router that a backup follows. The zero value is none.
type remoteRouter struct {
	from       netip.Addr
	priority   uint8
	receivedAt clock.Micros
	interval   clock.Micros
}

// lives tells whether the holder was heard lately.
func (h remoteRouter) alive(now clock.Micros) bool {
	return h.from.IsValid() && now-h.receivedAt < leaseIntervals*h.interval
}

// outlasts tells whether the holder is still being heard and will stay when it meets another that advertises too.
func (h remoteRouter) staysActive(now clock.Micros, e AdvertisementReceived) bool {
	return h.alive(now) && h.from != e.From &&
		(h.priority > e.Priority || h.priority == e.Priority && e.From.Less(h.from))
}

// New makes a machine in Initialize.
func New(cfg Config) Machine { return Machine{config: cfg} }

// State is the state now.
func (m *Machine) State() State { return m.state }

// Tenure numbers the times that the address was won.
func (m *Machine) Activation() uint32 { return m.activation }

// Priority is the priority in force: the settings' less a step for all that is wrong.
func (m *Machine) Priority() uint8 {
	return effectivePriority(m.config.Priority, m.config.PrioritySteps, m.health)
}

// Ready tells whether the gateway may hold the address at all.
func (m *Machine) Ready() bool { return m.health.Ready }

// Holder is the active router last heard, if this is a backup.
func (m *Machine) ActiveRouter() netip.Addr { return m.activeRouter.from }

// Since is when the present state began.
func (m *Machine) Since() clock.Micros { return m.stateSince }

// HeldUntil is when damping no longer holds the gateway back.
func (m *Machine) PreemptBlockedUntil() clock.Micros { return m.damper.blockedUntil }

// Lease is the time after which nothing new may be taken under the present tenure: unless another advertisement goes out
// before, peers may have taken over. Whoever takes work asks it, so that a process that stood still is held back even if
// it notices elsewhere first. It is 0 while not active.
func (m *Machine) Lease() clock.Micros {
	if m.state != Active {
		return 0
	}
	return m.lastSent + leaseIntervals*m.config.AdvertisementInterval
}

// Next is when a Tick is due.
func (m *Machine) Next() (clock.Micros, bool) {
	if m.state == Initialize {
		return 0, false
	}
	beat := m.lastHandled + m.pollInterval()
	if m.state == Backup && !m.health.Ready {
		return beat, true
	}
	return min(m.timerDue(), beat), true
}

func (m *Machine) pollInterval() clock.Micros { return m.config.AdvertisementInterval / 2 }

// due is when the timer in force fires. A backup that is held back waits for the end of that too.
func (m *Machine) timerDue() clock.Micros {
	if m.state == Backup {
		return max(m.timer, m.damper.blockedUntil)
	}
	return m.timer
}

// Handle takes in one event. Time never goes back: an earlier time counts as the last one.
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

// wake looks whether the process stood still. One that was active gives way without a word: whoever took over meanwhile is
// not to be disturbed, and its old state is worth nothing. A backup starts its wait anew, for advertisements may have been
// missed; where it was only a little late, it leaves those that lie unread the time to be read.
func (m *Machine) checkStall(now clock.Micros) []Action {
	tolerance := m.config.AdvertisementInterval / lateTimerFraction
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

func (m *Machine) downInterval() clock.Micros {
	return ActiveDownInterval(m.Priority(), m.activeInterval)
}

func (m *Machine) startup(now clock.Micros, out []Action) []Action {
	m.activeInterval = m.config.AdvertisementInterval
	if m.Priority() == PriorityOwner && m.health.Ready {
		return m.becomeActive(now, CauseStartup, out)
	}
	m.timer = now + m.downInterval()
	return m.setState(now, Backup, CauseStartup, out)
}

func (m *Machine) shutdown(now clock.Micros, out []Action) []Action {
	if m.state == Active {
		out = m.release(now, CauseShutdown, out)
	}
	if m.state == Initialize {
		return out
	}
	return m.setState(now, Initialize, CauseShutdown, out)
}

// heardAsBackup is RFC 9568, 6.4.2, step by step, with three departures. Of two that advertise the one that will stay is
// followed, and the other's release does not count: otherwise a router that notices late that it is not active any more
// makes every backup go for what another holds. For the same reason a release makes way for that other one, if there is
// one. A lower active router is left in peace for the preempt delay, and while damping holds this one back.
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
			m.otherRouter = m.activeRouter // it may stay, if the new one does not
		}
		m.follow(received)
	}
}

// followRival follows the other one that advertised, now that the holder is gone, unless it is to be preempted.
func (m *Machine) followOtherRouter(now clock.Micros) bool {
	other := m.otherRouter
	m.otherRouter = remoteRouter{}
	if !other.alive(now) || m.mayPreempt(now, other.priority) {
		return false
	}
	m.follow(other)
	return true
}

// mayTakeFrom tells whether an active router is to be preempted now.
func (m *Machine) mayPreempt(now clock.Micros, priority uint8) bool {
	if priority >= m.Priority() {
		m.preemptAfter = 0
		return false
	}
	return m.config.Preempt && m.health.Ready && m.preemptDelayOver(now)
}

func (m *Machine) follow(h remoteRouter) {
	if m.otherRouter.from == h.from {
		m.otherRouter = remoteRouter{}
	}
	m.activeRouter, m.released, m.activeInterval = h, false, h.interval
	m.timer = h.receivedAt + m.downInterval()
}

// preempts tells whether a lower active router has been left in peace for long enough.
func (m *Machine) preemptDelayOver(now clock.Micros) bool {
	if m.preemptAfter == 0 {
		m.preemptAfter = now + m.config.PreemptDelay
	}
	return now >= m.preemptAfter && now >= m.damper.blockedUntil
}

// heardAsActive is RFC 9568, 6.4.3.
func (m *Machine) receiveAsActive(now clock.Micros, e AdvertisementReceived, out []Action) []Action {
	switch {
	case e.Priority == PriorityRelease:
		return m.advertise(now, out)
	case e.Priority > m.Priority(), e.Priority == m.Priority() && m.config.LocalAddress.Less(e.From):
		// One that never lost sight of itself does not know that somebody else had the address too, and that the network
		// may lead there. A last word of the lower one has it say again where the address is. The RFC has none.
		out = m.becomeBackup(now, CausePreempted, append(out, SendAdvertisement{m.Priority(), m.config.AdvertisementInterval}))
		m.follow(remoteRouter{e.From, e.Priority, now, e.AdvertisementInterval})
		return out
	}
	// A lower one thinks it is active: it and the network are told at once where the address is.
	return append(m.advertise(now, out), AnnounceAddress{m.activation})
}

// noticed takes in the gateway's health. One that cannot serve gives up at once; one that can again waits its skew, so that
// several do not go for the address in the same moment.
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

func (m *Machine) configChanged(now clock.Micros, next Config, out []Action) []Action {
	next.VRID, next.LocalAddress = m.config.VRID, m.config.LocalAddress
	changed := next.AdvertisementInterval != m.config.AdvertisementInterval
	m.config = next
	if m.state == Active && changed {
		return m.advertise(now, out) // backups learn the new interval before they wait by the old one
	}
	return out
}

// tick acts on the timer, if it is due.
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

// win takes the address: the listener first, so that whoever is led here is heard.
func (m *Machine) becomeActive(now clock.Micros, cause Cause, out []Action) []Action {
	m.activation++
	m.advertisementsSent = 0
	out = m.setState(now, Active, cause, out)
	m.activeRouter, m.otherRouter, m.released, m.preemptAfter = remoteRouter{}, remoteRouter{}, false, 0
	return append(m.advertise(now, append(out, Activate{m.activation})), AnnounceAddress{m.activation})
}

func (m *Machine) advertise(now clock.Micros, out []Action) []Action {
	m.lastSent, m.timer = now, now+m.config.AdvertisementInterval
	out = append(out, SendAdvertisement{m.Priority(), m.config.AdvertisementInterval})
	// One announcement might be lost, and nobody would ask for it again: the 2nd, 4th, 8th and so on go with another, later
	// every so many. The RFC sends one.
	m.advertisementsSent++
	if n := m.advertisementsSent; n > 1 && (n%announcePeriod == 0 || n < announcePeriod && n&(n-1) == 0) {
		out = append(out, AnnounceAddress{m.activation})
	}
	return out
}

// release gives the address up with a word to the others, who need not wait for their down intervals then.
func (m *Machine) release(now clock.Micros, cause Cause, out []Action) []Action {
	return m.becomeBackup(now, cause, append(out, SendAdvertisement{PriorityRelease, m.config.AdvertisementInterval}))
}

// lose goes back to Backup.
func (m *Machine) becomeBackup(now clock.Micros, cause Cause, out []Action) []Action {
	if cause == CausePreempted || cause == CauseStalled {
		m.damper.activationEnded(now, now-m.stateSince, m.config.Damping)
	}
	m.activeInterval = m.config.AdvertisementInterval
	m.timer = now + m.downInterval()
	return m.setState(now, Backup, cause, append(out, Deactivate{m.activation, cause}))
}

func (m *Machine) setState(now clock.Micros, to State, cause Cause, out []Action) []Action {
	out = append(out, StateChanged{m.state, to, cause})
	m.state, m.stateSince = to, now
	return out
}
