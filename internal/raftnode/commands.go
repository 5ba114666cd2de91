package raftnode

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"marblespan/internal/maintenance"
	"marblespan/internal/raftstore"

	api "marblespan/api/raftstorepb"
)

// The errors of operators' commands.
var (
	// ErrClosing means that the node is closing.
	ErrClosing = errors.New("state store: the gateway is shutting down")
	// ErrStoreExists means that there is a store already.
	ErrStoreExists = errors.New("state store: bootstrapped already")
	// ErrNoStore means that no store has been bootstrapped yet, as far as this gateway knows.
	ErrNoStore = errors.New("state store: there is none yet; bootstrap it first")
	// ErrNoMembers means that this gateway has no members of Raft groups, by its settings or after a fault of its disk.
	ErrNoMembers = errors.New("state store: this gateway runs no Raft groups")
	// ErrNoAnswer means that the ledger has not answered in time. The command may still come into force, and may be repeated.
	ErrNoAnswer = errors.New("state store: the ledger has not answered in time; the command may still come into force, and may be repeated")
	// ErrFormatTooOld means that a gateway that runs Raft groups has a version without maintenance orders.
	ErrFormatTooOld = errors.New("state store: a gateway that runs Raft groups has a version without maintenance orders; update it first")
)

// Bootstrap makes a new store of so many shards with so many voters each. first tells that there was no store before whose records
// could be missed. It returns ErrStoreExists, ErrNoMembers or ErrClosing if there can be none.
func (n *Node) Bootstrap(shards, voters int, first bool) error {
	return n.onEventLoop(func(o raftstore.Overview) error {
		switch {
		case o.ClusterID != 0:
			return ErrStoreExists
		case o.Store == 0 || o.DiskFailure != "":
			return ErrNoMembers
		}
		n.host.Handle(n.clock.Now(), raftstore.BootstrapRequested{Shards: shards, Voters: voters, First: first})
		return nil
	})
}

// RemoveStore records that a gateway's disk will never come back. It must be called where the ledger is led.
func (n *Node) RemoveStore(gateway string) error {
	return n.onLedgerLeader(func(o raftstore.Overview) error {
		if !slices.ContainsFunc(o.Stores, func(s raftstore.StoreView) bool { return s.Name == gateway && !s.Removed }) {
			return fmt.Errorf("state store: no gateway %q runs Raft groups", gateway)
		}
		n.host.Handle(n.clock.Now(), raftstore.StoreRemoved{Name: gateway})
		return nil
	})
}

// ResetShard begins a new epoch of a shard that has lost its majority for good; its records are lost. It must be called where the
// ledger is led.
func (n *Node) ResetShard(shard uint32) error {
	return n.onLedgerLeader(func(o raftstore.Overview) error {
		switch {
		case shard == raftstore.LedgerGroup || int(shard) >= len(o.Groups):
			return fmt.Errorf("state store: there is no shard %d, only 1 to %d", shard, len(o.Groups)-1)
		case n.host.GroupReported(shard):
			return fmt.Errorf("state store: shard %d has a leader and works; only a shard without one is reset", shard)
		}
		n.host.Handle(n.clock.Now(), raftstore.ShardReset{Shard: shard})
		return nil
	})
}

// onLedgerLeader runs a function on the event loop if this gateway leads the ledger. Otherwise its error names the leader.
func (n *Node) onLedgerLeader(do func(raftstore.Overview) error) error {
	return n.onEventLoop(func(o raftstore.Overview) error {
		if len(o.Groups) == 0 {
			return ErrNoStore
		}
		leader := ""
		if here := o.Groups[raftstore.LedgerGroup].Local; here != nil {
			leader = here.Leader
		}
		switch leader {
		case n.settings.Node:
			return do(o)
		case "":
			return errors.New("state store: this gateway does not lead the ledger, and does not know which one does; run the command at another one")
		}
		return fmt.Errorf("state store: %s leads the ledger, not this gateway; run the command there", leader)
	})
}

// onEventLoop runs a function on the event loop and waits for its result.
func (n *Node) onEventLoop(do func(raftstore.Overview) error) error {
	result := make(chan error, 1)
	if !n.enqueue(inboxItem{run: func() { result <- do(n.host.Overview()) }}) {
		return ErrClosing
	}
	select {
	case err := <-result:
		return err
	case <-n.quit:
		return ErrClosing
	}
}

// SetMaintenanceReport passes this gateway's own state to the host, for the maintenance order.
func (n *Node) SetMaintenanceReport(own raftstore.GatewayReport) { n.enqueue(inboxItem{event: own}) }

// SetMaintenanceLimits puts other limits in force.
func (n *Node) SetMaintenanceLimits(l maintenance.Limits) {
	n.enqueue(inboxItem{event: raftstore.LimitsChanged{Limits: l}})
}

// RunMaintenanceCommand passes an operator's command to the ledger and returns the ledger's reply. Commands run one at a time.
func (n *Node) RunMaintenanceCommand(command maintenance.Command, deadline time.Time) (reply string, err error) {
	n.commandMu.Lock()
	defer n.commandMu.Unlock()
	a := n.submitAndWait(raftstore.Request{Shard: raftstore.LedgerGroup, Command: raftstore.MaintenanceCommand(command)}, deadline)
	switch a.Status {
	case raftstore.StatusOK:
		return string(a.Value), nil
	case raftstore.StatusConflict, raftstore.StatusInvalid:
		return "", errors.New(string(a.Value))
	case raftstore.StatusFormatTooNew:
		return "", ErrFormatTooOld
	}
	return "", ErrNoAnswer
}

// MaintenanceListing returns the maintenance order as the ledger's leader has it or, with ErrNoAnswer, as it is known here.
func (n *Node) MaintenanceListing(deadline time.Time) (maintenance.Listing, error) {
	a := n.submitAndWait(raftstore.Request{Shard: raftstore.LedgerGroup, Get: &api.Get{Key: []byte(raftstore.MaintenanceKey)}}, deadline)
	if a.Status == raftstore.StatusOK {
		return raftstore.DecodeListing(a.Value)
	}
	listing := maintenance.Listing{Order: &maintenance.Order{}}
	n.onEventLoop(func(raftstore.Overview) error { listing.Order = n.host.Order(); return nil })
	return listing, ErrNoAnswer
}

// submitAndWait starts a call and waits for its response; the status is StatusNotSent if the node closes before.
func (n *Node) submitAndWait(submitAndWait raftstore.Request, deadline time.Time) raftstore.Response {
	answered := make(chan raftstore.Response, 1)
	n.Submit(submitAndWait, deadline, func(a raftstore.Response) { answered <- a })
	select {
	case a := <-answered:
		return a
	case <-n.quit:
		return raftstore.Response{Status: raftstore.StatusNotSent}
	}
}
