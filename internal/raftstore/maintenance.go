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

// MaintainKey is the key of a Get in the ledger that is answered with a listing.
const MaintenanceKey = "maintenance"

// upkeep is what the ledger's leader knows for the order of maintenance, and what every gateway knows of itself.
type maintenanceState struct {
	own           *GatewayReport
	members       []maintenance.Member
	reports       map[string]maintenance.GatewayStatus
	reportedAt    map[string]clock.Micros // when each was heard
	planner       maintenance.Planner
	waits         maintenance.Waits
	notifiedIndex uint64 // the ledger's index whose order was last told
	order         *maintenance.Order
}

// ordered tells of the order where it has changed.
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

// fact is what this gateway tells of itself.
func (h *Host) gatewayReport() *api.GatewayReport {
	if h.maintenance.own == nil || h.cfg.Maintenance == nil {
		return nil
	}
	x := encodeReport(h.maintenance.own, h.cfg.Zone, slices.ContainsFunc(h.sortedGroups(), func(g *group) bool { return g.isLeader }))
	x.Ready = x.Ready && h.recovered() && h.disk.failure == ""
	return x
}

// factFrom takes in what a gateway tells of itself. A late word of a life that is over does not count.
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

// resetUpkeep has a new leader begin without what it may have known before.
func (h *Host) resetMaintenance() {
	u := &h.maintenance
	u.reports, u.reportedAt, u.planner, u.waits = nil, nil, maintenance.Planner{}, nil
}

// sight is what the leader goes by, beside the order. A gateway that holds something, or that is on the roll, and that nobody
// knows of, is as good as dead.
func (h *Host) maintenanceFacts(ledger *api.Ledger) *maintenance.ClusterView {
	state := &h.maintenance
	h.recordGatewayReport(h.cfg.Name, h.gatewayReport())
	facts := &maintenance.ClusterView{Now: clock.Micros(h.groups[LedgerGroup].groupTime()), AllReported: h.now-h.placement.leaderSince > freshTicks*h.cfg.Tick && len(state.members) > 0}
	all := map[string]maintenance.Member{}
	for _, shard := range ledger.Stores {
		if !shard.Removed {
			all[shard.Name] = maintenance.Member{Name: shard.Name, Zone: shard.Zone, Presence: maintenance.Dead}
		}
	}
	for _, e := range ledger.GetOrder().GetEnrolled() {
		all[e.Name] = maintenance.Member{Name: e.Name, Presence: maintenance.Dead, Incarnation: e.Incarnation}
	}
	for _, m := range state.members {
		all[m.Name] = m
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		m, last := all[name], state.reports[name]
		g := maintenance.GatewayStatus{Name: name, Zone: cmp.Or(last.Zone, m.Zone), Incarnation: last.Incarnation, Presence: m.Presence}
		switch fresh := last.Name != "" && h.now-state.reportedAt[name] <= freshTicks*h.cfg.Tick; {
		case m.Presence == maintenance.Left:
			g.Incarnation = max(m.Incarnation, last.Incarnation)
		case m.Presence == maintenance.Alive && fresh:
			g.Report = last.Report
		case m.Presence == maintenance.Alive:
			g.Presence = maintenance.Silent
		}
		facts.Gateways = append(facts.Gateways, g)
	}
	for id, x := range ledger.Groups {
		shard := maintenance.ShardStatus{Hosts: gatewaysOf(ledger, x), Complete: isComplete(ledger, x), UnderReplicated: isBelowTarget(ledger, x)}
		if r := h.placement.groupReports[uint32(id)]; shard.Complete {
			shard.Complete = r != nil && h.GroupReported(uint32(id)) && r.Epoch == x.Epoch && !r.Joint && !r.Lagging && len(r.Voters) == len(x.Voters)
		}
		facts.Shards = append(facts.Shards, shard)
	}
	return facts
}

// planOrder has the order go on, where the ledger is led here and all that was decided is in it.
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

// listing answers a read of the order.
func (h *Host) encodeListing(l *api.Ledger) []byte {
	x := &api.Listing{Order: l.Order, Leader: h.cfg.Name, Time: int64(h.groups[LedgerGroup].groupTime()), Waits: h.maintenance.waits}
	b, _ := proto.Marshal(x)
	return b
}

// Order is the order of maintenance as far as it is known here.
func (h *Host) Order() *maintenance.Order { return DecodeOrder(h.ledger.Order) }

// names lists the gateways that hold a group.
func gatewaysOf(l *api.Ledger, x *api.Group) (out []string) {
	for _, r := range groupMembers(x) {
		if s := findStore(l, r.Store); s != nil && !slices.Contains(out, s.Name) {
			out = append(out, s.Name)
		}
	}
	return out
}

// belowIn tells whether a group has fewer copies than it is to have, by the ledger, and wholeIn whether it has all and none is on
// its way.
func isBelowTarget(l *api.Ledger, x *api.Group) bool {
	return len(x.Voters) < int(l.VotersPerGroup) || slices.ContainsFunc(x.Voters, func(r *api.GroupMember) bool { return memberLost(l, r) })
}

func isComplete(l *api.Ledger, x *api.Group) bool { return x.Adding == nil && !isBelowTarget(l, x) }

// shards is what the ledger itself knows of who holds what, for the order's steps.
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

// maintain carries out what concerns the order of maintenance, and tells what there is to say of it.
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

// gatewayIn is a gateway's machine in the order that stands in one of some states; nil: none does.
func findMachine(l *api.Ledger, name string, states ...maintenance.State) *api.Machine {
	for _, m := range l.GetOrder().GetMachines() {
		if maintenance.Kind(m.Kind) == maintenance.Gateway && m.Name == name && slices.Contains(states, maintenance.State(m.State)) {
			return m
		}
	}
	return nil
}

// awayFor tells for which span a gateway's machine is to be away, where it is about to be, or is; ok is false where it is not.
func maintenanceDuration(l *api.Ledger, name string) (span clock.Micros, ok bool) {
	m := findMachine(l, name, maintenance.Next, maintenance.Draining, maintenance.Out)
	return clock.Micros(m.GetDuration()), m != nil
}

// apart tells whether this gateway's own machine is about to be out, or is: it leads nothing then.
func (h *Host) isCordoned() bool {
	return findMachine(h.ledger, h.cfg.Name, maintenance.Draining, maintenance.Out) != nil
}
