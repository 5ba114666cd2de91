package assignment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"marblespan/internal/clock"
)

const ms clock.Micros = 1000

func config(name string, seed uint64) Config {
	return Config{
		Self: Member{Name: name, Weight: 1}, Period: 500 * ms, IdlePeriod: 5000 * ms, MinPeriod: 200 * ms, Step: 250 * ms, MaxDelay: 1000 * ms,
		Jitter: 200 * ms, Seed: seed,
	}
}

// sim runs gateways on a simulated network and clock. All random numbers come from its seed.
type sim struct {
	rng       *rand.Rand
	now       clock.Micros
	instances []*instance
	subjects  []Subject
	events    eventHeap
	order     uint64
	probes    map[string][]clock.Micros // by key of the subject: the times at which any instance did the work
	latency   func(from, to int) (clock.Micros, bool)
	reaches   func(instance int, key string) bool
	detect    clock.Micros // time until the other instances remove a failed one from their members; 0: they never do
	messages  int
}

type instance struct {
	index     int
	scheduler *Scheduler
	alive     bool
	wakeAt    clock.Micros // when its next Tick is scheduled
}

type event struct {
	at    clock.Micros
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSim(seed uint64, instances, subjects int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: 1, probes: map[string][]clock.Micros{}, detect: 1000 * ms,
		latency: func(int, int) (clock.Micros, bool) { return 2 * ms, true },
		reaches: func(int, string) bool { return true },
	}
	for i := range subjects {
		s.subjects = append(s.subjects, Subject{Key: fmt.Sprint("s", i)})
	}
	for i := range instances {
		s.instances = append(s.instances, &instance{index: i, scheduler: New(config(fmt.Sprint("n", i), seed+uint64(i))), alive: true})
	}
	for _, n := range s.instances {
		s.deliver(n, SubjectsChanged{s.subjects})
		s.deliver(n, MembersChanged{s.members()})
	}
	return s
}

func (s *sim) members() (all []Member) {
	for _, n := range s.instances {
		if n.alive {
			all = append(all, Member{Name: fmt.Sprint("n", n.index), Weight: 1})
		}
	}
	return all
}

func (s *sim) after(span clock.Micros, do func()) {
	s.order++
	heap.Push(&s.events, event{s.now + span, s.order, do})
}

// deliver passes an event to an instance, carries out its assignments and schedules its next tick.
func (s *sim) deliver(n *instance, ev Event) {
	if !n.alive {
		return
	}
	for _, d := range n.scheduler.Handle(s.now, ev) {
		s.probes[d.Key] = append(s.probes[d.Key], s.now)
		s.after(ms, func() { s.answered(n, d.Key) })
	}
	if at, ok := n.scheduler.Next(); ok && (n.wakeAt <= s.now || at < n.wakeAt) {
		n.wakeAt = max(at, s.now+1)
		s.after(n.wakeAt-s.now, func() { s.deliver(n, Tick{}) })
	}
}

func (s *sim) answered(n *instance, key string) {
	if !n.alive {
		return
	}
	good := s.reaches(n.index, key)
	s.deliver(n, WorkDone{key, good})
	for _, other := range s.instances {
		if other == n {
			continue
		}
		if took, arrives := s.latency(n.index, other.index); arrives {
			s.messages++
			s.after(took, func() {
				s.deliver(other, WorkReported{Key: key, From: fmt.Sprint("n", n.index), Age: took, Succeeded: good})
			})
		}
	}
}

// demand passes a demand for all subjects to every instance that is alive.
func (s *sim) demand(period, span clock.Micros) {
	for _, n := range s.instances {
		for _, x := range s.subjects {
			s.deliver(n, WorkDemanded{Key: x.Key, From: "all", Period: period, Duration: span})
		}
	}
}

func (s *sim) run(span clock.Micros) {
	end := s.now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// kill stops the given instances immediately. The others remove them from their members after s.detect.
func (s *sim) kill(which []int) {
	for _, i := range which {
		s.instances[i].alive = false
	}
	if s.detect > 0 {
		s.after(s.detect, func() { s.updateViews() })
	}
}

// updateViews passes the list of instances that are alive to each of them.
func (s *sim) updateViews() {
	for _, n := range s.instances {
		s.deliver(n, MembersChanged{s.members()})
	}
}

// gaps returns the longest gap of each subject between two times, in ascending order. The gaps at both ends are included.
func (s *sim) gaps(from, to clock.Micros) (all []clock.Micros) {
	for _, x := range s.subjects {
		last, longest := from, clock.Micros(0)
		for _, at := range s.probes[x.Key] {
			if at > from && at <= to {
				longest = max(longest, at-last)
				last = at
			}
		}
		all = append(all, max(longest, to-last))
	}
	slices.Sort(all)
	return all
}

func (s *sim) count(from, to clock.Micros) (n int) {
	for _, list := range s.probes {
		for _, at := range list {
			if at > from && at <= to {
				n++
			}
		}
	}
	return n
}

const unlimited = 1 << 40 // a duration longer than any simulation

// The work done for a server does not grow with the number of instances.
func TestFlatInTheNumberOfInstances(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			s := newSim(uint64(n), n, 10)
			s.demand(500*ms, unlimited)
			s.run(5000 * ms)
			from := s.now
			s.run(20_000 * ms)
			perSubject := float64(s.count(from, s.now)) / 10 / 20
			t.Logf("%d instances: %.2f probes a second for each server, %d messages", n, perSubject, s.messages)
			if perSubject < 1.9 || perSubject > 3 {
				t.Errorf("%d instances: %.2f probes a second for each server, want 1.9 to 3", n, perSubject)
			}
			if gap := s.gaps(from, s.now); gap[len(gap)-1] > config("", 0).Gap(500*ms) {
				t.Errorf("%d instances: a gap of %d ms without faults", n, gap[len(gap)-1]/ms)
			}
		})
	}
}

