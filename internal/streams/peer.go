package streams

import (
	"sync"

	"marblespan/internal/transport"
)

// peer represents another gateway, and has the queue of messages to it. Its goroutine executes the method run, in sender.go.
type peer struct {
	streams *Streams
	name    string
	wake    chan struct{} // signals that a message was queued; has a capacity of 1

	mu          sync.Mutex
	queue       []Message
	queuedBytes int
	conn        *transport.Conn // connection of the open stream, which the method abort ends; nil: no stream is open
}

// enqueue queues a message. If the queue is full, it drops the oldest messages without NoDrop to make room, and returns them.
// It returns ErrQueueFull if there is still no room.
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

// removeQueued removes one message from the queue and releases its memory.
func (p *peer) removeQueued(index int) {
	size := len(p.queue[index].Body)
	p.queuedBytes -= size
	p.streams.settings.Buffers.Release(size)
	p.queue = append(p.queue[:index], p.queue[index+1:]...)
}

// dequeue removes messages from the head of the queue and releases their memory. It returns messages of up to limit bytes in
// total, but at least one message unless the queue is empty.
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

// abort ends the write in progress, if any, by aborting the open stream.
func (p *peer) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Abort()
	}
}

// setConn stores the connection of the open stream, for the method abort; nil means that no stream is open. It returns
// false if the streams are closing; the connection must not be used then.
func (p *peer) setConn(c *transport.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	return !p.streams.closing()
}

// reportLost counts messages that may not have been written completely, and calls their OnLost functions with the value
// of handedOver.
func (p *peer) reportLost(all []Message, handedOver bool) {
	p.streams.Counts.Lost.Add(int64(len(all)))
	for i := range all {
		all[i].notifyLost(handedOver)
	}
}
