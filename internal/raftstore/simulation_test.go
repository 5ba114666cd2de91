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

// simulation runs hosts on a simulated clock, network and disks. Everything in it follows from its seed.
type simulation struct {
	now         clock.Micros
	rng         *rand.Rand
	gateways    []*simGateway
	events      eventQueue
	lastOrder   uint64
	partitioned map[[2]string]bool
	loss        float64
	maxDelay    clock.Micros // added to the usual delay, at most
	mutant      *mutant
	shards      int
	votes       map[string]uint64 // whom a member voted for, by group, epoch, member and term
	failure     string
	killAt      writeStep // the leader that reaches it is killed; 0: none
	killed      int
	calls       map[uint64]func(Response)
	next        uint64
	notices     []string
	limits      *maintenance.Limits // of maintenance; nil: there is none
}

// simGateway is one gateway.
type simGateway struct {
	name        string
	zone        string
	runsGroups  bool
	host        *Host
	up          bool
	starts      int
	pausedUntil clock.Micros // it handles no events until then
	disk        Image
	written     bool // something was written
	pending     []Write
	backup      Image
	wiped       Image // the disk before wipe
	trusted     bool  // the next start trusts the disk
	failing     bool
	clockOffset clock.Micros // of its clock, against the simulation's
	timerAt     clock.Micros
	drained     bool
	inbox       []func()
	incarnation uint64
	order       *maintenance.Order // of the last OrderChanged
	seenIndex   uint64
	format      uint32 // the latest record format that it understands; 0: LatestFormat
}

// writeStep is a step of a write at its shard's leader.
type writeStep int

const (
	beforeReplication writeStep = 1 + iota
	leaderSynced
	beforeReply
	afterReply
	writeSteps
)

// at tells whether a host has reached a step, by the event and the actions, which are not carried out yet.
func (s writeStep) reached(h *Host, ev Event, out []Action) bool {
	packet := func(body []byte) *api.Packet {
		p := &api.Packet{}
		proto.Unmarshal(body, p)
		return p
	}
	switch ev := ev.(type) {
	case PacketReceived:
		p := packet(ev.Body)
		for _, c := range p.Calls {
			if g := h.groups[c.Group]; s == beforeReplication && c.Command != nil && g != nil && g.isLeader {
				return true
			}
		}
	case WriteCompleted:
		if s == leaderSynced {
			return slices.ContainsFunc(h.sortedGroups(), func(g *group) bool { return g.isLeader && len(g.clients.waiting) > 0 })
		}
	}
	for _, a := range out {
		if a, is := a.(Send); is && s >= beforeReply {
			p := packet(a.Body)
			if slices.ContainsFunc(p.Replies, func(r *api.Reply) bool { return r.Status == uint32(StatusOK) && r.Version > 0 && !r.Found }) {
				return true
			}
		}
	}
	return false
}

type scheduledEvent struct {
	at    clock.Micros
	order uint64
	do    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (w *simulation) schedule(schedule clock.Micros, do func()) {
	w.lastOrder++
	heap.Push(&w.events, scheduledEvent{schedule, w.lastOrder, do})
}

func (w *simulation) advance(span clock.Micros) {
	end := w.now + span
	for len(w.events) > 0 && w.events[0].at <= end && w.failure == "" {
		x := heap.Pop(&w.events).(scheduledEvent)
		w.now = max(w.now, x.at)
		x.do()
	}
	w.now = end
}

// advanceUntil advances the time until a condition holds. If it does not hold in time, the simulation has failed.
func (w *simulation) advanceUntil(what string, maxWait clock.Micros, holds func() bool) bool {
	for end := w.now + maxWait; w.now < end && w.failure == ""; {
		if holds() {
			return true
		}
		w.advance(50 * ms)
	}
	if w.failure == "" {
		w.failure = fmt.Sprintf("not within %d s: %s; %s", maxWait/second, what, w.describe())
	}
	return false
}

// seeded is the Raft library's source of randomness.
type seeded struct{ *rand.Rand }

func (s seeded) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(s.Uint32())
	}
	return len(b), nil
}

func newSimulation(seed uint64, stores, clients, shards int, mutant *mutant) *simulation {
	return newSimulationWithLimits(seed, stores, clients, shards, mutant, nil)
}

func newSimulationWithLimits(seed uint64, stores, clients, shards int, mutant *mutant, limits *maintenance.Limits) *simulation {
	w := &simulation{
		limits: limits,
		now:    second, rng: rand.New(rand.NewPCG(seed, 3)), partitioned: map[[2]string]bool{}, mutant: mutant, shards: shards, votes: map[string]uint64{},
		calls: map[uint64]func(Response){},
	}
	cryptorand.Reader = io.Reader(seeded{rand.New(rand.NewPCG(seed, 4))})
	for i := range stores + clients {
		w.gateways = append(w.gateways, &simGateway{name: fmt.Sprint("g", i+1), zone: fmt.Sprint("z", i%3), runsGroups: i < stores, trusted: true, clockOffset: clock.Micros(w.rng.IntN(1000)) * second})
	}
	for _, n := range w.gateways {
		w.start(n)
	}
	w.handle(w.gateways[0], BootstrapRequested{Shards: shards, Voters: 3, First: true})
	return w
}

