package indoubt

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"marblespan/internal/experiments/report"
)

// Write writes the tables to w. If dir is not empty, it also writes in-doubt.md and the chart doubt.svg there.
func Write(w io.Writer, dir string, o Options, r Result) error {
	if dir == "" {
		return r.tables(w, o)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "in-doubt.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.tables(io.MultiWriter(w, file), o); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![unacknowledged bookings under take-overs](doubt.svg)\n")
	b := report.Bars{
		Title: "Unacknowledged bookings under take-overs", Note: fmt.Sprintf("loopback, %d take-overs of each kind", o.TakeOvers),
		Series: []string{"resolved", "in doubt"}, Values: make([][]float64, 2),
	}
	for _, t := range r.TakeOvers {
		b.Labels = append(b.Labels, t.Kind+": "+strings.TrimPrefix(t.Policy, "disk, fast, and "))
		b.Values[0] = append(b.Values[0], float64(t.Resolved))
		b.Values[1] = append(b.Values[1], float64(t.InDoubt))
	}
	return b.Write(filepath.Join(dir, "doubt.svg"))
}

func (r Result) tables(w io.Writer, o Options) error {
	fmt.Fprintf(w, "# Bookings with intents that are recorded before they are sent, measured\n\nLoopback, three real gateways, three voters, a server that works 3 ms on a booking. Times in ms.\n\n"+
		"Loads of clients that book without a pause at one gateway, %v each.\n\n", o.LoadDuration)
	var rows [][]string
	for _, l := range r.Loads {
		rows = append(rows, []string{l.Policy, fmt.Sprint(l.Clients), fmt.Sprintf("%.0f", l.PerSecond), l.Durations.Cell(50), l.Durations.Cell(99), l.Durations.Cell(100)})
	}
	if err := report.Table(w, []string{"promised", "clients", "bookings per second", "median", "99 %", "longest"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nTake-overs of a floating address, eight clients that book without a pause, connections reset when the address moves. A booking is shaken if its first answer is "+
		"lost, or says that the booking may have run; if the gateways record intents, clients then retry it, marked as a retry.\n\n")
	rows = nil
	for _, t := range r.TakeOvers {
		rows = append(rows, []string{t.Kind, t.Policy, fmt.Sprint(t.Trials), fmt.Sprint(t.Bookings), fmt.Sprint(t.Unacknowledged), fmt.Sprint(t.Resolved), fmt.Sprint(t.InDoubt),
			t.ResolutionTimes.Cell(50), t.ResolutionTimes.Cell(99), t.ResolutionTimes.Cell(100), fmt.Sprint(len(t.Violations))})
	}
	return report.Table(w, []string{"kind", "promised", "take-overs", "bookings", "shaken", "resolved", "in doubt", "resolved after: median", "99 %", "longest", "violations"}, rows)
}
