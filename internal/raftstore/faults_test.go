package raftstore

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

var seedCount = flag.Int("seeds", 0, "number of seeds to run for each fault; 0: as many as CI runs")

// input and output describe one operation on a register.
type input struct {
	key, value  string
	read        bool
	conditional bool
	version     uint64
}

type output struct {
	Response
	unknown bool // the result is not known
}

type register struct {
	exists  bool
	value   string
	version uint64 // 0: not known
}

// registers is the porcupine model of a history of records, with one register per key.
var registers = (&porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range all {
			k := o.Input.(input).key
			keys[k] = append(keys[k], o)
		}
		var out [][]porcupine.Operation
		for _, list := range keys {
			out = append(out, list)
		}
		return out
	},
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(register), in.(input), out.(output)
		same := s.exists && (s.version == 0 || s.version == o.Version)
		next := register{true, i.value, o.Version}
		switch {
		case i.read && o.unknown:
			return []any{s}
		case i.read && o.Found:
			if same && s.value == string(o.Value) {
				return []any{register{true, s.value, o.Version}}
			}
		case i.read:
			if !s.exists {
				return []any{s}
			}
		case o.unknown:
			next.version = 0
			if i.conditional && s.exists != (i.version != 0) {
				return []any{s}
			}
			if i.conditional && s.version != i.version {
				if s.version == 0 && s.exists {
					return []any{s, next}
				}
				return []any{s}
			}
			return []any{next}
		case o.Status == StatusConflict:
			if s.exists && same && o.Version != i.version || !s.exists && o.Version == 0 && i.version != 0 {
				return []any{register{s.exists, s.value, o.Version}}
			}
		case o.Status == StatusOK:
			fits := !i.conditional || s.exists == (i.version != 0) && (s.version == i.version || s.exists && s.version == 0)
			if fits && o.Version > s.version {
				return []any{next}
			}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// workload makes callers write and read until it is stopped, and records what was acknowledged to them.
type workload struct {
	sim          *simulation
	stopped      bool
	inFlight     int
	operations   []porcupine.Operation
	versions     map[string]uint64 // last seen version, by key
	values       map[string]string // value of each key and version
	acknowledged map[string]uint64 // highest acknowledged position, by key
	maxSent      map[string]uint64 // highest position that was sent, by key
	written      map[string]bool   // keys of registers with an acknowledged write
	statuses     map[Status]int
}

func (sim *simulation) startWorkload(callers int) *workload {
	l := &workload{
		sim: sim, versions: map[string]uint64{}, values: map[string]string{}, acknowledged: map[string]uint64{}, maxSent: map[string]uint64{},
		written: map[string]bool{}, statuses: map[Status]int{},
	}
	for i := range callers {
		sim.schedule(sim.now+clock.Micros(i)*ms, func() { l.next(i) })
	}
	return l
}

// stop ends the workload and waits until all calls are answered.
func (l *workload) stop() {
	l.stopped = true
	l.sim.advanceUntil("all calls are answered", 20*second, func() bool { return l.inFlight == 0 })
}

func (l *workload) next(caller int) {
	sim := l.sim
	if l.stopped {
		return
	}
	n := sim.gateways[sim.rng.IntN(len(sim.gateways))]
	next := func() { sim.schedule(sim.now+clock.Micros(sim.rng.Int64N(int64(40*ms))), func() { l.next(caller) }) }
	if !n.up || n.pausedUntil > sim.now {
		next()
		return
	}
	l.startCall(n, caller, next)
}

// startCall makes one call.
func (l *workload) startCall(n *simGateway, caller int, next func()) {
	sim, starts := l.sim, n.starts
	l.inFlight++
	end := func(a Response) {
		l.inFlight--
		l.statuses[a.Status]++
		next()
	}
	if sim.rng.IntN(3) == 0 {
		l.callPosition(n, end)
	} else {
		l.callRegister(n, caller, end)
	}
	// When a gateway crashes, its callers are lost with it, and the results of their calls are not known.
	id := sim.next
	sim.schedule(sim.now+6*second, func() {
		if done := sim.calls[id]; done != nil {
			if n.starts == starts && n.up && n.pausedUntil < sim.now-5*second {
				sim.failure = fmt.Sprintf("%s did not answer a call in time", n.name)
			}
			delete(sim.calls, id)
			done(Response{Status: StatusDeadlineExceeded})
		}
	})
}

func (l *workload) shard(key string) uint32 { return ShardOf([]byte(key), l.sim.shards) }

func (l *workload) callPosition(n *simGateway, end func(Response)) {
	sim := l.sim
	key := fmt.Sprint("mark", sim.rng.IntN(5))
	if sim.rng.IntN(2) == 0 {
		position := l.maxSent[key] + 1 + sim.rng.Uint64N(3)
		if position > 3 && sim.rng.IntN(3) == 0 {
			position -= 3 // late, out of order
		}
		l.maxSent[key] = max(l.maxSent[key], position)
		sim.call(n, Request{Shard: l.shard(key), Deadline: 3 * second, Command: &api.Command{RaisePosition: &api.RaisePosition{
			Key: []byte(key), Position: position, Ttl: int64(3600 * second),
		}}}, func(a Response) {
			if a.Status == StatusOK {
				l.acknowledged[key] = max(l.acknowledged[key], position)
			}
			end(a)
		})
		return
	}
	acknowledged := l.acknowledged[key]
	sim.call(n, Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}, func(a Response) {
		l.checkPosition(key, acknowledged, a)
		end(a)
	})
}

