// Package vrrp is the codec of VRRP version 3 advertisements (RFC 9568, 5.2) as they travel between gateways: over unicast
// UDP, each with a trailer that tells its sender and its place in order and proves both. It works on bytes only.
//
// RFC 9568 trusts a hop limit of 255 to keep strangers out, which UDP sockets cannot check. The trailer stands in for it.
package vrrp

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"marblespan/internal/protocol/sealed"
)

// Sizes of the message's parts in bytes.
const (
	headerSize  = 8
	trailerSize = sealed.TrailerSize
	macSize     = sealed.MACSize
	// MostAddresses is how many addresses a group may have here; the RFC's field allows 255.
	MaxAddresses = 16
	// MostSize is the size of the largest message.
	MaxSize = headerSize + 16*MaxAddresses + trailerSize + macSize
)

// The values of RFC 9568, 5.2.1 and 5.2.2.
const (
	version           = 3
	typeAdvertisement = 1
)

// purpose is what signatures are made for here.
const macPurpose = "marblespan vrrp 1\x00"

// Key is a shared secret.
type Key = sealed.Key

// centisecond is the unit of the interval's field, in microseconds; the field has 12 bits.
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

// Trailer is what the project adds behind the RFC's message.
type Trailer = sealed.Trailer

// ErrAddresses tells that a message cannot be written because of its address list.
var ErrAddresses = errors.New("between 1 and 16 addresses of one family")

// ErrInterval tells that an interval does not fit its field.
var ErrInterval = errors.New("an interval from 10 ms to 40.95 s")

// Append writes and signs a message. from and to are the UDP addresses, part of the checksum for IPv6 groups.
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

// Parse reads a message of an IPv4 or IPv6 group and checks all that can be told without the settings, its signature among
// it. Nothing of a message with a fault is to be believed.
func Parse(b []byte, ipv4 bool, from, to netip.Addr, keys []Key) (Message, sealed.Fault) {
	var message Message
	addressSize := 16
	if ipv4 {
		addressSize = 4
	}
	if len(b) < headerSize+addressSize+trailerSize+macSize || len(b) > MaxSize {
		return message, sealed.BadLength
	}
	if b[0]>>4 != version {
		return message, sealed.BadVersion
	}
	if b[0]&0xf != typeAdvertisement {
		return message, sealed.BadType
	}
	count := int(b[3])
	if count == 0 || count > MaxAddresses {
		return message, sealed.BadCount
	}
	body := headerSize + count*addressSize
	if len(b) != body+trailerSize+macSize {
		return message, sealed.BadLength
	}
	interval := binary.BigEndian.Uint16(b[4:])
	if interval>>12 != 0 {
		return message, sealed.BadReserved // the RFC has receivers ignore them; here no sender sets them
	}
	if interval == 0 {
		return message, sealed.BadInterval
	}
	if checksum(b[:body], ipv4, from, to) != 0 {
		return message, sealed.BadChecksum
	}
	trailer, fault := sealed.Parse(b, macPurpose, keys)
	if fault != sealed.NoFault {
		return message, fault
	}
	message = Message{VRID: b[1], Priority: b[2], Interval: int64(interval) * centisecond, Trailer: trailer}
	for i := range count {
		address, _ := netip.AddrFromSlice(b[headerSize+i*addressSize : headerSize+(i+1)*addressSize])
		message.Addresses = append(message.Addresses, address)
	}
	return message, sealed.NoFault
}

// VRID tells the group that a message claims to be of, before anything is checked: the group's family decides how to
// read the rest.
func VRID(b []byte) (uint8, bool) {
	if len(b) < headerSize {
		return 0, false
	}
	return b[1], true
}

// checksum is the internet checksum of RFC 9568, 5.2.8: over the message alone for IPv4, with a pseudo-header before it
// for IPv6. Over a message with its checksum in place it is 0.
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

// protocolNumber is VRRP's among the IP protocols.
const protocolNumber = 112
