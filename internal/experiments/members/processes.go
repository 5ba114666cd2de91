package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Processes holds the detection times of real gateway processes on loopback under a light load.
type Processes struct {
	Nodes, Trials int
	One, Mass     struct{ First, All *report.Durations }
	Violations    []testcluster.Violation
}

// RunProcesses kills gateways of a test cluster: in each trial first one gateway, then 46 % of them at once. It takes the detection times
// from the cluster's history.
func RunProcesses(binary string, nodes, trials int, seed uint64) (*Processes, error) {
	measured := &Processes{Nodes: nodes, Trials: trials}
	measured.One.First, measured.One.All, measured.Mass.First, measured.Mass.All = report.NewDurations(), report.NewDurations(), report.NewDurations(), report.NewDurations()
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.Nodes, clusterOptions.Seed = binary, nodes, seed
	cluster, err := testcluster.New(clusterOptions)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	if err := cluster.AwaitMembers(time.Minute); err != nil {
		return nil, err
	}
	load := cluster.Load(testcluster.DefaultLoad())
	defer load.Stop()
	rng := rand.New(rand.NewPCG(seed, 3))
	for range trials {
		for _, mass := range []bool{false, true} {
			time.Sleep(time.Duration(rng.Int64N(int64(clusterOptions.MembershipInterval)))) // so that the kill happens at a random moment of a probe interval
			victims, times := []int{1 + rng.IntN(nodes)}, &measured.One
			if mass {
				victims, times = nil, &measured.Mass
				for _, i := range rng.Perm(nodes)[:nodes*46/100] {
					victims = append(victims, i+1)
				}
			}
			if err := killProcesses(cluster, victims, times.First, times.All); err != nil {
				return nil, err
			}
		}
	}
	load.Stop()
	cluster.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	cluster.History.End()
	measured.Violations = testcluster.Check(cluster.History.Events())
	return measured, nil
}

// killProcesses kills the victims. It records the time until the first survivor has reported a victim dead, and the time until all
// survivors have reported all victims dead. It then restarts the victims and waits until all gateways are ready and know each other.
func killProcesses(cluster *testcluster.Cluster, victims []int, first, all *report.Durations) error {
	slices.Sort(victims)
	fault := testcluster.Fault{Verb: "kill", From: victims}
	from := cluster.History.Now()
	cluster.History.Add(testcluster.Event{Kind: testcluster.FaultStarted, What: fault.String()})
	undo, err := cluster.Inject(fault)
	if err != nil {
		return err
	}
	earliest, latest := int64(0), int64(0)
	err = cluster.History.Await("all survivors have reported all killed gateways dead", time.Minute, func(events []testcluster.Event) bool {
		var detections int
		detections, earliest, latest = countDetections(events, victims, from)
		return detections == len(victims)*(len(cluster.Nodes)-len(victims))
	})
	if err != nil {
		return err
	}
	first.Add(earliest - from)
	all.Add(latest - from)
	if err := undo(); err != nil {
		return err
	}
	cluster.History.Add(testcluster.Event{Kind: testcluster.FaultEnded, What: fault.String()})
	if err := cluster.AwaitReady(time.Minute); err != nil {
		return err
	}
	return cluster.AwaitMembers(time.Minute)
}

// countDetections counts the pairs of a survivor and a victim in which the survivor has reported the victim dead at or after the
// time from. It also returns the times of the first and the last report. All times are in microseconds since the history began.
func countDetections(events []testcluster.Event, victims []int, from int64) (detections int, earliest, latest int64) {
	type detection struct{ survivor, victim int }
	reported := map[detection]bool{}
	for i := len(events) - 1; i >= 0 && events[i].At > from-historyDisorder; i-- {
		e := events[i]
		if e.Kind != testcluster.StateReported || e.Text != "dead" || e.At < from || slices.Contains(victims, e.Node) {
			continue
		}
		for _, victim := range victims {
			if e.What != fmt.Sprint("member g", victim) {
				continue
			}
			reported[detection{e.Node, victim}] = true
			if latest = max(latest, e.At); earliest == 0 || e.At < earliest {
				earliest = e.At
			}
		}
	}
	return len(reported), earliest, latest
}

// historyDisorder limits, in microseconds, how much earlier an event in the history may be than the event before it.
const historyDisorder = int64(time.Second / time.Microsecond)

// rows returns a table row for single kills and a table row for mass kills.
func (p *Processes) rows() [][]string {
	row := func(what string, first, all *report.Durations) []string {
		return []string{what, fmt.Sprint(p.Trials), first.Cell(50), first.Cell(100), all.Cell(50), all.Cell(99), all.Cell(100)}
	}
	return [][]string{row("one", p.One.First, p.One.All), row("46 %", p.Mass.First, p.Mass.All)}
}
