package indoubt

import "marblespan/internal/clock"

// Action is an output of Resolver.Handle: one of the action types in this file. The caller carries out the actions in the order in
// which they are returned.
type Action interface{ action() }

// Put stores an intent if the stored intent has the version Version. StoreReplied answers the Put.
type Put struct {
	Call      uint64
	Key       string
	Version   uint64 // 0 stores the intent only if there is none yet
	Intent    Intent
	Retention clock.Micros // how long the intent is stored
	Deadline  clock.Micros
}

// Get reads an intent, including every change that was acknowledged before the call. StoreReplied answers the Get.
type Get struct {
	Call     uint64
	Key      string
	Deadline clock.Micros
}

// Route asks the caller to pass a claimed write to routing. RoutingAnswered reports the answer of routing.
type Route struct{ ID uint64 }

// Permit grants or denies the permission that the event PermissionRequested asked for.
type Permit struct {
	ID, Attempt uint64
	Granted     bool
}

// Reply gives the client its final answer. If the write was passed to routing, Reply comes only after RoutingAnswered.
type Reply struct {
	ID    uint64
	Kind  AnswerKind
	Value []byte // the answer of a served write; nil if the client gets the answer that routing returned
}

// Lookup requests a read of the current data at the primary that shows whether a write ran. LookupAnswered answers it.
type Lookup struct {
	ID       uint64
	Key      string
	Deadline clock.Micros
}

// Finished reports that the resolver has removed a write.
type Finished struct{ ID uint64 }

// LogTransition reports a transition of a write, for the log and the counters.
type LogTransition struct {
	Transition Transition
	Key        string
	RequestID  string
	Intent     Intent
}

func (Put) action()           {}
func (Get) action()           {}
func (Route) action()         {}
func (Permit) action()        {}
func (Reply) action()         {}
func (Lookup) action()        {}
func (Finished) action()      {}
func (LogTransition) action() {}

// Transition is a step of a write that is logged and counted.
type Transition uint8

// The transitions.
const (
	Claimed          Transition = iota // the intent is stored: this gateway may send the write
	ClaimFailed                        // the intent was not stored in time: the write is not sent
	AnswerKnown                        // a repeat is answered with the stored answer
	AwaitingOwner                      // a repeat waits for the gateway that has the write in flight
	TakenOver                          // this gateway took over the claim because its owner ended or ran out of time
	FoundByLookup                      // a lookup showed that the write ran
	RepliedInDoubt                     // the answer is only that the write may have run
	Fenced                             // another gateway took over this gateway's claim: nothing more is sent
	Released                           // the write never ran, and Unsent is stored as its outcome
	OutcomeNotStored                   // the outcome could not be stored in time
	TooManyInFlight                    // the write is not sent, because the class has MaxInFlight writes in flight
	Transitions                        // the number of transitions
)

// transitionNames appear in the log and in answers on the control socket. They must not change because operators' alerts match
// them.
var transitionNames = [Transitions]string{
	"claimed", "not_promised", "known", "awaited", "taken_over", "found_out", "in_doubt", "barred", "released", "unsettled", "too_many",
}

// String returns the transition's name as it appears in logs and counters.
func (t Transition) String() string { return transitionNames[t] }
