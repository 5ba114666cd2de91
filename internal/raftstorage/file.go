// Package raftstorage keeps a host's replicas in one file (go.etcd.io/bbolt): one transaction with one sync for each write of
// internal/raftstore. Every value carries a check sum over itself and its key, so that what a disk has spoilt is told from what
// was written. A file that is at fault anywhere is at fault as a whole: its gateway goes on as one that has lost its disk.
package raftstorage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"marblespan/internal/raftstore"
)

// format is the version of the file's layout.
const format = 1

// pieceSize is how much of a snapshot stands in one value, in bytes.
const pieceSize = 256 << 10

// lockBy is how long a file that another process has is waited for.
const lockBy = time.Second

// The names in the file: a bucket of facts, and one of groups with a bucket for each replica, in which the log has its own.
var (
	bucketFacts   = []byte("facts")
	bucketGroups  = []byte("groups")
	bucketLog     = []byte("log")
	bucketPieces  = []byte("pieces")
	keyFormat     = []byte("format")
	keyStore      = []byte("store")
	keyLife       = []byte("life")
	keySequence   = []byte("sequence")
	keyView       = []byte("view")
	keyRetired    = []byte("retired")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
	errClosed     = errors.New("the file is not written any more")
	errNotCopies  = errors.New("it is no store of copies, or of another version")
	errIncomplete = errors.New("something is missing from it")
)

// Damaged is a file that cannot be believed.
type DamagedError struct {
	Path  string
	Cause error
}

func (d *DamagedError) Error() string { return fmt.Sprintf("%s is damaged: %v", d.Path, d.Cause) }

// Unwrap is why.
func (d *DamagedError) Unwrap() error { return d.Cause }

// File is one open file.
type File struct {
	db       *bbolt.DB
	sequence uint64
	store    uint64
	failed   error
}

// Open opens a file, or begins one, and reads all that is in it. A *Damaged error means that it must not be used.
func Open(path string) (f *File, s *raftstore.Stored, err error) {
	f = &File{}
	err = guarded(path, func() error {
		// The list of free pages is kept in the file: to find them anew the library looks through all pages on a goroutine of
		// its own, where nothing catches the panic that a damaged one causes.
		f.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockBy, FreelistType: bbolt.FreelistMapType})
		if errors.Is(err, bbolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
			return &usage{err}
		}
		if err != nil {
			return err
		}
		s, err = f.load()
		return err
	})
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, s, nil
}

// usage is an error that says nothing about what is in the file.
type usage struct{ error }

// guarded turns what goes wrong with a file's content, a panic of the library among it, into a *Damaged error. The library
// believes the lengths that stand in the file's pages: one that is spoilt leads behind the memory that the file is mapped to,
// and reading there ends the process unless this goroutine asks for a panic. It costs nothing where no address is at fault.
func guarded(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{path, fmt.Errorf("%v", p)}
		}
	}()
	err = do()
	var u *usage
	var os *os.PathError
	switch {
	case errors.As(err, &u):
		return fmt.Errorf("%s: %w", path, u.error)
	case errors.As(err, &os):
		return err
	case err != nil:
		return &DamagedError{path, err}
	}
	return nil
}

// sum is what stands behind a value.
func sum(key, value []byte) []byte {
	d := xxhash.New()
	d.Write(key)
	d.Write(value)
	return binary.BigEndian.AppendUint64(nil, d.Sum64())
}

// bucket reads and writes values with their sums.
type bucket struct{ *bbolt.Bucket }

func (b bucket) set(key, value []byte) error {
	return b.Put(key, append(append(make([]byte, 0, len(value)+8), value...), sum(key, value)...))
}

// checked is a value without its sum.
func checked(key, raw []byte) ([]byte, error) {
	if len(raw) < 8 || string(sum(key, raw[:len(raw)-8])) != string(raw[len(raw)-8:]) {
		return nil, fmt.Errorf("the value of %q does not fit its sum", key)
	}
	return append([]byte(nil), raw[:len(raw)-8]...), nil // the file's pages go when the transaction ends
}

// get reads a value; nil: it is not there.
func (b bucket) get(key []byte) ([]byte, error) {
	raw := b.Get(key)
	if raw == nil {
		return nil, nil
	}
	return checked(key, raw)
}

// number reads a number; 0: it is not there.
func (b bucket) number(key []byte) (uint64, error) {
	v, err := b.get(key)
	if err != nil || v == nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, errIncomplete
	}
	return binary.BigEndian.Uint64(v), nil
}

