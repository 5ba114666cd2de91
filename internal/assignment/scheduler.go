package assignment

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marblespan/internal/clock"
)

// failedFor is for how many periods a member that had no answer from a subject ranks behind the others for it. It guards
// against a holder whose own path is cut; it may harm where the subject is gone for all: then the work moves round.
const failurePeriods = 8

// never is a time that does not come.
const never clock.Micros = math.MaxInt64

// Keeper holds one instance's view of all duties of one kind.
type Scheduler struct {
	cfg         Config
	members     []Member
	tasks       map[string]*task
	queue       queue // all duties by when they are to be looked at
	now         clock.Micros
	randomDraws uint64
}

// duty is the work for one subject.
type task struct {
	subject       Subject
	ranking       []string
	position      int          // of this instance in the ranking; -1: it is no member
	lastSuccess   clock.Micros // when it was last dealt with well, by whomever; 0: never
	lastAttempt   clock.Micros // when this instance last did so, well or not
	running       bool         // this instance is at it
	createdAt     clock.Micros // when it was first heard of here
	positionSince clock.Micros // when this instance came to its place
	jitter        clock.Micros // of the present wait
	demands       map[string]demand
	failedUntil   map[string]clock.Micros // until when members rank behind

	wakeAt clock.Micros // when anything about it may change by time alone
	index  int          // in the queue
}

type demand struct {
	period clock.Micros
	until  clock.Micros
}

// New makes a keeper that sees nobody but itself.
func New(cfg Config) *Scheduler {
	cfg.Assignees = max(cfg.Assignees, 1)
	return &Scheduler{cfg: cfg, members: []Member{cfg.Self}, tasks: map[string]*task{}}
}

// Handle takes in one event and tells what is to be done now, in the order of keys.
func (k *Scheduler) Handle(now clock.Micros, ev Event) []Assignment {
	k.now = max(k.now, now)
	switch e := ev.(type) {
	case MembersChanged:
		k.replaceMembers(e.Members)
	case SubjectsChanged:
		k.replaceSubjects(e.All)
	case WorkReported:
		if d := k.tasks[e.Key]; d != nil {
			k.recordReport(d, e)
			k.reschedule(d)
		}
	case WorkDone:
		if d := k.tasks[e.Key]; d != nil {
			d.running = false
			k.recordReport(d, WorkReported{From: k.cfg.Self.Name, Succeeded: e.Succeeded})
			k.reschedule(d)
		}
	case WorkDemanded:
		if d := k.tasks[e.Key]; d != nil {
			d.demands[e.From] = demand{e.Period, k.now + e.Duration}
			k.reschedule(d)
		}
	}
	return k.takeDue()
}

// Next is when something falls due or has to be looked at again, unless something is heard before.
func (k *Scheduler) Next() (at clock.Micros, ok bool) {
	if len(k.queue) == 0 || k.queue[0].wakeAt == never {
		return 0, false
	}
	return k.queue[0].wakeAt, true
}

// Period is how often a subject is dealt with now; 0: it is none.
func (k *Scheduler) Period(key string) clock.Micros {
	if d := k.tasks[key]; d != nil {
		return k.period(d)
	}
	return 0
}

// Rank is this instance's place for a subject, 0 for the first; -1: it has none.
func (k *Scheduler) Rank(key string) int {
	if d := k.tasks[key]; d != nil {
		return k.rank(d)
	}
	return -1
}

// Ranking is the order of all members for a subject, as this instance sees it.
func (k *Scheduler) Ranking(key string) []string {
	if d := k.tasks[key]; d != nil {
		return slices.Clone(d.ranking)
	}
	return nil
}

