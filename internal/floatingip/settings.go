package floatingip

import (
	"net/netip"
	"time"

	"marblespan/internal/clock"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// AddressHandler is implemented by the program to act when this gateway becomes active for a floating address and when it stops
// being active. Both methods run on the router's goroutine and must not wait for clients.
type AddressHandler interface {
	// Activate opens the listener of a group. The function gate reports whether the activation may still accept requests;
	// gate may be called at any time and on any goroutine.
	Activate(group string, listen netip.AddrPort, gate func() bool) error
	// Deactivate closes the listener. Requests that were already accepted are answered before their clients' connections are
	// closed.
	Deactivate(group string)
}

// Peer is another gateway that takes part in VRRP for the same addresses.
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
	// KeepUntilTakenOver makes a gateway that is shutting down keep the address until a peer takes it over. The gateway advertises
	// a lowered priority meanwhile.
	KeepUntilTakenOver bool
}

// Settings are the operators' settings. A reload may change all of them except Node, Bind and each group's name, addresses and
// listener.
type Settings struct {
	Node       uint8
	Bind       netip.AddrPort
	Peers      []Peer
	Keys       []codec.Key // the first key signs; signatures of all keys are accepted
	AnnounceTo []netip.AddrPort
	Groups     []Group
}

// Clock is a monotonic clock. Now returns the clock's current time, and Time converts a time of the clock to a time.Time.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}
