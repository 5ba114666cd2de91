package gossip

import (
	"net/netip"
	"time"

	"marblespan/internal/membership"
	codec "marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
)

// This file has the code that the agent's goroutine runs. It converts datagrams and timers to events of the machine, and carries
// out the machine's actions.

// replayWindow is how far the messages of a sender may be reordered: a message is still accepted if at most replayWindow
// later messages have arrived before it. For example, an ack that arrives after the next ack is still valid.
const replayWindow = 64

// maxSenders is the maximum number of senders that the replay guard tracks. Only senders that have a key are counted.
const maxSenders = 4 * membership.MaxMembers

// sender identifies the sender of datagrams. It includes the address because two processes may have the same name.
type sender struct {
	name    string
	address netip.AddrPort
}

// loopHandler has the methods that datagrams.Loop calls on its goroutine (datagrams.Handler). It is a type of its own, so that
// Agent does not export these methods.
type loopHandler struct{ *Agent }

// Start starts the machine, which joins the other members.
func (h loopHandler) Start() { h.handle(membership.Started{}) }

// NextTimer returns the time at which the machine's next timer is due, or the zero time if there is none.
func (h loopHandler) NextTimer() time.Time {
	if at, ok := h.machine.Next(); ok {
		return h.clock.Time(at)
	}
	return time.Time{}
}

// CheckTimers passes a change of the gateway's own metadata to the machine, and sends it a Tick if a timer is due.
func (h loopHandler) CheckTimers() {
	if now := h.self(); now != h.lastSelf {
		h.lastSelf = now
		h.handle(membership.MetaUpdated{Meta: h.meta()})
	}
	if at, ok := h.machine.Next(); ok && h.clock.Now() >= at {
		h.handle(membership.Tick{})
	}
}

// HandleDatagram verifies a datagram and passes its message to the machine, or drops the datagram.
func (h loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	h.Counts.Received.Add(1)
	msg, fault := h.check(b, from)
	if fault != sealed.NoFault {
		h.drop(fault, from)
		return
	}
	if advertised, known := h.advertisedOf[from]; known {
		from = advertised
	}
	h.handle(membership.MessageReceived{Source: from, Message: msg})
}

// check parses a datagram and verifies that it is authentic (codec.Parse) and not a replay. For a datagram that is forged, replayed
// or malformed, it returns the fault.
func (a *Agent) check(b []byte, source netip.AddrPort) (membership.Message, sealed.Fault) {
	msg, trailer, fault := codec.Parse(b, a.settings.Deployment, a.settings.Keys)
	if fault != sealed.NoFault {
		return msg, fault
	}
	from := sender{msg.From, source}
	a.reserveSender(from)
	fresh, movedOn := a.replay.Accept(from, sealed.MessageID{Start: trailer.Start, Sequence: trailer.Sequence}, trailer.ReceiverStart)
	if movedOn {
		a.log.Warn().Str("peer", msg.From).Msg("peers know a later start time of this gateway, because its clock was set back; now using a start time after that one")
	}
	if !fresh {
		return msg, sealed.Replayed
	}
	return msg, sealed.NoFault
}

// reserveSender counts a sender that the replay guard does not track yet. If more than maxSenders senders are counted, the
// replay guard forgets all senders.
func (a *Agent) reserveSender(from sender) {
	if a.replay.KnownStart(from) != 0 {
		return
	}
	if a.senderCount++; a.senderCount > maxSenders {
		a.senderCount = 0
		a.replay.Retain(func(sender) bool { return false })
	}
}

// drop counts and logs a datagram that the method check rejected.
func (a *Agent) drop(fault sealed.Fault, from netip.AddrPort) {
	a.Counts.Dropped[fault].Add(1)
	a.drops.Dropped(fault.Name(), from)
}

// handle passes an event to the machine and carries out the resulting actions.
func (a *Agent) handle(ev membership.Event) {
	for _, action := range a.machine.Handle(a.clock.Now(), ev) {
		switch action := action.(type) {
		case membership.Send:
			a.send(action)
		case membership.MemberChanged:
			a.memberChanged(action)
		case membership.PathChanged:
			a.pathChanged(action.State)
		case membership.Notice:
			a.handleNotice(action)
		case membership.LeaveCompleted:
			close(a.leaveDone)
		}
	}
}

// send signs a message and writes it to the socket. A message that cannot be sent is only counted, because the machine handles it
// like any lost message.
func (a *Agent) send(s membership.Send) {
	to := s.Address
	if via, known := a.settings.Via[to]; known {
		to = via
	}
	id := a.replay.NextID()
	b, err := codec.Append(nil, s.Message, sealed.Trailer{
		Start: id.Start, Sequence: id.Sequence, ReceiverStart: a.replay.KnownStart(sender{s.Message.To, to}),
	}, a.settings.Deployment, a.settings.Keys[0])
	if err == nil {
		err = a.loop.Send(b, to)
	}
	if err != nil {
		a.Counts.SendFailed.Add(1)
		return
	}
	a.Counts.Sent.Add(1)
	a.Counts.SentBytes.Add(int64(len(b)))
}

// memberChanged counts and logs a change of the membership view, and calls onChange with it.
func (a *Agent) memberChanged(c membership.MemberChanged) {
	a.Counts.Changes.Add(1)
	a.addresses.Store(c.Name, c.Address)
	if c.State == membership.Dead {
		a.Counts.Deaths.Add(1)
	}
	if a.onChange != nil {
		a.onChange(c)
	}
	line := a.log.Info()
	if c.State == membership.Suspect || c.State == c.Previous && !c.NewGeneration {
		line = a.log.Debug() // not Info, because most suspicions are refuted; the counters show how many
	}
	line.Str("member", c.Name).Uint64("life", c.Generation).Stringer("from", c.Previous).Stringer("to", c.State).Bool("new", c.NewGeneration).
		Str("by", c.ReportedBy).Str("at", c.Address.String()).Msg("member")
}

// pathChanged counts and logs a change in what this member reports about its path to a peer.
func (a *Agent) pathChanged(p membership.PathState) {
	a.Counts.PathChanges.Add(1)
	a.log.Info().Str("member", p.Peer).Bool("unheard", p.OutboundLost).Bool("deaf", p.InboundLost).Msg("member path")
}

// handleNotice counts and logs a notice of the machine about this member.
func (a *Agent) handleNotice(n membership.Notice) {
	a.Counts.Noticed[n.Kind].Add(1)
	line := a.log.Warn()
	if n.Kind == membership.SuspicionRefuted {
		a.Counts.Refutations.Add(1)
		line = a.log.Debug()
	}
	if line = line.Stringer("what", n.Kind); n.ReportedBy != "" {
		line = line.Str("by", n.ReportedBy)
	}
	if n.Address.IsValid() {
		line = line.Str("at", n.Address.String())
	}
	if n.Generation != 0 {
		line = line.Uint64("life", n.Generation)
	}
	if n.StallDuration != 0 {
		line = line.Int64("for_ms", int64(n.StallDuration)/1000)
	}
	line.Msg("membership")
}
