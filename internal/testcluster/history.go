// Package testcluster runs several real gateway processes with fakes of everything around them, injects faults by a script, records
// what happens as a history on one clock, and checks that history. The package's own tests and internal/experiments call it.
//
// New starts a Cluster, Cluster.Load its clients, Cluster.Play injects faults (Inject has what each verb does), Cluster.Settle waits
// until everything is repaired, and Check finds violations. Run does all of that. Faults and the History are safe for use by several
// goroutines; each process has one goroutine that reads its log and ends with it (launch). See docs/test-cluster.md.
package testcluster

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Kind is what an event records.
type Kind string

// The kinds of events.
const (
	FaultStarted       Kind = "begins"  // a fault starts; What is its line in the script
	FaultEnded         Kind = "ends"    // the same fault is repaired
	ProcessChanged     Kind = "process" // a gateway's process: What is one of the states below, Text how it ended
	StateReported      Kind = "belief"  // a state that a gateway reports in its log: What is its subject, Text the state
	EndpointUpdateSent Kind = "told"    // discovery sent an endpoint update to a gateway: Server, and What its state
	RequestSent        Kind = "asked"   // a client has written a complete request
	ResponseReceived   Kind = "heard"   // the end of a request at its client: What is one of the ends below
	RequestForwarded   Kind = "sent"    // a gateway began to send a request to a server
	RequestExecuted    Kind = "ran"     // a server ran a request: What is its role
	PhaseReached       Kind = "phase"   // the run's own steps: What is one of the phases below
)

// What a ProcessChanged event says of a gateway's process.
const (
	ProcessStarted = "started"
	ProcessReady   = "ready" // it has answered a request
	ProcessEnded   = "ended"
)

// The steps of a run, which PhaseReached events name.
const (
	PhaseLoad     = "load"    // the load has started
	PhaseRepaired = "healed"  // all faults are repaired
	PhaseSettled  = "settled" // the cluster has settled
	PhaseDone     = "done"    // the load has stopped and sessions are verified
)

// The subjects of StateReported events; all but subjectItself are prefixes of a name.
const (
	subjectVRRP        = "vrrp "   // a floating address
	subjectMember      = "member " // another gateway
	subjectItself      = "itself"  // the gateway's own membership
	subjectMaintenance = "order "  // a machine
	subjectStateStore  = "copies " // an event of the state store
)

// How a request ends for its client.
const (
	EndServed   = "served"
	EndRejected = "refused" // 53300 or 57P03: it has not run
	EndFailed   = "failed"  // any other error: it may have run
	EndClosed   = "closed"  // the connection was closed in an orderly way without an answer
	EndReset    = "reset"
	EndTimeout  = "timeout"
)

// Event is one line of a history. Which fields are set depends on its kind.
type Event struct {
	At      int64  `json:"at"` // microseconds since the history began
	Kind    Kind   `json:"kind"`
	Node    int    `json:"node,omitempty"` // the gateway, from 1; 0: none
	What    string `json:"what,omitempty"`
	Text    string `json:"text,omitempty"`
	ID      string `json:"id,omitempty"` // of the request; each attempt has its own
	Client  string `json:"client,omitempty"`
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`    // what is booked or read; the attempts of one booking share it
	Server  string `json:"server,omitempty"` // by its id on the list
	Value   string `json:"value,omitempty"`  // as the server gave it, or as the client received it
	Timeout int64  `json:"within,omitempty"` // microseconds that the client waits for the answer
	DataAge int64  `json:"age,omitempty"`    // microseconds by which the server's data were behind when it ran
}

// History records events on one clock. It is safe for use by several goroutines.
type History struct {
	start time.Time
	log   zerolog.Logger

	mu         sync.Mutex
	events     []Event
	ended      bool
	changed    chan struct{} // closed and replaced at each event
	writeError error         // of the writer
}

// NewHistory begins a history. Events are also written to w as JSON Lines; nil: nowhere.
func NewHistory(w io.Writer) *History {
	h := &History{start: time.Now(), changed: make(chan struct{})}
	if w == nil {
		w = io.Discard
	}
	h.log = zerolog.New(writer{h, w})
	return h
}

// writer keeps the first write error: an incomplete history must not pass for a complete one.
type writer struct {
	h *History
	w io.Writer
}

func (w writer) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	if err != nil && w.h.writeError == nil {
		w.h.writeError = err
	}
	return n, err
}

// Now is the history's time, in microseconds.
func (h *History) Now() int64 { return time.Since(h.start).Microseconds() }

// Timestamp is the time of the history at a wall time, in microseconds.
func (h *History) Timestamp(t time.Time) int64 { return t.Sub(h.start).Microseconds() }

// WallTime is the wall time at a time of the history.
func (h *History) WallTime(at int64) time.Time {
	return h.start.Add(time.Duration(at) * time.Microsecond)
}

// Add records an event, now unless its time is set. It does nothing once the history has ended.
func (h *History) Add(event Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	if event.At == 0 {
		event.At = h.Now()
	}
	h.events = append(h.events, event)
	line := h.log.Log().Int64("at", event.At).Str("kind", string(event.Kind))
	for _, field := range []struct{ name, value string }{
		{"what", event.What}, {"text", event.Text}, {"id", event.ID}, {"client", event.Client}, {"class", event.Class}, {"key", event.Key},
		{"server", event.Server}, {"value", event.Value},
	} {
		if field.value != "" {
			line.Str(field.name, field.value)
		}
	}
	if event.Node != 0 {
		line.Int("node", event.Node)
	}
	if event.Timeout != 0 {
		line.Int64("within", event.Timeout)
	}
	if event.DataAge != 0 {
		line.Int64("age", event.DataAge)
	}
	line.Send()
	close(h.changed)
	h.changed = make(chan struct{})
}

// End ends the history: what the cluster does to clean up is not part of it.
func (h *History) End() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
}

// Events are all events so far, in the order in which they were recorded.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// Err is the first error of writing the history.
func (h *History) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writeError
}

// pollInterval is how often Await checks without an event: its condition may depend on state that is not in the history.
const pollInterval = 50 * time.Millisecond

// Await waits until matches is true of all events so far; it fails after a timeout.
func (h *History) Await(what string, bound time.Duration, matches func([]Event) bool) error {
	deadline := time.After(bound)
	for {
		h.mu.Lock()
		events, changed := h.events[:len(h.events):len(h.events)], h.changed
		h.mu.Unlock()
		if matches(events) {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(pollInterval):
		case <-deadline:
			return fmt.Errorf("%s: not seen within %v", what, bound)
		}
	}
}

// ReadHistory reads a history that was written as JSON Lines.
func ReadHistory(r io.Reader) (events []Event, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var e Event
		d := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		d.DisallowUnknownFields()
		if err := d.Decode(&e); err != nil {
			return events, fmt.Errorf("line %d: %w", n, err)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}
