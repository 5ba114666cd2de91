// Package indoubt decides what becomes of bookings whose gateway may have died with them: what is promised before a booking may be
// sent, who may send it, what is told to whom asks for it again, and when.
//
// It is pure: requests, results of the store, ends and times go in; calls of the store, permissions and answers come out. It owns
// no clock, socket or goroutine, and draws nothing. Times are whole microseconds of a clock that never
// steps back. One Desk stands in each gateway. docs/in-doubt.md has the design, and why no order of events books twice.
package indoubt

import "marblespan/internal/clock"

// State is what is promised of a booking.
type State uint8

// The states of a record.
const (
	Open     State = 1 + iota // its owner may send it, or has
	Answered                  // it ran; the answer stands in the record, unless it was too large
	Unsent                    // its owner's word: no attempt ran, and it sends none any more
	InDoubt                   // it may have run, or may yet
	States
)

var stateNames = [States]string{"", "open", "answered", "unsent", "in_doubt"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s%States] }

// Record is what the store keeps of a booking, as JSON: a later version may add to it, and the keys never change.
type Intent struct {
	State         State        `json:"state"`
	Owner         string       `json:"owner"`            // the gateway that last claimed it
	Incarnation   uint64       `json:"life"`             // of the owner
	RequestID     string       `json:"id"`               // of the request that it was claimed for
	Class         string       `json:"class"`            //
	Group         int          `json:"group"`            //
	Server        string       `json:"server,omitempty"` // that was to get it when it was claimed; for whoever looks into it
	ClaimCount    uint32       `json:"attempt"`          // how often it was claimed
	TimeLeft      clock.Micros `json:"left"`             // of its owner's time when it was claimed
	Value         []byte       `json:"value,omitempty"`  // the answer
	ValueComplete bool         `json:"kept,omitempty"`   // Value is all of it
	SettledBy     string       `json:"by,omitempty"`     // the gateway that settled it, if that is another one
}

// Config is one gateway.
type Config struct {
	Gateway     string
	Incarnation uint64 // another one after each start
	// Window is for how long after a claim was asked for, or confirmed, its owner may send without asking again.
	SendWindow clock.Micros
	// Poll is how often a record that another gateway holds is looked at.
	PollInterval clock.Micros
	// Settle is how long after its time an owner's record may still change of itself: what its servers take to give up.
	OwnerGrace clock.Micros
	// Keep is how long after its client has its answer the desk goes on trying to say so in the store.
	OutcomeTimeout clock.Micros
}

// Policy is what the operators' file says of a class.
type Policy struct {
	RepeatsMarked    bool         // its clients mark what they ask again
	StoreBeforeReply bool         // an answer waits until it is kept
	HasLookup        bool         // a read shows whether it ran
	MaxInFlight      int          // of the class's requests in hand; beyond it they are refused unsent
	Retention        clock.Micros // for how long a booking is remembered
}

// Event is one of the events below.
type Event interface{ event() }

// Asked is a booking that a client asks for.
type RequestReceived struct {
	ID        uint64 // of this desk's own; not used before
	Key       string // two with the same are the same booking
	RequestID string // the client's id for it
	Class     string
	Group     int
	Server    string       // that is likely to get it
	Repeat    bool         // marked so
	Deadline  clock.Micros // when its client stops waiting
	Policy    Policy
}

// Stored is what came of a call of the store.
type StoreReplied struct {
	Call         uint64
	Result       Result
	Version      uint64       // of the record, after a change or as found
	Intent       *Intent      // found; nil: none
	Age          clock.Micros // since the record was last changed, at the least
	PossiblyLost bool         // what is not found may have been lost, no longer ago than a booking is remembered
	SinceLoss    clock.Micros // the loss, at the least
}

// Result is what came of a call.
type Result uint8

// The results.
const (
	OK         Result = iota
	Conflict          // the version was another one
	NotApplied        // it was not carried out, and is not any more
	Unknown           // no answer in time: a change may come into force all the same
)

// Sending asks whether the last byte of an attempt may be written now. Permit answers it, once.
type PermissionRequested struct {
	ID, Attempt uint64
	Server      string       // that gets it
	Deadline    clock.Micros // when it is of no use any more
}

// Told is the final answer that routing gives.
type RoutingAnswered struct {
	ID            uint64
	Kind          AnswerKind
	Value         []byte // served; nil if it is too large to be kept
	ValueComplete bool   // Value is all of it
}

// Kind is a kind of final answer.
type AnswerKind uint8

// The kinds.
const (
	Served AnswerKind = iota
	Rejected
	Failed
)

// Ended tells that a gateway's life is over for good, or that it lives on in a later one: it sends nothing any more.
type GatewayEnded struct {
	Gateway     string
	Incarnation uint64 // and all before
}

// Closing tells that the gateway is about to end: whoever waits here for anything but routing has its final answer at once.
type ShutdownStarted struct{}

// Looked is what a read has shown.
type LookupAnswered struct {
	ID    uint64
	Found bool
	Value []byte // what the booking's own answer would have been
}

// Gone tells that a client waits no longer. What was begun for it is brought to an end.
type RequestCanceled struct{ ID uint64 }

// Tick tells that time has passed. It comes when Next says, and may come oftener.
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

// Action is one of the actions below, to be carried out in order.
type Action interface{ action() }

// Put changes a record, if its version is this one (0: if there is none).
type Put struct {
	Call      uint64
	Key       string
	Version   uint64
	Intent    Intent
	Retention clock.Micros // until it ends
	Deadline  clock.Micros
}

// Get reads a record as it stands once all that was promised before is in it.
type Get struct {
	Call     uint64
	Key      string
	Deadline clock.Micros
}

// Route has a booking that is claimed go its way.
type Route struct{ ID uint64 }

// Permit answers Sending.
type Permit struct {
	ID, Attempt uint64
	Granted     bool
}

// Reply is a client's final answer. One that Route went out for gets it after its Told only.
type Reply struct {
	ID    uint64
	Kind  AnswerKind
	Value []byte // served; nil: as Told had it
}

// Look asks for a read that shows whether a booking ran, at the primary, as of now.
type LookUp struct {
	ID       uint64
	Key      string
	Deadline clock.Micros
}

// Over tells that a booking is in hand no more.
type Finished struct{ ID uint64 }

// Noticed tells what became of a booking, for log and counters.
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
func (LookUp) action()        {}
func (Finished) action()      {}
func (LogTransition) action() {}

// Notice is what may be noticed.
type Transition uint8

// The notices.
const (
	Claimed          Transition = iota // it is promised that this gateway may send it
	ClaimFailed                        // no promise in time: refused unsent
	AnswerKnown                        // asked again, and its answer was known
	AwaitingOwner                      // asked again, and waited for at its gateway
	TakenOver                          // its gateway is held to have ended, or its time is over: this one has settled it
	FoundByLookup                      // a read has shown that it ran
	RepliedInDoubt                     // asked again, and all that can be told is that it may have run
	Fenced                             // claimed here, and somebody else's by now: nothing more is sent
	Released                           // it never ran, and the store says so
	OutcomeNotStored                   // what became of it could not be said in the store
	TooManyInFlight                    // refused: too many are in hand
	Transitions
)

var transitionNames = [Transitions]string{
	"claimed", "not_promised", "known", "awaited", "taken_over", "found_out", "in_doubt", "barred", "released", "unsettled", "too_many",
}

// String is the notice's code in the log.
func (n Transition) String() string { return transitionNames[n] }
