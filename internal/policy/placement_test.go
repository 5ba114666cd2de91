package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Each class goes to the right server, and a replica serves a read only if its data is fresh enough.
func TestPlacementByClass(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		lag    clock.Micros // of the only replica, server 2
		checks policy.FreshnessCheck
		want   policy.ServerID
	}{
		{"write to the primary", nonIdempotentWrite, 0, policy.FreshnessCheckNone, 1},
		{"fresh read to the primary", freshRead, 0, policy.FreshnessCheckNone, 1},
		{"any read to a replica", anyRead, 0, policy.FreshnessCheckNone, 2},
		{"any read to a lagging replica", anyRead, 5000 * ms, policy.FreshnessCheckNone, 2},
		{"bounded read to a fresh replica", boundedRead, 700 * ms, policy.FreshnessCheckNone, 2},
		{"bounded read at the bound", boundedRead, 800 * ms, policy.FreshnessCheckNone, 2},
		{"past the bound, servers check: the replica furthest ahead", boundedRead, 801 * ms, policy.FreshnessCheckReject, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.FreshnessCheck = c.checks
			g := newGateway(t, set)
			g.group(2)
			g.reportPosition(1, 0)
			g.reportPosition(2, c.lag)
			g.arrive("q", c.class)
			g.wantSent("q", c.want)
		})
	}
}

// If servers check freshness, the replica furthest ahead is tried first.
func TestReplicaFurthestAheadFirst(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckWait
	g := newGateway(t, set)
	g.group(4)
	g.reportPosition(2, 5000*ms)
	g.reportPosition(3, 2000*ms)
	g.reportPosition(4, 9000*ms)
	g.arrive("q", boundedRead)
	g.wantSent("q", 3)
	// Server 3 rejects the read: the next one ahead is tried, and other reads avoid 3 for a while too.
	g.outcome("q", 0, 3, policy.ResultMisdirected)
	g.wantSent("q", 2)
	g.arrive("r", boundedRead)
	g.wantSent("r", 2)
}

// Load reports may be late: positions look old although the data is current. If servers check freshness, only a
// rejected read excludes a replica.
func TestOldPositionsDoNotSendReadsToThePrimary(t *testing.T) {
	set := settings()
	set.FreshnessCheck = policy.FreshnessCheckWait
	g := newGateway(t, set)
	g.group(3)
	g.reportPosition(1, 0)
	g.reportPosition(2, 4000*ms)
	g.reportPosition(3, 4000*ms)
	for i := range 10 {
		id := fmt.Sprint("q", i)
		g.after(20*ms).arrive(id, boundedRead)
		got := sent(g.acts, id)
		if len(got) != 1 || got[0] == 1 {
			t.Fatalf("%s went to %v, want a replica", id, got)
		}
		g.outcome(id, 0, got[0], policy.ResultOK)
	}
	// When both replicas have rejected the read, the primary takes it, and later reads at once.
	g.arrive("m", boundedRead)
	first := sent(g.acts, "m")[0]
	g.outcome("m", 0, first, policy.ResultMisdirected)
	g.outcome("m", 1, 5-first, policy.ResultMisdirected)
	g.wantSent("m", 1)
	g.arrive("n", boundedRead)
	g.wantSent("n", 1)
}

// If crossing zones has a cost, replicas of the gateway's own zone are used first. When their latency nears the
// objective, replicas of other zones are used too.
func TestOwnZoneFirst(t *testing.T) {
	for _, cost := range []int64{0, 49} {
		set := settings()
		set.Zone, set.CrossZoneCost = "east", cost
		g := newGateway(t, set)
		var list []policy.Endpoint
		for id := policy.ServerID(1); id <= 5; id++ {
			m := endpoint(id, id == 1)
			if m.Zone = "west"; id == 3 || id == 4 {
				m.Zone = "east"
			}
			list = append(list, m)
		}
		g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: list})
		read := func(n int, took clock.Micros) (east, west int) {
			for i := range n {
				id := fmt.Sprint("q", cost, took, i)
				to := sent(g.after(20*ms).arrive(id, anyRead), id)
				if len(to) != 1 {
					continue
				}
				latency := 20 * ms
				if to[0] == 3 || to[0] == 4 {
					east, latency = east+1, took
				} else {
					west++
				}
				g.step(policy.Outcome{ID: id, Server: to[0], Final: true, Latency: latency})
			}
			return east, west
		}
		east, west := read(60, 20*ms)
		if cost == 0 && (east == 0 || west == 0) || cost > 0 && west > 0 {
			t.Errorf("cost %d: %d reads in the zone, %d out of it", cost, east, west)
		}
		if _, west = read(200, 395*ms); west < 60 {
			t.Errorf("cost %d: only %d of 200 reads left an overloaded zone", cost, west)
		}
	}
}