const (
	testTick    = 100 * ms
	repairAfter = 5 * second
)

// start starts a gateway from its disk, in its next incarnation.
func (w *simulation) start(n *simGateway) {
	n.starts++
	n.up, n.pausedUntil, n.pending, n.inbox, n.drained, n.order, n.seenIndex = true, 0, nil, nil, false, &maintenance.Order{}, 0
	n.incarnation += 1 + w.rng.Uint64N(1000)
	var s *StoredState
	trusted := true
	if n.written {
		s, trusted = n.disk.State(), n.trusted
	}
	if w.mutant != nil && w.mutant.start != nil {
		w.mutant.start(w, n, &s, &trusted)
	}
	h, err := New(Config{
		Name: n.name, Zone: n.zone, Weight: 1, RunsGroups: n.runsGroups, Tick: testTick, RepairAfter: repairAfter, MaxRepairs: 2, MinLogBytes: 4096, MaxShardBytes: 1 << 20,
		MaxCalls: 100, ClientID: w.rng.Uint64() | 1, NewStoreID: w.rng.Uint64() | 1, NewClusterID: w.rng.Uint64() | 1, Incarnation: n.incarnation, Format: n.format, Maintenance: w.limits,
	}, w.now+n.clockOffset, s, trusted)
	if err != nil {
		w.failure = fmt.Sprintf("%s cannot start: %v", n.name, err)
		return
	}
	n.host, n.timerAt = h, 0
	var others []string
	for _, o := range w.gateways {
		if o != n {
			others = append(others, o.name)
		}
	}
	w.handle(n, PeersChanged{others})
}

// handle hands a gateway an event, once it is not paused.
func (w *simulation) handle(n *simGateway, event Event) {
	starts := n.starts
	run := func() {
		if !n.up || n.starts != starts {
			return
		}
		if w.mutant != nil && w.mutant.before != nil {
			event = w.mutant.before(w, n, event)
		}
		if event != nil {
			n.host.Handle(w.now+n.clockOffset, event)
		}
		out := n.host.Flush()
		if w.mutant != nil && w.mutant.after != nil {
			out = append(w.mutant.after(w, n, out), n.host.Flush()...)
		}
		reached := w.killAt > 0 && w.killAt.reached(n.host, event, out)
		if !reached || w.killAt == afterReply {
			w.carryOut(n, out)
		}
		if reached {
			w.killAt, w.killed = 0, w.killed+1
			w.crash(n)
			return
		}
		w.armTimer(n)
	}
	if n.pausedUntil > w.now {
		w.schedule(n.pausedUntil, run)
		return
	}
	run()
}

// armTimer schedules the gateway's next tick.
func (w *simulation) armTimer(n *simGateway) {
	at := n.host.NextTick() - n.clockOffset
	if n.timerAt > w.now && n.timerAt <= at {
		return
	}
	n.timerAt = max(at, w.now)
	starts, due := n.starts, n.timerAt
	w.schedule(due, func() {
		if n.starts == starts && n.up && n.timerAt == due {
			n.timerAt = 0
			w.handle(n, Tick{})
		}
	})
}

func (w *simulation) carryOut(n *simGateway, out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			w.checkVotes(a.Body)
			w.send(n, a)
		case Write:
			w.write(n, a)
		case Response:
			if done := w.calls[a.ID]; done != nil {
				delete(w.calls, a.ID)
				done(a)
			}
		case Notice:
			w.notices = append(w.notices, fmt.Sprintf("%d.%03d %s %v %d/%d %d %s %s", w.now/second, w.now/ms%1000, n.name, a.Kind, a.Group, a.Epoch, a.Number, a.Name, a.Cause))
		case OrderChanged:
			n.order, n.seenIndex = a.Order, a.Index
		case Drained:
			n.drained = true
		}
	}
}

func (w *simulation) send(n *simGateway, a Send) {
	i := slices.IndexFunc(w.gateways, func(o *simGateway) bool { return o.name == a.To })
	if i < 0 || w.partitioned[[2]string{n.name, a.To}] || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	to := w.gateways[i]
	after := 200 + clock.Micros(w.rng.Int64N(1800))
	if w.maxDelay > 0 {
		after += clock.Micros(w.rng.Int64N(int64(w.maxDelay)))
	}
	w.schedule(w.now+after, func() {
		if to.up {
			w.handle(to, PacketReceived{n.name, a.Body})
		}
	})
}

// write writes to the disk after a while. A crash before that may lose the write or not, as with a real disk.
func (w *simulation) write(n *simGateway, x Write) {
	starts := n.starts
	n.pending = append(n.pending, x)
	early := w.mutant != nil && w.mutant.acknowledgesEarly
	if early {
		w.schedule(w.now+100, func() { w.handle(n, WriteCompleted{x.Number}) })
	}
	w.schedule(w.now+500+clock.Micros(w.rng.Int64N(4000)), func() {
		if !n.up || n.starts != starts || len(n.pending) == 0 || n.pending[0].Number != x.Number {
			return
		}
		n.pending = n.pending[1:]
		if n.failing {
			w.handle(n, DiskFailed{"no space is left"})
			return
		}
		if w.mutant != nil && w.mutant.disk != nil {
			x = w.mutant.disk(x)
		}
		n.disk, n.written = n.disk.Apply(x), true
		if !early {
			w.handle(n, WriteCompleted{x.Number})
		}
	})
}

