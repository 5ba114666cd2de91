package raftnode

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
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

// testTimeout is how long a test waits before it fails.
const testTimeout = 30 * time.Second

// listen starts streams on the loopback interface. route returns the address of a peer.
func listen(t *testing.T, name string, start time.Time, route func(to string) (string, bool)) *streams.Streams {
	t.Helper()
	x, err := streams.Listen("127.0.0.1:0", streams.Settings{
		Node: name, Start: uint64(start.UnixMicro()), Keys: []sealed.Key{{Number: 1, Secret: []byte("a secret of sixteen or more")}},
		Buffers: transport.NewBuffers(64 << 20), Descriptors: transport.NewDescriptors(256), AddressOf: route,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	return x
}

// testCluster is a set of nodes on the loopback interface, with their files in one directory.
type testCluster struct {
	dir    string
	mu     sync.Mutex
	routes map[string]string
}

func (c *testCluster) route(to string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr, known := c.routes[to]
	return addr, known
}

func (c *testCluster) setRoute(name, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[name] = addr
}

func (c *testCluster) removeRoute(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.routes, name)
}

func (c *testCluster) start(t *testing.T, name string) *Node {
	t.Helper()
	begin := time.Now()
	x := listen(t, name, begin, c.route)
	c.setRoute(name, x.Addr())
	n, err := Start(Settings{
		Node: name, Weight: 1, RunsGroups: true, StoragePath: filepath.Join(c.dir, name), WitnessPath: filepath.Join(c.dir, name+".witness"),
		Tick: 50 * time.Millisecond, RepairAfter: 2 * time.Second, MaxRepairs: 8, RepairRate: 8 << 20, MaxShardBytes: 16 << 20, MinLogBytes: 8 << 10,
		Peers: func() []string { return []string{"a", "b", "c"} },
	}, Clock{
		Now: func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) + 1 },
		At:  func(m clock.Micros) time.Time { return begin.Add(time.Duration(m-1) * time.Microsecond) },
	}, x, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// tryRaise raises a position and reports whether it was stored.
func tryRaise(n *Node, key []byte, position uint64) bool {
	stored := make(chan bool, 1)
	n.RaisePosition(key, position, time.Hour, time.Now().Add(testTimeout), func(ok bool) { stored <- ok })
	return <-stored
}

func raise(t *testing.T, n *Node, key string, position uint64) {
	t.Helper()
	if !tryRaise(n, []byte(key), position) {
		t.Fatalf("%s was not stored", key)
	}
}

func read(n *Node, key string) (uint64, bool) {
	type result struct {
		position uint64
		known    bool
	}
	answer := make(chan result, 1)
	n.ReadPosition([]byte(key), time.Now().Add(testTimeout), func(position uint64, known bool) { answer <- result{position, known} })
	r := <-answer
	return r.position, r.known
}

func wantPosition(t *testing.T, n *Node, key string, want uint64) {
	t.Helper()
	if got, known := read(n, key); !known || got != want {
		t.Fatalf("%s at %s: %d, known %v, want %d", key, n.Name(), got, known, want)
	}
}

// Three nodes bootstrap a store, store positions and transfer leadership. A node that restarts continues with the content of its disk.
func TestNode(t *testing.T) {
	cluster := &testCluster{dir: t.TempDir(), routes: map[string]string{}}
	a, b, c := cluster.start(t, "a"), cluster.start(t, "b"), cluster.start(t, "c")
	nodes := []*Node{a, b, c}
	if a.Available([]byte("x")) {
		t.Error("available without a store")
	}
	if _, known := read(b, "x"); known {
		t.Error("known without a store")
	}
	if err := a.RemoveStore("b"); !errors.Is(err, ErrNoStore) {
		t.Errorf("removed a gateway without a store: %v, want %v", err, ErrNoStore)
	}
	if err := a.Bootstrap(4, 3, true); err != nil {
		t.Fatal(err)
	}
	if !a.AwaitComplete(testTimeout) || !c.AwaitComplete(testTimeout) {
		t.Fatalf("not complete: %+v", a.Overview())
	}
	if err := b.Bootstrap(4, 3, true); !errors.Is(err, ErrStoreExists) {
		t.Errorf("bootstrapped twice: %v, want %v", err, ErrStoreExists)
	}
	for i := range 300 {
		raise(t, nodes[i%3], fmt.Sprint("session ", i), uint64(i+1))
	}
	raise(t, a, "session 7", 3) // a late, lower position does not replace the stored one
	for i := range 300 {
		wantPosition(t, nodes[(i+2)%3], fmt.Sprint("session ", i), uint64(i+1))
	}
	wantPosition(t, b, "never stored", 0)
	if tryRaise(b, bytes.Repeat([]byte("x"), raftstore.MaxKeyBytes+1), 1) {
		t.Error("a key that is too long was stored")
	}
	if !b.Available([]byte("session 1")) {
		t.Error("not available, although all positions were stored")
	}
	a.TransferLeadership()
	for _, g := range a.Overview().Groups {
		if g.Local != nil && g.Local.Leader == "a" {
			t.Errorf("group %d is still led by a", g.Group)
		}
	}
	a.Close()
	a.streams.Close()
	raise(t, b, "stored while a is away", 5)
	cluster.removeRoute("a")
	restarted := cluster.start(t, "a")
	wantPosition(t, restarted, "stored while a is away", 5)
	for _, g := range restarted.Overview().Groups {
		if g.Local == nil {
			t.Errorf("group %d has no member at a after its restart", g.Group)
		}
	}
	if restarted.Counters.Notices[raftstore.NoticeMemberStale].Load()+restarted.Counters.Notices[raftstore.NoticeStoreRenumbered].Load() > 0 {
		t.Error("the disk of a is treated as lost after its restart")
	}
}

// A damaged storage file is renamed and kept, and the node starts with a new file.
func TestDamagedStorageFileIsRenamed(t *testing.T) {
	cluster := &testCluster{dir: t.TempDir(), routes: map[string]string{}}
	damaged := bytes.Repeat([]byte("no store"), 4096)
	path := filepath.Join(cluster.dir, "a")
	if err := os.WriteFile(path, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	a := cluster.start(t, "a")
	if o := a.Overview(); o.Store == 0 || o.DiskFailure != "" {
		t.Errorf("the node has no usable storage: %+v", o)
	}
	kept, err := filepath.Glob(path + ".damaged-*")
	if err != nil || len(kept) != 1 {
		t.Fatalf("kept files %v, %v, want one", kept, err)
	}
	if content, err := os.ReadFile(kept[0]); err != nil || !bytes.Equal(content, damaged) {
		t.Errorf("the kept file has other content: %v", err)
	}
}
