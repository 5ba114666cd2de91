package raftstore

import (
	"container/heap"
	cryptorand "crypto/rand"
	"fmt"
	"io"
	"math/bits"
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

// simulation runs hosts with a simulated clock, network and disks. It is deterministic for a given seed.
type simulation struct {
	now         clock.Micros
	rng         *rand.Rand
	gateways    []*simGateway
	events      eventQueue
	lastOrder   uint64
	partitioned map[[2]string]bool
	loss        float64
	maxDelay    clock.Micros // upper limit of a random delay that is added to the usual one
	mutant      *mutant
	shards      int
	votes       map[string]uint64 // the candidate that each member voted for, by group, epoch, member and term
	failure     string
	killAt      writeStep // the leader that reaches this step is killed; 0: none
	killed      int
	calls       map[uint64]func(Response)
	next        uint64
	notices     []string
	limits      *maintenance.Limits // limits of maintenance; nil: there is no maintenance
}

// simGateway is one simulated gateway.
type simGateway struct {
	name        string
	zone        string
	runsGroups  bool
	host        *Host
	up          bool
	starts      int
	pausedUntil clock.Micros // it handles no events until then
	disk        Image
	written     bool // the disk was written at least once
	pending     []Write
	backup      Image
	wiped       Image // the disk before wipe
	trusted     bool  // the next start trusts the disk
	failing     bool
	clockOffset clock.Micros // difference of its clock from the simulation's
	timerAt     clock.Micros
	drained     bool
	inbox       []func()
	incarnation uint64
	order       *maintenance.Order // of the last OrderChanged
	seenIndex   uint64
	format      uint32 // the latest record format that it understands; 0: LatestFormat
}

// writeStep is a step in the processing of a write on its shard's leader.
type writeStep int

const (
	beforeReplication writeStep = 1 + iota
	leaderSynced
	beforeReply
	afterReply
	writeSteps
)

// reached reports whether a host has reached a step, based on the event and the resulting actions, which are not carried out yet.
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
		if a, ok := a.(Send); ok && s >= beforeReply {
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

func (sim *simulation) schedule(at clock.Micros, do func()) {
	sim.lastOrder++
	heap.Push(&sim.events, scheduledEvent{at, sim.lastOrder, do})
}

func (sim *simulation) advance(span clock.Micros) {
	end := sim.now + span
	for len(sim.events) > 0 && sim.events[0].at <= end && sim.failure == "" {
		x := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = max(sim.now, x.at)
		x.do()
	}
	sim.now = end
}

// advanceUntil advances the time until a condition holds. If it does not hold within maxWait, the simulation has failed.
func (sim *simulation) advanceUntil(what string, maxWait clock.Micros, holds func() bool) bool {
	for end := sim.now + maxWait; sim.now < end && sim.failure == ""; {
		if holds() {
			return true
		}
		sim.advance(50 * ms)
	}
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("did not happen within %d s: %s; %s", maxWait/second, what, sim.describe())
	}
	return false
}

// seeded is a source of randomness for the Raft library that is determined by a seed.
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
	sim := &simulation{
		limits: limits,
		now:    second, rng: rand.New(rand.NewPCG(seed, 3)), partitioned: map[[2]string]bool{}, mutant: mutant, shards: shards, votes: map[string]uint64{},
		calls: map[uint64]func(Response){},
	}
	cryptorand.Reader = io.Reader(seeded{rand.New(rand.NewPCG(seed, 4))})
	for i := range stores + clients {
		sim.gateways = append(sim.gateways, &simGateway{name: fmt.Sprint("g", i+1), zone: fmt.Sprint("z", i%3), runsGroups: i < stores, trusted: true, clockOffset: clock.Micros(sim.rng.IntN(1000)) * second})
	}
	for _, n := range sim.gateways {
		sim.start(n)
	}
	sim.handle(sim.gateways[0], BootstrapRequested{Shards: shards, Voters: 3, First: true})
	return sim
}

const (
	testTick    = 100 * ms
	repairAfter = 5 * second
)

