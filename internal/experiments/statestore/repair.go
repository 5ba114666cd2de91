package statestore

import (
	"errors"
	"fmt"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/raftstore"
)

// Repair is the result of a gateway that is lost for good, under load.
type Repair struct {
	Disk          bool
	Records       int
	Duration      time.Duration     // from the first member that is replaced until none is missing
	Before, After *report.Durations // latency of writes before the loss, and from it on
	Failed        int64             // writes, from the loss on
}

// The times of a measured repair.
const (
	repairSilence = 2 * time.Second  // after which a gateway counts as lost
	noticeTimeout = 30 * time.Second // within which the others must have noticed
	fillTimeout   = time.Minute      // bound of writing the records
)

// backgroundCallers write while the groups are repaired.
const backgroundCallers = 8

// measureRepair fills a store, takes a gateway away for good, and waits under a light load until all groups have all voters again.
func measureRepair(o Options, disk bool) (r Repair, err error) {
	c, err := newCluster(shape{nodes: 5, voters: 3, shards: 16, disk: disk, repairAfter: repairSilence})
	if err != nil {
		return r, err
	}
	defer c.close()
	r = Repair{Disk: disk, Records: o.RepairedRecords}
	c.fill(o.Callers, r.Records)
	r.Before = c.load(backgroundCallers, o.LoadDuration, r.Records).latency
	c.crash(c.busiest())
	loaded := make(chan *load, 1)
	go func() { loaded <- c.load(backgroundCallers, 3*time.Second+o.LoadDuration, r.Records) }() // it ends with its duration
	observer := c.members[0].node
	if !observer.AwaitIncomplete(noticeTimeout) {
		return r, errors.New("statestore: nobody has noticed the loss of a gateway")
	}
	begin := time.Now()
	if !observer.AwaitComplete(completeTimeout) {
		return r, fmt.Errorf("statestore: the groups with %d records were not repaired within %v", r.Records, completeTimeout)
	}
	r.Duration = time.Since(begin)
	l := <-loaded
	r.After, r.Failed = l.latency, l.failed.Load()
	return r, nil
}

// fill writes until about so many records are stored, or the time for it is over, or nothing is stored any more.
func (c *cluster) fill(callers, records int) {
	wanted := records * 3 * 9 / 10 // in all members of the groups, of which each record has three; a tenth may be missing
	for begin := time.Now(); time.Since(begin) <= fillTimeout; {
		l := c.load(callers, time.Second, records)
		if localRecords(c.members[0].node.Overview())*len(c.members) >= wanted || l.stored.Load() == 0 {
			return
		}
	}
}

// busiest is the node, beside the first, that has the most members of groups: one that joined last may have none yet, and
// its loss would not be noticed.
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

// localRecords is how many records a gateway's members of groups have.
func localRecords(o raftstore.Overview) (n int) {
	for _, g := range o.Groups {
		if g.Local != nil {
			n += g.Local.Records
		}
	}
	return n
}
