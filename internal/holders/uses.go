package holders

import (
	"fmt"
	"time"

	"marblespan/internal/copies"

	api "marblespan/api/copies"
)

// tryAgain is how long a store that does not answer is left alone before one call tries it again.
const tryAgain = 500 * time.Millisecond

// Able tells whether a promise is likely to be had now: the last one was, or it is time to try again.
func (h *Holders) Able() bool {
	if h.shards.Load() == 0 {
		return false
	}
	last := h.failedAt.Load()
	now := time.Now().UnixMicro()
	return last == 0 || now-last > tryAgain.Microseconds() && h.failedAt.CompareAndSwap(last, now)
}

// note keeps whether promises are to be had.
func (h *Holders) note(a copies.Answer) {
	if a.Status == copies.TooLate || a.Status == copies.NotSent || a.Status == copies.Full {
		h.failedAt.Store(time.Now().UnixMicro())
	} else {
		h.failedAt.Store(0)
	}
}

// Raise promises that a number is at least so high.
func (h *Holders) Raise(key []byte, to uint64, last time.Duration, by time.Time, done func(bool)) {
	shards := int(h.shards.Load())
	if shards == 0 {
		done(false)
		return
	}
	h.Ask(copies.Ask{Shard: copies.ShardOf(key, shards), Command: &api.Command{Mark: &api.Mark{
		Key: key, Position: to, Span: int64(last / time.Microsecond),
	}}}, by, func(a copies.Answer) {
		h.note(a)
		done(a.Status == copies.OK)
	})
}

// Read reads a number. known is false where it could not be had in time, or may have been lost.
func (h *Holders) Read(key []byte, by time.Time, done func(value uint64, known bool)) {
	shards := int(h.shards.Load())
	if shards == 0 {
		done(0, false)
		return
	}
	h.Ask(copies.Ask{Shard: copies.ShardOf(key, shards), Get: &api.Get{Key: key}}, by, func(a copies.Answer) {
		done(a.Position, a.Status == copies.OK && !a.Lost)
	})
}

// Status is how a gateway stands, for whoever asks.
type Status struct {
	Node     string  `json:"node"`
	Founding string  `json:"founding"` // empty: there is no store
	Index    uint64  `json:"ledger_index"`
	Copies   int     `json:"copies"`
	Disk     string  `json:"disk"` // this gateway's; empty: it holds nothing
	Failed   string  `json:"failed,omitempty"`
	Waiting  int     `json:"waiting"`
	Disks    []Disk  `json:"disks"`
	Groups   []Group `json:"groups"`
}

// Disk is one disk that the ledger knows.
type Disk struct {
	Number string `json:"number"`
	Node   string `json:"node"`
	Zone   string `json:"zone,omitempty"`
	Weight uint32 `json:"weight"`
	Gone   bool   `json:"gone,omitempty"`
}

// Group is one shard, or the ledger.
type Group struct {
	Group    uint32    `json:"group"` // 0: the ledger
	Epoch    uint32    `json:"epoch"`
	Lost     bool      `json:"lost,omitempty"`
	Replicas []Replica `json:"replicas"`
	Adding   *Replica  `json:"adding,omitempty"`
	Leaving  uint64    `json:"leaving,omitempty"`
	Here     *Here     `json:"here,omitempty"`
}

// Replica is one replica of a group.
type Replica struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Lost   bool   `json:"lost,omitempty"`
}

// Here is the asked gateway's own replica.
type Here struct {
	Number  uint64 `json:"number"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	Unsure  bool   `json:"unsure,omitempty"`
}

// Whole tells whether a group has all its copies, and none is under way.
func (g Group) Whole(copies int) bool {
	for _, r := range g.Replicas {
		if r.Lost {
			return false
		}
	}
	return len(g.Replicas) >= copies && g.Adding == nil
}

func replica(r copies.ReplicaView) Replica { return Replica{r.Number, r.Name, r.Lost} }

// Status tells how the gateway stands.
func (h *Holders) Status() any {
	o := h.Overview()
	s := Status{Node: h.s.Node, Index: o.Index, Copies: o.Copies, Failed: o.Failed, Waiting: o.Calls, Disks: []Disk{}, Groups: []Group{}}
	if o.Founding != 0 {
		s.Founding = fmt.Sprintf("%016x", o.Founding)
	}
	if o.Store != 0 {
		s.Disk = fmt.Sprintf("%016x", o.Store)
	}
	for _, x := range o.Stores {
		s.Disks = append(s.Disks, Disk{fmt.Sprintf("%016x", x.Number), x.Name, x.Zone, x.Weight, x.Gone})
	}
	for _, x := range o.Groups {
		g := Group{Group: x.Group, Epoch: x.Epoch, Lost: x.Lost, Leaving: x.Leaving, Replicas: []Replica{}}
		for _, r := range x.Voters {
			g.Replicas = append(g.Replicas, replica(r))
		}
		if x.Adding != nil {
			r := replica(*x.Adding)
			g.Adding = &r
		}
		if x.Here != nil {
			here := Here(*x.Here)
			g.Here = &here
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// Print writes the counters.
func (h *Holders) Print() {
	c := &h.Counts
	line := h.log.Info().Int64("sent", c.Sent.Load()).Int64("sent_bytes", c.SentBytes.Load()).Int64("not_sent", c.NotSent.Load()).
		Int64("received", c.Received.Load()).Int64("overrun", c.Overrun.Load()).Int64("writes", c.Writes.Load())
	for s := range copies.Statuses {
		if n := c.Answered[s].Load(); n > 0 {
			line = line.Int64("answered_"+s.String(), n)
		}
	}
	for n := range copies.Notices {
		if k := c.Noticed[n].Load(); k > 0 {
			line = line.Int64("noticed_"+n.String(), k)
		}
	}
	line.Msg("copies counters")
}
