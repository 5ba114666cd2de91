// Package maintenance measures a night's work with real gateway processes: every machine is taken out and comes back, in the order that
// the gateways settle, beside restarts without one.
package maintenance

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Options say what is measured.
type Options struct {
	Binary   string
	Nodes    int
	Bound    time.Duration // of one night
	Faults   int           // nights with a fault at a random moment
	Seed     uint64
	Progress io.Writer
}

// Defaults are sizes that suit one machine.
func Defaults() Options {
	return Options{Binary: "bin/marblespan", Nodes: 9, Bound: 5 * time.Minute, Faults: 5, Seed: 1, Progress: io.Discard}
}

// Night is what one night came to.
type Night struct {
	Name   string
	Fault  string // empty: none
	Took   time.Duration
	Served map[string]int // by class
	Asked  int            // requests
	Ends   map[string]int
	Doubt  int // bookings whose end their clients do not know
	Broken []testcluster.Violation

	begin, end int64
	events     []testcluster.Event
}

// Share is the share of the requests that were served.
func (n Night) Share() float64 {
	return float64(n.Ends[testcluster.EndServed]) / float64(max(n.Asked, 1))
}

// Run measures the nights: all machines and the gateways alone in the order, the gateways without one, and, with faults, all machines again.
func Run(o Options) (all []Night, err error) {
	servers := []string{"p", "r1", "r2", "q", "s1", "s2"}
	var gateways []string
	for i := range o.Nodes {
		gateways = append(gateways, fmt.Sprint("g", i+1))
	}
	inOrder := func(names []string) func(*testcluster.Cluster) error {
		return func(f *testcluster.Cluster) error {
			if _, err := f.RunMaintenanceAnywhere(append([]string{"add"}, names...)...); err != nil {
				return err
			}
			return f.PerformMaintenance(o.Bound, testcluster.MaintenanceActions{Gateway: restart(f)})
		}
	}
	nights := []struct {
		name, fault string
		do          func(f *testcluster.Cluster) error
	}{
		{"all machines, in order", "", inOrder(slices.Concat(gateways, servers))},
		{"gateways, in order", "", inOrder(gateways)},
		{"gateways by SIGTERM, a tenth at a time", "", func(f *testcluster.Cluster) error { return tenths(f) }},
	}
	rng := rand.New(rand.NewPCG(o.Seed, 9))
	for range o.Faults {
		fault := drawn(rng, o.Nodes)
		nights = append(nights, nights[0])
		last := &nights[len(nights)-1]
		last.name, last.fault = "all machines, in order, and a fault", fault
		at := time.Duration(rng.Int64N(int64(30 * time.Second)))
		last.do = func(f *testcluster.Cluster) error {
			faults, err := testcluster.ParseScript("fault", strings.Replace(fault, "at 0s", "at "+at.String(), 1))
			if err != nil {
				return err
			}
			played := make(chan error, 1)
			go func() { played <- f.Play(faults, nil) }()
			return errors.Join(nights[0].do(f), <-played)
		}
	}
	for i, n := range nights {
		x := Night{Name: n.name, Fault: n.fault}
		if err := x.run(o, uint64(i), n.do); err != nil {
			return all, fmt.Errorf("%s %s: %w", n.name, n.fault, err)
		}
		fmt.Fprintf(o.Progress, "%s %s: %v, %.4f served, %d rules broken\n", x.Name, x.Fault, x.Took.Round(100*time.Millisecond), x.Share(), len(x.Broken))
		all = append(all, x)
	}
	return all, nil
}

// drawn is a fault for a night.
func drawn(rng *rand.Rand, nodes int) string {
	n := 1 + rng.IntN(nodes)
	return [...]string{
		fmt.Sprintf("at 0s kill %d for 2s", n), fmt.Sprintf("at 0s stop %d for 4s", n), fmt.Sprintf("at 0s cut %d -> all for 3s", n),
		fmt.Sprintf("at 0s cut all -> %d for 3s", n), "at 0s loss all -> all 20% for 5s", fmt.Sprintf("at 0s starve %d 70%% for 3s", n),
		fmt.Sprintf("at 0s sever %d -> discovery for 3s", n), fmt.Sprintf("at 0s stall %d -> all for 3s", n),
	}[rng.IntN(8)]
}

// restart is the work at a gateway: it is told to end, and started again.
func restart(f *testcluster.Cluster) func(n *testcluster.Node) error {
	return func(n *testcluster.Node) error {
		undo, err := f.InjectLine(fmt.Sprintf("at 0s term %d", n.Number))
		if err != nil {
			return err
		}
		n.WaitForExit()
		return undo()
	}
}

