// Package members is the codec of what gateways tell each other about who is there (internal/membership): protocol buffers as
// api/members.proto describes them, one message a datagram, inside the signed trailer of internal/protocol/sealed. It works
// on bytes only.
//
// The messages are written with the library's low-level package: the generated code and its reflection would take the
// gateway over its memory at rest (docs/membership.md has the figures). Tests hold both to the same bytes.
package members

import (
	"errors"
	"math"
	"net/netip"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

// MostSize is the size of the largest datagram in bytes.
const MaxSize = membership.MaxMessageSize + sealed.Size

// purpose is what signatures are made for here. The deployment's name is part of it, so that another deployment's messages
// are not valid even with the same secret.
const purpose = "marblespan members 1\x00"

// ErrSize tells that a message is too large to be sent.
var ErrSize = errors.New("a message of more than 1140 bytes")

// The fields' numbers, as api/members.proto has them.
const (
	fieldKind, fieldFrom, fieldLife, fieldIncarnation, fieldTo, fieldToLife, fieldNumber, fieldTarget, fieldTargetAt = 1, 2, 3, 4, 5, 6, 7, 8, 9
	fieldOrigin, fieldOriginNumber, fieldDirect, fieldDigest, fieldRecords, fieldCuts                                = 10, 11, 12, 13, 14, 15

	addressIP, addressPort = 1, 2

	recordName, recordAt, recordLife, recordIncarnation, recordState, recordBy = 1, 2, 3, 4, 5, 6
	recordZone, recordWeight, recordVersion, recordSettings, recordFlags       = 7, 8, 9, 10, 11
	cutBy, cutPeer, cutNumber, cutUnheard, cutDeaf, cutLife                    = 1, 2, 3, 4, 5, 6
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

// appendNested writes a message in a message.
func appendNested(b []byte, field protowire.Number, write func([]byte) []byte) []byte {
	inner := write(make([]byte, 0, 128))
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), inner)
}

func appendAddress(b []byte, field protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	return appendNested(b, field, func(b []byte) []byte {
		b = protowire.AppendBytes(protowire.AppendTag(b, addressIP, protowire.BytesType), a.Addr().AsSlice())
		return appendUint(b, addressPort, uint64(a.Port()))
	})
}

func appendRecord(b []byte, r membership.Record) []byte {
	b = appendString(b, recordName, r.Name)
	b = appendAddress(b, recordAt, r.Address)
	b = appendUint(b, recordLife, r.Generation)
	b = appendUint(b, recordIncarnation, uint64(r.Incarnation))
	b = appendUint(b, recordState, uint64(r.State))
	b = appendString(b, recordBy, r.ReportedBy)
	b = appendString(b, recordZone, r.Meta.Zone)
	b = appendUint(b, recordWeight, uint64(r.Meta.Weight))
	b = appendString(b, recordVersion, r.Meta.Version)
	b = appendFixed(b, recordSettings, r.Meta.Settings)
	return appendUint(b, recordFlags, uint64(r.Meta.Flags))
}

func appendCut(b []byte, c membership.PathState) []byte {
	b = appendString(b, cutBy, c.Reporter)
	b = appendString(b, cutPeer, c.Peer)
	b = appendUint(b, cutNumber, uint64(c.Number))
	b = appendBool(b, cutUnheard, c.OutboundLost)
	b = appendBool(b, cutDeaf, c.InboundLost)
	return appendUint(b, cutLife, c.Generation)
}

// AppendMessage writes a message without its trailer.
func AppendMessage(b []byte, m membership.Message) []byte {
	b = appendUint(b, fieldKind, uint64(m.Kind))
	b = appendString(b, fieldFrom, m.From)
	b = appendUint(b, fieldLife, m.Generation)
	b = appendUint(b, fieldIncarnation, uint64(m.Incarnation))
	b = appendString(b, fieldTo, m.To)
	b = appendUint(b, fieldToLife, m.ToGeneration)
	b = appendUint(b, fieldNumber, uint64(m.Number))
	b = appendString(b, fieldTarget, m.Target)
	b = appendAddress(b, fieldTargetAt, m.TargetAddress)
	b = appendString(b, fieldOrigin, m.Origin)
	b = appendUint(b, fieldOriginNumber, uint64(m.OriginNumber))
	b = appendBool(b, fieldDirect, m.DirectPingReceived)
	b = appendFixed(b, fieldDigest, m.Digest)
	for _, r := range m.Records {
		b = appendNested(b, fieldRecords, func(b []byte) []byte { return appendRecord(b, r) })
	}
	for _, c := range m.Paths {
		b = appendNested(b, fieldCuts, func(b []byte) []byte { return appendCut(b, c) })
	}
	return b
}

