package raftstore

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// packetVersion is that of the packets' layout.
const packetVersion = 1

// The spans of a host, in ticks: after retryTicks a call is tried elsewhere; leaveTicks bound a leave; after balanceTicks of
// leading a group is handed to the replica that should.
const (
	retryTicks   = 3
	leaveTicks   = 10
	balanceTicks = 30
	foreignTicks = 600
)

// Host is what one gateway holds for others, and its way to what others hold.
type Host struct {
	cfg        Config
	now        clock.Micros
	store      uint64
	life       uint64
	holds      bool
	failed     string // why it holds nothing any more
	trusted    bool
	founding   uint64
	view       *api.Ledger // the latest that is known
	viewOld    bool        // it is not on the disk yet
	groups     map[uint32]*group
	retired    []MemberRef
	renumbered uint64 // how often
	others     []string
	peers      map[uint64]uint64   // the latest life of each disk that was heard
	known      map[MemberRef]entry // how far others' replicas were heard to be
	facts      facts               // where this host leads the ledger
	upkeep     upkeep

	parts    []part // of the next write
	drops    []MemberWrite
	newStale []MemberRef
	writing  []part // of the write that is under way
	write    uint64 // its number, or the last one's
	busy     bool   // one is under way
	begun    bool   // the first one is done: this life is on the disk

	calls    map[uint64]*call
	nextCall uint64
	sequence uint64
	open     map[uint64]bool // the sequences of calls under way
	doneUpTo uint64          // no earlier sequence is waited for
	local    []localCall
	leads    map[uint32]string // who is asked first for a group

	nextTick clock.Micros
	ticks    uint64
	leaving  bool
	leftBy   clock.Micros
	news     map[string]uint64 // the index of the ledger that each was sent last
	foreign  uint64
	tooOld   uint64 // the store that was last turned away

	packets map[string]*api.Packet
	heavy   []Send
	out     []Action
}

// New makes a host from what its disk holds. trusted says that the disk is known to be the one that was written last; without
// it each replica asks the others whether it had gone further, before it takes part.
func New(cfg Config, now clock.Micros, s *StoredState, trusted bool) (*Host, error) {
	if cfg.Format == 0 {
		cfg.Format = LatestFormat
	}
	h := &Host{
		cfg: cfg, now: now, holds: cfg.RunsGroups, trusted: trusted, groups: map[uint32]*group{}, peers: map[uint64]uint64{},
		known: map[MemberRef]entry{}, calls: map[uint64]*call{}, leads: map[uint32]string{}, news: map[string]uint64{},
		packets: map[string]*api.Packet{}, nextTick: now, open: map[uint64]bool{}, doneUpTo: 1, view: &api.Ledger{},
	}
	if s == nil {
		s = &StoredState{}
	}
	if h.holds {
		if h.store, h.life = s.Store, max(cfg.Incarnation, s.Incarnation+1); h.store == 0 {
			h.store = cfg.NewStoreID
		}
	}
	if len(s.Ledger) > 0 {
		var view api.Ledger
		if err := proto.Unmarshal(s.Ledger, &view); err != nil {
			return nil, err
		}
		h.view, h.founding = &view, view.ClusterId
	}
	h.retired = s.Retired
	for _, x := range s.Members {
		g, err := h.newGroup(x, h.machine(x.Group, x.Epoch, false))
		if err != nil {
			return nil, err
		}
		h.groups[x.Group] = g
	}
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		g := h.groups[id]
		g.asking = &asking{} // so that what is committed already is applied, and nothing is said
		g.pump()
		if h.failed != "" {
			return nil, errors.New(h.failed)
		}
		if g.asking = nil; !trusted {
			g.unsure()
		}
	}
	h.begun = !h.holds
	h.ordered()
	return h, nil
}

func (h *Host) machine(id, epoch uint32, anew bool) machine {
	if id == LedgerGroup {
		return newLedger()
	}
	return newShard(h.cfg.MaxShardBytes, h.cfg.Format, epoch, anew)
}

// Next is when a Tick is due.
func (h *Host) NextTick() clock.Micros { return h.nextTick }

