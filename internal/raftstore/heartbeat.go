package raftstore

import (
	"slices"

	api "marblespan/api/raftstorepb"
)

// sendHeartbeat reports this gateway, its store and the groups that it leads to the ledger's leader, or to a gateway that may know
// the leader.
func (h *Host) sendHeartbeat() {
	to := h.calls.leaders[LedgerGroup]
	if g := h.groups[LedgerGroup]; g != nil && g.recovery == nil {
		to = g.leaderName()
	}
	if to == h.cfg.Name {
		h.handleHeartbeat(h.store, h.incarnation, h.storeHeartbeat(), h.groupReports())
		h.recordGatewayReport(h.cfg.Name, h.gatewayReport())
		return
	}
	if h.ticks%(4*storeHeartbeatTicks) == 0 || to == "" { // the known leader may no longer lead the ledger
		to = h.nextCandidate(LedgerGroup, int(h.ticks/storeHeartbeatTicks))
	}
	if to == "" {
		return
	}
	p := h.packetFor(to)
	p.StoreHeartbeat, p.GroupReports, p.GatewayReport = h.storeHeartbeat(), h.groupReports(), h.gatewayReport()
}

// storeHeartbeat returns the heartbeat of this gateway's store, or nil if it has no store.
func (h *Host) storeHeartbeat() *api.StoreHeartbeat {
	if !h.runsGroups {
		return nil
	}
	a := &api.StoreHeartbeat{Name: h.cfg.Name, Zone: h.cfg.Zone, Weight: h.cfg.Weight, Failed: h.disk.failure != "", Format: h.cfg.Format}
	for i := range h.disk.retired {
		r := &h.disk.retired[i]
		if x := findGroup(h.ledger, r.Group); x != nil && x.Epoch == r.Epoch && slices.ContainsFunc(groupMembers(x), func(y *api.GroupMember) bool {
			return y.Id == r.Member && !y.Stale
		}) {
			a.StaleMembers = append(a.StaleMembers, &api.MemberRef{Group: r.Group, Epoch: r.Epoch, Member: r.Member})
		}
	}
	return a
}

// groupReports returns the reports of the groups that this gateway leads.
func (h *Host) groupReports() (all []*api.GroupReport) {
	for _, g := range h.sortedGroups() {
		if g.isLeader {
			all = append(all, g.groupReport())
		}
	}
	return all
}

// nextCandidate returns the n-th gateway to try for a group, in round-robin order. The candidates are the gateways of the group's
// members, or all known gateways if no member's gateway is known.
func (h *Host) nextCandidate(id uint32, n int) string {
	var names []string
	if x := findGroup(h.ledger, id); x != nil {
		for _, r := range groupMembers(x) {
			if s := findStore(h.ledger, r.Store); s != nil && s.Name != h.cfg.Name && !memberLost(h.ledger, r) {
				names = append(names, s.Name)
			}
		}
	}
	if len(names) == 0 {
		for _, s := range h.ledger.Stores {
			if s.Name != h.cfg.Name {
				names = append(names, s.Name)
			}
		}
		names = append(names, h.peers.names...)
	}
	if len(names) == 0 {
		return ""
	}
	return names[n%len(names)]
}

// recordGroupReport records a report from a group's leader, unless a leader of a later epoch or term has reported already.
func (h *Host) recordGroupReport(r *api.GroupReport) {
	last := h.placement.groupReports[r.Group]
	if last == nil || last.Epoch < r.Epoch || last.Epoch == r.Epoch && last.Term <= r.Term {
		h.placement.groupReports[r.Group], h.placement.reportedAt[r.Group] = r, h.now
	}
}

// handleHeartbeat records a store's heartbeat and group reports, if this host leads the ledger. It also proposes the changes of the
// ledger that follow directly from these reports: a new or changed store, a failed disk, stale members.
func (h *Host) handleHeartbeat(store, incarnation uint64, heartbeat *api.StoreHeartbeat, reports []*api.GroupReport) {
	ledger := h.groups[LedgerGroup]
	if ledger == nil || !ledger.isLeader || ledger.recovery != nil {
		return
	}
	for _, r := range reports {
		h.recordGroupReport(r)
	}
	if heartbeat == nil || store == 0 || len(heartbeat.Name) == 0 || len(heartbeat.Name) > MaxNameBytes {
		return
	}
	var changes []*api.Change
	known := findStore(h.ledger, store)
	switch {
	case known == nil && heartbeat.Format < h.ledger.Format:
		if h.peers.rejectedStore != store {
			h.peers.rejectedStore = store
			h.emitNotice(Notice{Kind: NoticeFormatTooOld, Number: store, Name: heartbeat.Name})
		}
	case known == nil || !known.Removed && (known.Zone != heartbeat.Zone || known.Weight != heartbeat.Weight || known.Format != heartbeat.Format):
		changes = append(changes, &api.Change{JoinStore: &api.Store{Id: store, Name: heartbeat.Name, Zone: heartbeat.Zone, Weight: heartbeat.Weight, Format: heartbeat.Format}})
	case known.Removed:
	case heartbeat.Failed:
		changes = append(changes, &api.Change{RemoveStore: store})
	default:
		h.placement.heartbeatAt[store], h.placement.incarnations[store] = h.now, incarnation
	}
	for _, r := range heartbeat.StaleMembers {
		changes = append(changes, &api.Change{MarkStale: r})
	}
	h.proposeChanges(ledger, changes)
}
