package policy

import (
	"cmp"
	"slices"

	"marblespan/internal/clock"
)

// maxSubscribeBackOff bounds the time between two attempts to subscribe, in microseconds: what the
// list tells counts as known after 6 s.
const maxSubscribeBackOff = 600_000

// listing is what the endpoint list tells of a server.
type listing struct {
	zone          string
	state         EndpointState
	excluded      bool // draining, or removed where that binds: nothing new may be sent
	listedPrimary bool
	startedAt     clock.Micros // 0: long ago
}

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	subscribed       bool
	subscribing      bool         // asked for, and no answer yet
	subscribeAt      clock.Micros // of the last attempt, or of the next one
	subscribeBackOff clock.Micros
}

// updateEndpoints takes in an update of the endpoint list. A complete list removes the servers that
// it does not name.
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

// updateEndpoint takes in one entry. Draining binds at once. What waits for a connection to a
// server that has just restarted is withdrawn and placed again, within the slow start budget.
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

// addServer makes a server that nothing is known of yet.
func (r *Router) addServer(id ServerID, g *group) *server {
	s := &server{id: id, group: g}
	s.limit = r.initialLimit()
	r.servers[id] = s
	g.servers = append(g.servers, s)
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return s
}

// endpointRemoved takes a server off the list. That excludes it, unless the settings say that
// removed servers stay usable.
func (r *Router) endpointRemoved(s *server) {
	s.state = EndpointRemoved
	s.listedPrimary = false
	if !r.settings.RemovedStayUsable {
		r.exclude(s)
	}
}

// exclude takes a server out of service by the endpoint list; what waits for a connection to it
// does not begin any more.
func (r *Router) exclude(s *server) {
	s.excluded = true
	r.emit(Withdraw{Server: s.id})
	if s.group.primary == s {
		r.losePrimary(s.group, "the endpoint list excludes it")
	}
}

// removable tells whether a server may be dropped from memory: the list has removed it, and that
// binds or it has been out of reach for as long as a list may be old. So a list that is wrong loses
// nothing learned.
func (r *Router) removable(s *server) bool {
	dead := s.down && r.now-s.lastSeenAt > max(r.settings.SubscribeWithin, r.settings.SlowStartWindow)
	return s.state == EndpointRemoved && len(s.inFlight) == 0 && (s.excluded || dead)
}

// keepSubscribed gives up an attempt to subscribe that had no answer in time, and makes the next
// one when it is due.
func (r *Router) keepSubscribed() {
	timeout := max(r.settings.SubscribeWithin/4, r.settings.ConnectTimeout)
	if r.settings.ListSubscribed && r.subscribing && r.now-r.subscribeAt > timeout {
		r.subscribeFailed()
	}
	if r.settings.ListSubscribed && !r.subscribed && !r.subscribing && r.now >= r.subscribeAt {
		r.subscribe()
	}
}

// subscribe subscribes to the endpoint list.
func (r *Router) subscribe() {
	r.subscribing = true
	r.subscribeAt = r.now
	r.emit(Watch{On: true})
}

// subscribeFailed plans the next attempt, with a back-off that doubles and jitter, so that many
// gateways do not come in step. Where changes count as known at once, the first one comes with the
// next sweep.
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
