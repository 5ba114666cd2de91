package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxStartup bounds a start-up packet, as PostgreSQL's own server does.
const MaxStartup = 10000

// The codes that stand where a start-up message has its version.
const (
	version3          = 3 << 16
	cancelRequestCode = 1234<<16 | 5678
	sslRequestCode    = 1234<<16 | 5679
	gssEncRequestCode = 1234<<16 | 5680
	version4          = 4 << 16
)

// Opening is what a connection's first packet asks for.
type StartupKind uint8

// The openings.
const (
	StartupSession       StartupKind = iota // a session
	StartupEncryption                       // encryption, by SSL or GSS: answered with a single N
	StartupCancelRequest                    // cancel another session's query: closed without an answer
)

// Start is a start-up message's content.
type StartupMessage struct {
	Minor    int
	User     string
	Database string
}

// StartupLength reads the length that a start-up packet begins with and returns that of the rest.
func StartupLength(b []byte) (int, error) {
	n := int64(binary.BigEndian.Uint32(b))
	if n < 8 || n > MaxStartup {
		return 0, fmt.Errorf("start-up packet has a length of %d", n)
	}
	return int(n) - 4, nil
}

// ParseStartup reads what follows the length of a connection's first packet.
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
	s := StartupMessage{Minor: int(code & 0xffff)}
	for rest := b[4:]; ; {
		name, after, ok := cutCString(rest)
		if !ok {
			return StartupSession, s, errors.New("start-up packet has no end")
		}
		if name == "" {
			break
		}
		value, after, ok := cutCString(after)
		if !ok {
			return StartupSession, s, fmt.Errorf("start-up parameter %.40q has no value", name)
		}
		switch name {
		case "user":
			s.User = value
		case "database":
			s.Database = value
		}
		rest = after
	}
	if s.User == "" {
		return StartupSession, s, errors.New("start-up packet names no user")
	}
	return StartupSession, s, nil
}

// AppendStartup writes the start-up message that the gateway sends to a server.
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

// AppendWelcome writes the answer to a client's start-up, up to and with ReadyForQuery.
func AppendStartupResponse(b []byte, minor int, process uint32) []byte {
	if minor > 0 { // a newer minor version is answered with the one spoken here
		var at int
		b, at = beginMessage(b, 'v')
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

// AppendReady writes ReadyForQuery, outside any transaction.
func AppendReadyForQuery(b []byte) []byte {
	b, at := beginMessage(b, TypeReadyForQuery)
	return finishMessage(append(b, 'I'), at)
}
