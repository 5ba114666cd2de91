// Package members measures failure detection among hundreds of gateways on a made-up clock and network: internal/membership,
// the same machine without its extensions for slow members, and heartbeats to everybody with a fixed time-out.
package members

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"marblespan/internal/clock"
	"marblespan/internal/membership"
	codec "marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
)

// Second is one second.
const Second clock.Micros = 1_000_000

// peer is one gateway of a world, whatever it runs.
type peer interface {
	// handle starts it (nil), or hands it a message or the passing of time. It returns what it sends.
	handle(now clock.Micros, in any, from int) []packet
	// next is when it wants to look at the time.
	next() (clock.Micros, bool)
	// alive tells whether it believes that another one lives; itself it always believes alive.
	alive(other int) bool
}

// packet is one datagram on its way.
type packet struct {
	to   int
	body any
	size int // in bytes, with the signed trailer
}

// Network is what becomes of datagrams.
type Network struct {
	Loss  float64      // the share that is lost
	Delay clock.Micros // at the least
	More  clock.Micros // up to so much more, at random
}

// node is a peer and its machine.
type node struct {
	peer
	up     bool
	life   uint64
	pause  clock.Micros // it stands still until then
	starve clock.Micros // of each slice it does not run for so long
	offset clock.Micros // where its slices begin
	socket []packet     // what came while it stood still
	from   []int
	timer  clock.Micros // the earliest wake-up under way
	sent   int64        // bytes
}

// socketRoom is how many datagrams wait for a node that stands still; a kernel drops what comes beyond.
const socketRoom = 256

// World is a number of gateways, a network and a clock.
type World struct {
	Now     clock.Micros
	Network Network
	Cut     func(from, to int) bool // whether nothing passes; may be nil

	nodes   []*node
	at      map[netip.AddrPort]int
	rng     *rand.Rand
	queue   events
	order   uint64
	sizes   bool // sizes are measured, by writing every message
	changed func(who, about int, alive bool)
	fresh   func(w *World, i int) peer
}

// slice is how long a starved node is stopped and run in turn, together, as the rig does it.
const slice clock.Micros = 20_000

type event struct {
	at    clock.Micros
	order uint64
	node  int
	from  int     // of a datagram
	body  *packet // nil: a timer, or an end of a pause
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// NewWorld makes a world of n gateways that are not started yet.
func NewWorld(n int, seed uint64, kind Kind) *World {
	w := &World{
		Now: 1, Network: Network{Delay: 200, More: 800}, at: map[netip.AddrPort]int{}, rng: rand.New(rand.NewPCG(seed, 7)), fresh: kind.fresh,
	}
	for i := range n {
		w.at[address(i)] = i
		w.nodes = append(w.nodes, &node{offset: clock.Micros(w.rng.Int64N(int64(slice)))})
	}
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func name(i int) string { return fmt.Sprintf("gw-%d", i) }

func (w *World) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.queue, e)
}

// At has something happen at a time.
func (w *World) At(at clock.Micros, do func()) { w.push(event{at: at, node: -1, do: do}) }

// Start starts a gateway's next life.
func (w *World) Start(i int) {
	n := w.nodes[i]
	n.up, n.pause, n.socket, n.from = true, 0, nil, nil
	n.life++
	n.timer = 0
	n.peer = w.fresh(w, i)
	w.run(i, nil, 0)
}

// Kill ends it without a word.
func (w *World) Kill(i int) { w.nodes[i].up = false }

// Pause has it stand still for a span.
func (w *World) Pause(i int, span clock.Micros) {
	n := w.nodes[i]
	n.pause = max(n.pause, w.Now+span)
	w.push(event{at: n.pause, node: i})
}

// Starve has it not run for a share of the time from now on.
func (w *World) Starve(i int, share float64) {
	w.nodes[i].starve = clock.Micros(share * float64(slice))
}

// Up tells whether a gateway runs, or stands still.
func (w *World) Up(i int) bool { return w.nodes[i].up }

// runsAt is when a node can next do something: now, unless it is stopped.
func (w *World) runsAt(n *node) clock.Micros {
	at := max(w.Now, n.pause)
	if n.starve > 0 {
		if into := (at + n.offset) % slice; into < n.starve {
			at += n.starve - into
		}
	}
	return at
}

// run hands something to a node and sends what comes of it.
func (w *World) run(i int, in any, from int) {
	n := w.nodes[i]
	for _, p := range n.handle(w.Now, in, from) {
		w.send(i, p)
	}
	if at, ok := n.next(); ok && (n.timer == 0 || at < n.timer || n.timer <= w.Now) {
		n.timer = max(at, w.Now)
		w.push(event{at: n.timer, node: i})
	}
}

func (w *World) send(from int, p packet) {
	w.nodes[from].sent += int64(p.size)
	if w.Network.Loss > 0 && w.rng.Float64() < w.Network.Loss || w.Cut != nil && w.Cut(from, p.to) {
		return
	}
	at := w.Now + w.Network.Delay
	if w.Network.More > 0 {
		at += clock.Micros(w.rng.Int64N(int64(w.Network.More)))
	}
	w.push(event{at: at, node: p.to, from: from, body: &p})
}

