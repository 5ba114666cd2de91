package maintenance

import (
	"fmt"
	"slices"
	"strings"
)

// evaluator decides by an order and what the leader knows at one moment. It changes neither.
type evaluator struct {
	order  *Order
	view   *ClusterView
	limits Limits
}

// unexcuseSteps are for gateways that were excused and are not dead any more.
func (e evaluator) unexcuseSteps() (steps []Step) {
	for _, name := range e.order.Excused {
		if g := e.view.gateway(name); e.view.AllReported && (g == nil || g.Presence != Dead) {
			steps = append(steps, Step{Unexcuse: name})
		}
	}
	return steps
}

// rosterSteps enroll incarnations that are new, and unenroll those that have ended in an orderly way.
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

// stepFor is the step that a decision for a machine in progress comes to; due is false where there is none to make.
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

// stepToNext is the step by which it is a machine's turn.
func (e evaluator) stepToNext(m *Machine) Step {
	step := e.placeStep(m)
	step.ID, step.Revision, step.To = m.ID, m.Revision, Next
	if g := e.view.gateway(m.Name); m.Kind == Gateway && g != nil {
		step.Incarnation = g.Incarnation
	}
	return step
}

// placeStep is a step with the limits in force and the machine's zone, as Order.hasPlace goes by.
func (e evaluator) placeStep(m *Machine) Step {
	step := Step{MaxGateways: e.limits.MaxGateways, MaxPerZone: e.limits.MaxPerZone, MaxServers: e.limits.MaxServers}
	if g := e.view.gateway(m.Name); m.Kind == Gateway && g != nil {
		step.Zone = g.Zone
	}
	return step
}

// isLate tells whether a machine is away for longer than it was to be.
func (e evaluator) isLate(m *Machine) bool {
	switch m.State {
	case Out:
		return e.view.Now-m.OutSince > m.Duration
	case Returning:
		return e.view.Now-m.OutSince > m.Duration+e.limits.ReturnWithin || e.view.Now-m.Since > e.limits.ReturnWithin
	}
	return false
}

// reasonToWait is why a machine that is requested may not go yet; none: it may.
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

// machineReasonToWait is why a machine may not go for the sake of those that serve with it.
func (e evaluator) machineReasonToWait(m *Machine) Reason {
	if m.Kind == Server {
		return e.serverReasonToWait(m)
	}
	return e.gatewayReasonToWait(m)
}

// clusterFault is what is wrong in the cluster that is not maintenance itself; none: nothing is. The machine that is evaluated is no
// fault, whatever its state. maxLoad is what the gateways may carry, in thousandths of their capacity.
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

// missingGateway is a gateway that is dead or silent, is not excused and not at work.
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

// underReplicatedShard is a shard below its replicas that no gateway in progress holds.
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

// overload tells whether the ready gateways, without one, have too much to carry. maxLoad is in thousandths of their capacity.
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

// placeReason tells whether the limits leave no place.
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

// gatewayReasonToWait is why a gateway may not go for the sake of its zone, its floating addresses, the load and its shards.
func (e evaluator) gatewayReasonToWait(m *Machine) Reason {
	g := e.view.gateway(m.Name)
	if !g.isThere() {
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

// otherReadyInZone is how many other gateways of a gateway's zone are ready.
func (e evaluator) otherReadyInZone(g *GatewayStatus) (ready int) {
	for _, other := range e.view.Gateways {
		if other.Presence == Alive && other.Ready && other.Zone == g.Zone && other.Name != g.Name {
			ready++
		}
	}
	return ready
}

// otherReadyFor tells whether another gateway is ready for a floating address group.
func (e evaluator) otherReadyFor(g *GatewayStatus, group string) bool {
	return slices.ContainsFunc(e.view.Gateways, func(other GatewayStatus) bool {
		return other.Presence == Alive && other.Ready && other.Name != g.Name && slices.Contains(other.FloatingGroups, group)
	})
}

// shardReason is why a gateway may not go for the sake of its shards.
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

// migratesShards tells whether a gateway's shards are on their way to others, because it will be out for longer than RepairAfter.
func (e evaluator) migratesShards(m *Machine) bool {
	return m.State == Next && e.view.shardCount(m.Name) > 0 && m.Duration > e.limits.RepairAfter
}

// serverReasonToWait is why a server may not go for the sake of its group.
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

// next tells what becomes of a machine whose turn it is.
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

// draining tells what becomes of a machine that finishes what it has.
func (e evaluator) draining(m *Machine) decision {
	if m.Kind == Server {
		return e.serverDraining(m)
	}
	return e.gatewayDraining(m)
}

// gatewayDraining lets a gateway go once its incarnation that drains has reported, after the ledger's entry that told it to, that
// nothing is in flight there, or once it has ended in an orderly way. A fault elsewhere turns it back.
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
	case g.Presence == Left && g.Incarnation >= m.Incarnation: // it has answered all that it had, as on any orderly end
		return decision{to: Out}
	case g.Incarnation > m.Incarnation:
		return stay(Requested, because(RestartedWhileDraining))
	case g.Presence == Silent:
		return stay(Draining, because(IdleReport))
	}
	// A gateway that is merely silent is no reason to turn back, and the load may be a quarter above the limit.
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

// serverDraining lets a server go once every gateway on the roster has nothing in flight there. A fault in its group turns it back.
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

// unquiescedGateways lists the gateways on the roster that may still have something in flight at a server: busy are those that are
// there and have not reported that they are done, unreachable those that are not there.
func (e evaluator) unquiescedGateways(m *Machine) (busy, unreachable []string) {
	for _, enrolled := range e.order.Roster {
		g := e.view.gateway(enrolled.Name)
		switch {
		case g.isThere() && g.Incarnation == enrolled.Incarnation && g.LedgerIndex >= m.ChangeIndex && slices.Contains(g.Quiesced, m.ID):
		case g.isThere():
			busy = append(busy, enrolled.Name)
		case !m.Overridden && !e.wasOut(enrolled):
			unreachable = append(unreachable, enrolled.Name)
		}
	}
	return busy, unreachable
}

// wasOut tells whether a gateway has had nothing in flight since it last reported: it may be touched, admits nothing, and any later
// incarnation of it enrolls first.
func (e evaluator) wasOut(enrolled Enrollment) bool {
	m := e.order.Find(Gateway, enrolled.Name, 0)
	return m != nil && m.State == Out && m.Incarnation >= enrolled.Incarnation
}
