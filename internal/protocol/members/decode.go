package members

import (
	"math"
	"net/netip"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

// This file decodes messages. Unknown fields, which later versions may send, are skipped.

// reader consumes fields from the front of a message. It keeps the first fault, after which it reads nothing more.
type reader struct {
	b     []byte
	fault sealed.Fault
}

func (r *reader) fail(f sealed.Fault) {
	if r.fault == sealed.NoFault {
		r.fault = f
	}
	r.b = nil
}

// eachField calls the function take for every field until the message ends. take must consume the field's value and return true,
// or return false for an unknown field, which is then skipped.
func (r *reader) eachField(take func(n protowire.Number, t protowire.Type) bool) {
	for len(r.b) > 0 {
		n, t, size := protowire.ConsumeTag(r.b)
		if size < 0 {
			r.fail(sealed.BadMessage)
			return
		}
		r.b = r.b[size:]
		if take(n, t) {
			continue
		}
		if size = protowire.ConsumeFieldValue(n, t, r.b); size < 0 {
			r.fail(sealed.BadMessage)
			return
		}
		r.b = r.b[size:]
	}
}

// hasType reports whether a field has the expected wire type. If not, it records a fault.
func (r *reader) hasType(t, have protowire.Type) bool {
	if t != have {
		r.fail(sealed.BadMessage)
	}
	return t == have
}

// uint reads a varint. A value above limit is a fault.
func (r *reader) uint(t protowire.Type, limit uint64) uint64 {
	if !r.hasType(protowire.VarintType, t) {
		return 0
	}
	v, size := protowire.ConsumeVarint(r.b)
	if size < 0 {
		r.fail(sealed.BadMessage)
		return 0
	}
	if r.b = r.b[size:]; v > limit {
		r.fail(sealed.BadValue)
		return 0
	}
	return v
}

func (r *reader) uint32(t protowire.Type) uint32 { return uint32(r.uint(t, math.MaxUint32)) }

func (r *reader) bool(t protowire.Type) bool { return r.uint(t, 1) == 1 }

func (r *reader) fixed64(t protowire.Type) uint64 {
	if !r.hasType(protowire.Fixed64Type, t) {
		return 0
	}
	v, size := protowire.ConsumeFixed64(r.b)
	if size < 0 {
		r.fail(sealed.BadMessage)
		return 0
	}
	r.b = r.b[size:]
	return v
}

func (r *reader) bytes(t protowire.Type) []byte {
	if !r.hasType(protowire.BytesType, t) {
		return nil
	}
	v, size := protowire.ConsumeBytes(r.b)
	if size < 0 {
		r.fail(sealed.BadMessage)
		return nil
	}
	r.b = r.b[size:]
	return v
}

// text reads a string. A string that is longer than maxLength bytes, is not valid UTF-8 or has control characters is a fault.
func (r *reader) text(t protowire.Type, maxLength int) string {
	s := string(r.bytes(t))
	if len(s) > maxLength || !utf8.ValidString(s) {
		r.fail(sealed.BadValue)
		return ""
	}
	for _, c := range s {
		if c < ' ' || c == 0x7f {
			r.fail(sealed.BadValue)
			return ""
		}
	}
	return s
}

// nested passes an embedded message to the function read. A fault in the embedded message is recorded as a fault of the message
// that contains it.
func (r *reader) nested(t protowire.Type, read func(*reader)) {
	inner := reader{b: r.bytes(t)}
	if r.fault != sealed.NoFault {
		return
	}
	if read(&inner); inner.fault != sealed.NoFault {
		r.fail(inner.fault)
	}
}

// address reads an IP address and a port. Both must be set, and the address must not be an IPv4-mapped IPv6 address.
func (r *reader) address(t protowire.Type) (at netip.AddrPort) {
	r.nested(t, func(r *reader) {
		var ip netip.Addr
		port := uint64(0)
		r.eachField(func(n protowire.Number, t protowire.Type) bool {
			switch n {
			case addressIP:
				var ok bool
				if ip, ok = netip.AddrFromSlice(r.bytes(t)); !ok {
					r.fail(sealed.BadValue)
				}
			case addressPort:
				port = r.uint(t, math.MaxUint16)
			default:
				return false
			}
			return true
		})
		if at = netip.AddrPortFrom(ip, uint16(port)); !ip.IsValid() || ip.Is4In6() || port == 0 {
			r.fail(sealed.BadValue)
		}
	})
	return at
}

// record reads a record. It checks that the name, the address and the generation are set and, for a suspected member, that the
// reporter is set.
func (r *reader) record() (record membership.Record) {
	r.eachField(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case recordName:
			record.Name = r.text(t, membership.MaxNameLength)
		case recordAddress:
			record.Address = r.address(t)
		case recordGeneration:
			record.Generation = r.uint(t, math.MaxInt64)
		case recordIncarnation:
			record.Incarnation = r.uint32(t)
		case recordState:
			record.State = membership.State(r.uint(t, uint64(membership.StateCount)-1))
		case recordReportedBy:
			record.ReportedBy = r.text(t, membership.MaxNameLength)
		case recordZone:
			record.Meta.Zone = r.text(t, membership.MaxZoneLength)
		case recordWeight:
			record.Meta.Weight = r.uint32(t)
		case recordVersion:
			record.Meta.Version = r.text(t, membership.MaxVersionLength)
		case recordSettings:
			record.Meta.Settings = r.fixed64(t)
		case recordFlags:
			record.Meta.Flags = membership.Flags(r.uint32(t))
		default:
			return false
		}
		return true
	})
	if record.Name == "" || !record.Address.IsValid() || record.Generation == 0 || record.State == membership.Suspect && record.ReportedBy == "" {
		r.fail(sealed.BadValue)
	}
	return record
}

