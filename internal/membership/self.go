package membership

import (
	"net/netip"

	"marblespan/internal/clock"
)

// This file is what a member does about itself: it refutes suspicions, starts new generations, and settles conflicts about
// its name.

// excludedRejoinDivisor is the part of the usual rejoin interval after which an excluded member tries to join again.
const excludedRejoinDivisor = 5

// updateMeta changes this member's metadata, and has it spread. The Stalled flag is the machine's own.
func (m *Machine) updateMeta(meta Meta) {
	meta.Flags = meta.Flags&^Stalled | m.self.Meta.Flags&Stalled
	if meta != m.self.Meta {
		m.self.Meta = meta
		m.bumpIncarnation()
	}
}

// bumpIncarnation has this member's own record spread as the latest.
func (m *Machine) bumpIncarnation() {
	m.self.Incarnation++
	m.digestStale = true
	m.gossipMember(m.self.Name)
}

// mergeSelf takes in what another member says of this one. A suspicion is refuted by a higher incarnation, a death or a later
// generation answered by a new generation.
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

// startGeneration goes on in a new generation. The last one has ended for the others, for good.
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

// handleNameConflict deals with another process of this member's name. The one that started later has to go and is told so.
// Hearing of an earlier one is no reason to go, as it may be this member's own past.
func (m *Machine) handleNameConflict(other netip.AddrPort, generation uint64) {
	if m.excluded || generation < m.self.Generation || other == m.self.Address {
		return
	}
	m.reject(other, m.self.Name, generation, m.self)
	m.emit(Notice{Kind: NameConflict, Address: other, Generation: generation})
}

// handleReject takes in that another process owns this member's name.
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

// yieldName leaves the name to its owner: this member takes no part until somebody accepts it again. Where it has joined
// already it leaves first, so that the owner is not taken for its past.
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

// forgetMembers drops all that is known of others, and all that is under way with them.
func (m *Machine) forgetMembers() {
	m.members, m.index, m.digestStale = nil, map[string]int{}, true
	m.pathStates, m.pathIndex = nil, map[pathKey]int{}
	m.memberGossip, m.pathGossip = gossipQueue{}, gossipQueue{}
	m.probeOrder, m.probeTurn, m.reprobe = nil, 0, nil
	m.probes, m.relayedPings, m.helperRequests = nil, nil, nil
	m.joinSources, m.joinNames = nil, nil
}