// Handle takes in one event. What comes of it is told by Flush.
func (h *Host) Handle(now clock.Micros, ev Event) {
	h.now = max(h.now, now)
	switch e := ev.(type) {
	case Tick:
		if h.now >= h.nextTick {
			h.tick()
		}
	case PacketReceived:
		h.hear(e)
	case WriteCompleted:
		h.written(e.Number)
	case DiskFailed:
		h.fail(e.Cause)
	case Request:
		h.ask(e)
	case BootstrapRequested:
		h.found(e)
	case StoreRemoved:
		h.gone(e.Name)
	case ShardReset:
		h.anew(e.Shard)
	case PeersChanged:
		h.others = e.Names
	case MembershipChanged:
		h.upkeep.members = e.Members
	case GatewayReport:
		h.upkeep.own = &e
	case LimitsChanged:
		h.cfg.Maintenance = &e.Limits
	case DrainRequested:
		if !h.leaving {
			h.leaving, h.leftBy = true, h.now+leaveTicks*h.cfg.Tick
			for _, g := range h.inOrder() {
				if g.led {
					g.handOver(0)
				}
			}
			h.left()
		}
	}
}

// inOrder are the replicas by group.
func (h *Host) inOrder() (all []*group) {
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		all = append(all, h.groups[id])
	}
	return all
}

// Flush carries out what has come together, and returns what is to be done.
func (h *Host) Flush() []Action {
	for range 8 { // what is answered here may lead to more; there is always a next time
		for _, l := range h.local {
			h.serve(l.o, l.c)
		}
		h.local = nil
		for _, g := range h.inOrder() {
			g.propose()
			g.pump()
		}
		if len(h.local) == 0 {
			break
		}
	}
	h.nextWrite()
	for _, to := range slices.Sorted(maps.Keys(h.packets)) {
		if p := h.packets[to]; h.begun {
			h.out = append(h.out, Send{To: to, Body: h.seal(p)})
		}
	}
	clear(h.packets)
	if h.begun {
		for _, s := range h.heavy {
			h.out = append(h.out, s)
		}
	}
	h.heavy = nil
	out := h.out
	h.out = nil
	return out
}

// seal fills in a packet's head and writes it.
func (h *Host) seal(p *api.Packet) []byte {
	p.Version, p.ClusterId, p.Store, p.Incarnation, p.LedgerIndex = packetVersion, h.founding, h.store, h.life, h.view.Index
	if g := h.groups[LedgerGroup]; g != nil && g.asking == nil {
		p.LedgerLeader = g.leaderName()
	}
	b, _ := proto.Marshal(p) // its names were checked when they came in
	return b
}

func (h *Host) note(n Notice) { h.out = append(h.out, n) }

// packet is what goes to another gateway at the end of this moment.
func (h *Host) packet(to string) *api.Packet {
	p := h.packets[to]
	if p == nil {
		p = &api.Packet{}
		h.packets[to] = p
	}
	return p
}

// bulk sends something large by itself.
func (h *Host) bulk(to string, x *api.RaftMessage) {
	h.heavy = append(h.heavy, Send{To: to, Body: h.seal(&api.Packet{Raft: []*api.RaftMessage{x}}), Bulk: true})
}

// holder is the gateway that has a replica; empty: not known.
func (h *Host) holder(id uint32, number uint64) string {
	if number == 0 {
		return ""
	}
	if x := groupIn(h.view, id); x != nil {
		for _, r := range replicas(x) {
			if r.Id == number {
				if s := storeIn(h.view, r.Store); s != nil {
					return s.Name
				}
			}
		}
	}
	return ""
}

// nextWrite begins a write of all that waits, if none is under way. The first one of a life only says so.
func (h *Host) nextWrite() {
	if !h.holds || h.busy || h.failed != "" || len(h.parts)+len(h.drops)+len(h.newStale) == 0 && !h.viewOld && h.begun {
		return
	}
	h.write++
	w := Write{Number: h.write, Store: h.store, Incarnation: h.life, Retired: h.newStale, Members: h.drops, Recovered: h.sure()}
	if h.viewOld || !h.begun {
		w.Ledger, _ = proto.Marshal(h.view)
		h.viewOld = false
	}
	for _, p := range h.parts {
		if h.groups[p.g.id] != p.g {
			continue
		}
		x := MemberWrite{Group: p.g.id, Epoch: p.g.epoch, Member: p.g.number}
		if m := p.message; m != nil {
			x.Snapshot, x.Entries = m.Snapshot, m.Entries
			if m.Term != nil {
				x.HardState = &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
			}
		} else {
			x.Snapshot, x.KeepEntries, x.HardState = p.snapshot, true, p.hard
		}
		w.Members = append(w.Members, x)
	}
	h.writing, h.parts, h.drops, h.newStale, h.busy = h.parts, nil, nil, nil, true
	h.out = append(h.out, w)
}

