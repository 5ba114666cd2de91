package raftstore

import (
	"slices"

	api "marblespan/api/raftstorepb"
)

// Overview describes a host's state for operators.
type Overview struct {
	ClusterID      uint64
	Index          uint64 // index of the latest known ledger
	VotersPerGroup int
	Format         uint32 // the latest record format that may be used
	Store          uint64 // number of this gateway's store; 0: it has none
	DiskFailure    string // why the disk can no longer be written; empty: the disk can be written
	PendingCalls   int    // number of this gateway's own pending calls
	Stores         []StoreView
	Groups         []GroupView
}

// StoreView describes one store.
type StoreView struct {
	ID      uint64
	Name    string
	Zone    string
	Weight  uint32
	Removed bool
}

// GroupView describes one group according to the ledger, and its member on this gateway.
type GroupView struct {
	Group, Epoch uint32
	Lost         bool // an earlier epoch was lost together with its records
	Voters       []MemberView
	Adding       *MemberView
	Removing     uint64
	Local        *LocalMember // nil: no member of the group runs on this gateway
}

// MemberView describes one group member.
type MemberView struct {
	ID   uint64
	Name string
	Lost bool
}

// LocalMember describes a member that runs on this gateway.
type LocalMember struct {
	Number     uint64
	Leader     string
	Term       uint64
	Applied    uint64
	Last       uint64 // index of the last log entry
	Records    int
	Bytes      int64 // memory cost of its records
	Recovering bool  // the member is in recovery after a restart
}

// Shards returns the number of shards, or 0 if no state store is known.
func (h *Host) Shards() int { return max(len(h.ledger.Groups)-1, 0) }

// RecordBytes returns the memory cost of the records on this gateway, in bytes.
func (h *Host) RecordBytes() (n int64) {
	for _, g := range h.groups {
		if s, ok := g.sm.(*shard); ok {
			n += s.bytes
		}
	}
	return n
}

// Complete reports whether, according to the known ledger, every group has all its voters and no change is pending.
func (o Overview) Complete() bool {
	for _, g := range o.Groups {
		if len(g.Voters) != o.VotersPerGroup || g.Adding != nil || slices.ContainsFunc(g.Voters, func(r MemberView) bool { return r.Lost }) {
			return false
		}
	}
	return len(o.Groups) > 0
}

// Overview describes the host's state.
func (h *Host) Overview() Overview {
	overview := Overview{
		ClusterID: h.clusterID, Index: h.ledger.Index, VotersPerGroup: int(h.ledger.VotersPerGroup), Format: max(h.ledger.Format, FirstFormat),
		Store: h.store, DiskFailure: h.disk.failure, PendingCalls: len(h.calls.pending),
	}
	for _, s := range h.ledger.Stores {
		overview.Stores = append(overview.Stores, StoreView{s.Id, s.Name, s.Zone, s.Weight, s.Removed})
	}
	for id, x := range h.ledger.Groups {
		view := GroupView{Group: uint32(id), Epoch: x.Epoch, Lost: x.LostAt > 0, Removing: x.Removing}
		for _, m := range x.Voters {
			view.Voters = append(view.Voters, h.memberView(m))
		}
		if x.Adding != nil {
			adding := h.memberView(x.Adding)
			view.Adding = &adding
		}
		if g := h.groups[uint32(id)]; g != nil && g.epoch == x.Epoch {
			view.Local = g.localMember()
		}
		overview.Groups = append(overview.Groups, view)
	}
	return overview
}

func (h *Host) memberView(m *api.GroupMember) MemberView {
	name := ""
	if s := findStore(h.ledger, m.Store); s != nil {
		name = s.Name
	}
	return MemberView{m.Id, name, memberLost(h.ledger, m)}
}

func (g *group) localMember() *LocalMember {
	last := g.lastPosition()
	local := &LocalMember{
		Number: g.member, Leader: g.leaderName(), Term: g.node.BasicStatus().GetTerm(), Applied: g.applied, Last: last.index,
		Recovering: g.recovery != nil,
	}
	if s, ok := g.sm.(*shard); ok {
		local.Records, local.Bytes = len(s.records), s.bytes
	}
	return local
}
