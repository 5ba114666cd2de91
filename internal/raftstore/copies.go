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
const recordCost = 240

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
	Number      uint64
	Store       uint64
	Incarnation uint64
	Ledger      []byte // nil: as it was
	Members     []MemberWrite
	Retired     []MemberRef // added to those before
	// Sure tells that no replica here still asks whether the disk is the one that it was: only then a witness may say so.
	Recovered bool
}

// GroupWrite is one replica's part of a write, in the order of its fields.
type MemberWrite struct {
	Group, Epoch uint32
	Member       uint64
	Delete       bool         // it is gone; the rest is empty
	Snapshot     *pb.Snapshot // replaces what was before; nil: none
	KeepEntries  bool         // with a snapshot: the entries behind it stay
	Entries      []*pb.Entry  // they replace those from the first one's index on
	HardState    *pb.HardState
}

// Answer is what came of an Ask.
type Response struct {
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
	LostAge, Age clock.Micros
}

// Noticed tells of a change of state, for log and counters.
type Notice struct {
	Kind         NoticeKind
	Group, Epoch uint32
	Number       uint64
	Name         string
	Cause        string
}

// Done tells that nothing is led from here any more, or that it took too long.
type Drained struct{}

func (Send) action()     {}
func (Write) action()    {}
func (Response) action() {}
func (Notice) action()   {}
func (Drained) action()  {}

// Status is what came of a call.
type Status uint8

// The statuses.
const (
	StatusOK               Status = iota
	StatusConflict                // the record's version is another one; it is in the answer
	StatusFull                    // the shard takes no new records
	StatusInvalid                 // the call can never succeed: a key that is too long, a shard that is not there
	StatusDeadlineExceeded        // no answer in time; a change may come into force all the same
	StatusNotSent                 // nobody could be asked in time, and no change comes into force
	StatusFormatTooNew            // some holder does not understand the format of records that it needs
	statusNotLeader
	Statuses
)

var statusNames = [Statuses]string{"ok", "conflict", "full", "bad", "too_late", "not_sent", "too_new", "not_leader"}

// String is the status's name in logs.
func (s Status) String() string { return statusNames[s] }

// Notice is what may be noticed.
type NoticeKind uint8

// The notices.
const (
	NoticeBecameLeader    NoticeKind = iota // this gateway leads a group
	NoticeSteppedDown                       // it does so no more
	NoticeVotersChanged                     // a group's voters changed, in the ledger
	NoticeMemberAssigned                    // a group gets another holder, in the ledger
	NoticeGroupLost                         // more of a group was lost than it can bear: what was promised in it is lost. In the ledger
	NoticeStoreJoined                       // a disk is known to the ledger
	NoticeStoreRemoved                      // a disk is lost for good, in the ledger
	NoticeMemberStale                       // the disk here is older than what this replica had acknowledged: the replica must not go on
	NoticeMemberStarted                     // a replica begins here
	NoticeMemberStopped                     // a replica here is no longer wanted
	NoticeMemberRecovered                   // a replica here takes part again after a start
	NoticeDiskFailed                        // the disk failed
	NoticeForeignCluster                    // a packet of another founding
	NoticeStoreRenumbered                   // the ledger holds this disk lost: it goes on as another one, empty
	NoticeFormatRaised                      // all holders understand a later format of records, in the ledger
	NoticeFormatTooOld                      // a gateway does not understand the format of records that is in use: it holds nothing
	NoticeKinds
)

var noticeNames = [NoticeKinds]string{
	"leads", "leads_no_more", "voters", "new_holder", "lost", "joined", "disk_gone", "disk_older", "replica_begins", "replica_ends",
	"replica_sure", "disk_failed", "another_founding", "disk_renumbered", "format_raised", "format_too_old",
}

// String is the notice's code in the log.
func (n NoticeKind) String() string { return noticeNames[n] }
