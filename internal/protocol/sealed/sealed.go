// Package sealed is what all datagrams and stream frames between gateways have in common: shared keys that can be changed in
// service, a signed trailer that identifies a message and its sender, a guard against replays, and the list of faults for
// which a datagram is dropped. It works on bytes only.
//
// The way of a datagram: datagrams.Loop reads it and calls HandleDatagram of its Handler, the agent of internal/gossip (check,
// drop) or the VRRP router of internal/floatingip (receive, validate, countDropped). There the protocol's codec parses the message
// and, by Parse of this package, verifies its signature; then ReplayGuard.Accept tells whether it is new. The first fault found
// is returned as a Fault. A forged datagram fails in Verify with UnknownKey or BadMAC; it is counted under its fault and logged by
// datagrams.DropLog.
package sealed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Key is one of the secrets that the gateways share. Several may be valid at once, so that they change without a gap: the
// new one is added everywhere first, then used for signing, and the old one removed last.
type Key struct {
	Number uint8
	Secret []byte
}

// The sizes in bytes: of a trailer without its signature, of the signature, and of both, the sealed end of a message.
const (
	TrailerSize = 28
	MACSize     = sha256.Size
	Size        = TrailerSize + MACSize
)

// Version is the version of the trailer's layout.
const Version = 1

// MAC is the signature over b, an HMAC-SHA-256. The purpose is part of it, so that signatures made for another protocol with
// the same secret are not valid.
func (k Key) MAC(purpose string, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write(b)
	return h.Sum(nil)
}

// Verify checks the signature at the end of b by the key of a number. Its faults are UnknownKey and BadMAC.
func Verify(purpose string, b []byte, number uint8, keys []Key) Fault {
	for _, k := range keys {
		if k.Number == number {
			if hmac.Equal(k.MAC(purpose, b[:len(b)-MACSize]), b[len(b)-MACSize:]) {
				return NoFault
			}
			return BadMAC
		}
	}
	return UnknownKey
}

// Trailer is what follows every message.
type Trailer struct {
	Key           uint8  // which of the keys signs it
	Sender        uint8  // the sender's node number, where nodes have numbers (VRRP)
	Receiver      uint8  // the receiver's node number, likewise
	Start         uint64 // when the sender started, microseconds of Unix time
	Sequence      uint64 // of the sender's messages since then
	ReceiverStart uint64 // the receiver's start as the sender knows it; 0: not known
}

// Append writes the trailer behind the message that begins at b[from], and signs both.
func Append(b []byte, from int, t Trailer, purpose string, key Key) []byte {
	b = append(b, Version, key.Number, t.Sender, t.Receiver)
	b = binary.BigEndian.AppendUint64(b, t.Start)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, t.ReceiverStart)
	return append(b, key.MAC(purpose, b[from:])...)
}

// Parse reads and checks the trailer at the end of b, which must have Size bytes at least. Its faults are BadVersion and those
// of Verify; with a fault the trailer is empty.
func Parse(b []byte, purpose string, keys []Key) (Trailer, Fault) {
	t := b[len(b)-Size:]
	if t[0] != Version {
		return Trailer{}, BadVersion
	}
	if v := Verify(purpose, b, t[1], keys); v != NoFault {
		return Trailer{}, v
	}
	return Trailer{
		Key: t[1], Sender: t[2], Receiver: t[3], Start: binary.BigEndian.Uint64(t[4:]),
		Sequence: binary.BigEndian.Uint64(t[12:]), ReceiverStart: binary.BigEndian.Uint64(t[20:]),
	}, NoFault
}
