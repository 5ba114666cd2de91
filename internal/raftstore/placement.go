package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// The spans by which the ledger's leader judges, in ticks: a holder that announced itself within freshFor can take replicas; one
// change of placement that is not needed follows another after calmFor.
const (
	storeHeartbeatTicks = 5
	freshTicks          = 3 * storeHeartbeatTicks
	calmTicks           = 20
)

// facts are what the ledger's leader has heard beside the ledger.
type placementFacts struct {
	now             clock.Micros
	leaderSince     clock.Micros                // since it leads
	heartbeatAt     map[uint64]clock.Micros     // last word of each store
	incarnations    map[uint64]uint64           // its life, by that word
	groupReports    map[uint32]*api.GroupReport // of each group's leader, the latest
	reportedAt      map[uint32]clock.Micros     // when that came
	ledgerChangedAt clock.Micros                // when the ledger last changed
}

// change proposes changes of the ledger. They are checked again where they are applied.
func (h *Host) proposeChanges(g *group, changes []*api.Change) {
	if len(changes) == 0 || h.shutdown.draining {
		return
	}
	var commands []*api.Command
	for _, c := range changes {
		commands = append(commands, &api.Command{Change: c})
	}
	g.proposeEntry(commands)
}

// planLedger decides who holds what, where this host leads the ledger and all that it has decided is in it.
func (h *Host) planPlacement(g *group) {
	if last, _ := g.log.LastIndex(); g.applied < last {
		return
	}
	h.placement.heartbeatAt[h.store], h.placement.incarnations[h.store] = h.now, h.incarnation
	h.placement.groupReports[LedgerGroup] = g.groupReport()
	for _, r := range h.groupReports() {
		h.placement.groupReports[r.Group], h.placement.reportedAt[r.Group] = r, h.now
	}
	h.placement.now = h.now
	changes := planner{
		Ledger: g.sm.(*ledger).Ledger, placementFacts: h.placement, tick: h.cfg.Tick, repairAfter: h.cfg.RepairAfter, maxRepairs: h.cfg.MaxRepairs,
	}.plan()
	if h.proposeChanges(g, changes); len(changes) == 0 {
		h.planMaintenance(g)
	}
}

// found makes a store with this gateway as its first holder.
func (h *Host) bootstrap(f BootstrapRequested) {
	if !h.runsGroups || h.disk.failure != "" || h.clusterID != 0 || f.Shards < 1 || f.Shards > MaxShards || f.Voters < 1 {
		return
	}
	l := newBootstrappedLedger(&api.Bootstrap{
		ClusterId: h.cfg.NewClusterID, Shards: uint32(f.Shards), VotersPerGroup: uint32(f.Voters), First: f.First, Incarnation: h.incarnation,
		Store: &api.Store{Id: h.store, Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Format: h.cfg.Format},
	})
	h.adoptLedger(l.Ledger, true)
}

// gone takes an operator's word that a gateway's disk will not come back.
func (h *Host) removeStore(name string) {
	g := h.groups[LedgerGroup]
	if g == nil || !g.isLeader {
		return
	}
	for _, s := range h.ledger.Stores {
		if s.Name == name && !s.Removed {
			h.proposeChanges(g, []*api.Change{{RemoveStore: s.Id}})
		}
	}
}

// anew takes an operator's word that a shard cannot go on. A group that has reported itself lately does go on.
func (h *Host) resetShard(shard uint32) {
	g, x := h.groups[LedgerGroup], findGroup(h.ledger, shard)
	if g == nil || !g.isLeader || x == nil || shard == LedgerGroup || h.GroupReported(shard) {
		return
	}
	p := planner{Ledger: h.ledger, placementFacts: h.placement, tick: h.cfg.Tick}
	p.now = h.now
	if all := placeGroup(shard, p.freshStores(), 1); len(all) > 0 {
		h.proposeChanges(g, []*api.Change{{ResetGroup: &api.ResetGroup{Group: shard, Epoch: x.Epoch, Store: all[0].Id, Incarnation: h.placement.incarnations[all[0].Id], Forced: true}}})
	}
}

// Reported tells whether a group's leader has told of it lately, where the ledger is led here.
func (h *Host) GroupReported(group uint32) bool {
	at, reported := h.placement.reportedAt[group]
	return reported && h.now-at <= freshTicks*h.cfg.Tick
}
