// Package raftnode joins what a gateway holds for others (internal/raftstore) to the world: one goroutine around the host, one that
// writes its disk, and the streams to the other gateways. It decides nothing.
package raftnode

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
	"marblespan/internal/streams"
)

// Settings are those of the operators' file.
type Settings struct {
	Node, Zone    string
	Weight        uint32
	HostsReplicas bool
	StoragePath   string // of the file; empty: memory alone, and a start is a lost disk
	WitnessPath   string // of the file that says what the disk had last; empty: none
	Tick          time.Duration
	RepairAfter   time.Duration
	MaxRepairs    int
	RepairRate    int // bytes a second of what nobody waits for
	MaxBytes      int64
	MinLogBytes   int64
	RecordFormat  uint32          // of records, the latest that this gateway understands; 0: the one of this version
	Peers         func() []string // the gateways that are there; asked once a second
	// Maintain is by what limits machines are taken out for work; nil: none is, and the next two are of no use. Members tells
	// who there is, once a second, and Ordered is told of the order, on the goroutine that owns the host: it must not wait.
	MaintenanceLimits *maintenance.Limits
	Members           func() []maintenance.Member
	OnOrder           func(index uint64, o *maintenance.Order)
}

// The bounds of what waits: events for the goroutine, calls for an answer, large packets for their turn, and how many events
// are taken in before what came of them goes out.
const (
	mostEvents = 4096
	mostCalls  = 20_000
	mostBulk   = 32
	batch      = 512
)

// partSize is how much of a large packet travels at a time, in bytes; mostParts of them make the largest.
const (
	partSize  = 256 << 10
	mostParts = 1024
)

// Clock is a clock that never steps back.
type Clock struct {
	Now func() clock.Micros
	At  func(clock.Micros) time.Time
}

// Counts are the counters since the start.
type Counters struct {
	Sent, SentBytes, Received, SendFailures, EventsDropped, Writes atomic.Int64
	Answers                                                        [raftstore.Statuses]atomic.Int64
	Notices                                                        [raftstore.Notices]atomic.Int64
}

// Holders takes part.
type Node struct {
	Counters Counters

	s       Settings
	clock   Clock
	log     zerolog.Logger
	streams *streams.Streams
	host    *raftstore.Host
	disk    *raftstorage.File
	witness *raftstorage.Witness

	events  chan any // copies.Event, or a func to run
	writes  chan raftstore.Write
	bulk    chan raftstore.Send
	quit    chan struct{}
	closing sync.Once
	done    sync.WaitGroup
	left    chan struct{}

	waiting map[uint64]func(raftstore.Answer) // by the goroutine only
	next    uint64
	parts   atomic.Uint32

	shards atomic.Int64 // of the store; 0: there is none, as far as is known
	// failedAt is when a shard's promise was last not had, microseconds of Unix time; 0: the last one was.
	failedAt [raftstore.MostShards + 1]atomic.Int64

	saying sync.Mutex // operators' commands go one by one, so that their numbers come in order

	mu      sync.Mutex
	partial map[string][]*partial // by sender
}

// partial is a large packet that has come in part.
type partial struct {
	id, next, of uint32
	body         []byte
}

