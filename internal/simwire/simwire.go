// Package simwire translates between the simulator's wire and the terms of package policy: words, units and shapes. Package
// simhost calls Decode for each line it reads, and AppendActions for what its routers decide. The package keeps no state,
// starts no goroutine and makes no decision.
//
// The wire's words stand in words.go only. decode.go reads messages, row.go the values in them, actions.go writes actions.
// Times on the wire are milliseconds with a fraction; here they become whole microseconds, without loss.
package simwire

import (
	"fmt"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

// MaxSheets is how many endpoint sheets the wire numbers, from 0.
const MaxSheets = 16

// FaultError is a defect that belongs to one instance; the others are not concerned.
type FaultError struct {
	Instance int
	Text     string
}

// Error names the instance and the defect.
func (e *FaultError) Error() string { return fmt.Sprintf("instance %d: %s", e.Instance, e.Text) }

// Message is one decoded line, of one of the types below.
type Message interface{ message() }

// BatchBegin begins a batch of messages at one time.
type BatchBegin struct{ Now clock.Micros }

// BatchEnd ends a batch; a reply is due.
type BatchEnd struct{}

// StartInstance starts an instance, in place of an earlier one of the same number.
type StartInstance struct {
	Instance int
	Seed     uint64
	Settings *settings.Snapshot
}

// StopInstance ends an instance.
type StopInstance struct{ Instance int }

// EndpointSheet carries entries of the endpoint list under a number that EndpointListChanged refers to. A number may be used
// again.
type EndpointSheet struct {
	Number    int
	Endpoints []policy.Endpoint
}

// EndpointListChanged gives an instance the endpoint list, or changes to it, by the number of a sheet.
type EndpointListChanged struct {
	Instance int
	Form     policy.ListForm
	Sheet    int // not set if Form is policy.ListFailed
}

// InstanceEvent is any other event of an instance.
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
