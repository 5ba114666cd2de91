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
	cluster, err := New(o)
	if err != nil {
		out.Err = err
		return out
	}
	defer cluster.Close()
	if out.Err = cluster.AwaitActiveRouter(cluster.preferredRouter(), settleTimeout); out.Err != nil {
		return out
	}
	clients := cluster.Load(load)
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseLoad})
	out.Err = cluster.Play(faults, quit)
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseRepaired})
	healed := time.Now()
	var restless error
	if out.Err == nil {
		restless = cluster.Settle(load.classCount())
	}
	out.SettleTime = time.Since(healed)
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseSettled})
	clients.Stop()
	if cluster.StateStore != nil && restless == nil {
		clients.VerifySessions()
	}
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseDone})
	cluster.History.End()
	out.Totals = clients.Totals()
	out.Events = cluster.History.Events()
	if out.Err == nil {
		out.Err = cluster.History.Err()
	}
	if out.Violations = Check(out.Events); restless != nil {
		out.Violations = append(out.Violations, Violation{"rest", cluster.History.Timestamp(healed), restless.Error()})
	}
	return out
}

// Settle waits until the cluster has settled: every gateway serves, the preferred one has the floating address, membership and
// the state store are complete, and so many classes have been served since.
func (c *Cluster) Settle(classes int) error {
	if err := c.AwaitReady(settleTimeout); err != nil {
		return err
	}
	if err := c.restartFailedStores(); err != nil {
		return err
	}
	if err := c.AwaitActiveRouter(c.preferredRouter(), settleTimeout); err != nil {
		return err
	}
	if c.MembershipPath != nil {
		if err := c.AwaitMembers(settleTimeout); err != nil {
			return err
		}
	}
	if c.StateStore != nil {
		if err := c.AwaitComplete(settleTimeout); err != nil {
			return err
		}
	}
	from := c.History.Now()
	return c.History.Await("every class is served again", settleTimeout, func(all []Event) bool {
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
