// Package gateway builds a gateway from its parts, and starts, reloads and stops it. The programs' command line (internal/cli)
// calls Run; tests call Start.
//
// The main decisions are in
//
//   - handleSignals: what each signal does;
//   - Start (start.go): the order in which the parts start, and which parts the operators' file enables;
//   - Gateway.Reload (reload.go): what may change while the gateway runs;
//   - Gateway.Stop (stop.go): the steps of a graceful shutdown, and how long each may take;
//   - Gateway.isReady and maintenanceAgent.admits (maintenance.go): whether new clients and requests are admitted;
//   - Gateway.answerQuestion (control.go): the questions that operators may ask on the control socket.
//
// A gateway has these goroutines: the routing owner's, the only one that accesses the routing core (g.owner.Call runs a function
// on it); the listener's and those of the connections, which internal/session owns; and, if the operators' file has the sections
// for them, the floating addresses' health poll and the maintenance agent's loop. Gateway.Stop ends all of them and waits for them.
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

// signalQueueSize is how many signals may be queued while one is handled. Further signals are dropped. The loss is acceptable,
// because the system merges pending signals of one kind anyway.
const signalQueueSize = 16

// Gateway is one running gateway.
type Gateway struct {
	cfg         *config.Config    // the configuration at the start; inForce, settings and discovery hold what a reload may change
	operators   *config.Operators // the operators' file at the start
	incarnation uint64            // microseconds of Unix time at the start

	// State that a reload changes.
	reloadMutex sync.Mutex
	inForce     *settings.Live
	settings    map[string]any // the settings in force, as written in the configuration

	log      zerolog.Logger
	closeLog func()
	clock    routing.Clock

	// The parts that serve clients, and what they share.
	owner          *routing.Owner
	buffers        *transport.Buffers
	descriptors    *transport.Descriptors
	connectionEnds *transport.EndRecorder
	listener       *transport.Listener
	acceptDone     chan struct{} // closed once the listener accepts nothing more
	clients        *session.Clients
	pace           *session.Pace
	servers        *session.Servers
	discovery      *session.Discovery

	// The parts that the operators' file enables. Methods of the pointer types do nothing on nil, so that callers need not check.
	floating    *floatingAddresses // nil without a floating address
	members     *members           // nil without a members section
	store       Store              // nil without a state-store section
	positions   *sessionPositions  // nil unless session positions are stored
	intents     intents.Resolver   // nil without an in-doubt section
	maintenance *maintenanceAgent  // nil without a maintenance section
	control     *control.Server    // nil without a control socket

	ready    atomic.Bool // the routing core can route requests; once true, it stays true
	stopping atomic.Bool
}

// Load is a function that reads both configurations, the platform's and the operators'.
type Load func() (*config.Config, *config.Operators, error)

// Run runs a gateway until SIGTERM or SIGINT, and returns when it has stopped. On SIGUSR1 it logs its counters. On SIGHUP it
// reloads the configurations with load, even while the gateway is stopping, because drains of servers are still announced then.
func Run(load Load, out io.Writer) error {
	signals := make(chan os.Signal, signalQueueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	cfg, ops, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	plan := planMemory(cfg, ops)
	debug.SetMemoryLimit(plan.heapLimit)
	g, err := Start(cfg, ops, out)
	if err != nil {
		return err
	}
	g.log.Info().Int("released_bytes", releaseStartupMemory()).Int64("heap_limit", plan.heapLimit).Int64("message_limit", plan.messages).
		Int("descriptors", plan.descriptors).
		Msg("memory")
	g.handleSignals(signals, load)
	return nil
}

// handleSignals handles signals until the gateway has stopped.
func (g *Gateway) handleSignals(signals <-chan os.Signal, load Load) {
	var stopped chan struct{} // nil until the first signal to stop; after that, a channel that is closed when Stop returns
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

// Addr returns the address that clients connect to.
func (g *Gateway) Addr() string { return g.listener.Addr() }

// isReady reports whether new requests are admitted and can be routed.
func (g *Gateway) isReady() bool {
	if !g.maintenance.admits() {
		return false
	}
	if !g.ready.Load() {
		g.owner.Call(func(c *routing.Core) { g.ready.Store(c.Ready()) })
	}
	return g.ready.Load()
}
