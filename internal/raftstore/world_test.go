package raftstore

import (
	"container/heap"
	cryptorand "crypto/rand"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

const (
	ms     clock.Micros = 1000
	second              = 1000 * ms
)

// world is a number of hosts on a made-up clock, network and disks. Everything in it comes from its seed.
type world struct {
	now    clock.Micros
	rng    *rand.Rand
	nodes  []*node
	queue  happenings
	order  uint64
	cut    map[[2]string]bool
	loss   float64
	delay  clock.Micros // at most, beside the usual
	mutant *mutant
	shards int
	votes  map[string]uint64 // whom a replica voted for, by group, epoch, number and term
	broken string
	killAt step // the leader that comes to it is killed; 0: none
	killed int
	calls  map[uint64]func(Response)
	next   uint64
	notes  []string
	limits *maintenance.Limits // by which machines are taken out; nil: none is
}

// node is one gateway.
type node struct {
	name     string
	zone     string
	holds    bool
	h        *Host
	up       bool
	life     int
	pause    clock.Micros // it stands still until then
	disk     Image
	written  bool // whether anything was
	pending  []Write
	saved    Image
	last     Image // what was wiped
	witness  bool  // a restart is trusted
	failing  bool
	skew     clock.Micros // of its clock
	timer    clock.Micros
	done     bool
	inbox    []func()
	startsAt uint64
	order    *maintenance.Order // as it was last told
	seen     uint64
	format   uint32 // of records, the latest that it understands; 0: the only one there is
}

// step is one of a write's, at its shard's leader.
type step int

const (
	beforeSent step = 1 + iota
	ownSynced
	beforeAnswered
	answered
	steps
)

// at tells whether a host has come to a step: by what it has heard and what it wants done, none of which is done yet.
func (s step) at(h *Host, ev Event, out []Action) bool {
	packet := func(body []byte) *api.Packet {
		p := &api.Packet{}
		proto.Unmarshal(body, p)
		return p
	}
	switch ev := ev.(type) {
	case PacketReceived:
		p := packet(ev.Body)
		for _, c := range p.Calls {
			if g := h.groups[c.Group]; s == beforeSent && c.Command != nil && g != nil && g.led {
				return true
			}
		}
	case WriteCompleted:
		if s == ownSynced {
			return slices.ContainsFunc(h.inOrder(), func(g *group) bool { return g.led && len(g.waiting) > 0 })
		}
	}
	for _, a := range out {
		if a, is := a.(Send); is && s >= beforeAnswered {
			p := packet(a.Body)
			if slices.ContainsFunc(p.Replies, func(r *api.Reply) bool { return r.Status == uint32(StatusOK) && r.Version > 0 && !r.Found }) {
				return true
			}
		}
	}
	return false
}

type happening struct {
	at    clock.Micros
	order uint64
	do    func()
}

type happenings []happening

func (q happenings) Len() int { return len(q) }
func (q happenings) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q happenings) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *happenings) Push(x any)   { *q = append(*q, x.(happening)) }
func (q *happenings) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (w *world) at(at clock.Micros, do func()) {
	w.order++
	heap.Push(&w.queue, happening{at, w.order, do})
}

func (w *world) run(span clock.Micros) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end && w.broken == "" {
		x := heap.Pop(&w.queue).(happening)
		w.now = max(w.now, x.at)
		x.do()
	}
	w.now = end
}

// until lets time pass until something holds.
func (w *world) until(what string, most clock.Micros, holds func() bool) bool {
	for end := w.now + most; w.now < end && w.broken == ""; {
		if holds() {
			return true
		}
		w.run(50 * ms)
	}
	if w.broken == "" {
		w.broken = fmt.Sprintf("not within %d s: %s; %s", most/second, what, w.show())
	}
	return false
}

// seeded is the library's source of randomness.
type seeded struct{ *rand.Rand }

func (s seeded) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(s.Uint32())
	}
	return len(b), nil
}

func newWorld(seed uint64, holders, clients, shards int, mut *mutant) *world {
	return newWorldWith(seed, holders, clients, shards, mut, nil)
}

func newWorldWith(seed uint64, holders, clients, shards int, mut *mutant, limits *maintenance.Limits) *world {
	w := &world{
		limits: limits,
		now:    second, rng: rand.New(rand.NewPCG(seed, 3)), cut: map[[2]string]bool{}, mutant: mut, shards: shards, votes: map[string]uint64{},
		calls: map[uint64]func(Response){},
	}
	cryptorand.Reader = io.Reader(seeded{rand.New(rand.NewPCG(seed, 4))})
	for i := range holders + clients {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("g", i+1), zone: fmt.Sprint("z", i%3), holds: i < holders, witness: true, skew: clock.Micros(w.rng.IntN(1000)) * second})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.do(w.nodes[0], BootstrapRequested{Shards: shards, Voters: 3, First: true})
	return w
}

