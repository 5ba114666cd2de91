package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/routing"
)

const testSettings = `{"balancers": 1,
 "classes": [
  {"name": "look", "aim_ms": 2000, "give_up_ms": 4000, "effect": "free", "points": 2, "late_worth": 0.25},
  {"name": "put", "aim_ms": 2000, "give_up_ms": 5000, "effect": "single_shot", "points": 6, "late_worth": 0.5}],
 "family_info": {"answers_stamped": true, "checks": "await", "wait_ms": 50, "freshness": ["eventual", "mutate"],
  "oldest_data_ms": [0, 0], "write_marks": "brought"},
 "granularity_ms": 5, "membership_mode": "subscribe",
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250, "most_tries": 4, "probing": true,
  "keepalive_ms": 30000},
 "report": {"how": "probe", "fields": ["x0", "x1", "cpu_share"]},
 "rules": {"ask_within_ms": 10000, "cold_from": 0.26, "fall_ms": 3000, "grace_to_answer_ms": 20,
  "overload_factor": 4, "ramp_time_ms": 16000, "stop_sending_within_ms": 250}}`

// testTimeout limits every wait for an event. A test reaches it only when it fails.
const testTimeout = 20 * time.Second

// logBuffer collects the gateway's log.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testGateway is a gateway with a fake primary, replica and discovery.
type testGateway struct {
	t         *testing.T
	primary   *fake.Server
	replica   *fake.Server
	discovery *fake.Discovery
	gateway   *Gateway
	log       *logBuffer
	cfg       *config.Config
	stopped   bool
}

// newTestGateway starts a gateway. change may change its configuration, and tune its time limits.
func newTestGateway(t *testing.T, change func(*config.Config), tune ...func(*Gateway)) *testGateway {
	t.Helper()
	checkLeaks(t)
	w := &testGateway{t: t, log: &logBuffer{}}
	w.primary = must2(fake.NewServer("primary"))
	w.replica = must2(fake.NewServer("replica"))
	w.discovery = must2(fake.NewDiscovery(w.targets()...))
	raw, _ := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:1", "discovery": w.discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"rev": 1, "all": true, "targets": w.targets()},
		"settings": json.RawMessage(testSettings),
	})
	w.cfg = must2(config.Parse(raw, func(string) string { return "" }))
	w.cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(w.cfg)
	}
	w.gateway = must2(start(w.cfg, &config.Operators{}, w.log, func(g *Gateway) {
		for _, f := range tune {
			f(g)
		}
	}))
	t.Cleanup(w.close)
	return w
}

func must2[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (w *testGateway) targets() []fake.Endpoint {
	return []fake.Endpoint{
		{UID: "p", Addr: w.primary.Addr(), Group: 7, State: "ready", Weight: 1, Role: "primary"},
		{UID: "r", Addr: w.replica.Addr(), Group: 7, State: "ready", Weight: 1, Role: "replica"},
	}
}

func (w *testGateway) close() {
	if !w.stopped {
		w.stopped = true
		w.gateway.Stop()
	}
	w.primary.Close()
	w.replica.Close()
	w.discovery.Close()
	if w.t.Failed() {
		w.t.Logf("the gateway's log:\n%s", w.log)
	}
}

// checkLeaks fails the test if more goroutines or descriptors are left at its end than there were at its start.
func checkLeaks(t *testing.T) {
	t.Helper()
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // the first socket makes the runtime open the poller's own descriptors
		l.Close()
	}
	goroutines, fds := runtime.NumGoroutine(), descriptors()
	t.Cleanup(func() {
		eventually(t, func() bool { return runtime.NumGoroutine() <= goroutines && descriptors() <= fds }, func() string {
			stacks := make([]byte, 1<<16)
			return fmt.Sprintf("%d goroutines of %d, %d descriptors of %d\n%s", runtime.NumGoroutine(), goroutines,
				descriptors(), fds, stacks[:runtime.Stack(stacks, true)])
		})
	})
}

func descriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}

// eventually waits until a condition is true. If it does not become true in time, the test fails with failure's text.
func eventually(t *testing.T, condition func() bool, failure func() string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
		if time.Now().After(end) {
			t.Fatal(failure())
		}
	}
}

