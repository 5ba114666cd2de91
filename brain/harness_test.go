package brain_test

import (
	"testing"

	"marblespan/brain"
)

const (
	ms     = brain.Micros(1000)
	origin = 1_000_000 * ms // a start well away from zero, so that positions may lie before it
)

// The classes of the test settings, by index.
const (
	anyRead = iota
	boundedRead
	sessionRead
	freshRead
	unsafeWrite
	lateRead // bounded, with worth after its aim
)

func settings() brain.Settings {
	class := func(n brain.Need, e brain.Effect) brain.Class {
		return brain.Class{Need: n, Effect: e, Aim: 400 * ms, Deadline: 2000 * ms, Worth: 1000}
	}
	s := brain.Settings{
		Classes: []brain.Class{
			class(brain.NeedAny, brain.EffectSafe), class(brain.NeedBounded, brain.EffectSafe),
			class(brain.NeedSession, brain.EffectSafe), class(brain.NeedFresh, brain.EffectSafe),
			class(brain.NeedWrite, brain.EffectUnsafe),
			class(brain.NeedBounded, brain.EffectSafe),
		},
		Gateways: 1, Tick: 5 * ms, CanProbe: true, CanCancel: true, MaxAttempts: 6, ConnectTimeout: 250 * ms,
		AnswerSlack: 20 * ms, DrainGrace: 250 * ms, AskWithin: 10_000 * ms, ColdShare: 250, Ramp: 10_000 * ms,
		FallMultiple: 3000, FallWindow: 2000 * ms, MaxRetryAdvice: 2000 * ms,
	}
	s.Classes[boundedRead].Bound = 800 * ms
	s.Classes[lateRead].Bound, s.Classes[lateRead].LateWorth = 800*ms, 200
	s.Classes[unsafeWrite].LateWorth = 700
	return s
}

// rig drives one router and keeps what it did.
type rig struct {
	t    *testing.T
	r    *brain.Router
	now  brain.Micros
	acts []brain.Action // of the last step
	all  []brain.Action
}

func newRig(t *testing.T, set brain.Settings) *rig {
	g := &rig{t: t, now: origin}
	g.r, g.acts = brain.New(g.now, 7, set)
	g.all = append(g.all, g.acts...)
	return g
}

func (g *rig) step(ev brain.Event) []brain.Action {
	g.acts = g.r.Step(g.now, ev)
	g.all = append(g.all, g.acts...)
	return g.acts
}

func (g *rig) after(d brain.Micros) *rig {
	g.now += d
	return g
}

// sweep lets time pass and the router look around.
func (g *rig) sweep(d brain.Micros) []brain.Action {
	return g.after(d).step(brain.Timer{Token: "sweep"})
}

// member is a warm, ready member of group 1.
func member(id brain.ServerID, primary bool) brain.Member {
	return brain.Member{Server: id, Group: 1, State: brain.MemberReady, Primary: primary}
}

// group lists server 1 as the primary and the others as replicas.
func (g *rig) group(n int) {
	var ms []brain.Member
	for id := 1; id <= n; id++ {
		ms = append(ms, member(brain.ServerID(id), id == 1))
	}
	g.step(brain.MemberNews{Form: brain.ListCached, Members: ms})
}

// fresh reports a server's position, so long ago.
func (g *rig) fresh(id brain.ServerID, ago brain.Micros) {
	role := brain.RoleReplica
	if id == 1 {
		role = brain.RolePrimary
	}
	g.probed(id, role, g.now-ago)
}

// newFreshPair is a router over a primary, server 1, and a replica, server 2, both known to be fresh now.
func newFreshPair(t *testing.T) *rig {
	g := newRig(t, settings())
	g.group(2)
	g.fresh(1, 0)
	g.fresh(2, 0)
	return g
}

func (g *rig) probed(id brain.ServerID, role brain.Role, pos brain.Position) {
	g.step(brain.Probed{
		Server: id, Result: brain.ResultOK,
		Report: brain.Report{Position: pos, HasPosition: true, Role: role},
	})
}

func (g *rig) arrive(id string, class int) []brain.Action {
	return g.step(brain.Arrival{ID: id, Class: class, Group: 1, Left: 2000 * ms})
}

func (g *rig) arriveOf(id string, class int, session uint64) []brain.Action {
	return g.step(brain.Arrival{ID: id, Class: class, Group: 1, Left: 2000 * ms, Session: session, HasSession: true})
}

func (g *rig) outcome(id string, attempt int, server brain.ServerID, res brain.Result) []brain.Action {
	return g.step(brain.Outcome{
		ID: id, Attempt: attempt, Server: server, Result: res, Final: res == brain.ResultOK, Latency: 50 * ms,
	})
}

// readPast plays one any read: the bad member ends each attempt with res at once, the others answer. It returns how
// many attempts met the bad member.
func (g *rig) readPast(id string, bad brain.ServerID, res brain.Result) int {
	tries := 0
	acts := g.arrive(id, anyRead)
	for n := 0; n < 6; n++ {
		got := sent(acts, id)
		if len(got) == 0 {
			break
		}
		if got[0] != bad {
			g.outcome(id, n, got[0], brain.ResultOK)
			break
		}
		tries++
		acts = g.outcome(id, n, bad, res)
	}
	return tries
}

// sent returns the servers that the actions send a request to.
func sent(acts []brain.Action, id string) []brain.ServerID {
	var out []brain.ServerID
	for _, a := range acts {
		if s, ok := a.(brain.Send); ok && s.ID == id {
			out = append(out, s.Server)
		}
	}
	return out
}

// ending returns "refuse", "fail" or "" for a request.
func ending(acts []brain.Action, id string) string {
	for _, a := range acts {
		switch a := a.(type) {
		case brain.Refuse:
			if a.ID == id {
				return "refuse"
			}
		case brain.Fail:
			if a.ID == id {
				return "fail"
			}
		}
	}
	return ""
}

func count[T brain.Action](acts []brain.Action) int {
	n := 0
	for _, a := range acts {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func (g *rig) wantSent(id string, want ...brain.ServerID) {
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

func (g *rig) wantEnd(id, want string) {
	g.t.Helper()
	if got := ending(g.acts, id); got != want {
		g.t.Fatalf("%s: ended by %q, want %q", id, got, want)
	}
}
