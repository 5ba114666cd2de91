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

var seeds = flag.Int("seeds", 0, "how many seeds of each trouble are run; 0: as many as CI has time for")

// input and output are one operation on a register.
type input struct {
	key, value  string
	read        bool
	conditional bool
	version     uint64
}

type output struct {
	Response
	never bool // nothing is known of it
}

type register struct {
	there   bool
	value   string
	version uint64 // 0: not known
}

// registers is what a history of records must fit: one register for each key.
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
		same := s.there && (s.version == 0 || s.version == o.Version)
		next := register{true, i.value, o.Version}
		switch {
		case i.read && o.never:
			return []any{s}
		case i.read && o.Found:
			if same && s.value == string(o.Value) {
				return []any{register{true, s.value, o.Version}}
			}
		case i.read:
			if !s.there {
				return []any{s}
			}
		case o.never:
			next.version = 0
			if i.conditional && s.there != (i.version != 0) {
				return []any{s}
			}
			if i.conditional && s.version != i.version {
				if s.version == 0 && s.there {
					return []any{s, next}
				}
				return []any{s}
			}
			return []any{next}
		case o.Status == StatusConflict:
			if s.there && same && o.Version != i.version || !s.there && o.Version == 0 && i.version != 0 {
				return []any{register{s.there, s.value, o.Version}}
			}
		case o.Status == StatusOK:
			fits := !i.conditional || s.there == (i.version != 0) && (s.version == i.version || s.there && s.version == 0)
			if fits && o.Version > s.version {
				return []any{next}
			}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// load has callers write and read until it is stopped, and remembers what they were promised.
type load struct {
	w        *world
	stopped  bool
	under    int
	ops      []porcupine.Operation
	versions map[string]uint64 // last seen, by key
	values   map[string]string // of each key and version
	promised map[string]uint64 // marks
	tried    map[string]uint64 // the highest position that was sent
	written  map[string]bool   // registers that were promised
	done     map[Status]int
}

func (w *world) load(callers int) *load {
	l := &load{
		w: w, versions: map[string]uint64{}, values: map[string]string{}, promised: map[string]uint64{}, tried: map[string]uint64{},
		written: map[string]bool{}, done: map[Status]int{},
	}
	for i := range callers {
		w.at(w.now+clock.Micros(i)*ms, func() { l.again(i) })
	}
	return l
}

// stop waits until nothing is under way.
func (l *load) stop() {
	l.stopped = true
	l.w.until("all calls are answered", 20*second, func() bool { return l.under == 0 })
}

func (l *load) again(caller int) {
	w := l.w
	if l.stopped {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	next := func() { w.at(w.now+clock.Micros(w.rng.Int64N(int64(40*ms))), func() { l.again(caller) }) }
	if !n.up || n.pause > w.now {
		next()
		return
	}
	l.one(n, caller, next)
}

// one makes one call.
func (l *load) one(n *node, caller int, next func()) {
	w, life := l.w, n.life
	l.under++
	end := func(a Response) {
		l.under--
		l.done[a.Status]++
		next()
	}
	if w.rng.IntN(3) == 0 {
		l.mark(n, end)
	} else {
		l.register(n, caller, end)
	}
	// A gateway that ends takes its callers with it: nothing more is known of their calls.
	id := w.next
	w.at(w.now+6*second, func() {
		if done := w.calls[id]; done != nil {
			if n.life == life && n.up && n.pause < w.now-5*second {
				w.broken = fmt.Sprintf("%s has not answered a call in time", n.name)
			}
			delete(w.calls, id)
			done(Response{Status: StatusDeadlineExceeded})
		}
	})
}

func (l *load) shard(key string) uint32 { return ShardOf([]byte(key), l.w.shards) }

func (l *load) mark(n *node, end func(Response)) {
	w := l.w
	key := fmt.Sprint("mark", w.rng.IntN(5))
	if w.rng.IntN(2) == 0 {
		position := l.tried[key] + 1 + w.rng.Uint64N(3)
		if position > 3 && w.rng.IntN(3) == 0 {
			position -= 3 // late, out of order
		}
		l.tried[key] = max(l.tried[key], position)
		w.call(n, Request{Shard: l.shard(key), Deadline: 3 * second, Command: &api.Command{RaisePosition: &api.RaisePosition{
			Key: []byte(key), Position: position, Ttl: int64(3600 * second),
		}}}, func(a Response) {
			if a.Status == StatusOK {
				l.promised[key] = max(l.promised[key], position)
			}
			end(a)
		})
		return
	}
	least := l.promised[key]
	w.call(n, Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}, func(a Response) {
		l.judge(key, least, a)
		end(a)
	})
}

// judge holds what is read of a mark against what was promised before the read began.
func (l *load) judge(key string, least uint64, a Response) {
	if a.Status == StatusOK && !a.Lost && (a.Found || least > 0) && (a.Position < least || a.Position > l.tried[key]) {
		l.w.broken = fmt.Sprintf("%s is at %d (found: %v), promised %d, sent %d", key, a.Position, a.Found, least, l.tried[key])
	}
}

func (l *load) register(n *node, caller int, end func(Response)) {
	w := l.w
	key := fmt.Sprint("key", w.rng.IntN(6))
	in := input{key: key, read: w.rng.IntN(2) == 0}
	ask := Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}
	if !in.read {
		in.value = fmt.Sprint("v", w.next)
		put := &api.Put{Key: []byte(key), Value: []byte(in.value), Ttl: int64(3600 * second)}
		if w.rng.IntN(2) == 0 {
			in.conditional, in.version = true, l.versions[key]
			put.Conditional, put.Version = true, in.version
		}
		ask = Request{Shard: ask.Shard, Deadline: ask.Deadline, Command: &api.Command{Put: put}}
		if n.format > LatestFormat && w.rng.IntN(2) == 0 {
			ask.Command.Format = n.format // what an earlier version would not understand
		}
	}
	begun := w.now
	w.call(n, ask, func(a Response) {
		end(a)
		if a.Lost || a.Status == StatusNotSent || a.Status == StatusFormatTooNew || a.Status == StatusFull {
			return
		}
		o := porcupine.Operation{ClientId: caller, Input: in, Call: int64(begun), Output: output{Response: a}, Return: int64(w.now)}
		if a.Status == StatusDeadlineExceeded {
			o.Output, o.Return = output{never: true}, math.MaxInt64
			if in.read {
				return
			}
			o.ClientId = len(l.ops) + 100 // its own: it may still be under way when the caller goes on
		}
		l.ops = append(l.ops, o)
		if a.Version > 0 && (a.Found || a.Status == StatusOK && !in.read) {
			value := in.value
			if in.read {
				value = string(a.Value)
			}
			k := fmt.Sprint(key, " ", a.Version)
			if last, known := l.values[k]; known && last != value {
				w.broken = fmt.Sprintf("version %d of %s is %s and %s", a.Version, key, last, value)
			}
			l.values[k] = value
		}
		l.written[key] = l.written[key] || a.Status == StatusOK && !in.read
		l.versions[key] = a.Version
	})
}