// checkPosition checks a position that was read against the highest one acknowledged before the read began.
func (l *workload) checkPosition(key string, acknowledged uint64, a Response) {
	if a.Status == StatusOK && !a.Lost && (a.Found || acknowledged > 0) && (a.Position < acknowledged || a.Position > l.maxSent[key]) {
		l.sim.failure = fmt.Sprintf("%s is at %d (found: %v), acknowledged %d, sent %d", key, a.Position, a.Found, acknowledged, l.maxSent[key])
	}
}

func (l *workload) callRegister(n *simGateway, caller int, end func(Response)) {
	sim := l.sim
	key := fmt.Sprint("key", sim.rng.IntN(6))
	in := input{key: key, read: sim.rng.IntN(2) == 0}
	request := Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}
	if !in.read {
		in.value = fmt.Sprint("v", sim.next)
		put := &api.Put{Key: []byte(key), Value: []byte(in.value), Ttl: int64(3600 * second)}
		if sim.rng.IntN(2) == 0 {
			in.conditional, in.version = true, l.versions[key]
			put.Conditional, put.Version = true, in.version
		}
		request = Request{Shard: request.Shard, Deadline: request.Deadline, Command: &api.Command{Put: put}}
		if n.format > LatestFormat && sim.rng.IntN(2) == 0 {
			request.Command.Format = n.format // a format that gateways with LatestFormat do not understand
		}
	}
	started := sim.now
	sim.call(n, request, func(a Response) {
		end(a)
		if a.Lost || a.Status == StatusNotSent || a.Status == StatusFormatTooNew || a.Status == StatusFull {
			return
		}
		o := porcupine.Operation{ClientId: caller, Input: in, Call: int64(started), Output: output{Response: a}, Return: int64(sim.now)}
		if a.Status == StatusDeadlineExceeded {
			o.Output, o.Return = output{unknown: true}, math.MaxInt64
			if in.read {
				return
			}
			o.ClientId = len(l.operations) + 100 // a separate client, because the operation may still be in progress when the caller makes its next call
		}
		l.operations = append(l.operations, o)
		if a.Version > 0 && (a.Found || a.Status == StatusOK && !in.read) {
			value := in.value
			if in.read {
				value = string(a.Value)
			}
			k := fmt.Sprint(key, " ", a.Version)
			if last, known := l.values[k]; known && last != value {
				sim.failure = fmt.Sprintf("version %d of %s has two values, %s and %s", a.Version, key, last, value)
			}
			l.values[k] = value
		}
		l.written[key] = l.written[key] || a.Status == StatusOK && !in.read
		l.versions[key] = a.Version
	})
}

// lostShards returns the shards that were reset.
func (sim *simulation) lostShards() map[uint32]bool {
	out := map[uint32]bool{}
	for id, g := range sim.ledger().Groups {
		if g.Epoch > 1 {
			out[uint32(id)] = true
		}
	}
	return out
}

// checkAll checks, once all groups are complete again, that all acknowledged writes are present and that the members of each group
// have the same state.
func (l *workload) checkAll() {
	sim := l.sim
	lost := sim.lostShards()
	read := func(key string) (got Response) {
		for range 5 {
			answered := false
			sim.call(sim.gateways[sim.rng.IntN(len(sim.gateways))], Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}, func(a Response) {
				got, answered = a, true
			})
			if sim.advanceUntil("a read at the end is answered", 10*second, func() bool { return answered }); got.Status == StatusOK {
				return got
			}
		}
		sim.failure = fmt.Sprintf("the final read of %s failed: %v", key, got.Status)
		return got
	}
	for key := range l.maxSent {
		if l.checkPosition(key, l.acknowledged[key], read(key)); sim.failure != "" {
			return
		}
	}
	for key := range l.written {
		if a := read(key); !a.Found && !a.Lost && sim.failure == "" {
			sim.failure = fmt.Sprintf("a write to %s was acknowledged, but there is no record", key)
		}
	}
	var ops []porcupine.Operation
	for _, o := range l.operations {
		if !lost[l.shard(o.Input.(input).key)] {
			ops = append(ops, o)
		}
	}
	if sim.failure == "" && porcupine.CheckOperationsTimeout(registers, ops, 20*time.Second) == porcupine.Illegal {
		sim.failure = fmt.Sprintf("the history of %d operations is not linearizable", len(ops))
	}
	sim.advance(5 * second) // let the followers apply all entries
	for id, g := range sim.ledger().Groups {
		states := map[uint64]string{} // by applied index, because an entry may not be applied everywhere yet
		for _, n := range sim.gateways {
			if x := n.host.groups[uint32(id)]; x != nil && n.up && slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Id == x.member }) {
				state := string(x.sm.snapshot())
				if other, known := states[x.applied]; known && other != state && sim.failure == "" {
					sim.failure = fmt.Sprintf("members of group %d have different states at index %d: %s", id, x.applied, describeDifference(other, state))
				}
				states[x.applied] = state
			}
		}
		if len(states) > 2 && sim.failure == "" {
			sim.failure = fmt.Sprintf("members of group %d have applied up to %d different indexes", id, len(states))
		}
	}
}

