// Package members is the codec of the messages of internal/membership: protocol buffers as api/members.proto defines them, one
// message per datagram, followed by the signed trailer of internal/protocol/sealed. It works on bytes only; internal/gossip
// calls it.
//
// Append and Parse encode and decode datagrams, AppendMessage and ParseMessage the message in a datagram. Parse returns the
// fault for which a datagram must be dropped.
//
// The codec uses the low-level package protowire, because the generated code and its reflection would take the gateway over its
// limit of memory at rest (docs/membership.md has the figures). Tests check that this codec and the generated code
// produce the same bytes.
package members

import (
	"errors"
	"slices"

	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

// MaxSize is the size in bytes of the largest datagram.
const MaxSize = membership.MaxMessageSize + sealed.Size

// minMessageSize is a lower bound on the size in bytes of a message, which must at least have a kind.
const minMessageSize = 2

// purpose is the first part of the text that states what a datagram is signed for. signedPurpose adds the
// deployment's name, so that the messages of another deployment are not valid even with the same secret.
const purpose = "marblespan members 1\x00"

// ErrSize is returned by Append for a message that is too large to be sent.
var ErrSize = errors.New("members: message is larger than 1140 bytes")

// Append appends the signed datagram of a message of a deployment. If the message is too large, Append returns b
// unchanged and ErrSize.
func Append(b []byte, m membership.Message, t sealed.Trailer, deployment string, key sealed.Key) ([]byte, error) {
	from := len(b)
	if b = AppendMessage(b, m); len(b)-from > membership.MaxMessageSize {
		return b[:from], ErrSize
	}
	return sealed.Append(b, from, t, signedPurpose(deployment), key), nil
}

// signedPurpose returns the purpose for which the datagrams of a deployment are signed.
func signedPurpose(deployment string) string { return purpose + deployment + "\x00" }

// Parse parses a datagram and makes all checks that need no knowledge of the members. If there is a fault, the caller must drop
// the datagram, and Parse returns no part of it.
func Parse(b []byte, deployment string, keys []sealed.Key) (membership.Message, sealed.Trailer, sealed.Fault) {
	if fault := checkTrailer(b, keys); fault != sealed.NoFault {
		return membership.Message{}, sealed.Trailer{}, fault
	}
	trailer, fault := sealed.Parse(b, signedPurpose(deployment), keys)
	if fault != sealed.NoFault {
		return membership.Message{}, sealed.Trailer{}, fault
	}
	msg, fault := ParseMessage(b[:len(b)-sealed.Size])
	if fault != sealed.NoFault {
		return membership.Message{}, sealed.Trailer{}, fault
	}
	return msg, trailer, sealed.NoFault
}

// checkTrailer checks the length, the trailer's version and the key number. It is called before a signature is computed, so that
// rejecting an invalid datagram costs little.
func checkTrailer(b []byte, keys []sealed.Key) sealed.Fault {
	if len(b) < sealed.Size+minMessageSize || len(b) > MaxSize {
		return sealed.BadLength
	}
	trailer := b[len(b)-sealed.Size:]
	if trailer[0] != sealed.Version {
		return sealed.BadVersion
	}
	if !slices.ContainsFunc(keys, func(k sealed.Key) bool { return k.Number == trailer[1] }) {
		return sealed.UnknownKey
	}
	return sealed.NoFault
}
