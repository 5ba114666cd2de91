// Package indoubt resolves in-doubt writes. A write is in doubt when it is unknown whether it ran, in particular because its
// gateway died after sending it and before answering the client. The package handles the classes of writes that must not run
// twice.
//
// Before a gateway sends such a write, it claims the write: it stores an intent (Intent) in the state store, on condition that no
// other gateway has stored one. When the write is answered, the gateway stores the outcome in the intent. A write passes through
// these functions of Resolver:
//
//	requestReceived -> claim -> claimStored -> Route -> permissionRequested [-> claimConfirmed] -> routingAnswered
//	  -> storeOutcome -> outcomeStored
//
// A write whose gateway died is resolved only when the client repeats the request, at any gateway. Without a repeat the intent
// stays open until its retention ends. The claim of the repeat conflicts with the stored intent. This conflict starts the
// resolution in takeover.go:
//
//	claimStored (Conflict) -> readIntent -> intentRead -> awaitOwner -> takeOver -> takeoverStored -> lookupOrFinish -> lookupAnswered
//	  -> storeOutcome
//
// Each step may end the chain early: the intent already contains the answer (intentRead), the owner is alive and stores its
// outcome (awaitOwner polls for it), or no lookup can show whether the write ran (lookupOrFinish). In the last case the client's
// answer is that the write may have run. When a client stops waiting, requestCanceled (cancel.go) decides which of the steps that
// were started for its request are still completed.
//
// The package is a pure state machine: Resolver.Handle takes events (events.go) and returns actions (actions.go). It owns no
// clock, socket or goroutine and uses no random numbers. Times are in microseconds and come from a clock that never steps back.
// Each gateway has one Resolver; the goroutine of internal/intents calls it and carries out its actions. docs/in-doubt.md
// describes the design and explains why no order of events makes a write run twice.
package indoubt

import "marblespan/internal/clock"

// State is the state of a write as recorded in its intent.
type State uint8

// The states of an intent. Their numeric values are stored in the state store.
const (
	Open     State = 1 + iota // the owner may send the write, or has sent it
	Answered                  // the write ran; the intent contains the answer unless the answer was too large
	Unsent                    // the owner has recorded that no attempt ran and that it will send none
	InDoubt                   // the write may have run, or may still run
	States                    // one past the last state
)

var stateNames = [States]string{"", "open", "answered", "unsent", "in_doubt"}

// String returns the state's name as it appears in logs.
func (s State) String() string { return stateNames[s%States] }

// Intent is the record of a write in the state store, encoded as JSON. A later version may add keys, but the present keys never
// change.
type Intent struct {
	State         State        `json:"state"`
	Owner         string       `json:"owner"`            // the gateway that last claimed the write
	Incarnation   uint64       `json:"life"`             // the owner's incarnation
	RequestID     string       `json:"id"`               // the client's ID of the request that the write was claimed for
	Class         string       `json:"class"`            // the class of the write
	Group         int          `json:"group"`            // the group of servers that the write goes to
	Server        string       `json:"server,omitempty"` // the server chosen for the last attempt; for diagnosis only
	ClaimCount    uint32       `json:"attempt"`          // how many times the write has been claimed, starting at 1
	TimeLeft      clock.Micros `json:"left"`             // the time from the claim to the deadline of the request
	Value         []byte       `json:"value,omitempty"`  // the answer
	ValueComplete bool         `json:"kept,omitempty"`   // Value is the complete answer
	SettledBy     string       `json:"by,omitempty"`     // the gateway that stored the outcome, if that gateway is not the owner
}

// sameClaim reports whether two versions of an intent belong to the same claim.
func (i *Intent) sameClaim(other *Intent) bool {
	return i.Owner == other.Owner && i.Incarnation == other.Incarnation && i.RequestID == other.RequestID && i.ClaimCount == other.ClaimCount
}

// Config describes one gateway. All durations are in microseconds.
type Config struct {
	Gateway     string // the gateway's name
	Incarnation uint64 // increases with each start of the gateway
	// SendWindow is how long the owner may send without confirming its claim again. The time starts with the store call that
	// stores the claim or, after a confirmation, with the read that confirmed it.
	SendWindow clock.Micros
	// PollInterval is the time between two reads of an intent that another gateway owns, and between retries of storing an
	// outcome.
	PollInterval clock.Micros
	// OwnerGrace is how long after the deadline of a request the owner of its write may still store the outcome. OwnerGrace
	// allows for the time that servers take to give up a request.
	OwnerGrace clock.Micros
	// OutcomeTimeout is how long the resolver keeps trying to store the outcome after the client has received its answer.
	OutcomeTimeout clock.Micros
}

// Policy contains the settings of a class in the operators' file.
type Policy struct {
	RepeatsMarked    bool         // clients mark the requests that they repeat; otherwise any request may be a repeat
	StoreBeforeReply bool         // the client gets its answer only after the outcome is stored
	HasLookup        bool         // a read can show whether the write ran
	MaxInFlight      int          // limit on writes of the class in flight at one gateway; further ones are rejected unsent
	Retention        clock.Micros // how long an intent is stored
}
