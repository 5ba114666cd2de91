package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// stateMachine is the replicated state of a group. It is changed only by applying entries of the group's log.
type stateMachine interface {
	// apply applies the entry at the given index and returns a reply for each of its commands.
	apply(index uint64, e *api.Entry) []*api.Reply
	snapshot() []byte
	restore(b []byte) error
	// time returns the time of the last applied entry.
	time() clock.Micros
}
