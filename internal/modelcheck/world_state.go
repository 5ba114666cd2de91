package modelcheck

import "slices"

// State is one state of a World.
type State struct {
	Now              int64
	Nodes            []Node
	DownUntil        []int64 // time at which each node restarts; 0: the node is up, -1: it never restarts
	PausedUntil      []int64 // time at which each node's pause ends; 0: the node is not paused
	PartitionedUntil []int64 // time at which each node's partition ends; 0: the node is connected
	FaultsLeft       Faults
	LastFaultAt      int64 // time at which the last fault or environment change began or ended
	History          History

	network []inFlightMessage // messages in flight, in the order in which they were sent
}

// inFlightMessage is a message that was sent and has not been delivered yet.
type inFlightMessage struct {
	from, to int
	text     string
	sent     int64
	deadline int64 // the clock does not pass this time before the message is delivered, unless the receiver is down or paused
	unread   bool  // the message reached the receiver's socket during a pause of the receiver, and has not been read since
}

// Running reports whether a node is neither down nor paused.
func (s *State) Running(i int) bool { return s.DownUntil[i] == 0 && s.PausedUntil[i] == 0 }

// InFlight reports whether a message that was sent at most maxAge ago is in flight between two nodes, in either direction.
func (s *State) InFlight(i, j int, maxAge int64) bool {
	return slices.ContainsFunc(s.network, func(m inFlightMessage) bool {
		return (m.from == i && m.to == j || m.from == j && m.to == i) && s.Now-m.sent <= maxAge
	})
}

// Unread reports whether a message between two nodes, for which match returns true, reached its receiver during a pause and has
// not been read yet.
func (s *State) Unread(from, to int, match func(text string) bool) bool {
	return slices.ContainsFunc(s.network, func(m inFlightMessage) bool {
		return m.from == from && m.to == to && m.unread && match(m.text)
	})
}

// FaultFree reports whether no fault is in effect: no node is paused, partitioned or about to restart, and no message is
// delayed beyond maxDelay. A node that never restarts does not count as a fault.
func (s *State) FaultFree(maxDelay int64) bool {
	for i := range s.Nodes {
		if s.DownUntil[i] > 0 || s.PausedUntil[i] > 0 || s.PartitionedUntil[i] > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(s.network, func(m inFlightMessage) bool {
		return m.deadline-m.sent > maxDelay && !m.unread
	})
}

// removeDelivered removes the message with index i, which is being delivered. If inOrder is set, it also removes the earlier
// messages from the same sender to the same receiver, which this message overtook.
func (s *State) removeDelivered(i int, inOrder bool) {
	delivered := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	for k := i - 1; inOrder && k >= 0; k-- {
		if m := s.network[k]; m.from == delivered.from && m.to == delivered.to {
			s.network = slices.Delete(s.network, k, k+1)
		}
	}
}

func (s *State) clone() *State {
	c := *s
	c.Nodes = slices.Clone(s.Nodes)
	c.DownUntil = slices.Clone(s.DownUntil)
	c.PausedUntil = slices.Clone(s.PausedUntil)
	c.PartitionedUntil = slices.Clone(s.PartitionedUntil)
	c.network = slices.Clone(s.network)
	return &c
}
