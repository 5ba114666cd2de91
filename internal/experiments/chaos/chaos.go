// Package chaos runs a fleet of real gateways under load and faults, checks its history, and shrinks a run that fails to the
// fewest faults that still fail.
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

// Options say what is run.
type Options struct {
	Rig      testcluster.Options
	Load     testcluster.LoadOptions
	Script   string        // a file; empty: faults are drawn
	Seed     uint64        // of what is drawn
	For      time.Duration // length of what is drawn
	Runs     int           // with seeds that follow each other; a script is run as often
	Out      string        // a folder for histories, scripts, logs and charts; empty: what fails is kept in a temporary one
	Shrink   int           // runs spent on shrinking one that fails
	Progress io.Writer
}

// Defaults is a minute with three gateways.
func Defaults() Options {
	o := Options{Rig: testcluster.Defaults(), Load: testcluster.DefaultLoad(), Seed: 1, For: time.Minute, Runs: 1, Shrink: 20, Progress: io.Discard}
	o.Rig.Dir = ""
	return o
}

// Result is one run.
type Result struct {
	Name string
	testcluster.Outcome
	Fewest []testcluster.Fault // of a run that failed
	Kept   string              // where it is kept
}

// Run makes the runs, until quit is closed. It returns an error only if nothing could be run at all.
func Run(o Options, quit <-chan struct{}) (all []Result, err error) {
	var given []testcluster.Fault
	if o.Script != "" {
		text, err := os.ReadFile(o.Script)
		if err != nil {
			return nil, err
		}
		if given, err = testcluster.ParseScript(o.Script, string(text)); err != nil {
			return nil, err
		}
	}
	for i := range o.Runs {
		select {
		case <-quit:
			return all, nil
		default:
		}
		r, faults := Result{Name: fmt.Sprint("seed-", o.Seed+uint64(i))}, given
		if o.Script != "" {
			r.Name = fmt.Sprintf("%s-%d", strings.TrimSuffix(filepath.Base(o.Script), filepath.Ext(o.Script)), i+1)
		} else {
			faults = testcluster.DrawFaults(o.Seed+uint64(i), o.Rig.Nodes, o.Rig.Replicas, o.For)
		}
		if err := r.run(o, faults, quit); err != nil {
			return all, err
		}
		all = append(all, r)
		fmt.Fprintf(o.Progress, "%s: %d faults, %d events, %d broken\n", r.Name, len(faults), len(r.Events), len(r.Violations))
	}
	return all, nil
}

// run makes one run, keeps it if it is asked for or has failed, and shrinks it then.
func (r *Result) run(o Options, faults []testcluster.Fault, quit <-chan struct{}) (err error) {
	dir := o.Out
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chaos"); err != nil {
			return err
		}
	}
	r.Kept = filepath.Join(dir, r.Name)
	if err := os.MkdirAll(r.Kept, 0o755); err != nil {
		return err
	}
	if r.Outcome, err = play(o, faults, r.Kept, quit); err != nil {
		return err
	}
	if !r.Failed() {
		if o.Out == "" {
			r.Kept = ""
			return os.RemoveAll(dir)
		}
		return r.chart()
	}
	if o.Shrink > 0 && r.Err == nil {
		rule := r.Violations[0].Rule
		r.Fewest = testcluster.Shrink(faults, o.Shrink, func(some []testcluster.Fault) bool {
			fmt.Fprintf(o.Progress, "%s: again with %d of %d faults\n", r.Name, len(some), len(faults))
			again, err := play(o, some, filepath.Join(r.Kept, "again"), quit)
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
		if err := os.WriteFile(filepath.Join(r.Kept, "fewest.script"), []byte(testcluster.FormatScript(r.Fewest)), 0o644); err != nil {
			return err
		}
	}
	return r.chart()
}

// play makes one run whose script, history and logs are kept in a folder.
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
	o.Rig.Dir, o.Rig.History = dir, file
	return testcluster.Run(o.Rig, o.Load, faults, quit), nil
}

// step is the grain of the time line.
const step = 250 * time.Millisecond

// chart draws what clients were told over time, and the faults under it.
func (r *Result) chart() error {
	if len(r.Events) == 0 {
		return nil
	}
	ends := []string{testcluster.EndServed, testcluster.EndRejected, testcluster.EndFailed, "no answer"}
	l := report.Lines{Title: "Answers a second, " + r.Name, Series: append(ends, "faults at work x 10")}
	last := r.Events[len(r.Events)-1].At
	n := int(last/step.Microseconds()) + 1
	l.Values = make([][]float64, len(l.Series))
	for i := range l.Values {
		l.Values[i] = make([]float64, n)
	}
	for i := range n {
		l.Labels = append(l.Labels, fmt.Sprintf("%.1f", (time.Duration(i)*step).Seconds()))
	}
	begun := map[string]int64{}
	mark := func(from, to int64) {
		for i := from / step.Microseconds(); i <= min(to, last)/step.Microseconds(); i++ {
			l.Values[len(ends)][i] += 10
		}
	}
	for _, e := range r.Events {
		switch e.Kind {
		case testcluster.ResponseReceived:
			k := len(ends) - 1
			for i, name := range ends {
				if name == e.What {
					k = i
				}
			}
			l.Values[k][min(max(e.At, 0), last)/step.Microseconds()] += float64(time.Second / step)
		case testcluster.FaultStarted:
			begun[e.What] = e.At
		case testcluster.FaultEnded:
			mark(begun[e.What], e.At)
		}
	}
	l.Note = fmt.Sprintf("%d faults, each step %v", len(r.Faults), step)
	return l.Write(filepath.Join(r.Kept, "timeline.svg"))
}

// Write prints a summary: a row a run, then what was broken and by which faults.
func Write(w io.Writer, o Options, all []Result) error {
	fmt.Fprintf(w, "%d gateways, %d replicas, loopback, real processes.\n\n", o.Rig.Nodes, o.Rig.Replicas)
	var rows [][]string
	for _, r := range all {
		ends := map[string]int{}
		for _, e := range r.Events {
			if e.Kind == testcluster.ResponseReceived {
				ends[e.What]++
			}
		}
		verdict := "kept"
		if r.Err != nil {
			verdict = "not run: " + r.Err.Error()
		} else if len(r.Violations) > 0 {
			verdict = fmt.Sprint(len(r.Violations), " broken")
		}
		rows = append(rows, []string{
			r.Name, fmt.Sprint(len(r.Faults)), fmt.Sprint(ends[testcluster.EndServed]), fmt.Sprint(ends[testcluster.EndRejected]), fmt.Sprint(ends[testcluster.EndFailed]),
			fmt.Sprint(ends[testcluster.EndClosed] + ends[testcluster.EndReset] + ends[testcluster.EndTimeout]), r.SettleTime.Round(time.Millisecond).String(), verdict,
		})
	}
	if err := report.Table(w, []string{"run", "faults", "served", "refused", "failed", "no answer", "at rest after", "rules"}, rows); err != nil {
		return err
	}
	for _, r := range all {
		for _, v := range r.Violations {
			fmt.Fprintf(w, "%s: %v\n", r.Name, v)
		}
		if r.Fewest != nil {
			fmt.Fprintf(w, "%s: the fewest faults that still fail:\n%s", r.Name, testcluster.FormatScript(r.Fewest))
		}
		if r.Failed() {
			fmt.Fprintf(w, "%s: kept in %s\n", r.Name, r.Kept)
		}
	}
	return nil
}
