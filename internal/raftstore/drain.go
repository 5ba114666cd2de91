package raftstore

import (
	"marblespan/internal/clock"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	draining bool
	deadline clock.Micros // 0: none, or Drained was reported
}

// left tells that nothing is led here any more.
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
