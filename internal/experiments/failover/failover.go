// Package failover measures take-overs of a floating address between real gateway processes, with fakes around them: how long no gateway
// holds the address, how long two do, and how long clients wait, beside clients whom a front spreads over the gateways.
// marblespan-bench failover calls Run and Write. faultKinds lists the faults, Result.trial makes one take-over, and durationOf sums the
// times from the gateways' logs. Each client has a goroutine, owned by bookingLoad and ended by its stop.
package failover

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// Options select what Run measures.
type Options struct {
	Binary              string // path of the gateway's program
	Trials              int    // take-overs of each kind
	Kinds               []string
	Interval            time.Duration // between advertisements
	Priorities          []int         // one gateway each; the first has to be the highest: it holds the address without faults
	Clients             int           // clients of the floating address, and as many of the front
	ThinkTime           time.Duration // pause between two bookings of a client
	ServerWork          time.Duration // time that a server works on a booking
	FrontDetectionDelay time.Duration // time after which the front detects a dead gateway
	Seed                uint64
	Progress            io.Writer
}

// Defaults returns sizes that suit one machine.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", Trials: 20, Kinds: Kinds(), Interval: 100 * time.Millisecond,
		Priorities: []int{200, 180, 160}, Clients: 8, ThinkTime: 10 * time.Millisecond, ServerWork: 5 * time.Millisecond,
		FrontDetectionDelay: 2500 * time.Millisecond, Seed: 1, Progress: io.Discard,
	}
}

// faultKind is one way to fail the gateway that holds the address, and to repair it.
type faultKind struct {
	name         string
	description  string
	inject       func(f *testcluster.Cluster, n *testcluster.Node) error
	repair       func(f *testcluster.Cluster, n *testcluster.Node) error
	endsProcess  bool // the process ends at once
	stopsService bool // the process stays, but clients cannot reach it
	affectsFront bool // clients of the front are affected too
}

var faultKinds = []faultKind{
	{name: "kill", description: "SIGKILL", endsProcess: true, affectsFront: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.Switch.ResetFlows(n.Floating) // as the flows of a dead machine are
			return n.Signal(syscall.SIGKILL)
		},
		repair: restart},
	{name: "term", description: "SIGTERM", affectsFront: true,
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGTERM) },
		repair: restart},
	{name: "frozen", description: "SIGSTOP for five intervals past the down interval, then SIGCONT", stopsService: true, affectsFront: true,
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
	{name: "split", description: "its advertisements cut off both ways, all else whole",
		inject: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, true)
			return nil
		},
		repair: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, false)
			return nil
		}},
}

// restart waits for the end of a process and starts it again.
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
	Kind, Description string
	Trials            int
	Unheld            *report.Durations // no reachable gateway held the address, after the fault
	UnheldAtReturn    *report.Durations // the same, after the repair
	HeldTwice         *report.Durations // two running gateways held the address
	ClientWait        *report.Durations // longest wait of a client of the floating address between two served bookings
	FrontClientWait   *report.Durations // the same for clients of the front
	Floating          fake.Totals
	Front             fake.Totals
	Lost              int      // requests accepted by a reachable gateway and never answered
	LostRequests      []string // a description of each lost request
	Violations        []string
	Executions        int
}

// Run measures each kind in a test cluster of its own. With an error it returns the kinds before it.
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
			return nil, fmt.Errorf("kind %q is not known; there are %s", name, strings.Join(Kinds(), ", "))
		}
		r, err := measureKind(o, *k)
		if err != nil {
			return out, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// convergenceTimeout bounds the time until a take-over or a return has completed; idleBeforeFault is the pause before the next fault.
const (
	convergenceTimeout = 20 * time.Second
	idleBeforeFault    = 400 * time.Millisecond
)

func measureKind(options Options, kind faultKind) (r Result, err error) {
	r = Result{
		Kind: kind.name, Description: kind.description, Unheld: report.NewDurations(), UnheldAtReturn: report.NewDurations(), HeldTwice: report.NewDurations(),
		ClientWait: report.NewDurations(), FrontClientWait: report.NewDurations(),
	}
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.Nodes, clusterOptions.Seed, clusterOptions.ServiceTime = options.Binary, len(options.Priorities), options.Seed, options.ServerWork
	clusterOptions.AdvertisementInterval, clusterOptions.Priorities = options.Interval, options.Priorities
	clusterOptions.MembershipInterval = 0
	clusterOptions.ResetOnTakeover = true // as on separate machines: the new holder of the address does not know the old flows
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
		time.Sleep(idleBeforeFault + time.Duration(rng.Int64N(int64(options.Interval)))) // so that the fault falls on a random moment of an interval
		if err := r.trial(options, kind, cluster, running); err != nil {
			return r, fmt.Errorf("trial %d: %w", i+1, err)
		}
		r.Trials++
		fmt.Fprintf(options.Progress, "%s %d of %d\n", kind.name, i+1, options.Trials)
	}
	running.stop()
	r.Floating, r.Front = running.floatingLedger.Totals(), running.frontLedger.Totals()
	runs, faults := running.floatingLedger.Check(cluster.Primary())
	_, more := running.frontLedger.Check(cluster.Primary())
	r.Executions, r.Violations = runs, append(faults, more...)
	return r, nil
}

