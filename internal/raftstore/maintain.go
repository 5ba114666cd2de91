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

// The order of maintenance is part of the ledger (internal/maintenance): its entries are the ledger's, and its leader plans it
// beside who holds what.

// Members tells who there is, for the ledger's leader to plan maintenance by.
type MembershipChanged struct{ Members []maintenance.Member }

// Limits are by what limits machines are taken out from now on.
type LimitsChanged struct{ maintenance.Limits }

// Own is what this gateway reports for the order of maintenance, in a life of its own.
type GatewayReport struct {
	Incarnation uint64
	maintenance.Report
}

func (MembershipChanged) event() {}
func (LimitsChanged) event()     {}
func (GatewayReport) event()     {}

// Ordered tells that the order of maintenance has changed, as far as is known here. It must not be changed.
type OrderChanged struct {
	Index uint64 // the ledger's
	Order *maintenance.Order
}

func (OrderChanged) action() {}

// MaintainKey is the key of a Get in the ledger that is answered with a listing.
const MaintenanceKey = "maintenance"

// Command is an operator's command as a change of the ledger.
func MaintenanceCommand(c maintenance.Command) *api.Command {
	return &api.Command{Format: MaintenanceFormat, Change: &api.Change{MaintenanceCommand: &api.MaintenanceCommand{
		Verb: uint32(c.Verb), Kind: uint32(c.Kind), Name: c.Name, Group: int64(c.Group), Duration: int64(c.Duration), Reason: c.Comment, RequestedBy: c.RequestedBy,
	}}}
}

func said(c *api.MaintenanceCommand) maintenance.Command {
	return maintenance.Command{
		Verb: maintenance.Verb(c.Verb), Kind: maintenance.Kind(c.Kind), Name: c.Name, Group: int(c.Group), Duration: clock.Micros(c.Duration),
		Comment: c.Reason, RequestedBy: c.RequestedBy,
	}
}

// sound tells whether a command may stand in the ledger.
func sound(c *api.MaintenanceCommand) bool {
	return c.Verb > 0 && c.Verb < uint32(maintenance.Verbs) && c.Kind < uint32(maintenance.Kinds) && len(c.Name) <= maintenance.MaxNameLength &&
		len(c.Reason) <= maintenance.MaxCommentLength && len(c.RequestedBy) <= MaxNameBytes && c.Duration >= 0
}

func stepOut(s maintenance.Step) *api.Command {
	x := &api.MaintenanceStep{
		Id: s.ID, Turn: s.Revision, To: uint32(s.To), Incarnation: s.Incarnation, Zone: s.Zone, Overdue: s.Overdue, Forced: s.Override, Unexcused: s.Unexcuse,
		MaxGateways: uint32(s.MaxGateways), MaxPerZone: uint32(s.MaxPerZone), MaxServers: uint32(s.MaxServers),
	}
	if s.Enroll.Name != "" {
		x.Enroll = &api.Enrolled{Name: s.Enroll.Name, Incarnation: s.Enroll.Incarnation}
	}
	if s.Unenroll.Name != "" {
		x.Unenroll = &api.Enrolled{Name: s.Unenroll.Name, Incarnation: s.Unenroll.Incarnation}
	}
	return &api.Command{Format: MaintenanceFormat, Change: &api.Change{MaintenanceStep: x}}
}

func stepIn(x *api.MaintenanceStep) maintenance.Step {
	return maintenance.Step{
		ID: x.Id, Revision: x.Turn, To: maintenance.State(x.To), Incarnation: x.Incarnation, Zone: x.Zone, Overdue: x.Overdue, Override: x.Forced, Unexcuse: x.Unexcused,
		Enroll:      maintenance.Enrollment{Name: x.GetEnroll().GetName(), Incarnation: x.GetEnroll().GetIncarnation()},
		Unenroll:    maintenance.Enrollment{Name: x.GetUnenroll().GetName(), Incarnation: x.GetUnenroll().GetIncarnation()},
		MaxGateways: int(x.MaxGateways), MaxPerZone: int(x.MaxPerZone), MaxServers: int(x.MaxServers),
	}
}

