package streams

import (
	"sync"
	"time"

	"marblespan/internal/transport"
)

// peer is another gateway, and what waits for it.
type peer struct {
	x    *Streams
	name string
	wake chan struct{}

	mu    sync.Mutex
	queue []Message
	bytes int
	conn  *transport.Conn // the open stream, for abort
}

// put has a message wait. Where too much waits already the oldest that may give way do; they are handed back.
func (p *peer) put(m Message) (dropped []Message, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(m.Body)
	for i := 0; i < len(p.queue) && p.bytes+size > MaxQueued; {
		if p.queue[i].NoDrop {
			i++
			continue
		}
		dropped = append(dropped, p.queue[i])
		p.forget(i)
	}
	if p.bytes+size > MaxQueued || !p.x.s.Buffers.Reserve(size) {
		return dropped, ErrFull
	}
	p.queue, p.bytes = append(p.queue, m), p.bytes+size
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return dropped, nil
}

// forget takes one out of the queue, and gives its memory back.
func (p *peer) forget(i int) {
	size := len(p.queue[i].Body)
	p.bytes -= size
	p.x.s.Buffers.Release(size)
	p.queue = append(p.queue[:i], p.queue[i+1:]...)
}

// take takes out what is written together.
func (p *peer) take(most int) (all []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) && (n == 0 || size+len(p.queue[n].Body) <= most) {
		size += len(p.queue[n].Body)
		n++
	}
	all = append(all, p.queue[:n]...)
	p.queue, p.bytes = append(p.queue[:0], p.queue[n:]...), p.bytes-size
	clear(p.queue[len(p.queue):cap(p.queue)])
	p.x.s.Buffers.Release(size)
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
func (p *peer) hold(c *transport.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	select {
	case <-p.x.quit:
		return false
	default:
		return true
	}
}

// lose tells of messages that did not go out.
func (p *peer) lose(all []Message, sent bool) {
	p.x.Counts.Lost.Add(int64(len(all)))
	for i := range all {
		all[i].lost(sent)
	}
}

// run writes what waits, until there has been nothing for long.
func (p *peer) run() {
	defer p.x.done.Done()
	var w *writer
	shut := func() {
		if w != nil {
			p.hold(nil)
			w.c.Close()
			w = nil
		}
	}
	defer shut()
	pause, opened := leastPause, time.Time{}
	rest := func() {
		select {
		case <-time.After(pause):
		case <-p.x.quit:
		}
		pause = min(2*pause, mostPause)
	}
	for {
		if !p.await() {
			shut()
			p.lose(p.take(MaxQueued+MaxBody), false)
			return
		}
		if w != nil && !w.c.Quiet() {
			shut() // the peer has closed it; at once, if it does not take it
			if time.Since(opened) < mostPause {
				rest()
			}
		}
		if w == nil {
			next, err := p.x.open(p.name)
			if err != nil {
				p.x.Counts.Failed.Add(1)
				p.lose(p.take(MaxQueued+MaxBody), false)
				rest()
				continue
			}
			w, opened = next, time.Now()
			if !p.hold(w.c) {
				continue
			}
			p.x.Counts.Opened.Add(1)
			w.add(hello, appendHello(nil, p.x.s.Node, p.name))
		}
		select {
		case <-p.x.quit: // an abort before the next write's deadline is set would not end it
			continue
		default:
		}
		all := p.take(mostWritten)
		for i := range all {
			w.add(all[i].Channel, all[i].Body)
		}
		if err := w.flush(); err != nil {
			shut()
			p.lose(all, true)
			continue
		}
		p.x.Counts.Sent.Add(int64(len(all)))
		if time.Since(opened) > mostPause {
			pause = leastPause
		}
	}
}

// await waits until something is to be sent. It tells whether the goroutine goes on.
func (p *peer) await() bool {
	idle := time.NewTimer(idleBy)
	defer idle.Stop()
	for {
		select {
		case <-p.x.quit:
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
		case <-p.x.quit:
		case <-idle.C:
			if p.end() {
				return false
			}
			idle.Reset(idleBy)
		}
	}
}

// end takes the peer out, unless something has come for it.
func (p *peer) end() bool {
	p.x.mu.Lock()
	defer p.x.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.x.peers, p.name)
	return true
}
