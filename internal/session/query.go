package session

import (
	"net"

	"marblespan/internal/intents"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// query is a client's statement, kept for as long as an attempt may need it.
type query struct {
	text      *transport.Message
	statement postgres.Statement
	write     intents.Write // that must still be this gateway's when the last byte goes out; nil: none is needed
}

// Share adds a holder.
func (q *query) Share() routing.Payload {
	q.text.Share()
	return q
}

// Free ends one holder's use.
func (q *query) Free() { q.text.Free() }

// parts is the message to a server: the statement as it came, but for the time that the gateway waits.
func (q *query) parts(waitMillis int64) (net.Buffers, int64) {
	head, from := q.statement.AppendQueryHead(nil, q.text.First(), q.text.Size(), waitMillis)
	parts := append(net.Buffers{head}, q.text.From(from)...)
	total := int64(0)
	for _, p := range parts {
		total += int64(len(p))
	}
	return parts, total
}
