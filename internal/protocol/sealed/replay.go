package sealed

import "maps"

// maxWindow is the largest window of a ReplayGuard: each message in the window takes one bit of senderWindow.seen.
const maxWindow = 64

// MessageID identifies a message of a sender. Of two messages of one sender the later one has the larger ID, even across
// restarts. IDs are compared by Start first.
type MessageID struct {
	Start    uint64 // when the sender started, by its system clock, in microseconds of Unix time
	Sequence uint64 // counts the sender's messages since its start, from 1
}

// ReplayGuard numbers the messages that this gateway sends, and distinguishes new messages of other gateways from duplicates,
// replays and messages that arrive too late. The guard has an anti-replay window as in RFC 4303 for each sender. A
// window takes a few words of memory; the caller bounds the number of senders by calling Retain. A ReplayGuard is not safe for
// concurrent use.
type ReplayGuard[K comparable] struct {
	self    MessageID // ID of the last message sent
	window  uint64
	senders map[K]*senderWindow
}

// senderWindow records the latest message received from one sender, and which of the messages before the latest were received.
type senderWindow struct {
	MessageID
	seen uint64 // bit i is set if the message whose sequence number is i below the latest was received
}

// NewReplayGuard returns the guard of a gateway that started at the time start of its system clock, in microseconds of Unix time.
// A message that arrives after later messages of its sender is accepted only if its sequence number is less than window below the
// highest number received. A window above 64 counts as 64; with a window of 0, no message is accepted after a later message.
func NewReplayGuard[K comparable](start, window uint64) *ReplayGuard[K] {
	return &ReplayGuard[K]{self: MessageID{Start: start}, window: min(window, maxWindow), senders: map[K]*senderWindow{}}
}

// NextID returns the ID for the next message to send.
func (g *ReplayGuard[K]) NextID() MessageID {
	g.self.Sequence++
	return g.self
}

// KnownStart returns the start of a sender according to its latest message, or 0 if no message from it was received. Every message
// to that sender carries this value as Trailer.ReceiverStart.
func (g *ReplayGuard[K]) KnownStart(sender K) uint64 {
	if w := g.senders[sender]; w != nil {
		return w.Start
	}
	return 0
}

// Accept records the ID of an authentic message and reports whether the message is new. knownStart is the message's
// Trailer.ReceiverStart, which is this gateway's own start as the sender knows it. If knownStart is later than the start in use,
// the system clock was set back while the gateway was down, and peers would treat its messages as replays. The gateway then uses
// a start just after knownStart, and Accept returns true for startAdvanced.
func (g *ReplayGuard[K]) Accept(sender K, id MessageID, knownStart uint64) (fresh, startAdvanced bool) {
	window := g.senders[sender]
	if window == nil {
		window = &senderWindow{}
		g.senders[sender] = window
	}
	if !window.accept(id, g.window) {
		return false, false
	}
	if knownStart > g.self.Start {
		g.self.Start, startAdvanced = knownStart+1, true
	}
	return true, startAdvanced
}

// accept reports whether a message is new, and records it as received.
func (w *senderWindow) accept(id MessageID, window uint64) bool {
	switch {
	case id.Start < w.Start:
		return false
	case id.Start > w.Start:
		w.MessageID, w.seen = id, 1
		return true
	case id.Sequence > w.Sequence:
		w.seen = w.seen<<(id.Sequence-w.Sequence) | 1 // a shift by 64 or more clears all earlier bits
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

// Retain removes the senders for which keep returns false.
func (g *ReplayGuard[K]) Retain(keep func(sender K) bool) {
	maps.DeleteFunc(g.senders, func(sender K, _ *senderWindow) bool { return !keep(sender) })
}
