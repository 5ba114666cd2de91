package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// mostErrands bounds the questions that are asked for others at a time.
const mostErrands = 256

// hear takes in a message.
func (m *Machine) hear(now clock.Micros, source netip.AddrPort, msg Message) {
	switch {
	case msg.From == m.self.Name && msg.Generation == m.self.Generation:
		m.answered(source, msg.From) // its own words: the address is its own
		return
	case msg.Kind == Reject:
		m.refused(now, msg)
		return
	case msg.From == m.self.Name:
		m.namesake(source, msg.Generation)
		return
	case msg.To != "" && msg.To != m.self.Name:
		return
	case m.out && (msg.Kind != Ack || msg.ToGeneration != m.self.Generation):
		return
	case m.out:
		m.out = false
		m.act(Notice{Kind: Readmitted, Generation: m.self.Generation})
	}
	m.answered(source, msg.From)
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
		e.heard, e.digest, e.stranger = now, msg.Digest, msg.ToGeneration != m.self.Generation
	}
	for _, r := range msg.Records {
		m.merge(now, r, source, msg)
	}
	for _, c := range msg.Paths {
		m.mergeCut(c)
	}
	e = m.find(msg.From)
	if e == nil || e.Generation != msg.Generation {
		if e == nil && msg.Kind == Ping { // it knows this member's address, and this one nobody yet
			m.reply(Ack, source, nil, msg)
		}
		return
	}
	if e.heard == 0 {
		e.heard, e.digest, e.stranger = now, msg.Digest, msg.ToGeneration != m.self.Generation
	}
	switch msg.Kind {
	case Ping:
		if msg.Origin == "" && msg.Number != 0 {
			e.pinged = msg.Number
		}
		m.reply(Ack, source, e, msg)
	case IndirectPing:
		m.errand(now, e, msg)
	case Ack:
		if msg.Target == "" {
			m.acked(now, e, msg)
		} else {
			m.ackedBy(now, e, msg)
		}
	case Nack:
		m.kept(e.Name, msg.Number)
	}
}

// reply answers a message. One that knows other members than this one is told some of them.
func (m *Machine) reply(kind Kind, source netip.AddrPort, e *member, to Message) {
	msg := m.messagePaged(kind, e, to.Digest != m.know())
	msg.To, msg.ToGeneration, msg.Number = to.From, 0, to.Number
	if o := m.find(to.Origin); o != nil {
		msg.DirectPingReceived = o.pinged == to.OriginNumber
	}
	at, name := source, ""
	if e != nil && e.Generation == to.Generation {
		at, name, msg.ToGeneration = e.Address, e.Name, e.Generation
	}
	m.act(Send{To: name, Address: at, Message: msg})
}

// errand asks another one for somebody.
func (m *Machine) errand(now clock.Micros, origin *member, msg Message) {
	if msg.Target == m.self.Name || len(m.errands) >= mostErrands {
		return
	}
	m.number++
	m.errands = append(m.errands, errand{
		number: m.number, target: msg.Target, origin: origin.Name, originAt: origin.Address, originNumber: msg.Number, sent: now,
	})
	e := m.find(msg.Target)
	if e != nil {
		m.ping(e, m.number, origin.Name, msg.Number)
		return
	}
	out := m.message(Ping, nil)
	out.To, out.Number, out.Origin, out.OriginNumber = msg.Target, m.number, origin.Name, msg.Number
	m.act(Send{To: msg.Target, Address: msg.TargetAddress, Message: out})
}

// acked takes in a direct answer.
func (m *Machine) acked(now clock.Micros, e *member, msg Message) {
	if msg.Number != 0 {
		e.answered = now
	}
	for i, p := range m.probing {
		if p.number == msg.Number && p.target == e.Name {
			if p.direct {
				e.rtt = now - p.sent
			}
			m.probing = slices.Delete(m.probing, i, i+1)
			e.misses = 0
			if !e.cut.Healthy() {
				m.say(e, PathState{})
			}
			return
		}
	}
	for i, x := range m.errands {
		if x.number == msg.Number && x.target == e.Name {
			m.errands = slices.Delete(m.errands, i, i+1)
			out := m.message(Ack, m.find(x.origin))
			out.To, out.Number, out.Target, out.DirectPingReceived = x.origin, x.originNumber, e.Name, msg.DirectPingReceived
			out.Records = append([]Record{e.Record}, out.Records...)
			m.fit(&out)
			m.act(Send{To: x.origin, Address: x.originAt, Message: out})
			return
		}
	}
}

