// Package maintenance measures maintenance runs with real gateway processes. Every machine is taken out of service and returned in the
// order that the gateways agree on; for comparison, gateways are also restarted without coordination. marblespan-bench maintenance calls
// Run and Write. Each trial (Trial.run) has a test cluster of its own and runs on the caller's goroutine; a trial with a fault injects the
// fault from a second goroutine.
package maintenance

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"marblespan/internal/testcluster"
)

// Options select what Run measures.
type Options struct {
	Binary      string
	Gateways    int
	MaxDuration time.Duration // limit for the maintenance in one trial
	FaultTrials int           // additional trials with a random fault at a random moment
	Seed        uint64
	Progress    io.Writer
}

// Defaults returns options with sizes that suit a single machine.
func Defaults() Options {
	return Options{Binary: "bin/marblespan", Gateways: 9, MaxDuration: 5 * time.Minute, FaultTrials: 5, Seed: 1, Progress: io.Discard}
}

// Trial holds the measurements of one maintenance run.
type Trial struct {
	Name          string
	Fault         string // script line of the fault; empty: none
	Duration      time.Duration
	ServedByClass map[string]int // requests served, by class
	Requests      int            // requests sent
	Outcomes      map[string]int
	InDoubt       int // bookings whose clients do not know the outcome
	Violations    []testcluster.Violation

	begin, end int64 // begin and end of the maintenance, in microseconds of the history's clock
	events     []testcluster.Event
}

// ServedShare returns the fraction of the requests that were served.
func (n Trial) ServedShare() float64 {
	return float64(n.Outcomes[testcluster.EndServed]) / float64(max(n.Requests, 1))
}

// Run makes the trials: all machines in order, only the gateways in order, the gateways without coordination, and all machines again with
// random faults. If a trial cannot be completed, Run returns the error and the earlier trials.
func Run(options Options) (trials []Trial, err error) {
	for i, planned := range plans(options) {
		trial := Trial{Name: planned.name, Fault: planned.fault}
		if err := trial.run(options, uint64(i), planned.maintain); err != nil {
			return trials, fmt.Errorf("%s %s: %w", planned.name, planned.fault, err)
		}
		fmt.Fprintf(options.Progress, "%s %s: %v, %.4f served, %d violations\n", trial.Name, trial.Fault, trial.Duration.Round(100*time.Millisecond), trial.ServedShare(), len(trial.Violations))
		trials = append(trials, trial)
	}
	return trials, nil
}

// plan describes a trial that Run makes.
type plan struct {
	name, fault string
	maintain    func(cluster *testcluster.Cluster) error
}

// plans returns the trials that Run makes.
func plans(options Options) []plan {
	servers := []string{"p", "r1", "r2", "q", "s1", "s2"}
	var gateways []string
	for i := range options.Gateways {
		gateways = append(gateways, fmt.Sprint("g", i+1))
	}
	allMachines := maintainInOrder(options, slices.Concat(gateways, servers))
	planned := []plan{
		{"all machines, in order", "", allMachines},
		{"gateways, in order", "", maintainInOrder(options, gateways)},
		{"gateways by SIGTERM, a tenth at a time", "", restartTenths},
	}
	rng := rand.New(rand.NewPCG(options.Seed, 9))
	for range options.FaultTrials {
		fault := randomFault(rng, options.Gateways)
		at := time.Duration(rng.Int64N(int64(30 * time.Second)))
		planned = append(planned, plan{"all machines, in order, and a fault", fault, maintainUnderFault(allMachines, fault, at)})
	}
	return planned
}

// maintainInOrder returns a function that orders maintenance of the machines and performs it in the order that the gateways agree on.
func maintainInOrder(options Options, machines []string) func(*testcluster.Cluster) error {
	return func(cluster *testcluster.Cluster) error {
		if _, err := cluster.RunMaintenanceAnywhere(append([]string{"add"}, machines...)...); err != nil {
			return err
		}
		return cluster.PerformMaintenance(options.MaxDuration, testcluster.MaintenanceActions{Gateway: restart(cluster)})
	}
}

