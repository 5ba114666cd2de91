package streams

import (
	"sync"

	"marblespan/internal/transport"
)

// peer is another gateway, and the queue of messages to it. Its goroutine is run, in sender.go.
type peer struct {
	streams *Streams
	name    string
	wake    chan struct{} // has room for one: a message was queued

	mu          sync.Mutex
	queue       []Message
	queuedBytes int
	conn        *transport.Conn // the open stream, for abort
}

// enqueue queues a message. In a full queue the oldest messages that may be dropped give way; they are returned.
func (p *peer) enqueue(m Message) (dropped []Message, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(m.Body)
	for i := 0; i < len(p.queue) && p.queuedBytes+size > MaxQueued; {
		if p.queue[i].NoDrop {
			i++
			continue
		}
		dropped = append(dropped, p.queue[i])
		p.removeQueued(i)
	}
	if p.queuedBytes+size > MaxQueued || !p.streams.settings.Buffers.Reserve(size) {
		return dropped, ErrQueueFull
	}
	p.queue, p.queuedBytes = append(p.queue, m), p.queuedBytes+size
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return dropped, nil
}

// removeQueued takes one message out of the queue, and releases its memory.
func (p *peer) removeQueued(index int) {
	size := len(p.queue[index].Body)
	p.queuedBytes -= size
	p.streams.settings.Buffers.Release(size)
	p.queue = append(p.queue[:index], p.queue[index+1:]...)
}

// dequeue takes out messages of up to limit bytes together, and one at least, and releases their memory.
func (p *peer) dequeue(limit int) (all []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) && (n == 0 || size+len(p.queue[n].Body) <= limit) {
		size += len(p.queue[n].Body)
		n++
	}
	all = append(all, p.queue[:n]...)
	p.queue, p.queuedBytes = append(p.queue[:0], p.queue[n:]...), p.queuedBytes-size
	clear(p.queue[len(p.queue):cap(p.queue)])
	p.streams.settings.Buffers.Release(size)
	return all
}

// abort ends the write that is under way.
func (p *peer) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Abort()
	}
}

// setConn notes which stream is open, for abort. It tells whether the stream may be used.
func (p *peer) setConn(c *transport.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	return !p.streams.closing()
}

// reportLost counts messages that did not go out, and tells their senders.
func (p *peer) reportLost(all []Message, handedOver bool) {
	p.streams.Counts.Lost.Add(int64(len(all)))
	for i := range all {
		all[i].notifyLost(handedOver)
	}
}