// expectLogged waits for a log line that contains all of the words.
func (w *testGateway) expectLogged(words ...string) {
	w.t.Helper()
	eventually(w.t, func() bool {
		for _, line := range strings.Split(w.log.String(), "\n") {
			all := true
			for _, word := range words {
				all = all && strings.Contains(line, word)
			}
			if all {
				return true
			}
		}
		return false
	}, func() string { return fmt.Sprintf("no log line with %q in\n%s", words, w.log) })
}

// counts returns a copy of the routing core's counters.
func (w *testGateway) counts() (c routing.Counts) {
	w.gateway.owner.Call(func(core *routing.Core) {
		c = core.Counts
		c.Requests, c.Sends, c.Disconnects = slices.Clone(c.Requests), slices.Clone(c.Sends), slices.Clone(c.Disconnects)
		for k := range c.Answers {
			c.Answers[k] = slices.Clone(c.Answers[k])
		}
	})
	return c
}

// dial opens a client connection with pgconn, a client library that shares no code with the gateway.
func (w *testGateway) dial() *pgconn.PgConn {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, "postgres://backend@"+w.gateway.Addr()+"/store?sslmode=prefer")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func readQuery(id string) string {
	return "/* id=" + id + ",c=look,d=4000,cluster=7 */ SELECT content FROM kv WHERE name = 'k'"
}

func writeQuery(id string) string {
	return "/* id=" + id + ",c=put,d=5000,cluster=7 */ INSERT INTO kv (name, content) VALUES ('k', '\\x01') RETURNING content"
}

// exec sends one statement and returns the value in its result, or the SQLSTATE of the error.
func exec(c *pgconn.PgConn, sql string) (value, code string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res, err := c.Exec(ctx, sql).ReadAll()
	if e, ok := err.(*pgconn.PgError); ok {
		return "", e.Code, nil
	}
	if err != nil {
		return "", "", err
	}
	if len(res) == 1 && len(res[0].Rows) == 1 {
		return string(res[0].Rows[0][0]), "", nil
	}
	return "", "", nil
}

func (w *testGateway) expectAnswer(c *pgconn.PgConn, sql, value, code string) {
	w.t.Helper()
	v, got, err := exec(c, sql)
	if err != nil || v != value || got != code {
		w.t.Fatalf("%s: value %q code %q (%v), want %q, %q", sql, v, got, err, value, code)
	}
}

func TestServesByClass(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.dial()
	w.expectAnswer(c, "", "", "")
	w.expectAnswer(c, readQuery("a1"), "value of a1", "")
	w.expectAnswer(c, writeQuery("b1"), "value of b1", "")
	if got := w.replica.Queries(); len(got) != 1 || !strings.Contains(got[0], "id=a1") {
		t.Errorf("the replica got %q", got)
	}
	got := w.primary.Queries()
	if len(got) != 1 {
		t.Fatalf("the primary got %q", got)
	}
	d := (&fake.Query{SQL: got[0]}).Field("d")
	if strings.Replace(got[0], "d="+d, "d=5000", 1) != writeQuery("b1") {
		t.Errorf("the statement changed: %q", got[0])
	}
	w.expectAnswer(c, readQuery("a2"), "value of a2", "")
	if n := w.replica.ConnsOpened(); n > 2 { // one for reads, and perhaps one for a health check at the same time
		t.Errorf("%d connections for two reads one after the other", n)
	}
	eventually(t, func() bool { n := w.counts(); return n.Answers[routing.AnswerServed][0] == 2 && n.Requests[1] == 1 },
		func() string { return fmt.Sprintf("%+v", w.counts()) })
}

