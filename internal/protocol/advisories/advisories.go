// Package advisories is the codec of the advisories that gateways send each other about the servers whose health they have
// checked. Advisories are sent in batches, each batch in one datagram. The package works on bytes only and owns no state;
// Append encodes and Parse decodes. A batch has exactly one valid encoding: Parse rejects every other encoding (see
// reader's methods).
package advisories

import (
	"encoding/binary"
	"errors"
)

// Limits of a batch.
const (
	MaxSize    = 1200      // bytes of a batch: one datagram on any path
	MaxUIDSize = 64        // bytes of a server's UID
	MaxFields  = 8         // fields of a load report
	MaxAge     = 3_600_000 // milliseconds; older information is of no use
)

// Role is the role that a server reported.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RoleReplica
	RolePrimary
	roles
)

// Advisory holds what one gateway knows about one server. Ages are milliseconds before the batch was sent, so that the
// gateways' clocks need not agree; Start and Position are Unix milliseconds of the server's clock.
type Advisory struct {
	UID      string
	Start    uint64 // time of the server's last start; 0: long ago. The advisory is valid only for the server process that started then
	Healthy  bool   // the server responded to the last health check
	Age      uint64 // time since the server's last health check
	Role     Role
	RoleAge  uint64 // time since the server's role was confirmed; 0 if the role is unknown
	Position uint64 // lower bound on the log position that the server has applied; 0: not known
	Load     []Field
}

// Field is one field of a load report: its index among the fields that the settings name, and its value in thousandths.
type Field struct {
	Index uint8
	Value uint64
}

// Batch holds the advisories of one sender in one datagram. Incarnation and Sequence distinguish the batch from older
// batches and from the batches of an earlier incarnation of the sender.
type Batch struct {
	Incarnation uint64
	Sequence    uint64
	Advisories  []Advisory
}

// ErrBatch is returned by Parse for bytes that are not a valid batch.
var ErrBatch = errors.New("invalid batch of advisories")

// ErrAdvisory is returned by Append for an advisory that is out of bounds.
var ErrAdvisory = errors.New("advisory out of bounds")

// magic begins every batch; its last byte is the version of the format.
const magic = "MSN\x01"

// headerSize is the total size in bytes of magic, incarnation and sequence.
const headerSize = len(magic) + 8 + 8

// The flags of an advisory. The role takes two bits.
const (
	flagHealthy  = 1 << 0
	roleShift    = 1
	flagPosition = 1 << 3
	flagLoad     = 1 << 4
	flagsAll     = 1<<5 - 1
)

// Append encodes advisories as batches of at most MaxSize bytes, with sequence numbers from next on, and calls the function send
// for each batch. Append returns the sequence number for the next batch. If it returns ErrAdvisory, the batches before the
// invalid advisory may already have been sent.
func Append(incarnation, next uint64, all []Advisory, send func([]byte)) (uint64, error) {
	b := newBatch(incarnation, next)
	for _, n := range all {
		encoded, err := appendAdvisory(nil, n)
		if err != nil {
			return next, err
		}
		if len(b)+len(encoded) > MaxSize {
			send(b)
			next++
			b = newBatch(incarnation, next)
		}
		b = append(b, encoded...)
	}
	if len(b) > headerSize {
		send(b)
		next++
	}
	return next, nil
}

// newBatch returns a batch that consists of its header only.
func newBatch(incarnation, sequence uint64) []byte {
	b := append(make([]byte, 0, MaxSize), magic...)
	b = binary.BigEndian.AppendUint64(b, incarnation)
	return binary.BigEndian.AppendUint64(b, sequence)
}

// inBounds reports whether an advisory can be encoded. It does not check the order of the load fields.
func (a *Advisory) inBounds() bool {
	switch {
	case len(a.UID) == 0, len(a.UID) > MaxUIDSize, len(a.Load) > MaxFields:
		return false
	case a.Role >= roles, a.Role == RoleUnknown && a.RoleAge != 0:
		return false
	}
	return a.Age <= MaxAge && a.RoleAge <= MaxAge
}

// flags returns the first byte of the advisory's encoding.
func (a *Advisory) flags() byte {
	flags := byte(a.Role) << roleShift
	if a.Healthy {
		flags |= flagHealthy
	}
	if a.Position > 0 {
		flags |= flagPosition
	}
	if len(a.Load) > 0 {
		flags |= flagLoad
	}
	return flags
}

