// Package chaos runs a test cluster of real gateways under load and faults, checks its history, and shrinks the faults of a failed run
// to the fewest that still fail. marblespan-bench chaos calls Run and Write. Result.run makes one run, play its cluster; runs follow each
// other on the caller's goroutine.
package chaos

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marblespan/internal/testcluster"
)

// Options select what Run runs.
type Options struct {
	Cluster    testcluster.Options
	Load       testcluster.LoadOptions
	Script     string        // file of a fault script; empty: random faults
	Seed       uint64        // of the random faults of the first run
	Duration   time.Duration // length of a run with random faults
	Runs       int           // number of runs, with consecutive seeds or the same script
	OutputDir  string        // directory for histories, scripts, logs and charts; empty: only failed runs are kept, in a temporary one
	ShrinkRuns int           // maximum of runs to shrink a failed one; 0: no shrinking
	Progress   io.Writer
}

// Defaults returns the options for one run of a minute with three gateways.
func Defaults() Options {
	load := testcluster.DefaultLoad()
	load.QuoteReaders = 2
	o := Options{Cluster: testcluster.Defaults(), Load: load, Seed: 1, Duration: time.Minute, Runs: 1, ShrinkRuns: 20, Progress: io.Discard}
	o.Cluster.Dir = ""
	return o
}

// Result is the outcome of one run.
type Result struct {
	Name string
	testcluster.Outcome
	MinimalFaults []testcluster.Fault // the fewest that still fail; nil unless the run failed and was shrunk
	Dir           string              // directory of the run's files; empty: not kept
}

// Run makes the runs, until quit is closed. A run that fails is a Result, not an error; with an error it returns the runs before it.
func Run(options Options, quit <-chan struct{}) (results []Result, err error) {
	var scripted []testcluster.Fault
	if options.Script != "" {
		text, err := os.ReadFile(options.Script)
		if err != nil {
			return nil, err
		}
		if scripted, err = testcluster.ParseScript(options.Script, string(text)); err != nil {
			return nil, err
		}
	}
	for i := range options.Runs {
		select {
		case <-quit:
			return results, nil
		default:
		}
		r, faults := Result{Name: fmt.Sprint("seed-", options.Seed+uint64(i))}, scripted
		if options.Script != "" {
			r.Name = fmt.Sprintf("%s-%d", strings.TrimSuffix(filepath.Base(options.Script), filepath.Ext(options.Script)), i+1)
		} else {
			faults = testcluster.DrawFaults(options.Seed+uint64(i), options.Cluster.Nodes, options.Cluster.Replicas, options.Duration)
		}
		if err := r.run(options, faults, quit); err != nil {
			return results, err
		}
		results = append(results, r)
		fmt.Fprintf(options.Progress, "%s: %d faults, %d events, %d broken\n", r.Name, len(faults), len(r.Events), len(r.Violations))
	}
	return results, nil
}

// run makes one run, keeps its files if OutputDir is set or it failed, and shrinks its faults if it failed.
func (r *Result) run(o Options, faults []testcluster.Fault, quit <-chan struct{}) (err error) {
	dir := o.OutputDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chaos"); err != nil {
			return err
		}
	}
	r.Dir = filepath.Join(dir, r.Name)
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return err
	}
	if r.Outcome, err = play(o, faults, r.Dir, quit); err != nil {
		return err
	}
	if !r.Failed() {
		if o.OutputDir == "" {
			r.Dir = ""
			return os.RemoveAll(dir)
		}
		return r.chart()
	}
	if o.ShrinkRuns > 0 && r.Err == nil {
		if err := r.shrink(o, faults, quit); err != nil {
			return err
		}
	}
	return r.chart()
}

// shrink looks for the fewest faults with which a run still violates the first rule that this one has violated, and writes them into
// the file fewest.script.
func (r *Result) shrink(o Options, faults []testcluster.Fault, quit <-chan struct{}) error {
	rule := r.Violations[0].Rule
	stillFails := func(some []testcluster.Fault) bool {
		fmt.Fprintf(o.Progress, "%s: again with %d of %d faults\n", r.Name, len(some), len(faults))
		again, err := play(o, some, filepath.Join(r.Dir, "again"), quit)
		if err != nil || again.Err != nil {
			return false
		}
		return slices.ContainsFunc(again.Violations, func(v testcluster.Violation) bool { return v.Rule == rule })
	}
	r.MinimalFaults = testcluster.Shrink(faults, o.ShrinkRuns, stillFails)
	return os.WriteFile(filepath.Join(r.Dir, "fewest.script"), []byte(testcluster.FormatScript(r.MinimalFaults)), 0o644)
}

// play makes one run and writes its script, history and logs into an emptied directory.
func play(o Options, faults []testcluster.Fault, dir string, quit <-chan struct{}) (testcluster.Outcome, error) {
	if err := os.RemoveAll(dir); err != nil {
		return testcluster.Outcome{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return testcluster.Outcome{}, err
	}
	if err := os.WriteFile(filepath.Join(dir, "script"), []byte(testcluster.FormatScript(faults)), 0o644); err != nil {
		return testcluster.Outcome{}, err
	}
	file, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return testcluster.Outcome{}, err
	}
	defer file.Close()
	o.Cluster.Dir, o.Cluster.History = dir, file
	return testcluster.Run(o.Cluster, o.Load, faults, quit), nil
}
