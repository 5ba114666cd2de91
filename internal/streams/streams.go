// Package streams carries messages between gateways that are too large for a datagram: one TCP stream in each direction
// between two gateways, opened by whoever has something to send. Frames are signed with the keys of the datagrams and bound to
// a random number of the listener, so that a recorded stream is of no use. The package knows no message and decides nothing.
//
// internal/gossip makes the Streams of a gateway; internal/raftnode sends and receives by Send and Handle. All methods may be
// called from any goroutine.
//
// Goroutines: one accepts connections, from Listen until Close; one serves each inbound stream (serve), until the stream ends
// or Close aborts it; one sends to each peer (peer.run), from the first message until there was none for idleTimeout, or
// Close. Close waits for all of them.
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

// MaxBody is the size of the largest message, in bytes.
const MaxBody = 1 << 20

// MaxQueued is how many bytes may be queued for one peer.
const MaxQueued = 4 << 20

// MaxNameLength is the length of the longest name of a gateway, in bytes.
const MaxNameLength = 40

// maxBatchBytes is how many bytes of queued messages are written together. Larger buffers are not kept.
const maxBatchBytes = 256 << 10

// maxHandshakes is how many inbound connections may be in their handshake; further ones are closed. It bounds what strangers
// cost.
const maxHandshakes = 16

// The timeouts. A stream without messages is closed by its sender after idleTimeout, and by its receiver after readTimeout; one
// that does not take a batch within writeTimeout is given up, and the next message opens another. The backoff between two
// attempts doubles from minBackoff to maxBackoff.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 5 * time.Second
	idleTimeout      = time.Minute
	readTimeout      = 3 * idleTimeout
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
)

// The errors of Send and Ping.
var (
	ErrQueueFull   = errors.New("streams: the queue of the peer is full")
	ErrUnknownPeer = errors.New("streams: the address of the peer is not known")
	ErrTooLarge    = errors.New("streams: the message is larger than 1 MiB")
	ErrClosed      = errors.New("streams: closed")
	ErrTimeout     = errors.New("streams: no answer in time")
	ErrUnreachable = errors.New("streams: no stream can be opened to the peer, or it broke")
)

// Channel tells the kinds of messages on a stream apart. It is one byte on the wire.
type Channel uint8

// The channels. hello, ping and pong are the package's own. ChannelCount is how many there are.
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
	// NoDrop keeps the message in a full queue; without it, the oldest messages give way to later ones.
	NoDrop bool
	// OnLost is called once if the message is known not to have been handed to the kernel completely. With handedOver it was
	// in part, and may have arrived all the same. It must not wait, and may be nil. A message for which it is not called may
	// be lost too, with the machine that it was under way to.
	OnLost func(handedOver bool)
}

func (m *Message) notifyLost(handedOver bool) {
	if m.OnLost != nil {
		m.OnLost(handedOver)
	}
}

// Settings are those of one gateway. AddressOf is called on the goroutines that send.
type Settings struct {
	Node        string
	Deployment  string
	Start       uint64       // when the gateway started, microseconds of Unix time
	Keys        []sealed.Key // the first one signs, all are accepted
	AddressOf   func(name string) (addr string, known bool)
	Buffers     *transport.Buffers // the memory that queued and received messages are taken from
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

// Listen listens at an address, host and port, and starts the goroutine that accepts connections. It ends in Close.
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

// Addr is where it listens.
func (x *Streams) Addr() string { return x.listener.Addr() }

// SetKeys changes the keys; the first one signs. Streams signed with a key that was removed end, and are opened again.
func (x *Streams) SetKeys(keys []sealed.Key) {
	keys = slices.Clone(keys)
	x.keys.Store(&keys)
}

// Handle sets the handler of a channel's messages. It is called on the goroutine of the stream that they come on; the body is
// valid until it returns.
func (x *Streams) Handle(c Channel, handler func(from string, body []byte)) {
	x.handlers[c].Store(&handler)
}

// Send queues a message, and does not wait. Where it returns an error nothing was queued, and OnLost is not called.
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

// Close ends all streams and waits for their goroutines. Queued messages are lost.
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
