package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of Advertisement_Interval. An advertisement carries the interval as 12 bits, in hundredths of a second (RFC
// 9568, 5.2.6).
const (
	MinInterval clock.Micros = 10_000
	MaxInterval clock.Micros = 40_950_000
)

// The priorities that have a special meaning (RFC 9568, 5.2.4).
const (
	PriorityRelease uint8 = 0   // the active router releases the address
	PriorityOwner   uint8 = 255 // the router that owns the address
)

// Condition is a tracked problem of the gateway. Each condition that holds lowers the priority by its step in
// Config.PrioritySteps.
type Condition uint8

// The tracked conditions. ConditionCount is the number of conditions.
const (
	NoServer        Condition = iota // no database server is usable
	NoPrimary                        // at least one group of database servers in use has no known primary
	DiscoverySilent                  // discovery does not answer
	DescriptorsLow                   // the process is near its limit of file descriptors
	Draining                         // the gateway is shutting down
	ConditionCount
)

// ConditionNames holds the conditions' names in settings and logs.
var ConditionNames = [ConditionCount]string{"no-server", "no-primary", "discovery-silent", "descriptors", "draining"}

// Health is the state of the gateway, as the gateway reports it to the machine.
type Health struct {
	Ready      bool // the gateway can serve requests; otherwise the address is released at once
	Conditions [ConditionCount]bool
}

// Damping delays the next activation of a gateway that lost the address soon after it became active. The zero value disables
// damping.
type Damping struct {
	Window       clock.Micros // a loss of the address within this time after becoming active counts as a flap
	InitialDelay clock.Micros // the delay after the first flap; each further flap doubles the delay
	MaxDelay     clock.Micros // the longest delay
}

// Config holds the settings of one virtual router on one gateway.
type Config struct {
	VRID                  uint8
	Priority              uint8 // 1 to 255
	AdvertisementInterval clock.Micros
	Preempt               bool         // take over the address from an active router of lower priority
	PreemptDelay          clock.Micros // how long to wait before preempting
	LocalAddress          netip.Addr   // this gateway's address; of two routers with equal priority, the higher address wins
	PrioritySteps         [ConditionCount]uint8
	Damping               Damping
}
