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

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// LedgerGroup is the number of the ledger among the groups; the shards follow.
const LedgerGroup uint32 = 0

// Bounds of what is stored.
const (
	MostShards = 64
	MostKey    = 256      // bytes
	MostValue  = 16 << 10 // bytes
	MostName   = 40       // bytes
	// MostSpan is the longest that a record lasts, in microseconds. What was lost is known as such for so long.
	MostSpan clock.Micros = 24 * 3600 * 1_000_000
)

// FirstFormat is the format of records that every version understands, OrderFormat the first one with the order of maintenance in the
// ledger, and ThisFormat the one that this version knows.
const (
	FirstFormat uint32 = 1
	OrderFormat uint32 = 2
	ThisFormat         = OrderFormat
)

// recordCost is what a record costs in memory beside its key and value, in bytes, as measured.
const recordCost = 240

// Config is one host.
type Config struct {
	Name   string
	Zone   string
	Weight uint32
	// Holds says that this gateway holds replicas. One that does not is a client of those that do.
	Holds bool
	// Tick is the interval of heartbeats; an election begins after 5 to 9 of them without one.
	Tick clock.Micros
	// HealAfter is for how long a holder must be silent until its replicas get another one.
	HealAfter clock.Micros
	// HealAtOnce is how many groups may get another holder at the same moment.
	HealAtOnce int
	// LeastLog is how many bytes a log has at the least before a snapshot takes its place.
	LeastLog int64
	// MostBytes bounds what the records of one shard cost in memory. A shard that is full refuses new ones.
	MostBytes int64
	// MostCalls bounds the calls that wait for an answer.
	MostCalls int
	// Format is the latest format of records that this gateway understands; 0: ThisFormat. A command of a later one than the
	// ledger names is refused, and the ledger names one once all holders understand it.
	Format uint32
	// Client is a number that no other start of any gateway has: calls are told apart by it. Not 0.
	Client uint64
	// NewStore is the number of the disk where none is found on it. Not 0, and never used before.
	NewStore uint64
	// Life tells this start of the disk from the ones before: microseconds of Unix time. A clock that was set back is noticed.
	Life uint64
	// Maintain is by what limits machines are taken out for work, where this gateway leads the ledger; nil: none is.
	Maintain *maintenance.Limits
	// Founding is the number of the store that a Found event makes. Not 0.
	Founding uint64
}

// Stored is what was found on a disk.
type Stored struct {
	Store   uint64 // 0: it is new
	Life    uint64 // when it was last started
	View    []byte // the ledger as last known
	Groups  []StoredGroup
	Retired []Ref
}

// Ref names a replica.
type Ref struct {
	Group, Epoch uint32
	Number       uint64
}

// StoredGroup is one replica on a disk.
type StoredGroup struct {
	Group, Epoch uint32
	Number       uint64
	Hard         *pb.HardState
	Snapshot     *pb.Snapshot
	Entries      []*pb.Entry
}

// Event is one of the events below.
type Event interface{ event() }

// Tick tells that time has passed. It comes when Next says, and may come oftener.
type Tick struct{}

// Heard is a packet, checked and authentic, from a gateway of that name.
type Heard struct {
	From string
	Body []byte
}

// Written tells that a write, and all before it, is on the disk to stay.
type Written struct{ Number uint64 }

// Failed tells that the disk can no longer be written. What the replicas here acknowledge from now on could be lost, so they
// acknowledge nothing, and the ledger has others take their place.
type Failed struct{ Cause string }

// Ask is a call of this gateway's own: a Command without client and sequence, or a Get. Its Answer carries the ID.
type Ask struct {
	ID      uint64
	Shard   uint32 // counted from 1, see ShardOf; the ledger takes what Command makes, and a Get of MaintainKey
	Command *api.Command
	Get     *api.Get
	By      clock.Micros // when nobody waits for the answer any more
}

// Found makes a new store with this gateway as its first holder, where it knows of none. Without First another one may have been
// lost before: what is not found in the new one then counts as lost, for as long as a record may last.
type Found struct {
	Shards, Copies int
	First          bool
}

// Gone says that a gateway's disk will never come back: an operator's word.
type Gone struct{ Name string }

// Anew is an operator's word that a shard cannot go on: it is begun anew, and what it held is known as lost.
type Anew struct{ Shard uint32 }

// Leave has this gateway hand over what it leads; Done follows.
type Leave struct{}

