package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// An attempt that has waited for its connection may begin only if its server still qualifies by what is known then (incident of
// 2026-12-06, late connections).
func TestConfirm(t *testing.T) {
	const late = 200 * ms
	for _, c := range []struct {
		name      string
		class     int
		server    policy.ServerID                            // the server that gets the request
		settings  func(*policy.Settings)                     // may be nil
		meanwhile func(g *gateway)                           // what happens while the attempt waits
		want      bool                                       // whether the attempt may begin
		until     func(g *gateway) (freshUntil clock.Micros) // nil: no limit
	}{
		{"any read", anyRead, 2, nil, nil, true, nil},
		{"bounded read, still fresh", boundedRead, 2, nil, nil, true, func(g *gateway) clock.Micros { return origin + 800*ms }},
		{"bounded read, too old by now", boundedRead, 2, nil, func(g *gateway) { g.after(601 * ms) }, false, func(*gateway) clock.Micros { return origin + 800*ms }},
		{"bounded read, too old but for a later report", boundedRead, 2, nil, func(g *gateway) { g.after(601*ms).reportPosition(2, 100*ms) }, true,
			func(g *gateway) clock.Micros { return g.now + 700*ms }},
		{"bounded read, servers check", boundedRead, 2, func(s *policy.Settings) { s.FreshnessCheck = policy.FreshnessCheckWait },
			func(g *gateway) { g.after(5000 * ms) }, true, nil},
		{"session read, nothing written", sessionRead, 2, nil, nil, true, nil},
		{"session read, its session is writing", sessionRead, 2, nil, func(g *gateway) { g.arriveInSession("w", nonIdempotentWrite, 9) }, false, nil},
		{"session read, its session has written", sessionRead, 2, nil, func(g *gateway) {
			g.arriveInSession("w", nonIdempotentWrite, 9)
			g.outcome("w", 0, 1, policy.ResultOK)
		}, false, nil},
		{"session read, another session has written", sessionRead, 2, nil, func(g *gateway) {
			g.arriveInSession("w", nonIdempotentWrite, 8)
			g.outcome("w", 0, 1, policy.ResultOK)
		}, true, nil},
		{"fresh read", freshRead, 1, nil, nil, true, nil},
		{"fresh read, the primary is lost", freshRead, 1, nil, func(g *gateway) { g.reportHealth(1, policy.RoleReplica, g.now) }, false, nil},
		{"fresh read, another primary", freshRead, 1, nil, func(g *gateway) { g.reportHealth(2, policy.RolePrimary, g.now) }, false, nil},
		{"write, another primary", nonIdempotentWrite, 1, nil, func(g *gateway) { g.reportHealth(2, policy.RolePrimary, g.now) }, false, nil},
		{"write, no primary is known", nonIdempotentWrite, 1, nil, func(g *gateway) { g.reportHealth(1, policy.RoleReplica, g.now) }, true, nil},
		{"client is gone", anyRead, 2, nil, func(g *gateway) { g.step(policy.ClientDisconnected{ID: "x"}) }, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			if c.settings != nil {
				c.settings(&set)
			}
			g := newGateway(t, set)
			g.group(2)
			g.reportPosition(1, 0)
			g.reportPosition(2, 0)
			g.arriveInSession("x", c.class, 9)
			g.wantSent("x", c.server)
			g.after(late)
			if c.meanwhile != nil {
				c.meanwhile(g)
			}
			until, ok := g.r.Confirm(g.now, "x", 0)
			want := clock.Micros(0)
			if c.until != nil {
				want = c.until(g)
			}
			if ok != c.want || ok && until != want {
				t.Errorf("confirmed %v until %d, want %v until %d", ok, until, c.want, want)
			}
		})
	}
}

