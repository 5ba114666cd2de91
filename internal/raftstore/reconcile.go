package raftstore

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// adoptLedger replaces the known ledger by a later one and reconciles the members on this gateway with it. bootstrapped is set if
// this gateway has just created the ledger.
func (h *Host) adoptLedger(l *api.Ledger, bootstrapped bool) {
	if h.clusterID != 0 && l.ClusterId != h.clusterID || l.ClusterId == 0 || l.Index <= h.ledger.Index {
		return
	}
	h.ledger, h.clusterID, h.disk.ledgerDirty = proto.Clone(l).(*api.Ledger), l.ClusterId, true
	h.placement.ledgerChangedAt = h.now
	h.notifyOrder()
	for r := range h.peers.progress { // forget members that no longer exist
		if x := findGroup(l, r.Group); x == nil || x.Epoch > r.Epoch || x.Epoch == r.Epoch && r.Member < l.NextMember && !hasMember(x, r.Member) {
			delete(h.peers.progress, r)
		}
	}
	h.reconcile()
	if g := h.groups[LedgerGroup]; bootstrapped || g != nil && g.isLeader {
		for _, name := range h.otherGateways() {
			h.sendLedger(name)
		}
	}
}

// otherGateways returns the sorted names of all other known gateways.
func (h *Host) otherGateways() []string {
	names := slices.Clone(h.peers.names)
	for _, s := range h.ledger.Stores {
		if !s.Removed && s.Name != h.cfg.Name {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sendLedger sends the ledger to a gateway.
func (h *Host) sendLedger(to string) {
	if h.clusterID != 0 {
		h.packetFor(to).LedgerUpdate = h.ledger
	}
}

// reconcile starts the members that the ledger places on this gateway and stops all others.
func (h *Host) reconcile() {
	if !h.runsGroups || h.disk.failure != "" {
		return
	}
	if own := findStore(h.ledger, h.store); own != nil && own.Removed {
		h.renumberStore()
		return
	}
	for id, x := range h.ledger.Groups {
		assigned, running := h.assignedMember(x), h.groups[uint32(id)]
		if running != nil && (assigned == nil || running.epoch != x.Epoch || !hasMember(x, running.member)) {
			h.stopMember(running)
			running = nil
		}
		if assigned != nil && running == nil {
			h.startMember(uint32(id), x, assigned)
		}
	}
}

// assignedMember returns the latest member of a group that the ledger places on this gateway, or nil if there is none.
func (h *Host) assignedMember(x *api.Group) (own *api.GroupMember) {
	for _, m := range groupMembers(x) {
		if m.Store == h.store && !m.Stale && (own == nil || m.Id > own.Id) {
			own = m
		}
	}
	return own
}

// renumberStore makes this disk, which the ledger counts as lost, continue as a new, empty store. Nothing that was stored under the
// old number is needed any more.
func (h *Host) renumberStore() {
	h.stopAllMembers()
	lost := h.store
	h.store = h.cfg.NewStoreID + h.renumbered
	if h.store == lost {
		h.store++
	}
	h.renumbered++
	h.disk.retired, h.disk.newlyRetired, h.disk.started = nil, nil, false
	h.emitNotice(Notice{Kind: NoticeStoreRenumbered, Number: h.store, Name: h.cfg.Name})
}

// startMember starts a member on this gateway. Only the first member of an epoch starts with a state; any other member is empty
// until the group's leader adds it. A member that ran before but is no longer on the disk must not start again under its number.
func (h *Host) startMember(groupID uint32, assigned *api.Group, own *api.GroupMember) {
	ref := MemberRef{Group: groupID, Epoch: assigned.Epoch, Member: own.Id}
	if slices.Contains(h.disk.retired, ref) {
		return
	}
	if !h.diskTrusted && own.Incarnation != h.incarnation {
		h.retireMember(ref) // the member may have run in an earlier incarnation whose writes are missing on this copy of the disk
		return
	}
	s := StoredMember{Group: groupID, Epoch: assigned.Epoch, Member: own.Id}
	switch {
	case own.Id == assigned.FirstMember && len(assigned.Voters) == 1:
		s.Snapshot, s.HardState = h.firstState(groupID, assigned, own.Id)
	case assigned.Adding == nil || assigned.Adding.Id != own.Id:
		h.retireMember(ref)
		return
	}
	group, err := h.newGroup(s, h.newStateMachine(groupID, assigned.Epoch, false))
	if err != nil {
		h.failDisk(err.Error())
		return
	}
	h.groups[groupID] = group
	h.emitNotice(Notice{Kind: NoticeMemberStarted, Group: groupID, Epoch: assigned.Epoch, Number: own.Id})
	if s.Snapshot != nil {
		group.queuePart(writePart{snapshot: s.Snapshot, hardState: s.HardState})
		group.node.Campaign()
	} else { // an empty hard state, so that the disk contains the member from its start on
		group.queuePart(writePart{message: &pb.Message{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(uint64(0))}})
	}
}

// firstState returns the state with which the first member of an epoch starts: an empty shard, or the ledger known to this host.
func (h *Host) firstState(groupID uint32, assigned *api.Group, member uint64) (*pb.Snapshot, *pb.HardState) {
	sm := h.newStateMachine(groupID, assigned.Epoch, assigned.LostAt > 0)
	if l, ok := sm.(*ledger); ok {
		l.Ledger = proto.Clone(h.ledger).(*api.Ledger)
	}
	return snapshotAt(1, 1, &pb.ConfState{Voters: []uint64{member}}, sm.snapshot()),
		&pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
}

// stopMember stops a member on this gateway, deletes it from the disk and rejects the calls that wait for it.
func (h *Host) stopMember(g *group) {
	for _, o := range g.clients.waiting {
		h.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
	}
	g.rejectReads(g.clients.reads)
	for _, reads := range g.clients.unconfirmed {
		g.rejectReads(reads)
	}
	for _, d := range g.clients.confirmed {
		g.rejectReads(d.reads)
	}
	delete(h.groups, g.id)
	h.disk.parts = slices.DeleteFunc(h.disk.parts, func(p writePart) bool { return p.group == g })
	h.disk.deletes = append(h.disk.deletes, MemberWrite{Group: g.id, Epoch: g.epoch, Member: g.member, Delete: true})
	h.emitNotice(Notice{Kind: NoticeMemberStopped, Group: g.id, Epoch: g.epoch, Number: g.member})
}

// retireMember records that a member must never run on this disk again. The next heartbeat reports this to the ledger's leader.
func (h *Host) retireMember(r MemberRef) {
	h.disk.retired, h.disk.newlyRetired = append(h.disk.retired, r), append(h.disk.newlyRetired, r)
	h.emitNotice(Notice{Kind: NoticeMemberStale, Group: r.Group, Epoch: r.Epoch, Number: r.Member})
}
