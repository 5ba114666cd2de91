package gossip

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/membership"
)

// Member describes one member as this gateway sees it, for the command line.
type Member struct {
	Name           string   `json:"name"`
	Self           bool     `json:"self,omitempty"`
	Address        string   `json:"at"`
	Generation     uint64   `json:"life"` // time at which the member started, in microseconds of Unix time
	Incarnation    uint32   `json:"incarnation"`
	State          string   `json:"state"`
	ForMS          int64    `json:"for_ms"`       // how long the member has been in this state
	ReportedBy     string   `json:"by,omitempty"` // member that suspects the described member, or declared it dead
	LastReceivedMS int64    `json:"heard_ms_ago"` // time since the member's last message; -1 if no message was received
	RTTMicros      int64    `json:"rtt_us"`       // 0 if not known
	Zone           string   `json:"zone,omitempty"`
	Weight         uint32   `json:"weight"`
	Version        string   `json:"version"`
	Settings       string   `json:"settings"`        // digest of the member's platform settings
	SettingsDiffer bool     `json:"settings_differ"` // the digest differs from this gateway's
	Flags          []string `json:"flags"`
	LostPaths      []string `json:"cut"` // lost directions of paths, as "from -> to"
	// StreamMicros is the round-trip time of a ping over streams, and StreamFault the reason why there was no answer. They are
	// set only by StatusWithStreams.
	StreamMicros int64  `json:"stream_us,omitempty"`
	StreamFault  string `json:"stream_fault,omitempty"`
}

// Status describes all members as this gateway sees them: first this gateway, then the others in the order of their names.
type Status struct {
	Node        string   `json:"node"`
	Excluded    bool     `json:"left_out"` // another process owns this gateway's name
	LocalHealth int      `json:"health"`   // factor by which this gateway extends its timeouts; 1 if healthy
	Members     []Member `json:"members"`
}

// flagNames maps flags to their names in a Status.
var flagNames = []struct {
	flag membership.Flags
	name string
}{{membership.Draining, "draining"}, {membership.Stalled, "stood still"}, {membership.NoDisk, "no disk"}}

// Status returns all members as this gateway sees them. It is empty after Close.
func (a *Agent) Status() (s Status) {
	a.loop.Do(func() {
		now := a.clock.Now()
		own := a.machine.Self()
		s = Status{Node: own.Name, Excluded: a.machine.Excluded(), LocalHealth: a.machine.LocalHealth(), Members: []Member{}}
		for _, v := range a.machine.Members() {
			s.Members = append(s.Members, describe(v, own, now))
		}
		slices.SortStableFunc(s.Members[1:], func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	})
	return s
}

// describe converts the machine's view of a member to a Member, at the time now. own is this gateway's own record.
func describe(v membership.View, own membership.Record, now clock.Micros) Member {
	m := Member{
		Name: v.Name, Self: v.Self, Address: v.Address.String(), Generation: v.Generation, Incarnation: v.Incarnation,
		State: v.State.String(), ForMS: int64(now-v.Since) / 1000, ReportedBy: v.ReportedBy, LastReceivedMS: -1, RTTMicros: int64(v.RTT),
		Zone: v.Meta.Zone, Weight: v.Meta.Weight, Version: v.Meta.Version, Settings: fmt.Sprintf("%016x", v.Meta.Settings),
		SettingsDiffer: v.Meta.Settings != own.Meta.Settings, Flags: []string{}, LostPaths: []string{},
	}
	if v.LastReceived > 0 {
		m.LastReceivedMS = int64(now-v.LastReceived) / 1000
	}
	for _, f := range flagNames {
		if v.Meta.Flags&f.flag != 0 {
			m.Flags = append(m.Flags, f.name)
		}
	}
	for _, p := range v.LostPaths {
		m.LostPaths = append(m.LostPaths, lostDirections(p)...)
	}
	return m
}

// lostDirections returns the lost directions of a path, each as "from -> to".
func lostDirections(p membership.PathState) (directions []string) {
	if p.OutboundLost {
		directions = append(directions, p.Reporter+" -> "+p.Peer)
	}
	if p.InboundLost {
		directions = append(directions, p.Peer+" -> "+p.Reporter)
	}
	return directions
}

// streamPingTimeout is how long StatusWithStreams waits for the answers to its pings.
const streamPingTimeout = 1500 * time.Millisecond

// StatusWithStreams returns the same as Status and, if there are streams, also pings each other member that is alive or suspect.
// A ping goes over this gateway's stream to the member. The answer comes over the member's stream to this gateway.
func (a *Agent) StatusWithStreams() Status {
	s := a.Status()
	deadline := time.Now().Add(streamPingTimeout)
	var pings sync.WaitGroup
	for i := range s.Members {
		m := &s.Members[i]
		if m.Self || a.Streams == nil || m.State != membership.Alive.String() && m.State != membership.Suspect.String() {
			continue
		}
		pings.Go(func() {
			took, err := a.Streams.Ping(m.Name, deadline)
			if m.StreamMicros = took.Microseconds(); err != nil {
				m.StreamFault = err.Error()
			}
		})
	}
	pings.Wait()
	return s
}
