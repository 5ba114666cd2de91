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

// Errors returned by operators' commands.
var (
	// ErrClosing means that the node is closing.
	ErrClosing = errors.New("state store: the gateway is shutting down")
	// ErrStoreExists means that a store has already been bootstrapped.
	ErrStoreExists = errors.New("state store: already bootstrapped")
	// ErrNoStore means that, as far as this gateway knows, no store has been bootstrapped yet.
	ErrNoStore = errors.New("state store: not bootstrapped yet; bootstrap it first")
	// ErrNoMembers means that this gateway has no members of Raft groups, because of its settings or after a disk failure.
	ErrNoMembers = errors.New("state store: this gateway runs no Raft groups")
	// ErrNoAnswer means that the ledger did not respond before the deadline. The command may still take effect, and may be repeated.
	ErrNoAnswer = errors.New("state store: the ledger did not respond before the deadline; the command may still take effect, and may be repeated")
	// ErrFormatTooOld means that a gateway that runs Raft groups has a version that does not support maintenance orders.
	ErrFormatTooOld = errors.New("state store: a gateway that runs Raft groups has a version that does not support maintenance orders; update that gateway first")
)

// Bootstrap creates a new store with the given number of shards and of voters in each group. first asserts that there was no earlier
// store whose records could be missing from the new one. Bootstrap returns ErrStoreExists, ErrNoMembers or ErrClosing if the store
// cannot be created.
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

// RemoveStore records that a gateway's disk is permanently lost. It must be called on the gateway that leads the ledger.
func (n *Node) RemoveStore(gateway string) error {
	return n.onLedgerLeader(func(o raftstore.Overview) error {
		if !slices.ContainsFunc(o.Stores, func(s raftstore.StoreView) bool { return s.Name == gateway && !s.Removed }) {
			return fmt.Errorf("state store: no gateway named %q runs Raft groups", gateway)
		}
		n.host.Handle(n.clock.Now(), raftstore.StoreRemoved{Name: gateway})
		return nil
	})
}

// ResetShard begins a new epoch of a shard that has permanently lost its majority; the shard's records are lost. It must be called
// on the gateway that leads the ledger.
func (n *Node) ResetShard(shard uint32) error {
	return n.onLedgerLeader(func(o raftstore.Overview) error {
		switch {
		case shard == raftstore.LedgerGroup || int(shard) >= len(o.Groups):
			return fmt.Errorf("state store: shard %d does not exist; shards are numbered 1 to %d", shard, len(o.Groups)-1)
		case n.host.GroupReported(shard):
			return fmt.Errorf("state store: shard %d has a leader and works; only a shard without a leader can be reset", shard)
		}
		n.host.Handle(n.clock.Now(), raftstore.ShardReset{Shard: shard})
		return nil
	})
}

// onLedgerLeader runs a function on the event loop if this gateway leads the ledger. Otherwise it returns an error that names the
// leader, if this gateway knows the leader.
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
			return errors.New("state store: this gateway does not lead the ledger and does not know which gateway does; run the command on another gateway")
		}
		return fmt.Errorf("state store: %s leads the ledger, not this gateway; run the command there", leader)
	})
}

// onEventLoop runs a function on the event loop and returns its result, or ErrClosing if the node closes first.
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

// SetMaintenanceReport passes this gateway's report on its own state to the host, for maintenance planning.
func (n *Node) SetMaintenanceReport(own raftstore.GatewayReport) { n.enqueue(inboxItem{event: own}) }

// SetMaintenanceLimits replaces the limits on how many machines are taken out for maintenance.
func (n *Node) SetMaintenanceLimits(l maintenance.Limits) {
	n.enqueue(inboxItem{event: raftstore.LimitsChanged{Limits: l}})
}

// RunMaintenanceCommand sends an operator's command to the ledger and returns the ledger's reply. Commands run one at a time.
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

// MaintenanceListing returns the maintenance order from the ledger's leader. If the leader does not respond, it returns the order as
// this gateway knows it, and ErrNoAnswer.
func (n *Node) MaintenanceListing(deadline time.Time) (maintenance.Listing, error) {
	a := n.submitAndWait(raftstore.Request{Shard: raftstore.LedgerGroup, Get: &api.Get{Key: []byte(raftstore.MaintenanceKey)}}, deadline)
	if a.Status == raftstore.StatusOK {
		return raftstore.DecodeListing(a.Value)
	}
	listing := maintenance.Listing{Order: &maintenance.Order{}}
	n.onEventLoop(func(raftstore.Overview) error { listing.Order = n.host.Order(); return nil })
	return listing, ErrNoAnswer
}

// submitAndWait starts a call and waits for its response. The status is StatusNotSent if the node closes first.
func (n *Node) submitAndWait(request raftstore.Request, deadline time.Time) raftstore.Response {
	answered := make(chan raftstore.Response, 1)
	n.Submit(request, deadline, func(a raftstore.Response) { answered <- a })
	select {
	case a := <-answered:
		return a
	case <-n.quit:
		return raftstore.Response{Status: raftstore.StatusNotSent}
	}
}