// partition cuts a set of gateways off from all others: out blocks their packets to the others, in blocks the packets from the
// others.
func (sim *simulation) partition(part map[string]bool, out, in bool) {
	for _, a := range sim.gateways {
		for _, b := range sim.gateways {
			if part[a.name] && !part[b.name] {
				sim.partitioned[[2]string{a.name, b.name}] = out
				sim.partitioned[[2]string{b.name, a.name}] = in
			}
		}
	}
}

func (sim *simulation) restoreNetwork() {
	clear(sim.partitioned)
	sim.loss, sim.maxDelay = 0, 0
}

// leaderOf returns the gateway that leads a group, or nil if there is none.
func (sim *simulation) leaderOf(id uint32) *simGateway {
	for _, n := range sim.gateways {
		if n.up && n.host.groups[id] != nil && n.host.groups[id].isLeader {
			return n
		}
	}
	return nil
}

func (sim *simulation) storeGateways() (all []*simGateway) {
	for _, n := range sim.gateways {
		if n.runsGroups {
			all = append(all, n)
		}
	}
	return all
}

// minority returns a random minority of the gateways with a store.
func (sim *simulation) minority() (out []*simGateway) {
	all := sim.storeGateways()
	for _, i := range sim.rng.Perm(len(all))[:1+sim.rng.IntN((len(all)-1)/2)] {
		out = append(out, all[i])
	}
	return out
}

func (sim *simulation) randomDuration(shortest, longest clock.Micros) clock.Micros {
	return shortest + clock.Micros(sim.rng.Int64N(int64(longest-shortest)))
}

// fault is one kind of fault to inject.
type fault struct {
	name    string
	stores  int
	mayLose bool // acknowledged records may be lost, if they are reported as lost
	inject  func(sim *simulation)
}

func restart(sim *simulation, n *simGateway, away clock.Micros) {
	sim.crash(n)
	sim.advance(away)
	sim.start(n)
}

func awaitComplete(sim *simulation) {
	sim.advanceUntil("all groups are complete", 60*second, sim.isComplete)
}

