package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// A server in slow start takes what an overload window allows, whatever comes back and however quickly.
func TestSlowStartBudget(t *testing.T) {
	for _, res := range []policy.Result{policy.ResultMisdirected, policy.ResultError, policy.ResultOK} {
		t.Run(fmt.Sprint(res), func(t *testing.T) {
			set := settings()
			g := newGateway(t, set)
			g.group(3)
			// This gateway has measured nothing yet: the budget must hold all the same.
			starting := endpoint(3, false)
			starting.Started = g.now
			g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{starting}})
			n := 0
			for i := range 400 {
				id := fmt.Sprint("q", i)
				acts := g.after(5*ms).arrive(id, anyRead)
				for k := range 3 {
					got := sent(acts, id)
					if len(got) == 0 {
						break
					}
					if got[0] == 3 {
						n++
						acts = g.outcome(id, k, 3, res)
					} else {
						// Warm servers answer about eight requests a window each.
						if i%25 == 0 {
							g.outcome(id, k, got[0], policy.ResultOK)
						}
						break
					}
				}
			}
			// A warm server's sixteen answers a window at most, times overload factor and least weight.
			if limit := 16 * 3 / 2; n == 0 || n > limit {
				t.Errorf("%d sends to a server in slow start within a window, want 1 to %d", n, limit)
			}
		})
	}
}

// A server in slow start stands work, not sends: a request that takes twenty times the usual counts twenty
// times. Counted as one each, the long reads that go to few servers would bring a new one down.
func TestSlowStartBudgetCountsWork(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	set.Gateways = 12
	g := newGateway(t, set)
	g.group(3) // 3 takes the long reads
	g.fresh(1, 0)
	end := func(id string, to policy.ServerID, took clock.Micros) {
		g.step(policy.Outcome{ID: id, Server: to, Final: true, Latency: took})
	}
	for n := range 400 { // 20 s: twenty short reads a second, and a long one
		g.after(50*ms).fresh(2, 0)
		id := fmt.Sprint("s", n)
		if len(sent(g.arrive(id, boundedRead), id)) == 1 {
			end(id, sent(g.acts, id)[0], 50*ms)
		}
		if id = fmt.Sprint("l", n); n%20 == 0 && len(sent(g.arrive(id, anyRead), id)) == 1 {
			end(id, sent(g.acts, id)[0], 1000*ms)
		}
	}
	starting := endpoint(3, false)
	starting.Started = g.now
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{starting}})
	long := 0
	for n := range 40 { // an overload window
		id := fmt.Sprint("c", n)
		if to := sent(g.after(50*ms).arrive(id, anyRead), id); len(to) == 1 && to[0] == 3 {
			long++
			end(id, 3, 1000*ms)
		}
	}
	// In the mean a server gives 2 s of work to this gateway in a window at most; a quarter of it, thrice.
	if long > 2 {
		t.Errorf("%d s of work to a server that has just started", long)
	}
}

// A server that could not be reached may have restarted: it is in slow start though no list said so.
func TestServerBackFromDownIsInSlowStart(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.fresh(1, 0)
	g.arrive("q", anyRead)
	g.wantSent("q", 2)
	g.outcome("q", 0, 2, policy.ResultConnectFailed)
	g.arrive("r", anyRead)
	g.wantSent("r", 1) // the primary takes it while the replica is backed off from
	probed := false
	for _, a := range g.sweep(25 * ms) {
		if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
			probed = true
		}
	}
	if !probed {
		t.Error("no health check to tell whether it is down")
	}
	g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultConnectFailed})
	again := 0
	g.after(ms).arrive("u", nonIdempotentWrite)
	for _, a := range g.sweep(25 * ms) {
		if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
			again++
		}
	}
	if again != 1 {
		t.Errorf("%d health checks behind one that failed: a single one may have met a lossy path", again)
	}
	g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultConnectFailed})
	g.after(400*ms).arrive("still", anyRead)
	g.wantSent("still", 1)
	g.fresh(2, 0)
	at2 := 0
	for i := range 20 {
		id := fmt.Sprint("s", i)
		for _, s := range sent(g.after(ms).arrive(id, anyRead), id) {
			if s == 2 {
				at2++
			}
		}
	}
	if at2 != 1 {
		t.Errorf("%d attempts in flight at a server just back, want 1", at2)
	}
}

// Out of reach of one gateway is not out of service: a server that has applied the log meanwhile has not
// restarted, and skips slow start. One that comes back behind is in slow start.
func TestUnreachableServerSkipsSlowStart(t *testing.T) {
	sends := func(ago clock.Micros) int {
		set := settings()
		set.Gateways = 12
		g := newGateway(t, set)
		g.group(2)
		g.fresh(1, 0)
		g.fresh(2, 0)
		for range 2 {
			g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultReset})
		}
		g.after(3000*ms).fresh(2, ago)
		n := 0
		for i := range 100 { // answered at once
			id := fmt.Sprint("q", i)
			to := sent(g.after(10*ms).arrive(id, anyRead), id)
			if len(to) == 1 && to[0] == 2 {
				n++
			}
			if len(to) == 1 {
				g.outcome(id, 0, to[0], policy.ResultOK)
			}
		}
		return n
	}
	if n := sends(50 * ms); n != 100 {
		t.Errorf("%d of 100 reads to a replica that ran all the while", n)
	}
	if n := sends(3500 * ms); n > 30 {
		t.Errorf("%d of 100 reads in a second to one that came back behind", n)
	}
}
