package raftstorage

import (
	"os"
	"path/filepath"
	"testing"
)

// The witness matches only the store that was written last.
func TestWitness(t *testing.T) {
	path := filepath.Join(t.TempDir(), "witness")
	for _, c := range []struct {
		name            string
		store, sequence uint64
		known           bool
		record          uint64 // 0 if nothing is recorded
	}{
		{"new", 7, 0, false, 5},
		{"same", 7, 5, true, 6},
		{"disk has more writes", 7, 7, true, 7},
		{"disk has fewer writes", 7, 6, false, 0},
		{"another disk", 8, 9, false, 0},
		{"emptied since", 7, 7, false, 0},
		{"emptied since, more writes", 7, 9, false, 9},
		{"recorded again", 7, 9, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, known, err := OpenWitness(path, c.store, c.sequence)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			if known != c.known {
				t.Errorf("known %v, want %v", known, c.known)
			}
			if c.record > 0 {
				if err := w.Record(c.store, c.record); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	t.Run("another boot of the machine", func(t *testing.T) {
		if err := os.WriteFile(path, make([]byte, 60), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, known, _ := OpenWitness(path, 0, 0); known {
			t.Error("the witness of another boot of the machine matches")
		}
	})
}
