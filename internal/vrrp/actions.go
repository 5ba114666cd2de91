package vrrp

import (
	"marblespan/internal/clock"
)

// Action is an output of Machine.Handle. The caller carries out the actions in order.
type Action interface{ action() }

// Activate asks the caller to open the floating listener. Each activation has its own listener and its own clients.
type Activate struct{ Activation uint32 }

// SendAdvertisement asks the caller to send an advertisement to every peer.
type SendAdvertisement struct {
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// AnnounceAddress asks the caller to announce to the network that this gateway now holds the address, as a gratuitous ARP does.
type AnnounceAddress struct{ Activation uint32 }

// Deactivate asks the caller to close the floating listener. Requests accepted during the activation are still answered.
type Deactivate struct {
	Activation uint32
	Cause      Cause
}

// StateChanged reports a change of state, for the log.
type StateChanged struct {
	From, To State
	Cause    Cause
}

func (Activate) action()          {}
func (SendAdvertisement) action() {}
func (AnnounceAddress) action()   {}
func (Deactivate) action()        {}
func (StateChanged) action()      {}

// Cause is why the state changed.
type Cause uint8

// The causes. CauseCount is the number of causes.
const (
	CauseStartup        Cause = iota
	CauseShutdown             // the machine received a Shutdown event
	CauseActiveDown           // no advertisement arrived for Active_Down_Interval
	CauseReleased             // the active router released the address
	CausePreempted            // a router advertised a higher priority, or the same priority from a higher address
	CauseNotReady             // the gateway cannot serve requests
	CauseStalled              // the process was stalled for longer than its lease
	CauseActivateFailed       // the floating listener could not be opened
	CauseCount
)

// causeNames holds the names of the causes in logs and counters, which operators read.
var causeNames = [CauseCount]string{
	"startup", "shutdown", "silence", "given_up", "preempted", "not_ready", "stood_still", "take_failed",
}

// String returns the cause's name in logs and counters.
func (c Cause) String() string { return causeNames[c] }
