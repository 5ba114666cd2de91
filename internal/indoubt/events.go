package indoubt

import "marblespan/internal/clock"

// Event is an input of Resolver.Handle: one of the event types in this file.
type Event interface{ event() }

// RequestReceived reports that a client has requested a write.
type RequestReceived struct {
	ID        uint64 // unique within this resolver
	Key       string // requests with equal keys are the same write
	RequestID string // the client's ID of the request
	Class     string
	Group     int
	Server    string       // the server that is likely to get the write
	Repeat    bool         // the client marked the request as a repeat
	Deadline  clock.Micros // the time at which the client stops waiting
	Policy    Policy
}

// StoreReplied is the result of a Put or Get.
type StoreReplied struct {
	Call         uint64 // the Call of the Put or Get
	Result       Result
	Version      uint64       // the version of the intent, as read or after the change
	Intent       *Intent      // the intent as read; nil if there is none
	Age          clock.Micros // at least this much time has passed since the intent was last changed
	PossiblyLost bool         // there was no intent, but the store may have lost an intent before its retention ended
	SinceLoss    clock.Micros // at least this much time has passed since the possible loss of an intent
}

// Result is the result of a store call.
type Result uint8

// The results of a store call.
const (
	OK         Result = iota
	Conflict          // the stored intent has a different version from the one that the Put expects
	NotApplied        // the call was not carried out and never will be carried out
	Unknown           // no reply in time: a Put may still be applied
)

// PermissionRequested asks whether the last byte of an attempt may be written now. Exactly one Permit answers the request.
type PermissionRequested struct {
	ID, Attempt uint64
	Server      string       // the server that gets the attempt; empty if the server is the same as before
	Deadline    clock.Micros // a permission given after this time cannot be used
}

// RoutingAnswered is the final answer of routing to a write that the action Route passed to routing.
type RoutingAnswered struct {
	ID            uint64
	Kind          AnswerKind
	Value         []byte // the answer of a served write; nil if it is too large to be stored
	ValueComplete bool   // Value is the complete answer
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answers.
const (
	Served   AnswerKind = iota // the write ran
	Rejected                   // the write did not run for this request
	Failed                     // the write may have run
)

// GatewayEnded reports that an incarnation of a gateway and all its earlier incarnations have ended and send nothing more.
type GatewayEnded struct {
	Gateway     string
	Incarnation uint64 // the latest incarnation that ended
}

// ShutdownStarted reports that this gateway is about to stop. Every client whose write is not in routing gets its final answer at
// once.
type ShutdownStarted struct{}

// LookupAnswered is the result of Lookup.
type LookupAnswered struct {
	ID    uint64
	Found bool   // true if the read showed that the write ran; if false, the write may still run
	Value []byte // the answer that the client would have got from the write itself
	// TooLarge is set if Value is too large to be stored. The outcome is not stored then, so that a repeat looks it up again.
	TooLarge bool
}

// RequestCanceled reports that a client has stopped waiting. The resolver permits no further attempt for its request, but still
// completes a change of the intent that it has started, and still waits for the answer of an attempt that it has permitted.
type RequestCanceled struct{ ID uint64 }

// Tick reports that time has passed. A Tick is due at the time that Resolver.Next returns; additional Ticks are harmless.
type Tick struct{}

func (RequestReceived) event()     {}
func (StoreReplied) event()        {}
func (PermissionRequested) event() {}
func (RoutingAnswered) event()     {}
func (GatewayEnded) event()        {}
func (LookupAnswered) event()      {}
func (ShutdownStarted) event()     {}
func (RequestCanceled) event()     {}
func (Tick) event()                {}
