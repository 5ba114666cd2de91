package policy

import (
	"cmp"
	"slices"

	"marblespan/internal/clock"
)

// maxSubscribeBackOff bounds the back-off between two attempts to subscribe, in microseconds. It is far
// below the 6 s after which a change of the endpoint list counts as known to this gateway.
const maxSubscribeBackOff = 600_000

// listing is a server's entry in the endpoint list.
type listing struct {
	zone          string
	state         EndpointState
	excluded      bool // draining, or removed without RemovedStayUsable: nothing new may be sent
	listedPrimary bool
	startedAt     clock.Micros // 0: long ago
}

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	subscribed       bool
	subscribing      bool         // a subscription is requested, and not answered yet
	subscribeAt      clock.Micros // time of the last attempt to subscribe; after a failure, of the next attempt
	subscribeBackOff clock.Micros
}

// updateEndpoints applies an update of the endpoint list. A complete list removes the servers that it
// does not name.
func (r *Router) updateEndpoints(e EndpointUpdate) {
	if e.Form == ListFailed {
		r.subscribeFailed()
		return
	}
	if e.Form != ListCached && e.Form != ListCordoned {
		r.subscribed = true
		r.subscribing = false
		r.subscribeBackOff = 0
	}
	named := map[ServerID]bool{}
	for _, entry := range e.Endpoints {
		named[entry.Server] = true
		r.updateEndpoint(entry)
	}
	if e.Form != ListDelta && e.Form != ListCordoned {
		for _, g := range r.groupsByID {
			for _, s := range g.servers {
				if !named[s.id] {
					r.endpointRemoved(s)
				}
			}
		}
	}
	for _, g := range r.groupsByID {
		r.adoptListedPrimary(g)
		r.dispatch(g)
	}
}

// updateEndpoint applies one entry of the endpoint list. Draining takes effect at once. If the entry
// shows that the server has restarted, the attempts that wait for a connection to it are withdrawn and
// placed again, within the slow start budget.
func (r *Router) updateEndpoint(e Endpoint) {
	s := r.servers[e.Server]
	if s == nil {
		if e.State == EndpointRemoved {
			return
		}
		s = r.addServer(e.Server, r.groupOf(e.Group))
	}
	s.zone = e.Zone
	s.listedPrimary = e.Primary
	if e.Started > s.startedAt {
		s.startedAt = e.Started
		s.limit = min(s.limit, r.initialLimit())
		r.emit(Withdraw{Server: s.id})
	}
	if e.State == EndpointRemoved {
		r.endpointRemoved(s)
		return
	}
	s.state = e.State
	s.excluded = false
	if e.State == EndpointDraining {
		r.exclude(s)
	}
}

// addServer creates a server about which nothing is known yet.
func (r *Router) addServer(id ServerID, g *group) *server {
	s := &server{id: id, group: g}
	s.limit = r.initialLimit()
	r.servers[id] = s
	g.servers = append(g.servers, s)
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return s
}

// endpointRemoved records that a server is not on the list any more. This excludes the server, unless the
// settings keep removed servers usable.
func (r *Router) endpointRemoved(s *server) {
	s.state = EndpointRemoved
	s.listedPrimary = false
	if !r.settings.RemovedStayUsable {
		r.exclude(s)
	}
}

// exclude takes a server out of service because of the endpoint list. The attempts that wait for a
// connection to it are withdrawn.
func (r *Router) exclude(s *server) {
	s.excluded = true
	r.emit(Withdraw{Server: s.id})
	if s.group.primary == s {
		r.losePrimary(s.group, "the endpoint list excludes it")
	}
}

// removable reports whether the router may drop its state about a server. The list must have removed the
// server, no attempt may be in flight, and the server must be excluded or have been unreachable for
// longer than a list may be out of date. If removed servers stay usable, a list that wrongly leaves out a
// server thus does not make the router lose what it has learned about the server.
func (r *Router) removable(s *server) bool {
	dead := s.down && r.now-s.lastSeenAt > max(r.settings.SubscribeWithin, r.settings.SlowStartWindow)
	return s.state == EndpointRemoved && len(s.inFlight) == 0 && (s.excluded || dead)
}

// keepSubscribed treats an attempt to subscribe as failed if it is not answered in time, and starts the
// next attempt when it is due.
func (r *Router) keepSubscribed() {
	timeout := max(r.settings.SubscribeWithin/4, r.settings.ConnectTimeout)
	if r.settings.ListSubscribed && r.subscribing && r.now-r.subscribeAt > timeout {
		r.subscribeFailed()
	}
	if r.settings.ListSubscribed && !r.subscribed && !r.subscribing && r.now >= r.subscribeAt {
		r.subscribe()
	}
}

// subscribe starts an attempt to subscribe to the endpoint list.
func (r *Router) subscribe() {
	r.subscribing = true
	r.subscribeAt = r.now
	r.emit(Watch{On: true})
}

// subscribeFailed schedules the next attempt to subscribe. The back-off doubles and has jitter, so that
// many gateways do not subscribe at the same time. If the list is pushed, its changes count as known at
// once; the first new attempt is therefore made at the next sweep, without a back-off.
func (r *Router) subscribeFailed() {
	r.subscribed = false
	r.subscribing = false
	if r.subscribeBackOff == 0 && r.settings.ListPushed {
		r.subscribeBackOff = 1
		r.subscribeAt = r.now
		return
	}
	longest := min(r.settings.SubscribeWithin/4, maxSubscribeBackOff)
	r.subscribeBackOff = max(min(r.subscribeBackOff*2, longest), r.settings.ConnectTimeout)
	r.subscribeAt = r.now + r.subscribeBackOff/2 + clock.Micros(r.rng.below(int(r.subscribeBackOff)))
}
