package raftstore

import (
	"cmp"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Image is the content of a disk after a sequence of writes. It defines the result that every implementation of a disk must
// produce.
type Image struct {
	Store, Incarnation uint64
	Ledger             []byte
	Members            []StoredMember // sorted by group, epoch and member
	Retired            []MemberRef
}

// Apply returns the image after a write. It does not modify the receiver.
func (i Image) Apply(w Write) Image {
	if w.Store != i.Store {
		i = Image{Store: w.Store}
	}
	i.Incarnation = w.Incarnation
	if w.Ledger != nil {
		i.Ledger = w.Ledger
	}
	i.Retired = append(slices.Clone(i.Retired), w.Retired...)
	i.Members = slices.Clone(i.Members)
	for _, x := range w.Members {
		at, exists := slices.BinarySearchFunc(i.Members, x, func(s StoredMember, x MemberWrite) int {
			return cmp.Or(cmp.Compare(s.Group, x.Group), cmp.Compare(s.Epoch, x.Epoch), cmp.Compare(s.Member, x.Member))
		})
		if x.Delete {
			if exists {
				i.Members = slices.Delete(i.Members, at, at+1)
			}
			continue
		}
		if !exists {
			i.Members = slices.Insert(i.Members, at, StoredMember{Group: x.Group, Epoch: x.Epoch, Member: x.Member})
		}
		i.Members[at].apply(x)
	}
	return i
}

// apply applies a member's part of a write. It does not modify the member's slices in place, because other images share them.
func (s *StoredMember) apply(w MemberWrite) {
	if w.Snapshot != nil {
		s.Snapshot = w.Snapshot
		first := w.Snapshot.GetMetadata().GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return !w.KeepEntries || e.GetIndex() <= first })
	}
	if len(w.Entries) > 0 {
		from := w.Entries[0].GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= from })
		s.Entries = append(s.Entries, w.Entries...)
	}
	if w.HardState != nil {
		s.HardState = proto.Clone(w.HardState).(*pb.HardState)
	}
}

// State returns the stored state that a host finds when it starts from a disk with this content.
func (i Image) State() *StoredState {
	s := &StoredState{Store: i.Store, Incarnation: i.Incarnation, Ledger: i.Ledger, Retired: slices.Clone(i.Retired)}
	for _, g := range i.Members {
		g.Entries = slices.Clone(g.Entries)
		s.Members = append(s.Members, g)
	}
	return s
}
