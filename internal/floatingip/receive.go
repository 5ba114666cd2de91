package floatingip

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
	"marblespan/internal/protocol/sealed"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// receive validates one datagram and passes it to its group's machine.
func (r *VRRPRouter) receive(b []byte, from netip.AddrPort) {
	r.Counters.Received.Add(1)
	g, m, fault := r.validate(b, from)
	if fault != sealed.NoFault {
		r.countDropped(fault, from)
		return
	}
	r.handle(g, vrrp.AdvertisementReceived{From: from.Addr(), Priority: m.Priority, AdvertisementInterval: clock.Micros(m.Interval)})
}

// validate finds the group of a datagram and verifies that the datagram is from a peer, authentic (codec.Parse) and not a replay.
// The cheap checks come first, so that no signature is verified for a datagram from an unknown address.
func (r *VRRPRouter) validate(b []byte, from netip.AddrPort) (*group, codec.Message, sealed.Fault) {
	var none codec.Message
	peer := r.peerByAddress(from)
	if peer == nil {
		return nil, none, sealed.WrongSource
	}
	vrid, ok := codec.VRID(b)
	if !ok {
		return nil, none, sealed.BadLength
	}
	g := r.groupByVRID(vrid)
	if g == nil {
		return nil, none, sealed.UnknownVRID
	}
	m, fault := codec.Parse(b, g.Addresses[0].Is4(), from.Addr(), r.settings.Bind.Addr(), r.settings.Keys)
	if fault != sealed.NoFault {
		return nil, none, fault
	}
	if m.Sender != peer.Node || m.Receiver != r.settings.Node {
		return nil, none, sealed.WrongPeer
	}
	fresh, startAdvanced := r.replayGuard.Accept(m.Sender, sealed.MessageID{Start: m.Start, Sequence: m.Sequence}, m.ReceiverStart)
	if startAdvanced {
		r.Counters.StartAdvanced.Add(1)
		r.log.Warn().Uint8("peer", m.Sender).Msg("peers know a later start time of this gateway, because its clock was set back; now using a start time after that one")
	}
	if !fresh {
		return nil, none, sealed.Replayed
	}
	if !slices.Equal(m.Addresses, g.Addresses) {
		return nil, none, sealed.OtherAddress
	}
	return g, m, sealed.NoFault
}

// countDropped counts and logs a datagram that validate has rejected.
func (r *VRRPRouter) countDropped(fault sealed.Fault, from netip.AddrPort) {
	r.Counters.Dropped[fault].Add(1)
	r.dropLog.Dropped(fault.Name(), from)
}

// peerByAddress returns the peer that sends from an address, or nil if there is none. No two peers in the settings share an
// address.
func (r *VRRPRouter) peerByAddress(from netip.AddrPort) *Peer {
	for i := range r.settings.Peers {
		if r.settings.Peers[i].Address == from {
			return &r.settings.Peers[i]
		}
	}
	return nil
}

// groupByVRID returns the group with a virtual router identifier, or nil if there is none. No two groups in the settings share an
// identifier.
func (r *VRRPRouter) groupByVRID(vrid uint8) *group {
	for _, g := range r.groups {
		if g.Machine.VRID == vrid {
			return g
		}
	}
	return nil
}
