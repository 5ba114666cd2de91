package routing

import (
	"marblespan/brain"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// members gives each server of the list the number under which the module knows it.
type members struct {
	rev  int64
	ids  map[string]brain.ServerID
	uids map[brain.ServerID]string
	next brain.ServerID
	live map[string]bool // on the list and not gone
	seen map[int]bool    // groups that a list has named
}

func newMembers() members {
	return members{ids: map[string]brain.ServerID{}, uids: map[brain.ServerID]string{}, live: map[string]bool{}, seen: map[int]bool{}}
}

// forget takes a server's number back, once the module keeps nothing of it: on a long day servers are replaced without
// end. One that comes back later is new to everybody.
func (m *members) forget(id brain.ServerID) {
	delete(m.ids, m.uids[id])
	delete(m.uids, id)
}

func (m *members) known() bool { return len(m.live) > 0 }

var memberStates = map[discovery.State]brain.MemberState{
	discovery.Gone: brain.MemberGone, discovery.Ready: brain.MemberReady, discovery.Draining: brain.MemberDraining,
}

// list tells the module of the member list, and the servers' side where its servers are.
func (c *Core) list(news ListNews, form brain.ListForm) {
	c.Counts.Lists[form]++
	c.listFailing = form == brain.ListFailed
	out := brain.MemberNews{Form: form}
	if form != brain.ListFailed {
		c.members.rev = news.List.Rev
		if form != brain.ListDelta {
			clear(c.members.live)
		}
		for _, e := range news.List.Entries {
			if m, ok := c.member(e); ok {
				out.Members = append(out.Members, m)
			}
		}
	}
	c.step(out)
}

// member tells of one server. One that is gone and was never known, or is forgotten, is no news.
func (c *Core) member(e discovery.Entry) (brain.Member, bool) {
	id, ok := c.members.ids[e.UID]
	if !ok {
		if e.State == discovery.Gone {
			return brain.Member{}, false
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
	weight, _ := settings.ParseScaled(e.Weight.String(), 3)
	booted, _ := settings.ParseScaled(e.BootMS.String(), 3)
	return brain.Member{
		Server: id, Group: e.Group, Zone: e.Zone, State: memberStates[e.State], Started: brain.Micros(booted),
		Primary: e.Primary, Weight: weight,
	}, true
}
