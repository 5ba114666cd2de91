package raftgateway

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
)

// storeContents is the summary of a storage file that the command that checks a store prints.
type storeContents struct {
	Disk        string           `json:"disk"`
	Incarnation uint64           `json:"life"` // time of the gateway's latest start, in microseconds of Unix time
	Members     []memberContents `json:"groups"`
	Retired     int              `json:"retired"` // number of members that must not take part again
}

// memberContents is the summary of one member of a Raft group.
type memberContents struct {
	Group         uint32 `json:"group"`
	Epoch         uint32 `json:"epoch"`
	Number        uint64 `json:"number"`
	Term          uint64 `json:"term"`
	CommitIndex   uint64 `json:"commit"`
	SnapshotIndex uint64 `json:"snapshot"`
	SnapshotBytes int    `json:"snapshot_bytes"`
	LastIndex     uint64 `json:"last"` // last index of the log or, if the log is empty, of the snapshot
}

// checkStore reads a storage file that no gateway has open, and prints a summary as JSON or as text. It returns the errors of
// raftstorage.Check.
func checkStore(path string, asJSON bool, out io.Writer) error {
	stored, err := raftstorage.Check(path)
	if err != nil {
		return err
	}
	contents := contentsOf(stored)
	if asJSON {
		return json.NewEncoder(out).Encode(contents)
	}
	contents.print(out)
	return nil
}

func contentsOf(stored *raftstore.StoredState) storeContents {
	contents := storeContents{Disk: formatID(stored.Store), Incarnation: stored.Incarnation, Members: []memberContents{}, Retired: len(stored.Retired)}
	for _, g := range stored.Members {
		member := memberContents{Group: g.Group, Epoch: g.Epoch, Number: g.Member, Term: g.HardState.GetTerm(), CommitIndex: g.HardState.GetCommit()}
		if g.Snapshot != nil {
			member.SnapshotIndex, member.SnapshotBytes = g.Snapshot.GetMetadata().GetIndex(), len(g.Snapshot.Data)
		}
		member.LastIndex = member.SnapshotIndex
		if len(g.Entries) > 0 {
			member.LastIndex = g.Entries[len(g.Entries)-1].GetIndex()
		}
		contents.Members = append(contents.Members, member)
	}
	return contents
}

// print writes the summary as text.
func (c storeContents) print(out io.Writer) {
	fmt.Fprintf(out, "disk %s is whole, last started %v\n", c.Disk, time.UnixMicro(int64(c.Incarnation)).UTC().Format(time.RFC3339))
	for _, r := range c.Members {
		fmt.Fprintf(out, "group %d, epoch %d, member %d: term %d, committed up to %d of %d, snapshot at %d (%d bytes)\n",
			r.Group, r.Epoch, r.Number, r.Term, r.CommitIndex, r.LastIndex, r.SnapshotIndex, r.SnapshotBytes)
	}
	if c.Retired > 0 {
		fmt.Fprintf(out, "%d members must not take part again: this disk was older than what they had acknowledged\n", c.Retired)
	}
}
