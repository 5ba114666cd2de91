//go:build review

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lookup"] = lookup }

// lookup: a gateway is killed with bookings under way, and their clients ask again at another gateway. The database servers must get
// nothing that no client has sent.
func lookup(rec *record, dir string) bool {
	const gateways, clients = 3, 12
	var mu sync.Mutex
	got := map[string]string{}  // by id: the statement that a server got, without its comment
	sent := map[string]string{} // by id: the statement that a client sent, without its comment
	first := map[string]int{}
	var targets []target
	text := func(sql string) string {
		_, rest, _ := strings.Cut(sql, "*/")
		return rest
	}
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.work = func(string) time.Duration { return 130 * time.Millisecond } // of a booking: 78 to 130 ms
		s.onRequest = func(s *server, sql string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			got[field(sql, "id")] = text(sql)
			first[text(sql)]++
			rec.say("%s: got %s", s.name, sql)
		}
		s.serve()
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	c := newCluster(rec, dir, gateways, "state-store\n raft-nodes all\n voters 3\n shards 4\n storage disk %DIR%/copies.db\n witness %DIR%/witness\nin-doubt booking\n clients mark\n lookup seat\n")
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
	ask := func(g *gateway, id, key, mark string) result {
		sql := insertSQL(id, "booking", key, 5000, 1, "seat of "+key, mark)
		mu.Lock()
		sent[id] = text(sql)
		mu.Unlock()
		cl, err := connect(g.listen)
		if err != nil {
			rec.say("%s at %s: %v", id, g.name, err)
			return result{kind: "none"}
		}
		defer cl.close()
		r := cl.query(sql, 6*time.Second)
		rec.asked(id, "booking"+mark, g.name, r)
		return r
	}
	var wait sync.WaitGroup
	stop := time.Now().Add(1500 * time.Millisecond)
	for n := range clients {
		wait.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id, key := fmt.Sprintf("b%d-%d", n, i), fmt.Sprintf("seat-%d-%d", n, i)
				r := ask(c.gateways[0], id, key, "")
				for try := 1; r.kind != "served" && try <= 2; try++ { // clients retry up to 2 times, with a new id
					time.Sleep(100 * time.Millisecond)
					r = ask(c.gateways[1+(n+try)%2], fmt.Sprintf("%s-%d", id, try), key, ",r=1")
				}
			}
		})
	}
	if trouble {
		time.Sleep(800 * time.Millisecond)
		c.gateways[0].signal(syscall.SIGKILL) // one of three
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	broken, twice := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, statement := range got {
		if sent[id] != statement {
			broken++
			rec.say("no client has sent this: id %s,%s", id, statement)
		}
	}
	for statement, n := range first {
		if n > 1 && strings.Contains(statement, "INSERT") {
			twice++
		}
	}
	rec.say("clients sent %d requests, servers got %d, of these sent by no client %d; bookings that ran twice %d", len(sent), len(got), broken, twice)
	if len(sent) < clients {
		cannotRun("only %d requests were sent", len(sent))
	}
	return broken > 0
}
