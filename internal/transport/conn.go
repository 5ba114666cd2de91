// Package transport owns the sockets: listening (Listener), dialling (Dial), connections (Conn), the record of ended
// connections (EndRecorder), the pools of idle server connections (Pool), the buffers (Buffers, Message), and the budgets of file
// descriptors and memory. It implements no protocol and makes no routing decisions.
//
// The packages session, streams and gateway use it. Each Conn belongs to the goroutine that serves it; the other types are safe
// for concurrent use. This package decides which idle connection is closed when descriptors run short
// (Descriptors.closeOldestIdle), whether a new connection is admitted (Descriptors.acquire, Descriptors.acquireClient), how
// long a closing listener continues to accept (Listener.Serve), and which reason is recorded for a network error (ReasonOf).
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

// pastDeadline is a deadline in the past; setting it ends a read in progress.
var pastDeadline = time.Unix(1, 0)

// ErrWoken is returned by a wait that ended because its pending function reported true.
var ErrWoken = errors.New("woken")

// ErrDeadline is returned by a wait that reached its deadline, and by reads and writes after Abort.
var ErrDeadline = errors.New("deadline reached")

// Conn is a TCP connection that one goroutine serves: only that goroutine reads, writes and closes. Any other goroutine may
// call Wake, Abort and Aborted. To pass work to the serving goroutine, the other goroutine stores the work where the pending
// function of Wait finds the work, and then calls Wake.
type Conn struct {
	tcp         *net.TCPConn
	reader      *bufio.Reader
	buffers     *Buffers
	descriptors *Descriptors
	fromClient  bool
	aborted     atomic.Bool
	closeOnce   sync.Once
}

func newConn(nc *net.TCPConn, buffers *Buffers, descriptors *Descriptors, fromClient bool) *Conn {
	r := buffers.readers.Get().(*bufio.Reader)
	r.Reset(nc)
	return &Conn{tcp: nc, reader: r, buffers: buffers, descriptors: descriptors, fromClient: fromClient}
}

// Wake ends the current Wait if its pending function reports true; otherwise the Wait continues.
func (c *Conn) Wake() { c.tcp.SetReadDeadline(pastDeadline) }

// Abort ends a read or write in progress, and makes every later Write and ReadFull fail with ErrDeadline.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.tcp.SetDeadline(pastDeadline)
}

// Wait blocks until n bytes can be read (nil), pending reports true (ErrWoken), or the deadline has passed (ErrDeadline).
// The read deadline is set before pending is called. If work is stored after that call, Wake ends the read, so that no work is
// missed.
func (c *Conn) Wait(n int, deadline time.Time, pending func() bool) error {
	for {
		c.tcp.SetReadDeadline(deadline)
		if pending != nil && pending() {
			return ErrWoken
		}
		_, err := c.reader.Peek(n)
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

// Buffered returns the number of bytes that can be read without waiting.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Peek returns the next n bytes without consuming them. A Wait for n bytes must have succeeded before.
func (c *Conn) Peek(n int) []byte {
	b, _ := c.reader.Peek(n)
	return b
}

// Skip discards n bytes, blocking until they arrive.
func (c *Conn) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Fill reads the next n bytes into a message. A Wake does not end Fill unless the function pending reports true. Fill returns the
// errors of Wait and of the read.
func (c *Conn) Fill(m *Message, n int, deadline time.Time, pending func() bool) error {
	return c.readInPieces(n, deadline, pending, func(k int) error { return m.Fill(c.reader, k) })
}

// SkipUntil discards n bytes; deadline and pending act as in Fill.
func (c *Conn) SkipUntil(n int, deadline time.Time, pending func() bool) error {
	return c.readInPieces(n, deadline, pending, c.Skip)
}

// readInPieces waits for n bytes, at most one buffer at a time, and calls consume for each piece.
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

// ReadFull reads exactly len(b) bytes. It is for connections on which Wake is never called.
func (c *Conn) ReadFull(b []byte, deadline time.Time) error {
	c.tcp.SetReadDeadline(deadline)
	if c.aborted.Load() { // the deadline set above has undone an earlier Abort; a later Abort ends the read itself
		return ErrDeadline
	}
	_, err := io.ReadFull(c.reader, b)
	return err
}

// Write writes all bytes and returns how many were written.
func (c *Conn) Write(deadline time.Time, parts net.Buffers) (int64, error) {
	c.tcp.SetWriteDeadline(deadline)
	if c.aborted.Load() { // the deadline set above has undone an earlier Abort, as in ReadFull
		return 0, ErrDeadline
	}
	return parts.WriteTo(c.tcp)
}

// Aborted reports whether Abort was called. After Abort, the connection must not be used again.
func (c *Conn) Aborted() bool { return c.aborted.Load() }

// Silent reports whether the peer has neither closed the connection nor sent unsolicited bytes. It queries the kernel, so that it
// detects a very recent close. A request written to a connection that the peer has closed would end with a reset, after which it
// is unknown whether the request ran.
func (c *Conn) Silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
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

// PeerClosed reports whether the peer has shut down its sending side or reset the connection, even if received bytes are still
// unread. It queries the kernel.
func (c *Conn) PeerClosed() bool {
	raw, err := c.tcp.SyscallConn()
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

// Close closes the connection and releases its reader and descriptor. Only the goroutine that serves the connection may call
// Close; further calls do nothing.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.tcp.Close()
		c.reader.Reset(nil)
		c.buffers.readers.Put(c.reader)
		c.descriptors.release(c.fromClient)
	})
}

// Linger shuts down the sending side and discards what arrives until the peer closes, maxBytes were read or the deadline has
// passed. A close with unread bytes would reset the connection, and the reset could destroy the last answer before the peer has
// read it. A peer that sends a request at that moment sees an orderly end without an answer, and may retry elsewhere.
func (c *Conn) Linger(deadline time.Time, maxBytes int64) {
	if c.tcp.CloseWrite() != nil {
		return
	}
	c.tcp.SetReadDeadline(deadline)
	io.CopyN(io.Discard, c.reader, maxBytes)
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.tcp.RemoteAddr().String() }
