package simwire

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// Errors about a line that is not a valid message.
var (
	errNotMessage      = errors.New("not a message: a line holds one array that begins with a name")
	errNameNotText     = errors.New("not a message: its first value is not a string")
	errStartIncomplete = errors.New("START: it lacks its seed or its settings")
)

// Decode decodes one line. settingsOf returns the settings of a started instance, or nil. An error in a message that is
// addressed to one instance is a *FaultError; any other error affects the whole run.
func Decode(line []byte, settingsOf func(instance int) *settings.Snapshot) (Message, error) {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil || len(values) == 0 {
		return nil, errNotMessage
	}
	all := row{values: values}
	name := all.text(0)
	if all.err != nil {
		return nil, errNameNotText
	}
	r := &row{values: values[1:]}
	switch name {
	case nameBatchBegin:
		if r.absent(0) {
			r.fail(0, "a time")
		}
		return checked(name, BatchBegin{r.micros(0)}, r)
	case nameBatchEnd:
		return BatchEnd{}, nil
	case nameEndpointSheet:
		sheet := EndpointSheet{Number: r.count(0), Endpoints: r.endpoints(1)}
		if sheet.Number >= MaxSheets {
			r.fail(0, "a sheet from 0 to 15")
		}
		return checked(name, sheet, r)
	}
	instance := r.count(0)
	if r.err != nil {
		return nil, fmt.Errorf("%.40q: no valid instance number", name)
	}
	message, err := decodeInstanceMessage(name, instance, r, settingsOf)
	if err != nil {
		return nil, &FaultError{Instance: instance, Text: err.Error()}
	}
	return message, nil
}

// checked returns the message that was read from r, or the error recorded in r if a value could not be read.
func checked(name string, message Message, r *row) (Message, error) {
	if r.err != nil {
		return nil, fmt.Errorf("%s: %w", name, r.err)
	}
	return message, nil
}

// decodeInstanceMessage decodes a message that is addressed to one instance, whose number is the first value of the row.
func decodeInstanceMessage(name string, instance int, r *row, settingsOf func(int) *settings.Snapshot) (Message, error) {
	switch name {
	case nameStartInstance:
		seed := r.seed(1)
		if r.err != nil || r.absent(2) {
			return nil, errStartIncomplete
		}
		parsed, err := settings.Parse(r.values[2])
		return StartInstance{instance, seed, parsed}, err
	case nameStopInstance:
		return StopInstance{instance}, nil
	case nameEndpointListChanged:
		changed := EndpointListChanged{Instance: instance, Form: lookupCode(r, listForms, 1, "a known form of list")}
		if changed.Form != policy.ListFailed {
			if changed.Sheet = r.count(3); changed.Sheet >= MaxSheets {
				r.fail(3, "a sheet from 0 to 15")
			}
		}
		return checked(name, changed, r)
	}
	inForce := settingsOf(instance)
	if inForce == nil {
		return nil, fmt.Errorf("%.40q for an instance that was never started", name)
	}
	event, err := r.event(name, inForce)
	if err != nil {
		return nil, err
	}
	return checked(name, InstanceEvent{instance, event}, r)
}

// event decodes an event for a started instance. It returns an error if the name is unknown; an error in a value is recorded in
// r.err.
func (r *row) event(name string, inForce *settings.Snapshot) (policy.Event, error) {
	switch name {
	case nameArrival:
		return r.arrival(inForce), nil
	case nameAnswerStarted:
		return policy.AnswerStarted{ID: r.text(1), Attempt: r.count(2)}, nil
	case nameOutcome:
		return r.outcome(inForce), nil
	case nameClientDisconnected:
		return policy.ClientDisconnected{ID: r.text(1)}, nil
	case nameTimer:
		return timerOf(r.text(1)), nil
	case nameHealthCheckEnded:
		return policy.HealthCheckEnded{
			Server: policy.ServerID(r.unsigned(1, 32)), Result: lookupCode(r, results, 2, "a known outcome"),
			Latency: r.micros(3), LoadReport: r.loadReport(4, inForce),
		}, nil
	case namePeerMessage:
		data, err := hex.DecodeString(r.text(2))
		if err != nil {
			r.fail(2, "hex digits")
		}
		return policy.PeerMessage{From: r.count(1), Data: data}, nil
	}
	return nil, fmt.Errorf("unknown event %.40q", name)
}

// Indexes of those values of an arrival that the package uses.
const (
	arrivalID         = 1
	arrivalSession    = 2
	arrivalGroup      = 4
	arrivalTimeLeft   = 5
	arrivalClass      = 6
	arrivalFlags      = 8
	arrivalSinceWrite = 9
)

