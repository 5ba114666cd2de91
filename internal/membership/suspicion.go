package membership

import (
	"slices"

	"marblespan/internal/clock"
)

// This file handles members that do not answer: they are suspected, and declared dead at the suspicion's deadline.

// The shortest and longest duration of a suspicion in intervals, counted from the ping that was not answered. The minimum
// applies when maxConfirmations other members confirm the suspicion, the maximum when no other member does.
const (
	minSuspicionIntervals = 6
	maxSuspicionIntervals = 18
	maxConfirmations      = 3
)

// currentSuspects returns the members whose state is Suspect.
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

// suspicionDeadline returns the time at which a suspect is declared dead. The deadline is earlier the more members confirm the
// suspicion, and later the worse this member's local health. It is at least minSuspicionIntervals after the suspect's last
// answer to a probe. Other messages from the suspect do not postpone it, because a member that sends but does not receive is
// not usable.
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

// confirmationScore returns how far a suspicion is confirmed, in thousandths: log(have+1)/log(needed+1), as in Lifeguard.
// needed is at most maxConfirmations.
func confirmationScore(needed, have int) int {
	table := [][]int{{1000}, {0, 1000}, {0, 631, 1000}, {0, 500, 792, 1000}}[needed]
	return table[max(min(have, needed), 0)]
}

// expireSuspicions declares dead the suspects whose deadline has passed.
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

// suspect processes a report that a member has not answered since a given time. reporter is the member that suspects the other
// member; reporter may be this machine's own member. A report from a further member confirms the suspicion, and is passed on as
// gossip as long as it makes the deadline earlier.
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

// endGeneration applies a record that ends a member's generation because the member is dead or has left.
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
