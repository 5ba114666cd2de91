package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marblespan/internal/config/lines"
)

const sampleConf = `# the counters' address
control "/tmp/with blank.sock"

members
    node gw-1
    bind 127.0.0.2:7946
    join 127.0.0.3:7946 127.0.0.4:7946
    key 3 "a third secret, long enough"
    zone a
    interval 300ms
    via 10.0.0.3:7946 127.0.0.9:7001

vrrp
    node 1
    bind 127.0.0.2:1112
    peer 2 127.0.0.3:1112
    peer 3 127.0.0.4:1112   # the third
    key 2 "a secret with \"quotes\" in it"
    key 1 sixteen-characters-or-more
    announce 127.0.0.9:1113 127.0.0.9:1114

group counters
    vrid 51
    address 192.0.2.10
    listen 127.0.0.2:6434
    priority 200
    interval 1s
    preempt off
    track no-primary 40
    track draining 255
    damp 2s 100ms 1s
group boards
    vrid 52
    address 2001:db8::1 2001:db8::2
    listen 127.0.0.2:6435

state-store
    raft-nodes gw-1 gw-2
    voters 5
    storage disk /var/c.db
    witness /run/c
    repair-after 30s
    session-marks order basket

in-doubt order
    clients do-not-mark
    order safe
    retention 1m
    lookup seat " there"
`

// memberLines returns the members section of sampleConf.
func memberLines() string {
	from := strings.Index(sampleConf, "members\n")
	return sampleConf[from:strings.Index(sampleConf, "vrrp\n")]
}

func TestOperatorsFile(t *testing.T) {
	o, err := ParseOperators("a.conf", sampleConf)
	if err != nil {
		t.Fatal(err)
	}
	if o.Control != "/tmp/with blank.sock" || o.VRRP.Node != 1 || len(o.VRRP.Peers) != 2 || len(o.VRRP.Announce) != 2 ||
		o.VRRP.Peers[1].Address.String() != "127.0.0.4:1112" || o.VRRP.Keys[0].Secret != `a secret with "quotes" in it` {
		t.Errorf("%+v %+v", o, o.VRRP)
	}
	if c := o.StateStore; c.Voters != 5 || c.Shards != 16 || c.StoragePath() != "/var/c.db" || !c.RunsRaftNode("gw-2") || c.RunsRaftNode("gw-3") || len(c.SessionMarks) != 2 || c.MarksMode != "safe" {
		t.Errorf("%+v", c)
	}
	if d := o.InDoubt; len(d) != 1 || d[0].Class != "order" || d[0].Clients != "do-not-mark" || d[0].Order != "safe" || d[0].Retention != time.Minute ||
		len(d[0].Lookup) != 2 || d[0].Lookup[1] != " there" {
		t.Errorf("%+v", d)
	}
	if m := o.Members; m.Node != "gw-1" || len(m.Join) != 2 || m.Weight != 1 || m.Interval != 300*time.Millisecond || m.Via[0].Via.Port() != 7001 {
		t.Errorf("%+v", m)
	}
	g := o.Groups[0]
	if g.Name != "counters" || g.VRID != 51 || g.Preempt || g.Interval != time.Second || g.Track[1].Step != 255 ||
		g.Damping != (Damping{2 * time.Second, 100 * time.Millisecond, time.Second}) {
		t.Errorf("%+v", g)
	}
	if g := o.Groups[1]; g.Priority != 100 || !g.Preempt || g.Interval != 100*time.Millisecond || len(g.Addresses) != 2 {
		t.Errorf("%+v", g)
	}
	// The printed file parses to the same settings once the hidden secrets are replaced.
	var b strings.Builder
	if err := o.Print(&b); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(b.String(), "quotes") || strings.Contains(b.String(), "third secret") || strings.Contains(b.String(), "sixteen") {
		t.Errorf("a secret is printed:\n%s", &b)
	}
	text := strings.Replace(strings.Replace(b.String(), "key 3 ********", "key 3 0123456789abcdef", 1), "key 2 ********", "key 2 0123456789abcdef", 1)
	again, err := ParseOperators("b.conf", strings.Replace(text, "key 1 ********", "key 1 0123456789abcdef", 1))
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	var c strings.Builder
	again.Print(&c)
	if c.String() != b.String() {
		t.Errorf("%s\n---\n%s", &b, &c)
	}
	if o, err := LoadOperators(""); err != nil || o.VRRP != nil || o.Summary() != "" {
		t.Errorf("%v %v", o, err)
	}
}

