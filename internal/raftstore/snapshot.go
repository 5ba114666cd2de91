package raftstore

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storage is the log in memory from which the Raft library reads (its Storage interface). A snapshot is not kept in the log,
// but created from the state machine when the library requests one.
type storage struct {
	*raft.MemoryStorage
	group *group
}

// Snapshot returns a snapshot of the current state.
func (s *storage) Snapshot() (*pb.Snapshot, error) { return s.group.snapshot(s.group.sm.snapshot()) }

// snapshot returns a snapshot with the given data at the applied index.
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

// withoutData returns a snapshot without its data, which is the form that the log keeps.
func withoutData(s *pb.Snapshot) *pb.Snapshot { return &pb.Snapshot{Metadata: s.GetMetadata()} }

// restore replaces the member's state by a snapshot.
func (g *group) restore(s *pb.Snapshot) error {
	if err := g.sm.restore(s.Data); err != nil {
		return err
	}
	g.applied, g.conf = s.GetMetadata().GetIndex(), proto.Clone(s.GetMetadata().GetConfState()).(*pb.ConfState)
	g.logBytes, g.snapshotBytes = 0, int64(len(s.Data))
	return g.log.ApplySnapshot(withoutData(s))
}
