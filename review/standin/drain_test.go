//go:build review

package standin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// request is one request of a load, with its end.
type request struct {
	id, class string
	sentAt    time.Time // when its last byte was written
	waitMS    int
	kind      answerKind
	detail    string
	endedAt   time.Time
	byClient  bool // the client itself closed the connection
}

// load sends requests one after the other on one connection, and opens another one when the gateway has closed it.
type load struct {
	run     *run
	name    string
	addrs   func() []string // where the front directs the client, the first choice first
	next    func(n int) (class, id, sql string, waitMS int)
	pause   time.Duration // between an answer and the next request
	stop    time.Time     // after that, nothing new is sent
	mu      sync.Mutex
	results []request
}

func (l *load) go_(all *sync.WaitGroup) {
	all.Go(func() {
		var c *client
		for n := 0; time.Now().Before(l.stop); n++ {
			if c == nil {
				for _, at := range l.addrs() {
					var err error
					if c, err = dialClient(at); err == nil {
						break
					}
					c = nil
				}
				if c == nil {
					time.Sleep(50 * time.Millisecond)
					n--
					continue
				}
			}
			class, id, sql, wait := l.next(n)
			q := request{id: id, class: class, waitMS: wait}
			if err := c.post(sql); err != nil { // nothing can have been taken
				c.close()
				c = nil
				continue
			}
			q.sentAt = time.Now()
			l.run.note("%s: sent %s id=%s, d=%d", l.name, class, id, wait)
			// The client waits for its time and half a second more.
			c.conn.SetReadDeadline(q.sentAt.Add(time.Duration(wait)*time.Millisecond + 500*time.Millisecond))
			var err error
			q.kind, q.detail, err = c.read()
			q.endedAt = time.Now()
			var timeout net.Error
			if e, ok := err.(net.Error); ok {
				timeout = e
			}
			q.byClient = timeout != nil && timeout.Timeout()
			l.run.note("%s: id=%s ended: %s %q after %v", l.name, id, q.kind, q.detail, q.endedAt.Sub(q.sentAt).Round(time.Millisecond))
			l.mu.Lock()
			l.results = append(l.results, q)
			l.mu.Unlock()
			if err != nil || q.detail == "57P03" {
				c.close()
				c = nil
				time.Sleep(l.pause)
				continue
			}
			c.conn.SetReadDeadline(time.Time{})
			time.Sleep(l.pause)
		}
		if c != nil {
			c.close()
		}
	})
}

