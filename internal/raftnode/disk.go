package raftnode

import (
	"errors"
	"fmt"
	"os"
	"time"

	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// storage holds the storage file and its witness. Start opens the files. After that, only the disk writer writes to them. Close
// closes the files once the disk writer has ended.
type storage struct {
	file    *raftstorage.File    // nil if the groups are kept in memory only
	witness *raftstorage.Witness // nil if there is none
	writes  chan raftstore.Write // passes writes to the disk writer; the host has at most one write in flight
}

// close closes the files.
func (s *storage) close() {
	if s.file != nil {
		s.file.Close()
	}
	if s.witness != nil {
		s.witness.Close()
	}
}

// write makes a write durable and records it in the witness. Nothing is recorded until all members have completed recovery
// (raftstore.Write.Recovered), because the witness may confirm the disk only then.
func (s *storage) write(w raftstore.Write) error {
	if s.file == nil {
		return nil
	}
	if err := s.file.Write(w); err != nil {
		return err
	}
	if s.witness == nil || !w.Recovered {
		return nil
	}
	return s.witness.Record(w.Store, s.file.Sequence())
}

// openStorage opens the storage file and the witness, if the settings name them, and reads the stored state. trusted is true if the
// file is known to contain the last write of the previous start, because the witness confirms this or the file is new.
func (n *Node) openStorage() (stored *raftstore.StoredState, trusted bool, err error) {
	if !n.settings.RunsGroups || n.settings.StoragePath == "" {
		return nil, false, nil
	}
	if n.storage.file, stored, err = n.openFile(n.settings.StoragePath); err != nil {
		return nil, false, err
	}
	trusted = stored.Store == 0
	if n.settings.WitnessPath != "" {
		var known bool
		n.storage.witness, known, err = raftstorage.OpenWitness(n.settings.WitnessPath, stored.Store, n.storage.file.Sequence())
		if err != nil {
			n.storage.close()
			return nil, false, fmt.Errorf("witness: %w", err)
		}
		trusted = trusted || known
	}
	return stored, trusted, nil
}

// openFile opens the storage file. A damaged file is renamed, so that an operator can examine it. This counts as the loss of the
// gateway's disk; the gateway continues with a new file.
func (n *Node) openFile(path string) (*raftstorage.File, *raftstore.StoredState, error) {
	file, stored, err := raftstorage.Open(path)
	var damaged *raftstorage.DamagedError
	if !errors.As(err, &damaged) {
		return file, stored, err
	}
	renamed := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
	n.log.Error().Err(err).Str("kept_as", renamed).Msg("state store: the storage file is damaged; renaming it and starting with a new one")
	if err := os.Rename(path, renamed); err != nil {
		return nil, nil, err
	}
	return raftstorage.Open(path)
}

// runDiskWriter carries out the host's writes to the storage file until quit is closed. After a write that failed it writes nothing
// more: it sends DiskFailed to the host, and the node continues without members of the Raft groups.
func (n *Node) runDiskWriter() {
	failed := false
	for {
		select {
		case <-n.quit:
			return
		case w := <-n.storage.writes:
			if failed {
				continue
			}
			if err := n.storage.write(w); err != nil {
				failed = true
				n.enqueue(inboxItem{event: raftstore.DiskFailed{Cause: err.Error()}})
				continue
			}
			n.Counters.Writes.Add(1)
			n.enqueue(inboxItem{event: raftstore.WriteCompleted{Number: w.Number}})
		}
	}
}
