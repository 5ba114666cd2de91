// Package postgres holds the codecs of version 3 of PostgreSQL's frontend/backend protocol, as far as the gateway uses it:
// start-up (ParseStartup, AppendStartup), simple queries of one statement (ParseStatement, AppendQueryHead), and their
// responses (Reply, AppendErrorResponse). It works on bytes and owns no socket and no goroutine. Package session, the fakes
// and the experiments call it.
//
// The main decisions are in ParseStatement, which accepts only two forms of statement, so that a server never receives any
// other text from a client, and in Reply.Handle, which accepts the messages of a response in one order only.
package postgres

import (
	"encoding/binary"
	"fmt"
)

// HeaderSize is the size in bytes of a message's header: its type and its length.
const HeaderSize = 5

// MaxBody is the maximum size in bytes of a message's body. A value of 64 KiB in hex takes 128 KiB of a statement; the rest of a
// statement is far smaller.
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

// Header holds a message's type and the length of its body in bytes.
type Header struct {
	Type byte
	Body int
}

// ParseHeader parses a message's header from the first HeaderSize bytes of b. It returns an error for a body longer than MaxBody.
func ParseHeader(b []byte) (Header, error) {
	n := int64(binary.BigEndian.Uint32(b[1:HeaderSize]))
	if n < 4 || n-4 > MaxBody {
		return Header{}, fmt.Errorf("message of type %q has a length of %d", b[0], n)
	}
	return Header{Type: b[0], Body: int(n) - 4}, nil
}

// beginMessage appends a message's type and a placeholder for its length, and returns the offset at which the message starts.
// finishMessage takes this offset and sets the length.
func beginMessage(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b)
}

func finishMessage(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

// appendCString appends a string and a terminating zero byte.
func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// cutCString returns the string before the first zero byte of b and the bytes after it, and reports whether there is a zero byte.
func cutCString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
