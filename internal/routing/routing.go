// Package routing hosts the decisions of package policy in a gateway: it turns what happens on the sockets into events for
// policy.Router, and the actions that the router returns into attempts, health checks, timers and answers. It makes no
// routing decision of its own, except the few checks named below, and never blocks on a socket.
//
// The goroutine of Owner.Run owns all state: the router, the queue's receiving end, the timers, the open requests and the
// endpoint list. Package gateway starts it. Package session calls in: its connections post a Request, ClientDisconnected,
// AttemptEnded or HealthCheckEnded, and its discovery an EndpointListUpdate. Routing calls out through the interfaces Client,
// Servers and Discovery, which session implements; what they bring about comes back as an event on the queue.
//
// Where to look:
//   - Core.Handle takes in every event and Core.perform carries out every action.
//   - Core.handleRequest rejects requests that policy must not see: an unknown group, a class that changed, an id in use.
//   - Core.startAttempt holds back attempts that must not go out, and checks MaxAttempts once more.
//   - Core.handleAttemptEnded reads an answer of a replica to a read that needs the primary as misdirected. That it ran stands.
//
// # When a client disconnects
//
// Session notices it and calls client.abandonQueries (answers.go), which posts ClientDisconnected for each open query.
// Core.Handle closes the request, so that nothing which still arrives for it is answered, and steps the router with
// policy.ClientDisconnected. The router may return policy.Cancel for the attempt in flight; Attempt.Cancel (session's
// task.Cancel) then breaks off the dial or the server's connection. The attempt still ends in one AttemptEnded, after which
// Core forgets the request.
//
// In-doubt writes fork off before that: for them client.abandonQueries posts nothing here and calls intents.Write.Cancel
// instead. An attempt already sent runs to its end, so that whoever repeats the write finds its result.
package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/transport"
)

// Payload is the text of a client's query. It is reference-counted: Share takes one more reference, and the holder of each
// calls Free once.
type Payload interface {
	Share() Payload
	Free()
}

// Client receives the answer to one request. Answer is called at most once, on the owner's goroutine; it takes over the
// value and must not block.
type Client interface{ Answer(Answer) }

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answers.
const (
	AnswerServed      AnswerKind = iota // a server's answer
	AnswerRejected                      // not served; it is safe to retry
	AnswerFailed                        // not served; it may have run
	AnswerDuplicateID                   // its id is that of a request still open
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Value      *transport.Message // the server's answer; set if Kind is AnswerServed
	Position   policy.Position    // the server's log position after it; 0: unknown
	RetryAfter clock.Micros       // advice to a rejected client; 0: none
	MayHaveRun bool               // of a rejection: an attempt may have run, and a second run does no harm
}

// Job is one attempt that Servers carries out.
type Job struct {
	ID            string // the request's, given by Core
	Attempt       int    // index among the request's attempts
	Server        policy.ServerID
	Payload       Payload      // a reference of its own, freed by Servers
	SentAt        clock.Micros // when the router asked for it
	Deadline      clock.Micros // when to give it up
	NonIdempotent bool         // it must not run twice: a reset that may have hidden its answer ends its request
}

// Attempt is an attempt in flight. Cancel gives it up if it has not ended; it must not block.
type Attempt interface{ Cancel() }

// Servers carries out attempts and health checks. Its methods are called on the owner's goroutine only and must not block.
// Each job ends in one AttemptEnded, each health check in one HealthCheckEnded.
type Servers interface {
	Send(Job) Attempt
	HealthCheck(server policy.ServerID, sent, until clock.Micros)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(policy.ServerID)
	// Withdraw ends the attempts at a server that have not written anything yet as failed to connect.
	Withdraw(policy.ServerID)
	// SetEndpoint says at which address a server is.
	SetEndpoint(server policy.ServerID, endpoint string)
	// Forget drops the address of a server that nothing is in flight at any more.
	Forget(server policy.ServerID)
}

// Discovery fetches the endpoint list. Its methods are called on the owner's goroutine only and must not block. What it
// receives comes back as EndpointListUpdate.
type Discovery interface {
	// Watch subscribes to the changes after a revision, in place of an earlier watch.
	Watch(from int64)
	StopWatch()
	// Fetch asks for the complete list once.
	Fetch()
}
