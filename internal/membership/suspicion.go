package membership

import (
	"slices"

	"marblespan/internal/clock"
)

// This file is what becomes of a member that does not answer: suspicion, its deadline, and its end.

// suspects lists whom anybody accuses.
func (m *Machine) suspects() (all []*member) {
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
func (m *Machine) deadline(e *member) clock.Micros {
	t, span := m.cfg.Interval, leastSuspicion*1000
	if !m.cfg.WithoutLifeguard {
		needed := max(min(confirmations, m.living()-1), 0)
		span = mostSuspicion*1000 - (mostSuspicion-leastSuspicion)*confirmed(needed, len(e.accusers)-1)
	}
	end := e.started + t*clock.Micros(span)*clock.Micros(m.LocalHealth())/1000
	if !m.cfg.WithoutLifeguard {
		end = max(end, e.answered+leastSuspicion*t)
	}
	return end
}

// confirmed is how far a suspicion is confirmed, in thousandths: the logarithm of its accusers as Lifeguard has it.
func confirmed(needed, have int) int {
	table := [][]int{{1000}, {0, 1000}, {0, 631, 1000}, {0, 500, 792, 1000}}[needed]
	return table[max(min(have, needed), 0)]
}

// expire declares dead whom nobody has found alive in time.
func (m *Machine) expire(now clock.Micros) {
	if now < m.quietBy {
		return
	}
	for _, e := range m.suspects() {
		if now >= m.deadline(e) {
			r := e.Record
			r.State, r.ReportedBy = Dead, m.self.Name
			m.end(now, e, r)
		}
	}
}

// suspect notes that somebody accuses a member, and spreads it for as long as that confirms anything.
func (m *Machine) suspect(now clock.Micros, e *member, incarnation uint32, by string, since clock.Micros) {
	if by == e.Name || slices.Contains(e.accusers, by) && e.State == Suspect {
		return
	}
	switch {
	case e.State == Suspect && len(e.accusers) > confirmations:
		return
	case e.State == Suspect:
		e.accusers = append(e.accusers, by)
		e.ReportedBy = by
		m.push(e.Name)
		return
	}
	was := e.State
	e.State, e.ReportedBy, e.Incarnation, e.since, e.started, e.accusers = Suspect, by, incarnation, now, since, []string{by}
	m.suspected = append(m.suspected, e.Name)
	m.push(e.Name)
	m.act(MemberChanged{Record: e.Record, Previous: was})
}

// end ends a life.
func (m *Machine) end(now clock.Micros, e *member, r Record) {
	was := e.State
	if e.Generation != r.Generation {
		e.reached, e.rtt = "", 0
	}
	e.Record, e.since, e.accusers, e.misses, e.cut = r, now, nil, 0, PathState{}
	m.digestOld = true
	m.push(e.Name)
	m.act(MemberChanged{Record: r, Previous: was})
}

// push has a member's record sent on from the beginning.
func (m *Machine) push(name string) { m.news.push(item{name: name}) }
