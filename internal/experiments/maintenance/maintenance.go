// Package maintenance measures maintenance runs with real gateway processes: every machine is taken out of service and returned in the
// order that the gateways agree on, beside restarts without coordination. marblespan-bench maintenance calls Run and Write. Each trial
// (Trial.run) has a test cluster of its own and runs on the caller's goroutine; trials with a fault play it on a second one.
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
	MaxDuration time.Duration // of the maintenance in one trial
	FaultTrials int           // additional trials with a random fault at a random moment
	Seed        uint64
	Progress    io.Writer
}

// Defaults returns sizes that suit one machine.
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
	InDoubt       int // bookings whose outcome their clients do not know
	Violations    []testcluster.Violation

	begin, end int64
	events     []testcluster.Event
}

// ServedShare is the fraction of the requests that were served.
func (n Trial) ServedShare() float64 {
	return float64(n.Outcomes[testcluster.EndServed]) / float64(max(n.Requests, 1))
}

// Run makes the trials: all machines in order, the gateways alone in order, the gateways without coordination, and all machines again
// with random faults. With an error it returns the trials before it.
func Run(options Options) (trials []Trial, err error) {
	for i, planned := range plans(options) {
		trial := Trial{Name: planned.name, Fault: planned.fault}
		if err := trial.run(options, uint64(i), planned.maintain); err != nil {
			return trials, fmt.Errorf("%s %s: %w", planned.name, planned.fault, err)
		}
		fmt.Fprintf(options.Progress, "%s %s: %v, %.4f served, %d rules broken\n", trial.Name, trial.Fault, trial.Duration.Round(100*time.Millisecond), trial.ServedShare(), len(trial.Violations))
		trials = append(trials, trial)
	}
	return trials, nil
}

// plan is a trial to be made.
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

// maintainInOrder has the gateways maintain machines in the order that they agree on.
func maintainInOrder(options Options, machines []string) func(*testcluster.Cluster) error {
	return func(cluster *testcluster.Cluster) error {
		if _, err := cluster.RunMaintenanceAnywhere(append([]string{"add"}, machines...)...); err != nil {
			return err
		}
		return cluster.PerformMaintenance(options.MaxDuration, testcluster.MaintenanceActions{Gateway: restart(cluster)})
	}
}

// maintainUnderFault plays a fault that begins at a time while machines are maintained. The goroutine that plays it ends with it; it is
// waited for.
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

// randomFault draws a fault that begins at 0 s, in the form of the test cluster's scripts.
func randomFault(rng *rand.Rand, nodes int) string {
	n := 1 + rng.IntN(nodes)
	return [...]string{
		fmt.Sprintf("at 0s kill %d for 2s", n), fmt.Sprintf("at 0s stop %d for 4s", n), fmt.Sprintf("at 0s cut %d -> all for 3s", n),
		fmt.Sprintf("at 0s cut all -> %d for 3s", n), "at 0s loss all -> all 20% for 5s", fmt.Sprintf("at 0s starve %d 70%% for 3s", n),
		fmt.Sprintf("at 0s sever %d -> discovery for 3s", n), fmt.Sprintf("at 0s stall %d -> all for 3s", n),
	}[rng.IntN(8)]
}

// restart returns the maintenance of a gateway: it is ended by SIGTERM, and started again.
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

// restartTenths restarts gateways by SIGTERM, a tenth of them at a time, each tenth when all gateways are ready again.
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
	running.VerifySomeSessions(10) // verifying all of them would take longer than the trial
	cluster.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	cluster.History.End()
	n.events = cluster.History.Events()
	n.count(running)
	n.Violations = testcluster.Check(n.events)
	return nil
}

// count counts from the history how the requests during the maintenance ended.
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
