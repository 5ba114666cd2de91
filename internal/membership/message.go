package membership

import (
	"math/bits"
	"slices"
)

// This file builds messages: their header, the gossip that they carry, and pages of the whole view for members whose view
// differs.

// retransmitMultiplier, multiplied by the base-2 logarithm of the number of members, is the number of times that a record is
// transmitted, like memberlist's RetransmitMult.
const retransmitMultiplier = 3

// While there are queued records, additional pings that carry gossip are sent to gossipNodes random members every
// Config.Interval/gossipDivisor.
const (
	gossipDivisor = 4
	gossipNodes   = 2
)

// Encoded sizes in bytes: the largest header, without the sender's name but with three other names; the smallest record; and
// the largest path report, without its names.
const (
	maxHeaderSize = 2 + 2 + 11 + 6 + 3*(2+MaxNameLength) + 11 + 6 + 26 + 6 + 2 + 9
	minRecordSize = 40
	maxPathSize   = 2 + 4 + 6 + 4 + 11
)

// recordSize returns an upper bound of the encoded size of a record, in bytes.
func recordSize(r Record) int {
	address := 2 + 2 + 4 + 4
	if !r.Address.Addr().Is4() {
		address += 12
	}
	return 3 + 2 + len(r.Name) + address + 11 + 6 + 2 + 2 + len(r.ReportedBy) + 2 + len(r.Meta.Zone) + 6 + 2 + len(r.Meta.Version) + 9 + 6
}

// pathSize returns an upper bound of the encoded size of a path report, in bytes.
func pathSize(reporter, peer string) int { return maxPathSize + len(reporter) + len(peer) }

// ping sends a Ping to a member, either for this member itself or, if origin is not empty, as a helper of the member origin. With
// number 0, this member does not wait for an answer.
func (m *Machine) ping(target *member, number uint32, origin string, originNumber uint32) {
	msg := m.newSyncMessage(Ping, target, target.digest != 0 && target.digest != m.viewDigest())
	msg.Number, msg.Origin, msg.OriginNumber = number, origin, originNumber
	m.emit(Send{To: target.Name, Address: target.Address, Message: msg})
}

// newMessage returns a message to a member, including queued gossip. to is nil if the receiver is not in the view.
func (m *Machine) newMessage(kind Kind, to *member) Message { return m.newSyncMessage(kind, to, false) }

// newSyncMessage is like newMessage, but if sync is set, it fills the remaining space with a page of the whole view. The
// message includes this member's own record if the receiver does not know it, and the receiver's record if the receiver is
// suspected or has ended in this member's view, so that the receiver can refute the suspicion or start a new
// generation.
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

// messageBuilder is a message under construction. freeBytes is the space left for records and path reports.
type messageBuilder struct {
	Message
	freeBytes int
}

// has reports whether the message contains a record of the member with the given name.
func (b *messageBuilder) has(name string) bool {
	return slices.ContainsFunc(b.Records, func(r Record) bool { return r.Name == name })
}

// add adds a record if there is space for it and the message contains no record of the same member yet. It reports
// whether the record was added.
func (b *messageBuilder) add(r Record) bool {
	size := recordSize(r)
	if size > b.freeBytes || b.has(r.Name) {
		return false
	}
	b.freeBytes -= size
	b.Records = append(b.Records, r)
	return true
}

// addPath adds a path report if there is space for it. addPath returns whether the path report was added.
func (b *messageBuilder) addPath(p PathState) bool {
	size := pathSize(p.Reporter, p.Peer)
	if size > b.freeBytes {
		return false
	}
	b.freeBytes -= size
	b.Paths = append(b.Paths, p)
	return true
}

// addGossip adds queued gossip: first records, then path reports if space is left. Among the records, and among the path
// reports, those that have been transmitted least often are added first.
func (m *Machine) addGossip(b *messageBuilder) {
	if m.memberGossip.empty() && m.pathGossip.empty() {
		return
	}
	rounds := bits.Len(uint(m.countAlive() + 1))
	m.memberGossip.take(retransmitMultiplier*rounds, func(item broadcast) offerResult { return m.offerRecord(b, item.name) })
	m.pathGossip.take(rounds, func(item broadcast) offerResult { return m.offerPath(b, pathKey{item.reporter, item.peer}) })
}

// offerRecord adds the record of the member called name to a message if it fits.
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

// addSyncPage adds as many records as fit, starting after the last record of the previous page. This member's own record
// comes after the records of all other members.
func (m *Machine) addSyncPage(b *messageBuilder) {
	for range len(m.members) + 1 {
		m.syncPage = (m.syncPage + 1) % (len(m.members) + 1)
		if m.syncPage == len(m.members) {
			b.add(m.self)
		} else if r := m.members[m.syncPage].Record; !b.add(r) && !b.has(r.Name) {
			m.syncPage-- // the next page starts with this record
			return
		}
	}
}

// truncateRecords removes records from the end of a message that has become larger than MaxMessageSize.
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

// gossipMember queues a member's record as gossip that has not been transmitted yet.
func (m *Machine) gossipMember(name string) { m.memberGossip.enqueue(broadcast{name: name}) }
