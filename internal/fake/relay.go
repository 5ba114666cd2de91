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
const retransmit = 200 * time.Millisecond

// mostChunk is how much of a stream travels at a time, in bytes; mostQueued how many chunks may be under way.
const (
	mostChunk  = 16 << 10
	mostQueued = 64
)

// Relay carries streams from one place to another and does to them what it is told, each direction by itself. What is held
// back is not lost: it goes on when the way is open again, as the kernels' retransmissions would have it.
type Relay struct {
	// Seen is told of what the near end has written, as it comes and before anything is done to it; may be nil.
	OnData func(chunk []byte)

	listener net.Listener
	from     net.IP // the far end sees connections come from there; nil: from anywhere
	done     sync.WaitGroup

	mu      sync.Mutex
	to      string
	out     Impairment // near to far
	back    Impairment
	changed chan struct{} // closed, and made anew, at each change
	closed  bool
	flows   map[*stream]struct{}
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
	r := &Relay{listener: l, to: to, from: from, changed: make(chan struct{}), flows: map[*stream]struct{}{}}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set decides what becomes of both directions from now on. A way that drops holds the stream still; a new connection comes
// up once both ways are open.
func (r *Relay) Set(out, back Impairment) {
	r.change(func() { r.out, r.back = out, back })
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
	for s := range r.flows {
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
	r.done.Wait()
}

// fate tells what becomes of a direction now, and hands over what is closed when that changes.
func (r *Relay) fate(out bool) (f Impairment, changed chan struct{}, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f = r.back; out {
		f = r.out
	}
	return f, r.changed, r.closed
}

// open waits until a direction carries something, and tells what becomes of it.
func (r *Relay) open(out bool, quit <-chan struct{}) (Impairment, bool) {
	for {
		f, changed, closed := r.fate(out)
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
	defer r.done.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.carry(c)
		}()
	}
}

func (r *Relay) carry(near net.Conn) {
	s := &stream{near: near}
	r.mu.Lock()
	r.flows[s] = struct{}{}
	to := r.to
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.flows, s)
		r.mu.Unlock()
		s.reset()
	}()
	for _, out := range []bool{true, false} {
		if _, ok := r.open(out, nil); !ok {
			return
		}
	}
	d := net.Dialer{Timeout: time.Second}
	if r.from != nil {
		d.LocalAddr = &net.TCPAddr{IP: r.from}
	}
	far, err := d.Dial("tcp4", to)
	r.mu.Lock()
	if s.far = far; err == nil && r.closed {
		err = net.ErrClosed
	}
	r.mu.Unlock()
	if err != nil {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.pump(s, far, near, true) }()
	go func() { defer both.Done(); r.pump(s, near, far, false) }()
	both.Wait()
}

type chunk struct {
	b  []byte
	at time.Time // not before
}

// pump carries one direction. An orderly end goes on as one, any other as a reset.
func (r *Relay) pump(s *stream, to, from net.Conn, out bool) {
	queue, quit := make(chan chunk, mostQueued), make(chan struct{})
	var writing sync.WaitGroup
	writing.Add(1)
	go func() {
		defer writing.Done()
		defer close(quit)
		r.write(to, queue, out)
	}()
	var err error
	for last := time.Now(); err == nil; {
		b := make([]byte, mostChunk)
		var n int
		if n, err = from.Read(b); n == 0 {
			continue
		}
		if out && r.OnData != nil {
			r.OnData(b[:n])
		}
		f, _, _ := r.fate(out)
		at := time.Now().Add(f.span())
		if f.LossRate > 0 && rand.Float64() < f.LossRate {
			at = at.Add(retransmit)
		}
		if at.Before(last) { // a stream keeps its order
			at = last
		}
		last = at
		select {
		case queue <- chunk{b[:n], at}:
		case <-quit:
			err = net.ErrClosed
		}
	}
	close(queue)
	if !errors.Is(err, io.EOF) {
		s.reset()
	}
	writing.Wait()
	if errors.Is(err, io.EOF) {
		to.(*net.TCPConn).CloseWrite()
	}
}

func (r *Relay) write(to net.Conn, queue <-chan chunk, out bool) {
	for c := range queue {
		time.Sleep(time.Until(c.at))
		for len(c.b) > 0 {
			f, ok := r.open(out, nil)
			if !ok {
				return
			}
			n := len(c.b)
			if f.Rate > 0 { // twenty small steps a second
				n = min(n, max(f.Rate/20, 1))
			}
			if _, err := to.Write(c.b[:n]); err != nil {
				return
			}
			if c.b = c.b[n:]; f.Rate > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(f.Rate))
			}
		}
	}
}
