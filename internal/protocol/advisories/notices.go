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

const headSize = len(magic) + 8 + 8

// The flags of a notice. The role takes two bits.
const (
	flagGood  = 1 << 0
	roleShift = 1
	flagPos   = 1 << 3
	flagLoad  = 1 << 4
	flagsAll  = 1<<5 - 1
)

// Append writes notices as batches of at most MostSize bytes, numbered from next on, and hands each over. It returns the
// number after the last.
func Append(incarnation, next uint64, all []Advisory, send func([]byte)) (uint64, error) {
	b := head(incarnation, next)
	for _, n := range all {
		one, err := appendAdvisory(nil, n)
		if err != nil {
			return next, err
		}
		if len(b)+len(one) > MaxSize {
			send(b)
			next++
			b = head(incarnation, next)
		}
		b = append(b, one...)
	}
	if len(b) > headSize {
		send(b)
		next++
	}
	return next, nil
}

func head(incarnation, sequence uint64) []byte {
	b := append(make([]byte, 0, MaxSize), magic...)
	b = binary.BigEndian.AppendUint64(b, incarnation)
	return binary.BigEndian.AppendUint64(b, sequence)
}

func appendAdvisory(b []byte, n Advisory) ([]byte, error) {
	if len(n.UID) == 0 || len(n.UID) > MaxUIDSize || n.Role >= roles || n.Age > MaxAge || n.RoleAge > MaxAge ||
		n.Role == RoleUnknown && n.RoleAge != 0 || len(n.Load) > MaxFields {
		return b, ErrAdvisory
	}
	flags := byte(n.Role) << roleShift
	if n.Healthy {
		flags |= flagGood
	}
	if n.Position > 0 {
		flags |= flagPos
	}
	if len(n.Load) > 0 {
		flags |= flagLoad
	}
	b = append(b, flags, byte(len(n.UID)))
	b = append(b, n.UID...)
	b = binary.AppendUvarint(b, n.Start)
	b = binary.AppendUvarint(b, n.Age)
	if n.Role != RoleUnknown {
		b = binary.AppendUvarint(b, n.RoleAge)
	}
	if n.Position > 0 {
		b = binary.AppendUvarint(b, n.Position)
	}
	if len(n.Load) > 0 {
		b = append(b, byte(len(n.Load)))
		for i, f := range n.Load {
			if i > 0 && f.Index <= n.Load[i-1].Index {
				return b, ErrAdvisory
			}
			b = binary.AppendUvarint(append(b, f.Index), f.Value)
		}
	}
	return b, nil
}

// Parse reads a batch. Nothing of one with a fault is to be believed.
func Parse(b []byte) (Batch, error) {
	if len(b) > MaxSize || len(b) <= headSize || string(b[:len(magic)]) != magic {
		return Batch{}, ErrBatch
	}
	out := Batch{
		Incarnation: binary.BigEndian.Uint64(b[len(magic):]), Sequence: binary.BigEndian.Uint64(b[len(magic)+8:]),
	}
	r := reader{b: b[headSize:]}
	for len(r.b) > 0 && !r.bad {
		out.Advisories = append(out.Advisories, r.advisory())
	}
	if r.bad {
		return Batch{}, ErrBatch
	}
	return out, nil
}

// reader takes a batch apart. After the first fault it is bad and yields nothing.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) advisory() (n Advisory) {
	flags := r.byte()
	n.Healthy, n.Role = flags&flagGood != 0, Role(flags>>roleShift&3)
	if flags > flagsAll || n.Role >= roles {
		r.bad = true
	}
	n.UID = r.text(int(r.byte()))
	n.Start, n.Age = r.number(), r.number()
	if n.Role != RoleUnknown {
		n.RoleAge = r.number()
	}
	if flags&flagPos != 0 {
		if n.Position = r.number(); n.Position == 0 {
			r.bad = true
		}
	}
	if flags&flagLoad != 0 {
		r.load(&n)
	}
	if n.Age > MaxAge || n.RoleAge > MaxAge {
		r.bad = true
	}
	return n
}

func (r *reader) load(n *Advisory) {
	count := int(r.byte())
	if count == 0 || count > MaxFields {
		r.bad = true
		return
	}
	for i := range count {
		f := Field{Index: r.byte(), Value: r.number()}
		if i > 0 && f.Index <= n.Load[i-1].Index {
			r.bad = true
		}
		n.Load = append(n.Load, f)
	}
}

func (r *reader) byte() byte {
	if r.bad || len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) text(n int) string {
	if r.bad || n == 0 || n > MaxUIDSize || n > len(r.b) {
		r.bad = true
		return ""
	}
	v := string(r.b[:n])
	r.b = r.b[n:]
	return v
}

// number reads a varint in its shortest form.
func (r *reader) number() uint64 {
	if r.bad {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}