// lostShards lists the shards that were begun anew.
func (w *world) lostShards() map[uint32]bool {
	out := map[uint32]bool{}
	for id, g := range w.ledger().Groups {
		if g.Epoch > 1 {
			out[uint32(id)] = true
		}
	}
	return out
}

// check looks, once all is well again, whether everything that was promised is there, on every replica alike.
func (l *load) check() {
	w := l.w
	lost := w.lostShards()
	read := func(key string) (got Response) {
		for range 5 {
			answered := false
			w.call(w.nodes[w.rng.IntN(len(w.nodes))], Request{Shard: l.shard(key), Deadline: 3 * second, Get: &api.Get{Key: []byte(key)}}, func(a Response) {
				got, answered = a, true
			})
			if w.until("a read at the end is answered", 10*second, func() bool { return answered }); got.Status == StatusOK {
				return got
			}
		}
		w.broken = fmt.Sprintf("%s cannot be read at the end: %v", key, got.Status)
		return got
	}
	for key := range l.tried {
		if l.judge(key, l.promised[key], read(key)); w.broken != "" {
			return
		}
	}
	for key := range l.written {
		if a := read(key); !a.Found && !a.Lost && w.broken == "" {
			w.broken = fmt.Sprintf("%s was promised and is not there", key)
		}
	}
	var ops []porcupine.Operation
	for _, o := range l.ops {
		if !lost[l.shard(o.Input.(input).key)] {
			ops = append(ops, o)
		}
	}
	if w.broken == "" && porcupine.CheckOperationsTimeout(registers, ops, 20*time.Second) == porcupine.Illegal {
		w.broken = fmt.Sprintf("no order explains the %d answers", len(ops))
	}
	w.run(5 * second) // so that followers have applied all
	for id, g := range w.ledger().Groups {
		states := map[uint64]string{} // by what is applied: an entry may just be on its way
		for _, n := range w.nodes {
			if x := n.h.groups[uint32(id)]; x != nil && n.up && slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Id == x.number }) {
				state := string(x.sm.snapshot())
				if other, known := states[x.applied]; known && other != state && w.broken == "" {
					w.broken = fmt.Sprintf("group %d has two states at %d: %s", id, x.applied, differ(other, state))
				}
				states[x.applied] = state
			}
		}
		if len(states) > 2 && w.broken == "" {
			w.broken = fmt.Sprintf("group %d is at %d different entries", id, len(states))
		}
	}
}

