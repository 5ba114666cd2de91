package policy_test

import (
	"fmt"
	"reflect"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The split by class and the freshness gate.
func TestOrdinaryPath(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		lag    clock.Micros // of the one replica, server 2
		checks policy.FreshnessCheck
		want   policy.ServerID
	}{
		{"write to the primary", unsafeWrite, 0, policy.FreshnessCheckNone, 1},
		{"fresh read to the primary", freshRead, 0, policy.FreshnessCheckNone, 1},
		{"any read to a replica", anyRead, 0, policy.FreshnessCheckNone, 2},
		{"any read to a lagging replica", anyRead, 5000 * ms, policy.FreshnessCheckNone, 2},
		{"bounded read to a fresh replica", boundedRead, 700 * ms, policy.FreshnessCheckNone, 2},
		{"bounded read at the bound", boundedRead, 800 * ms, policy.FreshnessCheckNone, 2},
		{"past the bound, servers check: most advanced replica", boundedRead, 801 * ms, policy.FreshnessCheckReject, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.FreshnessCheck = c.checks
			g := newRig(t, set)
			g.group(2)
			g.fresh(1, 0)
			g.fresh(2, c.lag)
			g.arrive("q", c.class)
			g.wantSent("q", c.want)
		})
	}
}

func TestMostAdvancedReplicaFirst(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckWait
	g := newRig(t, set)
	g.group(4)
	g.fresh(2, 5000*ms)
	g.fresh(3, 2000*ms)
	g.fresh(4, 9000*ms)
	g.arrive("q", boundedRead)
	g.wantSent("q", 3)
	// Its miss redraws: the next most advanced, and 3 is left out for a while even for others.
	g.outcome("q", 0, 3, policy.ResultMisdirected)
	g.wantSent("q", 2)
	g.arrive("r", boundedRead)
	g.wantSent("r", 2)
}

// Late reports: positions look old while the data is not. Misses alone rule a replica out where servers check.
func TestOldNewsDoesNotSendReadsToThePrimary(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckWait
	g := newRig(t, set)
	g.group(3)
	g.fresh(1, 0)
	g.fresh(2, 4000*ms)
	g.fresh(3, 4000*ms)
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("q", i)
		g.after(20*ms).arrive(id, boundedRead)
		got := sent(g.acts, id)
		if len(got) != 1 || got[0] == 1 {
			t.Fatalf("%s went to %v, want a replica", id, got)
		}
		g.outcome(id, 0, got[0], policy.ResultOK)
	}
	// When both have missed, the primary takes the read, and later ones at once.
	g.arrive("m", boundedRead)
	first := sent(g.acts, "m")[0]
	g.outcome("m", 0, first, policy.ResultMisdirected)
	g.outcome("m", 1, 5-first, policy.ResultMisdirected)
	g.wantSent("m", 1)
	g.arrive("n", boundedRead)
	g.wantSent("n", 1)
}

func TestSessionsStick(t *testing.T) {
	g := newRig(t, settings())
	g.group(6)
	for id := policy.ServerID(1); id <= 6; id++ {
		g.fresh(id, 0)
	}
	used := map[policy.ServerID]bool{}
	for session := uint64(1); session <= 30; session++ {
		var home policy.ServerID
		for i := 0; i < 4; i++ {
			id := fmt.Sprint(session, "-", i)
			g.after(ms).arriveOf(id, sessionRead, session)
			got := sent(g.acts, id)
			if len(got) != 1 || got[0] == 1 || i > 0 && got[0] != home {
				t.Fatalf("%s went to %v, its session's replica is %d", id, got, home)
			}
			home = got[0]
			g.outcome(id, 0, home, policy.ResultOK)
		}
		used[home] = true
	}
	if len(used) < 5 {
		t.Errorf("30 sessions met only %d of 5 replicas", len(used))
	}
	// Redrawn when the replica may take nothing more, and kept after.
	g.arriveOf("x", sessionRead, 1)
	home := sent(g.acts, "x")[0]
	drained := member(home, false)
	drained.State = policy.EndpointDraining
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{drained}})
	g.arriveOf("y", sessionRead, 1)
	if got := sent(g.acts, "y"); len(got) != 1 || got[0] == home {
		t.Fatalf("sent to %v after %d drained", got, home)
	}
}

