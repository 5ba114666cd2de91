package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marblespan/internal/lab/failover"
	"marblespan/internal/standin"
)

// Real processes: the holder is killed, told to stop, frozen, cut off and split off under load. Nothing is lost, nothing
// runs twice, and the table and chart are written.
func TestFailover(t *testing.T) {
	dir := t.TempDir()
	o := failover.Defaults()
	o.Binary, o.Trials, o.Interval, o.Notice, o.Clients = filepath.Join(dir, "marblespan"), 1, 60*time.Millisecond, 400*time.Millisecond, 4
	if out, err := exec.Command("go", "build", "-o", o.Binary, "../marblespan").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	results, err := failover.Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Trials != 1 || r.Lost > 0 || len(r.Faults) > 0 || r.Floating.Counts[standin.Served] == 0 || r.Runs == 0 {
			t.Errorf("%+v", r)
		}
		if r.Kind != "cut" && r.Kind != "split" && r.Front.Counts[standin.Served] == 0 {
			t.Errorf("%s: nobody is served behind the front", r.Kind)
		}
	}
	var b strings.Builder
	if err := failover.Write(&b, filepath.Join(dir, "out"), o, results); err != nil || strings.Count(b.String(), "| frozen |") != 3 {
		t.Errorf("%v\n%s", err, &b)
	}
	svg, err := os.ReadFile(filepath.Join(dir, "out", "failover.svg"))
	if err != nil || !strings.Contains(string(svg), "nobody active") {
		t.Errorf("the chart: %v, %d bytes", err, len(svg))
	}
}
