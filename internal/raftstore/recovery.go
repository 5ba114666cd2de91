package raftstore

import (
	"maps"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// entry is a place in a log.
type logPosition struct{ term, index uint64 }

func (e logPosition) before(f logPosition) bool {
	return e.term < f.term || e.term == f.term && e.index < f.index
}

// last is the log's last place.
func (g *group) lastPosition() (e logPosition) {
	e.index, _ = g.log.LastIndex()
	e.term, _ = g.log.Term(e.index)
	return e
}

// asking is what a replica has heard of the others since its start. Its disk may be an older copy of what it was: then it has
// forgotten what it acknowledged, and for whom it voted. Nothing of the sort can be missed once all others have answered:
// whoever leads knows what this one acknowledged; what was committed is in the log of one that answers, and nobody gets this
// one's vote who has less than the longest of their logs; and the terms in which it may have voted are known to them.
type recovery struct {
	replied       map[uint64]bool
	applied       uint64            // the latest configuration that was heard of
	voters        []uint64          // in it
	pendingVoters map[uint64]uint64 // those that changes behind it make voters, and the index of each change
	maxTerm       uint64
	maxLast       logPosition
}

// members are the replicas that a configuration names as voters.
func confVoters(c *pb.ConfState) []uint64 {
	all := slices.Concat(c.GetVoters(), c.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// unsure has the replica ask all others before it takes part again.
func (g *group) startRecovery() {
	g.recovery = &recovery{replied: map[uint64]bool{g.member: true}, applied: g.applied, voters: confVoters(g.conf), pendingVoters: map[uint64]uint64{}}
	for _, x := range g.pendingVoters() {
		g.recovery.pendingVoters[x.Member] = x.Index
	}
	g.queryPeers()
}

// laterVoters are the replicas that changes in the log make voters, and that are not applied yet.
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

// askAround asks those that have not answered. It is sure once all have that count: the voters of the latest configuration that
// anybody knows, those that a change behind it may have made voters, and those that the ledger has settled. Whose disk is lost
// for good is not waited for.
//
// Nor is one that the ledger has taken out: it settles a change only once a leader has applied the whole of it, which is then in
// the logs of a majority of the voters before and of those after. They are asked, all of them, so that of two things one holds
// for whatever the one taken out may know and they do not: it is of an earlier term than they answer with, or it needed a
// majority of them. While the ledger has a change under way, one that it does not name may be one that it gave up on, and a
// voter all the same.
func (g *group) queryPeers() {
	a := g.recovery
	var names []*api.GroupMember
	settled := false
	if x := findGroup(g.host.ledger, g.id); x != nil && x.Epoch == g.epoch {
		names, settled = groupMembers(x), x.Adding == nil
	}
	required := map[uint64]bool{}
	for _, r := range names {
		required[r.Id] = settled
	}
	wanted := func(n uint64) bool {
		_, named := required[n]
		return named || !settled || n >= g.host.ledger.NextMember
	}
	for _, n := range a.voters {
		if wanted(n) {
			required[n] = true
		}
	}
	for n, index := range a.pendingVoters {
		if index > a.applied && wanted(n) { // else it is in the configuration, or left it again
			required[n] = true
		}
	}
	waits := len(a.voters) == 0 // its copy is from before it was taken in: it has to hear who is in the group at all
	for _, n := range slices.Sorted(maps.Keys(required)) {
		i := slices.IndexFunc(names, func(r *api.GroupMember) bool { return r.Id == n })
		if a.replied[n] || i >= 0 && memberLost(g.host.ledger, names[i]) {
			continue
		}
		waits = waits || required[n]
		if to := g.host.gatewayOf(g.id, n); to != "" && to != g.host.cfg.Name {
			last := g.lastPosition()
			p := g.host.packetFor(to)
			p.RecoveryQueries = append(p.RecoveryQueries, &api.RecoveryQuery{Group: g.id, Epoch: g.epoch, Member: g.member, Peer: n, Term: g.durable.hardState.GetTerm(), Index: last.index})
		}
	}
	if !waits {
		g.finishRecovery()
	}
}

// answer tells another replica that has started what is known here.
func (g *group) recoveryReply(x *api.RecoveryQuery, k logPosition) *api.RecoveryReply {
	last := g.lastPosition()
	return &api.RecoveryReply{
		Group: x.Group, Epoch: x.Epoch, Member: x.Member, Peer: x.Peer, Stale: logPosition{x.Term, x.Index}.before(k),
		Term: g.durable.hardState.GetTerm(), LastTerm: last.term, LastIndex: last.index, Applied: g.applied, Voters: confVoters(g.conf), PendingVoters: g.pendingVoters(),
	}
}

// learnt takes such an answer in.
func (g *group) handleRecoveryReply(x *api.RecoveryReply) {
	a := g.recovery
	a.replied[x.Peer] = true
	a.maxTerm = max(a.maxTerm, x.Term)
	if e := (logPosition{x.LastTerm, x.LastIndex}); a.maxLast.before(e) {
		a.maxLast = e
	}
	if x.Applied > a.applied {
		a.applied, a.voters = x.Applied, x.Voters
	}
	for _, y := range x.PendingVoters {
		a.pendingVoters[y.Member] = max(a.pendingVoters[y.Member], y.Index)
	}
	g.queryPeers()
}

// sure has the replica take part again. In the latest term that anybody is in it may have voted already, so it does not now.
func (g *group) finishRecovery() {
	a := g.recovery
	g.recovery = nil
	g.host.emitNotice(Notice{Kind: NoticeMemberRecovered, Group: g.id, Epoch: g.epoch, Number: g.member})
	if g.lastPosition().before(a.maxLast) {
		g.minLog = a.maxLast
	}
	if a.maxTerm < g.durable.hardState.GetTerm() || len(g.conf.GetVoters()) == 1 || a.maxTerm == g.durable.hardState.GetTerm() && g.durable.hardState.GetVote() != 0 || len(a.replied) == 1 {
		return
	}
	s, err := g.snapshot(g.sm.snapshot())
	if err != nil {
		return // it is empty: it has no vote
	}
	entries, _ := g.log.Entries(g.applied+1, g.lastPosition().index+1, math.MaxUint64)
	next, err := g.host.newGroup(StoredMember{
		Group: g.id, Epoch: g.epoch, Member: g.member, Snapshot: s, Entries: entries,
		HardState: &pb.HardState{Term: new(a.maxTerm), Vote: new(g.member), Commit: new(g.durable.hardState.GetCommit())},
	}, g.host.newStateMachine(g.id, g.epoch, false))
	if err != nil {
		g.host.failDisk(err.Error())
		return
	}
	next.minLog = g.minLog
	g.host.groups[g.id] = next
	g.host.disk.parts = slices.DeleteFunc(g.host.disk.parts, func(p writePart) bool { return p.group == g })
	g.host.disk.parts = append(g.host.disk.parts, writePart{group: next, snapshot: s, hardState: next.durable.hardState})
	next.durable.pendingWrites++
}

// fit tells whether a message may be taken in by one that knows how far others are: no vote for less than that.
func (g *group) mayReceive(m *pb.Message) bool {
	if g.minLog == (logPosition{}) || m.GetType() != pb.MsgVote && m.GetType() != pb.MsgPreVote {
		return true
	}
	return !(logPosition{m.GetLogTerm(), m.GetIndex()}).before(g.minLog)
}

// sure tells whether no replica here asks the others.
func (h *Host) recovered() bool {
	for _, g := range h.groups {
		if g.recovery != nil {
			return false
		}
	}
	return true
}
