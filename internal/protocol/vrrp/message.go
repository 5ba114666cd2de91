// Package vrrp is the codec of VRRP version 3 advertisements (RFC 9568, 5.2) as gateways send them to each other: over unicast
// UDP, each followed by a trailer with its sender and sequence number, and by a MAC over message and trailer. Append encodes a
// message, Parse decodes and verifies it; internal/floatingip calls both. The package works on bytes only and holds no state.
//
// RFC 9568 relies on a hop limit of 255 to reject messages from other networks. UDP sockets cannot check the hop limit, so the
// MAC takes its place.
package vrrp

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"marblespan/internal/protocol/sealed"
)

// The sizes in bytes of the parts of a message, and the limits on its addresses and its size.
const (
	headerSize  = 8
	trailerSize = sealed.TrailerSize
	macSize     = sealed.MACSize
	// MaxAddresses is the maximum number of addresses of a group here; the field in RFC 9568 allows 255.
	MaxAddresses = 16
	// MaxSize is the size in bytes of the largest message.
	MaxSize = headerSize + 16*MaxAddresses + trailerSize + macSize
)

// The protocol version and the message type of RFC 9568, 5.2.1 and 5.2.2.
const (
	version           = 3
	typeAdvertisement = 1
)

// macPurpose distinguishes these MACs from those that other protocols compute with the same key.
const macPurpose = "marblespan vrrp 1\x00"

// Key is a secret shared by all gateways of a group.
type Key = sealed.Key

// centisecond is the unit of the interval field, in microseconds. maxInterval is the largest value of the field, which has 12 bits.
const (
	centisecond = 10_000
	maxInterval = 1<<12 - 1
)

// Message is one advertisement.
type Message struct {
	VRID      uint8
	Priority  uint8
	Interval  int64 // microseconds, rounded to hundredths of a second on the wire
	Addresses []netip.Addr
	Trailer
}

// Trailer follows the message that RFC 9568 defines.
type Trailer = sealed.Trailer

// ErrAddresses is returned by Append and AppendAnnouncement for an address list that cannot be encoded, and by
// AppendAnnouncement also for an invalid listen address.
var ErrAddresses = errors.New("the address list must have 1 to 16 addresses of one family")

// ErrInterval is returned by Append for an interval that the field of 12 bits cannot represent.
var ErrInterval = errors.New("the interval must be from 10 ms to 40.95 s")

// Append appends a message and its MAC to b. from and to are the UDP addresses of sender and receiver, which the checksum covers
// for IPv6 groups. The error is ErrAddresses or ErrInterval.
func Append(b []byte, m Message, from, to netip.Addr, key Key) ([]byte, error) {
	count := len(m.Addresses)
	if count == 0 || count > MaxAddresses {
		return b, ErrAddresses
	}
	interval := (m.Interval + centisecond/2) / centisecond
	if interval < 1 || interval > maxInterval {
		return b, ErrInterval
	}
	start := len(b)
	b = append(b, version<<4|typeAdvertisement, m.VRID, m.Priority, uint8(count))
	b = binary.BigEndian.AppendUint16(b, uint16(interval))
	b = append(b, 0, 0)
	for _, address := range m.Addresses {
		if address.Is4() != m.Addresses[0].Is4() || !address.IsValid() {
			return b[:start], ErrAddresses
		}
		b = append(b, address.AsSlice()...)
	}
	binary.BigEndian.PutUint16(b[start+6:], checksum(b[start:], m.Addresses[0].Is4(), from, to))
	return sealed.Append(b, start, m.Trailer, macPurpose, key), nil
}

// Parse parses a message of an IPv4 or IPv6 group and verifies everything that does not depend on the settings, including the MAC.
// If there is a fault, the returned Message is empty.
func Parse(b []byte, ipv4 bool, from, to netip.Addr, keys []Key) (Message, sealed.Fault) {
	var message Message
	addressSize := 16
	if ipv4 {
		addressSize = 4
	}
	body, fault := checkHeader(b, addressSize)
	if fault != sealed.NoFault {
		return message, fault
	}
	if checksum(b[:body], ipv4, from, to) != 0 {
		return message, sealed.BadChecksum
	}
	trailer, fault := sealed.Parse(b, macPurpose, keys)
	if fault != sealed.NoFault {
		return message, fault
	}
	message = Message{VRID: b[1], Priority: b[2], Interval: int64(binary.BigEndian.Uint16(b[4:])) * centisecond, Trailer: trailer}
	for at := headerSize; at < body; at += addressSize {
		address, _ := netip.AddrFromSlice(b[at : at+addressSize])
		message.Addresses = append(message.Addresses, address)
	}
	return message, sealed.NoFault
}

// checkHeader verifies the length of the message and the fields of the header. body is the size of the part that RFC 9568 defines,
// without the trailer.
func checkHeader(b []byte, addressSize int) (body int, fault sealed.Fault) {
	if len(b) < headerSize+addressSize+trailerSize+macSize || len(b) > MaxSize {
		return 0, sealed.BadLength
	}
	if b[0]>>4 != version {
		return 0, sealed.BadVersion
	}
	if b[0]&0xf != typeAdvertisement {
		return 0, sealed.BadType
	}
	count := int(b[3])
	if count == 0 || count > MaxAddresses {
		return 0, sealed.BadCount
	}
	body = headerSize + count*addressSize
	if len(b) != body+trailerSize+macSize {
		return 0, sealed.BadLength
	}
	interval := binary.BigEndian.Uint16(b[4:])
	if interval>>12 != 0 {
		return 0, sealed.BadReserved // RFC 9568 tells receivers to ignore these bits; here they are a fault, because no gateway sets them
	}
	if interval == 0 {
		return 0, sealed.BadInterval
	}
	return body, sealed.NoFault
}

// VRID returns the virtual router identifier of a message that is not verified yet. It identifies the group, whose address family
// Parse needs. VRID returns false if the message is too short.
func VRID(b []byte) (uint8, bool) {
	if len(b) < headerSize {
		return 0, false
	}
	return b[1], true
}

// checksum computes the internet checksum of RFC 9568, 5.2.8: over the message alone for IPv4, with a pseudo-header before it for
// IPv6. The result is 0 for a message that contains its correct checksum.
func checksum(b []byte, ipv4 bool, from, to netip.Addr) uint16 {
	var sum uint32
	add := func(b []byte) {
		for ; len(b) > 1; b = b[2:] {
			sum += uint32(binary.BigEndian.Uint16(b))
		}
	}
	if !ipv4 {
		f, t := from.As16(), to.As16()
		add(f[:])
		add(t[:])
		sum += uint32(len(b)) + protocolNumber
	}
	add(b)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}

// protocolNumber is the IP protocol number of VRRP.
const protocolNumber = 112
