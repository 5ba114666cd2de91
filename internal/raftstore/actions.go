package raftstore

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// Action is an output of Host.Flush: one of the types in this file. Actions are carried out in order.
type Action interface{ action() }

// Send sends a packet. The packet may be lost.
type Send struct {
	To   string // the receiver's name
	Body []byte
	// Bulk marks a packet that may be sent slowly, because it is part of a repair and no caller waits for it.
	Bulk bool
}

// Write must be carried out in one transaction with one sync. The next Write follows only after this Write's WriteCompleted.
// If Store differs from the store number on the disk, the previous content of the disk is discarded.
type Write struct {
	Number      uint64
	Store       uint64
	Incarnation uint64
	Ledger      []byte // nil: unchanged
	Members     []MemberWrite
	Retired     []MemberRef // added to those that were retired earlier
	// Recovered reports whether all members on this gateway have completed recovery. Only then may the witness file confirm this
	// disk.
	Recovered bool
}

// MemberWrite is one member's part of a Write. The fields are applied in the order of their declaration.
type MemberWrite struct {
	Group, Epoch uint32
	Member       uint64
	Delete       bool         // the member is deleted; the fields below are empty
	Snapshot     *pb.Snapshot // replaces the stored snapshot and entries; nil: none
	KeepEntries  bool         // with a snapshot: entries after the snapshot are kept
	Entries      []*pb.Entry  // replace all stored entries from the first new entry's index on
	HardState    *pb.HardState
}

// Response is the result of a Request.
type Response struct {
	ID       uint64
	Status   Status
	Version  uint64 // version of the record; with StatusConflict, its current version
	Value    []byte
	Position uint64
	Found    bool
	// Lost reports that records were lost and that this loss may affect the result, because a record that was not found may have
	// existed, and a position that was found may have been higher.
	Lost bool
	// LostAge is the minimum time since the records were lost. Age is the time since a found record was last changed. Both are in
	// microseconds of the shard's time, which never runs faster than a clock.
	LostAge, Age clock.Micros
}

// Notice reports a change of state, for logs and counters.
type Notice struct {
	Kind         NoticeKind
	Group, Epoch uint32
	Number       uint64 // number of the member, store or format concerned
	Name         string // name of the gateway concerned
	Cause        string
}

// OrderChanged reports that the maintenance order known on this gateway has changed. Order is shared and must not be modified.
type OrderChanged struct {
	Index uint64 // index of the ledger
	Order *maintenance.Order
}

// Drained ends the drain that DrainRequested began: this gateway no longer leads any group that has another voter, or the drain has
// timed out.
type Drained struct{}

func (Send) action()         {}
func (Write) action()        {}
func (Response) action()     {}
func (Notice) action()       {}
func (OrderChanged) action() {}
func (Drained) action()      {}