// maintainUnderFault returns a function that calls maintain and meanwhile injects a fault, which begins after the duration at. The fault is
// played on a goroutine that ends with the fault; the function waits for it.
func maintainUnderFault(maintain func(*testcluster.Cluster) error, fault string, at time.Duration) func(*testcluster.Cluster) error {
	return func(cluster *testcluster.Cluster) error {
		faults, err := testcluster.ParseScript("fault", strings.Replace(fault, "at 0s", "at "+at.String(), 1))
		if err != nil {
			return err
		}
		played := make(chan error, 1)
		go func() { played <- cluster.Play(faults, nil) }()
		return errors.Join(maintain(cluster), <-played)
	}
}

// randomFault returns a random fault that begins at 0 s, as a line of the test cluster's scripts.
func randomFault(rng *rand.Rand, nodes int) string {
	n := 1 + rng.IntN(nodes)
	return [...]string{
		fmt.Sprintf("at 0s kill %d for 2s", n), fmt.Sprintf("at 0s stop %d for 4s", n), fmt.Sprintf("at 0s cut %d -> all for 3s", n),
		fmt.Sprintf("at 0s cut all -> %d for 3s", n), "at 0s loss all -> all 20% for 5s", fmt.Sprintf("at 0s starve %d 70%% for 3s", n),
		fmt.Sprintf("at 0s sever %d -> discovery for 3s", n), fmt.Sprintf("at 0s stall %d -> all for 3s", n),
	}[rng.IntN(8)]
}

// restart returns the maintenance action for a gateway: end its process by SIGTERM and start a new one.
func restart(cluster *testcluster.Cluster) func(n *testcluster.Node) error {
	return func(n *testcluster.Node) error {
		undo, err := cluster.InjectLine(fmt.Sprintf("at 0s term %d", n.Number))
		if err != nil {
			return err
		}
		n.WaitForExit()
		return undo()
	}
}

// restartTenths restarts the gateways by SIGTERM, a tenth of them at a time. It waits until all gateways are ready before the next tenth.
func restartTenths(cluster *testcluster.Cluster) error {
	size := max(len(cluster.Nodes)/10, 1)
	for some := range slices.Chunk(cluster.Nodes, size) {
		var undo []func() error
		for _, n := range some {
			end, err := cluster.InjectLine(fmt.Sprintf("at 0s term %d", n.Number))
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
		if err := cluster.AwaitReady(30 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// run makes one trial in a test cluster of its own.
func (n *Trial) run(o Options, seed uint64, maintain func(*testcluster.Cluster) error) error {
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.Nodes, clusterOptions.Groups, clusterOptions.SlowStart, clusterOptions.Seed = o.Binary, o.Gateways, 2, 2*time.Second, o.Seed+seed
	clusterOptions.StateStore, clusterOptions.InDoubt, clusterOptions.Maintenance = testcluster.DefaultStateStore(), &testcluster.InDoubt{SeatLookup: true}, testcluster.DefaultMaintenance()
	cluster, err := testcluster.New(clusterOptions)
	if err != nil {
		return err
	}
	defer cluster.Close()
	load := testcluster.DefaultLoad()
	load.SessionReaders, load.RetryInDoubt = 4, true
	running := cluster.Load(load)
	time.Sleep(2 * time.Second)
	n.begin = cluster.History.Now()
	if err := maintain(cluster); err != nil {
		return err
	}
	n.end = cluster.History.Now()
	n.Duration = time.Duration(n.end-n.begin) * time.Microsecond
	if err := cluster.Settle(4); err != nil {
		return err
	}
	running.Stop()
	running.VerifySomeSessions(10) // verifying all sessions would take longer than the trial
	cluster.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	cluster.History.End()
	n.events = cluster.History.Events()
	n.count(running)
	n.Violations = testcluster.Check(n.events)
	return nil
}

// count counts the outcomes of the requests during the maintenance from the history.
func (n *Trial) count(l *testcluster.Load) {
	n.ServedByClass, n.Outcomes = map[string]int{}, map[string]int{}
	for _, e := range n.events {
		if e.At < n.begin || e.At > n.end {
			continue
		}
		switch e.Kind {
		case testcluster.RequestSent:
			n.Requests++
		case testcluster.ResponseReceived:
			n.Outcomes[e.What]++
			if e.What == testcluster.EndServed {
				n.ServedByClass[e.Class]++
			}
		}
	}
	n.InDoubt = l.InDoubtBookings()
}
