package gateway

import (
	"errors"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
)

// OpenIntents creates the resolver of in-doubt writes. A program with a state store (internal/raftgateway) sets it before the
// gateway starts; in other programs it is nil.
var OpenIntents func(intents.Settings) intents.Resolver

// newIntents creates the resolver of in-doubt writes. It returns nil if the operators' file has no in-doubt section or
// OpenIntents is not set.
func newIntents(g *Gateway) intents.Resolver {
	if len(g.operators.InDoubt) == 0 || OpenIntents == nil {
		return nil
	}
	s := intents.Settings{
		Node: g.operators.Members.Node, Incarnation: g.incarnation, Classes: map[string]intents.Class{}, Log: g.log,
		Now:    func() clock.Micros { return clock.Micros(g.clock.Now()) },
		ToTime: func(t clock.Micros) time.Time { return g.clock.Time(clock.Micros(t)) },
		Lookup: func(class, key string, group int, by time.Time, done func(row, answer []byte, ok bool)) {
			g.clients.Lookup(class, key, group, by, done)
		},
	}
	for _, d := range g.operators.InDoubt {
		c := intents.Class{Policy: indoubt.Policy{
			RepeatsMarked: d.Clients == "mark", StoreBeforeReply: d.Order == "safe", HasLookup: len(d.Lookup) > 0, Retention: clock.Micros(d.Retention.Microseconds()), MaxInFlight: d.MaxInFlight,
		}}
		if c.Policy.HasLookup {
			c.LookupClass = d.Lookup[0]
		}
		if len(d.Lookup) > 1 {
			c.LookupText = d.Lookup[1]
		}
		s.Classes[d.Class] = c
	}
	return OpenIntents(s)
}

// IntentsStatus lists the in-doubt writes that a gateway has in flight, for operators.
type IntentsStatus struct {
	Node   string           `json:"node"`
	Open   []Intent         `json:"open"`
	Counts map[string]int64 `json:"counts"` // number of transitions of each kind since the gateway's start
}

// Intent is one in-doubt write in flight.
type Intent struct {
	Booking string `json:"booking"` // the write's shortened key, the same as in the logs of all gateways
	ID      string `json:"id"`      // the request's ID
	Class   string `json:"class"`
	Phase   string `json:"phase"`
	ForMS   int64  `json:"for_ms"`
	State   string `json:"state,omitempty"` // state of the stored intent, as last known to this gateway
	Owner   string `json:"owner,omitempty"`
	Server  string `json:"server,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
}

// intentsStatus returns the in-doubt writes that are in flight and the counters of their transitions.
func (g *Gateway) intentsStatus() (any, error) {
	if g.intents == nil {
		return nil, errors.New("this gateway has no in-doubt section")
	}
	s := IntentsStatus{Node: g.operators.Members.Node, Open: []Intent{}, Counts: map[string]int64{}}
	for _, v := range g.intents.InFlight() {
		s.Open = append(s.Open, Intent{
			Booking: intents.ShortKey(v.Key), ID: v.RequestID, Class: v.Class, Phase: v.Phase, ForMS: int64(v.Age) / 1000, State: v.Intent.State.String(),
			Owner: v.Intent.Owner, Server: v.Intent.Server, Attempt: v.Intent.ClaimCount,
		})
	}
	for n := range indoubt.Transitions {
		s.Counts[n.String()] = g.intents.TransitionCount(n)
	}
	return s, nil
}

// logIntentCounters logs the counters of in-doubt writes.
func (g *Gateway) logIntentCounters() {
	if g.intents == nil {
		return
	}
	line := g.log.Info()
	for n := range indoubt.Transitions {
		line = line.Int64(n.String(), g.intents.TransitionCount(n))
	}
	line.Msg("in-doubt counters")
}
