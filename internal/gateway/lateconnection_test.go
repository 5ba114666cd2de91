package gateway

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/settings"
)

// lateConnectionSettings returns the test settings with servers that do not check freshness, and with reads of one need.
func lateConnectionSettings(need string, bound time.Duration, marks string) func(*config.Config) {
	return freshnessSettings("none", need, bound, marks)
}

// freshnessSettings returns the test settings with servers that check freshness in one way, and with reads of one need.
func freshnessSettings(checks, need string, bound time.Duration, marks string) func(*config.Config) {
	text := strings.NewReplacer(
		`"checks": "await", "wait_ms": 50, "freshness": ["eventual", "mutate"]`,
		fmt.Sprintf(`"checks": %q, "wait_ms": 0, "freshness": [%q, "mutate"]`, checks, need),
		`"oldest_data_ms": [0, 0]`, fmt.Sprintf(`"oldest_data_ms": [%d, 0]`, bound.Milliseconds()),
		`"write_marks": "brought"`, fmt.Sprintf(`"write_marks": %q`, marks),
	).Replace(testSettings)
	return func(cfg *config.Config) { cfg.InForce = must2(settings.Parse([]byte(text))) }
}

// closeAfterEach makes a replica close its connection after each query and each health check, so that every read needs a new connection.
// onRead is called when a read arrives.
func closeAfterEach(replica *fake.Server, onRead func(*fake.Query)) {
	replica.SetQueryHandler(func(q *fake.Query) {
		onRead(q)
		q.ReplyRow([]byte("value of " + q.ID()))
		q.CloseConn()
	})
	replica.SetHealthCheckHandler(func(q *fake.Query) bool {
		ms := replica.Position.Load()
		q.ReplyRow([]byte(fmt.Sprintf("x0=%d.%03d,x1=0,cpu_share=0.25", ms/1000, ms%1000)))
		q.CloseConn()
		return true
	})
}

// TestBoundedReadsBehindLateConnections guards against reads that are placed on a replica that is just fresh enough, wait for a
// connection, and are written when its data is older than the class allows (incident of 2026-12-06, late connections).
func TestBoundedReadsBehindLateConnections(t *testing.T) {
	const slack = 50 * time.Millisecond // every time limit on sockets is so much longer
	for _, c := range []struct{ bound, late time.Duration }{
		{800 * time.Millisecond, 200 * time.Millisecond},
		{800 * time.Millisecond, 110 * time.Millisecond},
		{500 * time.Millisecond, 230 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("bound %v, connections %v late", c.bound, c.late), func(t *testing.T) {
			w := newTestGateway(t, lateConnectionSettings("lag_bound", c.bound, "brought"))
			w.primary.Position.Store(time.Now().UnixMilli())
			frozen := time.Now() // the replica applies nothing from now on
			w.replica.Position.Store(frozen.UnixMilli())
			var fromReplica, oldest atomic.Int64
			closeAfterEach(w.replica, func(*fake.Query) {
				fromReplica.Add(1)
				age := int64(time.Since(frozen))
				for last := oldest.Load(); age > last && !oldest.CompareAndSwap(last, age); last = oldest.Load() {
				}
			})
			eventually(t, w.gateway.isReady, func() string { return "the gateway is not ready" })
			w.replica.StartupDelay.Store(int64(c.late))
			var clients sync.WaitGroup
			const readers = 8
			for n := range readers {
				conn := w.dial()
				clients.Go(func() {
					time.Sleep(c.late * time.Duration(n) / readers) // so that reads are placed at all ages of the data
					for i := 0; time.Since(frozen) < c.bound+2*c.late; i++ {
						id := fmt.Sprintf("r%d-%d", n, i)
						if value, code, err := exec(conn, readQuery(id)); err != nil || value != "value of "+id {
							t.Errorf("%s: value %q, code %q, error %v", id, value, code, err)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			if fromReplica.Load() == 0 {
				t.Error("no read reached the replica")
			}
			if age := time.Duration(oldest.Load()); age > c.bound+slack {
				t.Errorf("a read reached the replica when its data was %v old; %v allowed", age, c.bound+slack)
			}
		})
	}
}

// TestSessionReadBehindLateConnection guards against a read that was placed on a replica before its session wrote, waits for a
// connection, and is written there after the write was answered (incident of 2026-12-06, late connections).
func TestSessionReadBehindLateConnection(t *testing.T) {
	w := newTestGateway(t, lateConnectionSettings("causal", 0, "kept"))
	w.replica.Position.Store(time.Now().UnixMilli())
	closeAfterEach(w.replica, func(*fake.Query) {})
	eventually(t, w.gateway.isReady, func() string { return "the gateway is not ready" })
	w.expectAnswer(w.dial(), readQuery("before"), "value of before", "")
	w.replica.StartupDelay.Store(int64(200 * time.Millisecond))
	reader, writer := w.dial(), w.dial()
	opened := w.replica.ConnsOpened()
	var read sync.WaitGroup
	read.Go(func() {
		if value, code, err := exec(reader, readQuery("behind")); err != nil || value != "value of behind" {
			t.Errorf("value %q, code %q, error %v", value, code, err)
		}
	})
	eventually(t, func() bool { return w.replica.ConnsOpened() > opened }, func() string { return "the read opened no connection" })
	w.primary.Position.Store(time.Now().UnixMilli())
	w.expectAnswer(writer, writeQuery("write"), "value of write", "")
	read.Wait()
	for _, sql := range w.replica.Queries() {
		if strings.Contains(sql, "id=behind") {
			t.Error("the read reached the replica after its session's write was answered")
		}
	}
}
