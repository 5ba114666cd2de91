package raftstore

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// This file brings the replicas that a host runs in line with the ledger.

// learn takes over a later ledger, and has the replicas here be what it says.
func (h *Host) learn(l *api.Ledger, founded bool) {
	if h.founding != 0 && l.ClusterId != h.founding || l.ClusterId == 0 || l.Index <= h.view.Index {
		return
	}
	h.view, h.founding, h.viewOld = proto.Clone(l).(*api.Ledger), l.ClusterId, true
	h.facts.changed = h.now
	h.ordered()
	for r := range h.known { // of replicas that are no more
		if x := groupIn(l, r.Group); x == nil || x.Epoch > r.Epoch || x.Epoch == r.Epoch && r.Member < l.NextMember &&
			!slices.ContainsFunc(replicas(x), func(y *api.GroupMember) bool { return y.Id == r.Member }) {
			delete(h.known, r)
		}
	}
	h.reconcile()
	if g := h.groups[LedgerGroup]; founded || g != nil && g.led {
		for _, name := range h.everybody() {
			h.tellNews(name)
		}
	}
}

// everybody lists the other gateways that are known.
func (h *Host) everybody() []string {
	names := slices.Clone(h.others)
	for _, s := range h.view.Stores {
		if !s.Removed && s.Name != h.cfg.Name {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (h *Host) tellNews(to string) {
	if h.founding != 0 {
		h.packet(to).LedgerUpdate = h.view
	}
}

// reconcile begins the replicas that the ledger wants here, and ends those that it does not.
func (h *Host) reconcile() {
	if !h.holds || h.failed != "" {
		return
	}
	if own := storeIn(h.view, h.store); own != nil && own.Removed {
		// It goes on as a disk that never was: nothing that was said under the old number is asked of it.
		h.dropAll()
		if h.store = h.cfg.NewStoreID + h.renumbered; own.Id == h.store {
			h.store++
		}
		h.renumbered++
		h.retired, h.newStale, h.begun = nil, nil, false
		h.note(Notice{Kind: NoticeStoreRenumbered, Number: h.store, Name: h.cfg.Name})
		return
	}
	for id, x := range h.view.Groups {
		var own *api.GroupMember
		for _, r := range replicas(x) {
			if r.Store == h.store && !r.Stale && (own == nil || r.Id > own.Id) {
				own = r
			}
		}
		g := h.groups[uint32(id)]
		if g != nil && (own == nil || g.epoch != x.Epoch || !slices.ContainsFunc(replicas(x), func(r *api.GroupMember) bool {
			return r.Id == g.number
		})) {
			h.drop(g)
			g = nil
		}
		if own != nil && g == nil {
			h.begin(uint32(id), x, own)
		}
	}
}

// begin begins a replica here. Only the one that an epoch began with has a state of its own; any other one is taken in by the
// group's leader. One that had begun before and is not here any more must not begin again under its number.
func (h *Host) begin(id uint32, x *api.Group, own *api.GroupMember) {
	ref := MemberRef{Group: id, Epoch: x.Epoch, Member: own.Id}
	was := func(r MemberRef) bool { return r.Group == id && r.Epoch == x.Epoch && r.Member == own.Id }
	if slices.ContainsFunc(h.retired, was) {
		return
	}
	if !h.trusted && own.Incarnation != h.life {
		h.retire(ref) // it may have begun in an earlier life, which this disk does not know
		return
	}
	s := StoredMember{Group: id, Epoch: x.Epoch, Member: own.Id}
	if own.Id == x.FirstMember && len(x.Voters) == 1 {
		sm := h.machine(id, x.Epoch, x.LostAt > 0)
		if l, is := sm.(*ledger); is {
			l.Ledger = proto.Clone(h.view).(*api.Ledger)
		}
		s.Snapshot = snapshotAt(1, 1, &pb.ConfState{Voters: []uint64{own.Id}}, sm.snapshot())
		s.HardState = &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	} else if x.Adding == nil || x.Adding.Id != own.Id {
		h.retire(ref)
		return
	}
	g, err := h.newGroup(s, h.machine(id, x.Epoch, false))
	if err != nil {
		h.fail(err.Error())
		return
	}
	h.groups[id] = g
	h.note(Notice{Kind: NoticeMemberStarted, Group: id, Epoch: x.Epoch, Number: own.Id})
	if s.Snapshot != nil {
		h.parts = append(h.parts, part{g: g, snapshot: s.Snapshot, hard: s.HardState})
		g.writes++
		g.node.Campaign()
	} else { // the disk knows its number from the beginning
		h.parts = append(h.parts, part{g: g, message: &pb.Message{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(uint64(0))}})
		g.writes++
	}
}

// retire has a replica here never go on.
func (h *Host) retire(r MemberRef) {
	h.retired, h.newStale = append(h.retired, r), append(h.newStale, r)
	h.note(Notice{Kind: NoticeMemberStale, Group: r.Group, Epoch: r.Epoch, Number: r.Member})
}
