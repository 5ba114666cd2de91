package vrrp

import (
	"marblespan/internal/clock"
)

// damper keeps a gateway whose state flaps from becoming active. It guards against an address that moves to and fro because
// advertisements come late, each time closing the clients' connections. The cost: if the others fail meanwhile, the address is
// taken up to Damping.MaxDelay later.
type damper struct {
	flaps        uint8
	lastFlap     clock.Micros // when the last flap was
	blockedUntil clock.Micros
}

// maxFlaps bounds the doubling of the delay against overflow; Damping.MaxDelay is reached long before.
const maxFlaps = 20

// flapResetMultiple is after how many times Damping.MaxDelay without a flap the count starts again.
const flapResetMultiple = 4

// activationEnded counts an activation that lasted less than the window as a flap.
func (d *damper) activationEnded(now, lasted clock.Micros, cfg Damping) {
	if lasted < cfg.Window {
		d.recordFlap(now, cfg)
	}
}

// recordFlap blocks the gateway, for twice as long as the last time unless that is long ago.
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
