// Package streams carries what gateways say to each other and what is too large for a datagram: one stream each way between
// two that need it, opened by whoever has something to say. Frames are signed with the keys of all datagrams, and bound to a
// number that the listener draws, so that a recorded stream is of no use. It knows no message and decides nothing.
package streams

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/protocol/sealed"
	"marblespan/internal/transport"
)

// MostBody is the size of the largest message, in bytes.
const MaxBody = 1 << 20

// MostQueued is how many bytes may wait for one peer.
const MaxQueued = 4 << 20

// MostName is the length of the longest name, in bytes.
const MaxNameLength = 40

// mostWritten is how many bytes of waiting messages are written together.
const mostWritten = 256 << 10

// mostHellos is how many connections may be about to say who they are; further ones are closed. Strangers cost no more.
const mostHellos = 16

// The times. A stream that has nothing to carry is closed after idleBy; one that does not take a message within stuckBy is
// given up, and the next message opens another. The pause between two attempts grows from the least to the most.
const (
	dialBy     = time.Second
	helloBy    = 2 * time.Second
	stuckBy    = 5 * time.Second
	idleBy     = time.Minute
	silentBy   = 3 * idleBy
	leastPause = 20 * time.Millisecond
	mostPause  = time.Second
)

// The errors of Send and Reach.
var (
	ErrFull    = errors.New("too much waits for this peer")
	ErrUnknown = errors.New("nobody knows where this peer is")
	ErrSize    = errors.New("the message is too large")
	ErrClosed  = errors.New("closed")
	ErrSilent  = errors.New("no answer in time")
)

// Channel tells the users of a stream apart.
type Channel uint8

// The channels. Hello, Echo and Echoed are the package's own.
const (
	hello Channel = iota
	echo
	echoed
	StateStore
	ChannelCount
)

// Message is what is sent.
type Message struct {
	To      string
	Channel Channel
	Body    []byte
	// Keep has it never give way to later messages; without, the oldest are dropped where too much waits.
	NoDrop bool
	// Lost is told once if it is known not to have been handed over whole; it may have arrived all the same if sent. It must
	// not wait. May be nil. A message of which nothing is told may be lost too, with the machine that it was under way to.
	OnLost func(sent bool)
}

func (m *Message) lost(sent bool) {
	if m.OnLost != nil {
		m.OnLost(sent)
	}
}

// Settings are who this gateway is, and where others are.
type Settings struct {
	Node       string
	Deployment string
	Start      uint64 // microseconds of Unix time
	Keys       []sealed.Key
	AddressOf  func(name string) (addr string, known bool)
	Buffers    *transport.Buffers // the memory that waiting messages are taken from
	Fds        *transport.Descriptors
}

// Counts are the counters since the start.
type Counts struct {
	Opened, Accepted, Failed, Rejected, Sent, SentBytes, Received, Dropped, Lost atomic.Int64
}

// Streams are all streams of one gateway.
type Streams struct {
	Counts Counts

	s        Settings
	keys     atomic.Pointer[[]sealed.Key]
	listener *transport.Listener
	accepted chan struct{}
	handlers [ChannelCount]atomic.Pointer[func(from string, body []byte)]
	hellos   chan struct{}
	quit     chan struct{}
	done     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	peers   map[string]*peer
	inbound map[*transport.Conn]struct{}
	echoes  map[uint64]chan struct{}
	echoNo  uint64
}

// Listen listens at an address, host and port.
func Listen(bind string, s Settings) (*Streams, error) {
	x := &Streams{
		s: s, accepted: make(chan struct{}), hellos: make(chan struct{}, mostHellos), quit: make(chan struct{}),
		peers: map[string]*peer{}, inbound: map[*transport.Conn]struct{}{}, echoes: map[uint64]chan struct{}{},
	}
	x.SetKeys(s.Keys)
	var err error
	if x.listener, err = transport.Listen(bind, s.Buffers, s.Fds); err != nil {
		return nil, err
	}
	x.listener.Calls = true
	x.Handle(echo, x.answerEcho)
	x.Handle(echoed, x.heardEcho)
	go func() {
		defer close(x.accepted)
		x.listener.Serve(x.serve)
	}()
	return x, nil
}

// Addr is where it listens.
func (x *Streams) Addr() string { return x.listener.Addr() }

// Rekey changes the keys; the first one signs. Streams that were signed with one that is gone end and are opened anew.
func (x *Streams) SetKeys(keys []sealed.Key) {
	keys = slices.Clone(keys)
	x.keys.Store(&keys)
}

// Handle has a channel's messages handed over, on the goroutine of the stream that they come on. The body is valid until the
// handler returns.
func (x *Streams) Handle(c Channel, handler func(from string, body []byte)) {
	x.handlers[c].Store(&handler)
}

