package indoubt

import "marblespan/internal/clock"

// Action is one of the actions below, to be carried out in the order in which Resolver.Handle returns them.
type Action interface{ action() }

// Put stores an intent if the stored one has this version. StoreReplied answers it.
type Put struct {
	Call      uint64
	Key       string
	Version   uint64 // 0: only if there is none
	Intent    Intent
	Retention clock.Micros // how long it is stored
	Deadline  clock.Micros
}

// Get reads an intent with all changes that were acknowledged before. StoreReplied answers it.
type Get struct {
	Call     uint64
	Key      string
	Deadline clock.Micros
}

// Route sends a claimed write to routing. RoutingAnswered answers it.
type Route struct{ ID uint64 }

// Permit answers PermissionRequested.
type Permit struct {
	ID, Attempt uint64
	Granted     bool
}

// Reply is a client's final answer. A write that was routed gets it only after its RoutingAnswered.
type Reply struct {
	ID    uint64
	Kind  AnswerKind
	Value []byte // of a served write; nil: as in RoutingAnswered
}

// Lookup asks for a read at the primary, as of now, that shows whether a write ran. LookupAnswered answers it.
type Lookup struct {
	ID       uint64
	Key      string
	Deadline clock.Micros
}

// Finished tells that the resolver has forgotten a write.
type Finished struct{ ID uint64 }

// LogTransition reports a transition of a write, for log and counters.
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
	ClaimFailed                        // the intent was not stored in time: rejected unsent
	AnswerKnown                        // a repeat, and its answer was known
	AwaitingOwner                      // a repeat that waits for the gateway that has the write
	TakenOver                          // the owner has ended, or its time is over: this gateway took its claim over
	FoundByLookup                      // a lookup has shown that it ran
	RepliedInDoubt                     // a repeat, and all that it can be told is that the write may have run
	Fenced                             // claimed here, and taken over by another gateway since: nothing more is sent
	Released                           // it never ran, and the store is told so
	OutcomeNotStored                   // the outcome could not be stored in time
	TooManyInFlight                    // rejected: the class has its maximum in flight
	Transitions                        // the number of transitions
)

// transitionNames are part of the log and of the answers on the control socket: operators' alerts read them.
var transitionNames = [Transitions]string{
	"claimed", "not_promised", "known", "awaited", "taken_over", "found_out", "in_doubt", "barred", "released", "unsettled", "too_many",
}

// String is the transition's code in logs and counters.
func (t Transition) String() string { return transitionNames[t] }
