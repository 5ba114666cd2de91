// Package session serves the connections, one goroutine each: clients, database servers and discovery. It joins
// sockets and codecs to the owner's queue and decides nothing.
package session

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
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
	FirstRequest time.Duration // from the accept until a first whole request
	Message      time.Duration // from a later message's first byte until its last
	Idle         time.Duration // a client long idle may sit on a machine that is cut off
	Answer       time.Duration // a client that does not read its answer
	Linger       time.Duration // after the end of the sending side, for the client to read what it was told
	Backoff      time.Duration // before the next message of a client that has sent a bad one, doubling
}

// DefaultTimeouts are the limits of a gateway in service. A connection may be closed after 2 s without a request, and one
// that never sends a whole one is owed its end within 3 s; a request is small and comes at once, in however many pieces.
// One that has asked may idle for long: it gives way when descriptors run short, or when too many idle with it.
var DefaultTimeouts = Timeouts{
	FirstRequest: 2500 * time.Millisecond, Message: 2500 * time.Millisecond, Idle: 5 * time.Minute, Answer: 5 * time.Second,
	Linger: 200 * time.Millisecond, Backoff: 10 * time.Millisecond,
}

// maxBadMessages is how many bad messages a connection may send, each behind a pause twice as long as the one before: the
// last ones come seconds after the first. It guards against clients that ask the same again at full speed; a client in
// service sends none.
const maxBadMessages = 8

// closeCheck is how often a client from which nothing is read for now is looked at: what it has asked for is given up when
// it has left, and no attempt may begin more than 0.1 s after that.
const closeCheck = 40 * time.Millisecond

// lateRequest is how long a request that was on its way in when its connection's time was up may take to arrive.
const lateRequest = 100 * time.Millisecond

// shortLinger takes the place of Timeouts.Linger where descriptors run short.
const shortLinger = 20 * time.Millisecond

// largestAnswer bounds a message of an answer: the largest value, in hex, and its head.
const maxAnswerMessage = 130 << 10

// lingerBytes bounds what is passed over after a last word.
const maxLingerBytes = 1 << 20

// Clients serves all client connections.
type Clients struct {
	Owner            Queue
	InForce          *settings.Live
	Buffers          *transport.Buffers
	Fds              *transport.Descriptors
	Ends             *transport.Ends
	Clock            routing.Clock
	Ready            func() bool      // whether a request could be routed
	MayAdmit         func() bool      // whether a request may still be taken; nil: always
	SessionPositions SessionPositions // nil: sessions are kept nowhere but here
	// Bookings are claimed before they are sent; nil: none are.
	InDoubtWrites intents.Resolver
	Limits        Timeouts
	Counts        *ClientCounts

	mu       sync.Mutex
	open     map[*client]struct{}
	draining bool
	ending   transport.Reason // of a drain
	cut      bool
	started  uint32
	lookups  atomic.Int64
}

// ClientCounts count what clients sent that never became a request.
type ClientCounts struct {
	Empty, NotReady, Malformed, OverMemory, Unsupported, AddressMoved, PositionNotStored atomic.Int64
}

// client is one client's connection. Its queries are answered in their order; each is asked as soon as it has come.
type client struct {
	all         *Clients
	conn        *transport.Conn
	answerReady chan struct{} // an answer was left, for when the socket cannot be watched

	mu      sync.Mutex
	queue   []*pendingQuery // what awaits its answer, oldest first
	resting bool            // waiting between requests: nothing is lost if it is woken
	closing bool
	cutAt   time.Time // when the gateway, which stops, waits no longer for messages that have not come whole; zero: never
	reason  transport.Reason
	served  int

	newBy       time.Time // when a newcomer's time is up
	known       bool      // it has sent a whole request
	badMessages int       // how many it has sent

	skipping       bool             // after an error in the extended protocol, up to Sync
	readingStopped bool             // nothing more is read: its framing is lost, or the gateway stops
	broken         transport.Reason // why an answer could not be written while a message was read
	brokenBy       error
}

