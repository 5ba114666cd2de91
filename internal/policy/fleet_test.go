package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// fleet is a set of routers that share nothing but the servers. It is for rules that bound the sum over all routers.
type fleet struct {
	gateways []*gateway
	share    []float64 // share of the traffic of each router
	rng      *rand.Rand
	n        int
	due      []pendingAnswer
	sends    map[policy.ServerID][]clock.Micros
	capacity func(clock.Micros) float64 // attempts that one server answers in a second; it rejects the others
	load     map[policy.ServerID]float64
	attempts map[string]int
}

type pendingAnswer struct {
	at clock.Micros
	g  *gateway
	id string
	s  policy.ServerID
	n  int
	r  policy.Result
}

// newFleet creates n routers over one group. The first tenth of them carries half of the traffic.
func newFleet(t *testing.T, n, servers int, set policy.Settings) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(1)), sends: map[policy.ServerID][]clock.Micros{},
		load: map[policy.ServerID]float64{}, attempts: map[string]int{}, capacity: func(clock.Micros) float64 { return 1e6 }}
	set.Gateways = n
	for i := range n {
		g := &gateway{t: t, now: origin}
		g.r, g.acts = policy.New(g.now, uint64(i+1), set)
		g.group(servers)
		f.gateways = append(f.gateways, g)
		share := 0.5 / (0.9 * float64(n))
		if i < n/10 {
			share = 0.5 / (0.1 * float64(n))
		}
		f.share = append(f.share, share)
	}
	return f
}

// run sends reads of the any class, rate per second over all routers. Each attempt is answered after 50 ms.
func (f *fleet) run(span clock.Micros, rate float64) {
	now := f.gateways[0].now
	for end := now + span; now < end; now += 25 * ms {
		for id := range f.load {
			f.load[id] = max(0, f.load[id]-0.025*f.capacity(now))
		}
		for i, g := range f.gateways {
			g.now = now
			f.recordSends(g, g.step(policy.Timer{Kind: policy.TimerSweep}))
			if f.rng.Float64() < rate*0.025*f.share[i] {
				f.n++
				f.recordSends(g, g.arrive(fmt.Sprint("a", f.n), anyRead))
			}
		}
		var left []pendingAnswer
		for _, d := range f.due {
			if d.at > now {
				left = append(left, d)
				continue
			}
			f.recordSends(d.g, d.g.outcome(d.id, d.n, d.s, d.r))
		}
		f.due = append(left, f.due[len(f.due):]...)
	}
	for _, g := range f.gateways {
		g.now = now
	}
}

func (f *fleet) recordSends(g *gateway, acts []policy.Action) {
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			f.sends[s.Server] = append(f.sends[s.Server], g.now)
			d := pendingAnswer{g.now + 50*ms, g, s.ID, s.Server, f.attempts[s.ID], policy.ResultOK}
			f.attempts[s.ID]++
			if f.load[s.Server]++; f.load[s.Server] > 1+f.capacity(g.now)/2 {
				d.r = policy.ResultOverloaded
			}
			f.due = append(f.due, d)
		}
	}
	g.all = nil
}

