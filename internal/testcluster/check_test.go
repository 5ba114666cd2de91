package testcluster

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// eventList is a short history, whose events have times in whole milliseconds.
type eventList []Event

// at sets the time of an event.
func at(ms int64, e Event) Event {
	e.At = ms * 1000
	return e
}

// bookingEvents returns the events of a booking through gateway 1 that runs at the primary and ends as given.
func bookingEvents(ms int64, id, key, end string) eventList {
	value := ""
	if end == EndServed {
		value = id + Present
	}
	return eventList{
		at(ms, Event{Kind: RequestSent, Node: 1, ID: id, Client: "c", Class: ClassBooking, Key: key, Timeout: 1_000_000}),
		at(ms+1, Event{Kind: RequestForwarded, Node: 1, ID: id, Server: "p"}),
		at(ms+2, Event{Kind: RequestExecuted, Node: 1, ID: id, Class: ClassBooking, Key: key, Server: "p", What: rolePrimary}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 1, ID: id, Client: "c", Class: ClassBooking, Key: key, What: end, Value: value}),
	}
}

// readEvents returns the events of a read of a class at a server whose data is ageMS old.
func readEvents(ms int64, id, class, server, value string, ageMS int64) eventList {
	role := roleReplica
	if server == "p" {
		role = rolePrimary
	}
	return eventList{
		at(ms, Event{Kind: RequestSent, Node: 1, ID: id, Client: "v", Class: class, Key: "k", Timeout: 1_000_000}),
		at(ms+1, Event{Kind: RequestForwarded, Node: 1, ID: id, Server: server}),
		at(ms+2, Event{Kind: RequestExecuted, Node: 1, ID: id, Class: class, Key: "k", Server: server, What: role, DataAge: ageMS * 1000}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 1, ID: id, Client: "v", Class: class, Key: "k", What: EndServed, Value: id + value}),
	}
}

// retryEvents returns the events of the retry of a booking with an end and a value. The retry itself does not run.
func retryEvents(ms int64, id, key, end, value string) eventList {
	return eventList{
		at(ms, Event{Kind: RequestSent, Node: 2, ID: id, Client: "c", Class: ClassBooking, Key: key, Timeout: 1_000_000, Text: retryMark}),
		at(ms+9, Event{Kind: ResponseReceived, Node: 2, ID: id, Client: "c", Class: ClassBooking, Key: key, What: end, Value: value}),
	}
}

// withEnd replaces the end of a request and removes its value.
func withEnd(s eventList, what string) eventList {
	s[len(s)-1].What, s[len(s)-1].Value = what, ""
	return s
}

// withShutdownError makes a request end with the error that a gateway sends when it closes the connection.
func withShutdownError(s eventList) eventList {
	s[len(s)-1].Text = retryMark + " " + codeShutdown + " the address has moved to another gateway"
	return s
}

// lookupEvent returns a gateway's own lookup of a booking.
func lookupEvent(ms int64, key string) Event {
	return at(ms, Event{Kind: RequestExecuted, Node: 2, ID: "look-1", Class: ClassSeat, Key: key, Server: "p", What: rolePrimary})
}

func faultEvents(from, to int64, line string) eventList {
	return eventList{at(from, Event{Kind: FaultStarted, What: line}), at(to, Event{Kind: FaultEnded, What: line})}
}

func endedEvent(ms int64, how string) Event {
	return at(ms, Event{Kind: ProcessChanged, Node: 1, What: ProcessEnded, Text: how})
}

func phaseEvent(ms int64, what string) Event { return at(ms, Event{Kind: PhaseReached, What: what}) }

// maintenanceEvent returns a gateway's report of the maintenance state of a machine.
func maintenanceEvent(ms int64, node int, machine, state string) Event {
	return at(ms, Event{Kind: StateReported, Node: node, What: "order " + machine, Text: state})
}

func updateEvent(ms int64, server, state string) Event {
	return at(ms, Event{Kind: EndpointUpdateSent, Node: 1, Server: server, What: state})
}

func vrrpEvent(ms int64, node int, state string) Event {
	return at(ms, Event{Kind: StateReported, Node: node, What: "vrrp counters", Text: state})
}

func join(parts ...eventList) (out eventList) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return append(out, at(9000, Event{Kind: PhaseReached, What: PhaseDone}))
}