// split cuts a set of nodes from all others, one way or both.
func (w *world) split(part map[string]bool, out, in bool) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if part[a.name] && !part[b.name] {
				w.cut[[2]string{a.name, b.name}] = out
				w.cut[[2]string{b.name, a.name}] = in
			}
		}
	}
}

func (w *world) heal() {
	clear(w.cut)
	w.loss, w.delay = 0, 0
}

// leaderOf is the node that leads a group.
func (w *world) leaderOf(id uint32) *node {
	for _, n := range w.nodes {
		if n.up && n.h.groups[id] != nil && n.h.groups[id].led {
			return n
		}
	}
	return nil
}

func (w *world) holders() (all []*node) {
	for _, n := range w.nodes {
		if n.holds {
			all = append(all, n)
		}
	}
	return all
}

// some are a few holders, fewer than a majority.
func (w *world) some() (out []*node) {
	all := w.holders()
	for _, i := range w.rng.Perm(len(all))[:1+w.rng.IntN((len(all)-1)/2)] {
		out = append(out, all[i])
	}
	return out
}

func (w *world) span(least, most clock.Micros) clock.Micros {
	return least + clock.Micros(w.rng.Int64N(int64(most-least)))
}

// trouble is one kind of it.
type trouble struct {
	name    string
	holders int
	lossy   bool // promised records may be lost, and known to be
	do      func(w *world)
}

func restart(w *world, n *node, away clock.Micros) {
	w.crash(n)
	w.run(away)
	w.start(n)
}

func settled(w *world) { w.until("all groups are whole", 60*second, w.whole) }

