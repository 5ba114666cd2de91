package members

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"marblespan/api"
	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

var (
	key1 = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}
	key2 = sealed.Key{Number: 2, Secret: []byte("another secret, also long enough")}
	at4  = netip.MustParseAddrPort("127.0.0.2:7946")
	at6  = netip.MustParseAddrPort("[2001:db8::1]:7946")
)

// fullMessage is a message with every field set.
func fullMessage() membership.Message {
	return membership.Message{
		Kind: membership.IndirectPing, From: "gw-1", Generation: 1_790_000_000_000_000, Incarnation: 3, To: "gw-2", ToGeneration: 1_790_000_000_000_001,
		Number: 77, Target: "gw-3", TargetAddress: at6, Origin: "gw-4", OriginNumber: 9, DirectPingReceived: true, Digest: 0xfeedfacecafebeef,
		Records: []membership.Record{
			{Name: "gw-3", Address: at4, Generation: 5, Incarnation: 1, State: membership.Suspect, ReportedBy: "gw-1", Meta: membership.Meta{
				Zone: "a", Weight: 7, Version: "0.3.0", Settings: 12, Flags: membership.Draining | membership.NoDisk}},
			{Name: "gw-5", Address: at6, Generation: 6, State: membership.Left},
		},
		Paths: []membership.PathState{{Reporter: "gw-1", Peer: "gw-3", Generation: 8, Number: 2, OutboundLost: true}, {Reporter: "gw-1", Peer: "gw-5", Generation: 8, Number: 2, InboundLost: true}},
	}
}

// The generated code of api/members.proto decodes the messages that this package encodes, and encodes them to the same bytes.
func TestSameAsGenerated(t *testing.T) {
	for _, m := range []membership.Message{fullMessage(), {Kind: membership.Ping, From: "a", Generation: 1}} {
		b := AppendMessage(nil, m)
		var g api.Message
		if err := proto.Unmarshal(b, &g); err != nil {
			t.Fatal(err)
		}
		if len(g.ProtoReflect().GetUnknown()) > 0 || g.GetFrom() != m.From || g.GetDigest() != m.Digest || len(g.GetRecords()) != len(m.Records) {
			t.Errorf("%v", &g)
		}
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&g)
		if err != nil || !bytes.Equal(again, b) {
			t.Errorf("%v\n%x\n%x", err, b, again)
		}
		if got, fault := ParseMessage(again); fault != sealed.NoFault || !reflect.DeepEqual(got, m) {
			t.Errorf("%v\n%+v\n%+v", fault, got, m)
		}
	}
}

