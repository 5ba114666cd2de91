// Package membership tracks which gateways are running. It implements the SWIM protocol (Das, Gupta and Motivala 2002) with
// Lifeguard's extensions for slow members (Dadgar, Phillips and Currey 2018). In addition it reports paths that are lost in
// one direction, uses generations to distinguish a restarted member from its previous run, handles members whose process
// was stalled, and rejoins the two halves of a healed partition.
//
// The package is a pure state machine: Machine.Handle takes events with their times and returns actions, which are messages
// to send and changes of the view. It owns no clock, socket or goroutine, and its random numbers come from a seed. Times are
// whole microseconds of a clock that never steps back. internal/gossip calls the machine from a single goroutine and carries
// out its actions; internal/experiments/members and the tests call it with simulated clocks and networks.
//
// The main decisions are in these functions: handleMessage processes received messages, mergeRecord and mergeSelf decide
// which of two records wins, startProbe and advanceProbes are the failure detector, suspicionDeadline computes when a suspect
// is declared dead, and newSyncMessage chooses the contents of a message. This file holds the interface. The design is
// described in docs/membership.md.
package membership

import (
	"net/netip"

	"marblespan/internal/clock"
)

// The bounds of Config.Interval, in microseconds. With a shorter interval, a member whose CPU core is busy with other
// processes could be declared dead; with a longer interval, a dead member would be detected only after minutes.
const (
	MinInterval clock.Micros = 50_000
	MaxInterval clock.Micros = 10_000_000
)

// MaxMembers is the largest number of other members that are kept, including dead ones and those that have left. When the
// table is full and holds no dead or left member to remove, new members are ignored.
const MaxMembers = 1024

// The maximum lengths of a record's strings, in bytes.
const (
	MaxNameLength    = 40
	MaxZoneLength    = 20
	MaxVersionLength = 20
)

// State is the state of a member as another member sees it.
type State uint8

// The states. Dead and Left are final for a generation: a member that comes back starts a new generation. StateCount is the
// number of states.
const (
	Alive State = iota
	Suspect
	Dead
	Left
	StateCount
)

var stateNames = [StateCount]string{"alive", "suspect", "dead", "left"}

// String returns the state's name as used in logs and in answers on the control socket.
func (s State) String() string { return stateNames[s] }

// Ended reports whether the state is Dead or Left, which end a generation.
func (s State) Ended() bool { return s == Dead || s == Left }

// Flags are bits that a member publishes about itself.
type Flags uint32

// The flags.
const (
	Draining Flags = 1 << iota // the member is shutting down
	Stalled                    // the member's process was recently stalled for longer than other members wait for an ack
	NoDisk                     // the member stores nothing that survives a restart
)

// Meta is the metadata that a member publishes about itself in addition to its name and address. The machine distributes it
// to the other members; the only part that the machine itself interprets is the Stalled flag.
type Meta struct {
	Zone     string
	Weight   uint32
	Version  string // version of the member's program
	Settings uint64 // digest of the member's settings
	Flags    Flags
}

// Record is the state of a member as other members know it. Of two records of a member, the one with the later generation
// wins. Within a generation, Dead and Left are final; otherwise the higher incarnation wins, and within an incarnation
// Suspect overrides Alive.
type Record struct {
	Name        string
	Address     netip.AddrPort
	Generation  uint64 // start time in microseconds of Unix time, or one more than an earlier generation
	Incarnation uint32 // incremented by the member itself to refute a suspicion or to publish new metadata
	State       State
	ReportedBy  string // the member that suspects the record's member or declared it dead
	Meta        Meta
}

// PathState is a member's report on the network path between itself and a peer that other members can reach. A path may be
// lost in one direction only.
type PathState struct {
	Reporter, Peer string
	Generation     uint64 // generation of Reporter
	Number         uint32 // sequence number of Reporter's reports on this path; the highest is the latest
	OutboundLost   bool   // the peer does not receive what the reporter sends
	InboundLost    bool   // the reporter does not receive what the peer sends
}

// Healthy reports whether the path works in both directions.
func (p PathState) Healthy() bool { return !p.OutboundLost && !p.InboundLost }

// Kind is a kind of message.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // answered with an Ack; if Number is 0, the sender does not wait for the Ack
	Ack                          // answers a Ping; if Target is set, a helper sends it on behalf of Target
	IndirectPing                 // asks a helper to ping Target
	Nack                         // a helper reports that Target has not yet answered the helper's ping
	Reject                       // the receiver's name belongs to another process, described by the first record
	kinds
)

// Known reports whether k is one of the kinds above.
func (k Kind) Known() bool { return k >= Ping && k < kinds }

