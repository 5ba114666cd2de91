// Package raftstore is a replicated store on the gateways themselves (multi-Raft). Records are spread over shards; each shard is a Raft
// group (Ongaro and Ousterhout 2014; the library go.etcd.io/raft) with members on several gateways. One more group, the ledger, holds
// the placement: which stores (disks of gateways) there are, and which groups have members on them. Every gateway has a Host. A host
// with a store runs the members that the ledger places on it; any other host is a client of those.
//
// The package is pure. Host.Handle takes an Event (events.go): a packet, a tick, a finished disk write, a request. Host.Flush returns the
// Actions (actions.go) that follow: packets, disk writes, responses, notices. internal/raftnode calls both, from the one goroutine that
// owns the Host; internal/raftstorage writes and reads the disk. There is no clock, socket, file, lock or goroutine here, and nothing
// is random but the Raft library's election time-outs (from crypto/rand). Times are microseconds: a host's from a clock that never
// steps back, those in a group's log from its leader (group.groupTime).
//
// Where decisions are made:
//   - which store gets which member: planner.plan, on the ledger's leader; it is checked again in ledger.applyChange, on every member;
//   - which members run here: Host.reconcile, after each new ledger;
//   - how a group's voters change: group.proposeConfChange, on the group's leader;
//   - whether a restarted member may vote again: group.queryPeers and group.finishRecovery;
//   - what must be on the disk before a message leaves: group.queueWrite, group.sendOnceTermDurable, group.applyDurable;
//   - where a call goes, and when it is sent again: Host.sendCall and Host.retryCalls.
//
// docs/state-store.md has the design and what exactly the store promises.
package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// LedgerGroup is the number of the ledger among the groups. The shards follow, from 1.
const LedgerGroup uint32 = 0

// Bounds of what is stored.
const (
	MaxShards     = 64
	MaxKeyBytes   = 256
	MaxValueBytes = 16 << 10
	MaxNameBytes  = 40
	// MaxTTL is the longest lifetime of a record, in microseconds. A lost shard is known as lost for as long.
	MaxTTL clock.Micros = 24 * 3600 * 1_000_000
)

// Record formats: FirstFormat is understood by every version, MaintenanceFormat is the first with the order of maintenance in the ledger,
// and LatestFormat is the latest that this version understands.
const (
	FirstFormat       uint32 = 1
	MaintenanceFormat uint32 = 2
	LatestFormat             = MaintenanceFormat
)

// recordOverhead is the measured memory cost of a record beside its key and value, in bytes.
const recordOverhead = 240

// Config is the configuration of one host.
type Config struct {
	Name   string // of the gateway
	Zone   string
	Weight uint32 // for placement; 0 counts as 1
	// RunsGroups says that this gateway has a store and runs group members. Without it the host is a client only.
	RunsGroups bool
	// Tick is the interval of heartbeats. An election begins after 5 to 9 ticks without one.
	Tick clock.Micros
	// RepairAfter is how long a store must be silent before its members are replaced.
	RepairAfter clock.Micros
	// MaxRepairs is how many groups may have a member replaced at the same time.
	MaxRepairs int
	// MinLogBytes is the smallest log size at which a snapshot takes the log's place.
	MinLogBytes int64
	// MaxShardBytes bounds the memory cost of one shard's records. A full shard refuses new records.
	MaxShardBytes int64
	// MaxCalls bounds this gateway's own calls that wait for a response.
	MaxCalls int
	// Format is the latest record format that this gateway understands; 0: LatestFormat. A command that needs a later format than the
	// ledger names is rejected. The ledger names a format once all stores understand it.
	Format uint32
	// ClientID tells this gateway's calls from all others; no two starts of any gateway have the same. Not 0.
	ClientID uint64
	// NewStoreID is the number of the store if the disk is empty. Not 0, and never used before.
	NewStoreID uint64
	// Incarnation tells this start of the store from earlier ones: microseconds of Unix time. A clock that was set back is noticed.
	Incarnation uint64
	// Maintenance limits how many machines are out for work at once, where this gateway leads the ledger; nil: no maintenance.
	Maintenance *maintenance.Limits
	// NewClusterID is the number of the state store that a BootstrapRequested event makes. Not 0.
	NewClusterID uint64
}

// StoredState is what was found on a disk at the start.
type StoredState struct {
	Store       uint64 // the store's number; 0: the disk is empty
	Incarnation uint64 // of the last start
	Ledger      []byte // the latest ledger that was known, encoded
	Members     []StoredMember
	Retired     []MemberRef // members that must never run on this disk again
}

// MemberRef names a group member.
type MemberRef struct {
	Group, Epoch uint32
	Member       uint64
}

// StoredMember is one group member on a disk.
type StoredMember struct {
	Group, Epoch uint32
	Member       uint64
	HardState    *pb.HardState
	Snapshot     *pb.Snapshot
	Entries      []*pb.Entry
}
