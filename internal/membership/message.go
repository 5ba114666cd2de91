package membership

import (
	"math/bits"
	"slices"
)

// ping asks a member, for this one itself or for another.
func (m *Machine) ping(e *member, number uint32, origin string, originNumber uint32) {
	msg := m.newSyncMessage(Ping, e, e.digest != 0 && e.digest != m.viewDigest())
	msg.Number, msg.Origin, msg.OriginNumber = number, origin, originNumber
	m.emit(Send{To: e.Name, Address: e.Address, Message: msg})
}

// message makes a message with the news that are due. Whom it accuses it tells so, and whoever is not known here is told who
// speaks.
func (m *Machine) newMessage(kind Kind, e *member) Message { return m.newSyncMessage(kind, e, false) }

// messagePaged fills the room that news leave with a page of all that is known, where asked for.
func (m *Machine) newSyncMessage(kind Kind, e *member, sync bool) Message {
	msg := Message{Kind: kind, From: m.self.Name, Generation: m.self.Generation, Incarnation: m.self.Incarnation, Digest: m.viewDigest()}
	room := MaxMessageSize - maxHeaderSize - len(m.self.Name)
	has := func(name string) bool {
		return slices.ContainsFunc(msg.Records, func(r Record) bool { return r.Name == name })
	}
	add := func(r Record) bool {
		if size := recordSize(r); room >= size && !has(r.Name) {
			room -= size
			msg.Records = append(msg.Records, r)
			return true
		}
		return false
	}
	if e == nil || e.unaware {
		add(m.self)
	}
	if e != nil {
		msg.To, msg.ToGeneration = e.Name, e.Generation
		if e.State.Ended() || e.State == Suspect && !m.cfg.WithoutLifeguard {
			add(e.Record)
		}
	}
	if kind == Reject {
		return msg
	}
	m.appendGossip(&msg, has, add, &room)
	if sync {
		for range len(m.members) + 1 {
			m.syncPage = (m.syncPage + 1) % (len(m.members) + 1)
			if m.syncPage == len(m.members) {
				add(m.self)
			} else if r := m.members[m.syncPage].Record; !add(r) && !has(r.Name) {
				m.syncPage-- // it comes first next time
				break
			}
		}
	}
	return msg
}

// putNews puts in what was sent least often so far: of members first, of paths where there is room left.
func (m *Machine) appendGossip(msg *Message, has func(string) bool, add func(Record) bool, room *int) {
	if m.memberGossip.empty() && m.pathGossip.empty() {
		return
	}
	rounds := bits.Len(uint(m.countAlive() + 1))
	m.memberGossip.take(retransmitMultiplier*rounds, func(x broadcast) offerResult {
		r := m.self
		if x.name != m.self.Name {
			e := m.find(x.name)
			if e == nil {
				return offerObsolete
			}
			r = e.Record
		}
		switch {
		case has(r.Name), add(r):
			return offerSent
		case *room < minRecordSize:
			return offerFull
		}
		return offerTooLarge
	})
	m.pathGossip.take(rounds, func(x broadcast) offerResult {
		k, known := m.pathIndex[pathKey{x.reporter, x.peer}]
		if !known {
			return offerObsolete
		}
		size := maxPathSize + len(x.reporter) + len(x.peer)
		if *room < size {
			return offerFull
		}
		*room -= size
		msg.Paths = append(msg.Paths, m.pathStates[k])
		return offerSent
	})
}

// fit drops the last records of a message that has got too large.
func (m *Machine) truncateRecords(msg *Message) {
	size := maxHeaderSize + len(m.self.Name)
	for _, c := range msg.Paths {
		size += maxPathSize + len(c.Reporter) + len(c.Peer)
	}
	for i, r := range msg.Records {
		if size += recordSize(r); size > MaxMessageSize {
			msg.Records = msg.Records[:i]
			return
		}
	}
}

// The sizes of a message's parts as they are written, at the most, in bytes: the head without its own sender's name but with
// three others, a record and a path without their names.
const (
	maxHeaderSize = 2 + 2 + 11 + 6 + 3*(2+MaxNameLength) + 11 + 6 + 26 + 6 + 2 + 9
	minRecordSize = 40
	maxPathSize   = 2 + 4 + 6 + 4 + 11
)

func recordSize(r Record) int {
	address := 2 + 2 + 4 + 4
	if !r.Address.Addr().Is4() {
		address += 12
	}
	return 3 + 2 + len(r.Name) + address + 11 + 6 + 2 + 2 + len(r.ReportedBy) + 2 + len(r.Meta.Zone) + 6 + 2 + len(r.Meta.Version) + 9 + 6
}

// know is a digest of all who live, this member among them, with their lives and latest words. Two with the same one know
// the same.
func (m *Machine) viewDigest() uint64 {
	if !m.digestStale {
		return m.digest
	}
	m.digestStale = false
	m.digest, m.aliveOthers = 0, 0
	if !m.self.State.Ended() {
		m.digest = recordHash(m.self)
	}
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() {
			m.digest ^= recordHash(e.Record)
			m.aliveOthers++
		}
	}
	if m.digest == 0 {
		m.digest = 1 // 0: not known yet
	}
	return m.digest
}

// mark is FNV-1a over a record's name, life and incarnation, mixed once more, for marks are put together by exclusive or.
func recordHash(r Record) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(r.Name) {
		h = (h ^ uint64(r.Name[i])) * 1099511628211
	}
	for _, x := range []uint64{r.Generation, uint64(r.Incarnation)} {
		for range 8 {
			h = (h ^ x&0xff) * 1099511628211
			x >>= 8
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return h ^ h>>27
}
