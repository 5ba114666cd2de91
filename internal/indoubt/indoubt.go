// Package indoubt resolves in-doubt writes: writes of the classes that must not run twice, whose gateway may die after it sent
// them and before it answered.
//
// Before such a write is sent, its gateway claims it: it stores an intent (Intent) in the state store, on condition that no
// other gateway has one. When the write is answered, the outcome is stored in the intent. The way of a write, by the functions
// of Resolver that decide:
//
//	requestReceived -> claim -> claimStored -> Route -> permissionRequested [-> claimConfirmed] -> routingAnswered
//	  -> storeOutcome -> outcomeStored
//
// A write whose gateway died is resolved only when a client asks again, at any gateway; without a repeat its intent stays open
// until its retention ends. The repeat's claim conflicts with the stored intent, and then (takeover.go):
//
//	claimStored (Conflict) -> readIntent -> intentRead -> awaitOwner -> takeOver -> takeoverStored -> lookupOrFinish -> lookupAnswered
//	  -> storeOutcome
//
// Each step may end the chain early: the intent has the answer already (intentRead), the owner is alive and stores its outcome
// (awaitOwner polls for it), or no lookup can tell (lookupOrFinish), in which case the client is told that the write may have run.
// requestCanceled (cancel.go) is the branch for a client that stops waiting: what was begun for it is still brought to an end.
//
// The package is a pure state machine: events (events.go) go in, actions (actions.go) come out. It owns no clock, socket or
// goroutine and draws no random numbers. Times are microseconds of a clock that never steps back. Each gateway has one Resolver;
// the goroutine of internal/intents calls it and carries its actions out. docs/in-doubt.md has the design, and why no order of
// events runs a write twice.
package indoubt

import "marblespan/internal/clock"

// State is what an intent promises about its write.
type State uint8

// The states of an intent. Their numbers are stored.
const (
	Open     State = 1 + iota // its owner may send it, or has sent it
	Answered                  // it ran; the answer is in the intent, unless it was too large
	Unsent                    // its owner states that no attempt ran, and sends none any more
	InDoubt                   // it may have run, or may still run
	States                    // one past the last state
)

var stateNames = [States]string{"", "open", "answered", "unsent", "in_doubt"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s%States] }

// Intent is what the store keeps of a write, as JSON. A later version may add keys; the present ones never change.
type Intent struct {
	State         State        `json:"state"`
	Owner         string       `json:"owner"`            // the gateway that claimed it last
	Incarnation   uint64       `json:"life"`             // of the owner
	RequestID     string       `json:"id"`               // the client's id of the request that it was claimed for
	Class         string       `json:"class"`            // of the write
	Group         int          `json:"group"`            // of servers
	Server        string       `json:"server,omitempty"` // that the last attempt was meant for; for diagnosis only
	ClaimCount    uint32       `json:"attempt"`          // how often it was claimed, from 1
	TimeLeft      clock.Micros `json:"left"`             // from the claim to the deadline of its request
	Value         []byte       `json:"value,omitempty"`  // the answer
	ValueComplete bool         `json:"kept,omitempty"`   // Value is the whole answer
	SettledBy     string       `json:"by,omitempty"`     // the gateway that stored the outcome, if it is not the owner
}

// sameClaim tells whether two versions of an intent belong to one claim.
func (i *Intent) sameClaim(other *Intent) bool {
	return i.Owner == other.Owner && i.Incarnation == other.Incarnation && i.RequestID == other.RequestID && i.ClaimCount == other.ClaimCount
}

// Config describes one gateway. All durations are in microseconds.
type Config struct {
	Gateway     string // its name
	Incarnation uint64 // a higher one after each start
	// SendWindow is how long after a claim was requested or confirmed its owner may send without confirming it again.
	SendWindow clock.Micros
	// PollInterval is the time between two reads of an intent that another gateway owns, and between retries of storing an outcome.
	PollInterval clock.Micros
	// OwnerGrace is how long after the deadline of its request an owner may still store an outcome: what its servers take to give up.
	OwnerGrace clock.Micros
	// OutcomeTimeout is how long after its client has its answer the resolver keeps trying to store the outcome.
	OutcomeTimeout clock.Micros
}

// Policy is what the operators' file says of a class.
type Policy struct {
	RepeatsMarked    bool         // clients mark a request that they repeat; otherwise each request may be a repeat
	StoreBeforeReply bool         // an answer waits until the outcome is stored
	HasLookup        bool         // a read can show whether the write ran
	MaxInFlight      int          // writes of the class in flight at one gateway; further ones are rejected unsent
	Retention        clock.Micros // how long an intent is stored
}
