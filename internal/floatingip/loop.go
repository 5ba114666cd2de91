package floatingip

import (
	"net/netip"
	"time"

	"marblespan/internal/vrrp"
)

// loopHandler is the VRRPRouter as the handler of its datagrams.Loop.
type loopHandler VRRPRouter

// Start starts every group.
func (h *loopHandler) Start() {
	r := (*VRRPRouter)(h)
	r.updateHealth()
	for _, g := range r.groups {
		r.handle(g, vrrp.Startup{})
	}
}

// NextTimer is when the next Tick of a machine is due.
func (h *loopHandler) NextTimer() (next time.Time) {
	for _, g := range h.groups {
		if at, ok := g.machine.Next(); ok {
			if t := h.clock.Time(at); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// HandleDatagram checks one datagram, and passes it to its group's machine or drops it.
func (h *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	(*VRRPRouter)(h).receive(b, from)
}

// CheckTimers passes on a change of the gateway's health, and a Tick to each machine that is due.
func (h *loopHandler) CheckTimers() {
	r := (*VRRPRouter)(h)
	r.updateHealth()
	now := r.clock.Now()
	for _, g := range r.groups {
		if at, ok := g.machine.Next(); ok && now >= at {
			r.handle(g, vrrp.Tick{})
		}
	}
}

// updateHealth tells the machines the gateway's health, if it has changed.
func (r *VRRPRouter) updateHealth() {
	if h := r.health(); h != r.lastHealth {
		r.lastHealth = h
		for _, g := range r.groups {
			r.handle(g, vrrp.HealthChanged{Health: h})
		}
	}
}

// handle passes an event to a group's machine and carries out the actions.
func (r *VRRPRouter) handle(g *group, ev vrrp.Event) {
	wasActive := g.machine.State() == vrrp.Active
	actions := g.machine.Handle(r.clock.Now(), ev)
	if wasActive && g.machine.State() != vrrp.Active {
		g.leaseEnd.Store(0)
	}
	for _, a := range actions {
		if !r.carryOut(g, a) {
			return
		}
	}
}

// carryOut carries out one action. It returns false where the listener of an Activate could not be opened: the machine has
// been told and its answer carried out, and the actions that follow the Activate are void.
func (r *VRRPRouter) carryOut(g *group, action vrrp.Action) bool {
	switch a := action.(type) {
	case vrrp.Activate:
		r.Counters.Activations.Add(1)
		if err := r.address.Activate(g.Name, g.Listen, r.mayTakeRequests(g)); err != nil {
			r.log.Error().Err(err).Str("group", g.Name).Msg("floating listener")
			r.handle(g, vrrp.ActivateFailed(a))
			return false
		}
	case vrrp.Deactivate:
		r.Counters.Deactivations[a.Cause].Add(1)
		r.address.Deactivate(g.Name)
	case vrrp.SendAdvertisement:
		r.advertise(g, a)
		// Only after sending: had the process been stalled before, no peer would have received the advertisement.
		g.leaseEnd.Store(int64(g.machine.Lease()))
	case vrrp.AnnounceAddress:
		r.announce(g)
	case vrrp.StateChanged:
		r.log.Info().Str("group", g.Name).Stringer("from", a.From).Stringer("to", a.To).Stringer("cause", a.Cause).
			Uint8("priority", g.machine.Priority()).Uint32("tenure", g.machine.Activation()).Msg("vrrp")
	}
	return true
}

// mayTakeRequests returns the gate of an activation: whether its lease still runs. The gate reads the clock itself, so that
// after a stall it is closed even for a goroutine that runs before the router's.
func (r *VRRPRouter) mayTakeRequests(g *group) func() bool {
	return func() bool { return int64(r.clock.Now()) <= g.leaseEnd.Load() }
}