// path reads a report on a path, and checks that reporter, peer and generation are set.
func (r *reader) path() (path membership.PathState) {
	r.eachField(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case pathReporter:
			path.Reporter = r.text(t, membership.MaxNameLength)
		case pathPeer:
			path.Peer = r.text(t, membership.MaxNameLength)
		case pathNumber:
			path.Number = r.uint32(t)
		case pathOutboundLost:
			path.OutboundLost = r.bool(t)
		case pathInboundLost:
			path.InboundLost = r.bool(t)
		case pathGeneration:
			path.Generation = r.uint(t, math.MaxInt64)
		default:
			return false
		}
		return true
	})
	if path.Reporter == "" || path.Peer == "" || path.Generation == 0 {
		r.fail(sealed.BadValue)
	}
	return path
}

// ParseMessage parses a message without its trailer, and makes all checks that need only the message itself.
func ParseMessage(b []byte) (msg membership.Message, fault sealed.Fault) {
	r := &reader{b: b}
	kind := uint64(0)
	r.eachField(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case fieldKind:
			kind = r.uint(t, math.MaxUint32)
		case fieldFrom:
			msg.From = r.text(t, membership.MaxNameLength)
		case fieldGeneration:
			msg.Generation = r.uint(t, math.MaxInt64)
		case fieldIncarnation:
			msg.Incarnation = r.uint32(t)
		case fieldTo:
			msg.To = r.text(t, membership.MaxNameLength)
		case fieldToGeneration:
			msg.ToGeneration = r.uint(t, math.MaxInt64)
		case fieldNumber:
			msg.Number = r.uint32(t)
		case fieldTarget:
			msg.Target = r.text(t, membership.MaxNameLength)
		case fieldTargetAddress:
			msg.TargetAddress = r.address(t)
		case fieldOrigin:
			msg.Origin = r.text(t, membership.MaxNameLength)
		case fieldOriginNumber:
			msg.OriginNumber = r.uint32(t)
		case fieldDirectPingReceived:
			msg.DirectPingReceived = r.bool(t)
		case fieldDigest:
			msg.Digest = r.fixed64(t)
		case fieldRecords:
			r.nested(t, func(r *reader) { msg.Records = append(msg.Records, r.record()) })
		case fieldPaths:
			r.nested(t, func(r *reader) { msg.Paths = append(msg.Paths, r.path()) })
		default:
			return false
		}
		return true
	})
	switch msg.Kind = membership.Kind(min(kind, math.MaxUint8)); {
	case r.fault != sealed.NoFault:
		return membership.Message{}, r.fault
	case !msg.Kind.Known():
		return membership.Message{}, sealed.BadKind
	case msg.From == "" || msg.Generation == 0 || msg.Kind == membership.IndirectPing && (msg.Target == "" || !msg.TargetAddress.IsValid()):
		return membership.Message{}, sealed.BadValue
	}
	return msg, sealed.NoFault
}
