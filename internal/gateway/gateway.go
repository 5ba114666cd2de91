// Package gateway starts the gateway, keeps it running and ends it.
package gateway

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/control"
	"marblespan/internal/intents"
	"marblespan/internal/routing"
	"marblespan/internal/session"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// The servers' side of the protocol takes any user; these are the names that clients use too.
const (
	serverUser     = "backend"
	serverDatabase = "store"
)

// The shares of the memory limit, in hundredths: what the collector aims to stay under, leaving the rest to stacks
// and the kernel's accounting, and what messages in flight may hold.
const (
	heapShare    = 75
	messageShare = 50
)

// signalQueue is how many signals may wait while one is dealt with; the system folds further ones of a kind anyway.
const signalQueue = 16

// logLines is how many lines the log may lag behind before it drops some rather than hold anybody up.
const logLines = 8192

// logPoll is how often the log's writer looks for lines. It could be woken by them instead, but that wake can be missed
// (the library signals without holding the lock): the line then waited for the next one, seconds in a quiet gateway.
const logPoll = 20 * time.Millisecond

// The platform kills a gateway no sooner after SIGTERM than the longest deadline, counted as mostPatience where it is
// longer, plus killSlack. stopMargin of that is left for last answers and for ending.
const (
	maxDeadlineAllowance = 3 * time.Second
	killGrace            = 700 * time.Millisecond
	stopMargin           = 200 * time.Millisecond
)

// drainAfter is the least time after SIGTERM for which the gateway serves as before: the front goes on sending to it for
// up to 0.4 s, and a connection closed sooner would only be opened again.
const minDrainDelay = 450 * time.Millisecond

// drainLast is how long before it leaves the gateway stops taking requests, so that nearly all are answered by then; the
// few that are not are failed rather than left without an answer.
const drainLead = 600 * time.Millisecond

// drainCut is how much longer messages that have come in part only are waited for. A request is taken with its last byte;
// until then its client may send it elsewhere, and whoever stops halfway must not hold up the restart.
const partialMessageGrace = 200 * time.Millisecond

// drainPoll is how often a stopping gateway looks whether it is done.
const drainInterval = 10 * time.Millisecond

// Gateway is one running gateway.
type Gateway struct {
	cfg         *config.Config // as at the start; what may change meanwhile stands below
	facts       *settings.Live
	settings    map[string]any // in force, as written
	reloading   sync.Mutex
	ops         *config.Operators
	log         zerolog.Logger
	closeLog    func()
	clock       routing.Clock
	owner       *routing.Owner
	buffers     *transport.Buffers
	descriptors *transport.Descriptors
	ends        *transport.Ends
	listener    *transport.Listener
	clients     *session.Clients
	servers     *session.Servers
	discovery   *session.Discovery
	floating    *floatingAddresses // nil without a floating address
	members     *members           // nil without a members section
	store       Store              // nil without a copies section
	positions   *sessionPositions  // nil where no session is kept
	intents     intents.Resolver   // nil where none is claimed before it is sent
	maintenance *maintenanceAgent  // nil without a maintenance section
	stopping    atomic.Bool
	incarnation uint64 // microseconds of Unix time at the start
	control     *control.Server
	ready       atomic.Bool
	accepting   chan struct{}
}

// Load reads both configurations, the platform's and the operators'.
type Load func() (*config.Config, *config.Operators, error)

// Run runs a gateway until SIGTERM or SIGINT. It prints its counters on SIGUSR1 and at the end, and on SIGHUP takes over
// what load reads; also while it stops, for drains are still told then.
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
	var stopped chan struct{}
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
			return nil
		}
	}
}

// Reload takes over what may change while the gateway runs: the settings, the address of discovery, and of the operators'
// file all but what Fixed names. A fault in either file leaves everything as it is.
func (g *Gateway) Reload(next *config.Config, ops *config.Operators, err error) {
	g.reloading.Lock()
	defer g.reloading.Unlock()
	if err != nil {
		g.log.Error().Err(err).Msg("reload failed, the old configuration stays")
		return
	}
	g.warnOfFormerWords(ops)
	if fixed := append(g.cfg.RestartRequired(next), g.ops.RestartRequired(ops)...); len(fixed) > 0 {
		g.log.Warn().Strs("keys", fixed).Msg("changed keys that take a restart")
	}
	if keys := config.Changed(g.settings, next.Settings); len(keys) > 0 {
		g.facts.Store(next.InForce)
		g.settings = next.Settings
		g.owner.Call(func(c *routing.Core) { c.Reconfigure(next.InForce) })
		g.log.Info().Strs("keys", keys).Msg("settings in force")
	}
	g.discovery.SetAddress(next.Discovery)
	g.floating.reload(ops)
	g.members.reload(ops, next.Settings)
	g.maintenance.reload(ops)
	g.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
}