func TestSessionMarks(t *testing.T) {
	t.Run("remembered", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", unsafeWrite, 9)
		g.step(policy.Outcome{ID: "w", Server: 1, Final: true, Latency: 50 * ms, Role: policy.RolePrimary, Position: g.now})
		g.after(10*ms).arriveOf("r", sessionRead, 9)
		g.wantSent("r", 1) // server 2 is not known to have it
		g.fresh(2, 0)
		g.arriveOf("s", sessionRead, 9)
		g.wantSent("s", 2)
	})
	t.Run("a write without a position counts as committed now", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", unsafeWrite, 9)
		g.outcome("w", 0, 1, policy.ResultOK)
		g.arriveOf("r", sessionRead, 9)
		g.wantSent("r", 1)
	})
	t.Run("carried", func(t *testing.T) {
		set := settings()
		set.SessionPositionsCarried = true
		g := newRig(t, set)
		g.group(2)
		g.fresh(1, 0)
		g.fresh(2, 200*ms)
		g.step(policy.Arrival{ID: "r", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, SinceWrite: 199 * ms})
		g.wantSent("r", 1)
		g.step(policy.Arrival{ID: "s", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, SinceWrite: 200 * ms})
		g.wantSent("s", 2)
	})
	t.Run("a read that is sent later sees a write answered meanwhile", func(t *testing.T) {
		g := newFreshPair(t)
		g.arriveOf("r", sessionRead, 9)
		g.wantSent("r", 2)
		g.after(10*ms).arriveOf("w", unsafeWrite, 9)
		g.after(10*ms).outcome("w", 0, 1, policy.ResultOK)
		g.outcome("r", 0, 2, policy.ResultReset)
		g.wantSent("r", 1)
	})
	t.Run("a write that is out may have been answered", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveOf("w", unsafeWrite, 9)
		g.arriveOf("r", sessionRead, 9)
		g.wantSent("r", 1)
		g.arriveOf("s", sessionRead, 8) // of another session
		g.wantSent("s", 2)
	})
	t.Run("a write of unknown end counts as committed by then", func(t *testing.T) {
		for res, want := range map[policy.Result]policy.ServerID{
			policy.ResultReset: 1, policy.ResultTimeout: 1, policy.ResultCancelled: 1, policy.ResultError: 1, policy.ResultOverloaded: 2,
		} {
			g := newFreshPair(t)
			g.after(10*ms).arriveOf("w", unsafeWrite, 9)
			g.step(policy.ClientDisconnected{ID: "w"})
			g.after(10*ms).outcome("w", 0, 1, res)
			g.after(100*ms).arriveOf("r", sessionRead, 9)
			if got := sent(g.acts, "r"); len(got) != 1 || got[0] != want {
				t.Errorf("behind a write that ended with %d a read went to %v, want %d", res, got, want)
			}
		}
	})
	t.Run("a session with a write out is not forgotten", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveOf("w", unsafeWrite, 1)
		for k := uint64(2); k < 1<<14+2; k++ {
			g.arriveOf(fmt.Sprint("f", k), freshRead, k)
			g.outcome(fmt.Sprint("f", k), 0, 1, policy.ResultOK)
		}
		g.arriveOf("r", sessionRead, 1)
		g.wantSent("r", 1)
		g.outcome("w", 0, 1, policy.ResultOverloaded)
		g.arriveOf("s", sessionRead, 1<<14+1)
		g.wantSent("s", 2)
	})
	t.Run("forgotten marks merge into a floor", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", unsafeWrite, 1)
		g.outcome("w", 0, 1, policy.ResultOK)
		for k := uint64(2); k < 1<<14+2; k++ {
			g.arriveOf(fmt.Sprint("f", k), freshRead, k)
			g.outcome(fmt.Sprint("f", k), 0, 1, policy.ResultOK)
		}
		g.arriveOf("r", sessionRead, 1)
		g.wantSent("r", 1)
	})
}

// What an outcome proves decides what may follow.
func TestAttemptTable(t *testing.T) {
	const again, refuse, fail = "again", "refuse", "fail"
	ran := []policy.Result{policy.ResultError, policy.ResultTimeout, policy.ResultReset, policy.ResultCancelled}
	notRan := []policy.Result{policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultMisdirected}
	for _, c := range []struct {
		class   int
		results []policy.Result
		wait    clock.Micros
		want    string
	}{
		{anyRead, ran, 10 * ms, again},
		{anyRead, notRan, 10 * ms, again},
		{unsafeWrite, ran, 10 * ms, fail},
		{unsafeWrite, notRan, 10 * ms, again},
	} {
		for _, res := range c.results {
			t.Run(fmt.Sprint(c.class, "/", res, "/", c.wait), func(t *testing.T) {
				g := newRig(t, settings())
				g.group(3)
				g.fresh(1, 0)
				first := sent(g.arrive("q", c.class), "q")[0]
				g.after(c.wait).outcome("q", 0, first, res)
				acts := append([]policy.Action(nil), g.acts...)
				// The next primary shows itself, so that a write that waits can go.
				g.after(ms).probed(2, policy.RolePrimary, g.now)
				acts = append(acts, g.acts...)
				acts = append(acts, g.sweep(260*ms)...)
				got := ending(acts, "q")
				if got == "" && len(sent(acts, "q")) == 1 {
					got = again
				}
				if got != c.want {
					t.Errorf("got %q, want %q (%v)", got, c.want, acts)
				}
			})
		}
	}
}

func TestAttemptsAreCounted(t *testing.T) {
	set := settings()
	set.MaxAttempts = 3
	g := newRig(t, set)
	g.group(8)
	acts := g.arrive("q", anyRead)
	for i := 0; i < 3; i++ {
		got := sent(acts, "q")
		if len(got) != 1 {
			t.Fatalf("attempt %d: sent to %v", i, got)
		}
		acts = g.outcome("q", i, got[0], policy.ResultConnectFailed)
	}
	g.wantEnd("q", "refuse")
}

// Errors everywhere must not multiply the load: what may have run is repeated within a budget.
func TestRetryBudget(t *testing.T) {
	g := newRig(t, settings())
	g.group(5)
	first, more := 0, 0
	for i := 0; i < 400; i++ {
		id := fmt.Sprint("q", i)
		acts := g.after(10*ms).arrive(id, anyRead)
		first++
		for n := 0; ; n++ {
			got := sent(acts, id)
			if len(got) == 0 {
				break
			}
			if n > 0 {
				more++
			}
			acts = g.outcome(id, n, got[0], policy.ResultError)
		}
	}
	if more == 0 || more > first/5+10 {
		t.Errorf("%d further attempts for %d requests", more, first)
	}
}

