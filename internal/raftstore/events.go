package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// Event is an input of Host.Handle: one of the types in this file.
type Event interface{ event() }

// Tick says that time has passed. It is due at Host.NextTick and may come more often.
type Tick struct{}

// PacketReceived is a packet from another gateway, already authenticated.
type PacketReceived struct {
	From string // the sender's name
	Body []byte
}

// WriteCompleted says that a Write, and all writes before it, are durable.
type WriteCompleted struct{ Number uint64 }

// DiskFailed says that the disk cannot be written any more. The members here stop, since what they acknowledge from now on could be
// lost, and the ledger has others take their place.
type DiskFailed struct{ Cause string }

// Request is a call by this gateway itself: a Command without client and sequence, or a Get. Its Response carries the same ID.
type Request struct {
	ID      uint64
	Shard   uint32 // from 1, see ShardOf; LedgerGroup takes a MaintenanceCommand, and a Get of MaintenanceKey
	Command *api.Command
	Get     *api.Get
	// Deadline is when the caller stops waiting for the response.
	Deadline clock.Micros
}

// BootstrapRequested makes a new state store with this gateway's disk as its first store. It has no effect where a state store is known
// already. Unless First is set, an earlier state store may have been lost: for MaxTTL, a record that is not found in the new one
// counts as possibly lost.
type BootstrapRequested struct {
	Shards, Voters int // number of shards, and of voters of each group
	First          bool
}

// StoreRemoved is an operator's statement that a gateway's disk will never come back.
type StoreRemoved struct{ Name string }

// ShardReset is an operator's statement that a shard cannot recover: it restarts empty, and what it held is known as lost.
type ShardReset struct{ Shard uint32 }

// DrainRequested has this gateway hand over the leadership of its groups. Drained follows.
type DrainRequested struct{}

// PeersChanged lists the names of the other gateways.
type PeersChanged struct{ Names []string }

// MembershipChanged lists the gateways that membership knows, for planning maintenance on the ledger's leader.
type MembershipChanged struct{ Members []maintenance.Member }

// LimitsChanged sets the limits of maintenance.
type LimitsChanged struct{ maintenance.Limits }

// GatewayReport is this gateway's report for maintenance, with the gateway's own incarnation (not its store's).
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
