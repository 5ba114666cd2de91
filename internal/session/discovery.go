package session

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	Connect time.Duration // until the connection is up
	Answer  time.Duration // from then on, until the complete list or the first line of a watch
	Silence time.Duration // between two lines of a watch; an empty one comes every 2 s
}

// DefaultCallTimeouts are the limits of a gateway in service. Whatever failed before, a change counts as known 6 s after discovery
// had it and could be reached. Within that time a watch that has fallen silent has to be noticed, and the next call answered;
// likewise a call that hangs has to be given up, and the next one answered. A test of package gateway adds both sums up, with the
// router's pauses.
var DefaultCallTimeouts = CallTimeouts{
	Connect: 400 * time.Millisecond, Answer: 2 * time.Second, Silence: 2800 * time.Millisecond,
}

// Discovery fetches the endpoint list, and watches it on a connection that stays open. It implements routing.Discovery. Each call
// has a goroutine of its own (Discovery.start), which ends with the call; Close waits for all.
type Discovery struct {
	Addr    string // where discovery listens; SetAddress changes it
	Owner   Queue
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
	Ends    *transport.EndRecorder
	Limits  CallTimeouts

	mu          sync.Mutex
	watch       *call // the newest, or the complete list that is fetched before it
	previous    *call // a watch at the previous address, until the new one has sent its list
	wanted      bool  // the router has asked for a watch
	unconfirmed bool  // this address has not answered yet: its revisions may differ
	calls       map[*call]struct{}
	running     sync.WaitGroup

	// posting is held while an update is posted to the owner, so that updates arrive in order: no list of the previous
	// address after one of the new, no list after the failure that followed it. It is locked before mu.
	posting sync.Mutex
}

// call is one call to discovery.
type call struct {
	all          *Discovery
	addr         string
	watch        bool
	thenWatch    bool // a watch follows the complete list that this call fetches
	ctx          context.Context
	stop         context.CancelFunc
	listReceived bool // the answer has contained a list

	mu   sync.Mutex
	conn *transport.Conn
}

// Watch subscribes to the changes after a revision, in place of a watch in progress. An address that has not answered yet is
// asked for its complete list first.
func (d *Discovery) Watch(from int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = true
	d.startWatch(from)
}

// startWatch starts a watch in place of the one before. The caller holds mu.
func (d *Discovery) startWatch(from int64) {
	d.watch.cancel()
	d.watch = d.start(!d.unconfirmed, d.unconfirmed, from)
}

// SetAddress asks another address from now on, whenever the router has planned to ask again. The watch at the previous address
// goes on until the new one has sent its list; then, or when it ends, nothing more is posted from it.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.Addr {
		return
	}
	if d.previous == nil {
		d.previous, d.watch = d.watch, nil
	}
	d.Addr, d.unconfirmed = addr, true
	if d.wanted {
		d.startWatch(0)
	}
}

// StopWatch ends the watch, if there is one.
func (d *Discovery) StopWatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = false
	d.watch.cancel()
	d.previous.cancel()
	d.watch, d.previous = nil, nil
}

// Fetch asks for the complete list once.
func (d *Discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start(false, false, 0)
}

// Close ends every call and waits for them.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.wanted, d.watch, d.previous = false, nil, nil
	all := slices.Collect(maps.Keys(d.calls))
	d.mu.Unlock()
	for _, c := range all {
		c.cancel()
	}
	d.running.Wait()
}

// start begins a call on a goroutine of its own. The caller holds mu.
func (d *Discovery) start(watch, thenWatch bool, from int64) *call {
	c := &call{all: d, addr: d.Addr, watch: watch, thenWatch: thenWatch}
	c.ctx, c.stop = context.WithCancel(context.Background())
	if d.calls == nil {
		d.calls = map[*call]struct{}{}
	}
	d.calls[c] = struct{}{}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		c.serve(from)
	}()
	return c
}

// ended forgets a call, lets the watch follow the list that leads to it, and reports whether the router must hear of a failure:
// not of a call that another has replaced, nor of one to the previous address while the new one is being asked.
func (d *Discovery) ended(c *call, rev int64, reason transport.Reason) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c)
	switch {
	case reason == transport.EndReplaced:
		return false
	case c == d.previous:
		d.previous = nil
		return d.watch == nil // the new address has failed meanwhile
	case c != d.watch:
		return reason != transport.EndCompleted // a single fetch
	}
	d.watch = nil
	if reason == transport.EndCompleted && c.thenWatch {
		d.watch = d.start(true, false, rev)
		return false
	}
	return reason != transport.EndCompleted
}

