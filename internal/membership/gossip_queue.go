package membership

import (
	"maps"
	"slices"
)

// broadcast identifies one piece of gossip: either the record of the member in the field name, or the report of the member in
// the field reporter on its path to the member in the field peer.
type broadcast struct{ name, reporter, peer string }

// gossipQueue holds the gossip that still has to be sent, and offers the pieces with the fewest transmissions first, like
// memberlist's TransmitLimitedQueue.
type gossipQueue struct {
	levels    [][]broadcast     // pieces by number of transmissions; an entry whose level differs from transmits is stale
	transmits map[broadcast]int // number of transmissions of each queued piece
}

func (q *gossipQueue) clone() gossipQueue {
	c := gossipQueue{levels: make([][]broadcast, len(q.levels)), transmits: make(map[broadcast]int, len(q.transmits))}
	for i := range q.levels {
		c.levels[i] = slices.Clone(q.levels[i])
	}
	maps.Copy(c.transmits, q.transmits)
	return c
}

// empty reports whether the queue holds no gossip.
func (q *gossipQueue) empty() bool { return len(q.transmits) == 0 }

// enqueue adds a piece. If the piece is queued already, its number of transmissions is set back to zero.
func (q *gossipQueue) enqueue(b broadcast) {
	if transmits, queued := q.transmits[b]; queued && transmits == 0 {
		return
	}
	if q.transmits == nil {
		q.transmits = map[broadcast]int{}
	}
	q.place(b, 0)
}

// place appends a piece to a level and records the level as its number of transmissions.
func (q *gossipQueue) place(b broadcast, level int) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.transmits[b] = level
	q.levels[level] = append(q.levels[level], b)
}

// offerResult is the result of offering a piece of gossip to a message.
type offerResult uint8

const (
	offerSent     offerResult = iota // the message contains the piece
	offerTooLarge                    // the piece does not fit, but a smaller one may
	offerObsolete                    // the member or report no longer exists, so the piece is dropped
	offerFull                        // the message has no room for any other piece
)

// take offers pieces to a message until it is full, those with the fewest transmissions first. A piece is dropped after limit
// transmissions.
func (q *gossipQueue) take(limit int, offer func(broadcast) offerResult) {
	type sentPiece struct {
		broadcast
		level int
	}
	var sent []sentPiece
	full := false
	for level := 0; level < len(q.levels) && !full; level++ {
		queued := q.levels[level]
		var waiting []broadcast
		next := 0
		for ; next < len(queued) && !full; next++ {
			b := queued[next]
			if transmits, live := q.transmits[b]; !live || transmits != level {
				continue // a stale entry: the piece was enqueued again or dropped since
			}
			switch offer(b) {
			case offerSent:
				sent = append(sent, sentPiece{b, level})
			case offerObsolete:
				delete(q.transmits, b)
			case offerFull:
				full = true
				waiting = append(waiting, b)
			default:
				waiting = append(waiting, b)
			}
		}
		q.levels[level] = remaining(waiting, queued[next:])
	}
	for _, s := range sent {
		if s.level+1 < limit {
			q.place(s.broadcast, s.level+1)
		} else {
			delete(q.transmits, s.broadcast)
		}
	}
}

// remaining returns the pieces left in a level: those that were offered but not sent, then those that were not offered.
func remaining(waiting, unoffered []broadcast) []broadcast {
	if len(waiting) == 0 {
		return unoffered
	}
	return append(waiting, unoffered...)
}
