// Package membership decides who is there: the SWIM protocol (Das, Gupta and Motivala 2002) with the extensions for slow
// members that Lifeguard adds to it (Dadgar, Phillips and Currey 2018), and what gateways need beside that: who hears whom,
// lives told apart by their start, members that stood still, and halves that find each other again.
//
// It is pure: messages with the time they came at go in, messages and changes of the view come out. It owns no clock,
// socket, goroutine or random source but a seeded one, and times are whole microseconds of a clock that never steps back.
// This file is its interface. docs/membership.md has the design.
package membership

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of Config.Interval, in microseconds. Below the least a core that other processes use looks like a death; above
// the most a death is noticed after minutes.
const (
	MinInterval clock.Micros = 50_000
	MaxInterval clock.Micros = 10_000_000
)

// MostMembers is how many members are kept, those that have ended among them. Further ones are not taken in.
const MaxMembers = 1024

// The longest strings of a record, in bytes.
const (
	MaxNameLength    = 40
	MaxZoneLength    = 20
	MaxVersionLength = 20
)

// State is what is believed of a member.
type State uint8

// The states. Dead and Left are final for a life: whoever comes back has a new one.
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

// Ended tells whether a life in this state is over.
func (s State) Ended() bool { return s == Dead || s == Left }

// Flags are facts that a member tells of itself.
type Flags uint32

// The flags.
const (
	Draining Flags = 1 << iota // it is about to end
	Stalled                    // its process did not run for longer than others wait for an answer, a moment ago
	NoDisk                     // it keeps nothing over a restart
)

// Meta is what a member tells of itself beside its name. The machine passes it on and does not look at it but for the flags.
type Meta struct {
	Zone     string
	Weight   uint32
	Version  string // of its program
	Settings uint64 // digest of its settings
	Flags    Flags
}

// Record is what is said of a member. Within a life the higher incarnation is the later word, and a suspicion is later than
// being alive; an end is final.
type Record struct {
	Name        string
	Address     netip.AddrPort
	Generation  uint64 // microseconds of Unix time at its start, or just past an earlier life
	Incarnation uint32
	State       State
	ReportedBy  string // who says that it is suspected or dead
	Meta        Meta
}

// Cut is what a member says of the path between itself and another one, which others reach.
type PathState struct {
	Reporter, Peer string
	Generation     uint64 // of By
	Number         uint32 // of its words on that path; the latest counts
	OutboundLost   bool   // the peer does not hear it
	InboundLost    bool   // it does not hear the peer
}

// Whole tells that the path is not cut.
func (c PathState) Healthy() bool { return !c.OutboundLost && !c.InboundLost }

// Kind is a kind of message.
type Kind uint8

// The kinds.
const (
	Ping         Kind = iota + 1 // are you there? Number 0: no answer is waited for
	Ack                          // yes; with a Target: a helper says so of that one
	IndirectPing                 // please ask Target
	Nack                         // Target has not answered the helper
	Reject                       // the name is taken, by the first of the records
	kinds
)

// Known tells whether a kind is one of the above.
func (k Kind) Known() bool { return k >= Ping && k < kinds }

// Message is one datagram.
type Message struct {
	Kind               Kind
	From               string
	Generation         uint64
	Incarnation        uint32
	To                 string // whom it is meant for; empty: whoever is there
	ToGeneration       uint64
	Number             uint32
	Target             string
	TargetAddress      netip.AddrPort
	Origin             string // in a Ping: for whom a helper asks
	OriginNumber       uint32
	DirectPingReceived bool // in an Ack to a helper: the origin's own ping has come, too
	Digest             uint64
	Records            []Record
	Paths              []PathState
}

// MostMessage is the size of the largest message as it is written, in bytes. With the signed trailer's 60 it has 1,200.
const MaxMessageSize = 1_140

// Config is one member.
type Config struct {
	Name             string
	Address          netip.AddrPort // where others reach it
	Generation       uint64         // microseconds of Unix time at its start
	Interval         clock.Micros   // how long one probe may take
	Meta             Meta
	Join             []netip.AddrPort // where it asks to be let in
	Seed             uint64           // of its random draws; 0: none are made, everything goes round in order
	WithoutLifeguard bool             // without the extensions for slow members: a baseline, and nothing else
}

// Event is one of the events below.
type Event interface{ event() }

// Startup begins, and Leave ends a life; Done follows once the others have been told.
type (
	Started        struct{}
	LeaveRequested struct{}
)

// Heard is a message, checked and authentic. Source is where it came from.
type MessageReceived struct {
	Source  netip.AddrPort
	Message Message
}

// Tick tells that time has passed. It comes when Next says, and may come oftener.
type Tick struct{}

// Tell changes what the member tells of itself. StoodStill is the machine's own and not taken from here.
type MetaUpdated struct{ Meta Meta }

// Reconfigured brings another interval and other addresses to join at.
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

// Send sends a message. To is empty for an address to join at, or one that a message came from.
type Send struct {
	To      string
	Address netip.AddrPort
	Message Message
}

// Changed tells of a change of the view: a member came, was suspected or found alive again, ended, or tells other things of
// itself. Was is its state before; New, that this life was not known.
type MemberChanged struct {
	Record
	Previous      State
	NewGeneration bool
}

// Path tells that the path between this member and another one is cut, or whole again.
type PathChanged struct{ State PathState }

// Noticed tells what a member has noticed of itself.
type Notice struct {
	Kind          NoticeKind
	ReportedBy    string         // who declared it dead
	Address       netip.AddrPort // of its namesake
	Generation    uint64         // its own from now on, or its namesake's
	StallDuration clock.Micros   // for how long it stood still
}

// Done tells that the others know that this member leaves.
type LeaveCompleted struct{}

func (Send) action()           {}
func (MemberChanged) action()  {}
func (PathChanged) action()    {}
func (Notice) action()         {}
func (LeaveCompleted) action() {}

// Notice is what a member may notice of itself.
type NoticeKind uint8

// The notices.
const (
	ProcessStalled   NoticeKind = iota // it stood still: others may have gone on without it
	SuspicionRefuted                   // it was suspected, and says that it is alive
	DeclaredDead                       // it was declared dead: the others have gone on without it. It goes on in a new life
	ClockSetBack                       // others know a later life of it: its clock was set back. It goes on in a life past that
	NameConflict                       // another process has its name; this one started earlier and stays
	Excluded                           // another process has its name; this one started later and takes no part
	Readmitted                         // it takes part again
	NoticeCount
)

var noticeNames = [NoticeCount]string{"stood_still", "refuted", "outcast", "moved_past", "namesake", "left_out", "let_in"}

// String is the notice's code in the log.
func (n NoticeKind) String() string { return noticeNames[n] }

// View is how one member stands, as this one sees it.
type View struct {
	Record
	Self         bool
	Since        clock.Micros // start of the present state
	LastReceived clock.Micros // last word from itself; 0: never
	RTT          clock.Micros // of the last ping that was answered directly; 0: none was
	BrokenPaths  []PathState  // what is said, by either side, of paths between it and others
	LastHelper   string       // the helper that reached it last where it does not answer directly
}
