package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// endpointList is the endpoint list as received, with the ServerID that the router uses for each server. Like all of Core, it
// belongs to the owner's goroutine.
type endpointList struct {
	revision int64 // revision of the last list or change received
	received bool  // discovery has sent a list or a change since the start
	failing  bool  // the last call for the list failed

	idByUID     map[string]policy.ServerID
	uidByID     map[policy.ServerID]string
	lastID      policy.ServerID
	listed      map[string]bool // servers on the list that are not removed, by UID
	knownGroups map[int]bool    // every group that any list has named
	// cordoned maps the UID of each server that operators have cordoned to the server's state on the list. The map is nil until
	// the first cordon.
	cordoned map[string]policy.EndpointState
}

func newEndpointList() endpointList {
	return endpointList{
		idByUID: map[string]policy.ServerID{}, uidByID: map[policy.ServerID]string{}, listed: map[string]bool{},
		knownGroups: map[int]bool{},
	}
}

// forget drops a server's ServerID after the router has dropped its state of the server. Servers are replaced again and again
// as long as the gateway runs, and the maps must not grow with each replacement. A server that comes back later is treated as
// new.
func (l *endpointList) forget(id policy.ServerID) {
	delete(l.idByUID, l.uidByID[id])
	delete(l.uidByID, id)
}

func (l *endpointList) anyListed() bool { return len(l.listed) > 0 }

// idOf returns the ServerID of a server, and assigns one to a new server.
func (l *endpointList) idOf(uid string) policy.ServerID {
	id, ok := l.idByUID[uid]
	if !ok {
		l.lastID++
		id = l.lastID
		l.idByUID[uid], l.uidByID[id] = id, uid
	}
	return id
}

// effectiveState returns the state that the router is given for a server. The parameter listed is the server's state on the list.
// The two states differ only if operators have cordoned the server; the state on the list is then stored in cordoned, for
// uncordon.
func (l *endpointList) effectiveState(uid string, listed policy.EndpointState) policy.EndpointState {
	if _, cordoned := l.cordoned[uid]; !cordoned {
		return listed
	}
	l.cordoned[uid] = listed
	return cordonedState(listed)
}

// cordonedState returns the state that the router is given for a cordoned server. The parameter listed is the server's state on
// the list.
func cordonedState(listed policy.EndpointState) policy.EndpointState {
	if listed == policy.EndpointReady {
		return policy.EndpointDraining
	}
	return listed
}

var endpointStates = map[discovery.State]policy.EndpointState{
	discovery.Removed: policy.EndpointRemoved, discovery.Ready: policy.EndpointReady, discovery.Draining: policy.EndpointDraining,
}

// listForm returns the form of an update from discovery.
func listForm(update EndpointListUpdate) policy.ListForm {
	switch {
	case update.Failed:
		return policy.ListFailed
	case update.List.Full:
		return policy.ListFull
	}
	return policy.ListDelta
}

// updateEndpointList applies an update of the endpoint list and passes it to the router. The addresses are set in Servers
// first, so that an attempt finds its server.
func (c *Core) updateEndpointList(update EndpointListUpdate, form policy.ListForm) {
	c.Counts.ListUpdates[form]++
	c.endpoints.failing = form == policy.ListFailed
	c.endpoints.received = c.endpoints.received || form == policy.ListFull || form == policy.ListDelta
	out := policy.EndpointUpdate{Form: form}
	if form != policy.ListFailed {
		c.endpoints.revision = update.List.Rev
		if form != policy.ListDelta {
			clear(c.endpoints.listed)
		}
		for _, entry := range update.List.Entries {
			if endpoint, ok := c.updateEndpoint(entry); ok {
				out.Endpoints = append(out.Endpoints, endpoint)
			}
		}
	}
	c.step(out)
}

