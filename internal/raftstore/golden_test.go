package raftstore

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// goldenState reads a state that an earlier version wrote, from a golden file of internal/golden.
func goldenState(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "golden", "testdata", "copies", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	state, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// A shard and a ledger written by an earlier version can be restored and are written back unchanged.
func TestGoldenStates(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine stateMachine
	}{{"shard", newShard(1<<20, LatestFormat, 1, false)}, {"ledger", newLedger()}} {
		t.Run(c.name, func(t *testing.T) {
			state := goldenState(t, c.name)
			if err := c.machine.restore(state); err != nil {
				t.Fatal(err)
			}
			if l, ok := c.machine.(*ledger); ok { // re-encode the order, as applying a command or step to it does
				l.Order = encodeOrder(DecodeOrder(l.Order))
			}
			if got := c.machine.snapshot(); !bytes.Equal(got, state) {
				t.Errorf("written back as\n%x\nwant, from the golden file,\n%x", got, state)
			}
		})
	}
}