var troubles = []trouble{
	{"calm", 5, false, func(w *world) { w.run(5 * second) }},
	{"crashes of one at a time", 5, false, func(w *world) {
		for range 6 {
			n := w.some()[0]
			n.witness = w.rng.IntN(3) > 0
			restart(w, n, w.span(10*ms, 3*second))
			w.run(w.span(ms, 2*second))
		}
	}},
	{"leaders killed at any moment", 5, false, func(w *world) {
		for range 10 {
			if n := w.leaderOf(uint32(w.rng.IntN(w.shards + 1))); n != nil {
				w.run(w.span(0, 20*ms))
				restart(w, n, w.span(10*ms, second))
			}
			w.run(w.span(ms, 500*ms))
		}
	}},
	{"the leader is killed at each step of a write", 5, false, func(w *world) {
		for at := beforeSent; at < steps; at++ {
			if w.killAt = at; !w.until("a leader comes to that step", 20*second, func() bool { return w.killAt == 0 }) {
				return
			}
			w.run(w.span(100*ms, 2*second))
			for _, n := range w.nodes {
				if !n.up {
					n.witness = w.rng.IntN(2) == 0
					w.start(n)
				}
			}
			settled(w)
		}
	}},
	{"two versions of the records together", 5, false, func(w *world) {
		for _, n := range w.rng.Perm(len(w.nodes)) { // one after the other is given the later one
			w.crash(w.nodes[n])
			w.nodes[n].format = LatestFormat + 1
			w.run(w.span(10*ms, second))
			w.start(w.nodes[n])
			settled(w)
			if w.ledger().Format > LatestFormat && slices.ContainsFunc(w.holders(), func(n *node) bool { return n.format <= LatestFormat }) {
				w.broken = "the later format is allowed before all holders understand it"
			}
		}
		w.until("the later format is allowed", 20*second, func() bool { return w.ledger().Format == LatestFormat+1 })
		w.run(2 * second)
		n := w.some()[0] // one is put back to the earlier version, with an empty disk
		w.crash(n)
		n.wipe()
		n.format = LatestFormat
		w.start(n)
		w.run(healAfter + 5*second)
		for _, g := range n.h.inOrder() {
			w.broken = fmt.Sprintf("group %d is held by one that does not understand its records", g.id)
		}
		w.crash(n)
		n.format = LatestFormat + 1
		w.start(n)
	}},
	{"every disk is lost, one after the other", 5, false, func(w *world) {
		for _, n := range w.holders() {
			w.crash(n)
			n.wipe()
			w.run(w.span(0, 2*second))
			w.start(n)
			settled(w)
		}
	}},
	{"one comes back without its disk within the same second", 3, false, func(w *world) {
		for range 3 {
			n := w.some()[0]
			w.crash(n)
			n.wipe()
			w.run(20 * ms)
			w.start(n)
			settled(w)
		}
	}},
	{"a copy of the disk is put back", 4, false, func(w *world) {
		for range 3 {
			n := w.holders()[w.rng.IntN(4)]
			n.saved = n.disk
			w.run(w.span(100*ms, 5*second))
			w.crash(n)
			n.disk, n.witness = n.saved, false
			w.run(w.span(0, second))
			w.start(n)
			settled(w)
		}
	}},
	{"a copy is put back while another one is away", 3, false, func(w *world) {
		n, other := w.nodes[w.rng.IntN(3)], (*node)(nil)
		for other == nil || other == n {
			other = w.nodes[w.rng.IntN(3)]
		}
		n.saved = n.disk
		w.run(w.span(second, 3*second))
		w.crash(n)
		w.crash(other)
		n.disk, n.witness = n.saved, false
		w.start(n)
		w.run(3 * second)
		w.start(other)
	}},
	{"cuts", 5, false, func(w *world) {
		for range 6 {
			part := map[string]bool{}
			for _, n := range w.some() {
				part[n.name] = true
			}
			which := w.rng.IntN(3)
			w.split(part, which != 1, which != 2)
			w.run(w.span(200*ms, 4*second))
			w.heal()
			w.run(w.span(ms, second))
		}
	}},
	{"a leader that is heard by nobody, or hears nobody", 5, false, func(w *world) {
		for range 4 {
			if n := w.leaderOf(uint32(w.rng.IntN(w.shards + 1))); n != nil {
				one := w.rng.IntN(2) == 0
				w.split(map[string]bool{n.name: true}, one, !one)
			}
			w.run(w.span(second, 4*second))
			w.heal()
			w.run(second)
		}
	}},
	{"a leader that its callers reach, and no other holder does", 5, false, func(w *world) {
		for range 8 {
			if n := w.leaderOf(uint32(1 + w.rng.IntN(w.shards))); n != nil {
				for _, o := range w.holders() {
					w.cut[[2]string{n.name, o.name}], w.cut[[2]string{o.name, n.name}] = true, true
				}
			}
			w.run(1500 * ms)
			w.heal()
			w.run(500 * ms)
		}
	}},
	{"one is cut off for longer than heal-after, and returns", 5, false, func(w *world) {
		for range 2 {
			w.split(map[string]bool{w.holders()[w.rng.IntN(5)].name: true}, true, true)
			w.run(healAfter + w.span(second, 8*second))
			w.heal()
			w.run(second)
		}
	}},
	{"one dies for good during a partition", 6, false, func(w *world) {
		part := map[string]bool{}
		for _, n := range w.some() {
			part[n.name] = true
		}
		w.split(part, true, true)
		n := w.some()[0]
		w.crash(n)
		w.run(healAfter + w.span(0, 6*second))
		w.heal()
		w.run(w.span(0, 3*second))
		n.wipe()
		w.start(n)
	}},
	{"losses and delay of a second", 5, false, func(w *world) {
		w.loss, w.delay = 0.3, second
		w.run(15 * second)
		w.heal()
	}},
	{"pauses of 5 s", 5, false, func(w *world) {
		for range 3 {
			if n := w.leaderOf(uint32(w.rng.IntN(w.shards + 1))); n != nil {
				n.pause = w.now + 5*second
			}
			w.run(7 * second)
		}
	}},
	{"disks that fail", 6, false, func(w *world) {
		for range 2 {
			n := w.some()[0]
			n.failing = true
			w.run(10 * second)
			settled(w)
			w.crash(n)
			n.wipe()
			w.start(n)
			settled(w)
		}
	}},
	{"46 % of nine are killed", 9, true, func(w *world) {
		all := w.holders()
		var dead []*node
		for _, i := range w.rng.Perm(9)[:4] {
			w.crash(all[i])
			dead = append(dead, all[i])
		}
		w.run(w.span(second, 4*second))
		for _, n := range dead {
			w.start(n)
		}
	}},
	{"all restart at once", 5, false, func(w *world) {
		for range 2 {
			trusted := w.rng.IntN(2) == 0
			for _, n := range w.nodes {
				w.crash(n)
				n.witness = trusted
			}
			w.run(w.span(0, 2*second))
			for _, n := range w.nodes {
				w.at(w.now+w.span(0, 500*ms), func() { w.start(n) })
			}
			w.run(3 * second)
		}
	}},
	{"two of a shard's three disks are lost at once", 6, true, func(w *world) {
		g := w.ledger().Groups[1+w.rng.IntN(w.shards)]
		var lost []*node
		ledgers := 0
		for _, r := range g.Voters[:2] {
			name := storeIn(w.ledger(), r.Store).Name
			i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
			lost = append(lost, w.nodes[i])
			if w.nodes[i].h.groups[LedgerGroup] != nil {
				ledgers++
			}
		}
		if ledgers == 2 {
			return // the ledger would be lost with it
		}
		for _, n := range lost {
			w.crash(n)
			n.wipe()
		}
		w.run(w.span(0, 2*second))
		for _, n := range lost {
			w.start(n)
		}
	}},
	{"a shard that cannot go on is begun anew by an operator's word", 6, true, func(w *world) {
		id := uint32(1 + w.rng.IntN(w.shards))
		say := func() {
			if n := w.leaderOf(LedgerGroup); n != nil {
				w.do(n, ShardReset{id})
			}
		}
		say()
		w.run(second)
		if w.ledger().Groups[id].Epoch != 1 {
			w.broken = "a shard that goes on was begun anew"
			return
		}
		var away []*node
		for _, r := range w.ledger().Groups[id].Voters {
			i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == storeIn(w.ledger(), r.Store).Name })
			if n := w.nodes[i]; len(away) < 2 && (n.h.groups[LedgerGroup] == nil || len(away) == 0) {
				w.crash(n)
				away = append(away, n)
			}
		}
		if len(away) < 2 {
			return // the ledger would stand still with it
		}
		w.until("the shard is begun anew", 20*second, func() bool {
			say()
			return w.ledger().Groups[id].Epoch == 2
		})
		w.run(w.span(0, 2*second))
		for _, n := range away {
			w.start(n)
		}
	}},
	{"clients whose answers are lost", 5, false, func(w *world) {
		for _, n := range w.holders() {
			w.cut[[2]string{n.name, w.nodes[len(w.nodes)-1].name}] = true
		}
		for range 10 {
			w.loss = 0.4
			w.run(second)
			w.loss = 0
			w.run(200 * ms)
		}
		w.heal()
	}},
	{"orderly restarts of all, one after the other", 5, false, func(w *world) {
		for _, n := range w.holders() {
			w.do(n, DrainRequested{})
			w.until("leadership is handed over", 5*second, func() bool { return n.done })
			restart(w, n, w.span(100*ms, second))
			settled(w)
		}
	}},
	{"everything", 6, false, func(w *world) {
		for range 8 {
			n := w.some()[0]
			switch w.rng.IntN(6) {
			case 0:
				n.witness = w.rng.IntN(2) == 0
				restart(w, n, w.span(ms, 4*second))
			case 1:
				n.pause = w.now + w.span(100*ms, 5*second)
			case 2:
				w.split(map[string]bool{n.name: true}, w.rng.IntN(2) == 0, w.rng.IntN(2) == 0)
			case 3:
				w.loss, w.delay = 0.2, w.span(0, 500*ms)
			case 4:
				w.heal()
				settled(w)
				w.crash(n)
				n.wipe()
				w.start(n)
				settled(w)
			default:
				w.heal()
				n.skew += w.span(0, 600*second)
			}
			w.run(w.span(ms, 3*second))
		}
	}},
}

