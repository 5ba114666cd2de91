package policy

import "marblespan/internal/clock"

// Position is a log position: the clock time up to which a server has applied every commit. Zero means
// that the position is unknown.
type Position = clock.Micros

// ServerID identifies a database server and carries no other meaning.
type ServerID uint32

// Event is an input of Step: one of the event types below.
type Event interface{ event() }

// Arrival reports that a client's request has reached this router.
type Arrival struct {
	ID          string
	Class       int // index into Settings.Classes
	Group       int
	Session     uint64 // valid if HasSession
	HasSession  bool
	TimeLeft    clock.Micros // time until the client stops waiting
	ClientRetry bool         // the client marked the request as a repetition of an earlier one
	SinceWrite  clock.Micros // minimum age of the session's last commit, as the statement states it; 0: none
	// SinceUnstatedWrite is the minimum age of a commit that the read must see although its statement does not
	// state the commit's position. Servers that check freshness cannot check it; 0: none.
	SinceUnstatedWrite clock.Micros
	// RouterChecksSession is set if servers that check freshness do not know the writes of the request's session
	// through this gateway.
	RouterChecksSession bool
}

// AnswerStarted reports that the answer to an attempt has begun to arrive. The request is bound to this
// attempt from then on.
type AnswerStarted struct {
	ID      string
	Attempt int
}

// Outcome reports how an attempt ended. Each Send is followed by exactly one Outcome.
type Outcome struct {
	ID         string
	Attempt    int
	Server     ServerID
	Result     Result
	Execution  Execution
	Final      bool // the request has received its final answer
	Latency    clock.Micros
	Role       Role
	Position   Position
	LoadReport LoadReport
}

// ClientDisconnected reports that the client has disconnected, which ends its request.
type ClientDisconnected struct{ ID string }

// TimerKind is the purpose of a timer.
type TimerKind uint8

// The kinds of timers.
const (
	TimerRequest TimerKind = iota // limits the time of one request
	TimerSweep                    // the periodic sweep over all servers and groups
)

// Timer reports that a timer set by SetTimer has expired.
type Timer struct {
	Kind      TimerKind
	RequestID string // for TimerRequest only
}

// HealthCheckEnded reports the result of a HealthCheck.
type HealthCheckEnded struct {
	Server     ServerID
	Result     Result
	Latency    clock.Micros
	LoadReport LoadReport
}

// EndpointUpdate carries the complete endpoint list or changes to it, depending on Form.
type EndpointUpdate struct {
	Form      ListForm
	Endpoints []Endpoint
}

// PeerMessage carries bytes received from another gateway.
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

// Result is how an attempt or a health check ended.
type Result uint8

// The results. A result does not determine whether the server ran the attempt; Execution does.
const (
	ResultOK            Result = iota
	ResultError                // answered with an error
	ResultOverloaded           // rejected because the server was full
	ResultTimeout              // no answer in time
	ResultConnectFailed        // no connection, or it broke before the last byte of the request was written
	ResultReset                // the connection broke after the last byte of the request was written
	ResultCancelled            // ended by Cancel
	ResultNotSent              // not sent, because the attempt was no longer allowed
	ResultMisdirected          // not served or answer not used: server is not primary, or too far behind
)

// Role is a server's role in its group.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// LoadReport is what a server reports about its own state. The report arrives late and may be wrong.
type LoadReport struct {
	Position    Position // log position when the report was made
	HasPosition bool
	Role        Role
	Queue       int64 // waiting requests, in thousandths
	HasQueue    bool
	Util        int64 // busy share of the server's processors, in thousandths
	HasUtil     bool
}

// ListForm is the form of an EndpointUpdate.
type ListForm uint8

// The forms of endpoint updates.
const (
	ListDelta    ListForm = iota // only the changed endpoints
	ListFull                     // the complete list; servers that it does not name are removed
	ListCached                   // the complete list as this gateway last received it
	ListFailed                   // the query failed or the subscription broke; carries no endpoints
	ListCordoned                 // only servers that operators cordon or put back; nothing from discovery
)

// EndpointState is a server's state in the endpoint list.
type EndpointState uint8

// The endpoint states.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server  ServerID
	Group   int
	Zone    string
	State   EndpointState
	Started clock.Micros // time of the last start; 0: long ago
	Primary bool         // the list names the server as the primary
	Weight  int64        // in thousandths
}

// Action is an output of Step that its caller must carry out: one of the action types below.
type Action interface{ action() }

// Send sends a request to a server as its next attempt.
type Send struct {
	ID     string
	Server ServerID
	Until  clock.Micros // clock time at which the attempt is given up
	// FreshUntil is the clock time after which the attempt must not begin, because the server may be too far
	// behind by then; 0: no limit. An attempt that does not begin ends as ResultNotSent. If an attempt has to
	// wait for its connection, Router.Confirm returns the limit that holds then.
	FreshUntil clock.Micros
}

// Reject ends a request without serving it and tells the client that a retry is harmless.
type Reject struct {
	ID         string
	RetryAfter clock.Micros // 0: no advice
	Reason     Reason
	MayHaveRun bool // an attempt may have run, but a second run is harmless
}

// Fail ends a request without promising that a retry is harmless.
type Fail struct {
	ID     string
	Reason Reason
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer requests that Step gets the event Timer when the clock reaches the time At.
type SetTimer struct {
	At    clock.Micros
	Timer Timer
}

// HealthCheck requests a server's load report.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server ServerID }

// Withdraw ends the attempts that were sent to a server but have not begun there, such as those that wait
// for a connection. A withdrawn attempt must not begin later. It ends as ResultConnectFailed.
type Withdraw struct{ Server ServerID }

// Forget reports that the router has dropped all state about a server, because the server is not listed
// any more and has no attempt in flight.
type Forget struct{ Server ServerID }

// SendToPeer sends bytes to another gateway, or to all of them.
type SendToPeer struct {
	To   int // AllPeers: every other gateway
	Data []byte
}

// AllPeers addresses a SendToPeer to every other gateway.
const AllPeers = -1

// Log is a line for the operators' log.
type Log struct {
	Text   string
	Server ServerID // the server that the line is about; 0: none
}

// Watch subscribes to changes of the endpoint list, or ends the subscription.
type Watch struct{ On bool }

// Fetch requests the complete endpoint list once.
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
