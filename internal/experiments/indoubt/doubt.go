// Package indoubt measures bookings that are claimed before they are sent, with real gateway processes: what a claim adds to a
// booking, how many one gateway books, and how bookings end whose gateway is lost, beside gateways that claim nothing.
package indoubt

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Options say what is measured.
type Options struct {
	Binary   string
	Span     time.Duration // of each load
	Clients  int           // that book at the same time at one gateway
	Trials   int           // take-overs of each kind
	Seed     uint64
	Progress io.Writer
}

// Defaults are sizes that suit one machine.
func Defaults() Options {
	return Options{Binary: "bin/marblespan", Span: 5 * time.Second, Clients: 32, Trials: 20, Seed: 1, Progress: io.Discard}
}

// way is how bookings are promised.
type way struct {
	name   string
	copies *testcluster.StateStore
	claims *testcluster.InDoubt
}

func ways() []way {
	held := func(memory bool) *testcluster.StateStore {
		c := testcluster.DefaultStateStore()
		c.InMemory, c.NoSessionMarks = memory, true
		return c
	}
	return []way{
		{"nothing promised", nil, nil},
		{"memory, fast", held(true), &testcluster.InDoubt{}},
		{"memory, safe", held(true), &testcluster.InDoubt{StoreFirst: true}},
		{"disk, fast", held(false), &testcluster.InDoubt{}},
		{"disk, safe", held(false), &testcluster.InDoubt{StoreFirst: true}},
	}
}

// Load is what one load came to.
type Load struct {
	Way     string
	Clients int
	Rate    float64 // bookings a second
	Spans   *report.Spans
}

// TakeOver is how bookings of one kind of take-over ended.
type TakeOver struct {
	Kind, Way string
	Trials    int
	Booked    int           // bookings in all
	Shaken    int           // whose first answer was lost, or was that it may have run
	Known     int           // of those, that ended with the booking's answer
	Doubt     int           // of those, that are in doubt for good
	Settled   *report.Spans // from the first answer's loss to the known one
	Broken    []testcluster.Violation
}

// Result is all of it.
type Result struct {
	Loads     []Load
	TakeOvers []TakeOver
}

// Run measures everything.
func Run(o Options) (r Result, err error) {
	for _, w := range ways() {
		for _, clients := range []int{1, o.Clients} {
			l, err := load(o, w, clients)
			if err != nil {
				return r, fmt.Errorf("%s: %w", w.name, err)
			}
			r.Loads = append(r.Loads, l)
			fmt.Fprintf(o.Progress, "%s, %d clients: %.0f a second\n", l.Way, clients, l.Rate)
		}
	}
	looked := ways()[3]
	looked.name, looked.claims = "disk, fast, and a read that shows", &testcluster.InDoubt{SeatLookup: true}
	for _, kind := range []string{"kill", "term", "stop"} {
		for _, w := range []way{ways()[0], ways()[3], looked} {
			t, err := takeOver(o, w, kind)
			if err != nil {
				return r, fmt.Errorf("%s, %s: %w", kind, w.name, err)
			}
			r.TakeOvers = append(r.TakeOvers, t)
			fmt.Fprintf(o.Progress, "%s, %s: %d of %d shaken bookings known, %d in doubt\n", kind, w.name, t.Known, t.Shaken, t.Doubt)
		}
	}
	return r, nil
}

func fleet(o Options, w way) (*testcluster.Cluster, error) {
	x := testcluster.Defaults()
	x.Binary, x.StateStore, x.InDoubt, x.ResetOnFailover, x.Seed = o.Binary, w.copies, w.claims, true, o.Seed
	return testcluster.New(x)
}

// load has clients book at the gateway that holds the floating address, and takes the times of what they are served.
func load(o Options, w way, clients int) (Load, error) {
	out := Load{Way: w.name, Clients: clients, Spans: report.NewSpans()}
	f, err := fleet(o, w)
	if err != nil {
		return out, err
	}
	defer f.Close()
	if err := f.AwaitActiveRouter(1, settleBy); err != nil {
		return out, err
	}
	l := f.Load(testcluster.LoadOptions{FloatingBookers: clients, ThinkTime: time.Microsecond})
	time.Sleep(o.Span / 5) // until connections stand and leaders are known
	from := f.History.Now()
	time.Sleep(o.Span)
	to := f.History.Now()
	l.Stop()
	asked := map[string]int64{}
	served := 0
	for _, e := range f.History.Events() {
		switch {
		case e.Kind == testcluster.RequestSent && e.At >= from:
			asked[e.ID] = e.At
		case e.Kind == testcluster.ResponseReceived && e.What == testcluster.EndServed && e.At < to && asked[e.ID] > 0:
			out.Spans.Add(e.At - asked[e.ID])
			served++
		}
	}
	out.Rate = float64(served) / (float64(to-from) / 1e6)
	return out, nil
}

// settleBy is how long a fleet may take to come to rest.
const settleBy = 30 * time.Second

