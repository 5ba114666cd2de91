package membership

import (
	"math/bits"
	"slices"
)

// ping asks a member, for this one itself or for another.
func (m *Machine) ping(e *member, number uint32, origin string, originNumber uint32) {
	msg := m.messagePaged(Ping, e, e.digest != 0 && e.digest != m.know())
	msg.Number, msg.Origin, msg.OriginNumber = number, origin, originNumber
	m.act(Send{To: e.Name, Address: e.Address, Message: msg})
}

// message makes a message with the news that are due. Whom it accuses it tells so, and whoever is not known here is told who
// speaks.
func (m *Machine) message(kind Kind, e *member) Message { return m.messagePaged(kind, e, false) }

// messagePaged fills the room that news leave with a page of all that is known, where asked for.
func (m *Machine) messagePaged(kind Kind, e *member, paged bool) Message {
	msg := Message{Kind: kind, From: m.self.Name, Generation: m.self.Generation, Incarnation: m.self.Incarnation, Digest: m.know()}
	room := MaxMessageSize - mostHead - len(m.self.Name)
	has := func(name string) bool {
		return slices.ContainsFunc(msg.Records, func(r Record) bool { return r.Name == name })
	}
	put := func(r Record) bool {
		if size := sizeOf(r); room >= size && !has(r.Name) {
			room -= size
			msg.Records = append(msg.Records, r)
			return true
		}
		return false
	}
	if e == nil || e.stranger {
		put(m.self)
	}
	if e != nil {
		msg.To, msg.ToGeneration = e.Name, e.Generation
		if e.State.Ended() || e.State == Suspect && !m.cfg.WithoutLifeguard {
			put(e.Record)
		}
	}
	if kind == Reject {
		return msg
	}
	m.putNews(&msg, has, put, &room)
	if paged {
		for range len(m.members) + 1 {
			m.page = (m.page + 1) % (len(m.members) + 1)
			if m.page == len(m.members) {
				put(m.self)
			} else if r := m.members[m.page].Record; !put(r) && !has(r.Name) {
				m.page-- // it comes first next time
				break
			}
		}
	}
	return msg
}

// putNews puts in what was sent least often so far: of members first, of paths where there is room left.
func (m *Machine) putNews(msg *Message, has func(string) bool, put func(Record) bool, room *int) {
	if m.news.empty() && m.paths.empty() {
		return
	}
	rounds := bits.Len(uint(m.living() + 1))
	m.news.take(spread*rounds, func(x item) verdict {
		r := m.self
		if x.name != m.self.Name {
			e := m.find(x.name)
			if e == nil {
				return nothing
			}
			r = e.Record
		}
		switch {
		case has(r.Name), put(r):
			return sent
		case *room < leastRecord:
			return full
		}
		return waits
	})
	m.paths.take(rounds, func(x item) verdict {
		k, known := m.cutAt[path{x.by, x.peer}]
		if !known {
			return nothing
		}
		size := mostCut + len(x.by) + len(x.peer)
		if *room < size {
			return full
		}
		*room -= size
		msg.Paths = append(msg.Paths, m.cuts[k])
		return sent
	})
}

// fit drops the last records of a message that has got too large.
func (m *Machine) fit(msg *Message) {
	size := mostHead + len(m.self.Name)
	for _, c := range msg.Paths {
		size += mostCut + len(c.Reporter) + len(c.Peer)
	}
	for i, r := range msg.Records {
		if size += sizeOf(r); size > MaxMessageSize {
			msg.Records = msg.Records[:i]
			return
		}
	}
}

// The sizes of a message's parts as they are written, at the most, in bytes: the head without its own sender's name but with
// three others, a record and a path without their names.
const (
	mostHead    = 2 + 2 + 11 + 6 + 3*(2+MaxNameLength) + 11 + 6 + 26 + 6 + 2 + 9
	leastRecord = 40
	mostCut     = 2 + 4 + 6 + 4 + 11
)

func sizeOf(r Record) int {
	address := 2 + 2 + 4 + 4
	if !r.Address.Addr().Is4() {
		address += 12
	}
	return 3 + 2 + len(r.Name) + address + 11 + 6 + 2 + 2 + len(r.ReportedBy) + 2 + len(r.Meta.Zone) + 6 + 2 + len(r.Meta.Version) + 9 + 6
}

// know is a digest of all who live, this member among them, with their lives and latest words. Two with the same one know
// the same.
func (m *Machine) know() uint64 {
	if !m.digestOld {
		return m.digest
	}
	m.digestOld = false
	m.digest, m.alive = 0, 0
	if !m.self.State.Ended() {
		m.digest = mark(m.self)
	}
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() {
			m.digest ^= mark(e.Record)
			m.alive++
		}
	}
	if m.digest == 0 {
		m.digest = 1 // 0: not known yet
	}
	return m.digest
}

// mark is FNV-1a over a record's name, life and incarnation, mixed once more, for marks are put together by exclusive or.
func mark(r Record) uint64 {
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