var faults = []fault{
	{"no fault", 5, false, func(sim *simulation) { sim.advance(5 * second) }},
	{"crashes of one at a time", 5, false, func(sim *simulation) {
		for range 6 {
			n := sim.minority()[0]
			n.trusted = sim.rng.IntN(3) > 0
			restart(sim, n, sim.randomDuration(10*ms, 3*second))
			sim.advance(sim.randomDuration(ms, 2*second))
		}
	}},
	{"leaders killed at any moment", 5, false, func(sim *simulation) {
		for range 10 {
			if n := sim.leaderOf(uint32(sim.rng.IntN(sim.shards + 1))); n != nil {
				sim.advance(sim.randomDuration(0, 20*ms))
				restart(sim, n, sim.randomDuration(10*ms, second))
			}
			sim.advance(sim.randomDuration(ms, 500*ms))
		}
	}},
	{"gateways restart within the delay of their packets", 5, false, func(sim *simulation) {
		sim.maxDelay = 300 * ms
		for range 12 {
			n := sim.minority()[0]
			if sim.rng.IntN(2) == 0 {
				n = sim.gateways[len(sim.gateways)-1-sim.rng.IntN(2)] // one without a store
			}
			n.trusted = true
			for range 6 { // each start is shorter than the delay, so that few calls are between one start's replies and the next
				restart(sim, n, sim.randomDuration(ms, 50*ms))
				sim.advance(sim.randomDuration(20*ms, 300*ms))
			}
			sim.advance(second)
		}
		sim.maxDelay = 0
	}},
	{"the leader is killed at each step of a write", 5, false, func(sim *simulation) {
		for at := beforeReplication; at < writeSteps; at++ {
			if sim.killAt = at; !sim.advanceUntil("a leader reaches this step", 20*second, func() bool { return sim.killAt == 0 }) {
				return
			}
			sim.advance(sim.randomDuration(100*ms, 2*second))
			for _, n := range sim.gateways {
				if !n.up {
					n.trusted = sim.rng.IntN(2) == 0
					sim.start(n)
				}
			}
			awaitComplete(sim)
		}
	}},
	{"two versions of the records together", 5, false, func(sim *simulation) {
		for _, n := range sim.rng.Perm(len(sim.gateways)) { // upgrade the gateways one after the other
			sim.crash(sim.gateways[n])
			sim.gateways[n].format = LatestFormat + 1
			sim.advance(sim.randomDuration(10*ms, second))
			sim.start(sim.gateways[n])
			awaitComplete(sim)
			if sim.ledger().Format > LatestFormat && slices.ContainsFunc(sim.storeGateways(), func(n *simGateway) bool { return n.format <= LatestFormat }) {
				sim.failure = "the later format is allowed before all stores understand it"
			}
		}
		sim.advanceUntil("the later format is allowed", 20*second, func() bool { return sim.ledger().Format == LatestFormat+1 })
		sim.advance(2 * second)
		n := sim.minority()[0] // one gateway is downgraded and starts with an empty disk
		sim.crash(n)
		n.wipe()
		n.format = LatestFormat
		sim.start(n)
		sim.advance(repairAfter + 5*second)
		for _, g := range n.host.sortedGroups() {
			sim.failure = fmt.Sprintf("group %d has a member that does not understand its records", g.id)
		}
		sim.crash(n)
		n.format = LatestFormat + 1
		sim.start(n)
	}},
	{"every disk is lost, one after the other", 5, false, func(sim *simulation) {
		for _, n := range sim.storeGateways() {
			sim.crash(n)
			n.wipe()
			sim.advance(sim.randomDuration(0, 2*second))
			sim.start(n)
			awaitComplete(sim)
		}
	}},
	{"one comes back without its disk within the same second", 3, false, func(sim *simulation) {
		for range 3 {
			n := sim.minority()[0]
			sim.crash(n)
			n.wipe()
			sim.advance(20 * ms)
			sim.start(n)
			awaitComplete(sim)
		}
	}},
	{"an older copy of the disk is restored", 4, false, func(sim *simulation) {
		for range 3 {
			n := sim.storeGateways()[sim.rng.IntN(4)]
			n.backup = n.disk
			sim.advance(sim.randomDuration(100*ms, 5*second))
			sim.crash(n)
			n.disk, n.trusted = n.backup, false
			sim.advance(sim.randomDuration(0, second))
			sim.start(n)
			awaitComplete(sim)
		}
	}},
	{"an older copy is restored while another gateway is down", 3, false, func(sim *simulation) {
		n, other := sim.gateways[sim.rng.IntN(3)], (*simGateway)(nil)
		for other == nil || other == n {
			other = sim.gateways[sim.rng.IntN(3)]
		}
		n.backup = n.disk
		sim.advance(sim.randomDuration(second, 3*second))
		sim.crash(n)
		sim.crash(other)
		n.disk, n.trusted = n.backup, false
		sim.start(n)
		sim.advance(3 * second)
		sim.start(other)
	}},
	{"partitions", 5, false, func(sim *simulation) {
		for range 6 {
			part := map[string]bool{}
			for _, n := range sim.minority() {
				part[n.name] = true
			}
			which := sim.rng.IntN(3)
			sim.partition(part, which != 1, which != 2)
			sim.advance(sim.randomDuration(200*ms, 4*second))
			sim.restoreNetwork()
			sim.advance(sim.randomDuration(ms, second))
		}
	}},
	{"a leader cut off in one direction", 5, false, func(sim *simulation) {
		for range 4 {
			if n := sim.leaderOf(uint32(sim.rng.IntN(sim.shards + 1))); n != nil {
				one := sim.rng.IntN(2) == 0
				sim.partition(map[string]bool{n.name: true}, one, !one)
			}
			sim.advance(sim.randomDuration(second, 4*second))
			sim.restoreNetwork()
			sim.advance(second)
		}
	}},
	{"a leader cut off from the other stores, but not from its callers", 5, false, func(sim *simulation) {
		for range 8 {
			if n := sim.leaderOf(uint32(1 + sim.rng.IntN(sim.shards))); n != nil {
				for _, o := range sim.storeGateways() {
					sim.partitioned[[2]string{n.name, o.name}], sim.partitioned[[2]string{o.name, n.name}] = true, true
				}
			}
			sim.advance(1500 * ms)
			sim.restoreNetwork()
			sim.advance(500 * ms)
		}
	}},
	{"one is partitioned for longer than repair-after, and returns", 5, false, func(sim *simulation) {
		for range 2 {
			sim.partition(map[string]bool{sim.storeGateways()[sim.rng.IntN(5)].name: true}, true, true)
			sim.advance(repairAfter + sim.randomDuration(second, 8*second))
			sim.restoreNetwork()
			sim.advance(second)
		}
	}},
	{"a gateway is permanently lost during a partition", 6, false, func(sim *simulation) {
		part := map[string]bool{}
		for _, n := range sim.minority() {
			part[n.name] = true
		}
		sim.partition(part, true, true)
		n := sim.minority()[0]
		sim.crash(n)
		sim.advance(repairAfter + sim.randomDuration(0, 6*second))
		sim.restoreNetwork()
		sim.advance(sim.randomDuration(0, 3*second))
		n.wipe()
		sim.start(n)
	}},
	{"packet loss and delays of up to a second", 5, false, func(sim *simulation) {
		sim.loss, sim.maxDelay = 0.3, second
		sim.advance(15 * second)
		sim.restoreNetwork()
	}},
	{"pauses of 5 s", 5, false, func(sim *simulation) {
		for range 3 {
			if n := sim.leaderOf(uint32(sim.rng.IntN(sim.shards + 1))); n != nil {
				n.pausedUntil = sim.now + 5*second
			}
			sim.advance(7 * second)
		}
	}},
	{"disks that fail", 6, false, func(sim *simulation) {
		for range 2 {
			n := sim.minority()[0]
			n.failing = true
			sim.advance(10 * second)
			awaitComplete(sim)
			sim.crash(n)
			n.wipe()
			sim.start(n)
			awaitComplete(sim)
		}
	}},
	{"46 % of nine are killed", 9, true, func(sim *simulation) {
		all := sim.storeGateways()
		var dead []*simGateway
		for _, i := range sim.rng.Perm(9)[:4] {
			sim.crash(all[i])
			dead = append(dead, all[i])
		}
		sim.advance(sim.randomDuration(second, 4*second))
		for _, n := range dead {
			sim.start(n)
		}
	}},
	{"all restart at once", 5, false, func(sim *simulation) {
		for range 2 {
			trusted := sim.rng.IntN(2) == 0
			for _, n := range sim.gateways {
				sim.crash(n)
				n.trusted = trusted
			}
			sim.advance(sim.randomDuration(0, 2*second))
			for _, n := range sim.gateways {
				sim.schedule(sim.now+sim.randomDuration(0, 500*ms), func() { sim.start(n) })
			}
			sim.advance(3 * second)
		}
	}},
	{"two of a shard's three disks are lost at once", 6, true, func(sim *simulation) {
		g := sim.ledger().Groups[1+sim.rng.IntN(sim.shards)]
		var lost []*simGateway
		ledgers := 0
		for _, r := range g.Voters[:2] {
			name := findStore(sim.ledger(), r.Store).Name
			i := slices.IndexFunc(sim.gateways, func(n *simGateway) bool { return n.name == name })
			lost = append(lost, sim.gateways[i])
			if sim.gateways[i].host.groups[LedgerGroup] != nil {
				ledgers++
			}
		}
		if ledgers == 2 {
			return // the ledger would be lost, too
		}
		for _, n := range lost {
			sim.crash(n)
			n.wipe()
		}
		sim.advance(sim.randomDuration(0, 2*second))
		for _, n := range lost {
			sim.start(n)
		}
	}},
	{"a shard without a quorum is reset by an operator", 6, true, func(sim *simulation) {
		id := uint32(1 + sim.rng.IntN(sim.shards))
		requestReset := func() {
			if n := sim.leaderOf(LedgerGroup); n != nil {
				sim.handle(n, ShardReset{id})
			}
		}
		requestReset()
		sim.advance(second)
		if sim.ledger().Groups[id].Epoch != 1 {
			sim.failure = "a shard that has a quorum was reset"
			return
		}
		var away []*simGateway
		for _, r := range sim.ledger().Groups[id].Voters {
			i := slices.IndexFunc(sim.gateways, func(n *simGateway) bool { return n.name == findStore(sim.ledger(), r.Store).Name })
			if n := sim.gateways[i]; len(away) < 2 && (n.host.groups[LedgerGroup] == nil || len(away) == 0) {
				sim.crash(n)
				away = append(away, n)
			}
		}
		if len(away) < 2 {
			return // the ledger would have no quorum
		}
		sim.advanceUntil("the shard is reset", 20*second, func() bool {
			requestReset()
			return sim.ledger().Groups[id].Epoch == 2
		})
		sim.advance(sim.randomDuration(0, 2*second))
		for _, n := range away {
			sim.start(n)
		}
	}},
	{"clients whose answers are lost", 5, false, func(sim *simulation) {
		for _, n := range sim.storeGateways() {
			sim.partitioned[[2]string{n.name, sim.gateways[len(sim.gateways)-1].name}] = true
		}
		for range 10 {
			sim.loss = 0.4
			sim.advance(second)
			sim.loss = 0
			sim.advance(200 * ms)
		}
		sim.restoreNetwork()
	}},
	{"graceful restarts of all, one after the other", 5, false, func(sim *simulation) {
		for _, n := range sim.storeGateways() {
			sim.handle(n, DrainRequested{})
			sim.advanceUntil("leadership is handed over", 5*second, func() bool { return n.drained })
			restart(sim, n, sim.randomDuration(100*ms, second))
			awaitComplete(sim)
		}
	}},
	{"random combination of faults", 6, false, func(sim *simulation) {
		for range 8 {
			n := sim.minority()[0]
			switch sim.rng.IntN(6) {
			case 0:
				n.trusted = sim.rng.IntN(2) == 0
				restart(sim, n, sim.randomDuration(ms, 4*second))
			case 1:
				n.pausedUntil = sim.now + sim.randomDuration(100*ms, 5*second)
			case 2:
				sim.partition(map[string]bool{n.name: true}, sim.rng.IntN(2) == 0, sim.rng.IntN(2) == 0)
			case 3:
				sim.loss, sim.maxDelay = 0.2, sim.randomDuration(0, 500*ms)
			case 4:
				sim.restoreNetwork()
				awaitComplete(sim)
				sim.crash(n)
				n.wipe()
				sim.start(n)
				awaitComplete(sim)
			default:
				sim.restoreNetwork()
				n.clockOffset += sim.randomDuration(0, 600*second)
			}
			sim.advance(sim.randomDuration(ms, 3*second))
		}
	}},
}