// OrderOf is an order as the ledger keeps it; nil is an empty one.
func DecodeOrder(x *api.Order) *maintenance.Order {
	o := &maintenance.Order{Paused: x.GetPaused(), LastID: x.GetLastId(), Excused: slices.Clone(x.GetExcused())}
	for _, m := range x.GetMachines() {
		o.Machines = append(o.Machines, maintenance.Machine{
			ID: m.Id, Kind: maintenance.Kind(m.Kind), Name: m.Name, Group: int(m.Group), Zone: m.Zone, State: maintenance.State(m.State), Revision: m.Turn,
			ChangeIndex: m.ChangedIndex, Since: clock.Micros(m.ChangedAt), OutSince: clock.Micros(m.OutAt), Duration: clock.Micros(m.Duration), Incarnation: m.Incarnation, Comment: m.Reason,
			RequestedBy: m.RequestedBy, Overdue: m.Overdue, Overridden: m.Forced,
		})
	}
	for _, a := range x.GetAskers() {
		o.Sessions = append(o.Sessions, maintenance.ClientSession{Client: a.Client, Sequence: a.Sequence, OK: a.Ok, Answer: a.Message})
	}
	for _, e := range x.GetEnrolled() {
		o.Roster = append(o.Roster, maintenance.Enrollment{Name: e.Name, Incarnation: e.Incarnation})
	}
	return o
}

func encodeOrder(o *maintenance.Order) *api.Order {
	x := &api.Order{Paused: o.Paused, LastId: o.LastID, Excused: o.Excused}
	for _, m := range o.Machines {
		x.Machines = append(x.Machines, &api.Machine{
			Id: m.ID, Kind: uint32(m.Kind), Name: m.Name, Group: int64(m.Group), Zone: m.Zone, State: uint32(m.State), Turn: m.Revision, ChangedIndex: m.ChangeIndex,
			ChangedAt: int64(m.Since), OutAt: int64(m.OutSince), Duration: int64(m.Duration), Incarnation: m.Incarnation, Reason: m.Comment, RequestedBy: m.RequestedBy, Overdue: m.Overdue, Forced: m.Overridden,
		})
	}
	for _, a := range o.Sessions {
		x.Askers = append(x.Askers, &api.Asker{Client: a.Client, Sequence: a.Sequence, Ok: a.OK, Message: a.Answer})
	}
	for _, e := range o.Roster {
		x.Enrolled = append(x.Enrolled, &api.Enrolled{Name: e.Name, Incarnation: e.Incarnation})
	}
	return x
}

func factOut(o *GatewayReport, zone string, leads bool) *api.GatewayReport {
	x := &api.GatewayReport{
		Incarnation: o.Incarnation, Zone: zone, SeenIndex: o.LedgerIndex, Ready: o.Ready, Idle: o.Idle, Leads: leads, Load: uint32(max(o.Load, 0)), FloatingIps: o.FloatingGroups, Cordoned: o.Quiesced,
	}
	for _, s := range o.Servers {
		x.Servers = append(x.Servers, &api.ServerReport{Group: int64(s.Group), Name: s.Name, Primary: s.Primary, Down: s.Down, WarmingUp: s.WarmingUp, Lagging: s.Lagging})
	}
	return x
}

func factIn(name string, x *api.GatewayReport) maintenance.GatewayStatus {
	g := maintenance.GatewayStatus{Name: name, Zone: x.Zone, Incarnation: x.Incarnation, Report: maintenance.Report{
		LedgerIndex: x.SeenIndex, Ready: x.Ready, Idle: x.Idle, Leads: x.Leads, Load: int(x.Load), FloatingGroups: x.FloatingIps, Quiesced: x.Cordoned,
	}}
	for _, s := range x.Servers {
		g.Servers = append(g.Servers, maintenance.ServerReport{Group: int(s.Group), Name: s.Name, Primary: s.Primary, Down: s.Down, WarmingUp: s.WarmingUp, Lagging: s.Lagging})
	}
	return g
}

// upkeep is what the ledger's leader knows for the order of maintenance, and what every gateway knows of itself.
type upkeep struct {
	own     *GatewayReport
	members []maintenance.Member
	facts   map[string]maintenance.GatewayStatus
	at      map[string]clock.Micros // when each was heard
	planner maintenance.Planner
	waits   maintenance.Waits
	told    uint64 // the ledger's index whose order was last told
	order   *maintenance.Order
}

