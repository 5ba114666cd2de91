package raftnode

import (
	"sync/atomic"
	"time"

	"marblespan/internal/raftstore"

	api "marblespan/api/raftstorepb"
)

// retryBackoff is how long a shard counts as unavailable after a failed call. One caller may try the shard again after that.
const retryBackoff = 500 * time.Millisecond

// pendingCalls holds the calls that wait for a response. It is owned by the event loop.
type pendingCalls struct {
	done   map[uint64]func(raftstore.Response) // by call ID
	lastID uint64
}

// add registers a call and returns its ID.
func (p *pendingCalls) add(done func(raftstore.Response)) uint64 {
	p.lastID++
	p.done[p.lastID] = done
	return p.lastID
}

// complete passes a response to the call that it belongs to. A response without a pending call is ignored.
func (p *pendingCalls) complete(a raftstore.Response) {
	if done := p.done[a.ID]; done != nil {
		delete(p.done, a.ID)
		done(a)
	}
}

// abandon completes all calls with StatusDeadlineExceeded, because the node is closing and the calls may have been carried out.
func (p *pendingCalls) abandon() {
	for id, done := range p.done {
		delete(p.done, id)
		done(raftstore.Response{Status: raftstore.StatusDeadlineExceeded})
	}
}

// shardAvailability tracks which shards are likely to respond. It is safe for concurrent use.
type shardAvailability struct {
	count atomic.Int64 // number of shards; 0 means that no store is known
	// failedAt is the time at which a shard's backoff began, in microseconds of Unix time: when the shard's last call failed, or when
	// the method available last let a caller try again. 0 means that the last call succeeded, or that there was none.
	failedAt [raftstore.MaxShards + 1]atomic.Int64
}

func (s *shardAvailability) setCount(shards int) { s.count.Store(int64(shards)) }

// shardOf returns the shard that a key belongs to. known is false as long as no store is known.
func (s *shardAvailability) shardOf(key []byte) (shard uint32, known bool) {
	count := int(s.count.Load())
	if count == 0 {
		return 0, false
	}
	return raftstore.ShardOf(key, count), true
}

// available reports whether a call to a shard should be tried, because the shard's last call succeeded or the shard's backoff is
// over. When the backoff is over, only one of several concurrent callers gets true, and the backoff starts again.
func (s *shardAvailability) available(shard uint32) bool {
	failedAt := &s.failedAt[shard]
	last, now := failedAt.Load(), time.Now().UnixMicro()
	return last == 0 || now-last > retryBackoff.Microseconds() && failedAt.CompareAndSwap(last, now)
}

// record stores the outcome of a call to a shard, which decides what the method available returns next. The call counts as
// failed if it had no result in time, was not sent, or found the shard full.
func (s *shardAvailability) record(shard uint32, status raftstore.Status) {
	at := int64(0)
	switch status {
	case raftstore.StatusDeadlineExceeded, raftstore.StatusNotSent, raftstore.StatusFull:
		at = time.Now().UnixMicro()
	}
	s.failedAt[shard].Store(at)
}

// Submit starts a call without blocking. If the inbox is full or the node is closing, Submit itself calls done with StatusNotSent.
// Otherwise the event loop calls done with the response, at the latest at the deadline or when the node closes. There is one exception:
// if the call is still in the inbox when the node closes, done is never called. done must not block.
func (n *Node) Submit(request raftstore.Request, deadline time.Time, done func(raftstore.Response)) {
	submit := func() {
		request.ID, request.Deadline = n.calls.add(done), n.clock.Now()+micros(time.Until(deadline))
		n.host.Handle(n.clock.Now(), request)
	}
	select {
	case <-n.quit:
	case n.inbox <- inboxItem{run: submit}:
		return
	default:
	}
	done(raftstore.Response{Status: raftstore.StatusNotSent})
}

// Available reports whether a call for a key is likely to succeed now: the last RaisePosition call to the key's shard succeeded, or
// that call failed long enough ago that this caller may try again. It returns false if no store is known.
func (n *Node) Available(key []byte) bool {
	shard, known := n.shards.shardOf(key)
	return known && n.shards.available(shard)
}

// RaisePosition raises the position stored under a key to at least the given one, and keeps it for ttl. done is called as described
// for Submit, with true if a majority of the shard's members has stored the position. If no store is known, RaisePosition itself calls
// done with false.
func (n *Node) RaisePosition(key []byte, position uint64, ttl time.Duration, deadline time.Time, done func(bool)) {
	shard, known := n.shards.shardOf(key)
	if !known {
		done(false)
		return
	}
	request := raftstore.Request{Shard: shard, Command: &api.Command{RaisePosition: &api.RaisePosition{Key: key, Position: position, Ttl: ttl.Microseconds()}}}
	n.Submit(request, deadline, func(a raftstore.Response) {
		n.shards.record(shard, a.Status)
		done(a.Status == raftstore.StatusOK)
	})
}

// ReadPosition reads the position stored under a key; 0 means that there is none. done is called as described for Submit. known is
// false if the position could not be read in time, or may have been lost with an earlier epoch of the shard.
func (n *Node) ReadPosition(key []byte, deadline time.Time, done func(position uint64, known bool)) {
	shard, known := n.shards.shardOf(key)
	if !known {
		done(0, false)
		return
	}
	n.Submit(raftstore.Request{Shard: shard, Get: &api.Get{Key: key}}, deadline, func(a raftstore.Response) {
		done(a.Position, a.Status == raftstore.StatusOK && !a.Lost)
	})
}

// Call starts a call for a key: the command or, if command is nil, a read. done is called as described for Submit. If no store is
// known, the status is StatusNotSent.
func (n *Node) Call(key []byte, command *api.Command, deadline time.Time, done func(raftstore.Response)) {
	shard, known := n.shards.shardOf(key)
	if !known {
		done(raftstore.Response{Status: raftstore.StatusNotSent})
		return
	}
	request := raftstore.Request{Shard: shard, Command: command}
	if command == nil {
		request.Get = &api.Get{Key: key}
	}
	n.Submit(request, deadline, done)
}