// takeOver has the gateway that holds the floating address lost, again and again, under clients that ask again at whichever holds
// it then. Clients of gateways that claim nothing do not ask again: they must not.
func takeOver(o Options, w way, kind string) (TakeOver, error) {
	out := TakeOver{Kind: kind, Way: w.name, Trials: o.Trials, Settled: report.NewSpans()}
	f, err := fleet(o, w)
	if err != nil {
		return out, err
	}
	defer f.Close()
	if err := f.AwaitActiveRouter(1, settleBy); err != nil {
		return out, err
	}
	l := f.Load(testcluster.LoadOptions{FloatingBookers: 8, ThinkTime: time.Microsecond, RetryInDoubt: w.claims != nil})
	rng := rand.New(rand.NewPCG(o.Seed, 8))
	line := map[string]string{"kill": "at 0s kill 1", "term": "at 0s term 1", "stop": "at 0s stop 1"}[kind]
	x, err := testcluster.ParseFault(line)
	if err != nil {
		return out, err
	}
	for range o.Trials {
		time.Sleep(200*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond))))
		undo, err := f.Inject(x)
		if err != nil {
			return out, err
		}
		switch kind {
		case "term":
			f.Nodes[0].WaitForExit()
		case "stop":
			time.Sleep(700 * time.Millisecond) // longer than another one takes to take over
		default:
			if err := f.AwaitActiveRouter(2, settleBy); err != nil {
				return out, err
			}
		}
		if err := undo(); err != nil {
			return out, err
		}
		if err := f.AwaitReady(settleBy); err != nil {
			return out, err
		}
		if err := f.AwaitActiveRouter(1, settleBy); err != nil {
			return out, err
		}
		if f.StateStore != nil {
			if err := f.AwaitComplete(settleBy); err != nil {
				return out, err
			}
		}
	}
	l.Stop()
	f.History.Add(testcluster.Event{Kind: testcluster.PhaseReached, What: "done"})
	f.History.End()
	events := f.History.Events()
	out.count(events)
	for _, v := range testcluster.Check(events) {
		if v.Rule == "bookings" || v.Rule == "told" {
			out.Broken = append(out.Broken, v)
		}
	}
	return out, nil
}

// count reads how bookings ended.
func (t *TakeOver) count(events []testcluster.Event) {
	shaken := map[string]int64{}
	booked, known := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		if e.Class != testcluster.ClassBooking || e.Kind != testcluster.RequestSent && e.Kind != testcluster.ResponseReceived {
			continue
		}
		booked[e.Key] = true
		if e.Kind != testcluster.ResponseReceived {
			continue
		}
		switch {
		case e.What == testcluster.EndServed && shaken[e.Key] > 0 && !known[e.Key]:
			known[e.Key] = true
			t.Settled.Add(e.At - shaken[e.Key])
		case e.What == testcluster.EndServed || e.What == testcluster.EndRejected:
		case shaken[e.Key] == 0:
			shaken[e.Key] = e.At
		}
	}
	t.Booked, t.Shaken, t.Known = len(booked), len(shaken), len(known)
	t.Doubt = t.Shaken - t.Known
}

// Write writes the tables to w and, if dir is not empty, tables and a chart into files there.
func Write(w io.Writer, dir string, o Options, r Result) error {
	if dir == "" {
		return r.tables(w, o)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "in-doubt.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.tables(io.MultiWriter(w, file), o); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![bookings shaken by take-overs](doubt.svg)\n")
	b := report.Bars{
		Title: "Bookings that a take-over has shaken", Note: fmt.Sprintf("loopback, %d take-overs of each kind", o.Trials),
		Series: []string{"known in the end", "in doubt for good"}, Values: make([][]float64, 2),
	}
	for _, t := range r.TakeOvers {
		b.Labels = append(b.Labels, t.Kind+": "+strings.TrimPrefix(t.Way, "disk, fast, and "))
		b.Values[0] = append(b.Values[0], float64(t.Known))
		b.Values[1] = append(b.Values[1], float64(t.Doubt))
	}
	return b.Write(filepath.Join(dir, "doubt.svg"))
}

func (r Result) tables(w io.Writer, o Options) error {
	fmt.Fprintf(w, "# Bookings claimed before they are sent, measured\n\nLoopback, three real gateways, three copies, a server that works 3 ms on a booking. Times in ms.\n\n"+
		"Clients that book without a pause at one gateway, %v each.\n\n", o.Span)
	var rows [][]string
	for _, l := range r.Loads {
		rows = append(rows, []string{l.Way, fmt.Sprint(l.Clients), fmt.Sprintf("%.0f", l.Rate), l.Spans.Cell(50), l.Spans.Cell(99), l.Spans.Cell(100)})
	}
	if err := report.Table(w, []string{"promised", "clients", "bookings a second", "median", "99 %", "longest"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nTake-overs of a floating address, eight clients without a pause, flows cut when it moves. A booking is shaken if its first answer is "+
		"lost, or is that it may have run; clients of gateways that claim ask again then, marked.\n\n")
	rows = nil
	for _, t := range r.TakeOvers {
		rows = append(rows, []string{t.Kind, t.Way, fmt.Sprint(t.Trials), fmt.Sprint(t.Booked), fmt.Sprint(t.Shaken), fmt.Sprint(t.Known), fmt.Sprint(t.Doubt),
			t.Settled.Cell(50), t.Settled.Cell(99), t.Settled.Cell(100), fmt.Sprint(len(t.Broken))})
	}
	return report.Table(w, []string{"kind", "promised", "take-overs", "bookings", "shaken", "known in the end", "in doubt", "known after: median", "99 %", "longest", "rules broken"}, rows)
}
