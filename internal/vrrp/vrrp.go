// Package vrrp decides which of several gateways holds a floating address: the state machine of VRRP version 3 (RFC 9568)
// with what a gateway adds to it, the tracking of its own health, the damping of a state that flaps, and a guard against
// its own standing still.
//
// It is pure: events with the time they came at go in, actions come out. It owns no clock, socket, goroutine or random
// source, and times are whole microseconds of a clock that never steps back. This file is its interface.
package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of an advertisement interval: it travels in 12 bits of hundredths of a second (RFC 9568, 5.2.6).
const (
	LeastInterval clock.Micros = 10_000
	MostInterval  clock.Micros = 40_950_000
)

// The priorities with a meaning of their own (RFC 9568, 5.2.4).
const (
	GivesUp uint8 = 0   // the active router releases its address
	Owner   uint8 = 255 // the router that owns the address
)

// State is a state of RFC 9568, 6.3.
type State uint8

// The states.
const (
	Initialize State = iota
	Backup
	Active
)

// String is the state's name in the RFC.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Condition is one thing that may be wrong with a gateway. Each lowers its priority by the step that the settings name.
type Condition uint8

// The conditions.
const (
	NoServer      Condition = iota // no database server is known
	NoPrimary                      // some group in use has no known primary
	ListSilent                     // discovery does not answer
	FewDescriptor                  // descriptors are nearly used up
	Draining                       // the gateway is about to end
	Conditions
)

// ConditionNames are the conditions as settings and logs name them.
var ConditionNames = [Conditions]string{"no-server", "no-primary", "discovery-silent", "descriptors", "draining"}

// Health is what a gateway knows of itself.
type Health struct {
	Ready bool // it could serve a request now; without it the address is given up at once
	Wrong [Conditions]bool
}

// Damping holds back a gateway that loses the address soon after winning it. The zero value does nothing.
type Damping struct {
	Window clock.Micros // a loss this soon after the win counts as a flap
	First  clock.Micros // how long the first flap holds it back; each further one twice as long
	Most   clock.Micros // the longest it is ever held back
}

// Config is one group (virtual router) on one gateway.
type Config struct {
	VRID         uint8
	Priority     uint8 // 1 to 255
	Interval     clock.Micros
	Preempt      bool         // take the address from an active router of lower priority
	PreemptDelay clock.Micros // how long that router is left in peace first
	Self         netip.Addr   // this gateway's own address, which settles ties
	Steps        [Conditions]uint8
	Damping      Damping
}

// Event is one of the events below.
type Event interface{ event() }

// Startup and Shutdown are those of RFC 9568, 6.4. A shutdown gives the address up.
type (
	Startup  struct{}
	Shutdown struct{}
)

// Heard is an advertisement of another router, checked and authentic.
type Heard struct {
	From     netip.Addr
	Priority uint8
	Interval clock.Micros
}

// Tick tells that time has passed. It comes when Next says, and may come oftener.
type Tick struct{}

// Noticed tells how the gateway is.
type Noticed struct{ Health Health }

// TakeFailed tells that the address that a Take asked for could not be taken.
type TakeFailed struct{ Tenure uint32 }

// Reconfigured brings new settings. VRID and Self stay.
type Reconfigured struct{ Config Config }

func (Startup) event()      {}
func (Shutdown) event()     {}
func (Heard) event()        {}
func (Tick) event()         {}
func (Noticed) event()      {}
func (TakeFailed) event()   {}
func (Reconfigured) event() {}

// Action is one of the actions below, to be carried out in order.
type Action interface{ action() }

// Take asks for the floating listener. What is taken under one tenure has nothing to do with the next.
type Take struct{ Tenure uint32 }

// Advertise sends an advertisement to every peer.
type Advertise struct {
	Priority uint8
	Interval clock.Micros
}

// Announce tells the network where the address is now, as a gratuitous ARP would.
type Announce struct{ Tenure uint32 }

// Release gives the floating listener up. What was taken under the tenure still gets its answers.
type Release struct {
	Tenure uint32
	Cause  Cause
}

// Changed tells of a change of state, for the log.
type Changed struct {
	From, To State
	Cause    Cause
}

func (Take) action()      {}
func (Advertise) action() {}
func (Announce) action()  {}
func (Release) action()   {}
func (Changed) action()   {}

// Cause says why the state changed.
type Cause uint8

// The causes.
const (
	CauseStartup    Cause = iota
	CauseShutdown         // it was told to stop
	CauseSilence          // no active router was heard for the down interval
	CauseGivenUp          // the active router released the address
	CausePreempted        // one of higher priority, or of the same and a higher address, advertised
	CauseNotReady         // it could serve no request any more
	CauseStoodStill       // its process had not run for longer than its peers wait
	CauseTakeFailed       // the floating listener could not be had
	Causes
)

var causeNames = [Causes]string{
	"startup", "shutdown", "silence", "given_up", "preempted", "not_ready", "stood_still", "take_failed",
}

// String is the cause's code in the log.
func (c Cause) String() string { return causeNames[c] }

// SkewTime is RFC 9568's Skew_Time: it lets a higher priority go first.
func SkewTime(priority uint8, interval clock.Micros) clock.Micros {
	return (256 - clock.Micros(priority)) * interval / 256
}

// DownInterval is RFC 9568's Active_Down_Interval: how long a backup waits for the active router.
func DownInterval(priority uint8, interval clock.Micros) clock.Micros {
	return 3*interval + SkewTime(priority, interval)
}
