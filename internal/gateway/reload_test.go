package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/routing"
	"marblespan/internal/settings"
)

const (
	formDelta  = 0
	formFull   = 1
	formFailed = 3
)

// lists waits until at least a number of lists of a form have been received.
func (w *testGateway) lists(form int, least int64) {
	w.t.Helper()
	eventually(w.t, func() bool { return w.counts().ListUpdates[form] >= least },
		func() string {
			return fmt.Sprintf("lists by form %v, want %d of form %d", w.counts().ListUpdates, least, form)
		})
}

// reload reloads the gateway's configuration with another address of discovery.
func (w *testGateway) reload(addr string) {
	next := *w.cfg
	next.Discovery = addr
	w.gateway.Reload(&next, w.gateway.operators, nil)
}

// awaitDiscoveryRequest waits for a call to discovery and returns its path.
func awaitDiscoveryRequest(t *testing.T, d *fake.Discovery) string {
	t.Helper()
	select {
	case line := <-d.Requests:
		return strings.Fields(line)[1]
	case <-time.After(testTimeout):
		t.Fatal("discovery was not asked")
		return ""
	}
}

// After a reload with a new address of discovery, the gateway asks this address for the full list, because the versions there may
// differ, and then watches it. The end of the old watch does not count as a failure.
func TestReloadMovesDiscovery(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	for n := range 4 { // the old address is four versions ahead of the new one's first
		w.discovery.Push(w.targets()[0])
		w.lists(formDelta, int64(n+1))
	}
	draining := w.targets()
	draining[1].State = "draining"
	next := must2(fake.NewDiscovery(draining...))
	defer next.Close()
	w.reload(next.Addr())
	if path := awaitDiscoveryRequest(t, next); path != "/v1/servers" {
		t.Errorf("the new address was first asked for %s", path)
	}
	if path := awaitDiscoveryRequest(t, next); path != "/v1/servers?watch=1&from=1" {
		t.Errorf("the new address was then asked for %s", path)
	}
	w.lists(formFull, 3) // the old address's list, the new one's, and the first line of the new watch, which is the full list again
	w.expectLogged(`"party":"discovery"`, w.discovery.Addr(), `"reason":"replaced"`)
	w.expectAnswer(w.dial(), readQuery("d"), "value of d", "")
	if n := len(w.replica.Queries()); n != 0 {
		t.Error("a read went to a server that the new address reports as draining")
	}
	w.discovery.ResetConns()
	next.Push(w.targets()[1])
	w.lists(formDelta, 5)
	if n := w.counts().ListUpdates[formFailed]; n != 0 {
		t.Errorf("%d failed lists reported to the router", n)
	}
}

// The old watch continues until the new address has sent its list. A failure of the new address counts like any failed call.
func TestReloadToAnAddressThatFails(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	next := must2(fake.NewDiscovery(w.targets()...))
	defer next.Close()
	next.SetRawResponse("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	w.reload(next.Addr())
	w.lists(formFailed, 2)
	w.discovery.Push(w.targets()[1])
	w.lists(formDelta, 1)
	w.discovery.ResetConns()
	next.SetRawResponse("")
	w.lists(formFull, 3)
	w.expectLogged(`"party":"discovery"`, w.discovery.Addr())
	next.Push(w.targets()[1])
	w.lists(formDelta, 2)
}

// A new address of discovery is asked at once, however long the router would wait after failures before the next call.
func TestReloadDoesNotWaitForTheNextPoll(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.Discovery = "127.0.0.1:1" }) // nothing listens there
	w.lists(formFailed, 3)
	failed := w.counts().Watches
	w.reload(w.discovery.Addr())
	if path := awaitDiscoveryRequest(t, w.discovery); path != "/v1/servers" {
		t.Errorf("asked for %s", path)
	}
	w.lists(formFull, 1)
	if n := w.counts().Watches; n != failed { // the router has asked too, so the call may have been its own
		t.Skipf("the router asked %d times in the meantime", n-failed)
	}
}

// A faulty reload changes nothing, and its key is logged. Changed keys that require a restart are logged too.
func TestReloadFaults(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	w.gateway.Reload(nil, nil, &settings.KeyError{Key: "settings.classes", Text: "must name at least one class"})
	w.expectLogged("reload failed", "settings.classes")
	w.gateway.Reload(nil, nil, errors.New("gone"))
	next := *w.cfg
	next.Name, next.Sockets = "n9", 77
	for range 3 {
		w.gateway.Reload(&next, w.gateway.operators, nil)
	}
	w.expectLogged("require a restart", `"name","limits.sockets"`)
	w.expectAnswer(w.dial(), readQuery("d"), "value of d", "")
	if n := w.counts(); n.Watches != 1 || n.ListUpdates[formFailed] != 0 {
		t.Errorf("%d watches, lists by form %v", n.Watches, n.ListUpdates)
	}
}

// After several reloads in a row, each with another address of discovery, only the last address is watched. A reload after Stop
// does no harm.
func TestReloadsInARow(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	silent := must2(fake.NewDiscovery(w.targets()...))
	defer silent.Close()
	silent.SetRawResponse("silent")
	last := must2(fake.NewDiscovery(w.targets()...))
	defer last.Close()
	w.reload(silent.Addr())
	w.reload(w.discovery.Addr())
	w.reload(silent.Addr())
	w.reload(last.Addr())
	w.lists(formFull, 3)
	last.Push(w.targets()[1])
	w.lists(formDelta, 1)
	eventually(t, func() bool {
		return strings.Count(w.log.String(), `"party":"discovery"`) >= 4
	}, func() string { return "replaced calls were not ended" })
	w.stopped = true
	w.gateway.Stop()
	w.reload(w.discovery.Addr())
	if w.gateway.owner.Call(func(*routing.Core) {}) {
		t.Error("the routing owner still runs")
	}
}
