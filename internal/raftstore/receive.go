package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// forwardedCallTimeout is how long a call of another gateway waits here for its result.
const forwardedCallTimeout clock.Micros = 10 * 1_000_000

// peerTable is what is known of the other gateways.
type peerTable struct {
	names            []string                  // as membership has them
	incarnations     map[uint64]uint64         // the latest one of each store that was received
	progress         map[MemberRef]logPosition // what each other member is known to have acknowledged
	ledgerSentAt     map[string]uint64         // one more than the tick at which each was sent the ledger
	foreignNoticedAt uint64                    // the tick of the last notice about a packet of another cluster
	rejectedStore    uint64                    // the last store that was not let in because its record format is too old
}

func newPeerTable() peerTable {
	return peerTable{incarnations: map[uint64]uint64{}, progress: map[MemberRef]logPosition{}, ledgerSentAt: map[string]uint64{}}
}

// receivePacket checks a packet's header and hands on what is in it.
func (h *Host) receivePacket(event PacketReceived) {
	var packet api.Packet
	if proto.Unmarshal(event.Body, &packet) != nil || packet.Version != packetVersion {
		return
	}
	if !h.acceptSender(event.From, &packet) {
		return
	}
	h.exchangeLedger(event.From, &packet)
	for _, x := range packet.RecoveryQueries {
		h.handleRecoveryQuery(event.From, x)
	}
	for _, x := range packet.RecoveryReplies {
		h.handleRecoveryReply(x)
	}
	if len(packet.Raft) > 0 {
		h.receiveRaft(event.From, packet.Raft)
	}
	for _, c := range packet.Calls {
		h.handleCall(caller{node: event.From, id: c.Id, deadline: h.now + forwardedCallTimeout}, c)
	}
	for _, r := range packet.Replies {
		h.handleReply(event.From, r)
	}
	h.receiveReports(event.From, &packet)
}

// acceptSender tells whether a packet is of this cluster and of its sender's latest incarnation. A sender of an earlier incarnation is
// told the latest one that is known here.
func (h *Host) acceptSender(from string, packet *api.Packet) bool {
	if packet.KnownIncarnation >= h.incarnation && h.runsGroups { // this gateway's clock was set back since the last start
		h.incarnation, h.disk.started = packet.KnownIncarnation+1, false
	}
	if packet.Store != 0 && packet.Incarnation < h.peers.incarnations[packet.Store] {
		h.packetFor(from).KnownIncarnation = h.peers.incarnations[packet.Store]
		return false
	}
	if packet.ClusterId != 0 && h.clusterID != 0 && packet.ClusterId != h.clusterID {
		if h.peers.foreignNoticedAt == 0 || h.ticks-h.peers.foreignNoticedAt > foreignNoticeTicks {
			h.peers.foreignNoticedAt = max(h.ticks, 1)
			h.emitNotice(Notice{Kind: NoticeForeignCluster, Name: from})
		}
		return false
	}
	if packet.Store != 0 {
		h.peers.incarnations[packet.Store] = packet.Incarnation
	}
	return true
}

// exchangeLedger takes over a later ledger, and sends the own one to a sender that has an earlier one, at most once a tick.
func (h *Host) exchangeLedger(from string, packet *api.Packet) {
	if packet.LedgerUpdate != nil && packet.LedgerUpdate.ClusterId == packet.ClusterId {
		h.adoptLedger(packet.LedgerUpdate, false)
	}
	if packet.LedgerIndex < h.ledger.Index && h.peers.ledgerSentAt[from] != h.ticks+1 {
		h.peers.ledgerSentAt[from] = h.ticks + 1
		h.sendLedger(from)
	}
}

// receiveReports handles what a packet has for the ledger's leader, and learns who that is.
func (h *Host) receiveReports(from string, packet *api.Packet) {
	if packet.StoreHeartbeat != nil && packet.StoreHeartbeat.Name != from {
		packet.StoreHeartbeat = nil // a gateway may only report its own store
	}
	if packet.LedgerLeader != "" && h.groups[LedgerGroup] == nil {
		h.calls.leaders[LedgerGroup] = packet.LedgerLeader
	}
	if packet.GatewayReport != nil {
		h.recordGatewayReport(from, packet.GatewayReport)
	}
	if g := h.groups[LedgerGroup]; g != nil && !g.isLeader && (packet.GatewayReport != nil || packet.StoreHeartbeat != nil) {
		h.packetFor(from) // its header names the leader
	}
	if packet.StoreHeartbeat != nil || len(packet.GroupReports) > 0 {
		h.handleHeartbeat(packet.Store, packet.Incarnation, packet.StoreHeartbeat, packet.GroupReports)
	}
}

// receiveRaft hands Raft messages to the members that run here.
func (h *Host) receiveRaft(from string, all []*api.RaftMessage) {
	if !h.disk.started {
		return
	}
	for _, x := range all {
		var m pb.Message
		if proto.Unmarshal(x.Message, &m) != nil {
			continue
		}
		g := h.groups[x.Group]
		if g == nil || g.epoch != x.Epoch {
			continue
		}
		h.recordProgress(MemberRef{x.Group, x.Epoch, m.GetFrom()}, &m)
		g.receive(&m)
	}
}

// recordProgress records how far another member is, by its own messages, for the replies to its recovery queries.
func (h *Host) recordProgress(r MemberRef, m *pb.Message) {
	if m.GetType() == pb.MsgPreVote || m.GetType() == pb.MsgPreVoteResp {
		return // they name a term that no member is in yet
	}
	k := h.peers.progress[r]
	if m.GetTerm() > k.term {
		k = logPosition{term: m.GetTerm()}
	}
	if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetTerm() == k.term {
		k.index = max(k.index, m.GetIndex())
	}
	h.peers.progress[r] = k
}

// handleRecoveryQuery replies to a member that has restarted.
func (h *Host) handleRecoveryQuery(from string, x *api.RecoveryQuery) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.member != x.Peer {
		return
	}
	p := h.packetFor(from)
	p.RecoveryReplies = append(p.RecoveryReplies, g.recoveryReply(x, h.peers.progress[MemberRef{x.Group, x.Epoch, x.Member}]))
}

// handleRecoveryReply handles a reply to a member that runs here. A member whose disk turns out to be stale stops for good.
func (h *Host) handleRecoveryReply(x *api.RecoveryReply) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.member != x.Member || g.recovery == nil || g.recovery.replied[x.Peer] {
		return
	}
	if x.Stale {
		h.stopMember(g)
		h.retireMember(MemberRef{Group: x.Group, Epoch: x.Epoch, Member: x.Member})
		return
	}
	g.handleRecoveryReply(x)
}
