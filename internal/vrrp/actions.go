package vrrp

import (
	"marblespan/internal/clock"
)

// Action is an output of Machine.Handle. The caller carries the actions out in order.
type Action interface{ action() }

// Activate asks for the floating listener to be opened. Each activation has a listener and clients of its own.
type Activate struct{ Activation uint32 }

// SendAdvertisement asks for an advertisement to every peer.
type SendAdvertisement struct {
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// AnnounceAddress asks for the network to be told where the address is now, as a gratuitous ARP does.
type AnnounceAddress struct{ Activation uint32 }

// Deactivate asks for the floating listener to be closed. Requests taken under the activation are still answered.
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

// The causes. CauseCount is their number.
const (
	CauseStartup        Cause = iota
	CauseShutdown             // it was told to stop
	CauseActiveDown           // no advertisement came for Active_Down_Interval
	CauseReleased             // the active router released the address
	CausePreempted            // one of higher priority, or of the same and a higher address, advertised
	CauseNotReady             // the gateway can serve no request
	CauseStalled              // the process was stalled for longer than its lease
	CauseActivateFailed       // the floating listener could not be opened
	CauseCount
)

// causeNames are the causes as logs and counters name them; operators read them.
var causeNames = [CauseCount]string{
	"startup", "shutdown", "silence", "given_up", "preempted", "not_ready", "stood_still", "take_failed",
}

// String is the cause's code in the log.
func (c Cause) String() string { return causeNames[c] }
