package routing

import (
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// Core is what the owner's goroutine owns: the router, the open requests, the timers, the endpoint list and the counters. It
// reads no clock, starts no goroutine and has no lock; Owner says how other goroutines reach it.
type Core struct {
	Counts Counts

	router    *policy.Router
	servers   Servers
	discovery Discovery
	log       zerolog.Logger

	inForce        *settings.Snapshot
	counterIndexes []int // among Counts, of the classes in inForce

	startedAt clock.Micros
	now       clock.Micros // of the event being handled
	timers    timers
	pending   []policy.Event // caused by the router's own actions, to be handled after them
	requests  requestTable
	endpoints endpointList

	requestLog requestLog
}

// maxListWait is how long after a start the gateway is not ready while the first list of a discovery that pushes is missing.
// The list that came with the configuration may be old, and policy takes a pushed list as known from the first moment on.
// A silent discovery agent must not keep the gateway out of service for longer: restarts are to be over within 10 s.
const maxListWait = clock.Micros(3 * time.Second / time.Microsecond)

// NewCore starts the router with the endpoint list that the gateway last had.
func NewCore(
	now clock.Micros, seed uint64, inForce *settings.Snapshot, known EndpointListUpdate, servers Servers, disc Discovery,
	log zerolog.Logger,
) *Core {
	c := &Core{
		inForce: inForce, servers: servers, discovery: disc, log: log, now: now, startedAt: now,
		requests: newRequestTable(), endpoints: newEndpointList(),
	}
	c.counterIndexes = c.Counts.counterIndexes(inForce.ClassNames)
	router, first := policy.New(now, seed, inForce.Settings)
	c.router = router
	// The list comes first, so that a watch asks for the changes after it.
	c.updateEndpointList(known, policy.ListCached)
	c.perform(first)
	c.handlePending()
	return c
}

// Ready reports whether a request could be routed: the list names a server, and where the list is pushed it has been
// received since the start or waited for long enough.
func (c *Core) Ready() bool {
	awaited := c.inForce.Settings.ListPushed && !c.endpoints.received && c.now-c.startedAt < maxListWait
	return c.endpoints.anyListed() && !awaited
}

// Health is how well the gateway can serve.
type Health struct {
	policy.Health
	ListFailing bool // the last call for the endpoint list failed
}

// Health reports how well the gateway can serve. Groups count that had a request within the time given.
func (c *Core) Health(within clock.Micros) Health {
	return Health{c.router.Health(within), c.endpoints.failing}
}

// OpenRequests is the number of requests that still await their answer.
func (c *Core) OpenRequests() int { return len(c.requests.byClient) }

// Handle takes in one event.
func (c *Core) Handle(now clock.Micros, ev Event) {
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case *Request:
		c.handleRequest(e)
	case ClientDisconnected:
		c.handleClientDisconnected(e)
	case AttemptEnded:
		c.handleAttemptEnded(e)
	case HealthCheckEnded:
		c.Counts.HealthChecks[e.Result]++
		c.step(policy.HealthCheckEnded{Server: e.Server, Result: e.Result, Latency: e.Latency, LoadReport: e.LoadReport})
	case EndpointListUpdate:
		c.updateEndpointList(e, listForm(e))
	case Call:
		e.Do(c)
	}
	c.handlePending()
}

// Expire handles the timers that have come due.
func (c *Core) Expire(now clock.Micros) {
	c.now = max(c.now, now)
	for {
		timer, ok := c.timers.due(c.now)
		if !ok {
			return
		}
		c.step(timer)
		c.handlePending()
	}
}

// NextTimer is when Expire has something to do, if a timer is set.
func (c *Core) NextTimer() (clock.Micros, bool) { return c.timers.first() }

// Reconfigure puts other settings in force. Open requests are finished under those that they came under.
func (c *Core) Reconfigure(next *settings.Snapshot) {
	c.inForce, c.counterIndexes = next, c.Counts.counterIndexes(next.ClassNames)
	c.Counts.Reloads++
	c.perform(c.router.Reconfigure(c.now, next.Settings))
	c.handlePending()
}

// step gives the router one event and carries out its actions.
func (c *Core) step(ev policy.Event) { c.perform(c.router.Step(c.now, ev)) }

// handlePending gives the router the events that its own actions have caused, until there are none.
func (c *Core) handlePending() {
	for len(c.pending) > 0 {
		ev := c.pending[0]
		c.pending = c.pending[1:]
		c.step(ev)
	}
}
