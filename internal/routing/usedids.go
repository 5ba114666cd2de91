package routing

import (
	"hash/maphash"
	"time"

	"marblespan/internal/clock"
)

// The time for which used ids are remembered is between usedIDPeriod and twice as long. Clients resend at once when a connection ends;
// the longest deadlines are some seconds.
const usedIDPeriod = clock.Micros(time.Minute / time.Microsecond)

// maxUsedIDs is the maximum number of ids that are recorded in one period; it bounds the memory to some 2.5 MB. When it is reached, the
// next period begins early.
const maxUsedIDs = 1 << 15

// usedIDs remembers the ids of requests that may have run and must not run again, whether or not their clients are still connected.
// It stores hashes: a client's id can be 256 bytes long. Two generations bound memory and time without a timer for each id.
type usedIDs struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	periodEnd         clock.Micros
}

func newUsedIDs(now clock.Micros) usedIDs {
	return usedIDs{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}, periodEnd: now + usedIDPeriod}
}

// add records an id.
func (u *usedIDs) add(now clock.Micros, id string) {
	u.expire(now)
	if len(u.current) >= maxUsedIDs {
		u.beginPeriod(now)
	}
	u.current[maphash.String(u.seed, id)] = struct{}{}
}

// contains reports whether an id is recorded.
func (u *usedIDs) contains(now clock.Micros, id string) bool {
	u.expire(now)
	hash := maphash.String(u.seed, id)
	_, inCurrent := u.current[hash]
	_, inPrevious := u.previous[hash]
	return inCurrent || inPrevious
}

// expire ends the period if its time is over. After two periods without a call, both generations are dropped.
func (u *usedIDs) expire(now clock.Micros) {
	if now < u.periodEnd {
		return
	}
	if now >= u.periodEnd+usedIDPeriod {
		clear(u.current)
	}
	u.beginPeriod(now)
}

func (u *usedIDs) beginPeriod(now clock.Micros) {
	u.previous, u.current = u.current, map[uint64]struct{}{}
	u.periodEnd = now + usedIDPeriod
}
