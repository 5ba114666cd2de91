package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

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

// hear takes in a packet.
func (h *Host) receivePacket(event PacketReceived) {
	var packet api.Packet
	if proto.Unmarshal(event.Body, &packet) != nil || packet.Version != packetVersion {
		return
	}
	if packet.KnownIncarnation >= h.incarnation && h.runsGroups { // the clock was set back since the last start
		h.incarnation, h.disk.started = packet.KnownIncarnation+1, false
	}
	if packet.Store != 0 && packet.Incarnation < h.peers.incarnations[packet.Store] {
		h.packetFor(event.From).KnownIncarnation = h.peers.incarnations[packet.Store]
		return
	}
	if packet.ClusterId != 0 && h.clusterID != 0 && packet.ClusterId != h.clusterID {
		if h.peers.foreignNoticedAt == 0 || h.ticks-h.peers.foreignNoticedAt > foreignNoticeTicks {
			h.peers.foreignNoticedAt = max(h.ticks, 1)
			h.emitNotice(Notice{Kind: NoticeForeignCluster, Name: event.From})
		}
		return
	}
	if packet.Store != 0 {
		h.peers.incarnations[packet.Store] = packet.Incarnation
	}
	if packet.LedgerUpdate != nil && packet.LedgerUpdate.ClusterId == packet.ClusterId {
		h.adoptLedger(packet.LedgerUpdate, false)
	}
	if packet.LedgerIndex < h.ledger.Index && h.peers.ledgerSentAt[event.From] != h.ticks+1 {
		h.peers.ledgerSentAt[event.From] = h.ticks + 1 // once a tick and peer
		h.sendLedger(event.From)
	}
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
		h.handleCall(caller{node: event.From, id: c.Id, deadline: h.now + 10*1_000_000}, c)
	}
	for _, r := range packet.Replies {
		h.handleReply(event.From, r)
	}
	if packet.StoreHeartbeat != nil && packet.StoreHeartbeat.Name != event.From {
		packet.StoreHeartbeat = nil // nobody speaks for another one
	}
	if packet.LedgerLeader != "" && h.groups[LedgerGroup] == nil {
		h.calls.leaders[LedgerGroup] = packet.LedgerLeader
	}
	if packet.GatewayReport != nil {
		h.recordGatewayReport(event.From, packet.GatewayReport)
	}
	if g := h.groups[LedgerGroup]; g != nil && !g.isLeader && (packet.GatewayReport != nil || packet.StoreHeartbeat != nil) {
		h.packetFor(event.From) // so that it knows who leads
	}
	if packet.StoreHeartbeat != nil || len(packet.GroupReports) > 0 {
		h.handleHeartbeat(packet.Store, packet.Incarnation, packet.StoreHeartbeat, packet.GroupReports)
	}
}

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

// remember notes how far another replica is, by what it says itself.
func (h *Host) recordProgress(r MemberRef, m *pb.Message) {
	if m.GetType() == pb.MsgPreVote || m.GetType() == pb.MsgPreVoteResp {
		return // these name a term that nobody is in yet
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

// asked answers a replica that has started. From now on nothing counts that it said before.
func (h *Host) handleRecoveryQuery(from string, x *api.RecoveryQuery) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.member != x.Peer {
		return
	}
	p := h.packetFor(from)
	p.RecoveryReplies = append(p.RecoveryReplies, g.recoveryReply(x, h.peers.progress[MemberRef{x.Group, x.Epoch, x.Member}]))
}

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
