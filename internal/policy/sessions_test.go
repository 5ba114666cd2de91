package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/policy"
)

// A session keeps its replica until nothing more may be sent to that replica.
func TestSessionsAreSticky(t *testing.T) {
	g := newGateway(t, settings())
	g.group(6)
	for id := policy.ServerID(1); id <= 6; id++ {
		g.reportPosition(id, 0)
	}
	used := map[policy.ServerID]bool{}
	for session := uint64(1); session <= 30; session++ {
		var home policy.ServerID
		for i := range 4 {
			id := fmt.Sprint(session, "-", i)
			g.after(ms).arriveInSession(id, sessionRead, session)
			got := sent(g.acts, id)
			if len(got) != 1 || got[0] == 1 || i > 0 && got[0] != home {
				t.Fatalf("%s was sent to %v, the replica of its session is %d", id, got, home)
			}
			home = got[0]
			g.outcome(id, 0, home, policy.ResultOK)
		}
		used[home] = true
	}
	if len(used) < 5 {
		t.Errorf("30 sessions used only %d of 5 replicas", len(used))
	}
	// When the replica drains, the session gets another one.
	g.arriveInSession("x", sessionRead, 1)
	home := sent(g.acts, "x")[0]
	drained := endpoint(home, false)
	drained.State = policy.EndpointDraining
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{drained}})
	g.arriveInSession("y", sessionRead, 1)
	if got := sent(g.acts, "y"); len(got) != 1 || got[0] == home {
		t.Fatalf("sent to %v after %d drained", got, home)
	}
}

// The reads of a session see what the session has written.
func TestSessionPositions(t *testing.T) {
	t.Run("remembered", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveInSession("w", nonIdempotentWrite, 9)
		g.step(policy.Outcome{ID: "w", Server: 1, Final: true, Latency: 50 * ms, Role: policy.RolePrimary, Position: g.now})
		g.after(10*ms).arriveInSession("r", sessionRead, 9)
		g.wantSent("r", 1) // server 2 is not known to have the write
		g.reportPosition(2, 0)
		g.arriveInSession("s", sessionRead, 9)
		g.wantSent("s", 2)
	})
	t.Run("a write without a position counts as committed now", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveInSession("w", nonIdempotentWrite, 9)
		g.outcome("w", 0, 1, policy.ResultOK)
		g.arriveInSession("r", sessionRead, 9)
		g.wantSent("r", 1)
	})
	t.Run("carried", func(t *testing.T) {
		set := settings()
		set.SessionPositionsCarried = true
		g := newGateway(t, set)
		g.group(2)
		g.reportPosition(1, 0)
		g.reportPosition(2, 200*ms)
		g.step(policy.Arrival{ID: "r", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, SinceWrite: 199 * ms})
		g.wantSent("r", 1)
		g.step(policy.Arrival{ID: "s", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, SinceWrite: 200 * ms})
		g.wantSent("s", 2)
	})
	t.Run("a retried read sees a write answered in the meantime", func(t *testing.T) {
		g := newFreshPair(t)
		g.arriveInSession("r", sessionRead, 9)
		g.wantSent("r", 2)
		g.after(10*ms).arriveInSession("w", nonIdempotentWrite, 9)
		g.after(10*ms).outcome("w", 0, 1, policy.ResultOK)
		g.outcome("r", 0, 2, policy.ResultReset)
		g.wantSent("r", 1)
	})
	t.Run("a write in flight may have been committed", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveInSession("w", nonIdempotentWrite, 9)
		g.arriveInSession("r", sessionRead, 9)
		g.wantSent("r", 1)
		g.arriveInSession("s", sessionRead, 8) // of another session
		g.wantSent("s", 2)
	})
	t.Run("a write with an unknown outcome counts as committed", func(t *testing.T) {
		for res, want := range map[policy.Result]policy.ServerID{
			policy.ResultReset: 1, policy.ResultTimeout: 1, policy.ResultCancelled: 1, policy.ResultError: 1, policy.ResultOverloaded: 2,
		} {
			g := newFreshPair(t)
			g.after(10*ms).arriveInSession("w", nonIdempotentWrite, 9)
			g.step(policy.ClientDisconnected{ID: "w"})
			g.after(10*ms).outcome("w", 0, 1, res)
			g.after(100*ms).arriveInSession("r", sessionRead, 9)
			if got := sent(g.acts, "r"); len(got) != 1 || got[0] != want {
				t.Errorf("after a write with result %d a read was sent to %v, want %d", res, got, want)
			}
		}
	})
	t.Run("a session with a write in flight is not forgotten", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(10*ms).arriveInSession("w", nonIdempotentWrite, 1)
		for k := uint64(2); k < 1<<14+2; k++ {
			g.arriveInSession(fmt.Sprint("f", k), freshRead, k)
			g.outcome(fmt.Sprint("f", k), 0, 1, policy.ResultOK)
		}
		g.arriveInSession("r", sessionRead, 1)
		g.wantSent("r", 1)
		g.outcome("w", 0, 1, policy.ResultOverloaded)
		g.arriveInSession("s", sessionRead, 1<<14+1)
		g.wantSent("s", 2)
	})
	t.Run("positions of forgotten sessions merge into a floor", func(t *testing.T) {
		g := newFreshPair(t)
		g.after(100*ms).arriveInSession("w", nonIdempotentWrite, 1)
		g.outcome("w", 0, 1, policy.ResultOK)
		for k := uint64(2); k < 1<<14+2; k++ {
			g.arriveInSession(fmt.Sprint("f", k), freshRead, k)
			g.outcome(fmt.Sprint("f", k), 0, 1, policy.ResultOK)
		}
		g.arriveInSession("r", sessionRead, 1)
		g.wantSent("r", 1)
	})
}
