package testcluster

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"marblespan/internal/fake"
)

// atEachStep is a script that applies a fault (kill or stop) to a gateway at each step of a booking: before its intent is stored,
// before the booking is sent, while the server runs it, and before its answer is stored.
const atEachStep = "at 300ms cut 1 -> all for 700ms\nat 500ms %[1]s 1 for %[2]s\nat 2500ms sever 2 -> p for 600ms\nat 2800ms %[1]s 2 for %[2]s\n" +
	"at 4700ms %[1]s 3 for %[2]s\nat 6500ms cut 4 -> all for 700ms\nat 6600ms %[1]s 4 for %[2]s"

// Five gateways with stored intents run under a load that retries bookings. No booking runs twice, and no client gets a wrong answer.
func TestInDoubt(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector does not check the gateways' processes")
	}
	for _, c := range []struct {
		name   string
		how    InDoubt
		work   time.Duration // of a request at its server
		script string
		do     func(f *Cluster) error
	}{
		{"orderly restarts, and cut paths to the primary", InDoubt{}, 20 * time.Millisecond,
			"at 300ms sever all -> p for 300ms\nat 1s term 1 for 100ms\nat 2s term 2 for 100ms", nil},
		{"kills, answers stored first", InDoubt{StoreFirst: true}, 0, "at 500ms kill 1 for 500ms\nat 2s kill 2,3 for 500ms\nat 4s kill 4 for 1s", nil},
		{"pauses and cuts", InDoubt{SeatLookup: true}, 0, "at 300ms stop 1 for 2s\nat 800ms stop 2 for 2s\nat 3s split 2 | 1,3,4,5 for 1500ms\nat 5s cut 3 -> all for 1s", nil},
		{"killed at each step, with lookups", InDoubt{SeatLookup: true}, 150 * time.Millisecond, fmt.Sprintf(atEachStep, "kill", "300ms"), nil},
		{"stopped at each step", InDoubt{SeatLookup: true}, 150 * time.Millisecond, fmt.Sprintf(atEachStep, "stop", "2s"), nil},
		{"a replica is killed at each step too", InDoubt{}, 150 * time.Millisecond,
			fmt.Sprintf(atEachStep, "kill", "300ms") + "\nat 400ms kill 5 for 400ms\nat 2700ms kill 5 for 400ms\nat 4700ms kill 5 for 400ms\nat 6600ms kill 5 for 400ms", nil},
		{"the primary fails over during bookings in doubt", InDoubt{SeatLookup: true}, 50 * time.Millisecond,
			"at 500ms stop 1 for 2500ms\nat 600ms promote r1 for 2s\nat 3500ms kill 2 for 300ms\nat 3550ms promote r2 for 1s", nil},
		{"a split, with both sides booking at the floating address", InDoubt{}, 0, "at 500ms split 1,2 | 3,4,5 for 3s\nat 4500ms split 1 | 2,3,4,5 for 2s", nil},
		{"killed after half of an answer", InDoubt{StoreFirst: true}, 0, "", halfAnswered},
		{"two of three replicas are lost with their disks", InDoubt{SeatLookup: true}, 0, "", loseTwoStores},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			untimedSlots <- true
			defer func() { <-untimedSlots }()
			o := options()
			o.Nodes, o.Dir, o.StateStore, o.InDoubt = 5, t.TempDir(), DefaultStateStore(), &c.how
			o.StateStore.NoSessionMarks = true
			if c.work > 0 {
				o.ServiceTime = c.work
			}
			do := c.do
			if do == nil {
				faults, err := ParseScript("script", c.script)
				if err != nil {
					t.Fatal(err)
				}
				do = func(f *Cluster) error { return f.Play(faults, nil) }
			}
			load := DefaultLoad()
			load.RetryInDoubt = true
			runScenario(t, "in doubt "+c.name, o, load, "", do)
		})
	}
}

// halfAnswered kills a gateway when its client has received only the first bytes of an answer. The retry at another gateway must get
// the same answer.
func halfAnswered(f *Cluster) error {
	first, second := f.Nodes[0], f.Nodes[1]
	r, err := fake.NewRelay("127.0.0.1:0", first.Listen, nil)
	if err != nil {
		return err
	}
	defer r.Close()
	l := &Load{cluster: f}
	var at atomic.Value
	at.Store(r.Addr())
	b := &fake.Client{
		Name: "half", Class: ClassBooking, Group: FirstGroup, Timeout: requestTimeout, MaxAttempts: 400, Backoff: clientBackoff, RetryTimeouts: 3, Ledger: &l.ledger, OnExchange: l.recordExchange,
		Addr: func() string { return at.Load().(string) },
		Route: func(string) string {
			if at.Load() == r.Addr() {
				return first.Listen
			}
			return second.Listen
		},
	}
	defer b.Close()
	if o := b.Write("whole"); o != fake.Served {
		return fmt.Errorf("the outcome of the first booking is %v", fake.OutcomeNames[o])
	}
	r.Set(fake.Impairment{}, fake.Impairment{Rate: 20}) // one byte in 50 ms
	end := make(chan fake.Outcome, 1)
	go func() { end <- b.Write("half") }()
	if err := f.History.Await("the booking has run", settleTimeout, func(all []Event) bool {
		return slices.ContainsFunc(all, func(e Event) bool { return e.Kind == RequestExecuted && e.Key == "half" })
	}); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond) // so that the client receives some bytes of the answer
	at.Store(second.Listen)
	if err := withFault(f, "at 0s kill 1", func() error { first.WaitForExit(); return nil }); err != nil {
		return err
	}
	if o := <-end; o != fake.Served {
		return fmt.Errorf("the outcome of the retry is %v", fake.OutcomeNames[o])
	}
	return nil
}
