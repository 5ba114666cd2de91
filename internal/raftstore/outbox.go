package raftstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// outbox collects what the next Flush returns.
type outbox struct {
	packets map[string]*api.Packet // by receiving gateway
	bulk    []Send
	actions []Action
}

// packetVersion is the version of the packet layout.
const packetVersion = 1

// encodePacket fills in a packet's header and encodes it.
func (h *Host) encodePacket(p *api.Packet) []byte {
	p.Version, p.ClusterId, p.Store, p.Incarnation, p.LedgerIndex = packetVersion, h.clusterID, h.store, h.incarnation, h.ledger.Index
	if g := h.groups[LedgerGroup]; g != nil && g.recovery == nil {
		p.LedgerLeader = g.leaderName()
	}
	b, _ := proto.Marshal(p) // cannot fail, because names are validated when they are received
	return b
}

// emitNotice adds a notice to the actions.
func (h *Host) emitNotice(n Notice) { h.out.actions = append(h.out.actions, n) }

// packetFor returns the packet that the next Flush sends to a gateway. It creates the packet if there is none yet.
func (h *Host) packetFor(to string) *api.Packet {
	p := h.out.packets[to]
	if p == nil {
		p = &api.Packet{}
		h.out.packets[to] = p
	}
	return p
}

// sendBulk sends a large Raft message in a packet of its own.
func (h *Host) sendBulk(to string, x *api.RaftMessage) {
	h.out.bulk = append(h.out.bulk, Send{To: to, Body: h.encodePacket(&api.Packet{Raft: []*api.RaftMessage{x}}), Bulk: true})
}

// gatewayOf returns the name of the gateway that runs a member of a group, or "" if it is not known.
func (h *Host) gatewayOf(id uint32, number uint64) string {
	if number == 0 {
		return ""
	}
	if x := findGroup(h.ledger, id); x != nil {
		for _, r := range groupMembers(x) {
			if r.Id == number {
				if s := findStore(h.ledger, r.Store); s != nil {
					return s.Name
				}
			}
		}
	}
	return ""
}

// sendPackets turns the collected packets into Send actions. Until this incarnation is on the disk, the packets are dropped.
func (h *Host) sendPackets() {
	for _, to := range slices.Sorted(maps.Keys(h.out.packets)) {
		if p := h.out.packets[to]; h.disk.started {
			h.out.actions = append(h.out.actions, Send{To: to, Body: h.encodePacket(p)})
		}
	}
	clear(h.out.packets)
	if h.disk.started {
		for _, s := range h.out.bulk {
			h.out.actions = append(h.out.actions, s)
		}
	}
	h.out.bulk = nil
}