func TestPrimaryEvidence(t *testing.T) {
	primaryIs := func(g *rig, want policy.ServerID) {
		g.t.Helper()
		id := fmt.Sprint("p", g.now, len(g.all))
		g.arrive(id, freshRead)
		g.wantSent(id, want)
		g.outcome(id, 0, want, policy.ResultOK)
	}
	t.Run("a late report does not override newer proof", func(t *testing.T) {
		g := newRig(t, settings())
		g.group(3)
		g.after(1000 * ms)
		g.probed(2, policy.RolePrimary, g.now)
		primaryIs(g, 2)
		g.probed(1, policy.RolePrimary, g.now-500*ms) // a report from before the switch
		primaryIs(g, 2)
		g.probed(2, policy.RoleReplica, g.now-500*ms) // and one of before its election
		primaryIs(g, 2)
		g.probed(3, policy.RolePrimary, g.now+50*ms) // never from the future
		g.after(100*ms).probed(3, policy.RolePrimary, g.now)
		primaryIs(g, 3)
	})
	t.Run("the list is believed only until there is proof", func(t *testing.T) {
		g := newRig(t, settings())
		g.group(3)
		primaryIs(g, 1)
		g.after(10*ms).probed(2, policy.RolePrimary, g.now)
		g.group(3)
		primaryIs(g, 2)
	})
	t.Run("a write's miss takes the role away, and the next member is tried", func(t *testing.T) {
		g := newRig(t, settings())
		g.group(3)
		g.fresh(2, 300*ms)
		g.fresh(3, 100*ms)
		g.arrive("w", unsafeWrite)
		g.wantSent("w", 1)
		g.after(ms).outcome("w", 0, 1, policy.ResultMisdirected)
		g.wantSent("w", 3) // the most advanced
		g.after(ms).outcome("w", 1, 3, policy.ResultMisdirected)
		g.wantSent("w", 2)
		g.after(ms).outcome("w", 2, 2, policy.ResultMisdirected)
		g.wantSent("w") // one round is enough: it waits
		g.wantEnd("w", "")
		// Another write does not go the round again.
		g.arrive("v", unsafeWrite)
		g.wantSent("v")
		g.arrive("f", freshRead)
		g.wantSent("f")
		// The new primary shows itself in an answer's note: all that waits goes there.
		g.after(ms).arrive("a", anyRead)
		to := sent(g.acts, "a")[0]
		g.after(ms).step(policy.Outcome{ID: "a", Server: to, Final: true, Latency: ms, Role: policy.RolePrimary})
		for _, id := range []string{"w", "v", "f"} {
			g.wantSent(id, to)
		}
	})
	t.Run("what an old primary still finishes does not bring its role back", func(t *testing.T) {
		g := newRig(t, settings())
		g.group(3)
		g.fresh(1, 0)
		g.arrive("w", unsafeWrite)
		g.wantSent("w", 1)
		g.after(50*ms).arrive("v", unsafeWrite)
		g.wantSent("v", 1)
		g.after(ms).step(policy.Outcome{ID: "v", Server: 1, Result: policy.ResultMisdirected, Role: policy.RoleReplica})
		g.after(100 * ms).step(policy.Outcome{ID: "w", Server: 1, Final: true, Role: policy.RolePrimary, Latency: 151 * ms,
			Position: g.now - 130*ms})
		g.arrive("f", freshRead)
		g.wantSent("f")
	})
	t.Run("a lost primary is looked for by probes", func(t *testing.T) {
		g := newRig(t, settings())
		g.group(3)
		g.sweep(25 * ms)
		for id := policy.ServerID(1); id <= 3; id++ {
			g.fresh(id, 0)
		}
		g.arrive("w", unsafeWrite)
		g.outcome("w", 0, 1, policy.ResultReset)
		probes := 0
		for i := 0; i < 40; i++ {
			g.arrive(fmt.Sprint("f", i), freshRead) // somebody waits for a primary
			for _, a := range g.sweep(25 * ms) {
				if p, ok := a.(policy.HealthCheck); ok {
					probes++
					g.step(policy.HealthCheckEnded{Server: p.Server, Result: policy.ResultTimeout})
				}
			}
		}
		if probes < 6 || probes > 40 {
			t.Errorf("%d probes in a second without a primary", probes)
		}
	})
}

func TestDrainsAreObeyedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		news  policy.EndpointUpdate
		loose bool
		open  bool // may still be sent to
	}{
		{"draining", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointDraining}}}, false, false},
		{"gone", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointRemoved}}}, false, false},
		{"left out of a full list", policy.EndpointUpdate{Form: policy.ListFull, Endpoints: []policy.Endpoint{
			member(1, true)}}, false, false},
		{"gone where only draining binds", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointRemoved}}}, true, true},
		{"draining where only draining binds", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointDraining}}}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.RemovedStayUsable = c.loose
			g := newRig(t, set)
			g.group(2)
			g.fresh(1, 0)
			g.fresh(2, 0)
			g.step(c.news)
			g.arrive("q", anyRead)
			if got := sent(g.acts, "q"); len(got) != 1 || (got[0] == 2) != c.open {
				t.Errorf("sent to %v", got)
			}
		})
	}
}

