package testcluster

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// story is a short history: its events have times in whole milliseconds.
type story []Event

func at(ms int64, e Event) Event {
	e.At = ms * 1000
	return e
}

// booked is one booking by way of gateway 1 that runs at the primary and ends as given.
func booked(ms int64, id, key, end string) story {
	value := ""
	if end == EndServed {
		value = id + Present
	}
	return story{
		at(ms, Event{Kind: RequestSent, Node: 1, ID: id, Client: "c", Class: ClassBooking, Key: key, Timeout: 1_000_000}),
		at(ms+1, Event{Kind: RequestForwarded, Node: 1, ID: id, Server: "p"}),
		at(ms+2, Event{Kind: RequestExecuted, Node: 1, ID: id, Class: ClassBooking, Key: key, Server: "p", What: rolePrimary}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 1, ID: id, Client: "c", Class: ClassBooking, Key: key, What: end, Value: value}),
	}
}

// viewed is a read of some class at a server whose data are ageMS old.
func viewed(ms int64, id, class, server, value string, ageMS int64) story {
	role := roleReplica
	if server == "p" {
		role = rolePrimary
	}
	return story{
		at(ms, Event{Kind: RequestSent, Node: 1, ID: id, Client: "v", Class: class, Key: "k", Timeout: 1_000_000}),
		at(ms+1, Event{Kind: RequestForwarded, Node: 1, ID: id, Server: server}),
		at(ms+2, Event{Kind: RequestExecuted, Node: 1, ID: id, Class: class, Key: "k", Server: server, What: role, DataAge: ageMS * 1000}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 1, ID: id, Client: "v", Class: class, Key: "k", What: EndServed, Value: id + value}),
	}
}

// again is a retry of a booking with an end and a value; nothing runs.
func again(ms int64, id, key, end, value string) story {
	return story{
		at(ms, Event{Kind: RequestSent, Node: 2, ID: id, Client: "c", Class: ClassBooking, Key: key, Timeout: 1_000_000, Text: retryMark}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 2, ID: id, Client: "c", Class: ClassBooking, Key: key, What: end, Value: value}),
	}
}

// ending gives a request another end, without a value.
func ending(s story, what string) story {
	s[len(s)-1].What, s[len(s)-1].Value = what, ""
	return s
}

// closing makes the end of a request the close of its connection.
func closing(s story) story {
	s[len(s)-1].Text = retryMark + " " + codeShutdown + " the address has moved to another gateway"
	return s
}

// looked is a gateway's own lookup.
func looked(ms int64, key string) Event {
	return at(ms, Event{Kind: RequestExecuted, Node: 2, ID: "look-1", Class: ClassSeat, Key: key, Server: "p", What: rolePrimary})
}

func fault(from, to int64, line string) story {
	return story{at(from, Event{Kind: FaultStarted, What: line}), at(to, Event{Kind: FaultEnded, What: line})}
}

func ended(ms int64, how string) Event {
	return at(ms, Event{Kind: ProcessChanged, Node: 1, What: ProcessEnded, Text: how})
}

func phase(ms int64, what string) Event { return at(ms, Event{Kind: PhaseReached, What: what}) }

// standing is a maintenance state of a machine that a gateway reports.
func standing(ms int64, node int, machine, state string) Event {
	return at(ms, Event{Kind: StateReported, Node: node, What: "order " + machine, Text: state})
}

func told(ms int64, server, state string) Event {
	return at(ms, Event{Kind: EndpointUpdateSent, Node: 1, Server: server, What: state})
}

func belief(ms int64, node int, state string) Event {
	return at(ms, Event{Kind: StateReported, Node: node, What: "vrrp counters", Text: state})
}

func join(parts ...story) (out story) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return append(out, at(9000, Event{Kind: PhaseReached, What: PhaseDone}))
}

// without drops the events of a kind.
func without(s story, kind Kind) (out story) {
	for _, e := range s {
		if e.Kind != kind {
			out = append(out, e)
		}
	}
	return out
}

