package golden

import (
	"net/netip"
	"reflect"
	"testing"

	"marblespan/internal/membership"
	"marblespan/internal/protocol/advisories"
	"marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/protocol/vrrp"
)

var (
	ip4, ip4b     = netip.MustParseAddr("192.0.2.10"), netip.MustParseAddr("192.0.2.11")
	ip6, ip6b     = netip.MustParseAddr("2001:db8::1"), netip.MustParseAddr("2001:db8::2")
	address4      = netip.AddrPortFrom(ip4, 7946)
	address6      = netip.AddrPortFrom(ip6, 7947)
	goldenTrailer = sealed.Trailer{Key: 1, Sender: 3, Receiver: 4, Start: 1_790_000_000_000_000, Sequence: 6, ReceiverStart: 1_790_000_000_000_007}
)

// memberMessage returns a message of membership in which every field is set and every state has a record.
func memberMessage(kind membership.Kind) membership.Message {
	return membership.Message{
		Kind: kind, From: "gw-1", Generation: 1_790_000_000_000_001, Incarnation: 3, To: "gw-2", ToGeneration: 1_790_000_000_000_002, Number: 77,
		Target: "gw-3", TargetAddress: address6, Origin: "gw-4", OriginNumber: 9, DirectPingReceived: true, Digest: 0xfeedfacecafebeef,
		Records: []membership.Record{
			{Name: "gw-1", Address: address4, Generation: 5, Incarnation: 1, State: membership.Alive, Meta: membership.Meta{
				Zone: "a", Weight: 7, Version: "0.3.0", Settings: 12, Flags: membership.Draining | membership.Stalled | membership.NoDisk}},
			{Name: "gw-3", Address: address6, Generation: 6, State: membership.Suspect, ReportedBy: "gw-1", Meta: membership.Meta{Flags: membership.Draining}},
			{Name: "gw-4", Address: address4, Generation: 7, State: membership.Dead, ReportedBy: "gw-2", Meta: membership.Meta{Flags: membership.Stalled}},
			{Name: "gw-5", Address: address4, Generation: 8, State: membership.Left, Meta: membership.Meta{Flags: membership.NoDisk}},
		},
		Paths: []membership.PathState{
			{Reporter: "gw-1", Peer: "gw-3", Generation: 9, Number: 2, OutboundLost: true}, {Reporter: "gw-1", Peer: "gw-5", Generation: 9, Number: 3, InboundLost: true},
		},
	}
}

func TestMembershipDatagrams(t *testing.T) {
	kinds := []struct {
		name string
		kind membership.Kind
	}{
		{"ping", membership.Ping}, {"ack", membership.Ack}, {"ping-for", membership.IndirectPing}, {"nack", membership.Nack}, {"refuse", membership.Reject},
	}
	if last := kinds[len(kinds)-1].kind; (last + 1).Known() {
		t.Errorf("kind %d has no golden file", last+1)
	}
	for _, c := range kinds {
		t.Run(c.name, func(t *testing.T) {
			want := memberMessage(c.kind)
			encoded, err := members.Append(nil, want, goldenTrailer, "golden", key)
			if err != nil {
				t.Fatal(err)
			}
			file := golden(t, "members/"+c.name, encoded)
			got, trailer, fault := members.Parse(file, "golden", []sealed.Key{key})
			if fault != sealed.NoFault || trailer != goldenTrailer || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded as %v %+v %+v", fault, trailer, got)
			}
			rejectsFlips(t, file, func(b []byte) bool {
				_, _, fault := members.Parse(b, "golden", []sealed.Key{key})
				return fault == sealed.NoFault
			})
		})
	}
}

func TestAdvertisements(t *testing.T) {
	for _, c := range []struct {
		name      string
		addresses []netip.Addr
	}{{"ipv4", []netip.Addr{ip4, ip4b}}, {"ipv6", []netip.Addr{ip6, ip6b}}} {
		t.Run(c.name, func(t *testing.T) {
			want := vrrp.Message{VRID: 51, Priority: 200, Interval: 120_000, Addresses: c.addresses, Trailer: goldenTrailer}
			encoded, err := vrrp.Append(nil, want, ip6, ip6b, key)
			if err != nil {
				t.Fatal(err)
			}
			file := golden(t, "vrrp/"+c.name, encoded)
			parse := func(b []byte) (vrrp.Message, sealed.Fault) {
				return vrrp.Parse(b, c.addresses[0].Is4(), ip6, ip6b, []vrrp.Key{key})
			}
			if got, fault := parse(file); fault != sealed.NoFault || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded as %v %+v", fault, got)
			}
			rejectsFlips(t, file, func(b []byte) bool { _, fault := parse(b); return fault == sealed.NoFault })
		})
	}
}

func TestAnnouncement(t *testing.T) {
	want := vrrp.Announcement{
		VRID: 51, Key: 1, Sender: 3, Start: 1_790_000_000_000_000, Sequence: 4, Listen: netip.AddrPortFrom(ip4b, 6434), Addresses: []netip.Addr{ip4, ip6},
	}
	encoded, err := vrrp.AppendAnnouncement(nil, want, key)
	if err != nil {
		t.Fatal(err)
	}
	file := golden(t, "vrrp/announcement", encoded)
	if got, fault := vrrp.ParseAnnouncement(file, []vrrp.Key{key}); fault != sealed.NoFault || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %v %+v", fault, got)
	}
	rejectsFlips(t, file, func(b []byte) bool {
		_, fault := vrrp.ParseAnnouncement(b, []vrrp.Key{key})
		return fault == sealed.NoFault
	})
}

// The golden file of a batch of advisories is notices/batch. Advisories carry no signature.
func TestNotices(t *testing.T) {
	want := advisories.Batch{Incarnation: 7, Sequence: 9, Advisories: []advisories.Advisory{
		{UID: "s-1", Start: 1_790_000_000_123, Healthy: true, Age: 40, Role: advisories.RolePrimary, RoleAge: 90, Position: 1_790_000_001_000,
			Load: []advisories.Field{{Index: 0, Value: 610}, {Index: 3, Value: 1 << 40}}},
		{UID: "s-2", Role: advisories.RoleReplica, Age: advisories.MaxAge, Position: 5},
		{UID: "s-3", Load: []advisories.Field{{Index: 1, Value: 2}}},
		{UID: "s-4"},
	}}
	var encoded []byte
	if _, err := advisories.Append(want.Incarnation, want.Sequence, want.Advisories, func(b []byte) { encoded = b }); err != nil {
		t.Fatal(err)
	}
	if got, err := advisories.Parse(golden(t, "notices/batch", encoded)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %v %+v", err, got)
	}
}
