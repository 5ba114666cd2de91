package session

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/intents"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// Timeouts are the time limits of client connections.
type Timeouts struct {
	FirstRequest time.Duration // from the accept until its first complete request
	Message      time.Duration // from the first byte of a later message until its last
	Idle         time.Duration // between requests: the machine of a long idle client may be cut off
	Answer       time.Duration // to write an answer: the client may not read it
	Linger       time.Duration // after the end of the sending side, for the client to read the rest
	Backoff      time.Duration // before the next message is read after a bad one; doubled each time
}

// DefaultTimeouts are the limits of a gateway in service. By the platform's rules a connection may be closed after 2 s without
// a request, and one that never sends a complete one has to be closed within 3 s; a request is small and arrives at once, in
// however many pieces. A client that has sent a request may idle for long: its connection is closed earlier when descriptors
// run short, or when too many idle with it.
var DefaultTimeouts = Timeouts{
	FirstRequest: 2500 * time.Millisecond, Message: 2500 * time.Millisecond, Idle: 5 * time.Minute, Answer: 5 * time.Second,
	Linger: 200 * time.Millisecond, Backoff: 10 * time.Millisecond,
}

// shortLinger takes the place of Timeouts.Linger when descriptors run short.
const shortLinger = 20 * time.Millisecond

// maxLingerBytes bounds what is read and discarded after the last message to a client.
const maxLingerBytes = 1 << 20

// Clients serves all client connections. The exported fields are set before the first Serve and not changed afterwards. Each
// connection has one goroutine, the caller of Serve, which ends when Serve returns.
type Clients struct {
	Owner            Queue
	InForce          *settings.Live
	Buffers          *transport.Buffers
	Fds              *transport.Descriptors
	Ends             *transport.EndRecorder
	Clock            routing.Clock
	Ready            func() bool      // whether a request could be routed
	MayAdmit         func() bool      // whether a request may still be submitted; nil: always
	SessionPositions SessionPositions // nil: none are stored
	// InDoubtWrites claims writes of in-doubt classes before they are sent; nil: there are none.
	InDoubtWrites intents.Resolver
	Limits        Timeouts
	Counts        *ClientCounts

	mu       sync.Mutex
	open     map[*client]struct{}
	draining bool
	drainReason   transport.Reason // of draining
	cutOffBegun      bool
	started  uint32
	lookups  atomic.Int64
}

// ClientCounts count what clients sent that never became a request.
type ClientCounts struct {
	Empty, NotReady, Malformed, OverMemory, Unsupported, AddressMoved, PositionNotStored atomic.Int64
}

// Serve serves one connection to its end. One that cannot stay, for want of a descriptor, is rejected before its start-up, with
// an error that says that the client may connect again.
func (s *Clients) Serve(conn *transport.Conn, admitted bool) {
	since := time.Now()
	if !admitted {
		s.rejectConnection(conn, since)
		return
	}
	c := &client{all: s, conn: conn, answerReady: make(chan struct{}, 1), firstRequestDeadline: since.Add(s.Limits.FirstRequest)}
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*client]struct{}{}
	}
	s.open[c] = struct{}{}
	if s.cutOffBegun {
		c.cutOff(since)
	}
	s.started++
	process := s.started
	s.mu.Unlock()
	remote := conn.Remote()
	reason, err := c.run(process)
	s.Fds.MarkBusy(c)
	switch reason {
	case transport.EndAddressMigrated:
		c.announceClose("the address has moved to another gateway")
	case transport.EndMaintenance:
		c.announceClose("the gateway is about to be out for maintenance")
	case transport.EndIdle, transport.EndEvicted, transport.EndDraining, transport.EndTimeout:
		s.linger(conn)
	}
	conn.Close()
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	s.Ends.Record(transport.Client, remote, reason, since, c.served, err)
}

// rejectConnection tells a client for which there is no descriptor to connect again.
func (s *Clients) rejectConnection(conn *transport.Conn, since time.Time) {
	remote := conn.Remote()
	refusal := postgres.AppendErrorResponse(nil, true, postgres.CodeTooManyConnections, "too many clients already", 0)
	if _, err := conn.Write(since.Add(s.Limits.Linger), net.Buffers{refusal}); err == nil {
		s.linger(conn)
	}
	conn.Close()
	s.Ends.Record(transport.Client, remote, transport.EndDescriptors, since, 0, nil)
}

// linger ends a connection's sending side and waits for the client to close. A request that arrives in this very moment would
// otherwise turn the close into a reset, which discards answers that the client has not read yet.
func (s *Clients) linger(conn *transport.Conn) {
	timeout := s.Limits.Linger
	if s.Fds.NearLimit() {
		timeout = min(timeout, shortLinger)
	}
	conn.Linger(time.Now().Add(timeout), maxLingerBytes)
}

// Drain begins a graceful shutdown of the connections: idle ones are closed now and every other one after its answer. The reason
// stands in their log lines.
func (s *Clients) Drain(reason transport.Reason) {
	s.mu.Lock()
	s.drainReason = reason
	s.mu.Unlock()
	for _, c := range s.setAndList(&s.draining) {
		c.CloseIdle(reason)
	}
}

// Resume ends a drain: connections that come from now on may stay.
func (s *Clients) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// setAndList sets a flag of the shutdown, which connections still to come will see, and lists those that are open.
func (s *Clients) setAndList(flag *bool) []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	return slices.Collect(maps.Keys(s.open))
}

// CutOff ends every connection that has sent a part of a message and does not send the rest within lateRequest: its request has
// not been taken, and the client sends it again elsewhere. Requests in flight are still answered. It guards the shutdown against
// clients that send slowly or stop halfway: each would hold the gateway up for as long as it may.
func (s *Clients) CutOff() {
	now := time.Now()
	for _, c := range s.setAndList(&s.cutOffBegun) {
		c.cutOff(now)
	}
}

// Busy is the number of client connections with open requests.
func (s *Clients) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.waiting() > 0 {
			n++
		}
	}
	return n
}

// Open is the number of client connections.
func (s *Clients) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// isDraining reports whether connections are draining, and for what reason.
func (s *Clients) isDraining() (transport.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainReason, s.draining
}
