package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/policy"
)

// New settings discard nothing that was learned: a drain, a slow start, a role, positions, a non-idempotent
// attempt in flight. A server that the list has removed becomes excluded if the new settings let removal exclude
// it.
func TestReconfigureForgetsNothing(t *testing.T) {
	loose := settings()
	loose.RemovedStayUsable = true
	strict := settings()
	strict.Gateways, strict.Classes[nonIdempotentWrite].Effect = 12, policy.EffectIdempotent
	g := newGateway(t, loose)
	g.group(5)
	g.reportPosition(1, 0)
	g.reportHealth(2, policy.RolePrimary, g.now) // after a failover to server 2
	starting := endpoint(5, false)
	starting.Started = g.now
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
		{Server: 3, Group: 1, State: policy.EndpointDraining}, {Server: 4, Group: 1, State: policy.EndpointRemoved}, starting,
	}})
	g.arrive("w", nonIdempotentWrite)
	g.wantSent("w", 2)
	for _, set := range []policy.Settings{strict, loose, strict} {
		g.acts = g.r.Reconfigure(g.now, set)
		used := map[policy.ServerID]int{}
		for i := range 200 {
			id := fmt.Sprint("q", g.now, i)
			for n := 0; ; n++ {
				to := sent(g.acts, id)
				if n == 0 {
					to = sent(g.after(ms).arrive(id, anyRead), id)
				}
				if len(to) != 1 {
					break
				}
				used[to[0]]++
				g.outcome(id, n, to[0], policy.ResultOK)
			}
		}
		if used[3] > 0 || used[4] > 0 {
			t.Errorf("a draining or removed server was used after a change: %v", used)
		}
		if used[5] > 40 {
			t.Errorf("slow start was lost after a change: %v", used)
		}
	}
	g.outcome("w", 0, 2, policy.ResultTimeout)
	g.wantSent("w")
	g.wantEnd("w", "fail") // its class was non-idempotent on arrival
	g.arrive("v", nonIdempotentWrite)
	g.wantSent("v", 2) // the role is still known, although the list names another primary
}