// sure tells whether no replica here asks the others.
func (h *Host) sure() bool {
	for _, g := range h.groups {
		if g.asking != nil {
			return false
		}
	}
	return true
}

// written goes on with what waited for a write.
func (h *Host) written(number uint64) {
	if number != h.write || !h.busy {
		return
	}
	h.busy, h.begun = false, true
	parts := h.writing
	h.writing = nil
	for _, p := range parts {
		if h.groups[p.g.id] == p.g {
			p.g.writes--
			p.g.written(p)
			p.g.pump()
		}
	}
}

// fail stops holding: what is on the disk from now on is not known.
func (h *Host) fail(cause string) {
	if h.failed != "" || !h.holds {
		return
	}
	h.failed = cause
	h.note(Notice{Kind: NoticeDiskFailed, Cause: cause})
	h.dropAll()
}

// dropAll ends all replicas here, without a word to the disk.
func (h *Host) dropAll() {
	for _, g := range h.inOrder() {
		h.drop(g)
	}
	h.parts, h.drops, h.writing, h.busy = nil, nil, nil, false
}

// drop ends a replica here.
func (h *Host) drop(g *group) {
	for _, o := range g.waiting {
		h.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
	}
	g.turnAway(g.reads)
	for _, reads := range g.asked {
		g.turnAway(reads)
	}
	for _, d := range g.behind {
		g.turnAway(d.reads)
	}
	delete(h.groups, g.id)
	h.parts = slices.DeleteFunc(h.parts, func(p part) bool { return p.g == g })
	h.drops = append(h.drops, MemberWrite{Group: g.id, Epoch: g.epoch, Member: g.number, Delete: true})
	h.note(Notice{Kind: NoticeMemberStopped, Group: g.id, Epoch: g.epoch, Number: g.number})
}

// tick lets a tick pass for everything.
func (h *Host) tick() {
	h.ticks++
	h.nextTick += h.cfg.Tick
	if h.nextTick <= h.now { // it stood still: elections and leaders judge by what they hear from now on
		h.nextTick = h.now + h.cfg.Tick
	}
	for _, g := range h.inOrder() {
		if h.groups[g.id] != g {
			continue
		}
		g.tick()
		if g.led && !h.leaving && h.ticks%balanceTicks == uint64(g.id)%balanceTicks && h.now-g.ledAt >= balanceTicks*h.cfg.Tick {
			h.balance(g)
		}
	}
	if h.ticks%announceEvery == 0 {
		h.announce()
	}
	if g := h.groups[LedgerGroup]; g != nil && g.led && g.asking == nil {
		h.planLedger(g)
	}
	if h.apart() { // at each tick, for the library forgets now and then which others are active
		for _, g := range h.inOrder() {
			if g.led && len(g.conf.Voters) > 1 && g.node.BasicStatus().LeadTransferee == 0 {
				g.handOver(0)
			}
		}
	}
	h.retry()
	if h.leaving {
		h.left()
	}
}

// left tells that nothing is led here any more.
func (h *Host) left() {
	if h.leftBy == 0 {
		return
	}
	for _, g := range h.groups {
		if g.led && len(g.conf.Voters) > 1 && h.now < h.leftBy {
			return
		}
	}
	h.leftBy = 0
	h.out = append(h.out, Drained{})
}

// balance hands a group to the voter whose place it is, where that one follows closely.
func (h *Host) balance(g *group) {
	x := groupIn(h.view, g.id)
	if x == nil || x.Epoch != g.epoch || x.Adding != nil {
		return
	}
	var stores []*api.Store
	for _, r := range x.Voters {
		s := storeIn(h.view, r.Store)
		if s == nil || lostIn(h.view, r) {
			continue
		}
		if _, apart := awayFor(h.view, s.Name); !apart {
			stores = append(stores, s)
		}
	}
	best := place(g.id, stores, 1)
	if len(best) == 0 || best[0].Id == h.store {
		return
	}
	for _, r := range x.Voters {
		if r.Store == best[0].Id && g.near(r.Id) {
			g.handOver(r.Id)
		}
	}
}

