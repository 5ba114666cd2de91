package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// A server that rejects at once for overload looks idle. It must get fewer requests, not more.
func TestQuickRejectionsDoNotAttract(t *testing.T) {
	g := newGateway(t, settings())
	g.group(4)
	tries := 0
	for i := range 200 {
		tries += g.after(5*ms).readWithFaultyServer(fmt.Sprint("q", i), 2, policy.ResultOverloaded)
	}
	if tries == 0 || tries > 12 {
		t.Errorf("%d attempts of 200 requests went to the overloaded server", tries)
	}
}

// Slow answers lower the limit of attempts in flight at a server; quick answers raise it again.
func TestLimitFollowsLatency(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	run := func(tag string, latency clock.Micros) int {
		for i := range 200 {
			id := fmt.Sprint(tag, i)
			if len(sent(g.after(100*ms).arrive(id, freshRead), id)) == 1 {
				g.step(policy.Outcome{ID: id, Server: 1, Final: true, Latency: latency})
			}
		}
		out := 0
		for i := range 40 {
			id := fmt.Sprint(tag, "-burst", i)
			out += len(sent(g.arrive(id, freshRead), id))
		}
		for i := range 40 {
			g.step(policy.Outcome{ID: fmt.Sprint(tag, "-burst", i), Server: 1, Final: true, Latency: latency})
			g.step(policy.ClientDisconnected{ID: fmt.Sprint(tag, "-burst", i)})
		}
		return out
	}
	before := run("a", 60*ms)
	slow := run("b", 390*ms)
	if slow*2 > before || slow < 1 {
		t.Errorf("%d attempts in flight after quick answers, %d after slow ones", before, slow)
	}
}

// oneOfManyGateways returns one of 200 gateways, with a single replica and no primary.
func oneOfManyGateways(t *testing.T) *gateway {
	set := settings()
	set.Gateways = 200
	g := newGateway(t, set)
	g.group(2)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{{Server: 1, Group: 1, State: policy.EndpointRemoved}}})
	return g
}

// Where hundreds of gateways each send little, a limit far below one attempt must recover after a few quick
// answers. When each answer raised it only by a fraction of itself, recovery took dozens of answers, each seconds
// apart, and reads were rejected while servers were idle.
func TestSmallLimitsRecover(t *testing.T) {
	g := oneOfManyGateways(t)
	read := func(n int, took clock.Micros) (to int) {
		for i := range n {
			id := fmt.Sprint("q", took, i)
			if len(sent(g.after(200*ms).arrive(id, anyRead), id)) == 1 {
				to++
				g.step(policy.Outcome{ID: id, Server: 2, Final: true, Latency: took})
			}
		}
		return to
	}
	read(60, 390*ms)
	if n := read(100, 20*ms); n < 50 {
		t.Errorf("%d of 100 reads went to a replica that answers quickly again", n)
	}
}

// A limit that has not been cut for a long time is doubled, not reset. With resets, hundreds of gateways with few
// outcomes each would reset their limits every few seconds, and together keep an overloaded server full of work
// that times out.
func TestSmallLimitsAreNotResetAtOnce(t *testing.T) {
	g := oneOfManyGateways(t)
	for i := range 60 {
		id := fmt.Sprint("slow", i)
		if len(sent(g.after(200*ms).arrive(id, anyRead), id)) == 1 {
			g.step(policy.Outcome{ID: id, Server: 2, Final: true, Latency: 390 * ms})
		}
	}
	went := func(span clock.Micros) (n int) { // the requests end before their latency is observed
		g.sweep(span)
		for i := range 100 {
			id := fmt.Sprint("r", g.now, i)
			if len(sent(g.arrive(id, anyRead), id)) == 1 {
				n++
				g.step(policy.ClientDisconnected{ID: id})
				g.step(policy.Outcome{ID: id, Server: 2, Result: policy.ResultError, Final: true})
			}
		}
		return n
	}
	if n := went(3300 * ms); n == 0 || n > 50 {
		t.Errorf("%d of 100 requests were sent after one doubling", n)
	}
	for range 4 {
		g.sweep(3300 * ms)
	}
	if n := went(3300 * ms); n < 60 {
		t.Errorf("%d of 100 requests were sent after six doublings", n)
	}
}