// Start makes a gateway that serves from now on.
func Start(cfg *config.Config, ops *config.Operators, out io.Writer) (*Gateway, error) {
	return start(cfg, ops, out, func(*Gateway) {})
}

// start lets tests tune time limits before anything runs.
func start(cfg *config.Config, ops *config.Operators, out io.Writer, tune func(*Gateway)) (*Gateway, error) {
	dropped := &atomic.Int64{}
	// The log's writer would close what it writes to, and with it standard error, where the last word may be due.
	w := diode.NewWriter(struct{ io.Writer }{out}, logLines, logPoll, func(lost int) { dropped.Add(int64(lost)) })
	log := zerolog.New(w).With().Timestamp().Str("gateway", cfg.Name).Logger()
	g := &Gateway{
		cfg: cfg, facts: settings.NewLive(cfg.InForce), settings: cfg.Settings, ops: ops, log: log, clock: routing.NewClock(), accepting: make(chan struct{}),
		buffers:     transport.NewBuffers(int64(cfg.MemoryMB) << 20 * messageShare / 100),
		descriptors: transport.NewDescriptors(cfg.Sockets),
		ends:        transport.NewEnds(log),
	}
	g.closeLog = func() {
		if n := dropped.Load(); n > 0 {
			log.Warn().Int64("lines", n).Msg("log lines dropped")
		}
		w.Close()
	}
	g.owner = routing.NewOwner(g.clock)
	g.positions = newSessionPositions(ops, g.clock)
	g.incarnation = uint64(time.Now().UnixMicro())
	g.intents = newIntents(g)
	g.maintenance = newMaintenanceAgent(g)
	g.clients = g.newClients(&session.ClientCounts{}, session.DefaultTimeouts)
	g.servers = &session.Servers{
		Owner: g.owner, InForce: g.facts, Buffers: g.buffers, Fds: g.descriptors, Ends: g.ends, Clock: g.clock,
		User: serverUser, DB: serverDatabase,
	}
	g.discovery = &session.Discovery{
		Addr: cfg.Discovery, Owner: g.owner, Buffers: g.buffers, Fds: g.descriptors, Ends: g.ends,
		Limits: session.DefaultCallTimeouts,
	}
	tune(g)
	var err error
	if g.listener, err = transport.Listen(cfg.Listen, g.buffers, g.descriptors); err != nil {
		g.closeLog()
		return nil, fmt.Errorf("listen: %w", err)
	}
	go g.owner.Run(func(now clock.Micros) *routing.Core {
		return routing.NewCore(now, cfg.Seed, cfg.InForce, routing.EndpointListUpdate{List: cfg.KnownServers}, g.servers, g.discovery,
			log)
	})
	go func() {
		defer close(g.accepting)
		g.listener.Serve(g.clients.Serve)
	}()
	log.Info().Str("listen", g.listener.Addr()).Str("discovery", cfg.Discovery).Str("operators", ops.Summary()).Msg("started")
	g.warnOfFormerWords(ops)
	if err := g.startOperators(); err != nil {
		g.abort()
		return nil, err
	}
	return g, nil
}

// newClients makes a set of clients beside the ones there are; they share everything but their listener.
func (g *Gateway) newClients(counts *session.ClientCounts, limits session.Timeouts) *session.Clients {
	c := &session.Clients{
		Owner: g.owner, InForce: g.facts, Buffers: g.buffers, Fds: g.descriptors, Ends: g.ends, Clock: g.clock,
		Ready: g.isReady, Limits: limits, Counts: counts,
	}
	if g.positions != nil {
		c.SessionPositions = g.positions
	}
	c.InDoubtWrites = g.intents
	if g.maintenance != nil {
		c.MayAdmit = g.maintenance.acceptsRequests
	}
	return c
}

// warnOfFormerWords logs each former word that the operators' file still writes.
func (g *Gateway) warnOfFormerWords(ops *config.Operators) {
	for _, w := range ops.FormerWords() {
		g.log.Warn().Str("file", w.File).Int("line", w.Line).Str("former", w.Former).Str("new", w.New).Msg("former word in the operators' file")
	}
}

