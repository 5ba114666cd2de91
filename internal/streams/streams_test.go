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

// late is when a test gives up.
const late = 20 * time.Second

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(late); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", late, what)
		}
	}
}

// end is one gateway's streams, and what they brought: sender and body.
type end struct {
	*Streams
	got     chan string
	buffers *transport.Buffers
	routes  map[string]string
}

func newEnd(t *testing.T, name string, keys ...sealed.Key) *end {
	t.Helper()
	e := &end{got: make(chan string, 1000), buffers: transport.NewBuffers(16 << 20), routes: map[string]string{}}
	var err error
	e.Streams, err = Listen("127.0.0.1:0", Settings{
		Node: name, Start: 5, Keys: keys, Buffers: e.buffers, Descriptors: transport.NewDescriptors(256),
		AddressOf: func(name string) (string, bool) { to, known := e.routes[name]; return to, known },
	})
	if err != nil {
		t.Fatal(err)
	}
	e.Handle(StateStore, func(from string, body []byte) { e.got <- from + ":" + string(body) })
	t.Cleanup(e.Close)
	return e
}

func (e *end) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.got:
		if got != want {
			t.Fatalf("got %.60q, want %.60q", got, want)
		}
	case <-time.After(late):
		t.Fatalf("%.60q never came", want)
	}
}

