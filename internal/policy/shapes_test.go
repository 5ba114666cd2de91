package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// These tests are of deployments put together otherwise than the first ones: servers that check nothing, lists that
// show no primary, little traffic for each gateway.

func probesOf(acts []policy.Action) (out []policy.ServerID) {
	for _, a := range acts {
		if p, ok := a.(policy.HealthCheck); ok {
			out = append(out, p.Server)
		}
	}
	return out
}

// A bounded read that finds no fresh replica asks the most advanced one and goes there on its report; all that wait
// share the probe. Hundreds of gateways that each know only old positions would otherwise fill the primary with reads.
func TestBoundedReadAsksAReplicaFirst(t *testing.T) {
	g := newRig(t, settings())
	g.group(4)
	for id, ago := range []clock.Micros{0, 900 * ms, 850 * ms, 1000 * ms} {
		g.fresh(policy.ServerID(id+1), ago)
	}
	g.after(10 * ms)
	if asked := probesOf(g.arrive("a", boundedRead)); len(asked) != 1 || asked[0] != 3 {
		t.Fatalf("asked %v, not the most advanced", asked)
	}
	g.wantSent("a")
	if asked := probesOf(g.arrive("b", boundedRead)); len(asked) != 0 {
		t.Fatalf("a second read asked %v", asked)
	}
	g.after(5*ms).fresh(3, 100*ms)
	g.wantSent("a", 3)
	g.wantSent("b", 3)
	g.outcome("a", 0, 3, policy.ResultOK)
	g.arrive("c", boundedRead) // the news still holds
	g.wantSent("c", 3)
}

// Who turns out to be behind is not asked again for the same read; the primary takes it when nobody is left, and when
// an answer is not worth waiting for any longer.
func TestBoundedReadFallsBackToThePrimary(t *testing.T) {
	g := newRig(t, settings())
	g.group(3)
	g.fresh(1, 0)
	g.after(10 * ms)
	g.arrive("a", boundedRead)
	for n := range 2 {
		asked := probesOf(g.acts)
		if len(asked) != 1 {
			t.Fatalf("step %d: asked %v", n, asked)
		}
		g.after(5*ms).fresh(asked[0], 2000*ms)
	}
	g.wantSent("a", 1)

	g.after(1000 * ms)
	g.arrive("b", boundedRead)
	if asked := probesOf(g.acts); len(asked) != 1 {
		t.Fatalf("asked %v", asked)
	}
	all := len(g.all)
	for range 8 { // no report comes
		g.sweep(25 * ms)
	}
	if to := sent(g.all[all:], "b"); len(to) != 1 || to[0] != 1 {
		t.Errorf("without a report it went to %v", to)
	}
}

// However many reads there are, replicas that all lag are asked a bounded number of times.
func TestAsksAreShared(t *testing.T) {
	g := newRig(t, settings())
	g.group(5)
	g.fresh(1, 0)
	probes := 0
	for n := range 200 {
		probes += len(probesOf(g.arrive(fmt.Sprint("q", n), boundedRead)))
	}
	if probes != 1 {
		t.Errorf("%d probes for 200 reads at once", probes)
	}
}

// Reads that take longer than the smallest bound go to the same half of the replicas at every gateway, whatever its seed:
// a replica may apply nothing while it holds one. Without one of that half they go to the others.
func TestLongReadsStandAside(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	used := map[policy.ServerID]int{}
	for seed := range uint64(20) {
		g := newRig(t, set)
		g.r, _ = policy.New(g.now, seed, set)
		g.group(5)
		for id := policy.ServerID(1); id <= 5; id++ {
			g.fresh(id, 0)
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
	g := newRig(t, set)
	g.group(5)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
		{Server: 3, Group: 1, State: policy.EndpointDraining}, {Server: 5, Group: 1, State: policy.EndpointDraining},
		{Server: 4, Group: 1, State: policy.EndpointDraining},
	}})
	g.arrive("q", anyRead)
	g.wantSent("q", 2)
}

// A long read waits for its half rather than hold up the log of another replica; the primary's log stands on its own.
func TestLongReadsKeepToTheirHalf(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	set.Gateways = 12 // one attempt at a server to begin with
	g := newRig(t, set)
	g.group(3)
	for id := policy.ServerID(1); id <= 3; id++ {
		g.fresh(id, 0)
	}
	g.arrive("a", anyRead)
	g.wantSent("a", 3)
	g.arrive("w", unsafeWrite) // fills the primary
	g.wantSent("w", 1)
	g.arrive("b", anyRead)
	g.wantSent("b")
	g.arrive("c", boundedRead)
	g.wantSent("c", 2)
	g.outcome("a", 0, 3, policy.ResultOK)
	g.wantSent("b", 3)
}

