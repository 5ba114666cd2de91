package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxStartup is the maximum size in bytes of a start-up packet, the same as in PostgreSQL's own server.
const MaxStartup = 10000

// The values of a start-up packet's version field. PostgreSQL uses the same field for request codes, which are not versions.
const (
	version3          = 3 << 16
	cancelRequestCode = 1234<<16 | 5678
	sslRequestCode    = 1234<<16 | 5679
	gssEncRequestCode = 1234<<16 | 5680
	version4          = 4 << 16
)

// StartupKind is the kind of request in a connection's first packet.
type StartupKind uint8

// The kinds of start-up packets.
const (
	StartupSession       StartupKind = iota // StartupMessage: requests a session
	StartupEncryption                       // SSLRequest or GSSENCRequest: the response is a single N
	StartupCancelRequest                    // CancelRequest: the connection is closed without a response
)

// StartupMessage is the content of a StartupMessage packet. Minor is the minor protocol version; Database may be empty.
type StartupMessage struct {
	Minor    int
	User     string
	Database string
}

// StartupLength parses the length in a start-up packet's first four bytes and returns the number of bytes that follow them.
func StartupLength(b []byte) (int, error) {
	n := int64(binary.BigEndian.Uint32(b))
	if n < 8 || n > MaxStartup {
		return 0, fmt.Errorf("start-up packet has a length of %d", n)
	}
	return int(n) - 4, nil
}

// ParseStartup parses a connection's first packet, given without the four bytes of its length.
func ParseStartup(b []byte) (StartupKind, StartupMessage, error) {
	if len(b) < 4 {
		return StartupSession, StartupMessage{}, errors.New("start-up packet is too short")
	}
	code := binary.BigEndian.Uint32(b)
	switch {
	case code == cancelRequestCode:
		return StartupCancelRequest, StartupMessage{}, nil
	case code == sslRequestCode || code == gssEncRequestCode:
		return StartupEncryption, StartupMessage{}, nil
	case code < version3 || code >= version4:
		return StartupSession, StartupMessage{}, fmt.Errorf("protocol %d.%d is not spoken here", code>>16, code&0xffff)
	}
	message := StartupMessage{Minor: int(code & 0xffff)}
	if err := message.parseParameters(b[4:]); err != nil {
		return StartupSession, message, err
	}
	if message.User == "" {
		return StartupSession, message, errors.New("start-up packet names no user")
	}
	return StartupSession, message, nil
}

// parseParameters parses the names and values up to the empty name that ends them. Parameters other than user and database are
// ignored.
func (m *StartupMessage) parseParameters(b []byte) error {
	for {
		name, after, ok := cutCString(b)
		if !ok {
			return errors.New("start-up packet has no end")
		}
		if name == "" {
			return nil
		}
		value, after, ok := cutCString(after)
		if !ok {
			return fmt.Errorf("start-up parameter %.40q has no value", name)
		}
		switch name {
		case "user":
			m.User = value
		case "database":
			m.Database = value
		}
		b = after
	}
}

// AppendStartup appends the StartupMessage that the gateway sends to a server.
func AppendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, version3)
	b = appendCString(appendCString(b, "user"), user)
	b = appendCString(appendCString(b, "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

// AppendStartupResponse appends the complete response to a client's start-up, with ReadyForQuery.
func AppendStartupResponse(b []byte, minor int, process uint32) []byte {
	if minor > 0 { // NegotiateProtocolVersion: the gateway supports minor version 0 only
		var at int
		b, at = beginMessage(b, TypeNegotiateProtocolVersion)
		b = binary.BigEndian.AppendUint32(b, 0)
		b = binary.BigEndian.AppendUint32(b, 0)
		b = finishMessage(b, at)
	}
	b, at := beginMessage(b, TypeAuthentication)
	b = finishMessage(binary.BigEndian.AppendUint32(b, 0), at)
	for _, p := range [][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"},
	} {
		b, at = beginMessage(b, TypeParameterStatus)
		b = finishMessage(appendCString(appendCString(b, p[0]), p[1]), at)
	}
	b, at = beginMessage(b, TypeBackendKeyData)
	b = binary.BigEndian.AppendUint32(b, process)
	b = finishMessage(binary.BigEndian.AppendUint32(b, 0), at)
	return AppendReadyForQuery(b)
}

// AppendReadyForQuery appends a ReadyForQuery message with the status idle, which means outside any transaction.
func AppendReadyForQuery(b []byte) []byte {
	b, at := beginMessage(b, TypeReadyForQuery)
	return finishMessage(append(b, 'I'), at)
}
