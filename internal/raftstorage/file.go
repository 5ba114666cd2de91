// Package raftstorage stores a gateway's members of the Raft groups in one file (go.etcd.io/bbolt). Each raftstore.Write is one
// transaction with one sync. Every value has a checksum over the key and the value, so that damage is detected. A file that is damaged
// anywhere is treated as damaged as a whole. This counts as the loss of the gateway's disk: the gateway gets the content from the other
// members.
//
// internal/raftnode opens the file and is its only writer (see Open). The command that checks a store uses Check to read a file that is
// not in use. The layout is described in layout.go. File.load and guardContent decide which content is damaged.
package raftstorage

import (
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"marblespan/internal/raftstore"
)

// lockTimeout is how long Open and Check wait for the lock of a file that another process has open.
const lockTimeout = time.Second

// File is an open storage file. It is owned by one goroutine (see Open).
type File struct {
	db       *bbolt.DB
	sequence uint64 // number of writes to the file, over all incarnations
	store    uint64 // ID of the store on this disk; 0 if nothing has been written yet
	failed   bool   // a write has failed
}

// Open opens a storage file for writing, or creates it, and reads its content.
//
// Only one process can have the file open, because Open locks it. If another process holds the lock, Open waits for one second and then
// returns ErrLocked. Within the process, only the gateway's disk writer (internal/raftnode) writes to the file, and the file may be closed
// only after the disk writer has ended.
//
// A *DamagedError means that the content cannot be used; raftnode then renames the file and opens a new one. Any other error does not
// mean that the content is damaged.
func Open(path string) (*File, *raftstore.StoredState, error) {
	f := &File{}
	var stored *raftstore.StoredState
	err := guardContent(path, func() (err error) {
		// The list of free pages is stored in the file (NoFreelistSync is not set). Otherwise, bbolt would rebuild the list by reading
		// all pages on a separate goroutine, where a panic caused by a damaged page could not be recovered.
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

// Check reads a file that no process has open for writing, and does not change it. It returns the same errors as Open, and also an
// error if the file does not exist.
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

// Sequence returns the number of writes to the file, over all incarnations.
func (f *File) Sequence() uint64 { return f.sequence }

// Write makes a write durable before it returns. It may be called only by the goroutine that owns the file, raftnode's disk writer.
//
// After an error the file accepts no more writes (ErrWriteFailed), because the kernel may have dropped the pages that it could not
// write, and would report success for the next sync.
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
