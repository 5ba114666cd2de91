package statestore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"marblespan/internal/experiments/report"
)

// Names of the files that Write creates.
const (
	tablesFile = "state-store.md"
	chartFile  = "state-store.svg"
)

// Write writes the tables to w. If dir is not empty, it also writes the tables and a chart into files there.
func Write(w io.Writer, dir string, o Options, r Result) error {
	if dir == "" {
		return r.writeTables(w, o)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, tablesFile))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.writeTables(io.MultiWriter(w, file), o); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![writes per second](%s)\n", chartFile)
	return r.chart(o).Write(filepath.Join(dir, chartFile))
}

// chart returns a bar chart of the rates of the loads with many callers.
func (r Result) chart(o Options) report.Bars {
	b := report.Bars{
		Title: "Writes per second", Note: fmt.Sprintf("loopback, one process, %d callers", o.Callers), Series: []string{storageKind(false), storageKind(true)},
		Values: make([][]float64, 2),
	}
	for _, l := range r.Loads {
		switch {
		case l.Callers == 1:
		case l.Disk:
			b.Values[1] = append(b.Values[1], l.Rate)
		default:
			b.Labels = append(b.Labels, fmt.Sprintf("%d voters, %d shards", l.Voters, l.Shards))
			b.Values[0] = append(b.Values[0], l.Rate)
		}
	}
	return b
}

func storageKind(disk bool) string {
	if disk {
		return "disk"
	}
	return "memory"
}

// writeTables writes all tables and the text between them.
func (r Result) writeTables(w io.Writer, o Options) error {
	fmt.Fprintf(w, "# The state store, measured\n\nLoopback. Nodes with their streams and storage files in one process, except in the last table. Times in ms.\n\n"+
		"Writes, %v each; the baseline is one voter: a gateway that writes only to its own file.\n\n", o.LoadDuration)
	if err := r.writeLoads(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nOne of five gateways lost permanently, three voters, 16 shards, under a load of %d callers: from the first replacement of a member until no voter is missing.\n\n",
		backgroundCallers)
	if err := r.writeRepairs(w); err != nil {
		return err
	}
	r.writeIdle(w)
	r.writeStartup(w)
	fmt.Fprintf(w, "Five real gateways, 16 shards, heartbeats every 100 ms: from the fault of a leader until its shards have another leader, taken from the gateways' logs.\n\n")
	return r.writeFailovers(w)
}

func (r Result) writeLoads(w io.Writer) error {
	var rows [][]string
	for _, l := range r.Loads {
		rows = append(rows, []string{storageKind(l.Disk), fmt.Sprint(l.Voters), fmt.Sprint(l.Shards), fmt.Sprint(l.Callers), fmt.Sprintf("%.0f", l.Rate),
			l.Latency.Cell(50), l.Latency.Cell(99), l.Latency.Cell(100), fmt.Sprint(l.Failed)})
	}
	return report.Table(w, []string{"where", "voters", "shards", "callers", "per second", "median", "99 %", "longest", "failed"}, rows)
}

func (r Result) writeRepairs(w io.Writer) error {
	var rows [][]string
	for _, x := range r.Repairs {
		rows = append(rows, []string{storageKind(x.Disk), fmt.Sprint(x.Records), fmt.Sprintf("%.1f s", x.Duration.Seconds()), x.Before.Cell(50), x.Before.Cell(99),
			x.After.Cell(50), x.After.Cell(99), x.After.Cell(100), fmt.Sprint(x.Failed)})
	}
	return report.Table(w, []string{"where", "records", "repaired in", "writes before: median", "99 %", "writes after the loss: median", "99 %", "longest", "failed"}, rows)
}

func (r Result) writeIdle(w io.Writer) {
	var parts []string
	for _, x := range r.Idle {
		parts = append(parts, fmt.Sprintf("%d bytes a second and gateway with %d gateways", x.BytesPerSecond, x.Gateways))
	}
	fmt.Fprintf(w, "\nWithout writes, three voters of 16 shards: %s.\n\n", strings.Join(parts, ", "))
}

func (r Result) writeStartup(w io.Writer) {
	s, records := r.Startup, int64(r.Startup.Records)
	if records == 0 {
		return
	}
	fmt.Fprintf(w, "A start with %d records in %d shards: %.2f s to read the file, %.2f s to create the members of the groups. A record takes %d bytes on the disk, "+
		"%d in memory, and counts as %d.\n\n", records, startupShards, s.OpenTime.Seconds(), s.HostTime.Seconds(), s.DiskBytes/records,
		s.HeapBytes/records, s.CountedBytes/records)
}

func (r Result) writeFailovers(w io.Writer) error {
	var rows [][]string
	for _, x := range r.Failovers {
		rows = append(rows, []string{signalOf[x.Fault], fmt.Sprint(x.Shards), x.Downtime.Cell(50), x.Downtime.Cell(99), x.Downtime.Cell(100)})
	}
	return report.Table(w, []string{"fault", "shards", "median", "99 %", "longest"}, rows)
}
