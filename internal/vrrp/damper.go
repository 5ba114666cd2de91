package vrrp

import (
	"marblespan/internal/clock"
)

// damper keeps a gateway whose state flaps from becoming active. Otherwise, late advertisements could make the address move
// back and forth between gateways, and every move closes the clients' connections. The cost of damping is that if the other
// gateways fail in the meantime, the damped gateway becomes active up to Damping.MaxDelay later.
type damper struct {
	flaps        uint8
	lastFlap     clock.Micros // when the last flap was counted
	blockedUntil clock.Micros
}

// maxFlaps limits the doubling of the delay so that the delay does not overflow. Damping.MaxDelay is reached long before that
// many flaps.
const maxFlaps = 20

// The count of flaps is reset after a time of flapResetMultiple times Damping.MaxDelay without a flap.
const flapResetMultiple = 4

// activationEnded counts an activation that lasted less than the window as a flap.
func (d *damper) activationEnded(now, lasted clock.Micros, cfg Damping) {
	if lasted < cfg.Window {
		d.recordFlap(now, cfg)
	}
}

// recordFlap counts a flap and keeps the gateway from becoming active: for Damping.InitialDelay after the first flap, and for
// twice the previous delay after each further flap, up to Damping.MaxDelay.
func (d *damper) recordFlap(now clock.Micros, cfg Damping) {
	if cfg.InitialDelay <= 0 {
		return
	}
	if d.flaps > 0 && now-d.lastFlap > flapResetMultiple*cfg.MaxDelay {
		d.flaps = 0
	}
	d.blockedUntil = now + min(cfg.InitialDelay<<d.flaps, cfg.MaxDelay)
	d.flaps = min(d.flaps+1, maxFlaps)
	d.lastFlap = now
}
