package assignment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score returns a member's score for a subject in rendezvous hashing: the highest of several hashes, as many as the member's
// weight. This makes a member's share of all subjects proportional to its weight. When a member joins or leaves, only the
// subjects that it takes over or gives up change hands.
func score(m Member, key string) uint64 {
	var digest xxhash.Digest
	best := uint64(0)
	for i := range max(min(m.Weight, MaxWeight), 1) {
		digest.Reset()
		digest.WriteString(m.Name)
		digest.Write([]byte{0, i, 0})
		digest.WriteString(key)
		best = max(best, digest.Sum64())
	}
	return best
}

// ranking returns the names of the members in the order of their rank for a subject: members in the subject's zone first, then
// the others, and both parts by descending score.
func ranking(members []Member, s Subject) []string {
	type candidate struct {
		name   string
		inZone bool
		score  uint64
	}
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{m.Name, s.Zone == "" || m.Zone == s.Zone, score(m, s.Key)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.inZone != b.inZone {
			if a.inZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}
