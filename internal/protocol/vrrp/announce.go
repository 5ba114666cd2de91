package vrrp

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"marblespan/internal/protocol/sealed"
)

// Announcement is sent to a receiver that directs connections to floating addresses (a switch, or a helper that is permitted to
// change addresses). The announcement gives the address to which the receiver must direct the connections from now on. It takes
// the place of a gratuitous ARP or a neighbor advertisement.
type Announcement struct {
	VRID      uint8
	Key       uint8
	Sender    uint8
	Start     uint64 // the sender's start, as in Trailer
	Sequence  uint64
	Listen    netip.AddrPort // address on which the sender serves connections
	Addresses []netip.Addr
}

// announcementMagic begins every announcement; its last byte is the version of the format.
var announcementMagic = []byte("MSA\x01")

// announcementHeaderSize is the size in bytes of the fields before the addresses: magic, VRID, key, sender, count, start, sequence,
// listen address and port.
const announcementHeaderSize = 4 + 4 + 8 + 8 + 16 + 2

// AppendAnnouncement appends an announcement and its MAC to b. IPv4 addresses are encoded as IPv4-mapped IPv6 addresses. It returns
// ErrAddresses if the number of addresses or the listen address is invalid.
func AppendAnnouncement(b []byte, a Announcement, key Key) ([]byte, error) {
	count := len(a.Addresses)
	if count == 0 || count > MaxAddresses || !a.Listen.IsValid() {
		return b, ErrAddresses
	}
	start := len(b)
	b = append(b, announcementMagic...)
	b = append(b, a.VRID, key.Number, a.Sender, uint8(count))
	b = binary.BigEndian.AppendUint64(b, a.Start)
	b = binary.BigEndian.AppendUint64(b, a.Sequence)
	b = appendAddress16(b, a.Listen.Addr())
	b = binary.BigEndian.AppendUint16(b, a.Listen.Port())
	for _, x := range a.Addresses {
		b = appendAddress16(b, x)
	}
	return append(b, key.MAC(macPurpose, b[start:])...), nil
}

func appendAddress16(b []byte, a netip.Addr) []byte {
	x := a.As16()
	return append(b, x[:]...)
}

// ParseAnnouncement parses an announcement and verifies its MAC. If there is a fault, the returned Announcement is empty.
func ParseAnnouncement(b []byte, keys []Key) (Announcement, sealed.Fault) {
	var announcement Announcement
	if len(b) < announcementHeaderSize+16+macSize {
		return announcement, sealed.BadLength
	}
	if !bytes.Equal(b[:4], announcementMagic) {
		return announcement, sealed.BadVersion
	}
	count := int(b[7])
	if count == 0 || count > MaxAddresses {
		return announcement, sealed.BadCount
	}
	if len(b) != announcementHeaderSize+16*count+macSize {
		return announcement, sealed.BadLength
	}
	if fault := sealed.Verify(macPurpose, b, b[5], keys); fault != sealed.NoFault {
		return announcement, fault
	}
	announcement = Announcement{
		VRID: b[4], Key: b[5], Sender: b[6], Start: binary.BigEndian.Uint64(b[8:]), Sequence: binary.BigEndian.Uint64(b[16:]),
		Listen: netip.AddrPortFrom(address16(b[24:]), binary.BigEndian.Uint16(b[40:])),
	}
	for i := range count {
		announcement.Addresses = append(announcement.Addresses, address16(b[announcementHeaderSize+16*i:]))
	}
	return announcement, sealed.NoFault
}

func address16(b []byte) netip.Addr { return netip.AddrFrom16([16]byte(b[:16])).Unmap() }