// Reads that take longer than the smallest bound go to the same half of the replicas at every gateway, whatever
// its seed, because a replica may apply nothing while it runs one. If no replica of that half is left, they go to
// the others.
func TestLongReadsTakeEveryOtherReplica(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	used := map[policy.ServerID]int{}
	for seed := range uint64(20) {
		g := newGateway(t, set)
		g.r, _ = policy.New(g.now, seed, set)
		g.group(5)
		for id := policy.ServerID(1); id <= 5; id++ {
			g.reportPosition(id, 0)
		}
		for n := range 4 {
			id := fmt.Sprint("q", n)
			for _, s := range sent(g.arrive(id, anyRead), id) {
				used[s]++
			}
		}
	}
	if len(used) != 2 || used[3] == 0 || used[5] == 0 {
		t.Errorf("long reads went to %v", used)
	}
	g := newGateway(t, set)
	g.group(5)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
		{Server: 3, Group: 1, State: policy.EndpointDraining}, {Server: 5, Group: 1, State: policy.EndpointDraining},
		{Server: 4, Group: 1, State: policy.EndpointDraining},
	}})
	g.arrive("q", anyRead)
	g.wantSent("q", 2)
}

// A long read waits for its half of the replicas rather than stop replication at another one. The primary may
// serve it, because its data is always current.
func TestLongReadsStayOnTheirReplicas(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	set.Gateways = 12 // the initial limit is one attempt at a server
	g := newGateway(t, set)
	g.group(3)
	for id := policy.ServerID(1); id <= 3; id++ {
		g.reportPosition(id, 0)
	}
	g.arrive("a", anyRead)
	g.wantSent("a", 3)
	g.arrive("w", nonIdempotentWrite) // fills the primary
	g.wantSent("w", 1)
	g.arrive("b", anyRead)
	g.wantSent("b")
	g.arrive("c", boundedRead)
	g.wantSent("c", 2)
	g.outcome("a", 0, 3, policy.ResultOK)
	g.wantSent("b", 3)
}

// healthChecksOf returns the servers whose health the actions check.
func healthChecksOf(acts []policy.Action) (out []policy.ServerID) {
	for _, a := range acts {
		if p, ok := a.(policy.HealthCheck); ok {
			out = append(out, p.Server)
		}
	}
	return out
}

// A bounded read that finds no fresh replica has the one furthest ahead checked, and goes there on its report.
// All waiting reads share the check. Otherwise hundreds of gateways that each know only old positions would fill
// the primary with reads.
func TestBoundedReadChecksAReplicaFirst(t *testing.T) {
	g := newGateway(t, settings())
	g.group(4)
	for id, ago := range []clock.Micros{0, 900 * ms, 850 * ms, 1000 * ms} {
		g.reportPosition(policy.ServerID(id+1), ago)
	}
	g.after(10 * ms)
	if asked := healthChecksOf(g.arrive("a", boundedRead)); len(asked) != 1 || asked[0] != 3 {
		t.Fatalf("checked %v, not the one furthest ahead", asked)
	}
	g.wantSent("a")
	if asked := healthChecksOf(g.arrive("b", boundedRead)); len(asked) != 0 {
		t.Fatalf("a second read checked %v", asked)
	}
	g.after(5*ms).reportPosition(3, 100*ms)
	g.wantSent("a", 3)
	g.wantSent("b", 3)
	g.outcome("a", 0, 3, policy.ResultOK)
	g.arrive("c", boundedRead) // the position is still fresh enough
	g.wantSent("c", 3)
}

// A replica found to be behind is not checked again for the same read. The primary takes the read when no replica
// is left, or when the wait for a report has taken too long.
func TestBoundedReadFallsBackToThePrimary(t *testing.T) {
	g := newGateway(t, settings())
	g.group(3)
	g.reportPosition(1, 0)
	g.after(10 * ms)
	g.arrive("a", boundedRead)
	for n := range 2 {
		asked := healthChecksOf(g.acts)
		if len(asked) != 1 {
			t.Fatalf("step %d: checked %v", n, asked)
		}
		g.after(5*ms).reportPosition(asked[0], 2000*ms)
	}
	g.wantSent("a", 1)

	g.after(1000 * ms)
	g.arrive("b", boundedRead)
	if asked := healthChecksOf(g.acts); len(asked) != 1 {
		t.Fatalf("checked %v", asked)
	}
	all := len(g.all)
	for range 8 { // no report comes
		g.sweep(25 * ms)
	}
	if to := sent(g.all[all:], "b"); len(to) != 1 || to[0] != 1 {
		t.Errorf("without a report it went to %v", to)
	}
}

// The number of health checks of lagging replicas is bounded, however many reads there are.
func TestHealthChecksAreShared(t *testing.T) {
	g := newGateway(t, settings())
	g.group(5)
	g.reportPosition(1, 0)
	checks := 0
	for n := range 200 {
		checks += len(healthChecksOf(g.arrive(fmt.Sprint("q", n), boundedRead)))
	}
	if checks != 1 {
		t.Errorf("%d health checks for 200 reads at once", checks)
	}
}
