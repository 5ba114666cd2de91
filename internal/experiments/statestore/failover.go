package statestore

import (
	"fmt"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/testcluster"
)

// Failover holds how long shards had no leader after a fault of the gateway that led them.
type Failover struct {
	Fault    string // the test cluster's name of the fault: kill, term or stop
	Downtime *report.Durations
	Shards   int // number of shards whose downtime was recorded
}

// signalOf maps each fault to the signal that the test cluster sends for it.
var signalOf = map[string]string{"kill": "SIGKILL", "term": "SIGTERM", "stop": "SIGSTOP"}

// Events of the test cluster's history that report what a gateway has logged about a group.
const (
	eventBecameLeader  = "copies leads"
	eventSteppedDown   = "copies leads_no_more"
	eventMemberStopped = "copies replica_ends"
)

// stepTimeout limits how long the cluster may take to recover after each step.
const stepTimeout = 30 * time.Second

// measureFailover repeatedly injects a fault at a real gateway that leads a group. It takes from the gateways' logs how long the shards
// that this gateway led had no leader.
func measureFailover(o Options, fault string) (result Failover, err error) {
	options := testcluster.Defaults()
	options.Binary, options.Nodes, options.Seed, options.StateStore = o.Binary, 5, o.Seed, testcluster.DefaultStateStore()
	options.StateStore.Shards, options.StateStore.RepairAfter = 16, 30*time.Second
	testCluster, err := testcluster.New(options)
	if err != nil {
		return result, err
	}
	defer testCluster.Close()
	result = Failover{Fault: fault, Downtime: report.NewDurations()}
	load := testCluster.Load(testcluster.LoadOptions{Bookers: 4, SessionReaders: 2, ThinkTime: 10 * time.Millisecond})
	defer load.Stop()
	for range o.LeaderFaults {
		leader := testCluster.LeaderOf(1)
		if leader == nil {
			time.Sleep(time.Second)
			continue
		}
		if err := result.failLeader(testCluster, leader.Number); err != nil {
			return result, err
		}
		if err := testCluster.AwaitReady(stepTimeout); err != nil {
			return result, err
		}
		if err := testCluster.AwaitComplete(stepTimeout); err != nil {
			return result, err
		}
	}
	return result, nil
}

// failLeader injects the fault at a gateway, waits until other gateways lead all groups that the gateway led, and repairs the fault.
func (r *Failover) failLeader(testCluster *testcluster.Cluster, node int) error {
	fault, err := testcluster.ParseFault(fmt.Sprintf("at 0s %s %d", r.Fault, node))
	if err != nil {
		return err
	}
	led := ledGroups(testCluster.History.Events(), node)
	begin := testCluster.History.Now()
	undo, err := testCluster.Inject(fault)
	if err != nil {
		return err
	}
	ledAgain := 0
	err = testCluster.History.Await("all shards have a new leader", stepTimeout, func(all []testcluster.Event) bool {
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

// electedSince returns, by group, the time at which a gateway other than the failed gateway first became the group's leader after
// the time begin.
func electedSince(all []testcluster.Event, begin int64, failed int) map[string]int64 {
	elected := map[string]int64{}
	for _, e := range all {
		if e.At > begin && e.Kind == testcluster.StateReported && e.What == eventBecameLeader && e.Node != failed && elected[e.Server] == 0 {
			elected[e.Server] = e.At
		}
	}
	return elected
}

// ledGroups returns the groups that a gateway leads at the end of a history.
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
