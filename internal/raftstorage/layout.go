package raftstorage

import (
	"encoding/binary"

	"marblespan/internal/raftstore"
)

// format is the version of the file's layout.
const format = 1

// pieceSize is the size of the pieces in which a snapshot's data is stored, in bytes.
const pieceSize = 256 << 10

// Names of the buckets and keys in the file. They must not change, because existing files contain them.
//
//	facts             metadata of the file
//	  format, store, life, sequence: numbers
//	  view            the latest known ledger
//	  retired         keys of the members that must not take part again, refSize bytes each
//	groups            the members of the Raft groups
//	  (memberKey)     one bucket per member
//	    hard          the hard state
//	    snapshot      the snapshot's metadata
//	    pieces        the pieces of the snapshot's data, by pieceKey
//	    log           the log entries, by entryKey
var (
	bucketMetadata = []byte("facts")
	bucketGroups   = []byte("groups")
	bucketLog      = []byte("log")
	bucketPieces   = []byte("pieces")
	keyFormat      = []byte("format")
	keyStore       = []byte("store")
	keyIncarnation = []byte("life")
	keySequence    = []byte("sequence")
	keyLedger      = []byte("view")
	keyRetired     = []byte("retired")
	keyHardState   = []byte("hard")
	keySnapshot    = []byte("snapshot")
)

// refSize is the size of a member's key in bytes.
const refSize = 4 + 4 + 8

// memberKey returns the key of a member.
func memberKey(group, epoch uint32, number uint64) []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, refSize), group)
	b = binary.BigEndian.AppendUint32(b, epoch)
	return binary.BigEndian.AppendUint64(b, number)
}

// readRef decodes a member's key. b must have refSize bytes.
func readRef(b []byte) raftstore.MemberRef {
	return raftstore.MemberRef{Group: binary.BigEndian.Uint32(b), Epoch: binary.BigEndian.Uint32(b[4:]), Member: binary.BigEndian.Uint64(b[8:])}
}

// entryKey returns the key of a log entry.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// pieceKey returns the key of a piece of a snapshot's data. Pieces are numbered from 0.
func pieceKey(piece int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(piece)) }
