//go:build review

package standin2

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// resident is the memory that a gateway's process has now in KiB: all of it, and what is its own (no pages of files).
func (g *gateway) resident() (all, own int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "VmRSS:" {
			all, _ = strconv.Atoi(f[1])
		}
		if len(f) == 3 && f[0] == "RssAnon:" {
			own, _ = strconv.Atoi(f[1])
		}
	}
	return all, own
}

// ahead sends statements in one write and reads their answers. It returns how many were answered, by kind.
func (c *client) ahead(statements []string, patience time.Duration) map[string]int {
	var all []byte
	for _, sql := range statements {
		all = append(all, frame('Q', []byte(sql+"\x00")...)...)
	}
	kinds := map[string]int{}
	c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := c.conn.Write(all); err != nil {
		kinds["none"] = len(statements)
		return kinds
	}
	for i, kind := 0, "none"; i < len(statements); {
		t, body, err := readFrame(c.r)
		switch {
		case err != nil:
			kinds["none"] += len(statements) - i
			return kinds
		case t == 'D':
			kind = "served"
		case t == 'E':
			kind = "failed"
			if code := errorField(body, 'C'); code == "53300" || code == "57P03" {
				kind = "refused"
			}
		case t == 'Z':
			kinds[kind]++
			kind, i = "none", i+1
		}
	}
	return kinds
}

// memory: clients of an in-doubt class send some large bookings ahead. The platform, which kills a process over its limit, looks on.
func memory(rec *record, dir string) bool {
	const (
		gateways  = 3
		clients   = 300      // at most a third of the 1,024 descriptors are held by clients
		atOnce    = 6        // bookings that a client sends without waiting
		valueSize = 64 << 10 // the largest value
	)
	var targets []target
	for i, role := range []string{"primary", "replica", "replica"} {
		s := newServer(rec, fmt.Sprint("s-", i+1), role)
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.serve()
		targets = append(targets, s.target(1, "ready"))
	}
	d := newDiscovery(rec, targets...)
	c := newCluster(rec, dir, gateways, "state-store\n raft-nodes all\n voters 3\n shards 4\n memory 1m\n storage memory\nin-doubt booking\n clients mark\n")
	limit := 0
	for i, g := range c.gateways {
		g.configure(sample(func(m map[string]any) {
			m["discovery"], m["known"] = d.addr(), d.known()
			sessionSettings(m, gateways, i, "await", "kept")
			limit = int(m["limits"].(map[string]any)["memory_mb"].(float64)) << 10
		}))
		g.start()
	}
	for _, g := range c.gateways {
		g.awaitReady(20 * time.Second)
	}
	c.bootstrap(3)
	g := c.gateways[0]
	all, own := g.resident()
	rec.say("%s at rest: %d KiB, %d without files; its limit %d KiB", g.name, all, own, limit)

	var over atomic.Bool
	var wait sync.WaitGroup
	var mu sync.Mutex
	total := map[string]int{}
	value := strings.Repeat("v", valueSize)
	end := time.Now().Add(15 * time.Second)
	for n := range clients {
		wait.Go(func() {
			for i := 0; time.Now().Before(end) && !over.Load(); i++ {
				cl, err := connect(g.listen)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				var statements []string
				for k := range atOnce {
					id := fmt.Sprintf("w%d-%d-%d", n, i, k)
					statements = append(statements, insertSQL(id, "booking", "seat-"+id, 5000, 1, value, ""))
					if !trouble {
						break // one at a time
					}
				}
				kinds := cl.ahead(statements, 10*time.Second)
				cl.close()
				mu.Lock()
				for kind, n := range kinds {
					total[kind] += n
				}
				mu.Unlock()
				rec.say("client %d: %d bookings of %d KiB: %v", n, len(statements), valueSize>>10, kinds)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wait.Go(func() { // an ordinary client beside them
		var cl *client
		for i := 0; time.Now().Before(end) && !over.Load(); i++ {
			if cl == nil {
				var err error
				if cl, err = connect(g.listen); err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			id := fmt.Sprint("o", i)
			r := cl.query(insertSQL(id, "booking", "seat-"+id, 5000, 1, "one seat", ""), 6*time.Second)
			rec.asked(id, "booking", g.name, r)
			if r.kind == "none" || r.kind == "silent" {
				cl.close()
				cl = nil
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	most, mostOwn := 0, 0
	for time.Now().Before(end) && !over.Load() && g.running() {
		time.Sleep(5 * time.Millisecond)
		all, own := g.resident()
		most, mostOwn = max(most, all), max(mostOwn, own)
		if own > limit {
			rec.say("the platform: %s has %d KiB, %d without files, of %d", g.name, all, own, limit)
			g.signal(syscall.SIGKILL)
			<-g.done
			over.Store(true)
		}
	}
	ended := !g.running()
	wait.Wait()
	rec.say("most memory of %s: %d KiB, %d without files, of %d; large bookings: %v; killed: %v", g.name, most, mostOwn, limit, total, over.Load())
	if total["served"] == 0 && !ended {
		cannotRun("no booking was served: %v", errors.New("see the record"))
	}
	return ended
}
