package raftstore

import (
	"slices"

	api "marblespan/api/raftstorepb"
)

// This file is what hosts tell each other of themselves, and what the ledger's leader makes of it.

// announce tells the ledger's leader, or whoever may know it, of this gateway and of the groups that it leads.
func (h *Host) announce() {
	to := h.leads[LedgerGroup]
	if g := h.groups[LedgerGroup]; g != nil && g.asking == nil {
		to = g.leaderName()
	}
	if to == h.cfg.Name {
		h.heardOf(h.store, h.life, h.ownAnnounce(), h.reports())
		h.factFrom(h.cfg.Name, h.fact())
		return
	}
	if h.ticks%(4*announceEvery) == 0 || to == "" { // who was the leader may be none any more
		to = h.turn(LedgerGroup, int(h.ticks/announceEvery))
	}
	if to == "" {
		return
	}
	p := h.packet(to)
	p.StoreHeartbeat, p.GroupReports, p.GatewayReport = h.ownAnnounce(), h.reports(), h.fact()
}

func (h *Host) ownAnnounce() *api.StoreHeartbeat {
	if !h.holds {
		return nil
	}
	a := &api.StoreHeartbeat{Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Failed: h.failed != "", Format: h.cfg.Format}
	for i := range h.retired {
		r := &h.retired[i]
		if x := groupIn(h.view, r.Group); x != nil && x.Epoch == r.Epoch && slices.ContainsFunc(replicas(x), func(y *api.GroupMember) bool {
			return y.Id == r.Member && !y.Stale
		}) {
			a.StaleMembers = append(a.StaleMembers, &api.MemberRef{Group: r.Group, Epoch: r.Epoch, Member: r.Member})
		}
	}
	return a
}

func (h *Host) reports() (all []*api.GroupReport) {
	for _, g := range h.inOrder() {
		if g.led {
			all = append(all, g.report())
		}
	}
	return all
}

// turn is one of the gateways that may know of a group, in turn: its replicas, and where none is known everybody.
func (h *Host) turn(id uint32, n int) string {
	var names []string
	if x := groupIn(h.view, id); x != nil {
		for _, r := range replicas(x) {
			if s := storeIn(h.view, r.Store); s != nil && s.Name != h.cfg.Name && !lostIn(h.view, r) {
				names = append(names, s.Name)
			}
		}
	}
	if len(names) == 0 {
		for _, s := range h.view.Stores {
			if s.Name != h.cfg.Name {
				names = append(names, s.Name)
			}
		}
		names = append(names, h.others...)
	}
	if len(names) == 0 {
		return ""
	}
	return names[n%len(names)]
}

// heardOf takes in what a holder tells the ledger's leader.
func (h *Host) heardOf(store, life uint64, a *api.StoreHeartbeat, reports []*api.GroupReport) {
	g := h.groups[LedgerGroup]
	if g == nil || !g.led || g.asking != nil {
		return
	}
	for _, r := range reports {
		if last := h.facts.reports[r.Group]; last == nil || last.Epoch < r.Epoch || last.Epoch == r.Epoch && last.Term <= r.Term {
			h.facts.reports[r.Group], h.facts.told[r.Group] = r, h.now
		}
	}
	if a == nil || store == 0 || len(a.Name) == 0 || len(a.Name) > MaxNameBytes {
		return
	}
	var changes []*api.Change
	known := storeIn(h.view, store)
	switch {
	case known == nil && a.Format < h.view.Format:
		if h.tooOld != store {
			h.tooOld = store
			h.note(Notice{Kind: NoticeFormatTooOld, Number: store, Name: a.Name})
		}
	case known == nil || !known.Removed && (known.Zone != a.Zone || known.Weight != a.Weight || known.Format != a.Format):
		changes = append(changes, &api.Change{JoinStore: &api.Store{Id: store, Name: a.Name, Zone: a.Zone, Weight: a.Weight, Format: a.Format}})
	case known.Removed:
	case a.Failed:
		changes = append(changes, &api.Change{RemoveStore: store})
	default:
		h.facts.heard[store], h.facts.lives[store] = h.now, life
	}
	for _, r := range a.StaleMembers {
		changes = append(changes, &api.Change{MarkStale: r})
	}
	h.change(g, changes)
}

// change proposes changes of the ledger. They are checked again where they are applied.
func (h *Host) change(g *group, changes []*api.Change) {
	if len(changes) == 0 || h.leaving {
		return
	}
	var commands []*api.Command
	for _, c := range changes {
		commands = append(commands, &api.Command{Change: c})
	}
	g.enter(commands)
}

// planLedger decides who holds what, where this host leads the ledger and all that it has decided is in it.
func (h *Host) planLedger(g *group) {
	if last, _ := g.log.LastIndex(); g.applied < last {
		return
	}
	h.facts.heard[h.store], h.facts.lives[h.store] = h.now, h.life
	h.facts.reports[LedgerGroup] = g.report()
	for _, r := range h.reports() {
		h.facts.reports[r.Group], h.facts.told[r.Group] = r, h.now
	}
	h.facts.now = h.now
	changes := planner{
		Ledger: g.sm.(*ledger).Ledger, facts: h.facts, tick: h.cfg.Tick, healAfter: h.cfg.RepairAfter, healAtOnce: h.cfg.MaxRepairs,
	}.plan()
	if h.change(g, changes); len(changes) == 0 {
		h.planOrder(g)
	}
}

// found makes a store with this gateway as its first holder.
func (h *Host) found(f BootstrapRequested) {
	if !h.holds || h.failed != "" || h.founding != 0 || f.Shards < 1 || f.Shards > MaxShards || f.Voters < 1 {
		return
	}
	l := found(&api.Bootstrap{
		ClusterId: h.cfg.NewClusterID, Shards: uint32(f.Shards), VotersPerGroup: uint32(f.Voters), First: f.First, Incarnation: h.life,
		Store: &api.Store{Id: h.store, Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Format: h.cfg.Format},
	})
	h.learn(l.Ledger, true)
}

// gone takes an operator's word that a gateway's disk will not come back.
func (h *Host) gone(name string) {
	g := h.groups[LedgerGroup]
	if g == nil || !g.led {
		return
	}
	for _, s := range h.view.Stores {
		if s.Name == name && !s.Removed {
			h.change(g, []*api.Change{{RemoveStore: s.Id}})
		}
	}
}

// anew takes an operator's word that a shard cannot go on. A group that has reported itself lately does go on.
func (h *Host) anew(shard uint32) {
	g, x := h.groups[LedgerGroup], groupIn(h.view, shard)
	if g == nil || !g.led || x == nil || shard == LedgerGroup || h.GroupReported(shard) {
		return
	}
	p := planner{Ledger: h.view, facts: h.facts, tick: h.cfg.Tick}
	p.now = h.now
	if all := place(shard, p.fresh(), 1); len(all) > 0 {
		h.change(g, []*api.Change{{ResetGroup: &api.ResetGroup{Group: shard, Epoch: x.Epoch, Store: all[0].Id, Incarnation: h.facts.lives[all[0].Id], Forced: true}}})
	}
}

// Reported tells whether a group's leader has told of it lately, where the ledger is led here.
func (h *Host) GroupReported(group uint32) bool {
	at, told := h.facts.told[group]
	return told && h.now-at <= freshFor*h.cfg.Tick
}
