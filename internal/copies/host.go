package copies

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/copies"
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
	now        Micros
	store      uint64
	life       uint64
	holds      bool
	failed     string // why it holds nothing any more
	trusted    bool
	founding   uint64
	view       *api.Ledger // the latest that is known
	viewOld    bool        // it is not on the disk yet
	groups     map[uint32]*group
	retired    []Ref
	renumbered uint64 // how often
	others     []string
	peers      map[uint64]uint64 // the latest life of each disk that was heard
	known      map[Ref]entry     // how far others' replicas were heard to be
	facts      facts             // where this host leads the ledger
	upkeep     upkeep

	parts    []part // of the next write
	drops    []GroupWrite
	newStale []Ref
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

	nextTick Micros
	ticks    uint64
	leaving  bool
	leftBy   Micros
	news     map[string]uint64 // the index of the ledger that each was sent last
	foreign  uint64
	tooOld   uint64 // the store that was last turned away

	packets map[string]*api.Packet
	heavy   []Send
	out     []Action
}

// call is one of this gateway's own, under way.
type call struct {
	ask      Ask
	sequence uint64
	command  *api.Command
	target   string
	tried    Micros
	turn     int
	sent     bool
	hinted   bool
}

// localCall is one that this gateway answers itself.
type localCall struct {
	o origin
	c *api.Call
}

