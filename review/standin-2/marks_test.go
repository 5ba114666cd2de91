//go:build review

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["marks"] = marks }

// marks: a session books at one gateway and reads at another one, while the replicas apply the log slowly. Servers check reads, but
// the position of the session's commit stands in the state store and not in the statement.
func marks(rec *record, dir string) bool {
	const (
		slowFrom = 5 * time.Second
		period   = 20 * time.Second // of which the log is applied slowly for 15 s
		slowness = 12
	)
	begin := time.Now()
	position := func() int64 {
		now := time.Now()
		since := now.Sub(begin) % period
		quick := now.Add(-6 * time.Millisecond)
		if trouble && since >= slowFrom {
			slow := since - slowFrom
			return quick.Add(-slow + slow/slowness).UnixMilli()
		}
		return quick.UnixMilli()
	}
	// The group's data: per key the commits, with their time.
	type commit struct {
		at int64
		id string
	}
	var mu sync.Mutex
	data := map[string][]commit{}
	seen := map[string]string{} // by the id of a read: the newest commit that it saw
	readBy := map[string]string{}
	keyOf := func(sql, before string) string {
		_, rest, _ := strings.Cut(sql, before)
		key, _, _ := strings.Cut(rest, "'")
		return key
	}
	onRequest := func(s *server, sql string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(sql, "INSERT INTO") {
			if s.role.Load() == "primary" {
				key := keyOf(sql, "VALUES ('")
				data[key] = append(data[key], commit{nowMS(), field(sql, "id")})
			}
			return
		}
		newest := ""
		for _, c := range data[keyOf(sql, "name = '")] {
			if c.at <= s.position() {
				newest = c.id
			}
		}
		seen[field(sql, "id")], readBy[field(sql, "id")] = newest, s.name
	}
	var targets []target
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.onRequest, s.checksAfter = onRequest, true
		if role == "replica" {
			s.position = position
		}
		s.serve()
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	const gateways = 3
	c := newCluster(rec, dir, gateways, "state-store\n raft-nodes all\n voters 3\n shards 4\n storage disk %DIR%/copies.db\n witness %DIR%/witness\n session-marks booking mine\n")
	for i, g := range c.gateways {
		g.configure(sample(func(m map[string]any) {
			m["discovery"], m["known"] = d.addr(), d.known()
			sessionSettings(m, gateways, i, "await", "kept")
		}))
		g.start()
	}
	for _, g := range c.gateways {
		g.awaitReady(20 * time.Second)
	}
	c.bootstrap(3)

	var booked, read, broken atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(45 * time.Second)
	for n := range 6 {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				at, other := c.gateways[(n+i)%gateways], c.gateways[(n+i+1)%gateways]
				key, id := fmt.Sprintf("session-%d-%d", n, i), fmt.Sprintf("w%d-%d", n, i)
				one, err := connect(at.listen)
				if err != nil {
					continue
				}
				w := one.query(insertSQL(id, "booking", key, 5000, 1, "seat", ""), 6*time.Second)
				one.close()
				rec.asked(id, "booking", at.name, w)
				if w.kind != "served" {
					continue
				}
				booked.Add(1)
				time.Sleep(200 * time.Millisecond)
				two, err := connect(other.listen)
				if err != nil {
					continue
				}
				asked := fmt.Sprintf("m%d-%d", n, i)
				r := two.query(selectSQL(asked, "mine", key, 3000, 1, ""), 4*time.Second)
				two.close()
				rec.asked(asked, "mine", other.name, r)
				if r.kind != "served" {
					continue
				}
				read.Add(1)
				mu.Lock()
				newest, by := seen[asked], readBy[asked]
				mu.Unlock()
				if newest == id {
					continue
				}
				broken.Add(1)
				rec.say("session %s: booked at %s (%s, served), read at %s %d ms later (%s, served by %s): saw commit %q", key, at.name, id, other.name,
					r.sent.Sub(w.sent.Add(w.took)).Milliseconds(), asked, by, newest)
			}
		})
	}
	wait.Wait()
	rec.say("bookings served %d, reads served %d, of these without the session's booking %d", booked.Load(), read.Load(), broken.Load())
	if read.Load() < 200 {
		cannotRun("only %d reads were served", read.Load())
	}
	return broken.Load() > 0
}
