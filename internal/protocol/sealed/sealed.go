// Package sealed holds what all datagrams and stream frames between gateways share: secret keys that can be replaced while the
// gateways run, a signed trailer that identifies a message and its sender, a guard against replays, and the list of faults for
// which a datagram is dropped. It works on bytes only.
//
// A received datagram takes this path: datagrams.Loop reads it and calls HandleDatagram of its Handler, which is the agent of
// internal/gossip (check, drop) or the VRRP router of internal/floatingip (receive, validate, countDropped). The handler calls the
// protocol's codec, which parses the message and verifies its signature with Parse of this package. Then ReplayGuard.Accept
// reports whether the message is new. The first fault found is returned as a Fault. A forged datagram, for example, fails in
// Verify with UnknownKey or BadMAC; it is counted under that fault and logged by datagrams.DropLog.
package sealed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Key is one of the secrets that the gateways share. Several keys may be valid at once, so that a key can be replaced without
// interruption: first the new key is added on all gateways, then it is used for signing, and last the old key is removed.
type Key struct {
	Number uint8
	Secret []byte
}

// Sizes in bytes: TrailerSize of the trailer without its signature, MACSize of the signature, and Size of both together. Every
// message ends with the trailer and the signature.
const (
	TrailerSize = 28
	MACSize     = sha256.Size
	Size        = TrailerSize + MACSize
)

// Version is the version of the trailer's format.
const Version = 1

// MAC returns the signature of b, an HMAC-SHA-256. The signature covers the purpose too, so that a signature made for another
// protocol with the same secret is not valid.
func (k Key) MAC(purpose string, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write(b)
	return h.Sum(nil)
}

// Verify checks the signature at the end of b with the key that has the given number. If there is no such key, the fault is
// UnknownKey; if the signature is not valid, the fault is BadMAC.
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

// Trailer holds the fields that follow every message, before the signature.
type Trailer struct {
	Key           uint8  // number of the key that signs the message
	Sender        uint8  // the sender's node number, in protocols that number the nodes (VRRP)
	Receiver      uint8  // the receiver's node number, in the same protocols
	Start         uint64 // when the sender started, in microseconds of Unix time
	Sequence      uint64 // counts the sender's messages since its start
	ReceiverStart uint64 // the receiver's start as the sender knows it; 0: not known
}

// Append appends the trailer to the message that begins at b[from], and then a signature of message and trailer. The trailer gets
// key's number instead of t.Key.
func Append(b []byte, from int, t Trailer, purpose string, key Key) []byte {
	b = append(b, Version, key.Number, t.Sender, t.Receiver)
	b = binary.BigEndian.AppendUint64(b, t.Start)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, t.ReceiverStart)
	return append(b, key.MAC(purpose, b[from:])...)
}

// Parse parses and verifies the trailer at the end of b, which must be at least Size bytes long. The fault is BadVersion or a fault
// of Verify if the trailer is not valid; the returned Trailer is empty then.
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
