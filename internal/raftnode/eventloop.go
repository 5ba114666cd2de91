package raftnode

import (
	"time"

	"marblespan/internal/raftstore"
)

// pollInterval is how often the gateways that are reachable are read from the settings' functions.
const pollInterval = time.Second

// inboxItem is work for the event loop: an event for the host, or a function to run; one of the two is nil.
type inboxItem struct {
	event raftstore.Event
	run   func()
}

// enqueue gives the event loop something that must not be lost; it may block. It returns false if the node is closing.
func (n *Node) enqueue(item inboxItem) bool {
	select {
	case n.inbox <- item:
		return true
	case <-n.quit:
		return false
	}
}

// runEventLoop owns the host and the pending calls. It ends when quit is closed, and completes the calls that still wait.
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
		n.handleWaiting(eventBatch - 1)
		if now := n.clock.Now(); now >= n.host.NextTick() {
			n.host.Handle(now, raftstore.Tick{})
		}
		n.carryOut()
	}
}

// pollMembers tells the host which gateways are reachable.
func (n *Node) pollMembers() {
	n.host.Handle(n.clock.Now(), raftstore.PeersChanged{Names: n.settings.Peers()})
	if n.settings.MaintenanceLimits != nil {
		n.host.Handle(n.clock.Now(), raftstore.MembershipChanged{Members: n.settings.Members()})
	}
}

// handleWaiting handles what is in the inbox already, up to limit items, so that one Flush and one write serve them all.
func (n *Node) handleWaiting(limit int) {
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

// carryOut carries out the actions that the host asks for.
func (n *Node) carryOut() {
	actions := n.host.Flush()
	n.shards.setCount(n.host.Shards())
	for _, action := range actions {
		switch action := action.(type) {
		case raftstore.Send:
			n.send(action)
		case raftstore.Write:
			n.storage.writes <- action // it does not block: the host asks for the next write after this one's result
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
