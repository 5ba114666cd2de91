package maintenance

import (
	"strings"
	"testing"
)

// noShards is a Shards that knows of none.
type noShards struct{}

func (noShards) Complete(string) bool           { return true }
func (noShards) ShareShard(string, string) bool { return false }

// forEachGateway changes the leader's view of every gateway.
func forEachGateway(do func(w *cluster, i int, g *GatewayStatus)) func(*cluster, *ClusterView) {
	return func(w *cluster, f *ClusterView) {
		for i := range f.Gateways {
			do(w, i, &f.Gateways[i])
		}
	}
}

// mistakePresence has the leader take one presence for another.
func mistakePresence(from, to Presence) func(*cluster, *ClusterView) {
	return forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) {
		if g.Presence == from {
			g.Presence = to
		}
	})
}

// mutants are each wrong in one point; the arrangement that is named must catch it.
var mutants = []mutant{
	{name: "takes a word from before it was told", caughtBy: "two gateways", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.LedgerIndex = 1 << 40 })},
	{name: "does not wait for what is under way", caughtBy: "two gateways", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.Idle = true })},
	{name: "carries out a step that was made for another turn", caughtBy: "hold and drop", step: func(o *Order, s *Step) {
		if m := o.byID(s.ID); m != nil {
			s.Revision = m.Revision
		}
	}},
	{name: "has more places when it is carried out", caughtBy: "two places, and shared shards", step: func(_ *Order, s *Step) { s.MaxGateways, s.MaxPerZone = 9, 9 },
		shards: func(Shards) Shards { return noShards{} }},
	{name: "does not see shared shards", caughtBy: "two places, and shared shards", shards: func(Shards) Shards { return noShards{} }},
	{name: "does not wait for the dead", caughtBy: "a server, a crash and a wrong word", view: mistakePresence(Dead, Left)},
	{name: "who has not reported has nothing out", caughtBy: "a server, a crash and a wrong word", view: mistakePresence(Silent, Left)},
	{name: "a new leader decides before it has heard anybody", caughtBy: "a server, and another leader", view: func(w *cluster, f *ClusterView) {
		f.AllReported = true
		for i := range f.Gateways {
			if !w.reported[i] {
				f.Gateways[i].Presence = Left
			}
		}
	}},
	{name: "gateways start on what their disks say", caughtBy: "a server, and a gateway that is ended", skipsEnrollment: true},
	{name: "gateways take a server for theirs again once it is out", caughtBy: "a server, and a gateway that is ended",
		cordons: func(_ *gatewayModel, m *Machine, d bool) bool { return d && m.State == Draining }},
	{name: "commands count as often as they come", caughtBy: "hold and drop", session: func(a *ClientSession) { *a = ClientSession{} }},
	{name: "servers of one group are strangers", caughtBy: "both servers of a group", step: func(o *Order, s *Step) {
		for i := range o.Machines {
			o.Machines[i].Group = i
		}
	}},
	{name: "a gateway says that it is apart while something is out", caughtBy: "a server, and a gateway that is ended", report: func(w *cluster, i int, f *GatewayStatus) {
		for s, name := range servers {
			if x := w.gateways[i].order.Find(Server, name, group); x != nil && x.Cordoned() && w.gateways[i].inFlightAt[s] {
				f.Quiesced = append(f.Quiesced, x.ID)
			}
		}
	}},
	{name: "a returned one is waited for without end", caughtBy: "a gateway, restarted while it leaves", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.Ready = false })},
}

func TestMutantsAreCaught(t *testing.T) {
	if reduction > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, a := range arrangements {
				for seed := range uint64(6 * walksPerArrangement) {
					if a.name != mut.caughtBy {
						break
					}
					m := a.model
					m.mutant = &mut
					if err := randomWalk(m, seed); err != nil {
						lines := strings.Split(strings.TrimSpace(err.Error()), "\n")
						t.Logf("seed %d: %.160s", seed, lines[len(lines)-1])
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
