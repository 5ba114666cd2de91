//go:build review

package standin2

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stale"] = stale }

// stale: replicas fall behind while new connections to them come up late. A bounded read is placed on a replica that is just fresh
// enough, waits for its connection, and is sent when the replica is too old for its class.
func stale(rec *record, dir string) bool {
	const (
		bound    = 800 * time.Millisecond // of the class timetable in deploy/sample.json
		slack    = 50 * time.Millisecond  // every time limit on sockets is so much longer
		late     = 200 * time.Millisecond // how late a connection comes up; the settings' connect_timeout_ms is 250
		slowness = 15                     // how many times more slowly the log is applied
		slowFrom = 5 * time.Second        // the log is applied in time for so long,
		period   = 14 * time.Second       // and slowly for the rest of each period
	)
	begin := time.Now()
	// A replica's position: 10 ms behind, but in a slow time it goes on at a fifteenth of the pace, and catches up after it.
	position := func() int64 {
		now := time.Now()
		since := now.Sub(begin) % period
		quick := now.Add(-10 * time.Millisecond)
		if trouble && since >= slowFrom {
			slowFor := since - slowFrom
			return quick.Add(-slowFor + slowFor/slowness).UnixMilli()
		}
		return quick.UnixMilli()
	}
	var connections atomic.Int64
	handshake := func() time.Duration {
		if trouble && connections.Add(1)%3 == 0 { // a third of the connections come up late
			return late
		}
		return 2 * time.Millisecond
	}
	type arrival struct {
		at       time.Time
		position int64
		server   string
		primary  bool
	}
	var mu sync.Mutex
	arrivals := map[string]arrival{}
	onRequest := func(s *server, sql string, at time.Time) {
		mu.Lock()
		arrivals[field(sql, "id")] = arrival{at, s.position(), s.name, s.role.Load() == "primary"}
		mu.Unlock()
	}
	var servers []*server
	var targets []target
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.closes, s.onRequest, s.handshake = true, onRequest, handshake
		if role == "replica" {
			s.position = position
		}
		s.serve()
		servers = append(servers, s)
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	g := newGateway(rec, dir, "n0")
	g.configure(sample(func(c map[string]any) {
		c["discovery"], c["known"] = d.addr(), d.known()
		info := c["settings"].(map[string]any)["family_info"].(map[string]any)
		info["checks"], info["wait_ms"] = "none", 0.0 // servers answer a read from what they have
	}))
	g.start()
	g.awaitReady(10 * time.Second)

	var asked, served, late200, broken atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(66 * time.Second)
	for n := range 8 {
		wait.Go(func() {
			var c *client
			for i := 0; time.Now().Before(end); i++ {
				var err error
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("r%d-%d", n, i)
				r := c.query(selectSQL(id, "timetable", fmt.Sprint("k", n), 1200, 1, ""), 3*time.Second)
				rec.asked(id, "timetable", g.name, r)
				asked.Add(1)
				if r.kind == "none" || r.kind == "silent" {
					c.close()
					c = nil
				}
				if r.kind != "served" {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				served.Add(1)
				mu.Lock()
				a := arrivals[id]
				mu.Unlock()
				age := a.at.Sub(time.UnixMilli(a.position))
				if a.primary || age <= bound+slack {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				broken.Add(1)
				if age > bound+200*time.Millisecond {
					late200.Add(1)
				}
				rec.say("%s: served by %s, the last byte came at %d, its data is of %d: %d ms old, %d allowed", id, a.server,
					a.at.UnixMilli(), a.position, age.Milliseconds(), (bound + slack).Milliseconds())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	rec.say("asked %d, served %d, of these stale %d (by more than 200 ms: %d)", asked.Load(), served.Load(), broken.Load(), late200.Load())
	if served.Load() < 500 {
		cannotRun("only %d of %d requests were served", served.Load(), asked.Load())
	}
	return broken.Load() > 0
}
