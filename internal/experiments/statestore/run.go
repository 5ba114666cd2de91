package statestore

import (
	"fmt"
	"io"
	"time"
)

// Options select what Run measures.
type Options struct {
	Binary          string        // path of the gateway's binary, for the failovers
	LoadDuration    time.Duration // duration of each load of writes
	Callers         int           // number of concurrent callers that write
	RepairedRecords int           // number of records in the store that loses a gateway
	StoredRecords   int           // number of records in the storage file that a gateway reads at its start
	LeaderFaults    int           // number of leader faults of each kind
	IdleGateways    []int         // sizes, in gateways, of the clusters whose traffic without writes is measured
	Seed            uint64        // seed of the test cluster
	Progress        io.Writer
}

// Defaults returns options with the sizes that the operators have asked for.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", LoadDuration: 5 * time.Second, Callers: 256, RepairedRecords: 100_000, StoredRecords: 1_000_000,
		LeaderFaults: 10, IdleGateways: []int{3, 9, 32}, Seed: 1, Progress: io.Discard,
	}
}

// Result holds all measurements.
type Result struct {
	Loads     []Load
	Repairs   []Repair
	Idle      []Idle
	Startup   Startup
	Failovers []Failover
}

// storageKinds lists the values of clusterOptions.disk: groups in memory, and groups in storage files.
var storageKinds = []bool{false, true}

// Run makes all measurements, one after the other. If one fails, Run returns the error and the earlier measurements.
func Run(o Options) (r Result, err error) {
	for _, measure := range []func(Options) error{r.measureLoads, r.measureRepairs, r.measureIdles, r.measureStartup, r.measureFailovers} {
		if err := measure(o); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r *Result) measureLoads(o Options) error {
	for _, disk := range storageKinds {
		for _, s := range []clusterOptions{
			{1, 1, 16, disk, neverRepair}, {3, 3, 1, disk, neverRepair}, {3, 3, 16, disk, neverRepair}, {3, 3, 64, disk, neverRepair}, {5, 5, 16, disk, neverRepair},
		} {
			for _, callers := range []int{1, o.Callers} {
				l, err := measureLoad(s, callers, o.LoadDuration)
				if err != nil {
					return err
				}
				r.Loads = append(r.Loads, l)
				fmt.Fprintf(o.Progress, "disk %v, %d voters, %d shards, %d callers: %.0f per second\n", disk, s.voters, s.shards, callers, l.Rate)
			}
		}
	}
	return nil
}

func (r *Result) measureRepairs(o Options) error {
	for _, disk := range storageKinds {
		repair, err := measureRepair(o, disk)
		if err != nil {
			return err
		}
		r.Repairs = append(r.Repairs, repair)
		fmt.Fprintf(o.Progress, "disk %v: %d records repaired in %v\n", disk, repair.Records, repair.Duration)
	}
	return nil
}

func (r *Result) measureIdles(o Options) error {
	for _, gateways := range o.IdleGateways {
		idle, err := measureIdle(gateways)
		if err != nil {
			return err
		}
		r.Idle = append(r.Idle, idle)
		fmt.Fprintf(o.Progress, "%d gateways without writes: %d bytes per second each\n", gateways, idle.BytesPerSecond)
	}
	return nil
}

func (r *Result) measureStartup(o Options) (err error) {
	if r.Startup, err = measureStartup(o.StoredRecords); err != nil {
		return err
	}
	fmt.Fprintf(o.Progress, "%d records read in %v\n", o.StoredRecords, r.Startup.OpenTime+r.Startup.HostTime)
	return nil
}

func (r *Result) measureFailovers(o Options) error {
	for _, fault := range []string{"kill", "term", "stop"} {
		failover, err := measureFailover(o, fault)
		if err != nil {
			return err
		}
		r.Failovers = append(r.Failovers, failover)
		fmt.Fprintf(o.Progress, "%s: downtime of %d shards measured\n", fault, failover.Shards)
	}
	return nil
}
