package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file finds members through the join addresses, and finds dead members again, for example after a partition.

// rejoinIntervals is the number of intervals between two attempts to reach a dead member and the join addresses that have not
// answered.
const rejoinIntervals = 25

// fastJoinAttempts is the number of attempts to join that a member without any alive peer makes at a rate of one per interval.
// After that the member tries once per rejoinIntervals, unless it is excluded.
const fastJoinAttempts = 10

// rejoin pings one dead member, and the join addresses from which no alive member has answered. These pings let the two
// halves of a partition find each other again; an attempt by either half is sufficient.
func (m *Machine) rejoin(now clock.Micros) {
	every := m.cfg.Interval
	if m.countAlive() > 0 || m.joinAttempts >= fastJoinAttempts && !m.excluded {
		every *= rejoinIntervals
	}
	m.nextRejoin = now + every
	m.joinAttempts++
	if !m.excluded {
		m.pingNextDead()
	}
	for _, address := range m.cfg.Join {
		if !m.joinAddressCovered(address) {
			m.emit(Send{Address: address, Message: m.newMessage(Ping, nil)})
		}
	}
}

// pingNextDead pings one dead member. Successive calls go through the dead members in turn.
func (m *Machine) pingNextDead() {
	var dead []*member
	for i := range m.members {
		if e := &m.members[i]; e.State == Dead {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		m.lastDeadPinged++
		m.ping(dead[m.lastDeadPinged%len(dead)], 0, "", 0)
	}
}

// noteJoinAnswer records which member answered from a join address. Answers from other addresses are ignored.
func (m *Machine) noteJoinAnswer(source netip.AddrPort, name string) {
	if !slices.Contains(m.cfg.Join, source) {
		return
	}
	if i := slices.Index(m.joinSources, source); i >= 0 {
		m.joinNames[i] = name
		return
	}
	m.joinSources, m.joinNames = append(m.joinSources, source), append(m.joinNames, name)
}

// joinAddressCovered reports whether the member that last answered from a join address is alive or is this member itself. An
// excluded member treats no address as covered.
func (m *Machine) joinAddressCovered(address netip.AddrPort) bool {
	i := slices.Index(m.joinSources, address)
	if i < 0 || m.excluded {
		return false
	}
	name := m.joinNames[i]
	if name == m.self.Name {
		return true
	}
	e := m.find(name)
	return e != nil && !e.State.Ended()
}
