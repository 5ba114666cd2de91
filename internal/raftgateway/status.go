package raftgateway

import (
	"fmt"

	"marblespan/internal/gateway"
	"marblespan/internal/raftstore"
)

// Status returns the state of the store as this gateway knows it.
func (s store) Status() gateway.StateStoreStatus {
	o := s.Overview()
	status := gateway.StateStoreStatus{
		Node: s.Name(), BootstrapID: optionalID(o.ClusterID), Index: o.Index, Voters: o.VotersPerGroup, Format: o.Format, StoreID: optionalID(o.Store),
		Failed: o.DiskFailure, Waiting: o.PendingCalls,
		Stores: []gateway.StoreStatus{}, Groups: []gateway.GroupStatus{}, // [] in JSON, not null
	}
	for _, d := range o.Stores {
		status.Stores = append(status.Stores, gateway.StoreStatus{Number: optionalID(d.ID), Node: d.Name, Zone: d.Zone, Weight: d.Weight, Removed: d.Removed})
	}
	for _, g := range o.Groups {
		status.Groups = append(status.Groups, groupStatus(g))
	}
	return status
}

func groupStatus(g raftstore.GroupView) gateway.GroupStatus {
	status := gateway.GroupStatus{Group: g.Group, Epoch: g.Epoch, Lost: g.Lost, Removing: g.Removing, Replicas: []gateway.ReplicaStatus{}}
	for _, r := range g.Voters {
		status.Replicas = append(status.Replicas, memberStatus(r))
	}
	if g.Adding != nil {
		status.Adding = new(memberStatus(*g.Adding))
	}
	if h := g.Local; h != nil {
		status.Here = &gateway.LocalReplicaStatus{
			Number: h.Number, Leader: h.Leader, Term: h.Term, Applied: h.Applied, Last: h.Last, Records: h.Records, Bytes: h.Bytes, Unsure: h.Recovering,
		}
	}
	return status
}

func memberStatus(r raftstore.MemberView) gateway.ReplicaStatus {
	return gateway.ReplicaStatus{Number: r.ID, Node: r.Name, Lost: r.Lost}
}

// formatID formats a random ID, such as that of a cluster or of a store, in hexadecimal.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// optionalID formats a random ID. It returns an empty string for 0, which means that there is no ID.
func optionalID(id uint64) string {
	if id == 0 {
		return ""
	}
	return formatID(id)
}
