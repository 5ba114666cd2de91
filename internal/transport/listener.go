package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// acceptBackoff is the wait before the next Accept after Accept has failed, normally because the process has no descriptor left.
// A connection that ends frees a descriptor.
const acceptBackoff = 2 * time.Millisecond

// backlogWait is how long a closing listener continues to accept connections that the kernel has already established.
const backlogWait = 5 * time.Millisecond

// maxBacklogTime is the longest time for which a closing listener continues to accept if the kernel's queue still has connections
// after backlogWait. Connections may be left because the process had no processor time before, or because clients continue to
// connect.
const maxBacklogTime = time.Second

// The rate at which connections are accepted, and how many are accepted at once. To set up hundreds of connections at once would keep a
// processor for a tenth of a second, and the requests on other connections would wait.
const (
	acceptsPerSecond = 2500
	acceptsAtOnce    = 16
)

// Listener accepts connections until Close. Serve starts one goroutine for each connection; Wait waits until these goroutines
// have ended.
type Listener struct {
	// FromGateways is true if other gateways connect instead of clients. Their connections do not count against the clients'
	// quota. It is set before Serve is called.
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

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() string { return l.tcp.Addr().String() }

// Serve accepts connections until Close. It calls the function serve for each connection on a goroutine of its own, which ends
// when the function returns. It continues to accept when descriptors run short, because a request counts from the moment the
// kernel has received it. If no descriptor is left for a connection, serve is called with admitted set to false and must reject
// the connection. Serve closes the socket before it returns, so that no client can connect and then wait for a gateway that no
// longer accepts.
func (l *Listener) Serve(serve func(conn *Conn, admitted bool)) {
	defer l.tcp.Close()
	pace := rate.NewLimiter(acceptsPerSecond, acceptsAtOnce)
	var stopAt time.Time // the time at which a closing listener stops accepting; zero until the deadline set by Close has passed
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
			time.Sleep(pace.Reserve().Delay())
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// After its deadline, Accept fails at once even if connections are queued. If the process had no processor time
			// before the deadline, all these would be reset, so the deadline is extended while connections are queued.
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

// backlog returns the number of connections in the kernel's accept queue, or 0 if it is unknown. For a listening socket, Linux
// reports the number as tcpi_unacked in TCP_INFO.
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

// Close makes Serve stop listening and return. Before that, Serve accepts the connections that are already in the kernel's queue,
// so that these connections are not reset. Close itself does not wait.
func (l *Listener) Close() {
	l.tcp.SetDeadline(time.Now().Add(backlogWait))
}

// Wait blocks until serve has returned for every accepted connection. It is called after Serve has returned.
func (l *Listener) Wait() { l.connections.Wait() }

// ErrNoDescriptor is returned by Dial when the descriptor limit leaves no descriptor for another connection.
var ErrNoDescriptor = errors.New("no file descriptor available")

// Dial opens a TCP connection. It fails when the deadline has passed or ctx is done. An urgent connection may use the last
// descriptors. The error is ErrNoDescriptor or a network error; DialReason returns its reason.
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
