package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// standstillBeats is how many beats may be missed before a backup takes it that its process stood still. A beat is half an
// interval, so that a starved core is not mistaken for a stop at once.
const standstillBeats = 3

// lateLooks is the part of an interval by which a look may come late before a backup doubts what it knows, and for which it
// then waits for what lies unread.
const lateLooks = 4

// leaseIntervals is for how many intervals after an advertisement its sender may act on being active. No peer takes over
// sooner: the shortest Active_Down_Interval is longer by its skew.
const leaseIntervals = 3

// announceEvery is how many advertisements go between two announcements of a long tenure.
const announceEvery = 64

// Machine is one group's state on one gateway. Its zero value is of no use; New makes one. It is a plain value: a copy goes
// its own way.
type Machine struct {
	cfg    Config
	health Health
	state  State
	tenure uint32

	seen    clock.Micros // last time anything was handled
	sent    clock.Micros // last advertisement, valid while active
	timer   clock.Micros // the advertisement timer while active, the active-down timer while backup
	waiting clock.Micros // the interval that the active router advertised
	holder  holder
	rival   holder       // the last other one that advertised and was not followed
	since   clock.Micros // start of this state
	givenUp bool         // the holder released the address, and nobody has taken it since
	peaceBy clock.Micros // when a lower active router may be preempted; 0: none was heard
	adverts uint32       // of this tenure
	damp    damper
}

// holder is the active router that a backup follows. The zero value is none.
type holder struct {
	from     netip.Addr
	priority uint8
	heard    clock.Micros
	interval clock.Micros
}

// lives tells whether the holder was heard lately.
func (h holder) lives(now clock.Micros) bool {
	return h.from.IsValid() && now-h.heard < leaseIntervals*h.interval
}

// outlasts tells whether the holder is still being heard and will stay when it meets another that advertises too.
func (h holder) outlasts(now clock.Micros, e AdvertisementReceived) bool {
	return h.lives(now) && h.from != e.From &&
		(h.priority > e.Priority || h.priority == e.Priority && e.From.Less(h.from))
}

// New makes a machine in Initialize.
func New(cfg Config) Machine { return Machine{cfg: cfg} }

// State is the state now.
func (m *Machine) State() State { return m.state }

// Tenure numbers the times that the address was won.
func (m *Machine) Activation() uint32 { return m.tenure }

// Priority is the priority in force: the settings' less a step for all that is wrong.
func (m *Machine) Priority() uint8 { return effective(m.cfg.Priority, m.cfg.PrioritySteps, m.health) }

// Ready tells whether the gateway may hold the address at all.
func (m *Machine) Ready() bool { return m.health.Ready }

// Holder is the active router last heard, if this is a backup.
func (m *Machine) ActiveRouter() netip.Addr { return m.holder.from }

// Since is when the present state began.
func (m *Machine) Since() clock.Micros { return m.since }

// HeldUntil is when damping no longer holds the gateway back.
func (m *Machine) PreemptBlockedUntil() clock.Micros { return m.damp.until }

// Lease is the time after which nothing new may be taken under the present tenure: unless another advertisement goes out
// before, peers may have taken over. Whoever takes work asks it, so that a process that stood still is held back even if
// it notices elsewhere first. It is 0 while not active.
func (m *Machine) Lease() clock.Micros {
	if m.state != Active {
		return 0
	}
	return m.sent + leaseIntervals*m.cfg.AdvertisementInterval
}

// Next is when a Tick is due.
func (m *Machine) Next() (clock.Micros, bool) {
	if m.state == Initialize {
		return 0, false
	}
	beat := m.seen + m.beat()
	if m.state == Backup && !m.health.Ready {
		return beat, true
	}
	return min(m.due(), beat), true
}

func (m *Machine) beat() clock.Micros { return m.cfg.AdvertisementInterval / 2 }

// due is when the timer in force fires. A backup that is held back waits for the end of that too.
func (m *Machine) due() clock.Micros {
	if m.state == Backup {
		return max(m.timer, m.damp.until)
	}
	return m.timer
}

