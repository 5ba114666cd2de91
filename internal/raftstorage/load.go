package raftstorage

import (
	"bytes"
	"fmt"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"marblespan/internal/raftstore"
)

// load reads the content of the file. A file without buckets is new; its state is empty.
func (f *File) load() (*raftstore.StoredState, error) {
	stored := &raftstore.StoredState{}
	err := f.db.View(func(tx *bbolt.Tx) error {
		metadata := tx.Bucket(bucketMetadata)
		if metadata == nil {
			if name, _ := tx.Cursor().First(); name != nil {
				return fmt.Errorf("%w: found bucket %q, want %q", ErrFormat, name, bucketMetadata)
			}
			return nil
		}
		if err := f.loadMetadata(bucket{metadata}, stored); err != nil {
			return err
		}
		groups := tx.Bucket(bucketGroups)
		if groups == nil {
			return fmt.Errorf("%w: bucket %q is missing", ErrIncomplete, bucketGroups)
		}
		return groups.ForEachBucket(func(key []byte) error {
			member, err := loadMember(key, groups.Bucket(key))
			stored.Members = append(stored.Members, member)
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	f.store = stored.Store
	return stored, nil
}

// loadMetadata reads the file's metadata (bucketMetadata).
func (f *File) loadMetadata(metadata bucket, stored *raftstore.StoredState) error {
	version, err := metadata.number(keyFormat)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if version != format {
		return fmt.Errorf("%w: found format %d, want %d", ErrFormat, version, format)
	}
	for _, number := range []struct {
		key  []byte
		into *uint64
	}{{keyStore, &stored.Store}, {keyIncarnation, &stored.Incarnation}, {keySequence, &f.sequence}} {
		if *number.into, err = metadata.number(number.key); err != nil {
			return err
		}
	}
	if stored.Store == 0 {
		return fmt.Errorf("%w: the store ID under %q is missing", ErrIncomplete, keyStore)
	}
	if stored.Ledger, err = metadata.get(keyLedger); err != nil {
		return err
	}
	stored.Retired, err = loadRetired(metadata)
	return err
}

// loadRetired reads the list of members that must not take part again.
func loadRetired(metadata bucket) (refs []raftstore.MemberRef, err error) {
	raw, err := metadata.get(keyRetired)
	if err != nil {
		return nil, err
	}
	if len(raw)%refSize != 0 {
		return nil, fmt.Errorf("%w: %q has %d bytes, want a multiple of %d", ErrIncomplete, keyRetired, len(raw), refSize)
	}
	for ; len(raw) > 0; raw = raw[refSize:] {
		refs = append(refs, readRef(raw))
	}
	return refs, nil
}

// loadMember reads a member from its bucket.
func loadMember(key []byte, raw *bbolt.Bucket) (member raftstore.StoredMember, err error) {
	if len(key) != refSize {
		return member, fmt.Errorf("%w: the member's key %x has %d bytes, want %d", ErrIncomplete, key, len(key), refSize)
	}
	ref, values := readRef(key), bucket{raw}
	member = raftstore.StoredMember{Group: ref.Group, Epoch: ref.Epoch, Member: ref.Member}
	hard := &pb.HardState{}
	found, err := values.message(keyHardState, hard)
	if err != nil {
		return member, err
	}
	if found {
		member.HardState = hard
	}
	snapshot := &pb.Snapshot{}
	if found, err = values.message(keySnapshot, snapshot); err != nil {
		return member, err
	}
	if found {
		if snapshot.Data, err = loadPieces(raw.Bucket(bucketPieces)); err != nil {
			return member, err
		}
		member.Snapshot = snapshot
	}
	member.Entries, err = loadLog(raw.Bucket(bucketLog))
	return member, err
}

// loadPieces reads a snapshot's data from its pieces.
func loadPieces(raw *bbolt.Bucket) (data []byte, err error) {
	if raw == nil {
		return nil, nil
	}
	pieces := 0
	err = bucket{raw}.each(func(key, piece []byte) error {
		if !bytes.Equal(key, pieceKey(pieces)) {
			return fmt.Errorf("%w: found piece %x of a snapshot, want %x", ErrIncomplete, key, pieceKey(pieces))
		}
		pieces++
		data = append(data, piece...)
		return nil
	})
	return data, err
}

// loadLog reads the entries of a log, and checks that their indexes are consecutive.
func loadLog(raw *bbolt.Bucket) (entries []*pb.Entry, err error) {
	if raw == nil {
		return nil, nil
	}
	err = bucket{raw}.each(func(key, value []byte) error {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return fmt.Errorf("log entry %x: %w", key, err)
		}
		if !bytes.Equal(key, entryKey(entry.GetIndex())) {
			return fmt.Errorf("%w: found log entry %d under the key %x", ErrIncomplete, entry.GetIndex(), key)
		}
		if len(entries) > 0 {
			if want := entries[len(entries)-1].GetIndex() + 1; entry.GetIndex() != want {
				return fmt.Errorf("%w: found log entry %d, want %d", ErrIncomplete, entry.GetIndex(), want)
			}
		}
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}
