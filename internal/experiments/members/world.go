// Package members compares failure detectors among hundreds of gateways in a simulation: internal/membership (SWIM with Lifeguard), the
// same state machine without Lifeguard, and all-to-all heartbeats with a fixed timeout. marblespan-bench members calls Run, RunProcesses
// and Write.
//
// A World simulates the clock, the network and the gateways with a queue of events. It has no locks and must be used by one
// goroutine only. RunUntil is the event loop, deliver hands an input to a gateway, and nextRunTime returns the time at which a
// paused or starved gateway runs again. RunProcesses measures detection times with real processes.
package members

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"marblespan/internal/clock"
)

// Second is one second of simulated time.
const Second clock.Micros = 1_000_000

// localDetector is the failure detector of one gateway.
type localDetector interface {
	// handle processes an input and returns the datagrams to send. The input nil starts the detector, timerExpired means that its
	// timer is due, and any other input is a message from the gateway with the index from, or a request such as leaveRequest.
	handle(now clock.Micros, in any, from int) []datagram
	// nextTimer returns the time at which the detector's timer is due, or false if no timer is set.
	nextTimer() (clock.Micros, bool)
	// alive reports whether the detector considers a gateway alive. It always considers its own gateway alive.
	alive(other int) bool
}

// datagram is one datagram in flight.
type datagram struct {
	to   int
	body any
	size int // in bytes, with the signed trailer; for SWIM it is measured only if World.measuresSizes is set, and is 0 otherwise
}

// Network holds the loss and the delay of datagrams.
type Network struct {
	LossRate float64      // fraction of the datagrams that are lost, 0 to 1
	MinDelay clock.Micros // minimum delay of each datagram
	Jitter   clock.Micros // maximum of the additional random delay
}

// node is one simulated gateway: its failure detector, and the state of its process and its socket.
type node struct {
	localDetector
	up              bool
	incarnation     uint64
	pausedUntil     clock.Micros // the process is stopped until this time
	stoppedPerSlice clock.Micros // time of each starvationSlice for which the process is stopped
	sliceOffset     clock.Micros // offset of this node's slices, so that starved nodes are not stopped at the same times
	receiveQueue    []datagram   // datagrams that arrived while the process was stopped
	senders         []int        // sender of each datagram in receiveQueue
	nextWakeUp      clock.Micros // time of the node's earliest wake-up in the event queue; 0: none
	sentBytes       int64        // number of bytes sent in total, if sizes are measured
}

// receiveQueueCapacity is the maximum number of datagrams that are queued for a stopped node. Further ones are dropped, as a kernel does
// when a socket's buffer is full.
const receiveQueueCapacity = 256

// World is a simulation of gateways, their network and a clock.
type World struct {
	Now     clock.Micros
	Network Network
	IsCut   func(from, to int) bool // reports whether datagrams from one gateway to the other are dropped; may be nil

	nodes          []*node
	nodesByAddress map[netip.AddrPort]int
	rng            *rand.Rand
	queue          eventQueue
	nextSequence   uint64
	measuresSizes  bool                                    // encode every message to measure its size
	beliefChanged  func(observer, subject int, alive bool) // called when a gateway's belief about another changes; may be nil
	newDetector    func(w *World, i int) localDetector
}

// starvationSlice is the period in which a starved node is first stopped and then runs, as in the test cluster.
const starvationSlice clock.Micros = 20_000

