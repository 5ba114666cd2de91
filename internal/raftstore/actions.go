package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

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

// Ordered tells that the order of maintenance has changed, as far as is known here. It must not be changed.
type OrderChanged struct {
	Index uint64 // the ledger's
	Order *maintenance.Order
}

// Done tells that nothing is led from here any more, or that it took too long.
type Drained struct{}

func (Send) action()         {}
func (Write) action()        {}
func (Response) action()     {}
func (Notice) action()       {}
func (OrderChanged) action() {}
func (Drained) action()      {}
