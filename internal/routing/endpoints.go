package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// endpointList is the endpoint list as received, with the number under which the router knows each server. It belongs to the
// owner's goroutine, like all of Core.
type endpointList struct {
	revision int64 // of the last list or change received
	received bool  // discovery has sent a list or a change since the start
	failing  bool  // the last call for the list failed

	idByUID     map[string]policy.ServerID
	uidByID     map[policy.ServerID]string
	lastID      policy.ServerID
	listed      map[string]bool // by UID: on the list and not removed
	knownGroups map[int]bool    // every group that a list has named
	// cordoned are the servers that operators have cordoned, by UID, with the state that the list gives them; nil: none.
	cordoned map[string]policy.EndpointState
}

func newEndpointList() endpointList {
	return endpointList{
		idByUID: map[string]policy.ServerID{}, uidByID: map[policy.ServerID]string{}, listed: map[string]bool{},
		knownGroups: map[int]bool{},
	}
}

// forget drops a server's number once the router keeps nothing of the server. Servers are replaced without end, and the maps
// must not grow with them. One that comes back later is new to everybody.
func (l *endpointList) forget(id policy.ServerID) {
	delete(l.idByUID, l.uidByID[id])
	delete(l.uidByID, id)
}

func (l *endpointList) anyListed() bool { return len(l.listed) > 0 }

// idOf is the number of a server; a new one has its number assigned.
func (l *endpointList) idOf(uid string) policy.ServerID {
	id, ok := l.idByUID[uid]
	if !ok {
		l.lastID++
		id = l.lastID
		l.idByUID[uid], l.uidByID[id] = id, uid
	}
	return id
}

// effectiveState is the state of a server for the router: that on the list, unless operators have cordoned it.
func (l *endpointList) effectiveState(uid string, listed policy.EndpointState) policy.EndpointState {
	if _, cordoned := l.cordoned[uid]; !cordoned {
		return listed
	}
	l.cordoned[uid] = listed
	return cordonedState(listed)
}

// cordonedState is the state of a cordoned server, by its state on the list.
func cordonedState(listed policy.EndpointState) policy.EndpointState {
	if listed == policy.EndpointReady {
		return policy.EndpointDraining
	}
	return listed
}

var endpointStates = map[discovery.State]policy.EndpointState{
	discovery.Removed: policy.EndpointRemoved, discovery.Ready: policy.EndpointReady, discovery.Draining: policy.EndpointDraining,
}

// listForm is the form of an update from discovery.
func listForm(update EndpointListUpdate) policy.ListForm {
	switch {
	case update.Failed:
		return policy.ListFailed
	case update.List.Full:
		return policy.ListFull
	}
	return policy.ListDelta
}

// updateEndpointList takes in an update of the endpoint list and tells the router. Servers learns the addresses first, so
// that an attempt finds its server.
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

// updateEndpoint takes in one entry of the list and returns it as the router sees it. An entry that removes a server not
// known here changes nothing, and the router is not told.
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

// SetCordoned cordons exactly the servers named: to the router they drain, whatever the list says. Those cordoned before and
// not named any more return to service in slow start, as if they had just started.
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

// cordon notes a server as cordoned. It reports whether the router has to be told: a server that is not known yet is cordoned
// when it comes onto the list.
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

// uncordon returns a server to the state that the list gives it. It reports whether the router has to be told.
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

// viewOf is the router's view of a server.
func (c *Core) viewOf(uid string) (view policy.ServerView, known bool) {
	id, known := c.endpoints.idByUID[uid]
	if !known {
		return view, false
	}
	return c.router.View(id)
}

// ServerState is the router's view of a server, under the server's name on the list.
type ServerState struct {
	UID string
	policy.ServerView
}

// Servers lists the servers of some groups that the list names, in no particular order.
func (c *Core) Servers(groups map[int]bool) (all []ServerState) {
	for uid := range c.endpoints.listed {
		if view, known := c.viewOf(uid); known && groups[view.Group] {
			all = append(all, ServerState{uid, view})
		}
	}
	return all
}

// GroupOf is the group of a server, if the list names the server.
func (c *Core) GroupOf(uid string) (group int, known bool) {
	view, known := c.viewOf(uid)
	return view.Group, known && c.endpoints.listed[uid]
}

// InFlightAt is how many attempts are in flight at a server; 0 if it is not known.
func (c *Core) InFlightAt(uid string) int {
	view, _ := c.viewOf(uid)
	return view.InFlight
}
