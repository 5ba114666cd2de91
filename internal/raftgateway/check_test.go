package raftgateway

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// The JSON summary of a storage file has exactly the keys of the golden file, and its encoding is identical to the golden file.
func TestContentsGolden(t *testing.T) {
	want := storeContents{
		Disk: "00000000000000bb", Incarnation: 1_767_225_600_000_000, Retired: 1,
		Members: []memberContents{{Group: 2, Epoch: 3, Number: 4, Term: 5, CommitIndex: 6, SnapshotIndex: 7, SnapshotBytes: 8, LastIndex: 9}},
	}
	golden, err := os.ReadFile(filepath.Join("testdata", "contents.json"))
	if err != nil {
		t.Fatal(err)
	}
	var read storeContents
	strict := json.NewDecoder(bytes.NewReader(golden))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&read); err != nil || !reflect.DeepEqual(read, want) {
		t.Errorf("read as %+v, %v", read, err)
	}
	if written, err := json.MarshalIndent(want, "", "  "); err != nil || string(written)+"\n" != string(golden) {
		t.Errorf("written as\n%s\n%v, want\n%s", written, err, golden)
	}
}

// Checking a storage file prints a summary of what was written to it. It returns an error if the file is damaged or missing.
func TestCheckStore(t *testing.T) {
	dir := t.TempDir()
	path, damaged := filepath.Join(dir, "store.db"), filepath.Join(dir, "damaged.db")
	file, _, err := raftstorage.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	err = file.Write(raftstore.Write{Store: 0xbb, Incarnation: 1_767_225_600_000_000, Retired: []raftstore.MemberRef{{Group: 1, Epoch: 1, Member: 1}}, Members: []raftstore.MemberWrite{
		{Group: 1, Epoch: 2, Member: 3},
		{Group: 2, Epoch: 3, Member: 4, HardState: &pb.HardState{Term: new(uint64(5)), Vote: new(uint64(4)), Commit: new(uint64(8))},
			Snapshot: &pb.Snapshot{Data: []byte("snapshot"), Metadata: &pb.SnapshotMetadata{Index: new(uint64(7)), Term: new(uint64(5))}}, KeepEntries: true,
			Entries: []*pb.Entry{{Index: new(uint64(8)), Term: new(uint64(5))}, {Index: new(uint64(9)), Term: new(uint64(5))}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	if err := os.WriteFile(damaged, bytes.Repeat([]byte("no store"), 4096), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, path string
		asJSON     bool
		want, err  string
	}{
		{"text", path, false, "disk 00000000000000bb is whole, last started 2026-01-01T00:00:00Z\n" +
			"group 1, epoch 2, member 3: term 0, committed up to 0 of 0, snapshot at 0 (0 bytes)\n" +
			"group 2, epoch 3, member 4: term 5, committed up to 8 of 9, snapshot at 7 (8 bytes)\n" +
			"1 members must not take part again: this disk was older than what they had acknowledged\n", ""},
		{"JSON", path, true, `{"disk":"00000000000000bb","life":1767225600000000,"groups":[` +
			`{"group":1,"epoch":2,"number":3,"term":0,"commit":0,"snapshot":0,"snapshot_bytes":0,"last":0},` +
			`{"group":2,"epoch":3,"number":4,"term":5,"commit":8,"snapshot":7,"snapshot_bytes":8,"last":9}],"retired":1}` + "\n", ""},
		{"damaged", damaged, false, "", "is damaged"},
		{"missing", filepath.Join(dir, "missing.db"), false, "", "no such file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := checkStore(c.path, c.asJSON, &out)
			if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want %q", err, c.err)
			}
			if out.String() != c.want {
				t.Errorf("printed\n%s\nwant\n%s", out.String(), c.want)
			}
		})
	}
}
