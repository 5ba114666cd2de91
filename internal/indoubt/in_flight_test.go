package indoubt

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The control socket shows these names of the phases, listed in the order of the phases.
func TestPhaseWordsGolden(t *testing.T) {
	got := strings.Join(phaseNames[:], "\n") + "\n"
	if want, err := os.ReadFile(filepath.Join("testdata", "phases.txt")); err != nil || got != string(want) {
		t.Errorf("%s%v, want\n%s", got, err, want)
	}
}
