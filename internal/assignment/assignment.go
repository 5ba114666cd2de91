// Package assignment decides which of several gateways does which periodic work, such as checking the health of a database
// server: which one does it, when, and which one takes over when that one is silent.
//
// No other package uses it yet: it is to come with shared periodic duties (docs/ROADMAP.md).
//
// It needs no agreement. Every gateway ranks the members that it sees for every subject by rendezvous hashing (Thaler and
// Ravishankar). The first in rank does the work each period and reports it; the second takes over one Step after the report
// is overdue, the third another Step later, and so on. Differing views of the members cost extra work but leave no gap: a
// gateway that receives no report does the work itself in the end.
//
// It is a pure state machine: times and events in, assignments out. It owns no clock, socket, goroutine or random source;
// times are microseconds of a monotonic clock. One goroutine owns a Scheduler and calls all its methods.
//
// The main decisions are in ranking (the order of the members), Scheduler.rank (which members count as failed) and
// Scheduler.dueAt (when work is due here). This file holds the interface: configuration, events and assignments.
package assignment

import "marblespan/internal/clock"

// Member is a gateway that takes part.
type Member struct {
	Name   string
	Zone   string // only compared with a subject's zone
	Weight uint8  // its share of the work, relative to the others: 1 to MaxWeight
}

// MaxWeight is the largest weight; a larger one counts as MaxWeight, and 0 counts as 1.
const MaxWeight = 16

// Subject is what periodic work is done for, such as a database server.
type Subject struct {
	Key  string // differs for each incarnation of a server: a restarted one is another subject
	Zone string
}

// Config is how the work of one kind is done. All gateways should have the same, apart from Self and Seed; where they differ,
// work is done more often than needed, or later by the difference.
type Config struct {
	Self       Member
	Period     clock.Micros // between two runs for a subject that is in demand
	IdlePeriod clock.Micros // between two runs for a subject without demand
	MinPeriod  clock.Micros // no demand makes a period shorter: it bounds the work that a subject gets from all members together
	Step       clock.Micros // how much later than the previous one each next in rank takes over
	MaxDelay   clock.Micros // no rank waits longer than this, apart from the jitter
	Jitter     clock.Micros // a random delay up to this, so that members of equal rank do not act at the same moment
	Assignees  int          // how many members do the work each period; 0 counts as 1
	Seed       uint64
}

// Gap is the longest time between two runs for a subject, as long as one member is alive, reaches the subject and has its
// Handle called at the times of Next: the period, the longest delay of a rank, and the jitter. The latency of reports adds to
// it where other members are heard.
func (c Config) Gap(period clock.Micros) clock.Micros { return period + c.MaxDelay + c.Jitter }

// Event is one of the events below.
type Event interface{ event() }

// MembersChanged gives all members that exist now, with or without this one.
type MembersChanged struct{ Members []Member }

// SubjectsChanged gives all subjects that exist now.
type SubjectsChanged struct{ All []Subject }

// WorkReported is a member's report that it has done the work for a subject, Age ago.
type WorkReported struct {
	Key       string
	From      string
	Age       clock.Micros // since the work was done
	Succeeded bool         // the subject responded; if not, another member may reach it
}

// WorkDone is the end of an assignment to this gateway.
type WorkDone struct {
	Key       string
	Succeeded bool
}

// WorkDemanded is the demand of a member, or of this one, that the work for a subject is done at least every Period, for a
// Duration. It replaces that member's earlier demand.
type WorkDemanded struct {
	Key      string
	From     string
	Period   clock.Micros
	Duration clock.Micros
}

// Tick is sent at the time of Scheduler.Next.
type Tick struct{}

func (MembersChanged) event()  {}
func (SubjectsChanged) event() {}
func (WorkReported) event()    {}
func (WorkDone) event()        {}
func (WorkDemanded) event()    {}
func (Tick) event()            {}

// Assignment tells this gateway to do the work for a subject now, and to report it to the others and by WorkDone here.
type Assignment struct {
	Key  string
	Rank int // 0: this gateway is the first in rank; otherwise it takes over
}
