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
const maxBatchBytes = 256 << 10

// mostHellos is how many connections may be about to say who they are; further ones are closed. Strangers cost no more.
const maxHandshakes = 16

// The times. A stream that has nothing to carry is closed after idleBy; one that does not take a message within stuckBy is
// given up, and the next message opens another. The pause between two attempts grows from the least to the most.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 5 * time.Second
	idleTimeout      = time.Minute
	readTimeout      = 3 * idleTimeout
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
)

// The errors of Send and Reach.
var (
	ErrQueueFull   = errors.New("too much waits for this peer")
	ErrUnknownPeer = errors.New("nobody knows where this peer is")
	ErrTooLarge    = errors.New("the message is too large")
	ErrClosed      = errors.New("closed")
	ErrTimeout     = errors.New("no answer in time")
)

// Channel tells the users of a stream apart.
type Channel uint8

// The channels. Hello, Echo and Echoed are the package's own.
const (
	hello Channel = iota
	ping
	pong
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

func (m *Message) notifyLost(handedOver bool) {
	if m.OnLost != nil {
		m.OnLost(handedOver)
	}
}

// Settings are who this gateway is, and where others are.
type Settings struct {
	Node        string
	Deployment  string
	Start       uint64 // microseconds of Unix time
	Keys        []sealed.Key
	AddressOf   func(name string) (addr string, known bool)
	Buffers     *transport.Buffers // the memory that waiting messages are taken from
	Descriptors *transport.Descriptors
}

// Counts are the counters since the start.
type Counts struct {
	Opened, Accepted, DialsFailed, Rejected, Sent, SentBytes, Received, Dropped, Lost atomic.Int64
}

// Streams are all streams of one gateway.
type Streams struct {
	Counts Counts

	settings   Settings
	keys       atomic.Pointer[[]sealed.Key]
	listener   *transport.Listener
	acceptDone chan struct{}
	handlers   [ChannelCount]atomic.Pointer[func(from string, body []byte)]
	handshakes chan struct{}
	quit       chan struct{}
	peersDone  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	peers    map[string]*peer
	inbound  map[*transport.Conn]struct{}
	pings    map[uint64]chan struct{}
	lastPing uint64
}

// Listen listens at an address, host and port.
func Listen(bind string, s Settings) (*Streams, error) {
	x := &Streams{
		settings: s, acceptDone: make(chan struct{}), handshakes: make(chan struct{}, maxHandshakes), quit: make(chan struct{}),
		peers: map[string]*peer{}, inbound: map[*transport.Conn]struct{}{}, pings: map[uint64]chan struct{}{},
	}
	x.SetKeys(s.Keys)
	var err error
	if x.listener, err = transport.Listen(bind, s.Buffers, s.Descriptors); err != nil {
		return nil, err
	}
	x.listener.Calls = true
	x.Handle(ping, x.answerPing)
	x.Handle(pong, x.handlePong)
	go func() {
		defer close(x.acceptDone)
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
		return ErrTooLarge
	}
	x.mu.Lock()
	if x.closed {
		x.mu.Unlock()
		return ErrClosed
	}
	p := x.peers[m.To]
	if p == nil {
		p = &peer{streams: x, name: m.To, wake: make(chan struct{}, 1)}
		x.peers[m.To] = p
		x.peersDone.Add(1)
		go p.run()
	}
	dropped, err := p.enqueue(m)
	x.mu.Unlock()
	x.Counts.Dropped.Add(int64(len(dropped)))
	for i := range dropped {
		dropped[i].notifyLost(false)
	}
	return err
}

// Reach sends a message to a peer and waits for its answer on the stream back. It returns how long both took.
func (x *Streams) Ping(name string, by time.Time) (time.Duration, error) {
	answer := make(chan struct{}, 1)
	x.mu.Lock()
	x.lastPing++
	number := x.lastPing
	x.pings[number] = answer
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pings, number)
		x.mu.Unlock()
	}()
	begin := time.Now()
	lost := make(chan struct{}, 1)
	body := appendPingNumber(nil, number)
	if err := x.Send(Message{To: name, Channel: ping, Body: body, OnLost: func(bool) { lost <- struct{}{} }}); err != nil {
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
		return 0, ErrTimeout
	}
}

func (x *Streams) answerPing(from string, body []byte) {
	x.Send(Message{To: from, Channel: pong, Body: slices.Clone(body)}) // whoever asked sees that nothing comes
}

func (x *Streams) handlePong(_ string, body []byte) {
	number, ok := readPingNumber(body)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if answer := x.pings[number]; answer != nil {
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
	<-x.acceptDone
	x.peersDone.Wait()
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
	case x.handshakes <- struct{}{}:
	default:
		x.Counts.Rejected.Add(1)
		return
	}
	in, err := x.acceptHandshake(c)
	<-x.handshakes
	if err != nil {
		x.Counts.Rejected.Add(1)
		return
	}
	x.Counts.Accepted.Add(1)
	for {
		channel, body, err := in.next(time.Now().Add(readTimeout))
		if err != nil {
			if errors.Is(err, errInvalidFrame) {
				x.Counts.Rejected.Add(1)
			}
			return
		}
		x.Counts.Received.Add(1)
		if handler := x.handlers[channel].Load(); handler != nil {
			(*handler)(in.peerName, body)
		}
		in.release()
	}
}

// greet draws the number that binds a stream, and hears who speaks.
func (x *Streams) acceptHandshake(c *transport.Conn) (*reader, error) {
	greeting := make([]byte, greetingSize)
	greeting[0] = version
	rand.Read(greeting[1:]) // it never fails
	by := time.Now().Add(handshakeTimeout)
	if _, err := c.Write(by, net.Buffers{greeting}); err != nil {
		return nil, err
	}
	in := &reader{streams: x, conn: c, purpose: purpose(x.settings.Deployment, greeting)}
	channel, body, err := in.next(by)
	if err != nil {
		return nil, err
	}
	defer in.release()
	from, to, ok := readHello(body)
	if !ok || channel != hello || to != x.settings.Node || from == x.settings.Node {
		return nil, errInvalidFrame
	}
	in.peerName = from
	return in, nil
}

// open opens a stream to a peer.
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
	c, err := transport.Dial(ctx, addr, time.Now().Add(dialTimeout), x.settings.Buffers, x.settings.Descriptors, false)
	if err != nil {
		return nil, err
	}
	greeting := make([]byte, greetingSize)
	if err = c.ReadFull(greeting, time.Now().Add(handshakeTimeout)); err == nil && greeting[0] != version {
		err = errInvalidFrame
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return &writer{streams: x, conn: c, purpose: purpose(x.settings.Deployment, greeting)}, nil
}