// Append writes and signs a message of a deployment.
func Append(b []byte, m membership.Message, t sealed.Trailer, deployment string, key sealed.Key) ([]byte, error) {
	from := len(b)
	if b = AppendMessage(b, m); len(b)-from > membership.MaxMessageSize {
		return b[:from], ErrSize
	}
	return sealed.Append(b, from, t, purpose+deployment+"\x00", key), nil
}

// Plausible tells, before any signature is looked at, whether a datagram could be one of ours: garbage must cost little.
func Plausible(b []byte, keys []sealed.Key) sealed.Fault {
	if len(b) < sealed.Size+2 || len(b) > MaxSize {
		return sealed.BadLength
	}
	t := b[len(b)-sealed.Size:]
	if t[0] != sealed.Version {
		return sealed.BadVersion
	}
	for _, k := range keys {
		if k.Number == t[1] {
			return sealed.NoFault
		}
	}
	return sealed.UnknownKey
}

// Parse reads a datagram and checks all that can be told without knowing the members. Nothing of a datagram with a fault is
// to be believed.
func Parse(b []byte, deployment string, keys []sealed.Key) (m membership.Message, t sealed.Trailer, f sealed.Fault) {
	if f = Plausible(b, keys); f != sealed.NoFault {
		return m, t, f
	}
	t, v := sealed.Parse(b, purpose+deployment+"\x00", keys)
	if v != sealed.NoFault {
		return m, sealed.Trailer{}, v
	}
	if m, f = ParseMessage(b[:len(b)-sealed.Size]); f != sealed.NoFault {
		return membership.Message{}, sealed.Trailer{}, f
	}
	return m, t, sealed.NoFault
}

// reader takes fields off the front of a message. The first fault stays.
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

