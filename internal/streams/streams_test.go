package streams

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/transport"
)

var (
	first  = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}
	second = sealed.Key{Number: 2, Secret: []byte("another secret, also long enough")}
)

// testTimeout is how long a test waits before it fails.
const testTimeout = 20 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// testNode is the Streams of one gateway, and records the messages that it received, as sender:body.
type testNode struct {
	*Streams
	received chan string
	buffers  *transport.Buffers
	routes   map[string]string
}

func newTestNode(t *testing.T, name string, keys ...sealed.Key) *testNode {
	t.Helper()
	e := &testNode{received: make(chan string, 1000), buffers: transport.NewBuffers(16 << 20), routes: map[string]string{}}
	var err error
	e.Streams, err = Listen("127.0.0.1:0", Settings{
		Node: name, Start: 5, Keys: keys, Buffers: e.buffers, Descriptors: transport.NewDescriptors(256),
		AddressOf: func(name string) (string, bool) { to, known := e.routes[name]; return to, known },
	})
	if err != nil {
		t.Fatal(err)
	}
	e.Handle(StateStore, func(from string, body []byte) { e.received <- from + ":" + string(body) })
	t.Cleanup(e.Close)
	return e
}

func (e *testNode) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.received:
		if got != want {
			t.Fatalf("got %.60q, want %.60q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("%.60q did not arrive", want)
	}
}