func (b bucket) setNumber(key []byte, n uint64) error {
	return b.set(key, binary.BigEndian.AppendUint64(nil, n))
}

// message reads a message. It tells whether there is one.
func (b bucket) message(key []byte, m proto.Message) (bool, error) {
	v, err := b.get(key)
	if err != nil || v == nil {
		return false, err
	}
	return true, proto.Unmarshal(v, m)
}

func (b bucket) setMessage(key []byte, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.set(key, v)
}

// each hands over all values in the order of their keys.
func (b bucket) each(do func(key, value []byte) error) error {
	return b.ForEach(func(key, raw []byte) error {
		if raw == nil {
			return nil // a bucket
		}
		v, err := checked(key, raw)
		if err != nil {
			return err
		}
		return do(key, v)
	})
}

// load reads all of it.
func (f *File) load() (s *raftstore.Stored, err error) {
	s = &raftstore.Stored{}
	err = f.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(bucketFacts)
		if raw == nil {
			if k, _ := tx.Cursor().First(); k != nil {
				return errNotCopies
			}
			return nil // it is new
		}
		facts := bucket{raw}
		if n, err := facts.number(keyFormat); err != nil || n != format {
			return errors.Join(errNotCopies, err)
		}
		for _, x := range []struct {
			key  []byte
			into *uint64
		}{{keyStore, &s.Store}, {keyLife, &s.Life}, {keySequence, &f.sequence}} {
			if *x.into, err = facts.number(x.key); err != nil {
				return err
			}
		}
		if s.View, err = facts.get(keyView); err != nil {
			return err
		}
		retired, err := facts.get(keyRetired)
		if err != nil || len(retired)%refSize != 0 || s.Store == 0 {
			return errors.Join(errIncomplete, err)
		}
		for ; len(retired) > 0; retired = retired[refSize:] {
			s.Retired = append(s.Retired, readRef(retired))
		}
		groups := tx.Bucket(bucketGroups)
		if groups == nil {
			return errIncomplete
		}
		return groups.ForEachBucket(func(key []byte) error {
			g, err := loadGroup(key, groups.Bucket(key))
			s.Groups = append(s.Groups, g)
			return err
		})
	})
	f.store = s.Store
	return s, err
}

// refSize is a replica's name as a key, in bytes.
const refSize = 16

func refKey(group, epoch uint32, number uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, group)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(b, epoch), number)
}

func readRef(b []byte) raftstore.Ref {
	return raftstore.Ref{Group: binary.BigEndian.Uint32(b), Epoch: binary.BigEndian.Uint32(b[4:]), Number: binary.BigEndian.Uint64(b[8:])}
}

func loadGroup(key []byte, raw *bbolt.Bucket) (g raftstore.StoredGroup, err error) {
	if len(key) != refSize {
		return g, errIncomplete
	}
	ref, b := readRef(key), bucket{raw}
	g = raftstore.StoredGroup{Group: ref.Group, Epoch: ref.Epoch, Number: ref.Number}
	hard, snap := &pb.HardState{}, &pb.Snapshot{}
	if there, err := b.message(keyHard, hard); err != nil || there {
		if g.Hard = hard; err != nil {
			return g, err
		}
	}
	if there, err := b.message(keySnapshot, snap); err != nil || there {
		if g.Snapshot = snap; err != nil {
			return g, err
		}
		pieces := 0
		if p := raw.Bucket(bucketPieces); p != nil {
			if err := (bucket{p}).each(func(key, v []byte) error {
				if string(key) != string(pieceKey(pieces)) {
					return errIncomplete
				}
				pieces++
				snap.Data = append(snap.Data, v...)
				return nil
			}); err != nil {
				return g, err
			}
		}
	}
	next := uint64(0)
	if log := raw.Bucket(bucketLog); log != nil {
		err = (bucket{log}).each(func(key, v []byte) error {
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return err
			}
			if len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() || next != 0 && e.GetIndex() != next {
				return errIncomplete
			}
			next = e.GetIndex() + 1
			g.Entries = append(g.Entries, e)
			return nil
		})
	}
	return g, err
}

func pieceKey(i int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(i)) }

// Sequence is how many writes the file has seen in all its lives.
func (f *File) Sequence() uint64 { return f.sequence }

