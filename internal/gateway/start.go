package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/control"
	"marblespan/internal/routing"
	"marblespan/internal/session"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// The database servers accept any user and database name. The gateway uses the same names as the clients do.
const (
	serverUser     = "backend"
	serverDatabase = "store"
)

// logBufferLines is how many log lines may wait to be written. When the buffer is full, lines are dropped so that logging never
// blocks.
const logBufferLines = 8192

// logPollInterval is how often the log's writer polls for new lines. The library's alternative, to wake the writer for each line,
// can miss a wake-up because the library signals without holding the lock. The line then waits until the next line is logged,
// which took seconds in a quiet gateway.
const logPollInterval = 20 * time.Millisecond

// Start starts a gateway. When it returns without an error, the gateway accepts clients.
func Start(cfg *config.Config, ops *config.Operators, out io.Writer) (*Gateway, error) {
	return start(cfg, ops, out, func(*Gateway) {})
}

// start does the work of Start. Tests pass a function tune, which changes time limits before any goroutine that uses them runs.
func start(cfg *config.Config, ops *config.Operators, out io.Writer, tune func(*Gateway)) (*Gateway, error) {
	g := newGateway(cfg, ops, out)
	tune(g)
	if err := g.serve(); err != nil {
		g.closeLog()
		return nil, err
	}
	g.log.Info().Str("listen", g.listener.Addr()).Str("discovery", cfg.Discovery).Str("operators", ops.Summary()).Msg("started")
	g.warnOfFormerWords(ops)
	if err := g.startOptionalParts(); err != nil {
		g.abort()
		return nil, err
	}
	return g, nil
}

// newGateway creates a gateway's parts. Of the parts' goroutines, newGateway starts only the log's writer.
func newGateway(cfg *config.Config, ops *config.Operators, out io.Writer) *Gateway {
	plan := planMemory(cfg, ops)
	log, closeLog := newLog(cfg.Name, out)
	g := &Gateway{
		cfg: cfg, operators: ops, inForce: settings.NewLive(cfg.InForce), settings: cfg.Settings,
		log: log, closeLog: closeLog, clock: routing.NewClock(), acceptDone: make(chan struct{}),
		buffers:        transport.NewBuffers(plan.messages),
		descriptors:    transport.NewDescriptors(plan.descriptors),
		connectionEnds: transport.NewEndRecorder(log),
	}
	g.owner = routing.NewOwner(g.clock)
	g.pace = session.NewPace(cfg.Cores)
	g.positions = newSessionPositions(ops, g.clock)
	g.incarnation = uint64(time.Now().UnixMicro())
	g.intents = newIntents(g)
	g.maintenance = newMaintenanceAgent(g)
	g.clients = g.newClients(&session.ClientCounts{}, session.DefaultTimeouts)
	g.servers = &session.Servers{
		Owner: g.owner, InForce: g.inForce, Buffers: g.buffers, Fds: g.descriptors, Ends: g.connectionEnds, Clock: g.clock,
		User: serverUser, DB: serverDatabase,
	}
	g.discovery = &session.Discovery{
		Addr: cfg.Discovery, Owner: g.owner, Buffers: g.buffers, Fds: g.descriptors, Ends: g.connectionEnds,
		Limits: session.DefaultCallTimeouts,
	}
	return g
}

// newLog creates the log, whose lines a goroutine of the diode library writes to out, and closeLog, which ends that goroutine.
func newLog(name string, out io.Writer) (log zerolog.Logger, closeLog func()) {
	dropped := &atomic.Int64{}
	// The struct hides out's Close method. Otherwise w.Close would close out. In production out is standard error, to which the
	// program may still have to write its last line.
	w := diode.NewWriter(struct{ io.Writer }{out}, logBufferLines, logPollInterval, func(lost int) { dropped.Add(int64(lost)) })
	log = zerolog.New(w).With().Timestamp().Str("gateway", name).Logger()
	return log, func() {
		if lines := dropped.Load(); lines > 0 {
			log.Warn().Int64("lines", lines).Msg("log lines dropped")
		}
		w.Close()
	}
}

// serve starts the goroutines that serve clients: the routing owner's, which ends with owner.Stop, and the listener's, which ends
// with listener.Close.
func (g *Gateway) serve() (err error) {
	if g.listener, err = transport.Listen(g.cfg.Listen, g.buffers, g.descriptors); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go g.owner.Run(func(now clock.Micros) *routing.Core {
		return routing.NewCore(now, g.cfg.Seed, g.cfg.InForce, routing.EndpointListUpdate{List: g.cfg.KnownServers}, g.servers, g.discovery,
			g.log)
	})
	go func() {
		defer close(g.acceptDone)
		g.listener.Serve(g.clients.Serve)
	}()
	return nil
}

// newClients creates the session.Clients of one listener: the gateway's own listener, or that of an activation of a floating
// address. Each listener has its own session.Clients; all of them share the gateway's other parts.
func (g *Gateway) newClients(counts *session.ClientCounts, limits session.Timeouts) *session.Clients {
	c := &session.Clients{
		Owner: g.owner, InForce: g.inForce, Buffers: g.buffers, Fds: g.descriptors, Ends: g.connectionEnds, Clock: g.clock,
		Ready: g.isReady, Limits: limits, Pace: g.pace, Counts: counts,
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

// startOptionalParts starts the parts that the operators' file enables.
func (g *Gateway) startOptionalParts() (err error) {
	if g.operators.Members != nil {
		if g.members, err = startMembers(g); err != nil {
			return fmt.Errorf("members: %w", err)
		}
	}
	if g.operators.StateStore != nil {
		if err = g.startStore(); err != nil {
			return fmt.Errorf("state-store: %w", err)
		}
	}
	if g.operators.VRRP != nil {
		if g.floating, err = startFloating(g); err != nil {
			return fmt.Errorf("vrrp: %w", err)
		}
	}
	g.maintenance.start()
	if g.operators.Control != "" {
		if g.control, err = control.Listen(g.operators.Control, g.answerQuestion); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		g.descriptors.Reserve(control.Descriptors)
	}
	return nil
}

// abort stops a gateway at once after one of its parts failed to start.
func (g *Gateway) abort() {
	g.floating.releaseAll(true, time.Time{})
	g.listener.Close()
	<-g.acceptDone
	g.clients.Drain(transport.EndDraining)
	g.clients.CutOff()
	g.end()
	g.closeLog()
}
