package gateway

import (
	"time"

	"marblespan/internal/routing"
	"marblespan/internal/session"
	"marblespan/internal/transport"
)

// After SIGTERM, the platform waits at least for the longest deadline of a class, but for no more than maxDeadlineAllowance, and
// then for killGrace, before it kills the gateway. The last stopMargin of this time is reserved for the last answers and for
// closing everything.
const (
	maxDeadlineAllowance = 3 * time.Second
	killGrace            = 700 * time.Millisecond
	stopMargin           = 200 * time.Millisecond
)

// minDrainDelay is the time after SIGTERM during which the gateway serves as before. A load balancer in front of the gateways
// keeps sending clients to this gateway for up to 0.4 s, so a client whose connection is closed sooner would only reconnect to
// this gateway.
const minDrainDelay = 450 * time.Millisecond

// drainLead is how long before the limit of the shutdown the gateway begins to close clients, so that nearly all requests are
// answered by the limit. The few remaining requests are failed rather than left without an answer.
const drainLead = 600 * time.Millisecond

// partialMessageGrace is how much longer the gateway waits for the rest of messages that have arrived only in part. A request is
// accepted only when its last byte has arrived. Until then its client may send it to another gateway, and a client that stops
// halfway must not delay the restart.
const partialMessageGrace = 200 * time.Millisecond

// drainInterval is how often a stopping gateway checks whether a step of the shutdown is complete.
const drainInterval = 10 * time.Millisecond

// shutdown is one graceful shutdown.
type shutdown struct {
	*Gateway
	start time.Time
	limit time.Duration // time from start until the remaining requests are failed
}

// Stop shuts the gateway down gracefully. The gateway keeps serving until shortly before the platform would kill it, then closes
// idle clients, answers all requests that it has accepted, and ends. It ends sooner if no client is left.
func (g *Gateway) Stop() {
	g.log.Info().Msg("stopping")
	s := shutdown{Gateway: g, start: time.Now(), limit: min(g.longestDeadline(), maxDeadlineAllowance) + killGrace - stopMargin}
	s.announce()
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

// announce tells load balancers, the other gateways and the state store that this gateway is about to end.
func (s shutdown) announce() {
	s.stopping.Store(true)
	s.members.setDraining(true)
	if s.store != nil {
		go s.store.TransferLeadership() // takes a second at most; the Raft groups led here get new leaders before this gateway ends
	}
	s.floating.releaseAll(false, s.at(s.limit-drainLead))
}

// longestDeadline returns the longest deadline of a class in the settings in force.
func (g *Gateway) longestDeadline() (longest time.Duration) {
	for _, c := range g.inForce.Load().Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return longest
}

// serveOn keeps serving until no client is left, or until drainLead before the limit. Clients keep using their open connections,
// and may not be able to reach another gateway.
func (s shutdown) serveOn() {
	time.Sleep(minDrainDelay)
	s.waitUntilNone(s.clients.Open, s.limit-drainLead)
}

// drainClients closes idle clients at once and the others after their answers, and waits for those that are busy. Reads do not wait for
// their sessions' positions any more, so that the primary can still serve them.
func (s shutdown) drainClients() {
	s.eachClients((*session.Clients).StopAwaitingPositions)
	s.floating.releaseAll(true, s.at(s.limit-drainLead/2))
	s.members.announceLeave()
	s.clients.Drain(transport.EndDraining)
	s.waitUntilNone(s.clients.Open, min(time.Since(s.start)+partialMessageGrace, s.limit))
	s.clients.CutOff()
	s.waitUntilNone(s.clients.Busy, s.limit) // busy clients only, because clients without a request may keep reconnecting
}

// closeListener closes the listener, and waits for the clients that were still in its backlog or are at the floating addresses.
func (s shutdown) closeListener() {
	s.listener.Close()
	<-s.acceptDone
	s.waitUntilNone(s.clients.Open, s.limit)
	s.waitUntilNone(s.floating.open, s.limit)
}

// failOpenRequests gives the remaining requests their final answers, and waits until their clients have received them. The resolver of
// in-doubt writes and routing answer first, because their answers say more. The connections then answer what neither of them has,
// such as a request that is still on its way to one of them, or whose position is being stored.
func (s shutdown) failOpenRequests() {
	open := func() int { return s.clients.Open() + s.floating.open() }
	if open() == 0 {
		return
	}
	s.eachClients((*session.Clients).RefuseNew)
	if s.intents != nil {
		s.intents.StartShutdown()
	}
	s.owner.Call((*routing.Core).FailAll)
	s.eachClients((*session.Clients).FailOpen)
	s.waitUntilNone(open, s.limit+stopMargin/2)
}

// eachClients calls a function for the clients of each listener.
func (s shutdown) eachClients(do func(*session.Clients)) {
	do(s.clients)
	s.floating.eachClients(do)
}

// settleIntents waits until the outcome of every intent is in the state store, for stopMargin/2 or until stopMargin/2 after the
// limit, whichever ends later.
func (s shutdown) settleIntents() {
	if s.intents != nil {
		s.intents.WaitIdle(max(time.Until(s.start.Add(s.limit+stopMargin/2)), stopMargin/2))
	}
}

// at returns the time that is a duration after the start of the shutdown.
func (s shutdown) at(d time.Duration) time.Time { return s.start.Add(d) }

// waitUntilNone waits until a count is 0, but not after the time end, counted from the start of the shutdown.
func (s shutdown) waitUntilNone(count func() int, end time.Duration) {
	for count() > 0 && time.Since(s.start) < end {
		time.Sleep(drainInterval)
	}
}

// end closes all remaining parts of the gateway and waits for them. It is called when no client is left to be served.
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
	g.owner.Stop() // before the servers, so that no request is sent while they close
	g.discovery.Close()
	g.servers.Close()
}
