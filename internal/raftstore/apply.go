package raftstore

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// apply applies committed entries and queues the write of a snapshot once the log is large enough.
func (g *group) apply(entries []*pb.Entry) {
	for _, e := range entries {
		g.applied = e.GetIndex()
		g.logBytes += int64(len(e.Data)) + 16
		switch e.GetType() {
		case pb.EntryConfChange, pb.EntryConfChangeV2:
			g.applyConfChange(e)
		default:
			g.applyEntry(e)
		}
	}
	if g.logBytes > max(g.host.cfg.MinLogBytes, g.snapshotBytes) && g.recovery == nil {
		data := g.sm.snapshot()
		if s, err := g.snapshot(data); err == nil {
			g.logBytes, g.snapshotBytes = 0, int64(len(data))
			g.queuePart(writePart{snapshot: s})
		}
	}
}

// applyConfChange applies a configuration change, which changes the group's voters and learners.
func (g *group) applyConfChange(e *pb.Entry) {
	if e.GetType() == pb.EntryConfChange {
		var c pb.ConfChange
		if proto.Unmarshal(e.Data, &c) == nil {
			g.conf = g.node.ApplyConfChange(&c)
		}
	} else {
		var c pb.ConfChangeV2
		if proto.Unmarshal(e.Data, &c) == nil {
			g.conf = g.node.ApplyConfChange(&c)
		}
	}
}

// applyEntry applies the commands of one entry and replies to the callers that wait for them on this gateway.
func (g *group) applyEntry(e *pb.Entry) {
	if len(e.Data) == 0 {
		return
	}
	var x api.Entry
	if proto.Unmarshal(e.Data, &x) != nil {
		return // no member can decode the entry, so all members skip it
	}
	for _, c := range x.Commands {
		if c.Format > g.host.cfg.Format { // skipping the command would make this member diverge from those that understand its format
			g.host.failDisk(fmt.Sprintf("group %d: %v", g.id, errFormatTooNew))
			return
		}
	}
	for i, r := range g.sm.apply(e.GetIndex(), &x) {
		k := commandID{x.Commands[i].Client, x.Commands[i].Sequence}
		if o, ok := g.clients.waiting[k]; ok {
			delete(g.clients.waiting, k)
			g.host.reply(o, r)
		}
	}
	if l, ok := g.sm.(*ledger); ok {
		g.host.adoptLedger(l.Ledger, false)
		if g.isLeader {
			for _, n := range l.notices {
				g.host.emitNotice(n)
			}
		}
	}
}
