package routing

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

// Event is one of the events below.
type Event interface{ event() }

// Request is a client's complete request.
type Request struct {
	Client      Client
	ClientID    string // the id that the client gave it; empty: none
	Payload     Payload
	Settings    *settings.Snapshot // the settings it was read by, which Arrival.Class is an index into; nil: those in force
	Arrival     policy.Arrival     // ID and TimeLeft are filled in by Core
	ReadAt      clock.Micros       // when its last byte was read
	Timeout     clock.Micros       // how long the client waits from then on
	MinPosition clock.Micros       // the log position that it must see; 0: none
}

// ClientDisconnected says that a client left before its answer. The package comment gives the chain that follows.
type ClientDisconnected struct{ Client Client }

// AttemptEnded says how an attempt ended. Value is set if Result is policy.ResultOK.
type AttemptEnded struct {
	Job        Job
	Result     policy.Result
	Execution  policy.Execution // Servers sets it, and nothing lowers it afterwards
	Latency    clock.Micros
	Role       policy.Role
	Position   policy.Position
	LoadReport policy.LoadReport
	Value      *transport.Message
}

// HealthCheckEnded says how a health check ended.
type HealthCheckEnded struct {
	Server     policy.ServerID
	Result     policy.Result
	Latency    clock.Micros
	LoadReport policy.LoadReport
}

// EndpointListUpdate is the endpoint list or changes to it (List.All tells which), or a call for it that failed.
type EndpointListUpdate struct {
	List   discovery.List
	Failed bool
}

// Call runs a function on the owner's goroutine.
type Call struct{ Do func(*Core) }

func (*Request) event()           {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (HealthCheckEnded) event()   {}
func (EndpointListUpdate) event() {}
func (Call) event()               {}
