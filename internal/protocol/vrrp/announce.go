package vrrp

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"marblespan/internal/protocol/sealed"
)

// Announcement tells whoever leads connections of floating addresses, a switch or a helper with the right to change
// addresses, where they go from now on. On a network of its own a gratuitous ARP or a neighbour advertisement would.
type Announcement struct {
	VRID      uint8
	Key       uint8
	Sender    uint8
	Start     uint64 // as in Trailer
	Sequence  uint64
	Listen    netip.AddrPort // where connections are served
	Addresses []netip.Addr
}

// announceMagic begins an announcement; its last byte is the version.
var announceMagic = []byte("MSA\x01")

// The sizes of an announcement's parts in bytes: magic, VRID, key, sender, count, start, sequence, listen address and port.
const announceHead = 4 + 4 + 8 + 8 + 16 + 2

// AppendAnnouncement writes and signs an announcement. IPv4 addresses travel in their IPv6-mapped form.
func AppendAnnouncement(b []byte, a Announcement, key Key) ([]byte, error) {
	n := len(a.Addresses)
	if n == 0 || n > MaxAddresses || !a.Listen.IsValid() {
		return b, ErrAddresses
	}
	start := len(b)
	b = append(b, announceMagic...)
	b = append(b, a.VRID, key.Number, a.Sender, uint8(n))
	b = binary.BigEndian.AppendUint64(b, a.Start)
	b = binary.BigEndian.AppendUint64(b, a.Sequence)
	b = append16(b, a.Listen.Addr())
	b = binary.BigEndian.AppendUint16(b, a.Listen.Port())
	for _, x := range a.Addresses {
		b = append16(b, x)
	}
	return append(b, key.MAC(purpose, b[start:])...), nil
}

func append16(b []byte, a netip.Addr) []byte {
	x := a.As16()
	return append(b, x[:]...)
}

// ParseAnnouncement reads an announcement and checks its signature.
func ParseAnnouncement(b []byte, keys []Key) (Announcement, sealed.Fault) {
	var a Announcement
	if len(b) < announceHead+16+macSize {
		return a, sealed.BadLength
	}
	if !bytes.Equal(b[:4], announceMagic) {
		return a, sealed.BadVersion
	}
	n := int(b[7])
	if n == 0 || n > MaxAddresses {
		return a, sealed.BadCount
	}
	if len(b) != announceHead+16*n+macSize {
		return a, sealed.BadLength
	}
	if fault := sealed.Verify(purpose, b, b[5], keys); fault != sealed.NoFault {
		return a, fault
	}
	a = Announcement{
		VRID: b[4], Key: b[5], Sender: b[6], Start: binary.BigEndian.Uint64(b[8:]), Sequence: binary.BigEndian.Uint64(b[16:]),
		Listen: netip.AddrPortFrom(from16(b[24:]), binary.BigEndian.Uint16(b[40:])),
	}
	for i := range n {
		a.Addresses = append(a.Addresses, from16(b[announceHead+16*i:]))
	}
	return a, sealed.NoFault
}

func from16(b []byte) netip.Addr { return netip.AddrFrom16([16]byte(b[:16])).Unmap() }
