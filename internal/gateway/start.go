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

// The servers' side of the protocol takes any user; these are the names that clients use too.
const (
	serverUser     = "backend"
	serverDatabase = "store"
)

// messageShare is the share of the memory limit that messages in flight may hold, in hundredths.
const messageShare = 50

// logLines is how many lines the log may lag behind before it drops some rather than hold anybody up.
const logLines = 8192

// logPoll is how often the log's writer looks for lines. It could be woken by them instead, but that wake can be missed
// (the library signals without holding the lock): the line then waited for the next one, seconds in a quiet gateway.
const logPoll = 20 * time.Millisecond

// Start starts a gateway, which serves once it returns.
func Start(cfg *config.Config, ops *config.Operators, out io.Writer) (*Gateway, error) {
	return start(cfg, ops, out, func(*Gateway) {})
}

// start lets tests tune time limits before anything runs.
func start(cfg *config.Config, ops *config.Operators, out io.Writer, tune func(*Gateway)) (*Gateway, error) {
	g := newGateway(cfg, ops, out)
	tune(g)
	if err := g.serve(); err != nil {
		g.closeLog()
		return nil, err
	}
	g.log.Info().Str("listen", g.listener.Addr()).Str("discovery", cfg.Discovery).Str("operators", ops.Summary()).Msg("started")
	g.warnOfFormerWords(ops)
	if err := g.startOperators(); err != nil {
		g.abort()
		return nil, err
	}
	return g, nil
}

// newGateway makes a gateway's parts. Nothing runs yet but the log.
func newGateway(cfg *config.Config, ops *config.Operators, out io.Writer) *Gateway {
	log, closeLog := newLog(cfg.Name, out)
	g := &Gateway{
		cfg: cfg, operators: ops, inForce: settings.NewLive(cfg.InForce), settings: cfg.Settings,
		log: log, closeLog: closeLog, clock: routing.NewClock(), acceptDone: make(chan struct{}),
		buffers:        transport.NewBuffers(int64(cfg.MemoryMB) << 20 * messageShare / 100),
		descriptors:    transport.NewDescriptors(cfg.Sockets),
		connectionEnds: transport.NewEndRecorder(log),
	}
	g.owner = routing.NewOwner(g.clock)
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

// newLog makes the log, whose lines are written by a goroutine of the library's, and closeLog, which ends that goroutine.
func newLog(name string, out io.Writer) (log zerolog.Logger, closeLog func()) {
	dropped := &atomic.Int64{}
	// The log's writer would close what it writes to, and with it standard error, where the last line may still be due.
	w := diode.NewWriter(struct{ io.Writer }{out}, logLines, logPoll, func(lost int) { dropped.Add(int64(lost)) })
	log = zerolog.New(w).With().Timestamp().Str("gateway", name).Logger()
	return log, func() {
		if lines := dropped.Load(); lines > 0 {
			log.Warn().Int64("lines", lines).Msg("log lines dropped")
		}
		w.Close()
	}
}

// serve starts the goroutines that serve clients: the routing owner's, which owner.Stop ends, and the listener's, which
// listener.Close ends.
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

// newClients makes a set of clients beside the ones there are; they share everything but their listener.
func (g *Gateway) newClients(counts *session.ClientCounts, limits session.Timeouts) *session.Clients {
	c := &session.Clients{
		Owner: g.owner, InForce: g.inForce, Buffers: g.buffers, Fds: g.descriptors, Ends: g.connectionEnds, Clock: g.clock,
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

// startOperators starts what the operators' file switches on.
func (g *Gateway) startOperators() (err error) {
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

// abort ends a gateway that could not start whole and has served nobody.
func (g *Gateway) abort() {
	g.floating.releaseAll(true)
	g.listener.Close()
	<-g.acceptDone
	g.clients.Drain(transport.EndDraining)
	g.clients.CutOff()
	g.end()
	g.closeLog()
}
