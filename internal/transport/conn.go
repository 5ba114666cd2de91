// Package transport owns the sockets: listening, dialling, connections and how they end, the pools of idle server
// connections, the buffers, and the budgets of descriptors and memory. It knows no protocol and decides nothing.
package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// past is a deadline that has been; setting it wakes a reader.
var pastDeadline = time.Unix(1, 0)

// ErrWoken tells that a wait ended because something was left for the waiting goroutine.
var ErrWoken = errors.New("woken")

// ErrDeadline tells that a wait reached its deadline.
var ErrDeadline = errors.New("deadline reached")

// Conn is a connection that one goroutine serves. That goroutine alone reads and writes. Any other may leave
// something for it and Wake it: a wait then ends, however long the peer is silent.
type Conn struct {
	nc         *net.TCPConn
	r          *bufio.Reader
	buffers    *Buffers
	fds        *Descriptors
	fromClient bool
	aborted    atomic.Bool
	closeOnce  sync.Once
}

func newConn(nc *net.TCPConn, buffers *Buffers, fds *Descriptors, fromClient bool) *Conn {
	r := buffers.readers.Get().(*bufio.Reader)
	r.Reset(nc)
	return &Conn{nc: nc, r: r, buffers: buffers, fds: fds, fromClient: fromClient}
}

// Wake ends the wait under way, or the next one whose pending sees what was left.
func (c *Conn) Wake() { c.nc.SetReadDeadline(pastDeadline) }

// Abort ends whatever the serving goroutine reads or writes, and whatever it would write, or read by ReadFull, next.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.nc.SetDeadline(pastDeadline)
}

// Wait blocks until n bytes can be read, something is pending, or the deadline has come. The deadline is set
// before pending is asked: what is left after that wakes the read, so nothing is missed.
func (c *Conn) Wait(n int, deadline time.Time, pending func() bool) error {
	for {
		c.nc.SetReadDeadline(deadline)
		if pending != nil && pending() {
			return ErrWoken
		}
		_, err := c.r.Peek(n)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if pending != nil && pending() {
			return ErrWoken
		}
		if !time.Now().Before(deadline) {
			return ErrDeadline
		}
	}
}

// Buffered is how many bytes can be read without waiting.
func (c *Conn) Buffered() int { return c.r.Buffered() }

// Peek shows the next n bytes, which a wait has brought.
func (c *Conn) Peek(n int) []byte {
	b, _ := c.r.Peek(n)
	return b
}

// Skip passes over bytes, waiting for them if need be.
func (c *Conn) Skip(n int) error {
	_, err := c.r.Discard(n)
	return err
}

// Fill adds the next n bytes to a message. Unlike a plain read it goes on when the connection is woken meanwhile, unless
// something is pending.
func (c *Conn) Fill(m *Message, n int, deadline time.Time, pending func() bool) error {
	return c.readInPieces(n, deadline, pending, func(k int) error { return m.Fill(c.r, k) })
}

// SkipBy passes over bytes, likewise.
func (c *Conn) SkipUntil(n int, deadline time.Time, pending func() bool) error {
	return c.readInPieces(n, deadline, pending, c.Skip)
}

// inPieces waits for n bytes, no more than a buffer at a time, and hands each piece on.
func (c *Conn) readInPieces(n int, deadline time.Time, pending func() bool, consume func(int) error) error {
	for n > 0 {
		k := min(n, BufferSize)
		if err := c.Wait(k, deadline, pending); err != nil {
			return err
		}
		if err := consume(k); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// ReadFull reads exactly len(b) bytes. It is for connections that nobody wakes.
func (c *Conn) ReadFull(b []byte, deadline time.Time) error {
	c.nc.SetReadDeadline(deadline)
	if c.aborted.Load() { // set after the deadline above, an abort ends the read; before it, this does
		return ErrDeadline
	}
	_, err := io.ReadFull(c.r, b)
	return err
}

// Write writes all bytes, or tells how many went out.
func (c *Conn) Write(deadline time.Time, parts net.Buffers) (int64, error) {
	c.nc.SetWriteDeadline(deadline)
	if c.aborted.Load() { // as in ReadFull
		return 0, ErrDeadline
	}
	return parts.WriteTo(c.nc)
}

// Aborted tells whether Abort was called: the connection is of no further use.
func (c *Conn) Aborted() bool { return c.aborted.Load() }

// Quiet tells that the peer has neither closed nor sent anything unasked. It asks the kernel, so it also sees
// what came a moment ago: a request written to a connection that the peer has closed would end as a reset, and
// nobody could tell whether it ran.
func (c *Conn) Silent() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}

// PeerClosed tells that the peer has ended its sending side or broken the connection, however many bytes of its are still
// unread. It asks the kernel.
func (c *Conn) PeerClosed() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err == nil && n > 0
	})
	return err != nil || closed
}

// Close ends the connection; when it returns the kernel has closed it. Only the goroutine that serves the
// connection calls it.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.nc.Close()
		c.r.Reset(nil)
		c.buffers.readers.Put(c.r)
		c.fds.release(c.fromClient)
	})
}

// Linger ends the sending side and passes over what still comes until the peer closes, a limit of bytes or the
// deadline: closing with bytes unread would reset the connection and could take the last answer with it. Whatever the
// peer sent just then it may send again elsewhere, as it sees an orderly end with no answer.
func (c *Conn) Linger(deadline time.Time, maxBytes int64) {
	if c.nc.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(deadline)
	io.CopyN(io.Discard, c.r, maxBytes)
}

// Remote is the peer's address.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }
