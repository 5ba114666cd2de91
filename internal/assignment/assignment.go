// Package assignment decides which of several instances does which periodic work, such as probing a database server: who is due
// when, who stands by, and who steps in when the one whose turn it is has gone silent.
//
// It needs no agreement. Every instance ranks the members that it sees for every subject by rendezvous hashing. The first
// does the work each period and gives notice; the second steps in a step later than a notice should have come, the third
// another step later, and so on. Views that differ cost extra work and never a gap: whoever hears no notice does the work
// itself in the end.
//
// It is pure: times and events in, actions out. It owns no clock, socket, goroutine or random source; times are whole
// microseconds of a clock that never steps back. This file is its interface.
package assignment

import "marblespan/internal/clock"

// Member is an instance that takes part.
type Member struct {
	Name   string
	Zone   string // compared, never read; empty: everywhere the same
	Weight uint8  // the share of the work that it can bear, 1 to MostWeight
}

// MostWeight is the largest weight; a weight of 0 counts as 1.
const MaxWeight = 16

// Subject is what a duty is for.
type Subject struct {
	Key  string // tells one life of a server from the next: a restarted one is another subject
	Zone string
}

// Config is how the duties of one kind are done. All instances should have the same; where they differ, work is done more
// often than need be, or later by the difference.
type Config struct {
	Self       Member
	Period     clock.Micros // between two times that a subject is dealt with that somebody asks for
	IdlePeriod clock.Micros // the same of one that nobody asks for
	MinPeriod  clock.Micros // no wish makes a period shorter: a bound on the work a subject gets from everybody together
	Step       clock.Micros // how much later than the one before it each next in rank steps in
	MaxDelay   clock.Micros // no rank waits for longer than this
	Jitter     clock.Micros // at random up to this much later, so that equals do not act in the same moment
	Assignees  int          // how many do the work each period; 0: 1
	Seed       uint64
}

// Gap is the longest that a subject goes without being dealt with while any member lives, reaches it, hears of its own
// work only and is asked to look in time: the period, the longest wait of a rank, the jitter. What a message takes comes
// to it where others are heard.
func (c Config) Gap(period clock.Micros) clock.Micros { return period + c.MaxDelay + c.Jitter }

// Event is one of the events below.
type Event interface{ event() }

// View tells which members are there now, this one among them or not.
type MembersChanged struct{ Members []Member }

// Subjects tells all subjects that there are now.
type SubjectsChanged struct{ All []Subject }

// Notice tells that a member has dealt with a subject, some time ago.
type WorkReported struct {
	Key       string
	From      string
	Age       clock.Micros // since then
	Succeeded bool         // it had an answer; without one somebody else may have more luck
}

// Done tells that this instance has dealt with a subject that it was told to.
type WorkDone struct {
	Key       string
	Succeeded bool
}

// Wish tells that a member, or this one, needs a subject dealt with at least this often, for a while.
type WorkDemanded struct {
	Key      string
	From     string
	Period   clock.Micros
	Duration clock.Micros
}

// Tick tells that time has passed.
type Tick struct{}

func (MembersChanged) event()  {}
func (SubjectsChanged) event() {}
func (WorkReported) event()    {}
func (WorkDone) event()        {}
func (WorkDemanded) event()    {}
func (Tick) event()            {}

// Do is the only action: deal with this subject now, and give notice of it.
type Assignment struct {
	Key  string
	Rank int // 0: it is this one's turn; else it steps in
}