func TestDrainingPrimaryTakesNoWrite(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	g.fresh(1, 0)
	drained := member(1, true)
	drained.State = policy.EndpointDraining
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{drained}})
	g.arrive("w", unsafeWrite)
	g.wantSent("w", 2)
	g.outcome("w", 0, 2, policy.ResultMisdirected)
	g.wantSent("w")
	g.after(50*ms).probed(2, policy.RolePrimary, g.now)
	g.wantSent("w", 2)
}

// A cold member takes what a fall window allows, whatever comes back and however quickly.
func TestColdBudget(t *testing.T) {
	for _, res := range []policy.Result{policy.ResultMisdirected, policy.ResultError, policy.ResultOK} {
		t.Run(fmt.Sprint(res), func(t *testing.T) {
			set := settings()
			g := newRig(t, set)
			g.group(3)
			// This gateway has measured nothing yet: the budget must hold all the same.
			cold := member(3, false)
			cold.Started = g.now
			g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{cold}})
			n := 0
			for i := 0; i < 400; i++ {
				id := fmt.Sprint("q", i)
				acts := g.after(5*ms).arrive(id, anyRead)
				for k := 0; k < 3; k++ {
					got := sent(acts, id)
					if len(got) == 0 {
						break
					}
					if got[0] == 3 {
						n++
						acts = g.outcome(id, k, 3, res)
					} else {
						// Warm members answer about eight requests a window each.
						if i%25 == 0 {
							g.outcome(id, k, got[0], policy.ResultOK)
						}
						break
					}
				}
			}
			// A warm member's sixteen answers a window at most, times multiple and cold share.
			if limit := 16 * 3 / 2; n == 0 || n > limit {
				t.Errorf("%d sends to a cold member within a window, want 1 to %d", n, limit)
			}
		})
	}
}

// A member that could not be reached may have started again: it counts as cold though no list said so.
func TestBackFromTheDeadIsCold(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	g.fresh(1, 0)
	g.arrive("q", anyRead)
	g.wantSent("q", 2)
	g.outcome("q", 0, 2, policy.ResultConnectFailed)
	g.arrive("r", anyRead)
	g.wantSent("r", 1) // the primary takes it while the replica rests
	probed := false
	for _, a := range g.sweep(25 * ms) {
		if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
			probed = true
		}
	}
	if !probed {
		t.Error("no probe to tell whether it is down")
	}
	g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultConnectFailed})
	again := 0
	g.after(ms).arrive("u", unsafeWrite)
	for _, a := range g.sweep(25 * ms) {
		if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
			again++
		}
	}
	if again != 1 {
		t.Errorf("%d probes behind one that failed: a single one may have met a lossy path", again)
	}
	g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultConnectFailed})
	g.after(400*ms).arrive("still", anyRead)
	g.wantSent("still", 1)
	g.fresh(2, 0)
	at2 := 0
	for i := 0; i < 20; i++ {
		id := fmt.Sprint("s", i)
		for _, s := range sent(g.after(ms).arrive(id, anyRead), id) {
			if s == 2 {
				at2++
			}
		}
	}
	if at2 != 1 {
		t.Errorf("%d attempts out at a member just back, want 1", at2)
	}
}

// Connections that break at a member whose probes answer do not close it: the others would carry its load, and a
// whole group would seem to restart for ever.
func TestBrokenConnectionsDoNotCloseAMember(t *testing.T) {
	g := newRig(t, settings())
	g.group(3)
	used := map[policy.ServerID]int{}
	for i := 0; i < 200; i++ {
		id := fmt.Sprint("q", i)
		g.after(20*ms).arrive(id, anyRead)
		to := sent(g.acts, id)[0]
		res := policy.ResultOK
		if i%5 == 0 {
			res = policy.ResultReset
		}
		if used[to]++; res == policy.ResultReset {
			if more := sent(g.outcome(id, 0, to, res), id); len(more) == 1 {
				g.outcome(id, 1, more[0], policy.ResultOK)
			}
		} else {
			g.outcome(id, 0, to, res)
		}
		for _, a := range g.sweep(5 * ms) {
			if p, ok := a.(policy.HealthCheck); ok {
				g.fresh(p.Server, 0)
			}
		}
	}
	if used[2] < 60 || used[3] < 60 {
		t.Errorf("200 reads over two replicas with a reset in five: %v", used)
	}
}

// A member that says full in no time looks idle. It must rest, not draw more.
func TestQuickFullDoesNotAttract(t *testing.T) {
	g := newRig(t, settings())
	g.group(4)
	tries := 0
	for i := 0; i < 200; i++ {
		tries += g.after(5*ms).readPast(fmt.Sprint("q", i), 2, policy.ResultOverloaded)
	}
	if tries == 0 || tries > 12 {
		t.Errorf("%d of 200 requests met the member that is full", tries)
	}
}

func TestQuickErrorsAreEjected(t *testing.T) {
	g := newRig(t, settings())
	g.group(4)
	tries := 0
	for i := 0; i < 400; i++ {
		tries += g.after(5*ms).readPast(fmt.Sprint("q", i), 2, policy.ResultError)
		g.sweep(0)
	}
	if tries < 5 || tries > 40 {
		t.Errorf("%d attempts met the member that fails, want few and some trials", tries)
	}
}

