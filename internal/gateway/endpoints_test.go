package gateway

import (
	"testing"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/policy"
	"marblespan/internal/session"
	"marblespan/internal/settings"
)

// The terms by which a change of the list counts as known to a gateway, whether or not it was heard.
const (
	knownAfterReach  = 6 * time.Second // from when discovery had it and could be reached; from when a watch fell silent
	knownAfterReload = 4 * time.Second // from a SIGHUP that moves discovery
)

// longestWatchDelays are the longest pauses that the module makes before the first ask after a watch that stood, and before any
// other, by these settings.
func longestWatchDelays(facts *settings.Snapshot) (first, any time.Duration) {
	const seeds, askings = 200, 10
	start := clock.Micros(1_767_225_600_000_000)
	for seed := uint64(1); seed <= seeds; seed++ {
		r, _ := policy.New(start, seed, facts.Settings)
		now, sweepAt := start, start
		r.Step(now, policy.EndpointUpdate{Form: policy.ListFull})
		for n := range askings {
			failed := now
			r.Step(now, policy.EndpointUpdate{Form: policy.ListFailed})
			for asked := false; !asked; {
				now += clock.Micros(time.Millisecond / time.Microsecond)
				if now < sweepAt {
					continue
				}
				for _, a := range r.Step(now, policy.Timer{Kind: policy.TimerSweep}) {
					switch a := a.(type) {
					case policy.SetTimer:
						sweepAt = a.At
					case policy.Watch:
						asked = true
					}
				}
			}
			pause := time.Duration(now-failed) * time.Microsecond
			if n == 0 {
				first = max(first, pause)
			}
			any = max(any, pause)
		}
	}
	return first, any
}

// Every time limit on the way of a change adds up to less than the time after which it counts as known, in both ways in
// which discovery tells, and for short and long aims.
func TestTimeLimitsOfTheListAddUp(t *testing.T) {
	limits := session.DefaultCallTimeouts
	call := limits.Connect + limits.Answer
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, aim := range []clock.Micros{100_000, 800_000} {
			w := config.Config{InForce: must2(settings.Parse([]byte(testSettings)))}
			w.InForce.Settings.ListSubscribed, w.InForce.Settings.ListPushed = true, mode == "automatic"
			for i := range w.InForce.Settings.Classes {
				w.InForce.Settings.Classes[i].LatencyObjective = aim
			}
			first, any := longestWatchDelays(w.InForce)
			for name, path := range map[string]struct{ sum, most time.Duration }{
				// The watch fell silent right behind a line; the next call is answered in the last moment.
				"silent watch": {limits.Silence + first + call, knownAfterReach},
				// A call was begun just before discovery could be reached, and hangs; the next one is answered in the last
				// moment. Likewise a watch that is silent from its start, or the whole list before a watch.
				"call that hangs": {call + any + call, knownAfterReach},
				// A call failed just before; the module pauses.
				"call that failed": {any + call, knownAfterReach},
				// The new address gets a whole list first; and once more, if it refuses the first call.
				"moved":           {call, knownAfterReload},
				"moved, refusing": {first + call, knownAfterReload},
			} {
				if path.sum >= path.most {
					t.Errorf("%s, aim %d ms, %s: %v of %v", mode, aim/1000, name, path.sum, path.most)
				}
			}
		}
	}
}

// Where the list is pushed the gateway opens a watch all the same: nothing else brings it changes. Until it has heard one, a
// start does not say that it is ready, but for a bounded time.
func TestPushedListIsWatched(t *testing.T) {
	push := func(c *config.Config) { c.InForce.Settings.ListSubscribed, c.InForce.Settings.ListPushed = true, true }
	w := newTestGateway(t, push)
	w.lists(formFull, 1)
	draining := w.targets()[1]
	draining.State = "draining"
	w.discovery.Push(draining)
	w.lists(formDelta, 1)
	w.expectAnswer(w.dial(), readQuery("d"), "value of d", "")
	if n := len(w.replica.Queries()); n != 0 {
		t.Error("a read went to a draining server")
	}

	silent := must2(fake.NewDiscovery())
	defer silent.Close()
	silent.SetRawResponse("silent")
	w = newTestGateway(t, func(c *config.Config) { push(c); c.Discovery = silent.Addr() })
	c := w.dial()
	w.expectAnswer(c, "", "", "57P03")
	w.expectAnswer(c, readQuery("e"), "value of e", "") // what comes all the same is served by the list that there is
	since := time.Now()
	eventually(t, func() bool { _, code, err := exec(c, ""); return err == nil && code == "" },
		func() string { return "never ready while discovery is silent" })
	if took := time.Since(since); took > testTimeout/2 {
		t.Errorf("ready after %v", took)
	}
}

// A restarted gateway with an old list is ready at once where the list is asked for, whatever discovery does: silent, crowded,
// down, or slow to connect to. Without a list it is ready with the first one that comes.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	silent := must2(fake.NewDiscovery())
	defer silent.Close()
	silent.SetRawResponse("silent")
	crowded := must2(fake.NewDiscovery())
	defer crowded.Close()
	crowded.SetRawResponse("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	for name, addr := range map[string]string{
		"silent": silent.Addr(), "crowded": crowded.Addr(), "down": "127.0.0.1:1",
	} {
		w := newTestGateway(t, func(c *config.Config) { c.Discovery = addr })
		w.expectAnswer(w.dial(), "", "", "")
		w.expectAnswer(w.dial(), readQuery(name), "value of "+name, "")
	}
	w := newTestGateway(t, func(c *config.Config) { c.KnownServers.Entries = nil; c.Discovery = crowded.Addr() })
	c := w.dial()
	w.expectAnswer(c, "", "", "57P03")
	crowded.SetEndpoints(w.targets()...)
	crowded.SetRawResponse("")
	eventually(t, func() bool { _, code, err := exec(c, ""); return err == nil && code == "" },
		func() string { return "not ready with a list" })
}