// ackedBy takes in a helper's word that it has reached somebody: that one lives, and the path to it may be cut.
func (m *Machine) ackedBy(now clock.Micros, helper *member, msg Message) {
	m.kept(helper.Name, msg.Number)
	i := slices.IndexFunc(m.probing, func(p probe) bool { return p.number == msg.Number && p.target == msg.Target })
	e := m.find(msg.Target)
	if i < 0 || e == nil || e.Generation != m.probing[i].life || e.State.Ended() {
		return
	}
	m.probing = slices.Delete(m.probing, i, i+1)
	e.answered, e.reached = now, helper.Name
	e.misses++
	if e.misses < cutAfter*m.LocalHealth() {
		if !slices.Contains(m.again, e.Name) {
			m.again = append(m.again, e.Name)
		}
		return
	}
	if c := (PathState{OutboundLost: !msg.DirectPingReceived, InboundLost: msg.DirectPingReceived}); e.cut.OutboundLost != c.OutboundLost || e.cut.InboundLost != c.InboundLost {
		m.say(e, c)
	}
}

// kept notes that a helper has kept its word.
func (m *Machine) kept(helper string, number uint32) {
	for i := range m.asks {
		if a := &m.asks[i]; a.helper == helper && a.number == number {
			a.answered = true
		}
	}
}

// say tells of the path to another one.
func (m *Machine) say(e *member, c PathState) {
	c.Reporter, c.Peer, c.Generation, c.Number = m.self.Name, e.Name, m.self.Generation, e.cut.Number+1
	e.cut = c
	m.mergeCut(c)
	m.act(PathChanged{c})
}

// mergeCut takes over what is said of a path, if it is the latest word.
func (m *Machine) mergeCut(c PathState) {
	k := path{c.Reporter, c.Peer}
	i, known := m.cutAt[k]
	switch {
	case known && (c.Generation < m.cuts[i].Generation || c.Generation == m.cuts[i].Generation && c.Number <= m.cuts[i].Number):
		return
	case known:
		m.cuts[i] = c
	case m.gone(c.Reporter, c.Generation):
		return
	default:
		if len(m.cuts) >= mostCuts {
			m.forgetCuts(func(c PathState) bool { return !c.Healthy() && !m.gone(c.Reporter, c.Generation) })
		}
		if len(m.cuts) >= mostCuts {
			return
		}
		m.cutAt[k] = len(m.cuts)
		m.cuts = append(m.cuts, c)
	}
	m.paths.push(item{by: c.Reporter, peer: c.Peer})
}

// forgetCuts keeps some of what is said of paths.
func (m *Machine) forgetCuts(keep func(PathState) bool) {
	m.cuts = slices.DeleteFunc(m.cuts, func(c PathState) bool { return !keep(c) })
	clear(m.cutAt)
	for i, c := range m.cuts {
		m.cutAt[path{c.Reporter, c.Peer}] = i
	}
}

// merge takes over what is said of somebody, if it is the latest word.
func (m *Machine) merge(now clock.Micros, r Record, source netip.AddrPort, msg Message) {
	if r.Name == m.self.Name {
		m.mergeSelf(r)
		return
	}
	e := m.find(r.Name)
	switch {
	case e == nil:
		m.add(now, r)
	case r.Generation < e.Generation:
	case r.Generation > e.Generation:
		if !r.State.Ended() && !e.State.Ended() && r.Address != e.Address {
			// Two processes of one name, until the known one is seen to have ended. The other one has to wait.
			if r.Name == msg.From {
				out := m.message(Reject, nil)
				out.To, out.ToGeneration, out.Target, out.Records = r.Name, r.Generation, r.Name, []Record{e.Record}
				m.act(Send{Address: source, Message: out})
			}
			return
		}
		m.renew(now, e, r)
	case e.State.Ended():
	case r.State.Ended():
		m.end(now, e, r)
	case r.State == Suspect:
		if r.Incarnation >= e.Incarnation {
			if r.Incarnation > e.Incarnation {
				m.update(now, e, r)
			}
			m.suspect(now, e, r.Incarnation, r.ReportedBy, now)
		}
	case r.Incarnation > e.Incarnation:
		m.update(now, e, r)
	}
}

// add takes a new member in, or remembers one whose life is over.
func (m *Machine) add(now clock.Micros, r Record) {
	if len(m.members) >= MaxMembers {
		oldest := -1
		for i := range m.members {
			if e := &m.members[i]; e.State.Ended() && (oldest < 0 || e.since < m.members[oldest].since) {
				oldest = i
			}
		}
		if oldest < 0 {
			return
		}
		m.drop(oldest)
	}
	m.index[r.Name] = len(m.members)
	m.members = append(m.members, member{Record: r})
	e := &m.members[len(m.members)-1]
	if !r.State.Ended() { // its turn may come at once, so that nobody is asked for the first time only after all others
		at := 0
		if m.cfg.Seed != 0 {
			at = m.random(len(m.order) - m.turn + 1)
		}
		m.order = slices.Insert(m.order, min(m.turn+at, len(m.order)), r.Name)
	}
	m.renewed(now, e, r, true)
}

