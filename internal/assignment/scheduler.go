package assignment

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"marblespan/internal/clock"
)

// failurePeriods is for how many periods a member that got no response from a subject ranks behind the others for it. It
// guards against a first in rank whose own network path is cut. If the subject is down for all, the work moves from member to
// member.
const failurePeriods = 8

// never is a time that is never reached.
const never clock.Micros = math.MaxInt64

// Scheduler is one gateway's state of all work of one kind.
type Scheduler struct {
	cfg         Config
	members     []Member
	tasks       map[string]*task
	queue       queue // all tasks, by wakeAt
	now         clock.Micros
	randomDraws uint64
}

// task is the work for one subject.
type task struct {
	subject       Subject
	ranking       []string
	position      int          // of this gateway in the ranking; -1: it is no member
	lastSuccess   clock.Micros // when any member last succeeded; 0: never
	lastAttempt   clock.Micros // when this gateway last started the work
	running       bool         // this gateway has an assignment that has not ended
	createdAt     clock.Micros // when the subject was first known here
	positionSince clock.Micros // when this gateway got its position
	jitter        clock.Micros // random delay of the current wait
	demands       map[string]demand
	failedUntil   map[string]clock.Micros // until when failed members rank behind the others, by name

	wakeAt clock.Micros // the next time at which time alone may change anything about it
	index  int          // in the queue
}

type demand struct {
	period clock.Micros
	until  clock.Micros
}

// New returns a scheduler that sees no other member and no subject.
func New(cfg Config) *Scheduler {
	cfg.Assignees = max(cfg.Assignees, 1)
	return &Scheduler{cfg: cfg, members: []Member{cfg.Self}, tasks: map[string]*task{}}
}

// Handle applies one event and returns the work that is due now, in the order of the keys. A time before that of the last call
// counts as that of the last call.
func (s *Scheduler) Handle(now clock.Micros, event Event) []Assignment {
	s.now = max(s.now, now)
	switch e := event.(type) {
	case MembersChanged:
		s.replaceMembers(e.Members)
	case SubjectsChanged:
		s.replaceSubjects(e.All)
	case WorkReported:
		if t := s.tasks[e.Key]; t != nil {
			s.recordReport(t, e)
			s.reschedule(t)
		}
	case WorkDone:
		if t := s.tasks[e.Key]; t != nil {
			t.running = false
			s.recordReport(t, WorkReported{From: s.cfg.Self.Name, Succeeded: e.Succeeded})
			s.reschedule(t)
		}
	case WorkDemanded:
		if t := s.tasks[e.Key]; t != nil {
			t.demands[e.From] = demand{e.Period, s.now + e.Duration}
			s.reschedule(t)
		}
	}
	return s.takeDue()
}

// Next is when Handle must be called with a Tick unless another event comes first; ok is false if no time is set.
func (s *Scheduler) Next() (at clock.Micros, ok bool) {
	if len(s.queue) == 0 || s.queue[0].wakeAt == never {
		return 0, false
	}
	return s.queue[0].wakeAt, true
}

// Period is the current period of a subject; 0 for an unknown one.
func (s *Scheduler) Period(key string) clock.Micros {
	if t := s.tasks[key]; t != nil {
		return s.period(t)
	}
	return 0
}

// Rank is this gateway's rank for a subject, 0 for the first; -1 if it has none. Members that failed lately rank last.
func (s *Scheduler) Rank(key string) int {
	if t := s.tasks[key]; t != nil {
		return s.rank(t)
	}
	return -1
}

// Ranking is the order of all members for a subject as this gateway sees it, whether they failed lately or not.
func (s *Scheduler) Ranking(key string) []string {
	if t := s.tasks[key]; t != nil {
		return slices.Clone(t.ranking)
	}
	return nil
}

// replaceMembers sets the members. A member that returns takes its work back gradually: it waits for its jitter first, and the
// member before it goes on until it receives a report.
func (s *Scheduler) replaceMembers(members []Member) {
	s.members = slices.Clone(members)
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	s.members = slices.CompactFunc(s.members, func(a, b Member) bool { return a.Name == b.Name })
	for _, t := range s.tasks {
		s.rankMembers(t)
	}
}

// rankMembers ranks the members for a subject anew.
func (s *Scheduler) rankMembers(t *task) {
	before := t.position
	t.ranking = ranking(s.members, t.subject)
	t.position = slices.Index(t.ranking, s.cfg.Self.Name)
	if t.position != before {
		t.positionSince = s.now
		t.jitter = s.randomJitter(t)
	}
	s.reschedule(t)
}

// replaceSubjects sets the subjects; the state of those that remain is kept.
func (s *Scheduler) replaceSubjects(all []Subject) {
	present := map[string]bool{}
	for _, subject := range all {
		present[subject.Key] = true
		t := s.tasks[subject.Key]
		if t == nil {
			t = &task{subject: subject, position: -2, createdAt: s.now, positionSince: s.now, demands: map[string]demand{}, failedUntil: map[string]clock.Micros{}}
			s.tasks[subject.Key] = t
			heap.Push(&s.queue, t)
			s.rankMembers(t)
		} else if t.subject != subject {
			t.subject = subject
			s.rankMembers(t)
		}
	}
	for key, t := range s.tasks {
		if !present[key] {
			heap.Remove(&s.queue, t.index)
			delete(s.tasks, key)
		}
	}
}

// recordReport applies a report of any member, this one included. A success older than the last known one changes nothing.
func (s *Scheduler) recordReport(t *task, report WorkReported) {
	at := s.now - max(report.Age, 0)
	if !report.Succeeded {
		t.failedUntil[report.From] = s.now + failurePeriods*s.period(t)
		return
	}
	delete(t.failedUntil, report.From)
	if at > t.lastSuccess {
		t.lastSuccess, t.jitter = at, s.randomJitter(t)
	}
}
