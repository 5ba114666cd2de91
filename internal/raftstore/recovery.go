package raftstore

import (
	"maps"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// logPosition is the position of an entry in a log.
type logPosition struct{ term, index uint64 }

// before tells whether a log that ends at e is behind one that ends at f.
func (e logPosition) before(f logPosition) bool {
	return e.term < f.term || e.term == f.term && e.index < f.index
}

// lastPosition is the position of the last entry.
func (g *group) lastPosition() (e logPosition) {
	e.index, _ = g.log.LastIndex()
	e.term, _ = g.log.Term(e.index)
	return e
}

// recovery is what a member has learned from the others since its start. Its disk may be an older copy; then the member has forgotten what
// it acknowledged and for whom it voted. Once all the others have replied, that is safe: the leader knows what this member acknowledged;
// what was committed is in the log of a member that replied, and this member votes for nobody with less than the longest of their logs;
// and the terms in which it may have voted are known to them.
type recovery struct {
	replied       map[uint64]bool
	applied       uint64            // index of the latest configuration that any member knows
	voters        []uint64          // of that configuration
	pendingVoters map[uint64]uint64 // members that later entries make voters, with the entry's index
	maxTerm       uint64
	maxLast       logPosition
}

// confVoters are the members that a configuration names as voters, sorted.
func confVoters(c *pb.ConfState) []uint64 {
	all := slices.Concat(c.GetVoters(), c.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// startRecovery has the member ask all others before it takes part again.
func (g *group) startRecovery() {
	g.recovery = &recovery{replied: map[uint64]bool{g.member: true}, applied: g.applied, voters: confVoters(g.conf), pendingVoters: map[uint64]uint64{}}
	for _, x := range g.pendingVoters() {
		g.recovery.pendingVoters[x.Member] = x.Index
	}
	g.queryPeers()
}

// pendingVoters are the members that log entries which are not applied yet make voters.
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

// queryPeers queries the members that have not replied yet, and ends the recovery if no reply is missing that is required. Required are the
// voters of the latest configuration that any member knows, those that a later log entry may have made voters, and those that the
// ledger has confirmed. A member whose disk is lost for good is not waited for.
//
// Nor is a member that the ledger has taken out. The ledger confirms a change only once a leader has applied all of it, so that it is in
// the logs of a majority of the voters before and of those after. All of the latter are queried. So whatever only the removed member
// knows is either of an earlier term than they reply with, or needed a majority of them. While the ledger has a change pending, a member
// that it does not name may be one that it gave up on but that is a voter all the same; so it is waited for.
func (g *group) queryPeers() {
	state := g.recovery
	var members []*api.GroupMember
	confirmed := false
	if x := findGroup(g.host.ledger, g.id); x != nil && x.Epoch == g.epoch {
		members, confirmed = groupMembers(x), x.Adding == nil
	}
	required := g.recovery.requiredReplies(members, confirmed, g.host.ledger.NextMember)
	waiting := len(state.voters) == 0 // the disk is from before the member was added: it must learn who is in the group
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

// requiredReplies has the members to query, true for those whose reply is required. members are those that the ledger names; confirmed
// says that it has no change pending, so that other members with a number below nextMember, its next one, are removed and do not count.
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
		if index > r.applied && mayCount(n) { // else the configuration has it, or it has left again
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
	})
}

// recoveryReply is the reply to a member that has restarted; known is what that member is known to have acknowledged.
func (g *group) recoveryReply(x *api.RecoveryQuery, known logPosition) *api.RecoveryReply {
	last := g.lastPosition()
	return &api.RecoveryReply{
		Group: x.Group, Epoch: x.Epoch, Member: x.Member, Peer: x.Peer, Stale: logPosition{x.Term, x.Index}.before(known),
		Term: g.durable.hardState.GetTerm(), LastTerm: last.term, LastIndex: last.index, Applied: g.applied, Voters: confVoters(g.conf), PendingVoters: g.pendingVoters(),
	}
}

// handleRecoveryReply records a reply.
func (g *group) handleRecoveryReply(reply *api.RecoveryReply) {
	state := g.recovery
	state.replied[reply.Peer] = true
	state.maxTerm = max(state.maxTerm, reply.Term)
	if e := (logPosition{reply.LastTerm, reply.LastIndex}); state.maxLast.before(e) {
		state.maxLast = e
	}
	if reply.Applied > state.applied {
		state.applied, state.voters = reply.Applied, reply.Voters
	}
	for _, y := range reply.PendingVoters {
		state.pendingVoters[y.Member] = max(state.pendingVoters[y.Member], y.Index)
	}
	g.queryPeers()
}

// finishRecovery has the member take part again. It may have voted already in the latest term that any member is in, so it does not vote in
// that term: it restarts with a vote for itself.
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

// mayHaveVoted tells whether the member may have given a vote in the latest term that its disk does not have.
func (g *group) mayHaveVoted(r *recovery) bool {
	term, vote := g.durable.hardState.GetTerm(), g.durable.hardState.GetVote()
	switch {
	case r.maxTerm < term, r.maxTerm == term && vote != 0: // the disk has the vote
		return false
	case len(g.conf.GetVoters()) == 1, len(r.replied) == 1: // there is no other member
		return false
	}
	return true
}

// restartWithOwnVote replaces the member by one that has voted for itself in a term, so that it gives nobody else a vote in it.
func (g *group) restartWithOwnVote(term uint64) {
	s, err := g.snapshot(g.sm.snapshot())
	if err != nil {
		return // the member is empty: it has no vote
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

// mayReceive tells whether a message may be handled: no vote for a log that is behind minLog.
func (g *group) mayReceive(m *pb.Message) bool {
	if g.minLog == (logPosition{}) || m.GetType() != pb.MsgVote && m.GetType() != pb.MsgPreVote {
		return true
	}
	return !(logPosition{m.GetLogTerm(), m.GetIndex()}).before(g.minLog)
}

// recovered tells whether no member here is in recovery.
func (h *Host) recovered() bool {
	for _, g := range h.groups {
		if g.recovery != nil {
			return false
		}
	}
	return true
}