const (
	testTick  = 100 * ms
	healAfter = 5 * second
)

// start begins a node's next life from what is on its disk.
func (w *world) start(n *node) {
	n.life++
	n.up, n.pause, n.pending, n.inbox, n.done, n.order, n.seen = true, 0, nil, nil, false, &maintenance.Order{}, 0
	n.startsAt += 1 + w.rng.Uint64N(1000)
	var s *StoredState
	trusted := true
	if n.written {
		s, trusted = n.disk.State(), n.witness
	}
	if w.mutant != nil && w.mutant.start != nil {
		w.mutant.start(w, n, &s, &trusted)
	}
	h, err := New(Config{
		Name: n.name, Zone: n.zone, Weight: 1, RunsGroups: n.holds, Tick: testTick, RepairAfter: healAfter, MaxRepairs: 2, MinLogBytes: 4096, MaxShardBytes: 1 << 20,
		MaxCalls: 100, ClientID: w.rng.Uint64() | 1, NewStoreID: w.rng.Uint64() | 1, NewClusterID: w.rng.Uint64() | 1, Incarnation: n.startsAt, Format: n.format, Maintenance: w.limits,
	}, w.now+n.skew, s, trusted)
	if err != nil {
		w.broken = fmt.Sprintf("%s cannot start: %v", n.name, err)
		return
	}
	n.h, n.timer = h, 0
	var others []string
	for _, o := range w.nodes {
		if o != n {
			others = append(others, o.name)
		}
	}
	w.do(n, PeersChanged{others})
}

// do hands a node an event, once it runs.
func (w *world) do(n *node, ev Event) {
	life := n.life
	step := func() {
		if !n.up || n.life != life {
			return
		}
		if w.mutant != nil && w.mutant.before != nil {
			ev = w.mutant.before(w, n, ev)
		}
		if ev != nil {
			n.h.Handle(w.now+n.skew, ev)
		}
		out := n.h.Flush()
		if w.mutant != nil && w.mutant.after != nil {
			out = append(w.mutant.after(w, n, out), n.h.Flush()...)
		}
		reached := w.killAt > 0 && w.killAt.at(n.h, ev, out)
		if !reached || w.killAt == answered {
			w.carry(n, out)
		}
		if reached {
			w.killAt, w.killed = 0, w.killed+1
			w.crash(n)
			return
		}
		w.arm(n)
	}
	if n.pause > w.now {
		w.at(n.pause, step)
		return
	}
	step()
}

// arm has the node's next timer wake it.
func (w *world) arm(n *node) {
	at := n.h.NextTick() - n.skew
	if n.timer > w.now && n.timer <= at {
		return
	}
	n.timer = max(at, w.now)
	life, due := n.life, n.timer
	w.at(due, func() {
		if n.life == life && n.up && n.timer == due {
			n.timer = 0
			w.do(n, Tick{})
		}
	})
}

func (w *world) carry(n *node, out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			w.watch(a.Body)
			w.send(n, a)
		case Write:
			w.write(n, a)
		case Response:
			if done := w.calls[a.ID]; done != nil {
				delete(w.calls, a.ID)
				done(a)
			}
		case Notice:
			w.notes = append(w.notes, fmt.Sprintf("%d.%03d %s %v %d/%d %d %s %s", w.now/second, w.now/ms%1000, n.name, a.Kind, a.Group, a.Epoch, a.Number, a.Name, a.Cause))
		case OrderChanged:
			n.order, n.seen = a.Order, a.Index
		case Drained:
			n.done = true
		}
	}
}

func (w *world) send(n *node, a Send) {
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == a.To })
	if i < 0 || w.cut[[2]string{n.name, a.To}] || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	to := w.nodes[i]
	after := 200 + clock.Micros(w.rng.Int64N(1800))
	if w.delay > 0 {
		after += clock.Micros(w.rng.Int64N(int64(w.delay)))
	}
	w.at(w.now+after, func() {
		if to.up {
			w.do(to, PacketReceived{n.name, a.Body})
		}
	})
}

// write puts a write on the disk after a while. A crash before that loses it, or not, as disks do.
func (w *world) write(n *node, x Write) {
	life := n.life
	n.pending = append(n.pending, x)
	early := w.mutant != nil && w.mutant.early
	if early {
		w.at(w.now+100, func() { w.do(n, WriteCompleted{x.Number}) })
	}
	w.at(w.now+500+clock.Micros(w.rng.Int64N(4000)), func() {
		if !n.up || n.life != life || len(n.pending) == 0 || n.pending[0].Number != x.Number {
			return
		}
		n.pending = n.pending[1:]
		if n.failing {
			w.do(n, DiskFailed{"no space is left"})
			return
		}
		if w.mutant != nil && w.mutant.disk != nil {
			x = w.mutant.disk(x)
		}
		n.disk, n.written = n.disk.Apply(x), true
		if !early {
			w.do(n, WriteCompleted{x.Number})
		}
	})
}

