package raftstore

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// reshape brings the group's replicas nearer to what the ledger has assigned.
func (g *group) proposeConfChange() {
	x := findGroup(g.host.ledger, g.id)
	if x == nil || x.Epoch != g.epoch || len(g.conf.VotersOutgoing) > 0 {
		return
	}
	want, learner := targetVoters(x), uint64(0)
	if x.Adding != nil && !slices.Contains(g.conf.Voters, x.Adding.Id) {
		learner = x.Adding.Id
	}
	var changes []*pb.ConfChangeSingle
	change := func(t pb.ConfChangeType, number uint64) {
		changes = append(changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: new(number)})
	}
	for _, n := range g.conf.Learners {
		if n != learner {
			change(pb.ConfChangeRemoveNode, n)
		}
	}
	switch {
	case learner == 0:
		// Nobody is taken in. What the ledger no longer names goes, once enough others are there.
		if x.Adding != nil {
			break
		}
	case !slices.Contains(g.conf.Learners, learner):
		change(pb.ConfChangeAddLearnerNode, learner)
	case g.isCaughtUp(learner):
		// In one step: the new one votes, and whoever leaves does not. There are never fewer voters than before.
		change(pb.ConfChangeAddNode, learner)
		for _, n := range g.conf.Voters {
			if !slices.Contains(want, n) {
				change(pb.ConfChangeRemoveNode, n)
			}
		}
	}
	if len(changes) > 0 {
		g.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}) // one at a time; the library refuses the next
	}
}

// near tells whether a replica has nearly all that is committed.
func (g *group) isCaughtUp(number uint64) bool {
	last, _ := g.log.LastIndex()
	near := false
	g.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id == number {
			near = pr.RecentActive && pr.Match+maxLearnerLag >= last
		}
	})
	return near
}

// handOver has the replica lead that is nearest. It tells whether there is one.
func (g *group) transferLeadership(to uint64) bool {
	if to == 0 {
		best := uint64(0)
		g.node.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
			if id != g.member && t == raft.ProgressTypePeer && pr.RecentActive && pr.Match > best {
				best, to = pr.Match, id
			}
		})
	}
	if to != 0 {
		g.node.TransferLeader(to)
	}
	return to != 0
}
