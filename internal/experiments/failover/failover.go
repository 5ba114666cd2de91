// Package failover measures take-overs of a floating address between real gateway processes, with stand-ins around them: how
// long nobody holds it, how long two do, and what clients see of it, beside clients that a front spreads.
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

// Options say what is measured.
type Options struct {
	Binary     string // of the gateway
	Trials     int    // of each kind
	Kinds      []string
	Interval   time.Duration // between advertisements
	Priorities []int         // one gateway each; the first one is the highest and holds the address at rest
	Clients    int           // of the floating address, and as many of the front
	Think      time.Duration // between two bookings of a client
	Work       time.Duration // of a booking at its server
	Notice     time.Duration // after which the front knows of a death
	Seed       uint64
	Progress   io.Writer
}

// Defaults are sizes that suit one machine.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", Trials: 20, Kinds: Kinds(), Interval: 100 * time.Millisecond,
		Priorities: []int{200, 180, 160}, Clients: 8, Think: 10 * time.Millisecond, Work: 5 * time.Millisecond,
		Notice: 2500 * time.Millisecond, Seed: 1, Progress: io.Discard,
	}
}

// kind is one way to lose the holder, and to bring it back.
type kind struct {
	name  string
	what  string
	fails func(f *testcluster.Cluster, n *testcluster.Node) error
	heals func(f *testcluster.Cluster, n *testcluster.Node) error
	dies  bool // its process has no part in what comes
	stops bool // it runs on after the fault, but not for clients
	front bool // clients that a front spreads see it too
}

var kinds = []kind{
	{name: "kill", what: "SIGKILL", dies: true, front: true,
		fails: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.Switch.ResetFlows(n.Floating) // a dead machine's flows are reset
			return n.Signal(syscall.SIGKILL)
		},
		heals: restart},
	{name: "term", what: "SIGTERM", front: true,
		fails: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGTERM) },
		heals: restart},
	{name: "frozen", what: "SIGSTOP for five intervals past the down interval, then SIGCONT", stops: true, front: true,
		fails: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGSTOP) },
		heals: func(f *testcluster.Cluster, n *testcluster.Node) error { return n.Signal(syscall.SIGCONT) }},
	{name: "cut", what: "its advertisements, announcements and flows cut off", stops: true,
		fails: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, true)
			f.Switch.SetUnreachable(n.Floating, true)
			return nil
		},
		heals: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.Switch.SetUnreachable(n.Floating, false)
			f.VRRPPath.Isolate(n.Number-1, false)
			return nil
		}},
	{name: "split", what: "its advertisements cut off both ways, all else whole",
		fails: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, true)
			return nil
		},
		heals: func(f *testcluster.Cluster, n *testcluster.Node) error {
			f.VRRPPath.Isolate(n.Number-1, false)
			return nil
		}},
}

// restart waits for the end of a process and starts it anew.
func restart(_ *testcluster.Cluster, n *testcluster.Node) error {
	n.WaitForExit()
	return n.Start()
}

// Kinds names all kinds.
func Kinds() (all []string) {
	for _, k := range kinds {
		all = append(all, k.name)
	}
	return all
}

// Result is what one kind came to.
type Result struct {
	Kind, What string
	Trials     int
	Without    *report.Spans // nobody in reach held the address, after the fault
	Back       *report.Spans // the same, when the holder came back
	Two        *report.Spans // two that ran held it
	Gap        *report.Spans // the longest that a client of the floating address had to wait for a booking
	FrontGap   *report.Spans // the same of a client of the front
	Floating   fake.Totals
	Front      fake.Totals
	Lost       int      // taken by a gateway that was in reach, and never answered
	Losses     []string // each of the lost
	Faults     []string
	Runs       int
}

