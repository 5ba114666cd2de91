package statestore

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/experiments/report"
	"marblespan/internal/raftnode"
)

// Load holds the measurements of a load of writes.
type Load struct {
	Disk           bool
	Voters, Shards int
	Callers        int     // number of concurrent callers
	Rate           float64 // stored writes per second
	Failed         int64   // number of failed writes
	Latency        *report.Durations
}

// sessionKeys is the number of sessions whose positions the callers of a load write.
const sessionKeys = 10_000

// measureLoad measures how many writes per second are stored for a number of concurrent callers. Each caller waits for the answer to a
// write before it sends the next one.
func measureLoad(s clusterOptions, callers int, duration time.Duration) (Load, error) {
	c, err := newCluster(s)
	if err != nil {
		return Load{}, err
	}
	defer c.close()
	c.load(callers, duration/5, sessionKeys) // warm up until the connections are open and the leaders are known
	l := c.load(callers, duration, sessionKeys)
	rate := float64(l.stored.Load()) / l.elapsed.Seconds()
	return Load{Disk: s.disk, Voters: s.voters, Shards: s.shards, Callers: callers, Rate: rate, Failed: l.failed.Load(), Latency: l.latency}, nil
}

// load counts the writes of a load and collects their latencies.
type load struct {
	stored, failed atomic.Int64
	latency        *report.Durations
	elapsed        time.Duration
}

// load runs callers that raise session positions. The callers are spread over all nodes, and each waits for the answer to a write before it
// sends the next one. load returns after duration, when all callers have ended.
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

// call writes one position after the other until the time end, and returns the latency of each stored write in microseconds.
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
