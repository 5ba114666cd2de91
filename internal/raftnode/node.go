// Package raftnode runs a gateway's raftstore.Host, a pure state machine, and connects it to the storage file and to the streams to
// the other gateways. It decides nothing itself: the host does, in its Handle and Flush. internal/raftgateway starts a node for the
// gateway; the experiments start nodes of their own.
//
// Start starts three goroutines, each for the lifetime of the node, which end when Close closes quit:
//
//   - the event loop (runEventLoop) owns the host and the calls that wait for a response. Everything that needs them is passed to it
//     through the inbox: events, and functions from other goroutines.
//   - the disk writer (runDiskWriter) owns the storage file and the witness. Nothing else writes to them.
//   - the bulk sender (runBulkSender) sends snapshots and other large packets at the rate that repair may use.
//
// The streams' goroutines call packetReceived. Clients' calls (Submit and what builds on it) never block; the operators' commands
// and the queries for status wait for the event loop.
package raftnode

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
	"marblespan/internal/raftstore"
	"marblespan/internal/streams"
)

// Settings are what a node is started with; most come from the operators' file.
type Settings struct {
	Node, Zone string
	Weight     uint32
	// RunsGroups tells whether this gateway has members of the Raft groups; without them it sends its calls to those that do.
	RunsGroups bool
	// StoragePath is the storage file; empty: the groups are kept in memory only, and a restart counts as a lost disk.
	StoragePath string
	// WitnessPath is the file that records the storage's latest write (see raftstorage.Witness); empty: none.
	WitnessPath   string
	Tick          time.Duration // of Raft's timers
	RepairAfter   time.Duration // how long a gateway is silent before its members are replaced
	MaxRepairs    int           // repairs at the same time
	RepairRate    int           // bytes a second for large packets
	MaxShardBytes int64         // memory of a shard's records
	MinLogBytes   int64         // a log shorter than this is not replaced by a snapshot
	// RecordFormat is the latest format of records that this gateway understands; 0: this version's.
	RecordFormat uint32
	Peers        func() []string // names of the gateways that are reachable; called once a second by the event loop

	// MaintenanceLimits bound how many machines are taken out for maintenance; nil: none is, and Members and OnOrder are not used.
	MaintenanceLimits *maintenance.Limits
	Members           func() []maintenance.Member // called once a second by the event loop
	// OnOrder receives each new maintenance order. The event loop calls it: it must not block.
	OnOrder func(index uint64, o *maintenance.Order)
}

// The bounds of the queues, and how many events are handled before their results are carried out.
const (
	maxEvents      = 4096   // in the inbox
	maxCalls       = 20_000 // that wait for a response
	maxBulkPackets = 32     // that wait for the bulk sender
	eventBatch     = 512
)

// Clock is the host's clock. It never steps back.
type Clock struct {
	Now func() clock.Micros
	At  func(clock.Micros) time.Time
}

// Node is a gateway's part in the Raft groups. Its methods may be called from any goroutine; those named in the package comment
// run on one goroutine only.
type Node struct {
	Counters Counters

	settings Settings
	clock    Clock
	log      zerolog.Logger

	host    *raftstore.Host // owned by the event loop
	calls   pendingCalls    // owned by the event loop
	inbox   chan inboxItem
	storage storage // owned by the disk writer once it runs

	streams    *streams.Streams
	bulk       chan raftstore.Send
	lastPacket atomic.Uint32 // number of the latest packet that was sent in parts
	received   reassembler

	shards    shardAvailability
	commandMu sync.Mutex // one maintenance command at a time, so that they reach the ledger in order

	leadershipTransferred chan struct{} // closed by the event loop when the host leads nothing any more
	quit                  chan struct{}
	closeOnce             sync.Once
	goroutines            sync.WaitGroup
}

// Start opens the storage file and starts the node's goroutines. Close ends them.
func Start(settings Settings, clock Clock, peerStreams *streams.Streams, log zerolog.Logger) (*Node, error) {
	n := &Node{
		settings: settings, clock: clock, log: log, streams: peerStreams,
		calls: pendingCalls{done: map[uint64]func(raftstore.Response){}}, inbox: make(chan inboxItem, maxEvents),
		storage: storage{writes: make(chan raftstore.Write, 1)}, bulk: make(chan raftstore.Send, maxBulkPackets),
		quit: make(chan struct{}), leadershipTransferred: make(chan struct{}),
	}
	stored, trusted, err := n.openStorage()
	if err != nil {
		return nil, err
	}
	if n.host, err = raftstore.New(n.hostConfig(), clock.Now(), stored, trusted); err != nil {
		n.storage.close()
		return nil, err
	}
	n.shards.setCount(n.host.Shards())
	peerStreams.Handle(streams.StateStore, n.packetReceived)
	n.goroutines.Go(n.runEventLoop)
	n.goroutines.Go(n.runDiskWriter)
	n.goroutines.Go(n.runBulkSender)
	return n, nil
}

// hostConfig is the host's configuration, with numbers drawn for this incarnation.
func (n *Node) hostConfig() raftstore.Config {
	s := &n.settings
	return raftstore.Config{
		Name: s.Node, Zone: s.Zone, Weight: s.Weight, RunsGroups: s.RunsGroups, Tick: micros(s.Tick), RepairAfter: micros(s.RepairAfter),
		MaxRepairs: s.MaxRepairs, Format: s.RecordFormat, MinLogBytes: s.MinLogBytes, MaxShardBytes: s.MaxShardBytes, MaxCalls: maxCalls,
		ClientID: randomID(), NewStoreID: randomID(), NewClusterID: randomID(), Incarnation: uint64(time.Now().UnixMicro()), Maintenance: s.MaintenanceLimits,
	}
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// randomID draws a number that is unique as far as 63 random bits are. It is never 0.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Name is this gateway's name.
func (n *Node) Name() string { return n.settings.Node }

// transferTimeout bounds how long TransferLeadership waits.
const transferTimeout = time.Second

// TransferLeadership hands over the groups that this gateway leads, and waits until others lead them, a second at most.
func (n *Node) TransferLeadership() {
	n.enqueue(inboxItem{event: raftstore.DrainRequested{}})
	select {
	case <-n.leadershipTransferred:
	case <-time.After(transferTimeout):
	}
}

// Close ends the goroutines, waits for them and closes the files. Calls that the host has get StatusDeadlineExceeded. It may be called
// more than once.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.quit) })
	n.goroutines.Wait()
	n.storage.close()
}
