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

// sim is instances on a made-up network and clock. All draws come from its seed.
type sim struct {
	rng      *rand.Rand
	now      clock.Micros
	all      []*instance
	subjects []Subject
	events   eventHeap
	order    uint64
	probes   map[string][]clock.Micros // of each subject, by whomever
	latency  func(from, to int) (clock.Micros, bool)
	reaches  func(instance int, key string) bool
	detect   clock.Micros // how long until the others' views miss one that died; 0: they never do
	messages int
}

type instance struct {
	index     int
	scheduler *Scheduler
	alive     bool
	wakeAt    clock.Micros // no event of its own is planned before
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
		s.all = append(s.all, &instance{index: i, scheduler: New(config(fmt.Sprint("n", i), seed+uint64(i))), alive: true})
	}
	for _, n := range s.all {
		s.deliver(n, SubjectsChanged{s.subjects})
		s.deliver(n, MembersChanged{s.members()})
	}
	return s
}

func (s *sim) members() (all []Member) {
	for _, n := range s.all {
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

// tell hands an instance an event, carries out what it asks for and plans its next look.
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
	for _, other := range s.all {
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

// wish has every living instance ask for all subjects.
func (s *sim) demand(period, span clock.Micros) {
	for _, n := range s.all {
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

// kill ends instances at once; the others' views miss them after a while.
func (s *sim) kill(which []int) {
	for _, i := range which {
		s.all[i].alive = false
	}
	if s.detect > 0 {
		s.after(s.detect, func() { s.views() })
	}
}

func (s *sim) views() {
	for _, n := range s.all {
		s.deliver(n, MembersChanged{s.members()})
	}
}

// gaps lists the longest gap of each subject between two times, its ends among them.
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

const lasting = 1 << 40

// The work that a server gets does not grow with the instances.
func TestFlatInTheNumberOfInstances(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		s := newSim(uint64(n), n, 10)
		s.demand(500*ms, lasting)
		s.run(5000 * ms)
		from := s.now
		s.run(20_000 * ms)
		perSubject := float64(s.count(from, s.now)) / 10 / 20
		t.Logf("%d instances: %.2f a second for each server, %d messages", n, perSubject, s.messages)
		if perSubject < 1.9 || perSubject > 3 {
			t.Errorf("%d instances: %.2f probes a second, want about 2 and at most 1.5 times as many", n, perSubject)
		}
		if gap := s.gaps(from, s.now); gap[len(gap)-1] > config("", 0).Gap(500*ms) {
			t.Errorf("%d instances: a gap of %d ms in peace", n, gap[len(gap)-1]/ms)
		}
	}
}

// 46 in 100 die at once: no server goes unprobed for longer than the bound, and the median is back to the period soon.
func TestManyMembersFail(t *testing.T) {
	bound := config("", 0).Gap(500*ms) + 10*ms
	for _, c := range []struct{ instances, subjects int }{{3, 12}, {20, 40}, {100, 40}} {
		for _, detect := range []clock.Micros{0, 1000 * ms} {
			s := newSim(uint64(c.instances), c.instances, c.subjects)
			s.detect = detect
			s.demand(500*ms, lasting)
			s.run(3000 * ms)
			from := s.now
			s.kill(s.rng.Perm(c.instances)[:c.instances*46/100])
			s.run(6000 * ms)
			gaps := s.gaps(from, s.now)
			t.Logf("%d instances, %d servers, noticed after %d ms: gaps of %d, %d and %d ms", c.instances, c.subjects, detect/ms,
				gaps[len(gaps)/2]/ms, gaps[len(gaps)*99/100]/ms, gaps[len(gaps)-1]/ms)
			if gaps[len(gaps)-1] > bound {
				t.Errorf("a gap of %d ms, at most %d may be", gaps[len(gaps)-1]/ms, bound/ms)
			}
		}
	}
}

// Loss, delay and views that differ cost work, not gaps.
func TestFaultyNetwork(t *testing.T) {
	for _, c := range []struct {
		name    string
		spoil   func(s *sim)
		mostRun float64 // of each server a second, at the most
	}{
		{"three in ten lost, delays up to a second", func(s *sim) {
			s.latency = func(int, int) (clock.Micros, bool) { return clock.Micros(s.rng.IntN(1000)) * ms, s.rng.IntN(10) >= 3 }
		}, 12},
		{"nothing arrives", func(s *sim) { s.latency = func(int, int) (clock.Micros, bool) { return 0, false } }, 42},
		{"two halves", func(s *sim) {
			s.latency = func(from, to int) (clock.Micros, bool) { return 2 * ms, from%2 == to%2 }
		}, 6},
		{"the first half is not heard by the second", func(s *sim) {
			s.latency = func(from, to int) (clock.Micros, bool) { return 2 * ms, !(from < 10 && to >= 10) }
		}, 6},
		{"one joins and leaves in a loop", func(s *sim) {
			var loop func()
			loop = func() {
				s.all[3].alive = !s.all[3].alive
				s.views()
				s.after(90*ms, loop)
			}
			loop()
		}, 4},
	} {
		s := newSim(5, 20, 20)
		s.demand(500*ms, lasting)
		s.run(3000 * ms)
		c.spoil(s)
		from := s.now
		s.run(15_000 * ms)
		gaps := s.gaps(from, s.now)
		each := float64(s.count(from, s.now)) / 20 / 15
		t.Logf("%s: gaps up to %d ms, %.1f probes a second for each server", c.name, gaps[len(gaps)-1]/ms, each)
		if bound := config("", 0).Gap(500*ms) + 10*ms; gaps[len(gaps)-1] > bound || each > c.mostRun {
			t.Errorf("%s: a gap of %d ms, at most %d; %.1f probes a second, at most %.1f", c.name, gaps[len(gaps)-1]/ms, bound/ms, each, c.mostRun)
		}
	}
}

// A holder that cannot reach a server itself leaves it to the next one, without a gap and without a wait every time.
func TestUnreachableSubjectMovesOn(t *testing.T) {
	s := newSim(9, 5, 20)
	s.demand(500*ms, lasting)
	s.run(3000 * ms)
	s.reaches = func(n int, _ string) bool { return n != 2 }
	from := s.now
	s.run(10_000 * ms)
	if gaps := s.gaps(from, s.now); gaps[len(gaps)-1] > config("", 0).Gap(500*ms)+10*ms {
		t.Errorf("a gap of %d ms", gaps[len(gaps)-1]/ms)
	}
	for _, x := range s.subjects {
		if first := s.all[0].scheduler.Ranking(x.Key)[0]; first == "n2" && s.all[2].scheduler.Rank(x.Key) == 0 {
			t.Errorf("n2 still thinks that %s is its own", x.Key)
		}
	}
}

// Demand counts: what nobody asks for is dealt with rarely, one wish of anybody raises it for all, and no wish beyond the
// bound.
func TestDemand(t *testing.T) {
	s := newSim(11, 6, 1)
	s.run(20_000 * ms)
	if n := s.count(5000*ms, 20_000*ms); n < 2 || n > 5 {
		t.Errorf("%d probes in 15 s that nobody asked for", n)
	}
	for _, n := range s.all {
		s.deliver(n, WorkDemanded{Key: "s0", From: "n4", Period: 1 * ms, Duration: 10_000 * ms})
	}
	from := s.now
	s.run(10_000 * ms)
	if n := s.count(from, s.now); n < 40 || n > 55 {
		t.Errorf("%d probes in 10 s, want at most 5 a second", n)
	}
	s.run(6000 * ms)
	if p := s.all[0].scheduler.Period("s0"); p != 5000*ms {
		t.Errorf("the wish has not ended: period %d ms", p/ms)
	}
}
