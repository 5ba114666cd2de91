package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblespan/internal/control"
	"marblespan/internal/floatingip"
	"marblespan/internal/gateway"
)

func run(t *testing.T, env map[string]string, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e strings.Builder
	code = Main(args, func(k string) string { return env[k] }, &o, &e)
	return code, o.String(), e.String()
}

func conf(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "m.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const good = "vrrp\nnode 1\nbind 127.0.0.2:1112\nkey 1 \"a secret nobody sees\"\ngroup counters\nvrid 5\naddress 192.0.2.1\nlisten 127.0.0.2:1\n"

const withStateStore = "members\nnode a\nbind 127.0.0.2:7946\nkey 1 \"a secret nobody sees\"\nstate-store\nraft-nodes all\nstorage memory\n"

func TestCommandLines(t *testing.T) {
	platform := map[string]string{"PROXY_CONFIG": filepath.Join("..", "..", "deploy", "sample.json")}
	bad := conf(t, "contrl x\nvrrp\nnode 0\n")
	for _, c := range []struct {
		name      string
		env       map[string]string
		args      []string
		code      int
		out, errs string
	}{
		{"version", nil, []string{"version"}, 0, "marblespan " + gateway.Version, ""},
		{"help", nil, []string{"--help"}, 0, "vrrp        Floating addresses", ""},
		{"unknown command", nil, []string{"foo"}, 2, "", `marblespan: unknown command "foo" for "marblespan"`},
		{"unknown flag", nil, []string{"check", "--foo"}, 2, "", "marblespan: unknown flag: --foo"},
		{"argument", nil, []string{"check", "x"}, 2, "", "takes no arguments"},
		{"missing subcommand", nil, []string{"vrrp"}, 2, "", "vrrp needs a command: status"},
		{"no socket", nil, []string{"vrrp", "status"}, 2, "", "no control socket"},
		{"no gateway at the socket", nil, []string{"vrrp", "status", "--socket", "/nowhere"}, 1, "", "no gateway answers at /nowhere"},
		{"state-store without a gateway at the socket", nil, []string{"state-store", "--socket", "/nowhere"}, 1, "", "no gateway answers at /nowhere"},
		{"reset-shard without a shard", nil, []string{"state-store", "reset-shard", "x"}, 2, "", "is not the number of a shard"},
		{"remove-store without a name", nil, []string{"state-store", "remove-store"}, 2, "", "state-store remove-store takes the name of a gateway"},
		{"a former command", nil, []string{"copies", "anew", "x"}, 2, "", "is not the number of a shard"},
		{"help of a former command", nil, []string{"copies", "found", "--help"}, 0, "Makes a new store", "use: marblespan state-store bootstrap\n"},
		{"a former command without its argument", nil, []string{"copies", "gone"}, 2, "", "copies gone takes the name of a gateway"},
		{"a former command without marblespan-raft", nil, []string{"copies", "check", "/nowhere"}, 1, "", "the state store needs marblespan-raft beside this program"},
		{"a former command in the other group", nil, []string{"maintain", "anew"}, 2, "", `maintain takes no arguments, and has ["anew"]`},
		{"state-store check without marblespan-raft", nil, []string{"state-store", "check", "/nowhere"}, 1, "", "the state store needs marblespan-raft beside this program"},
		{"a gateway without marblespan-raft", platform, []string{"--conf", conf(t, withStateStore)}, 1, "", "the state store needs marblespan-raft beside this program"},
		{"no configuration", nil, []string{}, 1, "", "marblespan: PROXY_CONFIG: not set"},
		{"no configuration", nil, []string{"gateway"}, 1, "", "marblespan: PROXY_CONFIG: not set"},
		{"check without a file", platform, []string{"check"}, 0, "# no operators' file: all of its features are off", ""},
		{"check", platform, []string{"check", "--conf", conf(t, good)}, 0, "group counters\n    vrid 5\n", ""},
		{"hidden secret", platform, []string{"check", "--conf", conf(t, good)}, 0, "key 1 ********", ""},
		{"all faults at once", nil, []string{"check", "--conf", bad}, 1, "", bad + ":1: contrl: unknown directive"},
		{"all faults at once", nil, []string{"check", "--conf", bad}, 1, "", "marblespan: PROXY_CONFIG: not set"},
		{"all faults at the gateway's start", nil, []string{"--conf", bad}, 1, "", bad + ":1: contrl: unknown directive"},
		{"operators' file named by the environment", map[string]string{"MARBLESPAN_CONF": bad}, []string{"check"}, 1, "", bad + ":1: contrl"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := run(t, c.env, c.args...)
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || (c.errs == "") != (errs == "") {
				t.Errorf("exit %d\n%s\n%s", code, out, errs)
			}
			if strings.Contains(out+errs, "nobody sees") {
				t.Error("the output contains a secret")
			}
		})
	}
}

func TestVRRPStatus(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := control.Listen(path, func(string) (any, error) {
		return []floatingip.Status{{
			Group: "counters", VRID: 5, Addresses: []string{"192.0.2.1"}, State: "backup", StateDurationMS: 1500, Priority: 60, ConfiguredPriority: 100,
			Ready: true, FailedConditions: []string{"no-primary"}, ActiveRouter: "127.0.0.3", Activation: 3, PreemptBlockedMS: 250,
		}}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	code, out, errs := run(t, nil, "vrrp", "status", "--conf", conf(t, "control "+path+"\n"))
	if code != 0 || errs != "" {
		t.Fatal(code, errs)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if want := "counters 5 192.0.2.1 backup 1.5s 60 of 100 yes no-primary 127.0.0.3 3 250ms"; len(lines) != 2 ||
		strings.Join(strings.Fields(lines[1]), " ") != want {
		t.Errorf("%s", out)
	}
	if _, out, _ = run(t, nil, "vrrp", "status", "--socket", path, "--json"); !strings.Contains(out, `"priority_of_settings": 100`) {
		t.Errorf("%s", out)
	}
}