// crash ends a node without a word.
func (w *world) crash(n *node) {
	if !n.up {
		return
	}
	n.up = false
	if len(n.pending) > 0 && w.rng.IntN(2) == 0 && !n.failing && !(w.mutant != nil && w.mutant.early) {
		n.disk, n.written = n.disk.Apply(n.pending[0]), true
	}
	n.pending = nil
}

// wipe takes a node's disk away.
func (n *node) wipe() { n.last = n.disk; n.disk, n.written, n.failing = Image{}, false, false }

// watch holds what is sent against what may never be sent: two votes of one number in a term.
func (w *world) watch(body []byte) {
	var p api.Packet
	if proto.Unmarshal(body, &p) != nil {
		return
	}
	for _, x := range p.Raft {
		var m pb.Message
		if proto.Unmarshal(x.Message, &m) != nil || m.GetType() != pb.MsgVoteResp || m.GetReject() {
			continue
		}
		k := fmt.Sprint(x.Group, x.Epoch, m.GetFrom(), m.GetTerm())
		if last, voted := w.votes[k]; voted && last != m.GetTo() {
			w.broken = fmt.Sprintf("replica %d of group %d voted for %d and %d in term %d", m.GetFrom(), x.Group, last, m.GetTo(), m.GetTerm())
		}
		w.votes[k] = m.GetTo()
	}
}

// call begins a call at a node.
func (w *world) call(n *node, a Request, done func(Response)) {
	w.next++
	a.ID = w.next
	a.Deadline += w.now + n.skew
	w.calls[a.ID] = done
	w.do(n, a)
}

// ledger is the latest that any node that runs knows.
func (w *world) ledger() (l *api.Ledger) {
	for _, n := range w.nodes {
		if n.up && (l == nil || n.h.view.Index > l.Index) {
			l = n.h.view
		}
	}
	return l
}

// whole tells whether every group has all its copies, somebody leads it, and nothing is under way.
func (w *world) whole() bool {
	l := w.ledger()
	if l == nil || len(l.Groups) != w.shards+1 {
		return false
	}
	for id, g := range l.Groups {
		leads := 0
		for _, n := range w.nodes {
			x := (*group)(nil)
			if n.up {
				x = n.h.groups[uint32(id)]
			}
			if x == nil || x.epoch != g.Epoch {
				continue
			}
			if x.asking != nil {
				return false
			}
			if x.led {
				leads++
				if len(x.conf.Voters) != 3 || len(x.conf.VotersOutgoing)+len(x.conf.Learners) > 0 {
					return false
				}
			}
		}
		for _, r := range g.Voters {
			runs := slices.ContainsFunc(w.nodes, func(n *node) bool {
				return n.up && n.h.groups[uint32(id)] != nil && n.h.groups[uint32(id)].number == r.Id
			})
			if lostIn(l, r) || !runs {
				return false
			}
		}
		if len(g.Voters) != 3 || g.Adding != nil || leads != 1 {
			return false
		}
	}
	return true
}

func (w *world) show() string {
	l := w.ledger()
	out := fmt.Sprintf("ledger at %d:", l.GetIndex())
	for id, g := range l.GetGroups() {
		out += fmt.Sprintf(" [%d/%d", id, g.Epoch)
		for _, r := range g.Voters {
			out += fmt.Sprintf(" %d@%s", r.Id, storeIn(l, r.Store).GetName())
			if lostIn(l, r) {
				out += "!"
			}
		}
		if g.Adding != nil {
			out += fmt.Sprintf(" +%d@%s -%d", g.Adding.Id, storeIn(l, g.Adding.Store).GetName(), g.Removing)
		}
		out += "]"
	}
	if g := w.leaderOf(LedgerGroup); g != nil && w.limits != nil {
		out += fmt.Sprintf("\norder: %+v\n%v", *DecodeOrder(l.GetOrder()), g.h.upkeep.waits)
	}
	for _, n := range w.nodes {
		out += "\n " + n.name
		if !n.up {
			out += " down"
			continue
		}
		for _, g := range n.h.inOrder() {
			out += fmt.Sprintf(" %d/%d#%d", g.id, g.epoch, g.number)
			if g.led {
				out += fmt.Sprintf("L%v", g.conf.Voters)
			}
			if g.asking != nil {
				out += fmt.Sprintf("?%v", *g.asking)
			}
		}
	}
	for _, n := range w.notes[max(0, len(w.notes)-25):] {
		out += "\n  " + n
	}
	return out
}

// mutant spoils one thing about a host.
type mutant struct {
	name   string
	by     string // the one trouble that shows it; empty: any may
	early  bool   // writes are told to be on the disk before they are
	start  func(w *world, n *node, s **StoredState, trusted *bool)
	disk   func(Write) Write
	before func(w *world, n *node, ev Event) Event
	after  func(w *world, n *node, out []Action) []Action
}