// New makes a host from what its disk holds. trusted says that the disk is known to be the one that was written last; without
// it each replica asks the others whether it had gone further, before it takes part.
func New(cfg Config, now Micros, s *Stored, trusted bool) (*Host, error) {
	if cfg.Format == 0 {
		cfg.Format = ThisFormat
	}
	h := &Host{
		cfg: cfg, now: now, holds: cfg.Holds, trusted: trusted, groups: map[uint32]*group{}, peers: map[uint64]uint64{},
		known: map[Ref]entry{}, calls: map[uint64]*call{}, leads: map[uint32]string{}, news: map[string]uint64{},
		packets: map[string]*api.Packet{}, nextTick: now, open: map[uint64]bool{}, doneUpTo: 1, view: &api.Ledger{},
	}
	if s == nil {
		s = &Stored{}
	}
	if h.holds {
		if h.store, h.life = s.Store, max(cfg.Life, s.Life+1); h.store == 0 {
			h.store = cfg.NewStore
		}
	}
	if len(s.View) > 0 {
		var view api.Ledger
		if err := proto.Unmarshal(s.View, &view); err != nil {
			return nil, err
		}
		h.view, h.founding = &view, view.Founding
	}
	h.retired = s.Retired
	for _, x := range s.Groups {
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
	return newShard(h.cfg.MostBytes, h.cfg.Format, epoch, anew)
}

// Next is when a Tick is due.
func (h *Host) Next() Micros { return h.nextTick }

// Handle takes in one event. What comes of it is told by Flush.
func (h *Host) Handle(now Micros, ev Event) {
	h.now = max(h.now, now)
	switch e := ev.(type) {
	case Tick:
		if h.now >= h.nextTick {
			h.tick()
		}
	case Heard:
		h.hear(e)
	case Written:
		h.written(e.Number)
	case Failed:
		h.fail(e.Cause)
	case Ask:
		h.ask(e)
	case Found:
		h.found(e)
	case Gone:
		h.gone(e.Name)
	case Anew:
		h.anew(e.Shard)
	case Others:
		h.others = e.Names
	case Members:
		h.upkeep.members = e.All
	case Own:
		h.upkeep.own = &e
	case Limits:
		h.cfg.Maintain = &e.Limits
	case Leave:
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
	p.Version, p.Founding, p.Store, p.Life, p.View = packetVersion, h.founding, h.store, h.life, h.view.Index
	if g := h.groups[LedgerGroup]; g != nil && g.asking == nil {
		p.Ledger = g.leaderName()
	}
	b, _ := proto.Marshal(p) // its names were checked when they came in
	return b
}

func (h *Host) note(n Noticed) { h.out = append(h.out, n) }

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
func (h *Host) bulk(to string, x *api.Raft) {
	h.heavy = append(h.heavy, Send{To: to, Body: h.seal(&api.Packet{Raft: []*api.Raft{x}}), Bulk: true})
}

// holder is the gateway that has a replica; empty: not known.
func (h *Host) holder(id uint32, number uint64) string {
	if number == 0 {
		return ""
	}
	if x := groupIn(h.view, id); x != nil {
		for _, r := range replicas(x) {
			if r.Number == number {
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
	w := Write{Number: h.write, Store: h.store, Life: h.life, Retired: h.newStale, Groups: h.drops, Sure: h.sure()}
	if h.viewOld || !h.begun {
		w.View, _ = proto.Marshal(h.view)
		h.viewOld = false
	}
	for _, p := range h.parts {
		if h.groups[p.g.id] != p.g {
			continue
		}
		x := GroupWrite{Group: p.g.id, Epoch: p.g.epoch, Number: p.g.number}
		if m := p.message; m != nil {
			x.Snapshot, x.Entries = m.Snapshot, m.Entries
			if m.Term != nil {
				x.Hard = &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
			}
		} else {
			x.Snapshot, x.Keep, x.Hard = p.snapshot, true, p.hard
		}
		w.Groups = append(w.Groups, x)
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
	h.note(Noticed{What: DiskLost, Cause: cause})
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
		h.reply(o, &api.Reply{Status: uint32(notLeader)})
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
	h.drops = append(h.drops, GroupWrite{Group: g.id, Epoch: g.epoch, Number: g.number, Drop: true})
	h.note(Noticed{What: Dropped, Group: g.id, Epoch: g.epoch, Number: g.number})
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
	h.out = append(h.out, Done{})
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
	if len(best) == 0 || best[0].Number == h.store {
		return
	}
	for _, r := range x.Voters {
		if r.Store == best[0].Number && g.near(r.Number) {
			g.handOver(r.Number)
		}
	}
}

// announce tells the ledger's leader, or whoever may know it, of this gateway and of the groups that it leads.
func (h *Host) announce() {
	to := h.leads[LedgerGroup]
	if g := h.groups[LedgerGroup]; g != nil && g.asking == nil {
		to = g.leaderName()
	}
	if to == h.cfg.Name {
		h.heardOf(h.store, h.life, h.ownAnnounce(), h.reports())
		h.factFrom(h.cfg.Name, h.fact())
		return
	}
	if h.ticks%(4*announceEvery) == 0 || to == "" { // who was the leader may be none any more
		to = h.turn(LedgerGroup, int(h.ticks/announceEvery))
	}
	if to == "" {
		return
	}
	p := h.packet(to)
	p.Announce, p.Reports, p.Fact = h.ownAnnounce(), h.reports(), h.fact()
}

func (h *Host) ownAnnounce() *api.Announce {
	if !h.holds {
		return nil
	}
	a := &api.Announce{Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Failed: h.failed != "", Format: h.cfg.Format}
	for i := range h.retired {
		r := &h.retired[i]
		if x := groupIn(h.view, r.Group); x != nil && x.Epoch == r.Epoch && slices.ContainsFunc(replicas(x), func(y *api.Replica) bool {
			return y.Number == r.Number && !y.Lost
		}) {
			a.Stale = append(a.Stale, &api.Ref{Group: r.Group, Epoch: r.Epoch, Number: r.Number})
		}
	}
	return a
}

func (h *Host) reports() (all []*api.Report) {
	for _, g := range h.inOrder() {
		if g.led {
			all = append(all, g.report())
		}
	}
	return all
}

// turn is one of the gateways that may know of a group, in turn: its replicas, and where none is known everybody.
func (h *Host) turn(id uint32, n int) string {
	var names []string
	if x := groupIn(h.view, id); x != nil {
		for _, r := range replicas(x) {
			if s := storeIn(h.view, r.Store); s != nil && s.Name != h.cfg.Name && !lostIn(h.view, r) {
				names = append(names, s.Name)
			}
		}
	}
	if len(names) == 0 {
		for _, s := range h.view.Stores {
			if s.Name != h.cfg.Name {
				names = append(names, s.Name)
			}
		}
		names = append(names, h.others...)
	}
	if len(names) == 0 {
		return ""
	}
	return names[n%len(names)]
}

// heardOf takes in what a holder tells the ledger's leader.
func (h *Host) heardOf(store, life uint64, a *api.Announce, reports []*api.Report) {
	g := h.groups[LedgerGroup]
	if g == nil || !g.led || g.asking != nil {
		return
	}
	for _, r := range reports {
		if last := h.facts.reports[r.Group]; last == nil || last.Epoch < r.Epoch || last.Epoch == r.Epoch && last.Term <= r.Term {
			h.facts.reports[r.Group], h.facts.told[r.Group] = r, h.now
		}
	}
	if a == nil || store == 0 || len(a.Name) == 0 || len(a.Name) > MostName {
		return
	}
	var changes []*api.Change
	known := storeIn(h.view, store)
	switch {
	case known == nil && a.Format < h.view.Format:
		if h.tooOld != store {
			h.tooOld = store
			h.note(Noticed{What: Older, Number: store, Name: a.Name})
		}
	case known == nil || !known.Gone && (known.Zone != a.Zone || known.Weight != a.Weight || known.Format != a.Format):
		changes = append(changes, &api.Change{Join: &api.Store{Number: store, Name: a.Name, Zone: a.Zone, Weight: a.Weight, Format: a.Format}})
	case known.Gone:
	case a.Failed:
		changes = append(changes, &api.Change{Gone: store})
	default:
		h.facts.heard[store], h.facts.lives[store] = h.now, life
	}
	for _, r := range a.Stale {
		changes = append(changes, &api.Change{Spoil: r})
	}
	h.change(g, changes)
}

// change proposes changes of the ledger. They are checked again where they are applied.
func (h *Host) change(g *group, changes []*api.Change) {
	if len(changes) == 0 || h.leaving {
		return
	}
	var commands []*api.Command
	for _, c := range changes {
		commands = append(commands, &api.Command{Change: c})
	}
	g.enter(commands)
}

// planLedger decides who holds what, where this host leads the ledger and all that it has decided is in it.
func (h *Host) planLedger(g *group) {
	if last, _ := g.log.LastIndex(); g.applied < last {
		return
	}
	h.facts.heard[h.store], h.facts.lives[h.store] = h.now, h.life
	h.facts.reports[LedgerGroup] = g.report()
	for _, r := range h.reports() {
		h.facts.reports[r.Group], h.facts.told[r.Group] = r, h.now
	}
	h.facts.now = h.now
	changes := planner{
		Ledger: g.sm.(*ledger).Ledger, facts: h.facts, tick: h.cfg.Tick, healAfter: h.cfg.HealAfter, healAtOnce: h.cfg.HealAtOnce,
	}.plan()
	if h.change(g, changes); len(changes) == 0 {
		h.planOrder(g)
	}
}

// found makes a store with this gateway as its first holder.
func (h *Host) found(f Found) {
	if !h.holds || h.failed != "" || h.founding != 0 || f.Shards < 1 || f.Shards > MostShards || f.Copies < 1 {
		return
	}
	l := found(&api.Found{
		Founding: h.cfg.Founding, Shards: uint32(f.Shards), Copies: uint32(f.Copies), First: f.First, Life: h.life,
		Store: &api.Store{Number: h.store, Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Format: h.cfg.Format},
	})
	h.learn(l.Ledger, true)
}

// gone takes an operator's word that a gateway's disk will not come back.
func (h *Host) gone(name string) {
	g := h.groups[LedgerGroup]
	if g == nil || !g.led {
		return
	}
	for _, s := range h.view.Stores {
		if s.Name == name && !s.Gone {
			h.change(g, []*api.Change{{Gone: s.Number}})
		}
	}
}

// anew takes an operator's word that a shard cannot go on. A group that has reported itself lately does go on.
func (h *Host) anew(shard uint32) {
	g, x := h.groups[LedgerGroup], groupIn(h.view, shard)
	if g == nil || !g.led || x == nil || shard == LedgerGroup || h.Reported(shard) {
		return
	}
	p := planner{Ledger: h.view, facts: h.facts, tick: h.cfg.Tick}
	p.now = h.now
	if all := place(shard, p.fresh(), 1); len(all) > 0 {
		h.change(g, []*api.Change{{Renew: &api.Renew{Group: shard, Epoch: x.Epoch, Store: all[0].Number, Life: h.facts.lives[all[0].Number], Word: true}}})
	}
}

// Reported tells whether a group's leader has told of it lately, where the ledger is led here.
func (h *Host) Reported(group uint32) bool {
	at, told := h.facts.told[group]
	return told && h.now-at <= freshFor*h.cfg.Tick
}

// learn takes over a later ledger, and has the replicas here be what it says.
func (h *Host) learn(l *api.Ledger, founded bool) {
	if h.founding != 0 && l.Founding != h.founding || l.Founding == 0 || l.Index <= h.view.Index {
		return
	}
	h.view, h.founding, h.viewOld = proto.Clone(l).(*api.Ledger), l.Founding, true
	h.facts.changed = h.now
	h.ordered()
	for r := range h.known { // of replicas that are no more
		if x := groupIn(l, r.Group); x == nil || x.Epoch > r.Epoch || x.Epoch == r.Epoch && r.Number < l.Next &&
			!slices.ContainsFunc(replicas(x), func(y *api.Replica) bool { return y.Number == r.Number }) {
			delete(h.known, r)
		}
	}
	h.reconcile()
	if g := h.groups[LedgerGroup]; founded || g != nil && g.led {
		for _, name := range h.everybody() {
			h.tellNews(name)
		}
	}
}

// everybody lists the other gateways that are known.
func (h *Host) everybody() []string {
	names := slices.Clone(h.others)
	for _, s := range h.view.Stores {
		if !s.Gone && s.Name != h.cfg.Name {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (h *Host) tellNews(to string) {
	if h.founding != 0 {
		h.packet(to).News = h.view
	}
}

// reconcile begins the replicas that the ledger wants here, and ends those that it does not.
func (h *Host) reconcile() {
	if !h.holds || h.failed != "" {
		return
	}
	if own := storeIn(h.view, h.store); own != nil && own.Gone {
		// It goes on as a disk that never was: nothing that was said under the old number is asked of it.
		h.dropAll()
		if h.store = h.cfg.NewStore + h.renumbered; own.Number == h.store {
			h.store++
		}
		h.renumbered++
		h.retired, h.newStale, h.begun = nil, nil, false
		h.note(Noticed{What: Renumbered, Number: h.store, Name: h.cfg.Name})
		return
	}
	for id, x := range h.view.Groups {
		var own *api.Replica
		for _, r := range replicas(x) {
			if r.Store == h.store && !r.Lost && (own == nil || r.Number > own.Number) {
				own = r
			}
		}
		g := h.groups[uint32(id)]
		if g != nil && (own == nil || g.epoch != x.Epoch || !slices.ContainsFunc(replicas(x), func(r *api.Replica) bool {
			return r.Number == g.number
		})) {
			h.drop(g)
			g = nil
		}
		if own != nil && g == nil {
			h.begin(uint32(id), x, own)
		}
	}
}

// begin begins a replica here. Only the one that an epoch began with has a state of its own; any other one is taken in by the
// group's leader. One that had begun before and is not here any more must not begin again under its number.
func (h *Host) begin(id uint32, x *api.Group, own *api.Replica) {
	ref := Ref{Group: id, Epoch: x.Epoch, Number: own.Number}
	was := func(r Ref) bool { return r.Group == id && r.Epoch == x.Epoch && r.Number == own.Number }
	if slices.ContainsFunc(h.retired, was) {
		return
	}
	if !h.trusted && own.Life != h.life {
		h.retire(ref) // it may have begun in an earlier life, which this disk does not know
		return
	}
	s := StoredGroup{Group: id, Epoch: x.Epoch, Number: own.Number}
	if own.Number == x.Origin && len(x.Voters) == 1 {
		sm := h.machine(id, x.Epoch, x.Lost > 0)
		if l, is := sm.(*ledger); is {
			l.Ledger = proto.Clone(h.view).(*api.Ledger)
		}
		s.Snapshot = snapshotAt(1, 1, &pb.ConfState{Voters: []uint64{own.Number}}, sm.snapshot())
		s.Hard = &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	} else if x.Adding == nil || x.Adding.Number != own.Number {
		h.retire(ref)
		return
	}
	g, err := h.newGroup(s, h.machine(id, x.Epoch, false))
	if err != nil {
		h.fail(err.Error())
		return
	}
	h.groups[id] = g
	h.note(Noticed{What: Taken, Group: id, Epoch: x.Epoch, Number: own.Number})
	if s.Snapshot != nil {
		h.parts = append(h.parts, part{g: g, snapshot: s.Snapshot, hard: s.Hard})
		g.writes++
		g.node.Campaign()
	} else { // the disk knows its number from the beginning
		h.parts = append(h.parts, part{g: g, message: &pb.Message{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(uint64(0))}})
		g.writes++
	}
}

// retire has a replica here never go on.
func (h *Host) retire(r Ref) {
	h.retired, h.newStale = append(h.retired, r), append(h.newStale, r)
	h.note(Noticed{What: Stale, Group: r.Group, Epoch: r.Epoch, Number: r.Number})
}

// hear takes in a packet.
func (h *Host) hear(e Heard) {
	var p api.Packet
	if proto.Unmarshal(e.Body, &p) != nil || p.Version != packetVersion {
		return
	}
	if p.Past >= h.life && h.holds { // the clock was set back since the last start
		h.life, h.begun = p.Past+1, false
	}
	if p.Store != 0 && p.Life < h.peers[p.Store] {
		h.packet(e.From).Past = h.peers[p.Store]
		return
	}
	if p.Founding != 0 && h.founding != 0 && p.Founding != h.founding {
		if h.foreign == 0 || h.ticks-h.foreign > foreignTicks {
			h.foreign = max(h.ticks, 1)
			h.note(Noticed{What: Foreign, Name: e.From})
		}
		return
	}
	if p.Store != 0 {
		h.peers[p.Store] = p.Life
	}
	if p.News != nil && p.News.Founding == p.Founding {
		h.learn(p.News, false)
	}
	if p.View < h.view.Index && h.news[e.From] != h.ticks+1 {
		h.news[e.From] = h.ticks + 1 // once a tick and peer
		h.tellNews(e.From)
	}
	for _, x := range p.Asks {
		h.asked(e.From, x)
	}
	for _, x := range p.Knowns {
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
	if p.Announce != nil && p.Announce.Name != e.From {
		p.Announce = nil // nobody speaks for another one
	}
	if p.Ledger != "" && h.groups[LedgerGroup] == nil {
		h.leads[LedgerGroup] = p.Ledger
	}
	if p.Fact != nil {
		h.factFrom(e.From, p.Fact)
	}
	if g := h.groups[LedgerGroup]; g != nil && !g.led && (p.Fact != nil || p.Announce != nil) {
		h.packet(e.From) // so that it knows who leads
	}
	if p.Announce != nil || len(p.Reports) > 0 {
		h.heardOf(p.Store, p.Life, p.Announce, p.Reports)
	}
}

func (h *Host) hearRaft(from string, all []*api.Raft) {
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
		h.remember(Ref{x.Group, x.Epoch, m.GetFrom()}, &m)
		g.heard(&m)
	}
}

// remember notes how far another replica is, by what it says itself.
func (h *Host) remember(r Ref, m *pb.Message) {
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
func (h *Host) asked(from string, x *api.Ask) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.number != x.Of {
		return
	}
	p := h.packet(from)
	p.Knowns = append(p.Knowns, g.answer(x, h.known[Ref{x.Group, x.Epoch, x.Number}]))
}

func (h *Host) answered(x *api.Known) {
	g := h.groups[x.Group]
	if g == nil || g.epoch != x.Epoch || g.number != x.Number || g.asking == nil || g.asking.heard[x.Of] {
		return
	}
	if x.Older {
		h.drop(g)
		h.retire(Ref{Group: x.Group, Epoch: x.Epoch, Number: x.Number})
		return
	}
	g.learnt(x)
}

// ask begins a call.
func (h *Host) ask(a Ask) {
	order := a.Shard == LedgerGroup && (a.Command.GetChange().GetSaid() != nil || a.Get != nil && string(a.Get.Key) == MaintainKey)
	bad := !order && (a.Command == nil && a.Get == nil || int(a.Shard) < 1)
	if a.Command != nil && !order {
		p, m := a.Command.Put, a.Command.Mark
		bad = bad || p == nil && m == nil || p != nil && (len(p.Key) == 0 || len(p.Key) > MostKey || len(p.Value) > MostValue ||
			p.Span <= 0 && !p.Remove || Micros(p.Span) > MostSpan) || m != nil && (len(m.Key) == 0 || len(m.Key) > MostKey || m.Span <= 0 || Micros(m.Span) > MostSpan)
	}
	switch {
	case bad || h.founding != 0 && int(a.Shard) >= len(h.view.Groups):
		h.out = append(h.out, Answer{ID: a.ID, Status: Bad})
		return
	case len(h.calls) >= h.cfg.MostCalls:
		h.out = append(h.out, Answer{ID: a.ID, Status: NotSent})
		return
	}
	c := &call{ask: a, command: a.Command}
	if a.Command != nil {
		h.sequence++
		c.sequence = h.sequence
		h.open[c.sequence] = true
		c.command = proto.Clone(a.Command).(*api.Command)
		c.command.Client, c.command.Sequence = h.cfg.Client, c.sequence
	}
	h.nextCall++
	h.calls[h.nextCall] = c
	h.try(h.nextCall, c, "")
}

// try sends a call to whoever leads its shard, or may know who does.
func (h *Host) try(id uint64, c *call, hint string) {
	if c.tried = h.now; h.founding == 0 {
		return
	}
	to := hint
	if to == "" {
		if g := h.groups[c.ask.Shard]; g != nil && g.leaderName() != "" {
			to = g.leaderName()
		}
	}
	if last := h.leads[c.ask.Shard]; to == "" && c.turn == 0 {
		to = last
	}
	if to == "" || to == c.target && hint == "" {
		c.turn++
		to = h.turn(c.ask.Shard, c.turn)
	}
	if to == "" {
		return
	}
	c.target, c.sent = to, true
	x := &api.Call{Id: id, Group: c.ask.Shard, Command: c.command, Get: c.ask.Get}
	if c.command != nil {
		c.command.Done = h.earliest()
	}
	if to == h.cfg.Name {
		h.local = append(h.local, localCall{origin{id: id, by: c.ask.By}, x})
		return
	}
	p := h.packet(to)
	p.Calls = append(p.Calls, x)
}

// earliest is the first sequence that this gateway still waits for.
func (h *Host) earliest() uint64 {
	for h.doneUpTo < h.sequence && !h.open[h.doneUpTo] {
		h.doneUpTo++
	}
	return h.doneUpTo
}

// serve takes in a call at a replica.
func (h *Host) serve(o origin, c *api.Call) {
	g := h.groups[c.Group]
	if g == nil {
		h.reply(o, &api.Reply{Status: uint32(notLeader)})
		return
	}
	g.call(o, c)
}

// reply sends a result to whoever asked.
func (h *Host) reply(o origin, r *api.Reply) {
	r = proto.Clone(r).(*api.Reply)
	r.Id = o.id
	if o.name == "" {
		h.replied(h.cfg.Name, r)
		return
	}
	p := h.packet(o.name)
	p.Replies = append(p.Replies, r)
}

// replied takes in the result of a call.
func (h *Host) replied(from string, r *api.Reply) {
	c := h.calls[r.Id]
	if c == nil || from != c.target {
		return
	}
	if Status(r.Status) == notLeader {
		if h.leads[c.ask.Shard] == from {
			delete(h.leads, c.ask.Shard)
		}
		if r.Leader != "" && r.Leader != from && !c.hinted {
			c.hinted = true // once; else two that are wrong could send it to and fro
			h.try(r.Id, c, r.Leader)
		} else {
			c.tried = h.now - (retryTicks-1)*h.cfg.Tick // an election takes some ticks; not all of them are to be waited for
		}
		return
	}
	h.leads[c.ask.Shard] = from
	h.over(r.Id, c)
	a := Answer{
		ID: c.ask.ID, Status: Status(r.Status), Version: r.Version, Value: r.Value, Position: r.Position, Found: r.Found, Lost: r.Lost != 0,
		Age: Micros(r.Age),
	}
	if r.Lost > 1 {
		a.Since = max(Micros(r.Time-r.Lost), 0)
	}
	h.out = append(h.out, a)
}

// over forgets a call.
func (h *Host) over(id uint64, c *call) {
	delete(h.calls, id)
	delete(h.open, c.sequence)
}

// retry looks after calls that are not answered.
func (h *Host) retry() {
	for _, id := range slices.Sorted(maps.Keys(h.calls)) {
		c := h.calls[id]
		switch {
		case h.now >= c.ask.By:
			h.over(id, c)
			status := TooLate
			if !c.sent {
				status = NotSent
			}
			h.out = append(h.out, Answer{ID: c.ask.ID, Status: status})
		case h.now-c.tried >= retryTicks*h.cfg.Tick:
			c.hinted = false
			h.try(id, c, "")
		}
	}
}

func appendNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

func readNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
