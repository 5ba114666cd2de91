package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// machine is what a group's replicas keep, changed by the entries of its log only.
type stateMachine interface {
	// apply carries an entry out. It returns a result for each of its commands.
	apply(index uint64, e *api.Entry) []*api.Reply
	snapshot() []byte
	restore(b []byte) error
	// time is that of the last entry.
	time() clock.Micros
}
