package session

import (
	"time"

	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// This file matches an answer to its request on a connection that was used before.
//
// A server may send more than one answer to a request, for example a second copy of it. Such a surplus can arrive at any time after
// the answer, so the next request may have been written by then, and the protocol gives an answer nothing that names its request.
// The gateway therefore writes an empty query, the sync query, in front of each request but the first on a connection. A server
// answers queries in order, so all that arrives before the answer to the sync query is surplus, however long the network took. The
// request does not wait for that answer, so the sync query costs no round trip.
// Source: kit/real/PROTOCOL.md ("Empty queries ... get an immediate answer and have no effect"), kit/service/LATER.md ("a second copy
// or noise right after, when nothing else waits on the connection").

// syncQuery is an empty query.
var syncQuery = postgres.AppendQuery(nil, "")

// needsSync reports whether a sync query goes in front of the next request. In front of the first request on a connection there is
// only the start-up, whose response cannot be taken for that of a query.
func (l *serverConn) needsSync() bool { return l.served > 0 }

// serverAnswer is what was read as the answer to a request.
type serverAnswer struct {
	reply      postgres.Reply
	loadReport string             // the row that answers a health check
	value      *transport.Message // the messages that are forwarded to the client; nil for a health check
	surplus    bool               // the server has sent more than one answer to an earlier request
	unmatched  bool               // the answer to the sync query was not identified: an error may belong to an earlier request
}

// syncState tells how far the answer to the sync query has been received.
type syncState uint8

const (
	syncPending  syncState = iota // the answer was not received
	syncRejected                  // an error was received, which rejects the sync query or is surplus
	syncComplete                  // the answer was received, or there is no sync query
)

// readAnswer reads up to the end of the answer to a request, and drops what belongs to earlier requests.
func (l *serverConn) readAnswer(t *task, until time.Time) (serverAnswer, error) {
	state := syncComplete
	if l.needsSync() {
		state = syncPending
	}
	surplus, ambiguous := false, false
	for {
		answer := serverAnswer{surplus: surplus, unmatched: state == syncRejected && ambiguous}
		answer.reply.MayBeEmpty = state != syncComplete
		if !t.healthCheck || state == syncPending { // surplus may be larger than the answer to a health check
			answer.value = l.all.Buffers.NewMessage()
		}
		var err error
		answer.loadReport, err = l.readReply(&answer.reply, until, t, answer.value)
		reply := &answer.reply
		switch {
		case err != nil && state == syncPending && !reply.Fatal: // what was received is not known to belong to the request
			answer.reply, answer.loadReport = postgres.Reply{}, ""
			return answer, err
		case err != nil:
			return answer, err
		case reply.EmptyQuery():
			surplus = surplus || state == syncRejected
			state = syncComplete
		case state != syncPending:
			l.lastCode = reply.Code
			return answer, nil
		case reply.Code != "":
			state, ambiguous = syncRejected, reply.Code == l.lastCode // it may be a copy of the last answer
		default:
			surplus = true
		}
		answer.value.Free()
	}
}
