// Package postgres holds the codecs of version 3 of PostgreSQL's wire protocol, as far as the gateway speaks it:
// start-up, simple queries of one statement, and their answers. It works on bytes and states and owns no socket.
package postgres

import (
	"encoding/binary"
	"fmt"
)

// HeaderSize is the size of a message's type and length.
const HeaderSize = 5

// MaxBody bounds a message: a value of 64 KiB in hex is 128 KiB of statement, and the rest is far smaller.
const MaxBody = 1 << 18

// The types of messages that the gateway reads or writes.
const (
	TypeQuery              = 'Q'
	TypeTerminate          = 'X'
	TypeSync               = 'S'
	TypeAuthentication     = 'R'
	TypeParameterStatus    = 'S'
	TypeBackendKeyData     = 'K'
	TypeReadyForQuery      = 'Z'
	TypeRowDescription     = 'T'
	TypeDataRow            = 'D'
	TypeCommandComplete    = 'C'
	TypeEmptyQueryResponse = 'I'
	TypeErrorResponse      = 'E'
	TypeNoticeResponse     = 'N'
)

// Header is the head of a message: its type and the length of what follows.
type Header struct {
	Type byte
	Body int
}

// ParseHeader reads the five bytes before a message's body.
func ParseHeader(b []byte) (Header, error) {
	n := int64(binary.BigEndian.Uint32(b[1:HeaderSize]))
	if n < 4 || n-4 > MaxBody {
		return Header{}, fmt.Errorf("message of type %q has a length of %d", b[0], n)
	}
	return Header{Type: b[0], Body: int(n) - 4}, nil
}

// begin appends a message's head with its length left open; finish fills it in.
func beginMessage(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b)
}

func finishMessage(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// cut splits the text before the first zero byte off b.
func cutCString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
