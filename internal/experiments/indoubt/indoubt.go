// Package indoubt measures, with real gateway processes, bookings whose intents are recorded before they are sent: the latency that the
// intent adds, the throughput of one gateway, and the outcomes of bookings when their gateway fails, compared with gateways without
// intents. marblespan-bench in-doubt calls Run and Write. policies lists the settings that are compared. measureLoad and measureTakeOvers
// are the two parts; each call uses a test cluster of its own and runs on the caller's goroutine.
package indoubt

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Options select what Run measures.
type Options struct {
	Binary       string
	LoadDuration time.Duration // of each measured load
	Clients      int           // number of concurrent clients of one gateway
	TakeOvers    int           // number of take-overs measured for each kind and policy
	Seed         uint64
	Progress     io.Writer
}

// Defaults returns options with sizes that suit a single machine.
func Defaults() Options {
	return Options{Binary: "bin/marblespan", LoadDuration: 5 * time.Second, Clients: 32, TakeOvers: 20, Seed: 1, Progress: io.Discard}
}

// policy is a way to record intents: the settings of the gateways' state store and of in-doubt writes. Both are nil if no intents are
// recorded.
type policy struct {
	name       string
	stateStore *testcluster.StateStore
	inDoubt    *testcluster.InDoubt
}

// policies returns the policies whose loads are compared.
func policies() []policy {
	stateStore := func(memory bool) *testcluster.StateStore {
		c := testcluster.DefaultStateStore()
		c.InMemory, c.NoSessionMarks = memory, true
		return c
	}
	return []policy{
		{"no intents", nil, nil},
		{"memory, fast", stateStore(true), &testcluster.InDoubt{}},
		{"memory, safe", stateStore(true), &testcluster.InDoubt{StoreFirst: true}},
		{"disk, fast", stateStore(false), &testcluster.InDoubt{}},
		{"disk, safe", stateStore(false), &testcluster.InDoubt{StoreFirst: true}},
	}
}

// Load holds the measurements of one load.
type Load struct {
	Policy    string
	Clients   int
	PerSecond float64 // bookings served per second
	Durations *report.Durations
}

// TakeOver counts how the bookings under one kind of take-over ended.
type TakeOver struct {
	Kind, Policy    string
	Trials          int
	Bookings        int               // all bookings sent
	Unacknowledged  int               // bookings whose first answer was lost or left open whether the booking ran
	Resolved        int               // unacknowledged bookings that were served after a retry
	InDoubt         int               // unacknowledged bookings that were not served later
	ResolutionTimes *report.Durations // from the loss of the first answer to the final answer
	Violations      []testcluster.Violation
}

// Result holds all measurements.
type Result struct {
	Loads     []Load
	TakeOvers []TakeOver
}

// Run measures the loads, then the take-overs. If a measurement fails, Run returns the error and the earlier measurements.
func Run(o Options) (r Result, err error) {
	for _, p := range policies() {
		for _, clients := range []int{1, o.Clients} {
			l, err := measureLoad(o, p, clients)
			if err != nil {
				return r, fmt.Errorf("%s: %w", p.name, err)
			}
			r.Loads = append(r.Loads, l)
			fmt.Fprintf(o.Progress, "%s, %d clients: %.0f per second\n", l.Policy, clients, l.PerSecond)
		}
	}
	withLookup := policies()[3]
	withLookup.name, withLookup.inDoubt = "disk, fast, and a seat lookup", &testcluster.InDoubt{SeatLookup: true}
	for _, kind := range []string{"kill", "term", "stop"} {
		for _, p := range []policy{policies()[0], policies()[3], withLookup} {
			t, err := measureTakeOvers(o, p, kind)
			if err != nil {
				return r, fmt.Errorf("%s, %s: %w", kind, p.name, err)
			}
			r.TakeOvers = append(r.TakeOvers, t)
			fmt.Fprintf(o.Progress, "%s, %s: %d of %d unacknowledged bookings resolved, %d in doubt\n", kind, p.name, t.Resolved, t.Unacknowledged, t.InDoubt)
		}
	}
	return r, nil
}

func newCluster(o Options, p policy) (*testcluster.Cluster, error) {
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.StateStore, clusterOptions.InDoubt, clusterOptions.ResetOnTakeover, clusterOptions.Seed = o.Binary, p.stateStore, p.inDoubt, true, o.Seed
	return testcluster.New(clusterOptions)
}