// A budget of one send per overload window and gateway adds up to hundreds of sends from hundreds of gateways. The
// sum over all gateways, a few busy ones and many with little traffic, must not overload a server in slow start, and
// the server must still get requests.
func TestSlowStartBudgetHoldsForAllGateways(t *testing.T) {
	for _, c := range []struct {
		n       int
		restart bool // half of the gateways start together with the servers and have measured nothing
	}{{3, false}, {20, false}, {20, true}, {30, false}, {30, true}, {40, false}, {200, false}, {200, true}} {
		n := c.n
		set := settings()
		const replicas = 4
		f := newFleet(t, n, replicas+1, set)
		f.run(20_000*ms, 80)
		warm := 0
		for id := policy.ServerID(2); id <= replicas+1; id++ {
			warm += len(f.sends[id])
		}
		capacity := float64(warm) / replicas / 20 / 0.7 // answers per second, as the servers were at 70% load
		started := f.gateways[0].now
		for i, g := range f.gateways {
			if c.restart && i%2 == 0 {
				set.Gateways = n
				g.r, g.acts = policy.New(g.now, uint64(1000+i), set)
				g.group(replicas + 1)
			}
			var update []policy.Endpoint
			for id := policy.ServerID(2); id <= replicas+1; id++ {
				m := endpoint(id, false)
				m.Started = started
				update = append(update, m)
			}
			g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: update})
		}
		f.sends = map[policy.ServerID][]clock.Micros{}
		f.capacity = func(now clock.Micros) float64 {
			return capacity * (0.25 + 0.75*float64(now-started)/float64(set.SlowStartWindow))
		}
		f.run(9_000*ms, 400) // all replicas are in slow start, and all gateways send to them
		total := 0
		for id := policy.ServerID(2); id <= replicas+1; id++ {
			at := f.sends[id]
			total += len(at)
			for i := range at {
				k := i
				for k < len(at) && at[k]-at[i] < set.OverloadWindow {
					k++
				}
				weight := float64(set.SlowStartMinWeight)/1000 + 0.75*float64(at[i]-started)/float64(set.SlowStartWindow)
				limit := float64(set.OverloadFactor) / 1000 * weight * capacity * float64(set.OverloadWindow) / 1e6
				if float64(k-i) > limit {
					t.Fatalf("%+v: %d sends to server %d in slow start within an overload window, it can take %.0f", c, k-i, id, limit)
				}
			}
		}
		if total < 100 {
			t.Errorf("%+v: only %d sends to the servers in slow start: they never warm up", c, total)
		}
	}
}

// One attempt in flight from each of hundreds of gateways overloads a server, although each gateway sends little.
// Below one attempt the limit is the chance of admission. It recovers when answers are quick again, or with time
// alone.
func TestQuietGatewayHoldsBackByChance(t *testing.T) {
	set := settings()
	set.Gateways = 200
	g := newGateway(t, set)
	g.group(2)
	n := 0
	share := func(reads int, res policy.Result) float64 {
		went := 0
		for range reads {
			n++
			id := fmt.Sprint("q", n)
			acts := g.after(150*ms).arrive(id, anyRead)
			if len(sent(acts, id)) > 0 && sent(acts, id)[0] == 2 {
				went++
				took := 50 * ms
				if res != policy.ResultOK {
					took = set.Classes[anyRead].LatencyObjective
				}
				g.after(took).step(policy.Outcome{ID: id, Server: 2, Result: res, Latency: took, Final: true})
				continue
			}
			for _, s := range sent(g.all, id) {
				g.step(policy.Outcome{ID: id, Server: s, Result: policy.ResultOK, Latency: 50 * ms, Final: true})
			}
			g.step(policy.ClientDisconnected{ID: id})
			g.sweep(50 * ms)
		}
		return float64(went) / float64(reads)
	}
	if got := share(20, policy.ResultOK); got < 0.9 {
		t.Errorf("%.2f of the reads went to a healthy replica", got)
	}
	for range 6 {
		share(1, policy.ResultTimeout)
		g.sweep(500 * ms)
	}
	if got := share(40, policy.ResultTimeout); got > 0.6 {
		t.Errorf("%.2f of the reads still go to a replica that answers none in time", got)
	}
	for range 100 { // ten seconds with regular sweeps
		g.sweep(100 * ms)
	}
	if got := share(40, policy.ResultOK); got < 0.8 {
		t.Errorf("%.2f of the reads go to a replica that has been healthy for a long time", got)
	}
}

