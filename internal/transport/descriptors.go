package transport

import (
	"container/list"
	"sync"
)

// IdleClass orders idle connections by who is at the other end. When descriptors run short, the lowest class is closed first,
// and within a class the connection that has been idle longest.
type IdleClass uint8

// The classes of idle connections.
const (
	IdleNewClient    IdleClass = iota // a client that has not sent a request yet
	IdleServedClient                  // a client that has sent a request
	IdleServer                        // a pooled connection to a server; opening another costs the server work
	idleClasses
)

// Descriptors counts open file descriptors against the process's limit, and closes idle connections when they run short. It
// never closes a connection with a request in flight. It is safe for concurrent use.
type Descriptors struct {
	mu            sync.Mutex
	used          int
	clients       int
	limit         int
	maxIdleServed int // how many IdleServedClient connections may be idle at once
	idle          [idleClasses]*list.List
	positions     map[Idler]idlePosition
}

type idlePosition struct {
	list    *list.List
	element *list.Element
}

// Idler is a connection that may be idle. CloseIdle makes it close if it is still idle; the call must not block.
type Idler interface{ CloseIdle(Reason) }

// otherDescriptors is how many descriptors are not connections: standard streams, the listener, the poller and its pipe, the
// configuration, files that a library opens briefly, and log files.
const otherDescriptors = 24

// headroomDescriptors is how far below the limit idle connections begin to be closed: closing takes time, and new ones open
// meanwhile.
const headroomDescriptors = 32

// urgentDescriptors are reserved for health checks and discovery, which need only a few: without them the gateway would not
// know the state of the servers.
const urgentDescriptors = 8

// clientQuotaPercent is the clients' quota of the descriptors, in percent. At most a third of all descriptors carry
// requests, and each request needs another descriptor for its server: what idle clients hold beyond this quota would be
// missing there.
const clientQuotaPercent = 55

// idleServedDivisor is the divisor of the limit that gives the number of idle clients which have sent a request: a sixth,
// half of the third that carries requests. Clients that send one request and keep the connection would otherwise fill that
// third and leave no room for new ones. The cost: a client that pauses between requests may have to reconnect.
const idleServedDivisor = 6

// NewDescriptors returns the account of a process that may open limit descriptors.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{
		limit: max(limit-otherDescriptors, 2*urgentDescriptors), positions: map[Idler]idlePosition{},
		idle: [idleClasses]*list.List{list.New(), list.New(), list.New()}, maxIdleServed: max(limit/idleServedDivisor, 1),
	}
}

// acquire counts a connection to a server or to discovery, and closes an idle connection where descriptors run short. It
// reports whether the connection fits; the caller calls release in either case. An urgent one may use the last descriptors.
func (d *Descriptors) acquire(urgent bool) bool {
	d.mu.Lock()
	d.used++
	excess := d.used + d.headroom() - d.limit
	ok := d.used <= d.limit && (urgent || d.used <= d.limit-urgentDescriptors)
	d.mu.Unlock()
	if excess > 0 {
		d.closeOldestIdle()
	}
	return ok
}

func (d *Descriptors) headroom() int { return min(headroomDescriptors, d.limit/4) }

// acquireClient counts a client's connection and reports whether it is admitted. Where the clients' quota or the limit less the
// headroom is used up, an idle connection is closed for it. It is rejected only if none is idle and either the quota is
// exceeded by more than half the headroom or only urgentDescriptors are left.
func (d *Descriptors) acquireClient() bool {
	d.mu.Lock()
	d.used++
	d.clients++
	quota := d.limit * clientQuotaPercent / 100
	nearLimit := d.clients > quota || d.used+d.headroom() > d.limit
	overLimit := d.clients > quota+d.headroom()/2 || d.used > d.limit-urgentDescriptors
	d.mu.Unlock()
	return !(nearLimit && !d.closeOldestIdle() && overLimit)
}

func (d *Descriptors) release(client bool) {
	d.mu.Lock()
	d.used--
	if client {
		d.clients--
	}
	d.mu.Unlock()
}

// closeOldestIdle closes the idle connection of the lowest class that has been idle longest. It reports whether there was one.
func (d *Descriptors) closeOldestIdle() bool {
	d.mu.Lock()
	var idle Idler
	for class := IdleNewClient; class < idleClasses && idle == nil; class++ {
		idle = d.removeOldest(class)
	}
	d.mu.Unlock()
	if idle != nil {
		idle.CloseIdle(EndEvicted)
	}
	return idle != nil
}

// removeOldest removes and returns the connection of a class that has been idle longest; nil if there is none. The caller
// holds mu.
func (d *Descriptors) removeOldest(class IdleClass) Idler {
	front := d.idle[class].Front()
	if front == nil {
		return nil
	}
	x := d.idle[class].Remove(front).(Idler)
	delete(d.positions, x)
	return x
}

// MarkIdle records that a connection is idle from now on. If that makes too many idle clients of class IdleServedClient, the
// one that has been idle longest is closed.
func (d *Descriptors) MarkIdle(x Idler, class IdleClass) {
	var evicted Idler
	d.mu.Lock()
	if _, alreadyIdle := d.positions[x]; !alreadyIdle {
		d.positions[x] = idlePosition{d.idle[class], d.idle[class].PushBack(x)}
		if class == IdleServedClient && d.idle[class].Len() > d.maxIdleServed {
			evicted = d.removeOldest(class)
		}
	}
	d.mu.Unlock()
	if evicted != nil {
		evicted.CloseIdle(EndEvicted)
	}
}

// MarkBusy records that a connection is no longer idle.
func (d *Descriptors) MarkBusy(x Idler) {
	d.mu.Lock()
	if p, ok := d.positions[x]; ok {
		p.list.Remove(p.element)
		delete(d.positions, x)
	}
	d.mu.Unlock()
}

// Reserve counts n descriptors that are neither connections nor among otherDescriptors; a negative n releases them.
func (d *Descriptors) Reserve(n int) {
	d.mu.Lock()
	d.used += n
	d.mu.Unlock()
}

// NearLimit reports whether the descriptors in use have reached the limit less the headroom.
func (d *Descriptors) NearLimit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used+d.headroom() > d.limit
}

// Used is the number of descriptors counted now.
func (d *Descriptors) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}
