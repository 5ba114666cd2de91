package gateway

import (
	"time"

	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// The platform kills a gateway no sooner after SIGTERM than the longest deadline of a class, counted as maxDeadlineAllowance where
// it is longer, plus killGrace. stopMargin of that is left for the last answers and for closing everything.
const (
	maxDeadlineAllowance = 3 * time.Second
	killGrace            = 700 * time.Millisecond
	stopMargin           = 200 * time.Millisecond
)

// minDrainDelay is for how long after SIGTERM the gateway serves as before: the front goes on sending to it for up to 0.4 s, and a
// connection that is closed sooner would only be opened again.
const minDrainDelay = 450 * time.Millisecond

// drainLead is how long before its end the gateway stops taking requests, so that nearly all are answered by then; the few that
// are not are failed rather than left without an answer.
const drainLead = 600 * time.Millisecond

// partialMessageGrace is how much longer messages that have arrived in part only are waited for. A request is taken with its last
// byte; until then its client may send it elsewhere, and a client that stops halfway must not hold up the restart.
const partialMessageGrace = 200 * time.Millisecond

// drainInterval is how often a stopping gateway looks whether it is done.
const drainInterval = 10 * time.Millisecond

// shutdown is one graceful shutdown.
type shutdown struct {
	*Gateway
	start time.Time
	limit time.Duration // since start: when the last requests are failed
}

// Stop shuts the gateway down gracefully: it serves on until shortly before the platform would kill it, then closes idle clients,
// answers all requests that were taken, and ends. Where no client is left it ends sooner.
func (g *Gateway) Stop() {
	g.log.Info().Msg("stopping")
	s := shutdown{Gateway: g, start: time.Now()}
	s.announce()
	s.limit = min(g.longestDeadline(), maxDeadlineAllowance) + killGrace - stopMargin
	s.serveOn()
	s.drainClients()
	s.closeListener()
	s.failOpenRequests()
	s.settleIntents()
	g.owner.Call(g.logRoutingCounters)
	g.end()
	g.logConnectionCounters()
	g.log.Info().Dur("took_ms", time.Since(s.start)).Msg("stopped")
	g.closeLog()
}

// announce tells fronts, other gateways and the state store that this gateway is about to end.
func (s shutdown) announce() {
	s.stopping.Store(true)
	s.members.setDraining(true)
	if s.store != nil {
		go s.store.TransferLeadership() // ends by itself; others lead what was led here before anybody misses it
	}
	s.floating.releaseAll(false)
}

// longestDeadline is the longest deadline of a class that is in force.
func (g *Gateway) longestDeadline() (longest time.Duration) {
	for _, c := range g.inForce.Load().Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return longest
}

// serveOn serves as before until no client is left, or drainLead before the limit. Clients use the connections they have for as long
// as these are open, and may have no other gateway.
func (s shutdown) serveOn() {
	time.Sleep(minDrainDelay)
	s.waitUntilNone(s.clients.Open, s.limit-drainLead)
}

// drainClients takes no new requests, sends clients away between requests, and waits for those that are busy.
func (s shutdown) drainClients() {
	s.floating.releaseAll(true)
	s.members.announceLeave()
	s.clients.Drain(transport.EndDraining)
	s.waitUntilNone(s.clients.Open, min(time.Since(s.start)+partialMessageGrace, s.limit))
	s.clients.CutOff()
	s.waitUntilNone(s.clients.Busy, s.limit) // a client that connects again and again with no request is not waited for
}

// closeListener closes the listener, and waits for what was still in its backlog and at the floating addresses.
func (s shutdown) closeListener() {
	s.listener.Close()
	<-s.acceptDone
	s.waitUntilNone(s.clients.Open, s.limit)
	s.waitUntilNone(s.floating.open, s.limit)
}

// failOpenRequests fails the requests that are left, and waits until their clients have their answers.
func (s shutdown) failOpenRequests() {
	open := func() int { return s.clients.Open() + s.floating.open() }
	if open() == 0 {
		return
	}
	if s.intents != nil {
		s.intents.StartShutdown() // routing does not know of requests whose intents are not claimed yet
	}
	s.owner.Call((*routing.Core).FailAll)
	s.waitUntilNone(open, s.limit+stopMargin/2)
}

// settleIntents waits until the state store knows the outcome of every intent, at least for half of stopMargin.
func (s shutdown) settleIntents() {
	if s.intents != nil {
		s.intents.WaitIdle(max(time.Until(s.start.Add(s.limit+stopMargin/2)), stopMargin/2))
	}
}

// waitUntilNone waits until a count is 0, for no longer than an end since the start of the shutdown.
func (s shutdown) waitUntilNone(count func() int, end time.Duration) {
	for count() > 0 && time.Since(s.start) < end {
		time.Sleep(drainInterval)
	}
}

// end ends everything that serves no client, and waits for it.
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
