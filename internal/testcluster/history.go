// Package testcluster runs several real gateway processes, with fakes of all systems that they talk to, and injects faults from a
// script. It records all events in a history with a single clock, and checks that history. The package's own tests and
// internal/experiments use it.
//
// New starts a Cluster, Cluster.Load starts clients, Cluster.Play injects faults (Inject implements each verb), Cluster.Settle waits
// until the cluster has recovered, and Check finds violations. Run does all of that. The injection of faults and the History are safe
// for concurrent use. For each gateway process there is one goroutine, which reads the process's log and ends with the process (see
// launch). See docs/test-cluster.md.
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

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	FaultStarted       Kind = "begins"  // a fault was injected; What is its line in the script
	FaultEnded         Kind = "ends"    // a fault was repaired; What is its line in the script
	ProcessChanged     Kind = "process" // the state of a gateway's process changed; What is one of the states below, Text the exit status
	StateReported      Kind = "belief"  // a gateway reported a state in its log; What is the subject, Text the state
	EndpointUpdateSent Kind = "told"    // discovery sent the state of Server to a gateway; What is the state
	RequestSent        Kind = "asked"   // a client has written a complete request
	ResponseReceived   Kind = "heard"   // a client's request ended; What is one of the ends below
	RequestForwarded   Kind = "sent"    // a gateway began to send a request to a server
	RequestExecuted    Kind = "ran"     // a server ran a request; What is the server's role
	PhaseReached       Kind = "phase"   // the run reached a step; What is one of the phases below
)

// The states of a gateway's process in ProcessChanged events.
const (
	ProcessStarted = "started"
	ProcessReady   = "ready" // the process has answered a request
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

// The ways in which a request ends for its client.
const (
	EndServed   = "served"
	EndRejected = "refused" // error 53300 or 57P03: the request has not run
	EndFailed   = "failed"  // any other error: the request may have run
	EndClosed   = "closed"  // the connection was closed in an orderly way without an answer
	EndReset    = "reset"
	EndTimeout  = "timeout"
)

// Event is one line of a history. The fields that are set depend on its kind.
type Event struct {
	At      int64  `json:"at"` // microseconds since the history began
	Kind    Kind   `json:"kind"`
	Node    int    `json:"node,omitempty"` // the gateway's number, from 1; 0 if there is none
	What    string `json:"what,omitempty"`
	Text    string `json:"text,omitempty"`
	ID      string `json:"id,omitempty"` // id of the request; each attempt of a client has an id of its own
	Client  string `json:"client,omitempty"`
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`    // the key that is booked or read; all attempts of one booking have the same key
	Server  string `json:"server,omitempty"` // the server's id on the endpoint list
	Value   string `json:"value,omitempty"`  // what a client received; in StateReported events, the cause, the reporter or the former state
	Timeout int64  `json:"within,omitempty"` // how long the client waits for the answer, in microseconds
	DataAge int64  `json:"age,omitempty"`    // how old the server's data was when the request ran, in microseconds
}

// History records events with a single clock. It is safe for concurrent use.
type History struct {
	start time.Time
	log   zerolog.Logger

	mu         sync.Mutex
	events     []Event
	ended      bool
	changed    chan struct{} // closed and replaced at each event
	writeError error         // the first error of the writer
}

// NewHistory starts a history. If w is not nil, events are also written to it as JSON Lines.
func NewHistory(w io.Writer) *History {
	h := &History{start: time.Now(), changed: make(chan struct{})}
	if w == nil {
		w = io.Discard
	}
	h.log = zerolog.New(writer{h, w})
	return h
}

// writer stores the first write error in the history, so that an incomplete history is not taken for a complete history.
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

// Now returns the time since the history began, in microseconds.
func (h *History) Now() int64 { return time.Since(h.start).Microseconds() }

// Timestamp converts a wall time to the time since the history began, in microseconds.
func (h *History) Timestamp(t time.Time) int64 { return t.Sub(h.start).Microseconds() }

// WallTime converts a time since the history began, in microseconds, to a wall time.
func (h *History) WallTime(at int64) time.Time {
	return h.start.Add(time.Duration(at) * time.Microsecond)
}

// Add records an event. If its time is not set, the event gets the current time. Add does nothing once the history has ended.
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

// End ends the history, so that the cluster's cleanup is not recorded.
func (h *History) End() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
}

// Events returns all events so far, in the order in which they were recorded.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// Err returns the first error of writing the history.
func (h *History) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writeError
}

// pollInterval is how often Await checks its condition while there is no new event. Such checks are needed because the condition may
// depend on state that is not in the history.
const pollInterval = 50 * time.Millisecond

// Await waits until the function matches returns true for the events so far. It returns an error after the timeout bound. The
// parameter what names the condition in that error.
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
