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

// Violation is one rule or invariant that a history breaks.
type Violation struct {
	Rule string
	At   int64 // microseconds since the history began
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, float64(v.At)/1e6, v.Text)
}

// checker looks for breaks of one rule in a history, and knows nothing else.
type checker struct {
	rule  string
	check func(h *reading) []Violation
}

// checkers are all rules that a history must keep. A later part of the program adds its own.
var checkers = []checker{
	{"answers", answers}, {"bookings", bookings}, {"drains", drains}, {"stale", stale}, {"linearizable", linearizable},
	{"crashes", crashes}, {"address", address}, {"members", members}, {"sessions", sessions}, {"told", toldRightly},
	{"order", order},
}

// Check reads a history and lists what it breaks, in the order of time.
func Check(events []Event) (all []Violation) {
	h := read(events)
	if h.broken != "" {
		return []Violation{{"history", 0, h.broken}}
	}
	for _, c := range checkers {
		for _, v := range c.check(h) {
			v.Rule = c.rule
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}

// window is a fault while it lasted.
type window struct {
	Fault
	from, to int64
}

// on tells whether a fault on gateways concerns one.
func (w window) on(node int) bool { return w.From == nil || slices.Contains(w.From, node) }

// request is all that a history tells of one id.
type request struct {
	asked *Event
	heard []Event
	sent  []Event
	ran   []Event
}

// reading is a history in the order of time, with what several checkers need.
type reading struct {
	events   []Event
	requests map[string]*request
	order    []string // ids as they were first seen
	faults   []window
	end      int64
	broken   string // the history makes no sense
}

func read(events []Event) *reading {
	h := &reading{events: slices.Clone(events), requests: map[string]*request{}}
	slices.SortStableFunc(h.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	open := map[string][]int{}
	for i := range h.events {
		e := &h.events[i]
		h.end = max(h.end, e.At)
		switch e.Kind {
		case FaultStarted:
			f, err := ParseFault(e.What)
			if err != nil {
				h.broken = err.Error()
				return h
			}
			open[e.What] = append(open[e.What], len(h.faults))
			h.faults = append(h.faults, window{f, e.At, math.MaxInt64})
		case FaultEnded:
			list := open[e.What]
			if len(list) == 0 {
				h.broken = fmt.Sprintf("%q ends and never began", e.What)
				return h
			}
			h.faults[list[0]].to, open[e.What] = e.At, list[1:]
		case RequestSent, ResponseReceived, RequestForwarded, RequestExecuted:
			r := h.requests[e.ID]
			if r == nil {
				r = &request{}
				h.requests[e.ID] = r
				h.order = append(h.order, e.ID)
			}
			switch e.Kind {
			case RequestSent:
				r.asked = e
			case ResponseReceived:
				r.heard = append(r.heard, *e)
			case RequestForwarded:
				r.sent = append(r.sent, *e)
			default:
				r.ran = append(r.ran, *e)
			}
		}
	}
	return h
}

// during finds a fault of one of these verbs on a gateway at any moment of a span.
func (h *reading) during(node int, from, to int64, verbs ...string) (window, bool) {
	for _, w := range h.faults {
		if slices.Contains(verbs, w.Verb) && w.on(node) && w.from <= to && w.to >= from {
			return w, true
		}
	}
	return window{}, false
}

// died tells whether a gateway's process ended within a span.
func (h *reading) died(node int, from, to int64) bool {
	return slices.ContainsFunc(h.events, func(e Event) bool {
		return e.Kind == ProcessChanged && e.What == "ended" && e.Node == node && e.At >= from && e.At <= to
	})
}

// The slacks of the checkers, in microseconds: the protocol page's 50 ms on every limit, and what a busy machine may take to
// note something.
const (
	pageSlack = 50_000
	rigSlack  = 150_000
)

// leaves is how long a gateway may take to end once it was told to.
const leaves = 5_000_000

// answers: each request that was taken has exactly one final answer, and what is served was made for it. A connection that
// ends without one is a lost request, unless the gateway died or stood still, or was leaving and had not read it.
func answers(h *reading) (out []Violation) {
	for _, id := range h.order {
		r := h.requests[id]
		switch {
		case r.asked == nil && strings.HasPrefix(id, lookPrefix):
			continue // a gateway's own read, which shows whether a booking ran
		case r.asked == nil:
			out = append(out, Violation{At: first(r), Text: fmt.Sprintf("%s was sent or answered, and nobody asked", id)})
			continue
		case len(r.heard) == 0 && r.asked.At+r.asked.Timeout*2 < h.end:
			out = append(out, Violation{At: r.asked.At, Text: fmt.Sprintf("%s never ended", id)})
			continue
		case len(r.heard) > 1:
			out = append(out, Violation{At: r.heard[1].At, Text: fmt.Sprintf("%s ended twice, as %s and %s", id, r.heard[0].What, r.heard[1].What)})
			continue
		case len(r.heard) == 0:
			continue
		}
		node, from, x := r.asked.Node, r.asked.At, r.heard[0]
		switch x.What {
		case EndServed:
			if !h.madeFor(r, id, x.Value) {
				out = append(out, Violation{At: x.At, Text: fmt.Sprintf("%s was served %q", id, x.Value)})
			}
		case EndClosed, EndReset:
			if h.died(node, from-rigSlack, x.At+rigSlack) {
				continue // also where it was written to a process that had died just before: its client had not seen that yet
			}
			if _, leaving := h.during(node, from, x.At, "term"); leaving && len(r.sent) == 0 && h.died(node, x.At, x.At+leaves) {
				continue // the close and the request crossed
			}
			out = append(out, Violation{At: x.At, Text: fmt.Sprintf("%s to gateway %d is lost: its connection was %s", id, node, x.What)})
		case EndTimeout:
			if _, slow := h.during(node, from, x.At, "stop", "starve"); slow || h.died(node, from, x.At+rigSlack) {
				continue
			}
			out = append(out, Violation{At: x.At, Text: fmt.Sprintf("%s to gateway %d is lost: no answer within its time", id, node)})
		}
	}
	return out
}

// lookPrefix begins the ids of reads that gateways make to find out about a booking.
const lookPrefix = "look-"

// madeFor tells whether a value was made for a request: by its own run, or, for a booking that was asked for again, by the run of
// an earlier request for the same, or a read that showed it.
func (h *reading) madeFor(r *request, id, value string) bool {
	by, _, _ := strings.Cut(value, " ")
	if by == id {
		return true
	}
	other := h.requests[by]
	return other != nil && r.asked.Class == ClassBooking && slices.ContainsFunc(other.ran, func(e Event) bool { return e.Key == r.asked.Key })
}

func first(r *request) int64 {
	at := int64(math.MaxInt64)
	for _, list := range [][]Event{r.heard, r.sent, r.ran} {
		if len(list) > 0 {
			at = min(at, list[0].At)
		}
	}
	return at
}

// bookings: nothing that a client means runs twice; what was served has run, and what was refused has not.
func bookings(h *reading) (out []Violation) {
	ran := map[string][]Event{}
	for _, id := range h.order {
		r := h.requests[id]
		for _, e := range r.ran {
			if e.Class == ClassBooking {
				ran[e.Key] = append(ran[e.Key], e)
			}
		}
		if r.asked == nil || r.asked.Class != ClassBooking || len(r.heard) == 0 {
			continue
		}
		switch end := r.heard[0]; {
		case end.What == EndServed && len(r.ran) == 0 && !strings.HasPrefix(end.Value, id+" ") && h.madeFor(r, id, end.Value):
			// its answer was known
		case end.What == EndServed && len(r.ran) != 1:
			out = append(out, Violation{At: end.At, Text: fmt.Sprintf("%s was served and ran %d times", id, len(r.ran))})
		case end.What == EndRejected && len(r.ran) > 0:
			out = append(out, Violation{At: end.At, Text: fmt.Sprintf("%s was refused and ran", id)})
		}
	}
	for key, list := range ran {
		if len(list) > 1 {
			out = append(out, Violation{At: list[1].At, Text: fmt.Sprintf("%s ran %d times, as %s and %s", key, len(list), list[0].ID, list[1].ID)})
		}
	}
	return out
}

// toldRightly: whoever asks again for a booking that ran is not told that it did not.
func toldRightly(h *reading) (out []Violation) {
	ran := map[string]int64{}
	for _, e := range h.events {
		if e.Kind == RequestExecuted && e.Class == ClassBooking && ran[e.Key] == 0 {
			ran[e.Key] = e.At
		}
	}
	for _, id := range h.order {
		r := h.requests[id]
		if r.asked == nil || !strings.HasSuffix(r.asked.Text, askedBefore) || len(r.heard) == 0 || r.heard[0].What != EndRejected {
			continue
		}
		if strings.Contains(r.heard[0].Text, closedUnread) {
			continue // the close and the request crossed: it was not read, and may come again
		}
		if at := ran[r.asked.Key]; at > 0 && at < r.heard[0].At {
			out = append(out, Violation{At: r.heard[0].At, Text: fmt.Sprintf("%s asked gateway %d again for %s and was refused (%s), and it ran at %.3fs", id, r.asked.Node, r.asked.Key, r.heard[0].Text, float64(at)/1e6)})
		}
	}
	return out
}

// drains: nothing new goes to a server once its drain was told for as long as the settings allow. What a gateway cannot hear,
// or cannot act on because it does not run, it is told when it can.
func drains(h *reading) (out []Violation) {
	type link struct {
		node   int
		server string
	}
	told := map[link]int64{}
	for _, e := range h.events {
		at := link{e.Node, e.Server}
		switch e.Kind {
		case EndpointUpdateSent:
			if delete(told, at); e.What != "ready" {
				told[at] = h.heardBy(e.Node, e.At)
			}
		case RequestForwarded:
			if by, ok := told[at]; ok && e.At > by {
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf(
					"gateway %d sent %s to %s, %.0f ms after it had to stop", e.Node, e.ID, e.Server, float64(e.At-by)/1000)})
			}
		}
	}
	return out
}

// heardBy is when a gateway must act on what discovery wrote at a time.
func (h *reading) heardBy(node int, at int64) int64 {
	allowed := stopSending.Microseconds() + pageSlack + rigSlack
	for moved := true; moved; {
		moved = false
		for _, w := range h.faults {
			away := w.Verb == "stop" || w.Verb == "starve" || w.Verb == "kill" || w.Verb == "term" ||
				w.Verb == "sever" && w.Name == Discovery
			if away && w.on(node) && w.from <= at+allowed && w.to > at {
				if w.to == math.MaxInt64 {
					return w.to
				}
				// The call to discovery may have to be made anew.
				at, moved, allowed = w.to, true, max(allowed, askWithin.Microseconds())
			}
		}
	}
	return at + allowed
}

// stale: a view's data are no older than its bound when the gateway has sent the request, and what is served of a seat was looked
// for at a primary: an answer of a replica that is not passed on harms nobody.
func stale(h *reading) (out []Violation) {
	for _, id := range h.order {
		r := h.requests[id]
		for i, e := range r.ran {
			sent := e.At
			for _, s := range r.sent {
				if s.Server == e.Server && s.At <= e.At {
					sent = s.At
				}
			}
			switch age := e.DataAge - (e.At - sent); {
			case e.Class == ClassView && age > ViewBound.Microseconds()+pageSlack:
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf(
					"%s ran at %s, whose data were %.0f ms old when gateway %d had sent it", id, e.Server, float64(age)/1000, e.Node)})
			case e.Class == ClassSeat && e.What != rolePrimary && i == len(r.ran)-1 && len(r.heard) > 0 && r.heard[0].What == EndServed:
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf("%s must be current and ran at %s", id, e.Server)})
			}
		}
	}
	return out
}

