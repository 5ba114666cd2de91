package testcluster

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Violation is one rule that a history violates.
type Violation struct {
	Rule string
	At   int64 // microseconds since the history began
	Text string
}

// String formats the violation as its rule, its time in seconds and its text.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, float64(v.At)/1e6, v.Text)
}

// checker finds violations of one rule in a history. Its only input is the history.
type checker struct {
	rule       string
	violations func(h *timeline) []Violation
}

// checkers are the rules that a history must satisfy, each with its checker.
var checkers = []checker{
	{"answers", checkAnswers}, {"bookings", checkBookings}, {"drains", checkDrains}, {"stale", checkStale}, {"linearizable", checkLinearizable},
	{"crashes", checkCrashes}, {"address", checkAddress}, {"members", checkMembers}, {"sessions", checkSessions}, {"told", checkRetryAnswers},
	{"order", checkMaintenanceOrder}, {"quotes", checkQuotes},
}

// Check lists the violations in a history, sorted by time.
func Check(events []Event) (all []Violation) {
	h := newTimeline(events)
	if h.malformed != "" {
		return []Violation{{"history", 0, h.malformed}}
	}
	for _, c := range checkers {
		for _, v := range c.violations(h) {
			v.Rule = c.rule
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}

// faultWindow is a fault with the interval in which it was active, in microseconds.
type faultWindow struct {
	Fault
	from, to int64
}

// concerns reports whether a fault applies to a gateway.
func (w faultWindow) concerns(node int) bool { return w.From == nil || slices.Contains(w.From, node) }

// request holds all events with the same request id.
type request struct {
	submitted  *Event
	responses  []Event
	forwards   []Event
	executions []Event
}

// timeline is a history sorted by time and indexed for the checkers.
type timeline struct {
	events       []Event
	requests     map[string]*request
	requestOrder []string // ids in the order of their first events
	faults       []faultWindow
	end          int64
	malformed    string // why the history is inconsistent; empty if it is consistent
}

func newTimeline(events []Event) *timeline {
	history := &timeline{events: slices.Clone(events), requests: map[string]*request{}}
	slices.SortStableFunc(history.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	open := map[string][]int{}
	for i := range history.events {
		event := &history.events[i]
		history.end = max(history.end, event.At)
		switch event.Kind {
		case FaultStarted:
			fault, err := ParseFault(event.What)
			if err != nil {
				history.malformed = err.Error()
				return history
			}
			open[event.What] = append(open[event.What], len(history.faults))
			history.faults = append(history.faults, faultWindow{fault, event.At, math.MaxInt64})
		case FaultEnded:
			list := open[event.What]
			if len(list) == 0 {
				history.malformed = fmt.Sprintf("fault %q ended but never began", event.What)
				return history
			}
			history.faults[list[0]].to, open[event.What] = event.At, list[1:]
		case RequestSent, ResponseReceived, RequestForwarded, RequestExecuted:
			req := history.requests[event.ID]
			if req == nil {
				req = &request{}
				history.requests[event.ID] = req
				history.requestOrder = append(history.requestOrder, event.ID)
			}
			switch event.Kind {
			case RequestSent:
				req.submitted = event
			case ResponseReceived:
				req.responses = append(req.responses, *event)
			case RequestForwarded:
				req.forwards = append(req.forwards, *event)
			default:
				req.executions = append(req.executions, *event)
			}
		}
	}
	return history
}

// faultDuring returns a fault with one of the given verbs that affected a gateway at some time in an interval.
func (h *timeline) faultDuring(node int, from, to int64, verbs ...string) (faultWindow, bool) {
	for _, w := range h.faults {
		if slices.Contains(verbs, w.Verb) && w.concerns(node) && w.from <= to && w.to >= from {
			return w, true
		}
	}
	return faultWindow{}, false
}

// endedBetween reports whether a gateway's process ended within an interval.
func (h *timeline) endedBetween(node int, start, to int64) bool {
	return slices.ContainsFunc(h.events, func(e Event) bool {
		return e.Kind == ProcessChanged && e.What == ProcessEnded && e.Node == node && e.At >= start && e.At <= to
	})
}

// The tolerances of the checkers, in microseconds. protocolSlack is the 50 ms that the protocol page allows on every limit;
// machineSlack is the delay with which a busy machine may record an event.
const (
	protocolSlack = 50_000
	machineSlack  = 150_000
)

// shutdownTimeout is how long a gateway may take to end after SIGTERM, in microseconds.
const shutdownTimeout = 5_000_000

// checkAnswers checks that each request that a gateway accepted has exactly one final answer, and that a served value was
// produced for that request. A request whose connection ends without an answer is lost, unless the gateway's process ended, was
// stopped or starved, or was draining and had not read the request.
func checkAnswers(history *timeline) (out []Violation) {
	for _, requestID := range history.requestOrder {
		request := history.requests[requestID]
		switch {
		case request.submitted == nil && strings.HasPrefix(requestID, lookupPrefix):
			continue // a lookup: a gateway's own read, which shows whether a booking ran
		case request.submitted == nil:
			out = append(out, Violation{At: firstSeen(request), Text: fmt.Sprintf("%s was forwarded, executed or answered, but no client sent it", requestID)})
			continue
		case len(request.responses) == 0 && request.submitted.At+request.submitted.Timeout*2 < history.end:
			out = append(out, Violation{At: request.submitted.At, Text: fmt.Sprintf("%s was never answered, and its connection did not end", requestID)})
			continue
		case len(request.responses) > 1:
			out = append(out, Violation{At: request.responses[1].At, Text: fmt.Sprintf("%s ended twice, as %s and %s", requestID, request.responses[0].What, request.responses[1].What)})
			continue
		case len(request.responses) == 0:
			continue
		}
		node, sentAt, response := request.submitted.Node, request.submitted.At, request.responses[0]
		switch response.What {
		case EndServed:
			if !history.isAnswerFor(request, requestID, response.Value) {
				out = append(out, Violation{At: response.At, Text: fmt.Sprintf("%s was served %q, which does not answer it", requestID, response.Value)})
			}
		case EndClosed, EndReset:
			if history.endedBetween(node, sentAt-machineSlack, response.At+machineSlack) {
				continue // the process may also have ended just before the request was written, if the client had not yet detected the end
			}
			if _, draining := history.faultDuring(node, sentAt, response.At, verbTerm); draining && len(request.forwards) == 0 && history.endedBetween(node, response.At, response.At+shutdownTimeout) {
				continue // the gateway closed the connection while the request was on its way
			}
			out = append(out, Violation{At: response.At, Text: fmt.Sprintf("%s to gateway %d is lost: its connection was %s", requestID, node, response.What)})
		case EndTimeout:
			if _, slow := history.faultDuring(node, sentAt, response.At, verbStop, verbStarve); slow || history.endedBetween(node, sentAt, response.At+machineSlack) {
				continue
			}
			out = append(out, Violation{At: response.At, Text: fmt.Sprintf("%s to gateway %d is lost: no answer within its timeout", requestID, node)})
		}
	}
	return out
}

// lookupPrefix is the prefix of the ids of lookups, the reads by which gateways find out whether a booking ran.
const lookupPrefix = "look-"

// isAnswerFor reports whether a value answers a request. The value must come from the execution of the request itself or, for a
// retried booking, from the execution of another request or a lookup for the same key.
func (h *timeline) isAnswerFor(r *request, id, value string) bool {
	by, _, _ := strings.Cut(value, " ")
	if by == id {
		return true
	}
	other := h.requests[by]
	return other != nil && r.submitted.Class == ClassBooking && slices.ContainsFunc(other.executions, func(e Event) bool { return e.Key == r.submitted.Key })
}

// firstSeen returns the time of the first response, forward or execution of a request.
func firstSeen(r *request) int64 {
	at := int64(math.MaxInt64)
	for _, list := range [][]Event{r.responses, r.forwards, r.executions} {
		if len(list) > 0 {
			at = min(at, list[0].At)
		}
	}
	return at
}

// checkBookings checks that no booking runs twice, even if it is retried under other request ids, that a booking that was served
// ran, and that a request that was rejected did not run.
func checkBookings(history *timeline) (out []Violation) {
	ran := map[string][]Event{}
	for _, id := range history.requestOrder {
		r := history.requests[id]
		for _, e := range r.executions {
			if e.Class == ClassBooking {
				ran[e.Key] = append(ran[e.Key], e)
			}
		}
		if r.submitted == nil || r.submitted.Class != ClassBooking || len(r.responses) == 0 {
			continue
		}
		switch end := r.responses[0]; {
		case end.What == EndServed && len(r.executions) == 0 && !strings.HasPrefix(end.Value, id+" ") && history.isAnswerFor(r, id, end.Value):
			// a retry, answered with the result of an earlier request or of a lookup
		case end.What == EndServed && len(r.executions) != 1:
			out = append(out, Violation{At: end.At, Text: fmt.Sprintf("%s was served but ran %d times", id, len(r.executions))})
		case end.What == EndRejected && len(r.executions) > 0:
			out = append(out, Violation{At: end.At, Text: fmt.Sprintf("%s was rejected but ran", id)})
		}
	}
	for key, list := range ran {
		if len(list) > 1 {
			out = append(out, Violation{At: list[1].At, Text: fmt.Sprintf("%s ran %d times, by requests %s and %s", key, len(list), list[0].ID, list[1].ID)})
		}
	}
	return out
}

// checkQuotes checks that a read that must not run twice runs at most once, and does not run if it is rejected.
func checkQuotes(history *timeline) (out []Violation) {
	for _, id := range history.requestOrder {
		r := history.requests[id]
		if r.submitted == nil || r.submitted.Class != ClassQuote {
			continue
		}
		if len(r.executions) > 1 {
			out = append(out, Violation{At: r.executions[1].At, Text: fmt.Sprintf("%s ran %d times", id, len(r.executions))})
		}
		if len(r.responses) > 0 && r.responses[0].What == EndRejected && len(r.executions) > 0 {
			out = append(out, Violation{At: r.responses[0].At, Text: fmt.Sprintf("%s was rejected by gateway %d but ran at %s", id, r.submitted.Node, r.executions[0].Server)})
		}
	}
	return out
}

// mustBeCurrent reports whether reads of a class must see every earlier booking.
func mustBeCurrent(class string) bool { return class == ClassSeat || class == ClassQuote }

// checkRetryAnswers checks that the retry of a booking that ran is not rejected, because a rejection promises that it did not run.
func checkRetryAnswers(history *timeline) (out []Violation) {
	ran := map[string]int64{}
	for _, e := range history.events {
		if e.Kind == RequestExecuted && e.Class == ClassBooking && ran[e.Key] == 0 {
			ran[e.Key] = e.At
		}
	}
	for _, id := range history.requestOrder {
		r := history.requests[id]
		if r.submitted == nil || !strings.HasSuffix(r.submitted.Text, retryMark) || len(r.responses) == 0 || r.responses[0].What != EndRejected {
			continue
		}
		if strings.Contains(r.responses[0].Text, codeShutdown) {
			continue // the gateway closed the connection while the request was on its way: it was not read, and may be retried
		}
		if at := ran[r.submitted.Key]; at > 0 && at < r.responses[0].At {
			out = append(out, Violation{At: r.responses[0].At, Text: fmt.Sprintf("%s: gateway %d rejected a retry of %s (%s), but it ran at %.3fs", id, r.submitted.Node, r.submitted.Key, r.responses[0].Text, float64(at)/1e6)})
		}
	}
	return out
}

// checkDrains checks that a gateway stops sending requests to a server within the time that the settings allow after the server's
// drain was published. For a gateway that is cut off from discovery or does not run, that time starts when the gateway can act
// again.
func checkDrains(history *timeline) (out []Violation) {
	type link struct {
		node   int
		server string
	}
	deadlines := map[link]int64{}
	for _, e := range history.events {
		at := link{e.Node, e.Server}
		switch e.Kind {
		case EndpointUpdateSent:
			if delete(deadlines, at); e.What != stateReady {
				deadlines[at] = history.drainDeadline(e.Node, e.At)
			}
		case RequestForwarded:
			if by, ok := deadlines[at]; ok && e.At > by {
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf(
					"gateway %d sent %s to %s, %.0f ms after the drain deadline", e.Node, e.ID, e.Server, float64(e.At-by)/1000)})
			}
		}
	}
	return out
}

// drainDeadline returns the time by which a gateway must have acted on an endpoint update that discovery sent at a given time.
func (h *timeline) drainDeadline(node int, at int64) int64 {
	allowed := drainTimeout.Microseconds() + protocolSlack + machineSlack
	for postponed := true; postponed; {
		postponed = false
		for _, w := range h.faults {
			away := w.Verb == verbStop || w.Verb == verbStarve || w.Verb == verbKill || w.Verb == verbTerm ||
				w.Verb == verbSever && w.Name == Discovery
			if away && w.concerns(node) && w.from <= at+allowed && w.to > at {
				if w.to == math.MaxInt64 {
					return w.to
				}
				// The gateway may have to subscribe to discovery again.
				at, postponed, allowed = w.to, true, max(allowed, resubscribeTimeout.Microseconds())
			}
		}
	}
	return at + allowed
}

// checkStale checks that the data of a view is no older than ViewBound when the gateway sends the request, and that the answer of
// a read that must be current comes from a primary. A replica's answer that the gateway does not pass on is no violation.
func checkStale(history *timeline) (out []Violation) {
	for _, id := range history.requestOrder {
		r := history.requests[id]
		for i, e := range r.executions {
			sent := e.At
			for _, s := range r.forwards {
				if s.Server == e.Server && s.At <= e.At {
					sent = s.At
				}
			}
			switch age := e.DataAge - (e.At - sent); {
			case e.Class == ClassView && age > ViewBound.Microseconds()+protocolSlack:
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf(
					"%s ran at %s, whose data was %.0f ms old when gateway %d sent the request", id, e.Server, float64(age)/1000, e.Node)})
			case mustBeCurrent(e.Class) && e.What != rolePrimary && i == len(r.executions)-1 && len(r.responses) > 0 && r.responses[0].What == EndServed:
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf("%s must read current data but ran at %s, a replica", id, e.Server)})
			}
		}
	}
	return out
}

