package policy_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// policyLines is how many lines the files named under policy may hold together.
const policyLines = 1070

// policyFiles reads the names of the files that hold the decisions from the deployment's own list.
func policyFiles(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy\s*=\s*\[([^\]]*)\]`).FindSubmatch(raw)
	if line == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	var names []string
	for _, m := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(line[1]), -1) {
		names = append(names, m[1])
	}
	return names
}

// The operators read the module whole at night: its length, its line width and its imports are limited.
func TestModuleShape(t *testing.T) {
	total := 0
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(name)))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		total += len(lines)
		for i, line := range lines {
			if width := len([]rune(line)); width > 110 {
				t.Errorf("%s:%d is %d characters wide; 110 at most", name, i+1, width)
			}
		}
		if !strings.Contains(string(text[:400]), "api.go") {
			t.Errorf("the head of %s does not name the interface file", name)
		}
	}
	if total == 0 || total > policyLines {
		t.Errorf("the files under policy have %d lines; %d at most", total, policyLines)
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