// An ejection never empties a group.
func TestEjectionNeverEmptiesAGroup(t *testing.T) {
	set := settings()
	g := newRig(t, set)
	g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: []policy.Endpoint{member(2, false), member(3, false)}})
	for i := 0; i < 60; i++ {
		id := fmt.Sprint("q", i)
		got := sent(g.after(100*ms).arrive(id, anyRead), id)
		if len(got) != 1 {
			t.Fatalf("%s sent to %v", id, got)
		}
		g.outcome(id, 0, got[0], policy.ResultError)
		g.step(policy.ClientDisconnected{ID: id})
	}
}

// Slow answers lower what may be out at a member; quick ones raise it again.
func TestLimitFollowsLatency(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	g.fresh(1, 0)
	run := func(tag string, latency clock.Micros) int {
		for i := 0; i < 200; i++ {
			id := fmt.Sprint(tag, i)
			if len(sent(g.after(100*ms).arrive(id, freshRead), id)) == 1 {
				g.step(policy.Outcome{ID: id, Server: 1, Final: true, Latency: latency})
			}
		}
		out := 0
		for i := 0; i < 40; i++ {
			id := fmt.Sprint(tag, "-burst", i)
			out += len(sent(g.arrive(id, freshRead), id))
		}
		for i := 0; i < 40; i++ {
			g.step(policy.Outcome{ID: fmt.Sprint(tag, "-burst", i), Server: 1, Final: true, Latency: latency})
			g.step(policy.ClientDisconnected{ID: fmt.Sprint(tag, "-burst", i)})
		}
		return out
	}
	before := run("a", 60*ms)
	slow := run("b", 390*ms)
	if slow*2 > before || slow < 1 {
		t.Errorf("%d out at once while quick, %d after slow answers", before, slow)
	}
}

// A waiting request that could not be answered within its aim any more is given up at once, not sent to time out.
func TestHopelessIsNotSent(t *testing.T) {
	set := settings()
	set.CanSendRetryAfter = true
	g := newRig(t, set)
	g.group(2)
	g.fresh(1, 0)
	for i := 0; i < 60; i++ {
		id := fmt.Sprint("a", i)
		g.after(10*ms).arrive(id, freshRead)
		g.step(policy.Outcome{ID: id, Server: 1, Final: true, Latency: 100 * ms})
	}
	open := []string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("b", i)
		if len(sent(g.arrive(id, freshRead), id)) == 0 {
			open = append(open, id)
			break
		}
	}
	waiting := open[0]
	g.sweep(150 * ms)
	g.wantEnd(waiting, "")
	g.sweep(100 * ms)
	g.wantEnd(waiting, "refuse")
	for _, a := range g.acts {
		if r, ok := a.(policy.Reject); ok && r.ID == waiting && r.RetryAfter != set.MaxRetryAfter {
			t.Errorf("advice to come back in %d us", r.RetryAfter)
		}
	}
}

// When the primary's room is scarce, what is worth more goes first.
func TestWorthiestFirst(t *testing.T) {
	set := settings()
	set.Classes[unsafeWrite].PriorityWeight = 3000
	g := newRig(t, set)
	g.group(2)
	g.fresh(1, 0)
	n := 0
	for ; ; n++ {
		if len(sent(g.arrive(fmt.Sprint("f", n), freshRead), fmt.Sprint("f", n))) == 0 {
			break
		}
	}
	g.after(ms).arrive("w", unsafeWrite)
	g.wantSent("w")
	g.after(ms).outcome("f0", 0, 1, policy.ResultOK)
	g.wantSent("w", 1)
}

func TestEveryRequestEnds(t *testing.T) {
	for class := range settings().Classes {
		for _, members := range []int{0, 2} { // held for want of a server, and out at one that never answers
			set := settings()
			g := newRig(t, set)
			if members > 0 {
				g.group(members)
				g.fresh(1, 0)
			}
			g.arrive("q", class)
			var at clock.Micros
			for _, a := range g.acts {
				if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == "q" {
					at = s.At
				}
			}
			if at <= origin || at > origin+2000*ms {
				t.Fatalf("class %d: its timer is at %d", class, at-origin)
			}
			g.now = at
			g.step(policy.Timer{RequestID: "q"})
			for _, a := range g.acts { // half of its time is over, and an attempt is out
				if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == "q" && ending(g.acts, "q") == "" {
					g.now = s.At
					g.step(policy.Timer{RequestID: "q"})
					break
				}
			}
			if ending(g.acts, "q") == "" {
				t.Errorf("class %d with %d members has no final answer at its end", class, members)
			}
			g.step(policy.Timer{RequestID: "q"})
			if ending(g.acts, "q") != "" {
				t.Errorf("class %d was answered twice", class)
			}
			if out := sent(g.acts, "q"); len(out) > 0 {
				t.Errorf("class %d was sent to %v after its end", class, out)
			}
		}
	}
}

// An unsafe write that is out at its end fails: it may have run, so a refusal would lie.
func TestUnsafeOutIsNotRefused(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	g.fresh(1, 0)
	g.arrive("w", unsafeWrite)
	g.now += 1995 * ms
	g.step(policy.Timer{RequestID: "w"})
	g.wantEnd("w", "fail")
}

