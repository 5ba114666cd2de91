package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of Advertisement_Interval: it travels in 12 bits of hundredths of a second (RFC 9568, 5.2.6).
const (
	MinInterval clock.Micros = 10_000
	MaxInterval clock.Micros = 40_950_000
)

// The priorities with a meaning of their own (RFC 9568, 5.2.4).
const (
	PriorityRelease uint8 = 0   // the active router releases the address
	PriorityOwner   uint8 = 255 // the router that owns the address
)

// Condition is one fault of the gateway that is tracked. Each one lowers the priority by its step in Config.PrioritySteps.
type Condition uint8

// The tracked conditions. ConditionCount is their number.
const (
	NoServer        Condition = iota // no database server is usable
	NoPrimary                        // some group in use has no known primary
	DiscoverySilent                  // discovery does not answer
	DescriptorsLow                   // the limit of file descriptors is near
	Draining                         // the gateway is shutting down
	ConditionCount
)

// ConditionNames are the conditions' names in settings and logs.
var ConditionNames = [ConditionCount]string{"no-server", "no-primary", "discovery-silent", "descriptors", "draining"}

// Health is what the gateway reports of itself.
type Health struct {
	Ready      bool // it can serve a request now; if not, the address is released at once
	Conditions [ConditionCount]bool
}

// Damping delays taking the address again after it was lost soon after it was won. The zero value disables it.
type Damping struct {
	Window       clock.Micros // a loss this soon after becoming active counts as a flap
	InitialDelay clock.Micros // the delay after the first flap; each further one doubles it
	MaxDelay     clock.Micros // the longest delay
}

// Config holds the settings of one group (a virtual router of the RFC) on one gateway.
type Config struct {
	VRID                  uint8
	Priority              uint8 // 1 to 255
	AdvertisementInterval clock.Micros
	Preempt               bool         // take the address from an active router of lower priority
	PreemptDelay          clock.Micros // how long to wait before that
	LocalAddress          netip.Addr   // this gateway's address, which decides between equal priorities
	PrioritySteps         [ConditionCount]uint8
	Damping               Damping
}