// Write writes and waits until the disk has it. After an error nothing is written any more: the kernel may have thrown away
// what it could not write, and would say next time that all is well.
func (f *File) Write(w raftstore.Write) error {
	if f.failed != nil {
		return f.failed
	}
	err := guarded(f.db.Path(), func() error { return f.db.Update(func(tx *bbolt.Tx) error { return f.write(tx, w) }) })
	if err != nil {
		f.failed = errClosed
		return err
	}
	f.sequence++
	f.store = w.Store
	return nil
}

func (f *File) write(tx *bbolt.Tx, w raftstore.Write) error {
	if f.store != 0 && f.store != w.Store {
		for _, name := range [][]byte{bucketGroups, bucketFacts} {
			if err := tx.DeleteBucket(name); err != nil {
				return err
			}
		}
	}
	raw, err := tx.CreateBucketIfNotExists(bucketFacts)
	if err != nil {
		return err
	}
	groups, err := tx.CreateBucketIfNotExists(bucketGroups)
	if err != nil {
		return err
	}
	facts := bucket{raw}
	err = errors.Join(facts.setNumber(keyFormat, format), facts.setNumber(keyStore, w.Store), facts.setNumber(keyLife, w.Life),
		facts.setNumber(keySequence, f.sequence+1))
	if w.View != nil {
		err = errors.Join(err, facts.set(keyView, w.View))
	}
	retired, fault := facts.get(keyRetired)
	for _, r := range w.Retired {
		retired = append(retired, refKey(r.Group, r.Epoch, r.Number)...)
	}
	if err = errors.Join(err, fault, facts.set(keyRetired, retired)); err != nil {
		return err
	}
	for i := range w.Groups {
		if err := writeGroup(groups, &w.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}

func writeGroup(groups *bbolt.Bucket, x *raftstore.GroupWrite) error {
	key := refKey(x.Group, x.Epoch, x.Number)
	if x.Drop {
		if groups.Bucket(key) == nil {
			return nil
		}
		return groups.DeleteBucket(key)
	}
	raw, err := groups.CreateBucketIfNotExists(key)
	if err != nil {
		return err
	}
	log, err := raw.CreateBucketIfNotExists(bucketLog)
	if err != nil {
		return err
	}
	if x.Snapshot != nil {
		if err := writeSnapshot(raw, log, x); err != nil {
			return err
		}
	}
	if len(x.Entries) > 0 {
		if err := cutFrom(log, x.Entries[0].GetIndex()); err != nil {
			return err
		}
		for _, e := range x.Entries {
			if err := (bucket{log}).setMessage(binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
	}
	if x.Hard != nil {
		return bucket{raw}.setMessage(keyHard, x.Hard)
	}
	return nil
}

// writeSnapshot puts a snapshot in the place of the last one, and of the log up to it, or of all of it.
func writeSnapshot(raw, log *bbolt.Bucket, x *raftstore.GroupWrite) error {
	last := x.Snapshot.GetMetadata().GetIndex()
	c := log.Cursor()
	for k, _ := c.First(); k != nil && (!x.Keep || binary.BigEndian.Uint64(k) <= last); k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	if raw.Bucket(bucketPieces) != nil {
		if err := raw.DeleteBucket(bucketPieces); err != nil {
			return err
		}
	}
	pieces, err := raw.CreateBucket(bucketPieces)
	if err != nil {
		return err
	}
	for i, rest := 0, x.Snapshot.Data; len(rest) > 0; i++ {
		n := min(len(rest), pieceSize)
		if err := (bucket{pieces}).set(pieceKey(i), rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return bucket{raw}.setMessage(keySnapshot, &pb.Snapshot{Metadata: x.Snapshot.GetMetadata()})
}

// cutFrom takes away what a log has from an index on.
func cutFrom(log *bbolt.Bucket, index uint64) error {
	from := binary.BigEndian.AppendUint64(nil, index)
	c := log.Cursor()
	for k, _ := c.Seek(from); k != nil; k, _ = c.Seek(from) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (f *File) Close() {
	if f.db != nil {
		f.db.Close()
	}
}

// Check reads a file that no gateway has open, and tells what is in it.
func Check(path string) (s *raftstore.Stored, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	err = guarded(path, func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockBy, ReadOnly: true})
		if errors.Is(err, bbolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
			return &usage{err}
		}
		if err != nil {
			return err
		}
		defer db.Close()
		s, err = (&File{db: db}).load()
		return err
	})
	return s, err
}
