package raftstore

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/maintenance"
)

var testLimits = maintenance.Limits{
	MaxGateways: 1, MaxPerZone: 1, MaxServers: 1, KeepReady: 1, MaxLoad: 900, SettleTime: clock.Micros(second), ReturnWithin: clock.Micros(30 * second),
	RepairAfter: clock.Micros(repairAfter),
}

// reportMaintenance periodically passes the membership and its gateway's report to every running host.
func (sim *simulation) reportMaintenance() {
	var all []maintenance.Member
	for _, n := range sim.gateways {
		m := maintenance.Member{Name: n.name, Zone: n.zone, Incarnation: n.incarnation, Presence: maintenance.Alive}
		if !n.up {
			m.Presence = maintenance.Dead
		}
		all = append(all, m)
	}
	for _, n := range sim.gateways {
		if !n.up {
			continue
		}
		m := n.order.Find(maintenance.Gateway, n.name, 0)
		own := GatewayReport{Incarnation: n.incarnation, Report: maintenance.Report{
			LedgerIndex: n.seenIndex, Idle: true, Load: 100, Ready: n.order.EnrolledIncarnation(n.name) == n.incarnation && (m == nil || !m.Cordoned()),
			Servers: []maintenance.ServerReport{{Group: 7, Name: "p", Primary: true}, {Group: 7, Name: "r"}},
		}}
		for i := range n.order.Machines {
			if x := &n.order.Machines[i]; x.Kind == maintenance.Server && x.Cordoned() {
				own.Quiesced = append(own.Quiesced, x.ID)
			}
		}
		sim.handle(n, MembershipChanged{all})
		sim.handle(n, own)
	}
	sim.schedule(sim.now+250*ms, sim.reportMaintenance)
}

// runCommand runs an operator's command on a gateway and returns the answer.
func (sim *simulation) runCommand(n *simGateway, c maintenance.Command) (answer string) {
	answered := false
	sim.call(n, Request{Shard: LedgerGroup, Deadline: 5 * second, Command: MaintenanceCommand(c)}, func(a Response) { answer, answered = string(a.Value), true })
	sim.advanceUntil("the operator gets an answer", 10*second, func() bool { return answered })
	return answer
}

// machinesAway returns the machines that are out of service according to the latest order, and checks that at most one of them is a
// gateway.
func (sim *simulation) machinesAway() (out []*maintenance.Machine) {
	o := DecodeOrder(sim.ledger().GetOrder())
	gateways := 0
	for i := range o.Machines {
		m := &o.Machines[i]
		if m.State > maintenance.Requested && m.State < maintenance.Back {
			out = append(out, m)
			if m.Kind == maintenance.Gateway {
				gateways++
			}
		}
	}
	if gateways > 1 && sim.failure == "" {
		sim.failure = fmt.Sprintf("%d gateways are out of service at once: %+v", gateways, out)
	}
	return out
}

// The maintenance order in the ledger takes out all gateways and a server, one after the other, while the leader of the ledger is
// killed now and then. No acknowledged write may be missing, and a gateway that is out for longer than RepairAfter must not run any
// members.
func TestMaintenance(t *testing.T) {
	n := 6 / raceDivisor
	if *seedCount > 0 {
		n = *seedCount
	}
	for seed := range uint64(max(n, 1)) {
		if failure := runMaintenance(seed); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}

func runMaintenance(seed uint64) string {
	sim := newSimulationWithLimits(seed, 5, 1, 3, nil, &testLimits)
	sim.reportMaintenance()
	awaitComplete(sim)
	l := sim.startWorkload(4)
	operator := sim.gateways[len(sim.gateways)-1]
	for i, n := range sim.storeGateways() {
		span := 2 * second
		if i == 2 {
			span = 2 * repairAfter
		}
		if answer := sim.runCommand(operator, maintenance.Command{Verb: maintenance.Add, Name: n.name, Duration: clock.Micros(span), RequestedBy: "g6"}); !strings.Contains(answer, "number") {
			return fmt.Sprintf("%q: %s", answer, sim.failure)
		}
	}
	sim.runCommand(operator, maintenance.Command{Verb: maintenance.Add, Kind: maintenance.Server, Name: "r", Group: 7, Duration: clock.Micros(second)})
	if answer := sim.runCommand(operator, maintenance.Command{Verb: maintenance.Add, Name: "g1", Duration: 1}); !strings.Contains(answer, "already") {
		return fmt.Sprintf("a repeated command was answered with %q: %s", answer, sim.failure)
	}
	kills := 2
	touched := map[uint64]bool{}
	done := func() bool {
		for _, m := range sim.machinesAway() {
			if m.State != maintenance.Out || touched[m.ID] {
				continue
			}
			touched[m.ID] = true
			if m.Kind == maintenance.Server {
				sim.schedule(sim.now+second, func() {
					sim.call(operator, Request{Shard: LedgerGroup, Deadline: 5 * second, Command: MaintenanceCommand(maintenance.Command{
						Verb: maintenance.Done, Kind: maintenance.Server, Name: m.Name, Group: m.Group,
					})}, func(Response) {})
				})
				continue
			}
			i := slices.IndexFunc(sim.gateways, func(n *simGateway) bool { return n.name == m.Name })
			x := sim.gateways[i]
			if m.Duration > testLimits.RepairAfter && len(x.host.groups) > 0 {
				sim.failure = fmt.Sprintf("%s is out for longer than RepairAfter but runs members of %d groups", x.name, len(x.host.groups))
			}
			if slices.ContainsFunc(x.host.sortedGroups(), func(g *group) bool { return g.isLeader }) {
				sim.failure = x.name + " is out but leads a group"
			}
			sim.crash(x)
			x.trusted = sim.rng.IntN(2) == 0
			sim.schedule(sim.now+sim.randomDuration(100*ms, second), func() { sim.start(x) })
		}
		if g := sim.leaderOf(LedgerGroup); g != nil && kills > 0 && len(sim.machinesAway()) > 0 && sim.rng.IntN(40) == 0 {
			kills--
			sim.crash(g)
			g.trusted = true
			sim.schedule(sim.now+sim.randomDuration(100*ms, second), func() {
				if !g.up {
					sim.start(g)
				}
			})
		}
		o := DecodeOrder(sim.ledger().GetOrder())
		return len(o.Machines) == 6 && !slices.ContainsFunc(o.Machines, func(m maintenance.Machine) bool { return m.State != maintenance.Back })
	}
	sim.advanceUntil("all machines are back", 300*second, done)
	awaitComplete(sim)
	if l.stop(); sim.failure == "" {
		l.checkAll()
	}
	return sim.failure
}
