// Package chaos runs a test cluster of real gateways under load and faults, checks its history, and shrinks the faults of a failed run
// to the fewest that still fail. marblespan-bench chaos calls Run and Write. Result.run makes one run, play its cluster; runs follow each
// other on the caller's goroutine.
package chaos

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"marblespan/internal/experiments/report"
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
	o := Options{Cluster: testcluster.Defaults(), Load: testcluster.DefaultLoad(), Seed: 1, Duration: time.Minute, Runs: 1, ShrinkRuns: 20, Progress: io.Discard}
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
		rule := r.Violations[0].Rule
		r.MinimalFaults = testcluster.Shrink(faults, o.ShrinkRuns, func(some []testcluster.Fault) bool {
			fmt.Fprintf(o.Progress, "%s: again with %d of %d faults\n", r.Name, len(some), len(faults))
			again, err := play(o, some, filepath.Join(r.Dir, "again"), quit)
			if err != nil || again.Err != nil {
				return false
			}
			for _, v := range again.Violations {
				if v.Rule == rule {
					return true
				}
			}
			return false
		})
		if err := os.WriteFile(filepath.Join(r.Dir, "fewest.script"), []byte(testcluster.FormatScript(r.MinimalFaults)), 0o644); err != nil {
			return err
		}
	}
	return r.chart()
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

// chartStep is the resolution of the chart's time axis.
const chartStep = 250 * time.Millisecond

// chart draws the responses that clients received over time, and how many faults were in force.
func (r *Result) chart() error {
	if len(r.Events) == 0 {
		return nil
	}
	outcomes := []string{testcluster.EndServed, testcluster.EndRejected, testcluster.EndFailed, "no answer"}
	chart := report.Lines{Title: "Answers a second, " + r.Name, Series: append(outcomes, "faults at work x 10")}
	last := r.Events[len(r.Events)-1].At
	steps := int(last/chartStep.Microseconds()) + 1
	chart.Values = make([][]float64, len(chart.Series))
	for i := range chart.Values {
		chart.Values[i] = make([]float64, steps)
	}
	for i := range steps {
		chart.Labels = append(chart.Labels, fmt.Sprintf("%.1f", (time.Duration(i)*chartStep).Seconds()))
	}
	startedAt := map[string]int64{}
	markFault := func(from, to int64) {
		for i := from / chartStep.Microseconds(); i <= min(to, last)/chartStep.Microseconds(); i++ {
			chart.Values[len(outcomes)][i] += 10
		}
	}
	for _, e := range r.Events {
		switch e.Kind {
		case testcluster.ResponseReceived:
			k := len(outcomes) - 1
			for i, name := range outcomes {
				if name == e.What {
					k = i
				}
			}
			chart.Values[k][min(max(e.At, 0), last)/chartStep.Microseconds()] += float64(time.Second / chartStep)
		case testcluster.FaultStarted:
			startedAt[e.What] = e.At
		case testcluster.FaultEnded:
			markFault(startedAt[e.What], e.At)
		}
	}
	chart.Note = fmt.Sprintf("%d faults, each step %v", len(r.Faults), chartStep)
	return chart.Write(filepath.Join(r.Dir, "timeline.svg"))
}

// Write writes a table with a row for each run, then the violated rules and the fewest faults that violate them.
func Write(w io.Writer, o Options, results []Result) error {
	fmt.Fprintf(w, "%d gateways, %d replicas, loopback, real processes.\n\n", o.Cluster.Nodes, o.Cluster.Replicas)
	var rows [][]string
	for _, r := range results {
		outcomes := map[string]int{}
		for _, e := range r.Events {
			if e.Kind == testcluster.ResponseReceived {
				outcomes[e.What]++
			}
		}
		verdict := "kept"
		if r.Err != nil {
			verdict = "not run: " + r.Err.Error()
		} else if len(r.Violations) > 0 {
			verdict = fmt.Sprint(len(r.Violations), " broken")
		}
		rows = append(rows, []string{
			r.Name, fmt.Sprint(len(r.Faults)), fmt.Sprint(outcomes[testcluster.EndServed]), fmt.Sprint(outcomes[testcluster.EndRejected]), fmt.Sprint(outcomes[testcluster.EndFailed]),
			fmt.Sprint(outcomes[testcluster.EndClosed] + outcomes[testcluster.EndReset] + outcomes[testcluster.EndTimeout]), r.SettleTime.Round(time.Millisecond).String(), verdict,
		})
	}
	if err := report.Table(w, []string{"run", "faults", "served", "refused", "failed", "no answer", "at rest after", "rules"}, rows); err != nil {
		return err
	}
	for _, r := range results {
		for _, v := range r.Violations {
			fmt.Fprintf(w, "%s: %v\n", r.Name, v)
		}
		if r.MinimalFaults != nil {
			fmt.Fprintf(w, "%s: the fewest faults that still fail:\n%s", r.Name, testcluster.FormatScript(r.MinimalFaults))
		}
		if r.Failed() {
			fmt.Fprintf(w, "%s: kept in %s\n", r.Name, r.Dir)
		}
	}
	return nil
}