// The answer to the client, and the number of attempts, for each outcome of an attempt that the protocol distinguishes.
func TestOutcomeTable(t *testing.T) {
	for _, c := range []struct {
		name    string
		sql     func(string) string
		handle  func(*fake.Query)
		code    string // the SQLSTATE that the client gets
		repeats bool   // the request may be sent again
	}{
		{"write at a replica", writeQuery, func(q *fake.Query) { q.ReplyError("25006") }, "53300", true},
		{"error", writeQuery, func(q *fake.Query) { q.ReplyError("XX000") }, "58000", false},
		{"rejected", writeQuery, func(q *fake.Query) { q.ReplyError("53300") }, "53300", true},
		{"reset after the last byte", writeQuery, func(q *fake.Query) { q.CloseConn() }, "58000", false},
		{"reset within the value", writeQuery, func(q *fake.Query) {
			row := fake.RowMessages([]byte("some value"))
			q.Write(row[:len(row)-20])
			q.CloseConn()
		}, "58000", false},
		{"not PostgreSQL", writeQuery, func(q *fake.Query) { q.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, "58000", false},
		{"ready without a row", writeQuery, func(q *fake.Query) { q.Write([]byte{'Z', 0, 0, 0, 5, 'I'}) }, "58000", false},
		{"no answer", func(id string) string { return strings.Replace(writeQuery(id), "d=5000", "d=300", 1) },
			func(*fake.Query) {}, "58000", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestGateway(t, nil)
			w.primary.SetQueryHandler(c.handle)
			w.replica.SetQueryHandler(func(q *fake.Query) { q.ReplyError("25006") })
			sql := c.sql("x1")
			if c.repeats {
				sql = strings.Replace(sql, "d=5000", "d=700", 1)
			}
			client := w.dial()
			w.expectAnswer(client, sql, "", c.code)
			n := len(w.primary.Queries()) + len(w.replica.Queries())
			if !c.repeats && n != 1 {
				t.Errorf("sent %d times", n)
			}
			w.primary.SetQueryHandler(func(q *fake.Query) { q.ReplyRow([]byte("fine")) })
			w.expectAnswer(client, "", "", "") // the client's connection stays open
		})
	}
}

// A failed start-up proves that the write had no effect. The write waits for its server and is served or rejected, but not
// failed.
func TestServerDownAtWrite(t *testing.T) {
	w := newTestGateway(t, nil)
	w.primary.RejectStartups("57P03")
	w.replica.SetQueryHandler(func(q *fake.Query) { q.ReplyError("25006") })
	w.expectAnswer(w.dial(), strings.Replace(writeQuery("x"), "d=5000", "d=600", 1), "", "53300")
	if n := len(w.primary.Queries()); n != 0 {
		t.Errorf("%d statements reached a server that was not up", n)
	}
}

// The gateway notices that idle connections were closed because the server's process died: the next write opens a new connection.
func TestDeadIdleConnectionLosesNoWrite(t *testing.T) {
	w := newTestGateway(t, nil)
	c := w.dial()
	for i := range 20 {
		w.expectAnswer(c, writeQuery(fmt.Sprint("p", i)), fmt.Sprint("value of p", i), "")
		w.primary.ResetConns()
	}
	if n := len(w.primary.Queries()); n != 20 {
		t.Errorf("%d statements for 20 writes", n)
	}
}

// If the server closes the connection right after an answer, the answer counts, and the next request uses another connection.
func TestServerClosesBehindAnswer(t *testing.T) {
	w := newTestGateway(t, nil)
	w.primary.SetQueryHandler(func(q *fake.Query) {
		q.ReplyRow([]byte("last"))
		q.CloseConn()
	})
	c := w.dial()
	for i := range 20 {
		w.expectAnswer(c, writeQuery(fmt.Sprint("p", i)), "last", "")
		<-w.primary.Closed
	}
}

// A connection on which an attempt timed out is closed and not used again.
func TestTimedOutConnectionIsClosed(t *testing.T) {
	w := newTestGateway(t, nil)
	conns := make(chan int, 16)
	w.primary.SetQueryHandler(func(q *fake.Query) { conns <- q.Conn })
	c := w.dial()
	w.expectAnswer(c, strings.Replace(writeQuery("x"), "d=5000", "d=200", 1), "", "58000")
	first := <-conns
	for n := range w.primary.Closed {
		if n == first {
			break
		}
	}
	w.primary.SetQueryHandler(func(q *fake.Query) { conns <- q.Conn; q.ReplyRow([]byte("v")) })
	w.expectAnswer(c, writeQuery("y"), "v", "")
	if second := <-conns; second == first {
		t.Error("the connection was used again")
	}
}

