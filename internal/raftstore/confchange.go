package raftstore

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// proposeConfChange proposes the next configuration change that brings the group closer to its placement in the ledger.
func (g *group) proposeConfChange() {
	assigned := findGroup(g.host.ledger, g.id)
	if assigned == nil || assigned.Epoch != g.epoch || len(g.conf.VotersOutgoing) > 0 {
		return
	}
	want, learner := targetVoters(assigned), uint64(0)
	if assigned.Adding != nil && !slices.Contains(g.conf.Voters, assigned.Adding.Id) {
		learner = assigned.Adding.Id
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
	case learner == 0: // no member has to be added
	case !slices.Contains(g.conf.Learners, learner):
		change(pb.ConfChangeAddLearnerNode, learner)
	case g.isCaughtUp(learner):
		// A single joint change makes the new member a voter and removes the member that it replaces, so that there are never fewer
		// voters than before.
		change(pb.ConfChangeAddNode, learner)
		for _, n := range g.conf.Voters {
			if !slices.Contains(want, n) {
				change(pb.ConfChangeRemoveNode, n)
			}
		}
	}
	if len(changes) > 0 {
		g.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}) // while a change is pending, the library rejects further ones
	}
}

// isCaughtUp reports whether a member is active and its log is at most maxLearnerLag entries behind this leader's log.
func (g *group) isCaughtUp(number uint64) bool {
	last, _ := g.log.LastIndex()
	caughtUp := false
	g.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id == number {
			caughtUp = pr.RecentActive && pr.Match+maxLearnerLag >= last
		}
	})
	return caughtUp
}

// transferLeadership makes the Raft library transfer the leadership to the given member or, if the member number is 0, to the
// active member with the longest log. It reports whether there is a member to transfer the leadership to.
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
