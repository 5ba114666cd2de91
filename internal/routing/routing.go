// Package routing runs package policy in a gateway: it turns what happens on the sockets into events for policy.Router, and
// carries out the actions that the router returns as attempts, health checks, timers and answers. It makes no routing
// decisions of its own, except for the few checks listed below, and never blocks on a socket.
//
// The goroutine of Owner.Run owns all state: the router, the receiving end of the event queue, the timers, the open requests
// and the endpoint list. Package gateway starts this goroutine. Package session posts events to it: a connection posts
// Request, ClientDisconnected, AttemptEnded and HealthCheckEnded, and the discovery client posts EndpointListUpdate. Package
// routing calls session through the interfaces Client, Servers and Discovery. The results of these calls come back as events
// on the queue.
//
// An attempt that had to open a connection asks once more before its first byte is written: session posts AttemptReady, and
// policy.Router.Confirm decides with what is known then.
//
// Entry points for readers:
//   - Core.Handle handles every event, and Core.perform carries out every action.
//   - Core.handleRequest rejects requests that must not reach policy: an unknown group, a class that changed, an id in use. It drops
//     requests whose clients are gone.
//   - Core.startAttempt does not send attempts that are no longer allowed, and checks MaxAttempts a second time.
//   - Core.handleAttemptEnded treats a replica's answer to a read that needs the primary as misdirected. The attempt still
//     counts as executed.
//
// # When a client disconnects
//
// Package session detects the disconnect and calls client.abandonQueries (answers.go), which posts ClientDisconnected for
// each open query. Core.Handle closes the request, so that a result that arrives later is not sent to the client, and passes
// policy.ClientDisconnected to the router. The router may return policy.Cancel for the attempt in flight; Attempt.Cancel
// (task.Cancel in session) then aborts the dial or closes the server connection. The attempt still ends with one
// AttemptEnded, after which Core forgets the request.
//
// Events and goroutines can be late, so Client.Gone is called before the router gets a request and again before the first byte of an
// attempt is written.
//
// In-doubt writes are handled differently: client.abandonQueries posts no event for them, but calls intents.Write.Cancel. If
// the attempt of such a write has already been sent, it runs to its end, so that a client that repeats the write can get the
// result.
package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/transport"
)

// Payload is the text of a client's query. It is reference-counted: Share adds a reference, and the holder of each reference
// calls Free once.
type Payload interface {
	Share() Payload
	Free()
}

// Client receives the answer to one request.
type Client interface {
	// Answer is called at most once, on the owner's goroutine. It takes ownership of Answer.Value and must not block.
	Answer(Answer)
	// Gone reports whether the client has disconnected, so that no attempt may begin for it, even if ClientDisconnected has not
	// been handled yet. It may be called on any goroutine and must not block.
	Gone() bool
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of final answers.
const (
	AnswerServed      AnswerKind = iota // a server's answer
	AnswerRejected                      // not served; the client may safely retry
	AnswerFailed                        // not served; the request may have run
	AnswerDuplicateID                   // not served; a request with the same id is open, in flight, or must not run again
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Value      *transport.Message // the server's answer; set if Kind is AnswerServed
	Position   policy.Position    // the server's log position after the request; 0: unknown
	RetryAfter clock.Micros       // how long a rejected client should wait before it retries; 0: no advice
	MayHaveRun bool               // for AnswerRejected: an attempt may have run, but running the request again does no harm
}

// Job is one attempt that Servers carries out.
type Job struct {
	ID            string // the request's id, assigned by Core
	Attempt       int    // index among the request's attempts
	Server        policy.ServerID
	Client        Client       // Servers begins no attempt for a client that is gone
	Payload       Payload      // the job's own reference, freed by Servers
	SentAt        clock.Micros // time at which the router sent the attempt
	Deadline      clock.Micros // time at which Servers gives the attempt up
	FreshUntil    clock.Micros // time after which the attempt must not begin and ends as policy.ResultNotSent; 0: no limit
	NonIdempotent bool         // the request must not run twice, so it ends if a connection reset may have lost its answer
}

// Attempt is an attempt in flight. Cancel gives the attempt up, or does nothing if the attempt has ended. It must not block.
type Attempt interface{ Cancel() }

// Servers carries out attempts and health checks. Its methods are called on the owner's goroutine only and must not block.
// Each job ends with one AttemptEnded, and each health check with one HealthCheckEnded.
type Servers interface {
	Send(Job) Attempt
	HealthCheck(server policy.ServerID, sent, until clock.Micros)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(policy.ServerID)
	// Withdraw ends those attempts at a server that have not written anything yet. Their result is
	// policy.ResultConnectFailed.
	Withdraw(policy.ServerID)
	// SetEndpoint sets the address of a server.
	SetEndpoint(server policy.ServerID, endpoint string)
	// Forget drops the address of a server at which nothing is in flight any more.
	Forget(server policy.ServerID)
}

// Discovery fetches the endpoint list. Its methods are called on the owner's goroutine only and must not block. Lists and
// changes that it receives are posted as EndpointListUpdate events.
type Discovery interface {
	// Watch subscribes to the changes after a revision. It replaces an earlier watch.
	Watch(from int64)
	StopWatch()
	// Fetch requests the complete list once.
	Fetch()
}
