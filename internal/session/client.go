package session

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblespan/internal/protocol/postgres"
	"marblespan/internal/transport"
)

// maxBadMessages is the number of bad messages after which a connection is ended. Each bad message is followed by a backoff twice
// as long as the previous backoff, so that the last bad message is read seconds after the first. The limit guards against clients
// that repeat the same bad message at full speed; a client that works correctly sends none.
const maxBadMessages = 8

// closeCheck is the interval at which a connection that is not being read from is polled for a close by the client. A close cancels
// the client's requests, and no attempt for them may begin more than 0.1 s after the close.
const closeCheck = 40 * time.Millisecond

// lateRequestGrace is the extra time for the rest of a request that has begun to arrive when the connection would otherwise stop
// reading: at the end of the idle time or, in a shutdown, at Clients.CutOff.
const lateRequestGrace = 100 * time.Millisecond

// client is one client's connection. Only its goroutine reads and writes the socket. It submits each query as soon as it has been
// read, and writes the answers in the order of the queries. The fields guarded by mu are shared with the goroutines that deliver
// answers or ask the connection to close.
type client struct {
	all         *Clients
	conn        *transport.Conn
	share       *rate.Limiter // the work that the connection may cause before it has to share with others
	answerReady chan struct{} // signals a delivered answer when the goroutine is not waiting on the socket

	mu              sync.Mutex
	queue           []*pendingQuery // unanswered queries, oldest first
	queuedResponses int             // entries of queue that the gateway itself has answered
	waitingIdle     bool            // the goroutine waits between requests; waking it interrupts no message
	closing         bool
	cutOffAt        time.Time // in a shutdown: the time after which nothing more is read from the client; zero: no limit
	refusesNew      bool      // queries are answered and not submitted, because the open ones are being failed
	reason          transport.Reason
	served          int

	firstRequestDeadline time.Time // deadline of the first request
	sentRequest          bool      // the client has sent a complete request
	badMessages          int       // number of bad messages received so far

	skipping       bool             // messages up to Sync are skipped, after an error in the extended protocol
	readingStopped bool             // nothing more is read: the framing is lost, or the gateway shuts down
	writeReason    transport.Reason // why the write of an answer failed while a message was being read
	writeErr       error
}

// CloseIdle asks the connection to close as soon as it is idle.
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

// setWaitingIdle records whether the connection waits between requests.
func (c *client) setWaitingIdle(on bool) {
	c.mu.Lock()
	c.waitingIdle = on
	c.mu.Unlock()
}

// cutOff limits reading from the connection: lateRequestGrace after now, nothing more is read.
func (c *client) cutOff(now time.Time) {
	c.mu.Lock()
	c.cutOffAt = now.Add(lateRequestGrace)
	c.mu.Unlock()
	time.AfterFunc(lateRequestGrace, c.conn.Wake)
}

// pastCutOff reports whether the time set by cutOff has passed, after which nothing more is read.
func (c *client) pastCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cutOffAt.IsZero() && !time.Now().Before(c.cutOffAt)
}

// flushOrStop writes the available answers while a message is being read. It reports whether reading must stop: because a write
// failed, or the time set by cutOff has passed.
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

// deadline returns the deadline for an action of the client with the given time limit. Before the client's first request, the
// deadline of that request applies to all actions.
func (c *client) deadline(limit time.Duration) time.Time {
	if !c.sentRequest {
		return c.firstRequestDeadline
	}
	return time.Now().Add(limit)
}

// run serves the connection: the start-up, and then one message after another.
func (c *client) run(process uint32) (transport.Reason, error) {
	defer c.abandonQueries()
	if reason, err := c.startup(process); err != nil {
		return reason, err
	}
	if reason, draining := c.all.isDraining(); draining { // the connection may have been registered after Drain listed the open ones
		c.CloseIdle(reason)
	}
	return c.serveMessages()
}

// startup reads and answers the start-up packets, which precede the first message. It returns a nil error when the session has
// started.
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

// serveMessages reads one message after another and writes the answers. It continues to read while queries are unanswered.
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

// handleMessage reads and handles one message whose header has arrived. It returns when the next message may be read.
func (c *client) handleMessage() (transport.Reason, error) {
	header, err := postgres.ParseHeader(c.conn.Peek(postgres.HeaderSize))
	if err != nil {
		return c.reject(err)
	}
	deadline := c.deadline(c.all.Limits.Message)
	if err := c.conn.Skip(postgres.HeaderSize); err != nil {
		return transport.ReasonOf(err), err
	}
	work := c.workOf(header)
	if reason, err := c.handleBody(header, deadline); err != nil {
		return reason, err
	}
	return c.pace(work)
}

// handleBody reads and handles the body of a message. The answer, if the message has one, is queued.
func (c *client) handleBody(header postgres.Header, deadline time.Time) (transport.Reason, error) {
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
		if err := c.conn.SkipUntil(header.Body, deadline, c.flushOrStop); err != nil || c.skipping || header.Type == 'H' || header.Type >= 'a' {
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

// idle waits for n bytes between requests. If a request has begun to arrive when CloseIdle is called, idle still waits for that
// request, but not past the time set by cutOff.
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
			pending = c.pastCutOff // a request has begun to arrive; closing now would lose it
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

// penalize counts a bad message. The client gets its answer at once, but its next message is read only after a backoff. After
// maxBadMessages bad messages the connection is ended.
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

// backOff waits for the delay before the next message is read. Meanwhile it writes available answers and notices a disconnect.
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

// reject ends a connection whose next message cannot be located, because the start-up or a message header is invalid.
func (c *client) reject(cause error) (transport.Reason, error) {
	c.all.Counts.Malformed.Add(1)
	return c.end(cause)
}

// drainAnswers stops reading and waits until every open query has been answered.
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

// finishShutdown waits until the open queries have been answered, and ends the connection because the gateway shuts down.
func (c *client) finishShutdown() (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	reason, _ := c.all.isDraining()
	return reason, transport.ErrWoken
}

// end waits until the open queries have been answered, sends the cause as a fatal error and gives the client time to read it.
func (c *client) end(cause error) (transport.Reason, error) {
	if reason, err := c.drainAnswers(); err != nil {
		return reason, err
	}
	if c.write(postgres.AppendErrorResponse(nil, true, postgres.CodeProtocolViolation, cause.Error(), 0)) == nil {
		c.all.linger(c.conn)
	}
	return transport.EndProtocol, cause
}

// announceClose sends an error to an idle client before its connection is closed. The error allows the client to connect again at
// once. A client that has just sent a request takes the error as the rejection of that request. Without the error, the client could
// not know whether the request was read, and would have to treat an in-doubt write as possibly executed.
func (c *client) announceClose(why string) {
	if c.write(postgres.AppendErrorResponse(nil, true, postgres.CodeCannotConnectNow, why, 0)) == nil {
		c.all.linger(c.conn)
	}
}

// write writes bytes to the client. The time limit is Timeouts.Answer.
func (c *client) write(b []byte) error {
	_, err := c.conn.Write(time.Now().Add(c.all.Limits.Answer), net.Buffers{b})
	return err
}
