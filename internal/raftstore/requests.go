package raftstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// This file takes requests to the leader of their group, wherever that is, and their replies back.

// call is one of this gateway's own, under way.
type call struct {
	ask      Request
	sequence uint64
	command  *api.Command
	target   string
	tried    clock.Micros
	turn     int
	sent     bool
	hinted   bool
}

// localCall is one that this gateway answers itself.
type localCall struct {
	o origin
	c *api.Call
}

// ask begins a call.
func (h *Host) ask(a Request) {
	order := a.Shard == LedgerGroup && (a.Command.GetChange().GetMaintenanceCommand() != nil || a.Get != nil && string(a.Get.Key) == MaintenanceKey)
	bad := !order && (a.Command == nil && a.Get == nil || int(a.Shard) < 1)
	if a.Command != nil && !order {
		p, m := a.Command.Put, a.Command.RaisePosition
		bad = bad || p == nil && m == nil || p != nil && (len(p.Key) == 0 || len(p.Key) > MaxKeyBytes || len(p.Value) > MaxValueBytes ||
			p.Ttl <= 0 && !p.Delete || clock.Micros(p.Ttl) > MaxTTL) || m != nil && (len(m.Key) == 0 || len(m.Key) > MaxKeyBytes || m.Ttl <= 0 || clock.Micros(m.Ttl) > MaxTTL)
	}
	switch {
	case bad || h.founding != 0 && int(a.Shard) >= len(h.view.Groups):
		h.out = append(h.out, Response{ID: a.ID, Status: StatusInvalid})
		return
	case len(h.calls) >= h.cfg.MaxCalls:
		h.out = append(h.out, Response{ID: a.ID, Status: StatusNotSent})
		return
	}
	c := &call{ask: a, command: a.Command}
	if a.Command != nil {
		h.sequence++
		c.sequence = h.sequence
		h.open[c.sequence] = true
		c.command = proto.Clone(a.Command).(*api.Command)
		c.command.Client, c.command.Sequence = h.cfg.ClientID, c.sequence
	}
	h.nextCall++
	h.calls[h.nextCall] = c
	h.try(h.nextCall, c, "")
}

// try sends a call to whoever leads its shard, or may know who does.
func (h *Host) try(id uint64, c *call, hint string) {
	if c.tried = h.now; h.founding == 0 {
		return
	}
	to := hint
	if to == "" {
		if g := h.groups[c.ask.Shard]; g != nil && g.leaderName() != "" {
			to = g.leaderName()
		}
	}
	if last := h.leads[c.ask.Shard]; to == "" && c.turn == 0 {
		to = last
	}
	if to == "" || to == c.target && hint == "" {
		c.turn++
		to = h.turn(c.ask.Shard, c.turn)
	}
	if to == "" {
		return
	}
	c.target, c.sent = to, true
	x := &api.Call{Id: id, Group: c.ask.Shard, Command: c.command, Get: c.ask.Get}
	if c.command != nil {
		c.command.MinPending = h.earliest()
	}
	if to == h.cfg.Name {
		h.local = append(h.local, localCall{origin{id: id, by: c.ask.Deadline}, x})
		return
	}
	p := h.packet(to)
	p.Calls = append(p.Calls, x)
}

// earliest is the first sequence that this gateway still waits for.
func (h *Host) earliest() uint64 {
	for h.doneUpTo < h.sequence && !h.open[h.doneUpTo] {
		h.doneUpTo++
	}
	return h.doneUpTo
}

// serve takes in a call at a replica.
func (h *Host) serve(o origin, c *api.Call) {
	g := h.groups[c.Group]
	if g == nil {
		h.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
		return
	}
	g.call(o, c)
}

// reply sends a result to whoever asked.
func (h *Host) reply(o origin, r *api.Reply) {
	r = proto.Clone(r).(*api.Reply)
	r.Id = o.id
	if o.name == "" {
		h.replied(h.cfg.Name, r)
		return
	}
	p := h.packet(o.name)
	p.Replies = append(p.Replies, r)
}

// replied takes in the result of a call.
func (h *Host) replied(from string, r *api.Reply) {
	c := h.calls[r.Id]
	if c == nil || from != c.target {
		return
	}
	if Status(r.Status) == statusNotLeader {
		if h.leads[c.ask.Shard] == from {
			delete(h.leads, c.ask.Shard)
		}
		if r.Leader != "" && r.Leader != from && !c.hinted {
			c.hinted = true // once; else two that are wrong could send it to and fro
			h.try(r.Id, c, r.Leader)
		} else {
			c.tried = h.now - (retryTicks-1)*h.cfg.Tick // an election takes some ticks; not all of them are to be waited for
		}
		return
	}
	h.leads[c.ask.Shard] = from
	h.over(r.Id, c)
	a := Response{
		ID: c.ask.ID, Status: Status(r.Status), Version: r.Version, Value: r.Value, Position: r.Position, Found: r.Found, Lost: r.LostBefore != 0,
		Age: clock.Micros(r.Age),
	}
	if r.LostBefore > 1 {
		a.LostAge = max(clock.Micros(r.Time-r.LostBefore), 0)
	}
	h.out = append(h.out, a)
}

// over forgets a call.
func (h *Host) over(id uint64, c *call) {
	delete(h.calls, id)
	delete(h.open, c.sequence)
}

// retry looks after calls that are not answered.
func (h *Host) retry() {
	for _, id := range slices.Sorted(maps.Keys(h.calls)) {
		c := h.calls[id]
		switch {
		case h.now >= c.ask.Deadline:
			h.over(id, c)
			status := StatusDeadlineExceeded
			if !c.sent {
				status = StatusNotSent
			}
			h.out = append(h.out, Response{ID: c.ask.ID, Status: status})
		case h.now-c.tried >= retryTicks*h.cfg.Tick:
			c.hinted = false
			h.try(id, c, "")
		}
	}
}