// Handle takes in one event. Time never goes back: an earlier time counts as the last one.
func (m *Machine) Handle(now clock.Micros, ev Event) []Action {
	now = max(now, m.seen)
	out := m.wake(now)
	m.seen = now
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
			m.heardAsBackup(now, e)
		case m.state == Active:
			out = m.heardAsActive(now, e, out)
		}
	case HealthChanged:
		out = m.noticed(now, e.Health, out)
	case ActivateFailed:
		if m.state == Active && e.Activation == m.tenure {
			out = m.release(now, CauseActivateFailed, out)
			m.damp.strike(now, m.cfg.Damping)
		}
	case ConfigChanged:
		out = m.reconfigure(now, e.Config, out)
	}
	return m.tick(now, out)
}

// wake looks whether the process stood still. One that was active gives way without a word: whoever took over meanwhile is
// not to be disturbed, and its old state is worth nothing. A backup starts its wait anew, for advertisements may have been
// missed; where it was only a little late, it leaves those that lie unread the time to be read.
func (m *Machine) wake(now clock.Micros) []Action {
	late := m.cfg.AdvertisementInterval / lateLooks
	next, _ := m.Next()
	switch {
	case m.state == Active && now > m.Lease():
		return m.lose(now, CauseStalled, nil)
	case m.state == Backup && now-m.seen > standstillBeats*m.beat():
		m.timer = max(m.timer, now+m.downInterval())
	case m.state == Backup && now-next > late:
		m.timer = max(m.timer, now+late)
	}
	return nil
}

func (m *Machine) downInterval() clock.Micros { return ActiveDownInterval(m.Priority(), m.waiting) }

func (m *Machine) startup(now clock.Micros, out []Action) []Action {
	m.waiting = m.cfg.AdvertisementInterval
	if m.Priority() == PriorityOwner && m.health.Ready {
		return m.win(now, CauseStartup, out)
	}
	m.timer = now + m.downInterval()
	return m.become(now, Backup, CauseStartup, out)
}

func (m *Machine) shutdown(now clock.Micros, out []Action) []Action {
	if m.state == Active {
		out = m.release(now, CauseShutdown, out)
	}
	if m.state == Initialize {
		return out
	}
	return m.become(now, Initialize, CauseShutdown, out)
}

// heardAsBackup is RFC 9568, 6.4.2, step by step, with three departures. Of two that advertise the one that will stay is
// followed, and the other's release does not count: otherwise a router that notices late that it is not active any more
// makes every backup go for what another holds. For the same reason a release makes way for that other one, if there is
// one. A lower active router is left in peace for the preempt delay, and while damping holds this one back.
func (m *Machine) heardAsBackup(now clock.Micros, e AdvertisementReceived) {
	heard := holder{e.From, e.Priority, now, e.AdvertisementInterval}
	switch {
	case e.Priority == PriorityRelease && e.From == m.rival.from:
		m.rival = holder{}
	case e.Priority == PriorityRelease && e.From == m.holder.from:
		m.timer = now + SkewTime(m.Priority(), m.waiting)
		m.givenUp, m.peaceBy = true, 0
		m.holder = holder{}
		m.followRival(now)
	case e.Priority == PriorityRelease:
	case m.holder.outlasts(now, e):
		m.rival = heard
	case m.mayTakeFrom(now, e.Priority): // its down timer runs on
	default:
		if m.holder.from != heard.from && m.holder.lives(now) {
			m.rival = m.holder // it may stay, if the new one does not
		}
		m.follow(heard)
	}
}

// followRival follows the other one that advertised, now that the holder is gone, unless it is to be preempted.
func (m *Machine) followRival(now clock.Micros) bool {
	rival := m.rival
	m.rival = holder{}
	if !rival.lives(now) || m.mayTakeFrom(now, rival.priority) {
		return false
	}
	m.follow(rival)
	return true
}

// mayTakeFrom tells whether an active router is to be preempted now.
func (m *Machine) mayTakeFrom(now clock.Micros, priority uint8) bool {
	if priority >= m.Priority() {
		m.peaceBy = 0
		return false
	}
	return m.cfg.Preempt && m.health.Ready && m.preempts(now)
}

func (m *Machine) follow(h holder) {
	if m.rival.from == h.from {
		m.rival = holder{}
	}
	m.holder, m.givenUp, m.waiting = h, false, h.interval
	m.timer = h.heard + m.downInterval()
}