// If a client disconnects while its request is in flight, the gateway cancels the attempt.
func TestClientGoneCancels(t *testing.T) {
	w := newTestGateway(t, nil)
	arrived := make(chan int, 1)
	w.primary.SetQueryHandler(func(q *fake.Query) { arrived <- q.Conn })
	nc := w.raw()
	nc.Write(query(writeQuery("x")))
	conn := <-arrived
	nc.Close()
	for n := range w.primary.Closed {
		if n == conn {
			break
		}
	}
	w.expectLogged(`"party":"client"`, `"reason":"peer_gone"`)
	w.expectLogged(`"party":"server"`, `"reason":"abandoned"`)
	if n := w.counts(); n.Disconnects[1] != 1 || n.Answers[routing.AnswerFailed][1] != 0 {
		t.Errorf("%+v", n)
	}
}

func TestSecondStartUnderTheSameAddress(t *testing.T) {
	w := newTestGateway(t, nil)
	w.expectAnswer(w.dial(), readQuery("a"), "value of a", "")
	w.cfg.Listen = w.gateway.Addr()
	if _, err := Start(w.cfg, w.gateway.operators, w.log); err == nil {
		t.Fatal("two gateways listen at one address")
	}
	w.gateway.Stop()
	w.gateway = must2(Start(w.cfg, w.gateway.operators, w.log))
	w.expectAnswer(w.dial(), readQuery("b"), "value of b", "")
}

func TestStopAnswersWhatWasTaken(t *testing.T) {
	w := newTestGateway(t, nil)
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	w.primary.SetQueryHandler(func(q *fake.Query) {
		arrived <- struct{}{}
		<-release
		q.ReplyRow([]byte("late"))
	})
	idle := w.raw()
	results := make(chan string, 8)
	const writes = 3
	for i := range writes {
		c := w.dial()
		go func() {
			v, code, err := exec(c, writeQuery(fmt.Sprint("x", i)))
			results <- fmt.Sprint(v, code, err)
		}()
	}
	for range writes {
		<-arrived
	}
	done := make(chan struct{})
	go func() {
		w.gateway.Stop()
		close(done)
	}()
	w.expectLogged("stopping")
	// The front may still send clients to this gateway: a new connection is served as before.
	w.expectAnswer(w.dial(), readQuery("new"), "value of new", "")
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection got something")
	}
	w.expectLogged(`"party":"client"`, `"reason":"drain"`)
	select {
	case <-done:
		t.Fatal("stopped with requests in flight")
	default:
	}
	close(release)
	for range writes {
		if got := <-results; got != "late<nil>" {
			t.Errorf("a request accepted before the stop ended with %s", got)
		}
	}
	<-done
	w.stopped = true
	w.expectLogged("stopped")
	if _, err := net.Dial("tcp", w.gateway.Addr()); err == nil {
		t.Error("the address still accepts connections")
	}
}

// blockedWriter blocks all writes until held is closed. It closes blocked at the first write.
type blockedWriter struct {
	logBuffer
	held    chan struct{}
	blocked chan struct{}
	once    sync.Once
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.blocked) })
	<-b.held
	return b.logBuffer.Write(p)
}

// A log whose output is blocked delays no request.
func TestBlockedLog(t *testing.T) {
	w := newTestGateway(t, nil)
	out := &blockedWriter{held: make(chan struct{}), blocked: make(chan struct{})}
	first := w.gateway
	first.Stop()
	w.gateway = must2(Start(w.cfg, &config.Operators{}, out))
	<-out.blocked
	for i := range 50 {
		c := w.dial()
		w.expectAnswer(c, writeQuery(fmt.Sprint("b", i)), fmt.Sprint("value of b", i), "")
		c.Close(context.Background())
	}
	close(out.held)
	w.gateway.Stop()
	w.stopped = true
	if !strings.Contains(out.String(), "stopped") {
		t.Error("the last log line is missing")
	}
}