// play runs one trouble from a seed, and tells what was broken.
func play(x trouble, seed uint64, mut *mutant) (broken string, l *load) {
	w := newWorld(seed, x.holders, 2, 3, mut)
	settled(w)
	if w.broken != "" {
		return w.broken, nil
	}
	l = w.load(6)
	w.run(second)
	x.do(w)
	w.heal()
	for _, n := range w.nodes {
		if !n.up {
			n.witness = true
			w.start(n)
		}
	}
	settled(w)
	w.run(second)
	l.stop()
	if lost := w.lostShards(); len(lost) > 0 && !x.lossy && w.broken == "" {
		w.broken = fmt.Sprintf("%v lost", lost)
	}
	if w.broken == "" {
		l.check()
	}
	if w.broken != "" {
		return fmt.Sprintf("seed %d: %s", seed, w.broken), l
	}
	return "", l
}

// known are seeds that have found something, beside the first ones.
var known = map[string]uint64{"the leader is killed at each step of a write": 53}

// seeds are the ones that a trouble is run with.
func (x trouble) seeds(n int) (all []uint64) {
	for seed := range uint64(n) {
		all = append(all, seed)
	}
	if seed, is := known[x.name]; is {
		all = append(all, seed)
	}
	return all
}

// ciSeeds is how many seeds of each trouble CI runs.
const ciSeeds = 8

