package raftnode

import (
	"sync/atomic"
	"time"

	"marblespan/internal/raftstore"

	api "marblespan/api/raftstorepb"
)

// retryPause is how long a shard whose last call failed counts as unavailable before one caller may try it again.
const retryBackoff = 500 * time.Millisecond

// pendingCalls are the calls that wait for a response. The event loop owns them.
type pendingCalls struct {
	done   map[uint64]func(raftstore.Response) // by the call's number
	lastID uint64
}

// add registers a call and returns its number.
func (p *pendingCalls) add(done func(raftstore.Response)) uint64 {
	p.lastID++
	p.done[p.lastID] = done
	return p.lastID
}

// complete passes a response to the call that it belongs to.
func (p *pendingCalls) complete(a raftstore.Response) {
	if done := p.done[a.ID]; done != nil {
		delete(p.done, a.ID)
		done(a)
	}
}

// abandon completes all calls with StatusDeadlineExceeded: the node is closing, and they may have been carried out.
func (p *pendingCalls) abandon() {
	for id, done := range p.done {
		delete(p.done, id)
		done(raftstore.Response{Status: raftstore.StatusDeadlineExceeded})
	}
}

// shardAvailability tells which shards are likely to respond. It may be used from any goroutine.
type shardAvailability struct {
	count atomic.Int64 // of shards; 0: no store is known
	// failedAt is when a shard's last call failed, in microseconds of Unix time; 0: it succeeded.
	failedAt [raftstore.MaxShards + 1]atomic.Int64
}

func (s *shardAvailability) setCount(shards int) { s.count.Store(int64(shards)) }

// shardOf is the shard that a key belongs to; known is false as long as no store is known.
func (s *shardAvailability) shardOf(key []byte) (shard uint32, known bool) {
	count := int(s.count.Load())
	if count == 0 {
		return 0, false
	}
	return raftstore.ShardOf(key, count), true
}

// available tells whether a shard's last call succeeded, or it is this caller's turn to try it again.
func (s *shardAvailability) available(shard uint32) bool {
	failedAt := &s.failedAt[shard]
	last, now := failedAt.Load(), time.Now().UnixMicro()
	return last == 0 || now-last > retryBackoff.Microseconds() && failedAt.CompareAndSwap(last, now)
}

// record keeps whether a shard's call succeeded.
func (s *shardAvailability) record(shard uint32, status raftstore.Status) {
	at := int64(0)
	switch status {
	case raftstore.StatusDeadlineExceeded, raftstore.StatusNotSent, raftstore.StatusFull:
		at = time.Now().UnixMicro()
	}
	s.failedAt[shard].Store(at)
}

// Submit starts a call. It does not block: if the inbox is full or the node is closing, it calls done itself, with StatusNotSent.
// Otherwise the event loop calls done with the response, at the deadline at the latest, or when the node closes; a call that is still
// in the inbox then gets no response. done must not block.
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

// Available tells whether a call about a key is likely to succeed now: the shard's last one did, or it is time to try again.
func (n *Node) Available(key []byte) bool {
	shard, known := n.shards.shardOf(key)
	return known && n.shards.available(shard)
}

// RaisePosition raises the position under a key to at least a value, to be kept for ttl. done is called as by Submit, with true if a
// majority has stored it.
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

// ReadPosition reads the position under a key; 0: there is none. done is called as by Submit; known is false if the position could
// not be read in time, or may have been lost with an earlier epoch of the shard.
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

// Call starts a call about a key: a command or, if that is nil, a read. done is called as by Submit; without a store the status
// is StatusNotSent.
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
