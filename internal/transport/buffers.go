package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// BufferSize is the one size of buffers. Nearly every message fits into one; a value of 64 KiB in hex takes 17.
const BufferSize = 8 << 10

// Buffers hands out buffers of one size and takes them back, and keeps account of the bytes that messages hold.
type Buffers struct {
	chunks      sync.Pool
	readers     sync.Pool
	reserved    atomic.Int64
	maxReserved int64
}

// NewBuffers makes a pool whose messages may hold so many bytes together.
func NewBuffers(maxReserved int64) *Buffers {
	b := &Buffers{maxReserved: maxReserved}
	b.chunks.New = func() any { return new([BufferSize]byte) }
	b.readers.New = func() any { return bufio.NewReaderSize(nil, BufferSize) }
	return b
}

// Reserve sets bytes aside for a message to come, or tells that there is no room for it.
func (b *Buffers) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.maxReserved {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release gives back what Reserve set aside.
func (b *Buffers) Release(n int) { b.reserved.Add(-int64(n)) }

// Held tells how many bytes are set aside now.
func (b *Buffers) Reserved() int64 { return b.reserved.Load() }

// Message is a run of bytes kept in pooled buffers. It may be shared: each holder frees it once.
type Message struct {
	pool     *Buffers
	chunks   []*[BufferSize]byte
	size     int
	reserved int // bytes set aside for it by Grow
	refs     atomic.Int32
}

// NewMessage makes an empty message with one holder.
func (b *Buffers) NewMessage() *Message {
	m := &Message{pool: b}
	m.refs.Store(1)
	return m
}

// Share adds a holder.
func (m *Message) Share() *Message {
	m.refs.Add(1)
	return m
}

// Free ends one holder's use; the last one gives the buffers back.
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

// growPoll is how often a message that waits for memory looks again. What frees memory is an answer that has been
// written, a matter of milliseconds.
const growPoll = time.Millisecond

// Grow sets bytes aside for what is about to be added. What goes beyond the first buffer waits until they fit; a
// message's first buffer is not counted, as there are only as many as connections.
func (m *Message) Grow(n int, deadline time.Time, pending func() bool) error {
	if n <= BufferSize {
		return nil
	}
	for !m.pool.Reserve(n) {
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

// Size is the number of bytes in the message.
func (m *Message) Size() int { return m.size }

// room is the free end of the last buffer.
func (m *Message) freeTail() []byte {
	at := m.size % BufferSize
	if at == 0 && m.size == len(m.chunks)*BufferSize {
		m.chunks = append(m.chunks, m.pool.chunks.Get().(*[BufferSize]byte))
	}
	return m.chunks[len(m.chunks)-1][at:]
}

// Append adds bytes.
func (m *Message) Append(p []byte) {
	for len(p) > 0 {
		n := copy(m.freeTail(), p)
		m.size, p = m.size+n, p[n:]
	}
}

// Fill adds exactly n bytes of r.
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

// First is what stands in the first buffer.
func (m *Message) FirstBuffer() []byte {
	if len(m.chunks) == 0 {
		return nil
	}
	return m.chunks[0][:min(m.size, BufferSize)]
}

// From lists the bytes from an offset within the first buffer on, ready to be written together.
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