func TestFaults(t *testing.T) {
	good, err := Append(nil, fullMessage(), sealed.Trailer{Start: 1, Sequence: 2, ReceiverStart: 3}, "here", key1)
	if err != nil {
		t.Fatal(err)
	}
	if m, tr, f := Parse(good, "here", []sealed.Key{key2, key1}); f != sealed.NoFault || !reflect.DeepEqual(m, fullMessage()) || tr.ReceiverStart != 3 {
		t.Fatalf("%v %+v %+v", f, m, tr)
	}
	change := func(do func(*membership.Message)) []byte {
		m := fullMessage()
		do(&m)
		b, _ := Append(nil, m, sealed.Trailer{}, "here", key1)
		return b
	}
	raw := func(b []byte) []byte { return sealed.Append(b, 0, sealed.Trailer{}, purpose+"here\x00", key1) }
	set := func(b []byte, i int, v byte) []byte { b = bytes.Clone(b); b[i] = v; return b }
	for _, c := range []struct {
		name string
		b    []byte
		want sealed.Fault
	}{
		{"empty", nil, sealed.BadLength},
		{"only a trailer", good[len(good)-sealed.Size:], sealed.BadLength},
		{"far too long", make([]byte, 9000), sealed.BadLength},
		{"another trailer version", set(good, len(good)-sealed.Size, 2), sealed.BadVersion},
		{"unknown key", set(good, len(good)-sealed.Size+1, 3), sealed.UnknownKey},
		{"another key's number", set(good, len(good)-sealed.Size+1, 2), sealed.BadMAC},
		{"changed", set(good, 5, good[5]^1), sealed.BadMAC},
		{"not a message", raw([]byte{0xff, 0xff, 0xff}), sealed.BadMessage},
		{"a field of another wire type", raw(protowire.AppendVarint(protowire.AppendTag(nil, fieldFrom, protowire.VarintType), 1)), sealed.BadMessage},
		{"truncated", raw(AppendMessage(nil, fullMessage())[:30]), sealed.BadMessage},
		{"a later kind", change(func(m *membership.Message) { m.Kind = 99 }), sealed.BadKind},
		{"no kind", change(func(m *membership.Message) { m.Kind = 0 }), sealed.BadKind},
		{"no sender", change(func(m *membership.Message) { m.From = "" }), sealed.BadValue},
		{"a long name", change(func(m *membership.Message) { m.From = strings.Repeat("x", 41) }), sealed.BadValue},
		{"a name with a line break", change(func(m *membership.Message) { m.From = "a\nb" }), sealed.BadValue},
		{"no generation", change(func(m *membership.Message) { m.Generation = 0 }), sealed.BadValue},
		{"an indirect ping without a target", change(func(m *membership.Message) { m.Target = "" }), sealed.BadValue},
		{"a record without a name", change(func(m *membership.Message) { m.Records[0].Name = "" }), sealed.BadValue},
		{"a record without an address", change(func(m *membership.Message) { m.Records[0].Address = netip.AddrPort{} }), sealed.BadValue},
		{"a port of 0", change(func(m *membership.Message) { m.Records[0].Address = netip.AddrPortFrom(at4.Addr(), 0) }), sealed.BadValue},
		{"an unknown state", change(func(m *membership.Message) { m.Records[0].State = 4 }), sealed.BadValue},
		{"a suspect without a reporter", change(func(m *membership.Message) { m.Records[0].ReportedBy = "" }), sealed.BadValue},
		{"a path without a reporter", change(func(m *membership.Message) { m.Paths[0].Reporter = "" }), sealed.BadValue},
	} {
		t.Run(c.name, func(t *testing.T) {
			if msg, _, fault := Parse(c.b, "here", []sealed.Key{key1, key2}); fault != c.want || msg.From != "" {
				t.Errorf("got %v from %q, want %v and no message", fault, msg.From, c.want)
			}
		})
	}
	if _, _, f := Parse(good, "elsewhere", []sealed.Key{key1}); f != sealed.BadMAC {
		t.Errorf("another deployment: got %v, want %v", f, sealed.BadMAC)
	}
	// Fields of a later version are skipped, in the message and in its records.
	later := protowire.AppendString(protowire.AppendTag(AppendMessage(nil, fullMessage()), 99, protowire.BytesType), "later")
	if m, f := ParseMessage(later); f != sealed.NoFault || !reflect.DeepEqual(m, fullMessage()) {
		t.Errorf("%v %+v", f, m)
	}
	long := fullMessage()
	for range 40 {
		long.Records = append(long.Records, long.Records[0])
	}
	if _, err := Append(nil, long, sealed.Trailer{}, "", key1); !errors.Is(err, ErrSize) {
		t.Errorf("got %v, want %v", err, ErrSize)
	}
}

// A message that is parsed without a fault is the same after it is encoded and parsed again.
func FuzzParseMessage(f *testing.F) {
	f.Add(AppendMessage(nil, fullMessage()))
	f.Add([]byte{8, 1, 18, 1, 'a', 24, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, fault := ParseMessage(b)
		if fault != sealed.NoFault {
			return
		}
		if again, fault := ParseMessage(AppendMessage(nil, m)); fault != sealed.NoFault || !reflect.DeepEqual(m, again) {
			t.Errorf("%v\n%+v\n%+v", fault, m, again)
		}
	})
}
