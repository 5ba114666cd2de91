package session

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// maxBadMessages is how many bad messages a connection may send. Each is followed by a backoff twice as long as the one before,
// so that the last ones come seconds after the first. It guards against clients that repeat the same at full speed; a client
// in service sends none.
const maxBadMessages = 8

// closeCheck is how often a client that is not being read from is checked for having closed: its requests are cancelled then,
// and no attempt may begin more than 0.1 s after the close.
const closeCheck = 40 * time.Millisecond

// lateRequestGrace is how long a request may take to arrive that was on its way in when the time of its connection was up.
const lateRequestGrace = 100 * time.Millisecond

// client is one client's connection. Its goroutine alone reads and writes the socket, and answers queries in their order; each is
// sent on its way as soon as it has been read. The fields behind mu are shared with the goroutines that deliver answers or ask
// for the connection's end.
type client struct {
	all         *Clients
	conn        *transport.Conn
	answerReady chan struct{} // an answer was delivered, for when the socket is not watched

	mu      sync.Mutex
	queue   []*pendingQuery // awaiting their answers, oldest first
	waitingIdle bool            // waiting between requests: nothing is lost if it is woken
	closing bool
	cutOffAt   time.Time // in a shutdown: when incomplete messages are waited for no longer; zero: never
	reason  transport.Reason
	served  int

	firstRequestDeadline       time.Time // deadline of the first request
	sentRequest       bool      // it has sent a complete request
	badMessages int       // received so far

	skipping       bool             // after an error in the extended protocol, up to Sync
	readingStopped bool             // nothing more is read: its framing is lost, or the gateway shuts down
	writeReason         transport.Reason // why an answer could not be written while a message was read
	writeErr       error
}

// CloseIdle asks the connection to close as soon as it has nothing to do.
func (c *client) CloseIdle(reason transport.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.closing, c.reason = true, reason
	}
	if c.waitingIdle {
		c.conn.Wake()
	}
}

// setWaitingIdle notes whether the connection waits between requests.
func (c *client) setWaitingIdle(on bool) {
	c.mu.Lock()
	c.waitingIdle = on
	c.mu.Unlock()
}

// cutOff has the connection wait for messages for no longer than lateRequest from now on.
func (c *client) cutOff(now time.Time) {
	c.mu.Lock()
	c.cutOffAt = now.Add(lateRequestGrace)
	c.mu.Unlock()
	time.AfterFunc(lateRequestGrace, c.conn.Wake)
}

// pastCutOff reports whether nothing more is to be read.
func (c *client) pastCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cutOffAt.IsZero() && !time.Now().Before(c.cutOffAt)
}

// flushOrStop writes the answers that are due while a message is being read, and reports whether reading has to end.
func (c *client) flushOrStop() bool {
	if c.writeErr == nil {
		c.writeReason, c.writeErr = c.flush()
	}
	return c.writeErr != nil || c.pastCutOff()
}

func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// deadline is when the client must have done what it has a time limit for. Before its first request one deadline applies to
// everything.
func (c *client) deadline(limit time.Duration) time.Time {
	if !c.sentRequest {
		return c.firstRequestDeadline
	}
	return time.Now().Add(limit)
}

// run serves the start-up and then one message after another.
func (c *client) run(process uint32) (transport.Reason, error) {
	defer c.abandonQueries()
	if reason, err := c.startup(process); err != nil {
		return reason, err
	}
	if reason, draining := c.all.isDraining(); draining { // it came after Drain had listed the open connections
		c.CloseIdle(reason)
	}
	return c.serveMessages()
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
		if err := c.conn.Fill(packet, 4+n, c.firstRequestDeadline, c.pastCutOff); err != nil {
			packet.Free()
			return transport.ReasonOf(err), err
		}
		opening, start, err := postgres.ParseStartup(bytes.Join(packet.BuffersFrom(4), nil))
		packet.Free()
		if err != nil {
			return c.reject(err)
		}
		out := []byte{'N'}
		switch opening {
		case postgres.StartupCancelRequest:
			return transport.EndCancelRequest, io.EOF
		case postgres.StartupSession:
			out = postgres.AppendStartupResponse(nil, start.Minor, process)
		}
		if err := c.write(out); err != nil {
			return transport.ReasonOf(err), err
		}
		if opening == postgres.StartupSession {
			return 0, nil
		}
	}
}

// serveMessages reads one message after another and writes the answers. It goes on reading while answers are awaited.
func (c *client) serveMessages() (transport.Reason, error) {
	for {
		reason, err := c.flush()
		if err != nil {
			return reason, err
		}
		if c.pastCutOff() {
			return c.finishShutdown()
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
		case c.writeErr != nil:
			return c.writeReason, c.writeErr
		case errors.Is(err, transport.ErrWoken) && c.pastCutOff():
			return c.finishShutdown()
		case err != nil:
			return reason, err
		}
	}
}

