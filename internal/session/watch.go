package session

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"marblespan/internal/protocol/discovery"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// CallTimeouts are the time limits of calls to discovery.
type CallTimeouts struct {
	Connect time.Duration
	Answer  time.Duration // calls wait in turn there, and fail when they have waited too long
	Silence time.Duration // of a watch: an empty line comes every 2 s
}

// DefaultCallTimeouts are the limits of a gateway in service. After the silence two empty lines are missing.
var DefaultCallTimeouts = CallTimeouts{Connect: time.Second, Answer: 3 * time.Second, Silence: 5 * time.Second}

// Discovery asks for the member list, and watches it on a connection that stays open.
type Discovery struct {
	Addr    string // where it listens; Move changes it
	Owner   Queue
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
	Ends    *transport.Ends
	Limits  CallTimeouts

	mu      sync.Mutex
	watch   *call // the newest, or the whole list that comes before it
	former  *call // a watch at the address before, until the new one has told its list
	wanted  bool  // the module has asked for a watch
	strange bool  // nothing was heard from this address yet: its versions may be others
	calls   map[*call]struct{}
	running sync.WaitGroup

	telling sync.Mutex // lists go to the owner one by one: none of the former address behind one of the new
}

// call is one call to discovery.
type call struct {
	all   *Discovery
	addr  string
	watch bool
	leads bool // a watch follows behind the whole list that this call brings
	ctx   context.Context
	stop  context.CancelFunc
	told  bool // the answer has brought a list

	mu   sync.Mutex
	conn *transport.Conn
}

// Watch asks for the changes after a version; a watch under way is replaced. A strange address is asked for its whole
// list first.
func (d *Discovery) Watch(from int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = true
	d.ask(from)
}

// ask starts the watch in place of the one before. The caller holds the lock.
func (d *Discovery) ask(from int64) {
	d.watch.cancel()
	d.watch = d.start(!d.strange, d.strange, from)
}

// Move asks another address from now on, whatever time the module has planned to ask again. The watch at the former
// address goes on until the new one has told its list; then, or when it ends, nothing more is told of it.
func (d *Discovery) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.Addr {
		return
	}
	if d.former == nil {
		d.former, d.watch = d.watch, nil
	}
	d.Addr, d.strange = addr, true
	if d.wanted {
		d.ask(0)
	}
}

// StopWatch ends the watch, if there is one.
func (d *Discovery) StopWatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = false
	d.watch.cancel()
	d.former.cancel()
	d.watch, d.former = nil, nil
}

// Fetch asks for the whole list once.
func (d *Discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start(false, false, 0)
}

// Close ends every call and waits for them.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.wanted, d.watch, d.former = false, nil, nil
	all := slices.Collect(maps.Keys(d.calls))
	d.mu.Unlock()
	for _, c := range all {
		c.cancel()
	}
	d.running.Wait()
}

// start begins a call. The caller holds the lock.
func (d *Discovery) start(watch, leads bool, from int64) *call {
	c := &call{all: d, addr: d.Addr, watch: watch, leads: leads}
	c.ctx, c.stop = context.WithCancel(context.Background())
	if d.calls == nil {
		d.calls = map[*call]struct{}{}
	}
	d.calls[c] = struct{}{}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		since := time.Now()
		rev, reason, err := c.run(from)
		c.mu.Lock()
		if c.conn != nil {
			c.conn.Close()
		}
		c.mu.Unlock()
		replaced := c.ctx.Err() != nil
		c.stop()
		if replaced {
			reason = transport.EndReplaced
		}
		d.Ends.End(transport.Discovery, c.addr, reason, since, 0, err)
		if d.ended(c, rev, reason) {
			d.Owner.Post(routing.ListNews{Failed: true})
		}
	}()
	return c
}

// ended forgets a call, lets the watch follow behind the list that leads to it, and tells whether the module must
// hear of a failure: not of a call that another has taken the place of, nor of one to the former address while the new
// one is being asked.
func (d *Discovery) ended(c *call, rev int64, reason transport.Reason) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c)
	switch {
	case reason == transport.EndReplaced:
		return false
	case c == d.former:
		d.former = nil
		return d.watch == nil // the new address has failed meanwhile, and this one told the module that it is heard
	case c != d.watch:
		return reason != transport.EndDone // a single fetch
	}
	d.watch = nil
	if reason == transport.EndDone && c.leads {
		d.watch = d.start(true, false, rev)
		return false
	}
	return reason != transport.EndDone
}

// cancel ends the call; nothing more is told of it.
func (c *call) cancel() {
	if c == nil {
		return
	}
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Abort()
	}
}

func (c *call) cancelled() bool { return c.ctx.Err() != nil }

// run carries the call out. Of a whole list it returns the version.
func (c *call) run(from int64) (int64, transport.Reason, error) {
	conn, err := transport.Dial(c.ctx, c.addr, time.Now().Add(c.all.Limits.Connect), c.all.Buffers, c.all.Fds, true)
	if err != nil {
		return 0, transport.DialReason(err), err
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	deadline := time.Now().Add(c.all.Limits.Answer)
	if _, err := conn.Write(deadline, net.Buffers{discovery.Request(c.addr, c.watch, from)}); err != nil {
		return 0, transport.ReasonOf(err), err
	}
	answer := discovery.NewResponse()
	var body []byte
	line := func(p []byte) error {
		if answer.Status != 200 {
			return nil
		}
		if c.watch {
			return c.change(p, from)
		}
		body = append(append(body, p...), '\n')
		return nil
	}
	for !answer.Done() {
		err := conn.Wait(1, deadline, c.cancelled)
		if err != nil {
			if errors.Is(err, transport.ErrDeadline) || errors.Is(err, transport.ErrWoken) {
				return 0, transport.ReasonOf(err), err
			}
			if whole := answer.Close(line); whole != nil || c.watch {
				return 0, transport.ReasonOf(err), err
			}
			break
		}
		n := conn.Buffered()
		if err := answer.Feed(conn.Peek(n), line); err != nil {
			return 0, transport.EndProtocol, err
		}
		conn.Skip(n)
		if answer.HeadDone() && answer.Status != 200 {
			return 0, transport.EndStatus, fmt.Errorf("discovery answered with status %d", answer.Status)
		}
		if c.watch && answer.HeadDone() {
			deadline = time.Now().Add(c.all.Limits.Silence)
		}
	}
	if c.watch {
		return 0, transport.EndPeerClosed, nil
	}
	list, err := discovery.ParseList(body)
	if err != nil {
		return 0, transport.EndProtocol, err
	}
	c.tell(list)
	return list.Rev, transport.EndDone, nil
}

// change takes one line of a watch. An empty one only says that the watch stands; where it is the first, nothing
// has changed since the version asked for.
func (c *call) change(p []byte, from int64) error {
	if len(p) == 0 {
		if !c.told {
			c.tell(discovery.List{Rev: from})
		}
		return nil
	}
	list, err := discovery.ParseList(p)
	if err == nil {
		c.tell(list)
	}
	return err
}

// tell hands a list to the owner, unless another call has taken this one's place. The first list of a new address
// ends the watch at the former one.
func (c *call) tell(list discovery.List) {
	d := c.all
	c.told = true
	d.telling.Lock()
	defer d.telling.Unlock()
	if c.cancelled() {
		return
	}
	d.mu.Lock()
	if c != d.former {
		d.strange = false
		d.former.cancel()
		d.former = nil
	}
	d.mu.Unlock()
	d.Owner.Post(routing.ListNews{List: list})
}
