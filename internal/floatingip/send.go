package floatingip

import (
	"net/netip"
	"sync/atomic"

	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// advertise sends an advertisement to every peer.
func (s *VRRPRouter) advertise(g *group, a vrrp.SendAdvertisement) {
	for _, p := range s.settings.Peers {
		o := s.replayGuard.NextID()
		b, err := codec.Append(nil, codec.Message{
			VRID: g.Machine.VRID, Priority: a.Priority, Interval: int64(a.AdvertisementInterval), Addresses: g.Addresses,
			Trailer: codec.Trailer{
				Sender: s.settings.Node, Receiver: p.Node, Start: o.Start, Sequence: o.Sequence, ReceiverStart: s.replayGuard.KnownStart(p.Node),
			},
		}, s.settings.Bind.Addr(), p.Address.Addr(), s.settings.Keys[0])
		s.send(b, err, p.Address, &s.Counters.Sent)
	}
}

// announce sends an announcement of the group's addresses to everyone who directs connections to them.
func (s *VRRPRouter) announce(g *group) {
	for _, to := range s.settings.AnnounceTo {
		o := s.replayGuard.NextID()
		b, err := codec.AppendAnnouncement(nil, codec.Announcement{
			VRID: g.Machine.VRID, Sender: s.settings.Node, Start: o.Start, Sequence: o.Sequence, Listen: g.Listen,
			Addresses: g.Addresses,
		}, s.settings.Keys[0])
		s.send(b, err, to, &s.Counters.Announced)
	}
}

// send writes one datagram, unless encoding it failed, and counts the outcome.
func (s *VRRPRouter) send(b []byte, err error, to netip.AddrPort, sent *atomic.Int64) {
	if err == nil {
		err = s.loop.Send(b, to)
	}
	if err != nil {
		sent = &s.Counters.SendFailed
	}
	sent.Add(1)
}
