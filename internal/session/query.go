package session

import (
	"net"
	"sync/atomic"

	"marblespan/internal/intents"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// query is a client's statement, kept as long as an attempt may need it. It is the routing.Payload of its request.
type query struct {
	text      *transport.Message
	statement postgres.Statement
	write     intents.Write // the in-doubt write, which must still be claimed by this gateway when the last byte is sent; nil for other queries

	references atomic.Int32 // beside the first
	onFree     func()       // called when the text has been freed; may be nil
}

// Share adds a reference to the statement's text.
func (q *query) Share() routing.Payload {
	q.references.Add(1)
	return q
}

// Free releases a reference to the statement's text. The last call frees the text.
func (q *query) Free() {
	if q.references.Add(-1) >= 0 {
		return
	}
	q.text.Free()
	if q.onFree != nil {
		q.onFree()
	}
}

// writes reports whether the statement, an INSERT, writes a value.
func (q *query) writes(value []byte) bool {
	return postgres.ValueEquals(q.text.BuffersFrom(q.statement.ValueStart()), value)
}

// parts returns the message to a server. The message is the statement as received, except that its time limit is replaced by the
// remaining time, waitMillis.
func (q *query) parts(waitMillis int64) net.Buffers {
	head, from := q.statement.AppendQueryHead(nil, q.text.FirstBuffer(), q.text.Size(), waitMillis)
	return append(net.Buffers{head}, q.text.BuffersFrom(from)...)
}
