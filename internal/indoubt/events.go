package indoubt

import "marblespan/internal/clock"

// Event is one of the events below, the input of Resolver.Handle.
type Event interface{ event() }

// RequestReceived tells that a client requests a write.
type RequestReceived struct {
	ID        uint64 // unique within this resolver
	Key       string // requests with equal keys are the same write
	RequestID string // the client's id
	Class     string
	Group     int
	Server    string       // that is likely to get it
	Repeat    bool         // the client marked it as a repeat
	Deadline  clock.Micros // when its client stops waiting
	Policy    Policy
}

// StoreReplied is the result of a Put or Get.
type StoreReplied struct {
	Call         uint64 // of the Put or Get
	Result       Result
	Version      uint64       // of the intent, after a change or as read
	Intent       *Intent      // as read; nil: there is none
	Age          clock.Micros // at least this long since the intent was last changed
	PossiblyLost bool         // an intent that is not found may have been lost within the retention
	SinceLoss    clock.Micros // at least this long since that loss
}

// Result is the result of a store call.
type Result uint8

// The results.
const (
	OK         Result = iota
	Conflict          // the intent has another version than the Put expects
	NotApplied        // the call was not carried out, and never will be
	Unknown           // no reply in time: a change may still be applied
)

// PermissionRequested asks whether the last byte of an attempt may be written now. One Permit answers it.
type PermissionRequested struct {
	ID, Attempt uint64
	Server      string       // that gets the attempt; empty: as before
	Deadline    clock.Micros // after it a permission is of no use
}

// RoutingAnswered is the final answer of routing to a write that Route sent on its way.
type RoutingAnswered struct {
	ID            uint64
	Kind          AnswerKind
	Value         []byte // of a served write; nil if it is too large to be stored
	ValueComplete bool   // Value is the whole answer
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answers.
const (
	Served   AnswerKind = iota // it ran
	Rejected                   // nothing of it ran for this request
	Failed                     // it may have run
)

// GatewayEnded tells that an incarnation of a gateway, and all before it, have ended: they send nothing any more.
type GatewayEnded struct {
	Gateway     string
	Incarnation uint64 // the latest that ended
}

// ShutdownStarted tells that this gateway is about to stop: whoever waits for anything but routing gets its final answer at once.
type ShutdownStarted struct{}

// LookupAnswered is the result of Lookup.
type LookupAnswered struct {
	ID    uint64
	Found bool   // the write ran. If false, it may still run
	Value []byte // what the write's own answer would have been
}

// RequestCanceled tells that a client waits no longer. What was begun for it is brought to an end.
type RequestCanceled struct{ ID uint64 }

// Tick tells that time has passed. It is due when Next says; more are harmless.
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
