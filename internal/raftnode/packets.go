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

// partSize is how much of a large packet is in one stream message, in bytes; a packet has at most maxParts of them.
const (
	partSize = 256 << 10
	maxParts = 1024
)

// maxPartialPackets is how many packets of one sender may be incomplete at a time.
const maxPartialPackets = 4

// The first byte of a stream message: what follows is a complete packet, or a part of one behind its number, its position and the
// number of parts, each in four bytes.
const (
	completePacket = iota
	packetPart
)

// partHeaderSize is the size of a part's header in bytes.
const partHeaderSize = 1 + 3*4

// partHeader says which part of which packet follows.
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

// packetReceived handles a stream message; the streams' goroutines call it. If the inbox is full the packet is dropped, as a
// network would.
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

// reassembler puts packets together from their parts. The zero value is ready for use, from several goroutines.
type reassembler struct {
	mu       sync.Mutex
	bySender map[string][]*partialPacket
}

// partialPacket is a packet of which some parts have been received.
type partialPacket struct {
	packet, next, parts uint32
	body                []byte
}

// add takes in a stream message. It returns the packet if that is complete with it. A packet's parts come in order, as they are
// sent on one stream; one that has a gap is dropped.
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

// begin makes a partial packet. If the sender has too many, its oldest is dropped: it will hardly be completed.
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

// send sends a packet, or passes it to the bulk sender; the event loop calls it. It does not block: what has no room is dropped,
// and the host sends it again.
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

// sendPacket sends a packet, in parts if it is large. Before each message it calls wait with the size in bytes, and stops if wait
// returns false.
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
			return // the parts that have arrived are useless; the host sends the packet again
		}
		header.position++
	}
}

// sendMessage gives a message to the streams. It returns false if they did not take it.
func (n *Node) sendMessage(m streams.Message) bool {
	if err := n.streams.Send(m); err != nil {
		n.Counters.SendFailures.Add(1)
		return false
	}
	n.Counters.Sent.Add(1)
	n.Counters.SentBytes.Add(int64(len(m.Body)))
	return true
}

// runBulkSender sends large packets one after the other, no faster than the repair rate. It ends when quit is closed.
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
