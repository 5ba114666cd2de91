package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"marblespan/internal/config"
	"marblespan/internal/settings"
)

// movedSettings are the settings of a different deployment: the servers check no positions, the endpoint list does not show the
// primary, there is one class more and the classes are in another order, and crossing zones has a cost.
const movedSettings = `{"balancers": 40, "ordinal": 3, "locality": "here",
 "classes": [
  {"name": "long", "aim_ms": 5000, "give_up_ms": 10000, "effect": "free", "points": 6, "late_worth": 0.2},
  {"name": "put", "aim_ms": 1000, "give_up_ms": 5000, "effect": "single_shot", "points": 3, "late_worth": 0.5},
  {"name": "look", "aim_ms": 2000, "give_up_ms": 4000, "effect": "free", "points": 2, "late_worth": 0.2}],
 "costs": {"cross_zone": 0.014},
 "family_info": {"answers_stamped": false, "checks": "none", "freshness": ["eventual", "mutate", "lag_bound"],
  "oldest_data_ms": [0, 0, 500], "shows_role": "none", "write_marks": "brought"},
 "granularity_ms": 5, "membership_mode": "subscribe",
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250, "most_tries": 10, "probing": true, "retry_after": true,
  "max_retry_after_ms": 1000, "keepalive_ms": 15000},
 "report": {"how": "probe", "fields": ["x0", "x1"]},
 "rules": {"ask_within_ms": 10000, "cold_from": 0.16, "fall_ms": 2000, "grace_to_answer_ms": 20,
  "overload_factor": 2.5, "ramp_time_ms": 18000, "stop_sending_within_ms": 2000}}`

// with returns the running configuration with other settings, as read from a file.
func (w *testGateway) with(settings string) (*config.Config, error) {
	raw, _ := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:1", "discovery": w.discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings),
	})
	next, err := config.Parse(raw, func(string) string { return "" })
	if err == nil {
		next.Listen = w.cfg.Listen
	}
	return next, err
}

// reloadSettings does what the gateway does on SIGHUP, with other settings.
func (w *testGateway) reloadSettings(settings string) {
	next, err := w.with(settings)
	w.gateway.Reload(next, w.gateway.operators, err)
}

// Under load the settings change back and forth, with faulty files in between and two reloads at once at the end. Each request
// gets one final answer, all are served except the few whose class changes between reading and routing them, and no write reaches
// a server twice.
func TestSettingsThereAndBackUnderLoad(t *testing.T) {
	w := newTestGateway(t, nil)
	updatePositions := func() { // as servers without replication lag report them
		w.primary.Position.Store(time.Now().UnixMilli())
		w.replica.Position.Store(time.Now().UnixMilli())
	}
	updatePositions()
	var stop atomic.Bool
	var sent, served, rejected atomic.Int64
	var wg sync.WaitGroup
	clients := make([]*pgconn.PgConn, 6)
	for k := range clients {
		clients[k] = w.dial()
	}
	for k, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load(); n++ {
				updatePositions()
				sql := readQuery(fmt.Sprintf("l%d-%d", k, n))
				if n%3 == 0 {
					sql = writeQuery(fmt.Sprintf("p%d-%d", k, n))
				}
				sent.Add(1)
				switch value, code, err := exec(c, sql); {
				case err == nil && code == "" && value != "":
					served.Add(1)
				case err == nil && code == "53300": // only if the class changed between reading and routing the request
					rejected.Add(1)
				default:
					t.Errorf("%s: value %q code %q, %v", sql, value, code, err)
				}
			}
		}()
	}
	awaitMore := func() { // waits until further requests are served under the present settings
		from := served.Load()
		eventually(t, func() bool { return served.Load() > from+60 || t.Failed() }, func() string { return "no progress" })
	}
	for round := range 3 {
		for _, s := range []string{movedSettings, testSettings} {
			w.reloadSettings(s)
			awaitMore()
		}
		w.reloadSettings(strings.Replace(movedSettings, `"checks": "none"`, `"checks": "perhaps"`, 1))
		w.expectLogged("reload failed", "settings.family_info.checks")
		if got, want := w.counts().Reloads, int64(2*round+2); got != want {
			t.Errorf("%d reloads of the settings, want %d", got, want)
		}
		awaitMore()
	}
	var both sync.WaitGroup
	for range 2 {
		both.Add(1)
		go func() { defer both.Done(); w.reloadSettings(movedSettings) }()
	}
	both.Wait()
	awaitMore()
	stop.Store(true)
	wg.Wait()
	ran := map[string]int{}
	for _, sql := range append(w.primary.Queries(), w.replica.Queries()...) {
		if strings.Contains(sql, "INSERT") {
			ran[sql]++
		}
	}
	for sql, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", sql, n)
		}
	}
	n := w.counts()
	if n.Reloads != 7 { // the two concurrent reloads bring the same settings and count as one
		t.Errorf("%d reloads of the settings, want 7", n.Reloads)
	}
	if sent.Load() != served.Load()+rejected.Load() || rejected.Load() != n.ClassChanged {
		t.Errorf("%d requests, %d served, %d rejected, %d of a changed class", sent.Load(), served.Load(), rejected.Load(),
			n.ClassChanged)
	}
	total := int64(0)
	for _, of := range n.Requests {
		total += of
	}
	if total+n.ClassChanged != sent.Load() {
		t.Errorf("counted %d requests by class and %d of a changed class, sent %d", total, n.ClassChanged, sent.Load())
	}
	w.expectLogged("settings in force", "family_info.checks", "costs", "rules.overload_factor")
}

