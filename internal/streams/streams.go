// Package streams carries messages that are too large for a datagram from gateway to gateway. Between two gateways there is one
// TCP stream in each direction. The gateway that sends on a stream opens it. Frames are signed with the same keys as datagrams.
// The signature includes a random number that the listener has chosen for the stream, so that an attacker cannot replay a
// recorded stream. The package does not interpret the messages of other packages.
//
// internal/gossip creates the Streams of a gateway; internal/raftnode uses Send and Handle. All methods are safe for concurrent
// use.
//
// One goroutine accepts connections, from Listen until Close. A goroutine for each inbound stream (serve) runs until the stream
// ends or Close aborts the stream. A goroutine for each peer (peer.run) sends the queued messages; it runs from the first
// message until no message has been queued for idleTimeout, or until Close. Close waits for all of these goroutines.
package streams

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/protocol/sealed"
	"marblespan/internal/transport"
)

// MaxBody is the maximum size of a message's body, in bytes.
const MaxBody = 1 << 20

// MaxQueued is the maximum number of bytes that are queued for one peer.
const MaxQueued = 4 << 20

// MaxNameLength is the maximum length of a gateway's name, in bytes.
const MaxNameLength = 40

// maxBatchBytes is the maximum number of bytes of queued messages that are written together. Larger buffers are not kept for
// reuse.
const maxBatchBytes = 256 << 10

// maxHandshakes is the maximum number of inbound connections that may be in their handshake at the same time; further
// connections are closed. It bounds the resources that unauthenticated connections can use.
const maxHandshakes = 16

// The timeouts. A stream without messages is closed by its sender after idleTimeout, and by its receiver after readTimeout. If
// a batch cannot be written within writeTimeout, the sender closes the stream, and the next message opens a new one. The backoff
// between two attempts to open a stream doubles from minBackoff to maxBackoff.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 5 * time.Second
	idleTimeout      = time.Minute
	readTimeout      = 3 * idleTimeout
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
)

// Errors returned by Send and Ping.
var (
	ErrQueueFull   = errors.New("streams: the queue of the peer is full")
	ErrUnknownPeer = errors.New("streams: the address of the peer is not known")
	ErrTooLarge    = errors.New("streams: the message is larger than 1 MiB")
	ErrClosed      = errors.New("streams: closed")
	ErrTimeout     = errors.New("streams: no answer in time")
	ErrUnreachable = errors.New("streams: no stream can be opened to the peer, or it broke")
)

// Channel identifies the kind of a message, and thereby its handler. It is one byte on the wire.
type Channel uint8

// The channels. hello, ping and pong are used only by this package. ChannelCount is the number of channels.
const (
	hello Channel = iota
	ping
	pong
	StateStore
	ChannelCount
)

// Message is one message to send.
type Message struct {
	To      string
	Channel Channel
	Body    []byte
	// NoDrop keeps the message when the queue is full. To make room for a new message, a full queue drops its oldest messages
	// without NoDrop.
	NoDrop bool
	// OnLost is called once if the message may not have been passed to the kernel completely. handedOver is true if at least a
	// part of the message may have been passed; the message may then have arrived. OnLost must not block, and may be nil. A
	// message may also be lost without a call of OnLost, for example if the receiving machine fails.
	OnLost func(handedOver bool)
}

func (m *Message) notifyLost(handedOver bool) {
	if m.OnLost != nil {
		m.OnLost(handedOver)
	}
}

// Settings configures the streams of one gateway. AddressOf is called on the goroutines of the peers.
type Settings struct {
	Node        string
	Deployment  string
	Start       uint64       // time at which the gateway started, in microseconds of Unix time
	Keys        []sealed.Key // the first key signs; all keys are accepted
	AddressOf   func(name string) (addr string, known bool)
	Buffers     *transport.Buffers // memory budget for queued and received messages
	Descriptors *transport.Descriptors
}

// Counts has the counters since the start.
type Counts struct {
	Opened, Accepted, DialsFailed, Rejected, Sent, SentBytes, Received, Dropped, Lost atomic.Int64
}

// Streams manages all streams of one gateway.
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

// Listen listens on an address (host:port) and starts the goroutine that accepts connections, which ends in Close.
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
	x.listener.FromGateways = true
	x.Handle(ping, x.answerPing)
	x.Handle(pong, x.handlePong)
	go func() {
		defer close(x.acceptDone)
		x.listener.Serve(x.serve)
	}()
	return x, nil
}

// Addr returns the address that the streams listen on.
func (x *Streams) Addr() string { return x.listener.Addr() }

// SetKeys replaces the keys; the first key signs. If a peer still signs with a key that was removed, its stream is closed, and the
// peer opens a new one for its next message.
func (x *Streams) SetKeys(keys []sealed.Key) {
	keys = slices.Clone(keys)
	x.keys.Store(&keys)
}

// Handle sets the handler of a channel's messages. The handler is called on the goroutine of the stream on which the message was
// received; the body is valid until the handler returns.
func (x *Streams) Handle(c Channel, handler func(from string, body []byte)) {
	x.handlers[c].Store(&handler)
}

// Send queues a message without waiting for it to be sent. If it returns an error, the message was not queued, and its OnLost is
// not called.
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
		x.peersDone.Go(p.run)
	}
	dropped, err := p.enqueue(m)
	x.mu.Unlock()
	x.Counts.Dropped.Add(int64(len(dropped)))
	for i := range dropped {
		dropped[i].notifyLost(false)
	}
	return err
}

// Close ends all streams and waits for the goroutines. Messages that are still queued are lost.
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