// appendAdvisory appends the encoding of one advisory. It returns ErrAdvisory if the advisory is out of bounds.
func appendAdvisory(b []byte, advisory Advisory) ([]byte, error) {
	if !advisory.inBounds() {
		return b, ErrAdvisory
	}
	b = append(b, advisory.flags(), byte(len(advisory.UID)))
	b = append(b, advisory.UID...)
	b = binary.AppendUvarint(b, advisory.Start)
	b = binary.AppendUvarint(b, advisory.Age)
	if advisory.Role != RoleUnknown {
		b = binary.AppendUvarint(b, advisory.RoleAge)
	}
	if advisory.Position > 0 {
		b = binary.AppendUvarint(b, advisory.Position)
	}
	if len(advisory.Load) > 0 {
		b = append(b, byte(len(advisory.Load)))
		for i, f := range advisory.Load {
			if i > 0 && f.Index <= advisory.Load[i-1].Index {
				return b, ErrAdvisory
			}
			b = binary.AppendUvarint(append(b, f.Index), f.Value)
		}
	}
	return b, nil
}

// Parse decodes a batch. It returns ErrBatch, and nothing of the batch, if any part is malformed.
func Parse(b []byte) (Batch, error) {
	if len(b) > MaxSize || len(b) <= headerSize || string(b[:len(magic)]) != magic {
		return Batch{}, ErrBatch
	}
	out := Batch{
		Incarnation: binary.BigEndian.Uint64(b[len(magic):]), Sequence: binary.BigEndian.Uint64(b[len(magic)+8:]),
	}
	r := reader{data: b[headerSize:]}
	for len(r.data) > 0 && !r.malformed {
		out.Advisories = append(out.Advisories, r.advisory())
	}
	if r.malformed {
		return Batch{}, ErrBatch
	}
	return out, nil
}

// reader decodes a batch. After the first fault, malformed is set and the methods return zero values.
type reader struct {
	data      []byte
	malformed bool
}

func (r *reader) advisory() (advisory Advisory) {
	flags := r.byte()
	advisory.Healthy, advisory.Role = flags&flagHealthy != 0, Role(flags>>roleShift&3)
	if flags > flagsAll || advisory.Role >= roles {
		r.malformed = true
	}
	advisory.UID = r.uid(int(r.byte()))
	advisory.Start, advisory.Age = r.uvarint(), r.uvarint()
	if advisory.Role != RoleUnknown {
		advisory.RoleAge = r.uvarint()
	}
	if flags&flagPosition != 0 {
		if advisory.Position = r.uvarint(); advisory.Position == 0 {
			r.malformed = true
		}
	}
	if flags&flagLoad != 0 {
		r.load(&advisory)
	}
	if advisory.Age > MaxAge || advisory.RoleAge > MaxAge {
		r.malformed = true
	}
	return advisory
}

// load reads the fields of a load report, whose indexes must be in ascending order.
func (r *reader) load(advisory *Advisory) {
	count := int(r.byte())
	if count == 0 || count > MaxFields {
		r.malformed = true
		return
	}
	for i := range count {
		f := Field{Index: r.byte(), Value: r.uvarint()}
		if i > 0 && f.Index <= advisory.Load[i-1].Index {
			r.malformed = true
		}
		advisory.Load = append(advisory.Load, f)
	}
}

func (r *reader) byte() byte {
	if r.malformed || len(r.data) == 0 {
		r.malformed = true
		return 0
	}
	v := r.data[0]
	r.data = r.data[1:]
	return v
}

// uid reads a server's UID of n bytes.
func (r *reader) uid(n int) string {
	if r.malformed || n == 0 || n > MaxUIDSize || n > len(r.data) {
		r.malformed = true
		return ""
	}
	v := string(r.data[:n])
	r.data = r.data[n:]
	return v
}

// uvarint reads a varint, which must be in its shortest form.
func (r *reader) uvarint() uint64 {
	if r.malformed {
		return 0
	}
	v, n := binary.Uvarint(r.data)
	if n <= 0 || n > 1 && r.data[n-1] == 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}
