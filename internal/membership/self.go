package membership

import (
	"net/netip"

	"marblespan/internal/clock"
)

// This file maintains a member's own record: the member refutes suspicions, starts new generations, and resolves conflicts
// about its name.

// A member that has just been excluded tries to join again after the usual rejoin delay divided by excludedRejoinDivisor.
const excludedRejoinDivisor = 5

// updateMeta changes this member's metadata and distributes it. The Stalled flag keeps the value that the machine has set.
func (m *Machine) updateMeta(meta Meta) {
	meta.Flags = meta.Flags&^Stalled | m.self.Meta.Flags&Stalled
	if meta != m.self.Meta {
		m.self.Meta = meta
		m.bumpIncarnation()
	}
}

// bumpIncarnation increments this member's incarnation and queues its record as gossip, so that the record replaces
// earlier records.
func (m *Machine) bumpIncarnation() {
	m.self.Incarnation++
	m.digestStale = true
	m.gossipMember(m.self.Name)
}

// mergeSelf processes a received record of this member itself. It refutes a suspicion with a higher incarnation. If the record
// says that this member has ended, or has a later generation, the member starts a new generation. A record of a later generation
// that has not ended and has another address belongs to another process with the same name.
func (m *Machine) mergeSelf(r Record) {
	switch {
	case m.excluded || r.Generation < m.self.Generation || m.leaveRoundsLeft > 0:
	case r.Generation > m.self.Generation && r.Address != m.self.Address && !r.State.Ended():
		m.handleNameConflict(r.Address, r.Generation)
	case r.Generation > m.self.Generation:
		m.startGeneration(r.Generation+1, Notice{Kind: ClockSetBack})
	case r.State.Ended():
		m.startGeneration(m.self.Generation+1, Notice{Kind: DeclaredDead, ReportedBy: r.ReportedBy})
	case r.State == Suspect && r.Incarnation >= m.self.Incarnation:
		m.self.Incarnation = r.Incarnation
		m.bumpIncarnation()
		m.emit(Notice{Kind: SuspicionRefuted, ReportedBy: r.ReportedBy})
	case r.Incarnation > m.self.Incarnation:
		m.self.Incarnation = r.Incarnation
		m.bumpIncarnation()
	}
}

// startGeneration moves this member to a new generation, because other members consider the current generation to be over and
// never accept that generation again.
func (m *Machine) startGeneration(generation uint64, notice Notice) {
	m.self.Generation, m.self.Incarnation, m.generationStart = generation, 0, m.lastEvent
	for i := range m.members {
		e := &m.members[i]
		e.path, e.indirectOnly = PathState{}, 0
	}
	m.bumpIncarnation()
	notice.Generation = generation
	m.emit(notice)
}

// handleNameConflict reacts to another process with this member's name. If the other process started later, this
// member sends it a Reject. If the other process started earlier, nothing is done, because it may be an earlier run of this
// member.
func (m *Machine) handleNameConflict(other netip.AddrPort, generation uint64) {
	if m.excluded || generation < m.self.Generation || other == m.self.Address {
		return
	}
	m.reject(other, m.self.Name, generation, m.self)
	m.emit(Notice{Kind: NameConflict, Address: other, Generation: generation})
}

// handleReject processes a Reject, which says that another process owns this member's name.
func (m *Machine) handleReject(now clock.Micros, msg Message) {
	if msg.Target != m.self.Name || msg.ToGeneration != m.self.Generation || len(msg.Records) == 0 || m.leaveRoundsLeft > 0 {
		return
	}
	switch owner := msg.Records[0]; {
	case owner.Name != m.self.Name || owner.Address == m.self.Address:
	case owner.Generation > m.self.Generation:
		m.handleNameConflict(owner.Address, owner.Generation)
	case !m.excluded:
		m.yieldName(now, owner)
	}
}

// yieldName gives up the name to its owner: this member does not participate until another member accepts it again. It first
// announces to some members that its current generation has left. Otherwise members that already know this generation would
// mistake the owner for an earlier run of this member.
func (m *Machine) yieldName(now clock.Micros, owner Record) {
	m.self.State = Left
	for range leaveNodes {
		if e := m.pickAlive(anyMember); e != nil {
			out := m.newMessage(Ping, nil)
			out.To, out.Records = e.Name, []Record{m.self}
			m.emit(Send{To: e.Name, Address: e.Address, Message: out})
		}
	}
	m.self.State = Alive
	m.self.Generation++
	m.excluded, m.nextRejoin = true, now+rejoinIntervals*m.cfg.Interval/excludedRejoinDivisor
	m.forgetMembers()
	m.emit(Notice{Kind: Excluded, Address: owner.Address, Generation: owner.Generation})
}

// forgetMembers discards everything known about other members, and all probes and requests in progress.
func (m *Machine) forgetMembers() {
	m.members, m.index, m.digestStale = nil, map[string]int{}, true
	m.pathStates, m.pathIndex = nil, map[pathKey]int{}
	m.memberGossip, m.pathGossip = gossipQueue{}, gossipQueue{}
	m.probeOrder, m.probeTurn, m.reprobe = nil, 0, nil
	m.probes, m.relayedPings, m.helperRequests = nil, nil, nil
	m.joinSources, m.joinNames = nil, nil
}
