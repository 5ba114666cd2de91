package raftstorage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
)

// Witness is a small file that records the latest write to the storage file. It is on a file system that is empty after each boot of
// the machine (/run). If a restarted process finds that the witness matches the storage file, the storage file contains the last write
// before the restart. A group member on this gateway then need not ask the other members how far its own log had got. The
// witness does not match after a reboot of the machine, or if the storage file has been replaced by an older copy.
//
// The goroutine that writes to the storage file (see Open) also writes the witness.
type Witness struct {
	file   *os.File
	bootID []byte
}

// witnessHeaderSize is the size of the store ID and of the number of writes. After these, the file contains the boot ID.
const witnessHeaderSize = 2 * numberSize

// bootIDPath is the file with the random ID that the kernel generates at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// OpenWitness opens the witness file, or creates it. known reports whether the witness has recorded this store since the machine's boot,
// with no more writes than the storage file has now (sequence). If not, the witness is emptied, because otherwise it could match
// wrongly once the storage file has more writes.
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

// matches reports whether the witness has recorded this store since the machine's boot, with no more writes than sequence.
func (w *Witness) matches(store, sequence uint64) bool {
	raw := make([]byte, witnessHeaderSize+len(w.bootID))
	if n, _ := w.file.ReadAt(raw, 0); n != len(raw) || store == 0 {
		return false
	}
	recorded, writes, bootID := binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[numberSize:]), raw[witnessHeaderSize:]
	return recorded == store && writes <= sequence && bytes.Equal(bootID, w.bootID)
}

// Record records the store ID and the number of writes to the storage file. It must be called before the latest write is acknowledged
// to other members or clients.
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
