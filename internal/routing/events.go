package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// Event is an event for Core.Handle. Its type is one of the types below.
type Event interface{ event() }

// Request is a client's complete request.
type Request struct {
	Client   Client
	ClientID string // id that the client assigned to the request; empty: none
	Payload  Payload
	Settings *settings.Snapshot // Arrival.Class is an index into the classes of these settings; nil: settings in force
	Arrival  policy.Arrival     // ID and TimeLeft are filled in by Core
	ReadAt   clock.Micros       // time at which the last byte of the request was read
	Timeout  clock.Micros       // how long the client waits, counted from ReadAt
	// StatedPosition is the log position that the answer must include by the statement itself, so that servers that check freshness
	// check it. UnstatedPosition is a log position that the answer must include although the statement does not state it. 0: none.
	StatedPosition, UnstatedPosition clock.Micros
	// Claimed is set for an in-doubt write whose resolver has claimed it. The resolver knows the earlier runs of the write and decides
	// whether it may run again.
	Claimed bool
}

// ClientDisconnected reports that a client disconnected before its answer. The package comment describes what follows.
type ClientDisconnected struct{ Client Client }

// AttemptReady asks whether an attempt that has its connection now may still begin. Decide is called once, on the owner's goroutine,
// with the answer and the new limit Job.FreshUntil; it must not block.
type AttemptReady struct {
	Job    Job
	Decide func(freshUntil clock.Micros, mayBegin bool)
}

// AttemptEnded reports how an attempt ended. Value is set if Result is policy.ResultOK.
type AttemptEnded struct {
	Job        Job
	Result     policy.Result
	Execution  policy.Execution // set by Servers; later code only adds evidence that the attempt ran
	Latency    clock.Micros
	Role       policy.Role
	Position   policy.Position
	LoadReport policy.LoadReport
	Value      *transport.Message
}

// HealthCheckEnded reports how a health check ended.
type HealthCheckEnded struct {
	Server     policy.ServerID
	Result     policy.Result
	Latency    clock.Micros
	LoadReport policy.LoadReport
}

// EndpointListUpdate carries the complete endpoint list or, unless List.Full is set, changes to it. If Failed is set, a call for
// the list failed.
type EndpointListUpdate struct {
	List   discovery.List
	Failed bool
}

// Call runs a function on the owner's goroutine.
type Call struct{ Do func(*Core) }

func (*Request) event()           {}
func (ClientDisconnected) event() {}
func (AttemptReady) event()       {}
func (AttemptEnded) event()       {}
func (HealthCheckEnded) event()   {}
func (EndpointListUpdate) event() {}
func (Call) event()               {}
