// Package policy decides, for one gateway, where each request of a replicated database goes.
//
// It is a pure state machine: a Router turns (now, event) into actions. It owns no clock, goroutine, socket
// or file, and it draws random numbers only from the seed it was given. This file is the whole interface, in
// the module's own terms; it holds no decision. Every decision stands in brain.go.
package policy

import "marblespan/internal/clock"

// Position is a log position: the clock time up to which a member has applied every commit. Zero is unknown.
type Position = clock.Micros

// ServerID names a database server. It tells nothing but identity.
type ServerID uint32

// Need says how current the data behind a request must be.
type Need uint8

// The needs, from the least to the most demanding.
const (
	NeedAny     Need = iota // every member will do
	NeedBounded             // no older than the class's bound when sent
	NeedSession             // all that the session has written
	NeedFresh               // all that was written before the request came in
	NeedWrite               // changes data: only the primary takes it
)

// Effect says what a repeat of a request may do.
type Effect uint8

// The effects. The zero value is the strictest.
const (
	EffectNonIdempotent Effect = iota // must never run twice
	EffectIdempotent                  // may be repeated at will
)

// Checks says what a server does with a read for which it is too far behind.
type FreshnessCheck uint8

// The checks. The zero value trusts the servers with nothing.
const (
	FreshnessCheckNone   FreshnessCheck = iota // it answers from what it has
	FreshnessCheckReject                       // it answers miss at once
	FreshnessCheckWait                         // it waits a while to catch up, then answers miss
)

// Class is one kind of request.
type Class struct {
	Name             string // what it is known by when the settings change
	Need             Need
	Effect           Effect
	StalenessBound   clock.Micros // of a bounded class
	LatencyObjective clock.Micros // an answer within this time earns all of the worth
	Deadline         clock.Micros // the client's patience over all its tries
	PriorityWeight   int64        // in thousandths
	LateWeight       int64        // share of the worth after the aim, in thousandths
	ObjectiveStretch int64        // the aim grows by this multiple of the request's work, in thousandths
}

// Settings is all that a router is told at its start. Zero values are read as the strictest sensible meaning.
type Settings struct {
	Classes                 []Class
	Gateways                int          // how many gateways serve these servers
	Ordinal                 int          // which of them this one is
	Tick                    clock.Micros // shortest time between two events
	Zone                    string       // where this gateway is; compared, never read
	FreshnessCheck          FreshnessCheck
	FreshnessCheckWait      clock.Micros // how long FreshnessCheckWait lasts
	SessionPositionsCarried bool         // session reads carry their mark; otherwise the router remembers writes
	AnswersCarryPosition    bool         // every answer carries a position
	ListSubscribed          bool         // the endpoint list is subscribed to, not given
	ListPushed              bool         // its changes count as known here at once, received or not
	CanHealthCheck          bool
	CanCancel               bool
	CanMessagePeers         bool
	CanHedge                bool
	CanSendRetryAfter       bool
	MaxRetryAfter           clock.Micros
	MaxAttempts             int
	ConnectTimeout          clock.Micros
	AnswerSlack             clock.Micros // a final answer this long after the deadline still counts
	DrainGrace              clock.Micros // sends to a draining or gone server must have ended after it
	RemovedStayUsable       bool         // a server merely gone from the list stays usable
	SubscribeWithin         clock.Micros // after this long without a subscription the list counts as known
	SlowStartMinWeight      int64        // least share of capacity at a server's start, in thousandths
	SlowStartWindow         clock.Micros // a started server is warm after this
	OverloadFactor          int64        // load on a server in slow start that brings it down
	OverloadWindow          clock.Micros // in this time; a multiple of its capacity, in thousandths
	// points for each attempt that goes to another zone, as a share of requests; in thousandths
	CrossZoneCost int64
}

// Event is one of the events below.
type Event interface{ event() }

// Arrival is a request handed to this router.
type Arrival struct {
	ID          string
	Class       int // index into Settings.Classes
	Group       int
	Session     uint64 // valid if HasSession
	HasSession  bool
	TimeLeft    clock.Micros // time until the client stops waiting
	ClientRetry bool         // the client says that it repeats itself
	// the session's last commit lies at least this long back, as it or another gateway says; 0: none
	SinceWrite clock.Micros
}

// Headers tells that the answer to an attempt began to flow; the request is bound to it.
type AnswerStarted struct {
	ID      string
	Attempt int
}

