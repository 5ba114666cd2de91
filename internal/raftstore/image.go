package raftstore

import (
	"cmp"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Image is what a disk holds after a row of writes: what every kind of disk must come to.
type Image struct {
	Store, Life uint64
	View        []byte
	Groups      []StoredGroup // in the order of group, epoch and number
	Retired     []Ref
}

// Apply makes the image that a write leads to. The one before stays as it was.
func (i Image) Apply(w Write) Image {
	if w.Store != i.Store {
		i = Image{Store: w.Store}
	}
	i.Life = w.Life
	if w.View != nil {
		i.View = w.View
	}
	i.Retired = append(slices.Clone(i.Retired), w.Retired...)
	i.Groups = slices.Clone(i.Groups)
	for _, x := range w.Groups {
		at, there := slices.BinarySearchFunc(i.Groups, x, func(s StoredGroup, x GroupWrite) int {
			return cmp.Or(cmp.Compare(s.Group, x.Group), cmp.Compare(s.Epoch, x.Epoch), cmp.Compare(s.Number, x.Number))
		})
		if x.Drop {
			if there {
				i.Groups = slices.Delete(i.Groups, at, at+1)
			}
			continue
		}
		if !there {
			i.Groups = slices.Insert(i.Groups, at, StoredGroup{Group: x.Group, Epoch: x.Epoch, Number: x.Number})
		}
		s := &i.Groups[at]
		if x.Snapshot != nil {
			s.Snapshot = x.Snapshot
			first := x.Snapshot.GetMetadata().GetIndex()
			s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return !x.Keep || e.GetIndex() <= first })
		}
		if len(x.Entries) > 0 {
			from := x.Entries[0].GetIndex()
			s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= from })
			s.Entries = append(s.Entries, x.Entries...)
		}
		if x.Hard != nil {
			s.Hard = proto.Clone(x.Hard).(*pb.HardState)
		}
	}
	return i
}

// Stored is what a start finds on a disk with this content.
func (i Image) Stored() *Stored {
	s := &Stored{Store: i.Store, Life: i.Life, View: i.View, Retired: slices.Clone(i.Retired)}
	for _, g := range i.Groups {
		g.Entries = slices.Clone(g.Entries)
		s.Groups = append(s.Groups, g)
	}
	return s
}
