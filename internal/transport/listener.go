package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// acceptBackoff is the wait before the next Accept when the system has no descriptor left; a connection that ends frees one.
const acceptBackoff = 2 * time.Millisecond

// backlogWait is how long a closing listener goes on accepting connections that the kernel has already established.
const backlogWait = 5 * time.Millisecond

// maxBacklogTime bounds how long it then goes on while connections are left in the kernel's queue: it may have had no
// processor time before, or clients go on connecting.
const maxBacklogTime = time.Second

// Listener accepts connections until Close. Its Serve starts one goroutine for each connection; Wait waits for their end.
type Listener struct {
	// FromGateways is true if other gateways connect, not clients: their connections do not count against the clients' quota. It
	// is set before Serve.
	FromGateways bool

	tcp         *net.TCPListener
	buffers     *Buffers
	descriptors *Descriptors
	connections sync.WaitGroup
}

// Listen opens a listener on a TCP address, host:port.
func Listen(addr string, buffers *Buffers, descriptors *Descriptors) (*Listener, error) {
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: nl.(*net.TCPListener), buffers: buffers, descriptors: descriptors}, nil
}

// Addr is the address that the listener is bound to.
func (l *Listener) Addr() string { return l.tcp.Addr().String() }

// Serve accepts connections until Close and calls serve for each on a goroutine of its own, which ends when serve returns.
// It goes on accepting when descriptors run short, because a request counts from the moment the kernel has it; a connection
// for which there is no descriptor is passed with stays false, and serve must reject it. When Serve returns, the socket is
// closed: nobody can connect and then wait for a gateway that no longer accepts.
func (l *Listener) Serve(serve func(conn *Conn, stays bool)) {
	defer l.tcp.Close()
	var stopAt time.Time // when a closing listener stops accepting; zero until the deadline that Close sets
	for stopAt.IsZero() || l.backlog() > 0 && time.Now().Before(stopAt) {
		nc, err := l.tcp.AcceptTCP()
		switch {
		case err == nil:
			admitted := l.acquire()
			l.connections.Add(1)
			go func() { // not WaitGroup.Go, which would allocate a second closure for each connection
				defer l.connections.Done()
				serve(newConn(nc, l.buffers, l.descriptors, !l.FromGateways), admitted)
			}()
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Past its deadline Accept returns at once, even if connections are queued. A gateway that got no processor time
			// before would cut them all off, so the deadline is extended while some are queued.
			if stopAt.IsZero() {
				stopAt = time.Now().Add(maxBacklogTime)
				l.tcp.SetDeadline(stopAt)
			}
		default:
			l.descriptors.closeOldestIdle()
			time.Sleep(acceptBackoff)
		}
	}
}

// backlog is the number of connections in the kernel's accept queue, 0 where it is not known. For a listening socket,
// Linux reports it as tcpi_unacked in TCP_INFO.
func (l *Listener) backlog() (n int) {
	if raw, err := l.tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Unacked)
			}
		})
	}
	return n
}

func (l *Listener) acquire() bool {
	if l.FromGateways {
		return l.descriptors.acquire(false)
	}
	return l.descriptors.acquireClient()
}

// Close makes Serve accept what is already in the kernel's queue, so that no client there is cut off, stop listening and
// return. Close itself does not wait.
func (l *Listener) Close() {
	l.tcp.SetDeadline(time.Now().Add(backlogWait))
}

// Wait blocks until serve has returned for every accepted connection. It is called after Serve has returned.
func (l *Listener) Wait() { l.connections.Wait() }

// ErrNoDescriptor is returned by Dial when the descriptor limit leaves none for another connection.
var ErrNoDescriptor = errors.New("no descriptor free")

// Dial opens a TCP connection before the deadline and before ctx ends. An urgent one may use the last descriptors. Its error
// is ErrNoDescriptor or the network's; DialReason gives the reason.
func Dial(ctx context.Context, addr string, deadline time.Time, buffers *Buffers, descriptors *Descriptors, urgent bool) (
	*Conn, error,
) {
	if !descriptors.acquire(urgent) {
		descriptors.release(false)
		return nil, ErrNoDescriptor
	}
	d := net.Dialer{Deadline: deadline}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		descriptors.release(false)
		return nil, err
	}
	return newConn(nc.(*net.TCPConn), buffers, descriptors, false), nil
}
