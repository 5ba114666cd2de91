package gossip

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The names of flags in a Status must not change, because operators' scripts depend on them.
func TestFlagNamesGolden(t *testing.T) {
	var all strings.Builder
	for _, f := range flagNames {
		fmt.Fprintf(&all, "%d %s\n", f.flag, f.name)
	}
	if want, err := os.ReadFile(filepath.Join("testdata", "flags.txt")); err != nil || all.String() != string(want) {
		t.Errorf("%s%v, want\n%s", &all, err, want)
	}
}
