package raftstorage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
)

// Witness is a small file that records the storage's latest write. It is on a file system that is empty after a start of the
// machine (/run). A process that restarts recognizes by it that the storage file is the one that it left, and its members need not
// ask the others for their latest state. After a start of the machine, or with an older copy of the storage file, it does not match.
//
// The goroutine that writes the storage file (see Open) also writes the witness.
type Witness struct {
	file   *os.File
	bootID []byte
}

// The file has the disk's number, the number of writes and the ID of the machine's boot.
const witnessHeaderSize = 2 * numberSize

// bootIDPath names the ID that the kernel draws at each start of the machine.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// OpenWitness opens the witness, or creates it. known tells whether it has recorded this disk, with no more writes than the disk has
// now. If not, it is emptied: it must not match by itself once the disk has more writes.
func OpenWitness(path string, store, sequence uint64) (w *Witness, known bool, err error) {
	bootID, err := os.ReadFile(bootIDPath)
	if err != nil {
		return nil, false, fmt.Errorf("raftstorage: %w", err)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, false, fmt.Errorf("raftstorage: %w", err)
	}
	w = &Witness{file, bootID}
	if w.matches(store, sequence) {
		return w, true, nil
	}
	if err := file.Truncate(0); err != nil {
		file.Close()
		return nil, false, fmt.Errorf("raftstorage: %w", err)
	}
	return w, false, nil
}

// matches tells whether the witness has recorded this disk since the machine's start, with no more writes than sequence.
func (w *Witness) matches(store, sequence uint64) bool {
	raw := make([]byte, witnessHeaderSize+len(w.bootID))
	if n, _ := w.file.ReadAt(raw, 0); n != len(raw) || store == 0 {
		return false
	}
	recorded, writes, bootID := binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[numberSize:]), raw[witnessHeaderSize:]
	return recorded == store && writes <= sequence && bytes.Equal(bootID, w.bootID)
}

// Record records the disk's number and how many writes it has. It must be called before the latest write is acknowledged to anybody.
func (w *Witness) Record(store, sequence uint64) error {
	b := binary.BigEndian.AppendUint64(nil, store)
	b = binary.BigEndian.AppendUint64(b, sequence)
	if _, err := w.file.WriteAt(append(b, w.bootID...), 0); err != nil {
		return fmt.Errorf("raftstorage: witness: %w", err)
	}
	return nil
}

// Close closes the file.
func (w *Witness) Close() { w.file.Close() }