// Send has a message sent, and does not wait. Where it returns an error nothing was sent, and Lost is not told.
func (x *Streams) Send(m Message) error {
	if len(m.Body) > MaxBody {
		return ErrSize
	}
	x.mu.Lock()
	if x.closed {
		x.mu.Unlock()
		return ErrClosed
	}
	p := x.peers[m.To]
	if p == nil {
		p = &peer{x: x, name: m.To, wake: make(chan struct{}, 1)}
		x.peers[m.To] = p
		x.done.Add(1)
		go p.run()
	}
	dropped, err := p.put(m)
	x.mu.Unlock()
	x.Counts.Dropped.Add(int64(len(dropped)))
	for i := range dropped {
		dropped[i].lost(false)
	}
	return err
}

// Reach sends a message to a peer and waits for its answer on the stream back. It returns how long both took.
func (x *Streams) Ping(name string, by time.Time) (time.Duration, error) {
	answer := make(chan struct{}, 1)
	x.mu.Lock()
	x.echoNo++
	number := x.echoNo
	x.echoes[number] = answer
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.echoes, number)
		x.mu.Unlock()
	}()
	begin := time.Now()
	lost := make(chan struct{}, 1)
	body := appendNumber(nil, number)
	if err := x.Send(Message{To: name, Channel: echo, Body: body, OnLost: func(bool) { lost <- struct{}{} }}); err != nil {
		return 0, err
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case <-answer:
		return time.Since(begin), nil
	case <-lost:
		return 0, errors.New("no stream can be opened to it, or it broke")
	case <-late.C:
		return 0, ErrSilent
	}
}

func (x *Streams) answerEcho(from string, body []byte) {
	x.Send(Message{To: from, Channel: echoed, Body: slices.Clone(body)}) // whoever asked sees that nothing comes
}

func (x *Streams) heardEcho(_ string, body []byte) {
	number, ok := readNumber(body)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if answer := x.echoes[number]; answer != nil {
		select {
		case answer <- struct{}{}:
		default:
		}
	}
}

// Close ends all streams. What waits is lost.
func (x *Streams) Close() {
	x.mu.Lock()
	if x.closed {
		x.mu.Unlock()
		return
	}
	x.closed = true
	close(x.quit)
	for _, p := range x.peers {
		p.abort()
	}
	for c := range x.inbound {
		c.Abort()
	}
	x.mu.Unlock()
	x.listener.Close()
	<-x.accepted
	x.done.Wait()
	x.listener.Wait()
}

// serve takes in one stream.
func (x *Streams) serve(c *transport.Conn, stays bool) {
	defer c.Close()
	x.mu.Lock()
	if x.closed || !stays {
		x.mu.Unlock()
		x.Counts.Rejected.Add(1)
		return
	}
	x.inbound[c] = struct{}{}
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.inbound, c)
		x.mu.Unlock()
	}()
	select {
	case x.hellos <- struct{}{}:
	default:
		x.Counts.Rejected.Add(1)
		return
	}
	in, err := x.greet(c)
	<-x.hellos
	if err != nil {
		x.Counts.Rejected.Add(1)
		return
	}
	x.Counts.Accepted.Add(1)
	for {
		channel, body, err := in.next(time.Now().Add(silentBy))
		if err != nil {
			if errors.Is(err, errFrame) {
				x.Counts.Rejected.Add(1)
			}
			return
		}
		x.Counts.Received.Add(1)
		if handler := x.handlers[channel].Load(); handler != nil {
			(*handler)(in.from, body)
		}
		in.release()
	}
}

// greet draws the number that binds a stream, and hears who speaks.
func (x *Streams) greet(c *transport.Conn) (*reader, error) {
	greeting := make([]byte, greetingSize)
	greeting[0] = version
	rand.Read(greeting[1:]) // it never fails
	by := time.Now().Add(helloBy)
	if _, err := c.Write(by, net.Buffers{greeting}); err != nil {
		return nil, err
	}
	in := &reader{x: x, c: c, purpose: purpose(x.s.Deployment, greeting)}
	channel, body, err := in.next(by)
	if err != nil {
		return nil, err
	}
	defer in.release()
	from, to, ok := readHello(body)
	if !ok || channel != hello || to != x.s.Node || from == x.s.Node {
		return nil, errFrame
	}
	in.from = from
	return in, nil
}

// open opens a stream to a peer.
func (x *Streams) open(name string) (*writer, error) {
	addr, known := x.s.AddressOf(name)
	if !known {
		return nil, ErrUnknown
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
	c, err := transport.Dial(ctx, addr, time.Now().Add(dialBy), x.s.Buffers, x.s.Fds, false)
	if err != nil {
		return nil, err
	}
	greeting := make([]byte, greetingSize)
	if err = c.ReadFull(greeting, time.Now().Add(helloBy)); err == nil && greeting[0] != version {
		err = errFrame
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return &writer{x: x, c: c, purpose: purpose(x.s.Deployment, greeting)}, nil
}
