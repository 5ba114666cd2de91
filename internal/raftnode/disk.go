package raftnode

import (
	"errors"
	"fmt"
	"os"
	"time"

	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// storage is the storage file with its witness. Start opens them; from then on the disk writer alone writes to them, until Close
// has waited for its end.
type storage struct {
	file    *raftstorage.File    // nil: the groups are in memory only
	witness *raftstorage.Witness // nil: none
	writes  chan raftstore.Write // to the disk writer; the host has at most one write under way
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

// write makes a write durable. The witness is updated with those that others may hear of.
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

// openStorage opens the storage file and the witness, if there are to be any, and reads what is stored. trusted tells whether the
// file is known to be the one that was written last, which a new file is, too.
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

// openFile opens the storage file. A damaged one is renamed, so that somebody can look at it: the gateway has lost its disk, and
// continues with a new file.
func (n *Node) openFile(path string) (*raftstorage.File, *raftstore.StoredState, error) {
	file, stored, err := raftstorage.Open(path)
	var damaged *raftstorage.DamagedError
	if !errors.As(err, &damaged) {
		return file, stored, err
	}
	renamed := fmt.Sprintf("%s.damaged-%d", path, time.Now().Unix())
	n.log.Error().Err(err).Str("kept_as", renamed).Msg("state store: the disk counts as lost")
	if err := os.Rename(path, renamed); err != nil {
		return nil, nil, err
	}
	return raftstorage.Open(path)
}

// runDiskWriter writes to the storage file. After a fault it writes nothing more; the host is told, and the node continues without
// members. It ends when quit is closed.
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
