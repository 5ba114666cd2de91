package sealed

import "maps"

// maxWindow is how many messages may overtake one that still counts, at the most: one bit of senderWindow.seen each.
const maxWindow = 64

// MessageID identifies a message of a sender. Of two messages of one sender the later one has the larger ID, also over
// restarts.
type MessageID struct {
	Start    uint64 // when the sender started by its system clock, microseconds of Unix time
	Sequence uint64 // of the sender's messages since then, from 1
}

// ReplayGuard numbers the messages of this gateway, and tells new messages of others from duplicates, replays and late ones
// (an anti-replay window as of RFC 4303, for each sender). It keeps some words for each sender; its user bounds their number
// by Retain. It is not safe for concurrent use.
type ReplayGuard[K comparable] struct {
	self    MessageID // of the last message sent
	window  uint64
	senders map[K]*senderWindow
}

// senderWindow is what was received of one sender: the latest message, and which of those before it.
type senderWindow struct {
	MessageID
	seen uint64 // bit i: the message i before the latest was received
}

// NewReplayGuard makes the guard of a gateway that started at a time of its system clock, microseconds of Unix time. window
// is how many messages may overtake one that still counts, 64 at the most; with 0 none may.
func NewReplayGuard[K comparable](start, window uint64) *ReplayGuard[K] {
	return &ReplayGuard[K]{self: MessageID{Start: start}, window: min(window, maxWindow), senders: map[K]*senderWindow{}}
}

// NextID is the ID of the next message sent.
func (g *ReplayGuard[K]) NextID() MessageID {
	g.self.Sequence++
	return g.self
}

// KnownStart is the start of a sender by its latest message; 0: none was received. Every message to that sender carries it as
// Trailer.ReceiverStart.
func (g *ReplayGuard[K]) KnownStart(sender K) uint64 {
	if w := g.senders[sender]; w != nil {
		return w.Start
	}
	return 0
}

// Accept takes in the ID of an authentic message and tells whether the message is new. knownStart is the Trailer.ReceiverStart
// of the message, this gateway's own start as the sender knows it. If that is later than the start in use the system clock was
// set back while the gateway was down, and peers would take its messages for replays. The gateway then uses a start just after
// the one they know, and Accept reports it by movedOn.
func (g *ReplayGuard[K]) Accept(sender K, id MessageID, knownStart uint64) (fresh, movedOn bool) {
	window := g.senders[sender]
	if window == nil {
		window = &senderWindow{}
		g.senders[sender] = window
	}
	if !window.accept(id, g.window) {
		return false, false
	}
	if knownStart > g.self.Start {
		g.self.Start, movedOn = knownStart+1, true
	}
	return true, movedOn
}

// accept tells whether a message is new, and notes it.
func (w *senderWindow) accept(id MessageID, window uint64) bool {
	switch {
	case id.Start < w.Start:
		return false
	case id.Start > w.Start:
		w.MessageID, w.seen = id, 1
		return true
	case id.Sequence > w.Sequence:
		w.seen = w.seen<<(id.Sequence-w.Sequence) | 1 // a shift by 64 or more leaves nothing
		w.MessageID = id
		return true
	}
	behind := w.Sequence - id.Sequence
	bit := uint64(1) << behind
	if behind >= window || w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	return true
}

// Retain drops the senders that are not to be kept.
func (g *ReplayGuard[K]) Retain(keep func(sender K) bool) {
	maps.DeleteFunc(g.senders, func(sender K, _ *senderWindow) bool { return !keep(sender) })
}
