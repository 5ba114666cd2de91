//go:build review

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["holder"] = holder }

// holder: the gateway that holds a floating address stands still, and another one takes the address over. A booking that comes to the
// former holder meanwhile, marked as a client's retry, must be refused unsent when it goes on.
func holder(rec *record, dir string) bool {
	const (
		gateways = 3
		rounds   = 6
		pause    = 2 * time.Second // the lease of an address is three intervals of 100 ms
	)
	var mu sync.Mutex
	ran := map[string]time.Time{}
	var targets []target
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.onRequest = func(s *server, sql string, at time.Time) {
			if strings.Contains(sql, "INSERT") && s.role.Load() == "primary" {
				mu.Lock()
				ran[field(sql, "id")] = at
				mu.Unlock()
				rec.say("%s: runs %s", s.name, field(sql, "id"))
			}
		}
		s.serve()
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	var binds, listens []string
	for range gateways {
		binds, listens = append(binds, freePort("127.0.0.1")), append(listens, freePort("127.0.0.1"))
	}
	c := newCluster(rec, dir, gateways, "state-store\n raft-nodes all\n voters 3\n shards 4\n storage disk %DIR%/copies.db\n witness %DIR%/witness\nin-doubt booking\n clients mark\n%VRRP%")
	for i, g := range c.gateways {
		text := fmt.Sprintf("vrrp\n node %d\n bind %s\n key 1 \"a secret of this review\"\n", i+1, binds[i])
		for j := range gateways {
			if j != i {
				text += fmt.Sprintf(" peer %d %s\n", j+1, binds[j])
			}
		}
		text += fmt.Sprintf("group counters\n vrid 51\n address 192.0.2.10\n listen %s\n priority %d\n interval 100ms\n", listens[i], 200-50*i)
		g.rewriteConf("%VRRP%", text)
		g.configure(sample(func(m map[string]any) {
			m["discovery"], m["known"] = d.addr(), d.known()
			sessionSettings(m, gateways, i, "none", "kept")
		}))
		g.start()
	}
	for _, g := range c.gateways {
		g.awaitReady(20 * time.Second)
	}
	c.bootstrap(3)
	// holds tells whether a gateway holds the address now: only the holder has a listener there.
	holds := func(i int) bool {
		text, err := c.ask(c.gateways[i], "vrrp", "status")
		return err == nil && strings.Contains(string(text), " active ")
	}
	broken, refused := 0, 0
	for round := range rounds {
		for end := time.Now().Add(8 * time.Second); !holds(0); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				cannotRun("gw-1 does not hold the address")
			}
		}
		time.Sleep(300 * time.Millisecond)
		for _, mark := range []string{"", ",r=1"} {
			cl, err := connect(listens[0])
			if err != nil {
				cannotRun("connect to the address: %v", err)
			}
			if r := cl.query(selectSQL(fmt.Sprint("first-", round, mark), "seat", "a", 2000, 1, ""), 3*time.Second); r.kind != "served" {
				cannotRun("a look: %s %s", r.kind, r.code)
			}
			other := false
			if trouble {
				c.gateways[0].signal(syscall.SIGSTOP)
				time.AfterFunc(pause, func() {
					other = holds(1) || holds(2)
					rec.say("another gateway holds the address: %v", other)
					c.gateways[0].signal(syscall.SIGCONT)
				})
				time.Sleep(pause / 2)
			}
			id := fmt.Sprintf("w%d%s", round, strings.ReplaceAll(mark, ",r=1", "-retry"))
			r := cl.query(insertSQL(id, "booking", "seat-"+id, 5000, 1, "seat", mark), 6*time.Second)
			rec.asked(id, "booking", "the address at gw-1", r)
			cl.close()
			mu.Lock()
			at, did := ran[id]
			mu.Unlock()
			switch {
			case did && other:
				broken++
				rec.say("%s: gw-1 sent it %d ms after it had come, while another gateway held the address", id, at.Sub(r.sent).Milliseconds())
			case r.kind == "refused":
				refused++
			}
			time.Sleep(200 * time.Millisecond)
			for end := time.Now().Add(8 * time.Second); !holds(0) && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			}
		}
	}
	rec.say("bookings at a former holder: refused %d, sent %d", refused, broken)
	return broken > 0
}
