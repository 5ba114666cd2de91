package brain_test

import (
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// The operators read the module whole at night: its length, its line width and its imports are limited.
func TestModuleShape(t *testing.T) {
	text, err := os.ReadFile("brain.go")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			count++
		}
		if width := len([]rune(line)); width > 110 {
			t.Errorf("brain.go:%d is %d characters wide; 110 at most", i+1, width)
		}
	}
	if count > 940 {
		t.Errorf("brain.go has %d lines that are not blank; 940 at most", count)
	}
	if !strings.Contains(string(text[:400]), "api.go") {
		t.Error("the head of brain.go does not name the interface file")
	}
}

// The package is a pure state machine: nothing that reads a clock, a file, a socket or global randomness.
func TestImportsArePure(t *testing.T) {
	allowed := map[string]bool{`"fmt"`: true, `"sort"`: true, `"slices"`: true, `"cmp"`: true, `"math/bits"`: true}
	for _, name := range []string{"brain.go", "api.go", "state.go"} {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, im := range f.Imports {
			if !allowed[im.Path.Value] {
				t.Errorf("%s imports %s", name, im.Path.Value)
			}
		}
	}
}
