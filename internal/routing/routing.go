// Package routing is the one owner of the decision module. It turns what happened on the sockets into the module's
// events and the module's actions into sends and answers. It decides nothing and never blocks on a socket: what it
// asks of the layer above comes back as an event on its queue.
package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// Payload is what a client asks for, kept for as long as an attempt may need it. Each holder frees it once.
type Payload interface {
	Share() Payload
	Free()
}

// Client is the connection that a request came over. Answer takes over the value, and must not block.
type Client interface{ Answer(Answer) }

// Kind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answers.
const (
	AnswerServed AnswerKind = iota
	AnswerRejected
	AnswerFailed
	AnswerDuplicateID // its id is that of a request still under way
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Value      *transport.Message // of a served request
	Position   policy.Position    // after it, as its server says; 0: it does not
	RetryAfter clock.Micros       // advice to a refused client; 0: none
}

// Job is one attempt, for the servers' side to carry out.
type Job struct {
	ID            string
	Attempt       int
	Server        policy.ServerID
	Payload       Payload      // a share of it, freed by whoever carries the job out
	SentAt        clock.Micros // when the module asked for it
	Deadline      clock.Micros // when to give it up
	NonIdempotent bool         // it must not run twice: a reset that may have hidden its answer ends its request
}

// Attempt is an attempt under way. Cancel gives it up, if it still runs; it must not block.
type Attempt interface{ Cancel() }

// Servers carries out attempts and probes. None of its methods blocks; each job ends in one event.
type Servers interface {
	Send(Job) Attempt
	HealthCheck(server policy.ServerID, sent, until clock.Micros)
	CloseIdle(policy.ServerID)
	Withdraw(policy.ServerID)
	SetEndpoint(server policy.ServerID, endpoint string)
	Forget(server policy.ServerID)
}

// Discovery asks for the member list. What it brings comes as ListNews.
type Discovery interface {
	Watch(from int64)
	StopWatch()
	Fetch()
}

// Event is one of the events below.
type Event interface{ event() }

// Request is a client's request, whole.
type Request struct {
	Client      Client
	ClientID    string // the client's; empty: none
	Payload     Payload
	InForce     *settings.InForce // the settings it was read by: those that Arrival.Class counts in; nil: those in force
	Arrival     policy.Arrival    // ID and Left are filled in by the owner
	ReadAt      clock.Micros      // when its last byte was read
	Timeout     clock.Micros      // how long the client waits, from then on
	MinPosition clock.Micros      // the position that it must see; 0: none
}

// Gone tells that a client left while its request was out.
type ClientDisconnected struct{ Client Client }

// Ended tells how an attempt ended. Value is there if it was served.
type AttemptEnded struct {
	Job      Job
	Result   policy.Result
	Latency  clock.Micros
	Role     policy.Role
	Position policy.Position
	Report   policy.LoadReport
	Value    *transport.Message
}

// ProbeEnded tells how a probe ended.
type HealthCheckEnded struct {
	Server  policy.ServerID
	Result  policy.Result
	Latency clock.Micros
	Report  policy.LoadReport
}

// ListNews is news of the member list, or of a call for it that failed.
type EndpointListUpdate struct {
	List   discovery.List
	Failed bool
}

// Inspect runs a function on the owner's goroutine, for counters and shutting down.
type Call struct{ Do func(*Core) }

func (*Request) event()           {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (HealthCheckEnded) event()   {}
func (EndpointListUpdate) event() {}
func (Call) event()               {}
