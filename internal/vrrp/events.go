package vrrp

import (
	"net/netip"

	"marblespan/internal/clock"
)

// Event is an input of Machine.Handle.
type Event interface{ event() }

// Startup and Shutdown are the events of that name in RFC 9568, 6.4. A Shutdown releases the address.
type (
	Startup  struct{}
	Shutdown struct{}
)

// AdvertisementReceived carries an advertisement of another router. The caller has checked its format and its signature.
type AdvertisementReceived struct {
	From                  netip.Addr
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// Tick is the timer step. A Tick is due at the time returned by Machine.Next; additional Ticks are harmless.
type Tick struct{}

// HealthChanged carries the gateway's new health.
type HealthChanged struct{ Health Health }

// ActivateFailed reports that the floating listener for an Activate action could not be opened.
type ActivateFailed struct{ Activation uint32 }

// ConfigChanged carries new settings. Their VRID and LocalAddress are ignored; the machine keeps the VRID and LocalAddress that
// it was created with.
type ConfigChanged struct{ Config Config }

func (Startup) event()               {}
func (Shutdown) event()              {}
func (AdvertisementReceived) event() {}
func (Tick) event()                  {}
func (HealthChanged) event()         {}
func (ActivateFailed) event()        {}
func (ConfigChanged) event()         {}
