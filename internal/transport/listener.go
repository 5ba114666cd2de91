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

// acceptPause is how long to wait when the system has no descriptor left; a connection that ends frees one.
const acceptBackoff = 2 * time.Millisecond

// backlogPause is how long a closing listener looks for connections that the kernel has already accepted.
const backlogWait = 5 * time.Millisecond

// backlogBound is how long it takes in those that are left then, where it had no processor in that time or others go on
// connecting.
const maxBacklogTime = time.Second

// Listener accepts connections for as long as the gateway runs.
type Listener struct {
	// Calls says that other gateways connect to it, not clients: they count as calls do. It is set before Serve.
	FromGateways bool

	tcp         *net.TCPListener
	buffers     *Buffers
	fds         *Descriptors
	connections sync.WaitGroup
}

// Listen opens the one address that clients connect to.
func Listen(addr string, buffers *Buffers, fds *Descriptors) (*Listener, error) {
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: nl.(*net.TCPListener), buffers: buffers, fds: fds}, nil
}

// Addr is the address that the listener is bound to.
func (l *Listener) Addr() string { return l.tcp.Addr().String() }

// Serve accepts until Close and serves each connection on a goroutine of its own. Accepting never stops for want
// of descriptors: a request counts from the moment the kernel has it, whether it was accepted here or not. A connection
// that finds no room is handed over with the word that it cannot stay. When Serve returns the address is free: nobody can
// connect any more and then wait for a gateway that takes nobody in.
func (l *Listener) Serve(serve func(conn *Conn, stays bool)) {
	defer l.tcp.Close()
	var last time.Time // when a closing listener takes in nobody more
	for last.IsZero() || l.backlog() > 0 && time.Now().Before(last) {
		nc, err := l.tcp.AcceptTCP()
		switch {
		case err == nil:
			stays := l.acquire()
			l.connections.Add(1)
			go func() {
				defer l.connections.Done()
				serve(newConn(nc, l.buffers, l.fds, !l.FromGateways), stays)
			}()
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Past its deadline Accept does not look at what is there. A gateway that stood still until then would cut off
			// all who wait.
			if last.IsZero() {
				last = time.Now().Add(maxBacklogTime)
				l.tcp.SetDeadline(last)
			}
		default:
			l.fds.closeOldestIdle()
			time.Sleep(acceptBackoff)
		}
	}
}

// waiting is how many connections the kernel has accepted and nobody has taken in, 0 where it does not tell: of a
// listening socket TCP_INFO gives them as tcpi_unacked (Linux).
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
		return l.fds.acquire(false)
	}
	return l.fds.acquireClient()
}

// Close takes in what the kernel has accepted already, so that nobody is cut off unread, and stops listening.
// Serve then returns.
func (l *Listener) Close() {
	l.tcp.SetDeadline(time.Now().Add(backlogWait))
}

// Wait blocks until every connection that was accepted has been served to its end.
func (l *Listener) Wait() { l.connections.Wait() }

// ErrNoDescriptor tells that the descriptor cap leaves no room for another connection.
var ErrNoDescriptor = errors.New("no descriptor free")

// Dial opens a connection, unless the deadline comes first or ctx ends. An urgent one may take the last descriptors.
func Dial(ctx context.Context, addr string, deadline time.Time, buffers *Buffers, fds *Descriptors, urgent bool) (
	*Conn, error,
) {
	if !fds.acquire(urgent) {
		fds.release(false)
		return nil, ErrNoDescriptor
	}
	d := net.Dialer{Deadline: deadline}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		fds.release(false)
		return nil, err
	}
	return newConn(nc.(*net.TCPConn), buffers, fds, false), nil
}
