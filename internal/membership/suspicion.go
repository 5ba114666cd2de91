package membership

import (
	"slices"

	"marblespan/internal/clock"
)

// This file is what becomes of a member that does not answer: suspicion, its deadline, and death.

// The bounds of a suspicion in intervals, counted from the ping that was not answered: the minimum is for one that
// maxConfirmations others confirm, the maximum for one that nobody does.
const (
	minSuspicionIntervals = 6
	maxSuspicionIntervals = 18
	maxConfirmations      = 3
)

// currentSuspects lists the members that anybody suspects.
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

// suspicionDeadline is when a suspicion becomes a death: sooner the more others confirm it, later the worse this member's
// local health, and never while the suspect has answered a probe within the minimum. Messages that are no answers do not
// count: a member that receives nothing is of no use, however much it sends.
func (m *Machine) suspicionDeadline(e *member) clock.Micros {
	thousandths := minSuspicionIntervals * 1000
	if !m.cfg.WithoutLifeguard {
		needed := max(min(maxConfirmations, m.countAlive()-1), 0)
		score := confirmationScore(needed, len(e.suspectedBy)-1)
		thousandths = maxSuspicionIntervals*1000 - (maxSuspicionIntervals-minSuspicionIntervals)*score
	}
	deadline := e.suspectedSince + m.cfg.Interval*clock.Micros(thousandths)*clock.Micros(m.LocalHealth())/1000
	if !m.cfg.WithoutLifeguard {
		deadline = max(deadline, e.lastAck+minSuspicionIntervals*m.cfg.Interval)
	}
	return deadline
}

// confirmationScore is how far a suspicion is confirmed, in thousandths: log(have+1)/log(needed+1), as Lifeguard has it.
// needed is maxConfirmations at the most.
func confirmationScore(needed, have int) int {
	table := [][]int{{1000}, {0, 1000}, {0, 631, 1000}, {0, 500, 792, 1000}}[needed]
	return table[max(min(have, needed), 0)]
}

// expireSuspicions declares dead the suspects that nobody has found alive in time.
func (m *Machine) expireSuspicions(now clock.Micros) {
	if now < m.stallGraceUntil {
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

// suspect takes in that somebody, or this member itself, accuses another one since a time. A further accuser confirms a
// suspicion, and is spread as long as that shortens its deadline.
func (m *Machine) suspect(now clock.Micros, e *member, incarnation uint32, reporter string, since clock.Micros) {
	if reporter == e.Name || slices.Contains(e.suspectedBy, reporter) && e.State == Suspect {
		return
	}
	switch {
	case e.State == Suspect && len(e.suspectedBy) > maxConfirmations:
		return
	case e.State == Suspect:
		e.suspectedBy = append(e.suspectedBy, reporter)
		e.ReportedBy = reporter
		m.gossipMember(e.Name)
		return
	}
	previous := e.State
	e.State, e.ReportedBy, e.Incarnation, e.stateSince = Suspect, reporter, incarnation, now
	e.suspectedSince, e.suspectedBy = since, []string{reporter}
	m.suspected = append(m.suspected, e.Name)
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: e.Record, Previous: previous})
}

// endGeneration takes over a record that ends a generation: its member is dead, or has left.
func (m *Machine) endGeneration(now clock.Micros, e *member, r Record) {
	previous := e.State
	if e.Generation != r.Generation {
		e.lastHelper, e.rtt = "", 0
	}
	e.Record, e.stateSince, e.suspectedBy, e.indirectOnly, e.path = r, now, nil, 0, PathState{}
	m.digestStale = true
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: r, Previous: previous})
}
