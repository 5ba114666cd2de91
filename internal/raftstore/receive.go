package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// forwardedCallTimeout is how long a call from another gateway waits on this gateway for its result.
const forwardedCallTimeout clock.Micros = 10 * 1_000_000

// peerTable holds what is known about the other gateways.
type peerTable struct {
	names            []string                  // as reported by membership
	incarnations     map[uint64]uint64         // latest incarnation received from each store
	progress         map[MemberRef]logPosition // the log position that each other member is known to have acknowledged
	ledgerSentAt     map[string]uint64         // one more than the tick at which the ledger was last sent, by gateway
	foreignNoticedAt uint64                    // tick of the last notice about a packet from a foreign cluster
	rejectedStore    uint64                    // the last store that could not join because its record format is too old
}

func newPeerTable() peerTable {
	return peerTable{incarnations: map[uint64]uint64{}, progress: map[MemberRef]logPosition{}, ledgerSentAt: map[string]uint64{}}
}

// receivePacket checks a packet's header and processes its content.
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

// acceptSender reports whether a packet belongs to this cluster and comes from the latest known incarnation of its sender. The
// answer to a sender with an earlier incarnation names the latest known one.
func (h *Host) acceptSender(from string, packet *api.Packet) bool {
	if packet.KnownIncarnation >= h.incarnation && h.runsGroups { // the clock of this gateway was set back since the last start
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

// exchangeLedger adopts the ledger in a packet if that ledger is later than the known ledger. If the sender has an earlier
// ledger, exchangeLedger sends the known ledger to the sender, at most once per tick.
func (h *Host) exchangeLedger(from string, packet *api.Packet) {
	if packet.LedgerUpdate != nil && packet.LedgerUpdate.ClusterId == packet.ClusterId {
		h.adoptLedger(packet.LedgerUpdate, false)
	}
	if packet.LedgerIndex < h.ledger.Index && h.peers.ledgerSentAt[from] != h.ticks+1 {
		h.peers.ledgerSentAt[from] = h.ticks + 1
		h.sendLedger(from)
	}
}

// receiveReports processes the reports in a packet, which are meant for the ledger's leader, and records who leads the ledger.
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
		h.packetFor(from) // makes the next Flush send an answer, whose header names the leader
	}
	if packet.StoreHeartbeat != nil || len(packet.GroupReports) > 0 {
		h.handleHeartbeat(packet.Store, packet.Incarnation, packet.StoreHeartbeat, packet.GroupReports)
	}
}

// receiveRaft passes Raft messages to the members that run on this gateway.
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

// recordProgress records how far another member has got according to its own messages. The replies to that member's recovery
// queries are based on this record.
func (h *Host) recordProgress(member MemberRef, m *pb.Message) {
	if m.GetType() == pb.MsgPreVote || m.GetType() == pb.MsgPreVoteResp {
		return // pre-vote messages carry a term that no member has entered yet
	}
	progress := h.peers.progress[member]
	if m.GetTerm() > progress.term {
		progress = logPosition{term: m.GetTerm()}
	}
	if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetTerm() == progress.term {
		progress.index = max(progress.index, m.GetIndex())
	}
	h.peers.progress[member] = progress
}

// handleRecoveryQuery replies to the recovery query of a member that has restarted.
func (h *Host) handleRecoveryQuery(from string, query *api.RecoveryQuery) {
	g := h.groups[query.Group]
	if g == nil || g.epoch != query.Epoch || g.member != query.Peer {
		return
	}
	p := h.packetFor(from)
	p.RecoveryReplies = append(p.RecoveryReplies, g.recoveryReply(query, h.peers.progress[MemberRef{query.Group, query.Epoch, query.Member}]))
}

// handleRecoveryReply handles a reply to a recovery query of a member that runs on this gateway. A reply to a query of an earlier
// start has no effect, because the disk may have been a later copy then; a gateway of an earlier version does not say which start it
// replies to. If the reply says that the member's disk is stale, because it lacks what the member had acknowledged, the member is
// stopped and never runs again.
func (h *Host) handleRecoveryReply(reply *api.RecoveryReply) {
	g := h.groups[reply.Group]
	if g == nil || g.epoch != reply.Epoch || g.member != reply.Member || g.recovery == nil || g.recovery.replied[reply.Peer] {
		return
	}
	if reply.Start != 0 && reply.Start != h.cfg.ClientID {
		return
	}
	if reply.Stale {
		h.stopMember(g)
		h.retireMember(MemberRef{Group: reply.Group, Epoch: reply.Epoch, Member: reply.Member})
		return
	}
	g.handleRecoveryReply(reply)
}