// Message is the content of one datagram. Records and Paths are gossip carried along with it.
type Message struct {
	Kind               Kind
	From               string
	Generation         uint64
	Incarnation        uint32
	To                 string // name of the receiver; empty: any member at the address
	ToGeneration       uint64
	Number             uint32 // number of the ping, repeated in its answers
	Target             string
	TargetAddress      netip.AddrPort
	Origin             string // in a Ping from a helper: the member that asked for the Ping
	OriginNumber       uint32
	DirectPingReceived bool   // in an Ack to a helper: the target also received the origin's own ping
	Digest             uint64 // digest of the sender's view
	Records            []Record
	Paths              []PathState
}

// MaxMessageSize is the size of the largest encoded message, in bytes. The signed trailer adds 60 bytes, which makes 1,200.
const MaxMessageSize = 1_140

// Config is the configuration of one member.
type Config struct {
	Name             string
	Address          netip.AddrPort // the address at which other members reach this member
	Generation       uint64         // start time in microseconds of Unix time
	Interval         clock.Micros   // how long one probe may take
	Meta             Meta
	Join             []netip.AddrPort // addresses of members to contact in order to join
	Seed             uint64           // seed of the random numbers; 0: every choice is made in a fixed order instead
	WithoutLifeguard bool             // plain SWIM without the extensions for slow members; only for use as a baseline
}

// Event is one of the events below.
type Event interface{ event() }

// Started makes the machine begin to join and to probe. LeaveRequested makes the machine leave; the machine emits LeaveCompleted
// after it has told other members.
type (
	Started        struct{}
	LeaveRequested struct{}
)

// MessageReceived carries a message that the caller has authenticated and validated. Source is the sender's address.
type MessageReceived struct {
	Source  netip.AddrPort
	Message Message
}

// Tick is the timer step. A Tick is due at the time returned by Machine.Next; additional Ticks are harmless.
type Tick struct{}

// MetaUpdated changes this member's metadata, except for the Stalled flag, which the machine sets itself.
type MetaUpdated struct{ Meta Meta }

// Reconfigured changes the interval and the join addresses.
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

// Action is one of the actions below. The caller carries them out in order.
type Action interface{ action() }

// Send asks the caller to send a message. To is empty if the receiver is known only by its address: a join address, or the
// source of a received message.
type Send struct {
	To      string
	Address netip.AddrPort
	Message Message
}

// MemberChanged reports a change of the view: a member was added, was suspected, is alive again, died, left, or changed its
// metadata. Previous is the member's former state. NewGeneration is set if this generation of the member was not known before.
type MemberChanged struct {
	Record
	Previous      State
	NewGeneration bool
}

// PathChanged reports that this member's own report on the path to another member has changed.
type PathChanged struct{ State PathState }

// Notice reports something that this member has found out about itself.
type Notice struct {
	Kind          NoticeKind
	ReportedBy    string         // the member that suspected this member or declared it dead
	Address       netip.AddrPort // address of the other process with the same name
	Generation    uint64         // this member's new generation, or the generation of the other process
	StallDuration clock.Micros   // for how long the process did not run
}

// LeaveCompleted reports that this member has told other members that it leaves, and has stopped.
type LeaveCompleted struct{}

func (Send) action()           {}
func (MemberChanged) action()  {}
func (PathChanged) action()    {}
func (Notice) action()         {}
func (LeaveCompleted) action() {}

// NoticeKind is a kind of notice.
type NoticeKind uint8

// The kinds of notices. NoticeCount is the number of kinds.
const (
	ProcessStalled   NoticeKind = iota // this member's process was stalled, so other members may have declared the member dead
	SuspicionRefuted                   // this member was suspected and has refuted the suspicion with a higher incarnation
	DeclaredDead                       // other members declared this member dead; it continues in a new generation
	ClockSetBack                       // this member's clock was set back; it continues after the last generation others know
	NameConflict                       // another process has the same name; this member started earlier and keeps the name
	Excluded                           // another process has the same name; this member started later and does not participate
	Readmitted                         // this member was excluded and now participates again
	NoticeCount
)

var noticeNames = [NoticeCount]string{"stood_still", "refuted", "outcast", "moved_past", "namesake", "left_out", "let_in"}

// String returns the kind's code, which appears in logs and in the names of counters.
func (n NoticeKind) String() string { return noticeNames[n] }

// View is one member as this machine sees it.
type View struct {
	Record
	Self         bool
	Since        clock.Micros // start of the current state
	LastReceived clock.Micros // when the last message from the member itself arrived; 0: never
	RTT          clock.Micros // round-trip time of the last ping that was answered directly; 0: none so far
	LostPaths    []PathState  // paths between the member and others that either side reports as lost
	LastHelper   string       // the helper that most recently reached the member; empty: none
}
