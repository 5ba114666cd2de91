package assignment

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marblespan/internal/clock"
)

// period returns the shortest demanded period, limited to the range from MinPeriod to IdlePeriod. It also removes demands that
// have ended.
func (s *Scheduler) period(t *task) clock.Micros {
	p := s.cfg.IdlePeriod
	for from, w := range t.demands {
		if s.now >= w.until {
			delete(t.demands, from)
			continue
		}
		p = min(p, w.period)
	}
	return max(p, s.cfg.MinPeriod)
}

// rank returns this gateway's rank for a task, or -1 if the gateway is not a member. Members that failed recently rank after
// all others.
func (s *Scheduler) rank(t *task) int {
	if t.position < 0 {
		return -1
	}
	ahead := 0
	selfFailed := s.now < t.failedUntil[s.cfg.Self.Name]
	for i, name := range t.ranking {
		if failed := s.now < t.failedUntil[name]; i < t.position && (selfFailed || !failed) || i > t.position && selfFailed && !failed {
			ahead++
		}
	}
	return ahead
}

// takeoverDelay returns how much later than the assignees a member with the given rank takes over. The delay is 0 for the
// assignees themselves.
func (s *Scheduler) takeoverDelay(t *task, rank int) clock.Micros {
	if rank = rank - s.cfg.Assignees + 1; rank <= 0 {
		return 0
	}
	return min(clock.Micros(rank)*s.cfg.Step, s.cfg.MaxDelay) + t.jitter
}

// dueAt returns the time at which this gateway does the work for a subject unless a report arrives first. ok is false if the
// work is already running on this gateway, or if this gateway is not a member.
func (s *Scheduler) dueAt(t *task) (at clock.Micros, ok bool) {
	rank := s.rank(t)
	if t.running || rank < 0 {
		return 0, false
	}
	period := s.period(t)
	base := t.lastSuccess + period
	if t.lastSuccess == 0 { // no success is known yet; without a random delay all new subjects would be due simultaneously
		base = t.createdAt + min(t.jitter, period)
	}
	at = base + s.takeoverDelay(t, rank)
	if rank < s.cfg.Assignees && t.positionSince > t.lastSuccess {
		// The work has just moved to this gateway, so the gateway first waits for its jitter. It never waits longer than the last
		// rank would, because otherwise a list of members that changes all the time could postpone the work indefinitely.
		at = max(at, min(t.positionSince+t.jitter, base+s.cfg.MaxDelay+s.cfg.Jitter))
	}
	if t.lastAttempt > 0 {
		at = max(at, t.lastAttempt+max(period, s.cfg.MinPeriod)) // a failing subject is not retried more often than others
	}
	return at, true
}

// reschedule sets the time at which a task is evaluated next. This is the time at which the task is due, or the end of a demand
// or of a failure if that is earlier, because the end of a demand or a failure changes the time at which the task is due.
func (s *Scheduler) reschedule(t *task) {
	s.period(t) // removes the demands that have ended
	t.wakeAt = never
	if at, ok := s.dueAt(t); ok {
		t.wakeAt = at
	}
	for _, w := range t.demands {
		t.wakeAt = min(t.wakeAt, w.until)
	}
	for _, until := range t.failedUntil {
		if until > s.now {
			t.wakeAt = min(t.wakeAt, until)
		}
	}
	heap.Fix(&s.queue, t.index)
}

// takeDue returns assignments for all tasks that are due, and marks them running.
func (s *Scheduler) takeDue() (out []Assignment) {
	for len(s.queue) > 0 && s.queue[0].wakeAt <= s.now {
		t := s.queue[0]
		if at, ok := s.dueAt(t); ok && s.now >= at {
			out = append(out, Assignment{t.subject.Key, s.rank(t)})
			t.running, t.lastAttempt = true, s.now
		}
		s.reschedule(t)
	}
	slices.SortFunc(out, func(a, b Assignment) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// randomJitter returns a pseudo-random delay from 0 to the configured jitter, derived from the seed.
func (s *Scheduler) randomJitter(t *task) clock.Micros {
	if s.cfg.Jitter <= 0 {
		return 0
	}
	s.randomDraws++
	var digest xxhash.Digest
	digest.ResetWithSeed(s.cfg.Seed)
	digest.WriteString(t.subject.Key)
	digest.Write([]byte{byte(s.randomDraws), byte(s.randomDraws >> 8), byte(s.randomDraws >> 16), byte(s.randomDraws >> 24)})
	return clock.Micros(digest.Sum64() % uint64(s.cfg.Jitter+1))
}
