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
	FirstRequest time.Duration // from accepting the connection until its first complete request
	Message      time.Duration // from the first to the last byte of a later message
	Idle         time.Duration // between requests; bounded because the machine of a long idle client may be unreachable
	Answer       time.Duration // for writing an answer; bounded because the client may not read it
	Linger       time.Duration // after the sending side is shut down, for the client to read the last answers
	Backoff      time.Duration // after a bad message, before the next message is read; doubled for each further bad message
}

// DefaultTimeouts are the limits used in production. The platform's rules allow closing a connection after 2 s without a
// request, and require closing a connection within 3 s if it never sends a complete request. A request is small and arrives
// within a short time, even if in many pieces. A client that has sent a request may stay idle for long; its connection is closed
// earlier when descriptors run short or too many clients are idle.
var DefaultTimeouts = Timeouts{
	FirstRequest: 2500 * time.Millisecond, Message: 2500 * time.Millisecond, Idle: 5 * time.Minute, Answer: 5 * time.Second,
	Linger: 200 * time.Millisecond, Backoff: 10 * time.Millisecond,
}

// shortLinger replaces Timeouts.Linger when descriptors run short.
const shortLinger = 20 * time.Millisecond

// maxLingerBytes is the maximum number of bytes that are read and discarded after the last message to a client.
const maxLingerBytes = 1 << 20

// Clients serves all client connections. The exported fields are set before the first call of Serve and not changed afterwards.
// Each connection is served by the goroutine that calls Serve.
type Clients struct {
	Owner            Queue
	InForce          *settings.Live
	Buffers          *transport.Buffers
	Fds              *transport.Descriptors
	Ends             *transport.EndRecorder
	Clock            routing.Clock
	Ready            func() bool      // reports whether a request could be routed
	MayAdmit         func() bool      // reports whether a request may still be submitted; nil: always
	SessionPositions SessionPositions // nil: session positions are not stored
	// InDoubtWrites claims writes of in-doubt classes before they are sent; nil: there are no such classes.
	InDoubtWrites intents.Resolver
	Limits        Timeouts
	Pace          *Pace // limits the work that connections cause beyond their shares; nil: no limit
	Counts        *ClientCounts

	mu          sync.Mutex
	open        map[*client]struct{}
	draining    bool
	drainReason transport.Reason // why the connections are drained
	cutOffBegun bool
	refusesNew  bool // the open queries are being failed; see RefuseNew
	// skipsPositions is set when no read waits for its session's position any more; see StopAwaitingPositions.
	skipsPositions bool
	started        uint32
	lookups        atomic.Int64
}

// ClientCounts counts client messages that did not become requests, by cause, and the delays after messages.
type ClientCounts struct {
	Empty, NotReady, Malformed, OverMemory, Unsupported, AddressMoved, PositionNotStored atomic.Int64

	Paced atomic.Int64 // messages after which the connection had to wait because it had caused more than its share of work
}

// Serve serves one connection until it ends. If admitted is false, no descriptor is left for the connection: Serve rejects it
// before its start-up with an error after which the client may connect again.
func (s *Clients) Serve(conn *transport.Conn, admitted bool) {
	since := time.Now()
	if !admitted {
		s.rejectConnection(conn, since)
		return
	}
	c := &client{
		all: s, conn: conn, share: newShare(), answerReady: make(chan struct{}, 1),
		firstRequestDeadline: since.Add(s.Limits.FirstRequest),
	}
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*client]struct{}{}
	}
	s.open[c] = struct{}{}
	if s.cutOffBegun {
		c.cutOff(since)
	}
	c.refusesNew = s.refusesNew
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

// rejectConnection sends the error "too many clients already" to a client for which no descriptor is left, and closes the connection.
func (s *Clients) rejectConnection(conn *transport.Conn, since time.Time) {
	remote := conn.Remote()
	refusal := postgres.AppendErrorResponse(nil, true, postgres.CodeTooManyConnections, "too many clients already", 0)
	if _, err := conn.Write(since.Add(s.Limits.Linger), net.Buffers{refusal}); err == nil {
		s.linger(conn)
	}
	conn.Close()
	s.Ends.Record(transport.Client, remote, transport.EndDescriptors, since, 0, nil)
}

// linger shuts down the sending side of a connection and waits for the client to close it. Without the wait, a request that
// arrives at this moment would turn the close into a reset, which discards answers that the client has not read yet.
func (s *Clients) linger(conn *transport.Conn) {
	timeout := s.Limits.Linger
	if s.Fds.NearLimit() {
		timeout = min(timeout, shortLinger)
	}
	conn.Linger(time.Now().Add(timeout), maxLingerBytes)
}

// Drain starts a graceful shutdown of the connections: idle ones are closed now, the others after their answers. The reason is
// logged for each connection that ends this way.
func (s *Clients) Drain(reason transport.Reason) {
	s.mu.Lock()
	s.drainReason = reason
	s.mu.Unlock()
	for _, c := range s.setAndList(&s.draining) {
		c.CloseIdle(reason)
	}
}

// Resume ends a drain: connections accepted from now on are served normally.
func (s *Clients) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// setAndList sets a flag of the shutdown and returns the open connections, both under the mutex. Connections that are registered
// later check the flag themselves.
func (s *Clients) setAndList(flag *bool) []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	return slices.Collect(maps.Keys(s.open))
}

// CutOff ends every connection that has sent part of a message and does not send the rest within lateRequestGrace. The incomplete
// request has not been submitted, so the client can send it again elsewhere. Requests in flight are still answered. Without
// CutOff, clients that send slowly or stop halfway would delay the shutdown until their time limits expire.
func (s *Clients) CutOff() {
	now := time.Now()
	for _, c := range s.setAndList(&s.cutOffBegun) {
		c.cutOff(now)
	}
}

// StopAwaitingPositions ends the wait of reads for their sessions' positions, also of later reads. Such a read needs everything up to
// now, which the primary has. A gateway that is about to stop calls it, so that these reads can still be served.
func (s *Clients) StopAwaitingPositions() {
	for _, c := range s.setAndList(&s.skipsPositions) {
		c.postAwaiting()
	}
}

// awaitsPositions reports whether reads wait for their sessions' positions.
func (s *Clients) awaitsPositions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.skipsPositions
}

// RefuseNew makes every connection answer the queries that it reads from now on, without submitting them, for FailOpen.
func (s *Clients) RefuseNew() {
	for _, c := range s.setAndList(&s.refusesNew) {
		c.refuseNew()
	}
}

// FailOpen gives every query without an answer its final answer, whatever it waits for: each query is in its connection's queue until
// its answer is written. A gateway that stops calls it after RefuseNew, and after routing and the resolver of in-doubt writes have given
// their answers, which say more.
func (s *Clients) FailOpen() {
	for _, c := range s.setAndList(&s.refusesNew) {
		c.failOpen()
	}
}

// Busy returns the number of client connections with unanswered queries.
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

// Open returns the number of open client connections.
func (s *Clients) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// isDraining returns the reason of the last drain and reports whether the drain is still in effect.
func (s *Clients) isDraining() (transport.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainReason, s.draining
}
