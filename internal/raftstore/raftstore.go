// Package raftstore implements a replicated store that runs on the gateways themselves (multi-Raft). Records are distributed over
// shards. Each shard is a Raft group (Ongaro and Ousterhout 2014; the library go.etcd.io/raft) with members on several gateways. One
// additional group, the ledger, holds the placement: which stores (disks of gateways) exist, and which groups have members on them.
// Every gateway has a Host. A host with a store runs the members that the ledger places on it. A host without a store is only a
// client of the groups.
//
// The package does no I/O. Host.Handle takes an Event (events.go): a packet, a tick, a completed disk write, a request. Host.Flush
// returns the resulting Actions (actions.go): packets, disk writes, responses, notices. internal/raftnode calls both from the single
// goroutine that owns the Host; internal/raftstorage writes and reads the disk. The package uses no clock, socket, file, lock or
// goroutine, and no randomness except the Raft library's election timeouts (from crypto/rand). Times are in microseconds. A host's
// time comes from a monotonic clock; the time in a group's log comes from the group's leader (group.groupTime).
//
// Where decisions are made:
//   - which store gets which member: planner.plan, on the ledger's leader; ledger.applyChange checks the result again on every member;
//   - which members run on this gateway: Host.reconcile, after each new ledger;
//   - how a group's voters change: group.proposeConfChange, on the group's leader;
//   - whether a restarted member may vote again: group.queryPeers and group.finishRecovery;
//   - what must be on the disk before a message is sent: group.queueWrite, group.sendOnceTermDurable, group.applyDurable;
//   - where a call is sent, and when it is sent again: Host.sendCall and Host.retryCalls.
//
// docs/state-store.md describes the design and the exact guarantees of the store.
package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// LedgerGroup is the number of the ledger among the groups. The shards follow, from 1.
const LedgerGroup uint32 = 0

// Limits on what is stored.
const (
	MaxShards     = 64
	MaxKeyBytes   = 256
	MaxValueBytes = 16 << 10
	MaxNameBytes  = 40
	// MaxTTL is the longest lifetime of a record, in microseconds. The loss of a shard is reported for the same length of time,
	// because after that every lost record would have expired.
	MaxTTL clock.Micros = 24 * 3600 * 1_000_000
)

// Record formats. FirstFormat is understood by every version. MaintenanceFormat is the first format in which the ledger contains
// the maintenance order. LatestFormat is the latest format that this version understands.
const (
	FirstFormat       uint32 = 1
	MaintenanceFormat uint32 = 2
	LatestFormat             = MaintenanceFormat
)

// recordOverhead is the memory cost of a record in addition to its key and value, in bytes.
const recordOverhead = 240

// Config is the configuration of one host.
type Config struct {
	Name   string // name of the gateway
	Zone   string
	Weight uint32 // for placement; 0 counts as 1
	// RunsGroups is set if this gateway has a store and runs group members. Otherwise the host is only a client.
	RunsGroups bool
	// Tick is the heartbeat interval. A member starts an election after 5 to 9 ticks without a heartbeat.
	Tick clock.Micros
	// RepairAfter is how long a store must be silent before its members are replaced.
	RepairAfter clock.Micros
	// MaxRepairs limits how many groups may be replacing a member at the same time.
	MaxRepairs int
	// MinLogBytes is the minimum size that the log since the last snapshot must reach before the next snapshot is written.
	MinLogBytes int64
	// MaxShardBytes limits the memory cost of one shard's records. A full shard rejects writes that need more memory.
	MaxShardBytes int64
	// MaxCalls limits the number of this gateway's own calls that wait for a response.
	MaxCalls int
	// Format is the latest record format that this gateway understands; 0 means LatestFormat. A command that needs a later format
	// than the ledger allows is rejected. The ledger allows a format once all stores understand it.
	Format uint32
	// ClientID distinguishes this gateway's calls from those of all other gateways. It must be different at every start of every
	// gateway, and not 0.
	ClientID uint64
	// FirstCallID is the ID of this gateway's first call; later calls count up from it. It must be a random number at every start.
	// A leader may reply to a call after the gateway that sent it has restarted, and the reply names only the gateway and the ID.
	FirstCallID uint64
	// NewStoreID is the number that the store gets if the disk is empty. It must not be 0 and must never have been used before.
	NewStoreID uint64
	// Incarnation distinguishes this start of the store from earlier ones. It is the time of the start in microseconds of Unix time.
	// If the clock was set back, the host detects this and uses a higher number.
	Incarnation uint64
	// Maintenance limits how many machines may be out of service at once. It applies while this gateway leads the ledger. If it is
	// nil, maintenance is disabled on this gateway.
	Maintenance *maintenance.Limits
	// NewClusterID is the cluster ID of the state store that a BootstrapRequested event creates. It must not be 0.
	NewClusterID uint64
}

// StoredState is the state that is found on a disk at the start.
type StoredState struct {
	Store       uint64 // the store's number; 0: the disk is empty
	Incarnation uint64 // incarnation of the last start
	Ledger      []byte // the latest known ledger, encoded
	Members     []StoredMember
	Retired     []MemberRef // members that must never run on this disk again
}

// MemberRef identifies a group member.
type MemberRef struct {
	Group, Epoch uint32
	Member       uint64
}

// StoredMember is the stored state of one group member.
type StoredMember struct {
	Group, Epoch uint32
	Member       uint64
	HardState    *pb.HardState
	Snapshot     *pb.Snapshot
	Entries      []*pb.Entry
}
