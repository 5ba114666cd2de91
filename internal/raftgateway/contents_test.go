package raftgateway

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// What "copies check --json" prints of a store's file has the keys that it always had: the golden file is read back to the
// same, with nothing unknown in it, and is written as it stands.
func TestContentsGolden(t *testing.T) {
	want := storeContents{
		Disk: "00000000000000bb", Life: 1_767_225_600_000_000, Retired: 1,
		Groups: []groupContents{{Group: 2, Epoch: 3, Number: 4, Term: 5, Commit: 6, Snapshot: 7, Bytes: 8, Last: 9}},
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
