// Package floatingip connects the VRRP state machines of internal/vrrp to the network. A VRRPRouter has one UDP socket and one
// goroutine, which owns the machines of all groups; internal/gateway starts and closes it. The router makes no decisions itself:
// VRRPRouter.validate passes authentic messages of peers to the machines, and VRRPRouter.handle carries out the machines' actions
// on the network or through the program's AddressHandler. Every request at a floating address must first pass the lease check
// that VRRPRouter.mayTakeRequests returns.
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

// VRRPRouter takes part in VRRP for all groups of a gateway. All its state except the counters and each group's leaseEnd is owned
// by the goroutine of its loop.
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

// Counters holds the router's counters since its start. They may be read from any goroutine.
type Counters struct {
	Sent, SendFailed, Received, Announced, Activations, StartAdvanced atomic.Int64
	Dropped                                                           [sealed.FaultCount]atomic.Int64
	Deactivations                                                     [vrrp.CauseCount]atomic.Int64 // number of deactivations by cause
}

// group is a Group with its VRRP state machine.
type group struct {
	Group
	machine  vrrp.Machine
	leaseEnd atomic.Int64 // time until which requests may be accepted, in clock.Micros; 0: the gateway is not active
}

// Start binds the socket and starts the router's goroutine, which starts the machine of every group. Close ends the goroutine.
// start is the system clock's time in microseconds of Unix time; it serves only to distinguish this incarnation of the gateway
// from earlier and later ones.
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

// Addr returns the address that the socket is bound to.
func (r *VRRPRouter) Addr() netip.AddrPort { return r.loop.Addr() }

// SocketErrors returns how many reads from the socket returned an error instead of a datagram.
func (r *VRRPRouter) SocketErrors() int64 { return r.loop.SocketErrors.Load() }

// runOnLoop runs a function on the router's goroutine and waits until it returns. If the router is closed, runOnLoop returns
// false and does not run the function.
func (r *VRRPRouter) runOnLoop(do func()) bool { return r.loop.Do(do) }

// Reload applies new peers, keys, announcement targets and settings of the machines. Groups are matched by name; their names,
// addresses and listeners do not change.
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

// Shutdown releases the addresses at once. Groups with KeepUntilTakenOver are skipped unless everyGroup is set.
func (r *VRRPRouter) Shutdown(everyGroup bool) {
	r.runOnLoop(func() {
		for _, g := range r.groups {
			if everyGroup || !g.KeepUntilTakenOver {
				r.handle(g, vrrp.Shutdown{})
			}
		}
	})
}

// Startup makes every group that was shut down take part in VRRP again.
func (r *VRRPRouter) Startup() {
	r.runOnLoop(func() {
		for _, g := range r.groups {
			r.handle(g, vrrp.Startup{})
		}
	})
}

// Close releases all addresses that this gateway still holds, ends the router's goroutine and closes the socket.
func (r *VRRPRouter) Close() {
	r.Shutdown(true)
	r.loop.Close()
}

// Stall blocks the router's goroutine for a duration. Tests use it to simulate a stalled process.
func (r *VRRPRouter) Stall(duration time.Duration) { r.runOnLoop(func() { time.Sleep(duration) }) }
