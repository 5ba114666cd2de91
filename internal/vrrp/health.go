package vrrp

import "marblespan/internal/clock"

// effective is the priority that a gateway may advertise: the settings' one less the steps for all that is wrong with it.
// It stays at least 1, for 0 would release the address, and the last gateway left must still be able to hold it.
func effectivePriority(priority uint8, steps [ConditionCount]uint8, h Health) uint8 {
	left := int(priority)
	for c, wrong := range h.Conditions {
		if wrong {
			left -= int(steps[c])
		}
	}
	return uint8(max(left, 1))
}

// damper holds back a gateway whose state flaps. Guards against: an address that goes to and fro because advertisements
// come late, each time breaking the clients' connections. May harm: if the others die while it is held back, the address
// is taken up to Damping.Most later.
type damper struct {
	flaps        uint8
	lastFlap     clock.Micros // the last flap
	blockedUntil clock.Micros
}

// mostStrikes bounds the doubling; the settings' bound is reached long before.
const maxFlaps = 20

// forgetAfter is after how many times the longest hold without a flap all is forgotten.
const flapMemory = 4

// lost notes the end of a tenure.
func (d *damper) activationEnded(now, lasted clock.Micros, cfg Damping) {
	if lasted < cfg.Window {
		d.recordFlap(now, cfg)
	}
}

// strike holds the gateway back, twice as long as the last time unless that is long ago.
func (d *damper) recordFlap(now clock.Micros, cfg Damping) {
	if cfg.InitialDelay <= 0 {
		return
	}
	if d.flaps > 0 && now-d.lastFlap > flapMemory*cfg.MaxDelay {
		d.flaps = 0
	}
	d.blockedUntil = now + min(cfg.InitialDelay<<d.flaps, cfg.MaxDelay)
	d.flaps = min(d.flaps+1, maxFlaps)
	d.lastFlap = now
}