// without returns the events that are not of a kind.
func without(s eventList, kind Kind) (out eventList) {
	for _, e := range s {
		if e.Kind != kind {
			out = append(out, e)
		}
	}
	return out
}

// Each checker finds the violation of its rule in a history that is made for it, and finds none in a similar history without one.
func TestCheckers(t *testing.T) {
	lost := bookingEvents(100, "a", "k", EndReset)
	unsent := without(without(lost, RequestForwarded), RequestExecuted)
	slow := bookingEvents(100, "a", "k", EndTimeout)
	for _, c := range []struct {
		name string
		rule string // the violated rules; empty if there are none
		h    eventList
	}{
		{"a booking", "", join(bookingEvents(100, "a", "k", EndServed))},
		{"a request without an answer", "answers", join(without(bookingEvents(100, "a", "k", EndServed), ResponseReceived))},
		{"two answers", "answers", join(bookingEvents(100, "a", "k", EndServed), eventList{at(150, Event{Kind: ResponseReceived, Node: 1, ID: "a", What: EndFailed})})},
		{"an answer without a request", "answers", join(without(bookingEvents(100, "a", "k", EndServed), RequestSent))},
		{"the value of another request", "answers", join(readEvents(100, "a", ClassView, "r1", "b"+Present, 1))},
		{"a connection reset", "answers", join(lost)},
		{"reset as the gateway ends", "", join(lost, faultEvents(105, 300, "at 1s kill 1"), eventList{endedEvent(107, "signal: killed")})},
		{"reset, written to a gateway that had just ended", "", join(lost, faultEvents(20, 300, "at 1s kill 1"), eventList{endedEvent(25, "signal: killed")})},
		{"reset long after the gateway had ended", "answers", join(bookingEvents(1100, "a", "k", EndReset), faultEvents(20, 300, "at 1s kill 1"), eventList{endedEvent(25, "signal: killed")})},
		{"reset while another gateway ends", "answers", join(lost, faultEvents(105, 300, "at 1s kill 2"))},
		{"closed by a draining gateway, not forwarded", "", join(unsent, faultEvents(90, 300, "at 1s term 1"), eventList{endedEvent(300, "exit status 0")})},
		{"closed by a draining gateway, forwarded", "answers", join(lost, faultEvents(90, 300, "at 1s term 1"), eventList{endedEvent(900, "exit status 0")})},
		{"a timeout", "answers", join(slow)},
		{"a timeout at a stopped gateway", "", join(slow, faultEvents(50, 3000, "at 1s stop 1"))},
		{"a timeout while another gateway is stopped", "answers", join(slow, faultEvents(50, 3000, "at 1s stop 2"))},
		{"run twice by one request", "bookings", join(bookingEvents(100, "a", "k", EndFailed), eventList{at(105, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassBooking, Key: "k", Server: "p"})})},
		{"run twice by two requests", "bookings", join(bookingEvents(100, "a", "k", EndFailed), bookingEvents(200, "b", "k", EndServed))},
		{"served but never run", "bookings", join(without(bookingEvents(100, "a", "k", EndServed), RequestExecuted))},
		{"rejected but run", "bookings", join(bookingEvents(100, "a", "k", EndRejected))},
		{"rejected, then booked", "", join(without(bookingEvents(100, "a", "k", EndRejected), RequestExecuted), bookingEvents(200, "b", "k", EndServed))},
		{"sent to a drained server", "drains", join(eventList{updateEvent(100, "r1", "draining")}, readEvents(700, "a", ClassView, "r1", Absent, 1))},
		{"sent before the drain deadline", "", join(eventList{updateEvent(100, "r1", "draining")}, readEvents(300, "a", ClassView, "r1", Absent, 1))},
		{"sent after the server was ready again", "", join(eventList{updateEvent(100, "r1", "draining"), updateEvent(500, "r1", "ready")}, readEvents(700, "a", ClassView, "r1", Absent, 1))},
		{"sent to another server", "", join(eventList{updateEvent(100, "r1", "draining")}, readEvents(700, "a", ClassView, "r2", Absent, 1))},
		{"sent by a gateway cut off from discovery", "", join(eventList{updateEvent(100, "r1", "draining")}, faultEvents(50, 800, "at 1s sever 1 -> discovery"), readEvents(700, "a", ClassView, "r1", Absent, 1))},
		{"sent long after discovery could be reached again", "drains", join(eventList{updateEvent(100, "r1", "draining")}, faultEvents(50, 800, "at 1s sever 1 -> discovery"), readEvents(6000, "a", ClassView, "r1", Absent, 1))},
		{"old data", "stale", join(readEvents(100, "a", ClassView, "r1", Absent, 900))},
		{"data within the bound", "", join(readEvents(100, "a", ClassView, "r1", Absent, 840))},
		{"a seat at a replica", "stale", join(readEvents(100, "a", ClassSeat, "r1", Absent, 1))},
		{"a seat at a replica whose answer is not passed on", "", join(readEvents(100, "a", ClassSeat, "p", Absent, 0), eventList{at(101, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassSeat, Key: "k", Server: "r1", What: roleReplica})})},
		{"a quote", "", join(readEvents(100, "a", ClassQuote, "p", Absent, 0))},
		{"a quote at a replica", "stale", join(readEvents(100, "a", ClassQuote, "r1", Absent, 1))},
		{"a quote that ran twice", "quotes", join(readEvents(100, "a", ClassQuote, "p", Absent, 0), eventList{at(103, Event{Kind: RequestExecuted, Node: 1, ID: "a", Class: ClassQuote, Key: "k", Server: "p", What: rolePrimary})})},
		{"a quote that ran and was rejected", "quotes", join(withEnd(readEvents(100, "a", ClassQuote, "p", Absent, 0), EndRejected))},
		{"a quote that ran and failed", "", join(withEnd(readEvents(100, "a", ClassQuote, "p", Absent, 0), EndFailed))},
		{"a quote that was rejected", "", join(without(withEnd(readEvents(100, "a", ClassQuote, "p", Absent, 0), EndRejected), RequestExecuted))},
		{"a booked seat that a read does not find", "linearizable", join(bookingEvents(100, "a", "k", EndServed), readEvents(200, "b", ClassSeat, "p", Absent, 0))},
		{"a seat that is found and then not found", "linearizable", join(bookingEvents(100, "a", "k", EndFailed), readEvents(103, "b", ClassSeat, "p", Present, 0), readEvents(200, "c", ClassSeat, "p", Absent, 0))},
		{"a booking in doubt that takes effect later", "", join(bookingEvents(100, "a", "k", EndFailed), readEvents(200, "b", ClassSeat, "p", Absent, 0), readEvents(300, "c", ClassSeat, "p", Present, 0))},
		{"a session that does not see its booking", "sessions", join(bookingEvents(100, "a", "k", EndServed), readEvents(200, "b", ClassMine, "r1", Absent, 1))},
		{"a session whose booking may not have run", "", join(bookingEvents(100, "a", "k", EndFailed), readEvents(200, "b", ClassMine, "r1", Absent, 1))},
		{"a session read during its booking", "", join(bookingEvents(100, "a", "k", EndServed), readEvents(105, "b", ClassMine, "r1", Absent, 1))},
		{"work on a gateway with a request in flight", "order", join(lost, faultEvents(105, 300, "at 1s kill 1"), eventList{phaseEvent(104, workStarted+"g1"), endedEvent(107, "signal: killed")})},
		{"work on a gateway while another has a request in flight", "", join(lost, faultEvents(105, 300, "at 1s kill 1"), eventList{phaseEvent(104, workStarted+"g2"), endedEvent(107, "signal: killed")})},
		{"sent to a server during work on it", "order", join(eventList{phaseEvent(90, workStarted+"r1"), phaseEvent(300, workEnded+"r1")}, readEvents(100, "a", ClassView, "r1", Absent, 1))},
		{"sent to a server after work on it", "", join(eventList{phaseEvent(50, workStarted+"r1"), phaseEvent(90, workEnded+"r1")}, readEvents(100, "a", ClassView, "r1", Absent, 1))},
		{"two gateways in maintenance", "order", join(eventList{maintenanceEvent(10, 1, "g2", "out"), maintenanceEvent(20, 1, "g3", "leaving")})},
		{"one gateway in maintenance after the other", "", join(eventList{maintenanceEvent(10, 1, "g2", "out"), maintenanceEvent(20, 1, "g2", "back"), maintenanceEvent(20, 1, "g3", "leaving"), maintenanceEvent(30, 2, "g2", "out")})},
		{"a retry with the stored answer", "", join(bookingEvents(100, "a", "k", EndFailed), retryEvents(200, "b", "k", EndServed, "a"+Present))},
		{"a retry answered by a lookup", "", join(bookingEvents(100, "a", "k", EndFailed), eventList{lookupEvent(205, "k")}, retryEvents(200, "b", "k", EndServed, "look-1"+Present))},
		{"a retry answered by a lookup of another key", "answers,bookings", join(bookingEvents(100, "a", "k", EndFailed), eventList{lookupEvent(205, "j")}, retryEvents(200, "b", "k", EndServed, "look-1"+Present))},
		{"a retry with the answer of another booking", "answers,bookings", join(bookingEvents(100, "a", "j", EndServed), retryEvents(200, "b", "k", EndServed, "a"+Present))},
		{"a retry rejected though the booking ran", "told", join(bookingEvents(100, "a", "k", EndFailed), retryEvents(200, "b", "k", EndRejected, ""))},
		{"a retry rejected as the connection is closed", "", join(bookingEvents(100, "a", "k", EndFailed), withShutdownError(retryEvents(200, "b", "k", EndRejected, "")))},
		{"a retry rejected, and the booking never ran", "", join(without(without(bookingEvents(100, "a", "k", EndFailed), RequestExecuted), RequestForwarded), retryEvents(200, "b", "k", EndRejected, ""))},
		{"a crash", "crashes", join(eventList{endedEvent(100, "exit status 2")})},
		{"a crash after SIGTERM", "crashes", join(faultEvents(90, 300, "at 1s term 1"), eventList{endedEvent(200, "exit status 2")})},
		{"an orderly end after SIGTERM", "", join(faultEvents(90, 300, "at 1s term 1"), eventList{endedEvent(200, "exit status 0")})},
		{"two gateways hold the address", "address", join(eventList{vrrpEvent(1, 1, "active"), vrrpEvent(2, 2, "active"), at(500, Event{Kind: PhaseReached, What: PhaseSettled})})},
		{"one gateway holds the address", "", join(eventList{vrrpEvent(1, 1, "active"), vrrpEvent(2, 2, "active"), vrrpEvent(3, 1, "backup"), at(500, Event{Kind: PhaseReached, What: PhaseSettled})})},
		{"a running gateway reported dead", "members", join(eventList{at(100, Event{Kind: StateReported, Node: 2, What: "member g1", Text: "dead"})})},
		{"a killed gateway reported dead", "", join(faultEvents(90, 300, "at 1s kill 1"), eventList{endedEvent(95, "signal: killed"), at(100, Event{Kind: StateReported, Node: 2, What: "member g1", Text: "dead"})})},
		{"an unknown fault", "history", join(eventList{at(1, Event{Kind: FaultStarted, What: "at 1s sing 1"})})},
		{"the end of a fault that never began", "history", join(eventList{at(1, Event{Kind: FaultEnded, What: "at 1s kill 1"})})},
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

