// Package raftgateway gives the gateway its store: what of it only the larger program has.
package raftgateway

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/gateway"
	"marblespan/internal/intents"
	"marblespan/internal/maintenance"
	"marblespan/internal/raftnode"
	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// leastLog is how long a shard's log gets before a snapshot takes its place, in bytes.
const minLogBytes = 1 << 20

// Format is, if it is not empty, the format of records that this program says to understand: tests link another one in.
var Format string

// Use has gateways of this process open stores.
func Register() {
	gateway.OpenStore, gateway.CheckStore = openStore, checkStore
	gateway.OpenBookings = func(s intents.Settings) intents.Resolver { return intents.New(s) }
}

func openStore(s gateway.StoreSettings) (gateway.Store, error) {
	clock := raftnode.Clock{
		Now: func() clock.Micros { return clock.Micros(s.Clock.Now()) },
		At:  func(t clock.Micros) time.Time { return s.Clock.Time(clock.Micros(t)) },
	}
	c := s.Copies
	format, _ := strconv.ParseUint(Format, 10, 32)
	h, err := raftnode.Start(raftnode.Settings{
		Node: s.Node, Zone: s.Zone, Weight: s.Weight, HostsReplicas: c.RunsRaftNode(s.Node), StoragePath: c.StoragePath(), WitnessPath: c.Witness, Tick: c.Heartbeat,
		RepairAfter: c.RepairAfter, MaxRepairs: c.MaxRepairs, RepairRate: int(c.RepairRate), MaxBytes: int64(c.Memory), MinLogBytes: minLogBytes,
		RecordFormat: uint32(format), Peers: s.Others, MaintenanceLimits: s.Maintain, Members: s.Members, OnOrder: s.Ordered,
	}, clock, s.Streams, s.Log)
	if err != nil {
		return nil, err
	}
	return store{h}, nil
}

// opened is a store as the gateway knows it.
type store struct{ *raftnode.Node }

// Tell reports for the order of maintenance.
func (o store) SetMaintenanceReport(life uint64, r maintenance.Report) {
	o.Node.SetMaintenanceReport(raftstore.GatewayReport{Incarnation: life, Report: r})
}

func replicaStatus(r raftstore.MemberView) gateway.CopiesReplica {
	return gateway.CopiesReplica{Number: r.ID, Node: r.Name, Lost: r.Lost}
}

// hex writes a number that was drawn.
func hex(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", n)
}

// Status tells how the gateway stands.
func (o store) Status() gateway.CopiesStatus {
	x := o.Overview()
	s := gateway.CopiesStatus{
		Node: o.Name(), Founding: hex(x.ClusterID), Index: x.Index, Copies: x.VotersPerGroup, Format: x.Format, Disk: hex(x.Store), Failed: x.Failed, Waiting: x.PendingCalls,
		Disks: []gateway.CopiesDisk{}, Groups: []gateway.CopiesGroup{},
	}
	for _, d := range x.Stores {
		s.Disks = append(s.Disks, gateway.CopiesDisk{Number: hex(d.ID), Node: d.Name, Zone: d.Zone, Weight: d.Weight, Gone: d.Removed})
	}
	for _, v := range x.Groups {
		g := gateway.CopiesGroup{Group: v.Group, Epoch: v.Epoch, Lost: v.Lost, Leaving: v.Removing, Replicas: []gateway.CopiesReplica{}}
		for _, r := range v.Voters {
			g.Replicas = append(g.Replicas, replicaStatus(r))
		}
		if v.Adding != nil {
			r := replicaStatus(*v.Adding)
			g.Adding = &r
		}
		if v.Local != nil {
			here := gateway.CopiesHere(*v.Local)
			g.Here = &here
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// contents is what a store's file holds, for whoever asks.
type storeContents struct {
	Disk    string          `json:"disk"`
	Life    uint64          `json:"life"`
	Groups  []groupContents `json:"groups"`
	Retired int             `json:"retired"`
}

type groupContents struct {
	Group    uint32 `json:"group"`
	Epoch    uint32 `json:"epoch"`
	Number   uint64 `json:"number"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Snapshot uint64 `json:"snapshot"`
	Bytes    int    `json:"snapshot_bytes"`
	Last     uint64 `json:"last"`
}

func checkStore(path string, raw bool, out io.Writer) error {
	s, err := raftstorage.Check(path)
	if err != nil {
		return err
	}
	c := storeContents{Disk: fmt.Sprintf("%016x", s.Store), Life: s.Incarnation, Groups: []groupContents{}, Retired: len(s.Retired)}
	for _, g := range s.Members {
		x := groupContents{Group: g.Group, Epoch: g.Epoch, Number: g.Member, Term: g.HardState.GetTerm(), Commit: g.HardState.GetCommit()}
		if g.Snapshot != nil {
			x.Snapshot, x.Bytes = g.Snapshot.GetMetadata().GetIndex(), len(g.Snapshot.Data)
		}
		if x.Last = x.Snapshot; len(g.Entries) > 0 {
			x.Last = g.Entries[len(g.Entries)-1].GetIndex()
		}
		c.Groups = append(c.Groups, x)
	}
	if raw {
		return json.NewEncoder(out).Encode(c)
	}
	fmt.Fprintf(out, "disk %s is whole, last started %v\n", c.Disk, time.UnixMicro(int64(c.Life)).UTC().Format(time.RFC3339))
	for _, x := range c.Groups {
		fmt.Fprintf(out, "group %d, epoch %d, replica %d: term %d, committed up to %d of %d, snapshot at %d (%d bytes)\n",
			x.Group, x.Epoch, x.Number, x.Term, x.Commit, x.Last, x.Snapshot, x.Bytes)
	}
	if c.Retired > 0 {
		fmt.Fprintf(out, "%d replicas must not go on here: this disk was older than what they had acknowledged\n", c.Retired)
	}
	return nil
}
