package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file merges received records of other members into the view. The later generation wins. Within a generation, Dead and
// Left are final; otherwise the higher incarnation wins, and within an incarnation Suspect overrides Alive.

// mergeRecord applies a record if it is later than the known record. msg is the message that contained the record, and source is
// the address from which the message arrived.
func (m *Machine) mergeRecord(now clock.Micros, record Record, source netip.AddrPort, msg Message) {
	if record.Name == m.self.Name {
		m.mergeSelf(record)
		return
	}
	known := m.find(record.Name)
	switch {
	case known == nil:
		m.addMember(now, record)
	case record.Generation < known.Generation:
	case record.Generation > known.Generation:
		m.mergeNewGeneration(now, known, record, source, msg)
	case known.State.Ended():
	case record.State.Ended():
		m.endGeneration(now, known, record)
	case record.State == Suspect && record.Incarnation < known.Incarnation:
	case record.State == Suspect:
		if record.Incarnation > known.Incarnation {
			m.updateMember(now, known, record)
		}
		m.suspect(now, known, record.Incarnation, record.ReportedBy, now)
	case record.Incarnation > known.Incarnation:
		m.updateMember(now, known, record)
	}
}

// mergeNewGeneration applies a record with a later generation of a known member. If neither generation has ended and their
// addresses differ, the record belongs to another process with the same name, and is ignored. If that process itself sent the
// record, this member sends a Reject to that process.
func (m *Machine) mergeNewGeneration(now clock.Micros, known *member, record Record, source netip.AddrPort, msg Message) {
	conflict := !record.State.Ended() && !known.State.Ended() && record.Address != known.Address
	switch {
	case !conflict:
		m.startMemberGeneration(now, known, record)
	case record.Name == msg.From:
		m.reject(source, record.Name, record.Generation, known.Record)
	}
}

// reject sends a Reject to a process whose name is owned by another process.
func (m *Machine) reject(to netip.AddrPort, name string, generation uint64, owner Record) {
	out := m.newMessage(Reject, nil)
	out.To, out.ToGeneration, out.Target, out.Records = name, generation, name, []Record{owner}
	m.emit(Send{Address: to, Message: out})
}

// addMember adds a member that was not known, even if it has ended already. If the table is full, the member that ended first
// is removed; if no member has ended, the new member is ignored.
func (m *Machine) addMember(now clock.Micros, r Record) {
	if len(m.members) >= MaxMembers && !m.removeOldestEnded() {
		return
	}
	m.index[r.Name] = len(m.members)
	m.members = append(m.members, member{Record: r})
	if !r.State.Ended() {
		m.scheduleProbe(r.Name)
	}
	m.adoptRecord(now, &m.members[len(m.members)-1], r, true)
}

// removeOldestEnded removes the member that ended first. It returns false if no member has ended.
func (m *Machine) removeOldestEnded() bool {
	oldest := -1
	for i := range m.members {
		if e := &m.members[i]; e.State.Ended() && (oldest < 0 || e.stateSince < m.members[oldest].stateSince) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	m.removeMember(oldest)
	return true
}

// removeMember removes the member at index i.
func (m *Machine) removeMember(i int) {
	delete(m.index, m.members[i].Name)
	m.members = slices.Delete(m.members, i, i+1)
	for j := i; j < len(m.members); j++ {
		m.index[m.members[j].Name] = j
	}
}

// startMemberGeneration resets the state kept for a known member and applies a record of a later generation.
func (m *Machine) startMemberGeneration(now clock.Micros, e *member, r Record) {
	e.lastHelper, e.rtt, e.indirectOnly, e.path, e.lastDirectPing, e.lastReceived, e.lastAck = "", 0, 0, PathState{}, 0, 0, 0
	m.adoptRecord(now, e, r, !r.State.Ended())
}

// adoptRecord replaces a member's record. If the record's state is Suspect, the member is first set to Alive and then suspected
// on behalf of the record's ReportedBy, so that further reports count as confirmations.
func (m *Machine) adoptRecord(now clock.Micros, e *member, r Record, newGeneration bool) {
	previous := e.State
	e.Record, e.stateSince, e.suspectedBy = r, now, nil
	if r.State == Suspect {
		e.State, e.ReportedBy = Alive, ""
	}
	m.digestStale = true
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: e.Record, Previous: previous, NewGeneration: newGeneration})
	if r.State == Suspect {
		m.suspect(now, e, r.Incarnation, r.ReportedBy, now)
	}
}

// updateMember applies a record with a later incarnation of the same generation. The member becomes Alive, and its metadata
// may change.
func (m *Machine) updateMember(now clock.Micros, e *member, r Record) {
	previous, previousMeta := e.State, e.Meta
	e.Incarnation, e.Meta, e.Address, e.State, e.ReportedBy, e.suspectedBy = r.Incarnation, r.Meta, r.Address, Alive, "", nil
	if previous != Alive {
		e.stateSince = now
	}
	m.digestStale = true
	m.gossipMember(e.Name)
	if previous != Alive || previousMeta != e.Meta {
		m.emit(MemberChanged{Record: e.Record, Previous: previous})
	}
}
