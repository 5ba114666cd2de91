package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// Event is one of the events below.
type Event interface{ event() }

// Tick tells that time has passed. It comes when Next says, and may come oftener.
type Tick struct{}

// Heard is a packet, checked and authentic, from a gateway of that name.
type PacketReceived struct {
	From string
	Body []byte
}

// Written tells that a write, and all before it, is on the disk to stay.
type WriteCompleted struct{ Number uint64 }

// Failed tells that the disk can no longer be written. What the replicas here acknowledge from now on could be lost, so they
// acknowledge nothing, and the ledger has others take their place.
type DiskFailed struct{ Cause string }

// Ask is a call of this gateway's own: a Command without client and sequence, or a Get. Its Answer carries the ID.
type Request struct {
	ID       uint64
	Shard    uint32 // counted from 1, see ShardOf; the ledger takes what Command makes, and a Get of MaintainKey
	Command  *api.Command
	Get      *api.Get
	Deadline clock.Micros // when nobody waits for the answer any more
}

// Found makes a new store with this gateway as its first holder, where it knows of none. Without First another one may have been
// lost before: what is not found in the new one then counts as lost, for as long as a record may last.
type BootstrapRequested struct {
	Shards, Voters int
	First          bool
}

// Gone says that a gateway's disk will never come back: an operator's word.
type StoreRemoved struct{ Name string }

// Anew is an operator's word that a shard cannot go on: it is begun anew, and what it held is known as lost.
type ShardReset struct{ Shard uint32 }

// Leave has this gateway hand over what it leads; Done follows.
type DrainRequested struct{}

// Others tells which other gateways there are.
type PeersChanged struct{ Names []string }

// Members tells who there is, for the ledger's leader to plan maintenance by.
type MembershipChanged struct{ Members []maintenance.Member }

// Limits are by what limits machines are taken out from now on.
type LimitsChanged struct{ maintenance.Limits }

// Own is what this gateway reports for the order of maintenance, in a life of its own.
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