// measureLoad runs clients that book at the gateway that holds the floating address, and measures the latency of the served bookings.
func measureLoad(o Options, p policy, clients int) (Load, error) {
	out := Load{Policy: p.name, Clients: clients, Durations: report.NewDurations()}
	cluster, err := newCluster(o, p)
	if err != nil {
		return out, err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return out, err
	}
	running := cluster.Load(testcluster.LoadOptions{FloatingBookers: clients, ThinkTime: time.Microsecond})
	time.Sleep(o.LoadDuration / 5) // wait until the connections are open and the leaders are elected
	from := cluster.History.Now()
	time.Sleep(o.LoadDuration)
	to := cluster.History.Now()
	running.Stop()
	sentAt := map[string]int64{}
	served := 0
	for _, e := range cluster.History.Events() {
		switch {
		case e.Kind == testcluster.RequestSent && e.At >= from:
			sentAt[e.ID] = e.At
		case e.Kind == testcluster.ResponseReceived && e.What == testcluster.EndServed && e.At < to && sentAt[e.ID] > 0:
			out.Durations.Add(e.At - sentAt[e.ID])
			served++
		}
	}
	out.PerSecond = float64(served) / (float64(to-from) / 1e6)
	return out, nil
}

// convergenceTimeout limits how long a test cluster may take to become ready after a start or a fault.
const convergenceTimeout = 30 * time.Second

// measureTakeOvers repeatedly injects a fault at the gateway that holds the floating address, while clients book and retry at its
// successor. Without intents the clients do not retry, because their bookings are not idempotent then.
func measureTakeOvers(o Options, p policy, kind string) (TakeOver, error) {
	out := TakeOver{Kind: kind, Policy: p.name, Trials: o.TakeOvers, ResolutionTimes: report.NewDurations()}
	cluster, err := newCluster(o, p)
	if err != nil {
		return out, err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return out, err
	}
	running := cluster.Load(testcluster.LoadOptions{FloatingBookers: 8, ThinkTime: time.Microsecond, RetryInDoubt: p.inDoubt != nil})
	rng := rand.New(rand.NewPCG(o.Seed, 8))
	script := map[string]string{"kill": "at 0s kill 1", "term": "at 0s term 1", "stop": "at 0s stop 1"}[kind]
	fault, err := testcluster.ParseFault(script)
	if err != nil {
		return out, err
	}
	for range o.TakeOvers {
		time.Sleep(200*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond))))
		if err := failOver(cluster, kind, fault); err != nil {
			return out, err
		}
	}
	running.Stop()
	cluster.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	cluster.History.End()
	events := cluster.History.Events()
	out.countOutcomes(events)
	for _, v := range testcluster.Check(events) {
		if v.Rule == "bookings" || v.Rule == "told" {
			out.Violations = append(out.Violations, v)
		}
	}
	return out, nil
}

// failOver injects a fault at the first gateway and repairs it after a take-over. It then waits until the first gateway holds the address
// again and the cluster is ready.
func failOver(cluster *testcluster.Cluster, kind string, fault testcluster.Fault) error {
	undo, err := cluster.Inject(fault)
	if err != nil {
		return err
	}
	switch kind {
	case "term":
		cluster.Nodes[0].WaitForExit()
	case "stop":
		time.Sleep(700 * time.Millisecond) // a take-over takes less time
	default:
		if err := cluster.AwaitActiveRouter(2, convergenceTimeout); err != nil {
			return err
		}
	}
	if err := undo(); err != nil {
		return err
	}
	if err := cluster.AwaitReady(convergenceTimeout); err != nil {
		return err
	}
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return err
	}
	if cluster.StateStore == nil {
		return nil
	}
	return cluster.AwaitComplete(convergenceTimeout)
}

// countOutcomes counts the outcomes of the bookings from the history.
func (t *TakeOver) countOutcomes(events []testcluster.Event) {
	unacknowledgedAt := map[string]int64{}
	booked, resolved := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		if e.Class != testcluster.ClassBooking || e.Kind != testcluster.RequestSent && e.Kind != testcluster.ResponseReceived {
			continue
		}
		booked[e.Key] = true
		if e.Kind != testcluster.ResponseReceived {
			continue
		}
		switch {
		case e.What == testcluster.EndServed && unacknowledgedAt[e.Key] > 0 && !resolved[e.Key]:
			resolved[e.Key] = true
			t.ResolutionTimes.Add(e.At - unacknowledgedAt[e.Key])
		case e.What == testcluster.EndServed || e.What == testcluster.EndRejected:
		case unacknowledgedAt[e.Key] == 0:
			unacknowledgedAt[e.Key] = e.At
		}
	}
	t.Bookings, t.Unacknowledged, t.Resolved = len(booked), len(unacknowledgedAt), len(resolved)
	t.InDoubt = t.Unacknowledged - t.Resolved
}
