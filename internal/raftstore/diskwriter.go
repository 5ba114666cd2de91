package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// diskWriter is the state of the writes to this gateway's disk. One write is in progress at a time; changes made in the meantime go
// into the next one.
type diskWriter struct {
	failure      string      // why the disk can no longer be written; empty: the disk can be written
	parts        []writePart // parts of the next write
	deletes      []MemberWrite
	newlyRetired []MemberRef
	retired      []MemberRef // all retired members, including newlyRetired
	ledgerDirty  bool        // the latest ledger is not on the disk yet
	inFlight     []writePart // parts of the write that is in progress
	lastWrite    uint64      // number of the latest write that was started
	busy         bool        // a write is in progress
	started      bool        // the first write has completed, so this incarnation is on the disk
}

// writePart is one member's part of a write, together with the messages to send once this part is durable.
type writePart struct {
	group     *group
	message   *pb.Message // from the Raft library; nil: this part is a snapshot made by this package
	snapshot  *pb.Snapshot
	hardState *pb.HardState // set only with a snapshot that a member starts from
	responses []*pb.Message
}

// isEmpty reports whether there is nothing for the next write.
func (d *diskWriter) isEmpty() bool {
	return len(d.parts)+len(d.deletes)+len(d.newlyRetired) == 0 && !d.ledgerDirty
}

// startWrite starts a write of all pending changes, unless a write is in progress. The first write of an incarnation is started
// even if no change is pending, because the first write makes the incarnation durable.
func (h *Host) startWrite() {
	if !h.runsGroups || h.disk.busy || h.disk.failure != "" || h.disk.started && h.disk.isEmpty() {
		return
	}
	h.disk.lastWrite++
	w := Write{Number: h.disk.lastWrite, Store: h.store, Incarnation: h.incarnation, Retired: h.disk.newlyRetired, Members: h.disk.deletes, Recovered: h.recovered()}
	if h.disk.ledgerDirty || !h.disk.started {
		w.Ledger, _ = proto.Marshal(h.ledger)
		h.disk.ledgerDirty = false
	}
	for _, p := range h.disk.parts {
		if h.groups[p.group.id] != p.group {
			continue
		}
		w.Members = append(w.Members, p.memberWrite())
	}
	h.disk.inFlight, h.disk.parts, h.disk.deletes, h.disk.newlyRetired, h.disk.busy = h.disk.parts, nil, nil, nil, true
	h.out.actions = append(h.out.actions, w)
}

// memberWrite returns what a part writes to the disk.
func (p writePart) memberWrite() MemberWrite {
	w := MemberWrite{Group: p.group.id, Epoch: p.group.epoch, Member: p.group.member}
	if p.message == nil {
		w.Snapshot, w.KeepEntries, w.HardState = p.snapshot, true, p.hardState
		return w
	}
	w.Snapshot, w.Entries = p.message.Snapshot, p.message.Entries
	if p.message.Term != nil {
		w.HardState = &pb.HardState{Term: p.message.Term, Vote: p.message.Vote, Commit: p.message.Commit}
	}
	return w
}

// queuePart adds a part of this member to the next write.
func (g *group) queuePart(part writePart) {
	part.group = g
	g.host.disk.parts = append(g.host.disk.parts, part)
	g.durable.pendingWrites++
}

// writeCompleted handles the completion of the write with the given number. Each member that has a part in the write continues with
// the work that waited for that part.
func (h *Host) writeCompleted(number uint64) {
	if number != h.disk.lastWrite || !h.disk.busy {
		return
	}
	h.disk.busy, h.disk.started = false, true
	parts := h.disk.inFlight
	h.disk.inFlight = nil
	for _, p := range parts {
		if h.groups[p.group.id] == p.group {
			p.group.durable.pendingWrites--
			p.group.writeCompleted(p)
			p.group.processReady()
		}
	}
}

// failDisk stops all members on this gateway, because the content of the disk is unknown from now on.
func (h *Host) failDisk(cause string) {
	if h.disk.failure != "" || !h.runsGroups {
		return
	}
	h.disk.failure = cause
	h.emitNotice(Notice{Kind: NoticeDiskFailed, Cause: cause})
	h.stopAllMembers()
}

// stopAllMembers stops all members on this gateway without deleting them from the disk.
func (h *Host) stopAllMembers() {
	for _, g := range h.sortedGroups() {
		h.stopMember(g)
	}
	h.disk.parts, h.disk.deletes, h.disk.inFlight, h.disk.busy = nil, nil, nil, false
}
