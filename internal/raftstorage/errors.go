package raftstorage

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	bbolterrors "go.etcd.io/bbolt/errors"
)

// Causes of a DamagedError that this package detects. Other causes are, for example, errors and panics of bbolt.
var (
	// ErrFormat means that the file belongs to another program or has another version of the layout.
	ErrFormat = errors.New("not a state store of this version")
	// ErrChecksum means that a value does not match its checksum.
	ErrChecksum = errors.New("checksum mismatch")
	// ErrIncomplete means that part of the content is missing, or is in a place where it must not be.
	ErrIncomplete = errors.New("inconsistent content")
)

var (
	// ErrLocked means that another process has the file open.
	ErrLocked = errors.New("another process has the file open")
	// ErrWriteFailed means that the file accepts no more writes because an earlier write failed.
	ErrWriteFailed = errors.New("raftstorage: not written, because an earlier write failed")
)

// DamagedError means that a file must not be used, because none of its content can be relied on. For the file's
// gateway, this is the loss of its disk.
type DamagedError struct {
	Path  string
	Cause error
}

// Error returns a message with the path of the file and the cause.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("raftstorage: %s is damaged: %v", d.Path, d.Cause)
}

// Unwrap returns the cause.
func (d *DamagedError) Unwrap() error { return d.Cause }

// accessError is an error in opening the file that does not indicate damaged content.
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

// guardContent runs a function that reads or writes a file. It converts every error that may be caused by damaged content, and every
// panic of bbolt, into a *DamagedError. bbolt does not check the lengths in the file's pages. With a damaged length, it accesses memory
// outside of the mapped file. This fault would end the process, but SetPanicOnFault turns it into a panic on this goroutine. The setting
// costs nothing as long as every address is valid.
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
