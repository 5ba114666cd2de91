// Package floatingip joins the VRRP machines of internal/vrrp to the network. A VRRPRouter has one UDP socket and one goroutine,
// which owns the machines of all groups; internal/gateway starts and closes it. It decides nothing: VRRPRouter.validate passes
// on the authentic messages of peers, VRRPRouter.handle carries out what a machine asks for, on the network or by the
// program's AddressHandler. VRRPRouter.mayTakeRequests is the check of the lease that requests go through.
package floatingip

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/datagrams"
	"marblespan/internal/protocol/sealed"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// VRRPRouter takes part in VRRP for all groups of a gateway. All but its counters and each group's leaseEnd belong to the
// goroutine of its loop.
type VRRPRouter struct {
	settings Settings
	clock    Clock
	address  AddressHandler
	health   func() vrrp.Health
	log      zerolog.Logger

	loop        *datagrams.Loop
	replayGuard *sealed.ReplayGuard[uint8]
	groups      []*group
	lastHealth  vrrp.Health
	dropLog     *datagrams.DropLog

	Counters Counters
}

// Counters count since the start of the router. They may be read from any goroutine.
type Counters struct {
	Sent, SendFailed, Received, Announced, Activations, StartAdvanced atomic.Int64
	Dropped                                                           [sealed.FaultCount]atomic.Int64
	Deactivations                                                     [vrrp.CauseCount]atomic.Int64 // by cause
}

// group is a Group with its machine.
type group struct {
	Group
	machine  vrrp.Machine
	leaseEnd atomic.Int64 // until when requests may be taken, in clock.Micros; 0: not active
}

// Start binds the socket and starts every group. Close ends the goroutine that it starts. start is the system clock's time in
// microseconds of Unix time; it only tells this incarnation of the gateway from the others.
func Start(s Settings, clock Clock, start uint64, address AddressHandler, health func() vrrp.Health, log zerolog.Logger) (
	*VRRPRouter, error,
) {
	loop, err := datagrams.Listen(s.Bind, codec.MaxSize)
	if err != nil {
		return nil, err
	}
	router := &VRRPRouter{
		settings: s, clock: clock, address: address, health: health, log: log, loop: loop,
		replayGuard: sealed.NewReplayGuard[uint8](start, 0), dropLog: datagrams.NewDropLog(log, "vrrp message dropped"),
	}
	for _, g := range s.Groups {
		router.groups = append(router.groups, &group{Group: g, machine: vrrp.New(g.Machine)})
	}
	go loop.Run((*loopHandler)(router))
	return router, nil
}

// Addr is the address that the socket is bound to.
func (r *VRRPRouter) Addr() netip.AddrPort { return r.loop.Addr() }

// SocketErrors counts errors of the socket that came instead of a datagram.
func (r *VRRPRouter) SocketErrors() int64 { return r.loop.SocketErrors.Load() }

// runOnLoop runs a function on the router's goroutine and waits for it. It returns false where the router is closed and the
// function did not run.
func (r *VRRPRouter) runOnLoop(do func()) bool { return r.loop.Do(do) }

// Reload takes over new peers, keys, announcement targets and the machines' settings. Groups are matched by name; their names,
// addresses and listeners stay.
func (r *VRRPRouter) Reload(next Settings) {
	r.runOnLoop(func() {
		next.Node, next.Bind = r.settings.Node, r.settings.Bind
		byName := map[string]Group{}
		for _, g := range next.Groups {
			byName[g.Name] = g
		}
		r.settings = next
		r.replayGuard.Retain(func(node uint8) bool {
			return slices.ContainsFunc(next.Peers, func(p Peer) bool { return p.Node == node })
		})
		for _, g := range r.groups {
			if n, ok := byName[g.Name]; ok {
				g.KeepUntilTakenOver = n.KeepUntilTakenOver
				g.Machine.Priority, g.Machine.AdvertisementInterval = n.Machine.Priority, n.Machine.AdvertisementInterval
				r.handle(g, vrrp.ConfigChanged{Config: n.Machine})
			}
		}
	})
}

// Shutdown releases every address at once. Groups with KeepUntilTakenOver are left out unless everyGroup is set.
func (r *VRRPRouter) Shutdown(everyGroup bool) {
	r.runOnLoop(func() {
		for _, g := range r.groups {
			if everyGroup || !g.KeepUntilTakenOver {
				r.handle(g, vrrp.Shutdown{})
			}
		}
	})
}

// Startup has every group that was shut down take part again.
func (r *VRRPRouter) Startup() {
	r.runOnLoop(func() {
		for _, g := range r.groups {
			r.handle(g, vrrp.Startup{})
		}
	})
}

// Close releases what is still held, ends the router's goroutine and closes the socket.
func (r *VRRPRouter) Close() {
	r.Shutdown(true)
	r.loop.Close()
}

// Stall blocks the router's goroutine for a duration. It is for tests of a stalled process.
func (r *VRRPRouter) Stall(duration time.Duration) { r.runOnLoop(func() { time.Sleep(duration) }) }