// handleMessage reads one message whose header has arrived. The answer, if it has one, takes its place in the queue.
func (c *client) handleMessage() (transport.Reason, error) {
	header, err := postgres.ParseHeader(c.conn.Peek(postgres.HeaderSize))
	if err != nil {
		return c.reject(err)
	}
	deadline := c.deadline(c.all.Limits.Message)
	if err := c.conn.Skip(postgres.HeaderSize); err != nil {
		return transport.ReasonOf(err), err
	}
	switch header.Type {
	case postgres.TypeQuery:
		if !c.skipping {
			return c.handleQuery(header.Body, deadline)
		}
		return withReason(c.conn.SkipUntil(header.Body, deadline, c.flushOrStop))
	case postgres.TypeTerminate:
		return transport.EndTerminate, io.EOF
	case postgres.TypeSync:
		c.skipping = false
		c.enqueueResponse(postgres.AppendReadyForQuery(nil))
		return withReason(c.conn.SkipUntil(header.Body, deadline, c.flushOrStop))
	case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f':
		if err = c.conn.SkipUntil(header.Body, deadline, c.flushOrStop); err != nil || c.skipping || header.Type == 'H' || header.Type >= 'a' {
			return withReason(err)
		}
		c.all.Counts.Unsupported.Add(1)
		out := postgres.AppendErrorResponse(nil, false, postgres.CodeFeatureNotSupported, "only simple queries are served here", 0)
		if header.Type == 'F' {
			out = postgres.AppendReadyForQuery(out)
		} else {
			c.skipping = true
		}
		c.enqueueResponse(out)
		return c.penalize()
	}
	return c.reject(errors.New("message of unknown type " + strconv.Quote(string(header.Type))))
}

// idle waits for n bytes between requests. What has arrived already is served, even if the connection has been asked to close.
func (c *client) idle(n int) (transport.Reason, error) {
	kind := transport.IdleNewClient
	if c.sentRequest {
		kind = transport.IdleServedClient
	}
	c.all.Fds.MarkIdle(c, kind)
	c.setWaitingIdle(true)
	defer func() {
		c.setWaitingIdle(false)
		c.all.Fds.MarkBusy(c)
	}()
	deadline := c.deadline(c.all.Limits.Idle)
	pending := func() bool { return c.isClosing() || c.pastCutOff() }
	graceUsed := false
	for {
		err := c.conn.Wait(n, deadline, pending)
		switch {
		case err == nil:
			return 0, nil
		case errors.Is(err, transport.ErrWoken):
			if c.pastCutOff() {
				reason, _ := c.all.isDraining()
				return reason, err
			}
			if c.conn.Buffered() == 0 && c.conn.Silent() {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.reason, err
			}
			pending = c.pastCutOff // a request is on its way in: closing now would cut it off
		case errors.Is(err, transport.ErrDeadline):
			switch {
			case c.conn.Buffered() > 0:
				return transport.EndTimeout, err
			case graceUsed || c.conn.Silent():
				return transport.EndIdle, err
			}
			graceUsed, deadline = true, time.Now().Add(lateRequestGrace)
		default:
			return transport.ReasonOf(err), err
		}
	}
}

// penalize counts a bad message. Its sender gets the answer at once, but its next message is read only after a backoff.
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

// backOff waits before the next message is read. Answers are written meanwhile, and a disconnect is noticed.
func (c *client) backOff(delay time.Duration) (transport.Reason, error) {
	for end := time.Now().Add(delay); ; {
		if reason, err := c.flush(); err != nil {
			return reason, err
		}
		if c.conn.PeerClosed() {
			return transport.EndClientDisconnected, io.EOF
		}
		left := time.Until(end)
		if left <= 0 || c.pastCutOff() {
			return 0, nil
		}
		c.awaitAnswer(min(left, closeCheck))
	}
}

// reject ends a connection whose framing is lost.
func (c *client) reject(cause error) (transport.Reason, error) {
	c.all.Counts.Malformed.Add(1)
	return c.end(cause)
}

// drainAnswers answers the open queries and reads nothing more.
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

// finishShutdown answers the open queries and ends the connection, as the gateway shuts down.
func (c *client) finishShutdown() (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	reason, _ := c.all.isDraining()
	return reason, transport.ErrWoken
}

// end answers the open queries, sends a last error and leaves the client time to read it.
func (c *client) end(cause error) (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	if c.write(postgres.AppendErrorResponse(nil, true, postgres.CodeProtocolViolation, cause.Error(), 0)) == nil {
		c.all.linger(c.conn)
	}
	return transport.EndProtocol, cause
}

// announceClose tells a client between requests, before its connection is closed, that it may connect again at once. A request
// that crosses this message takes it as its rejection: without it the client could not tell whether that request was read, and
// would have to treat an in-doubt write as possibly run.
func (c *client) announceClose(why string) {
	if c.write(postgres.AppendErrorResponse(nil, true, postgres.CodeCannotConnectNow, why, 0)) == nil {
		c.all.linger(c.conn)
	}
}

// write writes a message to the client, within Timeouts.Answer.
func (c *client) write(b []byte) error {
	_, err := c.conn.Write(time.Now().Add(c.all.Limits.Answer), net.Buffers{b})
	return err
}
