package streams

import (
	"sync"
	"time"

	"marblespan/internal/transport"
)

// peer is another gateway, and what waits for it.
type peer struct {
	streams *Streams
	name    string
	wake    chan struct{}

	mu          sync.Mutex
	queue       []Message
	queuedBytes int
	conn        *transport.Conn // the open stream, for abort
}

// put has a message wait. Where too much waits already the oldest that may give way do; they are handed back.
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

// forget takes one out of the queue, and gives its memory back.
func (p *peer) removeQueued(i int) {
	size := len(p.queue[i].Body)
	p.queuedBytes -= size
	p.streams.settings.Buffers.Release(size)
	p.queue = append(p.queue[:i], p.queue[i+1:]...)
}

// take takes out what is written together.
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

// abort ends what the goroutine writes.
func (p *peer) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Abort()
	}
}

// hold notes which stream is open. It tells whether it may be used.
func (p *peer) setConn(c *transport.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	select {
	case <-p.streams.quit:
		return false
	default:
		return true
	}
}

// lose tells of messages that did not go out.
func (p *peer) reportLost(all []Message, sent bool) {
	p.streams.Counts.Lost.Add(int64(len(all)))
	for i := range all {
		all[i].notifyLost(sent)
	}
}

// run writes what waits, until there has been nothing for long.
func (p *peer) run() {
	defer p.streams.peersDone.Done()
	var w *writer
	shut := func() {
		if w != nil {
			p.setConn(nil)
			w.conn.Close()
			w = nil
		}
	}
	defer shut()
	pause, opened := minBackoff, time.Time{}
	rest := func() {
		select {
		case <-time.After(pause):
		case <-p.streams.quit:
		}
		pause = min(2*pause, maxBackoff)
	}
	for {
		if !p.awaitMessages() {
			shut()
			p.reportLost(p.dequeue(MaxQueued+MaxBody), false)
			return
		}
		if w != nil && !w.conn.Quiet() {
			shut() // the peer has closed it; at once, if it does not take it
			if time.Since(opened) < maxBackoff {
				rest()
			}
		}
		if w == nil {
			next, err := p.streams.dial(p.name)
			if err != nil {
				p.streams.Counts.DialsFailed.Add(1)
				p.reportLost(p.dequeue(MaxQueued+MaxBody), false)
				rest()
				continue
			}
			w, opened = next, time.Now()
			if !p.setConn(w.conn) {
				continue
			}
			p.streams.Counts.Opened.Add(1)
			w.appendFrame(hello, appendHello(nil, p.streams.settings.Node, p.name))
		}
		select {
		case <-p.streams.quit: // an abort before the next write's deadline is set would not end it
			continue
		default:
		}
		all := p.dequeue(maxBatchBytes)
		for i := range all {
			w.appendFrame(all[i].Channel, all[i].Body)
		}
		if err := w.flush(); err != nil {
			shut()
			p.reportLost(all, true)
			continue
		}
		p.streams.Counts.Sent.Add(int64(len(all)))
		if time.Since(opened) > maxBackoff {
			pause = minBackoff
		}
	}
}

// await waits until something is to be sent. It tells whether the goroutine goes on.
func (p *peer) awaitMessages() bool {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.streams.quit:
			return false
		default:
		}
		p.mu.Lock()
		waits := len(p.queue) > 0
		p.mu.Unlock()
		if waits {
			return true
		}
		select {
		case <-p.wake:
		case <-p.streams.quit:
		case <-idle.C:
			if p.removeIfIdle() {
				return false
			}
			idle.Reset(idleTimeout)
		}
	}
}

// end takes the peer out, unless something has come for it.
func (p *peer) removeIfIdle() bool {
	p.streams.mu.Lock()
	defer p.streams.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.streams.peers, p.name)
	return true
}
