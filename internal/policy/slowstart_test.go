package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// A server in slow start gets no more than the budget of an overload window allows, whatever the results of its
// attempts and however quickly they end.
func TestSlowStartBudget(t *testing.T) {
	for _, res := range []policy.Result{policy.ResultMisdirected, policy.ResultError, policy.ResultOK} {
		t.Run(fmt.Sprint(res), func(t *testing.T) {
			set := settings()
			g := newGateway(t, set)
			g.group(3)
			// The budget must hold although this gateway has measured nothing yet.
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
						// Each warm server answers about eight requests per window.
						if i%25 == 0 {
							g.outcome(id, k, got[0], policy.ResultOK)
						}
						break
					}
				}
			}
			// A warm server gives at most 16 answers per window. The factor is 3, and the weight at most a half.
			if limit := 16 * 3 / 2; n == 0 || n > limit {
				t.Errorf("%d sends to a server in slow start within a window, want 1 to %d", n, limit)
			}
		})
	}
}

// The budget of a server in slow start counts work, not sends: a request that takes twenty times the usual counts
// twenty times. If each counted as one, the long reads, which go to few servers, would overload a server that has
// just started.
func TestSlowStartBudgetCountsWork(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	set.Gateways = 12
	g := newGateway(t, set)
	g.group(3) // server 3 gets the long reads
	g.reportPosition(1, 0)
	end := func(id string, to policy.ServerID, took clock.Micros) {
		g.step(policy.Outcome{ID: id, Server: to, Final: true, Latency: took})
	}
	for n := range 400 { // 20 s: twenty short reads and one long read per second
		g.after(50*ms).reportPosition(2, 0)
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
	for n := range 40 { // one overload window
		id := fmt.Sprint("c", n)
		if to := sent(g.after(50*ms).arrive(id, anyRead), id); len(to) == 1 && to[0] == 3 {
			long++
			end(id, 3, 1000*ms)
		}
	}
	// On average a server does at most 2 s of work for this gateway per window; the budget is a quarter of it, times three.
	if long > 2 {
		t.Errorf("%d s of work sent to a server that has just started", long)
	}
}

// A server that could not be reached may have restarted, so it enters slow start even if no list reports a
// restart.
func TestServerBackFromDownIsInSlowStart(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	g.arrive("q", anyRead)
	g.wantSent("q", 2)
	g.outcome("q", 0, 2, policy.ResultConnectFailed)
	g.arrive("r", anyRead)
	g.wantSent("r", 1) // the primary takes it during the back-off from the replica
	probed := false
	for _, a := range g.sweep(25 * ms) {
		if p, ok := a.(policy.HealthCheck); ok && p.Server == 2 {
			probed = true
		}
	}
	if !probed {
		t.Error("no health check of a server that could not be reached")
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
		t.Errorf("%d health checks after a failed one, want 1: a single failure may be due to packet loss", again)
	}
	g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultConnectFailed})
	g.after(400*ms).arrive("still", anyRead)
	g.wantSent("still", 1)
	g.reportPosition(2, 0)
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
		t.Errorf("%d attempts in flight at a server that has just recovered, want 1", at2)
	}
}

// A server may be unreachable only from one gateway. If it has applied the log in the meantime, it has not
// restarted and skips slow start. If its position is behind when it is back, it enters slow start.
func TestUnreachableServerSkipsSlowStart(t *testing.T) {
	sends := func(ago clock.Micros) int {
		set := settings()
		set.Gateways = 12
		g := newGateway(t, set)
		g.group(2)
		g.reportPosition(1, 0)
		g.reportPosition(2, 0)
		for range 2 {
			g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultReset})
		}
		g.after(3000*ms).reportPosition(2, ago)
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
		t.Errorf("%d of 100 reads were sent to a replica that kept running", n)
	}
	if n := sends(3500 * ms); n > 30 {
		t.Errorf("%d of 100 reads in a second were sent to a replica that came back behind", n)
	}
}