// pair is two ends with a relay on the way from a to b.
func pair(t *testing.T) (a, b *end, way *fake.Relay) {
	a, b = newEnd(t, "a", first), newEnd(t, "b", first)
	way, err := fake.NewRelay("127.0.0.1:0", b.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(way.Close)
	a.routes["b"], b.routes["a"] = way.Addr(), a.Addr()
	return a, b, way
}

func TestStreams(t *testing.T) {
	a, b, way := pair(t)
	say := func(body string) {
		t.Helper()
		if err := a.Send(Message{To: "b", Channel: StateStore, Body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 100 {
		say(fmt.Sprint(i))
	}
	for i := range 100 {
		b.want(t, fmt.Sprint("a:", i))
	}
	large := string(bytes.Repeat([]byte("x"), MaxBody))
	say(large)
	b.want(t, "a:"+large)
	if took, err := a.Ping("b", time.Now().Add(late)); err != nil || took <= 0 {
		t.Fatal(took, err)
	}
	for _, c := range []struct {
		m    Message
		want error
	}{{Message{To: "b", Body: make([]byte, MaxBody+1)}, ErrTooLarge}} {
		if err := a.Send(c.m); !errors.Is(err, c.want) {
			t.Errorf("%v", err)
		}
	}
	told := make(chan bool, 1)
	a.Send(Message{To: "nobody", Channel: StateStore, OnLost: func(sent bool) { told <- sent }})
	if <-told {
		t.Error("sent to nobody")
	}
	// A reset ends the stream; the next message opens another one.
	way.Reset()
	until(t, "a stream after the reset", func() bool {
		a.Send(Message{To: "b", Channel: StateStore, Body: []byte("again")})
		select {
		case got := <-b.got:
			return got == "a:again"
		case <-time.After(50 * time.Millisecond):
			return false
		}
	})
	// Keys change in three steps and nothing stops.
	for _, x := range []*end{a, b} {
		x.SetKeys([]sealed.Key{first, second})
	}
	for _, x := range []*end{a, b} {
		x.SetKeys([]sealed.Key{second})
	}
	for len(b.got) > 0 {
		<-b.got
	}
	say("with the second key")
	b.want(t, "a:with the second key")
	until(t, "all memory is given back", func() bool { return a.buffers.Held()+b.buffers.Held() == 0 })
}

// A stream that stands still fills its queue: the oldest that may give way do, the others are refused, and all that is not
// sent is told, also at the end.
func TestStall(t *testing.T) {
	a, b, way := pair(t)
	a.Send(Message{To: "b", Channel: StateStore, Body: []byte("first")})
	b.want(t, "a:first")
	way.Set(fake.Fate{Stall: true}, fake.Fate{})
	if _, err := a.Ping("b", time.Now().Add(50*time.Millisecond)); !errors.Is(err, ErrTimeout) {
		t.Errorf("%v", err)
	}
	var lost, kept atomic.Int64
	body := make([]byte, 512<<10)
	sent := 0
	for a.Counts.Dropped.Load() < 3 { // until the kernels' and the relay's buffers are full, and the queue
		if err := a.Send(Message{To: "b", Channel: StateStore, Body: body, OnLost: func(bool) { lost.Add(1) }}); err != nil {
			t.Fatal(err)
		}
		if sent++; sent > 1000 {
			t.Fatal("nothing gives way")
		}
	}
	var err error
	for n := 0; err == nil; n++ {
		if err = a.Send(Message{To: "b", Channel: StateStore, Body: body, NoDrop: true, OnLost: func(bool) { kept.Add(1) }}); n > 20 {
			t.Fatal("a full queue takes all")
		}
	}
	if !errors.Is(err, ErrQueueFull) || kept.Load() != 0 {
		t.Errorf("%v, %d that may not give way did", err, kept.Load())
	}
	if held := a.buffers.Held(); held > MaxQueued {
		t.Errorf("%d bytes wait", held)
	}
	begin := time.Now()
	a.Close()
	if took := time.Since(begin); took > writeTimeout/2 {
		t.Errorf("the end took %v", took)
	}
	if lost.Load() < 3 || kept.Load() < MaxQueued/int64(len(body))-1 {
		t.Errorf("%d and %d told", lost.Load(), kept.Load())
	}
	if err := a.Send(Message{To: "b"}); !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
	if a.buffers.Held() != 0 {
		t.Errorf("%d bytes are still held", a.buffers.Held())
	}
}

// An end that comes while streams are busy does not wait for them: a deadline that is set after an abort must not undo it.
func TestClose(t *testing.T) {
	for range 200 {
		a, b, _ := pair(t)
		for range 20 {
			a.Send(Message{To: "b", Channel: StateStore, Body: []byte("x")})
			b.Send(Message{To: "a", Channel: StateStore, Body: []byte("x")})
		}
		<-b.got
		begin := time.Now()
		b.Close()
		a.Close()
		if took := time.Since(begin); took > writeTimeout {
			t.Fatalf("the end took %v", took)
		}
	}
}

// Nothing is taken from whoever has no key, is not meant, says something again, or says nothing.
func TestStrangers(t *testing.T) {
	b := newEnd(t, "b", first)
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
		name   string
		key    sealed.Key
		to     string
		change func([]byte) []byte
		taken  bool
	}{
		{"sound", first, "b", func(b []byte) []byte { recorded = bytes.Clone(b); return b }, true},
		{"recorded", first, "b", func([]byte) []byte { return recorded }, false},
		{"another key", second, "b", same, false},
		{"another secret", sealed.Key{Number: 1, Secret: second.Secret}, "b", same, false},
		{"meant for another", first, "c", same, false},
		{"a frame left out", first, "b", func(b []byte) []byte { return b[4+1+3+sealed.Size:] }, false},
		{"a frame twice", first, "b", func(b []byte) []byte { n := 4 + 1 + 3 + sealed.Size; return append(bytes.Clone(b[:n]), b...) }, false},
		{"a bit", first, "b", func(b []byte) []byte { b[len(b)-70] ^= 1; return b }, false},
		{"too long", first, "b", func(b []byte) []byte { b[0] = 0xff; return b }, false},
		{"too short", first, "b", func(b []byte) []byte { return []byte{0, 0, 0, 3, 1, 2, 3} }, false},
		{"nothing", first, "b", func([]byte) []byte { return nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := transport.Dial(context.Background(), b.Addr(), time.Now().Add(late), b.buffers, transport.NewDescriptors(256), false)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			greeting := make([]byte, greetingSize)
			if err := conn.ReadFull(greeting, time.Now().Add(late)); err != nil {
				t.Fatal(err)
			}
			refused := b.Counts.Rejected.Load()
			conn.Write(time.Now().Add(late), net.Buffers{frames(c.key, c.to, greeting, c.change)})
			if c.taken {
				b.want(t, "a:taken")
				return
			}
			until(t, "it is refused", func() bool { return b.Counts.Rejected.Load() > refused })
			if len(b.got) > 0 {
				t.Errorf("taken: %s", <-b.got)
			}
		})
	}
	if b.buffers.Held() != 0 {
		t.Errorf("%d bytes are held", b.buffers.Held())
	}
}