// each calls take with every field until the message ends; take reports whether it knows the field, else it is skipped.
func (r *reader) each(take func(n protowire.Number, t protowire.Type) bool) {
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

func (r *reader) want(t, have protowire.Type) bool {
	if t != have {
		r.fail(sealed.BadMessage)
	}
	return t == have
}

// uint reads a number of at most so much.
func (r *reader) uint(t protowire.Type, most uint64) uint64 {
	if !r.want(protowire.VarintType, t) {
		return 0
	}
	v, size := protowire.ConsumeVarint(r.b)
	if size < 0 {
		r.fail(sealed.BadMessage)
		return 0
	}
	if r.b = r.b[size:]; v > most {
		r.fail(sealed.BadValue)
		return 0
	}
	return v
}

func (r *reader) uint32(t protowire.Type) uint32 { return uint32(r.uint(t, math.MaxUint32)) }

func (r *reader) bool(t protowire.Type) bool { return r.uint(t, 1) == 1 }

func (r *reader) fixed(t protowire.Type) uint64 {
	if !r.want(protowire.Fixed64Type, t) {
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
	if !r.want(protowire.BytesType, t) {
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

// text reads a string of at most so many bytes, of printable characters.
func (r *reader) text(t protowire.Type, most int) string {
	s := string(r.bytes(t))
	if len(s) > most || !utf8.ValidString(s) {
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

// nested reads a message in a message.
func (r *reader) nested(t protowire.Type, read func(*reader)) {
	inner := reader{b: r.bytes(t)}
	if r.fault != sealed.NoFault {
		return
	}
	if read(&inner); inner.fault != sealed.NoFault {
		r.fail(inner.fault)
	}
}

func (r *reader) address(t protowire.Type) (at netip.AddrPort) {
	r.nested(t, func(r *reader) {
		var ip netip.Addr
		port := uint64(0)
		r.each(func(n protowire.Number, t protowire.Type) bool {
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

func (r *reader) record() (x membership.Record) {
	r.each(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case recordName:
			x.Name = r.text(t, membership.MaxNameLength)
		case recordAt:
			x.Address = r.address(t)
		case recordLife:
			x.Generation = r.uint(t, math.MaxInt64)
		case recordIncarnation:
			x.Incarnation = r.uint32(t)
		case recordState:
			x.State = membership.State(r.uint(t, uint64(membership.StateCount)-1))
		case recordBy:
			x.ReportedBy = r.text(t, membership.MaxNameLength)
		case recordZone:
			x.Meta.Zone = r.text(t, membership.MaxZoneLength)
		case recordWeight:
			x.Meta.Weight = r.uint32(t)
		case recordVersion:
			x.Meta.Version = r.text(t, membership.MaxVersionLength)
		case recordSettings:
			x.Meta.Settings = r.fixed(t)
		case recordFlags:
			x.Meta.Flags = membership.Flags(r.uint32(t))
		default:
			return false
		}
		return true
	})
	if x.Name == "" || !x.Address.IsValid() || x.Generation == 0 || x.State == membership.Suspect && x.ReportedBy == "" {
		r.fail(sealed.BadValue)
	}
	return x
}

func (r *reader) cut() (c membership.PathState) {
	r.each(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case cutBy:
			c.Reporter = r.text(t, membership.MaxNameLength)
		case cutPeer:
			c.Peer = r.text(t, membership.MaxNameLength)
		case cutNumber:
			c.Number = r.uint32(t)
		case cutUnheard:
			c.OutboundLost = r.bool(t)
		case cutDeaf:
			c.InboundLost = r.bool(t)
		case cutLife:
			c.Generation = r.uint(t, math.MaxInt64)
		default:
			return false
		}
		return true
	})
	if c.Reporter == "" || c.Peer == "" || c.Generation == 0 {
		r.fail(sealed.BadValue)
	}
	return c
}

// ParseMessage reads a message without its trailer.
func ParseMessage(b []byte) (m membership.Message, f sealed.Fault) {
	r := &reader{b: b}
	kind := uint64(0)
	r.each(func(n protowire.Number, t protowire.Type) bool {
		switch n {
		case fieldKind:
			kind = r.uint(t, math.MaxUint32)
		case fieldFrom:
			m.From = r.text(t, membership.MaxNameLength)
		case fieldLife:
			m.Generation = r.uint(t, math.MaxInt64)
		case fieldIncarnation:
			m.Incarnation = r.uint32(t)
		case fieldTo:
			m.To = r.text(t, membership.MaxNameLength)
		case fieldToLife:
			m.ToGeneration = r.uint(t, math.MaxInt64)
		case fieldNumber:
			m.Number = r.uint32(t)
		case fieldTarget:
			m.Target = r.text(t, membership.MaxNameLength)
		case fieldTargetAt:
			m.TargetAddress = r.address(t)
		case fieldOrigin:
			m.Origin = r.text(t, membership.MaxNameLength)
		case fieldOriginNumber:
			m.OriginNumber = r.uint32(t)
		case fieldDirect:
			m.DirectPingReceived = r.bool(t)
		case fieldDigest:
			m.Digest = r.fixed(t)
		case fieldRecords:
			r.nested(t, func(r *reader) { m.Records = append(m.Records, r.record()) })
		case fieldCuts:
			r.nested(t, func(r *reader) { m.Paths = append(m.Paths, r.cut()) })
		default:
			return false
		}
		return true
	})
	switch m.Kind = membership.Kind(min(kind, math.MaxUint8)); {
	case r.fault != sealed.NoFault:
		return membership.Message{}, r.fault
	case !m.Kind.Known():
		return membership.Message{}, sealed.BadKind
	case m.From == "" || m.Generation == 0 || m.Kind == membership.IndirectPing && (m.Target == "" || !m.TargetAddress.IsValid()):
		return membership.Message{}, sealed.BadValue
	}
	return m, sealed.NoFault
}
