package maintenance

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Write writes the table to w. If dir is not empty, it also writes the table into maintain.md and the chart of the first trial into
// maintain.svg there.
func Write(w io.Writer, dir string, o Options, trials []Trial) error {
	if dir == "" {
		return table(w, o, trials)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "maintain.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := table(io.MultiWriter(w, file), o, trials); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![machines out of service, and requests served](maintain.svg)\n")
	return trials[0].timeline().Write(filepath.Join(dir, "maintain.svg"))
}

func table(w io.Writer, o Options, trials []Trial) error {
	fmt.Fprintf(w, "# Maintenance runs, measured\n\nLoopback, %d real gateways and two groups of three servers. Clients book, view and read their sessions with pauses of at most "+
		"about 15 ms; bookings are recorded as intents, session positions are kept. A gateway's maintenance is a restart by SIGTERM, that of a server does nothing. A machine that has "+
		"returned has to be healthy for half a second; a server's slow start takes 2 s.\n\n", o.Gateways)
	var rows [][]string
	for _, n := range trials {
		rows = append(rows, []string{
			n.Name, n.Fault, fmt.Sprintf("%.1f s", n.Duration.Seconds()), fmt.Sprint(n.Requests), fmt.Sprintf("%.5f", n.ServedShare()), fmt.Sprint(n.Outcomes[testcluster.EndRejected]),
			fmt.Sprint(n.Outcomes[testcluster.EndFailed]), fmt.Sprint(n.Outcomes[testcluster.EndClosed] + n.Outcomes[testcluster.EndReset] + n.Outcomes[testcluster.EndTimeout]), fmt.Sprint(n.InDoubt), fmt.Sprint(len(n.Violations)),
		})
	}
	return report.Table(w, []string{"night", "fault", "took", "requests", "share served", "refused", "failed", "no answer", "bookings in doubt", "violations"}, rows)
}

// timeline returns a chart with the machines out of service and the requests served in each second.
func (n Trial) timeline() report.Lines {
	const step = 1_000_000
	steps := int((n.end-n.begin)/step) + 1
	chart := report.Lines{
		Title: "Maintenance: " + n.Name, Note: "loopback; requests served in hundreds per second",
		Series: []string{"gateways out", "servers out", "bookings", "views", "seats", "sessions"}, Values: make([][]float64, 6),
	}
	for i := range chart.Values {
		chart.Values[i] = make([]float64, steps)
	}
	for i := range steps {
		chart.Labels = append(chart.Labels, fmt.Sprintf("%ds", i))
	}
	classes := []string{testcluster.ClassBooking, testcluster.ClassView, testcluster.ClassSeat, testcluster.ClassMine}
	out := map[string]bool{}
	at := 0
	for _, e := range n.events {
		if e.At < n.begin || e.At > n.end {
			continue
		}
		for now := int((e.At - n.begin) / step); at < now; at++ {
			for name := range out {
				chart.Values[seriesOf(name)][at+1]++
			}
		}
		machine, ofOrder := strings.CutPrefix(e.What, "order ")
		switch {
		case e.Kind == testcluster.ResponseReceived && e.What == testcluster.EndServed:
			chart.Values[2+slices.Index(classes, e.Class)][at] += 0.01
		case e.Kind == testcluster.StateReported && ofOrder:
			if delete(out, machine); slices.Contains([]string{"leaving", "out", "returning", "overdue"}, e.Text) {
				out[machine] = true
			}
		}
	}
	return chart
}

// seriesOf returns the index of a machine's series in the chart: 1 for a server, whose name contains its group, 0 for a gateway.
func seriesOf(machine string) int {
	if strings.Contains(machine, " of group ") {
		return 1
	}
	return 0
}
