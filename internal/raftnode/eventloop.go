package raftnode

import (
	"time"

	"marblespan/internal/raftstore"
)

// pollInterval is how often the event loop calls Settings.Peers and Settings.Members.
const pollInterval = time.Second

// inboxItem is work for the event loop: either an event for the host or a function to run. The other field is nil.
type inboxItem struct {
	event raftstore.Event
	run   func()
}

// enqueue adds an item to the event loop's inbox. It blocks while the inbox is full, because the item must not be lost. It returns
// false if the node is closing.
func (n *Node) enqueue(item inboxItem) bool {
	select {
	case n.inbox <- item:
		return true
	case <-n.quit:
		return false
	}
}

// runEventLoop runs the event loop, which owns the host and the pending calls. When quit is closed, it completes the calls that still
// wait for a response, and returns.
func (n *Node) runEventLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	n.carryOut()
	polled := time.Time{}
	for {
		if time.Since(polled) > pollInterval {
			polled = time.Now()
			n.pollMembers()
		}
		timer.Reset(max(time.Until(n.clock.At(n.host.NextTick())), 0))
		select {
		case <-n.quit:
			n.calls.abandon()
			return
		case <-timer.C:
			n.host.Handle(n.clock.Now(), raftstore.Tick{})
		case item := <-n.inbox:
			n.handle(item)
		}
		n.handleQueued(eventBatch - 1)
		if now := n.clock.Now(); now >= n.host.NextTick() {
			n.host.Handle(now, raftstore.Tick{})
		}
		n.carryOut()
	}
}

// pollMembers passes to the host the names of the reachable gateways and, if maintenance is enabled, the gateways that membership
// knows.
func (n *Node) pollMembers() {
	n.host.Handle(n.clock.Now(), raftstore.PeersChanged{Names: n.settings.Peers()})
	if n.settings.MaintenanceLimits != nil {
		n.host.Handle(n.clock.Now(), raftstore.MembershipChanged{Members: n.settings.Members()})
	}
}

// handleQueued handles up to limit items that are already in the inbox, so that one Flush and one write serve all of them.
func (n *Node) handleQueued(limit int) {
	for range limit {
		select {
		case item := <-n.inbox:
			n.handle(item)
		default:
			return
		}
	}
}

func (n *Node) handle(item inboxItem) {
	if item.run != nil {
		item.run()
		return
	}
	n.host.Handle(n.clock.Now(), item.event)
}

// carryOut carries out the actions that the host requests.
func (n *Node) carryOut() {
	actions := n.host.Flush()
	n.shards.setCount(n.host.Shards())
	for _, action := range actions {
		switch action := action.(type) {
		case raftstore.Send:
			n.send(action)
		case raftstore.Write:
			n.storage.writes <- action // does not block: the host requests the next write only after the result of this one
		case raftstore.Response:
			n.Counters.Responses[action.Status].Add(1)
			n.calls.complete(action)
		case raftstore.Notice:
			n.logNotice(action)
		case raftstore.OrderChanged:
			n.settings.OnOrder(action.Index, action.Order)
		case raftstore.Drained:
			close(n.leadershipTransferred)
		}
	}
}
