package raftstore

import (
	"marblespan/internal/clock"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	draining bool
	deadline clock.Micros // 0: there is no shutdown, or Drained was emitted
}

// finishDrain emits Drained at the deadline, or earlier, as soon as this gateway leads no group that has another voter.
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

// startDrain begins a graceful shutdown by transferring the leadership of all groups to other members.
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

// shedLeadership transfers the leadership of all groups to other members while this gateway's machine is cordoned. It is called at
// each tick, because one call may find no member to transfer to: the Raft library does not always know which members are active.
func (h *Host) shedLeadership() {
	for _, g := range h.sortedGroups() {
		if g.isLeader && len(g.conf.Voters) > 1 && g.node.BasicStatus().LeadTransferee == 0 {
			g.transferLeadership(0)
		}
	}
}
