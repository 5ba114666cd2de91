// Package raftstorage keeps a gateway's members of the Raft groups in one file (go.etcd.io/bbolt): one transaction with one sync for each
// raftstore.Write. Every value has a checksum over its key and itself, so that damage is noticed. A file that is damaged anywhere
// counts as damaged as a whole: its gateway has lost its disk, and gets the content from the other members.
//
// internal/raftnode opens the file and is the only writer (see Open); the command that checks a store reads a file that is not in
// use with Check. The layout is in layout.go; the decisions about what counts as damaged are in File.load and guardContent.
package raftstorage

import (
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"marblespan/internal/raftstore"
)

// lockTimeout is how long Open and Check wait for a file that another process has open.
const lockTimeout = time.Second

// File is an open storage file. One goroutine owns it (see Open).
type File struct {
	db       *bbolt.DB
	sequence uint64 // writes that the file has seen, in all incarnations
	store    uint64 // number of the disk; 0: nothing has been written yet
	failed   bool   // a write has failed
}

// Open opens a storage file for writing, or creates it, and reads its content.
//
// One process has the file open: it is locked, and Open waits a second for the lock before it returns ErrLocked. In that process one
// goroutine writes to it, the gateway's disk writer (internal/raftnode), which also is the last to use it before Close.
//
// A *DamagedError means that the content cannot be used; raftnode then renames the file, and opens a new one. Any other error says
// nothing about the content.
func Open(path string) (*File, *raftstore.StoredState, error) {
	f := &File{}
	var stored *raftstore.StoredState
	err := guardContent(path, func() (err error) {
		// The list of free pages is kept in the file: to rebuild it the library reads all pages on a goroutine of its own, where
		// nothing recovers from the panic that a damaged page causes.
		f.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return openError(err)
		}
		stored, err = f.load()
		return err
	})
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, stored, nil
}

// Check reads a file that no process has open for writing, and changes nothing. Its errors are those of Open; a file that does not
// exist is an error, too.
func Check(path string) (*raftstore.StoredState, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("raftstorage: %w", err)
	}
	var stored *raftstore.StoredState
	err := guardContent(path, func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
		if err != nil {
			return openError(err)
		}
		defer db.Close()
		stored, err = (&File{db: db}).load()
		return err
	})
	if err != nil {
		return nil, err
	}
	return stored, nil
}

// Sequence is the number of writes that the file has seen in all incarnations.
func (f *File) Sequence() uint64 { return f.sequence }

// Write makes a write durable before it returns. Only the goroutine that owns the file may call it: raftnode's disk writer.
//
// After an error the file takes no more writes (ErrWriteFailed): the kernel may have dropped the pages that it could not write,
// and would report success the next time.
func (f *File) Write(w raftstore.Write) error {
	if f.failed {
		return ErrWriteFailed
	}
	err := guardContent(f.db.Path(), func() error {
		return f.db.Update(func(tx *bbolt.Tx) error { return f.apply(tx, w) })
	})
	if err != nil {
		f.failed = true
		return err
	}
	f.sequence++
	f.store = w.Store
	return nil
}

// Close closes the file and releases its lock.
func (f *File) Close() {
	if f.db != nil {
		f.db.Close()
	}
}