// runFault runs one fault with a seed and returns a description of the failure, or "" if there was none.
func runFault(fault fault, seed uint64, mutant *mutant) (failure string, l *workload) {
	sim := newSimulation(seed, fault.stores, 2, 3, mutant)
	awaitComplete(sim)
	if sim.failure != "" {
		return sim.failure, nil
	}
	l = sim.startWorkload(6)
	sim.advance(second)
	fault.inject(sim)
	sim.restoreNetwork()
	for _, n := range sim.gateways {
		if !n.up {
			n.trusted = true
			sim.start(n)
		}
	}
	awaitComplete(sim)
	sim.advance(second)
	l.stop()
	if lost := sim.lostShards(); len(lost) > 0 && !fault.mayLose && sim.failure == "" {
		sim.failure = fmt.Sprintf("%v lost", lost)
	}
	if sim.failure == "" {
		l.checkAll()
	}
	if sim.failure != "" {
		return fmt.Sprintf("seed %d: %s", seed, sim.failure), l
	}
	return "", l
}

// knownSeeds are seeds that have found failures before. They are run in addition to the first seeds.
var knownSeeds = map[string]uint64{"the leader is killed at each step of a write": 53}

// seeds returns the seeds that a fault is run with.
func (x fault) seeds(n int) (all []uint64) {
	for seed := range uint64(n) {
		all = append(all, seed)
	}
	if seed, ok := knownSeeds[x.name]; ok {
		all = append(all, seed)
	}
	return all
}

