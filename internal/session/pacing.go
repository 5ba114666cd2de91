package session

import (
	"time"

	"golang.org/x/time/rate"

	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// The work that a connection may cause before it has to share with others, in units: a rate, and what may be caused at once. The rate
// is enough for 250 requests a second, or for 60 messages that become no request.
const (
	ownWorkPerSecond = 2000
	ownWorkAtOnce    = 32
)

// The work that all connections together may cause beyond their own shares, in units for each core: 4,000 requests, or 8,000 messages
// that the gateway answers itself. It leaves most of a core to connections that stay within their shares.
const (
	sharedWorkPerSecond = 32000
	sharedWorkAtOnce    = 64
)

// messageWork is the work of handling one message, in units. It counts against the connection's own share with the amount own, or else
// against what all connections share with the amount shared.
type messageWork struct{ own, shared int }

// The work of small messages, by what becomes of them. A client needs few messages that become no request, so these use up the
// connection's own share sooner. What a client sends behind an error, without waiting for it, never counts against its own share.
var (
	skippedWork  = messageWork{own: neverOwn, shared: 2}      // read and not answered
	answeredWork = messageWork{own: ownWorkAtOnce, shared: 4} // answered by the gateway itself
	requestWork  = messageWork{own: 8, shared: 8}             // parsed, routed and forwarded
)

// neverOwn is more work than a connection may cause at once.
const neverOwn = ownWorkAtOnce + 1

// workPerBuffer is the further work of a message for each buffer that its body fills, in units.
const workPerBuffer = 4

// withBody returns the work of a message with a body, up to what may be caused at once.
func (w messageWork) withBody(size int) messageWork {
	further := workPerBuffer * (size / transport.BufferSize)
	return messageWork{own: min(w.own+further, max(w.own, ownWorkAtOnce)), shared: min(w.shared+further, sharedWorkAtOnce)}
}

// Pace limits the work that connections may cause beyond their own shares. One Pace is shared by all client connections of a
// gateway. It is safe for concurrent use.
//
// A connection that always has another message ready would otherwise keep a processor for as long as the Go scheduler lets it, some
// 10 ms at a time, and every step of another client's request would wait for that long.
type Pace struct{ shared *rate.Limiter }

// NewPace returns a Pace for a gateway that may use a number of cores.
func NewPace(cores float64) *Pace {
	return &Pace{rate.NewLimiter(rate.Limit(cores*sharedWorkPerSecond), sharedWorkAtOnce)}
}

// newShare returns one connection's own share.
func newShare() *rate.Limiter { return rate.NewLimiter(ownWorkPerSecond, ownWorkAtOnce) }

// delay returns how long a connection with the given share must wait after it has caused work. Connections that wait are served in
// the order in which they began to.
func (p *Pace) delay(now time.Time, share *rate.Limiter, work messageWork) time.Duration {
	if p == nil || share.AllowN(now, work.own) {
		return 0
	}
	return p.shared.ReserveN(now, work.shared).DelayFrom(now)
}

// workOf returns the work that a message causes.
func (c *client) workOf(header postgres.Header) messageWork {
	work := answeredWork
	switch {
	case c.skipping && header.Type != postgres.TypeSync:
		work = skippedWork
	case header.Type == postgres.TypeQuery && header.Body > 1: // the body of an empty query is one byte
		work = requestWork
	}
	return work.withBody(header.Body)
}

// pace delays the next message of a connection that has caused more than its share of work. Meanwhile it writes available answers and
// notices a disconnect.
func (c *client) pace(work messageWork) (transport.Reason, error) {
	delay := c.all.Pace.delay(time.Now(), c.share, work)
	if delay <= 0 {
		return 0, nil
	}
	c.all.Counts.Paced.Add(1)
	return c.backOff(delay)
}
