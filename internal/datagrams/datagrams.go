// Package datagrams is one UDP socket and the goroutine that owns it and whatever is decided by what comes in: machines that
// want to look at a clock, and tasks from other goroutines. It knows no protocol.
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

// taskQueue is how many requests to the goroutine may wait.
const taskQueue = 16

// batch is how many datagrams are read before the clock is looked at again, so that a flood of garbage costs no more than
// reading it.
const batch = 64

// receiveBuffer is what is asked of the kernel, in bytes: some thousand datagrams, for the moments in which the goroutine
// does not run. The kernel gives no more than its own bound (net.core.rmem_max).
const receiveBuffer = 1 << 20

// past is a deadline that has been; setting it wakes the reader.
var past = time.Unix(1, 0)

// Owner is what a loop works for. Its methods are called on the loop's goroutine only.
type Handler interface {
	// Begin is called first.
	Start()
	// Next is when the owner wants to look at the time; zero: not at all.
	NextTimer() time.Time
	// Receive takes in one datagram. Its bytes are valid until it returns.
	HandleDatagram(b []byte, from netip.AddrPort)
	// Look is called after each batch of datagrams, and when Next has come.
	CheckTimers()
}

// Loop is a socket and its goroutine.
type Loop struct {
	// Broken counts errors of the socket that came instead of a datagram.
	SocketErrors atomic.Int64

	conn   *net.UDPConn
	tasks  chan func()
	done   chan struct{}
	ending bool
	buffer []byte
}

// Listen binds a socket for datagrams of at most so many bytes; longer ones are seen as one byte longer.
func Listen(bind netip.AddrPort, most int) (*Loop, error) {
	network := "udp6"
	if bind.Addr().Is4() {
		network = "udp4"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, err
	}
	conn.SetReadBuffer(receiveBuffer) // what is given is enough, or cannot be helped
	return &Loop{conn: conn, tasks: make(chan func(), taskQueue), done: make(chan struct{}), buffer: make([]byte, most+1)}, nil
}

// Addr is where the socket is bound.
func (l *Loop) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send writes one datagram.
func (l *Loop) Send(b []byte, to netip.AddrPort) error {
	_, err := l.conn.WriteToUDPAddrPort(b, to)
	return err
}

// Run reads until Close. It is the goroutine.
func (l *Loop) Run(o Handler) {
	defer close(l.done)
	o.Start()
	for !l.ending {
		// The deadline is set before the tasks are looked for, so that a task left later wakes the read.
		l.conn.SetReadDeadline(o.NextTimer())
		select {
		case do := <-l.tasks:
			do()
			continue
		default:
		}
		size, from, err := l.conn.ReadFromUDPAddrPort(l.buffer)
		for n := 1; err == nil && size >= 0; n++ {
			o.HandleDatagram(l.buffer[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			if n == batch {
				break
			}
			size, from, err = l.waiting()
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			l.SocketErrors.Add(1)
		}
		o.CheckTimers()
	}
}

// waiting reads a datagram that has come already; -1: there is none.
func (l *Loop) waiting() (size int, from netip.AddrPort, err error) {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return -1, from, err
	}
	size = -1
	var fault error
	err = raw.Control(func(fd uintptr) {
		n, peer, err := syscall.Recvfrom(int(fd), l.buffer, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			return
		case err != nil:
			fault = err
			return
		}
		size = n
		switch p := peer.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
		case *syscall.SockaddrInet6:
			from = netip.AddrPortFrom(netip.AddrFrom16(p.Addr), uint16(p.Port))
		}
	})
	return size, from, errors.Join(err, fault)
}

// Ask runs a function on the goroutine and waits for it. It tells whether it ran.
func (l *Loop) Do(do func()) bool {
	ran := make(chan struct{})
	select {
	case l.tasks <- func() { do(); close(ran) }:
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

// Shut closes the socket of a loop that has not run.
func (l *Loop) CloseUnstarted() { l.conn.Close() }

// Close ends the goroutine and closes the socket.
func (l *Loop) Close() {
	l.Do(func() { l.ending = true })
	<-l.done
	l.conn.Close()
}
