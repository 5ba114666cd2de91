package config

import (
	"net/netip"
	"time"

	"marblespan/internal/config/lines"
)

// The defaults of a group. The priority is the default of RFC 9568 for a backup. The interval suits gateways in one room.
const (
	defaultPriority              = 100
	defaultAdvertisementInterval = 100 * time.Millisecond
)

// The bounds of the advertisement interval that a VRRP packet can carry. The lower bound is also the unit of the interval.
const (
	minAdvertisementInterval = 10 * time.Millisecond
	maxAdvertisementInterval = 40950 * time.Millisecond
)

// VRRP is the section vrrp. It sets how the gateways exchange messages about floating addresses.
type VRRP struct {
	lines.Source
	Node     uint8            `conf:"node" validate:"required"`
	Bind     netip.AddrPort   `conf:"bind" validate:"required"`
	Peers    []Peer           `conf:"peer" validate:"max=16,unique=Node,unique=Address"`
	Keys     []Key            `conf:"key,secret" validate:"min=1,max=4,unique=Number,dive"`
	Announce []netip.AddrPort `conf:"announce" validate:"max=16"`
}

// Peer holds the node number of another gateway and the address of that gateway's VRRP socket.
type Peer struct {
	Node    uint8 `validate:"required"`
	Address netip.AddrPort
}

// Group is a section group. It describes one or more floating addresses that move together.
type Group struct {
	lines.Source
	Name         string         `title:"true" validate:"required,max=40"`
	VRID         uint8          `conf:"vrid" validate:"required"`
	Addresses    []netip.Addr   `conf:"address" validate:"min=1,max=16,unique"`
	Listen       netip.AddrPort `conf:"listen" validate:"required"`
	Priority     uint8          `conf:"priority" validate:"min=1"`
	Interval     time.Duration  `conf:"interval"`
	Preempt      bool           `conf:"preempt"`
	PreemptDelay time.Duration  `conf:"preempt-delay" validate:"max=3600000000000"`
	Track        []Track        `conf:"track" validate:"unique=Condition,dive"`
	Damping      Damping        `conf:"damp"`
	DrainTimeout time.Duration  `conf:"drain-timeout" validate:"min=0,max=1000000000"` // how long a graceful shutdown waits for requests in flight
}

// Track lowers the group's priority by Step while Condition holds.
type Track struct {
	Condition string `validate:"oneof=no-server no-primary discovery-silent descriptors draining"`
	Step      uint8
}

// Damping delays the next activation of a gateway that loses the address within Window after the gateway became active. The first
// delay is InitialHold. Each further delay is twice as long as the previous delay, up to MaxHold.
type Damping struct{ Window, InitialHold, MaxHold time.Duration }

// Defaults sets the values that apply where the file does not set a directive of the section.
func (g *Group) Defaults() {
	g.Priority, g.Interval, g.Preempt, g.DrainTimeout = defaultPriority, defaultAdvertisementInterval, true, 50*time.Millisecond
	g.Damping = Damping{Window: 2 * time.Second, InitialHold: 500 * time.Millisecond, MaxHold: 5 * time.Second}
}

func (v *VRRP) check(operators *Operators, faults *faultList) {
	for i, peer := range v.Peers {
		if peer.Node == v.Node {
			faults.add(v.Source, "peer", i, "%d is this gateway's own number", peer.Node)
		}
		if peer.Address == v.Bind {
			faults.add(v.Source, "peer", i, "%v is this gateway's own address", peer.Address)
		}
		if peer.Address.Addr().Is4() != v.Bind.Addr().Is4() {
			faults.add(v.Source, "peer", i, "%v is not of the same address family as bind", peer.Address)
		}
	}
	if v.Bind.Addr().IsUnspecified() {
		faults.add(v.Source, "bind", 0, "%v is not an address at which peers can reach this gateway", v.Bind)
	}
	if len(operators.Groups) == 0 {
		faults.add(v.Source, "vrrp", 0, "requires a group section with a floating address")
	}
}

// checkGroups checks each group, and that no two groups have the same name, VRID or listen address.
func checkGroups(operators *Operators, faults *faultList) {
	vrids, names, listeners := map[uint8]string{}, map[string]bool{}, map[netip.AddrPort]string{} // taken by the groups checked so far
	for _, g := range operators.Groups {
		if operators.VRRP == nil {
			faults.add(g.Source, "group", 0, "requires a vrrp section")
		}
		if other, ok := vrids[g.VRID]; ok {
			faults.add(g.Source, "vrid", 0, "%d is already used by group %s", g.VRID, other)
		}
		if other, ok := listeners[g.Listen]; ok {
			faults.add(g.Source, "listen", 0, "%v is already used by group %s", g.Listen, other)
		}
		if names[g.Name] {
			faults.add(g.Source, "group", 0, "duplicate name %s", g.Name)
		}
		vrids[g.VRID], names[g.Name], listeners[g.Listen] = g.Name, true, g.Name
		g.check(faults)
	}
}

func (g *Group) check(faults *faultList) {
	for i, address := range g.Addresses {
		if address.Is4() != g.Addresses[0].Is4() {
			faults.add(g.Source, "address", i, "%v is not of the same address family as the first address", address)
		}
	}
	if g.Interval < minAdvertisementInterval || g.Interval > maxAdvertisementInterval || g.Interval%minAdvertisementInterval != 0 {
		faults.add(g.Source, "interval", 0, "invalid value %v: must be a multiple of 10ms from 10ms to 40.95s", g.Interval)
	}
	if g.Damping.InitialHold > g.Damping.MaxHold {
		faults.add(g.Source, "damp", 0, "initial hold %v exceeds maximum hold %v", g.Damping.InitialHold, g.Damping.MaxHold)
	}
}