// renew begins another life of a member.
func (m *Machine) renew(now clock.Micros, e *member, r Record) {
	e.reached, e.rtt, e.misses, e.cut, e.pinged, e.heard, e.answered = "", 0, 0, PathState{}, 0, 0, 0
	m.renewed(now, e, r, !r.State.Ended())
}

func (m *Machine) renewed(now clock.Micros, e *member, r Record, fresh bool) {
	was := e.State
	e.Record, e.since, e.accusers = r, now, nil
	if r.State == Suspect { // it is alive until this member has its own reasons, or heard of two
		e.State, e.ReportedBy = Alive, ""
	}
	m.digestOld = true
	m.push(e.Name)
	m.act(MemberChanged{Record: e.Record, Previous: was, NewGeneration: fresh})
	if r.State == Suspect {
		m.suspect(now, e, r.Incarnation, r.ReportedBy, now)
	}
}

// update takes over a later word of the same life: it lives, and may tell other things of itself.
func (m *Machine) update(now clock.Micros, e *member, r Record) {
	was, before := e.State, e.Meta
	e.Incarnation, e.Meta, e.Address, e.State, e.ReportedBy, e.accusers = r.Incarnation, r.Meta, r.Address, Alive, "", nil
	if was != Alive {
		e.since = now
	}
	m.digestOld = true
	m.push(e.Name)
	if was != Alive || before != e.Meta {
		m.act(MemberChanged{Record: e.Record, Previous: was})
	}
}

// mergeSelf hears what others say of this member.
func (m *Machine) mergeSelf(r Record) {
	switch {
	case m.out || r.Generation < m.self.Generation || m.leaving > 0:
	case r.Generation > m.self.Generation && r.Address != m.self.Address && !r.State.Ended():
		m.namesake(r.Address, r.Generation)
	case r.Generation > m.self.Generation:
		m.newLife(r.Generation+1, Notice{Kind: ClockSetBack})
	case r.State.Ended():
		m.newLife(m.self.Generation+1, Notice{Kind: DeclaredDead, ReportedBy: r.ReportedBy})
	case r.State == Suspect && r.Incarnation >= m.self.Incarnation:
		m.self.Incarnation = r.Incarnation
		m.speak()
		m.act(Notice{Kind: SuspicionRefuted, ReportedBy: r.ReportedBy})
	case r.Incarnation > m.self.Incarnation:
		m.self.Incarnation = r.Incarnation
		m.speak()
	}
}

// newLife goes on in another life: the last one is over for the others, for good.
func (m *Machine) newLife(life uint64, why Notice) {
	m.self.Generation, m.self.Incarnation, m.begun = life, 0, m.seen
	for i := range m.members {
		e := &m.members[i]
		e.cut, e.misses = PathState{}, 0
	}
	m.speak()
	why.Generation = life
	m.act(why)
}

// namesake meets another process of this one's name. The one that started later has to go: it is told, and one that hears
// of an earlier one does not go for that alone, as it may be its own past.
func (m *Machine) namesake(at netip.AddrPort, life uint64) {
	if m.out || life < m.self.Generation || at == m.self.Address {
		return
	}
	out := m.message(Reject, nil)
	out.To, out.ToGeneration, out.Target, out.Records = m.self.Name, life, m.self.Name, []Record{m.self}
	m.act(Send{Address: at, Message: out})
	m.act(Notice{Kind: NameConflict, Address: at, Generation: life})
}

// refused hears that the name is taken.
func (m *Machine) refused(now clock.Micros, msg Message) {
	if msg.Target != m.self.Name || msg.ToGeneration != m.self.Generation || len(msg.Records) == 0 || m.leaving > 0 {
		return
	}
	switch holder := msg.Records[0]; {
	case holder.Name != m.self.Name || holder.Address == m.self.Address:
	case holder.Generation > m.self.Generation:
		m.namesake(holder.Address, holder.Generation)
	case m.out:
	default:
		// Where it was let in already it leaves, so that its namesake is not taken for its past.
		m.self.State = Left
		for range leaveTo {
			if e := m.draw(func(*member) bool { return true }); e != nil {
				out := m.message(Ping, nil)
				out.To, out.Records = e.Name, []Record{m.self}
				m.act(Send{To: e.Name, Address: e.Address, Message: out})
			}
		}
		m.self.State = Alive
		m.self.Generation++
		m.out, m.nextAsk = true, now+askEvery*m.cfg.Interval/5
		m.members, m.index, m.cuts, m.cutAt, m.news, m.paths = nil, map[string]int{}, nil, map[path]int{}, news{}, news{}
		m.order, m.turn, m.again, m.probing, m.errands, m.asks = nil, 0, nil, nil, nil, nil
		m.joined, m.joinedAs = nil, nil
		m.digestOld = true
		m.act(Notice{Kind: Excluded, Address: holder.Address, Generation: holder.Generation})
	}
}
