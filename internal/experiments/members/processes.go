package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Processes are the same times with real processes on loopback, under a light load.
type Processes struct {
	Nodes, Trials int
	One, Mass     struct{ First, All *report.Spans }
	Broken        []testcluster.Violation
}

// RunProcesses kills gateways of a fleet, one at a time and then 46 % at once, and measures from the history who knows when.
func RunProcesses(binary string, nodes, trials int, seed uint64) (*Processes, error) {
	p := &Processes{Nodes: nodes, Trials: trials}
	p.One.First, p.One.All, p.Mass.First, p.Mass.All = report.NewSpans(), report.NewSpans(), report.NewSpans(), report.NewSpans()
	o := testcluster.Defaults()
	o.Binary, o.Nodes, o.Seed = binary, nodes, seed
	f, err := testcluster.New(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.AwaitMembers(time.Minute); err != nil {
		return nil, err
	}
	l := f.Load(testcluster.DefaultLoad())
	defer l.Stop()
	rng := rand.New(rand.NewPCG(seed, 3))
	for range trials {
		for _, mass := range []bool{false, true} {
			time.Sleep(time.Duration(rng.Int64N(int64(o.MembershipInterval)))) // at any moment of an interval
			victims, into := []int{1 + rng.IntN(nodes)}, &p.One
			if mass {
				victims, into = nil, &p.Mass
				for _, i := range rng.Perm(nodes)[:nodes*46/100] {
					victims = append(victims, i+1)
				}
			}
			if err := killProcesses(f, victims, into.First, into.All); err != nil {
				return nil, err
			}
		}
	}
	l.Stop()
	f.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	f.History.End()
	p.Broken = testcluster.Check(f.History.Events())
	return p, nil
}

// killProcesses makes one trial, and waits until the fleet is whole again.
func killProcesses(f *testcluster.Cluster, victims []int, first, all *report.Spans) error {
	slices.Sort(victims)
	x := testcluster.Fault{Verb: "kill", From: victims}
	from := f.History.Now()
	f.History.Add(testcluster.Event{Kind: testcluster.FaultStarted, What: x.String()})
	undo, err := f.Inject(x)
	if err != nil {
		return err
	}
	earliest, latest := int64(0), int64(0)
	err = f.History.Await("all know of the kill", time.Minute, func(events []testcluster.Event) bool {
		known := map[string]bool{}
		earliest, latest = 0, 0
		for i := len(events) - 1; i >= 0 && events[i].At > from-int64(time.Second/time.Microsecond); i-- {
			e := events[i]
			for _, v := range victims {
				if e.Kind == testcluster.StateReported && e.At >= from && e.What == fmt.Sprint("member g", v) && e.Text == "dead" && !slices.Contains(victims, e.Node) {
					known[fmt.Sprint(e.Node, " of ", v)] = true
					if latest = max(latest, e.At); earliest == 0 || e.At < earliest {
						earliest = e.At
					}
				}
			}
		}
		return len(known) == len(victims)*(len(f.Nodes)-len(victims))
	})
	if err != nil {
		return err
	}
	first.Add(earliest - from)
	all.Add(latest - from)
	if err := undo(); err != nil {
		return err
	}
	f.History.Add(testcluster.Event{Kind: testcluster.FaultEnded, What: x.String()})
	if err := f.AwaitReady(time.Minute); err != nil {
		return err
	}
	return f.AwaitMembers(time.Minute)
}

// rows are the times, a row for each kind of kill.
func (p *Processes) rows() [][]string {
	row := func(what string, first, all *report.Spans) []string {
		return []string{what, fmt.Sprint(p.Trials), first.Cell(50), first.Cell(100), all.Cell(50), all.Cell(99), all.Cell(100)}
	}
	return [][]string{row("one", p.One.First, p.One.All), row("46 %", p.Mass.First, p.Mass.All)}
}