// trial injects one fault, waits for a successor, repairs the fault and waits until the first gateway holds the address again.
func (r *Result) trial(options Options, kind faultKind, cluster *testcluster.Cluster, running *bookingLoad) error {
	holder := cluster.Nodes[0]
	down := 4 * options.Interval // longer than any Active_Down_Interval
	start := time.Now()
	running.spreader.fault(holder.Number, start, kind)
	if err := kind.inject(cluster, holder); err != nil {
		return err
	}
	if err := awaitSuccessor(cluster, holder, convergenceTimeout); err != nil {
		return err
	}
	time.Sleep(down + 5*options.Interval - min(time.Since(start), down))
	if kind.affectsFront { // leave the front time to detect the fault
		time.Sleep(max(0, options.FrontDetectionDelay+idleBeforeFault-time.Since(start)))
	}
	healed := time.Now()
	if err := kind.repair(cluster, holder); err != nil {
		return err
	}
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return err
	}
	running.spreader.repaired(holder.Number)
	end := time.Now()
	time.Sleep(50 * time.Millisecond) // until the last log lines have been read
	changes := changesSince(cluster.History, start.Add(-time.Millisecond))
	unreachable := func(node int, at time.Time) bool { // clients cannot reach it
		return (kind.endsProcess || kind.stopsService) && node == holder.Number && !at.Before(start) && at.Before(healed)
	}
	runs := func(node int, at time.Time) bool { return kind.name == "cut" || !unreachable(node, at) }
	r.Unheld.Add(durationOf(changes, start, healed, func(active, running int) bool { return active == 0 }, unreachable, runs))
	r.UnheldAtReturn.Add(durationOf(changes, healed, end, func(active, running int) bool { return active == 0 }, unreachable, runs))
	r.HeldTwice.Add(durationOf(changes, start, end, func(active, running int) bool { return running > 1 }, unreachable, runs))
	r.ClientWait.Add(longestWait(running.floatingLedger.Successes(), start, end))
	if kind.affectsFront {
		r.FrontClientWait.Add(longestWait(running.frontLedger.Successes(), start, end))
	}
	for _, d := range running.floatingLedger.Unanswered() {
		if d.At.After(start) && d.At.Before(end) && d.End != "reset" && !((kind.endsProcess || kind.stopsService) && d.Via == holder.Floating) {
			r.Lost++
			r.LostRequests = append(r.LostRequests, fmt.Sprintf("trial %d: %s after %v, via %s, %s", r.Trials+1, d.Client, d.At.Sub(start), d.Via, d.End))
		}
	}
	return nil
}

// holderChange is one change of a gateway's belief that it holds the address.
type holderChange struct {
	node   int
	at     time.Time
	active bool
}

// changesSince lists the changes after a time. The end of a process ends its belief.
func changesSince(h *testcluster.History, from time.Time) (out []holderChange) {
	for _, e := range h.Events() {
		if e.At >= h.Timestamp(from) && (e.Kind == testcluster.StateReported || e.Kind == testcluster.ProcessChanged && e.What == "ended") {
			out = append(out, holderChange{e.Node, h.WallTime(e.At), e.Kind == testcluster.StateReported && e.Text == "active"})
		}
	}
	return out
}

