package raftstore

import (
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// queueWrite adds a message's entries and hard state to the next write. If nothing in the message has to be made durable and no
// earlier part of this member waits for the disk, the message is treated as already written.
func (g *group) queueWrite(m *pb.Message) {
	same := m.Term == nil || m.GetTerm() == g.durable.hardState.GetTerm() && m.GetVote() == g.durable.hardState.GetVote() && !g.commitsConfChange(m.GetCommit())
	if len(m.Entries) == 0 && m.Snapshot == nil && same && g.durable.pendingWrites == 0 {
		g.finishWrite(writePart{group: g, message: m, responses: m.Responses})
		return
	}
	g.queuePart(writePart{message: m, responses: m.Responses})
}

// commitsConfChange reports whether a commit index covers a configuration change whose commit is not on the disk yet.
func (g *group) commitsConfChange(commit uint64) bool {
	last, _ := g.log.LastIndex()
	for ; g.durable.scanned < commit; g.durable.scanned++ {
		var e []*pb.Entry
		if g.durable.scanned < last {
			e, _ = g.log.Entries(g.durable.scanned+1, g.durable.scanned+2, math.MaxUint64)
		}
		if len(e) == 0 || e[0].GetType() != pb.EntryNormal { // an entry that is not in the log yet may be a configuration change
			g.durable.lastConfChange = g.durable.scanned + 1
		}
	}
	return g.durable.lastConfChange > g.durable.commit
}

// applyDurable applies committed entries. A configuration change is applied only once its commit is on the disk. Otherwise, a
// member could forget the change in a restart. It would then have the old voters and, if it was the only old voter, elect itself.
func (g *group) applyDurable() {
	for len(g.pendingApplies) > 0 {
		m := g.pendingApplies[0]
		if slices.ContainsFunc(m.Entries, func(e *pb.Entry) bool { return e.GetType() != pb.EntryNormal && e.GetIndex() > g.durable.commit }) {
			return
		}
		g.pendingApplies = g.pendingApplies[1:]
		g.apply(m.Entries)
		g.deliverResponses(m.Responses)
	}
}

// writeCompleted handles a part of a write that is now on the disk.
func (g *group) writeCompleted(p writePart) {
	if m := p.message; m != nil {
		g.durable.commit = max(g.durable.commit, m.GetCommit(), m.Snapshot.GetMetadata().GetIndex())
	}
	g.finishWrite(p)
	g.applyDurable()
}

// finishWrite brings the log and the hard state in memory up to date with a part of a write, and delivers the messages that waited
// for the part. The part is on the disk, or did not have to be written.
func (g *group) finishWrite(part writePart) {
	m := part.message
	if m == nil { // a snapshot made by this package
		if first, _ := g.log.FirstIndex(); part.snapshot.GetMetadata().GetIndex() > first+retainedEntries {
			g.log.Compact(part.snapshot.GetMetadata().GetIndex() - retainedEntries)
		}
		return
	}
	if m.Snapshot != nil {
		if err := g.restore(m.Snapshot); err != nil {
			g.host.failDisk(fmt.Sprintf("group %d: a snapshot cannot be read: %v", g.id, err))
			return
		}
	}
	if err := g.log.Append(m.Entries); err != nil {
		g.host.failDisk(fmt.Sprintf("group %d: %v", g.id, err))
		return
	}
	if m.Term != nil {
		g.durable.hardState = &pb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
		g.log.SetHardState(g.durable.hardState)
		messages := g.durable.unsentMessages
		g.durable.unsentMessages = nil
		for _, m := range messages {
			g.sendOnceTermDurable(m)
		}
	}
	g.deliverResponses(part.responses)
}

// sendOnceTermDurable sends a message once its term is on the disk. The Raft library allows a candidate's vote requests and a new
// leader's entries to be sent earlier, and holds back only the candidate's own vote. Votes from two other members could then elect
// a leader whose disk does not have the leader's term. After a restart, this leader could be elected again in the same term and put
// different entries at the same indexes.
func (g *group) sendOnceTermDurable(m *pb.Message) {
	if t := m.GetType(); t != pb.MsgPreVote && t != pb.MsgPreVoteResp && m.GetTerm() > g.durable.hardState.GetTerm() {
		g.durable.unsentMessages = append(g.durable.unsentMessages, m)
		return
	}
	g.send(m)
}

// deliverResponses delivers messages that waited for a write, or for entries to be applied, to this member or to others.
func (g *group) deliverResponses(all []*pb.Message) {
	for _, m := range all {
		if m.GetTo() == g.member {
			g.node.Step(m)
		} else {
			g.send(m)
		}
	}
}

// send sends a message to another member. A member in recovery sends nothing.
func (g *group) send(m *pb.Message) {
	if g.recovery != nil {
		return
	}
	to := g.host.gatewayOf(g.id, m.GetTo())
	if to == "" || to == g.host.cfg.Name {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return
	}
	x := &api.RaftMessage{Group: g.id, Epoch: g.epoch, Message: raw}
	if m.GetType() == pb.MsgSnap {
		g.leading.snapshotSentAt[m.GetTo()] = g.host.now
		g.host.sendBulk(to, x)
		return
	}
	p := g.host.packetFor(to)
	p.Raft = append(p.Raft, x)
}

// receive handles a message from another member.
func (g *group) receive(m *pb.Message) {
	if g.recovery != nil || m.GetTo() != g.member || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if g.mayReceive(m) {
		g.node.Step(m) // the library ignores messages that do not apply
	}
}
