package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/policy"
)

// These cases show which evidence identifies the primary of a group, and which does not.
func TestPrimaryEvidence(t *testing.T) {
	primaryIs := func(g *gateway, want policy.ServerID) {
		g.t.Helper()
		id := fmt.Sprint("p", g.now, len(g.all))
		g.arrive(id, freshRead)
		g.wantSent(id, want)
		g.outcome(id, 0, want, policy.ResultOK)
	}
	t.Run("a late report does not override newer evidence", func(t *testing.T) {
		g := newGateway(t, settings())
		g.group(3)
		g.after(1000 * ms)
		g.reportHealth(2, policy.RolePrimary, g.now)
		primaryIs(g, 2)
		g.reportHealth(1, policy.RolePrimary, g.now-500*ms) // a report from before the switch
		primaryIs(g, 2)
		g.reportHealth(2, policy.RoleReplica, g.now-500*ms) // a report from before its election
		primaryIs(g, 2)
		g.reportHealth(3, policy.RolePrimary, g.now+50*ms) // never from the future
		g.after(100*ms).reportHealth(3, policy.RolePrimary, g.now)
		primaryIs(g, 3)
	})
	t.Run("the list is used only until there is evidence", func(t *testing.T) {
		g := newGateway(t, settings())
		g.group(3)
		primaryIs(g, 1)
		g.after(10*ms).reportHealth(2, policy.RolePrimary, g.now)
		g.group(3)
		primaryIs(g, 2)
	})
	t.Run("a misdirected write clears the primary, and the next server is tried", func(t *testing.T) {
		g := newGateway(t, settings())
		g.group(3)
		g.reportPosition(2, 300*ms)
		g.reportPosition(3, 100*ms)
		g.arrive("w", nonIdempotentWrite)
		g.wantSent("w", 1)
		g.after(ms).outcome("w", 0, 1, policy.ResultMisdirected)
		g.wantSent("w", 3) // the one furthest ahead
		g.after(ms).outcome("w", 1, 3, policy.ResultMisdirected)
		g.wantSent("w", 2)
		g.after(ms).outcome("w", 2, 2, policy.ResultMisdirected)
		g.wantSent("w") // every server was tried once: the write waits
		g.wantEnd("w", "")
		// Another write does not try all servers again.
		g.arrive("v", nonIdempotentWrite)
		g.wantSent("v")
		g.arrive("f", freshRead)
		g.wantSent("f")
		// An answer shows the role of the new primary: all waiting requests go there.
		g.after(ms).arrive("a", anyRead)
		to := sent(g.acts, "a")[0]
		g.after(ms).step(policy.Outcome{ID: "a", Server: to, Final: true, Latency: ms, Role: policy.RolePrimary})
		for _, id := range []string{"w", "v", "f"} {
			g.wantSent(id, to)
		}
	})
	t.Run("an attempt that a former primary finishes does not restore its role", func(t *testing.T) {
		g := newGateway(t, settings())
		g.group(3)
		g.reportPosition(1, 0)
		g.arrive("w", nonIdempotentWrite)
		g.wantSent("w", 1)
		g.after(50*ms).arrive("v", nonIdempotentWrite)
		g.wantSent("v", 1)
		g.after(ms).step(policy.Outcome{ID: "v", Server: 1, Result: policy.ResultMisdirected,
			Execution: policy.ExecutionNone, Role: policy.RoleReplica})
		g.after(100 * ms).step(policy.Outcome{ID: "w", Server: 1, Final: true, Role: policy.RolePrimary, Latency: 151 * ms,
			Position: g.now - 130*ms})
		g.arrive("f", freshRead)
		g.wantSent("f")
	})
	t.Run("health checks search for a lost primary", func(t *testing.T) {
		g := newGateway(t, settings())
		g.group(3)
		g.sweep(25 * ms)
		for id := policy.ServerID(1); id <= 3; id++ {
			g.reportPosition(id, 0)
		}
		g.arrive("w", nonIdempotentWrite)
		g.outcome("w", 0, 1, policy.ResultReset)
		checks := 0
		for i := range 40 {
			g.arrive(fmt.Sprint("f", i), freshRead) // a request waits for a primary
			for _, a := range g.sweep(25 * ms) {
				if p, ok := a.(policy.HealthCheck); ok {
					checks++
					g.step(policy.HealthCheckEnded{Server: p.Server, Result: policy.ResultTimeout})
				}
			}
		}
		if checks < 6 || checks > 40 {
			t.Errorf("%d health checks in a second without a primary", checks)
		}
	})
}

func TestDrainingPrimaryTakesNoWrite(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	drained := endpoint(1, true)
	drained.State = policy.EndpointDraining
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{drained}})
	g.arrive("w", nonIdempotentWrite)
	g.wantSent("w", 2)
	g.outcome("w", 0, 2, policy.ResultMisdirected)
	g.wantSent("w")
	g.after(50*ms).reportHealth(2, policy.RolePrimary, g.now)
	g.wantSent("w", 2)
}

// While the primary is unknown, an answer that shows a replica's role replaces a health check.
func TestAnsweredRolesSaveHealthChecks(t *testing.T) {
	checks := map[bool]int{}
	for _, told := range []bool{false, true} {
		set := settings()
		set.FreshnessCheck = policy.FreshnessCheckReject
		g := newGateway(t, set)
		var ms3 []policy.Endpoint
		for id := policy.ServerID(1); id <= 3; id++ {
			ms3 = append(ms3, endpoint(id, false))
		}
		g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: ms3})
		for i := range 400 {
			id := fmt.Sprint("r", i)
			for _, s := range sent(g.arrive(id, anyRead), id) {
				o := policy.Outcome{ID: id, Server: s, Final: true, Latency: 20 * ms}
				if told {
					o.Role, o.Position = policy.RoleReplica, g.now
				}
				g.step(o)
			}
			g.step(policy.ClientDisconnected{ID: id})
			for _, a := range g.sweep(25 * ms) {
				if p, ok := a.(policy.HealthCheck); ok {
					checks[told]++
					g.step(policy.HealthCheckEnded{Server: p.Server, Result: policy.ResultTimeout})
					g.step(policy.HealthCheckEnded{Server: p.Server, LoadReport: policy.LoadReport{
						HasPosition: true, Position: g.now, Role: policy.RoleUnknown}})
				}
			}
		}
	}
	if checks[true]*3 > checks[false] {
		t.Errorf("%d health checks where answers show roles, %d where they do not", checks[true], checks[false])
	}
}