// A write that is in flight when the settings change is finished under the settings with which it was read. If its connection to
// the primary is then reset it is not sent again, even if the new settings give its class the effect "free".
func TestWriteInFlightDuringAReload(t *testing.T) {
	for _, back := range []bool{false, true} {
		w := newTestGateway(t, nil)
		handle, arrived, release := blockingHandler(t)
		w.primary.SetQueryHandler(handle)
		effectFree := strings.Replace(movedSettings, "single_shot", "free", 1)
		done := make(chan string, 1)
		client := w.dial()
		go func() {
			_, code, err := exec(client, writeQuery("w1"))
			done <- fmt.Sprint(code, err)
		}()
		<-arrived
		w.reloadSettings(effectFree)
		if back {
			w.reloadSettings(testSettings)
		}
		w.replica.Role.Store("primary")
		w.primary.ResetConns()
		if got := <-done; got != "58000<nil>" {
			t.Errorf("the write ended with %s", got)
		}
		if n := len(w.primary.Queries()) + len(w.replica.Queries()); n != 1 {
			t.Errorf("the write was sent %d times", n)
		}
		release()
	}
}

// A server that discovery reports as draining before the settings change stays draining after the change.
func TestDrainSurvivesAReload(t *testing.T) {
	w := newTestGateway(t, nil)
	w.lists(formFull, 1)
	gone := w.targets()[1]
	gone.State = "draining"
	w.discovery.Push(gone)
	w.lists(formDelta, 1)
	client := w.dial()
	for k, s := range []string{movedSettings, testSettings, movedSettings} {
		w.reloadSettings(s)
		for n := range 5 {
			id := fmt.Sprintf("d%d-%d", k, n)
			w.expectAnswer(client, readQuery(id), "value of "+id, "")
		}
	}
	if n := len(w.replica.Queries()); n != 0 {
		t.Errorf("%d requests went to a draining server", n)
	}
}

// The key at fault in new settings is named, and nothing changes.
func TestFaultySettingsAreNamed(t *testing.T) {
	w := newTestGateway(t, nil)
	for change, key := range map[[2]string]string{
		{`"cross_zone": 0.014`, `"cross_zone": "dear"`}:              "settings.costs.cross_zone",
		{`"cross_zone": 0.014`, `"cross_zone": -1`}:                  "settings.costs.cross_zone",
		{`"cross_zone": 0.014`, `"cross_zone": 14`}:                  "settings.costs.cross_zone",
		{`"costs": {`, `"costs": 3, "other": {`}:                     "settings.costs",
		{`[0, 0, 500]`, `[0, 500]`}:                                  "settings.family_info.oldest_data_ms",
		{`["eventual", "mutate", "lag_bound"]`, `["eventual"]`}:      "settings.family_info.freshness",
		{`"lag_bound"`, `"quick"`}:                                   "settings.family_info.freshness[2]",
		{`"name": "long"`, `"name": "put"`}:                          "settings.classes[1].name",
		{`"overload_factor": 2.5`, `"overload_factor": [2.5]`}:       "settings.rules.overload_factor",
		{`"give_up_ms": 10000, "effect": "free"`, `"effect": "odd"`}: "settings.classes[0].effect",
	} {
		_, err := w.with(strings.Replace(movedSettings, change[0], change[1], 1))
		var fault *settings.KeyError
		if !errors.As(err, &fault) || fault.Key != key {
			t.Errorf("%s: %v, want %s", change[1], err, key)
		}
		w.gateway.Reload(nil, nil, err)
	}
	w.expectLogged("reload failed", "settings.costs.cross_zone")
	if n := w.counts().Reloads; n != 0 {
		t.Errorf("%d reloads", n)
	}
	w.expectAnswer(w.dial(), readQuery("f"), "value of f", "")
}
