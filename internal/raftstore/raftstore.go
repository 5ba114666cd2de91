// Package raftstore keeps what a gateway holds for others on several gateways: shards of records, each a group of replicas that
// agree by Raft (Ongaro and Ousterhout 2014; the library go.etcd.io/raft), and a ledger, one group more, that says which
// gateway holds which shard.
//
// It is pure: messages, times, calls and the ends of disk writes go in; messages, disk writes and answers come out. It owns no
// clock, socket, file or goroutine. The library draws the length of election time-outs from crypto/rand, and nothing else
// here is drawn. Times are whole microseconds; those of a host come from a clock that never steps back, those in a group's log
// are its leader's. This file is its interface. docs/state-store.md has the design, and the promise in exact words.
package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// LedgerGroup is the number of the ledger among the groups; the shards follow.
const LedgerGroup uint32 = 0

// Bounds of what is stored.
const (
	MaxShards     = 64
	MaxKeyBytes   = 256      // bytes
	MaxValueBytes = 16 << 10 // bytes
	MaxNameBytes  = 40       // bytes
	// MostSpan is the longest that a record lasts, in microseconds. What was lost is known as such for so long.
	MaxTTL clock.Micros = 24 * 3600 * 1_000_000
)

// FirstFormat is the format of records that every version understands, OrderFormat the first one with the order of maintenance in the
// ledger, and ThisFormat the one that this version knows.
const (
	FirstFormat       uint32 = 1
	MaintenanceFormat uint32 = 2
	LatestFormat             = MaintenanceFormat
)

// recordCost is what a record costs in memory beside its key and value, in bytes, as measured.
const recordOverhead = 240

// Config is one host.
type Config struct {
	Name   string
	Zone   string
	Weight uint32
	// Holds says that this gateway holds replicas. One that does not is a client of those that do.
	RunsGroups bool
	// Tick is the interval of heartbeats; an election begins after 5 to 9 of them without one.
	Tick clock.Micros
	// HealAfter is for how long a holder must be silent until its replicas get another one.
	RepairAfter clock.Micros
	// HealAtOnce is how many groups may get another holder at the same moment.
	MaxRepairs int
	// LeastLog is how many bytes a log has at the least before a snapshot takes its place.
	MinLogBytes int64
	// MostBytes bounds what the records of one shard cost in memory. A shard that is full refuses new ones.
	MaxShardBytes int64
	// MostCalls bounds the calls that wait for an answer.
	MaxCalls int
	// Format is the latest format of records that this gateway understands; 0: ThisFormat. A command of a later one than the
	// ledger names is refused, and the ledger names one once all holders understand it.
	Format uint32
	// Client is a number that no other start of any gateway has: calls are told apart by it. Not 0.
	ClientID uint64
	// NewStore is the number of the disk where none is found on it. Not 0, and never used before.
	NewStoreID uint64
	// Life tells this start of the disk from the ones before: microseconds of Unix time. A clock that was set back is noticed.
	Incarnation uint64
	// Maintain is by what limits machines are taken out for work, where this gateway leads the ledger; nil: none is.
	Maintenance *maintenance.Limits
	// Founding is the number of the store that a Found event makes. Not 0.
	NewClusterID uint64
}

// Stored is what was found on a disk.
type StoredState struct {
	Store       uint64 // 0: it is new
	Incarnation uint64 // when it was last started
	Ledger      []byte // the ledger as last known
	Members     []StoredMember
	Retired     []MemberRef
}

// Ref names a replica.
type MemberRef struct {
	Group, Epoch uint32
	Member       uint64
}

// StoredGroup is one replica on a disk.
type StoredMember struct {
	Group, Epoch uint32
	Member       uint64
	HardState    *pb.HardState
	Snapshot     *pb.Snapshot
	Entries      []*pb.Entry
}
