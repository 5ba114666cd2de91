package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// members gives each server of the list the number under which the module knows it.
type members struct {
	rev  int64
	ids  map[string]policy.ServerID
	uids map[policy.ServerID]string
	next policy.ServerID
	live map[string]bool // on the list and not gone
	seen map[int]bool    // groups that a list has named
	// aside are servers that operators take out of service, with what the list says of them; nil: none are.
	aside map[string]policy.EndpointState
}

func newMembers() members {
	return members{ids: map[string]policy.ServerID{}, uids: map[policy.ServerID]string{}, live: map[string]bool{}, seen: map[int]bool{}}
}

// forget takes a server's number back, once the module keeps nothing of it: on a long day servers are replaced without
// end. One that comes back later is new to everybody.
func (m *members) forget(id policy.ServerID) {
	delete(m.ids, m.uids[id])
	delete(m.uids, id)
}

func (m *members) known() bool { return len(m.live) > 0 }

var memberStates = map[discovery.State]policy.EndpointState{
	discovery.Gone: policy.EndpointRemoved, discovery.Ready: policy.EndpointReady, discovery.Draining: policy.EndpointDraining,
}

// list tells the module of the member list, and the servers' side where its servers are.
func (c *Core) list(news ListNews, form policy.ListForm) {
	c.Counts.Lists[form]++
	c.listFailing = form == policy.ListFailed
	c.listHeard = c.listHeard || form == policy.ListFull || form == policy.ListDelta
	out := policy.EndpointUpdate{Form: form}
	if form != policy.ListFailed {
		c.members.rev = news.List.Rev
		if form != policy.ListDelta {
			clear(c.members.live)
		}
		for _, e := range news.List.Entries {
			if m, ok := c.member(e); ok {
				out.Endpoints = append(out.Endpoints, m)
			}
		}
	}
	c.step(out)
}

// member tells of one server. One that is gone and was never known, or is forgotten, is no news.
func (c *Core) member(e discovery.Entry) (policy.Endpoint, bool) {
	id, ok := c.members.ids[e.UID]
	if !ok {
		if e.State == discovery.Gone {
			return policy.Endpoint{}, false
		}
		c.members.next++
		id = c.members.next
		c.members.ids[e.UID], c.members.uids[id] = id, e.UID
	}
	if e.State == discovery.Gone {
		delete(c.members.live, e.UID)
	} else {
		c.members.live[e.UID] = true
		c.servers.Place(id, e.Endpoint)
	}
	c.members.seen[e.Group] = true
	state := memberStates[e.State]
	if _, is := c.members.aside[e.UID]; is {
		c.members.aside[e.UID] = state
		state = apart(state)
	}
	weight, _ := settings.ParseScaled(e.Weight.String(), 3)
	booted, _ := settings.ParseScaled(e.BootMS.String(), 3)
	return policy.Endpoint{
		Server: id, Group: e.Group, Zone: e.Zone, State: state, Started: clock.Micros(booted),
		Primary: e.Primary, Weight: weight,
	}, true
}

// apart is the state of a server that is taken out of service, whatever the list says of it.
func apart(listed policy.EndpointState) policy.EndpointState {
	if listed == policy.EndpointReady {
		return policy.EndpointDraining
	}
	return listed
}

// SetAside takes servers out of service, as if the list had said that they drain, and puts back those that are not named any
// more: cold, whenever they were started.
func (c *Core) SetAside(uids []string) {
	m := &c.members
	next := map[string]bool{}
	out := policy.EndpointUpdate{Form: policy.ListCordoned}
	for _, uid := range uids {
		next[uid] = true
		if _, is := m.aside[uid]; is {
			continue
		}
		if m.aside == nil {
			m.aside = map[string]policy.EndpointState{}
		}
		m.aside[uid] = policy.EndpointRemoved
		if v, known := c.view(uid); known {
			m.aside[uid] = v.State
			v.State = apart(v.State)
			out.Endpoints = append(out.Endpoints, v.Endpoint)
			c.servers.CloseIdle(v.Server)
		}
	}
	for uid, listed := range m.aside {
		if next[uid] {
			continue
		}
		delete(m.aside, uid)
		if v, known := c.view(uid); known && listed != policy.EndpointRemoved {
			v.State, v.Started = listed, c.now
			out.Endpoints = append(out.Endpoints, v.Endpoint)
		}
	}
	if len(out.Endpoints) > 0 {
		c.Counts.Lists[policy.ListCordoned]++
		c.step(out)
		c.settle()
	}
}

func (c *Core) view(uid string) (v policy.ServerView, known bool) {
	id, known := c.members.ids[uid]
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
	for uid := range c.members.live {
		if v, known := c.view(uid); known && groups[v.Group] {
			all = append(all, ServerState{uid, v})
		}
	}
	return all
}

// GroupOf is the group of a server that the list names.
func (c *Core) GroupOf(uid string) (group int, known bool) {
	v, known := c.view(uid)
	return v.Group, known && c.members.live[uid]
}

// OutAt is how many attempts are out at a server.
func (c *Core) OutAt(uid string) int {
	v, _ := c.view(uid)
	return v.InFlight
}
