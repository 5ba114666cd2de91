// Package members is the codec of the messages of internal/membership: protocol buffers as api/members.proto describes them,
// one message a datagram, inside the signed trailer of internal/protocol/sealed. It works on bytes only; internal/gossip calls
// it.
//
// Append and Parse write and read datagrams, AppendMessage and ParseMessage the message inside. Parse returns the fault for
// which a datagram is to be dropped.
//
// The messages are written with the library's low-level package: the generated code and its reflection would take the
// gateway over its limit of memory at rest (docs/membership.md has the figures). Tests hold both to the same bytes.
package members

import (
	"errors"
	"slices"

	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

// MaxSize is the size of the largest datagram, in bytes.
const MaxSize = membership.MaxMessageSize + sealed.Size

// minMessageSize is less than any message with a kind has, in bytes.
const minMessageSize = 2

// purpose is what signatures are made for here. The deployment's name is part of it, so that another deployment's messages
// are not valid even with the same secret.
const purpose = "marblespan members 1\x00"

// ErrSize tells that a message is too large to be sent.
var ErrSize = errors.New("members: message is larger than 1140 bytes")

// Append writes and signs a message of a deployment. It returns ErrSize, and b as it was, for one that is too large.
func Append(b []byte, m membership.Message, t sealed.Trailer, deployment string, key sealed.Key) ([]byte, error) {
	from := len(b)
	if b = AppendMessage(b, m); len(b)-from > membership.MaxMessageSize {
		return b[:from], ErrSize
	}
	return sealed.Append(b, from, t, signedPurpose(deployment), key), nil
}

func signedPurpose(deployment string) string { return purpose + deployment + "\x00" }

// Parse reads a datagram and checks all that can be told without knowing the members. A datagram with a fault is to be
// dropped: nothing of it is returned.
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

// checkTrailer checks length, trailer version and key number, before any signature is computed: garbage must cost little.
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
