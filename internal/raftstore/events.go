package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// Event is an input of Host.Handle: one of the types in this file.
type Event interface{ event() }

// Tick reports that time has passed. The next Tick is due at the time that Host.NextTick returns; additional ticks before that
// time are harmless.
type Tick struct{}

// PacketReceived is a packet from another gateway that has already been authenticated.
type PacketReceived struct {
	From string // the sender's name
	Body []byte
}

// WriteCompleted reports that a Write and all writes before it are durable.
type WriteCompleted struct{ Number uint64 }

// DiskFailed reports that the disk can no longer be written. All members on this gateway stop, because anything that they
// acknowledged from now on could be lost. The ledger then replaces them with other members.
type DiskFailed struct{ Cause string }

// Request is a call by this gateway itself: either a Command whose client and sequence are not set, or a Get. Its Response carries
// the same ID.
type Request struct {
	ID      uint64
	Shard   uint32 // from 1, see ShardOf; LedgerGroup accepts only a MaintenanceCommand or a Get of MaintenanceKey
	Command *api.Command
	Get     *api.Get
	// Deadline is the time at which the caller stops waiting for the response.
	Deadline clock.Micros
}

// BootstrapRequested creates a new state store with this gateway's disk as its first store. It has no effect if this gateway
// already knows a state store. Unless First is set, an earlier state store may have been lost; therefore the new one reports
// records that it does not find as possibly lost, for the duration of MaxTTL.
type BootstrapRequested struct {
	Shards, Voters int // number of shards, and number of voters of each group
	First          bool
}

// StoreRemoved is an operator's statement that a gateway's disk is permanently lost.
type StoreRemoved struct{ Name string }

// ShardReset is an operator's statement that a shard cannot recover. The shard restarts empty, and its former records are reported
// as possibly lost.
type ShardReset struct{ Shard uint32 }

// DrainRequested makes this gateway hand over the leadership of its groups. A Drained action follows.
type DrainRequested struct{}

// PeersChanged lists the names of the other gateways.
type PeersChanged struct{ Names []string }

// MembershipChanged lists the gateways known to membership. The ledger's leader plans maintenance with it.
type MembershipChanged struct{ Members []maintenance.Member }

// LimitsChanged replaces the maintenance limits.
type LimitsChanged struct{ maintenance.Limits }

// GatewayReport is this gateway's report for maintenance planning. Incarnation is that of the gateway, not that of its store.
type GatewayReport struct {
	Incarnation uint64
	maintenance.Report
}

func (Tick) event()               {}
func (PacketReceived) event()     {}
func (WriteCompleted) event()     {}
func (DiskFailed) event()         {}
func (Request) event()            {}
func (BootstrapRequested) event() {}
func (StoreRemoved) event()       {}
func (ShardReset) event()         {}
func (DrainRequested) event()     {}
func (PeersChanged) event()       {}
func (MembershipChanged) event()  {}
func (LimitsChanged) event()      {}
func (GatewayReport) event()      {}
