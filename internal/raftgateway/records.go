package raftgateway

import (
	"time"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/raftstore"
)

// results says the store's statuses in the terms of bookings.
var resultOf = [raftstore.Statuses]indoubt.Result{
	raftstore.StatusOK: indoubt.OK, raftstore.StatusConflict: indoubt.Conflict, raftstore.StatusFull: indoubt.NotApplied, raftstore.StatusInvalid: indoubt.NotApplied, raftstore.StatusDeadlineExceeded: indoubt.Unknown,
	raftstore.StatusNotSent: indoubt.NotApplied, raftstore.StatusFormatTooNew: indoubt.NotApplied,
}

func storedFrom(a raftstore.Response) intents.StoreReply {
	return intents.StoreReply{
		Result: resultOf[a.Status], Version: a.Version, Value: a.Value, Found: a.Found, PossiblyLost: a.Lost,
		Age: time.Duration(a.Age) * time.Microsecond, SinceLoss: time.Duration(a.LostAge) * time.Microsecond,
	}
}

// Put changes a record if its version is this one.
func (o store) Put(key, value []byte, version uint64, span time.Duration, by time.Time, done func(intents.StoreReply)) {
	command := &api.Command{Put: &api.Put{Key: key, Value: value, Conditional: true, Version: version, Ttl: span.Microseconds()}}
	o.Call(key, command, by, func(a raftstore.Response) { done(storedFrom(a)) })
}

// Get reads a record.
func (o store) Get(key []byte, by time.Time, done func(intents.StoreReply)) {
	o.Call(key, nil, by, func(a raftstore.Response) { done(storedFrom(a)) })
}
