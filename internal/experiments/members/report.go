package members

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"marblespan/internal/experiments/report"
)

// Write writes the tables to w, including the table of real processes if real is not nil. If dir is not empty, it also writes members.md
// and the chart members.svg there.
func Write(w io.Writer, dir string, o Options, results []Result, real *Processes) error {
	if dir == "" {
		return tables(w, o, results, real)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "members.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := tables(io.MultiWriter(w, file), o, results, real); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![detection of kills](members.svg)\n")
	b := report.Bars{
		Title: "From a kill until all members have detected it, ms", Note: fmt.Sprintf("simulated, %d members, interval %d ms", o.Members, o.Interval/1000),
		Series: []string{"one, median", "one, 99 %", "46 %, median"}, Values: make([][]float64, 3),
	}
	for _, r := range results {
		b.Labels = append(b.Labels, r.Detector)
		for i, v := range []float64{r.CompleteDetection.Millis(50), r.CompleteDetection.Millis(99), r.MassCompleteDetection.Millis(50)} {
			b.Values[i] = append(b.Values[i], max(v, 0))
		}
	}
	return b.Write(filepath.Join(dir, "members.svg"))
}

func tables(w io.Writer, options Options, results []Result, real *Processes) error {
	if err := detectionTable(w, options, results); err != nil {
		return err
	}
	if err := falseDeathTable(w, results); err != nil {
		return err
	}
	if err := trafficTable(w, options, results); err != nil || real == nil {
		return err
	}
	return real.table(w)
}

func detectionTable(w io.Writer, options Options, results []Result) error {
	fmt.Fprintf(w, "# Failure detectors compared\n\nSimulated, seed %d: %d members, interval %d ms, datagrams take 0.2 to 1 ms; heartbeats go to all members once per "+
		"interval and time out\nafter %d ms. Times in ms. %d kills of one member, %d of 46 %%.\n\n", options.Seed, options.Members, options.Interval/1000, options.HeartbeatTimeout/1000, options.Kills, options.MassFailures)
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{
			r.Detector, r.FirstDetection.Cell(50), r.FirstDetection.Cell(99), r.FirstDetection.Cell(100),
			r.CompleteDetection.Cell(50), r.CompleteDetection.Cell(99), r.CompleteDetection.Cell(100),
			r.MassFirstDetection.Cell(50), r.MassCompleteDetection.Cell(50), r.MassCompleteDetection.Cell(100), fmt.Sprint(r.UndetectedKills),
		})
	}
	return report.Table(w, []string{
		"kind", "one killed, first detection: median", "99 %", "longest", "detected by all: median", "99 %", "longest", "46 % killed, first detection: median",
		"detected by all: median", "longest", "not detected in 30 s",
	}, rows)
}

func falseDeathTable(w io.Writer, results []Result) error {
	fmt.Fprintf(w, "\nFalse deaths: how often a member declared a running member dead, in the given seconds of each fault.\n\n")
	head := []string{"kind", "seconds"}
	for _, injected := range faults {
		head = append(head, injected.name)
	}
	var rows [][]string
	for _, r := range results {
		row := []string{r.Detector, fmt.Sprint(r.FaultDuration / Second)}
		for _, n := range r.FalseDeaths {
			row = append(row, fmt.Sprint(n))
		}
		rows = append(rows, row)
	}
	return report.Table(w, head, rows)
}

func trafficTable(w io.Writer, options Options, results []Result) error {
	fmt.Fprintf(w, "\nBytes that a member sends per second without faults, with trailer and signature.\n\n")
	head := []string{"kind"}
	for _, n := range options.IdleMembers {
		head = append(head, fmt.Sprint(n, " members"))
	}
	var rows [][]string
	for _, r := range results {
		row := []string{r.Detector}
		for _, n := range r.IdleBytesPerSecond {
			row = append(row, fmt.Sprint(n))
		}
		rows = append(rows, row)
	}
	return report.Table(w, head, rows)
}

func (p *Processes) table(w io.Writer) error {
	fmt.Fprintf(w, "\nLoopback, %d real processes under a light load, interval 200 ms: times from SIGKILL in ms, taken from the gateways' own logs. Violations: %d.\n\n",
		p.Nodes, len(p.Violations))
	return report.Table(w, []string{
		"killed", "trials", "first detection: median", "longest", "detected by all: median", "99 %", "longest",
	}, p.rows())
}
