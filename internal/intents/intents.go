// Package intents drives the resolver of in-doubt writes (internal/indoubt): it connects it to the state store, to the clients and
// to the lookups that show whether a write ran. It decides nothing.
//
// The gateway makes one Service for all classes that its operators' file names; a session makes a Write for each request of such
// a class. One goroutine, started by New and ended by Service.Close, owns the resolver and all state of the writes. All methods but
// Service.InFlight, Service.WaitIdle, Service.Close and Write.MaySend return without waiting for it.
package intents

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
)

// MaxStoredAnswer is the size of the largest answer that is stored in an intent, in bytes.
const MaxStoredAnswer = 4 << 10

// Resolver is the service as the gateway and its sessions see it. A program without a state store links no implementation.
type Resolver interface {
	// Covers tells whether writes of a class are claimed before they are sent.
	Covers(class string) bool
	// NewWrite makes a write, of which nothing happens before Begin.
	NewWrite(Request, Client) Write
	// SetStore sets the store. Before it is set every write is rejected.
	SetStore(Store)
	// GatewayEnded tells that an incarnation of a gateway, and all before it, have ended.
	GatewayEnded(gateway string, incarnation uint64)
	// InFlight lists the writes in flight.
	InFlight() []indoubt.InFlightWrite
	// TransitionCount is how often a transition has happened since the start.
	TransitionCount(indoubt.Transition) int64
	// StartShutdown gives each client that does not wait for routing its final answer: the gateway is about to stop.
	StartShutdown()
	// WaitIdle waits until no write is in flight, at most for timeout, and tells whether none is.
	WaitIdle(timeout time.Duration) bool
	// Close ends the service. Writes in flight get no answer any more.
	Close()
}

// Write is one request for a write, as its client's session has it.
type Write interface {
	// Begin claims the write. Its Client is told at once, or later, to route it, or its answer.
	Begin()
	// RoutingAnswered takes the final answer of routing. Value is nil if it is larger than MaxStoredAnswer.
	RoutingAnswered(kind indoubt.AnswerKind, value []byte)
	// Cancel tells that the client waits no longer.
	Cancel()
	// MaySend asks whether the last byte of an attempt may be written now, and waits for the permission until the deadline.
	MaySend(ctx context.Context, server string, deadline time.Time) bool
}

// Client is the session's side of a write. Its methods are called on the goroutine of the service, and must not block for long.
type Client interface {
	// Route sends the write to routing, whose final answer is to be given to Write.RoutingAnswered.
	Route()
	// Drop tells that the write will not be routed.
	Drop()
	// Reply is the final answer for the client. A served one without a value has the value that routing gave.
	Reply(kind indoubt.AnswerKind, value []byte)
}

// Request is a client's request for a write.
type Request struct {
	ID        string // the client's id
	Class     string
	Group     int    // of servers
	Key       string // the key in its statement
	Statement []byte // without its comment
	Value     []byte // the value in the statement
	Repeat    bool   // the client marked it as a repeat
	Deadline  time.Time
}

// Store stores intents (internal/raftnode). Its methods do not block; done is called once, on any goroutine.
type Store interface {
	// Put stores a value if the stored one has this version; 0: if there is none.
	Put(key, value []byte, version uint64, retention time.Duration, deadline time.Time, done func(StoreReply))
	// Get reads a value with all changes that were acknowledged before.
	Get(key []byte, deadline time.Time, done func(StoreReply))
}

// StoreReply is the result of a store call.
type StoreReply struct {
	Result         indoubt.Result
	Version        uint64
	Value          []byte
	Found          bool
	PossiblyLost   bool          // what is not found may have been lost
	Age, SinceLoss time.Duration // at least this long since the value was changed, and since a loss
}

// Class is what the operators' file says of a class.
type Class struct {
	indoubt.Policy
	LookupClass string // the class of the reads that show whether a write ran; empty: there is none
	LookupText  string // a text in the row that such a read finds if the write ran; empty: the row is the value that was written
}

// Settings are those of one gateway.
type Settings struct {
	Node        string // the gateway's name
	Incarnation uint64 // a higher one after each start
	Classes     map[string]Class
	Now         func() clock.Micros
	ToTime      func(clock.Micros) time.Time
	Log         zerolog.Logger
	// Lookup reads a key at the primary, as of now. done gets the row's value, and the answer as the client would get it; it is
	// called once, on any goroutine.
	Lookup func(class, key string, group int, deadline time.Time, done func(row, answer []byte, ok bool))
}