// tenths restarts gateways by SIGTERM, a tenth of them at a time, the next ones as soon as those before serve again.
func tenths(f *testcluster.Cluster) error {
	size := max(len(f.Nodes)/10, 1)
	for some := range slices.Chunk(f.Nodes, size) {
		var undo []func() error
		for _, n := range some {
			end, err := f.InjectLine(fmt.Sprintf("at 0s term %d", n.Number))
			if err != nil {
				return err
			}
			undo = append(undo, end)
		}
		for i, n := range some {
			n.WaitForExit()
			if err := undo[i](); err != nil {
				return err
			}
		}
		if err := f.AwaitReady(30 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// run makes one night.
func (n *Night) run(o Options, seed uint64, do func(*testcluster.Cluster) error) error {
	x := testcluster.Defaults()
	x.Binary, x.Nodes, x.Groups, x.SlowStart, x.Seed = o.Binary, o.Nodes, 2, 2*time.Second, o.Seed+seed
	x.StateStore, x.InDoubt, x.Maintenance = testcluster.DefaultStateStore(), &testcluster.InDoubt{SeatLookup: true}, testcluster.DefaultMaintenance()
	f, err := testcluster.New(x)
	if err != nil {
		return err
	}
	defer f.Close()
	load := testcluster.DefaultLoad()
	load.SessionReaders, load.RetryInDoubt = 4, true
	l := f.Load(load)
	time.Sleep(2 * time.Second)
	n.begin = f.History.Now()
	if err := do(f); err != nil {
		return err
	}
	n.end = f.History.Now()
	n.Took = time.Duration(n.end-n.begin) * time.Microsecond
	if err := f.Settle(4); err != nil {
		return err
	}
	l.Stop()
	l.VerifySomeSessions(10) // so many are booked that all would take longer than the night
	f.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	f.History.End()
	n.events = f.History.Events()
	n.count(l)
	n.Broken = testcluster.Check(n.events)
	return nil
}

// count reads how the night's requests ended.
func (n *Night) count(l *testcluster.Load) {
	n.Served, n.Ends = map[string]int{}, map[string]int{}
	for _, e := range n.events {
		if e.At < n.begin || e.At > n.end {
			continue
		}
		switch e.Kind {
		case testcluster.RequestSent:
			n.Asked++
		case testcluster.ResponseReceived:
			n.Ends[e.What]++
			if e.What == testcluster.EndServed {
				n.Served[e.Class]++
			}
		}
	}
	n.Doubt = l.InDoubtBookings()
}

// Write writes the table to w and, if dir is not empty, table and charts into files there.
func Write(w io.Writer, dir string, o Options, all []Night) error {
	if dir == "" {
		return table(w, o, all)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "maintain.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := table(io.MultiWriter(w, file), o, all); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![who is away, over what is served](maintain.svg)\n")
	return all[0].line().Write(filepath.Join(dir, "maintain.svg"))
}

func table(w io.Writer, o Options, all []Night) error {
	fmt.Fprintf(w, "# A night's work, measured\n\nLoopback, %d real gateways and two groups of three servers, clients that book, look and read their sessions without a pause of "+
		"more than some 15 ms, bookings claimed, sessions kept. A gateway's work is its restart by SIGTERM, a server's none; one that is back has to be well for "+
		"half a second, and a server is cold for 2 s.\n\n", o.Nodes)
	var rows [][]string
	for _, n := range all {
		rows = append(rows, []string{
			n.Name, n.Fault, fmt.Sprintf("%.1f s", n.Took.Seconds()), fmt.Sprint(n.Asked), fmt.Sprintf("%.5f", n.Share()), fmt.Sprint(n.Ends[testcluster.EndRejected]),
			fmt.Sprint(n.Ends[testcluster.EndFailed]), fmt.Sprint(n.Ends[testcluster.EndClosed] + n.Ends[testcluster.EndReset] + n.Ends[testcluster.EndTimeout]), fmt.Sprint(n.Doubt), fmt.Sprint(len(n.Broken)),
		})
	}
	return report.Table(w, []string{"night", "fault", "took", "requests", "share served", "refused", "failed", "no answer", "bookings in doubt", "rules broken"}, rows)
}

// line is who is away over what is served, second by second.
func (n Night) line() report.Lines {
	const step = 1_000_000
	steps := int((n.end-n.begin)/step) + 1
	l := report.Lines{
		Title: "A night's work: " + n.Name, Note: "loopback; served in hundreds a second",
		Series: []string{"gateways away", "servers away", "bookings", "views", "seats", "sessions"}, Values: make([][]float64, 6),
	}
	for i := range l.Values {
		l.Values[i] = make([]float64, steps)
	}
	for i := range steps {
		l.Labels = append(l.Labels, fmt.Sprintf("%ds", i))
	}
	classes := []string{testcluster.ClassBooking, testcluster.ClassView, testcluster.ClassSeat, testcluster.ClassMine}
	away := map[string]bool{}
	at := 0
	for _, e := range n.events {
		if e.At < n.begin || e.At > n.end {
			continue
		}
		for now := int((e.At - n.begin) / step); at < now; at++ {
			for name := range away {
				l.Values[kindOf(name)][at+1]++
			}
		}
		machine, ofOrder := strings.CutPrefix(e.What, "order ")
		switch {
		case e.Kind == testcluster.ResponseReceived && e.What == testcluster.EndServed:
			l.Values[2+slices.Index(classes, e.Class)][at] += 0.01
		case e.Kind == testcluster.StateReported && ofOrder:
			if delete(away, machine); slices.Contains([]string{"leaving", "out", "returning", "overdue"}, e.Text) {
				away[machine] = true
			}
		}
	}
	return l
}

// kindOf is a machine's line: servers are told with their group.
func kindOf(machine string) int {
	if strings.Contains(machine, " of group ") {
		return 1
	}
	return 0
}
