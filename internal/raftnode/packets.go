package raftnode

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblespan/internal/raftstore"
	"marblespan/internal/streams"
)

// A packet of more than partSize bytes is split into parts of partSize bytes, each sent in one stream message. A packet has at most
// maxParts parts.
const (
	partSize = 256 << 10
	maxParts = 1024
)

// maxPartialPackets is the maximum number of incomplete packets that are kept for a sender.
const maxPartialPackets = 4

// The first byte of a stream message states its kind. After completePacket follows a complete packet. After packetPart follow the
// packet's number, the part's position and the number of parts, in four bytes each, and then the part.
const (
	completePacket = iota
	packetPart
)

// partHeaderSize is the size of a part's header in bytes, including the kind.
const partHeaderSize = 1 + 3*4

// partHeader identifies a part of a packet.
type partHeader struct {
	packet, position, parts uint32
}

func (p partHeader) append(b []byte) []byte {
	b = append(b, packetPart)
	b = binary.BigEndian.AppendUint32(b, p.packet)
	b = binary.BigEndian.AppendUint32(b, p.position)
	return binary.BigEndian.AppendUint32(b, p.parts)
}

func readPartHeader(b []byte) (p partHeader, ok bool) {
	if len(b) < partHeaderSize || b[0] != packetPart {
		return partHeader{}, false
	}
	return partHeader{binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:]), binary.BigEndian.Uint32(b[9:])}, true
}

// packetReceived handles a stream message. It is called on the goroutines of package streams. If the inbox is full, packetReceived
// drops the packet, just as a network may lose one.
func (n *Node) packetReceived(from string, message []byte) {
	packet, complete := n.received.add(from, message)
	if !complete {
		return
	}
	n.Counters.Received.Add(1)
	select {
	case n.inbox <- inboxItem{event: raftstore.PacketReceived{From: from, Body: packet}}:
	default:
		n.Counters.EventsDropped.Add(1)
	}
}

// reassembler assembles packets from their parts. The zero value is ready for use. It is safe for concurrent use.
type reassembler struct {
	mu       sync.Mutex
	bySender map[string][]*partialPacket
}

// partialPacket is a packet of which only some parts have been received. next is the position of the part that is expected next.
type partialPacket struct {
	packet, next, parts uint32
	body                []byte
}

// add processes a stream message. If the message completes a packet, add returns the packet. The parts of a packet arrive in order,
// because they are sent on one stream; a packet with a missing part is dropped.
func (r *reassembler) add(from string, message []byte) (packet []byte, complete bool) {
	if len(message) > 0 && message[0] == completePacket {
		return slices.Clone(message[1:]), true
	}
	header, ok := readPartHeader(message)
	if !ok {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if header.position == 0 && header.parts > 0 && header.parts <= maxParts {
		r.begin(from, header)
	}
	all := r.bySender[from]
	i := slices.IndexFunc(all, func(p *partialPacket) bool { return p.packet == header.packet })
	if i < 0 {
		return nil, false
	}
	p := all[i]
	if p.next == header.position && p.parts == header.parts {
		p.body = append(p.body, message[partHeaderSize:]...)
		p.next++
		if p.next < p.parts {
			return nil, false
		}
	}
	r.bySender[from] = slices.Delete(all, i, i+1)
	return p.body, p.next == header.parts
}

// begin adds a partial packet. If the sender has too many, the sender's oldest partial packet is dropped, because it is the least
// likely to be completed.
func (r *reassembler) begin(from string, header partHeader) {
	if r.bySender == nil {
		r.bySender = map[string][]*partialPacket{}
	}
	all := r.bySender[from]
	if len(all) >= maxPartialPackets {
		all = all[1:]
	}
	r.bySender[from] = append(all, &partialPacket{packet: header.packet, parts: header.parts})
}

// send sends a packet, or passes a bulk packet to the bulk sender. The event loop calls it, so it does not block: if a queue is full,
// the packet is dropped, and the host sends it again.
func (n *Node) send(packet raftstore.Send) {
	if !packet.Bulk {
		n.sendPacket(packet, func(int) bool { return true })
		return
	}
	select {
	case n.bulk <- packet:
	default:
		n.Counters.SendFailures.Add(1)
	}
}

// sendPacket sends a packet, in parts if it is larger than partSize. Before each message it calls wait with the message's size in
// bytes, and stops if wait returns false.
func (n *Node) sendPacket(packet raftstore.Send, wait func(size int) bool) {
	if len(packet.Body) <= partSize && wait(len(packet.Body)) {
		n.sendMessage(streams.Message{To: packet.To, Channel: streams.StateStore, Body: append([]byte{completePacket}, packet.Body...)})
		return
	}
	header := partHeader{packet: n.lastPacket.Add(1), parts: uint32((len(packet.Body) + partSize - 1) / partSize)}
	for part := range slices.Chunk(packet.Body, partSize) {
		if !wait(len(part)) {
			return
		}
		message := append(header.append(make([]byte, 0, partHeaderSize+len(part))), part...)
		if !n.sendMessage(streams.Message{To: packet.To, Channel: streams.StateStore, Body: message, NoDrop: true}) {
			return // the parts already sent are useless without this part; the host sends the whole packet again
		}
		header.position++
	}
}

// sendMessage queues a message for sending. It returns false if the message was not accepted.
func (n *Node) sendMessage(m streams.Message) bool {
	if err := n.streams.Send(m); err != nil {
		n.Counters.SendFailures.Add(1)
		return false
	}
	n.Counters.Sent.Add(1)
	n.Counters.SentBytes.Add(int64(len(m.Body)))
	return true
}

// runBulkSender sends bulk packets one after the other, no faster than Settings.RepairRate, until quit is closed.
func (n *Node) runBulkSender() {
	limit := rate.NewLimiter(rate.Limit(n.settings.RepairRate), partSize)
	wait := func(size int) bool {
		select {
		case <-time.After(limit.ReserveN(time.Now(), size).Delay()):
			return true
		case <-n.quit:
			return false
		}
	}
	for {
		select {
		case <-n.quit:
			return
		case packet := <-n.bulk:
			n.sendPacket(packet, wait)
		}
	}
}
