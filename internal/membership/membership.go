// Package membership decides which gateways are there: the SWIM protocol (Das, Gupta and Motivala 2002) with the extensions
// for slow members that Lifeguard adds to it (Dadgar, Phillips and Currey 2018), and what gateways need beside that: reports
// on paths that are lost in one direction, generations that tell a restarted member from its former self, members that were
// stalled, and partitioned halves that find each other again.
//
// The package is a pure state machine: events with their times go in by Machine.Handle, messages to send and changes of the
// view come out as actions. It owns no clock, socket or goroutine, and its random draws come from a seed. Times are whole
// microseconds of a clock that never steps back. internal/gossip calls it, on one goroutine, and carries out its actions;
// internal/experiments/members and the tests call it with simulated clocks and networks.
//
// The main decisions are in these functions: handleMessage takes in messages, mergeRecord and mergeSelf decide which record
// counts, startProbe and advanceProbes are the failure detector, suspicionDeadline says when a suspect is dead, and
// newSyncMessage what a message carries. This file is the interface. docs/membership.md has the design.
package membership

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of Config.Interval, in microseconds. Below the minimum a core that other processes use looks like a death; above
// the maximum a death is noticed only after minutes.
const (
	MinInterval clock.Micros = 50_000
	MaxInterval clock.Micros = 10_000_000
)

// MaxMembers is how many other members are kept, those that have ended among them. Where none has ended, further ones are
// not taken in.
const MaxMembers = 1024

// The longest strings of a record, in bytes.
const (
	MaxNameLength    = 40
	MaxZoneLength    = 20
	MaxVersionLength = 20
)

// State is what a member is believed to be.
type State uint8

// The states. Dead and Left are final for a generation: whoever comes back has a new one. StateCount is how many there are.
const (
	Alive State = iota
	Suspect
	Dead
	Left
	StateCount
)

var stateNames = [StateCount]string{"alive", "suspect", "dead", "left"}

// String is the state's name in logs and answers.
func (s State) String() string { return stateNames[s] }

// Ended tells whether a generation in this state is over.
func (s State) Ended() bool { return s == Dead || s == Left }

// Flags are bits that a member tells of itself.
type Flags uint32

// The flags.
const (
	Draining Flags = 1 << iota // it is about to end
	Stalled                    // its process did not run for longer than others wait for an ack, a moment ago
	NoDisk                     // it stores nothing over a restart
)

// Meta is what a member tells of itself beside its name and address. The machine spreads it and itself reads only the Stalled
// flag.
type Meta struct {
	Zone     string
	Weight   uint32
	Version  string // of its program
	Settings uint64 // digest of its settings
	Flags    Flags
}

// Record is the state of a member as others know it. The later generation counts; within it the higher incarnation, and in
// the same incarnation a suspicion overrides being alive. An end is final.
type Record struct {
	Name        string
	Address     netip.AddrPort
	Generation  uint64 // when it started, microseconds of Unix time, or just past an earlier generation
	Incarnation uint32 // raised by the member itself to refute a suspicion, and for new metadata
	State       State
	ReportedBy  string // who suspects it, or declared it dead
	Meta        Meta
}

// PathState is a member's report on the path between itself and another one that others reach. A path may be lost in one
// direction only.
type PathState struct {
	Reporter, Peer string
	Generation     uint64 // of Reporter
	Number         uint32 // of its reports on that path; the latest counts
	OutboundLost   bool   // the peer does not receive what the reporter sends
	InboundLost    bool   // the reporter does not receive what the peer sends
}

// Healthy tells that the path is lost in neither direction.
func (p PathState) Healthy() bool { return !p.OutboundLost && !p.InboundLost }

// Kind is a kind of message.
type Kind uint8

// The kinds.
const (
	Ping         Kind = iota + 1 // answered by an Ack; Number 0: no answer is waited for
	Ack                          // the answer; with a Target, a helper sends it for that member
	IndirectPing                 // asks a helper to ping Target
	Nack                         // Target has not answered the helper so far
	Reject                       // the name is taken, by the member of the first record
	kinds
)

// Known tells whether a kind is one of the above.
func (k Kind) Known() bool { return k >= Ping && k < kinds }