// Whatever happens to hosts, disks and network: nothing that was promised is missing, histories are linearizable, no number
// votes twice in a term, and all is whole again in the end. One after the other, for the library's source of randomness is one.
func TestTroubles(t *testing.T) {
	n := ciSeeds / fewer
	if *seeds > 0 {
		n = *seeds
	}
	for _, x := range troubles {
		t.Run(x.name, func(t *testing.T) {
			begin, done := time.Now(), map[Status]int{}
			for _, seed := range x.seeds(n) {
				broken, l := play(x, seed, nil)
				if broken != "" {
					t.Fatal(broken)
				}
				for s, k := range l.done {
					done[s] += k
				}
			}
			t.Logf("%d seeds in %v, answers: %v", n, time.Since(begin).Round(time.Millisecond), done)
			if done[StatusOK] == 0 {
				t.Error("nothing was served")
			}
		})
	}
}

// shardsOf are a host's shards.
func shardsOf(n *node) (all []*shard) {
	for _, g := range n.h.inOrder() {
		if s, is := g.sm.(*shard); is {
			all = append(all, s)
		}
	}
	return all
}

// everyShard spoils the shards of a host after each event.
func everyShard(do func(n *node, s *shard)) func(*world, *node, []Action) []Action {
	return func(_ *world, n *node, out []Action) []Action {
		for _, s := range shardsOf(n) {
			do(n, s)
		}
		return out
	}
}

// everyGroup spoils the replicas of a host after each event.
func everyGroup(do func(n *node, g *group)) func(*world, *node, []Action) []Action {
	return func(_ *world, n *node, out []Action) []Action {
		for _, g := range n.h.inOrder() {
			do(n, g)
		}
		return out
	}
}

// writes spoils what is written.
func writes(do func(g *MemberWrite)) func(Write) Write {
	return func(w Write) Write {
		w.Members = slices.Clone(w.Members)
		for i := range w.Members {
			do(&w.Members[i])
		}
		return w
	}
}

