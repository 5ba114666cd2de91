package raftstorage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// Sizes of a stored checksum and a stored number, in bytes.
const (
	checksumSize = 8
	numberSize   = 8
)

// checksum returns the checksum over a key and its value. It is stored after the value.
func checksum(key, value []byte) []byte {
	d := xxhash.New()
	d.Write(key)
	d.Write(value)
	return binary.BigEndian.AppendUint64(nil, d.Sum64())
}

// verify checks a stored value and returns a copy of it without its checksum. A copy is needed because the file's pages are valid
// only during the transaction.
func verify(key, raw []byte) ([]byte, error) {
	size := len(raw) - checksumSize
	if size < 0 {
		return nil, fmt.Errorf("%w: the value of %q has %d bytes, fewer than a checksum", ErrChecksum, key, len(raw))
	}
	if string(checksum(key, raw[:size])) != string(raw[size:]) {
		return nil, fmt.Errorf("%w: the value of %q, %d bytes", ErrChecksum, key, size)
	}
	return append([]byte(nil), raw[:size]...), nil
}

// bucket wraps a bbolt bucket whose values are stored with checksums.
type bucket struct{ *bbolt.Bucket }

func (b bucket) set(key, value []byte) error {
	return b.Put(key, slices.Concat(value, checksum(key, value)))
}

// get returns the value of a key, or nil if there is none.
func (b bucket) get(key []byte) ([]byte, error) {
	raw := b.Get(key)
	if raw == nil {
		return nil, nil
	}
	return verify(key, raw)
}

func (b bucket) setNumber(key []byte, n uint64) error {
	return b.set(key, binary.BigEndian.AppendUint64(nil, n))
}

// number returns the number under a key, or 0 if there is none.
func (b bucket) number(key []byte) (uint64, error) {
	v, err := b.get(key)
	if err != nil || v == nil {
		return 0, err
	}
	if len(v) != numberSize {
		return 0, fmt.Errorf("%w: the number %q has %d bytes, want %d", ErrIncomplete, key, len(v), numberSize)
	}
	return binary.BigEndian.Uint64(v), nil
}

func (b bucket) setMessage(key []byte, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.set(key, v)
}

// message decodes the message under a key into m. found is false if there is none.
func (b bucket) message(key []byte, m proto.Message) (found bool, err error) {
	v, err := b.get(key)
	if err != nil || v == nil {
		return false, err
	}
	if err := proto.Unmarshal(v, m); err != nil {
		return false, fmt.Errorf("decode the message under %q: %w", key, err)
	}
	return true, nil
}

// each calls a function with each key and value, in the order of the keys. It skips nested buckets.
func (b bucket) each(do func(key, value []byte) error) error {
	return b.ForEach(func(key, raw []byte) error {
		if raw == nil {
			return nil
		}
		v, err := verify(key, raw)
		if err != nil {
			return err
		}
		return do(key, v)
	})
}