// Message is one datagram. Records and Paths are the gossip that rides on it.
type Message struct {
	Kind               Kind
	From               string
	Generation         uint64
	Incarnation        uint32
	To                 string // whom it is meant for; empty: whoever is at the address
	ToGeneration       uint64
	Number             uint32 // of the ping; its answers repeat it
	Target             string
	TargetAddress      netip.AddrPort
	Origin             string // in a Ping: for whom a helper sends it
	OriginNumber       uint32
	DirectPingReceived bool   // in an Ack to a helper: the origin's own ping arrived, too
	Digest             uint64 // of the sender's view
	Records            []Record
	Paths              []PathState
}

// MaxMessageSize is the size of the largest encoded message, in bytes. With the signed trailer's 60 it is 1,200.
const MaxMessageSize = 1_140

// Config is the configuration of one member.
type Config struct {
	Name             string
	Address          netip.AddrPort // where others reach it
	Generation       uint64         // when it started, microseconds of Unix time
	Interval         clock.Micros   // how long one probe may take
	Meta             Meta
	Join             []netip.AddrPort // addresses of members to join by
	Seed             uint64           // of its random draws; 0: none are made, and everything goes in turn
	WithoutLifeguard bool             // plain SWIM, without the extensions for slow members: for use as a baseline only
}

// Event is one of the events below.
type Event interface{ event() }

// Started begins probing and joining. LeaveRequested ends it; LeaveCompleted follows once others have been told.
type (
	Started        struct{}
	LeaveRequested struct{}
)

// MessageReceived is an authentic and valid message. Source is the address that it came from.
type MessageReceived struct {
	Source  netip.AddrPort
	Message Message
}

// Tick is the timer step. It is due when Machine.Next says, and may come more often.
type Tick struct{}

// MetaUpdated changes this member's metadata. The Stalled flag is the machine's own and is not taken from here.
type MetaUpdated struct{ Meta Meta }

// Reconfigured brings another interval and other addresses to join by.
type Reconfigured struct {
	Interval clock.Micros
	Join     []netip.AddrPort
}

func (Started) event()         {}
func (LeaveRequested) event()  {}
func (MessageReceived) event() {}
func (Tick) event()            {}
func (MetaUpdated) event()     {}
func (Reconfigured) event()    {}

// Action is one of the actions below, to be carried out in order.
type Action interface{ action() }

// Send sends a message. To is empty where the address is one to join by, or one that a message came from.
type Send struct {
	To      string
	Address netip.AddrPort
	Message Message
}

// MemberChanged is a change of the view: a member was added, suspected, found alive again or ended, or its metadata changed.
// Previous is its state before; NewGeneration, that this generation was not known.
type MemberChanged struct {
	Record
	Previous      State
	NewGeneration bool
}

// PathChanged is a change of the path between this member and another one, as this one reports it.
type PathChanged struct{ State PathState }

// Notice is something that a member has found out about itself.
type Notice struct {
	Kind          NoticeKind
	ReportedBy    string         // who suspected it, or declared it dead
	Address       netip.AddrPort // of the other process of its name
	Generation    uint64         // its own from now on, or the other process's
	StallDuration clock.Micros   // for how long the process did not run
}

// LeaveCompleted tells that the others have been told that this member leaves.
type LeaveCompleted struct{}

func (Send) action()           {}
func (MemberChanged) action()  {}
func (PathChanged) action()    {}
func (Notice) action()         {}
func (LeaveCompleted) action() {}

// NoticeKind is a kind of notice.
type NoticeKind uint8

// The kinds of notices. NoticeCount is how many there are.
const (
	ProcessStalled   NoticeKind = iota // its process did not run for a while: others may have gone on without it
	SuspicionRefuted                   // it was suspected, and has answered by a higher incarnation
	DeclaredDead                       // it was declared dead, and the others have gone on without it. It goes on in a new generation
	ClockSetBack                       // others know a later generation of it: its clock was set back. It goes on in a generation past that
	NameConflict                       // another process has its name. This one started earlier and stays
	Excluded                           // another process has its name. This one started later and takes no part
	Readmitted                         // it takes part again after it was excluded
	NoticeCount
)

var noticeNames = [NoticeCount]string{"stood_still", "refuted", "outcast", "moved_past", "namesake", "left_out", "let_in"}

// String is the kind's code in the log and in the names of counters.
func (n NoticeKind) String() string { return noticeNames[n] }

// View is one member as this one sees it.
type View struct {
	Record
	Self         bool
	Since        clock.Micros // start of the present state
	LastReceived clock.Micros // last message from itself; 0: never
	RTT          clock.Micros // of the last ping that was answered directly; 0: none was
	LostPaths    []PathState  // paths between it and others that either side reports as lost
	LastHelper   string       // the helper that reached it last; empty: none did
}
