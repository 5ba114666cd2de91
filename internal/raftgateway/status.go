package raftgateway

import (
	"fmt"

	"marblespan/internal/gateway"
	"marblespan/internal/raftstore"
)

// Status is the state of the store as this gateway knows it.
func (s store) Status() gateway.CopiesStatus {
	o := s.Overview()
	status := gateway.CopiesStatus{
		Node: s.Name(), Founding: optionalID(o.ClusterID), Index: o.Index, Copies: o.VotersPerGroup, Format: o.Format, Disk: optionalID(o.Store),
		Failed: o.Failed, Waiting: o.PendingCalls,
		Disks: []gateway.CopiesDisk{}, Groups: []gateway.CopiesGroup{}, // [] in JSON, not null
	}
	for _, d := range o.Stores {
		status.Disks = append(status.Disks, gateway.CopiesDisk{Number: optionalID(d.ID), Node: d.Name, Zone: d.Zone, Weight: d.Weight, Gone: d.Removed})
	}
	for _, g := range o.Groups {
		status.Groups = append(status.Groups, groupStatus(g))
	}
	return status
}

func groupStatus(g raftstore.GroupView) gateway.CopiesGroup {
	status := gateway.CopiesGroup{Group: g.Group, Epoch: g.Epoch, Lost: g.Lost, Leaving: g.Removing, Replicas: []gateway.CopiesReplica{}}
	for _, r := range g.Voters {
		status.Replicas = append(status.Replicas, replicaStatus(r))
	}
	if g.Adding != nil {
		status.Adding = new(replicaStatus(*g.Adding))
	}
	if h := g.Local; h != nil {
		status.Here = &gateway.CopiesHere{
			Number: h.Number, Leader: h.Leader, Term: h.Term, Applied: h.Applied, Last: h.Last, Records: h.Records, Bytes: h.Bytes, Unsure: h.Unsure,
		}
	}
	return status
}

func replicaStatus(r raftstore.MemberView) gateway.CopiesReplica {
	return gateway.CopiesReplica{Number: r.ID, Node: r.Name, Lost: r.Lost}
}

// formatID writes a drawn number: that of a store or of a disk.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// optionalID writes a drawn number; empty: there is none.
func optionalID(id uint64) string {
	if id == 0 {
		return ""
	}
	return formatID(id)
}
