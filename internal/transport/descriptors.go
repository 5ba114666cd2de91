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
	mu      sync.Mutex
	used    int
	clients int
	most    int
	asked   int // how many clients that have asked may be idle
	idle    [idleClasses]*list.List
	parked  map[Idler]parking
}

type parking struct {
	list *list.List
	at   *list.Element
}

// Idler is a connection that may be idle. CloseIdle asks it to close if it still is; it must not block.
type Idler interface{ CloseIdle(Reason) }

// The descriptors that are no connections: standard streams, the listener, the poller and its pipe, the
// configuration, files that a library opens for a moment, and the logging that may be pointed at files.
const otherDescriptors = 24

// spareDescriptors is how many connections may still open before the cap while idle ones are being closed.
const spareDescriptors = 32

// urgentDescriptors are left to probes and discovery, a handful of calls: without their news the gateway is blind.
const urgentDescriptors = 8

// clientShare is the share of connections that clients may hold, in hundredths. At most a third of all descriptors carry
// requests, and each request needs one more at a server: what idle and silent clients hold beyond this would be
// taken from the servers.
const clientShare = 55

// idleAskedPart is the part of the descriptors that idle clients which have asked may hold: half of the third that clients
// hold for requests at most. Clients that ask once and keep their connection would fill that third, and the next ones
// would find no connection left. Harm: a client that pauses between requests may have to connect again.
const idleAskedPart = 6

// NewDescriptors makes the account for a process that may hold so many descriptors.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{
		most: max(limit-otherDescriptors, 2*urgentDescriptors), parked: map[Idler]parking{},
		idle: [idleClasses]*list.List{list.New(), list.New(), list.New()}, asked: max(limit/idleAskedPart, 1),
	}
}

// take counts a connection to a server or to discovery, and makes room where they run short. It tells whether the cap
// still holds.
func (d *Descriptors) take(urgent bool) bool {
	d.mu.Lock()
	d.used++
	short := d.used + d.spare() - d.most
	ok := d.used <= d.most && (urgent || d.used <= d.most-urgentDescriptors)
	d.mu.Unlock()
	if short > 0 {
		d.makeRoom()
	}
	return ok
}

func (d *Descriptors) spare() int { return min(spareDescriptors, d.most/4) }

// takeClient counts a client's connection. It tells whether it may stay: where the clients' share is used up one that is
// idle gives way, and where none is, the newcomer.
func (d *Descriptors) takeClient() bool {
	d.mu.Lock()
	d.used++
	d.clients++
	share := d.most * clientShare / 100
	short := d.clients > share || d.used+d.spare() > d.most
	over := d.clients > share+d.spare()/2 || d.used > d.most-urgentDescriptors
	d.mu.Unlock()
	return !(short && !d.makeRoom() && over)
}

func (d *Descriptors) give(client bool) {
	d.mu.Lock()
	d.used--
	if client {
		d.clients--
	}
	d.mu.Unlock()
}

// makeRoom asks an idle connection to close. It tells whether there was one.
func (d *Descriptors) makeRoom() bool {
	d.mu.Lock()
	var x Idler
	for k := IdleNewClient; k < idleClasses && x == nil; k++ {
		x = d.oldest(k)
	}
	d.mu.Unlock()
	if x != nil {
		x.CloseIdle(EndEvicted)
	}
	return x != nil
}

// oldest takes out the connection of a kind that is idle for longest, if there is one. The caller holds the lock.
func (d *Descriptors) oldest(k IdleClass) Idler {
	front := d.idle[k].Front()
	if front == nil {
		return nil
	}
	x := d.idle[k].Remove(front).(Idler)
	delete(d.parked, x)
	return x
}

// Park notes that a connection is idle from now on. Of the clients that have asked, too many idle ones give way at once.
func (d *Descriptors) MarkIdle(x Idler, k IdleClass) {
	var last Idler
	d.mu.Lock()
	if _, parked := d.parked[x]; !parked {
		d.parked[x] = parking{d.idle[k], d.idle[k].PushBack(x)}
		if k == IdleServedClient && d.idle[k].Len() > d.asked {
			last = d.oldest(k)
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
	if p, ok := d.parked[x]; ok {
		p.list.Remove(p.at)
		delete(d.parked, x)
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
	return d.used+d.spare() > d.most
}

// Used is the number of connections open now.
func (d *Descriptors) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}
