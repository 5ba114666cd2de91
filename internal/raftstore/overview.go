package raftstore

import (
	"slices"
)

// Overview is how a host stands, for whoever asks.
type Overview struct {
	ClusterID      uint64
	Index          uint64 // of the ledger that is known
	VotersPerGroup int
	Format         uint32 // of records, the latest that may be used
	Store          uint64 // of this gateway's disk; 0: it holds nothing
	Failed         string // why it holds nothing any more
	PendingCalls   int    // of its own that wait
	Stores         []StoreView
	Groups         []GroupView
}

// StoreView is one disk.
type StoreView struct {
	ID      uint64
	Name    string
	Zone    string
	Weight  uint32
	Removed bool
}

// GroupView is one group, as the ledger has it and as it stands here.
type GroupView struct {
	Group, Epoch uint32
	Lost         bool // an earlier epoch was lost, with what was promised in it
	Voters       []MemberView
	Adding       *MemberView
	Removing     uint64
	Local        *LocalMember // nil: no replica is here
}

// ReplicaView is one replica.
type MemberView struct {
	ID   uint64
	Name string
	Lost bool
}

// HereView is a replica of this gateway's.
type LocalMember struct {
	Number  uint64
	Leader  string
	Term    uint64
	Applied uint64
	Last    uint64 // index of the log
	Records int
	Bytes   int64 // that its records cost
	Unsure  bool  // it has started, and asks the others whether its disk is the one that it was
}

// Shards is how many shards the store has; 0: none is known.
func (h *Host) Shards() int { return max(len(h.ledger.Groups)-1, 0) }

// Bytes is what the records here count as.
func (h *Host) RecordBytes() (n int64) {
	for _, g := range h.groups {
		if s, is := g.sm.(*shard); is {
			n += s.bytes
		}
	}
	return n
}

// Whole tells whether every group has all its copies, by the ledger that is known.
func (o Overview) Complete() bool {
	for _, g := range o.Groups {
		if len(g.Voters) != o.VotersPerGroup || g.Adding != nil || slices.ContainsFunc(g.Voters, func(r MemberView) bool { return r.Lost }) {
			return false
		}
	}
	return len(o.Groups) > 0
}

// Overview tells how the host stands.
func (h *Host) Overview() Overview {
	overview := Overview{
		ClusterID: h.clusterID, Index: h.ledger.Index, VotersPerGroup: int(h.ledger.VotersPerGroup), Format: max(h.ledger.Format, FirstFormat), Store: h.store, Failed: h.disk.failure, PendingCalls: len(h.calls.pending),
	}
	for _, s := range h.ledger.Stores {
		overview.Stores = append(overview.Stores, StoreView{s.Id, s.Name, s.Zone, s.Weight, s.Removed})
	}
	for id, x := range h.ledger.Groups {
		v := GroupView{Group: uint32(id), Epoch: x.Epoch, Lost: x.LostAt > 0, Removing: x.Removing}
		for _, r := range groupMembers(x) {
			name := ""
			if s := findStore(h.ledger, r.Store); s != nil {
				name = s.Name
			}
			v.Voters = append(v.Voters, MemberView{r.Id, name, memberLost(h.ledger, r)})
		}
		if x.Adding != nil {
			last := len(v.Voters) - 1
			v.Adding, v.Voters = &v.Voters[last], slices.Clip(v.Voters[:last])
		}
		if g := h.groups[uint32(id)]; g != nil && g.epoch == x.Epoch {
			last := g.lastPosition()
			v.Local = &LocalMember{
				Number: g.member, Leader: g.leaderName(), Term: g.node.BasicStatus().GetTerm(), Applied: g.applied, Last: last.index,
				Unsure: g.recovery != nil,
			}
			if s, is := g.sm.(*shard); is {
				v.Local.Records, v.Local.Bytes = len(s.records), s.bytes
			}
		}
		overview.Groups = append(overview.Groups, v)
	}
	return overview
}
