package raftstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// callTable is this gateway's own calls that are under way.
type callTable struct {
	pending       map[uint64]*call
	lastID        uint64
	lastSequence  uint64
	openSequences map[uint64]bool // the sequences of commands under way
	minPending    uint64          // no result of an earlier sequence is waited for
	local         []localCall
	leaders       map[uint32]string // the gateway that answered last, by group
}

func newCallTable() callTable {
	return callTable{pending: map[uint64]*call{}, openSequences: map[uint64]bool{}, minPending: 1, leaders: map[uint32]string{}}
}

// call is one of this gateway's own, under way.
type call struct {
	request     Request
	sequence    uint64
	command     *api.Command
	target      string
	attemptedAt clock.Micros
	rotation    int
	sent        bool
	hinted      bool
}

// localCall is one that this gateway answers itself.
type localCall struct {
	caller caller
	call   *api.Call
}

// ask begins a call.
func (h *Host) startCall(a Request) {
	order := a.Shard == LedgerGroup && (a.Command.GetChange().GetMaintenanceCommand() != nil || a.Get != nil && string(a.Get.Key) == MaintenanceKey)
	bad := !order && (a.Command == nil && a.Get == nil || int(a.Shard) < 1)
	if a.Command != nil && !order {
		p, m := a.Command.Put, a.Command.RaisePosition
		bad = bad || p == nil && m == nil || p != nil && (len(p.Key) == 0 || len(p.Key) > MaxKeyBytes || len(p.Value) > MaxValueBytes ||
			p.Ttl <= 0 && !p.Delete || clock.Micros(p.Ttl) > MaxTTL) || m != nil && (len(m.Key) == 0 || len(m.Key) > MaxKeyBytes || m.Ttl <= 0 || clock.Micros(m.Ttl) > MaxTTL)
	}
	switch {
	case bad || h.clusterID != 0 && int(a.Shard) >= len(h.ledger.Groups):
		h.out.actions = append(h.out.actions, Response{ID: a.ID, Status: StatusInvalid})
		return
	case len(h.calls.pending) >= h.cfg.MaxCalls:
		h.out.actions = append(h.out.actions, Response{ID: a.ID, Status: StatusNotSent})
		return
	}
	c := &call{request: a, command: a.Command}
	if a.Command != nil {
		h.calls.lastSequence++
		c.sequence = h.calls.lastSequence
		h.calls.openSequences[c.sequence] = true
		c.command = proto.Clone(a.Command).(*api.Command)
		c.command.Client, c.command.Sequence = h.cfg.ClientID, c.sequence
	}
	h.calls.lastID++
	h.calls.pending[h.calls.lastID] = c
	h.sendCall(h.calls.lastID, c, "")
}

// try sends a call to whoever leads its shard, or may know who does.
func (h *Host) sendCall(callID uint64, pending *call, hint string) {
	if pending.attemptedAt = h.now; h.clusterID == 0 {
		return
	}
	to := hint
	if to == "" {
		if g := h.groups[pending.request.Shard]; g != nil && g.leaderName() != "" {
			to = g.leaderName()
		}
	}
	if last := h.calls.leaders[pending.request.Shard]; to == "" && pending.rotation == 0 {
		to = last
	}
	if to == "" || to == pending.target && hint == "" {
		pending.rotation++
		to = h.nextCandidate(pending.request.Shard, pending.rotation)
	}
	if to == "" {
		return
	}
	pending.target, pending.sent = to, true
	message := &api.Call{Id: callID, Group: pending.request.Shard, Command: pending.command, Get: pending.request.Get}
	if pending.command != nil {
		pending.command.MinPending = h.minPendingSequence()
	}
	if to == h.cfg.Name {
		h.calls.local = append(h.calls.local, localCall{caller{id: callID, deadline: pending.request.Deadline}, message})
		return
	}
	p := h.packetFor(to)
	p.Calls = append(p.Calls, message)
}

// earliest is the first sequence that this gateway still waits for.
func (h *Host) minPendingSequence() uint64 {
	for h.calls.minPending < h.calls.lastSequence && !h.calls.openSequences[h.calls.minPending] {
		h.calls.minPending++
	}
	return h.calls.minPending
}

// serve takes in a call at a replica.
func (h *Host) handleCall(o caller, c *api.Call) {
	g := h.groups[c.Group]
	if g == nil {
		h.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
		return
	}
	g.handleCall(o, c)
}

// reply sends a result to whoever asked.
func (h *Host) reply(o caller, r *api.Reply) {
	r = proto.Clone(r).(*api.Reply)
	r.Id = o.id
	if o.node == "" {
		h.handleReply(h.cfg.Name, r)
		return
	}
	p := h.packetFor(o.node)
	p.Replies = append(p.Replies, r)
}

// replied takes in the result of a call.
func (h *Host) handleReply(from string, r *api.Reply) {
	c := h.calls.pending[r.Id]
	if c == nil || from != c.target {
		return
	}
	if Status(r.Status) == statusNotLeader {
		if h.calls.leaders[c.request.Shard] == from {
			delete(h.calls.leaders, c.request.Shard)
		}
		if r.Leader != "" && r.Leader != from && !c.hinted {
			c.hinted = true // once; else two that are wrong could send it to and fro
			h.sendCall(r.Id, c, r.Leader)
		} else {
			c.attemptedAt = h.now - (retryTicks-1)*h.cfg.Tick // an election takes some ticks; not all of them are to be waited for
		}
		return
	}
	h.calls.leaders[c.request.Shard] = from
	h.finishCall(r.Id, c)
	a := Response{
		ID: c.request.ID, Status: Status(r.Status), Version: r.Version, Value: r.Value, Position: r.Position, Found: r.Found, Lost: r.LostBefore != 0,
		Age: clock.Micros(r.Age),
	}
	if r.LostBefore > 1 {
		a.LostAge = max(clock.Micros(r.Time-r.LostBefore), 0)
	}
	h.out.actions = append(h.out.actions, a)
}

// over forgets a call.
func (h *Host) finishCall(id uint64, c *call) {
	delete(h.calls.pending, id)
	delete(h.calls.openSequences, c.sequence)
}

// retry looks after calls that are not answered.
func (h *Host) retryCalls() {
	for _, id := range slices.Sorted(maps.Keys(h.calls.pending)) {
		c := h.calls.pending[id]
		switch {
		case h.now >= c.request.Deadline:
			h.finishCall(id, c)
			status := StatusDeadlineExceeded
			if !c.sent {
				status = StatusNotSent
			}
			h.out.actions = append(h.out.actions, Response{ID: c.request.ID, Status: status})
		case h.now-c.attemptedAt >= retryTicks*h.cfg.Tick:
			c.hinted = false
			h.sendCall(id, c, "")
		}
	}
}