// One class with a long aim does not set the pace of all: a server that is down is asked again after times like those
// of the shorter aims.
func TestALongAimSetsNoPace(t *testing.T) {
	asked := func(longest clock.Micros) int {
		set := settings()
		set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = longest, 2*longest
		g := newRig(t, set)
		g.group(3)
		for range 2 {
			g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultTimeout})
		}
		n := 0
		for i := range 800 { // 20 s
			g.arrive(fmt.Sprint("q", i), freshRead)
			g.outcome(fmt.Sprint("q", i), 0, 1, policy.ResultOK)
			for _, s := range probesOf(g.sweep(25 * ms)) {
				if s == 2 {
					n++
					g.step(policy.HealthCheckEnded{Server: 2, Result: policy.ResultTimeout})
				}
			}
		}
		return n
	}
	if short, long := asked(1200*ms), asked(60_000*ms); long*2 < short {
		t.Errorf("asked %d times with an aim of 1.2 s, %d times with one of 60 s", short, long)
	}
}

// A cold server stands work, not sends: a request that takes twenty times the usual counts twenty times. Counted as one
// each, the long reads that go to few servers push a newcomer over.
func TestColdBudgetCountsWork(t *testing.T) {
	set := settings()
	set.Classes[anyRead].LatencyObjective, set.Classes[anyRead].Deadline = 5000*ms, 10_000*ms
	set.Gateways = 12
	g := newRig(t, set)
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
	cold := member(3, false)
	cold.Started = g.now
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{cold}})
	long := 0
	for n := range 40 { // a fall window
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

// Replicas of the own zone are drawn first where crossing has a price, until they are strained; those of the others take
// over when they are.
func TestOwnZoneFirst(t *testing.T) {
	for _, cost := range []int64{0, 49} {
		set := settings()
		set.Zone, set.CrossZoneCost = "east", cost
		g := newRig(t, set)
		var list []policy.Endpoint
		for id := policy.ServerID(1); id <= 5; id++ {
			m := member(id, id == 1)
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
			t.Errorf("cost %d: only %d of 200 reads left a strained zone", cost, west)
		}
	}
}

// Out of one gateway's reach is not out of service: what has applied the log meanwhile has not started again, and is not
// eased in. What comes back behind counts as cold.
func TestOutOfReachIsNotCold(t *testing.T) {
	sends := func(ago clock.Micros) int {
		set := settings()
		set.Gateways = 12
		g := newRig(t, set)
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

// New settings change nothing that was learned: a drain, a cold start, a role, positions, an unsafe attempt that is out. A
// server that the list called gone is forbidden once gone binds.
func TestReconfigureForgetsNothing(t *testing.T) {
	loose := settings()
	loose.RemovedStayUsable = true
	strict := settings()
	strict.Gateways, strict.Classes[unsafeWrite].Effect = 12, policy.EffectIdempotent
	g := newRig(t, loose)
	g.group(5)
	g.fresh(1, 0)
	g.probed(2, policy.RolePrimary, g.now) // who took over
	cold := member(5, false)
	cold.Started = g.now
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
		{Server: 3, Group: 1, State: policy.EndpointDraining}, {Server: 4, Group: 1, State: policy.EndpointRemoved}, cold,
	}})
	g.arrive("w", unsafeWrite)
	g.wantSent("w", 2)
	for _, set := range []policy.Settings{strict, loose, strict} {
		g.acts = g.r.Reconfigure(g.now, set)
		used := map[policy.ServerID]int{}
		for i := range 200 {
			id := fmt.Sprint("q", g.now, i)
			for n := 0; ; n++ {
				to := sent(g.acts, id)
				if n == 0 {
					to = sent(g.after(ms).arrive(id, anyRead), id)
				}
				if len(to) != 1 {
					break
				}
				used[to[0]]++
				g.outcome(id, n, to[0], policy.ResultOK)
			}
		}
		if used[3] > 0 || used[4] > 0 {
			t.Errorf("what drains or is gone was sent to after a change: %v", used)
		}
		if used[5] > 40 {
			t.Errorf("a cold server is taken for warm after a change: %v", used)
		}
	}
	g.outcome("w", 0, 2, policy.ResultTimeout)
	g.wantSent("w")
	g.wantEnd("w", "fail") // unsafe when it came
	g.arrive("v", unsafeWrite)
	g.wantSent("v", 2) // the role is still known, though the list says otherwise
}

// oneOfMany is one of 200 gateways, beside a replica that is all there is.
func oneOfMany(t *testing.T) *rig {
	set := settings()
	set.Gateways = 200
	g := newRig(t, set)
	g.group(2)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{{Server: 1, Group: 1, State: policy.EndpointRemoved}}})
	return g
}

// Where hundreds of gateways each see little, a limit far below one attempt is back after a few quick answers: grown by a
// part of itself it took dozens, seconds apart each, and reads were refused beside idle servers.
func TestSmallLimitsFindBack(t *testing.T) {
	g := oneOfMany(t)
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

// A limit that nobody has cut for long is doubled, not forgotten: of hundreds of gateways that hear little each forgets
// every few seconds, and all together they keep an overloaded server full of work that times out.
func TestSmallLimitsAreNotForgottenAtOnce(t *testing.T) {
	g := oneOfMany(t)
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
