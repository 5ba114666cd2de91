package raftstore

import (
	"marblespan/internal/clock"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	draining bool
	deadline clock.Micros // 0: none, or Drained was reported
}

// finishDrain reports Drained once no group is led here, or at the deadline.
func (h *Host) finishDrain() {
	if h.shutdown.deadline == 0 {
		return
	}
	for _, g := range h.groups {
		if g.isLeader && len(g.conf.Voters) > 1 && h.now < h.shutdown.deadline {
			return
		}
	}
	h.shutdown.deadline = 0
	h.out.actions = append(h.out.actions, Drained{})
}

// startDrain begins a graceful shutdown: the leadership of all groups goes to other members.
func (h *Host) startDrain() {
	if h.shutdown.draining {
		return
	}
	h.shutdown.draining, h.shutdown.deadline = true, h.now+drainTimeoutTicks*h.cfg.Tick
	for _, g := range h.sortedGroups() {
		if g.isLeader {
			g.transferLeadership(0)
		}
	}
	h.finishDrain()
}

// shedLeadership hands over the leadership of all groups while this gateway's machine is cordoned. It is called at each tick, since the
// Raft library sometimes does not know which other members are active.
func (h *Host) shedLeadership() {
	for _, g := range h.sortedGroups() {
		if g.isLeader && len(g.conf.Voters) > 1 && g.node.BasicStatus().LeadTransferee == 0 {
			g.transferLeadership(0)
		}
	}
}
