package raftstore

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// MaintenanceKey is the key of a Get on the ledger that returns a listing of the maintenance order, see DecodeListing.
const MaintenanceKey = "maintenance"

// maintenanceState is the host's state for maintenance (internal/maintenance). The maintenance order is part of the ledger. The
// ledger's leader plans the order's next steps when there are no changes of the placement to propose.
type maintenanceState struct {
	own           *GatewayReport
	members       []maintenance.Member
	reports       map[string]maintenance.GatewayStatus
	reportedAt    map[string]clock.Micros // when each report was received
	planner       maintenance.Planner
	waits         maintenance.Waits
	notifiedIndex uint64 // index of the ledger at the last call of notifyOrder
	order         *maintenance.Order
}

// notifyOrder emits OrderChanged if the maintenance order has changed.
func (h *Host) notifyOrder() {
	u := &h.maintenance
	if h.ledger.Index == u.notifiedIndex || h.cfg.Maintenance == nil {
		return
	}
	first := u.order == nil
	u.notifiedIndex = h.ledger.Index
	next := DecodeOrder(h.ledger.Order)
	if !first && proto.Equal(encodeOrder(u.order), encodeOrder(next)) {
		return
	}
	u.order = next
	h.out.actions = append(h.out.actions, OrderChanged{Index: h.ledger.Index, Order: next})
}

// gatewayReport returns this gateway's report for maintenance, or nil if there is none.
func (h *Host) gatewayReport() *api.GatewayReport {
	if h.maintenance.own == nil || h.cfg.Maintenance == nil {
		return nil
	}
	x := encodeReport(h.maintenance.own, h.cfg.Zone, slices.ContainsFunc(h.sortedGroups(), func(g *group) bool { return g.isLeader }))
	x.Ready = x.Ready && h.recovered() && h.disk.failure == ""
	return x
}

// recordGatewayReport records a gateway's report. A report from an earlier incarnation is ignored.
func (h *Host) recordGatewayReport(name string, x *api.GatewayReport) {
	u := &h.maintenance
	if last, known := u.reports[name]; x == nil || known && x.Incarnation < last.Incarnation {
		return
	}
	if u.reports == nil {
		u.reports, u.reportedAt = map[string]maintenance.GatewayStatus{}, map[string]clock.Micros{}
	}
	u.reports[name], u.reportedAt[name] = decodeReport(name, x), h.now
}

// resetMaintenance clears the planning state, so that a newly elected leader does not plan with outdated reports.
func (h *Host) resetMaintenance() {
	u := &h.maintenance
	u.reports, u.reportedAt, u.planner, u.waits = nil, nil, maintenance.Planner{}, nil
}

// clusterView returns what the ledger's leader has to know to plan maintenance, in addition to the order. A gateway that has a
// store or is on the order's roster, but is not known to membership, counts as dead.
func (h *Host) clusterView(ledger *api.Ledger) *maintenance.ClusterView {
	state := &h.maintenance
	h.recordGatewayReport(h.cfg.Name, h.gatewayReport())
	view := &maintenance.ClusterView{
		Now:         h.groups[LedgerGroup].groupTime(),
		AllReported: h.now-h.placement.leaderSince > freshTicks*h.cfg.Tick && len(state.members) > 0,
	}
	members := h.expectedMembers(ledger)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		view.Gateways = append(view.Gateways, h.gatewayStatus(members[name]))
	}
	for id := range ledger.Groups {
		view.Shards = append(view.Shards, h.shardStatus(ledger, uint32(id)))
	}
	return view
}

// expectedMembers returns the gateways that membership knows and, marked as dead, those that only the ledger knows.
func (h *Host) expectedMembers(ledger *api.Ledger) map[string]maintenance.Member {
	all := map[string]maintenance.Member{}
	for _, s := range ledger.Stores {
		if !s.Removed {
			all[s.Name] = maintenance.Member{Name: s.Name, Zone: s.Zone, Presence: maintenance.Dead}
		}
	}
	for _, e := range ledger.GetOrder().GetRoster() {
		all[e.Name] = maintenance.Member{Name: e.Name, Presence: maintenance.Dead, Incarnation: e.Incarnation}
	}
	for _, m := range h.maintenance.members {
		all[m.Name] = m
	}
	return all
}

// gatewayStatus combines a gateway's last report, if it is recent, with its state in membership.
func (h *Host) gatewayStatus(m maintenance.Member) maintenance.GatewayStatus {
	last := h.maintenance.reports[m.Name]
	status := maintenance.GatewayStatus{Name: m.Name, Zone: cmp.Or(last.Zone, m.Zone), Incarnation: last.Incarnation, Presence: m.Presence}
	switch fresh := last.Name != "" && h.now-h.maintenance.reportedAt[m.Name] <= freshTicks*h.cfg.Tick; {
	case m.Presence == maintenance.Left:
		status.Incarnation = max(m.Incarnation, last.Incarnation)
	case m.Presence == maintenance.Alive && fresh:
		status.Report = last.Report
	case m.Presence == maintenance.Alive:
		status.Presence = maintenance.Silent
	}
	return status
}