// Outcome is how an attempt ended. Each Send gets exactly one.
type Outcome struct {
	ID         string
	Attempt    int
	Server     ServerID
	Result     Result
	Final      bool // nothing more is owed for the request
	Latency    clock.Micros
	Role       Role
	Position   Position
	LoadReport LoadReport
}

// Dropped tells that the client is gone and the request over.
type ClientDisconnected struct{ ID string }

// TimerKind says what a timer is for.
type TimerKind uint8

// The kinds of timers.
const (
	TimerRequest TimerKind = iota // the end of one request
	TimerSweep                    // the periodic sweep over all servers and groups
)

// Timer tells that a timer set by SetTimer has come due.
type Timer struct {
	Kind      TimerKind
	RequestID string // of a TimerRequest
}

// Probed is the result of one Probe.
type HealthCheckEnded struct {
	Server     ServerID
	Result     Result
	Latency    clock.Micros
	LoadReport LoadReport
}

// MemberNews is news of the member list.
type EndpointUpdate struct {
	Form      ListForm
	Endpoints []Endpoint
}

// PeerMessage holds bytes from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

func (Arrival) event()            {}
func (AnswerStarted) event()      {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (HealthCheckEnded) event()   {}
func (EndpointUpdate) event()     {}
func (PeerMessage) event()        {}

// Result is how an attempt or a probe ended.
type Result uint8

// The results.
const (
	ResultOK Result = iota
	ResultError
	ResultOverloaded
	ResultTimeout
	ResultConnectFailed
	ResultReset
	ResultCancelled
	ResultNotSent
	ResultMisdirected
)

// Role is a member's role in its group.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server says of itself; it is late, and on a bad day untrue.
type LoadReport struct {
	Position    Position // as of the report
	HasPosition bool
	Role        Role
	Queue       int64 // waiting requests, in thousandths
	HasQueue    bool
	Util        int64 // busy share of its processors, in thousandths
	HasUtil     bool
}

// ListForm is the form of a member list.
type ListForm uint8

// The forms of lists.
const (
	ListDelta  ListForm = iota // only what changed
	ListFull                   // all; what is missing is gone
	ListCached                 // all, as this gateway last had it
	ListFailed                 // asking failed or the subscription broke; no members
	// only what operators take out of service, or put back: discovery has said nothing
	ListCordoned
)

// MemberState is a server's state on the list.
type EndpointState uint8

// The member states.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Member is one entry of the member list.
type Endpoint struct {
	Server  ServerID
	Group   int
	Zone    string
	State   EndpointState
	Started clock.Micros // last start; 0: long ago
	Primary bool         // as far as the list knows
	Weight  int64        // in thousandths
}

// Action is one of the actions below.
type Action interface{ action() }

// Send passes a request to a server as its next attempt.
type Send struct {
	ID     string
	Server ServerID
	Until  clock.Micros // clock time to give the attempt up
}

// Refuse ends a request unserved and tells the client that asking again is harmless.
type Reject struct {
	ID         string
	RetryAfter clock.Micros // 0: no advice
}

// Fail ends a request and promises nothing.
type Fail struct{ ID string }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for the event Timer at the clock time At.
type SetTimer struct {
	At    clock.Micros
	Timer Timer
}

// Probe asks a server how it is.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes idle connections to a server.
type CloseIdle struct{ Server ServerID }

// Withdraw takes back what was sent to a server and has not begun there: it may not begin any more,
// and ends as what
// could not connect.
type Withdraw struct{ Server ServerID }

// Forget tells that nothing is kept of a server any more: it is off the list and nothing is out at it.
type Forget struct{ Server ServerID }

// Tell sends bytes to another gateway, or to all of them.
type SendToPeer struct {
	To   int // ToAll: every other gateway
	Data []byte
}

// ToAll is the receiver of a Tell to every other gateway.
const AllPeers = -1

// Log is a line for the operator's report.
type Log struct{ Text string }

// Watch asks for list changes from now on, or stops them.
type Watch struct{ On bool }

// Fetch asks for the whole list once.
type Fetch struct{}

func (Send) action()        {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Cancel) action()      {}
func (SetTimer) action()    {}
func (HealthCheck) action() {}
func (CloseIdle) action()   {}
func (Withdraw) action()    {}
func (Forget) action()      {}
func (SendToPeer) action()  {}
func (Log) action()         {}
func (Watch) action()       {}
func (Fetch) action()       {}
