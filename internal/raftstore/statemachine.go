package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// stateMachine is the replicated state of a group. Only the entries of the group's log change it.
type stateMachine interface {
	// apply applies the entry at an index. It returns a reply for each of its commands.
	apply(index uint64, e *api.Entry) []*api.Reply
	snapshot() []byte
	restore(b []byte) error
	// time is the time of the last entry.
	time() clock.Micros
}
