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

// lists waits until so many lists of a form have come in.
func (w *testGateway) lists(form int, least int64) {
	w.t.Helper()
	eventually(w.t, func() bool { return w.counts().ListUpdates[form] >= least },
		func() string {
			return fmt.Sprintf("lists by form %v, want %d of form %d", w.counts().ListUpdates, least, form)
		})
}

// reload gives the gateway the same configuration with another discovery.
func (w *testGateway) reload(addr string) {
	next := *w.cfg
	next.Discovery = addr
	w.gateway.Reload(&next, w.gateway.operators, nil)
}

// awaitDiscoveryRequest waits for a call and returns its path.
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

// A new address of discovery is asked for its whole list, for its versions may be others, and watched from there on.
// The end of the old watch is no failure.
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
		t.Errorf("a strange address was first asked for %s", path)
	}
	if path := awaitDiscoveryRequest(t, next); path != "/v1/servers?watch=1&from=1" {
		t.Errorf("then for %s", path)
	}
	w.lists(formFull, 3) // the list, and the watch's first line, which holds it again
	w.expectLogged(`"party":"discovery"`, w.discovery.Addr(), `"reason":"replaced"`)
	w.expectAnswer(w.dial(), readQuery("d"), "value of d", "")
	if n := len(w.replica.Queries()); n != 0 {
		t.Error("a read went to a server that the new address calls draining")
	}
	w.discovery.ResetConns()
	next.Push(w.targets()[1])
	w.lists(formDelta, 5)
	if n := w.counts().ListUpdates[formFailed]; n != 0 {
		t.Errorf("%d failures told to the module", n)
	}
}

// Until the new address has told its list the old watch goes on; what the new one fails with is a failed call as any.
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

// However long the module means to wait after failures, a new address is asked at once.
func TestReloadDoesNotWaitForTheNextPoll(t *testing.T) {
	w := newTestGateway(t, func(c *config.Config) { c.Discovery = "127.0.0.1:1" }) // nobody listens there
	w.lists(formFailed, 3)
	failed := w.counts().Watches
	w.reload(w.discovery.Addr())
	if path := awaitDiscoveryRequest(t, w.discovery); path != "/v1/servers" {
		t.Errorf("asked for %s", path)
	}
	w.lists(formFull, 1)
	if n := w.counts().Watches; n != failed { // the module was not the one who asked
		t.Skipf("the module asked %d times meanwhile", n-failed)
	}
}

// A reload that is at fault changes nothing and names its key; keys that need a restart are named too.
func TestReloadFaults(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	w.gateway.Reload(nil, nil, &settings.KeyError{Key: "settings.classes", Text: "names no class"})
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

// Several moves in a row leave one watch, at the last address; a move behind the end does no harm.
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
	}, func() string { return "calls that were replaced go on" })
	w.stopped = true
	w.gateway.Stop()
	w.reload(w.discovery.Addr())
	if w.gateway.owner.Call(func(*routing.Core) {}) {
		t.Error("the owner still runs")
	}
}
