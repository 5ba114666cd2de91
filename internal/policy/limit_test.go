package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// A server that rejects for overload in no time looks idle. It must be left alone, not draw more.
func TestQuickRejectionsDoNotAttract(t *testing.T) {
	g := newGateway(t, settings())
	g.group(4)
	tries := 0
	for i := range 200 {
		tries += g.after(5*ms).readPast(fmt.Sprint("q", i), 2, policy.ResultOverloaded)
	}
	if tries == 0 || tries > 12 {
		t.Errorf("%d of 200 requests met the server that is full", tries)
	}
}

// Slow answers lower what may be in flight at a server; quick ones raise it again.
func TestLimitFollowsLatency(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.fresh(1, 0)
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
		t.Errorf("%d in flight at once while quick, %d after slow answers", before, slow)
	}
}

// oneOfManyGateways is one of 200 gateways, with a single replica.
func oneOfManyGateways(t *testing.T) *gateway {
	set := settings()
	set.Gateways = 200
	g := newGateway(t, set)
	g.group(2)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{{Server: 1, Group: 1, State: policy.EndpointRemoved}}})
	return g
}

// Where hundreds of gateways each see little, a limit far below one attempt recovers after a few quick
// answers: grown by a part of itself it took dozens, seconds apart each, and reads were rejected beside idle
// servers.
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

// A limit that was not cut for long is doubled, not reset: of hundreds of gateways with few outcomes each
// would reset every few seconds, and all together they would keep an overloaded server full of work that
// times out.
func TestSmallLimitsAreNotResetAtOnce(t *testing.T) {
	g := oneOfManyGateways(t)
	for i := range 60 {
		id := fmt.Sprint("slow", i)
		if len(sent(g.after(200*ms).arrive(id, anyRead), id)) == 1 {
			g.step(policy.Outcome{ID: id, Server: 2, Final: true, Latency: 390 * ms})
		}
	}
	went := func(span clock.Micros) (n int) { // whose requests end before they tell anything
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
		t.Errorf("%d of 100 requests went after one span", n)
	}
	for range 4 {
		g.sweep(3300 * ms)
	}
	if n := went(3300 * ms); n < 60 {
		t.Errorf("%d of 100 requests went after six spans", n)
	}
}