// event is an entry of the event queue: an action, the arrival of a datagram, or a wake-up of a node.
type event struct {
	at       clock.Micros
	sequence uint64
	node     int
	from     int       // the sender of the datagram
	datagram *datagram // nil: a wake-up, for a timer or at the end of a pause
	action   func()    // if not nil, the event only calls it
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were pushed.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// NewWorld returns a world of n gateways that are not started. A world with the same arguments runs the same way each time.
func NewWorld(n int, seed uint64, detector Detector) *World {
	w := &World{
		Now: 1, Network: Network{MinDelay: 200, Jitter: 800}, nodesByAddress: map[netip.AddrPort]int{}, rng: rand.New(rand.NewPCG(seed, 7)), newDetector: detector.newDetector,
	}
	for i := range n {
		w.nodesByAddress[address(i)] = i
		w.nodes = append(w.nodes, &node{sliceOffset: clock.Micros(w.rng.Int64N(int64(starvationSlice)))})
	}
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func name(i int) string { return fmt.Sprintf("gw-%d", i) }

func (w *World) push(e event) {
	w.nextSequence++
	e.sequence = w.nextSequence
	heap.Push(&w.queue, e)
}

// Schedule makes the world call the function do at a simulated time.
func (w *World) Schedule(at clock.Micros, do func()) { w.push(event{at: at, node: -1, action: do}) }

// Start starts a gateway with its next incarnation.
func (w *World) Start(i int) {
	n := w.nodes[i]
	n.up, n.pausedUntil, n.receiveQueue, n.senders = true, 0, nil, nil
	n.incarnation++
	n.nextWakeUp = 0
	n.localDetector = w.newDetector(w, i)
	w.deliver(i, nil, 0)
}

// Kill ends a gateway without informing the others.
func (w *World) Kill(i int) { w.nodes[i].up = false }

// Pause stops a gateway's process for a duration.
func (w *World) Pause(i int, duration clock.Micros) {
	n := w.nodes[i]
	n.pausedUntil = max(n.pausedUntil, w.Now+duration)
	w.push(event{at: n.pausedUntil, node: i})
}

// Starve stops a gateway for a fraction (0 to 1) of each starvationSlice from now on.
func (w *World) Starve(i int, share float64) {
	w.nodes[i].stoppedPerSlice = clock.Micros(share * float64(starvationSlice))
}

// Running reports whether a gateway's process exists. A paused gateway is running, too.
func (w *World) Running(i int) bool { return w.nodes[i].up }

// nextRunTime returns the time at which a node can next handle an event. This is the present time, unless the node is paused or
// starved.
func (w *World) nextRunTime(n *node) clock.Micros {
	at := max(w.Now, n.pausedUntil)
	if n.stoppedPerSlice > 0 {
		if into := (at + n.sliceOffset) % starvationSlice; into < n.stoppedPerSlice {
			at += n.stoppedPerSlice - into
		}
	}
	return at
}

// deliver hands an input to a node, sends the datagrams that it returns, and schedules its timer.
func (w *World) deliver(i int, in any, from int) {
	n := w.nodes[i]
	for _, p := range n.handle(w.Now, in, from) {
		w.send(i, p)
	}
	if at, ok := n.nextTimer(); ok && (n.nextWakeUp == 0 || at < n.nextWakeUp || n.nextWakeUp <= w.Now) {
		n.nextWakeUp = max(at, w.Now)
		w.push(event{at: n.nextWakeUp, node: i})
	}
}

func (w *World) send(from int, p datagram) {
	w.nodes[from].sentBytes += int64(p.size)
	if w.Network.LossRate > 0 && w.rng.Float64() < w.Network.LossRate || w.IsCut != nil && w.IsCut(from, p.to) {
		return
	}
	at := w.Now + w.Network.MinDelay
	if w.Network.Jitter > 0 {
		at += clock.Micros(w.rng.Int64N(int64(w.Network.Jitter)))
	}
	w.push(event{at: at, node: p.to, from: from, datagram: &p})
}

// RunUntil handles all events up to a simulated time. Datagrams to a stopped node are kept in its receive queue.
func (w *World) RunUntil(end clock.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.Now = max(w.Now, next.at)
		if next.action != nil {
			next.action()
			continue
		}
		target := w.nodes[next.node]
		if !target.up {
			continue
		}
		if runTime := w.nextRunTime(target); runTime > w.Now {
			w.postpone(next, target, runTime)
		} else {
			w.wake(next, target)
		}
	}
	w.Now = max(w.Now, end)
}

// postpone keeps an event for a stopped node: it adds a datagram to the receive queue, and schedules a wake-up for when the node runs again.
func (w *World) postpone(next event, target *node, runTime clock.Micros) {
	if next.datagram != nil {
		if len(target.receiveQueue) < receiveQueueCapacity {
			target.receiveQueue, target.senders = append(target.receiveQueue, *next.datagram), append(target.senders, next.from)
		}
		if len(target.receiveQueue) > 1 {
			return // a wake-up is scheduled already
		}
	}
	w.push(event{at: runTime, node: next.node})
}

// wake makes a node handle its timer, the datagrams in its receive queue and the event. The timer comes first, as in the real gateway's
// loop, where a read returns immediately if its deadline has passed.
func (w *World) wake(next event, target *node) {
	if due, ok := target.nextTimer(); ok && due <= w.Now {
		w.deliver(next.node, timerExpired{}, 0)
	}
	waiting, senders := target.receiveQueue, target.senders
	target.receiveQueue, target.senders = nil, nil
	for i := range waiting {
		w.deliver(next.node, waiting[i].body, senders[i])
	}
	if next.datagram != nil {
		w.deliver(next.node, next.datagram.body, next.from)
	}
	if due, ok := target.nextTimer(); ok && target.nextWakeUp <= w.Now {
		target.nextWakeUp = max(due, w.Now)
		w.push(event{at: target.nextWakeUp, node: next.node})
	}
}

// timerExpired is the input of a localDetector whose timer is due.
type timerExpired struct{}

// Detector is the failure detector that all gateways of a world run.
type Detector struct {
	Name        string
	newDetector func(w *World, i int) localDetector
}
