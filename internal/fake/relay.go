package fake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// retransmit is how much later a chunk of a stream arrives whose first sending was lost: a kernel sends it again, so that a
// lossy way shows as a slow one.
const retransmitDelay = 200 * time.Millisecond

// mostChunk is how much of a stream travels at a time, in bytes; mostQueued how many chunks may be under way.
const (
	maxChunk        = 16 << 10
	maxQueuedChunks = 64
)

// Relay carries streams from one place to another and does to them what it is told, each direction by itself. What is held
// back is not lost: it goes on when the way is open again, as the kernels' retransmissions would have it.
type Relay struct {
	// Seen is told of what the near end has written, as it comes and before anything is done to it; may be nil.
	OnData func(chunk []byte)

	listener   net.Listener
	sourceIP   net.IP // the far end sees connections come from there; nil: from anywhere
	goroutines sync.WaitGroup

	mu       sync.Mutex
	target   string
	outbound Impairment // near to far
	inbound  Impairment
	changed  chan struct{} // closed, and made anew, at each change
	closed   bool
	streams  map[*stream]struct{}
}

// stream is one connection through a relay.
type stream struct {
	near, far net.Conn
}

// NewRelay carries streams that come to an address (host and port; port 0 for any) on to another one.
func NewRelay(at, to string, from net.IP) (*Relay, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: to, sourceIP: from, changed: make(chan struct{}), streams: map[*stream]struct{}{}}
	r.goroutines.Add(1)
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set decides what becomes of both directions from now on. A way that drops holds the stream still; a new connection comes
// up once both ways are open.
func (r *Relay) Set(out, back Impairment) {
	r.change(func() { r.outbound, r.inbound = out, back })
}

func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets every open stream.
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

// Close ends the relay and every stream.
func (r *Relay) Close() {
	r.listener.Close()
	r.change(func() { r.closed = true })
	r.ResetStreams()
	r.goroutines.Wait()
}

// fate tells what becomes of a direction now, and hands over what is closed when that changes.
func (r *Relay) impairment(outbound bool) (f Impairment, changed chan struct{}, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f = r.inbound; outbound {
		f = r.outbound
	}
	return f, r.changed, r.closed
}

// open waits until a direction carries something, and tells what becomes of it.
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

func (r *Relay) accept() {
	defer r.goroutines.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
			r.serve(c)
		}()
	}
}

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
	both.Add(2)
	go func() { defer both.Done(); r.copyDirection(connection, far, near, true) }()
	go func() { defer both.Done(); r.copyDirection(connection, near, far, false) }()
	both.Wait()
}

type chunk struct {
	data []byte
	due  time.Time // not before
}

// pump carries one direction. An orderly end goes on as one, any other as a reset.
func (r *Relay) copyDirection(connection *stream, destination, source net.Conn, outbound bool) {
	queue, writerDone := make(chan chunk, maxQueuedChunks), make(chan struct{})
	var writer sync.WaitGroup
	writer.Add(1)
	go func() {
		defer writer.Done()
		defer close(writerDone)
		r.writeChunks(destination, queue, outbound)
	}()
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
		if due.Before(lastDue) { // a stream keeps its order
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

func (r *Relay) writeChunks(to net.Conn, queue <-chan chunk, outbound bool) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for len(c.data) > 0 {
			f, ok := r.waitOpen(outbound, nil)
			if !ok {
				return
			}
			n := len(c.data)
			if f.Rate > 0 { // twenty small steps a second
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