// Start opens the disk and begins. Others are told of by Others.
func Start(s Settings, clock Clock, x *streams.Streams, log zerolog.Logger) (*Node, error) {
	h := &Node{
		s: s, clock: clock, log: log, streams: x, events: make(chan any, mostEvents), writes: make(chan raftstore.Write, 1),
		bulk: make(chan raftstore.Send, mostBulk), quit: make(chan struct{}), left: make(chan struct{}),
		waiting: map[uint64]func(raftstore.Answer){}, partial: map[string][]*partial{},
	}
	var stored *raftstore.Stored
	trusted := false
	if s.HostsReplicas && s.StoragePath != "" {
		var err error
		if stored, trusted, err = h.open(); err != nil {
			return nil, err
		}
	}
	cfg := raftstore.Config{
		Name: s.Node, Zone: s.Zone, Weight: s.Weight, Holds: s.HostsReplicas, Tick: micros(s.Tick), HealAfter: micros(s.RepairAfter),
		HealAtOnce: s.MaxRepairs, Format: s.RecordFormat, LeastLog: s.MinLogBytes, MostBytes: s.MaxBytes, MostCalls: mostCalls, Client: draw(), NewStore: draw(),
		Founding: draw(), Life: uint64(time.Now().UnixMicro()), Maintain: s.MaintenanceLimits,
	}
	var err error
	if h.host, err = raftstore.New(cfg, clock.Now(), stored, trusted); err != nil {
		h.closeDisk()
		return nil, err
	}
	h.shards.Store(int64(h.host.Shards()))
	x.Handle(streams.Copies, h.heard)
	h.done.Add(3)
	go h.run()
	go h.write()
	go h.sendBulk()
	return h, nil
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// draw makes a number that was never used before, as far as 63 random bits can.
func draw() uint64 {
	var b [8]byte
	rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// open opens the disk. A file that is damaged is put aside: the gateway has lost its disk, and goes on with an empty one.
func (h *Node) open() (*raftstore.Stored, bool, error) {
	f, stored, err := raftstorage.Open(h.s.StoragePath)
	var damaged *raftstorage.DamagedError
	if errors.As(err, &damaged) {
		aside := fmt.Sprintf("%s.damaged-%d", h.s.StoragePath, time.Now().Unix())
		h.log.Error().Err(err).Str("kept_as", aside).Msg("copies: the disk counts as lost")
		if err := os.Rename(h.s.StoragePath, aside); err != nil {
			return nil, false, err
		}
		f, stored, err = raftstorage.Open(h.s.StoragePath)
	}
	if err != nil {
		return nil, false, err
	}
	h.disk = f
	trusted := stored.Store == 0
	if h.s.WitnessPath != "" {
		var known bool
		if h.witness, known, err = raftstorage.OpenWitness(h.s.WitnessPath, stored.Store, f.Sequence()); err != nil {
			h.closeDisk()
			return nil, false, fmt.Errorf("witness: %w", err)
		}
		trusted = trusted || known
	}
	return stored, trusted, nil
}

func (h *Node) closeDisk() {
	if h.disk != nil {
		h.disk.Close()
	}
	if h.witness != nil {
		h.witness.Close()
	}
}

// heard takes in a packet from a stream. Where too many events wait it is dropped, as a network would.
func (h *Node) heard(from string, body []byte) {
	whole, ok := h.join(from, body)
	if !ok {
		return
	}
	h.Counters.Received.Add(1)
	select {
	case h.events <- raftstore.Heard{From: from, Body: whole}:
	default:
		h.Counters.EventsDropped.Add(1)
	}
}

// The first byte of what travels: a whole packet, or a part of one behind its number, its place and how many there are.
const (
	wholePacket = iota
	packetPart
)

const partHead = 1 + 3*4

// join puts parts together. They come in order, for they come on one stream.
func (h *Node) join(from string, b []byte) ([]byte, bool) {
	if len(b) > 0 && b[0] == wholePacket {
		return slices.Clone(b[1:]), true
	}
	if len(b) < partHead || b[0] != packetPart {
		return nil, false
	}
	id, at, of := binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:]), binary.BigEndian.Uint32(b[9:])
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.partial[from]
	if at == 0 && of > 0 && of <= mostParts {
		if len(all) >= mostPartial { // the oldest will hardly come to its end
			all = all[1:]
		}
		all = append(all, &partial{id: id, of: of})
	}
	h.partial[from] = all
	i := slices.IndexFunc(all, func(p *partial) bool { return p.id == id })
	if i < 0 {
		return nil, false
	}
	p := all[i]
	if p.next == at && p.of == of {
		p.body, p.next = append(p.body, b[partHead:]...), at+1
		if p.next < of {
			return nil, false
		}
	}
	h.partial[from] = slices.Delete(all, i, i+1)
	return p.body, p.next == of
}

// mostPartial is how many large packets of a sender may be on their way at a time.
const mostPartial = 4

// run is the goroutine that owns the host.
func (h *Node) run() {
	defer h.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	h.carry()
	asked := time.Time{}
	for {
		if time.Since(asked) > time.Second {
			asked = time.Now()
			h.host.Handle(h.clock.Now(), raftstore.Others{Names: h.s.Peers()})
			if h.s.MaintenanceLimits != nil {
				h.host.Handle(h.clock.Now(), raftstore.Members{All: h.s.Members()})
			}
		}
		timer.Reset(max(time.Until(h.clock.At(h.host.Next())), 0))
		select {
		case <-h.quit:
			h.end()
			return
		case <-timer.C:
			h.host.Handle(h.clock.Now(), raftstore.Tick{})
		case ev := <-h.events:
			h.take(ev)
		}
		for n := 1; n < batch; n++ {
			select {
			case ev := <-h.events:
				h.take(ev)
				continue
			default:
			}
			break
		}
		if now := h.clock.Now(); now >= h.host.Next() {
			h.host.Handle(now, raftstore.Tick{})
		}
		h.carry()
	}
}

func (h *Node) take(ev any) {
	switch ev := ev.(type) {
	case func():
		ev()
	case raftstore.Event:
		h.host.Handle(h.clock.Now(), ev)
	}
}

