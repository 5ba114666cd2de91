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
	Connect time.Duration // for establishing the connection
	Answer  time.Duration // from the established connection until the complete list, or the first line of a watch, has been received
	Silence time.Duration // between two lines of a watch; discovery sends an empty line every 2 s
}

// DefaultCallTimeouts are the limits used in production. The gateway must know a change at most 6 s after discovery has it and is
// reachable, whatever failed before. Within that time, the gateway must detect a silent watch and get an answer to the next call,
// or give up a call that hangs and get an answer to the next call. For both cases, a test of package gateway checks the sum of
// these limits and of the router's pauses between calls.
var DefaultCallTimeouts = CallTimeouts{
	Connect: 400 * time.Millisecond, Answer: 2 * time.Second, Silence: 2800 * time.Millisecond,
}

// Discovery fetches the endpoint list and watches it over a connection that stays open. It implements routing.Discovery. Each
// call has a goroutine of its own (Discovery.start), which ends with the call; Close waits for all of them.
type Discovery struct {
	Addr    string // address of discovery; SetAddress changes it
	Owner   Queue
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
	Ends    *transport.EndRecorder
	Limits  CallTimeouts

	mu          sync.Mutex
	watch       *call // the current watch, or the fetch of the complete list that precedes it
	previous    *call // the watch at the previous address, until the new address has sent its list
	wanted      bool  // the router has asked for a watch
	unconfirmed bool  // Addr has not answered yet, so its revisions may differ from those received before
	calls       map[*call]struct{}
	running     sync.WaitGroup

	// posting is held while an update is posted to the owner, so that updates arrive in order. No list from the previous address
	// arrives after a list from the new address, and no list arrives after a failure that happened later. It is locked before mu.
	posting sync.Mutex
}

// call is one call to discovery.
type call struct {
	all          *Discovery
	addr         string
	watch        bool
	thenWatch    bool // this call fetches the complete list, and a watch is started after it
	ctx          context.Context
	stop         context.CancelFunc
	listReceived bool // the answer has contained a list

	mu   sync.Mutex
	conn *transport.Conn
}

// Watch subscribes to the changes after a revision and replaces a watch in progress. If the address has not answered yet, the
// complete list is fetched from it first.
func (d *Discovery) Watch(from int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = true
	d.startWatch(from)
}

// startWatch cancels the current watch and starts a new one, preceded by a fetch of the complete list if the address has not
// answered yet. The caller holds mu.
func (d *Discovery) startWatch(from int64) {
	d.watch.cancel()
	d.watch = d.start(!d.unconfirmed, d.unconfirmed, from)
}

// SetAddress changes the address of discovery. If the router has asked for a watch, the new address is called at once, without
// waiting for the router's next planned call. The watch at the previous address continues until the new address has sent its list;
// after that, nothing more is posted from that watch.
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

// Fetch fetches the complete list once.
func (d *Discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start(false, false, 0)
}

// Close cancels all calls and waits until their goroutines have ended.
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

// start starts a call on a goroutine of its own. The caller holds mu.
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

// ended removes a call that has ended, and starts the watch if the call was the fetch that precedes it. It reports whether the
// call's failure must be posted to the router. The failure of a call that another call has replaced is not posted, and neither is
// that of a call to the previous address while a call to the new address is in progress.
func (d *Discovery) ended(c *call, rev int64, reason transport.Reason) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c)
	switch {
	case reason == transport.EndReplaced:
		return false
	case c == d.previous:
		d.previous = nil
		return d.watch == nil // nil: the call to the new address has failed meanwhile
	case c != d.watch:
		return reason != transport.EndCompleted // a fetch that no watch follows
	}
	d.watch = nil
	if reason == transport.EndCompleted && c.thenWatch {
		d.watch = d.start(true, false, rev)
		return false
	}
	return reason != transport.EndCompleted
}

// serve carries out the call, logs its end and posts its failure to the router if necessary.
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

// run carries out the call. For a fetch it returns the revision of the complete list.
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

// discoveryAnswer is the state of reading one answer from discovery.
type discoveryAnswer struct {
	call     *call
	from     int64 // the revision from which the watch was requested
	deadline time.Time
	response *discovery.Response
	objects  discovery.Objects // watch: the change that is being received
	body     []byte            // fetch: the complete list as received so far
}

// errListTooLong is returned when a complete list exceeds discovery.MaxListSize.
var errListTooLong = errors.New("the endpoint list is too long")

// read reads the answer to its end. An answer without a length ends only with an orderly close; if the connection is reset, the
// answer is incomplete.
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

// line handles one line of the body. In a watch, each complete change or empty line extends the deadline by CallTimeouts.Silence.
// Single bytes do not extend it: a peer that sends an endless line byte by byte would otherwise keep the watch alive forever.
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

// change handles a change received by a watch. A nil change represents an empty line, which discovery sends to show that the
// watch is alive; as the first line it means that nothing has changed since the requested revision.
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

// postList posts a list to the owner, unless another call has replaced the call c. The first list from a new address ends the
// watch at the previous address.
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
	if newAddressFailed { // the router concludes from a list that the watch works, so the new address's failure is posted again
		d.Owner.Post(routing.EndpointListUpdate{Failed: true})
	}
}
