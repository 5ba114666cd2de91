package members

import (
	"marblespan/internal/clock"
	"marblespan/internal/protocol/sealed"
)

// Heartbeats returns the detector with which each member sends a heartbeat to all others once per interval. If no heartbeat of a member
// arrives for the timeout, the member is considered dead until its next heartbeat.
func Heartbeats(interval, timeout clock.Micros) Detector {
	return Detector{"heartbeats", func(w *World, i int) localDetector {
		return &heartbeatDetector{w: w, self: i, interval: interval, timeout: timeout, lastHeard: make([]clock.Micros, len(w.nodes)), dead: make([]bool, len(w.nodes))}
	}}
}

// heartbeatSize is the size of a heartbeat in bytes, with a name, an incarnation and the signed trailer.
const heartbeatSize = 2 + 2 + 6 + 9 + sealed.Size

// heartbeatDetector is the failure detector of one gateway in a world whose gateways run Heartbeats. Any message of type int is a
// heartbeat.
type heartbeatDetector struct {
	w                 *World
	self              int
	interval, timeout clock.Micros
	nextHeartbeat     clock.Micros
	lastHeard         []clock.Micros
	dead              []bool
}

func (b *heartbeatDetector) handle(now clock.Micros, in any, from int) (out []datagram) {
	if in == nil {
		for i := range b.lastHeard {
			b.lastHeard[i] = now
		}
		b.nextHeartbeat = now
	}
	if _, beat := in.(int); beat {
		b.lastHeard[from] = now
		b.setDead(from, false)
	}
	if now >= b.nextHeartbeat {
		b.nextHeartbeat = max(b.nextHeartbeat+b.interval, now)
		for i := range b.lastHeard {
			if i != b.self {
				out = append(out, datagram{to: i, body: 0, size: heartbeatSize})
			}
		}
	}
	for i := range b.lastHeard {
		if i != b.self && now-b.lastHeard[i] > b.timeout {
			b.setDead(i, true)
		}
	}
	return out
}

func (b *heartbeatDetector) setDead(i int, dead bool) {
	if b.dead[i] != dead {
		b.dead[i] = dead
		if b.w.beliefChanged != nil {
			b.w.beliefChanged(b.self, i, !dead)
		}
	}
}

func (b *heartbeatDetector) nextTimer() (clock.Micros, bool) { return b.nextHeartbeat, true }

func (b *heartbeatDetector) alive(other int) bool { return !b.dead[other] }
