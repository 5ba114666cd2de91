package routing

import (
	"time"

	"marblespan/internal/clock"
)

// queueLength is how many events may wait for the owner before Post blocks. It is enough for the events of a burst of a
// thousand connections. The owner itself never waits for a sender.
const queueLength = 4096

// Owner runs a Core on one goroutine, the goroutine of Run, behind a queue of events. Only that goroutine receives from the queue
// and reads and writes the Core: the policy state machine, the timers, the open requests, the counters and the endpoint list
// (Core.endpoints), including which servers are cordoned. Other goroutines reach the Core only through Post and Call.
//
// The servers' addresses in session.Servers are a copy for the connections' goroutines; a mutex in session.Servers guards the
// copy. Only the owner's goroutine writes the copy, through Servers.SetEndpoint and Servers.Forget; the other goroutines read
// it.
type Owner struct {
	clock Clock
	queue chan Event
	stop  chan struct{}
	done  chan struct{}
}

// NewOwner returns an owner whose queue accepts events immediately; Run handles them.
func NewOwner(clock Clock) *Owner {
	return &Owner{
		clock: clock, queue: make(chan Event, queueLength), stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Post queues an event for the owner. It blocks while the queue is full. After the owner has stopped, it drops the event.
func (o *Owner) Post(ev Event) {
	select {
	case o.queue <- ev:
	case <-o.done:
	}
}

// Call runs a function on the owner's goroutine and waits for the function to end. Call returns true once the function has run,
// and false if the owner has stopped. The function must not keep the Core, and must not call Post or Call.
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

// Run creates a Core by calling the function start, and runs the Core until Stop is called. The calling goroutine becomes the
// owner's goroutine.
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

// Stop ends Run and waits for it to return. It may be called once, after Run has been started. Events still queued are
// dropped.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}
