package floatingip

import (
	"net/netip"
	"time"

	"marblespan/internal/clock"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// AddressHandler is what the program does when an address is won or lost. Both methods run on the router's goroutine and must
// not wait for clients.
type AddressHandler interface {
	// Activate opens the listener of a group. gate tells, at any time and on any goroutine, whether the activation may
	// still take requests.
	Activate(group string, listen netip.AddrPort, gate func() bool) error
	// Deactivate closes the listener. Requests already taken are answered before their clients are closed.
	Deactivate(group string)
}

// Peer is another gateway that takes part.
type Peer struct {
	Node    uint8
	Address netip.AddrPort
}

// Group is one floating address, or several that move together: a virtual router of RFC 9568.
type Group struct {
	Name      string
	Addresses []netip.Addr
	Listen    netip.AddrPort
	Machine   vrrp.Config
	// KeepUntilTakenOver: a gateway that is shutting down keeps the address, at its lowered priority, until a peer takes it.
	KeepUntilTakenOver bool
}

// Settings are the operators' settings. A reload may change all but Node, Bind and each group's name, addresses and listener.
type Settings struct {
	Node       uint8
	Bind       netip.AddrPort
	Peers      []Peer
	Keys       []codec.Key // the first one signs
	AnnounceTo []netip.AddrPort
	Groups     []Group
}

// Clock is a clock that never steps back. Time converts one of its times.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}
