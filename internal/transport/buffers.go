package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// BufferSize is the size of every buffer, in bytes. Nearly every message fits into one buffer; a value of 64 KiB in hex takes
// 17 buffers.
const BufferSize = 8 << 10

// ConnectionMemory is the memory that an open connection takes beside its messages, in bytes: its reader, the stack of its
// goroutine, and its state.
const ConnectionMemory = 16 << 10

// maxLargePercent is the share of the budget, in percent, that requests larger than smallRequest may use. The rest is left for small
// requests and for answers, so that large requests that do not arrive completely cannot have all others rejected.
const maxLargePercent = 75

// smallRequest is the size of a reservation, in bytes, up to which the whole budget may be used: a request of one buffer, the first
// buffer of its answer, and the request's records.
const smallRequest = 2*BufferSize + BufferSize/2

// Buffers is a pool of buffers of BufferSize bytes, with a budget for the bytes that may be reserved. It is safe for concurrent
// use.
type Buffers struct {
	chunks      sync.Pool
	readers     sync.Pool
	reserved    atomic.Int64
	maxReserved int64
}

// NewBuffers returns a pool with a budget of maxReserved bytes.
func NewBuffers(maxReserved int64) *Buffers {
	b := &Buffers{maxReserved: maxReserved}
	b.chunks.New = func() any { return new([BufferSize]byte) }
	b.readers.New = func() any { return bufio.NewReaderSize(nil, BufferSize) }
	return b
}

// Reserve reserves n bytes for a request and its answer, and reports whether they fit into the budget. If they do not, nothing is
// reserved. Requests larger than smallRequest fit only into maxLargePercent of the budget.
func (b *Buffers) Reserve(n int) bool {
	limit := b.maxReserved
	if n > smallRequest {
		limit = limit * maxLargePercent / 100
	}
	return b.reserveWithin(n, limit)
}

// reserveWithin reserves n bytes unless more than limit bytes would then be reserved.
func (b *Buffers) reserveWithin(n int, limit int64) bool {
	for {
		reserved := b.reserved.Load()
		if reserved+int64(n) > limit {
			return false
		}
		// The budget must not be exceeded even briefly, because another reservation that fits would then be rejected.
		if b.reserved.CompareAndSwap(reserved, reserved+int64(n)) {
			return true
		}
	}
}

// Release returns n reserved bytes to the budget.
func (b *Buffers) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns the number of bytes currently reserved.
func (b *Buffers) Reserved() int64 { return b.reserved.Load() }

// Message is a sequence of bytes in pooled buffers. It is reference-counted: every owner calls Free once. Share and Free
// may be called from any goroutine.
type Message struct {
	pool     *Buffers
	chunks   []*[BufferSize]byte
	size     int
	reserved int // bytes that Grow has reserved for the message
	refs     atomic.Int32
}

// NewMessage returns an empty message with one owner.
func (b *Buffers) NewMessage() *Message {
	m := &Message{pool: b}
	m.refs.Store(1)
	return m
}

// Share adds an owner.
func (m *Message) Share() *Message {
	m.refs.Add(1)
	return m
}

// Free removes an owner. When the last owner is removed, the buffers return to the pool. Free of a nil message does nothing.
func (m *Message) Free() {
	if m == nil || m.refs.Add(-1) > 0 {
		return
	}
	for _, c := range m.chunks {
		m.pool.chunks.Put(c)
	}
	m.pool.Release(m.reserved)
	m.chunks, m.size, m.reserved = nil, 0, 0
}

// growPoll is the interval at which Grow retries while it waits for memory. Memory is freed when an answer has been written,
// which takes milliseconds.
const growPoll = time.Millisecond

// Grow reserves n bytes for data that is about to be added, and waits until these bytes fit into the budget. If n is at most
// BufferSize, Grow reserves nothing, because the messages' first buffers never outnumber the connections. Grow returns ErrWoken if
// the function pending reports true during the wait, and ErrDeadline at the deadline.
func (m *Message) Grow(n int, deadline time.Time, pending func() bool) error {
	if n <= BufferSize {
		return nil
	}
	for !m.pool.reserveWithin(n, m.pool.maxReserved) {
		if pending() {
			return ErrWoken
		}
		if !time.Now().Before(deadline) {
			return ErrDeadline
		}
		time.Sleep(growPoll)
	}
	m.reserved += n
	return nil
}

// Size returns the number of bytes in the message.
func (m *Message) Size() int { return m.size }

// freeTail returns the unused end of the last buffer. If that buffer is full, freeTail adds a new buffer.
func (m *Message) freeTail() []byte {
	at := m.size % BufferSize
	if at == 0 && m.size == len(m.chunks)*BufferSize {
		m.chunks = append(m.chunks, m.pool.chunks.Get().(*[BufferSize]byte))
	}
	return m.chunks[len(m.chunks)-1][at:]
}

// Append appends bytes to the message.
func (m *Message) Append(p []byte) {
	for len(p) > 0 {
		n := copy(m.freeTail(), p)
		m.size, p = m.size+n, p[n:]
	}
}

// Fill reads exactly n bytes from r into the message. After an error the message holds what was read before it.
func (m *Message) Fill(r io.Reader, n int) error {
	for n > 0 {
		free := m.freeTail()
		got, err := io.ReadFull(r, free[:min(n, len(free))])
		m.size, n = m.size+got, n-got
		if err != nil {
			return err
		}
	}
	return nil
}

// FirstBuffer returns the content of the first buffer; nil for an empty message.
func (m *Message) FirstBuffer() []byte {
	if len(m.chunks) == 0 {
		return nil
	}
	return m.chunks[0][:min(m.size, BufferSize)]
}

// BuffersFrom returns the message's content from an offset within the first buffer, as slices for one vectored write.
func (m *Message) BuffersFrom(at int) net.Buffers {
	var out net.Buffers
	for i, c := range m.chunks {
		p := c[:min(m.size-i*BufferSize, BufferSize)]
		if i == 0 {
			p = p[at:]
		}
		if len(p) > 0 {
			out = append(out, p)
		}
	}
	return out
}
