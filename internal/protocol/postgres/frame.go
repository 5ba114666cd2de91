// Package postgres holds the codecs of version 3 of PostgreSQL's frontend/backend protocol, as far as the gateway uses it:
// start-up (ParseStartup, AppendStartup), simple queries of one statement (ParseStatement, AppendQueryHead), and their
// responses (Reply, AppendErrorResponse). It works on bytes and owns no socket and no goroutine; package session calls it, and
// the fakes and experiments do.
//
// The main decisions are in ParseStatement, which accepts only two forms of statement, so that a server never receives any
// other text of a client, and in Reply.Handle, which accepts only one order of a response's messages.
package postgres

import (
	"encoding/binary"
	"fmt"
)

// HeaderSize is the size in bytes of a message's type and length.
const HeaderSize = 5

// MaxBody bounds a message's body in bytes: a value of 64 KiB in hex is 128 KiB of statement, and the rest is far smaller.
const MaxBody = 1 << 18

// The message types that the gateway reads or writes.
const (
	TypeQuery                    = 'Q'
	TypeTerminate                = 'X'
	TypeSync                     = 'S'
	TypeAuthentication           = 'R'
	TypeParameterStatus          = 'S'
	TypeBackendKeyData           = 'K'
	TypeReadyForQuery            = 'Z'
	TypeRowDescription           = 'T'
	TypeDataRow                  = 'D'
	TypeCommandComplete          = 'C'
	TypeEmptyQueryResponse       = 'I'
	TypeErrorResponse            = 'E'
	TypeNoticeResponse           = 'N'
	TypeNegotiateProtocolVersion = 'v'
)

// Header is a message's type and the length of its body in bytes.
type Header struct {
	Type byte
	Body int
}

// ParseHeader parses the HeaderSize bytes before a message's body. It returns an error for a body longer than MaxBody.
func ParseHeader(b []byte) (Header, error) {
	n := int64(binary.BigEndian.Uint32(b[1:HeaderSize]))
	if n < 4 || n-4 > MaxBody {
		return Header{}, fmt.Errorf("message of type %q has a length of %d", b[0], n)
	}
	return Header{Type: b[0], Body: int(n) - 4}, nil
}

// beginMessage appends a message's type and an empty length, and returns where the message starts; finishMessage sets the
// length.
func beginMessage(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b)
}

func finishMessage(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

// appendCString appends a string and a zero byte.
func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// cutCString splits b at its first zero byte. It reports whether there is one.
func cutCString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
