package policy_test

import (
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

const (
	ms     = clock.Micros(1000)
	origin = 1_000_000 * ms // well above zero, so that positions may be earlier
)

// The classes of the test settings, by index.
const (
	anyRead = iota
	boundedRead
	sessionRead
	freshRead
	nonIdempotentWrite
	lateRead // bounded, with a weight after the objective
)

func settings() policy.Settings {
	class := func(n policy.Need, e policy.Effect) policy.Class {
		return policy.Class{Need: n, Effect: e, LatencyObjective: 400 * ms, Deadline: 2000 * ms, PriorityWeight: 1000}
	}
	s := policy.Settings{
		Classes: []policy.Class{
			class(policy.NeedAny, policy.EffectIdempotent), class(policy.NeedBounded, policy.EffectIdempotent),
			class(policy.NeedSession, policy.EffectIdempotent), class(policy.NeedFresh, policy.EffectIdempotent),
			class(policy.NeedWrite, policy.EffectNonIdempotent),
			class(policy.NeedBounded, policy.EffectIdempotent),
		},
		Gateways: 1, Tick: 5 * ms, CanHealthCheck: true, CanCancel: true, MaxAttempts: 6, ConnectTimeout: 250 * ms,
		AnswerSlack: 20 * ms, DrainGrace: 250 * ms, SubscribeWithin: 10_000 * ms, SlowStartMinWeight: 250, SlowStartWindow: 10_000 * ms,
		OverloadFactor: 3000, OverloadWindow: 2000 * ms, MaxRetryAfter: 2000 * ms,
	}
	s.Classes[boundedRead].StalenessBound = 800 * ms
	s.Classes[lateRead].StalenessBound, s.Classes[lateRead].LateWeight = 800*ms, 200
	s.Classes[nonIdempotentWrite].LateWeight = 700
	return s
}

// gateway drives one router and records its actions.
type gateway struct {
	t    *testing.T
	r    *policy.Router
	now  clock.Micros
	acts []policy.Action // of the last step
	all  []policy.Action
}

// newGateway creates a router with the given settings and an empty endpoint list.
func newGateway(t *testing.T, set policy.Settings) *gateway {
	g := &gateway{t: t, now: origin}
	g.r, g.acts = policy.New(g.now, 7, set)
	g.all = append(g.all, g.acts...)
	return g
}

func (g *gateway) step(ev policy.Event) []policy.Action {
	g.acts = g.r.Step(g.now, ev)
	g.all = append(g.all, g.acts...)
	return g.acts
}

func (g *gateway) after(d clock.Micros) *gateway {
	g.now += d
	return g
}

// sweep advances the time and delivers the sweep timer.
func (g *gateway) sweep(d clock.Micros) []policy.Action {
	return g.after(d).step(policy.Timer{Kind: policy.TimerSweep})
}

// endpoint returns a ready server of group 1 that is past its slow start.
func endpoint(id policy.ServerID, primary bool) policy.Endpoint {
	return policy.Endpoint{Server: id, Group: 1, State: policy.EndpointReady, Primary: primary}
}

// group delivers a list of n servers: server 1 is the primary, the others are replicas.
func (g *gateway) group(n int) {
	var ms []policy.Endpoint
	for id := 1; id <= n; id++ {
		ms = append(ms, endpoint(policy.ServerID(id), id == 1))
	}
	g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: ms})
}

// reportPosition delivers a load report with a position that is as old as ago.
func (g *gateway) reportPosition(id policy.ServerID, ago clock.Micros) {
	role := policy.RoleReplica
	if id == 1 {
		role = policy.RolePrimary
	}
	g.reportHealth(id, role, g.now-ago)
}

// newFreshPair returns a router with a primary, server 1, and a replica, server 2, both with a current position.
func newFreshPair(t *testing.T) *gateway {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	g.reportPosition(2, 0)
	return g
}

// reportHealth delivers a successful health check with the given role and position.
func (g *gateway) reportHealth(id policy.ServerID, role policy.Role, pos policy.Position) {
	g.step(policy.HealthCheckEnded{
		Server: id, Result: policy.ResultOK,
		LoadReport: policy.LoadReport{Position: pos, HasPosition: true, Role: role},
	})
}

func (g *gateway) arrive(id string, class int) []policy.Action {
	return g.step(policy.Arrival{ID: id, Class: class, Group: 1, TimeLeft: 2000 * ms})
}

func (g *gateway) arriveInSession(id string, class int, session uint64) []policy.Action {
	return g.step(policy.Arrival{ID: id, Class: class, Group: 1, TimeLeft: 2000 * ms, Session: session, HasSession: true})
}

// executionFor returns the execution that a result proves if the result has not been rewritten.
func executionFor(res policy.Result) policy.Execution {
	switch res {
	case policy.ResultOK:
		return policy.ExecutionDone
	case policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultNotSent, policy.ResultMisdirected:
		return policy.ExecutionNone
	}
	return policy.ExecutionUnknown
}

func (g *gateway) outcome(id string, attempt int, server policy.ServerID, res policy.Result) []policy.Action {
	return g.step(policy.Outcome{
		ID: id, Attempt: attempt, Server: server, Result: res, Execution: executionFor(res), Final: res == policy.ResultOK, Latency: 50 * ms,
	})
}

// readWithFaultyServer plays one read of the any class. The bad server ends each attempt with res at once, the
// others answer. It returns the number of attempts at the bad server.
func (g *gateway) readWithFaultyServer(id string, bad policy.ServerID, res policy.Result) int {
	tries := 0
	acts := g.arrive(id, anyRead)
	for n := range 6 {
		got := sent(acts, id)
		if len(got) == 0 {
			break
		}
		if got[0] != bad {
			g.outcome(id, n, got[0], policy.ResultOK)
			break
		}
		tries++
		acts = g.outcome(id, n, bad, res)
	}
	return tries
}

// sent returns the servers to which the actions send a request.
func sent(acts []policy.Action, id string) []policy.ServerID {
	var out []policy.ServerID
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok && s.ID == id {
			out = append(out, s.Server)
		}
	}
	return out
}

// ending returns how the actions end a request: "reject", "fail", or "" if they do not.
func ending(acts []policy.Action, id string) string {
	for _, a := range acts {
		switch a := a.(type) {
		case policy.Reject:
			if a.ID == id {
				return "reject"
			}
		case policy.Fail:
			if a.ID == id {
				return "fail"
			}
		}
	}
	return ""
}

func count[T policy.Action](acts []policy.Action) int {
	n := 0
	for _, a := range acts {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func (g *gateway) wantSent(id string, want ...policy.ServerID) {
	g.t.Helper()
	got := sent(g.acts, id)
	if len(got) != len(want) {
		g.t.Fatalf("%s: sent to %v, want %v", id, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			g.t.Fatalf("%s: sent to %v, want %v", id, got, want)
		}
	}
}

func (g *gateway) wantEnd(id, want string) {
	g.t.Helper()
	if got := ending(g.acts, id); got != want {
		g.t.Fatalf("%s: ended by %q, want %q", id, got, want)
	}
}
