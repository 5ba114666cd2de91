package raftstorage

import (
	"encoding/binary"

	"marblespan/internal/raftstore"
)

// format is the version of the file's layout.
const format = 1

// pieceSize is how much of a snapshot is in one value, in bytes.
const pieceSize = 256 << 10

// The names in the file. They must not change: stored files have them.
//
//	facts             about the whole file
//	  format, store, life, sequence: numbers
//	  view            the ledger as last known
//	  retired         members that must not take part again, refSize bytes each
//	groups
//	  (memberKey)     a bucket for each member
//	    hard          Raft's hard state
//	    snapshot      the snapshot's metadata
//	    pieces        the snapshot's data, by pieceKey
//	    log           entries, by entryKey
var (
	bucketFacts    = []byte("facts")
	bucketGroups   = []byte("groups")
	bucketLog      = []byte("log")
	bucketPieces   = []byte("pieces")
	keyFormat      = []byte("format")
	keyStore       = []byte("store")
	keyIncarnation = []byte("life")
	keySequence    = []byte("sequence")
	keyView        = []byte("view")
	keyRetired     = []byte("retired")
	keyHardState   = []byte("hard")
	keySnapshot    = []byte("snapshot")
)

// refSize is the size of a member's key in bytes.
const refSize = 4 + 4 + 8

// memberKey is the key of a member.
func memberKey(group, epoch uint32, number uint64) []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, refSize), group)
	b = binary.BigEndian.AppendUint32(b, epoch)
	return binary.BigEndian.AppendUint64(b, number)
}

// readRef reads a member's key, which has refSize bytes.
func readRef(b []byte) raftstore.MemberRef {
	return raftstore.MemberRef{Group: binary.BigEndian.Uint32(b), Epoch: binary.BigEndian.Uint32(b[4:]), Member: binary.BigEndian.Uint64(b[8:])}
}

// entryKey is the key of a log entry.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// pieceKey is the key of a snapshot's piece; the first one is 0.
func pieceKey(piece int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(piece)) }
