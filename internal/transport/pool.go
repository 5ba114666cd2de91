package transport

import (
	"slices"
	"sync"
)

// Pool holds the idle connections to one server as a stack. The most recently used connection is taken first, so that surplus
// connections stay idle until they are closed by their idle timeout. It is safe for concurrent use; the zero value is an empty pool.
type Pool[C comparable] struct {
	mu   sync.Mutex
	idle []C
}

// Put adds an idle connection.
func (p *Pool[C]) Put(c C) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Take removes and returns the most recently used connection; ok is false if the pool is empty.
func (p *Pool[C]) Take() (c C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return c, false
	}
	c = p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, true
}

// Remove removes a connection if it is in the pool.
func (p *Pool[C]) Remove(c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// TakeAll removes and returns all connections, the longest idle first.
func (p *Pool[C]) TakeAll() []C {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle
	p.idle = nil
	return all
}
