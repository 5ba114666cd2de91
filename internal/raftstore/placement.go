package raftstore

import (
	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// Durations in ticks by which the ledger's leader plans. Stores send a heartbeat every storeHeartbeatTicks. A store can get members
// if its last heartbeat is at most freshTicks old. Members are rebalanced once the ledger has not changed for stableTicks.
const (
	storeHeartbeatTicks = 5
	freshTicks          = 3 * storeHeartbeatTicks
	stableTicks         = 20
)

// placementObservations is what the ledger's leader knows in addition to the ledger, from heartbeats and reports. A new leader
// starts without observations.
type placementObservations struct {
	now             clock.Micros
	leaderSince     clock.Micros                // when this gateway was elected
	heartbeatAt     map[uint64]clock.Micros     // time of the last heartbeat, by store
	incarnations    map[uint64]uint64           // incarnation in the last heartbeat, by store
	groupReports    map[uint32]*api.GroupReport // latest report, by group
	reportedAt      map[uint32]clock.Micros     // time of the latest report, by group
	ledgerChangedAt clock.Micros
}

func newPlacementObservations(now clock.Micros) placementObservations {
	return placementObservations{
		leaderSince: now, heartbeatAt: map[uint64]clock.Micros{}, incarnations: map[uint64]uint64{}, groupReports: map[uint32]*api.GroupReport{},
		reportedAt: map[uint32]clock.Micros{}, ledgerChangedAt: now,
	}
}

// proposeChanges proposes changes of the ledger. Each change is checked again when it is applied.
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

// planPlacement plans the placement and proposes the resulting changes. It is called on the leader of the ledger, and does nothing
// until the leader has applied its whole log.
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
		Ledger: g.sm.(*ledger).Ledger, placementObservations: h.placement, tick: h.cfg.Tick, repairAfter: h.cfg.RepairAfter, maxRepairs: h.cfg.MaxRepairs,
	}.plan()
	if h.proposeChanges(g, changes); len(changes) == 0 {
		h.planMaintenance(g)
	}
}

// bootstrap creates a new state store with this gateway's disk as its first store.
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

// removeStore proposes to record that a gateway's stores are permanently lost.
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

// resetShard proposes to restart a shard empty. It does nothing if the shard's leader has reported recently.
func (h *Host) resetShard(shard uint32) {
	g, x := h.groups[LedgerGroup], findGroup(h.ledger, shard)
	if g == nil || !g.isLeader || x == nil || shard == LedgerGroup || h.GroupReported(shard) {
		return
	}
	p := planner{Ledger: h.ledger, placementObservations: h.placement, tick: h.cfg.Tick}
	p.now = h.now
	if reset := p.resetGroup(shard, x); reset != nil {
		reset.Forced = true
		h.proposeChanges(g, []*api.Change{{ResetGroup: reset}})
	}
}

// GroupReported reports whether a group's leader has sent a report recently. This is known only on the leader of the ledger.
func (h *Host) GroupReported(group uint32) bool {
	at, reported := h.placement.reportedAt[group]
	return reported && h.now-at <= freshTicks*h.cfg.Tick
}
