package raftstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// callTable holds this gateway's own pending calls.
type callTable struct {
	pending       map[uint64]*call // by ID; no ID is used in two starts of a gateway (Config.FirstCallID)
	nextID        uint64
	lastSequence  uint64
	openSequences map[uint64]bool // sequences of the pending commands
	minPending    uint64          // no command with a lower sequence is pending
	local         []localCall
	leaders       map[uint32]string // the gateway that answered last, by group
}

func newCallTable(firstID uint64) callTable {
	return callTable{
		pending: map[uint64]*call{}, nextID: firstID, openSequences: map[uint64]bool{}, minPending: 1, leaders: map[uint32]string{},
	}
}

// call is one pending call of this gateway itself.
type call struct {
	request     Request
	sequence    uint64       // sequence of the command
	command     *api.Command // nil: a read
	target      string       // the gateway to which the call was last sent
	attemptedAt clock.Micros
	rotation    int  // how many candidates were tried in round-robin order
	sent        bool // the call was sent at least once, so its command may have taken effect
	hinted      bool // the call was already redirected to the leader that a reply named
}

// localCall is a call that this gateway sends to itself.
type localCall struct {
	caller caller
	call   *api.Call
}

// validRequest reports whether some group can carry out a request. The ledger carries out maintenance requests, a shard all
// other requests.
func validRequest(r Request) bool {
	if r.Shard == LedgerGroup {
		return r.Command.GetChange().GetMaintenanceCommand() != nil || r.Get != nil && string(r.Get.Key) == MaintenanceKey
	}
	if r.Command == nil {
		return r.Get != nil
	}
	put, raise := r.Command.Put, r.Command.RaisePosition
	switch {
	case put == nil && raise == nil:
		return false
	case put != nil && !(validKey(put.Key) && len(put.Value) <= MaxValueBytes && (put.Delete || put.Ttl > 0) && clock.Micros(put.Ttl) <= MaxTTL):
		return false
	case raise != nil && !(validKey(raise.Key) && raise.Ttl > 0 && clock.Micros(raise.Ttl) <= MaxTTL):
		return false
	}
	return true
}

func validKey(key []byte) bool { return len(key) > 0 && len(key) <= MaxKeyBytes }

// startCall validates a request and sends it as a call.
func (h *Host) startCall(request Request) {
	switch {
	case !validRequest(request) || h.clusterID != 0 && int(request.Shard) >= len(h.ledger.Groups):
		h.out.actions = append(h.out.actions, Response{ID: request.ID, Status: StatusInvalid})
		return
	case len(h.calls.pending) >= h.cfg.MaxCalls:
		h.out.actions = append(h.out.actions, Response{ID: request.ID, Status: StatusNotSent})
		return
	}
	c := &call{request: request, command: request.Command}
	if request.Command != nil {
		h.calls.lastSequence++
		c.sequence = h.calls.lastSequence
		h.calls.openSequences[c.sequence] = true
		c.command = proto.Clone(request.Command).(*api.Command)
		c.command.Client, c.command.Sequence = h.cfg.ClientID, c.sequence
	}
	id := h.calls.nextID
	h.calls.nextID++
	h.calls.pending[id] = c
	h.sendCall(id, c, "")
}

// sendCall sends a call to the gateway that leads the call's group, or to a gateway that may know the leader. In order of preference,
// sendCall uses the hint, the leader known to the group's member on this gateway, or the gateway that answered last. It uses the
// next candidate in round-robin order if none of these gateways is known, or if there is no hint and the call was last sent to
// the gateway found.
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

// minPendingSequence returns the lowest sequence whose result this gateway still waits for.
func (h *Host) minPendingSequence() uint64 {
	for h.calls.minPending < h.calls.lastSequence && !h.calls.openSequences[h.calls.minPending] {
		h.calls.minPending++
	}
	return h.calls.minPending
}

// handleCall passes a call to the group's member on this gateway.
func (h *Host) handleCall(caller caller, c *api.Call) {
	g := h.groups[c.Group]
	if g == nil {
		h.reply(caller, &api.Reply{Status: uint32(statusNotLeader)})
		return
	}
	g.handleCall(caller, c)
}

// reply sends a result to its caller.
func (h *Host) reply(caller caller, r *api.Reply) {
	r = proto.Clone(r).(*api.Reply)
	r.Id = caller.id
	if caller.node == "" {
		h.handleReply(h.cfg.Name, r)
		return
	}
	p := h.packetFor(caller.node)
	p.Replies = append(p.Replies, r)
}

// handleReply handles the result of one of this gateway's own calls. A reply to a call that is not pending, such as one that an
// earlier start of this gateway sent, has no effect.
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
			c.hinted = true // redirect only once, because two gateways with wrong hints could redirect the call back and forth
			h.sendCall(r.Id, c, r.Leader)
		} else {
			c.attemptedAt = h.now - (retryTicks-1)*h.cfg.Tick // retry after one tick, because an election may be in progress
		}
		return
	}
	h.calls.leaders[c.request.Shard] = from
	h.finishCall(r.Id, c)
	response := Response{
		ID: c.request.ID, Status: Status(r.Status), Version: r.Version, Value: r.Value, Position: r.Position, Found: r.Found, Lost: r.LostBefore != 0,
		Age: clock.Micros(r.Age),
	}
	if r.LostBefore > 1 {
		response.LostAge = max(clock.Micros(r.Time-r.LostBefore), 0)
	}
	h.out.actions = append(h.out.actions, response)
}

// finishCall removes a call from the pending calls.
func (h *Host) finishCall(id uint64, c *call) {
	delete(h.calls.pending, id)
	delete(h.calls.openSequences, c.sequence)
}

// retryCalls ends calls whose deadline has passed and resends calls that have had no reply for retryTicks.
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
