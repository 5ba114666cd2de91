package fake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// retransmitDelay is the additional delay of a chunk whose first transmission was lost. TCP retransmits lost segments, so loss
// delays a stream but does not remove data.
const retransmitDelay = 200 * time.Millisecond

// maxChunk is the maximum number of bytes that are read from a stream at a time. maxQueuedChunks is the maximum number of chunks
// that are queued in one direction.
const (
	maxChunk        = 16 << 10
	maxQueuedChunks = 64
)

// Relay forwards TCP connections from one address to another, with an Impairment for each direction. Data that an impairment
// holds back is not lost. The relay forwards that data once the impairment ends, as TCP does by its retransmissions.
type Relay struct {
	// OnData is called with the data that the near end (the side that connected to the relay) has sent, before any impairment
	// is applied. It may be nil.
	OnData func(chunk []byte)

	listener   net.Listener
	sourceIP   net.IP // the source address of connections to the target; nil for any
	goroutines sync.WaitGroup

	mu       sync.Mutex
	target   string
	outbound Impairment // from the near end to the far end
	inbound  Impairment
	changed  chan struct{} // closed and replaced at each change
	closed   bool
	streams  map[*stream]struct{}
}

// stream is one connection through a relay.
type stream struct {
	near, far net.Conn
}

// NewRelay starts a relay. The parameter at is the address that the relay listens on (host and port; port 0 for any port). The
// parameter to is the address to which it forwards connections. The parameter from is the source IP address of the forwarded
// connections; nil for any address.
func NewRelay(at, to string, from net.IP) (*Relay, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: to, sourceIP: from, changed: make(chan struct{}), streams: map[*stream]struct{}{}}
	r.goroutines.Go(func() { acceptAll(r.listener, &r.goroutines, r.serve) })
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set changes the impairments of both directions. Drop and StallStreams stall a stream; a new connection is established once
// neither direction stalls.
func (r *Relay) Set(out, back Impairment) {
	r.change(func() { r.outbound, r.inbound = out, back })
}

// change applies a change and wakes all goroutines that wait for a change.
func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// ResetStreams resets every open stream.
func (r *Relay) ResetStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		s.reset()
	}
}

func (s *stream) reset() {
	for _, c := range []net.Conn{s.near, s.far} {
		if c != nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// Close resets every stream, stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.listener.Close()
	r.change(func() { r.closed = true })
	r.ResetStreams()
	r.goroutines.Wait()
}

// impairment returns the impairment of a direction, a channel that is closed at the next change of the relay, and whether the relay
// is closed.
func (r *Relay) impairment(outbound bool) (f Impairment, changed chan struct{}, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f = r.inbound; outbound {
		f = r.outbound
	}
	return f, r.changed, r.closed
}

// waitOpen waits until a direction does not stall and returns its impairment. It reports false if the relay or quit is closed first.
func (r *Relay) waitOpen(outbound bool, quit <-chan struct{}) (Impairment, bool) {
	for {
		f, changed, closed := r.impairment(outbound)
		if closed {
			return f, false
		}
		if !f.Drop && !f.StallStreams {
			return f, true
		}
		select {
		case <-changed:
		case <-quit:
			return f, false
		}
	}
}

// serve connects one stream to the target and forwards both directions until they end.
func (r *Relay) serve(near net.Conn) {
	connection := &stream{near: near}
	r.mu.Lock()
	r.streams[connection] = struct{}{}
	to := r.target
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.streams, connection)
		r.mu.Unlock()
		connection.reset()
	}()
	for _, out := range []bool{true, false} {
		if _, ok := r.waitOpen(out, nil); !ok {
			return
		}
	}
	d := net.Dialer{Timeout: time.Second}
	if r.sourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: r.sourceIP}
	}
	far, err := d.Dial("tcp4", to)
	r.mu.Lock()
	if connection.far = far; err == nil && r.closed {
		err = net.ErrClosed
	}
	r.mu.Unlock()
	if err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copyDirection(connection, far, near, true) })
	both.Go(func() { r.copyDirection(connection, near, far, false) })
	both.Wait()
}

// chunk is data of a stream that was read and not yet written.
type chunk struct {
	data []byte
	due  time.Time // when it may be written
}

// copyDirection forwards one direction of a stream. It forwards an orderly end of the stream as an orderly end, and any other end
// as a reset.
func (r *Relay) copyDirection(connection *stream, destination, source net.Conn, outbound bool) {
	queue, writerDone := make(chan chunk, maxQueuedChunks), make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(writerDone)
		r.writeChunks(destination, queue, outbound)
	})
	var err error
	for lastDue := time.Now(); err == nil; {
		buffer := make([]byte, maxChunk)
		var n int
		if n, err = source.Read(buffer); n == 0 {
			continue
		}
		if outbound && r.OnData != nil {
			r.OnData(buffer[:n])
		}
		impairment, _, _ := r.impairment(outbound)
		due := time.Now().Add(impairment.randomDelay())
		if impairment.LossRate > 0 && rand.Float64() < impairment.LossRate {
			due = due.Add(retransmitDelay)
		}
		if due.Before(lastDue) { // the chunks of a stream stay in order
			due = lastDue
		}
		lastDue = due
		select {
		case queue <- chunk{buffer[:n], due}:
		case <-writerDone:
			err = net.ErrClosed
		}
	}
	close(queue)
	if !errors.Is(err, io.EOF) {
		connection.reset()
	}
	writer.Wait()
	if errors.Is(err, io.EOF) {
		destination.(*net.TCPConn).CloseWrite()
	}
}

// writeChunks writes each chunk when it is due, at the rate of the impairment.
func (r *Relay) writeChunks(to net.Conn, queue <-chan chunk, outbound bool) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for len(c.data) > 0 {
			f, ok := r.waitOpen(outbound, nil)
			if !ok {
				return
			}
			n := len(c.data)
			if f.Rate > 0 { // twenty writes per second
				n = min(n, max(f.Rate/20, 1))
			}
			if _, err := to.Write(c.data[:n]); err != nil {
				return
			}
			if c.data = c.data[n:]; f.Rate > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(f.Rate))
			}
		}
	}
}