// 46% of the instances fail simultaneously: no server is without a health check for longer than the bound.
func TestManyMembersFail(t *testing.T) {
	bound := config("", 0).Gap(500*ms) + 10*ms
	for _, c := range []struct{ instances, subjects int }{{3, 12}, {20, 40}, {100, 40}} {
		for _, detect := range []clock.Micros{0, 1000 * ms} {
			s := newSim(uint64(c.instances), c.instances, c.subjects)
			s.detect = detect
			s.demand(500*ms, unlimited)
			s.run(3000 * ms)
			from := s.now
			s.kill(s.rng.Perm(c.instances)[:c.instances*46/100])
			s.run(6000 * ms)
			gaps := s.gaps(from, s.now)
			t.Logf("%d instances, %d servers, failures detected after %d ms: gaps of %d (median), %d (99%%) and %d ms (longest)", c.instances, c.subjects, detect/ms,
				gaps[len(gaps)/2]/ms, gaps[len(gaps)*99/100]/ms, gaps[len(gaps)-1]/ms)
			if gaps[len(gaps)-1] > bound {
				t.Errorf("a gap of %d ms, want at most %d", gaps[len(gaps)-1]/ms, bound/ms)
			}
		}
	}
}

// Loss, delay and differing views of the members cause additional work but no gaps.
func TestFaultyNetwork(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(s *sim)
		maxRate float64 // upper limit for the health checks of each server per second
	}{
		{"30% lost, delays up to a second", func(s *sim) {
			s.latency = func(int, int) (clock.Micros, bool) { return clock.Micros(s.rng.IntN(1000)) * ms, s.rng.IntN(10) >= 3 }
		}, 12},
		{"all messages lost", func(s *sim) { s.latency = func(int, int) (clock.Micros, bool) { return 0, false } }, 42},
		{"partitioned into two halves", func(s *sim) {
			s.latency = func(from, to int) (clock.Micros, bool) { return 2 * ms, from%2 == to%2 }
		}, 6},
		{"the second half does not receive from the first", func(s *sim) {
			s.latency = func(from, to int) (clock.Micros, bool) { return 2 * ms, !(from < 10 && to >= 10) }
		}, 6},
		{"one joins and leaves in a loop", func(s *sim) {
			var loop func()
			loop = func() {
				s.instances[3].alive = !s.instances[3].alive
				s.updateViews()
				s.after(90*ms, loop)
			}
			loop()
		}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(5, 20, 20)
			s.demand(500*ms, unlimited)
			s.run(3000 * ms)
			c.disturb(s)
			from := s.now
			s.run(15_000 * ms)
			gaps := s.gaps(from, s.now)
			each := float64(s.count(from, s.now)) / 20 / 15
			t.Logf("%s: gaps up to %d ms, %.1f probes a second for each server", c.name, gaps[len(gaps)-1]/ms, each)
			if bound := config("", 0).Gap(500*ms) + 10*ms; gaps[len(gaps)-1] > bound || each > c.maxRate {
				t.Errorf("%s: a gap of %d ms, want at most %d; %.1f probes a second, want at most %.1f", c.name, gaps[len(gaps)-1]/ms, bound/ms, each, c.maxRate)
			}
		})
	}
}

// If the first in rank cannot reach a server, the next one takes over the work, without a gap and without a takeover delay in
// every period.
func TestUnreachableSubjectMovesOn(t *testing.T) {
	s := newSim(9, 5, 20)
	s.demand(500*ms, unlimited)
	s.run(3000 * ms)
	s.reaches = func(n int, _ string) bool { return n != 2 }
	from := s.now
	s.run(10_000 * ms)
	if gaps := s.gaps(from, s.now); gaps[len(gaps)-1] > config("", 0).Gap(500*ms)+10*ms {
		t.Errorf("a gap of %d ms", gaps[len(gaps)-1]/ms)
	}
	for _, x := range s.subjects {
		if first := s.instances[0].scheduler.Ranking(x.Key)[0]; first == "n2" && s.instances[2].scheduler.Rank(x.Key) == 0 {
			t.Errorf("n2 still ranks first for %s", x.Key)
		}
	}
}

// The work for a subject without demand is done rarely. A demand from any member makes all members do it more often, up to the
// limit that MinPeriod sets.
func TestDemand(t *testing.T) {
	s := newSim(11, 6, 1)
	s.run(20_000 * ms)
	if n := s.count(5000*ms, 20_000*ms); n < 2 || n > 5 {
		t.Errorf("%d probes in 15 s without demand", n)
	}
	for _, n := range s.instances {
		s.deliver(n, WorkDemanded{Key: "s0", From: "n4", Period: 1 * ms, Duration: 10_000 * ms})
	}
	from := s.now
	s.run(10_000 * ms)
	if n := s.count(from, s.now); n < 40 || n > 55 {
		t.Errorf("%d probes in 10 s, want at most 5 a second", n)
	}
	s.run(6000 * ms)
	if p := s.instances[0].scheduler.Period("s0"); p != 5000*ms {
		t.Errorf("the demand has not ended: period %d ms", p/ms)
	}
}
