package maintenance

import (
	"fmt"
	"slices"
	"strings"
)

// evaluator makes decisions from an order and the leader's view of the cluster at one moment. It changes neither the order nor
// the view.
type evaluator struct {
	order  *Order
	view   *ClusterView
	limits Limits
}

// unexcuseSteps returns, for each gateway in Order.Excused that is no longer dead, the step that removes the gateway from
// Order.Excused.
func (e evaluator) unexcuseSteps() (steps []Step) {
	for _, name := range e.order.Excused {
		if g := e.view.gateway(name); e.view.AllReported && (g == nil || g.Presence != Dead) {
			steps = append(steps, Step{Unexcuse: name})
		}
	}
	return steps
}

// rosterSteps returns the steps that put new incarnations of gateways on the roster and remove incarnations that have shut down
// gracefully.
func (e evaluator) rosterSteps() (steps []Step) {
	for _, g := range e.view.Gateways {
		switch last := e.order.EnrolledIncarnation(g.Name); {
		case g.Presence == Alive && g.Incarnation > last:
			steps = append(steps, Step{Enroll: Enrollment{g.Name, g.Incarnation}})
		case g.Presence == Left && last > 0 && last <= g.Incarnation:
			steps = append(steps, Step{Unenroll: Enrollment{g.Name, g.Incarnation}})
		}
	}
	return steps
}

// stepFor returns the step that follows from a decision for a machine in progress. due is false if there is no step to take.
func (e evaluator) stepFor(m *Machine, d decision) (step Step, due bool) {
	step = Step{ID: m.ID, Revision: m.Revision}
	switch {
	case d.to != m.State || d.incarnation != 0 && d.incarnation != m.Incarnation:
		step.To, step.Incarnation = d.to, d.incarnation
	case !m.Overdue && e.isLate(m):
		step.Overdue = true
	case m.Overdue && !m.Overridden && e.limits.ExcuseAfter > 0 && e.view.Now-m.OutSince > m.Duration+e.limits.ExcuseAfter:
		step.Override = true
	default:
		return Step{}, false
	}
	return step, true
}

// stepToNext returns the step that changes a machine's state to Next.
func (e evaluator) stepToNext(m *Machine) Step {
	step := e.placeStep(m)
	step.ID, step.Revision, step.To = m.ID, m.Revision, Next
	if g := e.view.gateway(m.Name); m.Kind == Gateway && g != nil {
		step.Incarnation = g.Incarnation
	}
	return step
}

// placeStep returns a step that contains only what Order.hasPlace reads: the current limits and the machine's zone.
func (e evaluator) placeStep(m *Machine) Step {
	step := Step{MaxGateways: e.limits.MaxGateways, MaxPerZone: e.limits.MaxPerZone, MaxServers: e.limits.MaxServers}
	if g := e.view.gateway(m.Name); m.Kind == Gateway && g != nil {
		step.Zone = g.Zone
	}
	return step
}

// isLate reports whether a machine is out of service for longer than planned.
func (e evaluator) isLate(m *Machine) bool {
	switch m.State {
	case Out:
		return e.view.Now-m.OutSince > m.Duration
	case Returning:
		return e.view.Now-m.OutSince > m.Duration+e.limits.ReturnWithin || e.view.Now-m.Since > e.limits.ReturnWithin
	}
	return false
}

// reasonToWait returns why a requested machine may not be taken out of service yet. The zero Reason means that the machine may
// be taken out of service now.
func (e evaluator) reasonToWait(m *Machine) Reason {
	if e.order.Paused {
		return because(AllPaused)
	}
	if r := e.clusterFault(m, e.limits.MaxLoad); r.exists() {
		return r
	}
	if r := e.placeReason(m); r.exists() {
		return r
	}
	return e.machineReasonToWait(m)
}

// machineReasonToWait returns why a machine may not be taken out of service because the other gateways, or the other servers of
// its group, need it.
func (e evaluator) machineReasonToWait(m *Machine) Reason {
	if m.Kind == Server {
		return e.serverReasonToWait(m)
	}
	return e.gatewayReasonToWait(m)
}

