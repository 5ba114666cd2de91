package policy_test

import (
	"fmt"
	"reflect"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

func TestEveryRequestEnds(t *testing.T) {
	for class := range settings().Classes {
		for _, servers := range []int{0, 2} { // queued without a server, and in flight at a server that never answers
			set := settings()
			g := newGateway(t, set)
			if servers > 0 {
				g.group(servers)
				g.reportPosition(1, 0)
			}
			g.arrive("q", class)
			var at clock.Micros
			for _, a := range g.acts {
				if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == "q" {
					at = s.At
				}
			}
			if at <= origin || at > origin+2000*ms {
				t.Fatalf("class %d: the request timer is set at %d us", class, at-origin)
			}
			g.now = at
			g.step(policy.Timer{RequestID: "q"})
			for _, a := range g.acts { // half of the time is over, and an attempt is in flight
				if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == "q" && ending(g.acts, "q") == "" {
					g.now = s.At
					g.step(policy.Timer{RequestID: "q"})
					break
				}
			}
			if ending(g.acts, "q") == "" {
				t.Errorf("class %d with %d servers has no final answer when it expires", class, servers)
			}
			g.step(policy.Timer{RequestID: "q"})
			if ending(g.acts, "q") != "" {
				t.Errorf("class %d was answered twice", class)
			}
			if out := sent(g.acts, "q"); len(out) > 0 {
				t.Errorf("class %d was sent to %v after its final answer", class, out)
			}
		}
	}
}

// A non-idempotent write that is still in flight when it expires fails. It may have run, so a rejection, which
// tells the client that a retry is harmless, would be wrong.
func TestNonIdempotentInFlightIsNotRejected(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	g.reportPosition(1, 0)
	g.arrive("w", nonIdempotentWrite)
	g.now += 1995 * ms
	g.step(policy.Timer{RequestID: "w"})
	g.wantEnd("w", "fail")
}

// A request is rejected at half of its time if nothing has been sent by then, so that its client can retry. A
// request in flight at a server continues until it expires.
func TestNothingSentByHalfTime(t *testing.T) {
	g := newGateway(t, settings())
	g.group(2)
	timer := func(id string) clock.Micros {
		for _, a := range g.acts {
			if s, ok := a.(policy.SetTimer); ok && s.Timer.RequestID == id {
				return s.At - origin
			}
		}
		t.Fatalf("no timer for %s", id)
		return 0
	}
	g.arrive("out", nonIdempotentWrite)
	g.wantSent("out", 1)
	at := timer("out")
	for i := range 20 { // the last of them finds no capacity
		g.arrive(fmt.Sprint("w", i), nonIdempotentWrite)
	}
	g.wantSent("w19")
	if held := timer("w19"); held >= 1000*ms || held != at {
		t.Errorf("the timer is set at %d us of 2 s, want about half of it", held)
	}
	g.now = origin + at
	g.step(policy.Timer{RequestID: "w19"})
	g.wantEnd("w19", "reject")
	g.step(policy.Timer{RequestID: "out"})
	g.wantEnd("out", "")
	if end := timer("out"); end < 1900*ms || end >= 2000*ms {
		t.Errorf("the second timer is set at %d us of 2 s, want the end", end)
	}
}

func TestOddInputIsHarmless(t *testing.T) {
	g := newGateway(t, policy.Settings{})
	for _, ev := range []policy.Event{
		policy.Arrival{ID: "a", Class: 3}, policy.Arrival{ID: "b", Class: -1}, policy.ClientDisconnected{ID: "nobody"},
		policy.Outcome{ID: "nobody"}, policy.Timer{RequestID: ""}, policy.Timer{RequestID: "nobody"}, policy.HealthCheckEnded{Server: 9},
		policy.AnswerStarted{ID: "nobody"}, policy.PeerMessage{Data: []byte{1}},
		policy.EndpointUpdate{Form: policy.ListFailed}, policy.EndpointUpdate{Form: policy.ListFull, Endpoints: []policy.Endpoint{{}}},
	} {
		g.step(ev)
	}
	set := settings()
	set.Classes = append(set.Classes, policy.Class{})
	g = newGateway(t, set)
	g.group(2)
	g.arrive("q", len(set.Classes)-1)
	g.step(policy.Outcome{ID: "q", Attempt: 5, Server: 1})
	g.step(policy.Outcome{ID: "q", Attempt: -1, Server: 1})
	g.step(policy.Arrival{ID: "neg", Class: anyRead, Group: 1, TimeLeft: -5 * ms})
	if ending(g.acts, "neg") == "" {
		t.Error("a request without time left got no answer")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []policy.Action {
		g := newGateway(t, settings())
		g.group(6)
		for i := range 300 {
			id := fmt.Sprint("q", i)
			for _, s := range sent(g.after(3*ms).arriveInSession(id, i%7, uint64(i%20)), id) {
				g.outcome(id, 0, s, policy.Result(i%4))
			}
			g.sweep(0)
		}
		return g.all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave different actions")
	}
}
