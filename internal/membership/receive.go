package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file takes in messages: handleMessage decides whether the sender counts, merges what it says of others, and calls the
// handler of the message's kind.

// maxRelayedPings bounds the pings that are under way for other members.
const maxRelayedPings = 256

// handleMessage takes in one authentic message. Messages for another member, and those of ended generations, change nothing
// about their sender.
func (m *Machine) handleMessage(now clock.Micros, source netip.AddrPort, msg Message) {
	switch {
	case msg.From == m.self.Name && msg.Generation == m.self.Generation:
		m.noteJoinAnswer(source, msg.From) // its own message came back: the address is its own
		return
	case msg.Kind == Reject:
		m.handleReject(now, msg)
		return
	case msg.From == m.self.Name:
		m.handleNameConflict(source, msg.Generation)
		return
	case msg.To != "" && msg.To != m.self.Name:
		return
	case m.excluded && !m.readmits(msg):
		return
	}
	m.noteJoinAnswer(source, msg.From)
	if known := m.find(msg.From); known != nil && known.hasEnded(msg.Generation) {
		m.handleEndedSender(source, known, msg)
		return
	}
	m.mergeMessage(now, source, msg)
	sender := m.find(msg.From)
	switch {
	case sender == nil:
		m.handleUnknownSender(source, msg)
		return
	case sender.Generation != msg.Generation: // its name is another process's here
		return
	}
	if sender.lastReceived == 0 { // the message itself made it known
		m.noteSender(now, sender, msg)
	}
	switch msg.Kind {
	case Ping:
		m.handlePing(source, sender, msg)
	case IndirectPing:
		m.handleIndirectPing(now, sender, msg)
	case Ack:
		m.handleAck(now, sender, msg)
	case Nack:
		m.handleNack(sender, msg)
	}
}

// readmits tells whether a message shows that this excluded member is accepted again, and ends the exclusion.
func (m *Machine) readmits(msg Message) bool {
	if msg.Kind != Ack || msg.ToGeneration != m.self.Generation {
		return false
	}
	m.excluded = false
	m.emit(Notice{Kind: Readmitted, Generation: m.self.Generation})
	return true
}

// hasEnded tells whether a generation of the member is known to have ended.
func (e *member) hasEnded(generation uint64) bool {
	return generation < e.Generation || generation == e.Generation && e.State.Ended()
}

// handleEndedSender takes in a message of a generation that has ended here. Its sender is believed again only in a new
// generation, and the answer tells it so. What it says of this member counts all the same: after a partition each half holds
// the other dead.
func (m *Machine) handleEndedSender(source netip.AddrPort, sender *member, msg Message) {
	for _, r := range msg.Records {
		if r.Name == m.self.Name {
			m.mergeSelf(r)
		}
	}
	if msg.Kind == Ping || msg.Kind == IndirectPing {
		m.reply(source, sender, msg)
	}
}

// mergeMessage takes over what a message says of its sender and of others.
func (m *Machine) mergeMessage(now clock.Micros, source netip.AddrPort, msg Message) {
	if sender := m.find(msg.From); sender != nil && sender.Generation == msg.Generation {
		m.noteSender(now, sender, msg)
	}
	for _, r := range msg.Records {
		m.mergeRecord(now, r, source, msg)
	}
	for _, p := range msg.Paths {
		m.mergePath(p)
	}
}

// noteSender notes that a member was heard from directly, and what it knows.
func (m *Machine) noteSender(now clock.Micros, sender *member, msg Message) {
	sender.lastReceived, sender.digest, sender.unaware = now, msg.Digest, msg.ToGeneration != m.self.Generation
}

// handleUnknownSender answers a ping of one that knows this member's address and is not a member yet. The answer tells it
// whom to introduce itself to.
func (m *Machine) handleUnknownSender(source netip.AddrPort, msg Message) {
	if msg.Kind == Ping {
		m.reply(source, nil, msg)
	}
}

// handlePing answers a ping, its sender's own or a helper's.
func (m *Machine) handlePing(source netip.AddrPort, sender *member, msg Message) {
	if msg.Origin == "" && msg.Number != 0 {
		sender.lastDirectPing = msg.Number
	}
	m.reply(source, sender, msg)
}

// reply acks a message. A sender that knows other members than this one is sent some of them, too.
func (m *Machine) reply(source netip.AddrPort, sender *member, to Message) {
	msg := m.newSyncMessage(Ack, sender, to.Digest != m.viewDigest())
	msg.To, msg.ToGeneration, msg.Number = to.From, 0, to.Number
	if origin := m.find(to.Origin); origin != nil {
		msg.DirectPingReceived = origin.lastDirectPing == to.OriginNumber
	}
	address, name := source, ""
	if sender != nil && sender.Generation == to.Generation {
		address, name, msg.ToGeneration = sender.Address, sender.Name, sender.Generation
	}
	m.emit(Send{To: name, Address: address, Message: msg})
}