// TestOperatorsFaults checks that a fault is reported with its line and directive, and that all faults of a file are reported
// together.
func TestOperatorsFaults(t *testing.T) {
	edit := func(old, new string) string {
		if !strings.Contains(sampleConf, old) {
			t.Fatalf("%q is not in the sample", old)
		}
		return strings.Replace(sampleConf, old, new, 1)
	}
	for _, c := range []struct{ name, text, want string }{
		{"unknown directive", edit("control", "contrl"), `x:2: contrl: unknown directive; valid directives here: control`},
		{"unknown in a section", edit("    node 1\n", "    nod 1\n"), `x:14: nod: unknown directive; valid directives here: announce, bind, key, node, peer`},
		{"twice", edit("    node 1\n", "    node 1\n    node 2\n"), `x:15: node: duplicate directive, first given on line 14`},
		{"section twice", edit("group boards", "vrrp\ngroup boards"), `x:32: vrrp: duplicate section`},
		{"a member without a name", edit("    node gw-1\n", ""), `x:4: node: must be set`},
		{"a member's interval", edit("interval 300ms", "interval 20s"), `x:10: interval: invalid value 20s: must be from 50ms to 10s`},
		{"a member at an unspecified address", edit("bind 127.0.0.2:7946", "bind 0.0.0.0:7946"), `x:6: bind: other members cannot reach this gateway at 0.0.0.0:7946; set its address with advertise`},
		{"join in another address family", edit("join 127.0.0.3:7946", "join [::1]:7946"), `x:7: join: [::1]:7946 is not of the same address family as bind`},
		{"via in another address family", edit("127.0.0.9:7001", "[::1]:7001"), `x:11: via: [::1]:7001 is not of the same address family as bind`},
		{"no value", edit("vrid 51", "vrid"), `x:23: vrid: expected 1 value, got 0`},
		{"too many", edit("vrid 51", "vrid 51 52"), `x:23: vrid: expected 1 value, got 2`},
		{"a missing value of a pair", edit("peer 2 127", "peer 127"), `x:16: peer: expected 2 values, got 1`},
		{"number out of range", edit("vrid 51", "vrid 256"), `x:23: vrid: invalid value "256": must be an integer from 0 to 255`},
		{"address without a port", edit("127.0.0.2:1112", "127.0.0.2"), `x:15: bind: invalid value "127.0.0.2": must be an address with a port, such as 127.0.0.1:6433`},
		{"no unit", edit("interval 1s", "interval 100"), `x:27: interval: invalid value "100": must be a duration with a unit, such as 100ms, 2s or 5m`},
		{"neither on nor off", edit("preempt off", "preempt maybe"), `x:28: preempt: invalid value "maybe": must be on or off`},
		{"missing", edit("    vrid 51\n", ""), `x:22: vrid: must be set`},
		{"unknown condition", edit("no-primary", "no-luck"),
			`x:29: track: must be one of no-server, no-primary, discovery-silent, descriptors, draining`},
		{"short secret", edit("sixteen-characters-or-more", "short"), `x:19: key: at least 16 characters required`},
		{"priority", edit("priority 200", "priority 0"), `x:26: priority: at least 1 required`},
		{"same peers", edit("peer 3", "peer 2"), `x:16: peer: duplicate node in this section`},
		{"own number", edit("peer 3", "peer 1"), `x:17: peer: 1 is this gateway's own number`},
		{"own address", edit("peer 3 127.0.0.4", "peer 3 127.0.0.2"), `x:17: peer: 127.0.0.2:1112 is this gateway's own address`},
		{"same vrid", edit("vrid 52", "vrid 51"), `x:33: vrid: 51 is already used by group counters`},
		{"same listener", edit(":6435", ":6434"), `x:35: listen: 127.0.0.2:6434 is already used by group counters`},
		{"addresses of two families", edit("2001:db8::2", "192.0.2.7"), `x:34: address: 192.0.2.7 is not of the same address family as the first address`},
		{"an interval that is not a multiple of its unit", edit("interval 1s", "interval 15ms"), `x:27: interval: invalid value 15ms: must be a multiple of 10ms from 10ms to 40.95s`},
		{"damping", edit("100ms 1s", "2s 1s"), `x:31: damp: initial hold 2s exceeds maximum hold 1s`},
		{"open quote", edit(`blank.sock"`, "blank.sock"), `x:2: column 9: invalid input text "\"/tmp/with blank..."`},
		{"no vrrp", "group a\nvrid 1\naddress 1.2.3.4\nlisten 127.0.0.1:1\n", `x:1: group: requires a vrrp section`},
		{"no group", "vrrp\nnode 1\nbind 127.0.0.1:1\nkey 1 0123456789abcdef\n", `x:1: vrrp: requires a group section with a floating address`},
		{"a state store without members", edit(memberLines(), ""), `x:28: state-store: requires a members section`},
		{"an even number of voters", edit("voters 5", "voters 4"), `x:39: voters: must be one of 1, 3, 5`},
		{"a disk without a path", edit("storage disk /var/c.db", "storage disk"), `x:40: storage: invalid value "disk": must be "memory", or "disk" and a path`},
		{"a witness without a disk", edit("storage disk /var/c.db", "storage memory"), `x:41: witness: requires storage on disk`},
		{"a repair-after shorter than a restart", edit("repair-after 30s", "repair-after 1s"), `x:42: repair-after: invalid value 1s: must be at least 2s and at least 20 heartbeats`},
		{"a heartbeat out of range", edit("repair-after 30s", "heartbeat 3s"), `x:42: heartbeat: invalid value 3s: must be from 20ms to 2s`},
		{"a marks-ttl that is too long", edit("repair-after 30s", "marks-ttl 25h"), `x:42: marks-ttl: invalid value 25h0m0s: must be from 1s to 24h0m0s`},
		{"a retention that is too short", edit("retention 1m", "retention 1s"), `x:48: retention: invalid value 1s: must be from 10s to 24h0m0s`},
		{"an unknown value of clients", edit("clients do-not-mark", "clients maybe"), `x:46: clients: must be one of mark, do-not-mark`},
		{"a class twice", sampleConf + "in-doubt order\n", `x:50: in-doubt: duplicate class order`},
		{"in-doubt writes without a state store", "in-doubt order\n", `x:1: in-doubt: requires a state-store section, which stores the outcomes of writes`},
		{"maintenance without a state store", "maintenance\n", `x:1: maintenance: requires a state-store section, which stores the maintenance order`},
		{"a default duration that is too short", sampleConf + "maintenance\n default-duration 1ms\n", `x:51: default-duration: invalid value 1ms: must be from 1s to 168h0m0s`},
		{"a load of more than 100 percent", sampleConf + "maintenance\n max-load 101\n", `x:51: max-load: at most 100 allowed`},
		{"a control character", "control \x01\n", `x:1: column 9: invalid input text "\x01"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperators("x", c.text)
			if err == nil || !strings.Contains("\n"+err.Error()+"\n", "\n"+c.want+"\n") {
				t.Errorf("%v\nwant\n%s", err, c.want)
			}
		})
	}
	_, err := ParseOperators("x", "a 1\nb 2\nvrrp 3\n")
	if faults, ok := errors.AsType[lines.Faults](err); !ok || len(faults) != 3 || faults[2].Line != 3 {
		t.Errorf("%v", err)
	}
	if _, err := LoadOperators(filepath.Join(t.TempDir(), "none")); err == nil ||
		!strings.HasSuffix(err.Error(), "cannot be read: no such file or directory") {
		t.Error(err)
	}
}

// TestShippedOperatorsFile checks that deploy/marblespan.conf parses and switches nothing on, and that it parses with its example
// uncommented.
func TestShippedOperatorsFile(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "marblespan.conf"))
	if err != nil {
		t.Fatal(err)
	}
	if o, err := ParseOperators("marblespan.conf", string(raw)); err != nil || o.Summary() != "" {
		t.Errorf("it switches on %q: %v", o.Summary(), err)
	}
	var on strings.Builder
	for _, line := range strings.Split(string(raw), "\n") {
		on.WriteString(strings.TrimPrefix(line, "#:") + "\n")
	}
	if o, err := ParseOperators("marblespan.conf", on.String()); err != nil || o.Summary() == "" {
		t.Error(err)
	}
}

func TestOperatorsRestartRequired(t *testing.T) {
	a, _ := ParseOperators("x", sampleConf)
	reloadable, _ := ParseOperators("x", strings.NewReplacer("priority 200", "priority 9", "peer 3", "peer 4", "key 2", "key 3").Replace(sampleConf))
	if fixed := a.RestartRequired(reloadable); len(fixed) != 0 {
		t.Errorf("%v", fixed)
	}
	other, _ := ParseOperators("x", strings.NewReplacer("node 1", "node 9", "vrid 51", "vrid 9", "control", "# ").Replace(sampleConf))
	if fixed := strings.Join(a.RestartRequired(other), ","); fixed != "control,vrrp node,group" {
		t.Errorf("%v", fixed)
	}
}

// FuzzOperators checks that the settings of any valid file are printed so that they parse to the same settings.
func FuzzOperators(f *testing.F) {
	f.Add(sampleConf)
	f.Add("vrrp\nnode 300\n")
	f.Add("maintenance\nfor 5m\ncopies 3\ncopies\ncopies 3\nvoters 3\nin-doubt a\nlook b\n")
	f.Add("control \"\\\\ \\\" \\n\"")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := ParseOperators("x", text)
		if err != nil {
			if faults, ok := errors.AsType[lines.Faults](err); !ok || len(faults) == 0 {
				t.Fatalf("%T %v", err, err)
			}
			return
		}
		var b, c strings.Builder
		o.Print(&b)
		if o.VRRP != nil {
			return // its secrets are hidden, so the printed file does not parse
		}
		again, err := ParseOperators("y", b.String())
		if err != nil {
			t.Fatalf("%v in %q of %q", err, b.String(), text)
		}
		if again.Print(&c); b.String() != c.String() {
			t.Errorf("%q, then %q", b.String(), c.String())
		}
	})
}
