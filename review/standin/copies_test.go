//go:build review

package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// secondCopy: a client must be served only with the value made for its request, also where a database server sends a second copy of
// an answer right after it, when nothing else waits on the connection.
func secondCopy(r *run) error {
	const (
		least, most = 420 * time.Microsecond, 780 * time.Microsecond // one way between gateway and server: kit/more/MORE.md, "Fleet and traffic"
		copyEvery   = 20                                             // of so many answers one comes twice
		rightAfter  = 100 * time.Microsecond                         // between the two copies
		clientCount = 6
		duration    = 10 * time.Second
	)
	var list []target
	var servers []*server
	for i, role := range []string{"primary", "replica", "replica"} {
		s, err := r.startServer(fmt.Sprint("s-", i+1), role)
		if err != nil {
			return err
		}
		s.handle = func(q *query) {
			if q.write && role != "primary" {
				q.answer()
				return
			}
			answer := q.rowAnswer(q.execute())
			r.note("server %s ran id=%s", s.name, q.id)
			q.conn.Write(answer)
			if r.trouble && q.number%copyEvery == 0 && q.nothingWaits(rightAfter) {
				q.conn.Write(answer)
				r.note("server %s sent a second copy of the answer to id=%s", s.name, q.id)
			}
		}
		link, err := startLink(s.addr(), least, most)
		if err != nil {
			return err
		}
		servers = append(servers, s)
		list = append(list, targetOf(s.name, link, role))
	}
	disc, err := r.startDiscovery(list)
	if err != nil {
		return err
	}
	g, err := r.startGateway("n0", disc, list, settings(1, 0, []class{
		{"timetable", "free", "lag_bound", 500, 1200, 800},
		{"seat-check", "free", "strong", 500, 2000, 0},
		{"booking", "single_shot", "mutate", 750, 5000, 0},
	}), "")
	if err != nil {
		return err
	}
	if err := g.ready(10 * time.Second); err != nil {
		return err
	}
	end := time.Now().Add(duration)
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for n := range clientCount {
		clients.Go(func() {
			var c *client
			// ask sends one request on the client's connection and checks the value that it is served with.
			ask := func(class, id, sql, want string) {
				var err error
				if c == nil {
					if c, err = dialClient(g.listen); err != nil {
						c = nil
						return
					}
				}
				kind, detail, err := c.send(sql)
				r.note("client %d: %s id=%s: %s %q", n, class, id, kind, detail)
				if err != nil {
					c.close()
					c = nil
				}
				mu.Lock()
				counts[class+" "+string(kind)]++
				mu.Unlock()
				if kind == answerServed && detail != want {
					r.broke("%s id=%s was served with %q, the value of another request; its own is %q", class, id, detail, want)
				}
			}
			for i := 0; time.Now().Before(end); i++ {
				key, content := fmt.Sprintf("key-%d-%d", n, i), fmt.Sprintf("seat %d of client %d", i, n)
				id := fmt.Sprintf("b%d-%d", n, i)
				ask("booking", id, insertOf(id, "booking", key, content, 3000, ""), content)
				if servers[0].runs(id) == 0 { // refused or failed: there is nothing to see
					continue
				}
				time.Sleep(time.Duration(rand.Int64N(int64(10 * time.Millisecond))))
				id = fmt.Sprintf("s%d-%d", n, i)
				ask("seat-check", id, selectOf(id, "seat-check", key, 1500, ""), content)
			}
		})
	}
	clients.Wait()
	for _, s := range servers {
		s.listener.Close()
	}
	r.note("answers: %v", counts)
	fmt.Println("answers:", counts)
	if counts["booking served"] == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// nothingWaits reports whether no further command has come on the connection, and waits a moment for one.
func (q *query) nothingWaits(moment time.Duration) bool {
	q.conn.SetReadDeadline(time.Now().Add(moment))
	_, err := q.reader.Peek(1)
	q.conn.SetReadDeadline(time.Time{})
	return err != nil
}