// view takes over who is there. A member that comes back takes its share back gently: it does not act before a wait of its
// own, and until it is heard the one before goes on.
func (k *Scheduler) replaceMembers(members []Member) {
	k.members = slices.Clone(members)
	slices.SortFunc(k.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	k.members = slices.CompactFunc(k.members, func(a, b Member) bool { return a.Name == b.Name })
	for _, d := range k.tasks {
		k.rankMembers(d)
	}
}

func (k *Scheduler) rankMembers(d *task) {
	before := d.position
	d.ranking = ranking(k.members, d.subject)
	d.position = slices.Index(d.ranking, k.cfg.Self.Name)
	if d.position != before {
		d.positionSince = k.now
		d.jitter = k.randomJitter(d)
	}
	k.reschedule(d)
}

// subjects takes over what there is to deal with.
func (k *Scheduler) replaceSubjects(all []Subject) {
	keep := map[string]bool{}
	for _, s := range all {
		keep[s.Key] = true
		d := k.tasks[s.Key]
		if d == nil {
			d = &task{subject: s, position: -2, createdAt: k.now, positionSince: k.now, demands: map[string]demand{}, failedUntil: map[string]clock.Micros{}}
			k.tasks[s.Key] = d
			heap.Push(&k.queue, d)
			k.rankMembers(d)
		} else if d.subject != s {
			d.subject = s
			k.rankMembers(d)
		}
	}
	for key, d := range k.tasks {
		if !keep[key] {
			heap.Remove(&k.queue, d.index)
			delete(k.tasks, key)
		}
	}
}

// noticed takes in that somebody has dealt with a subject. Old news changes nothing.
func (k *Scheduler) recordReport(d *task, n WorkReported) {
	at := k.now - max(n.Age, 0)
	if !n.Succeeded {
		d.failedUntil[n.From] = k.now + failurePeriods*k.period(d)
		return
	}
	delete(d.failedUntil, n.From)
	if at > d.lastSuccess {
		d.lastSuccess, d.jitter = at, k.randomJitter(d)
	}
}

// period is the shortest that anybody wishes, within the bounds.
func (k *Scheduler) period(d *task) clock.Micros {
	p := k.cfg.IdlePeriod
	for from, w := range d.demands {
		if k.now >= w.until {
			delete(d.demands, from)
			continue
		}
		p = min(p, w.period)
	}
	return max(p, k.cfg.MinPeriod)
}

// rank is this instance's place among those that have not failed lately.
func (k *Scheduler) rank(d *task) int {
	if d.position < 0 {
		return -1
	}
	ahead := 0
	selfFailed := k.now < d.failedUntil[k.cfg.Self.Name]
	for i, name := range d.ranking {
		if failed := k.now < d.failedUntil[name]; i < d.position && (selfFailed || !failed) || i > d.position && selfFailed && !failed {
			ahead++
		}
	}
	return ahead
}

// wait is how much later than a holder an instance of some rank steps in.
func (k *Scheduler) takeoverDelay(d *task, rank int) clock.Micros {
	if rank = rank - k.cfg.Assignees + 1; rank <= 0 {
		return 0
	}
	return min(clock.Micros(rank)*k.cfg.Step, k.cfg.MaxDelay) + d.jitter
}

// dueAt is when this instance is to deal with a subject, if nothing is heard before.
func (k *Scheduler) dueAt(d *task) (clock.Micros, bool) {
	rank := k.rank(d)
	if d.running || rank < 0 {
		return 0, false
	}
	period := k.period(d)
	base := d.lastSuccess + period
	if d.lastSuccess == 0 { // nobody was heard of it yet: all of it would fall due in one moment
		base = d.createdAt + min(d.jitter, period)
	}
	at := base + k.takeoverDelay(d, rank)
	if rank < k.cfg.Assignees && d.positionSince > d.lastSuccess {
		// It has just come to this instance, which takes it gently; but never later than any rank steps in, or views that
		// change all the time would put it off for ever.
		at = max(at, min(d.positionSince+d.jitter, base+k.cfg.MaxDelay+k.cfg.Jitter))
	}
	if d.lastAttempt > 0 {
		at = max(at, d.lastAttempt+max(period, k.cfg.MinPeriod)) // where it fails, no oftener than where it does not
	}
	return at, true
}

// plan works out anew when a duty is to be looked at: when it is due, or when a wish or a failure ends before that, which
// changes when it is due.
func (k *Scheduler) reschedule(d *task) {
	k.period(d) // drops the wishes that have ended
	d.wakeAt = never
	if at, ok := k.dueAt(d); ok {
		d.wakeAt = at
	}
	for _, w := range d.demands {
		d.wakeAt = min(d.wakeAt, w.until)
	}
	for _, until := range d.failedUntil {
		if until > k.now {
			d.wakeAt = min(d.wakeAt, until)
		}
	}
	heap.Fix(&k.queue, d.index)
}

// due starts all that is due.
func (k *Scheduler) takeDue() (out []Assignment) {
	for len(k.queue) > 0 && k.queue[0].wakeAt <= k.now {
		d := k.queue[0]
		if at, ok := k.dueAt(d); ok && k.now >= at {
			out = append(out, Assignment{d.subject.Key, k.rank(d)})
			d.running, d.lastAttempt = true, k.now
		}
		k.reschedule(d)
	}
	slices.SortFunc(out, func(a, b Assignment) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// draw is a wait at random, from the seed, up to the jitter.
func (k *Scheduler) randomJitter(d *task) clock.Micros {
	if k.cfg.Jitter <= 0 {
		return 0
	}
	k.randomDraws++
	var h xxhash.Digest
	h.ResetWithSeed(k.cfg.Seed)
	h.WriteString(d.subject.Key)
	h.Write([]byte{byte(k.randomDraws), byte(k.randomDraws >> 8), byte(k.randomDraws >> 16), byte(k.randomDraws >> 24)})
	return clock.Micros(h.Sum64() % uint64(k.cfg.Jitter+1))
}
