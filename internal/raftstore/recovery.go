package raftstore

import (
	"maps"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// logPosition is the position of an entry in a log: its term and its index.
type logPosition struct{ term, index uint64 }

// before reports whether a log that ends at e is behind a log that ends at other.
func (e logPosition) before(other logPosition) bool {
	return e.term < other.term || e.term == other.term && e.index < other.index
}

// lastPosition returns the position of the last entry in the log.
func (g *group) lastPosition() (e logPosition) {
	e.index, _ = g.log.LastIndex()
	e.term, _ = g.log.Term(e.index)
	return e
}

// recovery holds what a member has received from the other members since its start. The member's disk may be an older copy. In that
// case, the disk may lack entries that the member acknowledged and votes that it gave. The older copy does no harm once the other
// members have replied, because:
//   - The leader knows which entries this member acknowledged.
//   - Every committed entry is in the log of a member that replied. This member votes only for candidates whose log is at least as
//     long as the longest of these logs.
//   - The members that replied know the terms in which this member may have voted.
type recovery struct {
	replied       map[uint64]bool
	applied       uint64            // applied index of the latest configuration that any member knows
	voters        []uint64          // voters of that configuration
	pendingVoters map[uint64]uint64 // members that become voters by later entries, with the index of the entry
	maxTerm       uint64            // highest term in the replies
	maxLast       logPosition       // end of the longest log in the replies
}

// confVoters returns the members that a configuration names as voters, sorted. In a joint configuration, this includes the outgoing
// voters.
func confVoters(c *pb.ConfState) []uint64 {
	all := slices.Concat(c.GetVoters(), c.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// startRecovery makes the member query all others before it takes part again.
func (g *group) startRecovery() {
	g.recovery = &recovery{replied: map[uint64]bool{g.member: true}, applied: g.applied, voters: confVoters(g.conf), pendingVoters: map[uint64]uint64{}}
	for _, x := range g.pendingVoters() {
		g.recovery.pendingVoters[x.Member] = x.Index
	}
	g.queryPeers()
}

// pendingVoters returns the members that become voters by log entries that are not applied yet.
func (g *group) pendingVoters() (all []*api.PendingVoter) {
	last, _ := g.log.LastIndex()
	first, _ := g.log.FirstIndex()
	entries, _ := g.log.Entries(max(g.applied+1, first), last+1, math.MaxUint64)
	for _, e := range entries {
		if e.GetType() != pb.EntryConfChangeV2 {
			continue
		}
		var c pb.ConfChangeV2
		if proto.Unmarshal(e.Data, &c) == nil {
			for _, x := range c.Changes {
				if x.GetType() == pb.ConfChangeAddNode {
					all = append(all, &api.PendingVoter{Member: x.GetNodeId(), Index: e.GetIndex()})
				}
			}
		}
	}
	return all
}

// queryPeers queries the members that have not replied yet, and ends the recovery if all required replies have arrived. A reply is
// required from the voters of the latest configuration that any member knows, from the members that a later log entry may have made
// voters, and from the members that the ledger has confirmed. No reply is required from a member whose disk is permanently lost.
//
// Nor is a reply required from a member that the ledger has removed. The ledger confirms a change only after a leader has applied
// all of it, so the change is in the logs of a majority of the voters before it and of a majority of the voters after it. All
// voters after the change are queried. Therefore, anything that only the removed member knows either belongs to an earlier term
// than the term that these voters reply with, or required a majority of these voters.
//
// The previous paragraph does not hold while the ledger has a change pending. The ledger may have given up on adding a member that
// then became a voter nevertheless. A member that the ledger does not name may thus be a voter, so its reply is required.
func (g *group) queryPeers() {
	state := g.recovery
	var members []*api.GroupMember
	confirmed := false
	if x := findGroup(g.host.ledger, g.id); x != nil && x.Epoch == g.epoch {
		members, confirmed = groupMembers(x), x.Adding == nil
	}
	required := g.recovery.requiredReplies(members, confirmed, g.host.ledger.NextMember)
	waiting := len(state.voters) == 0 // the disk is from before the member was added, so the member does not know its group yet
	for _, n := range slices.Sorted(maps.Keys(required)) {
		i := slices.IndexFunc(members, func(r *api.GroupMember) bool { return r.Id == n })
		if state.replied[n] || i >= 0 && memberLost(g.host.ledger, members[i]) {
			continue
		}
		waiting = waiting || required[n]
		g.sendRecoveryQuery(n)
	}
	if !waiting {
		g.finishRecovery()
	}
}

// requiredReplies returns the members to query, with true for those whose reply is required. members are the members that the
// ledger names. confirmed is set if the ledger has no change pending. In that case, any other member whose number is below
// nextMember, the next number that the ledger assigns, has been removed and is left out.
func (r *recovery) requiredReplies(members []*api.GroupMember, confirmed bool, nextMember uint64) map[uint64]bool {
	required := map[uint64]bool{}
	for _, m := range members {
		required[m.Id] = confirmed
	}
	mayCount := func(n uint64) bool {
		_, named := required[n]
		return named || !confirmed || n >= nextMember
	}
	for _, n := range r.voters {
		if mayCount(n) {
			required[n] = true
		}
	}
	for n, index := range r.pendingVoters {
		if index > r.applied && mayCount(n) { // otherwise the member is already in the configuration, or has been removed again
			required[n] = true
		}
	}
	return required
}

func (g *group) sendRecoveryQuery(peer uint64) {
	to := g.host.gatewayOf(g.id, peer)
	if to == "" || to == g.host.cfg.Name {
		return
	}
	p := g.host.packetFor(to)
	p.RecoveryQueries = append(p.RecoveryQueries, &api.RecoveryQuery{
		Group: g.id, Epoch: g.epoch, Member: g.member, Peer: peer, Term: g.durable.hardState.GetTerm(), Index: g.lastPosition().index,
		Start: g.host.cfg.ClientID,
	})
}

// recoveryReply returns the reply to a member that has restarted. known is the log position that the restarted member is
// known to have acknowledged.
func (g *group) recoveryReply(query *api.RecoveryQuery, known logPosition) *api.RecoveryReply {
	last := g.lastPosition()
	return &api.RecoveryReply{
		Group: query.Group, Epoch: query.Epoch, Member: query.Member, Peer: query.Peer, Start: query.Start, Stale: logPosition{query.Term, query.Index}.before(known),
		Term: g.durable.hardState.GetTerm(), LastTerm: last.term, LastIndex: last.index, Applied: g.applied, Voters: confVoters(g.conf), PendingVoters: g.pendingVoters(),
	}
}

// handleRecoveryReply records a reply and ends the recovery if no required reply is missing.
func (g *group) handleRecoveryReply(reply *api.RecoveryReply) {
	state := g.recovery
	state.replied[reply.Peer] = true
	state.maxTerm = max(state.maxTerm, reply.Term)
	if last := (logPosition{reply.LastTerm, reply.LastIndex}); state.maxLast.before(last) {
		state.maxLast = last
	}
	if reply.Applied > state.applied {
		state.applied, state.voters = reply.Applied, reply.Voters
	}
	for _, pending := range reply.PendingVoters {
		state.pendingVoters[pending.Member] = max(state.pendingVoters[pending.Member], pending.Index)
	}
	g.queryPeers()
}

// finishRecovery makes the member take part again. The member may already have voted in the latest term that any member is in. So
// that it does not vote again in that term, it is restarted with a vote for itself.
func (g *group) finishRecovery() {
	state := g.recovery
	g.recovery = nil
	g.host.emitNotice(Notice{Kind: NoticeMemberRecovered, Group: g.id, Epoch: g.epoch, Number: g.member})
	if g.lastPosition().before(state.maxLast) {
		g.minLog = state.maxLast
	}
	if g.mayHaveVoted(state) {
		g.restartWithOwnVote(state.maxTerm)
	}
}

// mayHaveVoted reports whether the member may have cast a vote in the latest term without that vote being on its disk.
func (g *group) mayHaveVoted(state *recovery) bool {
	term, vote := g.durable.hardState.GetTerm(), g.durable.hardState.GetVote()
	switch {
	case state.maxTerm < term, state.maxTerm == term && vote != 0: // the disk contains the vote
		return false
	case len(g.conf.GetVoters()) == 1, len(state.replied) == 1: // the group has no other member
		return false
	}
	return true
}

// restartWithOwnVote restarts the member with a vote for itself in the given term, so that the member cannot vote for any other
// member in that term.
func (g *group) restartWithOwnVote(term uint64) {
	s, err := g.snapshot(g.sm.snapshot())
	if err != nil {
		return // the member is empty and therefore has no vote
	}
	entries, _ := g.log.Entries(g.applied+1, g.lastPosition().index+1, math.MaxUint64)
	next, err := g.host.newGroup(StoredMember{
		Group: g.id, Epoch: g.epoch, Member: g.member, Snapshot: s, Entries: entries,
		HardState: &pb.HardState{Term: new(term), Vote: new(g.member), Commit: new(g.durable.hardState.GetCommit())},
	}, g.host.newStateMachine(g.id, g.epoch, false))
	if err != nil {
		g.host.failDisk(err.Error())
		return
	}
	next.minLog = g.minLog
	g.host.groups[g.id] = next
	g.host.disk.parts = slices.DeleteFunc(g.host.disk.parts, func(p writePart) bool { return p.group == g })
	next.queuePart(writePart{snapshot: s, hardState: next.durable.hardState})
}

// mayReceive reports whether a message may be handled. A vote request may not be handled if the candidate's log is behind
// minLog.
func (g *group) mayReceive(m *pb.Message) bool {
	if g.minLog == (logPosition{}) || m.GetType() != pb.MsgVote && m.GetType() != pb.MsgPreVote {
		return true
	}
	return !(logPosition{m.GetLogTerm(), m.GetIndex()}).before(g.minLog)
}

// recovered reports whether all members on this gateway have completed recovery.
func (h *Host) recovered() bool {
	for _, g := range h.groups {
		if g.recovery != nil {
			return false
		}
	}
	return true
}
