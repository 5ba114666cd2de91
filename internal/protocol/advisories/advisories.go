// Package advisories is the codec of what instances tell each other of servers that they have probed: batches of notices, each
// batch in one datagram. It works on bytes only, and is strict: there is one way to write a batch, and any other is a fault.
package advisories

import (
	"encoding/binary"
	"errors"
)

// The bounds of what a batch may say.
const (
	MaxSize    = 1200      // bytes of a batch: one datagram on any path
	MaxUIDSize = 64        // bytes of a server's name
	MaxFields  = 8         // of a load report
	MaxAge     = 3_600_000 // ms; older news is no news
)

// Role is what a server said that it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RoleReplica
	RolePrimary
	roles
)

// Notice is what one instance learned of one server. Ages are counted back from the sending, so that the clocks of instances
// need not agree; Start and Position are the server's own, milliseconds of Unix time.
type Advisory struct {
	UID      string
	Start    uint64 // when the server last started; 0: long ago. News of one life says nothing of another
	Healthy  bool   // it answered
	Age      uint64 // ms since it answered, or did not
	Role     Role
	RoleAge  uint64 // ms since the proof of its role; 0 if it is unknown
	Position uint64 // up to where it has applied the log; a lower bound. 0: not told
	Load     []Field
}

// Field is one field of a load report, by its index among those that the settings name, in thousandths.
type Field struct {
	Index uint8
	Value uint64
}

// Batch is some notices of one sender. Incarnation and Sequence tell old batches and those of an earlier life from new ones.
type Batch struct {
	Incarnation uint64
	Sequence    uint64
	Advisories  []Advisory
}

// ErrBatch tells that bytes are no batch.
var ErrBatch = errors.New("no batch of notices")

// ErrNotice tells that a notice is out of bounds and cannot be written.
var ErrAdvisory = errors.New("a notice out of bounds")

// magic begins a batch; its last byte is the version.
const magic = "MSN\x01"

const headerSize = len(magic) + 8 + 8

// The flags of a notice. The role takes two bits.
const (
	flagHealthy  = 1 << 0
	roleShift    = 1
	flagPosition = 1 << 3
	flagLoad     = 1 << 4
	flagsAll     = 1<<5 - 1
)

// Append writes notices as batches of at most MostSize bytes, numbered from next on, and hands each over. It returns the
// number after the last.
func Append(incarnation, next uint64, all []Advisory, send func([]byte)) (uint64, error) {
	b := appendHeader(incarnation, next)
	for _, n := range all {
		encoded, err := appendAdvisory(nil, n)
		if err != nil {
			return next, err
		}
		if len(b)+len(encoded) > MaxSize {
			send(b)
			next++
			b = appendHeader(incarnation, next)
		}
		b = append(b, encoded...)
	}
	if len(b) > headerSize {
		send(b)
		next++
	}
	return next, nil
}

func appendHeader(incarnation, sequence uint64) []byte {
	b := append(make([]byte, 0, MaxSize), magic...)
	b = binary.BigEndian.AppendUint64(b, incarnation)
	return binary.BigEndian.AppendUint64(b, sequence)
}

func appendAdvisory(b []byte, advisory Advisory) ([]byte, error) {
	if len(advisory.UID) == 0 || len(advisory.UID) > MaxUIDSize || advisory.Role >= roles || advisory.Age > MaxAge || advisory.RoleAge > MaxAge ||
		advisory.Role == RoleUnknown && advisory.RoleAge != 0 || len(advisory.Load) > MaxFields {
		return b, ErrAdvisory
	}
	flags := byte(advisory.Role) << roleShift
	if advisory.Healthy {
		flags |= flagHealthy
	}
	if advisory.Position > 0 {
		flags |= flagPosition
	}
	if len(advisory.Load) > 0 {
		flags |= flagLoad
	}
	b = append(b, flags, byte(len(advisory.UID)))
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

// Parse reads a batch. Nothing of one with a fault is to be believed.
func Parse(b []byte) (Batch, error) {
	if len(b) > MaxSize || len(b) <= headerSize || string(b[:len(magic)]) != magic {
		return Batch{}, ErrBatch
	}
	out := Batch{
		Incarnation: binary.BigEndian.Uint64(b[len(magic):]), Sequence: binary.BigEndian.Uint64(b[len(magic)+8:]),
	}
	r := reader{b: b[headerSize:]}
	for len(r.b) > 0 && !r.malformed {
		out.Advisories = append(out.Advisories, r.advisory())
	}
	if r.malformed {
		return Batch{}, ErrBatch
	}
	return out, nil
}

// reader takes a batch apart. After the first fault it is bad and yields nothing.
type reader struct {
	b         []byte
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
	if r.malformed || len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uid(n int) string {
	if r.malformed || n == 0 || n > MaxUIDSize || n > len(r.b) {
		r.malformed = true
		return ""
	}
	v := string(r.b[:n])
	r.b = r.b[n:]
	return v
}

// number reads a varint in its shortest form.
func (r *reader) uvarint() uint64 {
	if r.malformed {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}