// crash ends a gateway without a shutdown.
func (w *simulation) crash(n *simGateway) {
	if !n.up {
		return
	}
	n.up = false
	if len(n.pending) > 0 && w.rng.IntN(2) == 0 && !n.failing && !(w.mutant != nil && w.mutant.acknowledgesEarly) {
		n.disk, n.written = n.disk.Apply(n.pending[0]), true
	}
	n.pending = nil
}

// wipe empties a gateway's disk.
func (n *simGateway) wipe() { n.wiped = n.disk; n.disk, n.written, n.failing = Image{}, false, false }

// checkVotes checks that no member votes for two others in a term.
func (w *simulation) checkVotes(body []byte) {
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
			w.failure = fmt.Sprintf("member %d of group %d voted for %d and %d in term %d", m.GetFrom(), x.Group, last, m.GetTo(), m.GetTerm())
		}
		w.votes[k] = m.GetTo()
	}
}

// call makes a request at a gateway. Its deadline counts from now.
func (w *simulation) call(n *simGateway, a Request, done func(Response)) {
	w.next++
	a.ID = w.next
	a.Deadline += w.now + n.clockOffset
	w.calls[a.ID] = done
	w.handle(n, a)
}

// ledger is the latest one that any running gateway knows.
func (w *simulation) ledger() (l *api.Ledger) {
	for _, n := range w.gateways {
		if n.up && (l == nil || n.host.ledger.Index > l.Index) {
			l = n.host.ledger
		}
	}
	return l
}

// isComplete tells whether every group has all its voters and one leader, and no change or recovery is under way.
func (w *simulation) isComplete() bool {
	l := w.ledger()
	if l == nil || len(l.Groups) != w.shards+1 {
		return false
	}
	for id, g := range l.Groups {
		leads := 0
		for _, n := range w.gateways {
			x := (*group)(nil)
			if n.up {
				x = n.host.groups[uint32(id)]
			}
			if x == nil || x.epoch != g.Epoch {
				continue
			}
			if x.recovery != nil {
				return false
			}
			if x.isLeader {
				leads++
				if len(x.conf.Voters) != 3 || len(x.conf.VotersOutgoing)+len(x.conf.Learners) > 0 {
					return false
				}
			}
		}
		for _, r := range g.Voters {
			runs := slices.ContainsFunc(w.gateways, func(n *simGateway) bool {
				return n.up && n.host.groups[uint32(id)] != nil && n.host.groups[uint32(id)].member == r.Id
			})
			if memberLost(l, r) || !runs {
				return false
			}
		}
		if len(g.Voters) != 3 || g.Adding != nil || leads != 1 {
			return false
		}
	}
	return true
}

func (w *simulation) describe() string {
	l := w.ledger()
	out := fmt.Sprintf("ledger at %d:", l.GetIndex())
	for id, g := range l.GetGroups() {
		out += fmt.Sprintf(" [%d/%d", id, g.Epoch)
		for _, r := range g.Voters {
			out += fmt.Sprintf(" %d@%s", r.Id, findStore(l, r.Store).GetName())
			if memberLost(l, r) {
				out += "!"
			}
		}
		if g.Adding != nil {
			out += fmt.Sprintf(" +%d@%s -%d", g.Adding.Id, findStore(l, g.Adding.Store).GetName(), g.Removing)
		}
		out += "]"
	}
	if g := w.leaderOf(LedgerGroup); g != nil && w.limits != nil {
		out += fmt.Sprintf("\norder: %+v\n%v", *DecodeOrder(l.GetOrder()), g.host.maintenance.waits)
	}
	for _, n := range w.gateways {
		out += "\n " + n.name
		if !n.up {
			out += " down"
			continue
		}
		for _, g := range n.host.sortedGroups() {
			out += fmt.Sprintf(" %d/%d#%d", g.id, g.epoch, g.member)
			if g.isLeader {
				out += fmt.Sprintf("L%v", g.conf.Voters)
			}
			if g.recovery != nil {
				out += fmt.Sprintf("?%v", *g.recovery)
			}
		}
	}
	for _, n := range w.notices[max(0, len(w.notices)-25):] {
		out += "\n  " + n
	}
	return out
}

// mutant makes one thing about hosts wrong.
type mutant struct {
	name              string
	fault             string // the one fault that shows it; empty: any may
	acknowledgesEarly bool   // writes are reported as completed before they are
	start             func(w *simulation, n *simGateway, s **StoredState, trusted *bool)
	disk              func(Write) Write
	before            func(w *simulation, n *simGateway, ev Event) Event
	after             func(w *simulation, n *simGateway, out []Action) []Action
}
