package raftstorage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// The sizes of a checksum and of a number in bytes.
const (
	checksumSize = 8
	numberSize   = 8
)

// checksum is what stands behind a value.
func checksum(key, value []byte) []byte {
	d := xxhash.New()
	d.Write(key)
	d.Write(value)
	return binary.BigEndian.AppendUint64(nil, d.Sum64())
}

// verified returns a value without its checksum. The value is a copy: the file's pages are valid during the transaction only.
func verified(key, raw []byte) ([]byte, error) {
	size := len(raw) - checksumSize
	if size < 0 {
		return nil, fmt.Errorf("%w: the value of %q has %d bytes, fewer than a checksum", ErrChecksum, key, len(raw))
	}
	if string(checksum(key, raw[:size])) != string(raw[size:]) {
		return nil, fmt.Errorf("%w: the value of %q, %d bytes", ErrChecksum, key, size)
	}
	return append([]byte(nil), raw[:size]...), nil
}

// bucket reads and writes values with their checksums.
type bucket struct{ *bbolt.Bucket }

func (b bucket) set(key, value []byte) error {
	return b.Put(key, slices.Concat(value, checksum(key, value)))
}

// get reads a value; nil: there is none.
func (b bucket) get(key []byte) ([]byte, error) {
	raw := b.Get(key)
	if raw == nil {
		return nil, nil
	}
	return verified(key, raw)
}

func (b bucket) setNumber(key []byte, n uint64) error {
	return b.set(key, binary.BigEndian.AppendUint64(nil, n))
}

// number reads a number; 0: there is none.
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

// message reads a message. found is false if there is none.
func (b bucket) message(key []byte, m proto.Message) (found bool, err error) {
	v, err := b.get(key)
	if err != nil || v == nil {
		return false, err
	}
	if err := proto.Unmarshal(v, m); err != nil {
		return false, fmt.Errorf("the message %q: %w", key, err)
	}
	return true, nil
}

// each passes all values to a function, in the order of their keys. It skips nested buckets.
func (b bucket) each(do func(key, value []byte) error) error {
	return b.ForEach(func(key, raw []byte) error {
		if raw == nil {
			return nil
		}
		v, err := verified(key, raw)
		if err != nil {
			return err
		}
		return do(key, v)
	})
}