// preempts tells whether a lower active router has been left in peace for long enough.
func (m *Machine) preempts(now clock.Micros) bool {
	if m.peaceBy == 0 {
		m.peaceBy = now + m.cfg.PreemptDelay
	}
	return now >= m.peaceBy && now >= m.damp.until
}

// heardAsActive is RFC 9568, 6.4.3.
func (m *Machine) heardAsActive(now clock.Micros, e AdvertisementReceived, out []Action) []Action {
	switch {
	case e.Priority == PriorityRelease:
		return m.advertise(now, out)
	case e.Priority > m.Priority(), e.Priority == m.Priority() && m.cfg.LocalAddress.Less(e.From):
		// One that never lost sight of itself does not know that somebody else had the address too, and that the network
		// may lead there. A last word of the lower one has it say again where the address is. The RFC has none.
		out = m.lose(now, CausePreempted, append(out, SendAdvertisement{m.Priority(), m.cfg.AdvertisementInterval}))
		m.follow(holder{e.From, e.Priority, now, e.AdvertisementInterval})
		return out
	}
	// A lower one thinks it is active: it and the network are told at once where the address is.
	return append(m.advertise(now, out), AnnounceAddress{m.tenure})
}

// noticed takes in the gateway's health. One that cannot serve gives up at once; one that can again waits its skew, so that
// several do not go for the address in the same moment.
func (m *Machine) noticed(now clock.Micros, h Health, out []Action) []Action {
	wasReady := m.health.Ready
	m.health = h
	switch {
	case m.state == Active && !h.Ready:
		return m.release(now, CauseNotReady, out)
	case m.state == Backup && h.Ready && !wasReady:
		m.timer = max(m.timer, now+SkewTime(m.Priority(), m.waiting))
	}
	return out
}

func (m *Machine) reconfigure(now clock.Micros, next Config, out []Action) []Action {
	next.VRID, next.LocalAddress = m.cfg.VRID, m.cfg.LocalAddress
	changed := next.AdvertisementInterval != m.cfg.AdvertisementInterval
	m.cfg = next
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
	case m.state == Backup && m.health.Ready && now >= m.due() && !m.followRival(now):
		cause := CauseActiveDown
		if m.givenUp {
			cause = CauseReleased
		}
		return m.win(now, cause, out)
	}
	return out
}

// win takes the address: the listener first, so that whoever is led here is heard.
func (m *Machine) win(now clock.Micros, cause Cause, out []Action) []Action {
	m.tenure++
	m.adverts = 0
	out = m.become(now, Active, cause, out)
	m.holder, m.rival, m.givenUp, m.peaceBy = holder{}, holder{}, false, 0
	return append(m.advertise(now, append(out, Activate{m.tenure})), AnnounceAddress{m.tenure})
}

func (m *Machine) advertise(now clock.Micros, out []Action) []Action {
	m.sent, m.timer = now, now+m.cfg.AdvertisementInterval
	out = append(out, SendAdvertisement{m.Priority(), m.cfg.AdvertisementInterval})
	// One announcement might be lost, and nobody would ask for it again: the 2nd, 4th, 8th and so on go with another, later
	// every so many. The RFC sends one.
	m.adverts++
	if n := m.adverts; n > 1 && (n%announceEvery == 0 || n < announceEvery && n&(n-1) == 0) {
		out = append(out, AnnounceAddress{m.tenure})
	}
	return out
}

// release gives the address up with a word to the others, who need not wait for their down intervals then.
func (m *Machine) release(now clock.Micros, cause Cause, out []Action) []Action {
	return m.lose(now, cause, append(out, SendAdvertisement{PriorityRelease, m.cfg.AdvertisementInterval}))
}

// lose goes back to Backup.
func (m *Machine) lose(now clock.Micros, cause Cause, out []Action) []Action {
	if cause == CausePreempted || cause == CauseStalled {
		m.damp.lost(now, now-m.since, m.cfg.Damping)
	}
	m.waiting = m.cfg.AdvertisementInterval
	m.timer = now + m.downInterval()
	return m.become(now, Backup, cause, append(out, Deactivate{m.tenure, cause}))
}

func (m *Machine) become(now clock.Micros, to State, cause Cause, out []Action) []Action {
	out = append(out, StateChanged{m.state, to, cause})
	m.state, m.since = to, now
	return out
}
