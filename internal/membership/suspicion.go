package membership

import (
	"slices"

	"marblespan/internal/clock"
)

// This file is what becomes of a member that does not answer: suspicion, its deadline, and its end.

// suspects lists whom anybody accuses.
func (m *Machine) currentSuspects() (all []*member) {
	m.suspected = slices.DeleteFunc(m.suspected, func(name string) bool {
		e := m.find(name)
		if e == nil || e.State != Suspect || slices.Contains(all, e) {
			return true
		}
		all = append(all, e)
		return false
	})
	return all
}

// deadline is when a suspicion becomes a death: the sooner the more others confirm it, the later the more this member itself
// misses, and never while the suspected one has answered here within the least span. To be heard is not enough: one that hears
// nobody is of no use to anybody, however much it says.
func (m *Machine) suspicionDeadline(e *member) clock.Micros {
	t, intervals := m.cfg.Interval, minSuspicionIntervals*1000
	if !m.cfg.WithoutLifeguard {
		needed := max(min(maxConfirmations, m.countAlive()-1), 0)
		intervals = maxSuspicionIntervals*1000 - (maxSuspicionIntervals-minSuspicionIntervals)*confirmationScore(needed, len(e.accusers)-1)
	}
	end := e.suspectedSince + t*clock.Micros(intervals)*clock.Micros(m.LocalHealth())/1000
	if !m.cfg.WithoutLifeguard {
		end = max(end, e.lastAck+minSuspicionIntervals*t)
	}
	return end
}

// confirmed is how far a suspicion is confirmed, in thousandths: the logarithm of its accusers as Lifeguard has it.
func confirmationScore(needed, have int) int {
	table := [][]int{{1000}, {0, 1000}, {0, 631, 1000}, {0, 500, 792, 1000}}[needed]
	return table[max(min(have, needed), 0)]
}

// expire declares dead whom nobody has found alive in time.
func (m *Machine) expireSuspicions(now clock.Micros) {
	if now < m.accuseFrom {
		return
	}
	for _, e := range m.currentSuspects() {
		if now >= m.suspicionDeadline(e) {
			r := e.Record
			r.State, r.ReportedBy = Dead, m.self.Name
			m.endGeneration(now, e, r)
		}
	}
}

// suspect notes that somebody accuses a member, and spreads it for as long as that confirms anything.
func (m *Machine) suspect(now clock.Micros, e *member, incarnation uint32, by string, since clock.Micros) {
	if by == e.Name || slices.Contains(e.accusers, by) && e.State == Suspect {
		return
	}
	switch {
	case e.State == Suspect && len(e.accusers) > maxConfirmations:
		return
	case e.State == Suspect:
		e.accusers = append(e.accusers, by)
		e.ReportedBy = by
		m.gossipMember(e.Name)
		return
	}
	previous := e.State
	e.State, e.ReportedBy, e.Incarnation, e.stateSince, e.suspectedSince, e.accusers = Suspect, by, incarnation, now, since, []string{by}
	m.suspected = append(m.suspected, e.Name)
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: e.Record, Previous: previous})
}

// end ends a life.
func (m *Machine) endGeneration(now clock.Micros, e *member, r Record) {
	previous := e.State
	if e.Generation != r.Generation {
		e.lastHelper, e.rtt = "", 0
	}
	e.Record, e.stateSince, e.accusers, e.indirectOnly, e.path = r, now, nil, 0, PathState{}
	m.digestStale = true
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: r, Previous: previous})
}

// push has a member's record sent on from the beginning.
func (m *Machine) gossipMember(name string) { m.memberGossip.enqueue(broadcast{name: name}) }
