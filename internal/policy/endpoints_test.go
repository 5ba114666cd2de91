package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

func TestDrainsAreObeyedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name              string
		update            policy.EndpointUpdate
		removedStayUsable bool
		usable            bool // may still be sent to
	}{
		{"draining", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointDraining}}}, false, false},
		{"removed", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointRemoved}}}, false, false},
		{"left out of a full list", policy.EndpointUpdate{Form: policy.ListFull, Endpoints: []policy.Endpoint{
			endpoint(1, true)}}, false, false},
		{"removed where only draining excludes", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointRemoved}}}, true, true},
		{"draining where only draining excludes", policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{
			{Server: 2, Group: 1, State: policy.EndpointDraining}}}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.RemovedStayUsable = c.removedStayUsable
			g := newGateway(t, set)
			g.group(2)
			g.reportPosition(1, 0)
			g.reportPosition(2, 0)
			g.step(c.update)
			g.arrive("q", anyRead)
			if got := sent(g.acts, "q"); len(got) != 1 || (got[0] == 2) != c.usable {
				t.Errorf("sent to %v", got)
			}
		})
	}
}

// Once the list excludes a server, nothing more is sent to it, and attempts that wait for a connection to it are
// withdrawn at once. Where only draining excludes a server, its removal withdraws nothing. Attempts at a server
// that has restarted since they were sent are withdrawn too.
func TestUnstartedAttemptsAreWithdrawn(t *testing.T) {
	for _, c := range []struct {
		onlyDraining bool
		state        policy.EndpointState
		started      clock.Micros
		want         int
	}{
		{false, policy.EndpointDraining, 0, 1}, {false, policy.EndpointRemoved, 0, 1}, {true, policy.EndpointDraining, 0, 1},
		{true, policy.EndpointRemoved, 0, 0}, {false, policy.EndpointReady, 0, 0}, {false, policy.EndpointReady, origin, 1},
	} {
		set := settings()
		set.RemovedStayUsable = c.onlyDraining
		g := newGateway(t, set)
		g.group(3)
		m := endpoint(2, false)
		m.State, m.Started = c.state, c.started
		n := 0
		for _, a := range g.step(policy.EndpointUpdate{Form: policy.ListDelta, Endpoints: []policy.Endpoint{m}}) {
			if w, is := a.(policy.Withdraw); is && w.Server == 2 {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%+v: withdrawn %d times", c, n)
		}
	}
}

// Where only draining excludes a server, a list may omit running servers for a while, and they stay in use. The
// router must still drop its state about a server that is really gone, or it would be checked forever.
func TestRemovedServersAreForgottenOnlyWhenOutOfReach(t *testing.T) {
	set := settings()
	set.RemovedStayUsable = true
	g := newGateway(t, set)
	g.group(3)
	g.step(policy.EndpointUpdate{Form: policy.ListFull}) // an empty list
	last := map[policy.ServerID]clock.Micros{}
	served := 0
	for i := range 4000 {
		id := fmt.Sprint("g", i)
		if got := sent(g.arrive(id, anyRead), id); len(got) == 1 {
			res := policy.ResultOK
			if got[0] == 3 {
				res = policy.ResultConnectFailed
			} else {
				served++
			}
			last[got[0]] = g.now - origin
			g.outcome(id, 0, got[0], res)
		}
		g.step(policy.ClientDisconnected{ID: id})
		for _, a := range g.sweep(25 * ms) {
			if p, ok := a.(policy.HealthCheck); ok {
				last[p.Server] = g.now - origin
				res := policy.ResultOK
				if p.Server == 3 {
					res = policy.ResultConnectFailed
				}
				g.step(policy.HealthCheckEnded{Server: p.Server, Result: res})
			}
		}
	}
	if served < 3900 {
		t.Errorf("%d of 4000 reads were served while the list was empty", served)
	}
	if last[3] > 30_000*ms {
		t.Errorf("a server that is removed and unreachable was still tried after %d s", last[3]/1000/ms)
	}
}

func TestSubscription(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	g := newGateway(t, set)
	if count[policy.Watch](g.acts) != 1 {
		t.Fatal("the router does not subscribe at its start")
	}
	g.group(2)
	asks := func(span clock.Micros) (n int, last clock.Micros) {
		for end := g.now + span; g.now < end; {
			if count[policy.Watch](g.sweep(25*ms)) > 0 {
				n, last = n+1, g.now
				g.after(5 * ms).step(policy.EndpointUpdate{Form: policy.ListFailed})
			}
		}
		return n, last
	}
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	early, _ := asks(2000 * ms)
	late, last := asks(20_000 * ms)
	if early < 2 || late < 20 || late > 50 {
		t.Errorf("%d attempts to subscribe in the first 2 s of failure, %d in the next 20 s", early, late)
	}
	if g.now-last > 1000*ms {
		t.Error("the router stopped trying to subscribe")
	}
	for range 400 {
		if count[policy.Watch](g.sweep(25*ms)) > 0 {
			break
		}
	}
	g.step(policy.EndpointUpdate{Form: policy.ListDelta})
	if n, _ := asks(8000 * ms); n != 0 {
		t.Errorf("%d attempts to subscribe while subscribed", n)
	}
	// Gateways with different seeds do not subscribe at the same time.
	spans := map[clock.Micros]bool{}
	for seed := uint64(1); seed < 9; seed++ {
		r, _ := policy.New(origin, seed, set)
		r.Step(origin, policy.EndpointUpdate{Form: policy.ListFailed})
		for now := origin; now < origin+1000*ms; now += 5 * ms {
			if count[policy.Watch](r.Step(now, policy.Timer{Kind: policy.TimerSweep})) > 0 {
				spans[now] = true
				break
			}
		}
	}
	if len(spans) < 4 {
		t.Errorf("eight gateways subscribe again at only %d different times", len(spans))
	}
}

// The back-off between failed attempts to subscribe grows, but stays bounded: whatever failed before, a change
// counts as known 6 s after discovery had it and could be reached. internal/gateway adds these intervals to the
// time limits of the calls.
func TestSubscribeBackOff(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	const askings = 8
	var sum [askings]clock.Micros
	longest := clock.Micros(0)
	const seeds = 64
	for seed := uint64(1); seed <= seeds; seed++ {
		r, _ := policy.New(origin, seed, set)
		now := origin
		for n := range sum {
			failed := now
			r.Step(now, policy.EndpointUpdate{Form: policy.ListFailed})
			for {
				now += 5 * ms
				if count[policy.Watch](r.Step(now, policy.Timer{Kind: policy.TimerSweep})) > 0 {
					break
				}
			}
			sum[n] += now - failed
			longest = max(longest, now-failed)
		}
	}
	if first, last := sum[0]/seeds, sum[askings-1]/seeds; last < first*2 {
		t.Errorf("the mean of the first back-off is %d ms, that of the last %d", first/ms, last/ms)
	}
	if longest > 950*ms {
		t.Errorf("a back-off of %d ms", longest/ms)
	}
}

// Changes of a pushed list count as known at once. When its watch ends, the router subscribes again at the next
// sweep, and backs off only if that fails too.
func TestPushedListIsSubscribedToAtOnce(t *testing.T) {
	set := settings()
	set.ListSubscribed, set.ListPushed = true, true
	g := newGateway(t, set)
	g.group(2)
	g.step(policy.EndpointUpdate{Form: policy.ListDelta})
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	if count[policy.Watch](g.sweep(1*ms)) != 1 {
		t.Error("the router does not subscribe again at once")
	}
	g.step(policy.EndpointUpdate{Form: policy.ListFailed})
	if count[policy.Watch](g.sweep(1*ms)) != 0 {
		t.Error("a second failure in a row is followed by an attempt without a back-off")
	}
}

// An attempt to subscribe that is never answered counts as failed.
func TestUnansweredSubscribeIsRepeated(t *testing.T) {
	set := settings()
	set.ListSubscribed = true
	g := newGateway(t, set)
	n := 0
	for range 400 {
		n += count[policy.Watch](g.sweep(25 * ms))
	}
	if n < 1 {
		t.Error("the router never subscribed again")
	}
}