// ordered tells of the order where it has changed.
func (h *Host) ordered() {
	u := &h.upkeep
	if h.view.Index == u.told || h.cfg.Maintenance == nil {
		return
	}
	first := u.order == nil
	u.told = h.view.Index
	next := DecodeOrder(h.view.Order)
	if !first && proto.Equal(encodeOrder(u.order), encodeOrder(next)) {
		return
	}
	u.order = next
	h.out = append(h.out, OrderChanged{Index: h.view.Index, Order: next})
}

// fact is what this gateway tells of itself.
func (h *Host) fact() *api.GatewayReport {
	if h.upkeep.own == nil || h.cfg.Maintenance == nil {
		return nil
	}
	x := factOut(h.upkeep.own, h.cfg.Zone, slices.ContainsFunc(h.inOrder(), func(g *group) bool { return g.led }))
	x.Ready = x.Ready && h.sure() && h.failed == ""
	return x
}

// factFrom takes in what a gateway tells of itself. A late word of a life that is over does not count.
func (h *Host) factFrom(name string, x *api.GatewayReport) {
	u := &h.upkeep
	if last, known := u.facts[name]; x == nil || known && x.Incarnation < last.Incarnation {
		return
	}
	if u.facts == nil {
		u.facts, u.at = map[string]maintenance.GatewayStatus{}, map[string]clock.Micros{}
	}
	u.facts[name], u.at[name] = factIn(name, x), h.now
}

// resetUpkeep has a new leader begin without what it may have known before.
func (h *Host) resetUpkeep() {
	u := &h.upkeep
	u.facts, u.at, u.planner, u.waits = nil, nil, maintenance.Planner{}, nil
}

// sight is what the leader goes by, beside the order. A gateway that holds something, or that is on the roll, and that nobody
// knows of, is as good as dead.
func (h *Host) sight(l *api.Ledger) *maintenance.ClusterView {
	u := &h.upkeep
	h.factFrom(h.cfg.Name, h.fact())
	f := &maintenance.ClusterView{Now: clock.Micros(h.groups[LedgerGroup].logTime()), AllReported: h.now-h.facts.since > freshFor*h.cfg.Tick && len(u.members) > 0}
	all := map[string]maintenance.Member{}
	for _, s := range l.Stores {
		if !s.Removed {
			all[s.Name] = maintenance.Member{Name: s.Name, Zone: s.Zone, Presence: maintenance.Dead}
		}
	}
	for _, e := range l.GetOrder().GetEnrolled() {
		all[e.Name] = maintenance.Member{Name: e.Name, Presence: maintenance.Dead, Incarnation: e.Incarnation}
	}
	for _, m := range u.members {
		all[m.Name] = m
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		m, last := all[name], u.facts[name]
		g := maintenance.GatewayStatus{Name: name, Zone: cmp.Or(last.Zone, m.Zone), Incarnation: last.Incarnation, Presence: m.Presence}
		switch fresh := last.Name != "" && h.now-u.at[name] <= freshFor*h.cfg.Tick; {
		case m.Presence == maintenance.Left:
			g.Incarnation = max(m.Incarnation, last.Incarnation)
		case m.Presence == maintenance.Alive && fresh:
			g.Report = last.Report
		case m.Presence == maintenance.Alive:
			g.Presence = maintenance.Silent
		}
		f.Gateways = append(f.Gateways, g)
	}
	for id, x := range l.Groups {
		s := maintenance.ShardStatus{Hosts: names(l, x), Complete: wholeIn(l, x), UnderReplicated: belowIn(l, x)}
		if r := h.facts.reports[uint32(id)]; s.Complete {
			s.Complete = r != nil && h.GroupReported(uint32(id)) && r.Epoch == x.Epoch && !r.Joint && !r.Lagging && len(r.Voters) == len(x.Voters)
		}
		f.Shards = append(f.Shards, s)
	}
	return f
}

// planOrder has the order go on, where the ledger is led here and all that was decided is in it.
func (h *Host) planOrder(g *group) {
	l := g.sm.(*ledger).Ledger
	if h.cfg.Maintenance == nil || l.Format < MaintenanceFormat || h.leaving {
		return
	}
	h.facts.told[LedgerGroup] = h.now
	steps, waits := h.upkeep.planner.Plan(DecodeOrder(l.Order), h.sight(l), *h.cfg.Maintenance)
	h.upkeep.waits = waits
	var commands []*api.Command
	for _, s := range steps {
		commands = append(commands, stepOut(s))
	}
	if len(commands) > 0 {
		g.enter(commands)
	}
}