func (r *row) arrival(inForce *settings.Snapshot) policy.Event {
	class, ok := inForce.ClassIndex[r.text(arrivalClass)]
	if !ok {
		r.fail(arrivalClass, "a class of the settings")
	}
	arrival := policy.Arrival{
		ID: r.text(arrivalID), Class: class, Group: int(r.integerOr(arrivalGroup, 0)), TimeLeft: r.micros(arrivalTimeLeft),
		ClientRetry: r.integerOr(arrivalFlags, 0)&flagClientRetry != 0, SinceWrite: r.micros(arrivalSinceWrite),
	}
	if !r.absent(arrivalSession) {
		arrival.Session, arrival.HasSession = r.unsigned(arrivalSession, 64), true
	}
	return arrival
}

// Indexes of the values of an outcome.
const (
	outcomeID         = 1
	outcomeNote       = 2 // role and log position in one number; see roleCodes
	outcomeLatency    = 3
	outcomeServer     = 4
	outcomeResult     = 5
	outcomeFinal      = 6
	outcomeAttempt    = 7
	outcomeLoadReport = 8
)

func (r *row) outcome(inForce *settings.Snapshot) policy.Event {
	outcome := policy.Outcome{
		ID: r.text(outcomeID), Latency: r.micros(outcomeLatency), Server: policy.ServerID(r.unsigned(outcomeServer, 32)),
		Result: lookupCode(r, results, outcomeResult, "a known outcome"), Final: r.boolean(outcomeFinal),
		Attempt: r.count(outcomeAttempt), LoadReport: r.loadReport(outcomeLoadReport, inForce),
	}
	outcome.Execution = executions[outcome.Result]
	if note := r.integerOr(outcomeNote, 0); note > 0 {
		outcome.Role = roles[note%roleCodes]
		if millis := note / roleCodes; millis > 0 {
			outcome.Position = inForce.PositionEpoch + clock.Micros(millis)*1000
		}
	}
	return outcome
}

// loadReport decodes a load report. Its values are in the order of Snapshot.LoadReportFields; fields with unknown names are
// ignored.
func (r *row) loadReport(i int, inForce *settings.Snapshot) policy.LoadReport {
	var report policy.LoadReport
	if r.absent(i) {
		return report
	}
	fields := row{}
	if json.Unmarshal(r.values[i], &fields.values) != nil {
		r.fail(i, "a load report")
		return report
	}
	for k, name := range inForce.LoadReportFields {
		if fields.absent(k) {
			continue
		}
		value := string(fields.values[k])
		if err := settings.SetLoadReportField(&report, name, value, inForce.PositionEpoch); err != nil {
			fields.fail(k, "a number")
		}
	}
	if fields.err != nil {
		r.fail(i, "a load report of numbers")
	}
	return report
}

// endpoints decodes the entries of a sheet.
func (r *row) endpoints(i int) []policy.Endpoint {
	var entries [][]json.RawMessage
	if r.absent(i) || json.Unmarshal(r.values[i], &entries) != nil {
		r.fail(i, "a list of entries")
		return nil
	}
	endpoints := make([]policy.Endpoint, 0, len(entries))
	for k, values := range entries {
		entry := row{values: values}
		endpoints = append(endpoints, entry.endpoint())
		if entry.err != nil {
			r.fail(i, fmt.Sprintf("a list of entries (entry %d: %v)", k, entry.err))
			return nil
		}
	}
	return endpoints
}

// Indexes of those values of a sheet's entry that the package uses.
const (
	endpointPrimary = 0
	endpointWeight  = 1
	endpointZone    = 3
	endpointServer  = 4
	endpointGroup   = 5
	endpointState   = 6
	endpointStarted = 7
)

func (r *row) endpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		Primary: !r.absent(endpointPrimary) && r.scaled(endpointPrimary, 0) == 1,
		Server:  policy.ServerID(r.unsigned(endpointServer, 32)),
		Group:   int(r.integerOr(endpointGroup, 0)),
		State:   lookupCode(r, endpointStates, endpointState, "a known state"),
		Started: r.micros(endpointStarted),
	}
	if !r.absent(endpointWeight) {
		endpoint.Weight = r.scaled(endpointWeight, 3)
	}
	if !r.absent(endpointZone) {
		endpoint.Zone = r.text(endpointZone)
	}
	return endpoint
}

// timerOf returns the timer that a token on the wire stands for.
func timerOf(token string) policy.Timer {
	if token == sweepToken {
		return policy.Timer{Kind: policy.TimerSweep}
	}
	return policy.Timer{RequestID: token}
}

// timerToken returns the token that stands for a timer on the wire.
func timerToken(timer policy.Timer) string {
	if timer.Kind == policy.TimerSweep {
		return sweepToken
	}
	return timer.RequestID
}
