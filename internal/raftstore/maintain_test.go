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
	RepairAfter: clock.Micros(healAfter),
}

// tellAround has every gateway tell its host of itself, and of who is there, for as long as the world goes on.
func (w *world) tellAround() {
	var all []maintenance.Member
	for _, n := range w.nodes {
		m := maintenance.Member{Name: n.name, Zone: n.zone, Incarnation: n.startsAt, Presence: maintenance.Alive}
		if !n.up {
			m.Presence = maintenance.Dead
		}
		all = append(all, m)
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		m := n.order.Find(maintenance.Gateway, n.name, 0)
		own := GatewayReport{Incarnation: n.startsAt, Report: maintenance.Report{
			LedgerIndex: n.seen, Idle: true, Load: 100, Ready: n.order.EnrolledIncarnation(n.name) == n.startsAt && (m == nil || !m.Cordoned()),
			Servers: []maintenance.ServerReport{{Group: 7, Name: "p", Primary: true}, {Group: 7, Name: "r"}},
		}}
		for i := range n.order.Machines {
			if x := &n.order.Machines[i]; x.Kind == maintenance.Server && x.Cordoned() {
				own.Quiesced = append(own.Quiesced, x.ID)
			}
		}
		w.do(n, MembershipChanged{all})
		w.do(n, own)
	}
	w.at(w.now+250*ms, w.tellAround)
}

// say has an operator say something at a node, and waits for what comes of it.
func (w *world) say(n *node, c maintenance.Command) (said string) {
	answered := false
	w.call(n, Request{Shard: LedgerGroup, Deadline: 5 * second, Command: MaintenanceCommand(c)}, func(a Response) { said, answered = string(a.Value), true })
	w.until("an operator is answered", 10*second, func() bool { return answered })
	return said
}

// away lists the gateways that the latest order has out of service, and checks it.
func (w *world) away() (out []*maintenance.Machine) {
	o := DecodeOrder(w.ledger().GetOrder())
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
	if gateways > 1 && w.broken == "" {
		w.broken = fmt.Sprintf("%d gateways are away: %+v", gateways, out)
	}
	return out
}

// The order in the ledger: all gateways and a server are taken out one after the other, whoever leads the ledger dies on the way,
// and nothing that was promised is missing; one that is out for long holds nothing by then.
func TestMaintenance(t *testing.T) {
	n := 6 / fewer
	if *seeds > 0 {
		n = *seeds
	}
	for seed := range uint64(max(n, 1)) {
		if broken := maintain(seed); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func maintain(seed uint64) string {
	w := newWorldWith(seed, 5, 1, 3, nil, &testLimits)
	w.tellAround()
	settled(w)
	l := w.load(4)
	operator := w.nodes[len(w.nodes)-1]
	for i, n := range w.holders() {
		span := 2 * second
		if i == 2 {
			span = 2 * healAfter
		}
		if said := w.say(operator, maintenance.Command{Verb: maintenance.Add, Name: n.name, Duration: clock.Micros(span), RequestedBy: "g6"}); !strings.Contains(said, "number") {
			return fmt.Sprintf("%q: %s", said, w.broken)
		}
	}
	w.say(operator, maintenance.Command{Verb: maintenance.Add, Kind: maintenance.Server, Name: "r", Group: 7, Duration: clock.Micros(second)})
	if said := w.say(operator, maintenance.Command{Verb: maintenance.Add, Name: "g1", Duration: 1}); !strings.Contains(said, "already") {
		return fmt.Sprintf("asked twice: %q, %s", said, w.broken)
	}
	kills := 2
	touched := map[uint64]bool{}
	done := func() bool {
		for _, m := range w.away() {
			if m.State != maintenance.Out || touched[m.ID] {
				continue
			}
			touched[m.ID] = true
			if m.Kind == maintenance.Server {
				w.at(w.now+second, func() {
					w.call(operator, Request{Shard: LedgerGroup, Deadline: 5 * second, Command: MaintenanceCommand(maintenance.Command{
						Verb: maintenance.Done, Kind: maintenance.Server, Name: m.Name, Group: m.Group,
					})}, func(Response) {})
				})
				continue
			}
			i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == m.Name })
			x := w.nodes[i]
			if m.Duration > testLimits.RepairAfter && len(x.h.groups) > 0 {
				w.broken = fmt.Sprintf("%s is out for long and holds %d groups", x.name, len(x.h.groups))
			}
			if slices.ContainsFunc(x.h.inOrder(), func(g *group) bool { return g.led }) {
				w.broken = x.name + " is out and leads"
			}
			w.crash(x)
			x.witness = w.rng.IntN(2) == 0
			w.at(w.now+w.span(100*ms, second), func() { w.start(x) })
		}
		if g := w.leaderOf(LedgerGroup); g != nil && kills > 0 && len(w.away()) > 0 && w.rng.IntN(40) == 0 {
			kills--
			w.crash(g)
			g.witness = true
			w.at(w.now+w.span(100*ms, second), func() {
				if !g.up {
					w.start(g)
				}
			})
		}
		o := DecodeOrder(w.ledger().GetOrder())
		return len(o.Machines) == 6 && !slices.ContainsFunc(o.Machines, func(m maintenance.Machine) bool { return m.State != maintenance.Back })
	}
	w.until("all machines are back", 300*second, done)
	settled(w)
	if l.stop(); w.broken == "" {
		l.check()
	}
	return w.broken
}
