package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Broken connections do not mark a server as down while its health checks succeed. Otherwise the other servers
// would have to carry its load, and a whole group would seem to restart again and again.
func TestBrokenConnectionsDoNotMarkDown(t *testing.T) {
	g := newGateway(t, settings())
	g.group(3)
	used := map[policy.ServerID]int{}
	for i := range 200 {
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
				g.reportPosition(p.Server, 0)
			}
		}
	}
	if used[2] < 60 || used[3] < 60 {
		t.Errorf("200 reads over two replicas, one in five reset: %v", used)
	}
}

func TestSilentServerIsCheckedAndLeft(t *testing.T) {
	g := newGateway(t, settings())
	g.group(3)
	g.reportPosition(1, 0)
	g.reportPosition(2, 0)
	g.reportPosition(3, 0)
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
					g.reportPosition(a.Server, 0)
				}
			}
		}
	}
	if !cancelled {
		t.Fatal("the read was not cancelled at a server that answers neither the read nor health checks")
	}
	g.outcome("q", 0, set, policy.ResultCancelled)
	if got := sent(g.acts, "q"); len(got) != 1 || got[0] == set {
		t.Errorf("retried at %v after %d", got, set)
	}
}

// readFor plays reads of one group, each answered at once, and answers every health check. It returns the number
// of checks by server.
func (g *gateway) readFor(span, gap clock.Micros) map[policy.ServerID]int {
	checks := map[policy.ServerID]int{}
	for t, n := clock.Micros(0), 0; t < span; t += 25 * ms {
		if gap > 0 && t%gap == 0 {
			id := fmt.Sprint("r", g.now, n)
			for _, s := range sent(g.arrive(id, boundedRead), id) {
				g.outcome(id, 0, s, policy.ResultOK)
			}
		}
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok {
				checks[p.Server]++
				g.reportPosition(p.Server, 0)
			}
		}
	}
	return checks
}

func TestHealthChecksKeepPositionsWithinHalfTheBound(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckReject
	g := newGateway(t, set)
	g.group(3)
	at := g.readFor(10_000*ms, 50*ms)
	for id := policy.ServerID(2); id <= 3; id++ {
		if n := at[id]; n < 17 || n > 26 { // ten seconds, half of an 800 ms bound
			t.Errorf("server %d checked %d times in 10 s", id, n)
		}
	}
	if at[1] > 1 {
		t.Errorf("the known primary was checked %d times", at[1])
	}
	// A server that does not answer a health check gets no second one at the same time.
	n := 0
	for i := range 100 {
		g.arrive(fmt.Sprint("u", i), boundedRead)
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
				n++
			}
		}
	}
	if n != 1 {
		t.Errorf("%d health checks in flight at once", n)
	}
}

// Hundreds of gateways that each check for freshness at the full rate would send more health checks than
// requests.
func TestHealthChecksDoNotOutnumberRequests(t *testing.T) {
	for _, gap := range []clock.Micros{0, 5000 * ms, 1000 * ms, 200 * ms} {
		set := settings()
		set.FreshnessCheck = policy.FreshnessCheckReject
		g := newGateway(t, set)
		g.group(6)
		total, reads := 0, 0
		for _, n := range g.readFor(20_000*ms, gap) {
			total += n
		}
		if gap > 0 {
			reads = int(20_000 * ms / gap)
		}
		if total > reads {
			t.Errorf("one read per %d ms: %d health checks for %d reads", gap/ms, total, reads)
		}
		if reads > 0 && total == 0 {
			t.Errorf("one read per %d ms: no health check at all", gap/ms)
		}
	}
}

// Servers that are down are checked no more often than the tokens from arrivals allow. Otherwise hundreds of
// gateways would check each of them forever.
func TestHealthChecksOfDownServersArePaidByArrivals(t *testing.T) {
	g := newGateway(t, settings())
	g.group(3)
	checks := 0
	for i := range 2400 { // one minute, one read per second
		if i%40 == 0 {
			id := fmt.Sprint("d", i)
			for n := range 3 {
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
				checks++
				g.step(policy.HealthCheckEnded{Server: 3, Result: policy.ResultConnectFailed})
				continue
			}
			g.reportPosition(p.Server, 0)
		}
	}
	if checks < 5 || checks > 40 {
		t.Errorf("%d health checks of a server that is down in a minute with 60 arrivals", checks)
	}
}

// One class with a long objective does not slow down the router: a server that is down is checked again at
// intervals that follow the shorter objectives.
func TestLongObjectiveDoesNotDelayHealthChecks(t *testing.T) {
	asked := func(longest clock.Micros) int {
		set := settings()
		set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = longest, 2*longest
		g := newGateway(t, set)
		g.group(3)
		for range 2 {
			g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultTimeout})
		}
		n := 0
		for i := range 800 { // 20 s
			g.arrive(fmt.Sprint("q", i), freshRead)
			g.outcome(fmt.Sprint("q", i), 0, 1, policy.ResultOK)
			for _, s := range healthChecksOf(g.sweep(25 * ms)) {
				if s == 2 {
					n++
					g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultTimeout})
				}
			}
		}
		return n
	}
	if short, long := asked(1200*ms), asked(60_000*ms); long*2 < short {
		t.Errorf("checked %d times with an objective of 1.2 s, %d times with one of 60 s", short, long)
	}
}