// seat is one operation on one key, for porcupine.
type seat struct {
	key   string
	write bool
}

// seats is a key that a booking puts there, once and for all.
var seats = porcupine.Model{
	Init: func() any { return false },
	Step: func(there, in, out any) (bool, any) {
		if in.(seat).write {
			return true, true
		}
		return out == there, there
	},
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string]int{}
		for _, o := range all {
			i, known := by[o.Input.(seat).key]
			if !known {
				i = len(parts)
				by[o.Input.(seat).key], parts = i, append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
}

// checkFor bounds the search for an order; a history that takes longer counts as broken, for it proves nothing.
const checkFor = 30 * time.Second

// linearizable: bookings and looks for seats have an order that explains all answers. A booking whose end is not known may
// take effect at any time, or never.
func linearizable(h *reading) []Violation {
	var all []porcupine.Operation
	clients := map[string]int{}
	for _, id := range h.order {
		r := h.requests[id]
		if r.asked == nil || r.asked.Class != ClassBooking && r.asked.Class != ClassSeat {
			continue
		}
		if _, ok := clients[r.asked.Client]; !ok {
			clients[r.asked.Client] = len(clients)
		}
		op := porcupine.Operation{
			ClientId: clients[r.asked.Client], Input: seat{r.asked.Key, r.asked.Class == ClassBooking}, Call: r.asked.At,
			Output: true, Return: math.MaxInt64,
		}
		served := len(r.heard) == 1 && r.heard[0].What == EndServed
		switch {
		case served:
			op.Output, op.Return = strings.HasSuffix(r.heard[0].Value, There), r.heard[0].At
		case r.asked.Class != ClassBooking || len(r.heard) == 1 && r.heard[0].What == EndRejected || len(r.ran) == 0:
			continue
		}
		all = append(all, op)
	}
	switch porcupine.CheckOperationsTimeout(seats, all, checkFor) {
	case porcupine.Illegal:
		return []Violation{{At: 0, Text: "no order of bookings and looks for seats explains the answers"}}
	case porcupine.Unknown:
		return []Violation{{At: 0, Text: fmt.Sprintf("no order was found within %v", checkFor)}}
	}
	return nil
}

// sessions: a read of a session sees what that session had booked, and was told so, before the read was asked.
func sessions(h *reading) (out []Violation) {
	booked := map[string]int64{}
	for _, e := range h.events {
		if e.Kind == ResponseReceived && e.Class == ClassBooking && e.What == EndServed && booked[e.Key] == 0 {
			booked[e.Key] = e.At
		}
	}
	for _, id := range h.order {
		r := h.requests[id]
		if r.asked == nil || r.asked.Class != ClassMine || len(r.heard) != 1 || r.heard[0].What != EndServed {
			continue
		}
		if at, known := booked[r.asked.Key]; known && at < r.asked.At && !strings.HasSuffix(r.heard[0].Value, There) {
			out = append(out, Violation{At: r.heard[0].At, Text: fmt.Sprintf(
				"%s does not see %s, which was booked at %.3fs", id, r.asked.Key, float64(at)/1e6)})
		}
	}
	return out
}

// order: where machines are taken out for work, nothing is under way at a gateway that is touched, nothing is sent to a server that
// is, and no gateway ever knows of two gateways that are away.
func order(h *reading) (out []Violation) {
	inWork := map[string]bool{}
	away := map[int]map[string]bool{}
	for _, e := range h.events {
		name, begins := strings.CutPrefix(e.What, touched)
		machine, ofOrder := strings.CutPrefix(e.What, "order ")
		switch {
		case e.Kind == PhaseReached && begins:
			inWork[name] = true
			for _, id := range h.order {
				r := h.requests[id]
				if r.asked == nil || fmt.Sprint("g", r.asked.Node) != name || r.asked.At > e.At || len(r.heard) == 1 && r.heard[0].At < e.At {
					continue
				}
				if len(r.heard) == 0 || r.heard[0].What == EndReset || r.heard[0].What == EndTimeout {
					out = append(out, Violation{At: e.At, Text: fmt.Sprintf("%s was under way at %s when that was touched", id, name)})
				}
			}
		case e.Kind == PhaseReached:
			delete(inWork, strings.TrimPrefix(e.What, untouched))
		case e.Kind == RequestForwarded && inWork[e.Server]:
			out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d sent %s to %s, which was worked at", e.Node, e.ID, e.Server)})
		case e.Kind == ProcessChanged && e.What == "started":
			delete(away, e.Node)
		case e.Kind == StateReported && ofOrder && strings.HasPrefix(machine, "g"):
			all := away[e.Node]
			if all == nil {
				all = map[string]bool{}
				away[e.Node] = all
			}
			if delete(all, machine); slices.Contains([]string{"next", "leaving", "out", "returning", "overdue"}, e.Text) {
				all[machine] = true
			}
			if len(all) > 1 {
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d knows of %d gateways that are away", e.Node, len(all))})
			}
		}
	}
	return out
}

// crashes: no process ends unless it was told or made to.
func crashes(h *reading) (out []Violation) {
	for _, e := range h.events {
		if e.Kind != ProcessChanged || e.What != "ended" {
			continue
		}
		if w, made := h.during(e.Node, e.At-leaves, e.At, "kill", "term"); !made || w.Verb == "term" && e.Text != "exit status 0" {
			if _, killed := h.during(e.Node, e.At-leaves, e.At, "kill"); !killed {
				out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d ended with %s", e.Node, e.Text)})
			}
		}
	}
	return out
}

// address: once everything is whole again, exactly one gateway believes to hold the floating address.
func address(h *reading) []Violation {
	settled := slices.IndexFunc(h.events, func(e Event) bool { return e.Kind == PhaseReached && e.What == "settled" })
	if settled < 0 {
		return nil
	}
	if held := ActiveRouters(h.events[:settled]); len(held) != 1 {
		return []Violation{{At: h.events[settled].At, Text: fmt.Sprintf("%d gateways hold it", len(held))}}
	}
	return nil
}

// dieBy is how long after a reason for it somebody may still be declared dead, in microseconds.
const dieBy = 15_000_000

// members: nobody is declared dead that runs and can be reached. Losses and delays are no reason; a process that ended, or
// stands still for long, or whose ways are cut, is.
func members(h *reading) (out []Violation) {
	for _, e := range h.events {
		name, about := strings.CutPrefix(e.What, "member g")
		node, err := strconv.Atoi(name)
		if e.Kind != StateReported || !about || e.Text != "dead" || err != nil || h.died(node, e.At-dieBy, e.At) {
			continue
		}
		reason := slices.ContainsFunc(h.faults, func(w window) bool {
			if w.from > e.At || w.to < e.At-dieBy {
				return false
			}
			switch w.Verb {
			case "stop", "starve":
				return w.on(node) || w.on(e.Node)
			case "cut", "split":
				return true // who is cut from one is reached by another, and what both believe travels
			}
			return false
		})
		if !reason {
			out = append(out, Violation{At: e.At, Text: fmt.Sprintf("gateway %d holds gateway %d dead, by %s", e.Node, node, e.Value)})
		}
	}
	return out
}
