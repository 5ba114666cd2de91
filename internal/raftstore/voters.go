package raftstore

import (
	"maps"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// This file is how a replica that has restarted finds out whether its voters are the last ones.

// entry is a place in a log.
type entry struct{ term, index uint64 }

func (e entry) before(f entry) bool { return e.term < f.term || e.term == f.term && e.index < f.index }

// last is the log's last place.
func (g *group) last() (e entry) {
	e.index, _ = g.log.LastIndex()
	e.term, _ = g.log.Term(e.index)
	return e
}

// asking is what a replica has heard of the others since its start. Its disk may be an older copy of what it was: then it has
// forgotten what it acknowledged, and for whom it voted. Nothing of the sort can be missed once all others have answered:
// whoever leads knows what this one acknowledged; what was committed is in the log of one that answers, and nobody gets this
// one's vote who has less than the longest of their logs; and the terms in which it may have voted are known to them.
type asking struct {
	heard   map[uint64]bool
	applied uint64            // the latest configuration that was heard of
	voters  []uint64          // in it
	later   map[uint64]uint64 // those that changes behind it make voters, and the index of each change
	term    uint64
	last    entry
}

// members are the replicas that a configuration names as voters.
func members(c *pb.ConfState) []uint64 {
	all := slices.Concat(c.GetVoters(), c.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// unsure has the replica ask all others before it takes part again.
func (g *group) unsure() {
	g.asking = &asking{heard: map[uint64]bool{g.number: true}, applied: g.applied, voters: members(g.conf), later: map[uint64]uint64{}}
	for _, x := range g.laterVoters() {
		g.asking.later[x.Member] = x.Index
	}
	g.askAround()
}

// laterVoters are the replicas that changes in the log make voters, and that are not applied yet.
func (g *group) laterVoters() (all []*api.PendingVoter) {
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
func (g *group) askAround() {
	a := g.asking
	var names []*api.GroupMember
	settled := false
	if x := groupIn(g.h.view, g.id); x != nil && x.Epoch == g.epoch {
		names, settled = replicas(x), x.Adding == nil
	}
	ask := map[uint64]bool{}
	for _, r := range names {
		ask[r.Id] = settled
	}
	wanted := func(n uint64) bool { _, named := ask[n]; return named || !settled || n >= g.h.view.NextMember }
	for _, n := range a.voters {
		if wanted(n) {
			ask[n] = true
		}
	}
	for n, index := range a.later {
		if index > a.applied && wanted(n) { // else it is in the configuration, or left it again
			ask[n] = true
		}
	}
	waits := len(a.voters) == 0 // its copy is from before it was taken in: it has to hear who is in the group at all
	for _, n := range slices.Sorted(maps.Keys(ask)) {
		i := slices.IndexFunc(names, func(r *api.GroupMember) bool { return r.Id == n })
		if a.heard[n] || i >= 0 && lostIn(g.h.view, names[i]) {
			continue
		}
		waits = waits || ask[n]
		if to := g.h.holder(g.id, n); to != "" && to != g.h.cfg.Name {
			last := g.last()
			p := g.h.packet(to)
			p.RecoveryQueries = append(p.RecoveryQueries, &api.RecoveryQuery{Group: g.id, Epoch: g.epoch, Member: g.number, Peer: n, Term: g.hard.GetTerm(), Index: last.index})
		}
	}
	if !waits {
		g.sure()
	}
}

// answer tells another replica that has started what is known here.
func (g *group) answer(x *api.RecoveryQuery, k entry) *api.RecoveryReply {
	last := g.last()
	return &api.RecoveryReply{
		Group: x.Group, Epoch: x.Epoch, Member: x.Member, Peer: x.Peer, Stale: entry{x.Term, x.Index}.before(k),
		Term: g.hard.GetTerm(), LastTerm: last.term, LastIndex: last.index, Applied: g.applied, Voters: members(g.conf), PendingVoters: g.laterVoters(),
	}
}

// learnt takes such an answer in.
func (g *group) learnt(x *api.RecoveryReply) {
	a := g.asking
	a.heard[x.Peer] = true
	a.term = max(a.term, x.Term)
	if e := (entry{x.LastTerm, x.LastIndex}); a.last.before(e) {
		a.last = e
	}
	if x.Applied > a.applied {
		a.applied, a.voters = x.Applied, x.Voters
	}
	for _, y := range x.PendingVoters {
		a.later[y.Member] = max(a.later[y.Member], y.Index)
	}
	g.askAround()
}

// sure has the replica take part again. In the latest term that anybody is in it may have voted already, so it does not now.
func (g *group) sure() {
	a := g.asking
	g.asking = nil
	g.h.note(Notice{Kind: NoticeMemberRecovered, Group: g.id, Epoch: g.epoch, Number: g.number})
	if g.last().before(a.last) {
		g.floor = a.last
	}
	if a.term < g.hard.GetTerm() || len(g.conf.GetVoters()) == 1 || a.term == g.hard.GetTerm() && g.hard.GetVote() != 0 || len(a.heard) == 1 {
		return
	}
	s, err := g.snapshot(g.sm.snapshot())
	if err != nil {
		return // it is empty: it has no vote
	}
	entries, _ := g.log.Entries(g.applied+1, g.last().index+1, math.MaxUint64)
	next, err := g.h.newGroup(StoredMember{
		Group: g.id, Epoch: g.epoch, Member: g.number, Snapshot: s, Entries: entries,
		HardState: &pb.HardState{Term: new(a.term), Vote: new(g.number), Commit: new(g.hard.GetCommit())},
	}, g.h.machine(g.id, g.epoch, false))
	if err != nil {
		g.h.fail(err.Error())
		return
	}
	next.floor = g.floor
	g.h.groups[g.id] = next
	g.h.parts = slices.DeleteFunc(g.h.parts, func(p part) bool { return p.g == g })
	g.h.parts = append(g.h.parts, part{g: next, snapshot: s, hard: next.hard})
	next.writes++
}

// fit tells whether a message may be taken in by one that knows how far others are: no vote for less than that.
func (g *group) fit(m *pb.Message) bool {
	if g.floor == (entry{}) || m.GetType() != pb.MsgVote && m.GetType() != pb.MsgPreVote {
		return true
	}
	return !(entry{m.GetLogTerm(), m.GetIndex()}).before(g.floor)
}