// serve carries a call out and logs its end.
func (c *call) serve(from int64) {
	d := c.all
	since := time.Now()
	rev, reason, err := c.run(from)
	c.mu.Lock()
	if c.conn != nil {
		c.conn.Close()
	}
	c.mu.Unlock()
	if c.cancelled() {
		reason = transport.EndReplaced
	}
	c.stop()
	d.Ends.Record(transport.Discovery, c.addr, reason, since, 0, err)
	d.posting.Lock()
	defer d.posting.Unlock()
	if d.ended(c, rev, reason) {
		d.Owner.Post(routing.EndpointListUpdate{Failed: true})
	}
}

// cancel ends the call; nothing more is posted from it.
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

// run carries the call out. Of a complete list it returns the revision.
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
	a := &discoveryAnswer{call: c, from: from, deadline: deadline, response: discovery.NewResponse()}
	if reason, err := a.read(conn); err != nil {
		return 0, reason, err
	}
	if c.watch {
		return 0, transport.EndPeerClosed, nil
	}
	list, err := discovery.ParseList(a.body)
	if err != nil {
		return 0, transport.EndProtocol, err
	}
	c.postList(list)
	return list.Rev, transport.EndCompleted, nil
}

// discoveryAnswer is an answer of discovery as it is read.
type discoveryAnswer struct {
	call     *call
	from     int64 // the revision that a watch was asked to start from
	deadline time.Time
	response *discovery.Response
	objects  discovery.Objects // of a watch: the change under way
	body     []byte            // of a complete list
}

// errListTooLong is a complete list beyond discovery.MaxList.
var errListTooLong = errors.New("the list is too long")

// read reads up to the answer's end. Only an orderly close ends an answer without a length: one that is reset has
// broken off.
func (a *discoveryAnswer) read(conn *transport.Conn) (transport.Reason, error) {
	for !a.response.Done() {
		err := conn.Wait(1, a.deadline, a.call.cancelled)
		if errors.Is(err, io.EOF) && a.response.Close(a.line) == nil {
			return 0, nil
		}
		if err != nil {
			return transport.ReasonOf(err), err
		}
		n := conn.Buffered()
		if err := a.response.Feed(conn.Peek(n), a.line); err != nil {
			return transport.EndProtocol, err
		}
		if err := conn.Skip(n); err != nil {
			return transport.ReasonOf(err), err
		}
		if a.response.HeadDone() && a.response.Status != discovery.StatusOK {
			return transport.EndStatus, fmt.Errorf("discovery answered with status %d", a.response.Status)
		}
	}
	return 0, nil
}

// line takes one line of the body. After each of its lines a watch has CallTimeouts.Silence for the next one, in however many
// pieces that arrives: bytes alone are no sign of life.
func (a *discoveryAnswer) line(text []byte) error {
	switch {
	case a.response.Status != discovery.StatusOK:
		return nil
	case !a.call.watch:
		if len(a.body)+len(text) > discovery.MaxListSize {
			return errListTooLong
		}
		a.body = append(append(a.body, text...), '\n')
		return nil
	}
	change, err := a.objects.Add(text)
	if err != nil || a.objects.Partial() {
		return err
	}
	a.deadline = time.Now().Add(a.call.all.Limits.Silence)
	return a.call.change(change, a.from)
}

// change takes a change of a watch. No change stands for an empty line, which only says that the watch is alive; as the first
// line it says that nothing has changed since the revision asked for.
func (c *call) change(change []byte, from int64) error {
	if change == nil {
		if !c.listReceived {
			c.postList(discovery.List{Rev: from})
		}
		return nil
	}
	list, err := discovery.ParseList(change)
	if err == nil {
		c.postList(list)
	}
	return err
}

// postList posts a list to the owner, unless another call has replaced this one. The first list of a new address ends the watch
// at the previous one.
func (c *call) postList(list discovery.List) {
	d := c.all
	c.listReceived = true
	d.posting.Lock()
	defer d.posting.Unlock()
	if c.cancelled() {
		return
	}
	d.mu.Lock()
	if c != d.previous {
		d.unconfirmed = false
		d.previous.cancel()
		d.previous = nil
	}
	newAddressFailed := c == d.previous && d.watch == nil
	d.mu.Unlock()
	d.Owner.Post(routing.EndpointListUpdate{List: list})
	if newAddressFailed { // the router takes the list as a sign of a watch; but the new address has failed
		d.Owner.Post(routing.EndpointListUpdate{Failed: true})
	}
}