// Serve serves one connection to its end. One that cannot stay is turned away before its start-up, with an error that
// invites it to come again.
func (s *Clients) Serve(conn *transport.Conn, stays bool) {
	since := time.Now()
	if !stays {
		s.rejectConnection(conn, since)
		return
	}
	c := &client{all: s, conn: conn, answerReady: make(chan struct{}, 1), newBy: since.Add(s.Limits.FirstRequest)}
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*client]struct{}{}
	}
	s.open[c] = struct{}{}
	if s.cut {
		c.cutOff(since)
	}
	s.started++
	process := s.started
	s.mu.Unlock()
	remote := conn.Remote()
	reason, err := c.run(process)
	s.Fds.Unpark(c)
	switch reason {
	case transport.EndMoved:
		c.announceClose("the address has moved to another gateway")
	case transport.EndMaintenance:
		c.announceClose("the gateway is about to be out for maintenance")
	case transport.EndIdle, transport.EndRoom, transport.EndDrain, transport.EndTimeout:
		s.linger(conn)
	}
	conn.Close()
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	s.Ends.End(transport.Client, remote, reason, since, c.served, err)
}

// announceClose tells a client between requests, before its connection is closed, that it may come again at once. A request that
// crosses this reads it as its refusal: without it the client could not tell whether that request was read, and would have
// to leave a booking in doubt.
func (c *client) announceClose(why string) {
	if c.write(postgres.AppendError(nil, true, postgres.CodeNotReady, why, 0)) == nil {
		c.all.linger(c.conn)
	}
}

// refuseConnection tells a client for which there is no descriptor to come again.
func (s *Clients) rejectConnection(conn *transport.Conn, since time.Time) {
	remote := conn.Remote()
	refusal := postgres.AppendError(nil, true, postgres.CodeRefused, "too many clients already", 0)
	if _, err := conn.Write(since.Add(s.Limits.Linger), net.Buffers{refusal}); err == nil {
		s.linger(conn)
	}
	conn.Close()
	s.Ends.End(transport.Client, remote, transport.EndDescriptors, since, 0, nil)
}

// linger ends a connection's sending side and waits for the client to close. A request that arrives in this very moment
// would otherwise turn the close into a reset, which takes answers with it that the client has not read yet.
func (s *Clients) linger(conn *transport.Conn) {
	timeout := s.Limits.Linger
	if s.Fds.Short() {
		timeout = min(timeout, shortLinger)
	}
	conn.Linger(time.Now().Add(timeout), maxLingerBytes)
}

// Drain closes idle connections now and every other one after its answer, for a reason that their log lines give.
func (s *Clients) Drain(reason transport.Reason) {
	s.mu.Lock()
	s.ending = reason
	s.mu.Unlock()
	for _, c := range s.from(&s.draining) {
		c.CloseIdle(reason)
	}
}

// Resume takes a drain back: who comes from now on may stay.
func (s *Clients) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// from marks that a part of the stop has begun, for clients still to come, and lists those that are open.
func (s *Clients) from(mark *bool) []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	*mark = true
	return slices.Collect(maps.Keys(s.open))
}

// CutOff ends every connection that has brought a message in part only and not the rest of it within lateRequest: its
// request has not been taken, and its client sends it again elsewhere. Requests under way are still answered. It guards a
// stop against clients that send in drips or stop halfway: each would hold the gateway up for as long as it may.
func (s *Clients) CutOff() {
	now := time.Now()
	for _, c := range s.from(&s.cut) {
		c.cutOff(now)
	}
}

// Busy is the number of client connections with requests under way.
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

func (s *Clients) isDraining() (transport.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending, s.draining
}

// CloseIdle asks the connection to close as soon as it has nothing to do.
func (c *client) CloseIdle(reason transport.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.closing, c.reason = true, reason
	}
	if c.resting {
		c.conn.Wake()
	}
}

func (c *client) setResting(on bool) {
	c.mu.Lock()
	c.resting = on
	c.mu.Unlock()
}

// cutOff has the connection wait for messages no longer than lateRequest from now on.
func (c *client) cutOff(now time.Time) {
	c.mu.Lock()
	c.cutAt = now.Add(lateRequest)
	c.mu.Unlock()
	time.AfterFunc(lateRequest, c.conn.Wake)
}