// start starts a gateway from its disk, with a higher incarnation than before.
func (sim *simulation) start(n *simGateway) {
	n.starts++
	n.up, n.pausedUntil, n.pending, n.inbox, n.drained, n.order, n.seenIndex = true, 0, nil, nil, false, &maintenance.Order{}, 0
	n.incarnation += 1 + sim.rng.Uint64N(1000)
	var s *StoredState
	trusted := true
	if n.written {
		s, trusted = n.disk.State(), n.trusted
	}
	if sim.mutant != nil && sim.mutant.start != nil {
		sim.mutant.start(sim, n, &s, &trusted)
	}
	id := sim.rng.Uint64() | 1
	config := Config{
		Name: n.name, Zone: n.zone, Weight: 1, RunsGroups: n.runsGroups, Tick: testTick, RepairAfter: repairAfter, MaxRepairs: 2, MinLogBytes: 4096, MaxShardBytes: 1 << 20,
		MaxCalls: 100, ClientID: id, FirstCallID: bits.Reverse64(id), NewStoreID: sim.rng.Uint64() | 1, NewClusterID: sim.rng.Uint64() | 1, Incarnation: n.incarnation, Format: n.format, Maintenance: sim.limits,
	}
	if sim.mutant != nil && sim.mutant.config != nil {
		sim.mutant.config(&config)
	}
	h, err := New(config, sim.now+n.clockOffset, s, trusted)
	if err != nil {
		sim.failure = fmt.Sprintf("%s cannot start: %v", n.name, err)
		return
	}
	n.host, n.timerAt = h, 0
	var others []string
	for _, o := range sim.gateways {
		if o != n {
			others = append(others, o.name)
		}
	}
	sim.handle(n, PeersChanged{others})
}

// handle passes an event to a gateway. A paused gateway gets it at the end of the pause.
func (sim *simulation) handle(n *simGateway, event Event) {
	starts := n.starts
	run := func() {
		if !n.up || n.starts != starts {
			return
		}
		if sim.mutant != nil && sim.mutant.before != nil {
			event = sim.mutant.before(sim, n, event)
		}
		if event != nil {
			n.host.Handle(sim.now+n.clockOffset, event)
		}
		out := n.host.Flush()
		if sim.mutant != nil && sim.mutant.after != nil {
			out = append(sim.mutant.after(sim, n, out), n.host.Flush()...)
		}
		reached := sim.killAt > 0 && sim.killAt.reached(n.host, event, out)
		if !reached || sim.killAt == afterReply {
			sim.carryOut(n, out)
		}
		if reached {
			sim.killAt, sim.killed = 0, sim.killed+1
			sim.crash(n)
			return
		}
		sim.armTimer(n)
	}
	if n.pausedUntil > sim.now {
		sim.schedule(n.pausedUntil, run)
		return
	}
	run()
}

// armTimer schedules the gateway's next tick.
func (sim *simulation) armTimer(n *simGateway) {
	at := n.host.NextTick() - n.clockOffset
	if n.timerAt > sim.now && n.timerAt <= at {
		return
	}
	n.timerAt = max(at, sim.now)
	starts, due := n.starts, n.timerAt
	sim.schedule(due, func() {
		if n.starts == starts && n.up && n.timerAt == due {
			n.timerAt = 0
			sim.handle(n, Tick{})
		}
	})
}

func (sim *simulation) carryOut(n *simGateway, out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			sim.checkVotes(a.Body)
			sim.send(n, a)
		case Write:
			sim.write(n, a)
		case Response:
			if done := sim.calls[a.ID]; done != nil {
				delete(sim.calls, a.ID)
				done(a)
			}
		case Notice:
			sim.notices = append(sim.notices, fmt.Sprintf("%d.%03d %s %v %d/%d %d %s %s", sim.now/second, sim.now/ms%1000, n.name, a.Kind, a.Group, a.Epoch, a.Number, a.Name, a.Cause))
		case OrderChanged:
			n.order, n.seenIndex = a.Order, a.Index
		case Drained:
			n.drained = true
		}
	}
}

func (sim *simulation) send(n *simGateway, a Send) {
	i := slices.IndexFunc(sim.gateways, func(o *simGateway) bool { return o.name == a.To })
	if i < 0 || sim.partitioned[[2]string{n.name, a.To}] || sim.loss > 0 && sim.rng.Float64() < sim.loss {
		return
	}
	to := sim.gateways[i]
	after := 200 + clock.Micros(sim.rng.Int64N(1800))
	if sim.maxDelay > 0 {
		after += clock.Micros(sim.rng.Int64N(int64(sim.maxDelay)))
	}
	sim.schedule(sim.now+after, func() {
		if to.up {
			sim.handle(to, PacketReceived{n.name, a.Body})
		}
	})
}

