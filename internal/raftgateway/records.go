package raftgateway

import (
	"time"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/raftstore"
)

// resultOf maps a status of the state store to the result for an in-doubt write. Statuses without an entry are never returned to callers.
var resultOf = [raftstore.Statuses]indoubt.Result{
	raftstore.StatusOK:               indoubt.OK,
	raftstore.StatusConflict:         indoubt.Conflict,
	raftstore.StatusFull:             indoubt.NotApplied,
	raftstore.StatusInvalid:          indoubt.NotApplied,
	raftstore.StatusDeadlineExceeded: indoubt.Unknown,
	raftstore.StatusNotSent:          indoubt.NotApplied,
	raftstore.StatusFormatTooNew:     indoubt.NotApplied,
}

// replyFrom converts a response of the state store to a reply for package intents.
func replyFrom(a raftstore.Response) intents.StoreReply {
	return intents.StoreReply{
		Result: resultOf[a.Status], Version: a.Version, Value: a.Value, Found: a.Found, PossiblyLost: a.Lost,
		Age: time.Duration(a.Age) * time.Microsecond, SinceLoss: time.Duration(a.LostAge) * time.Microsecond,
	}
}

// Put stores a record if the stored record has the given version or, with version 0, if there is no stored record. The record is kept
// for ttl after its last change. done is called as described for raftnode.Node.Submit, no later than at the deadline, usually by the
// node's event loop. done must not block.
func (s store) Put(key, value []byte, version uint64, ttl time.Duration, deadline time.Time, done func(intents.StoreReply)) {
	command := &api.Command{Put: &api.Put{Key: key, Value: value, Conditional: true, Version: version, Ttl: ttl.Microseconds()}}
	s.Call(key, command, deadline, func(a raftstore.Response) { done(replyFrom(a)) })
}

// Get reads a record. done is called as described for Put.
func (s store) Get(key []byte, deadline time.Time, done func(intents.StoreReply)) {
	s.Call(key, nil, deadline, func(a raftstore.Response) { done(replyFrom(a)) })
}
