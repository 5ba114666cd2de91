package raftgateway

import (
	"time"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/bookings"
	"marblespan/internal/doubt"
	"marblespan/internal/raftstore"
)

// results says the store's statuses in the terms of bookings.
var results = [raftstore.Statuses]doubt.Result{
	raftstore.OK: doubt.OK, raftstore.Conflict: doubt.Conflict, raftstore.Full: doubt.Never, raftstore.Bad: doubt.Never, raftstore.TooLate: doubt.Unknown,
	raftstore.NotSent: doubt.Never, raftstore.TooNew: doubt.Never,
}

func stored(a raftstore.Answer) bookings.Stored {
	return bookings.Stored{
		Result: results[a.Status], Version: a.Version, Value: a.Value, Found: a.Found, Lost: a.Lost,
		Age: time.Duration(a.Age) * time.Microsecond, Since: time.Duration(a.Since) * time.Microsecond,
	}
}

// Put changes a record if its version is this one.
func (o opened) Put(key, value []byte, version uint64, span time.Duration, by time.Time, done func(bookings.Stored)) {
	command := &api.Command{Put: &api.Put{Key: key, Value: value, Conditional: true, Version: version, Span: span.Microseconds()}}
	o.Call(key, command, by, func(a raftstore.Answer) { done(stored(a)) })
}

// Get reads a record.
func (o opened) Get(key []byte, by time.Time, done func(bookings.Stored)) {
	o.Call(key, nil, by, func(a raftstore.Answer) { done(stored(a)) })
}
