// Package simwire translates between the bench's wire and the terms of package policy: words, units and shapes.
// It keeps no state and decides nothing. Times become exact whole microseconds; positions are unpacked here, once.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// Sheets is how many list sheets the wire numbers.
const MaxSheets = 16

// FaultError is a defect that belongs to one instance.
type FaultError struct {
	Instance int
	Text     string
}

func (e *FaultError) Error() string { return fmt.Sprintf("instance %d: %s", e.Instance, e.Text) }

// Message is one decoded line: Tick, Flush, Start, Stop, Sheet, News or ForInstance.
type Message interface{}

// Tick begins a batch.
type BatchBegin struct{ Now clock.Micros }

// Flush ends a batch.
type BatchEnd struct{}

// Start begins an instance.
type StartInstance struct {
	Instance int
	Seed     uint64
	Settings *settings.InForce
}

// Stop ends an instance.
type StopInstance struct{ Instance int }

// Sheet carries list entries under a number.
type EndpointSheet struct {
	Number  int
	Members []policy.Endpoint
}

// News says which sheet an instance has learned of.
type EndpointListChanged struct {
	Instance int
	Form     policy.ListForm
	Sheet    int
}

// ForInstance is any other event.
type InstanceEvent struct {
	Instance int
	Event    policy.Event
}

var results = map[int64]policy.Result{
	200: policy.ResultOK, 500: policy.ResultError, 503: policy.ResultOverloaded, 504: policy.ResultTimeout,
	502: policy.ResultConnectFailed, 598: policy.ResultReset, 499: policy.ResultCancelled,
	410: policy.ResultNotSent, 404: policy.ResultMisdirected,
}

var states = map[int64]policy.EndpointState{0: policy.EndpointRemoved, 1: policy.EndpointReady, 2: policy.EndpointDraining}

var forms = map[int64]policy.ListForm{
	0: policy.ListDelta, 4: policy.ListFull, 1: policy.ListCached, 3: policy.ListFailed,
}

var roles = map[int64]policy.Role{0: policy.RoleUnknown, 1: policy.RolePrimary, 2: policy.RoleReplica}

// row reads one message's values in order and remembers the first defect.
type row struct {
	vals []json.RawMessage
	err  error
}

func (r *row) fail(i int, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("value %d is not %s", i, want)
	}
}

// absent tells that a value is null or not there at all.
func (r *row) absent(i int) bool { return i >= len(r.vals) || string(r.vals[i]) == "null" }

func (r *row) integer(i int) int64 {
	if !r.absent(i) {
		if v, err := strconv.ParseInt(string(r.vals[i]), 10, 64); err == nil {
			return v
		}
	}
	r.fail(i, "a whole number")
	return 0
}

func (r *row) integerOr(i int, def int64) int64 {
	if r.absent(i) {
		return def
	}
	return r.integer(i)
}

func (r *row) unsigned(i int, bits int) uint64 {
	if !r.absent(i) {
		if v, err := strconv.ParseUint(string(r.vals[i]), 10, bits); err == nil {
			return v
		}
	}
	r.fail(i, "a whole number from 0 up")
	return 0
}

func (r *row) count(i int) int {
	v := r.integer(i)
	if v < 0 || v > 1<<31 {
		r.fail(i, "a small whole number")
		return 0
	}
	return int(v)
}

func (r *row) text(i int) string {
	var s string
	if r.absent(i) || json.Unmarshal(r.vals[i], &s) != nil {
		r.fail(i, "a text")
	}
	return s
}

func (r *row) boolean(i int) bool {
	var b bool
	if r.absent(i) || json.Unmarshal(r.vals[i], &b) != nil {
		r.fail(i, "true or false")
	}
	return b
}

// micros reads milliseconds with fractions; an absent value is 0.
func (r *row) micros(i int) clock.Micros {
	if r.absent(i) {
		return 0
	}
	return clock.Micros(r.scaled(i, 3))
}

func (r *row) scaled(i, digits int) int64 {
	v, err := settings.ParseScaled(string(r.vals[i]), digits)
	if err != nil {
		r.fail(i, "a number")
	}
	return v
}

// Decode reads one line. factsOf finds the settings of a started instance, or nil.
func Decode(line []byte, factsOf func(int) *settings.InForce) (Message, error) {
	var vals []json.RawMessage
	if err := json.Unmarshal(line, &vals); err != nil || len(vals) == 0 {
		return nil, errors.New("not a message: a line holds one array that begins with a name")
	}
	all := row{vals: vals}
	name := all.text(0)
	if all.err != nil {
		return nil, errors.New("not a message: its name is no text")
	}
	r := &row{vals: vals[1:]}
	switch name {
	case "TICK":
		if r.absent(0) {
			r.fail(0, "a time")
		}
		return checked(name, BatchBegin{r.micros(0)}, r)
	case "FLUSH":
		return BatchEnd{}, nil
	case "LEDGER":
		m := EndpointSheet{Number: r.count(0), Members: r.members(1)}
		if m.Number >= MaxSheets {
			r.fail(0, "a sheet from 0 to 15")
		}
		return checked(name, m, r)
	}
	inst := r.count(0)
	if r.err != nil {
		return nil, fmt.Errorf("%.40q: it names no instance", name)
	}
	msg, err := decodeInstanceMessage(name, inst, r, factsOf)
	if err != nil {
		return nil, &FaultError{Instance: inst, Text: err.Error()}
	}
	return msg, nil
}

func checked(name string, m Message, r *row) (Message, error) {
	if r.err != nil {
		return nil, fmt.Errorf("%s: %w", name, r.err)
	}
	return m, nil
}

