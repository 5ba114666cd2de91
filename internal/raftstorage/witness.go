package raftstorage

import (
	"bytes"
	"encoding/binary"
	"os"
)

// Witness is a small file beside the disk, on a file system that does not outlive the machine's running (/run), which says what
// the store had last written. A process that ends and starts again finds by it that its disk is the one that it left, and need
// not ask others; after a start of the machine, or with a copy put back, it does not.
type Witness struct {
	file *os.File
	boot []byte
}

const witnessSize = 16

// OpenWitness opens the file, or begins it. known tells whether it fits a store and the number of writes that its disk has
// seen.
func OpenWitness(path string, store, sequence uint64) (w *Witness, known bool, err error) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id") // another one after each start of the machine
	if err != nil {
		return nil, false, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, false, err
	}
	raw := make([]byte, witnessSize+len(boot))
	n, _ := file.ReadAt(raw, 0)
	known = n == len(raw) && bytes.Equal(raw[witnessSize:], boot) && store != 0 &&
		binary.BigEndian.Uint64(raw) == store && binary.BigEndian.Uint64(raw[8:]) <= sequence
	if !known { // it must not fit by itself once the disk has gone on
		if err := file.Truncate(0); err != nil {
			file.Close()
			return nil, false, err
		}
	}
	return &Witness{file, boot}, known, nil
}

// Note says what the disk has now. It must be said before anybody hears of it.
func (w *Witness) Record(store, sequence uint64) error {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, store), sequence)
	_, err := w.file.WriteAt(append(b, w.boot...), 0)
	return err
}

// Close closes the file.
func (w *Witness) Close() { w.file.Close() }