// A read that may not begin goes to the primary at once, without a retry token, and counts nothing against the replica.
func TestReadThatMayNotBeginIsPlacedAgain(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	g.reportPosition(2, 700*ms)
	g.arrive("x", boundedRead)
	g.wantSent("x", 2)
	g.after(150 * ms).step(policy.Outcome{ID: "x", Server: 2, Result: policy.ResultNotSent, Execution: policy.ExecutionNone})
	g.wantSent("x", 1)
}

// TestUnstatedPositions guards against session reads that are left to a server's own check although the statement does not state the
// position that they need, such as the mark of a write through another gateway (incident of 2026-12-06, marks of other gateways).
func TestUnstatedPositions(t *testing.T) {
	const read, lag = 100 * ms, 200 * ms // how old the written position is, and how far the replica is known to be behind
	for _, c := range []struct {
		name             string
		stated, unstated clock.Micros // ages of the positions; 0: none
		checksSession    bool
		lag              clock.Micros
		remembered       policy.ServerID // the server that gets the read if servers check, sessions are remembered, and the session has written
		want             policy.ServerID // the same if the session has written nothing through this gateway
	}{
		{"no position", 0, 0, false, lag, 2, 2},
		{"stated, the server checks", read, 0, false, lag, 2, 2},
		{"unstated, replica behind", 0, read, false, lag, 1, 1},
		{"unstated, replica ahead", 0, read, false, read - 1, 2, 2},
		{"unstated and earlier than stated", read, lag, false, lag + 1, 2, 2},
		{"unstated and later than stated", lag, read, false, lag, 1, 1},
		{"unstated, replica without a known position", 0, read, false, 0, 1, 1},
		{"unknown: all up to now", 0, 1, false, 1, 2, 2},
		{"unknown, replica behind", 0, 1, false, 2, 1, 1},
		{"session checked by the router", 0, 0, true, lag, 1, 2},
		{"session checked by the router, replica ahead", 0, 0, true, read - 1, 2, 2},
	} {
		for _, check := range []policy.FreshnessCheck{policy.FreshnessCheckReject, policy.FreshnessCheckWait} {
			for _, carried := range []bool{false, true} {
				for _, written := range []bool{false, true} {
					t.Run(fmt.Sprint(c.name, ", check ", check, ", carried ", carried, ", written ", written), func(t *testing.T) {
						set := settings()
						set.FreshnessCheck, set.SessionPositionsCarried = check, carried
						g := newGateway(t, set)
						g.group(2)
						if written {
							g.arriveInSession("w", nonIdempotentWrite, 9)
							g.step(policy.Outcome{ID: "w", Server: 1, Final: true, Latency: 50 * ms, Role: policy.RolePrimary, Position: g.now})
						}
						g.after(read).reportPosition(1, 0)
						if c.lag > 0 {
							g.reportPosition(2, c.lag)
						}
						g.step(policy.Arrival{
							ID: "r", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, Session: 9, HasSession: true,
							SinceWrite: c.stated, SinceUnstatedWrite: c.unstated, RouterChecksSession: c.checksSession,
						})
						for _, checked := range healthChecksOf(g.acts) {
							g.wantSent("r")
							g.step(policy.HealthCheckEnded{Server: checked, Result: policy.ResultOK, LoadReport: policy.LoadReport{
								Position: g.now - c.lag, HasPosition: c.lag > 0, Role: policy.RoleReplica,
							}})
						}
						want := c.want
						if written && !carried {
							want = c.remembered
						}
						g.wantSent("r", want)
						if _, ok := g.r.Confirm(g.now, "r", 0); !ok {
							t.Error("the attempt may not begin")
						}
					})
				}
			}
		}
	}
}