// startOperators starts what the operators' file switches on.
func (g *Gateway) startOperators() (err error) {
	if g.ops.Members != nil {
		if g.members, err = startMembers(g); err != nil {
			return fmt.Errorf("members: %w", err)
		}
	}
	if g.ops.StateStore != nil {
		if err = g.startStore(); err != nil {
			return fmt.Errorf("copies: %w", err)
		}
	}
	if g.ops.VRRP != nil {
		if g.floating, err = startFloating(g); err != nil {
			return fmt.Errorf("vrrp: %w", err)
		}
	}
	g.maintenance.start()
	if g.ops.Control != "" {
		if g.control, err = control.Listen(g.ops.Control, g.answerQuestion); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		g.descriptors.Hold(control.Descriptors)
	}
	return nil
}

// answer answers questions on the control socket.
func (g *Gateway) answerQuestion(question string) (any, error) {
	switch question {
	case "vrrp status":
		return g.floating.status(), nil
	case "members":
		return g.members.status(false)
	case "members streams":
		return g.members.status(true)
	case "intents":
		return g.intentsStatus()
	}
	switch words := strings.Fields(question); {
	case len(words) > 0 && words[0] == "copies":
		return g.answerStateStore(words[1:])
	case len(words) > 0 && words[0] == "maintain":
		return g.answerMaintenance(words[1:])
	}
	return nil, fmt.Errorf("unknown question %.40q", question)
}

// abort ends a gateway that could not start whole and has served nobody.
func (g *Gateway) abort() {
	g.floating.releaseAll(true)
	g.listener.Close()
	<-g.accepting
	g.clients.Drain(transport.EndDrain)
	g.clients.CutOff()
	g.end()
	g.closeLog()
}

// Addr is the address that clients connect to.
func (g *Gateway) Addr() string { return g.listener.Addr() }

// isReady tells whether a request could be routed. Once true it stays so.
func (g *Gateway) isReady() bool {
	if !g.maintenance.admits() {
		return false
	}
	if !g.ready.Load() {
		g.owner.Call(func(c *routing.Core) { g.ready.Store(c.Ready()) })
	}
	return g.ready.Load()
}

// Stop serves on until shortly before the gateway must leave, then closes idle clients, answers all that was taken, and
// ends. Where no client is left it ends sooner.
func (g *Gateway) Stop() {
	g.log.Info().Msg("stopping")
	start := time.Now()
	g.stopping.Store(true)
	g.members.setDraining(true)
	if g.store != nil {
		go g.store.TransferLeadership() // others lead what was led here before anybody misses it
	}
	g.floating.releaseAll(false)
	longest := time.Duration(0)
	for _, c := range g.facts.Load().Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	stopBy := min(longest, maxDeadlineAllowance) + killGrace - stopMargin
	wait := func(end time.Duration, open func() int) {
		for open() > 0 && time.Since(start) < end {
			time.Sleep(drainInterval)
		}
	}
	// Clients use the connections they have for as long as these are open, and may have no other gateway.
	time.Sleep(minDrainDelay)
	wait(stopBy-drainLead, g.clients.Open)
	g.floating.releaseAll(true)
	g.members.announceLeave()
	g.clients.Drain(transport.EndDrain)
	wait(min(time.Since(start)+partialMessageGrace, stopBy), g.clients.Open)
	g.clients.CutOff()
	wait(stopBy, g.clients.Busy) // whoever connects for nothing all the time is not waited for
	g.listener.Close()
	<-g.accepting
	wait(stopBy, g.clients.Open) // what was still in the listener's backlog
	wait(stopBy, g.floating.open)
	if g.clients.Open()+g.floating.open() > 0 {
		if g.intents != nil {
			g.intents.StartShutdown() // routing does not know of those that are not claimed yet
		}
		g.owner.Call((*routing.Core).FailAll)
		wait(stopBy+stopMargin/2, func() int { return g.clients.Open() + g.floating.open() })
	}
	g.settleIntents(max(time.Until(start.Add(stopBy+stopMargin/2)), stopMargin/2))
	g.owner.Call(g.logRoutingCounters)
	g.end()
	g.logConnectionCounters()
	g.log.Info().Dur("took_ms", time.Since(start)).Msg("stopped")
	g.closeLog()
}

// end ends everything that serves no client.
func (g *Gateway) end() {
	g.control.Close()
	g.maintenance.close()
	g.floating.close()
	if g.intents != nil {
		g.intents.Close()
	}
	if g.store != nil {
		g.store.Close()
	}
	g.members.close()
	g.owner.Stop() // before the servers, so that nothing new is sent while they close
	g.discovery.Close()
	g.servers.Close()
}
