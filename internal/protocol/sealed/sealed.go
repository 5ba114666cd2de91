// Package sealed is what all datagrams between gateways have in common: keys that change in service, a trailer that tells a
// message's sender and its place in order, a signature over all of it, and the account of what came before. It works on bytes
// only.
package sealed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Key is one of the secrets that the gateways share. Several may be valid at once, so that they change without a gap: the
// new one is made known everywhere first, then used for signing, and the old one removed last.
type Key struct {
	Number uint8
	Secret []byte
}

// The sizes of a trailer without and with its signature, and of the signature alone, in bytes.
const (
	TrailerSize = 28
	MACSize     = sha256.Size
	Size        = TrailerSize + MACSize
)

// Version is the version of the trailer's layout.
const Version = 1

// Sum is the signature over b. The purpose keeps signatures made for other ends with the same secret from being valid.
func (k Key) MAC(purpose string, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write(b)
	return h.Sum(nil)
}

// Verify checks the signature at the end of b.
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

// Trailer is what stands behind every message.
type Trailer struct {
	Key           uint8  // which of the keys signs it
	Sender        uint8  // the sender's number, where gateways have numbers
	Receiver      uint8  // whom it is for, likewise
	Start         uint64 // when the sender started, microseconds of Unix time
	Sequence      uint64 // of the sender's messages since then
	ReceiverStart uint64 // the receiver's start as its sender knows it; 0: never heard
}

// Append writes the trailer behind the message that begins at from, and signs all of it.
func Append(b []byte, from int, t Trailer, purpose string, key Key) []byte {
	b = append(b, Version, key.Number, t.Sender, t.Receiver)
	b = binary.BigEndian.AppendUint64(b, t.Start)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, t.ReceiverStart)
	return append(b, key.MAC(purpose, b[from:])...)
}

// Parse reads and checks the trailer at the end of b, which must have Size bytes at least.
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
