//go:build review

package standin2

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

// stop: two of three gateways are killed, and the third one gets its planned restart. It has a session's reads, whose marks the state
// store cannot tell, and must answer them before it ends.
func stop(rec *record, dir string) bool {
	var targets []target
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.serve()
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	const gateways = 3
	c := newCluster(rec, dir, gateways, "state-store\n raft-nodes all\n voters 3\n shards 4\n storage disk %DIR%/copies.db\n witness %DIR%/witness\n session-marks booking mine\n")
	for i, g := range c.gateways {
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
	g := c.gateways[0]

	const (
		newUntil = 400 * time.Millisecond // after SIGTERM new connections keep coming for so long
		crossing = 100 * time.Millisecond // a connection that ends sooner after a request was sent may have ended before it was read
	)
	var asked, answered, crossed, broken atomic.Int64
	var wait sync.WaitGroup
	var over atomic.Bool
	var termAt atomic.Int64
	for n := range 100 {
		wait.Go(func() {
			var cl *client
			for i := 0; !over.Load(); i++ {
				var err error
				if cl == nil {
					if at := termAt.Load(); at > 0 && time.Now().UnixNano()-at > int64(newUntil) {
						return
					}
					if cl, err = connect(g.listen); err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
				}
				id, key := fmt.Sprintf("m%d-%d", n, i), fmt.Sprintf("session-%d-%d", n, i)
				class, sql, d := "mine", selectSQL(id, "mine", key, 4000, 1, ""), 4*time.Second
				if n%4 == 0 {
					class, sql, d = "booking", insertSQL(id, "booking", key, 5000, 1, "seat", ""), 5*time.Second
				}
				r := cl.query(sql, d+550*time.Millisecond)
				rec.asked(id, class, g.name, r)
				asked.Add(1)
				switch r.kind {
				case "none", "silent":
					cl.close()
					cl = nil
					if r.kind == "none" && r.took < crossing {
						crossed.Add(1)
						continue
					}
					at := time.Duration(r.sent.UnixNano() - termAt.Load())
					rec.say("%s: %s, %d ms after it was sent, which was %d ms after SIGTERM", id, r.kind, r.took.Milliseconds(), at.Milliseconds())
					broken.Add(1)
				default:
					answered.Add(1)
				}
				time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.gateways[1].signal(syscall.SIGKILL)
		c.gateways[2].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
	}
	termAt.Store(time.Now().UnixNano())
	g.signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(3700 * time.Millisecond): // 3 s for the longest deadline, and 0.7 s
		g.signal(syscall.SIGKILL)
	}
	over.Store(true)
	wait.Wait()
	rec.say("asked %d, answered %d, crossed by the end of the connection %d, without an answer %d", asked.Load(), answered.Load(), crossed.Load(), broken.Load())
	if answered.Load() < 100 {
		cannotRun("only %d requests were answered", answered.Load())
	}
	return broken.Load() > 0
}
