// Package assignment distributes periodic work, such as health checks of database servers, among several gateways: it decides
// which gateway does the work for a subject, when, and which other gateway takes over if the first gateway does not report.
//
// No other package uses it yet. It is intended for periodic duties that gateways share (docs/ROADMAP.md).
//
// The gateways do not need to reach agreement. For every subject, each gateway ranks the members in its view by rendezvous
// hashing (Thaler and Ravishankar). The first member in rank does the work each period and reports it; the second member takes
// over one Step after the report is overdue, the third member another Step later, and so on. If gateways have different views
// of the members, some work is done more than once, but none is omitted: a gateway that receives no report eventually does the
// work itself.
//
// The package is a pure state machine: it takes times and events and returns assignments. It owns no clock, socket, goroutine
// or random source. Times are microseconds of a monotonic clock. One goroutine owns a Scheduler and calls all its methods.
//
// The main decisions are in ranking (the order of the members), Scheduler.rank (which members count as failed) and
// Scheduler.dueAt (when work is due on this gateway). This file holds the interface: configuration, events and assignments.
package assignment

import "marblespan/internal/clock"

// Member is a gateway among which the work is distributed.
type Member struct {
	Name   string
	Zone   string // members in the zone of a subject rank before all others
	Weight uint8  // the member's share of the work relative to other members: 1 to MaxWeight
}

// MaxWeight is the largest weight. Larger weights are treated as MaxWeight, and 0 is treated as 1.
const MaxWeight = 16

// Subject is the object of periodic work, such as a database server.
type Subject struct {
	Key  string // differs for each incarnation of a server, so that a restarted server is another subject
	Zone string
}

// Config configures one kind of work. All gateways should have the same configuration, except for Self and Seed. If the
// configurations differ, work is done more often than necessary, or late by the difference.
type Config struct {
	Self       Member
	Period     clock.Micros // time between two runs for a subject that is in demand
	IdlePeriod clock.Micros // time between two runs for a subject without demand
	MinPeriod  clock.Micros // lower limit for a demanded period; limits the work that all members together do for a subject
	Step       clock.Micros // additional delay with which each further rank takes over
	MaxDelay   clock.Micros // upper limit for the delay of any rank, not including the jitter
	Jitter     clock.Micros // upper limit for a random delay, so that members with equal rank do not act simultaneously
	Assignees  int          // number of members that do the work each period; 0 is treated as 1
	Seed       uint64
}

// Gap returns the longest time between two runs for a subject with the given period: the period, the longest delay of a rank,
// and the jitter. This holds as long as at least one member is alive, reaches the subject, and has its Handle called at the
// times that Next returns. If the member receives reports from others, their latency is added.
func (c Config) Gap(period clock.Micros) clock.Micros { return period + c.MaxDelay + c.Jitter }

// Event is one of the events below.
type Event interface{ event() }

// MembersChanged carries the complete list of current members. The list need not include this gateway.
type MembersChanged struct{ Members []Member }

// SubjectsChanged carries the complete list of current subjects.
type SubjectsChanged struct{ All []Subject }

// WorkReported carries another member's report that it has done the work for a subject.
type WorkReported struct {
	Key       string
	From      string
	Age       clock.Micros // time since the work was done
	Succeeded bool         // the subject responded; if it did not, another member may still be able to reach it
}

// WorkDone reports that this gateway has finished an assignment.
type WorkDone struct {
	Key       string
	Succeeded bool
}

// WorkDemanded carries the demand of a member, which may be this gateway, that the work for a subject be done at least once per
// Period for the given Duration. It replaces that member's earlier demand for the subject.
type WorkDemanded struct {
	Key      string
	From     string
	Period   clock.Micros
	Duration clock.Micros
}

// Tick is the timer step. A Tick is due at the time returned by Scheduler.Next.
type Tick struct{}

func (MembersChanged) event()  {}
func (SubjectsChanged) event() {}
func (WorkReported) event()    {}
func (WorkDone) event()        {}
func (WorkDemanded) event()    {}
func (Tick) event()            {}

// Assignment asks the caller to do the work for a subject now, to report the result to the other members, and to pass a
// WorkDone event to the Scheduler.
type Assignment struct {
	Key  string
	Rank int // rank of this gateway for the subject; 0 is the first
}
