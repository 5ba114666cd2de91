package members

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"marblespan/internal/membership"
)

// This file encodes messages. Fields with zero values are omitted, as the generated code of protocol buffers omits them.

// The field numbers in api/members.proto: of a message, an address, a record, and a report on a path between two members.
const (
	fieldKind, fieldFrom, fieldGeneration, fieldIncarnation, fieldTo, fieldToGeneration, fieldNumber, fieldTarget, fieldTargetAddress = 1, 2, 3, 4, 5, 6, 7, 8, 9
	fieldOrigin, fieldOriginNumber, fieldDirectPingReceived, fieldDigest, fieldRecords, fieldPaths                                    = 10, 11, 12, 13, 14, 15

	addressIP, addressPort = 1, 2

	recordName, recordAddress, recordGeneration, recordIncarnation, recordState, recordReportedBy = 1, 2, 3, 4, 5, 6
	recordZone, recordWeight, recordVersion, recordSettings, recordFlags                          = 7, 8, 9, 10, 11
	pathReporter, pathPeer, pathNumber, pathOutboundLost, pathInboundLost, pathGeneration         = 1, 2, 3, 4, 5, 6
)

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendFixed(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

func appendString(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func appendBool(b []byte, field protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, field, 1)
}

// appendNested appends an embedded message, which the function write encodes.
func appendNested(b []byte, field protowire.Number, write func([]byte) []byte) []byte {
	inner := write(make([]byte, 0, 128))
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), inner)
}

func appendAddress(b []byte, field protowire.Number, address netip.AddrPort) []byte {
	if !address.IsValid() {
		return b
	}
	return appendNested(b, field, func(b []byte) []byte {
		b = protowire.AppendBytes(protowire.AppendTag(b, addressIP, protowire.BytesType), address.Addr().AsSlice())
		return appendUint(b, addressPort, uint64(address.Port()))
	})
}

func appendRecord(b []byte, r membership.Record) []byte {
	b = appendString(b, recordName, r.Name)
	b = appendAddress(b, recordAddress, r.Address)
	b = appendUint(b, recordGeneration, r.Generation)
	b = appendUint(b, recordIncarnation, uint64(r.Incarnation))
	b = appendUint(b, recordState, uint64(r.State))
	b = appendString(b, recordReportedBy, r.ReportedBy)
	b = appendString(b, recordZone, r.Meta.Zone)
	b = appendUint(b, recordWeight, uint64(r.Meta.Weight))
	b = appendString(b, recordVersion, r.Meta.Version)
	b = appendFixed(b, recordSettings, r.Meta.Settings)
	return appendUint(b, recordFlags, uint64(r.Meta.Flags))
}

func appendPath(b []byte, p membership.PathState) []byte {
	b = appendString(b, pathReporter, p.Reporter)
	b = appendString(b, pathPeer, p.Peer)
	b = appendUint(b, pathNumber, uint64(p.Number))
	b = appendBool(b, pathOutboundLost, p.OutboundLost)
	b = appendBool(b, pathInboundLost, p.InboundLost)
	return appendUint(b, pathGeneration, p.Generation)
}

// AppendMessage appends the encoding of a message, without a trailer.
func AppendMessage(b []byte, m membership.Message) []byte {
	b = appendUint(b, fieldKind, uint64(m.Kind))
	b = appendString(b, fieldFrom, m.From)
	b = appendUint(b, fieldGeneration, m.Generation)
	b = appendUint(b, fieldIncarnation, uint64(m.Incarnation))
	b = appendString(b, fieldTo, m.To)
	b = appendUint(b, fieldToGeneration, m.ToGeneration)
	b = appendUint(b, fieldNumber, uint64(m.Number))
	b = appendString(b, fieldTarget, m.Target)
	b = appendAddress(b, fieldTargetAddress, m.TargetAddress)
	b = appendString(b, fieldOrigin, m.Origin)
	b = appendUint(b, fieldOriginNumber, uint64(m.OriginNumber))
	b = appendBool(b, fieldDirectPingReceived, m.DirectPingReceived)
	b = appendFixed(b, fieldDigest, m.Digest)
	for _, r := range m.Records {
		b = appendNested(b, fieldRecords, func(b []byte) []byte { return appendRecord(b, r) })
	}
	for _, c := range m.Paths {
		b = appendNested(b, fieldPaths, func(b []byte) []byte { return appendPath(b, c) })
	}
	return b
}
