package raftgateway

import (
	"time"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/raftstore"
)

// resultOf is what a status of the state store means for an in-doubt write. A status without an entry is not given to callers.
var resultOf = [raftstore.Statuses]indoubt.Result{
	raftstore.StatusOK:               indoubt.OK,
	raftstore.StatusConflict:         indoubt.Conflict,
	raftstore.StatusFull:             indoubt.NotApplied,
	raftstore.StatusInvalid:          indoubt.NotApplied,
	raftstore.StatusDeadlineExceeded: indoubt.Unknown,
	raftstore.StatusNotSent:          indoubt.NotApplied,
	raftstore.StatusFormatTooNew:     indoubt.NotApplied,
}

// replyFrom translates a response of the state store.
func replyFrom(a raftstore.Response) intents.StoreReply {
	return intents.StoreReply{
		Result: resultOf[a.Status], Version: a.Version, Value: a.Value, Found: a.Found, PossiblyLost: a.Lost,
		Age: time.Duration(a.Age) * time.Microsecond, SinceLoss: time.Duration(a.LostAge) * time.Microsecond,
	}
}

// Put stores a record, for ttl since its last change, if the stored one has this version; 0: if there is none. The node's event loop
// calls done, at the deadline at the latest; done must not block.
func (s store) Put(key, value []byte, version uint64, ttl time.Duration, deadline time.Time, done func(intents.StoreReply)) {
	command := &api.Command{Put: &api.Put{Key: key, Value: value, Conditional: true, Version: version, Ttl: ttl.Microseconds()}}
	s.Call(key, command, deadline, func(a raftstore.Response) { done(replyFrom(a)) })
}

// Get reads a record. done is called as by Put.
func (s store) Get(key []byte, deadline time.Time, done func(intents.StoreReply)) {
	s.Call(key, nil, deadline, func(a raftstore.Response) { done(replyFrom(a)) })
}
