package floatingip

import (
	"net/netip"
	"time"

	"marblespan/internal/vrrp"
)

// loopHandler is the VRRPRouter as the handler of its datagrams.Loop.
type loopHandler VRRPRouter

// Start starts every group.
func (o *loopHandler) Start() {
	s := (*VRRPRouter)(o)
	s.updateHealth()
	for _, g := range s.groups {
		s.handle(g, vrrp.Startup{})
	}
}

// NextTimer is when the next Tick of a machine is due.
func (o *loopHandler) NextTimer() (next time.Time) {
	for _, g := range o.groups {
		if at, ok := g.machine.Next(); ok {
			if t := o.clock.Time(at); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// HandleDatagram checks one datagram, and passes it to its group's machine or drops it.
func (o *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	(*VRRPRouter)(o).receive(b, from)
}

// CheckTimers passes on a change of the gateway's health, and a Tick to each machine that is due.
func (o *loopHandler) CheckTimers() {
	s := (*VRRPRouter)(o)
	s.updateHealth()
	now := s.clock.Now()
	for _, g := range s.groups {
		if at, ok := g.machine.Next(); ok && now >= at {
			s.handle(g, vrrp.Tick{})
		}
	}
}

// updateHealth tells the machines the gateway's health, if it has changed.
func (s *VRRPRouter) updateHealth() {
	if h := s.health(); h != s.lastHealth {
		s.lastHealth = h
		for _, g := range s.groups {
			s.handle(g, vrrp.HealthChanged{Health: h})
		}
	}
}

// handle passes an event to a group's machine and carries out the actions.
func (s *VRRPRouter) handle(g *group, ev vrrp.Event) {
	wasActive := g.machine.State() == vrrp.Active
	actions := g.machine.Handle(s.clock.Now(), ev)
	if wasActive && g.machine.State() != vrrp.Active {
		g.leaseEnd.Store(0)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case vrrp.Activate:
			s.Counters.Activations.Add(1)
			if err := s.address.Activate(g.Name, g.Listen, s.mayTakeRequests(g)); err != nil {
				s.log.Error().Err(err).Str("group", g.Name).Msg("floating listener")
				s.handle(g, vrrp.ActivateFailed(a))
				return
			}
		case vrrp.Deactivate:
			s.Counters.Deactivations[a.Cause].Add(1)
			s.address.Deactivate(g.Name)
		case vrrp.SendAdvertisement:
			s.advertise(g, a)
			// Only after sending: had the process been stalled before, no peer would have received the advertisement.
			g.leaseEnd.Store(int64(g.machine.Lease()))
		case vrrp.AnnounceAddress:
			s.announce(g)
		case vrrp.StateChanged:
			s.log.Info().Str("group", g.Name).Stringer("from", a.From).Stringer("to", a.To).Stringer("cause", a.Cause).
				Uint8("priority", g.machine.Priority()).Uint32("tenure", g.machine.Activation()).Msg("vrrp")
		}
	}
}

// mayTakeRequests returns the gate of an activation: whether its lease still runs. The gate reads the clock itself, so that
// after a stall it is closed even for a goroutine that runs before the router's.
func (s *VRRPRouter) mayTakeRequests(g *group) func() bool {
	return func() bool { return int64(s.clock.Now()) <= g.leaseEnd.Load() }
}
