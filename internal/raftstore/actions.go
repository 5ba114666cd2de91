package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// Action is an output of Host.Flush: one of the types in this file. Actions are carried out in order.
type Action interface{ action() }

// Send sends a packet. It may be lost.
type Send struct {
	To   string // the receiver's name
	Body []byte
	// Bulk marks a packet that may be sent slowly: it is part of a repair and no caller waits for it.
	Bulk bool
}

// Write is to be written in one transaction with one sync. The next one comes only after this one's WriteCompleted. With another Store
// than before, everything that was on the disk is void.
type Write struct {
	Number      uint64
	Store       uint64
	Incarnation uint64
	Ledger      []byte // nil: unchanged
	Members     []MemberWrite
	Retired     []MemberRef // in addition to earlier ones
	// Recovered says that no member here is still in recovery. Only then may the witness file confirm this disk.
	Recovered bool
}

// MemberWrite is one member's part of a Write. Its fields are applied in their order.
type MemberWrite struct {
	Group, Epoch uint32
	Member       uint64
	Delete       bool         // the member is deleted; the rest is empty
	Snapshot     *pb.Snapshot // replaces what was there; nil: none
	KeepEntries  bool         // with a snapshot: later entries stay
	Entries      []*pb.Entry  // replace those from the first one's index on
	HardState    *pb.HardState
}

// Response is the result of a Request.
type Response struct {
	ID       uint64
	Status   Status
	Version  uint64 // of the record; with StatusConflict, the one that it has
	Value    []byte
	Position uint64
	Found    bool
	// Lost says, of a record that is not found, that it may have existed and been lost; and of a position that is found, that it may
	// have been higher.
	Lost bool
	// LostAge is how long ago that was, at least, and Age how long ago a found record was last changed, in microseconds of the shard's
	// time, which never runs faster than a clock.
	LostAge, Age clock.Micros
}

// Notice reports a change of state, for logs and counters.
type Notice struct {
	Kind         NoticeKind
	Group, Epoch uint32
	Number       uint64 // of the member, store or format that it is about
	Name         string // of a gateway
	Cause        string
}

// OrderChanged reports that the order of maintenance has changed, as far as is known here. The order is shared: it must not be changed.
type OrderChanged struct {
	Index uint64 // of the ledger
	Order *maintenance.Order
}

// Drained follows DrainRequested: this gateway leads no group any more, or the time for that is over.
type Drained struct{}

func (Send) action()         {}
func (Write) action()        {}
func (Response) action()     {}
func (Notice) action()       {}
func (OrderChanged) action() {}
func (Drained) action()      {}
