// Package golden holds the tests that keep the encodings of the data that gateways store and send to each other. The golden files
// in testdata were written by an earlier version. This version must read them, and must write the same bytes for the same content,
// so that gateways of different versions can run together and a disk stays usable after an upgrade. A test that fails here means
// that a format has changed. Renaming identifiers in the code makes no test fail.
//
// For a new kind of message, or a new field, run "go test ./internal/golden -update", which writes the golden files. Existing files
// must not change, except those of the messages to which the field was added.
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

var update = flag.Bool("update", false, "write the golden files with the encodings of this version")

// key signs all golden messages.
var key = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}

// golden compares an encoding of this version with a golden file, testdata/NAME.hex, and returns the bytes in that file.
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

// rejectsFlips checks that a signed message is rejected if any single byte of it has changed.
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
