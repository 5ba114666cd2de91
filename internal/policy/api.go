package policy

import "marblespan/internal/clock"

// Position is a log position: the clock time up to which a server has applied every commit. Zero is
// unknown.
type Position = clock.Micros

// ServerID names a database server. It tells nothing but identity.
type ServerID uint32

// Event is one of the events below: what happened, as Step takes it in.
type Event interface{ event() }

// Arrival is a request handed to this router.
type Arrival struct {
	ID          string
	Class       int // index into Settings.Classes
	Group       int
	Session     uint64 // valid if HasSession
	HasSession  bool
	TimeLeft    clock.Micros // until the client stops waiting
	ClientRetry bool         // the client says that it repeats an earlier request
	SinceWrite  clock.Micros // least age of the session's last commit, as it or a gateway says; 0: none
}

// AnswerStarted tells that the answer to an attempt began to flow; the request is bound to it.
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
	Execution  Execution
	Final      bool // the request has its final answer
	Latency    clock.Micros
	Role       Role
	Position   Position
	LoadReport LoadReport
}

// ClientDisconnected tells that the client left and its request is over.
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

// HealthCheckEnded is the result of one HealthCheck.
type HealthCheckEnded struct {
	Server     ServerID
	Result     Result
	Latency    clock.Micros
	LoadReport LoadReport
}

// EndpointUpdate is a change of the endpoint list, or all of it.
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

// Result is how an attempt or a health check ended.
type Result uint8

// The results. None of them tells whether the attempt ran: Execution does.
const (
	ResultOK            Result = iota
	ResultError                // answered with an error
	ResultOverloaded           // rejected as the server was full
	ResultTimeout              // no answer in time
	ResultConnectFailed        // no connection, or it broke before the last byte was written
	ResultReset                // the connection broke
	ResultCancelled            // given up by Cancel
	ResultNotSent              // not sent any more
	ResultMisdirected          // not used: the server is not the primary, or too far behind
)

// Role is a server's role in its group.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// LoadReport is what a server says of itself; it is late, and may be wrong.
type LoadReport struct {
	Position    Position // as of the report
	HasPosition bool
	Role        Role
	Queue       int64 // waiting requests, in thousandths
	HasQueue    bool
	Util        int64 // busy share of its processors, in thousandths
	HasUtil     bool
}

// ListForm is the form of an endpoint list.
type ListForm uint8

// The forms of lists.
const (
	ListDelta    ListForm = iota // only what changed
	ListFull                     // all; what is missing is removed
	ListCached                   // all, as this gateway last had it
	ListFailed                   // the query failed or the subscription broke; no endpoints
	ListCordoned                 // only what operators cordon or put back; nothing from discovery
)

// EndpointState is a server's state on the list.
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
	Started clock.Micros // last start; 0: long ago
	Primary bool         // as far as the list knows
	Weight  int64        // in thousandths
}

// Action is one of the actions below: what the caller of Step has to carry out.
type Action interface{ action() }

// Send passes a request to a server as its next attempt.
type Send struct {
	ID     string
	Server ServerID
	Until  clock.Micros // clock time to give the attempt up
}

// Reject ends a request unserved and tells the client that a retry does no harm.
type Reject struct {
	ID         string
	RetryAfter clock.Micros // 0: no advice
	Reason     Reason
	MayHaveRun bool // an attempt may have run, and a second run does no harm
}

// Fail ends a request and promises nothing.
type Fail struct {
	ID     string
	Reason Reason
}

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

// HealthCheck asks a server for its load report.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes idle connections to a server.
type CloseIdle struct{ Server ServerID }

// Withdraw takes back what was sent to a server and has not begun there: it must not begin any
// more, and ends as ResultConnectFailed.
type Withdraw struct{ Server ServerID }

// Forget tells that nothing is remembered of a server any more: it is off the list and has no
// attempt in flight.
type Forget struct{ Server ServerID }

// SendToPeer sends bytes to another gateway, or to all of them.
type SendToPeer struct {
	To   int // AllPeers: every other gateway
	Data []byte
}

// AllPeers is the receiver of a SendToPeer to every other gateway.
const AllPeers = -1

// Log is a line for the operators' log.
type Log struct {
	Text   string
	Server ServerID // that it is about; 0: none
}

// Watch asks for changes of the endpoint list from now on, or stops them.
type Watch struct{ On bool }

// Fetch asks for the whole endpoint list once.
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
