package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file processes received messages: handleMessage decides whether to accept the sender, merges the records and path
// reports of the message, and calls the handler for the message's kind.

// maxRelayedPings is the largest number of pings that this member relays for others at a time.
const maxRelayedPings = 256

// handleMessage processes one authenticated message. A message that is addressed to another member, or that comes from a
// generation that has ended, does not change what is known about its sender.
func (m *Machine) handleMessage(now clock.Micros, source netip.AddrPort, msg Message) {
	switch {
	case msg.From == m.self.Name && msg.Generation == m.self.Generation:
		m.noteJoinAnswer(source, msg.From) // this member's own message came back, so the address belongs to this member
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
	case sender.Generation != msg.Generation: // another process owns the sender's name
		return
	}
	if sender.lastReceived == 0 { // the sender became known through this message
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

// readmits reports whether a message to this excluded member shows that the member is accepted again. If so, readmits ends
// the exclusion.
func (m *Machine) readmits(msg Message) bool {
	if msg.Kind != Ack || msg.ToGeneration != m.self.Generation {
		return false
	}
	m.excluded = false
	m.emit(Notice{Kind: Readmitted, Generation: m.self.Generation})
	return true
}

// hasEnded reports whether a generation of the member is known to have ended.
func (e *member) hasEnded(generation uint64) bool {
	return generation < e.Generation || generation == e.Generation && e.State.Ended()
}

// handleEndedSender processes a message from a generation that has ended in this member's view. The sender is accepted again
// only in a new generation. If its known record is Dead or Left, the answer contains that record, so that the sender starts a
// new generation. The records of this member that the message contains are merged all the same, because after a partition each
// half considers the other half dead.
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

// mergeMessage merges the information that a message contains about its sender and about other members and paths.
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

// noteSender records three facts about the sender of a message: the time of the message, the digest of the sender's view, and
// whether the sender knows the current generation of this member.
func (m *Machine) noteSender(now clock.Micros, sender *member, msg Message) {
	sender.lastReceived, sender.digest, sender.unaware = now, msg.Digest, msg.ToGeneration != m.self.Generation
}

// handleUnknownSender answers a ping from a sender that is not in the view. The answer contains this member's record, so that
// the sender learns about this member and can then send its own record.
func (m *Machine) handleUnknownSender(source netip.AddrPort, msg Message) {
	if msg.Kind == Ping {
		m.reply(source, nil, msg)
	}
}

// handlePing answers a ping that the sender sent for itself or as a helper.
func (m *Machine) handlePing(source netip.AddrPort, sender *member, msg Message) {
	if msg.Origin == "" && msg.Number != 0 {
		sender.lastDirectPing = msg.Number
	}
	m.reply(source, sender, msg)
}

// reply sends an Ack in answer to a message. If the sender's view differs from this member's view, the Ack also contains a page
// of this member's view.
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

// handleIndirectPing pings the target of an indirect probe on behalf of its origin. If the target answers, forwardAck sends the
// answer to the origin; otherwise sendNacks sends the origin a Nack.
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

// handleAck processes an Ack, either from the pinged member itself or from a helper that reached the target of an indirect
// probe.
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

// completeProbe ends the probe that the target has answered directly. It reports whether there was such a probe.
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

// forwardAck forwards the answer to a relayed ping to the member that asked for the ping.
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

// handleIndirectAck processes an Ack from a helper. The Ack shows that the target is alive. If several probes in a row are
// answered only through helpers, the path to the target is reported as lost in one direction.
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
	// If the target received the direct ping, its direct answer was lost; otherwise the ping was lost.
	lost := PathState{OutboundLost: !msg.DirectPingReceived, InboundLost: msg.DirectPingReceived}
	if target.path.OutboundLost != lost.OutboundLost || target.path.InboundLost != lost.InboundLost {
		m.reportPath(target, lost)
	}
}

// handleNack processes a helper's report that the target has not answered. The report shows that the helper itself is reachable.
func (m *Machine) handleNack(helper *member, msg Message) { m.helperAnswered(helper.Name, msg.Number) }

// helperAnswered records that a helper has answered a request with an Ack or a Nack.
func (m *Machine) helperAnswered(helper string, number uint32) {
	for i := range m.helperRequests {
		if r := &m.helperRequests[i]; r.helper == helper && r.number == number {
			r.answered = true
		}
	}
}
