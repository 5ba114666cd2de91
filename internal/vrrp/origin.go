package vrrp

// Origin says which message of a sender this is: when the sender started, by its system clock, and the how-manieth it is
// since then. Both together only grow, also over restarts.
type Origin struct {
	Start    uint64 // microseconds of Unix time
	Sequence uint64
}

// After tells whether o comes later than p.
func (o Origin) After(p Origin) bool {
	return o.Start > p.Start || o.Start == p.Start && o.Sequence > p.Sequence
}

// Origins keeps the senders' messages in order: one that came before, again or late is told from a new one. It is bounded
// by the number of peers. It guards against replays and against messages that overtake each other; an advertisement that
// was overtaken is worth nothing anyway.
type Origins struct {
	self Origin
	last map[uint8]Origin
}

// NewOrigins makes the account of a gateway that started at a time of its system clock.
func NewOrigins(start uint64) *Origins {
	return &Origins{self: Origin{Start: start}, last: map[uint8]Origin{}}
}

// Next is the origin of the next message sent.
func (o *Origins) Next() Origin {
	o.self.Sequence++
	return o.self
}

// Known is the start of a sender as last heard, 0 if it never was. It is told to that sender in every message.
func (o *Origins) Known(sender uint8) uint64 { return o.last[sender].Start }

// Take notes an authentic message and tells whether it is new. known is what its sender knows of this gateway's own start:
// if that is later than the start in use, the system time was set back while the gateway was down, and its peers would
// take it for its own past. It then counts as started just after what they know, told by moved.
func (o *Origins) Take(sender uint8, at Origin, known uint64) (fresh, moved bool) {
	if !at.After(o.last[sender]) {
		return false, false
	}
	o.last[sender] = at
	if known > o.self.Start {
		o.self.Start, moved = known+1, true
	}
	return true, moved
}

// Forget drops senders that are no longer peers.
func (o *Origins) Forget(keep func(sender uint8) bool) {
	for s := range o.last {
		if !keep(s) {
			delete(o.last, s)
		}
	}
}
