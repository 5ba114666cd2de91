package raftstore

import (
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// outbox is what Flush returns next.
type outbox struct {
	packets map[string]*api.Packet // by the gateway that gets it
	bulk    []Send
	actions []Action
}

// packetVersion is that of the packets' layout.
const packetVersion = 1

// seal fills in a packet's head and writes it.
func (h *Host) encodePacket(p *api.Packet) []byte {
	p.Version, p.ClusterId, p.Store, p.Incarnation, p.LedgerIndex = packetVersion, h.clusterID, h.store, h.incarnation, h.ledger.Index
	if g := h.groups[LedgerGroup]; g != nil && g.recovery == nil {
		p.LedgerLeader = g.leaderName()
	}
	b, _ := proto.Marshal(p) // its names were checked when they came in
	return b
}

func (h *Host) emitNotice(n Notice) { h.out.actions = append(h.out.actions, n) }

// packet is what goes to another gateway at the end of this moment.
func (h *Host) packetFor(to string) *api.Packet {
	p := h.out.packets[to]
	if p == nil {
		p = &api.Packet{}
		h.out.packets[to] = p
	}
	return p
}

// bulk sends something large by itself.
func (h *Host) sendBulk(to string, x *api.RaftMessage) {
	h.out.bulk = append(h.out.bulk, Send{To: to, Body: h.encodePacket(&api.Packet{Raft: []*api.RaftMessage{x}}), Bulk: true})
}

// holder is the gateway that has a replica; empty: not known.
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