// RunTo lets time pass.
func (w *World) RunTo(end clock.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.Now = max(w.Now, e.at)
		if e.do != nil {
			e.do()
			continue
		}
		n := w.nodes[e.node]
		if !n.up {
			continue
		}
		if at := w.runsAt(n); at > w.Now {
			if e.body != nil {
				if len(n.socket) < socketRoom {
					n.socket, n.from = append(n.socket, *e.body), append(n.from, e.from)
				}
				if len(n.socket) > 1 {
					continue // somebody wakes it already
				}
			}
			w.push(event{at: at, node: e.node})
			continue
		}
		// The timer first, as a goroutine whose read has a deadline that is over; then what lay unread.
		if at, ok := n.next(); ok && at <= w.Now {
			w.run(e.node, tick{}, 0)
		}
		waiting, from := n.socket, n.from
		n.socket, n.from = nil, nil
		for k := range waiting {
			w.run(e.node, waiting[k].body, from[k])
		}
		if e.body != nil {
			w.run(e.node, e.body.body, e.from)
		}
		if at, ok := n.next(); ok && n.timer <= w.Now {
			n.timer = max(at, w.Now)
			w.push(event{at: n.timer, node: e.node})
		}
	}
	w.Now = max(w.Now, end)
}

// tick tells a peer that time has passed.
type tick struct{}

// Kind is what a world's gateways run.
type Kind struct {
	Name  string
	fresh func(w *World, i int) peer
}

// SWIM is internal/membership with an interval; plain, without its extensions.
func SWIM(interval clock.Micros, plain bool) Kind {
	label := "membership"
	if plain {
		label = "without extensions"
	}
	return Kind{label, func(w *World, i int) peer {
		n := w.nodes[i]
		p := &swim{w: w, self: i, believed: map[int]bool{}}
		p.m = membership.New(membership.Config{
			Name: name(i), Address: address(i), Generation: uint64(w.Now) + n.life<<40, Interval: interval, WithoutLifeguard: plain,
			Join: []netip.AddrPort{address(0), address(1), address(2)}, Seed: w.rng.Uint64() | 1,
			Meta: membership.Meta{Zone: "a", Weight: 1, Version: "0.3.0", Settings: 7},
		})
		return p
	}}
}

// swim runs the machine.
type swim struct {
	w        *World
	self     int
	m        *membership.Machine
	believed map[int]bool
	notices  [membership.NoticeCount]int
	done     bool
}

func (p *swim) handle(now clock.Micros, in any, from int) []packet {
	var ev membership.Event
	switch x := in.(type) {
	case nil:
		ev = membership.Started{}
	case tick:
		ev = membership.Tick{}
	case membership.Message:
		ev = membership.MessageReceived{Source: address(from), Message: x}
	case membership.Event:
		ev = x
	}
	return p.carry(now, p.m.Handle(now, ev))
}

func (p *swim) carry(now clock.Micros, actions []membership.Action) (out []packet) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			to, ok := p.w.at[a.Address]
			if !ok {
				continue
			}
			x := packet{to: to, body: a.Message}
			if p.w.sizes {
				x.size = len(codec.AppendMessage(nil, a.Message)) + sealed.Size
			}
			out = append(out, x)
		case membership.MemberChanged:
			i := index(a.Name)
			if living := !a.State.Ended(); living != p.believed[i] {
				p.believed[i] = living
				if p.w.changed != nil {
					p.w.changed(p.self, i, living)
				}
			}
		case membership.Notice:
			p.notices[a.Kind]++
		case membership.LeaveCompleted:
			p.done = true
		}
	}
	return out
}

func index(name string) (i int) {
	fmt.Sscanf(name, "gw-%d", &i)
	return i
}

// leave has a gateway go in an orderly way.
var leave = membership.LeaveRequested{}

// dead tells whether it holds another one dead, and not gone in an orderly way.
func (p *swim) dead(other int) bool {
	r, known := p.m.Lookup(name(other))
	return known && r.State == membership.Dead
}

func (p *swim) next() (clock.Micros, bool) { return p.m.Next() }

func (p *swim) alive(other int) bool { return other == p.self || p.believed[other] }

// Heartbeats has everybody tell everybody that it lives, once an interval; who is silent for a fixed span is dead until it is
// heard again.
func Heartbeats(interval, timeout clock.Micros) Kind {
	return Kind{"heartbeats", func(w *World, i int) peer {
		return &beats{w: w, self: i, interval: interval, timeout: timeout, last: make([]clock.Micros, len(w.nodes)), dead: make([]bool, len(w.nodes))}
	}}
}

// heartbeatSize is a heartbeat in bytes: a name, a life and the signed trailer.
const heartbeatSize = 2 + 2 + 6 + 9 + sealed.Size

type beats struct {
	w                 *World
	self              int
	interval, timeout clock.Micros
	due               clock.Micros
	last              []clock.Micros
	dead              []bool
}

func (b *beats) handle(now clock.Micros, in any, from int) (out []packet) {
	if in == nil {
		for i := range b.last {
			b.last[i] = now
		}
		b.due = now
	}
	if _, beat := in.(int); beat {
		b.last[from] = now
		b.set(from, false)
	}
	if now >= b.due {
		b.due = max(b.due+b.interval, now)
		for i := range b.last {
			if i != b.self {
				out = append(out, packet{to: i, body: 0, size: heartbeatSize})
			}
		}
	}
	for i := range b.last {
		if i != b.self && now-b.last[i] > b.timeout {
			b.set(i, true)
		}
	}
	return out
}

func (b *beats) set(i int, dead bool) {
	if b.dead[i] != dead {
		b.dead[i] = dead
		if b.w.changed != nil {
			b.w.changed(b.self, i, !dead)
		}
	}
}

func (b *beats) next() (clock.Micros, bool) { return b.due, true }

func (b *beats) alive(other int) bool { return !b.dead[other] }