func TestSilentMemberIsProbedAndLeft(t *testing.T) {
	g := newRig(t, settings())
	g.group(3)
	g.fresh(1, 0)
	g.fresh(2, 0)
	g.fresh(3, 0)
	set := policy.ServerID(0)
	g.step(policy.Arrival{ID: "q", Class: lateRead, Group: 1, TimeLeft: 2000 * ms})
	set = sent(g.acts, "q")[0]
	cancelled := false
	for i := 0; i < 60 && !cancelled; i++ {
		for _, a := range g.sweep(25 * ms) {
			switch a := a.(type) {
			case policy.HealthCheck:
				if a.Server == set {
					g.step(policy.HealthCheckEnded{Server: a.Server, Result: policy.ResultTimeout})
					cancelled = cancelled || count[policy.Cancel](g.acts) > 0
				} else {
					g.fresh(a.Server, 0)
				}
			}
		}
	}
	if !cancelled {
		t.Fatal("the read was left with a member that answers neither it nor probes")
	}
	g.outcome("q", 0, set, policy.ResultCancelled)
	if got := sent(g.acts, "q"); len(got) != 1 || got[0] == set {
		t.Errorf("moved to %v from %d", got, set)
	}
}

// readFor plays reads of one group, each answered at once, and answers every probe. It returns the probes by server.
func (g *rig) readFor(span, gap clock.Micros) map[policy.ServerID]int {
	probes := map[policy.ServerID]int{}
	for t, n := clock.Micros(0), 0; t < span; t += 25 * ms {
		if gap > 0 && t%gap == 0 {
			id := fmt.Sprint("r", g.now, n)
			for _, s := range sent(g.arrive(id, boundedRead), id) {
				g.outcome(id, 0, s, policy.ResultOK)
			}
		}
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok {
				probes[p.Server]++
				g.fresh(p.Server, 0)
			}
		}
	}
	return probes
}

func TestProbesKeepPositionsWithinHalfTheBoundInUse(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckReject
	g := newRig(t, set)
	g.group(3)
	at := g.readFor(10_000*ms, 50*ms)
	for id := policy.ServerID(2); id <= 3; id++ {
		if n := at[id]; n < 17 || n > 26 { // ten seconds, half of an 800 ms bound
			t.Errorf("server %d probed %d times in 10 s", id, n)
		}
	}
	if at[1] > 1 {
		t.Errorf("the known primary was probed %d times", at[1])
	}
	// No probe piles up on one that does not answer.
	n := 0
	for i := 0; i < 100; i++ {
		g.arrive(fmt.Sprint("u", i), boundedRead)
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
				n++
			}
		}
	}
	if n != 1 {
		t.Errorf("%d probes out at once", n)
	}
}

// Hundreds of gateways that each probe for freshness at full pace send more probes than requests.
func TestProbesDoNotOutnumberRequests(t *testing.T) {
	for _, gap := range []clock.Micros{0, 5000 * ms, 1000 * ms, 200 * ms} {
		set := settings()
		set.FreshnessCheck = policy.FreshnessCheckReject
		g := newRig(t, set)
		g.group(6)
		total, reads := 0, 0
		for _, n := range g.readFor(20_000*ms, gap) {
			total += n
		}
		if gap > 0 {
			reads = int(20_000 * ms / gap)
		}
		if total > reads {
			t.Errorf("a read each %d ms: %d probes for %d reads", gap/ms, total, reads)
		}
		if reads > 0 && total == 0 {
			t.Errorf("a read each %d ms: no probe at all", gap/ms)
		}
	}
}

func TestDiscovery(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	g := newRig(t, set)
	if count[policy.Watch](g.acts) != 1 {
		t.Fatal("it does not subscribe at its start")
	}
	g.group(2)
	asks := func(span clock.Micros) (n int, last clock.Micros) {
		for end := g.now + span; g.now < end; {
			if count[policy.Watch](g.sweep(25*ms)) > 0 {
				n, last = n+1, g.now
				g.after(5 * ms).step(policy.EndpointUpdate{Form: policy.ListFailed})
			}
		}
		return n, last
	}
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	early, _ := asks(2000 * ms)
	late, last := asks(20_000 * ms)
	if early < 2 || late < 20 || late > 50 {
		t.Errorf("%d asks in the first 2 s of failure, %d in the next 20 s", early, late)
	}
	if g.now-last > 1000*ms {
		t.Error("it stopped asking")
	}
	for i := 0; i < 400; i++ {
		if count[policy.Watch](g.sweep(25*ms)) > 0 {
			break
		}
	}
	g.step(policy.EndpointUpdate{Form: policy.ListDelta})
	if n, _ := asks(8000 * ms); n != 0 {
		t.Errorf("%d asks with a subscription that stands", n)
	}
	// Two gateways with different seeds do not ask in step.
	spans := map[clock.Micros]bool{}
	for seed := uint64(1); seed < 9; seed++ {
		r, _ := policy.New(origin, seed, set)
		r.Step(origin, policy.EndpointUpdate{Form: policy.ListFailed})
		for now := origin; now < origin+1000*ms; now += 5 * ms {
			if count[policy.Watch](r.Step(now, policy.Timer{Kind: policy.TimerSweep})) > 0 {
				spans[now] = true
				break
			}
		}
	}
	if len(spans) < 4 {
		t.Errorf("eight gateways ask again at only %d moments", len(spans))
	}
}

