package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// A waiting request that cannot be answered within its objective any more is given up at once, because it would
// only time out if it were sent.
func TestInfeasibleIsNotSent(t *testing.T) {
	set := settings()
	set.CanSendRetryAfter = true
	g := newGateway(t, set)
	g.group(2)
	g.reportPosition(1, 0)
	for i := range 60 {
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
	g.wantEnd(waiting, "reject")
	for _, a := range g.acts {
		if r, ok := a.(policy.Reject); ok && r.ID == waiting && r.RetryAfter != set.MaxRetryAfter {
			t.Errorf("retry advice of %d us, want the maximum", r.RetryAfter)
		}
	}
}

// While the primary has no spare capacity, the request with the higher priority weight is sent first.
func TestHighestPriorityFirst(t *testing.T) {
	set := settings()
	set.Classes[nonIdempotentWrite].PriorityWeight = 3000
	g := newGateway(t, set)
	g.group(2)
	g.reportPosition(1, 0)
	n := 0
	for ; ; n++ {
		if len(sent(g.arrive(fmt.Sprint("f", n), freshRead), fmt.Sprint("f", n))) == 0 {
			break
		}
	}
	g.after(ms).arrive("w", nonIdempotentWrite)
	g.wantSent("w")
	g.after(ms).outcome("f0", 0, 1, policy.ResultOK)
	g.wantSent("w", 1)
}

// A request with less time left than the expected latency is still sent to a server with capacity: rejecting it
// would keep clients with short timeouts away from idle servers. Without capacity, or with too little time, it is
// rejected at once.
func TestShortDeadlinesUseIdleServers(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	for i := range 60 { // an answer usually takes about 100 ms
		id := fmt.Sprint("w", i)
		to := sent(g.arrive(id, anyRead), id)
		if len(to) != 1 {
			t.Fatalf("%s: %v", id, g.acts)
		}
		g.after(100 * ms).step(policy.Outcome{ID: id, Server: to[0], Final: true, Latency: 100 * ms})
	}
	arriveWithTimeLeft := func(id string, left clock.Micros) []policy.Action {
		return g.step(policy.Arrival{ID: id, Class: anyRead, Group: 1, TimeLeft: left})
	}
	arriveWithTimeLeft("hopeless", 40*ms)
	g.wantSent("hopeless")
	g.wantEnd("hopeless", "reject")
	full := 0
	for ; len(sent(arriveWithTimeLeft(fmt.Sprint("h", full), 120*ms), fmt.Sprint("h", full))) == 1; full++ {
	}
	if full == 0 {
		t.Error("a request with little time left was not sent to an idle server")
	}
	g.wantEnd(fmt.Sprint("h", full), "reject")
	g.arrive("patient", anyRead)
	g.wantSent("patient")
	g.wantEnd("patient", "")
}
