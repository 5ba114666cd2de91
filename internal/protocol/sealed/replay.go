package sealed

// Origin says which message of a sender this is: when the sender started, by its system clock, and the how-manieth it is
// since then. Both together only grow, also over restarts.
type MessageID struct {
	Start    uint64 // microseconds of Unix time
	Sequence uint64
}

// Order keeps the senders' messages in order: one that came before, or again, or too late, is told from a new one. It is
// bounded by the number of senders, which its user bounds. It guards against replays, and without a window against messages
// that overtake each other, too.
type ReplayGuard[K comparable] struct {
	self   MessageID
	window uint64 // how many messages may overtake one that still counts; 64 at most
	last   map[K]*heard
}

// heard is what came of one sender: the latest message, and which of the ones before it.
type heard struct {
	MessageID
	seen uint64 // bit i: the message i before the latest has come
}

// NewOrder makes the account of a gateway that started at a time of its system clock.
func NewReplayGuard[K comparable](start, window uint64) *ReplayGuard[K] {
	return &ReplayGuard[K]{self: MessageID{Start: start}, window: min(window, 64), last: map[K]*heard{}}
}

// Next is the origin of the next message sent.
func (o *ReplayGuard[K]) NextID() MessageID {
	o.self.Sequence++
	return o.self
}

// Known is the start of a sender as last heard, 0 if it never was. It is told to that sender in every message.
func (o *ReplayGuard[K]) KnownStart(sender K) uint64 {
	if h := o.last[sender]; h != nil {
		return h.Start
	}
	return 0
}

// Take notes an authentic message and tells whether it is new. known is what its sender knows of this gateway's own start:
// if that is later than the start in use, the system time was set back while the gateway was down, and its peers would
// take it for its own past. It then counts as started just after what they know, told by moved.
func (o *ReplayGuard[K]) Accept(sender K, at MessageID, known uint64) (fresh, moved bool) {
	h := o.last[sender]
	if h == nil {
		h = &heard{}
		o.last[sender] = h
	}
	if !h.take(at, o.window) {
		return false, false
	}
	if known > o.self.Start {
		o.self.Start, moved = known+1, true
	}
	return true, moved
}

func (h *heard) take(at MessageID, window uint64) bool {
	switch {
	case at.Start < h.Start:
		return false
	case at.Start > h.Start:
		h.MessageID, h.seen = at, 1
		return true
	case at.Sequence > h.Sequence:
		h.seen = h.seen<<(at.Sequence-h.Sequence) | 1 // a shift by 64 or more leaves nothing
		h.MessageID = at
		return true
	}
	bit := uint64(1) << (h.Sequence - at.Sequence)
	if h.Sequence-at.Sequence >= window || h.seen&bit != 0 {
		return false
	}
	h.seen |= bit
	return true
}

// Forget drops senders that are not to be kept.
func (o *ReplayGuard[K]) Retain(keep func(sender K) bool) {
	for s := range o.last {
		if !keep(s) {
			delete(o.last, s)
		}
	}
}
