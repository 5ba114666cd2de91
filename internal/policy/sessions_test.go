package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/policy"
)

// A session stays with its replica until that takes nothing more.
func TestSessionsAreSticky(t *testing.T) {
	g := newGateway(t, settings())
	g.group(6)
	for id := policy.ServerID(1); id <= 6; id++ {
		g.fresh(id, 0)
	}
	used := map[policy.ServerID]bool{}
	for session := uint64(1); session <= 30; session++ {
		var home policy.ServerID
		for i := range 4 {
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
	// Drawn again when the replica may take nothing more, and sticky after.
	g.arriveOf("x", sessionRead, 1)
	home := sent(g.acts, "x")[0]
	drained := endpoint(home, false)
	drained.State = policy.EndpointDraining
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{drained}})
	g.arriveOf("y", sessionRead, 1)
	if got := sent(g.acts, "y"); len(got) != 1 || got[0] == home {
		t.Fatalf("sent to %v after %d drained", got, home)
	}
}

// A session's reads see what it has written.
func TestSessionPositions(t *testing.T) {
	t.Run("remembered", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", nonIdempotentWrite, 9)
		g.step(policy.Outcome{ID: "w", Server: 1, Final: true, Latency: 50 * ms, Role: policy.RolePrimary, Position: g.now})
		g.after(10*ms).arriveOf("r", sessionRead, 9)
		g.wantSent("r", 1) // server 2 is not known to have it
		g.fresh(2, 0)
		g.arriveOf("s", sessionRead, 9)
		g.wantSent("s", 2)
	})
	t.Run("a write without a position counts as committed now", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", nonIdempotentWrite, 9)
		g.outcome("w", 0, 1, policy.ResultOK)
		g.arriveOf("r", sessionRead, 9)
		g.wantSent("r", 1)
	})
	t.Run("carried", func(t *testing.T) {
		set := settings()
		set.SessionPositionsCarried = true
		g := newGateway(t, set)
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
		g.after(10*ms).arriveOf("w", nonIdempotentWrite, 9)
		g.after(10*ms).outcome("w", 0, 1, policy.ResultOK)
		g.outcome("r", 0, 2, policy.ResultReset)
		g.wantSent("r", 1)
	})
	t.Run("a write in flight may have been answered", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveOf("w", nonIdempotentWrite, 9)
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
			g.after(10*ms).arriveOf("w", nonIdempotentWrite, 9)
			g.step(policy.ClientDisconnected{ID: "w"})
			g.after(10*ms).outcome("w", 0, 1, res)
			g.after(100*ms).arriveOf("r", sessionRead, 9)
			if got := sent(g.acts, "r"); len(got) != 1 || got[0] != want {
				t.Errorf("behind a write that ended with %d a read went to %v, want %d", res, got, want)
			}
		}
	})
	t.Run("a session with a write in flight is not forgotten", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveOf("w", nonIdempotentWrite, 1)
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
	t.Run("positions of forgotten sessions merge into a floor", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveOf("w", nonIdempotentWrite, 1)
		g.outcome("w", 0, 1, policy.ResultOK)
		for k := uint64(2); k < 1<<14+2; k++ {
			g.arriveOf(fmt.Sprint("f", k), freshRead, k)
			g.outcome(fmt.Sprint("f", k), 0, 1, policy.ResultOK)
		}
		g.arriveOf("r", sessionRead, 1)
		g.wantSent("r", 1)
	})
}
