package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// mostErrands bounds the questions that are asked for others at a time.
const maxRelayedPings = 256

// hear takes in a message.
func (m *Machine) handleMessage(now clock.Micros, source netip.AddrPort, msg Message) {
	switch {
	case msg.From == m.self.Name && msg.Generation == m.self.Generation:
		m.noteJoinAnswer(source, msg.From) // its own words: the address is its own
		return
	case msg.Kind == Reject:
		m.handleReject(now, msg)
		return
	case msg.From == m.self.Name:
		m.handleNameConflict(source, msg.Generation)
		return
	case msg.To != "" && msg.To != m.self.Name:
		return
	case m.excluded && (msg.Kind != Ack || msg.ToGeneration != m.self.Generation):
		return
	case m.excluded:
		m.excluded = false
		m.emit(Notice{Kind: Readmitted, Generation: m.self.Generation})
	}
	m.noteJoinAnswer(source, msg.From)
	e := m.find(msg.From)
	if e != nil && (msg.Generation < e.Generation || msg.Generation == e.Generation && e.State.Ended()) {
		// It speaks from a life that is over here, and is believed again only once it knows: the answer tells it. What it says
		// of this member counts all the same: after a split each holds the other dead.
		for _, r := range msg.Records {
			if r.Name == m.self.Name {
				m.mergeSelf(r)
			}
		}
		if msg.Kind == Ping || msg.Kind == IndirectPing {
			m.reply(Ack, source, e, msg)
		}
		return
	}
	if e != nil && e.Generation == msg.Generation {
		e.lastReceived, e.digest, e.unaware = now, msg.Digest, msg.ToGeneration != m.self.Generation
	}
	for _, r := range msg.Records {
		m.mergeRecord(now, r, source, msg)
	}
	for _, c := range msg.Paths {
		m.mergePath(c)
	}
	e = m.find(msg.From)
	if e == nil || e.Generation != msg.Generation {
		if e == nil && msg.Kind == Ping { // it knows this member's address, and this one nobody yet
			m.reply(Ack, source, nil, msg)
		}
		return
	}
	if e.lastReceived == 0 {
		e.lastReceived, e.digest, e.unaware = now, msg.Digest, msg.ToGeneration != m.self.Generation
	}
	switch msg.Kind {
	case Ping:
		if msg.Origin == "" && msg.Number != 0 {
			e.lastDirectPing = msg.Number
		}
		m.reply(Ack, source, e, msg)
	case IndirectPing:
		m.relayPing(now, e, msg)
	case Ack:
		if msg.Target == "" {
			m.handleDirectAck(now, e, msg)
		} else {
			m.handleIndirectAck(now, e, msg)
		}
	case Nack:
		m.helperAnswered(e.Name, msg.Number)
	}
}

// reply answers a message. One that knows other members than this one is told some of them.
func (m *Machine) reply(kind Kind, source netip.AddrPort, e *member, to Message) {
	msg := m.newSyncMessage(kind, e, to.Digest != m.viewDigest())
	msg.To, msg.ToGeneration, msg.Number = to.From, 0, to.Number
	if o := m.find(to.Origin); o != nil {
		msg.DirectPingReceived = o.lastDirectPing == to.OriginNumber
	}
	at, name := source, ""
	if e != nil && e.Generation == to.Generation {
		at, name, msg.ToGeneration = e.Address, e.Name, e.Generation
	}
	m.emit(Send{To: name, Address: at, Message: msg})
}

// errand asks another one for somebody.
func (m *Machine) relayPing(now clock.Micros, origin *member, msg Message) {
	if msg.Target == m.self.Name || len(m.relayedPings) >= maxRelayedPings {
		return
	}
	m.lastNumber++
	m.relayedPings = append(m.relayedPings, relayedPing{
		number: m.lastNumber, target: msg.Target, origin: origin.Name, originAt: origin.Address, originNumber: msg.Number, sent: now,
	})
	e := m.find(msg.Target)
	if e != nil {
		m.ping(e, m.lastNumber, origin.Name, msg.Number)
		return
	}
	out := m.newMessage(Ping, nil)
	out.To, out.Number, out.Origin, out.OriginNumber = msg.Target, m.lastNumber, origin.Name, msg.Number
	m.emit(Send{To: msg.Target, Address: msg.TargetAddress, Message: out})
}

// acked takes in a direct answer.
func (m *Machine) handleDirectAck(now clock.Micros, e *member, msg Message) {
	if msg.Number != 0 {
		e.lastAck = now
	}
	for i, p := range m.probes {
		if p.number == msg.Number && p.target == e.Name {
			if p.direct {
				e.rtt = now - p.sent
			}
			m.probes = slices.Delete(m.probes, i, i+1)
			e.indirectOnly = 0
			if !e.path.Healthy() {
				m.reportPath(e, PathState{})
			}
			return
		}
	}
	for i, x := range m.relayedPings {
		if x.number == msg.Number && x.target == e.Name {
			m.relayedPings = slices.Delete(m.relayedPings, i, i+1)
			out := m.newMessage(Ack, m.find(x.origin))
			out.To, out.Number, out.Target, out.DirectPingReceived = x.origin, x.originNumber, e.Name, msg.DirectPingReceived
			out.Records = append([]Record{e.Record}, out.Records...)
			m.truncateRecords(&out)
			m.emit(Send{To: x.origin, Address: x.originAt, Message: out})
			return
		}
	}
}