// shardStatus returns a group's status for maintenance. The group counts as complete only if it is complete in the ledger and its
// leader has recently reported the same.
func (h *Host) shardStatus(ledger *api.Ledger, id uint32) maintenance.ShardStatus {
	x := ledger.Groups[id]
	status := maintenance.ShardStatus{Hosts: gatewaysOf(ledger, x), Complete: isComplete(ledger, x), UnderReplicated: isBelowTarget(ledger, x)}
	if r := h.placement.groupReports[id]; status.Complete {
		status.Complete = r != nil && h.GroupReported(id) && r.Epoch == x.Epoch && !r.Joint && !r.Lagging && len(r.Voters) == len(x.Voters)
	}
	return status
}

// planMaintenance proposes the next steps of the maintenance order.
func (h *Host) planMaintenance(g *group) {
	l := g.sm.(*ledger).Ledger
	if h.cfg.Maintenance == nil || l.Format < MaintenanceFormat || h.shutdown.draining {
		return
	}
	h.placement.reportedAt[LedgerGroup] = h.now
	steps, waits := h.maintenance.planner.Plan(DecodeOrder(l.Order), h.clusterView(l), *h.cfg.Maintenance)
	h.maintenance.waits = waits
	var commands []*api.Command
	for _, s := range steps {
		commands = append(commands, encodeStep(s))
	}
	if len(commands) > 0 {
		g.proposeEntry(commands)
	}
}

// encodeListing returns the result of a Get of MaintenanceKey.
func (h *Host) encodeListing(l *api.Ledger) []byte {
	x := &api.Listing{Order: l.Order, Leader: h.cfg.Name, Time: int64(h.groups[LedgerGroup].groupTime()), Waits: h.maintenance.waits}
	b, _ := proto.Marshal(x)
	return b
}

// Order returns the maintenance order as it is known to this host.
func (h *Host) Order() *maintenance.Order { return DecodeOrder(h.ledger.Order) }

// gatewaysOf returns the names of the gateways that have members of a group.
func gatewaysOf(l *api.Ledger, x *api.Group) (out []string) {
	for _, r := range groupMembers(x) {
		if s := findStore(l, r.Store); s != nil && !slices.Contains(out, s.Name) {
			out = append(out, s.Name)
		}
	}
	return out
}

// isBelowTarget reports whether, according to the ledger, a group has too few voters or one of its voters is permanently lost.
func isBelowTarget(l *api.Ledger, x *api.Group) bool {
	return len(x.Voters) < int(l.VotersPerGroup) || slices.ContainsFunc(x.Voters, func(r *api.GroupMember) bool { return memberLost(l, r) })
}

// isComplete reports whether, according to the ledger, a group has all its voters and no change is pending.
func isComplete(l *api.Ledger, x *api.Group) bool { return x.Adding == nil && !isBelowTarget(l, x) }

// shardPlacement tells maintenance.Order.Step, from the ledger, whether the groups on a gateway are complete and whether two
// gateways have members of the same group.
type shardPlacement struct{ *api.Ledger }

func (l shardPlacement) Complete(gateway string) bool {
	return !slices.ContainsFunc(l.Groups, func(x *api.Group) bool {
		return slices.Contains(gatewaysOf(l.Ledger, x), gateway) && !isComplete(l.Ledger, x)
	})
}

func (l shardPlacement) ShareShard(a, b string) bool {
	return slices.ContainsFunc(l.Groups, func(x *api.Group) bool {
		all := gatewaysOf(l.Ledger, x)
		return slices.Contains(all, a) && slices.Contains(all, b)
	})
}

// applyMaintenance applies an operator's command or a planned step to the maintenance order. The returned text is for the operator.
func (l *ledger) applyMaintenance(index uint64, c *api.Command) (status Status, text string) {
	o := DecodeOrder(l.Order)
	ok := true
	if x := c.Change.MaintenanceCommand; x != nil {
		if !validCommand(x) {
			return StatusInvalid, "that cannot be said"
		}
		ok, text = o.Command(clock.Micros(l.Time), index, maintenance.ClientSession{Client: c.Client, Sequence: c.Sequence}, decodeCommand(x))
	} else {
		o.Step(clock.Micros(l.Time), index, decodeStep(c.Change.MaintenanceStep), shardPlacement{l.Ledger})
	}
	l.Order = encodeOrder(o)
	if !ok {
		return StatusConflict, text
	}
	return StatusOK, text
}

// findMachine returns a gateway's machine in the maintenance order if the machine is in one of the given states, or else nil.
func findMachine(l *api.Ledger, name string, states ...maintenance.State) *api.Machine {
	for _, m := range l.GetOrder().GetMachines() {
		if maintenance.Kind(m.Kind) == maintenance.Gateway && m.Name == name && slices.Contains(states, maintenance.State(m.State)) {
			return m
		}
	}
	return nil
}

// maintenanceDuration returns how long a gateway's machine is to be out of service, if the machine is out, draining or next in the
// order. Otherwise ok is false.
func maintenanceDuration(l *api.Ledger, name string) (span clock.Micros, ok bool) {
	m := findMachine(l, name, maintenance.Next, maintenance.Draining, maintenance.Out)
	return clock.Micros(m.GetDuration()), m != nil
}

// isCordoned reports whether this gateway's own machine is draining or out. While the machine is in one of these
// states, this gateway must not lead any group.
func (h *Host) isCordoned() bool {
	return findMachine(h.ledger, h.cfg.Name, maintenance.Draining, maintenance.Out) != nil
}
