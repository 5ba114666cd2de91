// Package raftgateway connects the gateway (internal/gateway) to the state store (internal/raftnode). Only the program
// marblespan-raft links it, since what it needs costs memory that a gateway without a state store must not pay: Register gives the
// gateway the functions that open and check a store.
//
// It has no state and no goroutines of its own: a store is a raftnode.Node, whose responses this package translates into the
// gateway's terms on the goroutine that has them.
package raftgateway

import (
	"strconv"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/gateway"
	"marblespan/internal/intents"
	"marblespan/internal/maintenance"
	"marblespan/internal/raftnode"
	"marblespan/internal/raftstore"
)

// minLogBytes is how long a shard's log is before a snapshot replaces it, in bytes.
const minLogBytes = 1 << 20

// Format is the latest format of records that this program claims to understand; empty: this version's. The tests of upgrades link
// programs with another one (-ldflags -X).
var Format string

// Register gives the gateway of this process the functions that need the state store. It must be called before the gateway starts.
func Register() {
	gateway.OpenStore = openStore
	gateway.CheckStore = checkStore
	gateway.OpenIntents = func(s intents.Settings) intents.Resolver { return intents.New(s) }
}

// store is a node with the methods that the gateway expects.
type store struct{ *raftnode.Node }

// openStore starts a node. It ends with the store's Close.
func openStore(s gateway.StoreSettings) (gateway.Store, error) {
	nodeClock := raftnode.Clock{
		Now: func() clock.Micros { return clock.Micros(s.Clock.Now()) },
		At:  func(t clock.Micros) time.Time { return s.Clock.Time(clock.Micros(t)) },
	}
	format, _ := strconv.ParseUint(Format, 10, 32) // 0 if it is empty: this version's
	c := s.StateStore
	node, err := raftnode.Start(raftnode.Settings{
		Node: s.Node, Zone: s.Zone, Weight: s.Weight, RunsGroups: c.RunsRaftNode(s.Node), StoragePath: c.StoragePath(), WitnessPath: c.Witness,
		Tick: c.Heartbeat, RepairAfter: c.RepairAfter, MaxRepairs: c.MaxRepairs, RepairRate: int(c.RepairRate),
		MaxShardBytes: int64(c.Memory), MinLogBytes: minLogBytes, RecordFormat: uint32(format), Peers: s.LivePeers,
		MaintenanceLimits: s.MaintenanceLimits, Members: s.Members, OnOrder: s.OnOrder,
	}, nodeClock, s.Streams, s.Log)
	if err != nil {
		return nil, err
	}
	return store{node}, nil
}

// SetMaintenanceReport passes on what an incarnation of this gateway reports for the maintenance order.
func (s store) SetMaintenanceReport(incarnation uint64, r maintenance.Report) {
	s.Node.SetMaintenanceReport(raftstore.GatewayReport{Incarnation: incarnation, Report: r})
}