// clusterFault returns a fault in the cluster that is not caused by maintenance, or the zero Reason. The state of the evaluated
// machine itself does not count as a fault. maxLoad is the load that the gateways may carry, in thousandths of their capacity.
func (e evaluator) clusterFault(evaluated *Machine, maxLoad int) Reason {
	if !e.view.AllReported {
		return because(ReportsMissing)
	}
	if r := e.missingGateway(evaluated); r.exists() {
		return r
	}
	if r := e.underReplicatedShard(); r.exists() {
		return r
	}
	return e.overload(nil, maxLoad)
}

// missingGateway returns a reason if a gateway is dead or silent, unless that gateway is excused (Order.Excused), is Out or
// Returning, or is the evaluated machine.
func (e evaluator) missingGateway(evaluated *Machine) Reason {
	for _, g := range e.view.Gateways {
		m := e.order.Find(Gateway, g.Name, 0)
		atWork := m != nil && (m.State == Out || m.State == Returning || m == evaluated)
		switch {
		case atWork || slices.Contains(e.order.Excused, g.Name):
		case g.Presence == Dead:
			return about(GatewayDead, g.Name)
		case g.Presence == Silent:
			return about(GatewaySilent, g.Name)
		}
	}
	return Reason{}
}

// underReplicatedShard returns a reason if a shard has too few copies, unless one of its hosts is a gateway in progress.
func (e evaluator) underReplicatedShard() Reason {
	inProgress := func(name string) bool {
		m := e.order.Find(Gateway, name, 0)
		return m != nil && m.inProgress()
	}
	for _, s := range e.view.Shards {
		if s.UnderReplicated && !slices.ContainsFunc(s.Hosts, inProgress) {
			return about(ShardUnderReplicated, strings.Join(s.Hosts, ", "))
		}
	}
	return Reason{}
}

// overload returns a reason if the ready gateways, not counting the machine in the parameter without, would have to carry more
// than maxLoad, in thousandths of their capacity, or if no such gateway is left. If that parameter is nil, all ready gateways
// count.
func (e evaluator) overload(without *Machine, maxLoad int) Reason {
	load, ready := 0, 0
	for _, g := range e.view.Gateways {
		if g.Presence != Alive {
			continue
		}
		load += g.Load
		if g.Ready && (without == nil || g.Name != without.Name) {
			ready++
		}
	}
	switch {
	case ready == 0:
		return because(NoGatewayLeft)
	case load/ready > maxLoad:
		return Reason{Cause: TooMuchLoad, Count: load / ready / 10}
	}
	return Reason{}
}

// placeReason returns a reason if the limits do not allow one more machine out of service.
func (e evaluator) placeReason(m *Machine) Reason {
	if e.order.hasPlace(m, e.placeStep(m)) {
		return Reason{}
	}
	var names []string
	for i := range e.order.Machines {
		if other := &e.order.Machines[i]; other.ID != m.ID && other.Kind == m.Kind && other.inProgress() {
			names = append(names, fmt.Sprintf("%s, which is %s", other.Label(), other.StateText(e.order.Paused)))
		}
	}
	return about(PlacesTaken, strings.Join(names, "; "))
}

// gatewayReasonToWait returns why a gateway may not be taken out of service, considering its zone, its floating addresses, the
// load and its shards.
func (e evaluator) gatewayReasonToWait(m *Machine) Reason {
	g := e.view.gateway(m.Name)
	if !g.isReporting() {
		return because(GatewayNotReporting)
	}
	if ready := e.otherReadyInZone(g); ready < e.limits.KeepReady {
		return Reason{Cause: ZoneNotReady, Subject: g.Zone, Count: ready}
	}
	for _, group := range g.FloatingGroups {
		if !e.otherReadyFor(g, group) {
			return about(NoOtherForAddress, group)
		}
	}
	if r := e.overload(m, e.limits.MaxLoad); r.exists() {
		return r
	}
	return e.shardReason(m)
}

