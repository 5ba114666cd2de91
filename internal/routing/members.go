package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// members gives each server of the list the number under which the module knows it.
type endpointList struct {
	revision    int64
	idByUID     map[string]policy.ServerID
	uidByID     map[policy.ServerID]string
	lastID      policy.ServerID
	listed      map[string]bool // on the list and not gone
	knownGroups map[int]bool    // groups that a list has named
	// aside are servers that operators take out of service, with what the list says of them; nil: none are.
	cordoned map[string]policy.EndpointState
}

func newEndpointList() endpointList {
	return endpointList{idByUID: map[string]policy.ServerID{}, uidByID: map[policy.ServerID]string{}, listed: map[string]bool{}, knownGroups: map[int]bool{}}
}

// forget takes a server's number back, once the module keeps nothing of it: on a long day servers are replaced without
// end. One that comes back later is new to everybody.
func (m *endpointList) forget(id policy.ServerID) {
	delete(m.idByUID, m.uidByID[id])
	delete(m.uidByID, id)
}

func (m *endpointList) any() bool { return len(m.listed) > 0 }

var memberStates = map[discovery.State]policy.EndpointState{
	discovery.Gone: policy.EndpointRemoved, discovery.Ready: policy.EndpointReady, discovery.Draining: policy.EndpointDraining,
}

// list tells the module of the member list, and the servers' side where its servers are.
func (c *Core) updateEndpointList(news EndpointListUpdate, form policy.ListForm) {
	c.Counts.ListUpdates[form]++
	c.listFailing = form == policy.ListFailed
	c.listReceived = c.listReceived || form == policy.ListFull || form == policy.ListDelta
	out := policy.EndpointUpdate{Form: form}
	if form != policy.ListFailed {
		c.endpoints.revision = news.List.Rev
		if form != policy.ListDelta {
			clear(c.endpoints.listed)
		}
		for _, e := range news.List.Entries {
			if m, ok := c.updateEndpoint(e); ok {
				out.Endpoints = append(out.Endpoints, m)
			}
		}
	}
	c.step(out)
}

// member tells of one server. One that is gone and was never known, or is forgotten, is no news.
func (c *Core) updateEndpoint(e discovery.Entry) (policy.Endpoint, bool) {
	id, ok := c.endpoints.idByUID[e.UID]
	if !ok {
		if e.State == discovery.Gone {
			return policy.Endpoint{}, false
		}
		c.endpoints.lastID++
		id = c.endpoints.lastID
		c.endpoints.idByUID[e.UID], c.endpoints.uidByID[id] = id, e.UID
	}
	if e.State == discovery.Gone {
		delete(c.endpoints.listed, e.UID)
	} else {
		c.endpoints.listed[e.UID] = true
		c.servers.SetEndpoint(id, e.Endpoint)
	}
	c.endpoints.knownGroups[e.Group] = true
	state := memberStates[e.State]
	if _, is := c.endpoints.cordoned[e.UID]; is {
		c.endpoints.cordoned[e.UID] = state
		state = cordonedState(state)
	}
	weight, _ := settings.ParseScaled(e.Weight.String(), 3)
	booted, _ := settings.ParseScaled(e.BootMS.String(), 3)
	return policy.Endpoint{
		Server: id, Group: e.Group, Zone: e.Zone, State: state, Started: clock.Micros(booted),
		Primary: e.Primary, Weight: weight,
	}, true
}

// apart is the state of a server that is taken out of service, whatever the list says of it.
func cordonedState(listed policy.EndpointState) policy.EndpointState {
	if listed == policy.EndpointReady {
		return policy.EndpointDraining
	}
	return listed
}

// SetAside takes servers out of service, as if the list had said that they drain, and puts back those that are not named any
// more: cold, whenever they were started.
func (c *Core) SetCordoned(uids []string) {
	m := &c.endpoints
	next := map[string]bool{}
	out := policy.EndpointUpdate{Form: policy.ListCordoned}
	for _, uid := range uids {
		next[uid] = true
		if _, is := m.cordoned[uid]; is {
			continue
		}
		if m.cordoned == nil {
			m.cordoned = map[string]policy.EndpointState{}
		}
		m.cordoned[uid] = policy.EndpointRemoved
		if v, known := c.viewOf(uid); known {
			m.cordoned[uid] = v.State
			v.State = cordonedState(v.State)
			out.Endpoints = append(out.Endpoints, v.Endpoint)
			c.servers.CloseIdle(v.Server)
		}
	}
	for uid, listed := range m.cordoned {
		if next[uid] {
			continue
		}
		delete(m.cordoned, uid)
		if v, known := c.viewOf(uid); known && listed != policy.EndpointRemoved {
			v.State, v.Started = listed, c.now
			out.Endpoints = append(out.Endpoints, v.Endpoint)
		}
	}
	if len(out.Endpoints) > 0 {
		c.Counts.ListUpdates[policy.ListCordoned]++
		c.step(out)
		c.handlePending()
	}
}

func (c *Core) viewOf(uid string) (v policy.ServerView, known bool) {
	id, known := c.endpoints.idByUID[uid]
	if !known {
		return v, false
	}
	return c.router.View(id)
}

// ServerState is what the gateway knows of a server, under its name on the list.
type ServerState struct {
	UID string
	policy.ServerView
}

// Servers lists the servers of some groups that the list names.
func (c *Core) Servers(groups map[int]bool) (all []ServerState) {
	for uid := range c.endpoints.listed {
		if v, known := c.viewOf(uid); known && groups[v.Group] {
			all = append(all, ServerState{uid, v})
		}
	}
	return all
}

// GroupOf is the group of a server that the list names.
func (c *Core) GroupOf(uid string) (group int, known bool) {
	v, known := c.viewOf(uid)
	return v.Group, known && c.endpoints.listed[uid]
}

// OutAt is how many attempts are out at a server.
func (c *Core) InFlightAt(uid string) int {
	v, _ := c.viewOf(uid)
	return v.InFlight
}
