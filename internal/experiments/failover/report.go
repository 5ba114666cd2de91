package failover

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/fake"
)

// DownInterval returns the Active_Down_Interval of the first backup (RFC 9568).
func (o Options) DownInterval() time.Duration {
	return 3*o.Interval + o.Interval*time.Duration(256-o.Priorities[1])/256
}

// Write writes the tables to w. If dir is not empty, it also writes failover.md and the chart failover.svg there.
func Write(w io.Writer, dir string, o Options, results []Result) error {
	if dir == "" {
		return table(w, o, results)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "failover.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := table(io.MultiWriter(w, file), o, results); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![take-overs](failover.svg)\n")
	return chart(filepath.Join(dir, "failover.svg"), o, results)
}

func table(w io.Writer, o Options, results []Result) error {
	fmt.Fprintf(w, "# Take-overs of a floating address\n\nLoopback, real processes, %d gateways of priorities %v, advertisements every %v: the "+
		"first backup's Active_Down_Interval is %v.\n%d clients book at the floating address with a pause of %v between bookings, and as many at the "+
		"gateways' own listeners, over\nwhich a load balancer (front) that detects a dead gateway after %v spreads them. Times in ms.\n\n",
		len(o.Priorities), o.Priorities, o.Interval, o.DownInterval(), o.Clients, o.ThinkTime, o.BalancerDetectionDelay)
	var rows, clients [][]string
	for _, r := range results {
		rows = append(rows, []string{
			r.Kind, r.Description, fmt.Sprint(r.Trials), r.NoHolder.Cell(50), r.NoHolder.Cell(90), r.NoHolder.Cell(100), r.NoHolderAfterRepair.Cell(50),
			r.NoHolderAfterRepair.Cell(100), r.TwoHolders.Cell(50), r.TwoHolders.Cell(100),
		})
		for _, c := range []struct {
			who   string
			t     fake.Totals
			gap   *report.Durations
			lost  string
			shown bool
		}{{"floating address", r.Floating, r.ClientWait, fmt.Sprint(r.Lost), true}, {"front", r.Balancer, r.BalancerClientWait, "-", r.BalancerClientWait.Millis(50) >= 0}} {
			if c.shown {
				clients = append(clients, []string{
					r.Kind, c.who, c.gap.Cell(50), c.gap.Cell(90), c.gap.Cell(100), fmt.Sprint(c.t.Counts[fake.Served]),
					fmt.Sprint(c.t.Rejections), fmt.Sprint(c.t.FailedConnects), fmt.Sprint(c.t.Counts[fake.Failed]),
					fmt.Sprint(c.t.Counts[fake.Unknown]), c.lost, fmt.Sprint(len(r.Violations)),
				})
			}
		}
	}
	if err := report.Table(w, []string{
		"kind", "what", "trials", "no gateway active: median", "90 %", "longest", "after the repair: median", "longest", "two gateways active: median", "longest",
	}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nWhat clients saw: the longest wait of any client for its next booking, and the outcomes of the bookings. In doubt: the connection "+
		"ended\nwithout an answer. Lost: a reachable gateway ended it in this way. Twice: bookings that ran twice, or answers that were false.\n\n")
	return report.Table(w, []string{
		"kind", "clients of", "wait: median", "90 %", "longest", "served", "refusals", "failed connects", "failed", "in doubt", "lost", "twice",
	}, clients)
}

func chart(path string, o Options, results []Result) error {
	b := report.Bars{
		Title: "Waits when the holder of the address fails, ms (median)", Note: fmt.Sprintf("advertisements every %v, %d trials of each kind", o.Interval, o.Trials),
		Series: []string{"no gateway active", "client of the floating address", "client of a load balancer"}, Values: make([][]float64, 3),
	}
	for _, r := range results {
		b.Labels = append(b.Labels, r.Kind)
		for i, s := range []*report.Durations{r.NoHolder, r.ClientWait, r.BalancerClientWait} {
			b.Values[i] = append(b.Values[i], max(s.Millis(50), 0))
		}
	}
	return b.Write(path)
}
