// Package archtest holds the tests of the code's structure: packages import only packages of lower layers, and exported items have
// doc comments.
package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports lists, for each package, the packages of this project that it may import. A package that is not listed here fails
// the test.
var allowedImports = map[string][]string{
	"internal/policy":              {"internal/clock"},
	"internal/clock":               {},
	"internal/settings":            {"internal/clock", "internal/policy"},
	"internal/protocol/postgres":   {},
	"internal/protocol/discovery":  {},
	"internal/protocol/sealed":     {},
	"internal/protocol/vrrp":       {"internal/protocol/sealed"},
	"internal/protocol/members":    {"internal/membership", "internal/protocol/sealed"},
	"internal/membership":          {"internal/clock"},
	"api":                          {},
	"api/raftstorepb":              {},
	"internal/raftstore":           {"internal/clock", "api/raftstorepb", "internal/maintenance"},
	"internal/protocol/advisories": {},
	"internal/vrrp":                {"internal/clock"},
	"internal/modelcheck":          {},
	"internal/assignment":          {"internal/clock"},
	"internal/indoubt":             {"internal/clock"},
	"internal/maintenance":         {"internal/clock"},
	"internal/intents":             {"internal/clock", "internal/indoubt"},
	"internal/transport":           {},
	"internal/config":              {"internal/config/lines", "internal/settings", "internal/protocol/discovery"},
	"internal/config/lines":        {},
	"internal/simwire":             {"internal/clock", "internal/policy", "internal/settings"},
	"internal/simhost":             {"internal/clock", "internal/policy", "internal/settings", "internal/simwire"},
	"internal/routing": {
		"internal/clock",
		"internal/policy", "internal/settings", "internal/protocol/discovery", "internal/transport",
	},
	"internal/session": {
		"internal/clock",
		"internal/policy", "internal/intents", "internal/indoubt", "internal/settings", "internal/protocol/postgres", "internal/protocol/discovery",
		"internal/routing", "internal/transport",
	},
	"internal/control":   {},
	"internal/datagrams": {},
	"internal/streams":   {"internal/protocol/sealed", "internal/transport"},
	"internal/gossip": {
		"internal/clock",
		"internal/datagrams", "internal/membership", "internal/protocol/members", "internal/protocol/sealed", "internal/streams", "internal/transport",
	},
	"internal/floatingip":  {"internal/clock", "internal/datagrams", "internal/protocol/sealed", "internal/protocol/vrrp", "internal/vrrp"},
	"internal/raftstorage": {"internal/raftstore"},
	"internal/raftnode":    {"internal/clock", "api/raftstorepb", "internal/raftstore", "internal/maintenance", "internal/raftstorage", "internal/streams"},
	"internal/raftgateway": {
		"internal/clock",
		"api/raftstorepb", "internal/policy", "internal/intents", "internal/raftstore", "internal/indoubt", "internal/raftnode", "internal/maintenance", "internal/gateway", "internal/raftstorage",
	},
	"internal/gateway": {
		"internal/clock",
		"internal/policy", "internal/intents", "internal/config", "internal/control", "internal/indoubt", "internal/floatingip", "internal/maintenance", "internal/membership", "internal/gossip",
		"internal/protocol/members", "internal/protocol/sealed", "internal/protocol/vrrp", "internal/routing",
		"internal/session", "internal/settings", "internal/streams", "internal/transport", "internal/vrrp",
	},
	"internal/cli": {
		"internal/config", "internal/config/lines", "internal/control", "internal/floatingip", "internal/gossip", "internal/gateway",
	},
	"internal/knownred":           {},
	"internal/knownred/run":       {"internal/knownred"},
	"internal/fake":               {},
	"internal/testcluster":        {"internal/config/lines", "internal/fake"},
	"internal/experiments/report": {},
	"internal/experiments/members": {
		"internal/clock",
		"internal/experiments/report", "internal/membership", "internal/protocol/members", "internal/protocol/sealed", "internal/testcluster",
	},
	"internal/experiments/statestore": {
		"internal/clock",
		"api/raftstorepb", "internal/raftstore", "internal/raftnode", "internal/experiments/report", "internal/protocol/sealed", "internal/testcluster", "internal/raftstorage", "internal/streams",
		"internal/transport",
	},
	"internal/experiments/failover":    {"internal/experiments/report", "internal/testcluster", "internal/fake"},
	"internal/experiments/chaos":       {"internal/experiments/report", "internal/testcluster"},
	"internal/experiments/indoubt":     {"internal/experiments/report", "internal/testcluster"},
	"internal/experiments/maintenance": {"internal/experiments/report", "internal/testcluster"},
	"internal/experiments/demo":        {"internal/testcluster"},
	"cmd/marblespan-bench":             {"internal/clock", "internal/experiments/chaos", "internal/experiments/statestore", "internal/experiments/demo", "internal/experiments/indoubt", "internal/experiments/failover", "internal/experiments/maintenance", "internal/experiments/members", "internal/testcluster"},
	"cmd/marblespan":                   {"internal/cli"},
	"cmd/marblespan-raft":              {"internal/cli", "internal/raftgateway"},
	"cmd/simhost":                      {"internal/simhost"},
}

// forbiddenImports lists, for a prefix of package paths, the packages that no package with that prefix may import.
var forbiddenImports = map[string][]string{
	"":                     {"net/http", "github.com/jackc/pgx/v5", "database/sql"},
	"internal/policy":      {"time", "net", "os", "io", "sync", "math/rand"},
	"internal/protocol":    {"sync", "os", "time", "io", "bufio"},
	"internal/routing":     {"net", "os", "bufio"},
	"internal/vrrp":        {"time", "net", "os", "io", "sync", "math/rand", "math/rand/v2"},
	"internal/membership":  {"time", "net", "os", "io", "sync", "math/rand"},
	"internal/maintenance": {"time", "net", "os", "io", "sync", "math/rand", "math/rand/v2"},
	"internal/raftstore":   {"time", "net", "os", "io", "sync", "math/rand", "math/rand/v2"},
}

func TestImportsPointDown(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		rel = filepath.ToSlash(rel)
		if d.IsDir() {
			if rel == "journal" || rel == "found" || rel == ".git" || rel == "logs" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(rel, ".go") || strings.HasSuffix(rel, "_test.go") {
			return nil
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		pkg := rel[:strings.LastIndex(rel, "/")]
		allowed, listed := allowedImports[pkg]
		if !listed {
			t.Errorf("%s: package %s is not listed in allowedImports", rel, pkg)
		}
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			if own, ok := strings.CutPrefix(name, "marblespan/"); ok && !contains(allowed, own) {
				t.Errorf("%s imports %s, which allowedImports does not list for its package", rel, own)
			}
			for prefix, names := range forbiddenImports {
				if strings.HasPrefix(pkg, prefix) && contains(names, name) {
					t.Errorf("%s imports %s, which forbiddenImports lists for its package", rel, name)
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 20 {
		t.Fatalf("found only %d files", files)
	}
}

func contains(list []string, x string) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}
