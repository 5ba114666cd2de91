// Package statestore measures the state store. Most measurements run several raftnode nodes, with their streams and storage files, in this
// process on the loopback interface; the measurement of failovers runs real gateways. marblespan-bench state-store calls Run and Write.
//
// A cluster and its load are used by one goroutine. cluster.load starts further goroutines, which end before it returns. The measurements
// are in load.go (writes), repair.go (a gateway that is lost permanently), idle.go (traffic without writes), startup.go (reading a
// storage file) and failover.go (shards without a leader).
package statestore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/raftnode"
	"marblespan/internal/streams"
	"marblespan/internal/transport"
)

// completeTimeout is how long a cluster may take until all groups have all voters.
const completeTimeout = 2 * time.Minute

// neverRepair is a RepairAfter longer than any measurement: a silent node is never replaced.
const neverRepair = time.Hour

// key signs the traffic between the nodes.
var key = sealed.Key{Number: 1, Secret: []byte("the secret of this measurement")}

// cluster is a set of nodes in this process that know each other's addresses.
type cluster struct {
	dir     string
	members []*member

	mu        sync.Mutex
	addresses map[string]string // addresses of the nodes' streams, by node name
}

// member is one node with its streams.
type member struct {
	name    string
	streams *streams.Streams
	node    *raftnode.Node
}

// clusterOptions are the sizes and settings of a cluster.
type clusterOptions struct {
	nodes, voters, shards int
	disk                  bool          // the nodes keep their groups in storage files, not in memory
	repairAfter           time.Duration // silence after which a node counts as lost and its members of groups are replaced
}

// newCluster starts a cluster and waits until all groups have all voters. The caller ends it by calling close.
func newCluster(s clusterOptions) (c *cluster, err error) {
	dir, err := os.MkdirTemp("", "state-store")
	if err != nil {
		return nil, err
	}
	c = &cluster{dir: dir, addresses: map[string]string{}}
	defer func() {
		if err != nil {
			c.close()
			c = nil
		}
	}()
	for i := range s.nodes {
		if err := c.add(s, fmt.Sprint("g", i+1)); err != nil {
			return c, err
		}
	}
	first := c.members[0].node
	if err := first.Bootstrap(s.shards, s.voters, true); err != nil {
		return c, err
	}
	if !first.AwaitComplete(completeTimeout) {
		return c, fmt.Errorf("statestore: %d gateways, %d shards, %d voters: some voters are still missing after %v", s.nodes, s.shards, s.voters, completeTimeout)
	}
	return c, nil
}

// add starts a node and adds it to the cluster.
func (c *cluster) add(s clusterOptions, name string) error {
	begin := time.Now()
	memberStreams, err := streams.Listen("127.0.0.1:0", streams.Settings{
		Node: name, Start: uint64(begin.UnixMicro()), Keys: []sealed.Key{key}, Buffers: transport.NewBuffers(256 << 20),
		Descriptors: transport.NewDescriptors(8192), AddressOf: c.addressOf,
	})
	if err != nil {
		return err
	}
	c.setAddress(name, memberStreams.Addr())
	path := ""
	if s.disk {
		path = filepath.Join(c.dir, name+".db")
	}
	node, err := raftnode.Start(raftnode.Settings{
		Node: name, Weight: 1, RunsGroups: true, StoragePath: path, Tick: 100 * time.Millisecond, RepairAfter: s.repairAfter, MaxRepairs: 4,
		RepairRate: 64 << 20, MaxShardBytes: 1 << 30, MinLogBytes: 1 << 20, Peers: c.names,
	}, raftnode.Clock{
		Now: func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) + 1 },
		At:  func(t clock.Micros) time.Time { return begin.Add(time.Duration(t-1) * time.Microsecond) },
	}, memberStreams, zerolog.New(io.Discard))
	if err != nil {
		memberStreams.Close()
		return err
	}
	c.members = append(c.members, &member{name, memberStreams, node})
	return nil
}

func (c *cluster) addressOf(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address, known := c.addresses[name]
	return address, known
}

func (c *cluster) setAddress(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[name] = address
}

func (c *cluster) removeAddress(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, name)
}

func (c *cluster) names() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.addresses {
		all = append(all, name)
	}
	return all
}

// crash ends a node without informing the others, as a crash of its machine would.
func (c *cluster) crash(i int) {
	m := c.members[i]
	c.removeAddress(m.name)
	m.streams.Close()
	m.node.Close()
	c.members = slices.Delete(c.members, i, i+1)
}

// close ends all nodes and removes their files.
func (c *cluster) close() {
	for len(c.members) > 0 {
		c.crash(0)
	}
	os.RemoveAll(c.dir)
}

// sentBytes returns how many bytes all nodes together have written to streams.
func (c *cluster) sentBytes() (n int64) {
	for _, m := range c.members {
		n += m.streams.Counts.SentBytes.Load()
	}
	return n
}