// otherReadyInZone returns the number of other ready gateways in the gateway's zone.
func (e evaluator) otherReadyInZone(g *GatewayStatus) (ready int) {
	for _, other := range e.view.Gateways {
		if other.Presence == Alive && other.Ready && other.Zone == g.Zone && other.Name != g.Name {
			ready++
		}
	}
	return ready
}

// otherReadyFor reports whether another gateway of a floating address group is ready.
func (e evaluator) otherReadyFor(g *GatewayStatus, group string) bool {
	return slices.ContainsFunc(e.view.Gateways, func(other GatewayStatus) bool {
		return other.Presence == Alive && other.Ready && other.Name != g.Name && slices.Contains(other.FloatingGroups, group)
	})
}

// shardReason returns why a gateway may not be taken out of service, considering its shards.
func (e evaluator) shardReason(m *Machine) Reason {
	if other := e.order.sharedShardConflict(m, e.view); other != nil {
		return Reason{Cause: SharedShard, Subject: other.Name, Detail: other.State.String()}
	}
	if !e.view.Complete(m.Name) && !e.migratesShards(m) {
		return because(ShardIncomplete)
	}
	for _, other := range e.view.Gateways {
		if other.Name != m.Name && other.Presence != Alive && e.view.ShareShard(m.Name, other.Name) {
			return Reason{Cause: SharedShard, Subject: other.Name, Detail: "not there"}
		}
	}
	return Reason{}
}

// migratesShards reports whether a gateway's shards are being migrated to other gateways because the gateway will be out for
// longer than RepairAfter.
func (e evaluator) migratesShards(m *Machine) bool {
	return m.State == Next && e.view.shardCount(m.Name) > 0 && m.Duration > e.limits.RepairAfter
}

// serverReasonToWait returns why a server may not be taken out of service, considering its group.
func (e evaluator) serverReasonToWait(m *Machine) Reason {
	if _, known := e.view.combinedReport(m.Group, m.Name); !known {
		return because(ServerUnknown)
	}
	isPrimary := e.view.isPrimary(m.Group, m.Name)
	hasPeer, hasPrimary := false, isPrimary
	for _, name := range e.view.serversOfGroup(m.Group) {
		if name == m.Name {
			continue
		}
		peer, _ := e.view.combinedReport(m.Group, name)
		switch {
		case peer.Down:
			return about(PeerDown, name)
		case peer.WarmingUp:
			return about(PeerWarmingUp, name)
		case peer.Lagging:
			return about(PeerLagging, name)
		}
		hasPeer, hasPrimary = true, hasPrimary || peer.Primary
		if other := e.order.Find(Server, name, m.Group); other != nil && other.State == Requested && !peer.Primary && isPrimary {
			return about(ReplicaFirst, name)
		}
	}
	switch {
	case !hasPeer:
		return because(OnlyServer)
	case !hasPrimary:
		return because(NoPrimary)
	}
	return Reason{}
}

// next returns the decision for a machine that is Next.
func (e evaluator) next(m *Machine) decision {
	reason := e.clusterFault(m, e.limits.MaxLoad)
	if !reason.exists() {
		reason = e.machineReasonToWait(m)
	}
	if reason.exists() {
		return stay(Requested, reason)
	}
	if m.Kind == Server {
		if e.view.isPrimary(m.Group, m.Name) && !m.Overridden {
			return stay(Next, because(OtherPrimary))
		}
		return decision{to: Draining}
	}
	switch {
	case e.view.gateway(m.Name).Incarnation > m.Incarnation:
		return stay(Requested, because(Restarted))
	case e.migratesShards(m):
		return stay(Next, Reason{Cause: ShardsMigrating, Count: e.view.shardCount(m.Name)})
	}
	return decision{to: Draining}
}

// draining returns the decision for a machine that is Draining.
func (e evaluator) draining(m *Machine) decision {
	if m.Kind == Server {
		return e.serverDraining(m)
	}
	return e.gatewayDraining(m)
}

