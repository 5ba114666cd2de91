package testcluster

import (
	"slices"
	"time"

	"marblespan/internal/fake"
)

// Outcome is the result of a run.
type Outcome struct {
	Faults     []Fault
	Events     []Event
	Violations []Violation
	Err        error // the run itself failed
	Totals     fake.Totals
	SettleTime time.Duration // from the end of the last fault until the cluster had settled
}

// Failed reports whether a rule was violated, or the run could not be made.
func (o Outcome) Failed() bool { return o.Err != nil || len(o.Violations) > 0 }

// Run starts a cluster, puts it under load, plays faults, waits until it has settled, and checks the history.
func Run(o Options, load LoadOptions, faults []Fault, quit <-chan struct{}) (out Outcome) {
	out.Faults = faults
	f, err := New(o)
	if err != nil {
		out.Err = err
		return out
	}
	defer f.Close()
	if out.Err = f.AwaitActiveRouter(f.preferredRouter(), settleTimeout); out.Err != nil {
		return out
	}
	l := f.Load(load)
	f.History.Add(Event{Kind: PhaseReached, What: "load"})
	out.Err = f.Play(faults, quit)
	f.History.Add(Event{Kind: PhaseReached, What: "healed"})
	healed := time.Now()
	var restless error
	if out.Err == nil {
		restless = f.Settle(load.classCount())
	}
	out.SettleTime = time.Since(healed)
	f.History.Add(Event{Kind: PhaseReached, What: "settled"})
	l.Stop()
	if f.StateStore != nil && restless == nil {
		l.VerifySessions()
	}
	f.History.Add(Event{Kind: PhaseReached, What: "done"})
	f.History.End()
	out.Totals = l.Totals()
	out.Events = f.History.Events()
	if out.Err == nil {
		out.Err = f.History.Err()
	}
	if out.Violations = Check(out.Events); restless != nil {
		out.Violations = append(out.Violations, Violation{"rest", f.History.Timestamp(healed), restless.Error()})
	}
	return out
}

// Settle waits until the cluster has settled: every gateway serves, the preferred one has the floating address, membership and
// the state store are complete, and so many classes have been served since.
func (f *Cluster) Settle(classes int) error {
	if err := f.AwaitReady(settleTimeout); err != nil {
		return err
	}
	if err := f.restartFailedStores(); err != nil {
		return err
	}
	if err := f.AwaitActiveRouter(f.preferredRouter(), settleTimeout); err != nil {
		return err
	}
	if f.MembershipPath != nil {
		if err := f.AwaitMembers(settleTimeout); err != nil {
			return err
		}
	}
	if f.StateStore != nil {
		if err := f.AwaitComplete(settleTimeout); err != nil {
			return err
		}
	}
	from := f.History.Now()
	return f.History.Await("every class is served again", settleTimeout, func(all []Event) bool {
		var served []string
		for i := len(all) - 1; i >= 0 && len(served) < classes; i-- {
			if e := all[i]; e.Kind == ResponseReceived && e.What == EndServed && e.At > from && !slices.Contains(served, e.Class) {
				served = append(served, e.Class)
			}
			if all[i].Kind == PhaseReached {
				break
			}
		}
		return len(served) == classes
	})
}
