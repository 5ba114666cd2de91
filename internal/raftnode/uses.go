package raftnode

import (
	"errors"
	"time"

	"marblespan/internal/maintenance"
	"marblespan/internal/raftstore"

	api "marblespan/api/raftstorepb"
)

// tryAgain is how long a store that does not answer is left alone before one call tries it again.
const tryAgain = 500 * time.Millisecond

// Able tells whether a promise is likely to be had now for a key: the last one of its shard was, or it is time to try again.
func (h *Node) Available(key []byte) bool {
	shards := int(h.shards.Load())
	if shards == 0 {
		return false
	}
	at := &h.failedAt[raftstore.ShardOf(key, shards)]
	last, now := at.Load(), time.Now().UnixMicro()
	return last == 0 || now-last > tryAgain.Microseconds() && at.CompareAndSwap(last, now)
}

// note keeps whether promises of a shard are to be had.
func (h *Node) note(shard uint32, a raftstore.Answer) {
	at := int64(0)
	if a.Status == raftstore.TooLate || a.Status == raftstore.NotSent || a.Status == raftstore.Full {
		at = time.Now().UnixMicro()
	}
	h.failedAt[shard].Store(at)
}

// Raise promises that a number is at least so high.
func (h *Node) RaisePosition(key []byte, to uint64, last time.Duration, by time.Time, done func(bool)) {
	shards := int(h.shards.Load())
	if shards == 0 {
		done(false)
		return
	}
	shard := raftstore.ShardOf(key, shards)
	h.Submit(raftstore.Ask{Shard: shard, Command: &api.Command{Mark: &api.Mark{
		Key: key, Position: to, Span: int64(last / time.Microsecond),
	}}}, by, func(a raftstore.Answer) {
		h.note(shard, a)
		done(a.Status == raftstore.OK)
	})
}

// Read reads a number. known is false where it could not be had in time, or may have been lost.
func (h *Node) ReadPosition(key []byte, by time.Time, done func(value uint64, known bool)) {
	shards := int(h.shards.Load())
	if shards == 0 {
		done(0, false)
		return
	}
	h.Submit(raftstore.Ask{Shard: raftstore.ShardOf(key, shards), Get: &api.Get{Key: key}}, by, func(a raftstore.Answer) {
		done(a.Position, a.Status == raftstore.OK && !a.Lost)
	})
}

// Call makes a call about a key, a command or, without one, a read. done is told its answer, as Ask tells it.
func (h *Node) Call(key []byte, command *api.Command, by time.Time, done func(raftstore.Answer)) {
	shards := int(h.shards.Load())
	if shards == 0 {
		done(raftstore.Answer{Status: raftstore.NotSent})
		return
	}
	a := raftstore.Ask{Shard: raftstore.ShardOf(key, shards), Command: command}
	if command == nil {
		a.Get = &api.Get{Key: key}
	}
	h.Submit(a, by, done)
}

// Print writes the counters.
func (h *Node) LogCounters() {
	c := &h.Counters
	line := h.log.Info().Int64("sent", c.Sent.Load()).Int64("sent_bytes", c.SentBytes.Load()).Int64("not_sent", c.SendFailures.Load()).
		Int64("received", c.Received.Load()).Int64("overrun", c.EventsDropped.Load()).Int64("writes", c.Writes.Load())
	for s := range raftstore.Statuses {
		if n := c.Answers[s].Load(); n > 0 {
			line = line.Int64("answered_"+s.String(), n)
		}
	}
	for n := range raftstore.Notices {
		if k := c.Notices[n].Load(); k > 0 {
			line = line.Int64("noticed_"+n.String(), k)
		}
	}
	line.Msg("copies counters")
}

// Tell reports what this gateway is and sees, for the order of maintenance.
func (h *Node) Report(own raftstore.Own) { h.put(own) }

// Limits puts other limits in force.
func (h *Node) SetMaintenanceLimits(l maintenance.Limits) { h.put(raftstore.Limits{Limits: l}) }

// errNoWord is what an operator hears where the ledger has not answered.
var errNoWord = errors.New("the ledger has not answered in time; what was said may come into force all the same, and may be said again")

// Maintain carries an operator's command to the ledger, one at a time, and tells what came of it.
func (h *Node) RunMaintenanceCommand(c maintenance.Command, by time.Time) (said string, err error) {
	h.saying.Lock()
	defer h.saying.Unlock()
	a := h.answer(raftstore.Ask{Shard: raftstore.LedgerGroup, Command: raftstore.Command(c)}, by)
	switch a.Status {
	case raftstore.OK:
		return string(a.Value), nil
	case raftstore.Conflict, raftstore.Bad:
		return "", errors.New(string(a.Value))
	case raftstore.TooNew:
		return "", errors.New("some gateway that holds copies is of a version without an order of maintenance")
	}
	return "", errNoWord
}

// Listing is the order of maintenance as the ledger's leader has it, or, with an error, as it is known here.
func (h *Node) MaintenanceListing(by time.Time) (maintenance.Listing, error) {
	a := h.answer(raftstore.Ask{Shard: raftstore.LedgerGroup, Get: &api.Get{Key: []byte(raftstore.MaintainKey)}}, by)
	if a.Status == raftstore.OK {
		return raftstore.ListingOf(a.Value)
	}
	l := maintenance.Listing{Order: &maintenance.Order{}}
	h.tell(func(raftstore.Overview) error { l.Order = h.host.Order(); return nil })
	return l, errNoWord
}

// answer makes a call and waits for its answer.
func (h *Node) answer(a raftstore.Ask, by time.Time) (out raftstore.Answer) {
	answered := make(chan raftstore.Answer, 1)
	h.Submit(a, by, func(a raftstore.Answer) { answered <- a })
	select {
	case out = <-answered:
	case <-h.quit:
		out.Status = raftstore.NotSent
	}
	return out
}