// isCut tells whether nothing more is to be read.
func (c *client) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cutAt.IsZero() && !time.Now().Before(c.cutAt)
}

// interrupted lets out the answers that are due while a message is read, and tells whether reading has to end.
func (c *client) interrupted() bool {
	if c.brokenBy == nil {
		c.broken, c.brokenBy = c.flush()
	}
	return c.brokenBy != nil || c.isCut()
}

func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// by is when the client must have done what it is given a time for. A newcomer has one time for everything.
func (c *client) deadline(limit time.Duration) time.Time {
	if !c.known {
		return c.newBy
	}
	return time.Now().Add(limit)
}

// idle waits for n bytes between requests. What has come already is served, whoever asks for the end.
func (c *client) idle(n int) (transport.Reason, error) {
	kind := transport.Newcomer
	if c.known {
		kind = transport.Asked
	}
	c.all.Fds.Park(c, kind)
	c.setResting(true)
	defer func() {
		c.setResting(false)
		c.all.Fds.Unpark(c)
	}()
	deadline := c.deadline(c.all.Limits.Idle)
	pending := func() bool { return c.isClosing() || c.isCut() }
	late := false
	for {
		err := c.conn.Wait(n, deadline, pending)
		switch {
		case err == nil:
			return 0, nil
		case errors.Is(err, transport.ErrWoken):
			if c.isCut() {
				reason, _ := c.all.isDraining()
				return reason, err
			}
			if c.conn.Buffered() == 0 && c.conn.Quiet() {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.reason, err
			}
			pending = c.isCut // a request is on its way in: closing now would cut it off
		case errors.Is(err, transport.ErrDeadline):
			switch {
			case c.conn.Buffered() > 0:
				return transport.EndTimeout, err
			case late || c.conn.Quiet():
				return transport.EndIdle, err
			}
			late, deadline = true, time.Now().Add(lateRequest)
		default:
			return transport.ReasonOf(err), err
		}
	}
}

// penalize counts a bad message, and makes its sender wait before the next one is read, not for its answer.
func (c *client) penalize() (transport.Reason, error) {
	c.all.Counts.Malformed.Add(1)
	if reason, err := c.flush(); err != nil {
		return reason, err
	}
	if c.badMessages++; c.badMessages >= maxBadMessages {
		return c.end(errors.New("too many bad messages"))
	}
	return c.backOff(c.all.Limits.Backoff << c.badMessages)
}

// pause makes the client wait before its next message is read. Answers go out meanwhile, and its leaving is noticed.
func (c *client) backOff(delay time.Duration) (transport.Reason, error) {
	for end := time.Now().Add(delay); ; {
		if reason, err := c.flush(); err != nil {
			return reason, err
		}
		if c.conn.PeerClosed() {
			return transport.EndPeerGone, io.EOF
		}
		left := time.Until(end)
		if left <= 0 || c.isCut() {
			return 0, nil
		}
		c.awaitAnswer(min(left, closeCheck))
	}
}

// run serves start-up and then one message after another.
func (c *client) run(process uint32) (transport.Reason, error) {
	defer c.abandonQueries()
	if reason, err := c.startup(process); err != nil {
		return reason, err
	}
	if reason, draining := c.all.isDraining(); draining { // it came after Drain had told all that were open
		c.CloseIdle(reason)
	}
	return c.serveMessages()
}

// serveMessages reads one message after another and writes the answers. It goes on reading while answers are awaited.
func (c *client) serveMessages() (transport.Reason, error) {
	for {
		reason, err := c.flush()
		if err != nil {
			return reason, err
		}
		if c.isCut() {
			return c.finishStop()
		}
		if c.waiting() > 0 {
			if reason, err = c.watch(); errors.Is(err, transport.ErrWoken) {
				continue
			}
		} else {
			reason, err = c.idle(postgres.HeaderSize)
		}
		if err == nil {
			reason, err = c.handleMessage()
		}
		switch {
		case c.brokenBy != nil:
			return c.broken, c.brokenBy
		case errors.Is(err, transport.ErrWoken) && c.isCut():
			return c.finishStop()
		case err != nil:
			return reason, err
		}
	}
}

