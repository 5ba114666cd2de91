package raftstore

import (
	"marblespan/internal/clock"
)

// expiry is an element of a min-heap: the time at which a record may expire.
type expiry struct {
	at  clock.Micros
	key string
}

// pushExpiry adds an expiry to the heap.
func (s *shard) pushExpiry(e expiry) {
	s.expiries = append(s.expiries, e)
	for i := len(s.expiries) - 1; i > 0; {
		parent := (i - 1) / 2
		if s.expiries[parent].at <= s.expiries[i].at {
			break
		}
		s.expiries[parent], s.expiries[i] = s.expiries[i], s.expiries[parent]
		i = parent
	}
}

// popExpiry removes the earliest expiry from the heap and returns it.
func (s *shard) popExpiry() expiry {
	first, n := s.expiries[0], len(s.expiries)-1
	s.expiries[0] = s.expiries[n]
	s.expiries[n] = expiry{}
	s.expiries = s.expiries[:n]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < n && s.expiries[child+1].at < s.expiries[child].at {
			child++
		}
		if child >= n || s.expiries[i].at <= s.expiries[child].at {
			return first
		}
		s.expiries[child], s.expiries[i] = s.expiries[i], s.expiries[child]
		i = child
	}
}
