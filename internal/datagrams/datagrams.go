// Package datagrams is a UDP socket with the one goroutine that owns it and the state of whoever handles its datagrams: the
// agent of internal/gossip and the VRRP router of internal/floatingip are its handlers. It knows no protocol. A handler decides
// by itself which datagrams to drop, and may log them by a DropLog.
//
// Loop.Run is the goroutine: it reads datagrams in batches, runs tasks of other goroutines (Do), and has the handler check its
// timers. It ends by Close.
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

// taskQueue is how many tasks may wait for the goroutine.
const taskQueue = 16

// batch is how many datagrams are read before timers are checked again, so that a flood of garbage costs no more than reading
// it.
const batch = 64

// receiveBuffer is the size of the socket's buffer requested of the kernel, in bytes: some thousand datagrams, for the moments
// in which the goroutine does not run. The kernel gives no more than its own limit (net.core.rmem_max).
const receiveBuffer = 1 << 20

// past is a read deadline that is over: setting it wakes the reader.
var past = time.Unix(1, 0)

// Handler handles what a loop reads. Its methods are called on the loop's goroutine only.
type Handler interface {
	// Start is called first.
	Start()
	// NextTimer is when the next timer is due; zero: there is none.
	NextTimer() time.Time
	// HandleDatagram takes in one datagram, or drops it. Its bytes are valid until it returns.
	HandleDatagram(b []byte, from netip.AddrPort)
	// CheckTimers does what is due. It is called after each batch of datagrams, and when NextTimer has come.
	CheckTimers()
}

// Loop is a socket and its goroutine.
type Loop struct {
	// SocketErrors counts errors that the socket returned instead of a datagram.
	SocketErrors atomic.Int64

	conn   *net.UDPConn
	tasks  chan func()
	done   chan struct{} // closed when Run returns
	ending bool          // set by Close on the goroutine
	buffer []byte        // of one datagram
}

// Listen binds a socket for datagrams of at most maxSize bytes; longer ones are cut to maxSize+1 bytes, so that they can be
// told from valid ones. Run has to be called for it, or CloseUnstarted.
func Listen(bind netip.AddrPort, maxSize int) (*Loop, error) {
	network := "udp6"
	if bind.Addr().Is4() {
		network = "udp4"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, err
	}
	conn.SetReadBuffer(receiveBuffer) // a smaller buffer than requested has to do
	return &Loop{conn: conn, tasks: make(chan func(), taskQueue), done: make(chan struct{}), buffer: make([]byte, maxSize+1)}, nil
}

// Addr is where the socket is bound.
func (l *Loop) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send writes one datagram.
func (l *Loop) Send(b []byte, to netip.AddrPort) error {
	_, err := l.conn.WriteToUDPAddrPort(b, to)
	return err
}

// Run is the loop's goroutine. It reads datagrams until Close.
func (l *Loop) Run(h Handler) {
	defer close(l.done)
	h.Start()
	for !l.ending {
		// The deadline is set before the tasks are checked, so that a task queued later wakes the read.
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

// readBatch waits for a datagram, and handles it and those that wait behind it, up to a batch.
func (l *Loop) readBatch(h Handler) error {
	size, from, err := l.conn.ReadFromUDPAddrPort(l.buffer)
	for n := 1; err == nil && size >= 0; n++ {
		h.HandleDatagram(l.buffer[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if n == batch {
			break
		}
		size, from, err = l.readWaiting()
	}
	return err
}

// readWaiting reads a datagram without waiting; size -1: there is none.
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

// addrPort is the address of a datagram's sender; zero for an address that is neither IPv4 nor IPv6.
func addrPort(peer syscall.Sockaddr) netip.AddrPort {
	switch p := peer.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(p.Addr), uint16(p.Port))
	}
	return netip.AddrPort{}
}

// Do runs a function on the goroutine and waits for it. It tells whether it ran: it does not after Close.
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

// CloseUnstarted closes the socket of a loop whose Run was never called.
func (l *Loop) CloseUnstarted() { l.conn.Close() }

// Close ends the goroutine, waits for it, and closes the socket.
func (l *Loop) Close() {
	l.Do(func() { l.ending = true })
	<-l.done
	l.conn.Close()
}