func decodeInstanceMessage(name string, inst int, r *row, factsOf func(int) *settings.InForce) (Message, error) {
	switch name {
	case "START":
		seed := r.seed(1)
		if r.err != nil || r.absent(2) {
			return nil, errors.New("START: it lacks its seed or its settings")
		}
		facts, err := settings.Parse(r.vals[2])
		return StartInstance{inst, seed, facts}, err
	case "POWER_OFF":
		return StopInstance{inst}, nil
	case "REGISTRY":
		m := EndpointListChanged{Instance: inst, Form: lookupCode(r, forms, 1, "a known form of list")}
		if m.Form != policy.ListFailed {
			if m.Sheet = r.count(3); m.Sheet >= MaxSheets {
				r.fail(3, "a sheet from 0 to 15")
			}
		}
		return checked(name, m, r)
	}
	facts := factsOf(inst)
	if facts == nil {
		return nil, fmt.Errorf("%.40q for an instance that was never started", name)
	}
	var ev policy.Event
	switch name {
	case "JOB_IN":
		ev = r.arrival(facts)
	case "HEADERS":
		ev = policy.AnswerStarted{ID: r.text(1), Attempt: r.count(2)}
	case "RESPONSE":
		ev = r.outcome(facts)
	case "DROPPED":
		ev = policy.ClientDisconnected{ID: r.text(1)}
	case "ALARM":
		ev = timerOf(r.text(1))
	case "STATUS_BACK":
		ev = policy.HealthCheckEnded{
			Server: policy.ServerID(r.unsigned(1, 32)), Result: lookupCode(r, results, 2, "a known outcome"),
			Latency: r.micros(3), LoadReport: r.loadReport(4, facts),
		}
	case "MAIL":
		data, err := decodeHex(r.text(2))
		if err != nil {
			r.fail(2, "hex digits")
		}
		ev = policy.PeerMessage{From: r.count(1), Data: data}
	default:
		return nil, fmt.Errorf("unknown event %.40q", name)
	}
	return checked(name, InstanceEvent{inst, ev}, r)
}

func lookupCode[T any](r *row, table map[int64]T, i int, want string) T {
	v, ok := table[r.integer(i)]
	if !ok {
		r.fail(i, want)
	}
	return v
}

// seed accepts any whole number, also one past 63 bits or below zero.
func (r *row) seed(i int) uint64 {
	if !r.absent(i) {
		if v, err := strconv.ParseUint(string(r.vals[i]), 10, 64); err == nil {
			return v
		}
	}
	return uint64(r.integer(i))
}

// The flag bits of a request's attrs.
const (
	flagRetry = 2
)

func (r *row) arrival(f *settings.InForce) policy.Event {
	class, ok := f.ClassIndex[r.text(6)]
	if !ok {
		r.fail(6, "a class of the settings")
	}
	a := policy.Arrival{
		ID: r.text(1), Class: class, Group: int(r.integerOr(4, 0)), TimeLeft: r.micros(5),
		ClientRetry: r.integerOr(8, 0)&flagRetry != 0, SinceWrite: r.micros(9),
	}
	if !r.absent(2) {
		a.Session, a.HasSession = r.unsigned(2, 64), true
	}
	return a
}

func (r *row) outcome(f *settings.InForce) policy.Event {
	o := policy.Outcome{
		ID: r.text(1), Latency: r.micros(3), Server: policy.ServerID(r.unsigned(4, 32)),
		Result: lookupCode(r, results, 5, "a known outcome"), Final: r.boolean(6), Attempt: r.count(7),
		LoadReport: r.loadReport(8, f),
	}
	if note := r.integerOr(2, 0); note > 0 {
		o.Role = roles[note%4]
		if ms := note / 4; ms > 0 {
			o.Position = f.PositionEpoch + clock.Micros(ms)*1000
		}
	}
	return o
}

// report reads a load report by the order of the settings' fields; fields of unknown names are passed over.
func (r *row) loadReport(i int, f *settings.InForce) policy.LoadReport {
	var rep policy.LoadReport
	if r.absent(i) {
		return rep
	}
	sub := row{}
	if json.Unmarshal(r.vals[i], &sub.vals) != nil {
		r.fail(i, "a load report")
		return rep
	}
	for k, field := range f.LoadReportFields {
		if sub.absent(k) {
			continue
		}
		if err := settings.SetLoadReportField(&rep, field, string(sub.vals[k]), f.PositionEpoch); err != nil {
			sub.fail(k, "a number")
		}
	}
	if sub.err != nil {
		r.fail(i, "a load report of numbers")
	}
	return rep
}

func (r *row) members(i int) []policy.Endpoint {
	var rows [][]json.RawMessage
	if r.absent(i) || json.Unmarshal(r.vals[i], &rows) != nil {
		r.fail(i, "a list of entries")
		return nil
	}
	out := make([]policy.Endpoint, 0, len(rows))
	for _, vals := range rows {
		e := row{vals: vals}
		m := policy.Endpoint{
			Primary: !e.absent(0) && e.scaled(0, 0) == 1, Server: policy.ServerID(e.unsigned(4, 32)),
			Group: int(e.integerOr(5, 0)), State: lookupCode(&e, states, 6, "a known state"), Started: e.micros(7),
		}
		if !e.absent(1) {
			m.Weight = e.scaled(1, 3)
		}
		if !e.absent(3) {
			m.Zone = e.text(3)
		}
		if e.err != nil {
			r.fail(i, fmt.Sprintf("a list of entries (entry %d: %v)", len(out), e.err))
			return nil
		}
		out = append(out, m)
	}
	return out
}
