package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/settings"
)

// The classes of TestStopAnswersEveryWait. Each class of in-doubt writes has requests that wait in another way; see stuckStore.
const (
	classMark       = "mark"       // session reads, which wait for the session's position
	classKept       = "kept"       // writes whose position is being stored
	classServer     = "server"     // reads that wait for the primary's answer, or for capacity
	classClaim      = "claim"      // in-doubt writes that wait for their claim, or for another request with the same statement
	classPermission = "permission" // ... that wait for the permission to send the last byte
	classOutcome    = "outcome"    // ... whose outcome is being stored
	classOwner      = "owner"      // ... that wait for the gateway that owns the intent
	classLookup     = "lookup"     // ... that wait for a lookup
)

var inDoubtClasses = []string{classClaim, classPermission, classOutcome, classOwner, classLookup}

// stuckStore is a store that does not carry out the calls that requests of a class wait for. Such a call ends at its deadline.
type stuckStore struct {
	markStore
	mu      sync.Mutex
	classes map[string]string // by key of an intent
}

// timeOut ends a call at its deadline.
func (s *stuckStore) timeOut(deadline time.Time, done func(intents.StoreReply)) {
	time.AfterFunc(time.Until(deadline), func() { done(intents.StoreReply{Result: indoubt.Unknown}) })
}

func (s *stuckStore) Put(key, value []byte, version uint64, _ time.Duration, deadline time.Time, done func(intents.StoreReply)) {
	var intent indoubt.Intent
	if json.Unmarshal(value, &intent) != nil || version > 0 {
		s.timeOut(deadline, done)
		return
	}
	s.mu.Lock()
	s.classes[string(key)] = intent.Class
	s.mu.Unlock()
	const afterSendWindow = 300 * time.Millisecond // the claim then has to be confirmed
	switch intent.Class {
	case classOutcome:
		go done(intents.StoreReply{Version: 1})
	case classPermission:
		time.AfterFunc(afterSendWindow, func() { done(intents.StoreReply{Version: 1}) })
	case classOwner, classLookup:
		go done(intents.StoreReply{Result: indoubt.Conflict})
	default:
		s.timeOut(deadline, done)
	}
}

func (s *stuckStore) Get(key []byte, deadline time.Time, done func(intents.StoreReply)) {
	s.mu.Lock()
	class := s.classes[string(key)]
	s.mu.Unlock()
	intent := indoubt.Intent{State: indoubt.Open, Owner: "other", Class: class, TimeLeft: clock.Micros(time.Hour / time.Microsecond)}
	switch class {
	case classLookup:
		intent.State = indoubt.InDoubt
	case classOwner:
	default:
		s.timeOut(deadline, done)
		return
	}
	value, _ := json.Marshal(&intent)
	go done(intents.StoreReply{Version: 1, Value: value, Found: true})
}

// waitSettings returns settings with the classes of TestStopAnswersEveryWait, all of them with one deadline.
func waitSettings(deadline time.Duration) *settings.Snapshot {
	var classes, freshness, bounds []string
	add := func(name, need, effect string) {
		classes = append(classes, fmt.Sprintf(`{"name": %q, "aim_ms": %d, "give_up_ms": %d, "effect": %q, "points": 2, "late_worth": 0.5}`,
			name, deadline.Milliseconds()/2, deadline.Milliseconds(), effect))
		freshness, bounds = append(freshness, fmt.Sprintf("%q", need)), append(bounds, "0")
	}
	add(classMark, "causal", "free")
	add(classServer, "strong", "free")
	for _, class := range append([]string{classKept}, inDoubtClasses...) {
		add(class, "mutate", "single_shot")
	}
	text := testSettings[:strings.Index(testSettings, `"classes"`)] + `"classes": [` + strings.Join(classes, ",") + "],\n " +
		testSettings[strings.Index(testSettings, `"family_info"`):]
	text = strings.NewReplacer(`["eventual", "mutate"]`, "["+strings.Join(freshness, ",")+"]", `"oldest_data_ms": [0, 0]`,
		`"oldest_data_ms": [`+strings.Join(bounds, ",")+"]", `"brought"`, `"kept"`).Replace(text)
	return must2(settings.Parse([]byte(text)))
}

// withStuckStore makes a gateway keep marks and intents in a stuckStore.
func withStuckStore(t *testing.T) func(*Gateway) {
	return func(g *Gateway) {
		store := &stuckStore{classes: map[string]string{}}
		withMarkStore(store)(g)
		g.positions.classes = map[string]bool{classMark: true, classKept: true}
		classes := map[string]intents.Class{}
		for _, name := range inDoubtClasses {
			policy := indoubt.Policy{RepeatsMarked: true, StoreBeforeReply: true, HasLookup: name == classLookup, Retention: 60_000_000, MaxInFlight: 4096}
			classes[name] = intents.Class{Policy: policy, LookupClass: classServer}
		}
		service := intents.New(intents.Settings{
			Node: "n0", Incarnation: 1, Classes: classes, Log: g.log, Now: g.clock.Now, ToTime: g.clock.Time,
			Lookup: func(class, key string, group int, by time.Time, done func(row, answer []byte, ok bool)) {
				g.clients.Lookup(class, key, group, by, done)
			},
		})
		service.SetStore(store)
		g.intents, g.clients.InDoubtWrites = service, service
	}
}

// statementOf returns a statement of a class of TestStopAnswersEveryWait.
func statementOf(class, id, key string, deadline time.Duration) string {
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=7 */ ", id, class, deadline.Milliseconds())
	if class == classMark || class == classServer {
		return head + fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", key)
	}
	return head + fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x01') RETURNING content`, key)
}

