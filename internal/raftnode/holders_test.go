package raftnode

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/raftstore"
	"marblespan/internal/streams"
	"marblespan/internal/transport"
)

// late is when a test gives up.
const late = 30 * time.Second

// fleet is a few adapters on loopback that know each other.
type fleet struct {
	mu     sync.Mutex
	routes map[string]string
}

func (f *fleet) start(t *testing.T, dir, name string) *Node {
	t.Helper()
	begin := time.Now()
	x, err := streams.Listen("127.0.0.1:0", streams.Settings{
		Node: name, Start: uint64(begin.UnixMicro()), Keys: []sealed.Key{{Number: 1, Secret: []byte("a secret of sixteen or more")}},
		Buffers: transport.NewBuffers(64 << 20), Fds: transport.NewDescriptors(256),
		Route: func(to string) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			at, known := f.routes[to]
			return at, known
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.routes[name] = x.Addr()
	f.mu.Unlock()
	h, err := Start(Settings{
		Node: name, Weight: 1, HostsReplicas: true, StoragePath: filepath.Join(dir, name), WitnessPath: filepath.Join(dir, name+".witness"), Tick: 50 * time.Millisecond,
		RepairAfter: 2 * time.Second, MaxRepairs: 8, RepairRate: 8 << 20, MaxBytes: 16 << 20, MinLogBytes: 8 << 10, Peers: func() []string { return []string{"a", "b", "c"} },
	}, Clock{
		Now: func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) + 1 },
		At:  func(m clock.Micros) time.Time { return begin.Add(time.Duration(m-1) * time.Microsecond) },
	}, x, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close(); x.Close() })
	return h
}

func raise(t *testing.T, h *Node, key string, to uint64) {
	t.Helper()
	answer := make(chan bool, 1)
	h.RaisePosition([]byte(key), to, time.Hour, time.Now().Add(late), func(ok bool) { answer <- ok })
	if !<-answer {
		t.Fatalf("%s was not promised", key)
	}
}

func read(t *testing.T, h *Node, key string) (uint64, bool) {
	t.Helper()
	type result struct {
		value uint64
		known bool
	}
	answer := make(chan result, 1)
	h.ReadPosition([]byte(key), time.Now().Add(late), func(value uint64, known bool) { answer <- result{value, known} })
	r := <-answer
	return r.value, r.known
}

// Three adapters found a store, promise, hand over, and one that comes back finds its disk; what is refused is told at once.
func TestHolders(t *testing.T) {
	f, dir := &fleet{routes: map[string]string{}}, t.TempDir()
	a, b, c := f.start(t, dir, "a"), f.start(t, dir, "b"), f.start(t, dir, "c")
	if a.Available([]byte("x")) {
		t.Error("able without a store")
	}
	if _, known := read(t, b, "x"); known {
		t.Error("known without a store")
	}
	if err := a.RemoveStore("b"); err == nil {
		t.Error("gone without a store")
	}
	if err := a.Bootstrap(4, 3, true); err != nil {
		t.Fatal(err)
	}
	if !a.AwaitFullyReplicated(late) || !c.AwaitFullyReplicated(late) {
		t.Fatalf("%+v", a.Overview())
	}
	if err := b.Bootstrap(4, 3, true); err == nil {
		t.Error("founded twice")
	}
	for i := range 300 {
		raise(t, []*Node{a, b, c}[i%3], fmt.Sprint("session ", i), uint64(i+1))
	}
	raise(t, a, "session 7", 3) // late: it does not fall
	for i := range 300 {
		if v, known := read(t, []*Node{c, a, b}[i%3], fmt.Sprint("session ", i)); !known || v != uint64(i+1) {
			t.Fatalf("session %d: %d %v", i, v, known)
		}
	}
	if v, known := read(t, b, "nobody's"); !known || v != 0 {
		t.Errorf("what never was: %d %v", v, known)
	}
	full := make(chan bool, 1)
	b.RaisePosition(bytes.Repeat([]byte("x"), raftstore.MostKey+1), 1, time.Hour, time.Now().Add(late), func(ok bool) { full <- ok })
	if <-full {
		t.Error("a key that is too long is promised")
	}
	if !b.Available([]byte("session 1")) {
		t.Error("not able, though all was promised")
	}
	a.TransferLeadership()
	for _, g := range a.Overview().Groups {
		if g.Here != nil && g.Here.Leader == "a" {
			t.Errorf("group %d is still led", g.Group)
		}
	}
	a.Close()
	a.streams.Close()
	raise(t, b, "while it is away", 5)
	f.mu.Lock()
	delete(f.routes, "a")
	f.mu.Unlock()
	again := f.start(t, dir, "a")
	if v, known := read(t, again, "while it is away"); !known || v != 5 {
		t.Errorf("%d %v", v, known)
	}
	for _, g := range again.Overview().Groups {
		if g.Here == nil {
			t.Errorf("group %d is not here any more", g.Group)
		}
	}
	if again.Counters.Notices[raftstore.Stale].Load()+again.Counters.Notices[raftstore.Renumbered].Load() > 0 {
		t.Error("its disk counts as lost")
	}
}

