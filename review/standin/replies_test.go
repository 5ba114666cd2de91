//go:build review

package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// herdTwice: a booking whose gateway died must not run a second time, whichever gateway its client asks again.
//
// Each trial is a small deployment that has just been started, with the in-doubt section on. Two of its three gateways are killed at once
// with bookings under way, and come back after 3 and 7 s. Clients whose gateway died ask again, marked as repeats.
func herdTwice(r *run) error {
	const (
		sideBySide = 3
		lastStart  = 95 * time.Second
	)
	if !r.trouble {
		_, err := r.herdTrial(0, 0)
		return err
	}
	for round := 0; time.Since(r.start) < lastStart && len(r.breaks) == 0; round++ {
		var trials sync.WaitGroup
		failed := make([]error, sideBySide)
		for n := range sideBySide {
			trials.Go(func() {
				// Which moment meets claims on their way between the gateways depends on the machine and its disk.
				span := [sideBySide][2]int{{300, 900}, {500, 1200}, {100, 800 << rand.IntN(4)}}[n]
				_, failed[n] = r.herdTrial(round*sideBySide+n, time.Duration(span[0]+rand.IntN(span[1]-span[0]))*time.Microsecond)
			})
		}
		trials.Wait()
		if !slices.Contains(failed, nil) {
			return errors.Join(failed...)
		}
		for _, err := range failed { // that deployment did not come up: there is another one
			if err != nil {
				r.note("a trial could not run: %v", err)
			}
		}
	}
	return nil
}

// booking is one booking and what its client was told.
type booking struct {
	key, content string
	kind         answerKind
}

func (b *booking) sql(id string, more string) string {
	return insertOf(id, "booking", b.key, b.content, 4000, more)
}

// herdTrial plays one deployment. The two gateways are killed a moment after the last bookings were sent.
func (all *run) herdTrial(trial int, moment time.Duration) (twice int, err error) {
	const (
		atThird = 6                       // bookings under way at gw-3: its router sends four of them at a time
		atFirst = 20                      // bookings that have just come to gw-1
		work    = 130 * time.Millisecond  // gruenau-tickets, class booking: 78 to 130 ms of work
		down    = 3100 * time.Millisecond // one comes back after that, the other one not before the trial's end: 3 to 7.6 s
	)
	dir, err := os.MkdirTemp(all.dir, "trial")
	if err != nil {
		return 0, err
	}
	r := &run{parent: all, dir: dir, trouble: all.trouble, start: all.start, command: all.command}
	defer func() {
		for _, g := range r.gateways {
			g.end()
		}
	}()
	r.note("trial %d", trial)
	var list []target
	var primary *server
	for i, role := range []string{"primary", "replica", "replica"} {
		s, err := r.startServer(fmt.Sprint("s-", i+1), role)
		if err != nil {
			return 0, err
		}
		defer s.listener.Close()
		if i == 0 {
			primary = s
		}
		s.handle = func(q *query) {
			if q.write && role == "primary" {
				time.Sleep(work)
				r.note("server %s ran %s, id=%s", s.name, q.key, q.id)
			}
			q.answer()
		}
		list = append(list, targetOf(s.name, s.addr(), role))
	}
	disc, err := r.startDiscovery(list)
	if err != nil {
		return 0, err
	}
	classes := []class{
		{"seat-check", "free", "strong", 500, 2000, 0},
		{"booking", "single_shot", "mutate", 750, 5000, 0},
	}
	binds := []string{freeAddr(), freeAddr(), freeAddr()}
	start := func(i int) (*gateway, error) {
		return r.startGateway(fmt.Sprint("gw-", i+1), disc, list, settings(3, i, classes), storeConf(r.dir, i, binds, "", "in-doubt booking\n"))
	}
	var gateways []*gateway
	for i := range 3 {
		g, err := start(i)
		if err != nil {
			return 0, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.ready(10 * time.Second); err != nil {
			return 0, err
		}
	}
	if err := r.bootstrap("gw-2", 3); err != nil {
		return 0, err
	}
	// begin sends bookings at one gateway, all at once, each on a connection of its own; the answers come on the returned function.
	begin := func(g *gateway, name string, count int) (made []*booking, wait func(), err error) {
		var conns []*client
		for n := range count {
			c, err := dialClient(g.listen)
			if err != nil {
				return nil, nil, err
			}
			conns = append(conns, c)
			key := fmt.Sprintf("%s-%d-%d", name, trial, n)
			made = append(made, &booking{key: key, content: "seat of " + key, kind: answerNone})
		}
		var waiting sync.WaitGroup
		for n, b := range made {
			waiting.Go(func() {
				id := b.key + "-1"
				if conns[n].post(b.sql(id, "")) == nil {
					conns[n].conn.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
					b.kind, _, _ = conns[n].read()
				}
				conns[n].close()
				r.note("%s at %s: %s", b.key, g.name, b.kind)
			})
		}
		return made, waiting.Wait, nil
	}
	time.Sleep(500 * time.Millisecond)
	xs, waitX, err := begin(gateways[2], "x", atThird)
	if err != nil {
		return 0, err
	}
	time.Sleep(60 * time.Millisecond) // all are claimed, and the server has the first of them
	ys, waitY, err := begin(gateways[0], "y", atFirst)
	if err != nil {
		return 0, err
	}
	if r.trouble {
		for at := time.Now(); time.Since(at) < moment; { // a sleep would be too coarse
		}
		gateways[0].signal(syscall.SIGKILL)
		gateways[2].signal(syscall.SIGKILL)
		time.Sleep(down)
		if gateways[0], err = start(0); err != nil {
			return 0, err
		}
	}
	waitX()
	waitY()
	if err := gateways[0].ready(5 * time.Second); err != nil {
		return 0, err
	}
	// Who has no answer asks again, and once more after a refusal.
	var again sync.WaitGroup
	for n, b := range append(xs, ys...) {
		if b.kind == answerServed || b.kind == answerFailed {
			continue
		}
		again.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			for try := 2; try < 5; try++ {
				c, err := dialClient(gateways[0].listen)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				id := fmt.Sprint(b.key, "-", try)
				c.conn.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
				kind, detail, _ := c.send(b.sql(id, ",r=1"))
				c.close()
				r.note("%s asked again, id=%s, at gw-1: %s %q", b.key, id, kind, detail)
				if kind != answerRefused {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	again.Wait()
	time.Sleep(time.Second)
	primary.mu.Lock()
	defer primary.mu.Unlock()
	for key, n := range primary.ranKey {
		if n > 1 {
			twice++
			r.broke("booking %s ran %d times", key, n)
		}
	}
	r.note("trial %d: %d bookings ran, %d of them more than once", trial, len(primary.ranKey), twice)
	how := "nobody killed"
	if r.trouble {
		how = fmt.Sprint("killed after ", moment)
	}
	fmt.Printf("trial %d: %s, %d bookings ran, %d of them more than once\n", trial, how, len(primary.ranKey), twice)
	return twice, nil
}
