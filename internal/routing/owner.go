package routing

import (
	"time"

	"marblespan/internal/clock"
)

// queueLength is how many events may wait for the owner before their senders do. A burst of a thousand
// connections fits; the owner itself never waits on a sender.
const queueLength = 4096

// Clock is Unix time at its making plus the monotonic time since, so that it never steps back.
type Clock struct{ start time.Time }

// NewClock makes a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now reads the clock.
func (c Clock) Now() clock.Micros {
	return clock.Micros(c.start.UnixMicro()) + clock.Micros(time.Since(c.start)/time.Microsecond)
}

// Time is the moment of a reading, for deadlines.
func (c Clock) Time(m clock.Micros) time.Time {
	return c.start.Add(time.Duration(m-clock.Micros(c.start.UnixMicro())) * time.Microsecond)
}

// Owner runs a Core on one goroutine, behind a queue.
type Owner struct {
	clock Clock
	queue chan Event
	stop  chan struct{}
	done  chan struct{}
}

// NewOwner makes an owner whose queue can be posted to from now on.
func NewOwner(clock Clock) *Owner {
	return &Owner{
		clock: clock, queue: make(chan Event, queueLength), stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Post hands an event to the owner. After the owner has stopped it is dropped.
func (o *Owner) Post(ev Event) {
	select {
	case o.queue <- ev:
	case <-o.done:
	}
}

// Ask runs a function on the owner's goroutine and waits for it. It tells whether it ran.
func (o *Owner) Call(do func(*Core)) bool {
	ran := make(chan struct{})
	o.Post(Call{func(c *Core) { do(c); close(ran) }})
	select {
	case <-ran:
		return true
	case <-o.done:
		return false
	}
}

// Run owns the core that start makes until Stop.
func (o *Owner) Run(start func(now clock.Micros) *Core) {
	defer close(o.done)
	c := start(o.clock.Now())
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if at, ok := c.NextTimer(); ok {
			wake.Reset(time.Duration(max(at-o.clock.Now(), 0)) * time.Microsecond)
		}
		select {
		case ev := <-o.queue:
			c.Handle(o.clock.Now(), ev)
		case <-wake.C:
		case <-o.stop:
			return
		}
		c.Expire(o.clock.Now())
	}
}

// Stop ends Run and waits for it.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}