// What is too large for a stream's message comes in parts, and none but whole and in order.
func TestParts(t *testing.T) {
	h := &Node{partial: map[string][]*partial{}}
	part := func(id, at, of uint32, body string) []byte {
		b := []byte{packetPart}
		for _, n := range []uint32{id, at, of} {
			b = binary.BigEndian.AppendUint32(b, n)
		}
		return append(b, body...)
	}
	for i, c := range []struct {
		from string
		raw  []byte
		want string // empty: nothing yet
	}{
		{"a", append([]byte{wholePacket}, "whole"...), "whole"},
		{"a", part(1, 0, 3, "x"), ""}, {"b", part(1, 0, 2, "p"), ""}, {"a", part(2, 0, 2, "u"), ""}, {"a", part(1, 1, 3, "y"), ""},
		{"a", part(1, 2, 3, "z"), "xyz"}, {"b", part(1, 1, 2, "q"), "pq"}, {"a", part(2, 1, 2, "v"), "uv"}, {"a", part(2, 1, 2, "v"), ""},
		{"a", part(3, 0, 3, "x"), ""}, {"a", part(3, 2, 3, "z"), ""}, {"a", part(3, 1, 3, "y"), ""}, // out of order
		{"a", part(4, 0, mostParts+1, "x"), ""}, {"a", []byte{packetPart, 1}, ""}, {"a", nil, ""}, {"a", []byte{9, 9}, ""},
		{"a", part(5, 0, 2, "x"), ""}, {"a", part(6, 0, 2, "x"), ""}, {"a", part(7, 0, 2, "x"), ""}, {"a", part(8, 0, 2, "x"), ""},
		{"a", part(9, 0, 2, "x"), ""}, {"a", part(5, 1, 2, "y"), ""}, {"a", part(9, 1, 2, "y"), "xy"}, // the oldest gave way
	} {
		got, ok := h.join(c.from, c.raw)
		if ok != (c.want != "") || ok && !bytes.Equal(got, []byte(c.want)) {
			t.Errorf("%d: %q %v, want %q", i, got, ok, c.want)
		}
	}
}

// The layout of what travels is written out here: a whole packet behind a 0, parts behind a 1 with their packet's number, their place
// and how many there are.
func TestLayoutOfParts(t *testing.T) {
	routes := map[string]string{}
	listen := func(name string) *streams.Streams {
		x, err := streams.Listen("127.0.0.1:0", streams.Settings{
			Node: name, Start: 1, Keys: []sealed.Key{{Number: 1, Secret: []byte("a secret of sixteen or more")}}, Buffers: transport.NewBuffers(64 << 20),
			Fds: transport.NewDescriptors(256), Route: func(to string) (string, bool) { return routes[to], true },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		return x
	}
	a, b := listen("a"), listen("b")
	routes["b"] = b.Addr()
	travelled := make(chan string, 10)
	b.Handle(streams.Copies, func(_ string, body []byte) { travelled <- string(body) })
	sender, receiver := &Node{streams: a}, &Node{partial: map[string][]*partial{}}
	for _, c := range []struct {
		body  string
		heads []string
	}{
		{"whole", []string{"\x00"}},
		{strings.Repeat("x", 600_000), []string{
			"\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x03", "\x01\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x03", "\x01\x00\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00\x03"}},
	} {
		sender.sendWhole(raftstore.Send{To: "b", Body: []byte(c.body)}, func(int) bool { return true })
		for i, head := range c.heads {
			want := head + c.body[i<<18:min((i+1)<<18, len(c.body))]
			select {
			case got := <-travelled:
				if got != want {
					t.Fatalf("part %d of %d travelled as %.20q, want %.20q", i+1, len(c.heads), got, want)
				}
			case <-time.After(late):
				t.Fatalf("part %d of %d never came", i+1, len(c.heads))
			}
			whole, ok := receiver.join("a", []byte(want))
			if ok != (i == len(c.heads)-1) || ok && string(whole) != c.body {
				t.Errorf("part %d of %d is put together as %.20q, %v", i+1, len(c.heads), whole, ok)
			}
		}
	}
}
