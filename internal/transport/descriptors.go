package transport

import (
	"container/list"
	"sync"
)

// Idleness says whose idle connection it is. When descriptors run short the first kind gives way first, and within a kind
// the one idle for longest.
type IdleClass uint8

// The kinds of idle connections.
const (
	IdleNewClient    IdleClass = iota // a client that has never brought a request
	IdleServedClient                  // a client that has
	IdleServer                        // to a server; opening another costs that server work
	idleClasses
)

// Descriptors keeps account of open descriptors, and closes idle connections when they run short, never one with a
// request.
type Descriptors struct {
	mu            sync.Mutex
	used          int
	clients       int
	limit         int
	maxIdleServed int // how many clients that have asked may be idle
	idle          [idleClasses]*list.List
	positions     map[Idler]idlePosition
}

type idlePosition struct {
	list    *list.List
	element *list.Element
}

// Idler is a connection that may be idle. CloseIdle asks it to close if it still is; it must not block.
type Idler interface{ CloseIdle(Reason) }

// The descriptors that are no connections: standard streams, the listener, the poller and its pipe, the
// configuration, files that a library opens for a moment, and the logging that may be pointed at files.
const otherDescriptors = 24

// spareDescriptors is how many connections may still open before the cap while idle ones are being closed.
const headroomDescriptors = 32

// urgentDescriptors are left to probes and discovery, a handful of calls: without their news the gateway is blind.
const urgentDescriptors = 8

// clientShare is the share of connections that clients may hold, in hundredths. At most a third of all descriptors carry
// requests, and each request needs one more at a server: what idle and silent clients hold beyond this would be
// taken from the servers.
const clientQuotaPercent = 55

// idleAskedPart is the part of the descriptors that idle clients which have asked may hold: half of the third that clients
// hold for requests at most. Clients that ask once and keep their connection would fill that third, and the next ones
// would find no connection left. Harm: a client that pauses between requests may have to connect again.
const idleServedDivisor = 6

// NewDescriptors makes the account for a process that may hold so many descriptors.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{
		limit: max(limit-otherDescriptors, 2*urgentDescriptors), positions: map[Idler]idlePosition{},
		idle: [idleClasses]*list.List{list.New(), list.New(), list.New()}, maxIdleServed: max(limit/idleServedDivisor, 1),
	}
}

// take counts a connection to a server or to discovery, and makes room where they run short. It tells whether the cap
// still holds.
func (d *Descriptors) acquire(urgent bool) bool {
	d.mu.Lock()
	d.used++
	short := d.used + d.headroom() - d.limit
	ok := d.used <= d.limit && (urgent || d.used <= d.limit-urgentDescriptors)
	d.mu.Unlock()
	if short > 0 {
		d.closeOldestIdle()
	}
	return ok
}

func (d *Descriptors) headroom() int { return min(headroomDescriptors, d.limit/4) }

// takeClient counts a client's connection. It tells whether it may stay: where the clients' share is used up one that is
// idle gives way, and where none is, the newcomer.
func (d *Descriptors) acquireClient() bool {
	d.mu.Lock()
	d.used++
	d.clients++
	quota := d.limit * clientQuotaPercent / 100
	short := d.clients > quota || d.used+d.headroom() > d.limit
	over := d.clients > quota+d.headroom()/2 || d.used > d.limit-urgentDescriptors
	d.mu.Unlock()
	return !(short && !d.closeOldestIdle() && over)
}

func (d *Descriptors) release(client bool) {
	d.mu.Lock()
	d.used--
	if client {
		d.clients--
	}
	d.mu.Unlock()
}

// makeRoom asks an idle connection to close. It tells whether there was one.
func (d *Descriptors) closeOldestIdle() bool {
	d.mu.Lock()
	var x Idler
	for k := IdleNewClient; k < idleClasses && x == nil; k++ {
		x = d.removeOldest(k)
	}
	d.mu.Unlock()
	if x != nil {
		x.CloseIdle(EndEvicted)
	}
	return x != nil
}

// oldest takes out the connection of a kind that is idle for longest, if there is one. The caller holds the lock.
func (d *Descriptors) removeOldest(k IdleClass) Idler {
	front := d.idle[k].Front()
	if front == nil {
		return nil
	}
	x := d.idle[k].Remove(front).(Idler)
	delete(d.positions, x)
	return x
}

// Park notes that a connection is idle from now on. Of the clients that have asked, too many idle ones give way at once.
func (d *Descriptors) MarkIdle(x Idler, k IdleClass) {
	var last Idler
	d.mu.Lock()
	if _, parked := d.positions[x]; !parked {
		d.positions[x] = idlePosition{d.idle[k], d.idle[k].PushBack(x)}
		if k == IdleServedClient && d.idle[k].Len() > d.maxIdleServed {
			last = d.removeOldest(k)
		}
	}
	d.mu.Unlock()
	if last != nil {
		last.CloseIdle(EndEvicted)
	}
}

// Unpark notes that a connection is idle no longer.
func (d *Descriptors) MarkBusy(x Idler) {
	d.mu.Lock()
	if p, ok := d.positions[x]; ok {
		p.list.Remove(p.element)
		delete(d.positions, x)
	}
	d.mu.Unlock()
}

// Hold counts descriptors that are no connections and no part of the usual few, or gives them back where n is negative.
func (d *Descriptors) Reserve(n int) {
	d.mu.Lock()
	d.used += n
	d.mu.Unlock()
}

// Short tells that nearly no descriptor is left for another connection.
func (d *Descriptors) NearLimit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used+d.headroom() > d.limit
}

// Used is the number of connections open now.
func (d *Descriptors) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}
