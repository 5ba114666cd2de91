package chaos

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// chartStep is the length of a step on the chart's time axis.
const chartStep = 250 * time.Millisecond

// chart draws the responses that clients received over time, and how many faults were active.
func (r *Result) chart() error {
	if len(r.Events) == 0 {
		return nil
	}
	outcomes := []string{testcluster.EndServed, testcluster.EndRejected, testcluster.EndFailed, "no answer"}
	chart := report.Lines{Title: "Answers per second, " + r.Name, Series: append(outcomes, "active faults x 10")}
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
	chart.Note = fmt.Sprintf("%d faults, steps of %v", len(r.Faults), chartStep)
	return chart.Write(filepath.Join(r.Dir, "timeline.svg"))
}

// Write writes a table with a row for each run. After the table it writes, for each run, the violations, the fewest faults with which the
// run still failed, and the directory of the run's files.
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
			verdict = fmt.Sprint(len(r.Violations), " violated")
		}
		rows = append(rows, []string{
			r.Name, fmt.Sprint(len(r.Faults)), fmt.Sprint(outcomes[testcluster.EndServed]), fmt.Sprint(outcomes[testcluster.EndRejected]), fmt.Sprint(outcomes[testcluster.EndFailed]),
			fmt.Sprint(outcomes[testcluster.EndClosed] + outcomes[testcluster.EndReset] + outcomes[testcluster.EndTimeout]), r.SettleTime.Round(time.Millisecond).String(), verdict,
		})
	}
	if err := report.Table(w, []string{"run", "faults", "served", "refused", "failed", "no answer", "settled after", "rules"}, rows); err != nil {
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
			fmt.Fprintf(w, "%s: files kept in %s\n", r.Name, r.Dir)
		}
	}
	return nil
}