// Others tells which other gateways there are.
type Others struct{ Names []string }

func (Tick) event()    {}
func (Heard) event()   {}
func (Written) event() {}
func (Failed) event()  {}
func (Ask) event()     {}
func (Found) event()   {}
func (Gone) event()    {}
func (Anew) event()    {}
func (Leave) event()   {}
func (Others) event()  {}

// Action is one of the actions below, to be carried out in order.
type Action interface{ action() }

// Send sends a packet. It may be lost.
type Send struct {
	To   string
	Body []byte
	// Bulk is a packet whose sending may take its time: it heals something and nobody waits for it.
	Bulk bool
}

// Write is to be written, in one transaction with one sync. The next one comes only after this one's Written. With another
// store's number than before, nothing of what was there counts.
type Write struct {
	Number  uint64
	Store   uint64
	Life    uint64
	View    []byte // nil: as it was
	Groups  []GroupWrite
	Retired []Ref // added to those before
	// Sure tells that no replica here still asks whether the disk is the one that it was: only then a witness may say so.
	Sure bool
}

// GroupWrite is one replica's part of a write, in the order of its fields.
type GroupWrite struct {
	Group, Epoch uint32
	Number       uint64
	Drop         bool         // it is gone; the rest is empty
	Snapshot     *pb.Snapshot // replaces what was before; nil: none
	Keep         bool         // with a snapshot: the entries behind it stay
	Entries      []*pb.Entry  // they replace those from the first one's index on
	Hard         *pb.HardState
}

// Answer is what came of an Ask.
type Answer struct {
	ID       uint64
	Status   Status
	Version  uint64
	Value    []byte
	Position uint64
	Found    bool
	// Lost tells that a record that is not found may have been there, and lost: nobody may take it for one that never was. A number
	// that is found may have been higher.
	Lost bool
	// Since is how long ago that was, at the least, and Age how long ago a record that is found was last changed: by the
	// shard's time, which goes no faster than any clock.
	Since, Age clock.Micros
}

// Noticed tells of a change of state, for log and counters.
type Noticed struct {
	What         Notice
	Group, Epoch uint32
	Number       uint64
	Name         string
	Cause        string
}

// Done tells that nothing is led from here any more, or that it took too long.
type Done struct{}

func (Send) action()    {}
func (Write) action()   {}
func (Answer) action()  {}
func (Noticed) action() {}
func (Done) action()    {}

// Status is what came of a call.
type Status uint8

// The statuses.
const (
	OK       Status = iota
	Conflict        // the record's version is another one; it is in the answer
	Full            // the shard takes no new records
	Bad             // the call can never succeed: a key that is too long, a shard that is not there
	TooLate         // no answer in time; a change may come into force all the same
	NotSent         // nobody could be asked in time, and no change comes into force
	TooNew          // some holder does not understand the format of records that it needs
	notLeader
	Statuses
)

var statusNames = [Statuses]string{"ok", "conflict", "full", "bad", "too_late", "not_sent", "too_new", "not_leader"}

// String is the status's name in logs.
func (s Status) String() string { return statusNames[s] }

// Notice is what may be noticed.
type Notice uint8

// The notices.
const (
	Led        Notice = iota // this gateway leads a group
	Unled                    // it does so no more
	Settled                  // a group's voters changed, in the ledger
	Assigned                 // a group gets another holder, in the ledger
	LostGroup                // more of a group was lost than it can bear: what was promised in it is lost. In the ledger
	Joined                   // a disk is known to the ledger
	StoreGone                // a disk is lost for good, in the ledger
	Stale                    // the disk here is older than what this replica had acknowledged: the replica must not go on
	Taken                    // a replica begins here
	Dropped                  // a replica here is no longer wanted
	Sure                     // a replica here takes part again after a start
	DiskLost                 // the disk failed
	Foreign                  // a packet of another founding
	Renumbered               // the ledger holds this disk lost: it goes on as another one, empty
	Raised                   // all holders understand a later format of records, in the ledger
	Older                    // a gateway does not understand the format of records that is in use: it holds nothing
	Notices
)

var noticeNames = [Notices]string{
	"leads", "leads_no_more", "voters", "new_holder", "lost", "joined", "disk_gone", "disk_older", "replica_begins", "replica_ends",
	"replica_sure", "disk_failed", "another_founding", "disk_renumbered", "format_raised", "format_too_old",
}

// String is the notice's code in the log.
func (n Notice) String() string { return noticeNames[n] }
