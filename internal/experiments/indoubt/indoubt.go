// Package indoubt measures, with real gateway processes, bookings whose intents are recorded before they are sent: the latency that the
// intent adds, the throughput of one gateway, and how bookings end when their gateway fails, beside gateways without intents.
// marblespan-bench in-doubt calls Run and Write. policies lists what is compared; measureLoad and measureTakeOvers are the two parts,
// each with a test cluster of its own, all on the caller's goroutine.
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
	LoadDuration time.Duration // of each load
	Clients      int           // concurrent clients of one gateway
	TakeOvers    int           // measured for each kind and policy
	Seed         uint64
	Progress     io.Writer
}

// Defaults returns sizes that suit one machine.
func Defaults() Options {
	return Options{Binary: "bin/marblespan", LoadDuration: 5 * time.Second, Clients: 32, TakeOvers: 20, Seed: 1, Progress: io.Discard}
}

// policy is a way to record bookings: the state store and the in-doubt settings of the gateways; nil without.
type policy struct {
	name       string
	stateStore *testcluster.StateStore
	inDoubt    *testcluster.InDoubt
}

func policies() []policy {
	stateStore := func(memory bool) *testcluster.StateStore {
		c := testcluster.DefaultStateStore()
		c.InMemory, c.NoSessionMarks = memory, true
		return c
	}
	return []policy{
		{"nothing promised", nil, nil},
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
	PerSecond float64 // bookings served
	Durations *report.Durations
}

// TakeOver counts how the bookings under one kind of take-over ended.
type TakeOver struct {
	Kind, Policy    string
	Trials          int
	Bookings        int               // all bookings sent
	Unacknowledged  int               // bookings whose first answer was lost, or said that the booking may have run
	Resolved        int               // unacknowledged bookings that were answered in the end
	InDoubt         int               // unacknowledged bookings that were never answered
	ResolutionTimes *report.Durations // from the loss of the first answer to the final one
	Violations      []testcluster.Violation
}

// Result holds all measurements.
type Result struct {
	Loads     []Load
	TakeOvers []TakeOver
}

// Run measures the loads, then the take-overs. With an error it returns what it has measured so far.
func Run(o Options) (r Result, err error) {
	for _, w := range policies() {
		for _, clients := range []int{1, o.Clients} {
			l, err := measureLoad(o, w, clients)
			if err != nil {
				return r, fmt.Errorf("%s: %w", w.name, err)
			}
			r.Loads = append(r.Loads, l)
			fmt.Fprintf(o.Progress, "%s, %d clients: %.0f a second\n", l.Policy, clients, l.PerSecond)
		}
	}
	withLookup := policies()[3]
	withLookup.name, withLookup.inDoubt = "disk, fast, and a read that shows", &testcluster.InDoubt{SeatLookup: true}
	for _, kind := range []string{"kill", "term", "stop"} {
		for _, w := range []policy{policies()[0], policies()[3], withLookup} {
			t, err := measureTakeOvers(o, w, kind)
			if err != nil {
				return r, fmt.Errorf("%s, %s: %w", kind, w.name, err)
			}
			r.TakeOvers = append(r.TakeOvers, t)
			fmt.Fprintf(o.Progress, "%s, %s: %d of %d shaken bookings known, %d in doubt\n", kind, w.name, t.Resolved, t.Unacknowledged, t.InDoubt)
		}
	}
	return r, nil
}

func newCluster(o Options, w policy) (*testcluster.Cluster, error) {
	clusterOptions := testcluster.Defaults()
	clusterOptions.Binary, clusterOptions.StateStore, clusterOptions.InDoubt, clusterOptions.ResetOnTakeover, clusterOptions.Seed = o.Binary, w.stateStore, w.inDoubt, true, o.Seed
	return testcluster.New(clusterOptions)
}

// measureLoad has clients book at the gateway that holds the floating address, and measures the latency of the served bookings.
func measureLoad(o Options, w policy, clients int) (Load, error) {
	out := Load{Policy: w.name, Clients: clients, Durations: report.NewDurations()}
	cluster, err := newCluster(o, w)
	if err != nil {
		return out, err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return out, err
	}
	running := cluster.Load(testcluster.LoadOptions{FloatingBookers: clients, ThinkTime: time.Microsecond})
	time.Sleep(o.LoadDuration / 5) // until connections are open and leaders are elected
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

// convergenceTimeout bounds the time until a test cluster is ready after a start or a fault.
const convergenceTimeout = 30 * time.Second

// measureTakeOvers fails the gateway that holds the floating address, again and again, while clients book and retry at its successor.
// Clients of gateways without intents do not retry, as their bookings are not idempotent.
func measureTakeOvers(o Options, w policy, kind string) (TakeOver, error) {
	out := TakeOver{Kind: kind, Policy: w.name, Trials: o.TakeOvers, ResolutionTimes: report.NewDurations()}
	cluster, err := newCluster(o, w)
	if err != nil {
		return out, err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(1, convergenceTimeout); err != nil {
		return out, err
	}
	running := cluster.Load(testcluster.LoadOptions{FloatingBookers: 8, ThinkTime: time.Microsecond, RetryInDoubt: w.inDoubt != nil})
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

// failOver fails the first gateway, repairs it after a take-over and waits until the cluster is as before.
func failOver(cluster *testcluster.Cluster, kind string, fault testcluster.Fault) error {
	undo, err := cluster.Inject(fault)
	if err != nil {
		return err
	}
	switch kind {
	case "term":
		cluster.Nodes[0].WaitForExit()
	case "stop":
		time.Sleep(700 * time.Millisecond) // longer than a take-over lasts
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

// countOutcomes counts from the history how the bookings ended.
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