// ReadHistory returns the events that were written, and rejects malformed lines. A write error is reported by Err.
func TestHistoryRoundTrip(t *testing.T) {
	var b bytes.Buffer
	h := NewHistory(&b)
	for _, e := range join(bookingEvents(100, "a", "k", EndServed), readEvents(200, "b", ClassView, "r1", Present, 7), faultEvents(1, 2, `at 1s split 1,2 | 3 for 2s`)) {
		h.Add(e)
	}
	got, err := ReadHistory(bytes.NewReader(b.Bytes()))
	if err != nil || !reflect.DeepEqual(got, h.Events()) || len(got) != 11 {
		t.Errorf("%v\n%+v\n%+v", err, got, h.Events())
	}
	for _, bad := range []string{"{", `{"at":1,"kind":"ran","colour":"red"}`} {
		if _, err := ReadHistory(strings.NewReader(b.String() + bad)); err == nil {
			t.Errorf("malformed line %s was accepted", bad)
		}
	}
	full := NewHistory(failing{})
	full.Add(Event{Kind: PhaseReached})
	if full.Err() == nil {
		t.Error("no error after a failed write")
	}
	if err := h.Await("a condition that is never true", time.Millisecond, func([]Event) bool { return false }); err == nil {
		t.Error("Await returned no error")
	}
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("no space") }
