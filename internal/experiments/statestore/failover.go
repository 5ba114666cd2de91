package statestore

import (
	"fmt"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Failover is how long shards had no leader after a fault of the gateway that led them.
type Failover struct {
	Fault    string // as the test cluster names it: kill, term, stop
	Downtime *report.Durations
	Shards   int // that were counted
}

// signalOf is the signal by which the test cluster makes a fault.
var signalOf = map[string]string{"kill": "SIGKILL", "term": "SIGTERM", "stop": "SIGSTOP"}

// What the test cluster reads in a gateway's log about a group.
const (
	eventBecameLeader  = "copies leads"
	eventSteppedDown   = "copies leads_no_more"
	eventMemberStopped = "copies replica_ends"
)

// stepTimeout is how long the cluster may take to come back after each step.
const stepTimeout = 30 * time.Second

// measureFailover takes leaders away from real gateways, and reads in their logs how long their shards had none.
func measureFailover(o Options, fault string) (result Failover, err error) {
	options := testcluster.Defaults()
	options.Binary, options.Nodes, options.Seed, options.StateStore = o.Binary, 5, o.Seed, testcluster.DefaultStateStore()
	options.StateStore.Shards, options.StateStore.RepairAfter = 16, 30*time.Second
	fleet, err := testcluster.New(options)
	if err != nil {
		return result, err
	}
	defer fleet.Close()
	result = Failover{Fault: fault, Downtime: report.NewDurations()}
	load := fleet.Load(testcluster.LoadOptions{Bookers: 4, SessionReaders: 2, ThinkTime: 10 * time.Millisecond})
	defer load.Stop()
	for range o.LeaderFaults {
		leader := fleet.LeaderOf(1)
		if leader == nil {
			time.Sleep(time.Second)
			continue
		}
		if err := result.failLeader(fleet, leader.Number); err != nil {
			return result, err
		}
		if err := fleet.AwaitReady(stepTimeout); err != nil {
			return result, err
		}
		if err := fleet.AwaitComplete(stepTimeout); err != nil {
			return result, err
		}
	}
	return result, nil
}

// failLeader begins the fault at a gateway, waits until others lead what it led, and ends the fault.
func (r *Failover) failLeader(fleet *testcluster.Cluster, node int) error {
	fault, err := testcluster.ParseFault(fmt.Sprintf("at 0s %s %d", r.Fault, node))
	if err != nil {
		return err
	}
	led := ledGroups(fleet.History.Events(), node)
	begin := fleet.History.Now()
	undo, err := fleet.Inject(fault)
	if err != nil {
		return err
	}
	ledAgain := 0
	err = fleet.History.Await("all shards are led again", stepTimeout, func(all []testcluster.Event) bool {
		elected := electedSince(all, begin, node)
		ledAgain = len(elected)
		for group := range led {
			if elected[group] == 0 {
				return false
			}
		}
		for group := range led {
			r.Downtime.Add(elected[group] - begin)
			r.Shards++
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("%w (%d of %d)", err, ledAgain, len(led))
	}
	return undo()
}

// electedSince is when each group first got a leader after begin, other than a gateway.
func electedSince(all []testcluster.Event, begin int64, other int) map[string]int64 {
	elected := map[string]int64{}
	for _, e := range all {
		if e.At > begin && e.Kind == testcluster.StateReported && e.What == eventBecameLeader && e.Node != other && elected[e.Server] == 0 {
			elected[e.Server] = e.At
		}
	}
	return elected
}

// ledGroups are the groups that a gateway leads at the end of a history.
func ledGroups(all []testcluster.Event, node int) map[string]bool {
	led := map[string]bool{}
	for _, e := range all {
		switch {
		case e.Node != node:
		case e.Kind == testcluster.ProcessChanged && e.What == "started":
			clear(led)
		case e.Kind == testcluster.StateReported && e.What == eventBecameLeader:
			led[e.Server] = true
		case e.Kind == testcluster.StateReported && (e.What == eventSteppedDown || e.What == eventMemberStopped):
			delete(led, e.Server)
		}
	}
	return led
}
