package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marblespan/internal/cli"
	"marblespan/internal/experiments/chaos"
	"marblespan/internal/experiments/demo"
	"marblespan/internal/experiments/failover"
	"marblespan/internal/experiments/members"
	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// crashAfterVariable is an environment variable with a duration. If it is set, the test's own binary runs as a gateway that exits with
// status 3 after that duration.
const crashAfterVariable = "MARBLESPAN_BENCH_TEST_CRASH_AFTER"

// binary is the path of the gateway's binary, which TestMain builds once for all tests.
var binary string

func TestMain(m *testing.M) {
	if after, err := time.ParseDuration(os.Getenv(crashAfterVariable)); err == nil {
		time.AfterFunc(after, func() { os.Exit(3) })
		os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
	}
	dir, err := os.MkdirTemp("", "marblespan-bench")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "marblespan")
	if out, err := exec.Command("go", "build", "-o", binary, "../marblespan").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestChaos checks that a script is played, that its history is written, and that the history, read back, violates no rule either.
func TestChaos(t *testing.T) {
	o := chaos.Defaults()
	o.Cluster.Binary, o.OutputDir, o.Script = binary, t.TempDir(), filepath.Join(t.TempDir(), "two.script")
	if err := os.WriteFile(o.Script, []byte("at 200ms kill 1 for 300ms\nat 300ms cut 2 <-> 3 for 500ms\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	all, err := chaos.Run(o, nil)
	if err != nil || len(all) != 1 || all[0].Failed() {
		t.Fatalf("%v %v", err, all[0].Violations)
	}
	raw, err := os.ReadFile(filepath.Join(all[0].Dir, "history.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	events, err := testcluster.ReadHistory(bytes.NewReader(raw))
	if err != nil || len(events) != len(all[0].Events) || len(testcluster.Check(events)) > 0 {
		t.Errorf("%v, %d events of %d, %v", err, len(events), len(all[0].Events), testcluster.Check(events))
	}
	svg, err := os.ReadFile(filepath.Join(all[0].Dir, "timeline.svg"))
	if err != nil || !strings.Contains(string(svg), "Answers per second, two-1") {
		t.Errorf("the chart: %v, %d bytes", err, len(svg))
	}
	var b strings.Builder
	if err := chaos.Write(&b, o, all); err != nil || !strings.Contains(b.String(), "| two-1 | 2 ") || !strings.Contains(b.String(), "| kept ") {
		t.Errorf("%v\n%s", err, &b)
	}
}

// TestChaosFindsACrash checks that a run fails if gateways exit without a fault, that shrinking removes the faults, which are not the
// cause, and that the files of the run are kept.
func TestChaosFindsACrash(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(crashAfterVariable, "1s")
	o := chaos.Defaults()
	o.Cluster.Binary, o.Cluster.Nodes, o.OutputDir, o.Script = self, 2, t.TempDir(), filepath.Join(t.TempDir(), "calm.script")
	if err := os.WriteFile(o.Script, []byte("at 100ms cut 1 -> 2 for 100ms\nat 1500ms reorder 1 -> 2 for 100ms\nat 1600ms reset 1 -> 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	all, err := chaos.Run(o, nil)
	if err != nil || len(all) != 1 || len(all[0].Violations) == 0 || all[0].Violations[0].Rule != "crashes" {
		t.Fatalf("%v %v", err, all[0].Violations)
	}
	fewest, err := os.ReadFile(filepath.Join(all[0].Dir, "fewest.script"))
	if err != nil || strings.Count(string(fewest), "\n") > 1 { // one fault may be left, because it makes the run last until the crash
		t.Errorf("%v, remaining faults: %s", err, fewest)
	}
	var b strings.Builder
	if err := chaos.Write(&b, o, all); err != nil || !strings.Contains(b.String(), "ended with exit status 3") {
		t.Errorf("%v\n%s", err, &b)
	}
}

// TestDemo checks that the demo prints how to connect, and then which gateway serves.
func TestDemo(t *testing.T) {
	o := testcluster.Defaults()
	o.Binary = binary
	var b strings.Builder
	if err := demo.Run(o, "split", time.Second, &b, nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`psql "host=127.0.0.1 port=`, "c=view,d=900,cluster=7", "  1s", "*gateway 1: ", " served", " p, "} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, &b)
		}
	}
	if err := demo.Run(o, "flood", 0, &b, nil); err == nil || !strings.Contains(err.Error(), "cut, kill, split, stop") {
		t.Error(err)
	}
}

// TestMembersOfRealProcesses checks that RunProcesses measures detection times when real processes are killed.
func TestMembersOfRealProcesses(t *testing.T) {
	p, err := members.RunProcesses(binary, 5, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []float64{p.One.First.Millis(50), p.Mass.First.Millis(50)} {
		if s < 500 {
			t.Errorf("a killed gateway was detected after %.0f ms, want 500 ms at least", s)
		}
	}
	if p.One.All.Millis(50) < p.One.First.Millis(50) || len(p.Violations) > 0 {
		t.Errorf("%+v", p)
	}
}

// TestFailover runs each kind of fault against real processes under load. It checks that no request is lost or executed twice, and that
// the tables and the chart are written.
func TestFailover(t *testing.T) {
	dir := t.TempDir()
	o := failover.Defaults()
	o.Binary, o.Trials, o.Interval, o.BalancerDetectionDelay, o.Clients = binary, 1, 120*time.Millisecond, 600*time.Millisecond, 4
	results, err := failover.Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Trials != 1 || r.Lost > 0 || len(r.Violations) > 0 || r.Floating.Counts[fake.Served] == 0 || r.Executions == 0 {
			t.Errorf("%+v", r)
		}
		if r.Kind != "cut" && r.Kind != "split" && r.Balancer.Counts[fake.Served] == 0 {
			t.Errorf("%s: no client of the load balancer was served", r.Kind)
		}
	}
	var b strings.Builder
	if err := failover.Write(&b, filepath.Join(dir, "out"), o, results); err != nil || strings.Count(b.String(), "| frozen |") != 3 {
		t.Errorf("%v\n%s", err, &b)
	}
	svg, err := os.ReadFile(filepath.Join(dir, "out", "failover.svg"))
	if err != nil || !strings.Contains(string(svg), "no gateway active") {
		t.Errorf("the chart: %v, %d bytes", err, len(svg))
	}
}

// TestFormerNames checks that sub-commands and flags are still accepted under their former names.
func TestFormerNames(t *testing.T) {
	for former, want := range map[string]string{"copies": "state-store", "doubt": "in-doubt", "maintain": "maintenance"} {
		t.Run(former, func(t *testing.T) {
			for _, name := range []string{former, want} {
				if cmd, _, err := rootCommand().Find([]string{name}); err != nil || cmd.Name() != want {
					t.Errorf("sub-command %q: found %v, %v, want %s", name, cmd, err, want)
				}
			}
		})
	}
	t.Run("chaos --copies", func(t *testing.T) {
		var warning strings.Builder
		flags := chaosCommand().Flags()
		flags.SetOutput(&warning)
		if err := flags.Parse([]string{"--copies"}); err != nil {
			t.Fatal(err)
		}
		if on, err := flags.GetBool("state-store"); err != nil || !on {
			t.Errorf("--copies sets --state-store to %v, %v, want true", on, err)
		}
		if !strings.Contains(warning.String(), "use --state-store") {
			t.Errorf("the warning does not name the new flag: %q", &warning)
		}
	})
}