// updateEndpoint applies one entry of the list and returns the entry in the form that the router is given. An entry that
// removes an unknown server changes nothing and is not passed to the router.
func (c *Core) updateEndpoint(entry discovery.Entry) (policy.Endpoint, bool) {
	list := &c.endpoints
	removed := entry.State == discovery.Removed
	if _, known := list.idByUID[entry.UID]; removed && !known {
		return policy.Endpoint{}, false
	}
	id := list.idOf(entry.UID)
	if removed {
		delete(list.listed, entry.UID)
	} else {
		list.listed[entry.UID] = true
		c.servers.SetEndpoint(id, entry.Endpoint)
	}
	list.knownGroups[entry.Group] = true
	weight, _ := settings.ParseScaled(entry.Weight.String(), 3)
	started, _ := settings.ParseScaled(entry.BootMS.String(), 3)
	return policy.Endpoint{
		Server: id, Group: entry.Group, Zone: entry.Zone,
		State:   list.effectiveState(entry.UID, endpointStates[entry.State]),
		Started: clock.Micros(started), Primary: entry.Primary, Weight: weight,
	}, true
}

// SetCordoned cordons exactly the named servers: the router sees them as draining even while they are ready on the list.
// Servers that were cordoned and are no longer named return to service in slow start, as if they had just started.
func (c *Core) SetCordoned(uids []string) {
	named := map[string]bool{}
	out := policy.EndpointUpdate{Form: policy.ListCordoned}
	for _, uid := range uids {
		named[uid] = true
		if endpoint, changed := c.cordon(uid); changed {
			out.Endpoints = append(out.Endpoints, endpoint)
		}
	}
	for uid := range c.endpoints.cordoned {
		if named[uid] {
			continue
		}
		if endpoint, changed := c.uncordon(uid); changed {
			out.Endpoints = append(out.Endpoints, endpoint)
		}
	}
	if len(out.Endpoints) > 0 {
		c.Counts.ListUpdates[policy.ListCordoned]++
		c.step(out)
		c.handlePending()
	}
}

// cordon marks a server as cordoned. changed reports whether the router must get the returned endpoint. A server that is not
// known yet is cordoned when it appears on the list.
func (c *Core) cordon(uid string) (endpoint policy.Endpoint, changed bool) {
	list := &c.endpoints
	if _, already := list.cordoned[uid]; already {
		return endpoint, false
	}
	if list.cordoned == nil {
		list.cordoned = map[string]policy.EndpointState{}
	}
	list.cordoned[uid] = policy.EndpointRemoved
	view, known := c.viewOf(uid)
	if !known {
		return endpoint, false
	}
	list.cordoned[uid] = view.State
	view.State = cordonedState(view.State)
	c.servers.CloseIdle(view.Server)
	return view.Endpoint, true
}

// uncordon ends the cordon of a server and returns the server with its state on the list. changed reports whether the router
// must get the returned endpoint.
func (c *Core) uncordon(uid string) (endpoint policy.Endpoint, changed bool) {
	listed := c.endpoints.cordoned[uid]
	delete(c.endpoints.cordoned, uid)
	view, known := c.viewOf(uid)
	if !known || listed == policy.EndpointRemoved {
		return endpoint, false
	}
	view.State, view.Started = listed, c.now
	return view.Endpoint, true
}

// viewOf returns the router's view of a server.
func (c *Core) viewOf(uid string) (view policy.ServerView, known bool) {
	id, known := c.endpoints.idByUID[uid]
	if !known {
		return view, false
	}
	return c.router.View(id)
}

// ServerState is the router's view of a server, with the server's UID on the list.
type ServerState struct {
	UID string
	policy.ServerView
}

// Servers returns the servers on the list that belong to the given groups, in no particular order.
func (c *Core) Servers(groups map[int]bool) (all []ServerState) {
	for uid := range c.endpoints.listed {
		if view, known := c.viewOf(uid); known && groups[view.Group] {
			all = append(all, ServerState{uid, view})
		}
	}
	return all
}

// GroupOf returns the group of a server. known is false if the server is not on the list.
func (c *Core) GroupOf(uid string) (group int, known bool) {
	view, known := c.viewOf(uid)
	return view.Group, known && c.endpoints.listed[uid]
}

// InFlightAt returns the number of attempts in flight at a server, or 0 if the server is not known.
func (c *Core) InFlightAt(uid string) int {
	view, _ := c.viewOf(uid)
	return view.InFlight
}