// A limited server must not starve the busy gateways: each of their requests has the same chance of admission as one
// of a gateway with little traffic.
func TestBusyGatewayHasTheSameChance(t *testing.T) {
	shares := map[clock.Micros]float64{}
	for _, gap := range []clock.Micros{25 * ms, 1000 * ms} {
		set := settings()
		set.Gateways, set.CanHealthCheck = 200, false
		g := newGateway(t, set)
		g.group(1)
		went, reads := 0, 400
		for i := range reads + 40 {
			id := fmt.Sprint("w", i)
			got := sent(g.after(gap).arrive(id, freshRead), id)
			res, took, wait := policy.ResultOK, 165*ms, 20*ms // between the low and the high latency ratio
			if i < 40 {
				res, took, wait = policy.ResultTimeout, 400*ms, 400*ms
			}
			if len(got) > 0 {
				g.after(wait).step(policy.Outcome{ID: id, Server: got[0], Result: res, Latency: took, Final: true})
				if i >= 40 {
					went++
				}
			}
			g.step(policy.ClientDisconnected{ID: id})
		}
		shares[gap] = float64(went) / float64(reads)
	}
	if busy, quiet := shares[25*ms], shares[1000*ms]; busy < quiet/3 || busy < 0.05 {
		t.Errorf("a busy gateway sent %.2f of its reads, a quiet one %.2f", busy, quiet)
	}
}

// A write that is not admitted at first by a limited primary must get further chances within its objective, because
// no other server can take it.
func TestWritesDrawAgainWithinTheirObjective(t *testing.T) {
	set := settings()
	set.Gateways, set.CanHealthCheck = 200, false
	g := newGateway(t, set)
	g.group(1)
	objective := set.Classes[nonIdempotentWrite].LatencyObjective
	for i := range 40 {
		id := fmt.Sprint("t", i)
		if len(sent(g.after(500*ms).arrive(id, freshRead), id)) > 0 {
			g.after(objective).step(policy.Outcome{ID: id, Server: 1, Result: policy.ResultTimeout, Latency: objective, Final: true})
		}
		g.step(policy.ClientDisconnected{ID: id})
	}
	went, first := 0, 0
	for i := range 100 {
		id := fmt.Sprint("w", i)
		n := len(sent(g.after(500*ms).arrive(id, nonIdempotentWrite), id))
		first += n
		for wait := clock.Micros(0); n == 0 && wait < objective; wait += 25 * ms {
			n = len(sent(g.sweep(25*ms), id))
		}
		if went += n; n > 0 {
			g.after(objective).step(policy.Outcome{ID: id, Server: 1, Result: policy.ResultTimeout, Latency: objective, Final: true})
		} else {
			g.step(policy.ClientDisconnected{ID: id})
		}
	}
	if went < 40 || went < 5*first {
		t.Errorf("of 100 writes to a limited primary %d were sent at once and %d within their objective", first, went)
	}
}

// Reads that fall back to a limited primary use less of its capacity than requests that only the primary can take.
func TestReadsLeaveALimitedPrimaryToWrites(t *testing.T) {
	went := map[int]int{}
	for _, class := range []int{freshRead, boundedRead} {
		set := settings()
		set.Gateways, set.CanHealthCheck = 200, false
		g := newGateway(t, set)
		g.group(1) // no replica: bounded reads have only the primary
		objective := set.Classes[class].LatencyObjective
		for i := range 300 {
			id := fmt.Sprint("p", i)
			n := len(sent(g.after(100*ms).arrive(id, class), id))
			if n > 0 && i%4 != 0 { // most are slow: the limit stays below one
				g.after(objective).step(policy.Outcome{ID: id, Server: 1, Result: policy.ResultTimeout, Latency: objective, Final: true})
			} else if n > 0 {
				g.after(20 * ms).step(policy.Outcome{ID: id, Server: 1, Latency: 60 * ms, Final: true})
			}
			g.step(policy.ClientDisconnected{ID: id})
			went[class] += n
		}
	}
	if went[boundedRead]*4 > went[freshRead]*3 {
		t.Errorf("%d bounded reads went to a limited primary, and %d fresh reads, which only it can serve",
			went[boundedRead], went[freshRead])
	}
}