// durationOf sums how long a condition held between two times, in microseconds. Gateway 1 is active at the start of a trial.
func durationOf(changes []holderChange, from, to time.Time, holds func(active, running int) bool, unreachable, runs func(int, time.Time) bool) int64 {
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at.Before(changes[j].at) })
	// The moments at which anything may change; a reachable gateway may change at the ends of the fault too.
	moments := []time.Time{from, to}
	for _, c := range changes {
		if c.at.After(from) && c.at.Before(to) {
			moments = append(moments, c.at)
		}
	}
	sort.Slice(moments, func(i, j int) bool { return moments[i].Before(moments[j]) })
	sum := time.Duration(0)
	for i := 1; i < len(moments); i++ {
		active, running := 0, 0
		for node, on := range activeAt(changes, moments[i-1]) {
			if on && !unreachable(node, moments[i-1]) {
				active++
			}
			if on && runs(node, moments[i-1]) {
				running++
			}
		}
		if holds(active, running) {
			sum += moments[i].Sub(moments[i-1])
		}
	}
	return sum.Microseconds()
}

func activeAt(changes []holderChange, at time.Time) map[int]bool {
	active := map[int]bool{1: true}
	for _, c := range changes {
		if !c.at.After(at) {
			active[c.node] = c.active
		}
	}
	return active
}

// longestWait is the longest time that any client went without a served booking around a fault, in microseconds.
func longestWait(served []fake.ClientEvent, from, to time.Time) int64 {
	last := map[string]time.Time{}
	longest := time.Duration(0)
	for _, m := range served {
		if m.At.After(to.Add(time.Second)) {
			break
		}
		if before, ok := last[m.Client]; ok && m.At.After(from) {
			longest = max(longest, m.At.Sub(before))
		}
		last[m.Client] = m.At
	}
	for _, at := range last {
		longest = max(longest, to.Sub(at))
	}
	return longest.Microseconds()
}

// awaitSuccessor waits until the switch leads to another gateway than the old holder.
func awaitSuccessor(f *testcluster.Cluster, old *testcluster.Node, by time.Duration) error {
	for end := time.Now().Add(by); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if at, _ := f.Switch.ActiveGateway(); at != old.Floating {
			return nil
		}
	}
	return errors.New("nobody took over")
}

// front spreads clients over the gateways' own listeners. A client keeps its gateway until the front detects that it is unavailable.
type front struct {
	mu              sync.Mutex
	nodes           []*testcluster.Node
	unavailableFrom map[int]time.Time // by gateway: when the front detects it
	detectionDelay  time.Duration
}

// plannedRestartNotice is how soon the front knows of a planned restart.
const plannedRestartNotice = 300 * time.Millisecond

func (f *front) fault(i int, at time.Time, k faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k.affectsFront {
		f.unavailableFrom[i] = at.Add(f.detectionDelay)
		if k.name == "term" {
			f.unavailableFrom[i] = at.Add(plannedRestartNotice)
		}
	}
}

func (f *front) repaired(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unavailableFrom, i)
}

func (f *front) addr(client int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var here []string
	for _, n := range f.nodes {
		if at, away := f.unavailableFrom[n.Number]; !away || time.Now().Before(at) {
			here = append(here, n.Listen)
		}
	}
	return here[client%len(here)]
}

// bookingLoad is the clients of an experiment, each on a goroutine that stop ends and waits for.
type bookingLoad struct {
	floatingLedger, frontLedger fake.Ledger
	spreader                    *front
	stopping                    chan struct{}
	once                        sync.Once
	done                        sync.WaitGroup
}

func startLoad(o Options, f *testcluster.Cluster) *bookingLoad {
	l := &bookingLoad{stopping: make(chan struct{}), spreader: &front{nodes: f.Nodes, unavailableFrom: map[int]time.Time{}, detectionDelay: o.FrontDetectionDelay}}
	for c := range 2 * o.Clients {
		b := &fake.Client{
			Name: fmt.Sprint("c", c), Class: testcluster.ClassBooking, Group: testcluster.Group, Timeout: time.Second, MaxAttempts: 1000, Backoff: 5 * time.Millisecond,
			Addr: f.Switch.Addr, Ledger: &l.floatingLedger, Route: f.Switch.GatewayOf,
		}
		if c >= o.Clients {
			b.Ledger, b.Route = &l.frontLedger, nil
			b.Addr = func() string { return l.spreader.addr(c) }
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			defer b.Close()
			for n := 0; ; n++ {
				select {
				case <-l.stopping:
					return
				case <-time.After(o.ThinkTime):
				}
				b.Write(fmt.Sprintf("%s-%d", b.Name, n))
			}
		}()
	}
	return l
}

func (l *bookingLoad) stop() {
	l.once.Do(func() { close(l.stopping) })
	l.done.Wait()
}