// drainTimeout: a gateway that holds a floating address with a long request at it answers all that it has taken before the platform
// kills it.
func drainTimeout(r *run) error {
	const (
		killAfter   = 3*time.Second + 700*time.Millisecond // the longest deadline is 12 s, counted as 3 s
		reportWork  = 1500 * time.Millisecond              // kit/more/MORE.md, class trend-report: 1,100 to 1,900 ms of work
		bookingWork = 100 * time.Millisecond               // class issue-write there: 72 to 130 ms of work
	)
	var list []target
	var servers []*server
	for i, role := range []string{"primary", "replica", "replica"} {
		s, err := r.startServer(fmt.Sprint("s-", i+1), role)
		if err != nil {
			return err
		}
		s.handle = func(q *query) {
			if q.write {
				time.Sleep(bookingWork)
			} else {
				time.Sleep(reportWork)
			}
			r.note("server %s ran id=%s", s.name, q.id)
			q.answer()
		}
		servers = append(servers, s)
		list = append(list, targetOf(s.name, s.addr(), role))
	}
	disc, err := r.startDiscovery(list)
	if err != nil {
		return err
	}
	classes := []class{
		{"trend-report", "free", "eventual", 6000, 12000, 0},
		{"booking", "single_shot", "mutate", 750, 5000, 0},
	}
	bind := []string{freeAddr(), freeAddr()}
	floating := []string{freeAddr(), freeAddr()}
	var gateways []*gateway
	for i := range 2 {
		conf := fmt.Sprintf(`vrrp
    node %d
    bind %s
    peer %d %s
    key 1 "a secret of this case only"
group counters
    vrid 51
    address 127.0.0.10
    listen %s
    priority %d
    interval 100ms
    drain-timeout 1s
    track draining 40
`, i+1, bind[i], 2-i, bind[1-i], floating[i], 200-100*i)
		g, err := r.startGateway(fmt.Sprint("gw-", i+1), disc, list, settings(2, i, classes), conf)
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.ready(10 * time.Second); err != nil {
			return err
		}
	}
	holder := gateways[0]
	if !awaitOpen(floating[0], 5*time.Second) {
		return fmt.Errorf("the floating address did not come up at %s", holder.name)
	}
	r.note("gateway %s holds the floating address at %s", holder.name, floating[0])

	var clients sync.WaitGroup
	var told atomic.Int64 // when the holder was told to end; 0: not yet
	stop := time.Now().Add(7 * time.Second)
	var loads []*load
	for n := range 4 {
		l := &load{run: r, name: fmt.Sprint("counter ", n), stop: stop, pause: 100 * time.Millisecond}
		l.addrs = func() []string { return floating } // one address, at the gateway that holds it: the other one refuses
		l.next = func(i int) (string, string, string, int) {
			id := fmt.Sprintf("r%d-%d", n, i)
			return "trend-report", id, selectOf(id, "trend-report", "key-"+id, 5000, ""), 5000
		}
		loads = append(loads, l)
	}
	for n := range 2 {
		l := &load{run: r, name: fmt.Sprint("app ", n), stop: stop, pause: 20 * time.Millisecond}
		l.addrs = func() []string { // new connections keep coming for 0.4 s after SIGTERM
			if at := told.Load(); at != 0 && time.Since(time.UnixMicro(at)) > 400*time.Millisecond {
				return []string{gateways[1].listen}
			}
			return []string{holder.listen}
		}
		l.next = func(i int) (string, string, string, int) {
			id := fmt.Sprintf("b%d-%d", n, i)
			return "booking", id, insertOf(id, "booking", "key-"+id, "v"+id, 3000, ""), 3000
		}
		loads = append(loads, l)
	}
	for _, l := range loads {
		l.go_(&clients)
	}
	time.Sleep(1500 * time.Millisecond)
	var sigterm, ended time.Time
	killed := false
	if r.trouble {
		holder.signal(syscall.SIGTERM)
		sigterm = time.Now()
		told.Store(sigterm.UnixMicro())
		if killed = !holder.hasEnded(killAfter); killed {
			holder.signal(syscall.SIGKILL)
		}
		ended = time.Now()
		r.note("%s ended %v after SIGTERM", holder.name, ended.Sub(sigterm).Round(time.Millisecond))
	}
	clients.Wait()
	r.checkUnanswered(loads, servers, sigterm, ended, killed)
	return nil
}

// unread is how shortly before the end of a connection a request may have come and not have been read.
const unread = 50 * time.Millisecond

// checkUnanswered checks the rule on lost requests. A gateway was told to end at sigterm, and ended, or was killed, at ended. A request
// without an answer is excused if SIGKILL found it unanswered and it came no more than 0.7 s after SIGTERM, and if its connection was
// closed before any server had it and within a moment of its sending, so that the gateway may not have read it.
func (r *run) checkUnanswered(loads []*load, servers []*server, sigterm, ended time.Time, killed bool) {
	counts := map[string]int{}
	for _, l := range loads {
		for _, q := range l.results {
			counts[q.class+" "+string(q.kind)]++
			if q.kind != answerNone {
				continue
			}
			had := 0
			for _, s := range servers {
				had += s.runs(q.id)
			}
			after := q.sentAt.Sub(sigterm).Round(time.Millisecond)
			switch {
			case killed && q.sentAt.Before(ended) && after <= 700*time.Millisecond:
				r.note("excused: id=%s, unanswered at SIGKILL, came no more than 0.7 s after SIGTERM", q.id)
			case had == 0 && q.endedAt.Sub(q.sentAt) < unread:
				r.note("excused: id=%s, unanswered, perhaps not read", q.id)
			default:
				r.broke("%s id=%s, sent %v after SIGTERM, has no answer; the gateway ended %v after SIGTERM", q.class, q.id, after, ended.Sub(sigterm).Round(time.Millisecond))
			}
		}
	}
	r.note("answers: %v", counts)
	fmt.Println("answers:", counts)
}

// awaitOpen reports whether an address accepts connections within a time.
func awaitOpen(addr string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp4", addr); err == nil {
			c.Close()
			return true
		}
	}
	return false
}
