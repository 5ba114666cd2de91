package floatingip

import (
	"net/netip"
	"sync/atomic"

	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// advertise sends an advertisement to every peer.
func (r *VRRPRouter) advertise(g *group, a vrrp.SendAdvertisement) {
	for _, p := range r.settings.Peers {
		o := r.replayGuard.NextID()
		b, err := codec.Append(nil, codec.Message{
			VRID: g.Machine.VRID, Priority: a.Priority, Interval: int64(a.AdvertisementInterval), Addresses: g.Addresses,
			Trailer: codec.Trailer{
				Sender: r.settings.Node, Receiver: p.Node, Start: o.Start, Sequence: o.Sequence, ReceiverStart: r.replayGuard.KnownStart(p.Node),
			},
		}, r.settings.Bind.Addr(), p.Address.Addr(), r.settings.Keys[0])
		r.send(b, err, p.Address, &r.Counters.Sent)
	}
}

// announce sends an announcement of the group's addresses to every announcement target, which then directs connections for these
// addresses here.
func (r *VRRPRouter) announce(g *group) {
	for _, to := range r.settings.AnnounceTo {
		o := r.replayGuard.NextID()
		b, err := codec.AppendAnnouncement(nil, codec.Announcement{
			VRID: g.Machine.VRID, Sender: r.settings.Node, Start: o.Start, Sequence: o.Sequence, Listen: g.Listen,
			Addresses: g.Addresses,
		}, r.settings.Keys[0])
		r.send(b, err, to, &r.Counters.Announced)
	}
}

// send sends one datagram and counts the outcome. err is the error of encoding the datagram, which also counts as a failed send.
func (r *VRRPRouter) send(b []byte, err error, to netip.AddrPort, sent *atomic.Int64) {
	if err == nil {
		err = r.loop.Send(b, to)
	}
	if err != nil {
		sent = &r.Counters.SendFailed
	}
	sent.Add(1)
}