// listing answers a read of the order.
func (h *Host) listing(l *api.Ledger) []byte {
	x := &api.Listing{Order: l.Order, Leader: h.cfg.Name, Time: int64(h.groups[LedgerGroup].logTime()), Waits: h.upkeep.waits}
	b, _ := proto.Marshal(x)
	return b
}

// ListingOf reads such an answer.
func DecodeListing(b []byte) (maintenance.Listing, error) {
	var x api.Listing
	if err := proto.Unmarshal(b, &x); err != nil {
		return maintenance.Listing{}, err
	}
	return maintenance.Listing{Order: DecodeOrder(x.Order), Waits: x.Waits, Leader: x.Leader, Now: clock.Micros(x.Time)}, nil
}

// Order is the order of maintenance as far as it is known here.
func (h *Host) Order() *maintenance.Order { return DecodeOrder(h.view.Order) }

// names lists the gateways that hold a group.
func names(l *api.Ledger, x *api.Group) (out []string) {
	for _, r := range replicas(x) {
		if s := storeIn(l, r.Store); s != nil && !slices.Contains(out, s.Name) {
			out = append(out, s.Name)
		}
	}
	return out
}

// belowIn tells whether a group has fewer copies than it is to have, by the ledger, and wholeIn whether it has all and none is on
// its way.
func belowIn(l *api.Ledger, x *api.Group) bool {
	return len(x.Voters) < int(l.VotersPerGroup) || slices.ContainsFunc(x.Voters, func(r *api.GroupMember) bool { return lostIn(l, r) })
}

func wholeIn(l *api.Ledger, x *api.Group) bool { return x.Adding == nil && !belowIn(l, x) }

// shards is what the ledger itself knows of who holds what, for the order's steps.
type shards struct{ *api.Ledger }

func (l shards) Complete(gateway string) bool {
	return !slices.ContainsFunc(l.Groups, func(x *api.Group) bool { return slices.Contains(names(l.Ledger, x), gateway) && !wholeIn(l.Ledger, x) })
}

func (l shards) ShareShard(a, b string) bool {
	return slices.ContainsFunc(l.Groups, func(x *api.Group) bool {
		all := names(l.Ledger, x)
		return slices.Contains(all, a) && slices.Contains(all, b)
	})
}

// maintain carries out what concerns the order of maintenance, and tells what there is to say of it.
func (l *ledger) maintain(index uint64, c *api.Command) (status Status, text string) {
	o := DecodeOrder(l.Order)
	ok := true
	if x := c.Change.MaintenanceCommand; x != nil {
		if !sound(x) {
			return StatusInvalid, "that cannot be said"
		}
		ok, text = o.Command(clock.Micros(l.Time), index, maintenance.ClientSession{Client: c.Client, Sequence: c.Sequence}, said(x))
	} else {
		o.Step(clock.Micros(l.Time), index, stepIn(c.Change.MaintenanceStep), shards{l.Ledger})
	}
	l.Order = encodeOrder(o)
	if !ok {
		return StatusConflict, text
	}
	return StatusOK, text
}

// gatewayIn is a gateway's machine in the order that stands in one of some states; nil: none does.
func gatewayIn(l *api.Ledger, name string, states ...maintenance.State) *api.Machine {
	for _, m := range l.GetOrder().GetMachines() {
		if maintenance.Kind(m.Kind) == maintenance.Gateway && m.Name == name && slices.Contains(states, maintenance.State(m.State)) {
			return m
		}
	}
	return nil
}

// awayFor tells for which span a gateway's machine is to be away, where it is about to be, or is; ok is false where it is not.
func awayFor(l *api.Ledger, name string) (span clock.Micros, ok bool) {
	m := gatewayIn(l, name, maintenance.Next, maintenance.Draining, maintenance.Out)
	return clock.Micros(m.GetDuration()), m != nil
}

// apart tells whether this gateway's own machine is about to be out, or is: it leads nothing then.
func (h *Host) apart() bool {
	return gatewayIn(h.view, h.cfg.Name, maintenance.Draining, maintenance.Out) != nil
}
