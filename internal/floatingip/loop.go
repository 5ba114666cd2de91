package floatingip

import (
	"net/netip"
	"time"

	"marblespan/internal/vrrp"
)

// loopHandler holds the methods of a VRRPRouter that its datagrams.Loop calls, all on the loop's goroutine.
type loopHandler VRRPRouter

// Start reads the gateway's health and starts the machine of every group.
func (h *loopHandler) Start() {
	r := (*VRRPRouter)(h)
	r.updateHealth()
	for _, g := range r.groups {
		r.handle(g, vrrp.Startup{})
	}
}

// NextTimer returns the time at which the next Tick of any machine is due, or the zero time if no Tick is due.
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

// HandleDatagram validates one datagram and passes it to its group's machine, or drops it.
func (h *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	(*VRRPRouter)(h).receive(b, from)
}

// CheckTimers passes a change of the gateway's health to all machines, and a Tick to each machine whose timer is due.
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

// updateHealth passes the gateway's health to all machines if it has changed since the last call.
func (r *VRRPRouter) updateHealth() {
	if h := r.health(); h != r.lastHealth {
		r.lastHealth = h
		for _, g := range r.groups {
			r.handle(g, vrrp.HealthChanged{Health: h})
		}
	}
}

// handle passes an event to a group's machine and carries out the actions that the machine returns.
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

// carryOut carries out one action. It returns false if the action is an Activate and its listener could not be opened. In that case
// carryOut has passed an ActivateFailed to the machine and carried out the resulting actions, and the caller must skip the actions
// after the Activate.
func (r *VRRPRouter) carryOut(g *group, action vrrp.Action) bool {
	switch a := action.(type) {
	case vrrp.Activate:
		r.Counters.Activations.Add(1)
		if err := r.address.Activate(g.Name, g.Listen, r.mayTakeRequests(g)); err != nil {
			r.log.Error().Err(err).Str("group", g.Name).Msg("failed to open the floating listener")
			r.handle(g, vrrp.ActivateFailed(a))
			return false
		}
	case vrrp.Deactivate:
		r.Counters.Deactivations[a.Cause].Add(1)
		r.address.Deactivate(g.Name)
	case vrrp.SendAdvertisement:
		r.advertise(g, a)
		// The lease is extended only after the send. If the process stalls before the send, no peer receives the advertisement,
		// and a peer may take over the address. In that case the lease must not have been extended.
		g.leaseEnd.Store(int64(g.machine.Lease()))
	case vrrp.AnnounceAddress:
		r.announce(g)
	case vrrp.StateChanged:
		r.log.Info().Str("group", g.Name).Stringer("from", a.From).Stringer("to", a.To).Stringer("cause", a.Cause).
			Uint8("priority", g.machine.Priority()).Uint32("tenure", g.machine.Activation()).Msg("vrrp")
	}
	return true
}

// mayTakeRequests returns the gate of an activation, a function that reports whether the activation's lease is still valid. The
// gate reads the clock itself: if the lease has expired during a stall of the process, the gate returns false even for a goroutine
// that runs again before the router's goroutine does.
func (r *VRRPRouter) mayTakeRequests(g *group) func() bool {
	return func() bool { return int64(r.clock.Now()) <= g.leaseEnd.Load() }
}
