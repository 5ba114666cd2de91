package policy_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// policyFiles returns the names of the files under policy in the deploy file.
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

// packageFiles returns the package's Go files without the tests.
func packageFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// The deploy file lists exactly the files of this package under policy, because all decisions are in one package.
// Lines are short because operators read these files at night.
func TestModuleShape(t *testing.T) {
	var want []string
	for _, name := range packageFiles(t) {
		want = append(want, "internal/policy/"+name)
	}
	if got := policyFiles(t); !slices.Equal(got, want) {
		t.Errorf("the deploy file lists %q under policy, the package has %q", got, want)
	}
	for _, name := range packageFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
			if width := len([]rune(line)); width > 110 {
				t.Errorf("%s:%d is %d characters wide; 110 at most", name, i+1, width)
			}
		}
	}
}

// The package is a pure state machine: it imports nothing that reads a clock, a file, a socket or global
// randomness.
func TestImportsArePure(t *testing.T) {
	allowed := map[string]bool{`"fmt"`: true, `"sort"`: true, `"slices"`: true, `"cmp"`: true, `"math/bits"`: true, `"marblespan/internal/clock"`: true}
	for _, name := range packageFiles(t) {
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