// ciSeeds is the number of seeds that CI runs for each fault.
const ciSeeds = 8

// Whatever faults hit hosts, disks and the network, no acknowledged write is missing, histories are linearizable, no member votes
// twice in a term, and all groups are complete in the end. The faults are not run in parallel, because the Raft library has a
// single, global source of randomness.
func TestFaults(t *testing.T) {
	n := ciSeeds / raceDivisor
	if *seedCount > 0 {
		n = *seedCount
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			begin, done := time.Now(), map[Status]int{}
			for _, seed := range fault.seeds(n) {
				failure, l := runFault(fault, seed, nil)
				if failure != "" {
					t.Fatal(failure)
				}
				for s, k := range l.statuses {
					done[s] += k
				}
			}
			t.Logf("%d seeds in %v, answers: %v", n, time.Since(begin).Round(time.Millisecond), done)
			if done[StatusOK] == 0 {
				t.Error("no call succeeded")
			}
		})
	}
}

// shardsOf returns the shards on a gateway.
func shardsOf(n *simGateway) (all []*shard) {
	for _, g := range n.host.sortedGroups() {
		if s, ok := g.sm.(*shard); ok {
			all = append(all, s)
		}
	}
	return all
}

// mutateShards returns a hook that changes the shards of a host after each event.
func mutateShards(do func(n *simGateway, s *shard)) func(*simulation, *simGateway, []Action) []Action {
	return func(_ *simulation, n *simGateway, out []Action) []Action {
		for _, s := range shardsOf(n) {
			do(n, s)
		}
		return out
	}
}

// mutateGroups returns a hook that changes the members of a host after each event.
func mutateGroups(do func(n *simGateway, g *group)) func(*simulation, *simGateway, []Action) []Action {
	return func(_ *simulation, n *simGateway, out []Action) []Action {
		for _, g := range n.host.sortedGroups() {
			do(n, g)
		}
		return out
	}
}

// mutateWrites returns a hook that changes each member's part of a write.
func mutateWrites(do func(g *MemberWrite)) func(Write) Write {
	return func(w Write) Write {
		w.Members = slices.Clone(w.Members)
		for i := range w.Members {
			do(&w.Members[i])
		}
		return w
	}
}

