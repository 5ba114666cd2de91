// Package statestore measures what gateways hold for each other: the adapters with their streams and disks on loopback, several in
// this process, and real gateways where their death is what is measured.
package statestore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/experiments/report"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/raftnode"
	"marblespan/internal/streams"
	"marblespan/internal/transport"
)

var key = sealed.Key{Number: 1, Secret: []byte("the secret of this measurement")}

// cluster is several adapters that know each other.
type cluster struct {
	dir    string
	nodes  []*member
	mu     sync.Mutex
	routes map[string]string
}

// member is one of them.
type member struct {
	name    string
	streams *streams.Streams
	holders *raftnode.Node
}

// shape is what a cluster is made of.
type shape struct {
	nodes, copies, shards int
	disk                  bool
	healAfter             time.Duration
}

// newCluster starts one and waits until all copies are there.
func newCluster(s shape) (*cluster, error) {
	dir, err := os.MkdirTemp("", "copies")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, routes: map[string]string{}}
	for i := range s.nodes {
		if err := c.add(s, fmt.Sprint("g", i+1)); err != nil {
			c.close()
			return nil, err
		}
	}
	first := c.nodes[0].holders
	if err := first.Bootstrap(s.shards, s.copies, true); err != nil {
		c.close()
		return nil, err
	}
	if !first.AwaitComplete(2 * time.Minute) {
		c.close()
		return nil, fmt.Errorf("%d gateways with %d copies of %d shards were not whole within two minutes", s.nodes, s.copies, s.shards)
	}
	return c, nil
}

func (c *cluster) add(s shape, name string) error {
	m := &member{name: name}
	begin := time.Now()
	buffers, fds := transport.NewBuffers(256<<20), transport.NewDescriptors(8192)
	var err error
	if m.streams, err = streams.Listen("127.0.0.1:0", streams.Settings{
		Node: name, Start: uint64(begin.UnixMicro()), Keys: []sealed.Key{key}, Buffers: buffers, Fds: fds,
		AddressOf: func(to string) (string, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			at, known := c.routes[to]
			return at, known
		},
	}); err != nil {
		return err
	}
	c.mu.Lock()
	c.routes[name] = m.streams.Addr()
	c.mu.Unlock()
	path := ""
	if s.disk {
		path = filepath.Join(c.dir, name+".db")
	}
	m.holders, err = raftnode.Start(raftnode.Settings{
		Node: name, Weight: 1, RunsGroups: true, StoragePath: path, Tick: 100 * time.Millisecond, RepairAfter: s.healAfter, MaxRepairs: 4, RepairRate: 64 << 20,
		MaxShardBytes: 1 << 30, MinLogBytes: 1 << 20, Peers: c.names,
	}, raftnode.Clock{
		Now: func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) + 1 },
		At:  func(t clock.Micros) time.Time { return begin.Add(time.Duration(t-1) * time.Microsecond) },
	}, m.streams, zerolog.New(io.Discard))
	if err != nil {
		m.streams.Close()
		return err
	}
	c.nodes = append(c.nodes, m)
	return nil
}

func (c *cluster) names() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.routes {
		all = append(all, name)
	}
	return all
}

// end ends one as a crash of its machine would: nobody hears of it.
func (c *cluster) end(i int) {
	m := c.nodes[i]
	c.mu.Lock()
	delete(c.routes, m.name)
	c.mu.Unlock()
	m.streams.Close()
	m.holders.Close()
	c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
}

func (c *cluster) close() {
	for len(c.nodes) > 0 {
		c.end(0)
	}
	os.RemoveAll(c.dir)
}

// sent is how many bytes all have written to streams.
func (c *cluster) sent() (n int64) {
	for _, m := range c.nodes {
		n += m.streams.Counts.SentBytes.Load()
	}
	return n
}

// load promises marks from callers at all gateways for a span, each one after the other, and collects how long each took.
type load struct {
	promised, failed atomic.Int64
	spans            *report.Spans
	took             time.Duration
}

func (c *cluster) load(callers int, span time.Duration, keys int) *load {
	l := &load{spans: report.NewSpans()}
	var mu sync.Mutex
	var done sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		m := c.nodes[i%len(c.nodes)]
		done.Go(func() {
			answer := make(chan bool, 1)
			var own []int64
			for n := 0; time.Since(begin) < span; n++ {
				asked := time.Now()
				m.holders.RaisePosition(fmt.Appendf(nil, "session %d", (n*callers+i)%keys), uint64(n+1), time.Hour, asked.Add(5*time.Second), func(ok bool) { answer <- ok })
				if !<-answer {
					l.failed.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				l.promised.Add(1)
				own = append(own, time.Since(asked).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			for _, x := range own {
				l.spans.Add(x)
			}
		})
	}
	done.Wait()
	l.took = time.Since(begin)
	return l
}
