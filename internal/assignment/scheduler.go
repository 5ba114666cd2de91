package assignment

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"marblespan/internal/clock"
)

// failurePeriods is the number of periods for which a member that got no response from a subject ranks behind the others for
// that subject. Without this rule, a subject would stay assigned to a member that cannot reach it because the network
// path of that member is interrupted. If no member can reach the subject, the work moves from member to member.
const failurePeriods = 8

// never is a time that is never reached.
const never clock.Micros = math.MaxInt64

// Scheduler is one gateway's state for all work of one kind.
type Scheduler struct {
	cfg         Config
	members     []Member
	tasks       map[string]*task // the task of each subject, by the subject's key
	queue       queue            // all tasks, ordered by wakeAt
	now         clock.Micros
	randomDraws uint64
}

// task is the work for one subject.
type task struct {
	subject       Subject
	ranking       []string
	position      int          // index of this gateway in the ranking; -1: not a member
	lastSuccess   clock.Micros // when any member last succeeded; 0: never
	lastAttempt   clock.Micros // when this gateway last started the work
	running       bool         // this gateway has an unfinished assignment for the subject
	createdAt     clock.Micros // when the subject became known to this gateway
	positionSince clock.Micros // when this gateway's position last changed
	jitter        clock.Micros // random delay of the current wait
	demands       map[string]demand
	failedUntil   map[string]clock.Micros // the time until which a failed member ranks behind the others, by name of the member

	wakeAt clock.Micros // when the task must be evaluated next if no event concerns it before
	index  int          // index in the queue
}

type demand struct {
	period clock.Micros
	until  clock.Micros
}

// New returns a scheduler that knows no other member and no subject.
func New(cfg Config) *Scheduler {
	cfg.Assignees = max(cfg.Assignees, 1)
	return &Scheduler{cfg: cfg, members: []Member{cfg.Self}, tasks: map[string]*task{}}
}

// Handle processes one event and returns assignments for the work that is due now, ordered by key. If now is earlier than the
// time of the previous call, that time is used instead.
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

// Next returns the time at which Handle must be called with a Tick unless another event comes first. ok is false if no Tick is
// needed.
func (s *Scheduler) Next() (at clock.Micros, ok bool) {
	if len(s.queue) == 0 || s.queue[0].wakeAt == never {
		return 0, false
	}
	return s.queue[0].wakeAt, true
}

// Period returns the current period of a subject, or 0 if the subject is not known.
func (s *Scheduler) Period(key string) clock.Micros {
	if t := s.tasks[key]; t != nil {
		return s.period(t)
	}
	return 0
}

// Rank returns this gateway's rank for a subject, where 0 is the first, or -1 if the gateway is not a member or the subject is
// not known. Members that failed recently rank last.
func (s *Scheduler) Rank(key string) int {
	if t := s.tasks[key]; t != nil {
		return s.rank(t)
	}
	return -1
}

// Ranking returns the names of all members in their order for a subject as this gateway sees it. Recent failures do not affect
// this order. The result is nil if the subject is not known.
func (s *Scheduler) Ranking(key string) []string {
	if t := s.tasks[key]; t != nil {
		return slices.Clone(t.ranking)
	}
	return nil
}

// replaceMembers replaces the list of members. A member that returns takes its work back gradually: the returning member first
// waits for its jitter, and the member that did the work in the meantime continues until it receives a report.
func (s *Scheduler) replaceMembers(members []Member) {
	s.members = slices.Clone(members)
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	s.members = slices.CompactFunc(s.members, func(a, b Member) bool { return a.Name == b.Name })
	for _, t := range s.tasks {
		s.rankMembers(t)
	}
}

// rankMembers recomputes the ranking for a task. If this gateway's position changes, the task gets a new random jitter.
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

// replaceSubjects replaces the list of subjects. The state of subjects that remain is kept.
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

// recordReport applies a report of any member, including this gateway. A success that is not later than the last known success
// does not change when the work is due.
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
