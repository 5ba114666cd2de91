package raftstorage

import (
	"encoding/binary"
	"errors"
	"slices"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/raftstore"
)

// apply applies a write in a transaction. If the store ID differs from the stored one, the former content of the file is deleted.
func (f *File) apply(tx *bbolt.Tx, w raftstore.Write) error {
	if f.store != 0 && f.store != w.Store {
		for _, name := range [][]byte{bucketGroups, bucketMetadata} {
			if err := tx.DeleteBucket(name); err != nil {
				return err
			}
		}
	}
	metadata, err := tx.CreateBucketIfNotExists(bucketMetadata)
	if err != nil {
		return err
	}
	groups, err := tx.CreateBucketIfNotExists(bucketGroups)
	if err != nil {
		return err
	}
	if err := f.writeMetadata(bucket{metadata}, w); err != nil {
		return err
	}
	for i := range w.Members {
		if err := writeMember(groups, &w.Members[i]); err != nil {
			return err
		}
	}
	return nil
}

// writeMetadata writes the file's metadata (bucketMetadata).
func (f *File) writeMetadata(metadata bucket, w raftstore.Write) error {
	err := errors.Join(metadata.setNumber(keyFormat, format), metadata.setNumber(keyStore, w.Store),
		metadata.setNumber(keyIncarnation, w.Incarnation), metadata.setNumber(keySequence, f.sequence+1))
	if w.Ledger != nil {
		err = errors.Join(err, metadata.set(keyLedger, w.Ledger))
	}
	retired, readErr := metadata.get(keyRetired)
	for _, ref := range w.Retired {
		retired = append(retired, memberKey(ref.Group, ref.Epoch, ref.Member)...)
	}
	return errors.Join(err, readErr, metadata.set(keyRetired, retired))
}

// writeMember applies one member's part of a write: it deletes the member, or writes the snapshot, entries and hard state that are set.
func writeMember(groups *bbolt.Bucket, w *raftstore.MemberWrite) error {
	key := memberKey(w.Group, w.Epoch, w.Member)
	if w.Delete {
		if groups.Bucket(key) == nil {
			return nil
		}
		return groups.DeleteBucket(key)
	}
	member, err := groups.CreateBucketIfNotExists(key)
	if err != nil {
		return err
	}
	log, err := member.CreateBucketIfNotExists(bucketLog)
	if err != nil {
		return err
	}
	if w.Snapshot != nil {
		if err := truncateLog(log, w); err != nil {
			return err
		}
		if err := writeSnapshot(member, w.Snapshot); err != nil {
			return err
		}
	}
	if err := writeEntries(log, w.Entries); err != nil {
		return err
	}
	if w.HardState != nil {
		return bucket{member}.setMessage(keyHardState, w.HardState)
	}
	return nil
}

// truncateLog removes the entries that a snapshot replaces: the entries up to the snapshot's index if KeepEntries is
// set, and otherwise all entries.
func truncateLog(log *bbolt.Bucket, w *raftstore.MemberWrite) error {
	last := w.Snapshot.GetMetadata().GetIndex()
	c := log.Cursor()
	for key, _ := c.First(); key != nil && (!w.KeepEntries || binary.BigEndian.Uint64(key) <= last); key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// writeSnapshot replaces a member's snapshot. It writes the data in pieces, and then the metadata.
func writeSnapshot(member *bbolt.Bucket, snapshot *pb.Snapshot) error {
	if member.Bucket(bucketPieces) != nil {
		if err := member.DeleteBucket(bucketPieces); err != nil {
			return err
		}
	}
	pieces, err := member.CreateBucket(bucketPieces)
	if err != nil {
		return err
	}
	number := 0
	for piece := range slices.Chunk(snapshot.Data, pieceSize) {
		if err := (bucket{pieces}).set(pieceKey(number), piece); err != nil {
			return err
		}
		number++
	}
	return bucket{member}.setMessage(keySnapshot, &pb.Snapshot{Metadata: snapshot.GetMetadata()})
}

// writeEntries appends entries to a log. It first removes the stored entries from the first new entry's index on.
func writeEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := removeFrom(log, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := (bucket{log}).setMessage(entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// removeFrom removes the entries of a log from an index on.
func removeFrom(log *bbolt.Bucket, index uint64) error {
	first := entryKey(index)
	c := log.Cursor()
	for key, _ := c.Seek(first); key != nil; key, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
