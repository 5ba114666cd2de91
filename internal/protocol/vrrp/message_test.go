package vrrp

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"marblespan/internal/protocol/sealed"
	"net/netip"
	"slices"
	"testing"
)

var (
	from4, to4 = netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")
	key1       = Key{Number: 1, Secret: []byte("a secret of sixteen or more")}
	key2       = Key{Number: 2, Secret: []byte("another secret, also long enough")}
)

func sample() Message {
	return Message{
		VRID: 51, Priority: 200, Interval: 100_000, Addresses: []netip.Addr{netip.MustParseAddr("192.0.2.10")},
		Trailer: Trailer{Key: 1, Sender: 1, Receiver: 2, Start: 1_700_000_000_000_000, Sequence: 7, ReceiverStart: 9},
	}
}

func encode(t *testing.T, m Message) []byte {
	t.Helper()
	b, err := Append(nil, m, from4, to4, key1)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The header has the layout of RFC 9568, byte by byte. The expected checksum was computed by hand:
// 3133+c801+000a+c000+020a = 1bb48 -> bb49, complement 44b6.
func TestLayout(t *testing.T) {
	b := encode(t, sample())
	if got := hex.EncodeToString(b[:12]); got != "3133c801000a44b6c000020a" {
		t.Errorf("head %s", got)
	}
	if len(b) != 12+trailerSize+macSize {
		t.Errorf("%d bytes", len(b))
	}
	h := hmac.New(sha256.New, key1.Secret)
	h.Write([]byte("marblespan vrrp 1\x00"))
	h.Write(b[:len(b)-32])
	if !bytes.Equal(h.Sum(nil), b[len(b)-32:]) {
		t.Error("the MAC does not cover exactly the bytes before it")
	}
}

func TestRoundTrip(t *testing.T) {
	six := sample()
	six.Addresses = []netip.Addr{netip.MustParseAddr("2001:db8::1"), netip.MustParseAddr("2001:db8::2")}
	six.Priority, six.Interval = 0, 40_950_000
	for _, m := range []Message{sample(), six} {
		b := encode(t, m)
		got, fault := Parse(b, m.Addresses[0].Is4(), from4, to4, []Key{key2, key1})
		if fault != sealed.NoFault || got.VRID != m.VRID || got.Priority != m.Priority || got.Interval != m.Interval ||
			!slices.Equal(got.Addresses, m.Addresses) || got.Trailer != m.Trailer {
			t.Errorf("%v %+v", fault, got)
		}
	}
	// The checksum of an IPv6 group's message covers the UDP addresses of sender and receiver.
	if _, fault := Parse(encode(t, six), false, to4, netip.MustParseAddr("127.0.0.9"), []Key{key1}); fault != sealed.BadChecksum {
		t.Errorf("%v", fault)
	}
}

// change alters a message and then recomputes its checksum and MAC, so that only the change itself can cause a fault.
func change(b []byte, do func([]byte) []byte) []byte {
	b = do(bytes.Clone(b))
	if len(b) < 12+trailerSize+macSize {
		return b
	}
	body := len(b) - trailerSize - macSize
	b[6], b[7] = 0, 0
	sum := checksum(b[:body], true, from4, to4)
	b[6], b[7] = byte(sum>>8), byte(sum)
	copy(b[len(b)-macSize:], key1.MAC(macPurpose, b[:len(b)-macSize]))
	return b
}

func TestParseFaults(t *testing.T) {
	good := encode(t, sample())
	set := func(i int, v byte) func([]byte) []byte { return func(b []byte) []byte { b[i] = v; return b } }
	for _, c := range []struct {
		name string
		b    []byte
		want sealed.Fault
	}{
		{"nothing", nil, sealed.BadLength},
		{"a header only", good[:8], sealed.BadLength},
		{"one byte short", good[:len(good)-1], sealed.BadLength},
		{"one byte more", append(bytes.Clone(good), 0), sealed.BadLength},
		{"far too long", make([]byte, 9000), sealed.BadLength},
		{"version 2", change(good, set(0, 0x21)), sealed.BadVersion},
		{"type 2", change(good, set(0, 0x32)), sealed.BadType},
		{"no address", change(good, set(3, 0)), sealed.BadCount},
		{"17 addresses", change(good, set(3, 17)), sealed.BadCount},
		{"more addresses than there are", change(good, set(3, 2)), sealed.BadLength},
		{"reserved bits", change(good, set(4, 0x10)), sealed.BadReserved},
		{"interval 0", change(good, set(5, 0)), sealed.BadInterval},
		{"damaged", set(10, 9)(bytes.Clone(good)), sealed.BadChecksum},
		{"another trailer", change(good, set(12, 2)), sealed.BadVersion},
		{"unknown key", change(good, set(13, 3)), sealed.UnknownKey},
		{"another key's number", change(good, set(13, 2)), sealed.BadMAC},
		{"another sequence", set(12+19, 8)(bytes.Clone(good)), sealed.BadMAC},
		{"another signature", set(len(good)-1, good[len(good)-1]^1)(bytes.Clone(good)), sealed.BadMAC},
	} {
		t.Run(c.name, func(t *testing.T) {
			if m, fault := Parse(c.b, true, from4, to4, []Key{key1, key2}); fault != c.want || m.VRID != 0 {
				t.Errorf("%v, want %v", fault, c.want)
			}
		})
	}
	// Flipping any single bit causes a fault.
	for i := range len(good) * 8 {
		b := bytes.Clone(good)
		b[i/8] ^= 1 << (i % 8)
		if _, fault := Parse(b, true, from4, to4, []Key{key1}); fault == sealed.NoFault {
			t.Errorf("bit %d flipped unnoticed", i)
		}
	}
}

func TestAppendErrors(t *testing.T) {
	for _, c := range []struct {
		change func(*Message)
		want   error
	}{
		{func(m *Message) { m.Addresses = nil }, ErrAddresses},
		{func(m *Message) { m.Addresses = make([]netip.Addr, 1) }, ErrAddresses},
		{func(m *Message) { m.Addresses = append(m.Addresses, netip.MustParseAddr("::1")) }, ErrAddresses},
		{func(m *Message) { m.Addresses = slices.Repeat(m.Addresses, 17) }, ErrAddresses},
		{func(m *Message) { m.Interval = 4_999 }, ErrInterval},
		{func(m *Message) { m.Interval = 40_955_000 }, ErrInterval},
	} {
		m := sample()
		c.change(&m)
		if b, err := Append([]byte("x"), m, from4, to4, key1); !errors.Is(err, c.want) || len(b) != 1 {
			t.Errorf("%v, %d bytes", err, len(b))
		}
	}
}

// A message that is parsed without a fault is encoded to the same bytes again.
func FuzzParse(f *testing.F) {
	b, _ := Append(nil, sample(), from4, to4, key1)
	f.Add(b, true)
	six := sample()
	six.Addresses = []netip.Addr{netip.IPv6Loopback()}
	b, _ = Append(nil, six, from4, to4, key1)
	f.Add(b, false)
	f.Add([]byte{0x31, 51, 0, 1}, true)
	f.Fuzz(func(t *testing.T, b []byte, four bool) {
		VRID(b)
		signed := b
		if len(b) >= headerSize+4+trailerSize+macSize { // sign the message, because no unsigned one passes the MAC check
			signed = change(b, func(b []byte) []byte { return b })
		}
		for _, x := range [][]byte{b, signed} {
			m, fault := Parse(x, four, from4, to4, []Key{key1})
			if fault != sealed.NoFault {
				continue
			}
			again, err := Append(nil, m, from4, to4, key1)
			if err != nil || !bytes.Equal(again, x) {
				t.Errorf("%x came back as %x, %v", x, again, err)
			}
		}
	})
}

func TestAnnouncement(t *testing.T) {
	a := Announcement{
		VRID: 51, Key: 1, Sender: 3, Start: 1 << 50, Sequence: 4, Listen: netip.MustParseAddrPort("127.0.0.2:6434"),
		Addresses: []netip.Addr{netip.MustParseAddr("192.0.2.10"), netip.MustParseAddr("2001:db8::1")},
	}
	b, err := AppendAnnouncement(nil, a, key1)
	if err != nil || len(b) != announcementHeaderSize+2*16+macSize {
		t.Fatal(len(b), err)
	}
	got, fault := ParseAnnouncement(b, []Key{key1})
	if fault != sealed.NoFault || got.Listen != a.Listen || !slices.Equal(got.Addresses, a.Addresses) || got.Sequence != 4 || got.Sender != 3 {
		t.Errorf("%v %+v", fault, got)
	}
	for i := range b {
		x := bytes.Clone(b)
		x[i] ^= 1
		if _, fault := ParseAnnouncement(x, []Key{key1}); fault == sealed.NoFault {
			t.Errorf("byte %d changed unnoticed", i)
		}
	}
	for n := range b {
		if _, fault := ParseAnnouncement(b[:n], []Key{key1}); fault == sealed.NoFault {
			t.Errorf("cut to %d unnoticed", n)
		}
	}
	if _, err := AppendAnnouncement(nil, Announcement{Addresses: a.Addresses}, key1); err == nil {
		t.Error("an announcement without a listen address was encoded")
	}
}
