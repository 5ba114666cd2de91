// Package golden holds the tests that keep the bytes of what gateways store and of what they send each other. The golden files in
// testdata were written by an earlier version: this one has to read them, and to write the same bytes for the same content, so that
// versions can be mixed and a disk outlives an upgrade. A test that fails here tells of a change of format. Names in the code may
// change freely, and then nothing here fails.
//
// A new kind of message, or a new field, gets a golden file of its own with "go test ./internal/golden -update". Files that are
// there already must come out of it unchanged, but for those of messages that the field was added to.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblespan/internal/protocol/sealed"
)

var update = flag.Bool("update", false, "write the golden files from what this version encodes")

// key signs all golden messages.
var key = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}

// golden compares what this version encodes with a golden file, testdata/NAME.hex, and returns the file's bytes.
func golden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", filepath.FromSlash(name)+".hex")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("%s is encoded as\n%x\nthe golden file has\n%x", name, encoded, want)
	}
	return want
}

// rejectsFlips checks that a signed message is not accepted once any single byte of it has changed.
func rejectsFlips(t *testing.T, message []byte, accepted func([]byte) bool) {
	t.Helper()
	if !accepted(message) {
		t.Fatal("the message itself is not accepted")
	}
	for i := range message {
		changed := bytes.Clone(message)
		changed[i] ^= 0x10
		if accepted(changed) {
			t.Errorf("byte %d changed unnoticed", i)
		}
	}
}