// gatewayDraining returns the decision for a gateway that is Draining. The gateway goes to Out once the draining incarnation,
// after it applied the ledger entry that started the draining, has reported that it is idle and leads neither a shard nor the
// ledger, or once the gateway has shut down gracefully. A fault elsewhere in the cluster sends the gateway back to Requested.
func (e evaluator) gatewayDraining(m *Machine) decision {
	if !e.view.AllReported {
		return stay(Draining, because(ReportsMissingWhileDraining))
	}
	g := e.view.gateway(m.Name)
	switch {
	case (g == nil || g.Presence == Dead) && m.Overridden:
		return decision{to: Out}
	case g == nil || g.Presence == Dead:
		return stay(Draining, because(DiedWhileDraining))
	case g.Presence == Left && g.Incarnation >= m.Incarnation: // a graceful shutdown answers all requests in flight
		return decision{to: Out}
	case g.Incarnation > m.Incarnation:
		return stay(Requested, because(RestartedWhileDraining))
	case g.Presence == Silent:
		return stay(Draining, because(IdleReport))
	}
	// Another gateway that is only silent does not send the draining gateway back to Requested, and the load may be a quarter
	// above the limit.
	if fault := e.clusterFault(m, e.limits.MaxLoad+e.limits.MaxLoad/4); fault.exists() && fault.Cause != GatewaySilent {
		return stay(Requested, fault)
	}
	switch {
	case g.Incarnation < m.Incarnation || g.LedgerIndex < m.ChangeIndex:
		return stay(Draining, because(CurrentReport))
	case !g.Idle:
		return stay(Draining, because(InFlight))
	case g.Leads:
		return stay(Draining, because(LeadershipTransfer))
	}
	return decision{to: Out}
}

// serverDraining returns the decision for a server that is Draining. The server goes to Out once no gateway on the roster can
// have requests in flight at that server. A fault in the server's group sends the server back to Requested.
func (e evaluator) serverDraining(m *Machine) decision {
	if r := e.serverReasonToWait(m); r.exists() && r.Cause != ServerUnknown && !m.Overridden {
		return stay(Requested, r)
	}
	if !e.view.AllReported {
		return stay(Draining, because(ReportsMissingWhileDraining))
	}
	busy, unreachable := e.unquiescedGateways(m)
	reason := Reason{Subject: strings.Join(busy, ", "), Detail: strings.Join(unreachable, ", ")}
	switch {
	case len(busy) > 0 && len(unreachable) > 0:
		reason.Cause = ServerQuiescenceAndUnreachable
	case len(busy) > 0:
		reason.Cause = ServerQuiescence
	case len(unreachable) > 0:
		reason.Cause = GatewaysUnreachable
	default:
		return decision{to: Out}
	}
	return stay(Draining, reason)
}

// unquiescedGateways returns the gateways on the roster that may still have requests in flight at a server. The list busy
// contains those that report, but have not reported the server as quiesced; the list unreachable contains those that do not
// report.
func (e evaluator) unquiescedGateways(m *Machine) (busy, unreachable []string) {
	for _, enrolled := range e.order.Roster {
		g := e.view.gateway(enrolled.Name)
		switch {
		case g.isReporting() && g.Incarnation == enrolled.Incarnation && g.LedgerIndex >= m.ChangeIndex && slices.Contains(g.Quiesced, m.ID):
		case g.isReporting():
			busy = append(busy, enrolled.Name)
		case !m.Overridden && !e.wasOut(enrolled):
			unreachable = append(unreachable, enrolled.Name)
		}
	}
	return busy, unreachable
}

// wasOut reports whether a gateway that does not report cannot have requests in flight: it is Out, so it admits nothing, and a
// later incarnation of it has to enroll before it sends anything.
func (e evaluator) wasOut(enrolled Enrollment) bool {
	m := e.order.Find(Gateway, enrolled.Name, 0)
	return m != nil && m.State == Out && m.Incarnation >= enrolled.Incarnation
}
