package statestore

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// Startup holds the time and the space that a gateway's start with many records needs.
type Startup struct {
	Records      int
	OpenTime     time.Duration // time to read the storage file
	HostTime     time.Duration // time to create the members of the groups from the file's content
	DiskBytes    int64         // size of the file
	HeapBytes    int64         // size of the records in memory
	CountedBytes int64         // size of the records as the memory limit counts them
}

// startupShards is the number of shards that hold the records.
const startupShards = 16

// measureStartup writes a storage file with many records, and reads it as a gateway does when it starts.
func measureStartup(records int) (startup Startup, err error) {
	dir, err := os.MkdirTemp("", "startup")
	if err != nil {
		return startup, err
	}
	defer os.RemoveAll(dir)
	startup.Records = records
	path := filepath.Join(dir, "store.db")
	if err := writeRecords(path, records); err != nil {
		return startup, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return startup, err
	}
	startup.DiskBytes = info.Size()
	heapBefore := heapBytes()
	begin := time.Now()
	file, stored, err := raftstorage.Open(path)
	if err != nil {
		return startup, err
	}
	defer file.Close()
	startup.OpenTime = time.Since(begin)
	host, err := raftstore.New(raftstore.Config{
		Name: "g1", RunsGroups: true, Tick: 100_000, RepairAfter: 10_000_000, MaxRepairs: 1, MinLogBytes: 1 << 20, MaxShardBytes: 1 << 30, MaxCalls: 1,
		ClientID: 1, FirstCallID: 1, NewStoreID: 1, NewClusterID: 1, Incarnation: 2,
	}, 1, stored, true)
	if err != nil {
		return startup, err
	}
	startup.HostTime = time.Since(begin) - startup.OpenTime
	stored = nil // release the result of Open, so that HeapBytes does not include that result
	startup.HeapBytes = heapBytes() - heapBefore
	startup.CountedBytes = host.RecordBytes()
	runtime.KeepAlive(host)
	return startup, nil
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// writeRecords writes a storage file with records of session positions.
func writeRecords(path string, records int) error {
	file, _, err := raftstorage.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	w := raftstore.Write{Store: 7, Incarnation: 1}
	for shard := range startupShards {
		member, err := memberWithRecords(shard, records/startupShards)
		if err != nil {
			return err
		}
		w.Members = append(w.Members, member)
	}
	return file.Write(w)
}

// memberWithRecords returns a member of a shard's group with a snapshot that holds the given number of records.
func memberWithRecords(shard, records int) (w raftstore.MemberWrite, err error) {
	state := &api.Shard{Time: 1}
	for n := range records {
		state.Records = append(state.Records, &api.Record{
			Key: fmt.Appendf(nil, "session %08d", n*startupShards+shard), IsPosition: true, Position: uint64(1_700_000_000_000_000 + n),
			Version: uint64(n), ExpiresAt: 1 << 50,
		})
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return w, err
	}
	id, index, term := uint64(shard+2), uint64(9), uint64(2)
	return raftstore.MemberWrite{
		Group: uint32(shard + 1), Epoch: 1, Member: id, HardState: &pb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(index)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
			Index: new(index), Term: new(term), ConfState: &pb.ConfState{Voters: []uint64{id, 1000}},
		}},
	}, nil
}
