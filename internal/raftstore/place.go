package raftstore

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	api "marblespan/api/raftstorepb"
)

// ShardOf is the shard of a key, counted from 1.
func ShardOf(key []byte, shards int) uint32 { return 1 + uint32(xxhash.Sum64(key)%uint64(shards)) }

// score is the weighted rendezvous score of a store for a group (Thaler and Ravishankar 1998; the logarithm weighs it, as
// Schindelhauer and Schomaker 2005 have it): a store that comes or goes moves no group but its own share.
func score(group uint32, s *api.Store) float64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[:], group)
	binary.BigEndian.PutUint64(b[4:], xxhash.Sum64String(s.Name)) // by name: one that comes back with a new disk has its place again
	x := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -float64(max(s.Weight, 1)) / math.Log(x)
}

// place picks up to n stores for a group, the best score first: from as many zones as there are before a second from any.
func place(group uint32, stores []*api.Store, n int) (out []*api.Store) {
	rest := slices.Clone(stores)
	slices.SortFunc(rest, func(a, b *api.Store) int {
		return cmp.Or(-cmp.Compare(score(group, a), score(group, b)), cmp.Compare(a.Id, b.Id))
	})
	zones := map[string]int{}
	for len(out) < n && len(rest) > 0 {
		best := 0
		for i, s := range rest {
			if zones[s.Zone] < zones[rest[best].Zone] {
				best = i
			}
		}
		zones[rest[best].Zone]++
		out = append(out, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return out
}
