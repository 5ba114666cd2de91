// Package raftnode runs a gateway's raftstore.Host, a pure state machine, and connects it to the storage file and to the streams to
// the other gateways. All decisions are made by the host, in its methods Handle and Flush. internal/raftgateway starts the node of a
// gateway; the experiments start their own nodes.
//
// Start starts three goroutines. Each runs for the lifetime of the node and ends when Close closes quit:
//
//   - the event loop (runEventLoop) owns the host and the calls that wait for a response. Other goroutines use these only by passing
//     events and functions to the event loop through the inbox.
//   - the disk writer (runDiskWriter) owns the storage file and the witness. Nothing else writes to them.
//   - the bulk sender (runBulkSender) sends snapshots and other large packets, no faster than Settings.RepairRate.
//
// The goroutines of package streams call packetReceived. Submit and the calls that are built on it never block; the operators'
// commands and the status queries wait for the event loop.
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

// Settings configures a node. Most of the values come from the operators' file.
type Settings struct {
	Node, Zone string
	Weight     uint32
	// RunsGroups reports whether this gateway has members of the Raft groups. If not, the gateway sends its calls to gateways that
	// have members.
	RunsGroups bool
	// StoragePath is the path of the storage file. If it is empty, the groups are kept in memory only, and a restart counts as the
	// loss of a disk.
	StoragePath string
	// WitnessPath is the path of the file that records the latest write to the storage file (see raftstorage.Witness). If it is
	// empty, there is no witness.
	WitnessPath   string
	Tick          time.Duration // interval of Raft's timers
	RepairAfter   time.Duration // how long a gateway must be silent before its members are replaced
	MaxRepairs    int           // maximum number of concurrent repairs
	RepairRate    int           // bandwidth for large packets, in bytes per second
	MaxShardBytes int64         // memory limit for the records of a shard
	MinLogBytes   int64         // size from which a log may be replaced by a snapshot
	// RecordFormat is the latest record format that this gateway understands; 0 means the latest format of this version.
	RecordFormat uint32
	Peers        func() []string // names of the reachable gateways; called once a second by the event loop

	// MaintenanceLimits bounds how many machines are taken out for maintenance at a time. If it is nil, no machine is taken out, and
	// Members and OnOrder are not used.
	MaintenanceLimits *maintenance.Limits
	Members           func() []maintenance.Member // called once a second by the event loop
	// OnOrder is called with each new maintenance order. It must not block, because the event loop calls it.
	OnOrder func(index uint64, o *maintenance.Order)
}

// maxEvents, maxCalls and maxBulkPackets bound the queues. eventBatch is the number of inbox items that are handled before the host's
// actions are carried out.
const (
	maxEvents      = 4096   // items in the inbox
	maxCalls       = 20_000 // calls that wait for a response
	maxBulkPackets = 32     // packets that wait for the bulk sender
	eventBatch     = 512
)

// Clock is the host's clock, which never goes backwards. The method At converts the clock's readings to times for timers.
type Clock struct {
	Now func() clock.Micros
	At  func(clock.Micros) time.Time
}

// Node runs a gateway's members of the Raft groups and sends its calls to the state store. Its methods are safe for concurrent use,
// except the goroutine functions that are named in the package comment.
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
	lastPacket atomic.Uint32 // number of the last packet that was sent in parts
	received   reassembler

	shards    shardAvailability
	commandMu sync.Mutex // serializes maintenance commands, so that they reach the ledger in order

	leadershipTransferred chan struct{} // closed by the event loop when the host emits raftstore.Drained
	quit                  chan struct{}
	closeOnce             sync.Once
	goroutines            sync.WaitGroup
}

// Start opens the storage file and starts the node's goroutines. The caller must call Close to end them.
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

// hostConfig returns the host's configuration, with new random IDs for this incarnation.
func (n *Node) hostConfig() raftstore.Config {
	s := &n.settings
	return raftstore.Config{
		Name: s.Node, Zone: s.Zone, Weight: s.Weight, RunsGroups: s.RunsGroups, Tick: micros(s.Tick), RepairAfter: micros(s.RepairAfter),
		MaxRepairs: s.MaxRepairs, Format: s.RecordFormat, MinLogBytes: s.MinLogBytes, MaxShardBytes: s.MaxShardBytes, MaxCalls: maxCalls,
		ClientID: randomID(), FirstCallID: randomID(), NewStoreID: randomID(), NewClusterID: randomID(),
		Incarnation: uint64(time.Now().UnixMicro()), Maintenance: s.MaintenanceLimits,
	}
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// randomID returns an ID with 63 random bits, which make it unique in practice. It is never 0.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never returns an error
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Name returns the name of this gateway.
func (n *Node) Name() string { return n.settings.Node }

// transferTimeout is how long TransferLeadership waits at most.
const transferTimeout = time.Second

// TransferLeadership transfers the leadership of the groups that this gateway leads to other gateways, and waits for at most
// transferTimeout until the transfers are done.
func (n *Node) TransferLeadership() {
	n.enqueue(inboxItem{event: raftstore.DrainRequested{}})
	select {
	case <-n.leadershipTransferred:
	case <-time.After(transferTimeout):
	}
}

// Close ends the goroutines, waits for them and closes the files. Pending calls that have reached the host are completed with
// StatusDeadlineExceeded. Close may be called more than once.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.quit) })
	n.goroutines.Wait()
	n.storage.close()
}