// ackedBy takes in a helper's word that it has reached somebody: that one lives, and the path to it may be cut.
func (m *Machine) handleIndirectAck(now clock.Micros, helper *member, msg Message) {
	m.helperAnswered(helper.Name, msg.Number)
	i := slices.IndexFunc(m.probes, func(p probe) bool { return p.number == msg.Number && p.target == msg.Target })
	e := m.find(msg.Target)
	if i < 0 || e == nil || e.Generation != m.probes[i].generation || e.State.Ended() {
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
	e.lastAck, e.lastHelper = now, helper.Name
	e.indirectOnly++
	if e.indirectOnly < pathLostAfter*m.LocalHealth() {
		if !slices.Contains(m.reprobe, e.Name) {
			m.reprobe = append(m.reprobe, e.Name)
		}
		return
	}
	if c := (PathState{OutboundLost: !msg.DirectPingReceived, InboundLost: msg.DirectPingReceived}); e.path.OutboundLost != c.OutboundLost || e.path.InboundLost != c.InboundLost {
		m.reportPath(e, c)
	}
}

// kept notes that a helper has kept its word.
func (m *Machine) helperAnswered(helper string, number uint32) {
	for i := range m.helperRequests {
		if a := &m.helperRequests[i]; a.helper == helper && a.number == number {
			a.answered = true
		}
	}
}

// say tells of the path to another one.
func (m *Machine) reportPath(e *member, c PathState) {
	c.Reporter, c.Peer, c.Generation, c.Number = m.self.Name, e.Name, m.self.Generation, e.path.Number+1
	e.path = c
	m.mergePath(c)
	m.emit(PathChanged{c})
}

// mergeCut takes over what is said of a path, if it is the latest word.
func (m *Machine) mergePath(c PathState) {
	k := pathKey{c.Reporter, c.Peer}
	i, known := m.pathIndex[k]
	switch {
	case known && (c.Generation < m.pathStates[i].Generation || c.Generation == m.pathStates[i].Generation && c.Number <= m.pathStates[i].Number):
		return
	case known:
		m.pathStates[i] = c
	case m.generationOver(c.Reporter, c.Generation):
		return
	default:
		if len(m.pathStates) >= maxPaths {
			m.retainPaths(func(c PathState) bool { return !c.Healthy() && !m.generationOver(c.Reporter, c.Generation) })
		}
		if len(m.pathStates) >= maxPaths {
			return
		}
		m.pathIndex[k] = len(m.pathStates)
		m.pathStates = append(m.pathStates, c)
	}
	m.pathGossip.enqueue(broadcast{reporter: c.Reporter, peer: c.Peer})
}

// forgetCuts keeps some of what is said of paths.
func (m *Machine) retainPaths(keep func(PathState) bool) {
	m.pathStates = slices.DeleteFunc(m.pathStates, func(c PathState) bool { return !keep(c) })
	clear(m.pathIndex)
	for i, c := range m.pathStates {
		m.pathIndex[pathKey{c.Reporter, c.Peer}] = i
	}
}

// merge takes over what is said of somebody, if it is the latest word.
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
		if !record.State.Ended() && !known.State.Ended() && record.Address != known.Address {
			// Two processes of one name, until the known one is seen to have ended. The other one has to wait.
			if record.Name == msg.From {
				out := m.newMessage(Reject, nil)
				out.To, out.ToGeneration, out.Target, out.Records = record.Name, record.Generation, record.Name, []Record{known.Record}
				m.emit(Send{Address: source, Message: out})
			}
			return
		}
		m.startMemberGeneration(now, known, record)
	case known.State.Ended():
	case record.State.Ended():
		m.endGeneration(now, known, record)
	case record.State == Suspect:
		if record.Incarnation >= known.Incarnation {
			if record.Incarnation > known.Incarnation {
				m.updateMember(now, known, record)
			}
			m.suspect(now, known, record.Incarnation, record.ReportedBy, now)
		}
	case record.Incarnation > known.Incarnation:
		m.updateMember(now, known, record)
	}
}

