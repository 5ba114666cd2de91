package membership

import "slices"

// item is a piece of news: a member's name, or a path.
type broadcast struct{ name, reporter, peer string }

// news is what is still to be sent on, what was sent least often first.
type gossipQueue struct {
	levels    [][]broadcast     // by how often it was sent; some are out of date, see at
	transmits map[broadcast]int // how often each was sent
}

func (n *gossipQueue) clone() gossipQueue {
	c := gossipQueue{levels: make([][]broadcast, len(n.levels)), transmits: make(map[broadcast]int, len(n.transmits))}
	for i := range n.levels {
		c.levels[i] = slices.Clone(n.levels[i])
	}
	for x, k := range n.transmits {
		c.transmits[x] = k
	}
	return c
}

// empty tells that there is nothing to send on.
func (n *gossipQueue) empty() bool { return len(n.transmits) == 0 }

// push has a piece of news sent on from the beginning.
func (n *gossipQueue) enqueue(x broadcast) {
	if k, waits := n.transmits[x]; waits && k == 0 {
		return
	}
	if n.transmits == nil {
		n.transmits = map[broadcast]int{}
	}
	n.transmits[x] = 0
	n.appendLevel(0, x)
}

func (n *gossipQueue) appendLevel(level int, x broadcast) {
	for len(n.levels) <= level {
		n.levels = append(n.levels, nil)
	}
	n.levels[level] = append(n.levels[level], x)
}

// verdict is what becomes of a piece of news that is offered.
type offerResult uint8

const (
	offerSent     offerResult = iota // it goes out with this message
	offerTooLarge                    // there is no room for it; perhaps for a smaller one
	offerObsolete                    // there is nothing to tell any more
	offerFull                        // there is no room for any
)

// take offers what was sent least often, piece by piece, until there is no room left. What was sent so often is forgotten.
func (n *gossipQueue) take(limit int, offer func(broadcast) offerResult) {
	var transmitted []broadcast
	var levels []int
	stop := false
	for level := 0; level < len(n.levels) && !stop; level++ {
		queued, done := n.levels[level], 0
		var remaining []broadcast
		for ; done < len(queued) && !stop; done++ {
			item := queued[done]
			if count, waits := n.transmits[item]; !waits || count != level {
				continue // it was begun anew, or told enough
			}
			switch offer(item) {
			case offerSent:
				transmitted, levels = append(transmitted, item), append(levels, level)
			case offerObsolete:
				delete(n.transmits, item)
			case offerFull:
				stop = true
				remaining = append(remaining, item)
			default:
				remaining = append(remaining, item)
			}
		}
		if n.levels[level] = queued[done:]; len(remaining) > 0 && done < len(queued) {
			remaining = append(remaining, queued[done:]...)
		}
		if len(remaining) > 0 {
			n.levels[level] = remaining
		}
	}
	for i, item := range transmitted {
		if level := levels[i] + 1; level < limit {
			n.transmits[item] = level
			n.appendLevel(level, item)
		} else {
			delete(n.transmits, item)
		}
	}
}
