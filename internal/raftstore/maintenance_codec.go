package raftstore

import (
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

// MaintenanceCommand encodes an operator's command as a change of the ledger.
func MaintenanceCommand(c maintenance.Command) *api.Command {
	return &api.Command{Format: MaintenanceFormat, Change: &api.Change{MaintenanceCommand: &api.MaintenanceCommand{
		Verb: uint32(c.Verb), Kind: uint32(c.Kind), Name: c.Name, Group: int64(c.Group), Duration: int64(c.Duration), Comment: c.Comment, RequestedBy: c.RequestedBy,
	}}}
}

func decodeCommand(c *api.MaintenanceCommand) maintenance.Command {
	return maintenance.Command{
		Verb: maintenance.Verb(c.Verb), Kind: maintenance.Kind(c.Kind), Name: c.Name, Group: int(c.Group), Duration: clock.Micros(c.Duration),
		Comment: c.Comment, RequestedBy: c.RequestedBy,
	}
}

// validCommand reports whether an operator's command may be applied.
func validCommand(c *api.MaintenanceCommand) bool {
	return c.Verb > 0 && c.Verb < uint32(maintenance.Verbs) && c.Kind < uint32(maintenance.Kinds) && len(c.Name) <= maintenance.MaxNameLength &&
		len(c.Comment) <= maintenance.MaxCommentLength && len(c.RequestedBy) <= MaxNameBytes && c.Duration >= 0
}

func encodeStep(s maintenance.Step) *api.Command {
	x := &api.MaintenanceStep{
		Id: s.ID, Revision: s.Revision, To: uint32(s.To), Incarnation: s.Incarnation, Zone: s.Zone, Overdue: s.Overdue, Override: s.Override, Unexcuse: s.Unexcuse,
		MaxGateways: uint32(s.MaxGateways), MaxPerZone: uint32(s.MaxPerZone), MaxServers: uint32(s.MaxServers),
	}
	if s.Enroll.Name != "" {
		x.Enroll = &api.Enrollment{Name: s.Enroll.Name, Incarnation: s.Enroll.Incarnation}
	}
	if s.Unenroll.Name != "" {
		x.Unenroll = &api.Enrollment{Name: s.Unenroll.Name, Incarnation: s.Unenroll.Incarnation}
	}
	return &api.Command{Format: MaintenanceFormat, Change: &api.Change{MaintenanceStep: x}}
}

func decodeStep(x *api.MaintenanceStep) maintenance.Step {
	return maintenance.Step{
		ID: x.Id, Revision: x.Revision, To: maintenance.State(x.To), Incarnation: x.Incarnation, Zone: x.Zone, Overdue: x.Overdue, Override: x.Override, Unexcuse: x.Unexcuse,
		Enroll:      maintenance.Enrollment{Name: x.GetEnroll().GetName(), Incarnation: x.GetEnroll().GetIncarnation()},
		Unenroll:    maintenance.Enrollment{Name: x.GetUnenroll().GetName(), Incarnation: x.GetUnenroll().GetIncarnation()},
		MaxGateways: int(x.MaxGateways), MaxPerZone: int(x.MaxPerZone), MaxServers: int(x.MaxServers),
	}
}

// DecodeOrder decodes an order from its form in the ledger. A nil order is decoded as an empty one.
func DecodeOrder(x *api.Order) *maintenance.Order {
	o := &maintenance.Order{Paused: x.GetPaused(), LastID: x.GetLastId(), Excused: slices.Clone(x.GetExcused())}
	for _, m := range x.GetMachines() {
		o.Machines = append(o.Machines, maintenance.Machine{
			ID: m.Id, Kind: maintenance.Kind(m.Kind), Name: m.Name, Group: int(m.Group), Zone: m.Zone, State: maintenance.State(m.State), Revision: m.Revision,
			ChangeIndex: m.ChangeIndex, Since: clock.Micros(m.Since), OutSince: clock.Micros(m.OutSince), Duration: clock.Micros(m.Duration), Incarnation: m.Incarnation, Comment: m.Comment,
			RequestedBy: m.RequestedBy, Overdue: m.Overdue, Overridden: m.Overridden,
		})
	}
	for _, a := range x.GetSessions() {
		o.Sessions = append(o.Sessions, maintenance.ClientSession{Client: a.Client, Sequence: a.Sequence, OK: a.Ok, Answer: a.Answer})
	}
	for _, e := range x.GetRoster() {
		o.Roster = append(o.Roster, maintenance.Enrollment{Name: e.Name, Incarnation: e.Incarnation})
	}
	return o
}

func encodeOrder(o *maintenance.Order) *api.Order {
	x := &api.Order{Paused: o.Paused, LastId: o.LastID, Excused: o.Excused}
	for _, m := range o.Machines {
		x.Machines = append(x.Machines, &api.Machine{
			Id: m.ID, Kind: uint32(m.Kind), Name: m.Name, Group: int64(m.Group), Zone: m.Zone, State: uint32(m.State), Revision: m.Revision, ChangeIndex: m.ChangeIndex,
			Since: int64(m.Since), OutSince: int64(m.OutSince), Duration: int64(m.Duration), Incarnation: m.Incarnation, Comment: m.Comment, RequestedBy: m.RequestedBy, Overdue: m.Overdue, Overridden: m.Overridden,
		})
	}
	for _, a := range o.Sessions {
		x.Sessions = append(x.Sessions, &api.ClientSession{Client: a.Client, Sequence: a.Sequence, Ok: a.OK, Answer: a.Answer})
	}
	for _, e := range o.Roster {
		x.Roster = append(x.Roster, &api.Enrollment{Name: e.Name, Incarnation: e.Incarnation})
	}
	return x
}

func encodeReport(o *GatewayReport, zone string, leads bool) *api.GatewayReport {
	x := &api.GatewayReport{
		Incarnation: o.Incarnation, Zone: zone, LedgerIndex: o.LedgerIndex, Ready: o.Ready, Idle: o.Idle, Leads: leads, Load: uint32(max(o.Load, 0)), FloatingGroups: o.FloatingGroups, Quiesced: o.Quiesced,
	}
	for _, s := range o.Servers {
		x.Servers = append(x.Servers, &api.ServerReport{Group: int64(s.Group), Name: s.Name, Primary: s.Primary, Down: s.Down, WarmingUp: s.WarmingUp, Lagging: s.Lagging})
	}
	return x
}

func decodeReport(name string, x *api.GatewayReport) maintenance.GatewayStatus {
	g := maintenance.GatewayStatus{Name: name, Zone: x.Zone, Incarnation: x.Incarnation, Report: maintenance.Report{
		LedgerIndex: x.LedgerIndex, Ready: x.Ready, Idle: x.Idle, Leads: x.Leads, Load: int(x.Load), FloatingGroups: x.FloatingGroups, Quiesced: x.Quiesced,
	}}
	for _, s := range x.Servers {
		g.Servers = append(g.Servers, maintenance.ServerReport{Group: int(s.Group), Name: s.Name, Primary: s.Primary, Down: s.Down, WarmingUp: s.WarmingUp, Lagging: s.Lagging})
	}
	return g
}

// DecodeListing decodes the result of a Get of MaintenanceKey. It returns an error if the result is malformed.
func DecodeListing(b []byte) (maintenance.Listing, error) {
	var x api.Listing
	if err := proto.Unmarshal(b, &x); err != nil {
		return maintenance.Listing{}, err
	}
	return maintenance.Listing{Order: DecodeOrder(x.Order), Waits: x.Waits, Leader: x.Leader, Now: clock.Micros(x.Time)}, nil
}