// handleIndirectPing pings the target of an indirect probe for its origin. The answer goes to the origin by forwardAck, a
// missing one by sendNacks.
func (m *Machine) handleIndirectPing(now clock.Micros, origin *member, msg Message) {
	if msg.Target == m.self.Name || len(m.relayedPings) >= maxRelayedPings {
		return
	}
	m.lastNumber++
	m.relayedPings = append(m.relayedPings, relayedPing{
		number: m.lastNumber, target: msg.Target, origin: origin.Name, originAddress: origin.Address, originNumber: msg.Number,
		sentAt: now,
	})
	if target := m.find(msg.Target); target != nil {
		m.ping(target, m.lastNumber, origin.Name, msg.Number)
		return
	}
	out := m.newMessage(Ping, nil)
	out.To, out.Number, out.Origin, out.OriginNumber = msg.Target, m.lastNumber, origin.Name, msg.Number
	m.emit(Send{To: msg.Target, Address: msg.TargetAddress, Message: out})
}

// handleAck takes in an answer: a member's own, or a helper's that has reached the target of an indirect probe.
func (m *Machine) handleAck(now clock.Micros, sender *member, msg Message) {
	if msg.Target != "" {
		m.handleIndirectAck(now, sender, msg)
		return
	}
	if msg.Number != 0 {
		sender.lastAck = now
	}
	if !m.completeProbe(now, sender, msg.Number) {
		m.forwardAck(sender, msg)
	}
}

// completeProbe ends the probe that a member has answered itself. It tells whether there was one.
func (m *Machine) completeProbe(now clock.Micros, target *member, number uint32) bool {
	i := slices.IndexFunc(m.probes, func(p probe) bool { return p.number == number && p.target == target.Name })
	if i < 0 {
		return false
	}
	if m.probes[i].direct {
		target.rtt = now - m.probes[i].sentAt
	}
	m.probes = slices.Delete(m.probes, i, i+1)
	target.indirectOnly = 0
	if !target.path.Healthy() {
		m.reportPath(target, PathState{})
	}
	return true
}

// forwardAck sends the answer to a relayed ping on to the member that asked for it.
func (m *Machine) forwardAck(target *member, msg Message) {
	i := slices.IndexFunc(m.relayedPings, func(r relayedPing) bool { return r.number == msg.Number && r.target == target.Name })
	if i < 0 {
		return
	}
	relayed := m.relayedPings[i]
	m.relayedPings = slices.Delete(m.relayedPings, i, i+1)
	out := m.newMessage(Ack, m.find(relayed.origin))
	out.To, out.Number, out.Target = relayed.origin, relayed.originNumber, target.Name
	out.DirectPingReceived = msg.DirectPingReceived
	out.Records = append([]Record{target.Record}, out.Records...)
	m.truncateRecords(&out)
	m.emit(Send{To: relayed.origin, Address: relayed.originAddress, Message: out})
}

// handleIndirectAck takes in a helper's answer: the target is alive, and where that happens again and again the path to it
// is lost in one direction.
func (m *Machine) handleIndirectAck(now clock.Micros, helper *member, msg Message) {
	m.helperAnswered(helper.Name, msg.Number)
	i := slices.IndexFunc(m.probes, func(p probe) bool { return p.number == msg.Number && p.target == msg.Target })
	target := m.find(msg.Target)
	if i < 0 || target == nil || target.Generation != m.probes[i].generation || target.State.Ended() {
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
	target.lastAck, target.lastHelper = now, helper.Name
	target.indirectOnly++
	if target.indirectOnly < pathLostAfter*m.LocalHealth() {
		if !slices.Contains(m.reprobe, target.Name) {
			m.reprobe = append(m.reprobe, target.Name)
		}
		return
	}
	// Where the target did get the direct ping, its answer is what was lost.
	lost := PathState{OutboundLost: !msg.DirectPingReceived, InboundLost: msg.DirectPingReceived}
	if target.path.OutboundLost != lost.OutboundLost || target.path.InboundLost != lost.InboundLost {
		m.reportPath(target, lost)
	}
}

// handleNack takes in a helper's message that the target has not answered it: the helper itself is reachable.
func (m *Machine) handleNack(helper *member, msg Message) { m.helperAnswered(helper.Name, msg.Number) }

// helperAnswered notes that a helper has answered a request, with an ack or a nack.
func (m *Machine) helperAnswered(helper string, number uint32) {
	for i := range m.helperRequests {
		if r := &m.helperRequests[i]; r.helper == helper && r.number == number {
			r.answered = true
		}
	}
}
