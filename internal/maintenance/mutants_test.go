package maintenance

import (
	"strings"
	"testing"
)

// noShards is an implementation of Shards in which no shard exists.
type noShards struct{}

func (noShards) Complete(string) bool           { return true }
func (noShards) ShareShard(string, string) bool { return false }

// forEachGateway returns a function that applies do to the leader's view of every gateway.
func forEachGateway(do func(w *cluster, i int, g *GatewayStatus)) func(*cluster, *ClusterView) {
	return func(w *cluster, f *ClusterView) {
		for i := range f.Gateways {
			do(w, i, &f.Gateways[i])
		}
	}
}

// mistakePresence returns a function that replaces one presence by another in the leader's view.
func mistakePresence(from, to Presence) func(*cluster, *ClusterView) {
	return forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) {
		if g.Presence == from {
			g.Presence = to
		}
	})
}

// mutants each contain one fault. Random walks of the arrangement named in caughtBy must find it.
var mutants = []mutant{
	{name: "a report from before the gateway applied the ledger entry counts", caughtBy: "two gateways", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.LedgerIndex = 1 << 40 })},
	{name: "does not wait for requests in flight", caughtBy: "two gateways", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.Idle = true })},
	{name: "carries out a step that was decided for another revision", caughtBy: "pause and cancel", step: func(o *Order, s *Step) {
		if m := o.byID(s.ID); m != nil {
			s.Revision = m.Revision
		}
	}},
	{name: "a step is applied with higher limits", caughtBy: "two places and shared shards", step: func(_ *Order, s *Step) { s.MaxGateways, s.MaxPerZone = 9, 9 },
		shards: func(Shards) Shards { return noShards{} }},
	{name: "ignores shared shards", caughtBy: "two places and shared shards", shards: func(Shards) Shards { return noShards{} }},
	{name: "does not wait for dead gateways", caughtBy: "a server, a crash and a false suspicion", view: mistakePresence(Dead, Left)},
	{name: "a gateway that has not reported counts as having nothing in flight", caughtBy: "a server, a crash and a false suspicion", view: mistakePresence(Silent, Left)},
	{name: "a new leader decides before it has received reports", caughtBy: "a server and a new leader", view: func(w *cluster, f *ClusterView) {
		f.AllReported = true
		for i := range f.Gateways {
			if !w.reported[i] {
				f.Gateways[i].Presence = Left
			}
		}
	}},
	{name: "gateways start from the order on their disk, without enrolling", caughtBy: "a server and a gateway that shuts down", skipsEnrollment: true},
	{name: "gateways send to a server again once it is out", caughtBy: "a server and a gateway that shuts down",
		cordons: func(_ *gatewayModel, m *Machine, d bool) bool { return d && m.State == Draining }},
	{name: "duplicate commands are carried out again", caughtBy: "pause and cancel", session: func(a *ClientSession) { *a = ClientSession{} }},
	{name: "servers of one group count as servers of different groups", caughtBy: "both servers of a group", step: func(o *Order, s *Step) {
		for i := range o.Machines {
			o.Machines[i].Group = i
		}
	}},
	{name: "a gateway reports a server as quiesced while a request is in flight there", caughtBy: "a server and a gateway that shuts down", report: func(w *cluster, i int, f *GatewayStatus) {
		for s, name := range servers {
			if x := w.gateways[i].order.Find(Server, name, group); x != nil && x.Cordoned() && w.gateways[i].inFlightAt[s] {
				f.Quiesced = append(f.Quiesced, x.ID)
			}
		}
	}},
	{name: "a returned gateway is never ready", caughtBy: "a gateway restarted while draining", view: forEachGateway(func(_ *cluster, _ int, g *GatewayStatus) { g.Ready = false })},
}

func TestMutantsAreCaught(t *testing.T) {
	if reduction > 1 {
		t.Skip("these runs are the same as without the race detector, but many times slower")
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