// Each checker sees what it is there for, in a history made for it, and nothing in one that is nearly the same and sound.
func TestCheckersBite(t *testing.T) {
	lost := booked(100, "a", "k", EndReset)
	unsent := without(without(lost, RequestForwarded), RequestExecuted)
	slow := booked(100, "a", "k", EndTimeout)
	for _, c := range []struct {
		name string
		rule string // empty: sound
		h    story
	}{
		{"a booking", "", join(booked(100, "a", "k", EndServed))},
		{"an answer that never came", "answers", join(without(booked(100, "a", "k", EndServed), ResponseReceived))},
		{"two answers", "answers", join(booked(100, "a", "k", EndServed), story{at(150, Event{Kind: ResponseReceived, Node: 1, ID: "a", What: EndFailed})})},
		{"an answer that nobody asked for", "answers", join(without(booked(100, "a", "k", EndServed), RequestSent))},
		{"another's value", "answers", join(viewed(100, "a", ClassView, "r1", "b"+Present, 1))},
		{"a connection reset", "answers", join(lost)},
		{"reset by the gateway's death", "", join(lost, fault(105, 300, "at 1s kill 1"), story{ended(107, "signal: killed")})},
		{"reset, written to one that had just died", "", join(lost, fault(20, 300, "at 1s kill 1"), story{ended(25, "signal: killed")})},
		{"reset, long after it had died", "answers", join(booked(1100, "a", "k", EndReset), fault(20, 300, "at 1s kill 1"), story{ended(25, "signal: killed")})},
		{"reset, and another died", "answers", join(lost, fault(105, 300, "at 1s kill 2"))},
		{"closed by a gateway that leaves, unread", "", join(unsent, fault(90, 300, "at 1s term 1"), story{ended(300, "exit status 0")})},
		{"closed by a gateway that leaves, sent", "answers", join(lost, fault(90, 300, "at 1s term 1"), story{ended(900, "exit status 0")})},
		{"silence", "answers", join(slow)},
		{"silence of one that stands still", "", join(slow, fault(50, 3000, "at 1s stop 1"))},
		{"silence while another stands still", "answers", join(slow, fault(50, 3000, "at 1s stop 2"))},
		{"twice by one request", "bookings", join(booked(100, "a", "k", EndFailed), story{at(105, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassBooking, Key: "k", Server: "p"})})},
		{"twice by two requests", "bookings", join(booked(100, "a", "k", EndFailed), booked(200, "b", "k", EndServed))},
		{"served, and never ran", "bookings", join(without(booked(100, "a", "k", EndServed), RequestExecuted))},
		{"refused, and ran", "bookings", join(booked(100, "a", "k", EndRejected))},
		{"refused, then booked", "", join(without(booked(100, "a", "k", EndRejected), RequestExecuted), booked(200, "b", "k", EndServed))},
		{"sent to a drained server", "drains", join(story{told(100, "r1", "draining")}, viewed(700, "a", ClassView, "r1", Absent, 1))},
		{"sent within its time", "", join(story{told(100, "r1", "draining")}, viewed(300, "a", ClassView, "r1", Absent, 1))},
		{"sent once it was ready again", "", join(story{told(100, "r1", "draining"), told(500, "r1", "ready")}, viewed(700, "a", ClassView, "r1", Absent, 1))},
		{"sent elsewhere", "", join(story{told(100, "r1", "draining")}, viewed(700, "a", ClassView, "r2", Absent, 1))},
		{"sent by one that could not hear", "", join(story{told(100, "r1", "draining")}, fault(50, 800, "at 1s sever 1 -> discovery"), viewed(700, "a", ClassView, "r1", Absent, 1))},
		{"sent long after it could hear again", "drains", join(story{told(100, "r1", "draining")}, fault(50, 800, "at 1s sever 1 -> discovery"), viewed(6000, "a", ClassView, "r1", Absent, 1))},
		{"old data", "stale", join(viewed(100, "a", ClassView, "r1", Absent, 900))},
		{"data within the bound", "", join(viewed(100, "a", ClassView, "r1", Absent, 840))},
		{"a seat at a replica", "stale", join(viewed(100, "a", ClassSeat, "r1", Absent, 1))},
		{"a seat at a replica, whose answer is not passed on", "", join(viewed(100, "a", ClassSeat, "p", Absent, 0), story{at(101, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassSeat, Key: "k", Server: "r1", What: roleReplica})})},
		{"a quote", "", join(viewed(100, "a", ClassQuote, "p", Absent, 0))},
		{"a quote at a replica", "stale", join(viewed(100, "a", ClassQuote, "r1", Absent, 1))},
		{"a quote that ran twice", "quotes", join(viewed(100, "a", ClassQuote, "p", Absent, 0), story{at(103, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassQuote, Key: "k", Server: "p", What: rolePrimary})})},
		{"a quote that ran and was refused", "quotes", join(ending(viewed(100, "a", ClassQuote, "p", Absent, 0), EndRejected))},
		{"a quote that ran and failed", "", join(ending(viewed(100, "a", ClassQuote, "p", Absent, 0), EndFailed))},
		{"a quote that was refused", "", join(without(ending(viewed(100, "a", ClassQuote, "p", Absent, 0), EndRejected), RequestExecuted))},
		{"a booked seat that is not seen", "linearizable", join(booked(100, "a", "k", EndServed), viewed(200, "b", ClassSeat, "p", Absent, 0))},
		{"a seat seen and then not", "linearizable", join(booked(100, "a", "k", EndFailed), viewed(103, "b", ClassSeat, "p", Present, 0), viewed(200, "c", ClassSeat, "p", Absent, 0))},
		{"a booking in doubt that takes effect later", "", join(booked(100, "a", "k", EndFailed), viewed(200, "b", ClassSeat, "p", Absent, 0), viewed(300, "c", ClassSeat, "p", Present, 0))},
		{"a session that does not see what it has booked", "sessions", join(booked(100, "a", "k", EndServed), viewed(200, "b", ClassMine, "r1", Absent, 1))},
		{"a session that may not have booked", "", join(booked(100, "a", "k", EndFailed), viewed(200, "b", ClassMine, "r1", Absent, 1))},
		{"a session asked while it books", "", join(booked(100, "a", "k", EndServed), viewed(105, "b", ClassMine, "r1", Absent, 1))},
		{"touched while something is under way", "order", join(lost, fault(105, 300, "at 1s kill 1"), story{phase(104, workStarted+"g1"), ended(107, "signal: killed")})},
		{"touched while something is under way elsewhere", "", join(lost, fault(105, 300, "at 1s kill 1"), story{phase(104, workStarted+"g2"), ended(107, "signal: killed")})},
		{"sent to a server that is worked at", "order", join(story{phase(90, workStarted+"r1"), phase(300, workEnded+"r1")}, viewed(100, "a", ClassView, "r1", Absent, 1))},
		{"sent to a server that was worked at", "", join(story{phase(50, workStarted+"r1"), phase(90, workEnded+"r1")}, viewed(100, "a", ClassView, "r1", Absent, 1))},
		{"two gateways away", "order", join(story{standing(10, 1, "g2", "out"), standing(20, 1, "g3", "leaving")})},
		{"one away after the other", "", join(story{standing(10, 1, "g2", "out"), standing(20, 1, "g2", "back"), standing(20, 1, "g3", "leaving"), standing(30, 2, "g2", "out")})},
		{"asked again, and the answer is known", "", join(booked(100, "a", "k", EndFailed), again(200, "b", "k", EndServed, "a"+Present))},
		{"asked again, and a read shows it", "", join(booked(100, "a", "k", EndFailed), story{looked(205, "k")}, again(200, "b", "k", EndServed, "look-1"+Present))},
		{"asked again, and a read of another key", "answers,bookings", join(booked(100, "a", "k", EndFailed), story{looked(205, "j")}, again(200, "b", "k", EndServed, "look-1"+Present))},
		{"asked again, and another booking's answer", "answers,bookings", join(booked(100, "a", "j", EndServed), again(200, "b", "k", EndServed, "a"+Present))},
		{"asked again and refused, and it ran", "told", join(booked(100, "a", "k", EndFailed), again(200, "b", "k", EndRejected, ""))},
		{"asked again as the connection is closed, and it ran", "", join(booked(100, "a", "k", EndFailed), closing(again(200, "b", "k", EndRejected, "")))},
		{"asked again and refused, and it never ran", "", join(without(without(booked(100, "a", "k", EndFailed), RequestExecuted), RequestForwarded), again(200, "b", "k", EndRejected, ""))},
		{"a crash", "crashes", join(story{ended(100, "exit status 2")})},
		{"a crash while it was told to end", "crashes", join(fault(90, 300, "at 1s term 1"), story{ended(200, "exit status 2")})},
		{"an end that was asked for", "", join(fault(90, 300, "at 1s term 1"), story{ended(200, "exit status 0")})},
		{"two hold the address", "address", join(story{belief(1, 1, "active"), belief(2, 2, "active"), at(500, Event{Kind: PhaseReached, What: PhaseSettled})})},
		{"one holds the address", "", join(story{belief(1, 1, "active"), belief(2, 2, "active"), belief(3, 1, "backup"), at(500, Event{Kind: PhaseReached, What: PhaseSettled})})},
		{"a live gateway held dead", "members", join(story{at(100, Event{Kind: StateReported, Node: 2, What: "member g1", Text: "dead"})})},
		{"a dead one held dead", "", join(fault(90, 300, "at 1s kill 1"), story{ended(95, "signal: killed"), at(100, Event{Kind: StateReported, Node: 2, What: "member g1", Text: "dead"})})},
		{"a fault that is none", "history", join(story{at(1, Event{Kind: FaultStarted, What: "at 1s sing 1"})})},
		{"an end without a beginning", "history", join(story{at(1, Event{Kind: FaultEnded, What: "at 1s kill 1"})})},
	} {
		t.Run(c.name, func(t *testing.T) {
			var rules []string
			for _, v := range Check(c.h) {
				rules = append(rules, v.Rule)
			}
			if got := strings.Join(rules, ","); got != c.rule {
				t.Errorf("rules violated: %q, want %q", got, c.rule)
			}
		})
	}
}

// A history is read back as it was written, and a write error is reported.
func TestHistoryRoundTrip(t *testing.T) {
	var b bytes.Buffer
	h := NewHistory(&b)
	for _, e := range join(booked(100, "a", "k", EndServed), viewed(200, "b", ClassView, "r1", Present, 7), fault(1, 2, `at 1s split 1,2 | 3 for 2s`)) {
		h.Add(e)
	}
	got, err := ReadHistory(bytes.NewReader(b.Bytes()))
	if err != nil || !reflect.DeepEqual(got, h.Events()) || len(got) != 11 {
		t.Errorf("%v\n%+v\n%+v", err, got, h.Events())
	}
	for _, bad := range []string{"{", `{"at":1,"kind":"ran","colour":"red"}`} {
		if _, err := ReadHistory(strings.NewReader(b.String() + bad)); err == nil {
			t.Errorf("%s is read", bad)
		}
	}
	full := NewHistory(failing{})
	full.Add(Event{Kind: PhaseReached})
	if full.Err() == nil {
		t.Error("a history that could not be written is whole")
	}
	if err := h.Await("what never comes", time.Millisecond, func([]Event) bool { return false }); err == nil {
		t.Error("it came")
	}
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("no space") }