// hear takes in a packet.
func (h *Host) hear(e PacketReceived) {
	var p api.Packet
	if proto.Unmarshal(e.Body, &p) != nil || p.Version != packetVersion {
		return
	}
	if p.KnownIncarnation >= h.life && h.holds { // the clock was set back since the last start
		h.life, h.begun = p.KnownIncarnation+1, false
	}
	if p.Store != 0 && p.Incarnation < h.peers[p.Store] {
		h.packet(e.From).KnownIncarnation = h.peers[p.Store]
		return
	}
	if p.ClusterId != 0 && h.founding != 0 && p.ClusterId != h.founding {
		if h.foreign == 0 || h.ticks-h.foreign > foreignTicks {
			h.foreign = max(h.ticks, 1)
			h.note(Notice{Kind: NoticeForeignCluster, Name: e.From})
		}
		return
	}
	if p.Store != 0 {
		h.peers[p.Store] = p.Incarnation
	}
	if p.LedgerUpdate != nil && p.LedgerUpdate.ClusterId == p.ClusterId {
		h.learn(p.LedgerUpdate, false)
	}
	if p.LedgerIndex < h.view.Index && h.news[e.From] != h.ticks+1 {
		h.news[e.From] = h.ticks + 1 // once a tick and peer
		h.tellNews(e.From)
	}
	for _, x := range p.RecoveryQueries {
		h.asked(e.From, x)
	}
	for _, x := range p.RecoveryReplies {
		h.answered(x)
	}
	if len(p.Raft) > 0 {
		h.hearRaft(e.From, p.Raft)
	}
	for _, c := range p.Calls {
		h.serve(origin{name: e.From, id: c.Id, by: h.now + 10*1_000_000}, c)
	}
	for _, r := range p.Replies {
		h.replied(e.From, r)
	}
	if p.StoreHeartbeat != nil && p.StoreHeartbeat.Name != e.From {
		p.StoreHeartbeat = nil // nobody speaks for another one
	}
	if p.LedgerLeader != "" && h.groups[LedgerGroup] == nil {
		h.leads[LedgerGroup] = p.LedgerLeader
	}
	if p.GatewayReport != nil {
		h.factFrom(e.From, p.GatewayReport)
	}
	if g := h.groups[LedgerGroup]; g != nil && !g.led && (p.GatewayReport != nil || p.StoreHeartbeat != nil) {
		h.packet(e.From) // so that it knows who leads
	}
	if p.StoreHeartbeat != nil || len(p.GroupReports) > 0 {
		h.heardOf(p.Store, p.Incarnation, p.StoreHeartbeat, p.GroupReports)
	}
}

func (h *Host) hearRaft(from string, all []*api.RaftMessage) {
	if !h.begun {
		return
	}
	for _, x := range all {
		var m pb.Message
		if proto.Unmarshal(x.Message, &m) != nil {
			continue
		}
		g := h.groups[x.Group]
		if g == nil || g.epoch != x.Epoch {
			continue
		}
		h.remember(MemberRef{x.Group, x.Epoch, m.GetFrom()}, &m)
		g.heard(&m)
	}
}

// remember notes how far another replica is, by what it says itself.
func (h *Host) remember(r MemberRef, m *pb.Message) {
	if m.GetType() == pb.MsgPreVote || m.GetType() == pb.MsgPreVoteResp {
		return // these name a term that nobody is in yet
	}
	k := h.known[r]
	if m.GetTerm() > k.term {
		k = entry{term: m.GetTerm()}
	}
	if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetTerm() == k.term {
		k.index = max(k.index, m.GetIndex())
	}
	h.known[r] = k
}

// asked answers a replica that has started. From now on nothing counts that it said before.
func (h *Host) asked(from string, x *api.RecoveryQuery) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.number != x.Peer {
		return
	}
	p := h.packet(from)
	p.RecoveryReplies = append(p.RecoveryReplies, g.answer(x, h.known[MemberRef{x.Group, x.Epoch, x.Member}]))
}

func (h *Host) answered(x *api.RecoveryReply) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.number != x.Member || g.asking == nil || g.asking.heard[x.Peer] {
		return
	}
	if x.Stale {
		h.drop(g)
		h.retire(MemberRef{Group: x.Group, Epoch: x.Epoch, Member: x.Member})
		return
	}
	g.learnt(x)
}

func appendNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

func readNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
