// Package gateway is the gateway itself: it starts it, keeps it running and stops it. The programs' command line (internal/cli)
// calls Run; tests call Start.
//
// The main decisions are in
//
//   - handleSignals: what each signal does;
//   - Start (start.go): in which order the parts come up, and what the operators' file switches on;
//   - Gateway.Reload (reload.go): what may change while the gateway runs;
//   - Gateway.Stop (stop.go): the steps of a graceful shutdown, and how long each may take;
//   - Gateway.isReady and maintenanceAgent.admits (maintenance.go): whether anything new is admitted;
//   - Gateway.answerQuestion (control.go): what operators may ask.
//
// A gateway has these goroutines: the routing owner's, which alone touches the routing core (g.owner.Call runs a function on it);
// the listener's and those of the connections, which internal/session owns; with their sections of the operators' file the floating
// addresses' health poll and the maintenance agent's loop. Gateway.end ends all of them and waits for them.
package gateway

import (
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"

	"marblespan/internal/config"
	"marblespan/internal/control"
	"marblespan/internal/intents"
	"marblespan/internal/routing"
	"marblespan/internal/session"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// heapShare is the share of the memory limit that the garbage collector aims to stay under, in hundredths. The rest is left to
// stacks and the kernel's accounting.
const heapShare = 75

// signalQueue is how many signals may wait while one is dealt with; the system folds further ones of a kind anyway.
const signalQueue = 16

// Gateway is one running gateway.
type Gateway struct {
	cfg         *config.Config    // as at the start; what may change meanwhile stands in inForce, settings and discovery
	operators   *config.Operators // as at the start
	incarnation uint64            // microseconds of Unix time at the start

	// What a reload changes.
	reloadMutex sync.Mutex
	inForce     *settings.Live
	settings    map[string]any // those in force, as written

	log      zerolog.Logger
	closeLog func()
	clock    routing.Clock

	// What serves clients, and what all of it shares.
	owner          *routing.Owner
	buffers        *transport.Buffers
	descriptors    *transport.Descriptors
	connectionEnds *transport.EndRecorder
	listener       *transport.Listener
	acceptDone     chan struct{} // closed once the listener accepts nothing more
	clients        *session.Clients
	servers        *session.Servers
	discovery      *session.Discovery

	// What the operators' file switches on. Methods of nil pointers do nothing, so that callers need not ask.
	floating    *floatingAddresses // nil without a floating address
	members     *members           // nil without a members section
	store       Store              // nil without a state-store section
	positions   *sessionPositions  // nil where no session's position is stored
	intents     intents.Resolver   // nil without an in-doubt section
	maintenance *maintenanceAgent  // nil without a maintenance section
	control     *control.Server    // nil without a control socket

	ready    atomic.Bool // a request could be routed; stays true
	stopping atomic.Bool
}

// Load reads both configurations, the platform's and the operators'.
type Load func() (*config.Config, *config.Operators, error)

// Run runs a gateway until SIGTERM or SIGINT, and returns when it has stopped. On SIGUSR1 it logs its counters, and on SIGHUP it
// takes over what load reads, also while it stops: drains are still announced then.
func Run(load Load, out io.Writer) error {
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	cfg, ops, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * heapShare / 100)
	g, err := Start(cfg, ops, out)
	if err != nil {
		return err
	}
	releaseStartupMemory()
	g.handleSignals(signals, load)
	return nil
}

// handleSignals does what signals ask for until the gateway has stopped.
func (g *Gateway) handleSignals(signals <-chan os.Signal, load Load) {
	var stopped chan struct{} // nil until the first signal to stop; then closed when Stop returns
	for {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				g.LogCounters()
			case syscall.SIGHUP:
				g.Reload(load())
			default:
				if stopped == nil {
					stopped = make(chan struct{})
					go func() {
						defer close(stopped)
						g.Stop()
					}()
				}
			}
		case <-stopped:
			return
		}
	}
}

// Addr is the address that clients connect to.
func (g *Gateway) Addr() string { return g.listener.Addr() }

// isReady tells whether a request could be routed and is admitted.
func (g *Gateway) isReady() bool {
	if !g.maintenance.admits() {
		return false
	}
	if !g.ready.Load() {
		g.owner.Call(func(c *routing.Core) { g.ready.Store(c.Ready()) })
	}
	return g.ready.Load()
}
