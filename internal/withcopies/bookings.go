package withcopies

import (
	"time"

	api "marblespan/api/copies"
	"marblespan/internal/bookings"
	"marblespan/internal/copies"
	"marblespan/internal/doubt"
)

// results says the store's statuses in the terms of bookings.
var results = [copies.Statuses]doubt.Result{
	copies.OK: doubt.OK, copies.Conflict: doubt.Conflict, copies.Full: doubt.Never, copies.Bad: doubt.Never, copies.TooLate: doubt.Unknown,
	copies.NotSent: doubt.Never, copies.TooNew: doubt.Never,
}

func stored(a copies.Answer) bookings.Stored {
	return bookings.Stored{
		Result: results[a.Status], Version: a.Version, Value: a.Value, Found: a.Found, Lost: a.Lost,
		Age: time.Duration(a.Age) * time.Microsecond, Since: time.Duration(a.Since) * time.Microsecond,
	}
}

// Put changes a record if its version is this one.
func (o opened) Put(key, value []byte, version uint64, span time.Duration, by time.Time, done func(bookings.Stored)) {
	command := &api.Command{Put: &api.Put{Key: key, Value: value, Conditional: true, Version: version, Span: span.Microseconds()}}
	o.Call(key, command, by, func(a copies.Answer) { done(stored(a)) })
}

// Get reads a record.
func (o opened) Get(key []byte, by time.Time, done func(bookings.Stored)) {
	o.Call(key, nil, by, func(a copies.Answer) { done(stored(a)) })
}
