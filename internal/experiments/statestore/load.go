package statestore

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/raftnode"
)

// Load is the result of a load of writes.
type Load struct {
	Disk           bool
	Voters, Shards int
	Callers        int
	Rate           float64 // writes a second
	Failed         int64
	Latency        *report.Durations
}

// sessionKeys is how many sessions the callers of a load write for.
const sessionKeys = 10_000

// measureLoad measures how many writes a second so many callers get stored, each one after the other.
func measureLoad(s shape, callers int, duration time.Duration) (Load, error) {
	c, err := newCluster(s)
	if err != nil {
		return Load{}, err
	}
	defer c.close()
	c.load(callers, duration/5, sessionKeys) // until the connections are open and the leaders known
	l := c.load(callers, duration, sessionKeys)
	rate := float64(l.stored.Load()) / l.elapsed.Seconds()
	return Load{Disk: s.disk, Voters: s.voters, Shards: s.shards, Callers: callers, Rate: rate, Failed: l.failed.Load(), Latency: l.latency}, nil
}

// load counts the writes of a load and collects how long each took.
type load struct {
	stored, failed atomic.Int64
	latency        *report.Durations
	elapsed        time.Duration
}

// load raises sessions' positions from callers at all nodes, each one after the other. It returns after duration, when all callers
// have ended.
func (c *cluster) load(callers int, duration time.Duration, sessions int) *load {
	l := &load{latency: report.NewDurations()}
	var mu sync.Mutex
	var goroutines sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		node := c.members[i%len(c.members)].node
		goroutines.Go(func() {
			latencies := l.call(node, begin.Add(duration), func(n int) []byte { return fmt.Appendf(nil, "session %d", (n*callers+i)%sessions) })
			mu.Lock()
			defer mu.Unlock()
			for _, micros := range latencies {
				l.latency.Add(micros)
			}
		})
	}
	goroutines.Wait()
	l.elapsed = time.Since(begin)
	return l
}

// call writes until the end, and returns how long each write that was stored took, in microseconds.
func (l *load) call(node *raftnode.Node, end time.Time, keyOf func(n int) []byte) (latencies []int64) {
	const timeout = 5 * time.Second
	answer := make(chan bool, 1)
	for n := 0; time.Now().Before(end); n++ {
		begin := time.Now()
		node.RaisePosition(keyOf(n), uint64(n+1), time.Hour, begin.Add(timeout), func(ok bool) { answer <- ok })
		if !<-answer {
			l.failed.Add(1)
			time.Sleep(time.Millisecond)
			continue
		}
		l.stored.Add(1)
		latencies = append(latencies, time.Since(begin).Microseconds())
	}
	return latencies
}