// Run measures each kind in a fleet of its own.
func Run(o Options) ([]Result, error) {
	var out []Result
	for _, name := range o.Kinds {
		var k *kind
		for i := range kinds {
			if kinds[i].name == name {
				k = &kinds[i]
			}
		}
		if k == nil {
			return nil, fmt.Errorf("kind %q is not known; there are %s", name, strings.Join(Kinds(), ", "))
		}
		r, err := one(o, *k)
		if err != nil {
			return out, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// settleBy is how long a fleet may take to come to rest, and rest how long it stays there before the next fault.
const (
	settleBy = 20 * time.Second
	rest     = 400 * time.Millisecond
)

func one(o Options, k kind) (r Result, err error) {
	r = Result{
		Kind: k.name, What: k.what, Without: report.NewSpans(), Back: report.NewSpans(), Two: report.NewSpans(),
		Gap: report.NewSpans(), FrontGap: report.NewSpans(),
	}
	fleet := testcluster.Defaults()
	fleet.Binary, fleet.Nodes, fleet.Seed, fleet.ServiceTime = o.Binary, len(o.Priorities), o.Seed, o.Work
	fleet.AdvertisementInterval, fleet.Priorities = o.Interval, o.Priorities
	fleet.MembershipInterval = 0
	fleet.ResetOnFailover = true // as where an address moves between machines: its new holder knows no old flow
	f, err := testcluster.New(fleet)
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := f.AwaitActiveRouter(1, settleBy); err != nil {
		return r, err
	}
	l := newLoad(o, f)
	defer l.stop()
	rng := rand.New(rand.NewPCG(o.Seed, uint64(len(k.name))))
	for i := range o.Trials {
		time.Sleep(rest + time.Duration(rng.Int64N(int64(o.Interval)))) // at any moment of an interval
		if err := r.trial(o, k, f, l); err != nil {
			return r, fmt.Errorf("trial %d: %w", i+1, err)
		}
		r.Trials++
		fmt.Fprintf(o.Progress, "%s %d of %d\n", k.name, i+1, o.Trials)
	}
	l.stop()
	r.Floating, r.Front = l.floating.Totals(), l.front.Totals()
	runs, faults := l.floating.Check(f.Primary())
	_, more := l.front.Check(f.Primary())
	r.Runs, r.Faults = runs, append(faults, more...)
	return r, nil
}

// trial brings one fault about, waits for a successor, heals it and waits for the old holder to have the address again.
func (r *Result) trial(o Options, k kind, f *testcluster.Cluster, l *load) error {
	n := f.Nodes[0]
	down := 4 * o.Interval // over the longest down interval
	start := time.Now()
	l.spread.fault(n.Number, start, k)
	if err := k.fails(f, n); err != nil {
		return err
	}
	if err := succeeded(f, n, settleBy); err != nil {
		return err
	}
	time.Sleep(down + 5*o.Interval - min(time.Since(start), down))
	if k.front { // the front's clients see all of it, too
		time.Sleep(max(0, o.Notice+rest-time.Since(start)))
	}
	healed := time.Now()
	if err := k.heals(f, n); err != nil {
		return err
	}
	if err := f.AwaitActiveRouter(1, settleBy); err != nil {
		return err
	}
	l.spread.healed(n.Number)
	end := time.Now()
	time.Sleep(50 * time.Millisecond) // the log's last lines
	changes := changesSince(f.History, start.Add(-time.Millisecond))
	out := func(node int, at time.Time) bool { // it runs for nobody
		return (k.dies || k.stops) && node == n.Number && !at.Before(start) && at.Before(healed)
	}
	runs := func(node int, at time.Time) bool { return k.name == "cut" || !out(node, at) }
	r.Without.Add(spans(changes, start, healed, func(active, running int) bool { return active == 0 }, out, runs))
	r.Back.Add(spans(changes, healed, end, func(active, running int) bool { return active == 0 }, out, runs))
	r.Two.Add(spans(changes, start, end, func(active, running int) bool { return running > 1 }, out, runs))
	r.Gap.Add(gap(l.floating.Successes(), start, end))
	if k.front {
		r.FrontGap.Add(gap(l.front.Successes(), start, end))
	}
	for _, d := range l.floating.Unanswered() {
		if d.At.After(start) && d.At.Before(end) && d.End != "reset" && !((k.dies || k.stops) && d.Via == n.Floating) {
			r.Lost++
			r.Losses = append(r.Losses, fmt.Sprintf("trial %d: %s after %v, via %s, %s", r.Trials+1, d.Client, d.At.Sub(start), d.Via, d.End))
		}
	}
	return nil
}

// change is one change of who believes to hold the address.
type change struct {
	node   int
	at     time.Time
	active bool
}

// changesSince lists the changes after a time. A process that has ended believes nothing.
func changesSince(h *testcluster.History, from time.Time) (out []change) {
	for _, e := range h.Events() {
		if e.At >= h.Timestamp(from) && (e.Kind == testcluster.StateReported || e.Kind == testcluster.ProcessChanged && e.What == "ended") {
			out = append(out, change{e.Node, h.WallTime(e.At), e.Kind == testcluster.StateReported && e.Text == "active"})
		}
	}
	return out
}

// spans sums how long something held between two times, in microseconds. Gateway 1 is active at the start of a trial.
func spans(changes []change, from, to time.Time, holds func(active, running int) bool, out, runs func(int, time.Time) bool) int64 {
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
			if on && !out(node, moments[i-1]) {
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

func activeAt(changes []change, at time.Time) map[int]bool {
	active := map[int]bool{1: true}
	for _, c := range changes {
		if !c.at.After(at) {
			active[c.node] = c.active
		}
	}
	return active
}

// gap is the longest that any client went without a booking served, around a fault, in microseconds.
func gap(served []fake.ClientEvent, from, to time.Time) int64 {
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

// succeeded waits until another gateway holds the address and the switch leads there.
func succeeded(f *testcluster.Cluster, old *testcluster.Node, by time.Duration) error {
	for end := time.Now().Add(by); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if at, _ := f.Switch.ActiveGateway(); at != old.Floating {
			return nil
		}
	}
	return errors.New("nobody took over")
}

// front spreads clients over the gateways' own listeners. Each keeps to its gateway until the front knows that it is away.
type front struct {
	mu     sync.Mutex
	nodes  []*testcluster.Node
	away   map[int]time.Time // from when on the front knows it
	notice time.Duration
}

// announcedAfter is how soon a front knows of a restart that was planned.
const announcedAfter = 300 * time.Millisecond

func (f *front) fault(i int, at time.Time, k kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k.front {
		f.away[i] = at.Add(f.notice)
		if k.name == "term" {
			f.away[i] = at.Add(announcedAfter)
		}
	}
}

func (f *front) healed(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.away, i)
}

func (f *front) addr(client int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var here []string
	for _, n := range f.nodes {
		if at, away := f.away[n.Number]; !away || time.Now().Before(at) {
			here = append(here, n.Listen)
		}
	}
	return here[client%len(here)]
}

// load is the clients of an experiment.
type load struct {
	floating, front fake.Ledger
	spread          *front
	quit            chan struct{}
	once            sync.Once
	done            sync.WaitGroup
}

func newLoad(o Options, f *testcluster.Cluster) *load {
	l := &load{quit: make(chan struct{}), spread: &front{nodes: f.Nodes, away: map[int]time.Time{}, notice: o.Notice}}
	for c := range 2 * o.Clients {
		b := &fake.Client{
			Name: fmt.Sprint("c", c), Class: testcluster.ClassBooking, Group: testcluster.Group, Timeout: time.Second, MaxAttempts: 1000, Backoff: 5 * time.Millisecond,
			Addr: f.Switch.Addr, Ledger: &l.floating, Route: f.Switch.GatewayOf,
		}
		if c >= o.Clients {
			b.Ledger, b.Route = &l.front, nil
			b.Addr = func() string { return l.spread.addr(c) }
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			defer b.Close()
			for n := 0; ; n++ {
				select {
				case <-l.quit:
					return
				case <-time.After(o.Think):
				}
				b.Write(fmt.Sprintf("%s-%d", b.Name, n))
			}
		}()
	}
	return l
}

func (l *load) stop() {
	l.once.Do(func() { close(l.quit) })
	l.done.Wait()
}