// Asks that fail are made ever more seldom, and yet often enough: whatever failed before, a change counts as known 6 s after
// discovery had it and could be reached. internal/gateway adds the module's pauses to the time limits of the calls.
func TestPausesBetweenAsks(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	const askings = 8
	var sum [askings]clock.Micros
	longest := clock.Micros(0)
	const seeds = 64
	for seed := uint64(1); seed <= seeds; seed++ {
		r, _ := policy.New(origin, seed, set)
		now := origin
		for n := range sum {
			failed := now
			r.Step(now, policy.EndpointUpdate{Form: policy.ListFailed})
			for {
				now += 5 * ms
				if count[policy.Watch](r.Step(now, policy.Timer{Kind: policy.TimerSweep})) > 0 {
					break
				}
			}
			sum[n] += now - failed
			longest = max(longest, now-failed)
		}
	}
	if first, last := sum[0]/seeds, sum[askings-1]/seeds; last < first*2 {
		t.Errorf("the first pause is %d ms in the mean, the last %d", first/ms, last/ms)
	}
	if longest > 950*ms {
		t.Errorf("a pause of %d ms", longest/ms)
	}
}

// A pushed list is known here at once by the rules: a watch that ends is opened again with the next sweep, and only what
// fails again waits.
func TestPushedListIsAskedForAtOnce(t *testing.T) {
	set := settings()
	set.ListSubscribed, set.ListPushed = true, true
	g := newRig(t, set)
	g.group(2)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta})
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	if count[policy.Watch](g.sweep(1*ms)) != 1 {
		t.Error("it is not asked for again at once")
	}
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	if count[policy.Watch](g.sweep(1*ms)) != 0 {
		t.Error("a second failure in a row is followed by an ask without a pause")
	}
}

// An ask that is never answered counts as failed.
func TestUnansweredAskIsRepeated(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	g := newRig(t, set)
	n := 0
	for i := 0; i < 400; i++ {
		n += count[policy.Watch](g.sweep(25 * ms))
	}
	if n < 1 {
		t.Error("it never asked again")
	}
}

func TestOddInputIsHarmless(t *testing.T) {
	g := newRig(t, policy.Settings{})
	for _, ev := range []policy.Event{
		policy.Arrival{ID: "a", Class: 3}, policy.Arrival{ID: "b", Class: -1}, policy.ClientDisconnected{ID: "nobody"},
		policy.Outcome{ID: "nobody"}, policy.Timer{RequestID: ""}, policy.Timer{RequestID: "nobody"}, policy.HealthCheckEnded{Server: 9},
		policy.AnswerStarted{ID: "nobody"}, policy.PeerMessage{Data: []byte{1}},
		policy.EndpointUpdate{Form: policy.ListFailed}, policy.EndpointUpdate{Form: policy.ListFull, Endpoints: []policy.Endpoint{{}}},
	} {
		g.step(ev)
	}
	set := settings()
	set.Classes = append(set.Classes, policy.Class{})
	g = newRig(t, set)
	g.group(2)
	g.arrive("q", len(set.Classes)-1)
	g.step(policy.Outcome{ID: "q", Attempt: 5, Server: 1})
	g.step(policy.Outcome{ID: "q", Attempt: -1, Server: 1})
	g.step(policy.Arrival{ID: "neg", Class: anyRead, Group: 1, TimeLeft: -5 * ms})
	if ending(g.acts, "neg") == "" {
		t.Error("a request whose time is up got no answer")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []policy.Action {
		g := newRig(t, settings())
		g.group(6)
		for i := 0; i < 300; i++ {
			id := fmt.Sprint("q", i)
			for _, s := range sent(g.after(3*ms).arriveOf(id, i%7, uint64(i%20)), id) {
				g.outcome(id, 0, s, policy.Result(i%4))
			}
			g.sweep(0)
		}
		return g.all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave different actions")
	}
}

// Where only draining binds, a list may call running servers gone for a while: they stay in use. One that is truly
// gone must still leave memory, or it is probed for ever.
func TestGoneServersAreForgottenOnlyWhenOutOfReach(t *testing.T) {
	set := settings()
	set.RemovedStayUsable = true
	g := newRig(t, set)
	g.group(3)
	g.step(policy.EndpointUpdate{Form: policy.ListFull}) // an empty list
	last := map[policy.ServerID]clock.Micros{}
	served := 0
	for i := 0; i < 4000; i++ {
		id := fmt.Sprint("g", i)
		if got := sent(g.arrive(id, anyRead), id); len(got) == 1 {
			res := policy.ResultOK
			if got[0] == 3 {
				res = policy.ResultConnectFailed
			} else {
				served++
			}
			last[got[0]] = g.now - origin
			g.outcome(id, 0, got[0], res)
		}
		g.step(policy.ClientDisconnected{ID: id})
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok {
				last[p.Server] = g.now - origin
				res := policy.ResultOK
				if p.Server == 3 {
					res = policy.ResultConnectFailed
				}
				g.step(policy.HealthCheckEnded{Server: p.Server, Result: res})
			}
		}
	}
	if served < 3900 {
		t.Errorf("%d of 4000 reads were served while the list was empty", served)
	}
	if last[3] > 30_000*ms {
		t.Errorf("a server that is gone and out of reach was still tried %d s on", last[3]/1000/ms)
	}
}

