package members

import (
	"fmt"
	"net/netip"

	"marblespan/internal/clock"
	"marblespan/internal/membership"
	codec "marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
)

// SWIM returns the detector of internal/membership with a probe interval. If plain is true, the detector does not use the
// Lifeguard extensions.
func SWIM(interval clock.Micros, plain bool) Detector {
	label := "membership"
	if plain {
		label = "without extensions"
	}
	return Detector{label, func(w *World, i int) localDetector {
		n := w.nodes[i]
		p := &swimDetector{w: w, self: i, believed: map[int]bool{}}
		p.machine = membership.New(membership.Config{
			Name: name(i), Address: address(i), Generation: uint64(w.Now) + n.incarnation<<40, Interval: interval, WithoutLifeguard: plain,
			Join: []netip.AddrPort{address(0), address(1), address(2)}, Seed: w.rng.Uint64() | 1,
			Meta: membership.Meta{Zone: "a", Weight: 1, Version: "0.3.0", Settings: 7},
		})
		return p
	}}
}

// swimDetector is the failure detector of one gateway in a world whose gateways run SWIM. It runs the state machine of
// internal/membership.
type swimDetector struct {
	w              *World
	self           int
	machine        *membership.Machine
	believed       map[int]bool
	notices        [membership.NoticeCount]int
	leaveCompleted bool
}

func (p *swimDetector) handle(now clock.Micros, in any, from int) []datagram {
	var ev membership.Event
	switch x := in.(type) {
	case nil:
		ev = membership.Started{}
	case timerExpired:
		ev = membership.Tick{}
	case membership.Message:
		ev = membership.MessageReceived{Source: address(from), Message: x}
	case membership.Event:
		ev = x
	}
	return p.applyActions(now, p.machine.Handle(now, ev))
}

// applyActions carries out the actions of the state machine, and returns the datagrams to send.
func (p *swimDetector) applyActions(now clock.Micros, actions []membership.Action) (out []datagram) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			to, ok := p.w.nodesByAddress[a.Address]
			if !ok {
				continue
			}
			x := datagram{to: to, body: a.Message}
			if p.w.measuresSizes {
				x.size = len(codec.AppendMessage(nil, a.Message)) + sealed.Size
			}
			out = append(out, x)
		case membership.MemberChanged:
			i := index(a.Name)
			if living := !a.State.Ended(); living != p.believed[i] {
				p.believed[i] = living
				if p.w.beliefChanged != nil {
					p.w.beliefChanged(p.self, i, living)
				}
			}
		case membership.Notice:
			p.notices[a.Kind]++
		case membership.LeaveCompleted:
			p.leaveCompleted = true
		}
	}
	return out
}

// index returns the index of the gateway with a name.
func index(name string) (i int) {
	fmt.Sscanf(name, "gw-%d", &i)
	return i
}

// leaveRequest is the event that makes a gateway leave gracefully.
var leaveRequest = membership.LeaveRequested{}

// dead reports whether the detector considers another gateway dead. A gateway that has left gracefully is not dead.
func (p *swimDetector) dead(other int) bool {
	r, known := p.machine.Lookup(name(other))
	return known && r.State == membership.Dead
}

func (p *swimDetector) nextTimer() (clock.Micros, bool) { return p.machine.Next() }

func (p *swimDetector) alive(other int) bool { return other == p.self || p.believed[other] }