// TestStopAnswersEveryWait guards against requests that get no answer when a gateway stops, because they wait for something that the end of
// the shutdown did not look at: a session's position, in particular (incident of 2026-12-06, waits at a stop). Clients send on open connections
// until these end. Their requests wait for each thing that a request can wait for, and nothing of it ever comes.
func TestStopAnswersEveryWait(t *testing.T) {
	const (
		crossing   = 100 * time.Millisecond // a request that was sent so shortly before the connection's end may not have been read
		answerTime = 550 * time.Millisecond // after its time a request must have its answer by then
		killAfter  = 700 * time.Millisecond // the platform may kill the gateway so long after the longest deadline, of 3 s at most
		perClass   = 8
	)
	for _, deadline := range []time.Duration{100 * time.Millisecond, 240 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("deadline ", deadline), func(t *testing.T) {
			w := newTestGateway(t, func(c *config.Config) { c.InForce = waitSettings(deadline) }, withStuckStore(t))
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			w.primary.SetQueryHandler(func(q *fake.Query) {
				if strings.Contains(q.SQL, "SELECT") {
					<-release
				}
				q.ReplyRow([]byte("value of " + q.ID()))
			})
			kill := min(deadline, maxDeadlineAllowance) + killAfter
			var clients sync.WaitGroup
			var stopAt, lastEnd, answered, lost atomic.Int64
			for _, class := range append([]string{classMark, classServer, classKept}, inDoubtClasses...) {
				for n := range perClass {
					conn := w.dial()
					clients.Go(func() {
						for i := 0; ; i++ {
							id, key := fmt.Sprint(class, n, "-", i), fmt.Sprint("k", n, "-", i)
							if class == classClaim {
								key = fmt.Sprint("same", n/2) // two requests at a time are the same write
							}
							sent := time.Now()
							_, code, err := exec(conn, statementOf(class, id, key, deadline))
							took := time.Since(sent)
							switch {
							case took > deadline+answerTime:
								lost.Add(1)
								t.Errorf("%s: answered after %v: code %q, error %v", id, took, code, err)
							case err != nil && took > crossing:
								lost.Add(1)
								t.Errorf("%s: no answer, the connection ended %v after it was sent, which was %v after the stop: %v", id, took,
									sent.Sub(time.UnixMicro(stopAt.Load())), err)
							case stopAt.Load() > 0 && time.Since(time.UnixMicro(stopAt.Load())) > kill && time.Since(sent) > crossing:
								lost.Add(1)
								t.Errorf("%s: answered %v after the stop, which is after the kill at %v", id, time.Since(time.UnixMicro(stopAt.Load())), kill)
							case err == nil:
								answered.Add(1)
							}
							if err != nil {
								lastEnd.Store(max(lastEnd.Load(), time.Now().UnixMicro()))
								return
							}
							time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
						}
					})
				}
			}
			time.Sleep(min(deadline, 700*time.Millisecond))
			stopAt.Store(time.Now().UnixMicro())
			w.stopped = true
			w.gateway.Stop()
			clients.Wait()
			if end := time.Duration(lastEnd.Load()-stopAt.Load()) * time.Microsecond; end > kill {
				t.Errorf("the last connection ended %v after the stop, which is after the kill at %v", end, kill)
			}
			t.Logf("%d answered, %d lost", answered.Load(), lost.Load())
			if answered.Load() < 8*perClass {
				t.Errorf("only %d requests were answered", answered.Load())
			}
		})
	}
}

// TestStopWithDrainTimeout guards against a floating address whose drain timeout holds the end of a stop up until after the kill (incident of
// 2026-12-06, drain timeouts at a stop): all requests get their answers before that, at the address and elsewhere.
func TestStopWithDrainTimeout(t *testing.T) {
	for _, deadline := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("deadline %v, address kept %v", deadline, kept), func(t *testing.T) {
				f := newGatewayFleet(t, true, func(_ int, c *config.Config) { c.InForce = waitSettings(deadline) }, 200, 100)
				release := make(chan struct{})
				t.Cleanup(func() { close(release) })
				f.primary.SetQueryHandler(func(q *fake.Query) { <-release; q.ReplyRow(nil) })
				f.awaitActive(0)
				f.reload(0, func(s string) string {
					s += "drain-timeout 1s\n"
					if kept {
						s += "track draining 40\n"
					}
					return s
				})
				kill := min(deadline, maxDeadlineAllowance) + 700*time.Millisecond
				var clients sync.WaitGroup
				var stopAt atomic.Int64
				const patience = 20 * time.Second // the requests themselves wait for longer than the stop may take
				for n := range 8 {
					c := f.open([]string{f.floating[0], f.gateways[0].Addr()}[n%2])
					clients.Go(func() {
						for i := 0; ; i++ {
							sent := time.Now()
							c.Write(query(statementOf(classServer, fmt.Sprint("r", n, "-", i), "k", patience)))
							kinds, _, err := c.tryReadUntil('Z')
							since := time.Since(time.UnixMicro(stopAt.Load()))
							if since > kill {
								t.Errorf("r%d-%d: %q, %v, %v after the stop; the kill is at %v", n, i, kinds, err, since, kill)
							}
							if err == nil {
								continue
							}
							if kinds == "" && time.Since(sent) > 100*time.Millisecond {
								t.Errorf("r%d-%d: no answer, sent %v before the connection's end", n, i, time.Since(sent))
							}
							return
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
				stopAt.Store(time.Now().UnixMicro())
				f.gateways[0].Stop()
				f.gateways[0] = nil
				clients.Wait()
			})
		}
	}
}
