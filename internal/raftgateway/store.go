// Package raftgateway connects the gateway (internal/gateway) to the state store (internal/raftnode). Register gives the gateway the
// functions that open and check a store. Only the program marblespan-raft links this package, because its dependencies cost memory that
// a gateway without a state store should not need.
//
// The package has no state and no goroutines of its own. A store is a raftnode.Node; the package converts its responses to the types
// that the gateway uses, on the goroutine that delivers the response.
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

// minLogBytes is the size that a shard's log must reach before it may be replaced by a snapshot, in bytes.
const minLogBytes = 1 << 20

// Format is the latest record format that this program claims to understand. An empty Format stands for the latest format of this version.
// The upgrade tests set it with -ldflags -X to build programs that claim another format.
var Format string

// Register gives the gateway of this process the functions that depend on the state store. It must be called before the gateway starts.
func Register() {
	gateway.OpenStore = openStore
	gateway.CheckStore = checkStore
	gateway.OpenIntents = func(s intents.Settings) intents.Resolver { return intents.New(s) }
}

// store wraps a node with the methods that the gateway expects (gateway.Store).
type store struct{ *raftnode.Node }

// openStore starts a node. The caller must close the returned store.
func openStore(s gateway.StoreSettings) (gateway.Store, error) {
	nodeClock := raftnode.Clock{
		Now: func() clock.Micros { return clock.Micros(s.Clock.Now()) },
		At:  func(t clock.Micros) time.Time { return s.Clock.Time(clock.Micros(t)) },
	}
	format, _ := strconv.ParseUint(Format, 10, 32) // 0 if Format is empty, which selects the format of this version
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

// SetMaintenanceReport passes the report of an incarnation of this gateway to the state store, for maintenance planning.
func (s store) SetMaintenanceReport(incarnation uint64, r maintenance.Report) {
	s.Node.SetMaintenanceReport(raftstore.GatewayReport{Incarnation: incarnation, Report: r})
}
