package raftstore

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storage is the Raft library's Storage. Snapshots are made when they are asked for, not kept.
type storage struct {
	*raft.MemoryStorage
	group *group
}

// Snapshot is a snapshot of the state now.
func (s *storage) Snapshot() (*pb.Snapshot, error) { return s.group.snapshot(s.group.sm.snapshot()) }

// snapshot makes a snapshot with this data at the applied index.
func (g *group) snapshot(data []byte) (*pb.Snapshot, error) {
	term, err := g.log.Term(g.applied)
	if err != nil {
		return nil, err
	}
	return snapshotAt(g.applied, term, g.conf, data), nil
}

func snapshotAt(index, term uint64, conf *pb.ConfState, data []byte) *pb.Snapshot {
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
		Index: new(index), Term: new(term), ConfState: proto.Clone(conf).(*pb.ConfState),
	}}
}

// withoutData is a snapshot without its data, as the log keeps it.
func withoutData(s *pb.Snapshot) *pb.Snapshot { return &pb.Snapshot{Metadata: s.GetMetadata()} }

// restore takes over a snapshot.
func (g *group) restore(s *pb.Snapshot) error {
	if err := g.sm.restore(s.Data); err != nil {
		return err
	}
	g.applied, g.conf = s.GetMetadata().GetIndex(), proto.Clone(s.GetMetadata().GetConfState()).(*pb.ConfState)
	g.logBytes, g.snapshotBytes = 0, int64(len(s.Data))
	return g.log.ApplySnapshot(withoutData(s))
}