// A session read whose position no replica is known to have waits for a health check of its session's replica, but only if the check may
// help. Without it, the primary would get all such reads where little traffic leaves the known positions old.
func TestSessionReadAwaitsHealthCheck(t *testing.T) {
	for _, check := range []policy.FreshnessCheck{policy.FreshnessCheckNone, policy.FreshnessCheckWait} {
		set := settings()
		set.FreshnessCheck = check
		g := newGateway(t, set)
		g.group(4)
		g.reportPosition(1, 0)
		read := func(id string, session uint64, age clock.Micros) []policy.ServerID {
			return healthChecksOf(g.step(policy.Arrival{
				ID: id, Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, Session: session, HasSession: true, SinceUnstatedWrite: age, RouterChecksSession: true,
			}))
		}
		used := map[policy.ServerID]bool{}
		for session := range uint64(30) {
			g.after(1000 * ms)
			first := fmt.Sprint("first", session)
			asked := read(first, session, 200*ms)
			if len(asked) != 1 {
				t.Fatalf("checked %v", asked)
			}
			g.after(2*ms).reportPosition(asked[0], 6*ms)
			g.wantSent(first, asked[0])
			g.outcome(first, 0, asked[0], policy.ResultOK)
			used[asked[0]] = true
			g.after(1000 * ms)
			again := fmt.Sprint("again", session)
			if next := read(again, session, 200*ms); len(next) != 1 || next[0] != asked[0] {
				t.Errorf("checked %v, the session's replica is %d", next, asked[0])
			}
			for next := asked; len(next) > 0; next = healthChecksOf(g.acts) {
				g.wantSent(again)
				g.after(2*ms).reportPosition(next[0], 2000*ms)
			}
			g.wantSent(again, 1)
			g.outcome(again, 0, 1, policy.ResultOK)
		}
		if len(used) != 3 {
			t.Errorf("30 sessions used only %d of 3 replicas", len(used))
		}
	}
}

// The health checks for session reads do not go on at the rate of the reads while a replica is behind, and a replica that has caught up is found.
func TestSessionReadsOfALaggingReplica(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	lagging := func(ago clock.Micros, reads int) (checks, atReplica int) {
		for range reads {
			g.after(10 * ms)
			id := fmt.Sprint(g.now)
			asked := healthChecksOf(g.step(policy.Arrival{ID: id, Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, SinceUnstatedWrite: 200 * ms}))
			checks += len(asked)
			if len(asked) > 0 {
				g.reportPosition(2, ago)
			}
			to := sent(g.acts, id)
			if len(to) != 1 {
				t.Fatalf("%s was sent to %v", id, to)
			}
			g.outcome(id, 0, to[0], policy.ResultOK)
			if to[0] == 2 {
				atReplica++
			}
		}
		return checks, atReplica
	}
	if checks, atReplica := lagging(3000*ms, 1000); checks > 20 || atReplica > 0 {
		t.Errorf("while the replica was behind: %d health checks, %d reads at the replica, of 1000 reads in 10 s", checks, atReplica)
	}
	if checks, atReplica := lagging(6*ms, 1000); atReplica < 800 {
		t.Errorf("after the replica had caught up: %d health checks, %d reads at the replica, of 1000 reads in 10 s", checks, atReplica)
	}
}

// A read that needs an unstated position is placed again if its session writes while it waits for a connection, also where servers check.
func TestUnstatedPositionIsConfirmed(t *testing.T) {
	for checksSession, want := range map[bool]bool{false: true, true: false} {
		set := settings()
		set.FreshnessCheck = policy.FreshnessCheckWait
		g := newGateway(t, set)
		g.group(2)
		g.reportPosition(1, 0)
		g.reportPosition(2, 0)
		g.step(policy.Arrival{ID: "r", Class: sessionRead, Group: 1, TimeLeft: 2000 * ms, Session: 9, HasSession: true, RouterChecksSession: checksSession})
		g.wantSent("r", 2)
		g.after(10*ms).arriveInSession("w", nonIdempotentWrite, 9)
		g.after(10*ms).outcome("w", 0, 1, policy.ResultOK)
		if _, ok := g.r.Confirm(g.now, "r", 0); ok != want {
			t.Errorf("checked by the router %v: confirmed %v", checksSession, ok)
		}
	}
}