// finishStop answers what was asked before and ends the connection, as the gateway stops.
func (c *client) finishStop() (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	reason, _ := c.all.isDraining()
	return reason, transport.ErrWoken
}

// message reads one message whose head has come. Whatever is to be said of it takes its place in the queue.
func (c *client) handleMessage() (transport.Reason, error) {
	h, err := postgres.ParseHeader(c.conn.Peek(postgres.HeaderSize))
	if err != nil {
		return c.reject(err)
	}
	by := c.deadline(c.all.Limits.Message)
	if err := c.conn.Skip(postgres.HeaderSize); err != nil {
		return transport.ReasonOf(err), err
	}
	switch h.Type {
	case postgres.TypeQuery:
		if !c.skipping {
			return c.handleQuery(h.Body, by)
		}
		return reasoned(c.conn.SkipBy(h.Body, by, c.interrupted))
	case postgres.TypeTerminate:
		return transport.EndTerminate, io.EOF
	case postgres.TypeSync:
		c.skipping = false
		c.enqueueResponse(postgres.AppendReady(nil))
		return reasoned(c.conn.SkipBy(h.Body, by, c.interrupted))
	case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f':
		if err = c.conn.SkipBy(h.Body, by, c.interrupted); err != nil || c.skipping || h.Type == 'H' || h.Type >= 'a' {
			return reasoned(err)
		}
		c.all.Counts.Unsupported.Add(1)
		out := postgres.AppendError(nil, false, postgres.CodeUnsupported, "only simple queries are served here", 0)
		if h.Type == 'F' {
			out = postgres.AppendReady(out)
		} else {
			c.skipping = true
		}
		c.enqueueResponse(out)
		return c.penalize()
	}
	return c.reject(errors.New("message of unknown type " + strconv.Quote(string(h.Type))))
}

// startup answers the connection's first packets.
func (c *client) startup(process uint32) (transport.Reason, error) {
	for {
		if reason, err := c.idle(4); err != nil {
			if reason == transport.EndIdle {
				reason = transport.EndTimeout
			}
			return reason, err
		}
		n, err := postgres.StartupLength(c.conn.Peek(4))
		if err != nil {
			return c.reject(err)
		}
		packet := c.all.Buffers.NewMessage()
		if err := c.conn.Fill(packet, 4+n, c.newBy, c.isCut); err != nil {
			packet.Free()
			return transport.ReasonOf(err), err
		}
		opening, start, err := postgres.ParseStartup(bytes.Join(packet.From(4), nil))
		packet.Free()
		if err != nil {
			return c.reject(err)
		}
		out := []byte{'N'}
		switch opening {
		case postgres.OpenCancel:
			return transport.EndCancelRequest, io.EOF
		case postgres.OpenStart:
			out = postgres.AppendWelcome(nil, start.Minor, process)
		}
		if err := c.write(out); err != nil {
			return transport.ReasonOf(err), err
		}
		if opening == postgres.OpenStart {
			return 0, nil
		}
	}
}

// reject ends a connection on which the framing is lost.
func (c *client) reject(cause error) (transport.Reason, error) {
	c.all.Counts.Malformed.Add(1)
	return c.end(cause)
}

// drainAnswers answers what was asked before and reads nothing more.
func (c *client) drainAnswers() (transport.Reason, error) {
	c.readingStopped = true
	for c.waiting() > 0 {
		if reason, err := c.flush(); err != nil {
			return reason, err
		}
		if c.waiting() > 0 {
			if reason, err := c.watch(); err != nil && !errors.Is(err, transport.ErrWoken) {
				return reason, err
			}
		}
	}
	return 0, nil
}

// end answers what was asked before, gives the last word and leaves the client time to read it.
func (c *client) end(cause error) (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	if c.write(postgres.AppendError(nil, true, postgres.CodeProtocol, cause.Error(), 0)) == nil {
		c.all.linger(c.conn)
	}
	return transport.EndProtocol, cause
}