// Each mutant introduces one defect into the hosts. Some fault must have a run that reveals it.
var mutants = []mutant{
	{name: "acknowledges writes before they are on the disk", acknowledgesEarly: true},
	{name: "call IDs are the same at every start", fault: "gateways restart within the delay of their packets", config: func(c *Config) { c.FirstCallID = 1 }},
	{name: "does not store votes and terms", fault: "crashes of one at a time", disk: mutateWrites(func(g *MemberWrite) { g.HardState = nil })},
	{name: "leaves out the last entry of a write", disk: mutateWrites(func(g *MemberWrite) {
		if n := len(g.Entries); n > 1 || n == 1 && g.HardState == nil {
			g.Entries = g.Entries[:n-1]
		}
	})},
	{name: "does not replace the first overwritten entry", disk: mutateWrites(func(g *MemberWrite) {
		if len(g.Entries) > 1 {
			g.Entries = g.Entries[1:]
		}
	})},
	{name: "an empty disk continues under the old numbers", fault: "every disk is lost, one after the other", start: func(sim *simulation, n *simGateway, s **StoredState, trusted *bool) {
		if *s == nil && n.wiped.Store != 0 {
			old := n.wiped.State()
			for i := range old.Members {
				g := &old.Members[i]
				g.Entries, g.HardState = nil, &pb.HardState{}
				if g.Snapshot != nil {
					g.HardState = &pb.HardState{Commit: new(g.Snapshot.GetMetadata().GetIndex())}
				}
			}
			*s, *trusted = old, true
		}
	}},
	{name: "an older copy of the disk is trusted", fault: "an older copy of the disk is restored", start: func(_ *simulation, _ *simGateway, _ **StoredState, trusted *bool) { *trusted = true }},
	{name: "applies a command twice", after: mutateShards(func(_ *simGateway, s *shard) { clear(s.clients) })},
	{name: "applies a late duplicate of a command", fault: "packet loss and delays of up to a second", after: mutateShards(func(_ *simGateway, s *shard) {
		for _, c := range s.clients {
			c.minPending = 0
		}
	})},
	{name: "a snapshot omits the clients' results", after: func(_ *simulation, n *simGateway, out []Action) []Action {
		for i, a := range out {
			s, ok := a.(Send)
			if !ok || !s.Bulk {
				continue
			}
			var p api.Packet
			proto.Unmarshal(s.Body, &p)
			for _, x := range p.Raft {
				var m pb.Message
				var state api.Shard
				if proto.Unmarshal(x.Message, &m) == nil && x.Group != LedgerGroup && proto.Unmarshal(m.Snapshot.Data, &state) == nil {
					state.Clients = nil
					m.Snapshot.Data, _ = proto.Marshal(&state)
					x.Message, _ = proto.Marshal(&m)
				}
			}
			s.Body, _ = proto.Marshal(&p)
			out[i] = s
		}
		return out
	}},
	{name: "reads without confirming its leadership", fault: "a leader cut off from the other stores, but not from its callers", after: mutateGroups(func(n *simGateway, g *group) {
		for no, reads := range g.clients.unconfirmed {
			for _, r := range reads {
				if s, ok := g.sm.(*shard); ok {
					n.host.reply(r.caller, s.get(r.key))
				}
			}
			delete(g.clients.unconfirmed, no)
		}
	})},
	{name: "ignores the condition of a write", before: func(_ *simulation, _ *simGateway, ev Event) Event {
		if a, ok := ev.(Request); ok && a.Command.GetPut() != nil {
			a.Command.Put.Conditional = false
		}
		return ev
	}},
	{name: "acknowledges commands that are only proposed", after: mutateGroups(func(n *simGateway, g *group) {
		for k, o := range g.clients.waiting {
			if s, ok := g.sm.(*shard); ok {
				n.host.reply(o, &api.Reply{Version: s.lastVersion + 1})
				delete(g.clients.waiting, k)
			}
		}
	})},
	{name: "expires records by each gateway's own clock", after: mutateShards(func(n *simGateway, s *shard) { s.now = max(s.now, n.host.now) })},
	{name: "the group's time is its leader's clock", fault: "pauses of 5 s", after: mutateGroups(func(n *simGateway, g *group) {
		if g.isLeader {
			g.leading.baseTime, g.leading.since = 8*n.host.now, n.host.now
		}
	})},
	{name: "does not report the loss of records", fault: "two of a shard's three disks are lost at once", after: mutateShards(func(_ *simGateway, s *shard) { s.lostAt, s.resetPending = 0, false })},
	{name: "a position may be lowered", before: func(sim *simulation, _ *simGateway, ev Event) Event {
		if a, ok := ev.(Request); ok && a.Command.GetRaisePosition() != nil && sim.rng.IntN(8) == 0 {
			a.Command.RaisePosition.Position = 0
		}
		return ev
	}},
	{name: "two writes get the same version", after: mutateShards(func(_ *simGateway, s *shard) { s.lastVersion &^= 1 })},
	{name: "a later format is used before all stores understand it", fault: "two versions of the records together", after: mutateGroups(func(n *simGateway, g *group) {
		n.host.ledger.Format = LatestFormat + 1
	})},
	{name: "claims to understand a format that it does not", fault: "two versions of the records together", after: func(_ *simulation, n *simGateway, out []Action) []Action {
		n.host.cfg.Format = LatestFormat + 1
		return out
	}},
	{name: "an entry is applied by some members only", after: mutateShards(func(n *simGateway, s *shard) {
		if n.name == "g2" {
			s.remove("key1")
		}
	})},
}

