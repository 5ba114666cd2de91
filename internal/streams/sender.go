package streams

import (
	"context"
	"time"

	"marblespan/internal/transport"
)

// closing reports whether Close has been called.
func (x *Streams) closing() bool {
	select {
	case <-x.quit:
		return true
	default:
		return false
	}
}

// sender is the state of a peer's goroutine (peer.run).
type sender struct {
	*peer
	stream  *writer // nil if no stream is open
	opened  time.Time
	backoff time.Duration
}

// run is the peer's goroutine. It sends queued messages until nothing has been queued for idleTimeout, or the streams are closed.
func (p *peer) run() {
	s := sender{peer: p, backoff: minBackoff}
	for p.awaitMessages() {
		s.closeIfEnded()
		if s.stream == nil && !s.open() {
			continue
		}
		if p.streams.closing() { // Close aborts writes from now on; the queued messages are reported below as lost and not handed over
			continue
		}
		s.sendBatch()
	}
	s.close()
	p.reportLost(p.dequeue(MaxQueued+MaxBody), false)
}

// open opens a stream and buffers the hello as its first frame. It reports whether the stream may be used. If no stream can be
// opened, all queued messages are lost.
func (s *sender) open() bool {
	stream, err := s.streams.dial(s.name)
	if err != nil {
		s.streams.Counts.DialsFailed.Add(1)
		s.reportLost(s.dequeue(MaxQueued+MaxBody), false)
		s.waitBackoff()
		return false
	}
	s.stream, s.opened = stream, time.Now()
	if !s.setConn(stream.conn) {
		return false
	}
	s.streams.Counts.Opened.Add(1)
	stream.appendFrame(hello, appendHello(nil, s.streams.settings.Node, s.name))
	return true
}

// close closes the stream, if one is open.
func (s *sender) close() {
	if s.stream != nil {
		s.setConn(nil)
		s.stream.conn.Close()
		s.stream = nil
	}
}

// closeIfEnded closes the stream if the peer has ended it. If the peer ended it soon after it was opened, the peer is probably
// rejecting streams, so closeIfEnded waits for the backoff before the next attempt.
func (s *sender) closeIfEnded() {
	if s.stream == nil || s.stream.conn.Silent() {
		return
	}
	s.close()
	if time.Since(s.opened) < maxBackoff {
		s.waitBackoff()
	}
}

// waitBackoff waits for the backoff, or until the streams are closed, and then doubles the backoff up to maxBackoff.
func (s *sender) waitBackoff() {
	select {
	case <-time.After(s.backoff):
	case <-s.streams.quit:
	}
	s.backoff = min(2*s.backoff, maxBackoff)
}

// sendBatch writes up to maxBatchBytes of queued messages with one write.
func (s *sender) sendBatch() {
	batch := s.dequeue(maxBatchBytes)
	for i := range batch {
		s.stream.appendFrame(batch[i].Channel, batch[i].Body)
	}
	if err := s.stream.flush(); err != nil {
		s.close()
		s.reportLost(batch, true)
		return
	}
	s.streams.Counts.Sent.Add(int64(len(batch)))
	if time.Since(s.opened) > maxBackoff {
		s.backoff = minBackoff
	}
}

// awaitMessages waits until a message is queued. It returns false if the peer's goroutine must end, because the streams are
// closed, or because nothing was queued for idleTimeout and the peer has been removed.
func (p *peer) awaitMessages() bool {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		if p.streams.closing() {
			return false
		}
		if p.hasQueued() {
			return true
		}
		select {
		case <-p.wake:
		case <-p.streams.quit:
		case <-idle.C:
			if p.removeIfIdle() {
				return false
			}
			idle.Reset(idleTimeout)
		}
	}
}

func (p *peer) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// removeIfIdle removes the peer from Streams.peers and returns true, unless a message is queued.
func (p *peer) removeIfIdle() bool {
	p.streams.mu.Lock()
	defer p.streams.mu.Unlock()
	if p.hasQueued() {
		return false
	}
	delete(p.streams.peers, p.name)
	return true
}

// dial connects to a peer and reads the peer's greeting. It stops dialing early if the streams are closed.
func (x *Streams) dial(name string) (*writer, error) {
	addr, known := x.settings.AddressOf(name)
	if !known {
		return nil, ErrUnknownPeer
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-x.quit:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := transport.Dial(ctx, addr, time.Now().Add(dialTimeout), x.settings.Buffers, x.settings.Descriptors, false)
	if err != nil {
		return nil, err
	}
	greeting := make([]byte, greetingSize)
	if err = conn.ReadFull(greeting, time.Now().Add(handshakeTimeout)); err == nil && greeting[0] != version {
		err = errInvalidFrame
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &writer{streams: x, conn: conn, purpose: purpose(x.settings.Deployment, greeting)}, nil
}