// add takes a new member in, or remembers one whose life is over.
func (m *Machine) addMember(now clock.Micros, r Record) {
	if len(m.members) >= MaxMembers {
		oldest := -1
		for i := range m.members {
			if e := &m.members[i]; e.State.Ended() && (oldest < 0 || e.stateSince < m.members[oldest].stateSince) {
				oldest = i
			}
		}
		if oldest < 0 {
			return
		}
		m.removeMember(oldest)
	}
	m.index[r.Name] = len(m.members)
	m.members = append(m.members, member{Record: r})
	e := &m.members[len(m.members)-1]
	if !r.State.Ended() { // its turn may come at once, so that nobody is asked for the first time only after all others
		at := 0
		if m.cfg.Seed != 0 {
			at = m.random(len(m.probeOrder) - m.probeTurn + 1)
		}
		m.probeOrder = slices.Insert(m.probeOrder, min(m.probeTurn+at, len(m.probeOrder)), r.Name)
	}
	m.adoptRecord(now, e, r, true)
}

// renew begins another life of a member.
func (m *Machine) startMemberGeneration(now clock.Micros, e *member, r Record) {
	e.lastHelper, e.rtt, e.indirectOnly, e.path, e.lastDirectPing, e.lastReceived, e.lastAck = "", 0, 0, PathState{}, 0, 0, 0
	m.adoptRecord(now, e, r, !r.State.Ended())
}

func (m *Machine) adoptRecord(now clock.Micros, e *member, r Record, newGeneration bool) {
	previous := e.State
	e.Record, e.stateSince, e.accusers = r, now, nil
	if r.State == Suspect { // it is alive until this member has its own reasons, or heard of two
		e.State, e.ReportedBy = Alive, ""
	}
	m.digestStale = true
	m.gossipMember(e.Name)
	m.emit(MemberChanged{Record: e.Record, Previous: previous, NewGeneration: newGeneration})
	if r.State == Suspect {
		m.suspect(now, e, r.Incarnation, r.ReportedBy, now)
	}
}

// update takes over a later word of the same life: it lives, and may tell other things of itself.
func (m *Machine) updateMember(now clock.Micros, e *member, r Record) {
	previous, previousMeta := e.State, e.Meta
	e.Incarnation, e.Meta, e.Address, e.State, e.ReportedBy, e.accusers = r.Incarnation, r.Meta, r.Address, Alive, "", nil
	if previous != Alive {
		e.stateSince = now
	}
	m.digestStale = true
	m.gossipMember(e.Name)
	if previous != Alive || previousMeta != e.Meta {
		m.emit(MemberChanged{Record: e.Record, Previous: previous})
	}
}

// mergeSelf hears what others say of this member.
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

// newLife goes on in another life: the last one is over for the others, for good.
func (m *Machine) startGeneration(generation uint64, why Notice) {
	m.self.Generation, m.self.Incarnation, m.generationStart = generation, 0, m.lastEvent
	for i := range m.members {
		e := &m.members[i]
		e.path, e.indirectOnly = PathState{}, 0
	}
	m.bumpIncarnation()
	why.Generation = generation
	m.emit(why)
}

// namesake meets another process of this one's name. The one that started later has to go: it is told, and one that hears
// of an earlier one does not go for that alone, as it may be its own past.
func (m *Machine) handleNameConflict(at netip.AddrPort, generation uint64) {
	if m.excluded || generation < m.self.Generation || at == m.self.Address {
		return
	}
	out := m.newMessage(Reject, nil)
	out.To, out.ToGeneration, out.Target, out.Records = m.self.Name, generation, m.self.Name, []Record{m.self}
	m.emit(Send{Address: at, Message: out})
	m.emit(Notice{Kind: NameConflict, Address: at, Generation: generation})
}

// refused hears that the name is taken.
func (m *Machine) handleReject(now clock.Micros, msg Message) {
	if msg.Target != m.self.Name || msg.ToGeneration != m.self.Generation || len(msg.Records) == 0 || m.leaveRoundsLeft > 0 {
		return
	}
	switch owner := msg.Records[0]; {
	case owner.Name != m.self.Name || owner.Address == m.self.Address:
	case owner.Generation > m.self.Generation:
		m.handleNameConflict(owner.Address, owner.Generation)
	case m.excluded:
	default:
		// Where it was let in already it leaves, so that its namesake is not taken for its past.
		m.self.State = Left
		for range leaveNodes {
			if e := m.pickAlive(func(*member) bool { return true }); e != nil {
				out := m.newMessage(Ping, nil)
				out.To, out.Records = e.Name, []Record{m.self}
				m.emit(Send{To: e.Name, Address: e.Address, Message: out})
			}
		}
		m.self.State = Alive
		m.self.Generation++
		m.excluded, m.nextRejoin = true, now+rejoinIntervals*m.cfg.Interval/5
		m.members, m.index, m.pathStates, m.pathIndex, m.memberGossip, m.pathGossip = nil, map[string]int{}, nil, map[pathKey]int{}, gossipQueue{}, gossipQueue{}
		m.probeOrder, m.probeTurn, m.reprobe, m.probes, m.relayedPings, m.helperRequests = nil, 0, nil, nil, nil, nil
		m.joinSources, m.joinNames = nil, nil
		m.digestStale = true
		m.emit(Notice{Kind: Excluded, Address: owner.Address, Generation: owner.Generation})
	}
}
