package session

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
)

// What a server sends after an answer, such as a second copy of it, may still be in flight when the next request is written on the
// connection. Guards against taking it for the answer to that request: a client served with the value of another request, or a
// request that ran and counts as not run.
func TestSurplusInFlight(t *testing.T) {
	end := message('S', "applied_ms\x005\x00") + message('Z', "I")
	row := func(value string) string { return string(fake.RowMessages([]byte(value))) + end }
	refusal := message('E', "SERROR\x00C53300\x00Mfull\x00\x00") + end
	failure := message('E', "SERROR\x00CXX000\x00Mfailed\x00\x00") + end
	large := row(strings.Repeat("x", 60<<10))
	for name, c := range map[string]struct {
		first, surplus string
		malformed      bool // the surplus is no answer, so that the second request fails
	}{
		"a row":                        {row("first"), row("first"), false},
		"a large row":                  {large, large, false},
		"a row and the copy of a copy": {row("first"), row("first") + row("first"), false},
		"a refusal":                    {refusal, refusal, false},
		"a failure":                    {failure, failure, false},
		"random bytes":                 {row("first"), "\x91\x02\xfe\x00\x7f\x11 and more of it", true},
		"part of a row":                {row("first"), row("first")[:40], true},
		"a row without its end":        {row("first"), string(fake.RowMessages([]byte("first"))), true},
		"the answer to an empty query": {row("first"), message('I', "") + message('Z', "I"), true},
	} {
		for _, rejectsEmpty := range []bool{false, true} {
			if rejectsEmpty && strings.HasPrefix(c.surplus, "I") {
				continue // a server that rejects empty queries does not answer them
			}
			r := newHarness(t)
			r.server.RejectsEmpty.Store(rejectsEmpty)
			r.server.SetQueryHandler(func(q *fake.Query) {
				if q.ID() != "first" {
					q.ReplyRow([]byte(q.ID()))
					return
				}
				q.Write([]byte(c.first))
				q.WriteInFlight([]byte(c.surplus))
			})
			r.servers.Send(r.job("first"))
			r.attemptEnded().Value.Free()
			time.Sleep(2 * duplicateRefusalWindow)
			r.servers.Send(r.job("second"))
			e := r.attemptEnded()
			checkOwnAnswer(t, name, "second", e)
			// At a server that rejects empty queries, the copy of an error cannot be told from the rejection.
			if ambiguous := rejectsEmpty && strings.HasPrefix(c.surplus, "E"); e.Result != policy.ResultOK && !c.malformed && !ambiguous {
				t.Errorf("%s: the second request ended with %s", name, routing.ResultNames[e.Result])
			}
			r.servers.Send(r.job("third"))
			checkOwnAnswer(t, name, "third", r.attemptEnded())
			if n := r.server.ConnsOpened(); n != 2 {
				t.Errorf("%s, empty queries rejected %v: %d connections opened, want a second one after the surplus", name, rejectsEmpty, n)
			}
		}
	}
}

// checkOwnAnswer checks the end of an attempt whose request has run: a value is its own, and no refusal counts as a proof that the
// request has not run.
func checkOwnAnswer(t *testing.T, name, id string, e routing.AttemptEnded) {
	t.Helper()
	if e.Execution == policy.ExecutionNone {
		t.Errorf("%s: the %s request ran and counts as not run", name, id)
	}
	if e.Result != policy.ResultOK {
		return
	}
	if value := bytes.Join(e.Value.BuffersFrom(0), nil); !bytes.Contains(value, []byte(id)) {
		t.Errorf("%s: the %s request was served with %.80q", name, id, value)
	}
	e.Value.Free()
}

// A health check uses the same connections as requests. Guards against a load report that is the surplus of an earlier answer, and
// against a client that is served with the surplus of a load report.
func TestSurplusInFlightAroundHealthChecks(t *testing.T) {
	r := newHarness(t)
	r.server.Position.Store(2000)
	copyOfReport := []byte(string(fake.RowMessages([]byte("x0=1.000,x1=0,cpu_share=0.25"))) + message('Z', "I"))
	r.server.SetQueryHandler(func(q *fake.Query) {
		q.ReplyRow([]byte(q.ID()))
		q.WriteInFlight(copyOfReport)
		q.WriteInFlight([]byte(string(fake.RowMessages(bytes.Repeat([]byte("x"), 60<<10))) + message('Z', "I")))
	})
	checked := func() routing.HealthCheckEnded {
		now := r.servers.Clock.Now()
		r.servers.HealthCheck(1, now, now+5_000_000)
		return (<-r.events).(routing.HealthCheckEnded)
	}
	r.servers.Send(r.job("first"))
	r.attemptEnded().Value.Free()
	if e := checked(); e.Result != policy.ResultOK || e.LoadReport.Position != 2_000_000 {
		t.Errorf("after a request: %s, report %+v", routing.ResultNames[e.Result], e.LoadReport)
	}
	r.server.SetHealthCheckHandler(func(q *fake.Query) bool {
		q.WriteInFlight(copyOfReport)
		return false
	})
	checked()
	r.servers.Send(r.job("second"))
	checkOwnAnswer(t, "after a health check", "second", r.attemptEnded())
}

// A server may reject empty queries, although the protocol has an answer for them. Guards against refusals of such a server that no longer
// count as proofs, and against a connection for each request.
func TestSyncQueryRejected(t *testing.T) {
	r := newHarness(t)
	r.server.RejectsEmpty.Store(true)
	r.server.SetQueryHandler(func(q *fake.Query) {
		if q.ID() == "refused" {
			q.ReplyError("25006")
			return
		}
		q.ReplyRow([]byte(q.ID()))
	})
	for _, id := range []string{"first", "refused", "last"} {
		r.servers.Send(r.job(id))
		e := r.attemptEnded()
		if id != "refused" {
			checkOwnAnswer(t, "a server that rejects empty queries", id, e)
		}
		if refused := e.Execution == policy.ExecutionNone; refused != (id == "refused") {
			t.Errorf("%s ended with %s, execution %s", id, routing.ResultNames[e.Result], policy.ExecutionNames[e.Execution])
		}
	}
	if n := r.server.ConnsOpened(); n != 1 {
		t.Errorf("%d connections opened, want 1", n)
	}
}

// Second copies of answers on real connections, with the network's delay and the time before the copy from none to far above the other.
func TestSurplusOnSlowLinks(t *testing.T) {
	const workers, requests = 4, 20
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, copyAfter := range []time.Duration{0, 100 * time.Microsecond, 3 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(delay, " one way, copy after ", copyAfter), func(t *testing.T) {
				t.Parallel()
				r := newHarness(t)
				relay, err := fake.NewRelay("127.0.0.1:0", r.server.Addr(), nil)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(relay.Close)
				link := fake.Impairment{Delay: delay, Jitter: delay}
				relay.Set(link, link)
				r.servers.SetEndpoint(1, relay.Addr())
				var answers atomic.Int64
				r.server.SetQueryHandler(func(q *fake.Query) {
					q.ReplyRow([]byte(q.ID()))
					if answers.Add(1)%5 == 0 {
						time.Sleep(copyAfter)
						q.ReplyRow([]byte(q.ID()))
					}
				})
				for i := range workers * requests {
					r.servers.Send(r.job(fmt.Sprintf("request-%03d", i)))
					if i < workers {
						continue
					}
					e := r.attemptEnded()
					checkOwnAnswer(t, t.Name(), e.Job.ID, e)
				}
				for range workers {
					e := r.attemptEnded()
					checkOwnAnswer(t, t.Name(), e.Job.ID, e)
				}
			})
		}
	}
}
