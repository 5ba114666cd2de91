package membership

import (
	"maps"
	"slices"
)

// broadcast is one piece of gossip: the record of the member of a name, or a report on a path.
type broadcast struct{ name, reporter, peer string }

// gossipQueue holds what is still to be spread, and offers first what was transmitted least often (memberlist's
// TransmitLimitedQueue).
type gossipQueue struct {
	levels    [][]broadcast     // by the number of transmits; an entry counts only if transmits agrees
	transmits map[broadcast]int // how often each was transmitted
}

func (q *gossipQueue) clone() gossipQueue {
	c := gossipQueue{levels: make([][]broadcast, len(q.levels)), transmits: make(map[broadcast]int, len(q.transmits))}
	for i := range q.levels {
		c.levels[i] = slices.Clone(q.levels[i])
	}
	maps.Copy(c.transmits, q.transmits)
	return c
}

// empty tells that there is nothing to spread.
func (q *gossipQueue) empty() bool { return len(q.transmits) == 0 }

// enqueue has a piece spread, from the beginning if it is queued already.
func (q *gossipQueue) enqueue(b broadcast) {
	if transmits, queued := q.transmits[b]; queued && transmits == 0 {
		return
	}
	if q.transmits == nil {
		q.transmits = map[broadcast]int{}
	}
	q.place(b, 0)
}

// place puts a piece at the end of a level.
func (q *gossipQueue) place(b broadcast, level int) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.transmits[b] = level
	q.levels[level] = append(q.levels[level], b)
}

// offerResult is what becomes of a piece that is offered to a message.
type offerResult uint8

const (
	offerSent     offerResult = iota // it goes out with this message
	offerTooLarge                    // it does not fit; a smaller one may
	offerObsolete                    // there is nothing to spread any more
	offerFull                        // nothing fits any more
)

// take offers the pieces, those transmitted least often first, until a message is full. A piece that was transmitted limit
// times is dropped.
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
				continue // it was enqueued again, or dropped
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

// remaining is what is left of a level: the pieces that were offered and wait, before those that were not offered.
func remaining(waiting, unoffered []broadcast) []broadcast {
	if len(waiting) == 0 {
		return unoffered
	}
	return append(waiting, unoffered...)
}
