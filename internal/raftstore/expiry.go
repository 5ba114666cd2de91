package raftstore

import (
	"marblespan/internal/clock"
)

// expiry is when a record may expire: a node of the heap.
type expiry struct {
	at  clock.Micros
	key string
}

// pushExpiry adds to the heap.
func (s *shard) pushExpiry(e expiry) {
	s.expiries = append(s.expiries, e)
	for i := len(s.expiries) - 1; i > 0; {
		up := (i - 1) / 2
		if s.expiries[up].at <= s.expiries[i].at {
			break
		}
		s.expiries[up], s.expiries[i] = s.expiries[i], s.expiries[up]
		i = up
	}
}

// popExpiry takes the earliest expiry off the heap.
func (s *shard) popExpiry() expiry {
	first, n := s.expiries[0], len(s.expiries)-1
	s.expiries[0] = s.expiries[n]
	s.expiries[n] = expiry{}
	s.expiries = s.expiries[:n]
	for i := 0; ; {
		low := 2*i + 1
		if low+1 < n && s.expiries[low+1].at < s.expiries[low].at {
			low++
		}
		if low >= n || s.expiries[i].at <= s.expiries[low].at {
			return first
		}
		s.expiries[low], s.expiries[i] = s.expiries[i], s.expiries[low]
		i = low
	}
}
