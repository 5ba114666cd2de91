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

// MaintenanceKey is the key of a Get in the ledger whose result is a listing of the order of maintenance, see DecodeListing.
const MaintenanceKey = "maintenance"

// maintenanceState is the part of the host for maintenance (internal/maintenance): the order is part of the ledger, and the ledger's leader
// plans it after the placement.
type maintenanceState struct {
	own           *GatewayReport
	members       []maintenance.Member
	reports       map[string]maintenance.GatewayStatus
	reportedAt    map[string]clock.Micros // when each of them came
	planner       maintenance.Planner
	waits         maintenance.Waits
	notifiedIndex uint64 // the ledger's index at the last notifyOrder
	order         *maintenance.Order
}

// notifyOrder reports the order of maintenance where it has changed.
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

// gatewayReport is this gateway's report for maintenance; nil: there is none.
func (h *Host) gatewayReport() *api.GatewayReport {
	if h.maintenance.own == nil || h.cfg.Maintenance == nil {
		return nil
	}
	x := encodeReport(h.maintenance.own, h.cfg.Zone, slices.ContainsFunc(h.sortedGroups(), func(g *group) bool { return g.isLeader }))
	x.Ready = x.Ready && h.recovered() && h.disk.failure == ""
	return x
}

// recordGatewayReport records a gateway's report. One of an earlier incarnation is ignored.
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

// resetMaintenance has a new leader start without what it knew before.
func (h *Host) resetMaintenance() {
	u := &h.maintenance
	u.reports, u.reportedAt, u.planner, u.waits = nil, nil, maintenance.Planner{}, nil
}

// maintenanceFacts is what the leader plans maintenance by, beside the order. A gateway that has a store or is on the roster, and that
// membership does not know, counts as dead.
func (h *Host) maintenanceFacts(ledger *api.Ledger) *maintenance.ClusterView {
	state := &h.maintenance
	h.recordGatewayReport(h.cfg.Name, h.gatewayReport())
	facts := &maintenance.ClusterView{
		Now:         h.groups[LedgerGroup].groupTime(),
		AllReported: h.now-h.placement.leaderSince > freshTicks*h.cfg.Tick && len(state.members) > 0,
	}
	members := h.expectedMembers(ledger)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		facts.Gateways = append(facts.Gateways, h.gatewayStatus(members[name]))
	}
	for id := range ledger.Groups {
		facts.Shards = append(facts.Shards, h.shardStatus(ledger, uint32(id)))
	}
	return facts
}

// expectedMembers are the gateways that membership knows, and, as dead, those that only the ledger knows.
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

// gatewayStatus is a gateway's last report, if it is recent, with what membership says.
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

// shardStatus is a group's state for maintenance: by the ledger, and complete only if its leader has reported so recently.
func (h *Host) shardStatus(ledger *api.Ledger, id uint32) maintenance.ShardStatus {
	x := ledger.Groups[id]
	status := maintenance.ShardStatus{Hosts: gatewaysOf(ledger, x), Complete: isComplete(ledger, x), UnderReplicated: isBelowTarget(ledger, x)}
	if r := h.placement.groupReports[id]; status.Complete {
		status.Complete = r != nil && h.GroupReported(id) && r.Epoch == x.Epoch && !r.Joint && !r.Lagging && len(r.Voters) == len(x.Voters)
	}
	return status
}

// planMaintenance proposes the next steps of the order of maintenance.
func (h *Host) planMaintenance(g *group) {
	l := g.sm.(*ledger).Ledger
	if h.cfg.Maintenance == nil || l.Format < MaintenanceFormat || h.shutdown.draining {
		return
	}
	h.placement.reportedAt[LedgerGroup] = h.now
	steps, waits := h.maintenance.planner.Plan(DecodeOrder(l.Order), h.maintenanceFacts(l), *h.cfg.Maintenance)
	h.maintenance.waits = waits
	var commands []*api.Command
	for _, s := range steps {
		commands = append(commands, encodeStep(s))
	}
	if len(commands) > 0 {
		g.proposeEntry(commands)
	}
}

// encodeListing is the result of a Get of MaintenanceKey.
func (h *Host) encodeListing(l *api.Ledger) []byte {
	x := &api.Listing{Order: l.Order, Leader: h.cfg.Name, Time: int64(h.groups[LedgerGroup].groupTime()), Waits: h.maintenance.waits}
	b, _ := proto.Marshal(x)
	return b
}

// Order is the order of maintenance as far as it is known here.
func (h *Host) Order() *maintenance.Order { return DecodeOrder(h.ledger.Order) }

// gatewaysOf lists the gateways that a group has members on.
func gatewaysOf(l *api.Ledger, x *api.Group) (out []string) {
	for _, r := range groupMembers(x) {
		if s := findStore(l, r.Store); s != nil && !slices.Contains(out, s.Name) {
			out = append(out, s.Name)
		}
	}
	return out
}

// isBelowTarget tells whether a group has fewer voters than it is to have, by the ledger.
func isBelowTarget(l *api.Ledger, x *api.Group) bool {
	return len(x.Voters) < int(l.VotersPerGroup) || slices.ContainsFunc(x.Voters, func(r *api.GroupMember) bool { return memberLost(l, r) })
}

// isComplete tells whether a group has all its voters and no change is pending, by the ledger.
func isComplete(l *api.Ledger, x *api.Group) bool { return x.Adding == nil && !isBelowTarget(l, x) }

// shardPlacement is the placement as the steps of the order of maintenance see it.
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

// applyMaintenance applies an operator's command or a step of the order of maintenance. The text is for the operator.
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

// findMachine is a gateway's machine in the order if it is in one of some states; nil: it is not.
func findMachine(l *api.Ledger, name string, states ...maintenance.State) *api.Machine {
	for _, m := range l.GetOrder().GetMachines() {
		if maintenance.Kind(m.Kind) == maintenance.Gateway && m.Name == name && slices.Contains(states, maintenance.State(m.State)) {
			return m
		}
	}
	return nil
}

// maintenanceDuration is how long a gateway's machine is to be out, if it is about to be or is; else ok is false.
func maintenanceDuration(l *api.Ledger, name string) (span clock.Micros, ok bool) {
	m := findMachine(l, name, maintenance.Next, maintenance.Draining, maintenance.Out)
	return clock.Micros(m.GetDuration()), m != nil
}

// isCordoned tells whether this gateway's own machine is draining or out. It leads no group then.
func (h *Host) isCordoned() bool {
	return findMachine(h.ledger, h.cfg.Name, maintenance.Draining, maintenance.Out) != nil
}
