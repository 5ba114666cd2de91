// Package failover measures take-overs of a floating address between real gateway processes; the servers, the switch and the clients are
// fakes. It measures how long no gateway holds the address, how long two gateways hold it, and how long clients wait, compared with
// clients that a load balancer spreads over the gateways. marblespan-bench failover calls Run and Write. faultKinds lists the faults,
// Result.trial makes one take-over, and durationOf sums the times from the gateways' logs. bookingLoad runs each client on a goroutine
// of its own; bookingLoad.stop ends these goroutines.
package failover

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// Options select what Run measures.
type Options struct {
	Binary                 string // path of the gateway's binary
	Trials                 int    // take-overs of each kind
	Kinds                  []string
	Interval               time.Duration // time between advertisements
	Priorities             []int         // VRRP priorities of the gateways; the first must be the highest, because trials expect gateway 1 to hold the address without a fault
	Clients                int           // number of clients of the floating address, and also of the load balancer
	ThinkTime              time.Duration // pause between two bookings of a client
	ServerWork             time.Duration // time that a server works on a booking
	BalancerDetectionDelay time.Duration // time after which the load balancer detects a dead gateway
	Seed                   uint64
	Progress               io.Writer
}

// Defaults returns options with sizes that suit a single machine.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", Trials: 20, Kinds: Kinds(), Interval: 100 * time.Millisecond,
		Priorities: []int{200, 180, 160}, Clients: 8, ThinkTime: 10 * time.Millisecond, ServerWork: 5 * time.Millisecond,
		BalancerDetectionDelay: 2500 * time.Millisecond, Seed: 1, Progress: io.Discard,
	}
}

// faultKind describes a kind of fault of the gateway that holds the address. It has the functions that inject and repair the
// fault, and states what the fault affects.
type faultKind struct {
	name            string
	description     string
	inject          func(f *testcluster.Cluster, n *testcluster.Node) error
	repair          func(f *testcluster.Cluster, n *testcluster.Node) error
	endsProcess     bool // the process ends immediately
	stopsService    bool // the process continues to exist, but clients cannot reach it
	affectsBalancer bool // the fault also affects the clients of the load balancer
}

var faultKinds = []faultKind{
	{name: "kill", description: "SIGKILL", endsProcess: true, affectsBalancer: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.Switch.ResetFlows(n.Floating) // as when the whole machine dies
			return n.Signal(syscall.SIGKILL)
		},
		repair: restart},
	{name: "term", description: "SIGTERM", affectsBalancer: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGTERM) },
		repair: restart},
	{name: "frozen", description: "SIGSTOP for five intervals past the down interval, then SIGCONT", stopsService: true, affectsBalancer: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGSTOP) },
		repair: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGCONT) }},
	{name: "cut", description: "its advertisements, announcements and flows cut off", stopsService: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, true)
			f.Switch.SetUnreachable(n.Floating, true)
			return nil
		},
		repair: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.Switch.SetUnreachable(n.Floating, false)
			f.VRRPPath.Isolate(n.Number-1, false)
			return nil
		}},
	{name: "split", description: "its advertisements cut off both ways, everything else intact",
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, true)
			return nil
		},
		repair: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, false)
			return nil
		}},
}

// restart waits until the gateway's process has ended, and starts a new one.
func restart(_ *testcluster.Cluster, n *testcluster.Node) error {
	n.WaitForExit()
	return n.Start()
}

// Kinds returns the names of all kinds of fault.
func Kinds() (all []string) {
	for _, k := range faultKinds {
		all = append(all, k.name)
	}
	return all
}

// Result holds the measurements of one kind of fault.
type Result struct {
	Kind, Description   string
	Trials              int
	NoHolder            *report.Durations // time without a reachable holder of the address, from the fault to its repair
	NoHolderAfterRepair *report.Durations // time without a reachable holder, from the repair until the first gateway held the address again
	TwoHolders          *report.Durations // time during which two running gateways held the address
	ClientWait          *report.Durations // longest wait of a client of the floating address between two served bookings
	BalancerClientWait  *report.Durations // longest wait of a client of the load balancer between two served bookings
	Floating            fake.Totals
	Balancer            fake.Totals
	Lost                int      // requests accepted by a reachable gateway and never answered
	LostRequests        []string // a description of each lost request
	Violations          []string
	Executions          int
}

