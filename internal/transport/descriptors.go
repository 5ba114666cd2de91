package transport

import (
	"container/list"
	"sync"
)

// IdleClass ranks idle connections by the kind of peer. When descriptors run short, connections of the lowest class are closed
// first, and within a class the connection that has been idle longest.
type IdleClass uint8

// The classes of idle connections.
const (
	IdleNewClient    IdleClass = iota // a client that has not sent a request yet
	IdleServedClient                  // a client that has sent a request
	IdleServer                        // a pooled connection to a server; opening another costs the server work
	idleClasses
)

// Descriptors counts open file descriptors against the process's limit, and closes idle connections when descriptors run short. It
// never closes a connection with a request in flight. It is safe for concurrent use.
type Descriptors struct {
	mu            sync.Mutex
	used          int
	clients       int
	limit         int
	maxIdleServed int // maximum number of idle connections of class IdleServedClient
	idle          [idleClasses]*list.List
	positions     map[Idler]idlePosition
}

type idlePosition struct {
	list    *list.List
	element *list.Element
}

// Idler is a connection that can be idle. CloseIdle asks it to close as soon as it is idle; the call must not block.
type Idler interface{ CloseIdle(Reason) }

// otherDescriptors is the number of descriptors set aside for other uses than connections: standard streams, the listener, the
// poller and its pipe, the configuration, files that a library opens briefly, and log files.
const otherDescriptors = 24

// headroomDescriptors is the distance from the limit at which idle connections begin to be closed. Closing takes time, and new
// connections are opened meanwhile.
const headroomDescriptors = 32

// urgentDescriptors is the number of descriptors reserved for health checks and discovery, which need only a few. Without them the
// gateway would not know the state of the servers.
const urgentDescriptors = 8

// clientQuotaPercent is the share of the descriptors that clients may use, in percent. At most a third of all descriptors carry
// requests from clients, and each request needs another descriptor for the connection to its server. If idle clients used more
// than this share, descriptors for servers would run out.
const clientQuotaPercent = 55

// idleServedDivisor limits the number of idle clients that have sent a request to the descriptor limit divided by this number. The
// resulting sixth of the descriptors is half of the third that carries requests (see clientQuotaPercent). Without this limit,
// clients that send one request and then keep the connection would fill that third and leave no room for new clients. The cost: a
// client that pauses between requests may have to reconnect.
const idleServedDivisor = 6

// NewDescriptors returns the accounting for a process that may open limit descriptors.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{
		limit: max(limit-otherDescriptors, 2*urgentDescriptors), positions: map[Idler]idlePosition{},
		idle: [idleClasses]*list.List{list.New(), list.New(), list.New()}, maxIdleServed: max(limit/idleServedDivisor, 1),
	}
}

// acquire counts a connection to a server, to discovery or from another gateway, and closes an idle connection if descriptors run
// short. It reports whether a descriptor is left for the connection; the caller must call release in either case. An urgent
// connection may use the descriptors reserved by urgentDescriptors.
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

// acquireClient counts a client's connection and reports whether it is admitted. If the clients exceed their quota, or the
// descriptors in use exceed the limit less the headroom, an idle connection is closed in its place. The new connection is rejected
// only if no connection is idle and, in addition, the quota is exceeded by more than half the headroom or only urgentDescriptors
// are left.
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

// closeOldestIdle closes the connection that has been idle longest in the lowest class that has idle connections. It reports
// whether there was an idle connection.
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

// removeOldest removes and returns the connection of a class that has been idle longest, or nil if the class has none. The caller
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
// client that has been idle longest is closed.
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

// Reserve counts n descriptors that are neither connections nor included in otherDescriptors; a negative n releases them.
func (d *Descriptors) Reserve(n int) {
	d.mu.Lock()
	d.used += n
	d.mu.Unlock()
}

// NearLimit reports whether the descriptors in use exceed the limit less the headroom.
func (d *Descriptors) NearLimit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used+d.headroom() > d.limit
}

// Used returns the number of descriptors currently counted.
func (d *Descriptors) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}