// Dead servers are asked no oftener than arrivals pay for: hundreds of gateways would ask each of them for ever.
func TestProbesOfTheDeadArePaidByArrivals(t *testing.T) {
	g := newRig(t, settings())
	g.group(3)
	probes := 0
	for i := 0; i < 2400; i++ { // a minute, a read a second
		if i%40 == 0 {
			id := fmt.Sprint("d", i)
			for n := 0; n < 3; n++ {
				got := sent(g.arrive(id, anyRead), id)
				if len(got) == 0 {
					break
				}
				res := policy.ResultOK
				if got[0] == 3 {
					res = policy.ResultConnectFailed
				}
				g.outcome(id, n, got[0], res)
			}
			g.step(policy.ClientDisconnected{ID: id})
		}
		for _, a := range g.sweep(25 * ms) {
			p, ok := a.(policy.HealthCheck)
			if !ok {
				continue
			}
			if p.Server == 3 {
				probes++
				g.step(policy.HealthCheckEnded{Server: 3, Result: policy.ResultConnectFailed})
				continue
			}
			g.fresh(p.Server, 0)
		}
	}
	if probes < 5 || probes > 40 {
		t.Errorf("%d probes of a dead server in a minute with 60 arrivals", probes)
	}
}

// An answer that tells a replica's role is as good as a probe while the primary is looked for.
func TestAnsweredRolesSaveProbes(t *testing.T) {
	probes := map[bool]int{}
	for _, told := range []bool{false, true} {
		set := settings()
		set.FreshnessCheck = policy.FreshnessCheckReject
		g := newRig(t, set)
		var ms3 []policy.Endpoint
		for id := policy.ServerID(1); id <= 3; id++ {
			ms3 = append(ms3, member(id, false))
		}
		g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: ms3})
		for i := 0; i < 400; i++ {
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
					probes[told]++
					g.step(policy.HealthCheckEnded{Server: p.Server, Result: policy.ResultTimeout})
					g.step(policy.HealthCheckEnded{Server: p.Server, LoadReport: policy.LoadReport{
						HasPosition: true, Position: g.now, Role: policy.RoleUnknown}})
				}
			}
		}
	}
	if probes[true]*3 > probes[false] {
		t.Errorf("%d probes where answers tell roles, %d where they do not", probes[true], probes[false])
	}
}

// A request with less time left than an answer may well take still goes to a server with room: refusing it would shut
// hasty clients out of idle servers. Without room, or without hope, it is answered at once.
func TestHastyRequestsUseIdleServers(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	for i := range 60 { // an answer usually takes about 100 ms
		id := fmt.Sprint("w", i)
		to := sent(g.arrive(id, anyRead), id)
		if len(to) != 1 {
			t.Fatalf("%s: %v", id, g.acts)
		}
		g.after(100 * ms).step(policy.Outcome{ID: id, Server: to[0], Final: true, Latency: 100 * ms})
	}
	hasty := func(id string, left clock.Micros) []policy.Action {
		return g.step(policy.Arrival{ID: id, Class: anyRead, Group: 1, TimeLeft: left})
	}
	hasty("hopeless", 40*ms)
	g.wantSent("hopeless")
	g.wantEnd("hopeless", "refuse")
	full := 0
	for ; len(sent(hasty(fmt.Sprint("h", full), 120*ms), fmt.Sprint("h", full))) == 1; full++ {
	}
	if full == 0 {
		t.Error("a hasty request found no room at idle servers")
	}
	g.wantEnd(fmt.Sprint("h", full), "refuse")
	g.arrive("patient", anyRead)
	g.wantSent("patient")
	g.wantEnd("patient", "")
}

// What nothing was sent for by half of its time is refused then, so that its client may come again; what is out at a
// server goes on to its end.
func TestNothingSentByHalfTime(t *testing.T) {
	g := newRig(t, settings())
	g.group(2)
	timer := func(id string) clock.Micros {
		for _, a := range g.acts {
			if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == id {
				return s.At - origin
			}
		}
		t.Fatalf("no timer for %s", id)
		return 0
	}
	g.arrive("out", unsafeWrite)
	g.wantSent("out", 1)
	at := timer("out")
	for i := range 20 { // no room is left for the last of them
		g.arrive(fmt.Sprint("w", i), unsafeWrite)
	}
	g.wantSent("w19")
	if held := timer("w19"); held >= 1000*ms || held != at {
		t.Errorf("looked at after %d us of 2 s", held)
	}
	g.now = origin + at
	g.step(policy.Timer{RequestID: "w19"})
	g.wantEnd("w19", "refuse")
	g.step(policy.Timer{RequestID: "out"})
	g.wantEnd("out", "")
	if end := timer("out"); end < 1900*ms || end >= 2000*ms {
		t.Errorf("then ends after %d us of 2 s", end)
	}
}

// What the list takes out gets nothing more, also of what waits for a connection there: it is taken back at once. Where only
// draining binds, gone alone takes nothing back. So it is with what was to go to a server that has started again since.
func TestWhatHasNotBegunIsTakenBack(t *testing.T) {
	for _, c := range []struct {
		onlyDraining bool
		state        policy.EndpointState
		started      clock.Micros
		want         int
	}{
		{false, policy.EndpointDraining, 0, 1}, {false, policy.EndpointRemoved, 0, 1}, {true, policy.EndpointDraining, 0, 1},
		{true, policy.EndpointRemoved, 0, 0}, {false, policy.EndpointReady, 0, 0}, {false, policy.EndpointReady, origin, 1},
	} {
		set := settings()
		set.RemovedStayUsable = c.onlyDraining
		g := newRig(t, set)
		g.group(3)
		m := member(2, false)
		m.State, m.Started = c.state, c.started
		n := 0
		for _, a := range g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{m}}) {
			if w, is := a.(policy.Withdraw); is && w.Server == 2 {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%+v: taken back %d times", c, n)
		}
	}
}