// Run measures each kind of fault in a test cluster of its own. If the measurement of a kind fails, Run returns the error and the results
// of the earlier kinds.
func Run(o Options) ([]Result, error) {
	var out []Result
	for _, name := range o.Kinds {
		var k *faultKind
		for i := range faultKinds {
			if faultKinds[i].name == name {
				k = &faultKinds[i]
			}
		}
		if k == nil {
			return nil, fmt.Errorf("unknown kind of fault %q; known kinds: %s", name, strings.Join(Kinds(), ", "))
		}
		r, err := measureKind(o, *k)
		if err != nil {
			return out, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// convergenceTimeout limits how long a take-over may last, and how long the first gateway may take to get the address back.
// idleBeforeFault is the pause before the next fault.
const (
	convergenceTimeout = 20 * time.Second
	idleBeforeFault    = 400 * time.Millisecond
)

// measureKind makes all trials of one kind of fault in a new test cluster.
func measureKind(options Options, kind faultKind) (r Result, err error) {
	r = Result{
		Kind: kind.name, Description: kind.description, NoHolder: report.NewDurations(), NoHolderAfterRepair: report.NewDurations(), TwoHolders: report.NewDurations(),
		ClientWait: report.NewDurations(), BalancerClientWait: report.NewDurations(),
	}
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.Nodes, clusterOptions.Seed, clusterOptions.ServiceTime = options.Binary, len(options.Priorities), options.Seed, options.ServerWork
	clusterOptions.AdvertisementInterval, clusterOptions.Priorities = options.Interval, options.Priorities
	clusterOptions.MembershipInterval = 0
	clusterOptions.ResetOnTakeover = true // as on separate machines, where the new holder of the address does not know the old flows
	cluster, err := testcluster.New(clusterOptions)
	if err != nil {
		return r, err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return r, err
	}
	running := startLoad(options, cluster)
	defer running.stop()
	rng := rand.New(rand.NewPCG(options.Seed, uint64(len(kind.name))))
	for i := range options.Trials {
		time.Sleep(idleBeforeFault + time.Duration(rng.Int64N(int64(options.Interval)))) // so that the fault happens at a random moment of an advertisement interval
		if err := r.trial(options, kind, cluster, running); err != nil {
			return r, fmt.Errorf("trial %d: %w", i+1, err)
		}
		r.Trials++
		fmt.Fprintf(options.Progress, "%s %d of %d\n", kind.name, i+1, options.Trials)
	}
	running.stop()
	r.Floating, r.Balancer = running.floatingLedger.Totals(), running.balancerLedger.Totals()
	runs, faults := running.floatingLedger.Check(cluster.Primary())
	_, more := running.balancerLedger.Check(cluster.Primary())
	r.Executions, r.Violations = runs, append(faults, more...)
	return r, nil
}

// trial injects one fault, waits for a successor, repairs the fault and waits until the first gateway holds the address again.
func (r *Result) trial(options Options, kind faultKind, cluster *testcluster.Cluster, running *bookingLoad) error {
	holder := cluster.Nodes[0]
	down := 4 * options.Interval // longer than any Active_Down_Interval
	start := time.Now()
	running.balancer.fault(holder.Number, start, kind)
	if err := kind.inject(cluster, holder); err != nil {
		return err
	}
	if err := awaitSuccessor(cluster, holder, convergenceTimeout); err != nil {
		return err
	}
	time.Sleep(down + 5*options.Interval - min(time.Since(start), down))
	if kind.affectsBalancer { // give the load balancer time to detect the fault
		time.Sleep(max(0, options.BalancerDetectionDelay+idleBeforeFault-time.Since(start)))
	}
	repaired := time.Now()
	if err := kind.repair(cluster, holder); err != nil {
		return err
	}
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return err
	}
	running.balancer.repaired(holder.Number)
	end := time.Now()
	time.Sleep(50 * time.Millisecond) // until the test cluster has read the last log lines
	r.record(kind, cluster, running, start, repaired, end)
	return nil
}

// record adds the times of a trial. The parameters start and repaired are the times at which the trial's fault was injected and
// repaired. At the time end, the first gateway held the address again.
func (r *Result) record(kind faultKind, cluster *testcluster.Cluster, running *bookingLoad, start, repaired, end time.Time) {
	holder := cluster.Nodes[0]
	changes := changesSince(cluster.History, start.Add(-time.Millisecond))
	unreachable := func(node int, at time.Time) bool { // reports whether clients cannot reach the gateway
		return (kind.endsProcess || kind.stopsService) && node == holder.Number && !at.Before(start) && at.Before(repaired)
	}
	runs := func(node int, at time.Time) bool { return kind.name == "cut" || !unreachable(node, at) }
	noHolder := func(active, _ int) bool { return active == 0 }
	twoHolders := func(_, running int) bool { return running > 1 }
	r.NoHolder.Add(durationOf(changes, start, repaired, noHolder, unreachable, runs))
	r.NoHolderAfterRepair.Add(durationOf(changes, repaired, end, noHolder, unreachable, runs))
	r.TwoHolders.Add(durationOf(changes, start, end, twoHolders, unreachable, runs))
	r.ClientWait.Add(longestWait(running.floatingLedger.Successes(), start, end))
	if kind.affectsBalancer {
		r.BalancerClientWait.Add(longestWait(running.balancerLedger.Successes(), start, end))
	}
	r.recordLost(kind, holder, running, start, end)
}

// recordLost adds the requests of a trial that a reachable gateway accepted but never answered.
func (r *Result) recordLost(kind faultKind, holder *testcluster.Node, running *bookingLoad, start, end time.Time) {
	for _, d := range running.floatingLedger.Unanswered() {
		if d.At.After(start) && d.At.Before(end) && d.End != "reset" && !((kind.endsProcess || kind.stopsService) && d.Via == holder.Floating) {
			r.Lost++
			r.LostRequests = append(r.LostRequests, fmt.Sprintf("trial %d: %s after %v, via %s, %s", r.Trials+1, d.Client, d.At.Sub(start), d.Via, d.End))
		}
	}
}

// awaitSuccessor waits until the switch forwards to a gateway other than the old holder.
func awaitSuccessor(f *testcluster.Cluster, old *testcluster.Node, by time.Duration) error {
	for end := time.Now().Add(by); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if at, _ := f.Switch.ActiveGateway(); at != old.Floating {
			return nil
		}
	}
	return errors.New("no other gateway has taken over the floating address")
}
