package statestore

import (
	"errors"
	"fmt"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/raftstore"
)

// Repair holds the measurements of a repair, under load, after a gateway has been lost permanently.
type Repair struct {
	Disk          bool
	Records       int               // number of records in the store
	Duration      time.Duration     // from the first replacement of a member until all groups have all voters
	Before, After *report.Durations // latencies of writes before and after the loss
	Failed        int64             // number of failed writes after the loss
}

// The timeouts of a measured repair.
const (
	repairSilence = 2 * time.Second  // silence after which a gateway counts as lost
	noticeTimeout = 30 * time.Second // limit until the other gateways have detected the loss
	fillTimeout   = time.Minute      // limit for writing the records before the loss
)

// backgroundCallers is the number of callers that write while the groups are repaired.
const backgroundCallers = 8

// measureRepair fills a store, ends a gateway permanently, and waits under a light load until all groups have all voters again.
func measureRepair(o Options, disk bool) (r Repair, err error) {
	c, err := newCluster(clusterOptions{nodes: 5, voters: 3, shards: 16, disk: disk, repairAfter: repairSilence})
	if err != nil {
		return r, err
	}
	defer c.close()
	r = Repair{Disk: disk, Records: o.RepairedRecords}
	c.fill(o.Callers, r.Records)
	r.Before = c.load(backgroundCallers, o.LoadDuration, r.Records).latency
	c.crash(c.busiest())
	loaded := make(chan *load, 1)
	go func() { loaded <- c.load(backgroundCallers, 3*time.Second+o.LoadDuration, r.Records) }() // the goroutine ends when the load has lasted for its duration
	observer := c.members[0].node
	if !observer.AwaitIncomplete(noticeTimeout) {
		return r, errors.New("statestore: the other gateways have not detected the loss of a gateway")
	}
	begin := time.Now()
	if !observer.AwaitComplete(completeTimeout) {
		return r, fmt.Errorf("statestore: groups with %d records were not repaired within %v", r.Records, completeTimeout)
	}
	r.Duration = time.Since(begin)
	l := <-loaded
	r.After, r.Failed = l.latency, l.failed.Load()
	return r, nil
}

// fill writes until about the given number of records is stored, fillTimeout has passed, or writes are no longer stored.
func (c *cluster) fill(callers, records int) {
	wanted := records * 3 * 9 / 10 // summed over all members of the groups; three members store each record, and a tenth of the records may be missing
	for begin := time.Now(); time.Since(begin) <= fillTimeout; {
		l := c.load(callers, time.Second, records)
		if localRecords(c.members[0].node.Overview())*len(c.members) >= wanted || l.stored.Load() == 0 {
			return
		}
	}
}

// busiest returns the index of the node, other than the first, that hosts the most members of groups. The node that joined last may not
// host any members yet; the loss of such a node would not be detected.
func (c *cluster) busiest() (best int) {
	voters := map[string]int{}
	for _, g := range c.members[0].node.Overview().Groups {
		for _, v := range g.Voters {
			voters[v.Name]++
		}
	}
	best = 1
	for i, m := range c.members[1:] {
		if voters[m.name] > voters[c.members[best].name] {
			best = i + 1
		}
	}
	return best
}

// localRecords returns how many records the members of groups on a gateway hold in total.
func localRecords(o raftstore.Overview) (n int) {
	for _, g := range o.Groups {
		if g.Local != nil {
			n += g.Local.Records
		}
	}
	return n
}