// seatOperation is one operation on one key, for porcupine.
type seatOperation struct {
	key   string
	write bool
}

// seatModel models a key that is absent until a booking writes it, and present from then on.
var seatModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(there, in, out any) (bool, any) {
		if in.(seatOperation).write {
			return true, true
		}
		return out == there, there
	},
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string]int{}
		for _, o := range all {
			i, known := by[o.Input.(seatOperation).key]
			if !known {
				i = len(parts)
				by[o.Input.(seatOperation).key], parts = i, append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
}

// orderSearchTimeout limits the search for a linearization. If the search takes longer, haveOrder decides.
const orderSearchTimeout = 30 * time.Second

// checkLinearizable checks that there is an order of bookings and current reads that explains all answers. A booking with an
// unknown outcome may take effect at any time, or never.
func checkLinearizable(history *timeline) []Violation {
	var all []porcupine.Operation
	clients := map[string]int{}
	for _, id := range history.requestOrder {
		r := history.requests[id]
		if r.submitted == nil || r.submitted.Class != ClassBooking && !mustBeCurrent(r.submitted.Class) {
			continue
		}
		if _, ok := clients[r.submitted.Client]; !ok {
			clients[r.submitted.Client] = len(clients)
		}
		op := porcupine.Operation{
			ClientId: clients[r.submitted.Client], Input: seatOperation{r.submitted.Key, r.submitted.Class == ClassBooking}, Call: r.submitted.At,
			Output: true, Return: math.MaxInt64,
		}
		served := len(r.responses) == 1 && r.responses[0].What == EndServed
		switch {
		case served:
			op.Output, op.Return = strings.HasSuffix(r.responses[0].Value, Present), r.responses[0].At
		case r.submitted.Class != ClassBooking || len(r.responses) == 1 && r.responses[0].What == EndRejected || len(r.executions) == 0:
			continue
		}
		all = append(all, op)
	}
	found := porcupine.CheckOperationsTimeout(seatModel, all, orderSearchTimeout)
	if found == porcupine.Illegal || found == porcupine.Unknown && !haveOrder(all) {
		return []Violation{{At: 0, Text: "no order of bookings and current reads explains the answers"}}
	}
	return nil
}

// haveOrder reports whether operations are linearizable if a key never changes once the key is written. It compares only the
// times of the operations. It replaces the search where concurrent reads make the search too slow. The first write of a key takes
// effect at one moment. This moment is not before the first call of a write, nor before the last call of a read that did not find
// the key. It is not after the first return of a write that was served, nor after the first return of a read that found the key.
// The operations are linearizable exactly if such a moment exists for each key.
func haveOrder(all []porcupine.Operation) bool {
	for _, operations := range seatModel.Partition(all) {
		firstCall, earliest, latest := int64(math.MaxInt64), int64(math.MinInt64), int64(math.MaxInt64)
		for _, o := range operations {
			switch {
			case o.Input.(seatOperation).write:
				firstCall, latest = min(firstCall, o.Call), min(latest, o.Return)
			case o.Output.(bool):
				latest = min(latest, o.Return)
			default:
				earliest = max(earliest, o.Call)
			}
		}
		if latest != math.MaxInt64 && max(firstCall, earliest) > latest {
			return false
		}
	}
	return true
}

// checkSessions checks that a read in a session sees every booking of that session that was served before the read was sent.
func checkSessions(history *timeline) (out []Violation) {
	booked := map[string]int64{}
	for _, e := range history.events {
		if e.Kind == ResponseReceived && e.Class == ClassBooking && e.What == EndServed && booked[e.Key] == 0 {
			booked[e.Key] = e.At
		}
	}
	for _, id := range history.requestOrder {
		r := history.requests[id]
		if r.submitted == nil || r.submitted.Class != ClassMine || len(r.responses) != 1 || r.responses[0].What != EndServed {
			continue
		}
		if at, known := booked[r.submitted.Key]; known && at < r.submitted.At && !strings.HasSuffix(r.responses[0].Value, Present) {
			out = append(out, Violation{At: r.responses[0].At, Text: fmt.Sprintf(
				"%s did not see %s, which was booked at %.3fs", id, r.submitted.Key, float64(at)/1e6)})
		}
	}
	return out
}

// checkMaintenanceOrder checks that work on a gateway loses no request that was in flight there, that no request is sent to a
// server during work on it, and that no gateway reports two gateways in maintenance at the same time.
func checkMaintenanceOrder(history *timeline) (out []Violation) {
	inWork := map[string]bool{}
	away := map[int]map[string]bool{}
	for _, event := range history.events {
		name, begins := strings.CutPrefix(event.What, workStarted)
		machine, ofOrder := strings.CutPrefix(event.What, subjectMaintenance)
		switch {
		case event.Kind == PhaseReached && begins:
			inWork[name] = true
			for _, id := range history.requestOrder {
				r := history.requests[id]
				if r.submitted == nil || fmt.Sprint("g", r.submitted.Node) != name || r.submitted.At > event.At || len(r.responses) == 1 && r.responses[0].At < event.At {
					continue
				}
				if len(r.responses) == 0 || r.responses[0].What == EndReset || r.responses[0].What == EndTimeout {
					out = append(out, Violation{At: event.At, Text: fmt.Sprintf("%s was in flight at %s when work on that gateway started, and was lost", id, name)})
				}
			}
		case event.Kind == PhaseReached:
			delete(inWork, strings.TrimPrefix(event.What, workEnded))
		case event.Kind == RequestForwarded && inWork[event.Server]:
			out = append(out, Violation{At: event.At, Text: fmt.Sprintf("gateway %d sent %s to %s during maintenance work on that server", event.Node, event.ID, event.Server)})
		case event.Kind == ProcessChanged && event.What == ProcessStarted:
			delete(away, event.Node)
		case event.Kind == StateReported && ofOrder && strings.HasPrefix(machine, "g"):
			all := away[event.Node]
			if all == nil {
				all = map[string]bool{}
				away[event.Node] = all
			}
			if delete(all, machine); slices.Contains([]string{"next", "leaving", "out", "returning", "overdue"}, event.Text) {
				all[machine] = true
			}
			if len(all) > 1 {
				out = append(out, Violation{At: event.At, Text: fmt.Sprintf("gateway %d reports %d gateways in maintenance at the same time", event.Node, len(all))})
			}
		}
	}
	return out
}

// checkCrashes checks that a process ends only by a fault, and that it exits with status 0 after SIGTERM.
func checkCrashes(history *timeline) (out []Violation) {
	for _, e := range history.events {
		if e.Kind != ProcessChanged || e.What != ProcessEnded {
			continue
		}
		if w, made := history.faultDuring(e.Node, e.At-shutdownTimeout, e.At, verbKill, verbTerm); !made || w.Verb == verbTerm && e.Text != "exit status 0" {
			if _, killed := history.faultDuring(e.Node, e.At-shutdownTimeout, e.At, verbKill); !killed {
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d ended with %s", e.Node, e.Text)})
			}
		}
	}
	return out
}

// checkAddress checks that exactly one gateway reports that it holds the floating address once the cluster has settled.
func checkAddress(history *timeline) []Violation {
	settled := slices.IndexFunc(history.events, func(e Event) bool { return e.Kind == PhaseReached && e.What == PhaseSettled })
	if settled < 0 {
		return nil
	}
	if active := ActiveRouters(history.events[:settled]); len(active) != 1 {
		return []Violation{{At: history.events[settled].At, Text: fmt.Sprintf("%d gateways report that they hold the floating address", len(active))}}
	}
	return nil
}

// deathReasonTimeout is how long after a fault a gateway may still be declared dead because of that fault, in microseconds.
const deathReasonTimeout = 15_000_000

// checkMembers checks that a gateway that runs and can be reached is not declared dead. Reasons that allow it are a process that
// ended, a stopped or starved process, and cut paths. Lost and delayed messages are no such reason.
func checkMembers(history *timeline) (out []Violation) {
	for _, e := range history.events {
		name, about := strings.CutPrefix(e.What, "member g")
		node, err := strconv.Atoi(name)
		if e.Kind != StateReported || !about || e.Text != "dead" || err != nil || history.endedBetween(node, e.At-deathReasonTimeout, e.At) {
			continue
		}
		reason := slices.ContainsFunc(history.faults, func(w faultWindow) bool {
			if w.from > e.At || w.to < e.At-deathReasonTimeout {
				return false
			}
			switch w.Verb {
			case verbStop, verbStarve:
				return w.concerns(node) || w.concerns(e.Node)
			case verbCut, verbSplit:
				return true // also a cut between other gateways, because gossip spreads their wrong reports
			}
			return false
		})
		if !reason {
			out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d reports gateway %d dead, as declared by %s", e.Node, node, e.Value)})
		}
	}
	return out
}