func TestMutantsAreCaught(t *testing.T) {
	if raceDivisor > 1 {
		t.Skip("the same runs are made without the race detector, which makes them many times slower")
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			for seed := range uint64(80) {
				for _, fault := range faults {
					if mutant.fault != "" && mutant.fault != fault.name {
						continue
					}
					if failure := runMutant(fault, seed, &mutant); failure != "" {
						t.Logf("caught by %q: %.160s", fault.name, failure)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}

// runMutant runs a fault with a mutant. A mutant that makes the Raft library panic counts as caught.
func runMutant(fault fault, seed uint64, mutant *mutant) (failure string) {
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Sprint("panic: ", p)
		}
	}()
	failure, _ = runFault(fault, seed, mutant)
	return failure
}

// describeDifference describes the records in which two states of a shard differ.
func describeDifference(a, b string) string {
	var x, y api.Shard
	proto.Unmarshal([]byte(a), &x)
	proto.Unmarshal([]byte(b), &y)
	x.Records, y.Records = slices.DeleteFunc(x.Records, func(r *api.Record) bool {
		return slices.ContainsFunc(y.Records, func(o *api.Record) bool { return proto.Equal(r, o) })
	}), slices.DeleteFunc(slices.Clone(y.Records), func(r *api.Record) bool {
		return slices.ContainsFunc(x.Records, func(o *api.Record) bool { return proto.Equal(r, o) })
	})
	return fmt.Sprintf("%.600v against %.600v", &x, &y)
}

// While a member is in recovery, no write may confirm the disk to the witness.
func TestRecoveringMembersWriteNoConfirmation(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		t.Run(fmt.Sprint("trusted ", trusted), func(t *testing.T) {
			sim := newSimulation(1, 3, 0, 2, nil)
			awaitComplete(sim)
			n := sim.gateways[1]
			sim.crash(n)
			n.trusted = trusted
			sim.partition(map[string]bool{n.name: true}, true, true)
			sim.start(n)
			if sim.failure != "" || len(n.pending) != 1 || n.pending[0].Recovered != trusted {
				t.Errorf("trusted: %v, %q, %+v", trusted, sim.failure, n.pending)
			}
		})
	}
}

// A member in recovery waits for the required replies and for no others. In particular, it does not wait for a member that the
// ledger has removed, because that reply may never arrive.
func TestRecoveryWaitsForTheRightMembers(t *testing.T) {
	voters := func(numbers ...uint64) (all []*api.GroupMember) {
		for _, n := range numbers {
			all = append(all, &api.GroupMember{Id: n, Store: 10 + n})
		}
		return all
	}
	reply := func(of, applied uint64, voters ...uint64) *api.RecoveryReply {
		return &api.RecoveryReply{Group: 1, Epoch: 1, Member: 1, Peer: of, Term: 3, LastTerm: 3, LastIndex: 9, Applied: applied, Voters: voters}
	}
	oldVoters := []uint64{1, 2, 3}
	confirmed := &api.Group{Epoch: 1, Voters: voters(1, 2, 4)}
	for _, c := range []struct {
		name      string
		group     *api.Group
		replies   []*api.RecoveryReply
		recovered bool
	}{
		{"all members in the ledger reply, a removed one does not", confirmed, []*api.RecoveryReply{reply(2, 5, oldVoters...), reply(4, 5, oldVoters...)}, true},
		{"a member in the ledger does not reply", confirmed, []*api.RecoveryReply{reply(2, 5, oldVoters...)}, false},
		{"a member in the ledger that is not in the known configuration does not reply", confirmed, []*api.RecoveryReply{reply(2, 5, oldVoters...), reply(3, 5, oldVoters...)}, false},
		{"the ledger has a change pending", &api.Group{Epoch: 1, Voters: voters(1, 2, 3), Adding: voters(4)[0], Removing: 3},
			[]*api.RecoveryReply{reply(2, 5, oldVoters...), reply(4, 5, oldVoters...)}, false},
		{"the ledger may have given up on a member that became a voter", &api.Group{Epoch: 1, Voters: voters(1, 2, 4), Adding: voters(6)[0], Removing: 4},
			[]*api.RecoveryReply{reply(2, 8, 1, 2, 5), reply(4, 5, oldVoters...)}, false},
		{"a reply has a later configuration than the ledger", confirmed, []*api.RecoveryReply{reply(2, 8, 1, 2, 9), reply(4, 5, oldVoters...)}, false},
		{"a reply has a later configuration, and its new voter replies", confirmed, []*api.RecoveryReply{reply(2, 8, 1, 2, 9), reply(4, 5, oldVoters...), reply(9, 8, 1, 2, 9)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ledger := &api.Ledger{ClusterId: 1, Index: 7, VotersPerGroup: 3, NextMember: 7, Groups: []*api.Group{{Epoch: 1}, c.group}}
			for n := range uint64(9) {
				ledger.Stores = append(ledger.Stores, &api.Store{Id: 11 + n, Name: fmt.Sprint("g", n+1)})
			}
			encoded, err := proto.Marshal(ledger)
			if err != nil {
				t.Fatal(err)
			}
			h, err := New(Config{Name: "g1", RunsGroups: true, Tick: testTick, MaxShardBytes: 1 << 20, ClientID: 1, NewStoreID: 99, Incarnation: 2}, second, &StoredState{
				Store: 11, Incarnation: 1, Ledger: encoded, Members: []StoredMember{{
					Group: 1, Epoch: 1, Member: 1, HardState: &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(2)), Commit: new(uint64(5))},
					Snapshot: snapshotAt(5, 3, &pb.ConfState{Voters: oldVoters}, newShard(1<<20, LatestFormat, 1, false).snapshot()),
				}},
			}, false)
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range c.replies {
				h.handleRecoveryReply(k)
			}
			if recovered := h.groups[1].recovery == nil; recovered != c.recovered {
				t.Errorf("recovered is %v", recovered)
			}
		})
	}
}
