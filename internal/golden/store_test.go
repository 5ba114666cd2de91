package golden

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// storeFile is the path of the golden store, a compressed database file.
var storeFile = filepath.Join("testdata", "store.db.gz")

// largeShardState returns the state of a shard that is so large that its snapshot is stored in two pieces.
func largeShardState() *api.Shard {
	s := shard()
	for i := range 20 {
		s.Records = append(s.Records, &api.Record{Key: fmt.Append(nil, "large ", i), Value: bytes.Repeat([]byte{byte(i)}, raftstore.MaxValueBytes), Version: uint64(i + 1), ExpiresAt: 90_000_000})
	}
	return s
}

// hardState returns a Raft hard state with the given commit index.
func hardState(commit uint64) *pb.HardState {
	return &pb.HardState{Term: new(uint64(4)), Vote: new(uint64(1)), Commit: new(commit)}
}

// storeWrites returns the writes that produced the golden store: replicas of the ledger and of two shards, and a replica that has
// not been added to its group yet. The second write replaces entries, and deletes a replica and records that it must not run again.
// In the ledger's log only the entry without commands is committed, so that a gateway that starts from this store has the ledger
// of the snapshot.
func storeWrites() []raftstore.Write {
	all := commands()
	return []raftstore.Write{
		{Number: 1, Store: 71, Incarnation: incarnation, Ledger: encode(ledger()), Retired: []raftstore.MemberRef{{Group: 1, Epoch: 1, Member: 3}}, Members: []raftstore.MemberWrite{
			{Group: 0, Epoch: 1, Member: 1, Snapshot: raftSnapshot(40, encode(ledger()), 1, 4, 5), Entries: raftEntries(41, all[3:]), HardState: hardState(41)},
			{Group: 1, Epoch: 1, Member: 2, Snapshot: raftSnapshot(50, encode(shard()), 2, 6, 7), Entries: raftEntries(51, all[:3]), HardState: hardState(50)},
			{Group: 2, Epoch: 1, Member: 3, HardState: hardState(0)},
			{Group: 2, Epoch: 2, Member: 8, Snapshot: raftSnapshot(60, encode(largeShardState()), 8, 9, 10), HardState: hardState(60)},
			{Group: 3, Epoch: 1, Member: 12},
		}},
		{Number: 2, Store: 71, Incarnation: incarnation + 1, Retired: []raftstore.MemberRef{{Group: 2, Epoch: 1, Member: 3}}, Members: []raftstore.MemberWrite{
			{Group: 1, Epoch: 1, Member: 2, Entries: raftEntries(52, all[:3]), HardState: hardState(55)},
			{Group: 2, Epoch: 1, Member: 3, Delete: true},
		}},
	}
}

// writeStore writes the content of the golden store to a new file.
func writeStore(t *testing.T, path string) {
	t.Helper()
	file, _, err := raftstorage.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for _, write := range storeWrites() {
		if err := file.Write(write); err != nil {
			t.Fatal(err)
		}
	}
}

// unpackStore unpacks the golden store into a new file and returns its path. With -update it first replaces the golden store.
func unpackStore(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "golden.db")
	if *update {
		writeStore(t, path)
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var packed bytes.Buffer
		w, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
		w.Write(content)
		w.Close()
		if err := os.WriteFile(storeFile, packed.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	packed, err := os.Open(storeFile)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	r, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// bucketWalker is the common interface of a transaction and a bucket.
type bucketWalker interface {
	Cursor() *bbolt.Cursor
	Bucket(name []byte) *bbolt.Bucket
}

// rawLines lists all buckets, keys and values of a file in order. It reads the file without the project's code.
func rawLines(t *testing.T, path string) (lines []string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var walk func(in bucketWalker, at string)
	walk = func(in bucketWalker, at string) {
		c := in.Cursor()
		for name, value := c.First(); name != nil; name, value = c.Next() {
			if value != nil {
				lines = append(lines, fmt.Sprintf("%s%q = %x", at, name, value))
				continue
			}
			lines = append(lines, fmt.Sprintf("%s%q:", at, name))
			walk(in.Bucket(name), fmt.Sprintf("%s%q/", at, name))
		}
	}
	if err := db.View(func(tx *bbolt.Tx) error { walk(tx, ""); return nil }); err != nil {
		t.Fatal(err)
	}
	return lines
}

// This version writes the same buckets, keys and values, byte for byte. Their positions in the file may differ, because the
// library chooses them.
func TestStoreIsWrittenTheSame(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new.db")
	writeStore(t, path)
	got, want := rawLines(t, path), rawLines(t, unpackStore(t))
	if len(got) != len(want) {
		t.Errorf("%d buckets, keys and values, want %d", len(got), len(want))
	}
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("this version wrote\n%.400s\nthe golden store has\n%.400s", got[i], want[i])
		}
	}
}

