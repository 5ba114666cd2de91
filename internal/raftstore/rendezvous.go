package raftstore

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	api "marblespan/api/raftstorepb"
)

// ShardOf returns the number of the shard that a key belongs to, from 1 to shards.
func ShardOf(key []byte, shards int) uint32 { return 1 + uint32(xxhash.Sum64(key)%uint64(shards)) }

// rendezvousScore returns the weighted rendezvous score of a store for a group (Thaler and Ravishankar 1998; weighted by the
// logarithm as in Schindelhauer and Schomaker 2005). When a store joins or leaves, only its own share of the groups moves.
func rendezvousScore(group uint32, s *api.Store) float64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[:], group)
	binary.BigEndian.PutUint64(b[4:], xxhash.Sum64String(s.Name)) // by name, so that a gateway that returns with a new disk gets the same groups again
	x := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -float64(max(s.Weight, 1)) / math.Log(x)
}

// placeGroup picks up to n stores for a group, best score first, from as many zones as possible.
func placeGroup(group uint32, stores []*api.Store, n int) (out []*api.Store) {
	candidates := slices.Clone(stores)
	slices.SortFunc(candidates, func(a, b *api.Store) int {
		return cmp.Or(-cmp.Compare(rendezvousScore(group, a), rendezvousScore(group, b)), cmp.Compare(a.Id, b.Id))
	})
	zones := map[string]int{}
	for len(out) < n && len(candidates) > 0 {
		best := 0
		for i, s := range candidates {
			if zones[s.Zone] < zones[candidates[best].Zone] {
				best = i
			}
		}
		zones[candidates[best].Zone]++
		out = append(out, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return out
}
