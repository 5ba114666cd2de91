package config

import (
	"net/netip"
	"time"

	"marblespan/internal/config/lines"
)

// The standard's default priority of a backup, and an advertisement interval that suits one room.
const (
	defaultPriority              = 100
	defaultAdvertisementInterval = 100 * time.Millisecond
)

// The bounds of an advertisement's interval on the wire; the lower one is its unit too.
const (
	minAdvertisementInterval = 10 * time.Millisecond
	maxAdvertisementInterval = 40950 * time.Millisecond
)

// VRRP is the section vrrp: how gateways speak with each other about floating addresses.
type VRRP struct {
	lines.Source
	Node     uint8            `conf:"node" validate:"required"`
	Bind     netip.AddrPort   `conf:"bind" validate:"required"`
	Peers    []Peer           `conf:"peer" validate:"max=16,unique=Node,unique=Address"`
	Keys     []Key            `conf:"key,secret" validate:"min=1,max=4,unique=Number,dive"`
	Announce []netip.AddrPort `conf:"announce" validate:"max=16"`
}

// Peer is another gateway.
type Peer struct {
	Node    uint8 `validate:"required"`
	Address netip.AddrPort
}

// Group is one section group: one floating address, or several that move together.
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
	DrainTimeout time.Duration  `conf:"drain-timeout" validate:"min=0,max=1000000000"` // for which a graceful shutdown waits for requests in flight
}

// Track lowers the priority by a step while a condition holds.
type Track struct {
	Condition string `validate:"oneof=no-server no-primary discovery-silent descriptors draining"`
	Step      uint8
}

// Damping holds back a gateway that loses the address within Window of winning it: for InitialHold, twice as long each time,
// at most for MaxHold.
type Damping struct{ Window, InitialHold, MaxHold time.Duration }

// Defaults are what the section has that it does not name.
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
			faults.add(v.Source, "peer", i, "%v is of another family than bind", peer.Address)
		}
	}
	if v.Bind.Addr().IsUnspecified() {
		faults.add(v.Source, "bind", 0, "%v is no address that peers could know this gateway by", v.Bind)
	}
	if len(operators.Groups) == 0 {
		faults.add(v.Source, "vrrp", 0, "there is no group to hold an address for")
	}
}

// checkGroups checks each group, and what no two of them may share.
func checkGroups(operators *Operators, faults *faultList) {
	vrids, names, listeners := map[uint8]string{}, map[string]bool{}, map[netip.AddrPort]string{} // the groups seen so far
	for _, g := range operators.Groups {
		if operators.VRRP == nil {
			faults.add(g.Source, "group", 0, "there is no vrrp section")
		}
		if other, ok := vrids[g.VRID]; ok {
			faults.add(g.Source, "vrid", 0, "%d is that of group %s too", g.VRID, other)
		}
		if other, ok := listeners[g.Listen]; ok {
			faults.add(g.Source, "listen", 0, "%v is that of group %s too", g.Listen, other)
		}
		if names[g.Name] {
			faults.add(g.Source, "group", 0, "%s is there twice", g.Name)
		}
		vrids[g.VRID], names[g.Name], listeners[g.Listen] = g.Name, true, g.Name
		g.check(faults)
	}
}

func (g *Group) check(faults *faultList) {
	for i, address := range g.Addresses {
		if address.Is4() != g.Addresses[0].Is4() {
			faults.add(g.Source, "address", i, "%v is of another family than the first", address)
		}
	}
	if g.Interval < minAdvertisementInterval || g.Interval > maxAdvertisementInterval || g.Interval%minAdvertisementInterval != 0 {
		faults.add(g.Source, "interval", 0, "%v is no multiple of 10ms from 10ms to 40.95s", g.Interval)
	}
	if g.Damping.InitialHold > g.Damping.MaxHold {
		faults.add(g.Source, "damp", 0, "the first hold, %v, is longer than the longest, %v", g.Damping.InitialHold, g.Damping.MaxHold)
	}
}