// carry carries out what the host wants.
func (h *Node) carry() {
	actions := h.host.Flush()
	h.shards.Store(int64(h.host.Shards()))
	for _, a := range actions {
		switch a := a.(type) {
		case raftstore.Send:
			h.send(a)
		case raftstore.Write:
			h.writes <- a // there is one at a time
		case raftstore.Answer:
			h.Counters.Answers[a.Status].Add(1)
			if done := h.waiting[a.ID]; done != nil {
				delete(h.waiting, a.ID)
				done(a)
			}
		case raftstore.Noticed:
			h.noticed(a)
		case raftstore.Ordered:
			h.s.OnOrder(a.Index, a.Order)
		case raftstore.Done:
			close(h.left)
		}
	}
}

// end answers whoever still waits.
func (h *Node) end() {
	for id, done := range h.waiting {
		delete(h.waiting, id)
		done(raftstore.Answer{Status: raftstore.TooLate})
	}
}

func (h *Node) send(a raftstore.Send) {
	if !a.Bulk {
		h.sendWhole(a, func(int) bool { return true })
		return
	}
	select {
	case h.bulk <- a:
	default:
		h.Counters.SendFailures.Add(1)
	}
}

// sendWhole sends a packet, in parts if it is large; before each, wait may take its time, and tells whether to go on.
func (h *Node) sendWhole(a raftstore.Send, wait func(size int) bool) {
	if len(a.Body) <= partSize && wait(len(a.Body)) {
		h.sendNow(streams.Message{To: a.To, Channel: streams.Copies, Body: append([]byte{wholePacket}, a.Body...)})
		return
	}
	id, of := h.parts.Add(1), (len(a.Body)+partSize-1)/partSize
	for at := range of {
		part := a.Body[at*partSize : min((at+1)*partSize, len(a.Body))]
		if !wait(len(part)) {
			return
		}
		b := []byte{packetPart}
		for _, n := range []uint32{id, uint32(at), uint32(of)} {
			b = binary.BigEndian.AppendUint32(b, n)
		}
		if !h.sendNow(streams.Message{To: a.To, Channel: streams.Copies, Body: append(b, part...), Keep: true}) {
			return // what has come of it is of no use; the host sends it again
		}
	}
}

func (h *Node) sendNow(m streams.Message) bool {
	if err := h.streams.Send(m); err != nil {
		h.Counters.SendFailures.Add(1)
		return false
	}
	h.Counters.Sent.Add(1)
	h.Counters.SentBytes.Add(int64(len(m.Body)))
	return true
}

// sendBulk sends large packets one after the other, no faster than healing may go.
func (h *Node) sendBulk() {
	defer h.done.Done()
	limit := rate.NewLimiter(rate.Limit(h.s.RepairRate), partSize)
	for {
		select {
		case <-h.quit:
			return
		case a := <-h.bulk:
			h.sendWhole(a, func(size int) bool {
				select {
				case <-time.After(limit.ReserveN(time.Now(), size).Delay()):
					return true
				case <-h.quit:
					return false
				}
			})
		}
	}
}

// write writes the disk. After a fault nothing more is written, and the host told.
func (h *Node) write() {
	defer h.done.Done()
	failed := false
	for {
		select {
		case <-h.quit:
			return
		case w := <-h.writes:
			if failed {
				continue
			}
			if h.disk != nil {
				err := h.disk.Write(w)
				if err == nil && h.witness != nil && w.Sure {
					err = h.witness.Record(w.Store, h.disk.Sequence())
				}
				if err != nil {
					failed = true
					h.put(raftstore.Failed{Cause: err.Error()})
					continue
				}
			}
			h.Counters.Writes.Add(1)
			h.put(raftstore.Written{Number: w.Number})
		}
	}
}

// put hands the goroutine something that must not be lost.
func (h *Node) put(ev any) bool {
	select {
	case h.events <- ev:
		return true
	case <-h.quit:
		return false
	}
}

func (h *Node) noticed(n raftstore.Noticed) {
	h.Counters.Notices[n.What].Add(1)
	level := h.log.Info()
	switch n.What {
	case raftstore.LostGroup, raftstore.DiskLost, raftstore.Foreign, raftstore.Stale, raftstore.StoreGone, raftstore.Renumbered, raftstore.Older:
		level = h.log.Warn()
	case raftstore.Sure:
		level = h.log.Debug()
	}
	level = level.Stringer("what", n.What)
	if n.Epoch > 0 {
		level = level.Uint32("group", n.Group).Uint32("epoch", n.Epoch)
	}
	if n.Number > 0 {
		level = level.Uint64("number", n.Number)
	}
	if n.Name != "" {
		level = level.Str("node", n.Name)
	}
	if n.Cause != "" {
		level = level.Str("cause", n.Cause)
	}
	level.Msg("copies")
}

