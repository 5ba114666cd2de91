package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// fleet is many routers that share nothing but the servers: rules that bind them together are asserted on their sum.
type fleet struct {
	rigs  []*gateway
	share []float64 // of the traffic, a router each
	rng   *rand.Rand
	n     int
	due   []reply
	sends map[policy.ServerID][]clock.Micros
	stand func(clock.Micros) float64 // attempts that one server answers in a second; the others it rejects
	spent map[policy.ServerID]float64
	tries map[string]int
}

type reply struct {
	at clock.Micros
	g  *gateway
	id string
	s  policy.ServerID
	n  int
	r  policy.Result
}

// newFleet makes n routers over one group; the first tenth of them carries half of the traffic.
func newFleet(t *testing.T, n, servers int, set policy.Settings) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(1)), sends: map[policy.ServerID][]clock.Micros{},
		spent: map[policy.ServerID]float64{}, tries: map[string]int{}, stand: func(clock.Micros) float64 { return 1e6 }}
	set.Gateways = n
	for i := range n {
		g := &gateway{t: t, now: origin}
		g.r, g.acts = policy.New(g.now, uint64(i+1), set)
		g.group(servers)
		f.rigs = append(f.rigs, g)
		share := 0.5 / (0.9 * float64(n))
		if i < n/10 {
			share = 0.5 / (0.1 * float64(n))
		}
		f.share = append(f.share, share)
	}
	return f
}

// run plays any reads at a rate a second, by all routers together; each attempt is answered after 50 ms.
func (f *fleet) run(span clock.Micros, rate float64) {
	now := f.rigs[0].now
	for end := now + span; now < end; now += 25 * ms {
		for id := range f.spent {
			f.spent[id] = max(0, f.spent[id]-0.025*f.stand(now))
		}
		for i, g := range f.rigs {
			g.now = now
			f.note(g, g.step(policy.Timer{Kind: policy.TimerSweep}))
			if f.rng.Float64() < rate*0.025*f.share[i] {
				f.n++
				f.note(g, g.arrive(fmt.Sprint("a", f.n), anyRead))
			}
		}
		var left []reply
		for _, d := range f.due {
			if d.at > now {
				left = append(left, d)
				continue
			}
			f.note(d.g, d.g.outcome(d.id, d.n, d.s, d.r))
		}
		f.due = append(left, f.due[len(f.due):]...)
	}
	for _, g := range f.rigs {
		g.now = now
	}
}

func (f *fleet) note(g *gateway, acts []policy.Action) {
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			f.sends[s.Server] = append(f.sends[s.Server], g.now)
			d := reply{g.now + 50*ms, g, s.ID, s.Server, f.tries[s.ID], policy.ResultOK}
			f.tries[s.ID]++
			if f.spent[s.Server]++; f.spent[s.Server] > 1+f.stand(g.now)/2 {
				d.r = policy.ResultOverloaded
			}
			f.due = append(f.due, d)
		}
	}
	g.all = nil
}

// A budget of one send a window each is hundreds from hundreds of gateways. A server in slow start must stand the sum of
// them, the few busy ones and the many with little traffic, and must still get requests.
func TestSlowStartBudgetHoldsForAllGateways(t *testing.T) {
	for _, c := range []struct {
		n       int
		restart bool // half of the gateways start as the servers do, and have measured nothing
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
		capacity := float64(warm) / replicas / 20 / 0.7 // answered a second at 70% load
		started := f.rigs[0].now
		for i, g := range f.rigs {
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
		f.stand = func(now clock.Micros) float64 {
			return capacity * (0.25 + 0.75*float64(now-started)/float64(set.SlowStartWindow))
		}
		f.run(9_000*ms, 400) // the whole group is in slow start, and all gateways want it
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
					t.Fatalf("%+v: %d sends to server %d in slow start within an overload window, it stands %.0f", c, k-i, id, limit)
				}
			}
		}
		if total < 100 {
			t.Errorf("%+v: only %d sends to the newcomers: they never warm up", c, total)
		}
	}
}

// One attempt in flight from each of hundreds of gateways overloads a server though each has few. Below one attempt the
// limit is a chance; it recovers when answers are quick again, or with time alone.
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
		t.Errorf("%.2f of the reads went to a sound replica", got)
	}
	for range 6 {
		share(1, policy.ResultTimeout)
		g.sweep(500 * ms)
	}
	if got := share(40, policy.ResultTimeout); got > 0.6 {
		t.Errorf("%.2f of the reads still go to a replica that answers none in time", got)
	}
	for range 100 { // ten seconds, as time passes in service
		g.sweep(100 * ms)
	}
	if got := share(40, policy.ResultOK); got < 0.8 {
		t.Errorf("%.2f of the reads go to a replica that has been sound for long", got)
	}
}

// A limited server must not starve the busy gateways: each of their requests has the same chance as one of a gateway with little traffic.
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

// A write that loses its draw at a limited primary must not be late for it: it has nowhere else to go.
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
		t.Errorf("of 100 writes at a limited primary %d went at once and %d within their objective", first, went)
	}
}

// Reads that fall back to a limited primary get less of its chance than what only it can take.
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
		t.Errorf("%d bounded reads went to a limited primary, and %d that have nowhere else to go",
			went[boundedRead], went[freshRead])
	}
}
