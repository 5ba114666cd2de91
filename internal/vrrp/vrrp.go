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
	MinInterval clock.Micros = 10_000
	MaxInterval clock.Micros = 40_950_000
)

// The priorities with a meaning of their own (RFC 9568, 5.2.4).
const (
	PriorityRelease uint8 = 0   // the active router releases its address
	PriorityOwner   uint8 = 255 // the router that owns the address
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
	NoServer        Condition = iota // no database server is known
	NoPrimary                        // some group in use has no known primary
	DiscoverySilent                  // discovery does not answer
	DescriptorsLow                   // descriptors are nearly used up
	Draining                         // the gateway is about to end
	ConditionCount
)

// ConditionNames are the conditions as settings and logs name them.
var ConditionNames = [ConditionCount]string{"no-server", "no-primary", "discovery-silent", "descriptors", "draining"}

// Health is what a gateway knows of itself.
type Health struct {
	Ready      bool // it could serve a request now; without it the address is given up at once
	Conditions [ConditionCount]bool
}

// Damping holds back a gateway that loses the address soon after winning it. The zero value does nothing.
type Damping struct {
	Window       clock.Micros // a loss this soon after the win counts as a flap
	InitialDelay clock.Micros // how long the first flap holds it back; each further one twice as long
	MaxDelay     clock.Micros // the longest it is ever held back
}

// Config is one group (virtual router) on one gateway.
type Config struct {
	VRID                  uint8
	Priority              uint8 // 1 to 255
	AdvertisementInterval clock.Micros
	Preempt               bool         // take the address from an active router of lower priority
	PreemptDelay          clock.Micros // how long that router is left in peace first
	LocalAddress          netip.Addr   // this gateway's own address, which settles ties
	PrioritySteps         [ConditionCount]uint8
	Damping               Damping
}

// Event is one of the events below.
type Event interface{ event() }

// Startup and Shutdown are those of RFC 9568, 6.4. A shutdown gives the address up.
type (
	Startup  struct{}
	Shutdown struct{}
)

// Heard is an advertisement of another router, checked and authentic.
type AdvertisementReceived struct {
	From                  netip.Addr
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// Tick tells that time has passed. It comes when Next says, and may come oftener.
type Tick struct{}

// Noticed tells how the gateway is.
type HealthChanged struct{ Health Health }

// TakeFailed tells that the address that a Take asked for could not be taken.
type ActivateFailed struct{ Activation uint32 }

// Reconfigured brings new settings. VRID and Self stay.
type ConfigChanged struct{ Config Config }

func (Startup) event()               {}
func (Shutdown) event()              {}
func (AdvertisementReceived) event() {}
func (Tick) event()                  {}
func (HealthChanged) event()         {}
func (ActivateFailed) event()        {}
func (ConfigChanged) event()         {}

// Action is one of the actions below, to be carried out in order.
type Action interface{ action() }

// Take asks for the floating listener. What is taken under one tenure has nothing to do with the next.
type Activate struct{ Activation uint32 }

// Advertise sends an advertisement to every peer.
type SendAdvertisement struct {
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// Announce tells the network where the address is now, as a gratuitous ARP would.
type AnnounceAddress struct{ Activation uint32 }

// Release gives the floating listener up. What was taken under the tenure still gets its answers.
type Deactivate struct {
	Activation uint32
	Cause      Cause
}

// Changed tells of a change of state, for the log.
type StateChanged struct {
	From, To State
	Cause    Cause
}

func (Activate) action()          {}
func (SendAdvertisement) action() {}
func (AnnounceAddress) action()   {}
func (Deactivate) action()        {}
func (StateChanged) action()      {}

// Cause says why the state changed.
type Cause uint8

// The causes.
const (
	CauseStartup        Cause = iota
	CauseShutdown             // it was told to stop
	CauseActiveDown           // no active router was heard for the down interval
	CauseReleased             // the active router released the address
	CausePreempted            // one of higher priority, or of the same and a higher address, advertised
	CauseNotReady             // it could serve no request any more
	CauseStalled              // its process had not run for longer than its peers wait
	CauseActivateFailed       // the floating listener could not be had
	CauseCount
)

var causeNames = [CauseCount]string{
	"startup", "shutdown", "silence", "given_up", "preempted", "not_ready", "stood_still", "take_failed",
}

// String is the cause's code in the log.
func (c Cause) String() string { return causeNames[c] }

// SkewTime is RFC 9568's Skew_Time: it lets a higher priority go first.
func SkewTime(priority uint8, interval clock.Micros) clock.Micros {
	return (256 - clock.Micros(priority)) * interval / 256
}

// DownInterval is RFC 9568's Active_Down_Interval: how long a backup waits for the active router.
func ActiveDownInterval(priority uint8, interval clock.Micros) clock.Micros {
	return 3*interval + SkewTime(priority, interval)
}