// Ask begins a call; done is told its answer, on the goroutine that owns the host, and must not wait.
func (h *Node) Submit(a raftstore.Ask, by time.Time, done func(raftstore.Answer)) {
	ask := func() {
		h.next++
		a.ID, a.By = h.next, h.clock.Now()+micros(time.Until(by))
		h.waiting[a.ID] = done
		h.host.Handle(h.clock.Now(), a)
	}
	select {
	case <-h.quit:
	case h.events <- ask:
		return
	default: // whoever asks must not wait
	}
	done(raftstore.Answer{Status: raftstore.NotSent})
}

// Found makes a new store; Gone takes an operator's word that a gateway's disk will not come back. Both tell what cannot be.
func (h *Node) Bootstrap(shards, many int, first bool) error {
	return h.tell(func(o raftstore.Overview) error {
		switch {
		case o.Founding != 0:
			return errors.New("there is a store already")
		case o.Store == 0 || o.Failed != "":
			return errors.New("this gateway holds nothing")
		}
		h.host.Handle(h.clock.Now(), raftstore.Found{Shards: shards, Copies: many, First: first})
		return nil
	})
}

// Gone is an operator's word that a gateway's disk will not come back.
func (h *Node) RemoveStore(name string) error {
	return h.decide(func(o raftstore.Overview) error {
		if !slices.ContainsFunc(o.Stores, func(s raftstore.StoreView) bool { return s.Name == name && !s.Gone }) {
			return fmt.Errorf("no gateway %q holds anything", name)
		}
		h.host.Handle(h.clock.Now(), raftstore.Gone{Name: name})
		return nil
	})
}

// Anew is an operator's word that a shard cannot go on.
func (h *Node) ResetShard(shard uint32) error {
	return h.decide(func(o raftstore.Overview) error {
		switch {
		case shard == raftstore.LedgerGroup || int(shard) >= len(o.Groups):
			return fmt.Errorf("there is no shard %d", shard)
		case h.host.Reported(shard):
			return fmt.Errorf("shard %d has a leader, and goes on", shard)
		}
		h.host.Handle(h.clock.Now(), raftstore.Anew{Shard: shard})
		return nil
	})
}

// decide has the ledger's leader do something; elsewhere it tells where that is.
func (h *Node) decide(do func(raftstore.Overview) error) error {
	return h.tell(func(o raftstore.Overview) error {
		if len(o.Groups) == 0 {
			return errors.New("there is no store yet")
		}
		if g := o.Groups[raftstore.LedgerGroup]; g.Here == nil || g.Here.Leader != h.s.Node {
			leader := "not known now"
			if g.Here != nil && g.Here.Leader != "" {
				leader = g.Here.Leader
			}
			return fmt.Errorf("the ledger is led elsewhere (%s): say it there", leader)
		}
		return do(o)
	})
}

// tell runs something on the goroutine.
func (h *Node) tell(do func(raftstore.Overview) error) error {
	result := make(chan error, 1)
	if !h.put(func() { result <- do(h.host.Overview()) }) {
		return errors.New("the gateway is about to end")
	}
	select {
	case err := <-result:
		return err
	case <-h.quit:
		return errors.New("the gateway is about to end")
	}
}

// Node is this gateway's name.
func (h *Node) Name() string { return h.s.Node }

// Overview tells how the host stands.
func (h *Node) Overview() (o raftstore.Overview) {
	h.tell(func(now raftstore.Overview) error { o = now; return nil })
	return o
}

// AwaitWhole waits until all copies are there, by the ledger that is known here, and AwaitUnwhole until they are not. They tell
// whether it came to that in time.
func (h *Node) AwaitFullyReplicated(bound time.Duration) bool { return h.await(bound, true) }

// AwaitUnwhole waits until some copy is missing.
func (h *Node) AwaitUnderReplicated(bound time.Duration) bool { return h.await(bound, false) }

func (h *Node) await(bound time.Duration, whole bool) bool {
	for late := time.Now().Add(bound); h.Overview().Whole() != whole; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			return false
		}
	}
	return true
}

// leaveBy is how long Leave waits at the most until others lead what was led here.
const leaveBy = time.Second

// Leave hands over what is led here, and waits for it within a bound.
func (h *Node) TransferLeadership() {
	h.put(raftstore.Leave{})
	select {
	case <-h.left:
	case <-time.After(leaveBy):
	}
}

// Close ends it.
func (h *Node) Close() {
	h.closing.Do(func() { close(h.quit) })
	h.done.Wait()
	h.closeDisk()
}