// sameMessage compares a message that was read with the one that was written. nil stands for a missing message.
func sameMessage(t *testing.T, what string, got, want proto.Message) {
	t.Helper()
	if !proto.Equal(got, want) {
		t.Errorf("%s was read as\n%.400v\nwant\n%.400v", what, got, want)
	}
}

// This version reads the content of the golden store, and a gateway can start from it.
func TestStoreIsRead(t *testing.T) {
	file, stored, err := raftstorage.Open(unpackStore(t))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if file.Sequence() != 2 || stored.Store != 71 || stored.Incarnation != incarnation+1 || !bytes.Equal(stored.Ledger, encode(ledger())) {
		t.Errorf("write %d, store %d, incarnation %d, ledger %x", file.Sequence(), stored.Store, stored.Incarnation, stored.Ledger)
	}
	if got, want := fmt.Sprint(stored.Retired), "[{1 1 3} {2 1 3}]"; got != want {
		t.Errorf("retired members are %s, want %s", got, want)
	}
	all := commands()
	want := []raftstore.StoredMember{
		{Group: 0, Epoch: 1, Member: 1, Snapshot: raftSnapshot(40, encode(ledger()), 1, 4, 5), Entries: raftEntries(41, all[3:]), HardState: hardState(41)},
		{Group: 1, Epoch: 1, Member: 2, Snapshot: raftSnapshot(50, encode(shard()), 2, 6, 7), HardState: hardState(55),
			Entries: append(raftEntries(51, all[:3])[:1], raftEntries(52, all[:3])...)},
		{Group: 2, Epoch: 2, Member: 8, Snapshot: raftSnapshot(60, encode(largeShardState()), 8, 9, 10), HardState: hardState(60)},
		{Group: 3, Epoch: 1, Member: 12},
	}
	if len(stored.Members) != len(want) {
		t.Fatalf("%d replicas, want %d", len(stored.Members), len(want))
	}
	for i, g := range stored.Members {
		w := want[i]
		name := fmt.Sprintf("replica %d of group %d", g.Member, g.Group)
		if g.Group != w.Group || g.Epoch != w.Epoch || g.Member != w.Member || len(g.Entries) != len(w.Entries) {
			t.Fatalf("%s, epoch %d, with %d entries; want %d, %d, %d with %d", name, g.Epoch, len(g.Entries), w.Member, w.Group, w.Epoch, len(w.Entries))
		}
		sameMessage(t, name+": hard state", g.HardState, w.HardState)
		sameMessage(t, name+": snapshot", g.Snapshot, w.Snapshot)
		for k := range g.Entries {
			sameMessage(t, fmt.Sprintf("%s: entry %d", name, k), g.Entries[k], w.Entries[k])
		}
	}
	host, err := raftstore.New(raftstore.Config{Name: "gw-1", RunsGroups: true, Tick: 100_000, MinLogBytes: 1 << 20, MaxShardBytes: 1 << 20, MaxCalls: 10, ClientID: 1}, 1_000_000, stored, true)
	if err != nil {
		t.Fatal(err)
	}
	if overview := host.Overview(); overview.Store != 71 || overview.ClusterID != clusterID || overview.Index < 40 || len(overview.Groups) != 3 {
		t.Errorf("a gateway starts with %+v", overview)
	}
}
