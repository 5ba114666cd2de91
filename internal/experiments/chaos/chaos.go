// Package chaos runs a test cluster of real gateways under load and faults, and checks its history. It shrinks the faults of a failed
// run to the fewest faults with which a run still fails. marblespan-bench chaos calls Run and Write. Result.run makes one run; it calls
// play, which runs the cluster. Runs are made one after the other on the caller's goroutine.
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

// Options select the runs that Run makes.
type Options struct {
	Cluster    testcluster.Options
	Load       testcluster.LoadOptions
	Script     string        // path of a fault script; empty: random faults
	Seed       uint64        // seed of the random faults of the first run; each further run uses the next seed
	Duration   time.Duration // length of a run with random faults
	Runs       int           // number of runs, with consecutive seeds or the same script
	OutputDir  string        // directory for histories, scripts, logs and charts; empty: only the files of failed runs are kept, in a temporary directory
	ShrinkRuns int           // maximum number of runs that are made to shrink the faults of a failed run; 0: no shrinking
	Progress   io.Writer
}

// Defaults returns options for one run of one minute with random faults and three gateways.
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
	MinimalFaults []testcluster.Fault // the fewest faults with which the run still fails; nil unless the run failed and its faults were shrunk
	Dir           string              // directory of the run's files; empty if they were not kept
}

// Run makes the runs one after the other until all are done or quit is closed. A run that fails is reported by its Result, not as an
// error. If Run returns an error, it also returns the results of the earlier runs.
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
		fmt.Fprintf(options.Progress, "%s: %d faults, %d events, %d violations\n", r.Name, len(faults), len(r.Events), len(r.Violations))
	}
	return results, nil
}

// run makes one run. It keeps the files if OutputDir is set or the run failed, and shrinks the faults of a failed run.
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

// shrink searches for the fewest faults with which a run still violates the first rule that this run violated, and writes them into the
// file fewest.script.
func (r *Result) shrink(o Options, faults []testcluster.Fault, quit <-chan struct{}) error {
	rule := r.Violations[0].Rule
	stillFails := func(some []testcluster.Fault) bool {
		fmt.Fprintf(o.Progress, "%s: running again with %d of %d faults\n", r.Name, len(some), len(faults))
		again, err := play(o, some, filepath.Join(r.Dir, "again"), quit)
		if err != nil || again.Err != nil {
			return false
		}
		return slices.ContainsFunc(again.Violations, func(v testcluster.Violation) bool { return v.Rule == rule })
	}
	r.MinimalFaults = testcluster.Shrink(faults, o.ShrinkRuns, stillFails)
	return os.WriteFile(filepath.Join(r.Dir, "fewest.script"), []byte(testcluster.FormatScript(r.MinimalFaults)), 0o644)
}

// play empties the directory, runs a cluster with the faults, and writes the script, the history and the logs into the directory.
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
