package assignment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is a member's claim to a subject: the highest of as many draws as its weight, so that its share of all subjects is in
// proportion, and a member that comes or goes moves only what becomes or was its own.
func score(m Member, key string) uint64 {
	var d xxhash.Digest
	best := uint64(0)
	for i := range max(min(m.Weight, MaxWeight), 1) {
		d.Reset()
		d.WriteString(m.Name)
		d.Write([]byte{0, i, 0})
		d.WriteString(key)
		best = max(best, d.Sum64())
	}
	return best
}

// ranking is the members in the order in which they are to deal with a subject: those of its zone first.
func ranking(members []Member, s Subject) []string {
	type claim struct {
		name  string
		near  bool
		score uint64
	}
	claims := make([]claim, len(members))
	for i, m := range members {
		claims[i] = claim{m.Name, s.Zone == "" || m.Zone == s.Zone, score(m, s.Key)}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(claims))
	for i, c := range claims {
		names[i] = c.name
	}
	return names
}
