package membership

import "slices"

// item is a piece of news: a member's name, or a path.
type item struct{ name, by, peer string }

// news is what is still to be sent on, what was sent least often first.
type news struct {
	levels [][]item     // by how often it was sent; some are out of date, see at
	at     map[item]int // how often each was sent
}

func (n *news) clone() news {
	c := news{levels: make([][]item, len(n.levels)), at: make(map[item]int, len(n.at))}
	for i := range n.levels {
		c.levels[i] = slices.Clone(n.levels[i])
	}
	for x, k := range n.at {
		c.at[x] = k
	}
	return c
}

// empty tells that there is nothing to send on.
func (n *news) empty() bool { return len(n.at) == 0 }

// push has a piece of news sent on from the beginning.
func (n *news) push(x item) {
	if k, waits := n.at[x]; waits && k == 0 {
		return
	}
	if n.at == nil {
		n.at = map[item]int{}
	}
	n.at[x] = 0
	n.put(0, x)
}

func (n *news) put(level int, x item) {
	for len(n.levels) <= level {
		n.levels = append(n.levels, nil)
	}
	n.levels[level] = append(n.levels[level], x)
}

// verdict is what becomes of a piece of news that is offered.
type verdict uint8

const (
	sent    verdict = iota // it goes out with this message
	waits                  // there is no room for it; perhaps for a smaller one
	nothing                // there is nothing to tell any more
	full                   // there is no room for any
)

// take offers what was sent least often, piece by piece, until there is no room left. What was sent so often is forgotten.
func (n *news) take(often int, offer func(item) verdict) {
	var moved []item
	var from []int
	over := false
	for level := 0; level < len(n.levels) && !over; level++ {
		list, done := n.levels[level], 0
		var kept []item
		for ; done < len(list) && !over; done++ {
			x := list[done]
			if k, waits := n.at[x]; !waits || k != level {
				continue // it was begun anew, or told enough
			}
			switch offer(x) {
			case sent:
				moved, from = append(moved, x), append(from, level)
			case nothing:
				delete(n.at, x)
			case full:
				over = true
				kept = append(kept, x)
			default:
				kept = append(kept, x)
			}
		}
		if n.levels[level] = list[done:]; len(kept) > 0 && done < len(list) {
			kept = append(kept, list[done:]...)
		}
		if len(kept) > 0 {
			n.levels[level] = kept
		}
	}
	for i, x := range moved {
		if level := from[i] + 1; level < often {
			n.at[x] = level
			n.put(level, x)
		} else {
			delete(n.at, x)
		}
	}
}