// write writes to the disk after a delay. A crash before that may or may not lose the write, as with a real disk.
func (sim *simulation) write(n *simGateway, x Write) {
	starts := n.starts
	n.pending = append(n.pending, x)
	early := sim.mutant != nil && sim.mutant.acknowledgesEarly
	if early {
		sim.schedule(sim.now+100, func() { sim.handle(n, WriteCompleted{x.Number}) })
	}
	sim.schedule(sim.now+500+clock.Micros(sim.rng.Int64N(4000)), func() {
		if !n.up || n.starts != starts || len(n.pending) == 0 || n.pending[0].Number != x.Number {
			return
		}
		n.pending = n.pending[1:]
		if n.failing {
			sim.handle(n, DiskFailed{"no space is left"})
			return
		}
		if sim.mutant != nil && sim.mutant.disk != nil {
			x = sim.mutant.disk(x)
		}
		n.disk, n.written = n.disk.Apply(x), true
		if !early {
			sim.handle(n, WriteCompleted{x.Number})
		}
	})
}

// crash stops a gateway without a graceful shutdown.
func (sim *simulation) crash(n *simGateway) {
	if !n.up {
		return
	}
	n.up = false
	if len(n.pending) > 0 && sim.rng.IntN(2) == 0 && !n.failing && !(sim.mutant != nil && sim.mutant.acknowledgesEarly) {
		n.disk, n.written = n.disk.Apply(n.pending[0]), true
	}
	n.pending = nil
}

// wipe empties a gateway's disk.
func (n *simGateway) wipe() { n.wiped = n.disk; n.disk, n.written, n.failing = Image{}, false, false }

// checkVotes checks that no member votes for two candidates in the same term.
func (sim *simulation) checkVotes(body []byte) {
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
		if last, voted := sim.votes[k]; voted && last != m.GetTo() {
			sim.failure = fmt.Sprintf("member %d of group %d voted for %d and %d in term %d", m.GetFrom(), x.Group, last, m.GetTo(), m.GetTerm())
		}
		sim.votes[k] = m.GetTo()
	}
}

// call makes a request on a gateway. The deadline in the request is relative to the current time.
func (sim *simulation) call(n *simGateway, a Request, done func(Response)) {
	sim.next++
	a.ID = sim.next
	a.Deadline += sim.now + n.clockOffset
	sim.calls[a.ID] = done
	sim.handle(n, a)
}

// ledger returns the latest ledger that any running gateway knows.
func (sim *simulation) ledger() (l *api.Ledger) {
	for _, n := range sim.gateways {
		if n.up && (l == nil || n.host.ledger.Index > l.Index) {
			l = n.host.ledger
		}
	}
	return l
}

// isComplete reports whether every group has all its voters and exactly one leader, and no change or recovery is in progress.
func (sim *simulation) isComplete() bool {
	l := sim.ledger()
	if l == nil || len(l.Groups) != sim.shards+1 {
		return false
	}
	for id, g := range l.Groups {
		leads := 0
		for _, n := range sim.gateways {
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
			runs := slices.ContainsFunc(sim.gateways, func(n *simGateway) bool {
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

func (sim *simulation) describe() string {
	l := sim.ledger()
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
	if g := sim.leaderOf(LedgerGroup); g != nil && sim.limits != nil {
		out += fmt.Sprintf("\norder: %+v\n%v", *DecodeOrder(l.GetOrder()), g.host.maintenance.waits)
	}
	for _, n := range sim.gateways {
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
	for _, n := range sim.notices[max(0, len(sim.notices)-25):] {
		out += "\n  " + n
	}
	return out
}

// mutant introduces one defect into the hosts.
type mutant struct {
	name              string
	fault             string // the only fault that it is run with; empty: all faults
	acknowledgesEarly bool   // writes are reported as completed before they are on the disk
	start             func(sim *simulation, n *simGateway, s **StoredState, trusted *bool)
	config            func(c *Config)
	disk              func(Write) Write
	before            func(sim *simulation, n *simGateway, ev Event) Event
	after             func(sim *simulation, n *simGateway, out []Action) []Action
}
