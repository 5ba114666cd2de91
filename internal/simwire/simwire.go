// Package simwire translates between the simulator's wire format and the types of package policy: it converts names, units
// and structure. Package simhost calls Decode for each line that it reads, and AppendActions for the actions of its routers.
// The package keeps no state, starts no goroutines and makes no decisions.
//
// All names of the wire format are in words.go. decode.go decodes messages, row.go decodes the values in a message, and
// actions.go encodes actions. Times on the wire are milliseconds with a fraction; Decode converts them to whole microseconds
// without loss.
package simwire

import (
	"fmt"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// MaxSheets is the number of endpoint sheets that can be in use at the same time. Sheets are numbered from 0.
const MaxSheets = 16

// FaultError is a fault of one instance, which does not affect the other instances.
type FaultError struct {
	Instance int
	Text     string
}

// Error returns the number of the instance and the text of the fault.
func (e *FaultError) Error() string { return fmt.Sprintf("instance %d: %s", e.Instance, e.Text) }

// Message is a decoded line of input. Its type is one of the types below.
type Message interface{ message() }

// BatchBegin begins a batch of messages. Now is the time of all messages in the batch.
type BatchBegin struct{ Now clock.Micros }

// BatchEnd ends a batch. A reply to the batch must then be written.
type BatchEnd struct{}

// StartInstance starts an instance. It replaces an earlier instance with the same number.
type StartInstance struct {
	Instance int
	Seed     uint64
	Settings *settings.Snapshot
}

// StopInstance stops an instance.
type StopInstance struct{ Instance int }

// EndpointSheet carries entries of the endpoint list under a number, to which EndpointListChanged refers. A later sheet may use
// the same number again.
type EndpointSheet struct {
	Number    int
	Endpoints []policy.Endpoint
}

// EndpointListChanged tells an instance that the endpoint list has changed. The sheet contains the complete list or the
// changed entries, depending on Form.
type EndpointListChanged struct {
	Instance int
	Form     policy.ListForm
	Sheet    int // not set if Form is policy.ListFailed
}

// InstanceEvent is any other event for an instance.
type InstanceEvent struct {
	Instance int
	Event    policy.Event
}

func (BatchBegin) message()          {}
func (BatchEnd) message()            {}
func (StartInstance) message()       {}
func (StopInstance) message()        {}
func (EndpointSheet) message()       {}
func (EndpointListChanged) message() {}
func (InstanceEvent) message()       {}
