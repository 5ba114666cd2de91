// Package datagrams provides a UDP socket and the goroutine that reads from it. The goroutine also owns the state of the handler of
// the datagrams. The handlers are the agent of internal/gossip and the VRRP router of internal/floatingip. The package does not
// depend on a protocol: the handler decides which datagrams to drop, and may log them with a DropLog.
//
// Loop.Run is the function of the goroutine. It reads datagrams in batches, runs tasks for other goroutines (Do), and calls the
// handler to check its timers. It runs until Close.
package datagrams

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// taskQueueSize is how many tasks may wait for the goroutine.
const taskQueueSize = 16

// batchSize is how many datagrams are read before the timers are checked again. Without a bound, a flood of garbage would keep the
// goroutine from its timers. If the timers were checked after each datagram, a flood would cost more than the reads alone.
const batchSize = 64

// receiveBufferSize is the size in bytes of the socket's receive buffer that is requested from the kernel. It is enough for some
// thousand datagrams that arrive while the goroutine does not run. The kernel limits the size to net.core.rmem_max.
const receiveBufferSize = 1 << 20

// past is a read deadline in the past. Setting it wakes a goroutine that is blocked in a read.
var past = time.Unix(1, 0)

// Handler handles the datagrams that a loop reads. Its methods are only called on the loop's goroutine.
type Handler interface {
	// Start is called once, before all other methods.
	Start()
	// NextTimer returns the time at which the next timer is due, or the zero time if no timer is set.
	NextTimer() time.Time
	// HandleDatagram handles or drops one datagram. b is only valid until HandleDatagram returns.
	HandleDatagram(b []byte, from netip.AddrPort)
	// CheckTimers runs the timers that are due. It is called after each batch of datagrams, and at the time that NextTimer has
	// returned.
	CheckTimers()
}

// Loop is a UDP socket and the goroutine that reads from it.
type Loop struct {
	// SocketErrors counts the errors of reads from the socket, except timeouts.
	SocketErrors atomic.Int64

	conn    *net.UDPConn
	tasks   chan func()
	done    chan struct{} // closed when Run returns
	closing bool          // set by Close, on the loop's goroutine
	buffer  []byte        // holds one datagram
}

// Listen binds a socket for datagrams of at most maxSize bytes. A longer datagram is truncated to maxSize+1 bytes, so that the
// handler can recognize it as too long. The caller must call Run or CloseUnstarted.
func Listen(bind netip.AddrPort, maxSize int) (*Loop, error) {
	network := "udp6"
	if bind.Addr().Is4() {
		network = "udp4"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, err
	}
	conn.SetReadBuffer(receiveBufferSize) // best effort: the loop also works with a smaller buffer
	return &Loop{conn: conn, tasks: make(chan func(), taskQueueSize), done: make(chan struct{}), buffer: make([]byte, maxSize+1)}, nil
}

// Addr returns the address that the socket is bound to.
func (l *Loop) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send writes one datagram.
func (l *Loop) Send(b []byte, to netip.AddrPort) error {
	_, err := l.conn.WriteToUDPAddrPort(b, to)
	return err
}

// Run reads datagrams until Close. The caller runs it in a goroutine of its own.
func (l *Loop) Run(h Handler) {
	defer close(l.done)
	h.Start()
	for !l.closing {
		// The deadline is set before the queue is checked. Do sets a past deadline after it has queued a task, so a task that is
		// queued after the check wakes the read.
		l.conn.SetReadDeadline(h.NextTimer())
		select {
		case task := <-l.tasks:
			task()
			continue
		default:
		}
		switch err := l.readBatch(h); {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			l.SocketErrors.Add(1)
		}
		h.CheckTimers()
	}
}

// readBatch waits for a datagram, and handles that datagram and the datagrams that have already arrived after it, at most
// batchSize in all.
func (l *Loop) readBatch(h Handler) error {
	size, from, err := l.conn.ReadFromUDPAddrPort(l.buffer)
	for n := 1; err == nil && size >= 0; n++ {
		h.HandleDatagram(l.buffer[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if n == batchSize {
			break
		}
		size, from, err = l.readWaiting()
	}
	return err
}

// readWaiting reads a datagram that has already arrived. The size is -1 if no datagram has arrived.
func (l *Loop) readWaiting() (size int, from netip.AddrPort, err error) {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return -1, from, err
	}
	size = -1
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, peer, err := syscall.Recvfrom(int(fd), l.buffer, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			return
		case err != nil:
			readErr = err
			return
		}
		size, from = n, addrPort(peer)
	})
	return size, from, errors.Join(err, readErr)
}

// addrPort converts the address of a datagram's sender. It returns the zero AddrPort for an address that is neither IPv4 nor IPv6.
func addrPort(peer syscall.Sockaddr) netip.AddrPort {
	switch p := peer.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(p.Addr), uint16(p.Port))
	}
	return netip.AddrPort{}
}

// Do runs a function on the loop's goroutine and waits until the function has returned. Do reports whether the function ran.
// After Close, no function runs.
func (l *Loop) Do(task func()) bool {
	ran := make(chan struct{})
	select {
	case l.tasks <- func() { task(); close(ran) }:
	case <-l.done:
		return false
	}
	l.conn.SetReadDeadline(past)
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// CloseUnstarted closes the socket of a loop whose Run has not been called.
func (l *Loop) CloseUnstarted() { l.conn.Close() }

// Close stops Run, waits until it has returned, and closes the socket.
func (l *Loop) Close() {
	l.Do(func() { l.closing = true })
	<-l.done
	l.conn.Close()
}
