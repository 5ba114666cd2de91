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

// After these times a gateway is expected to know a change of the endpoint list.
const (
	knownAfterReach  = 6 * time.Second // since discovery had the change and could be reached; since a watch fell silent
	knownAfterReload = 4 * time.Second // since a SIGHUP that changes discovery's address
)

// longestWatchDelays returns the longest delays, under the given settings, that the router makes after a failure before it opens
// the next watch: first is the longest delay after a watch that had been up, and any the longest delay after any of several
// failures in a row.
func longestWatchDelays(snapshot *settings.Snapshot) (first, any time.Duration) {
	const seeds, failures = 200, 10
	start := clock.Micros(1_767_225_600_000_000)
	for seed := uint64(1); seed <= seeds; seed++ {
		r, _ := policy.New(start, seed, snapshot.Settings)
		now, sweepAt := start, start
		r.Step(now, policy.EndpointUpdate{Form: policy.ListFull})
		for n := range failures {
			failed := now
			r.Step(now, policy.EndpointUpdate{Form: policy.ListFailed})
			for watched := false; !watched; {
				now += clock.Micros(time.Millisecond / time.Microsecond)
				if now < sweepAt {
					continue
				}
				for _, a := range r.Step(now, policy.Timer{Kind: policy.TimerSweep}) {
					switch a := a.(type) {
					case policy.SetTimer:
						sweepAt = a.At
					case policy.Watch:
						watched = true
					}
				}
			}
			delay := time.Duration(now-failed) * time.Microsecond
			if n == 0 {
				first = max(first, delay)
			}
			any = max(any, delay)
		}
	}
	return first, any
}

// For every way in which a change of the endpoint list can be delayed, the time limits involved add up to less than the time
// after which the gateway is expected to know the change. This holds in both membership modes and for short and long latency
// objectives.
func TestTimeLimitsOfTheListAddUp(t *testing.T) {
	limits := session.DefaultCallTimeouts
	call := limits.Connect + limits.Answer
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, objective := range []clock.Micros{100_000, 800_000} {
			w := config.Config{InForce: must2(settings.Parse([]byte(testSettings)))}
			w.InForce.Settings.ListSubscribed, w.InForce.Settings.ListPushed = true, mode == "automatic"
			for i := range w.InForce.Settings.Classes {
				w.InForce.Settings.Classes[i].LatencyObjective = objective
			}
			first, any := longestWatchDelays(w.InForce)
			for name, path := range map[string]struct{ sum, limit time.Duration }{
				// The watch fell silent right after a line, and the next call is answered at the last moment.
				"silent watch": {limits.Silence + first + call, knownAfterReach},
				// A call that began just before discovery could be reached hangs, and the next one is answered at the last
				// moment. The sum is the same for a watch that is silent from its start, and for the call for the full list
				// before a watch.
				"call that hangs": {call + any + call, knownAfterReach},
				// A call failed just before discovery could be reached, and the router delays the next one.
				"call that failed": {any + call, knownAfterReach},
				// The new address is first asked for the full list, and once more if it refuses the first call.
				"moved":           {call, knownAfterReload},
				"moved, refusing": {first + call, knownAfterReload},
			} {
				if path.sum >= path.limit {
					t.Errorf("%s, latency objective %d ms, %s: %v, limit %v", mode, objective/1000, name, path.sum, path.limit)
				}
			}
		}
	}
}

// The gateway opens a watch even if the settings say that endpoint lists are pushed, because changes reach it in no other way.
// Until it has received a list, a starting gateway is not ready, but only for a limited time.
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
	w.expectAnswer(c, readQuery("e"), "value of e", "") // requests that arrive all the same are routed by the configured list
	since := time.Now()
	eventually(t, func() bool { _, code, err := exec(c, ""); return err == nil && code == "" },
		func() string { return "the gateway does not become ready while discovery is silent" })
	if took := time.Since(since); took > testTimeout/2 {
		t.Errorf("ready after %v", took)
	}
}

// If endpoint lists are not pushed, a restarted gateway with an old list is ready at once, whether discovery is silent,
// overloaded or down. Without a list the gateway is ready once it receives the first one.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	silent := must2(fake.NewDiscovery())
	defer silent.Close()
	silent.SetRawResponse("silent")
	overloaded := must2(fake.NewDiscovery())
	defer overloaded.Close()
	overloaded.SetRawResponse("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	for name, addr := range map[string]string{
		"silent": silent.Addr(), "overloaded": overloaded.Addr(), "down": "127.0.0.1:1",
	} {
		w := newTestGateway(t, func(c *config.Config) { c.Discovery = addr })
		w.expectAnswer(w.dial(), "", "", "")
		w.expectAnswer(w.dial(), readQuery(name), "value of "+name, "")
	}
	w := newTestGateway(t, func(c *config.Config) { c.KnownServers.Entries = nil; c.Discovery = overloaded.Addr() })
	c := w.dial()
	w.expectAnswer(c, "", "", "57P03")
	overloaded.SetEndpoints(w.targets()...)
	overloaded.SetRawResponse("")
	eventually(t, func() bool { _, code, err := exec(c, ""); return err == nil && code == "" },
		func() string { return "the gateway is not ready although it has a list" })
}
