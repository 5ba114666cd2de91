package routing

import (
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// Core is the state of the owner's goroutine: the router, the open requests, the timers, the endpoint list and the counters. It
// reads no clock, starts no goroutines and has no locks; see Owner for how other goroutines reach it.
type Core struct {
	Counts Counts

	router    *policy.Router
	servers   Servers
	discovery Discovery
	log       zerolog.Logger

	inForce        *settings.Snapshot
	counterIndexes []int // index in Counts of each class of inForce

	startedAt clock.Micros
	now       clock.Micros // time of the event being handled
	timers    timers
	pending   []policy.Event // events caused by the router's own actions; handled after those actions
	requests  requestTable
	endpoints endpointList

	requestLog requestLog
}

// maxListWait bounds how long after its start the gateway waits for the first pushed endpoint list; meanwhile the gateway is not
// ready. It waits because the list that it starts with may be old, while policy assumes that the gateway knows every change of a
// pushed list at once. The wait is bounded so that a discovery agent that does not answer cannot keep the gateway out of service:
// a restart must be over within 10 s.
const maxListWait = clock.Micros(3 * time.Second / time.Microsecond)

// NewCore creates a Core and starts its router. The parameter known is the endpoint list that the gateway had last.
func NewCore(
	now clock.Micros, seed uint64, inForce *settings.Snapshot, known EndpointListUpdate, servers Servers, disc Discovery,
	log zerolog.Logger,
) *Core {
	c := &Core{
		inForce: inForce, servers: servers, discovery: disc, log: log, now: now, startedAt: now,
		requests: newRequestTable(now), endpoints: newEndpointList(),
	}
	c.counterIndexes = c.Counts.counterIndexes(inForce.ClassNames)
	router, first := policy.New(now, seed, inForce.Settings)
	c.router = router
	// Apply the list before the first actions, because one of them may be a watch, which must ask for the changes after this
	// list.
	c.updateEndpointList(known, policy.ListCached)
	c.perform(first)
	c.handlePending()
	return c
}

// Ready reports whether requests can be routed: the list names a server and, if lists are pushed, a list has been received
// since the start or maxListWait has passed.
func (c *Core) Ready() bool {
	awaited := c.inForce.Settings.ListPushed && !c.endpoints.received && c.now-c.startedAt < maxListWait
	return c.endpoints.anyListed() && !awaited
}

// Health describes how well the gateway can serve requests.
type Health struct {
	policy.Health
	ListFailing bool // the last call for the endpoint list failed
}

// Health returns how well the gateway can serve requests. Only groups that had a request within the given time count.
func (c *Core) Health(within clock.Micros) Health {
	return Health{c.router.Health(within), c.endpoints.failing}
}

// OpenRequests returns the number of requests that have not been answered.
func (c *Core) OpenRequests() int { return len(c.requests.byClient) }

// Handle handles one event.
func (c *Core) Handle(now clock.Micros, ev Event) {
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case *Request:
		c.handleRequest(e)
	case ClientDisconnected:
		c.handleClientDisconnected(e)
	case AttemptReady:
		e.Decide(c.router.Confirm(c.now, e.Job.ID, e.Job.Attempt))
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

// Expire handles the timers that are due.
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

// NextTimer returns the time of the next timer for Expire, and whether a timer is set.
func (c *Core) NextTimer() (clock.Micros, bool) { return c.timers.first() }

// Reconfigure puts new settings in force. Open requests finish under the settings that were in force when they arrived.
func (c *Core) Reconfigure(next *settings.Snapshot) {
	c.inForce, c.counterIndexes = next, c.Counts.counterIndexes(next.ClassNames)
	c.Counts.Reloads++
	c.perform(c.router.Reconfigure(c.now, next.Settings))
	c.handlePending()
}

// step passes one event to the router and carries out the actions that it returns.
func (c *Core) step(ev policy.Event) { c.perform(c.router.Step(c.now, ev)) }

// handlePending passes events that were caused by the router's own actions to the router, until none are left.
func (c *Core) handlePending() {
	for len(c.pending) > 0 {
		ev := c.pending[0]
		c.pending = c.pending[1:]
		c.step(ev)
	}
}
