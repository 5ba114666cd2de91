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
	Err        error // why the run itself failed
	Totals     fake.Totals
	SettleTime time.Duration // from the end of the last fault until the cluster had settled
}

// Failed reports whether a rule was violated or the run itself failed.
func (o Outcome) Failed() bool { return o.Err != nil || len(o.Violations) > 0 }

// Run starts a cluster and its load, injects the faults, waits until the cluster has settled, and checks the history. It repairs
// the faults early if quit is closed.
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
	repairedAt := time.Now()
	var settleErr error
	if out.Err == nil {
		settleErr = cluster.Settle(load.classCount())
	}
	out.SettleTime = time.Since(repairedAt)
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseSettled})
	clients.Stop()
	if cluster.StateStore != nil && settleErr == nil {
		clients.VerifySessions()
	}
	cluster.History.Add(Event{Kind: PhaseReached, What: PhaseDone})
	cluster.History.End()
	out.Totals = clients.Totals()
	out.Events = cluster.History.Events()
	if out.Err == nil {
		out.Err = cluster.History.Err()
	}
	if out.Violations = Check(out.Events); settleErr != nil {
		out.Violations = append(out.Violations, Violation{"rest", cluster.History.Timestamp(repairedAt), settleErr.Error()})
	}
	return out
}

// Settle waits until the cluster has settled: every gateway serves, the preferred gateway has the floating address, membership and
// the state store are complete, and requests of the given number of classes have been served after that.
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
	return c.History.Await("requests of every class are served again", settleTimeout, func(all []Event) bool {
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
