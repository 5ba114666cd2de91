// Package intents drives the resolver of in-doubt writes (internal/indoubt). It connects the resolver to the state store, to the
// clients and to the lookups that show whether a write ran. The resolver makes all decisions.
//
// The gateway creates one Service for all classes of writes that its operators' file configures, and a session creates a Write
// for each request of such a class. One goroutine, which New starts and Service.Close ends, owns the resolver and all state of
// the writes. All methods except Service.StartShutdown, Service.InFlight, Service.WaitIdle, Service.Close and Write.MaySend return without waiting for
// that goroutine.
package intents

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
)

// WriteMemory is the memory that a write without its answer takes from Write.Begin to Client.Finished, in bytes: its records here, in
// the resolver and in the session, and its intent, encoded for the store, for the log and for the peers.
const WriteMemory = 4 << 10

// AnswerMemory returns the memory that a write's stored answer takes from Write.RoutingAnswered to Client.Finished, in bytes. The answer
// exists as a value and, a third longer, encoded for the store, for the log and for two peers.
func AnswerMemory(size int) int { return 7 * size }

// MaxStoredAnswer is the largest size of an answer that is stored in an intent, in bytes.
const MaxStoredAnswer = 4 << 10

// Resolver is the interface through which the gateway and its sessions use the service. A program without a state store does not
// link an implementation.
type Resolver interface {
	// Covers reports whether writes of a class are claimed before they are sent.
	Covers(class string) bool
	// NewWrite returns a write for a request. The write does nothing before Begin is called.
	NewWrite(Request, Client) Write
	// SetStore sets the store. Every write is rejected until a store is set.
	SetStore(Store)
	// GatewayEnded informs the service that an incarnation of a gateway and all its earlier incarnations have ended.
	GatewayEnded(gateway string, incarnation uint64)
	// InFlight lists the writes in flight.
	InFlight() []indoubt.InFlightWrite
	// TransitionCount returns how many times a transition has happened since the start.
	TransitionCount(indoubt.Transition) int64
	// StartShutdown gives every client whose write is not in routing its final answer, because the gateway is about to stop. It
	// returns when that is done.
	StartShutdown()
	// WaitIdle waits until no write is in flight, but at most for timeout. It reports whether no write is in flight.
	WaitIdle(timeout time.Duration) bool
	// Close ends the service. Writes that are still in flight get no answer.
	Close()
}

// Write is a client's write request as its session uses it.
type Write interface {
	// Begin claims the write. Later, or already before Begin returns, the service calls Client.Route to route the write or
	// Client.Reply to answer it.
	Begin()
	// RoutingAnswered passes on the final answer of routing. value is nil if the answer is larger than MaxStoredAnswer, or if there is
	// no memory to store it.
	RoutingAnswered(kind indoubt.AnswerKind, value []byte)
	// Cancel informs the service that the client has stopped waiting.
	Cancel()
	// MaySend reports whether the last byte of an attempt may be written now. It waits for the permission until the deadline.
	MaySend(ctx context.Context, server string, deadline time.Time) bool
}

// Client is the session's side of a write. Its methods are called on the goroutine of the service and must not block for long.
type Client interface {
	// Route passes the write to routing. The final answer of routing must be passed to Write.RoutingAnswered.
	Route()
	// Drop informs the client that the write will not be routed. Request.Writes is not called from then on.
	Drop()
	// Finished informs the client that the service holds nothing of the write any more. It is the last call.
	Finished()
	// Reply gives the client its final answer. If the kind is Served and value is nil, the client gets the value that routing
	// returned.
	Reply(kind indoubt.AnswerKind, value []byte)
}

// Request is a client's write request.
type Request struct {
	ID        string // the client's ID of the request
	Class     string
	Group     int    // the group of servers
	Key       string // the key in the statement
	IntentKey string // the key of the write's intent in the store; see Key
	// Writes reports whether the statement writes a value. The service calls it only before Client.Route and Client.Drop, because
	// the session may free the statement after them.
	Writes   func(value []byte) bool
	Repeat   bool // the client marked the request as a repeat
	Deadline time.Time
}

// Store stores intents (internal/raftnode). Its methods do not block; done is called once, on any goroutine.
type Store interface {
	// Put stores a value if the stored value has this version. With version 0, Put stores the value only if none is stored yet.
	Put(key, value []byte, version uint64, retention time.Duration, deadline time.Time, done func(StoreReply))
	// Get reads a value, including every change that was acknowledged before the call.
	Get(key []byte, deadline time.Time, done func(StoreReply))
}

// StoreReply is the result of a store call.
type StoreReply struct {
	Result         indoubt.Result
	Version        uint64
	Value          []byte
	Found          bool
	PossiblyLost   bool          // there was no value, but the store may have lost a value
	Age, SinceLoss time.Duration // at least this much time has passed since the value was changed, and since the loss
}

// Class contains the settings of a class in the operators' file.
type Class struct {
	indoubt.Policy
	LookupClass string // class of the reads that show whether a write ran; empty if there is none
	LookupText  string // text that the row read by a lookup contains if the write ran; if empty, the row must equal the written value
}

// Settings are the settings of the service at one gateway.
type Settings struct {
	Node        string // the gateway's name
	Incarnation uint64 // increases with each start of the gateway
	Classes     map[string]Class
	Now         func() clock.Micros
	ToTime      func(clock.Micros) time.Time
	Log         zerolog.Logger
	// Lookup reads the current row of a key at the primary. done gets the row's value and the answer as the client would get it;
	// it is called once, on any goroutine.
	Lookup func(class, key string, group int, deadline time.Time, done func(row, answer []byte, ok bool))
}
