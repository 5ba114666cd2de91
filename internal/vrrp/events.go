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

// AdvertisementReceived is an advertisement of another router. The caller has checked its form and its signature.
type AdvertisementReceived struct {
	From                  netip.Addr
	Priority              uint8
	AdvertisementInterval clock.Micros
}

// Tick tells that time has passed. It is due when Machine.Next says; more of them do no harm.
type Tick struct{}

// HealthChanged carries the gateway's health.
type HealthChanged struct{ Health Health }

// ActivateFailed tells that the floating listener that an Activate asked for could not be opened.
type ActivateFailed struct{ Activation uint32 }

// ConfigChanged carries new settings. VRID and LocalAddress are kept.
type ConfigChanged struct{ Config Config }

func (Startup) event()               {}
func (Shutdown) event()              {}
func (AdvertisementReceived) event() {}
func (Tick) event()                  {}
func (HealthChanged) event()         {}
func (ActivateFailed) event()        {}
func (ConfigChanged) event()         {}