// pair starts two gateways, with a relay on the path from a to b.
func pair(t *testing.T) (a, b *testNode, relay *fake.Relay) {
	t.Helper()
	a, b = newTestNode(t, "a", first), newTestNode(t, "b", first)
	relay, err := fake.NewRelay("127.0.0.1:0", b.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	a.routes["b"], b.routes["a"] = relay.Addr(), a.Addr()
	return a, b, relay
}

func TestSendAndReconnect(t *testing.T) {
	a, b, relay := pair(t)
	send := func(body string) {
		t.Helper()
		if err := a.Send(Message{To: "b", Channel: StateStore, Body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 100 {
		send(fmt.Sprint(i))
	}
	for i := range 100 {
		b.want(t, fmt.Sprint("a:", i))
	}
	large := string(bytes.Repeat([]byte("x"), MaxBody))
	send(large)
	b.want(t, "a:"+large)
	if took, err := a.Ping("b", time.Now().Add(testTimeout)); err != nil || took <= 0 {
		t.Fatal(took, err)
	}
	if err := a.Send(Message{To: "b", Body: make([]byte, MaxBody+1)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want %v", err, ErrTooLarge)
	}
	lost := make(chan bool, 1)
	a.Send(Message{To: "nobody", Channel: StateStore, OnLost: func(sent bool) { lost <- sent }})
	if <-lost {
		t.Error("a message to an unknown peer was sent")
	}
	// A reset ends the stream; the next message opens a new one.
	relay.ResetStreams()
	eventually(t, "a new stream is opened after the reset", func() bool {
		a.Send(Message{To: "b", Channel: StateStore, Body: []byte("again")})
		select {
		case got := <-b.received:
			return got == "a:again"
		case <-time.After(50 * time.Millisecond):
			return false
		}
	})
	// The keys are rotated step by step, and messages still arrive.
	for _, x := range []*testNode{a, b} {
		x.SetKeys([]sealed.Key{first, second})
	}
	for _, x := range []*testNode{a, b} {
		x.SetKeys([]sealed.Key{second})
	}
	for len(b.received) > 0 {
		<-b.received
	}
	send("with the second key")
	b.want(t, "a:with the second key")
	eventually(t, "all memory is released", func() bool { return a.buffers.Reserved()+b.buffers.Reserved() == 0 })
}

// The queue of a stalled stream fills up. Then the oldest messages without NoDrop are dropped, and messages with NoDrop are
// rejected once the queue has no other messages. OnLost is called for each message that was not sent, including those that are
// still queued at Close.
func TestStalledStream(t *testing.T) {
	a, b, relay := pair(t)
	a.Send(Message{To: "b", Channel: StateStore, Body: []byte("first")})
	b.want(t, "a:first")
	relay.Set(fake.Impairment{StallStreams: true}, fake.Impairment{})
	if _, err := a.Ping("b", time.Now().Add(50*time.Millisecond)); !errors.Is(err, ErrTimeout) {
		t.Errorf("got %v, want %v", err, ErrTimeout)
	}
	var lost, kept atomic.Int64
	body := make([]byte, 512<<10)
	sent := 0
	for a.Counts.Dropped.Load() < 3 { // until the buffers of the kernel and of the relay, and the queue, are full
		if err := a.Send(Message{To: "b", Channel: StateStore, Body: body, OnLost: func(bool) { lost.Add(1) }}); err != nil {
			t.Fatal(err)
		}
		if sent++; sent > 1000 {
			t.Fatal("no message is dropped")
		}
	}
	var err error
	for n := 0; err == nil; n++ {
		if err = a.Send(Message{To: "b", Channel: StateStore, Body: body, NoDrop: true, OnLost: func(bool) { kept.Add(1) }}); n > 20 {
			t.Fatal("a full queue accepts further messages")
		}
	}
	if !errors.Is(err, ErrQueueFull) || kept.Load() != 0 {
		t.Errorf("%v, and %d messages with NoDrop were dropped", err, kept.Load())
	}
	if held := a.buffers.Reserved(); held > MaxQueued {
		t.Errorf("%d bytes are reserved, more than MaxQueued", held)
	}
	begin := time.Now()
	a.Close()
	if took := time.Since(begin); took > writeTimeout/2 {
		t.Errorf("Close took %v", took)
	}
	if lost.Load() < 3 || kept.Load() < MaxQueued/int64(len(body))-1 {
		t.Errorf("OnLost was called for %d messages without and %d with NoDrop", lost.Load(), kept.Load())
	}
	if err := a.Send(Message{To: "b"}); !errors.Is(err, ErrClosed) {
		t.Errorf("got %v, want %v", err, ErrClosed)
	}
	if a.buffers.Reserved() != 0 {
		t.Errorf("%d bytes are still reserved", a.buffers.Reserved())
	}
}

// Close does not wait for busy streams. Close would hang if a deadline that is set after an abort could undo the abort.
func TestCloseWhileBusy(t *testing.T) {
	for range 200 {
		a, b, _ := pair(t)
		for range 20 {
			a.Send(Message{To: "b", Channel: StateStore, Body: []byte("x")})
			b.Send(Message{To: "a", Channel: StateStore, Body: []byte("x")})
		}
		<-b.received
		begin := time.Now()
		b.Close()
		a.Close()
		if took := time.Since(begin); took > writeTimeout {
			t.Fatalf("both Close calls took %v", took)
		}
	}
}

// Nothing is accepted from a sender that has no valid key, addresses another gateway, replays or omits a frame, or sends nothing.
func TestForgedStreams(t *testing.T) {
	b := newTestNode(t, "b", first)
	frames := func(key sealed.Key, to string, greeting []byte, change func([]byte) []byte) []byte {
		w := &writer{streams: &Streams{}, purpose: purpose("", greeting)}
		w.streams.SetKeys([]sealed.Key{key})
		w.appendFrame(hello, appendHello(nil, "a", to))
		w.appendFrame(StateStore, []byte("taken"))
		return change(w.buffer)
	}
	same := func(b []byte) []byte { return b }
	var recorded []byte
	for _, c := range []struct {
		name     string
		key      sealed.Key
		to       string
		change   func([]byte) []byte
		accepted bool
	}{
		{"valid", first, "b", func(b []byte) []byte { recorded = bytes.Clone(b); return b }, true},
		{"a recorded stream", first, "b", func([]byte) []byte { return recorded }, false},
		{"another key", second, "b", same, false},
		{"another secret", sealed.Key{Number: 1, Secret: second.Secret}, "b", same, false},
		{"addressed to another gateway", first, "c", same, false},
		{"a missing frame", first, "b", func(b []byte) []byte { return b[4+1+3+sealed.Size:] }, false},
		{"a repeated frame", first, "b", func(b []byte) []byte { n := 4 + 1 + 3 + sealed.Size; return append(bytes.Clone(b[:n]), b...) }, false},
		{"a flipped bit", first, "b", func(b []byte) []byte { b[len(b)-70] ^= 1; return b }, false},
		{"too long", first, "b", func(b []byte) []byte { b[0] = 0xff; return b }, false},
		{"too short", first, "b", func(b []byte) []byte { return []byte{0, 0, 0, 3, 1, 2, 3} }, false},
		{"no frame", first, "b", func([]byte) []byte { return nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := transport.Dial(context.Background(), b.Addr(), time.Now().Add(testTimeout), b.buffers, transport.NewDescriptors(256), false)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			greeting := make([]byte, greetingSize)
			if err := conn.ReadFull(greeting, time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			rejected := b.Counts.Rejected.Load()
			conn.Write(time.Now().Add(testTimeout), net.Buffers{frames(c.key, c.to, greeting, c.change)})
			if c.accepted {
				b.want(t, "a:taken")
				return
			}
			eventually(t, "the stream is rejected", func() bool { return b.Counts.Rejected.Load() > rejected })
			if len(b.received) > 0 {
				t.Errorf("accepted: %s", <-b.received)
			}
		})
	}
	if b.buffers.Reserved() != 0 {
		t.Errorf("%d bytes are still reserved at the end", b.buffers.Reserved())
	}
}