// Each of these hosts is wrong in one point. The troubles must find a run that shows it.
var mutants = []mutant{
	{name: "acknowledges before the disk has it", early: true},
	{name: "keeps no votes and terms", by: "crashes of one at a time", disk: writes(func(g *MemberWrite) { g.HardState = nil })},
	{name: "leaves out the last entry of a write", disk: writes(func(g *MemberWrite) {
		if n := len(g.Entries); n > 1 || n == 1 && g.HardState == nil {
			g.Entries = g.Entries[:n-1]
		}
	})},
	{name: "does not cut off what was overwritten", disk: writes(func(g *MemberWrite) {
		if len(g.Entries) > 1 {
			g.Entries = g.Entries[1:]
		}
	})},
	{name: "an empty disk goes on under the old numbers", by: "every disk is lost, one after the other", start: func(w *world, n *node, s **StoredState, trusted *bool) {
		if *s == nil && n.last.Store != 0 {
			old := n.last.State()
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
	{name: "an older copy of the disk is trusted", by: "a copy of the disk is put back", start: func(_ *world, _ *node, _ **StoredState, trusted *bool) { *trusted = true }},
	{name: "carries a call out twice", after: everyShard(func(_ *node, s *shard) { clear(s.clients) })},
	{name: "carries a late copy of a call out", by: "losses and delay of a second", after: everyShard(func(_ *node, s *shard) {
		for _, c := range s.clients {
			c.done = 0
		}
	})},
	{name: "a snapshot forgets the callers", after: func(_ *world, n *node, out []Action) []Action {
		for i, a := range out {
			s, is := a.(Send)
			if !is || !s.Bulk {
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
	{name: "reads without asking whether it still leads", by: "a leader that its callers reach, and no other holder does", after: everyGroup(func(n *node, g *group) {
		for no, reads := range g.asked {
			for _, r := range reads {
				if s, is := g.sm.(*shard); is {
					n.h.reply(r.origin, s.get(r.key))
				}
			}
			delete(g.asked, no)
		}
	})},
	{name: "does not look at the condition", before: func(_ *world, _ *node, ev Event) Event {
		if a, is := ev.(Request); is && a.Command.GetPut() != nil {
			a.Command.Put.Conditional = false
		}
		return ev
	}},
	{name: "promises what is only proposed", after: everyGroup(func(n *node, g *group) {
		for k, o := range g.waiting {
			if s, is := g.sm.(*shard); is {
				n.h.reply(o, &api.Reply{Version: s.writes + 1})
				delete(g.waiting, k)
			}
		}
	})},
	{name: "records end by each one's own clock", after: everyShard(func(n *node, s *shard) { s.now = max(s.now, n.h.now) })},
	{name: "the group's time is its leader's clock", by: "pauses of 5 s", after: everyGroup(func(n *node, g *group) {
		if g.led {
			g.base, g.ledAt = 8*n.h.now, n.h.now
		}
	})},
	{name: "what was lost was never there", by: "two of a shard's three disks are lost at once", after: everyShard(func(_ *node, s *shard) { s.lost, s.anew = 0, false })},
	{name: "a mark may fall", before: func(w *world, _ *node, ev Event) Event {
		if a, is := ev.(Request); is && a.Command.GetRaisePosition() != nil && w.rng.IntN(8) == 0 {
			a.Command.RaisePosition.Position = 0
		}
		return ev
	}},
	{name: "two writes have one version", after: everyShard(func(_ *node, s *shard) { s.writes &^= 1 })},
	{name: "a later format is used before all understand it", by: "two versions of the records together", after: everyGroup(func(n *node, g *group) {
		n.h.view.Format = LatestFormat + 1
	})},
	{name: "claims to understand what it does not", by: "two versions of the records together", after: func(_ *world, n *node, out []Action) []Action {
		n.h.cfg.Format = LatestFormat + 1
		return out
	}},
	{name: "an entry is applied by some only", after: everyShard(func(n *node, s *shard) {
		if n.name == "g2" {
			s.remove("key1")
		}
	})},
}

func TestMutantsAreCaught(t *testing.T) {
	if fewer > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			for seed := range uint64(80) {
				for _, x := range troubles {
					if mut.by != "" && mut.by != x.name {
						continue
					}
					if broken := caught(x, seed, &mut); broken != "" {
						t.Logf("caught by %q: %.160s", x.name, broken)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}

// caught plays with a mutant; one that makes the library panic is caught, too.
func caught(x trouble, seed uint64, mut *mutant) (broken string) {
	defer func() {
		if p := recover(); p != nil {
			broken = fmt.Sprint("panic: ", p)
		}
	}()
	broken, _ = play(x, seed, mut)
	return broken
}

// differ shows where two states of a shard differ.
func differ(a, b string) string {
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

// As long as a replica asks whether its disk is the one that it was, no write says that it is.
func TestUnsureWrites(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		w := newWorld(1, 3, 0, 2, nil)
		settled(w)
		n := w.nodes[1]
		w.crash(n)
		n.witness = trusted
		w.split(map[string]bool{n.name: true}, true, true)
		w.start(n)
		if w.broken != "" || len(n.pending) != 1 || n.pending[0].Recovered != trusted {
			t.Errorf("trusted: %v, %q, %+v", trusted, w.broken, n.pending)
		}
	}
}

// A replica that has started waits for whom it needs, and for nobody else: not for one that the ledger has taken out, which may
// be gone for good and never answer.
func TestWhoIsWaitedFor(t *testing.T) {
	voters := func(numbers ...uint64) (all []*api.GroupMember) {
		for _, n := range numbers {
			all = append(all, &api.GroupMember{Id: n, Store: 10 + n})
		}
		return all
	}
	known := func(of, applied uint64, voters ...uint64) *api.RecoveryReply {
		return &api.RecoveryReply{Group: 1, Epoch: 1, Member: 1, Peer: of, Term: 3, LastTerm: 3, LastIndex: 9, Applied: applied, Voters: voters}
	}
	old := []uint64{1, 2, 3}
	settled := &api.Group{Epoch: 1, Voters: voters(1, 2, 4)}
	for _, c := range []struct {
		name  string
		group *api.Group
		heard []*api.RecoveryReply
		sure  bool
	}{
		{"all that the ledger names, one that it took out not", settled, []*api.RecoveryReply{known(2, 5, old...), known(4, 5, old...)}, true},
		{"one that the ledger names is missing", settled, []*api.RecoveryReply{known(2, 5, old...)}, false},
		{"one that the ledger names is missing, and was not in the configuration", settled, []*api.RecoveryReply{known(2, 5, old...), known(3, 5, old...)}, false},
		{"the ledger has not settled it", &api.Group{Epoch: 1, Voters: voters(1, 2, 3), Adding: voters(4)[0], Removing: 3},
			[]*api.RecoveryReply{known(2, 5, old...), known(4, 5, old...)}, false},
		{"the ledger may have given up on a voter", &api.Group{Epoch: 1, Voters: voters(1, 2, 4), Adding: voters(6)[0], Removing: 4},
			[]*api.RecoveryReply{known(2, 8, 1, 2, 5), known(4, 5, old...)}, false},
		{"a later configuration than the ledger has", settled, []*api.RecoveryReply{known(2, 8, 1, 2, 9), known(4, 5, old...)}, false},
		{"a later one, and its voter", settled, []*api.RecoveryReply{known(2, 8, 1, 2, 9), known(4, 5, old...), known(9, 8, 1, 2, 9)}, true},
	} {
		l := &api.Ledger{ClusterId: 1, Index: 7, VotersPerGroup: 3, NextMember: 7, Groups: []*api.Group{{Epoch: 1}, c.group}}
		for n := range uint64(9) {
			l.Stores = append(l.Stores, &api.Store{Id: 11 + n, Name: fmt.Sprint("g", n+1)})
		}
		view, err := proto.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		h, err := New(Config{Name: "g1", RunsGroups: true, Tick: testTick, MaxShardBytes: 1 << 20, ClientID: 1, NewStoreID: 99, Incarnation: 2}, second, &StoredState{
			Store: 11, Incarnation: 1, Ledger: view, Members: []StoredMember{{
				Group: 1, Epoch: 1, Member: 1, HardState: &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(2)), Commit: new(uint64(5))},
				Snapshot: snapshotAt(5, 3, &pb.ConfState{Voters: old}, newShard(1<<20, LatestFormat, 1, false).snapshot()),
			}},
		}, false)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range c.heard {
			h.answered(k)
		}
		if sure := h.groups[1].asking == nil; sure != c.sure {
			t.Errorf("%s: sure is %v", c.name, sure)
		}
	}
}
