package raftstorage

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	bbolterrors "go.etcd.io/bbolt/errors"
)

// The causes of a DamagedError that this package finds itself; others are the file library's.
var (
	// ErrFormat means that the file is another program's, or has another version of the layout.
	ErrFormat = errors.New("not a state store of this version")
	// ErrChecksum means that a value is not what was written.
	ErrChecksum = errors.New("checksum mismatch")
	// ErrIncomplete means that something is missing, or stands where it must not.
	ErrIncomplete = errors.New("inconsistent content")
)

var (
	// ErrLocked means that another process has the file open.
	ErrLocked = errors.New("another process has the file open")
	// ErrWriteFailed means that an earlier write has failed, since when the file takes none.
	ErrWriteFailed = errors.New("raftstorage: not written, because an earlier write failed")
)

// DamagedError means that a file must not be used: nothing in it can be relied on. Its gateway has lost its disk.
type DamagedError struct {
	Path  string
	Cause error
}

// Error names the file and the cause.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("raftstorage: %s is damaged: %v", d.Path, d.Cause)
}

// Unwrap returns the cause.
func (d *DamagedError) Unwrap() error { return d.Cause }

// accessError is an error that says nothing about the file's content.
type accessError struct{ error }

// openError classifies an error of bbolt.Open.
func openError(err error) error {
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return &accessError{fmt.Errorf("%w (waited %v for its lock): %w", ErrLocked, lockTimeout, err)}
	case errors.Is(err, os.ErrPermission):
		return &accessError{err}
	}
	return err
}

// guardContent runs a function that reads or writes a file, and turns what is wrong with the content, a panic of the file library
// among it, into a *DamagedError. The library trusts the lengths in the file's pages: a damaged one leads beyond the memory that
// the file is mapped to, and an access there ends the process unless this goroutine asks for a panic. That costs nothing as long
// as every address is valid.
func guardContent(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{path, fmt.Errorf("%v", p)}
		}
	}()
	err = do()
	var access *accessError
	var pathError *os.PathError
	switch {
	case errors.As(err, &pathError):
		return fmt.Errorf("raftstorage: %w", err)
	case errors.As(err, &access):
		return fmt.Errorf("raftstorage: open %s: %w", path, access.error)
	case err != nil:
		return &DamagedError{path, err}
	}
	return nil
}
