package membership

import (
	"math/bits"
	"slices"
)

// This file makes messages: their header, the gossip that rides on them, and pages of the whole view for members whose view
// differs.

// retransmitMultiplier times the logarithm of the number of members is how often a record is transmitted (memberlist's
// RetransmitMult).
const retransmitMultiplier = 3

// gossipDivisor is the part of an interval, as its divisor, after which gossip is sent out of turn, to gossipNodes others.
const (
	gossipDivisor = 4
	gossipNodes   = 2
)

// The largest encoded sizes of a message's parts, in bytes: the header without its sender's name but with three other names,
// and a path report without its names. minRecordSize is the smallest size of a record.
const (
	maxHeaderSize = 2 + 2 + 11 + 6 + 3*(2+MaxNameLength) + 11 + 6 + 26 + 6 + 2 + 9
	minRecordSize = 40
	maxPathSize   = 2 + 4 + 6 + 4 + 11
)

// recordSize is the largest encoded size of a record, in bytes.
func recordSize(r Record) int {
	address := 2 + 2 + 4 + 4
	if !r.Address.Addr().Is4() {
		address += 12
	}
	return 3 + 2 + len(r.Name) + address + 11 + 6 + 2 + 2 + len(r.ReportedBy) + 2 + len(r.Meta.Zone) + 6 + 2 + len(r.Meta.Version) + 9 + 6
}

// pathSize is the largest encoded size of a report on a path, in bytes.
func pathSize(reporter, peer string) int { return maxPathSize + len(reporter) + len(peer) }

// ping pings a member, for this one itself or as a helper for an origin. Number 0 waits for no answer.
func (m *Machine) ping(target *member, number uint32, origin string, originNumber uint32) {
	msg := m.newSyncMessage(Ping, target, target.digest != 0 && target.digest != m.viewDigest())
	msg.Number, msg.Origin, msg.OriginNumber = number, origin, originNumber
	m.emit(Send{To: target.Name, Address: target.Address, Message: msg})
}

// newMessage makes a message to a member, or to one that is not known (nil), with the gossip that is due.
func (m *Machine) newMessage(kind Kind, to *member) Message { return m.newSyncMessage(kind, to, false) }

// newSyncMessage makes a message, and if sync is set fills the room that gossip leaves with a page of the whole view. A
// receiver that does not know this member gets its record; one that is suspected or has ended here is told so.
func (m *Machine) newSyncMessage(kind Kind, to *member, sync bool) Message {
	b := messageBuilder{
		Message: Message{
			Kind: kind, From: m.self.Name, Generation: m.self.Generation, Incarnation: m.self.Incarnation, Digest: m.viewDigest(),
		},
		freeBytes: MaxMessageSize - maxHeaderSize - len(m.self.Name),
	}
	if to == nil || to.unaware {
		b.add(m.self)
	}
	if to != nil {
		b.To, b.ToGeneration = to.Name, to.Generation
		if to.State.Ended() || to.State == Suspect && !m.cfg.WithoutLifeguard {
			b.add(to.Record)
		}
	}
	if kind == Reject {
		return b.Message
	}
	m.addGossip(&b)
	if sync {
		m.addSyncPage(&b)
	}
	return b.Message
}

// messageBuilder is a message being filled. freeBytes is how many bytes are left for records and path reports.
type messageBuilder struct {
	Message
	freeBytes int
}

// has tells whether the message has a record of a name.
func (b *messageBuilder) has(name string) bool {
	return slices.ContainsFunc(b.Records, func(r Record) bool { return r.Name == name })
}

// add adds a record that is not in the message yet. It tells whether it did.
func (b *messageBuilder) add(r Record) bool {
	size := recordSize(r)
	if size > b.freeBytes || b.has(r.Name) {
		return false
	}
	b.freeBytes -= size
	b.Records = append(b.Records, r)
	return true
}

// addPath adds a path report if there is room for it. It tells whether it did.
func (b *messageBuilder) addPath(p PathState) bool {
	size := pathSize(p.Reporter, p.Peer)
	if size > b.freeBytes {
		return false
	}
	b.freeBytes -= size
	b.Paths = append(b.Paths, p)
	return true
}

// addGossip adds what was transmitted least often so far: records first, path reports where there is room left.
func (m *Machine) addGossip(b *messageBuilder) {
	if m.memberGossip.empty() && m.pathGossip.empty() {
		return
	}
	rounds := bits.Len(uint(m.countAlive() + 1))
	m.memberGossip.take(retransmitMultiplier*rounds, func(item broadcast) offerResult { return m.offerRecord(b, item.name) })
	m.pathGossip.take(rounds, func(item broadcast) offerResult { return m.offerPath(b, pathKey{item.reporter, item.peer}) })
}

// offerRecord adds a member's record to a message if it fits.
func (m *Machine) offerRecord(b *messageBuilder, name string) offerResult {
	record := m.self
	if name != m.self.Name {
		e := m.find(name)
		if e == nil {
			return offerObsolete
		}
		record = e.Record
	}
	switch {
	case b.has(name), b.add(record):
		return offerSent
	case b.freeBytes < minRecordSize:
		return offerFull
	}
	return offerTooLarge
}

// offerPath adds a path report to a message if it fits.
func (m *Machine) offerPath(b *messageBuilder, key pathKey) offerResult {
	i, known := m.pathIndex[key]
	switch {
	case !known:
		return offerObsolete
	case !b.addPath(m.pathStates[i]):
		return offerFull
	}
	return offerSent
}

// addSyncPage adds the records that follow the last page, as many as there is room for, this member's own after all others.
func (m *Machine) addSyncPage(b *messageBuilder) {
	for range len(m.members) + 1 {
		m.syncPage = (m.syncPage + 1) % (len(m.members) + 1)
		if m.syncPage == len(m.members) {
			b.add(m.self)
		} else if r := m.members[m.syncPage].Record; !b.add(r) && !b.has(r.Name) {
			m.syncPage-- // it comes first next time
			return
		}
	}
}

// truncateRecords drops the last records of a message that has become too large.
func (m *Machine) truncateRecords(msg *Message) {
	size := maxHeaderSize + len(m.self.Name)
	for _, p := range msg.Paths {
		size += pathSize(p.Reporter, p.Peer)
	}
	for i, r := range msg.Records {
		if size += recordSize(r); size > MaxMessageSize {
			msg.Records = msg.Records[:i]
			return
		}
	}
}

// gossipMember has a member's record spread from the beginning.
func (m *Machine) gossipMember(name string) { m.memberGossip.enqueue(broadcast{name: name}) }
