package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file finds members: by the addresses to join at, and again after a partition.

// rejoinIntervals is how many intervals lie between two attempts to reach a dead member, and join addresses that have not
// answered.
const rejoinIntervals = 25

// fastJoinAttempts is how often a member that knows nobody tries to join in every interval; later it tries as seldom as it
// pings the dead.
const fastJoinAttempts = 10

// rejoin pings one of the dead, and the addresses to join at that no alive member has answered from. Halves that were
// partitioned find each other again by it, whichever half tries first.
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

// pingNextDead pings the dead in turn, one at a time.
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

// noteJoinAnswer notes which member answers from an address to join at.
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

// joinAddressCovered tells whether an alive member, or this one itself, has answered from an address to join at.
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
