// Package maintenance settles in which order machines are taken out for work: which one is next, when it may be touched, and when
// it counts as back.
//
// It is pure: an Order changes by entries alone, each valid by its place in the ledger's log, so that every gateway that
// applies the same entries has the same order. Decisions are made by a Planner, which only the ledger's leader asks, from the
// order and from what gateways report; each is a Step, and comes to nothing if the order is not the one that it was made for.
// Times are whole microseconds of the ledger's own time. docs/maintenance.md has the design, and every rule with its reason.
package maintenance

import (
	"fmt"
	"slices"

	"marblespan/internal/clock"
)

// Kind is a kind of machine.
type Kind uint8

// The kinds.
const (
	Gateway Kind = iota
	Server
	Kinds
)

// String is the kind in plain words.
func (k Kind) String() string { return [Kinds]string{"gateway", "server"}[k%Kinds] }

// State is where a machine stands.
type State uint8

// The states of a machine. All but the last two are in hand.
const (
	Requested State = iota // it waits for its turn
	Next                   // it is its turn: what would be missed is moved away first
	Draining               // it takes nothing new, and ends what it has
	Out                    // it may be touched
	Returning              // it is there again, and has to show that it is well
	Back                   // done
	Canceled               // an operator has taken it out of the order
	States
)

var stateNames = [States]string{"asked", "next", "leaving", "out", "returning", "back", "dropped"}

// String is the state's name.
func (s State) String() string { return stateNames[s%States] }

// Machine is one machine in the order.
type Machine struct {
	ID          uint64 // its place: given once, in the order of asking
	Kind        Kind
	Name        string
	Group       int    // of a server
	Zone        string // of a gateway, from its turn on
	State       State
	Revision    uint32       // counts its changes of state
	ChangeIndex uint64       // the ledger's index at the last one
	Since       clock.Micros // the ledger's time then
	OutSince    clock.Micros // when it was last told that it may be touched
	Duration    clock.Micros // how long the work may take
	Incarnation uint64       // of a gateway: the one that leaves, or that has come back
	Comment     string       // the operator's words
	RequestedBy string       // the gateway that was asked
	// Overdue says that it is away for longer than it was to be, and Word that an operator has said to go on all the same: it
	// holds nobody up any more, but for whoever shares a shard or a group with it.
	Overdue, Overridden bool
}

// open tells whether a machine is in hand.
func (m *Machine) active() bool { return m.State < Back }

// away tells whether a machine is, or is about to be, out of service.
func (m *Machine) inProgress() bool { return m.State > Requested && m.State < Back }

// counts tells whether a machine takes up one of the places that the limits leave.
func (m *Machine) occupiesPlace() bool { return m.inProgress() && !(m.Overdue && m.Overridden) }

// Drained tells whether gateways send a server nothing new, or a gateway takes nothing new.
func (m *Machine) Cordoned() bool { return m.State == Draining || m.State == Out }

// Label names a machine among others.
func (m *Machine) Label() string {
	if m.Kind == Server {
		return fmt.Sprintf("%s of group %d", m.Name, m.Group)
	}
	return m.Name
}

// Asker is whose commands were carried out up to which number: one that comes again, or late, has no effect.
type ClientSession struct {
	Client, Sequence uint64
	OK               bool // what came of that one, for whoever asks again
	Answer           string
}

// Enrolled is a life of a gateway that sends to servers. A gateway sends nothing before it finds itself on the roll, and knows with
// that which servers are left alone; so those on it are all that have to be asked before one may be touched.
type Enrollment struct {
	Name        string
	Incarnation uint64
}

// Order is all machines in the order of asking, those that are done with for a while.
type Order struct {
	Paused   bool // an operator has said that nobody goes
	LastID   uint64
	Machines []Machine
	Excused  []string // gateways that are dead, and that an operator has said are not waited for
	Sessions []ClientSession
	Roster   []Enrollment
}

// The bounds of what an order keeps.
const (
	MaxMachines      = 256 // in hand
	maxRoster        = 1024
	maxDone          = 32
	maxSessions      = 64
	MaxCommentLength = 100 // bytes
	MaxNameLength    = 64
)

// Clone is the same order again.
func (o *Order) Clone() *Order {
	c := *o
	c.Machines, c.Excused, c.Sessions, c.Roster = slices.Clone(o.Machines), slices.Clone(o.Excused), slices.Clone(o.Sessions), slices.Clone(o.Roster)
	return &c
}

// Enrolled is the life of a gateway that is on the roll; 0: none is.
func (o *Order) EnrolledIncarnation(name string) uint64 {
	for _, e := range o.Roster {
		if e.Name == name {
			return e.Incarnation
		}
	}
	return 0
}

// enroll puts a life on the roll, and strike takes one and all before off it.
func (o *Order) enroll(e Enrollment) bool {
	if o.EnrolledIncarnation(e.Name) >= e.Incarnation || len(o.Roster) >= maxRoster {
		return false
	}
	o.unenroll(e)
	o.Roster = append(o.Roster, e)
	return true
}

func (o *Order) unenroll(e Enrollment) bool {
	before := len(o.Roster)
	o.Roster = slices.DeleteFunc(o.Roster, func(x Enrollment) bool { return x.Name == e.Name && x.Incarnation <= e.Incarnation })
	return len(o.Roster) < before
}

// Find is the machine of a name that is in hand; nil: none is. The group tells servers of one name apart; below 0 any will do.
func (o *Order) Find(kind Kind, name string, group int) *Machine {
	for i := range o.Machines {
		if m := &o.Machines[i]; m.active() && m.Kind == kind && m.Name == name && (kind == Gateway || group < 0 || m.Group == group) {
			return m
		}
	}
	return nil
}

// numbered is the machine of a number; nil: it is not there any more.
func (o *Order) byID(id uint64) *Machine {
	if i := slices.IndexFunc(o.Machines, func(m Machine) bool { return m.ID == id }); i >= 0 {
		return &o.Machines[i]
	}
	return nil
}

// Place is a machine's place among those that are in hand, from 1; 0: it is not.
func (o *Order) Position(id uint64) (n int) {
	if m := o.byID(id); m == nil || !m.active() {
		return 0
	}
	for i := range o.Machines {
		if m := &o.Machines[i]; m.active() && m.ID <= id {
			n++
		}
	}
	return n
}

// Verb is what an operator says.
type Verb uint8

// The verbs.
const (
	Add    Verb = 1 + iota // a machine is to be taken out
	Done                   // the work at a machine is over
	Cancel                 // a machine is to be left alone
	Pause                  // nobody goes, and whoever is about to leave stays
	Resume                 // they may again; of one machine: whatever only an operator can know of it holds
	Verbs
)

// Command is what an operator says.
type Command struct {
	Verb        Verb
	Kind        Kind
	Name        string // empty: all
	Group       int    // of a server
	Duration    clock.Micros
	Comment     string
	RequestedBy string
}

// Step is a decision of the ledger's leader: a machine's change of state, made for one turn of it.
type Step struct {
	ID          uint64
	Revision    uint32
	To          State
	Incarnation uint64
	Zone        string
	// Overdue marks the machine, whose state stays, and Word has it hold nobody up any more.
	Overdue, Override bool
	// Unexcused is a gateway that is alive again, Enroll a life that is to be on the roll, Strike one that has ended in an orderly way.
	// Nothing else is in the step then.
	Unexcuse         string
	Enroll, Unenroll Enrollment
	// The places that the leader's file leaves, with To Next.
	MaxGateways, MaxPerZone, MaxServers int
}

// Shards tells who shares shards, as the ledger has it at that place of its log.
type Shards interface {
	// Whole tells whether every shard that a gateway holds has all its copies and none on its way.
	Complete(gateway string) bool
	// Shared tells whether two gateways hold a shard both.
	ShareShard(a, b string) bool
}

// Command carries out what an operator says, and tells what came of it in plain words.
func (o *Order) Command(now clock.Micros, index uint64, from ClientSession, c Command) (ok bool, said string) {
	if from.Client != 0 {
		i := slices.IndexFunc(o.Sessions, func(a ClientSession) bool { return a.Client == from.Client })
		switch {
		case i < 0:
			if o.Sessions = append(o.Sessions, from); len(o.Sessions) > maxSessions {
				o.Sessions = o.Sessions[1:]
			}
		case o.Sessions[i].Sequence == from.Sequence:
			return o.Sessions[i].OK, o.Sessions[i].Answer
		case o.Sessions[i].Sequence > from.Sequence:
			return false, "this comes too late"
		default:
			o.Sessions = append(slices.Delete(o.Sessions, i, i+1), from)
		}
		defer func() {
			last := &o.Sessions[len(o.Sessions)-1]
			last.OK, last.Answer = ok, said
		}()
	}
	if c.Name == "" {
		return o.all(now, index, c)
	}
	m := o.Find(c.Kind, c.Name, c.Group)
	if m == nil && c.Verb != Add {
		if c.Verb == Resume && c.Kind == Gateway {
			if !slices.Contains(o.Excused, c.Name) {
				o.Excused = append(o.Excused, c.Name)
			}
			o.unenroll(Enrollment{c.Name, o.EnrolledIncarnation(c.Name)})
			return true, c.Name + " is not waited for as long as it is dead"
		}
		return false, c.Name + " is not in the order"
	}
	switch c.Verb {
	case Add:
		if m != nil {
			return true, fmt.Sprintf("%s is in the order already, as number %d, and %s", m.Label(), o.Position(m.ID), m.StateText(o.Paused))
		}
		return o.add(now, index, c)
	case Done:
		switch m.State {
		case Out:
			m.setState(now, index, Returning)
			return true, m.Label() + " is returning"
		case Returning:
			return true, m.Label() + " is returning already"
		}
		return false, fmt.Sprintf("%s was not out: it is %s", m.Label(), m.State)
	case Cancel:
		label := m.Label()
		m.setState(now, index, Canceled)
		o.trimDone()
		return true, label + " is out of the order"
	case Resume:
		m.Overridden = true
		return true, fmt.Sprintf("%s is %s, and goes on by your word", m.Label(), m.State)
	}
	return false, "nothing of the sort is known"
}

// all carries out what concerns everybody.
func (o *Order) all(now clock.Micros, index uint64, c Command) (ok bool, said string) {
	switch c.Verb {
	case Pause:
		o.Paused = true
		for i := range o.Machines { // what has begun to leave has not been touched yet, and is of more use in service
			if m := &o.Machines[i]; m.State == Next || m.State == Draining {
				m.setState(now, index, Requested)
			}
		}
		return true, "nobody goes any more; who is out stays out"
	case Resume:
		o.Paused = false
		for i := range o.Machines {
			if m := &o.Machines[i]; m.Overdue {
				m.Overridden = true
			}
		}
		return true, "they go on"
	}
	return false, "a machine is to be named"
}

func (o *Order) add(now clock.Micros, index uint64, c Command) (ok bool, said string) {
	inHand := 0
	for i := range o.Machines {
		if o.Machines[i].active() {
			inHand++
		}
	}
	if inHand >= MaxMachines {
		return false, fmt.Sprintf("%d machines are in the order, and no more fit", inHand)
	}
	o.LastID++
	o.Machines = append(o.Machines, Machine{
		ID: o.LastID, Kind: c.Kind, Name: c.Name, Group: c.Group, Duration: c.Duration, Comment: c.Comment, RequestedBy: c.RequestedBy, ChangeIndex: index, Since: now,
	})
	o.trimDone()
	m := o.byID(o.LastID)
	return true, fmt.Sprintf("%s is number %d in the order", m.Label(), o.Position(m.ID))
}

// tidy drops the oldest of those that are done with.
func (o *Order) trimDone() {
	done := 0
	for i := range o.Machines {
		if !o.Machines[i].active() {
			done++
		}
	}
	o.Machines = slices.DeleteFunc(o.Machines, func(m Machine) bool {
		if m.active() || done <= maxDone {
			return false
		}
		done--
		return true
	})
}

// turn changes a machine's state.
func (m *Machine) setState(now clock.Micros, index uint64, to State) {
	if m.State == Draining && to == Out {
		m.OutSince = now
	}
	m.State, m.ChangeIndex, m.Since = to, index, now
	m.Revision++
	if to == Requested || to == Back || to == Canceled {
		m.Incarnation, m.Zone, m.Overdue, m.Overridden = 0, "", false, false
	}
}

// Step carries out a decision, if the order is still the one that it was made for and it keeps what may never be: more away
// than there are places, two of one group, two that share a shard, a shard that is not whole. It tells whether it did.
func (o *Order) Step(now clock.Micros, index uint64, s Step, shards Shards) bool {
	if s.Enroll.Name != "" {
		return o.enroll(s.Enroll)
	}
	if s.Unenroll.Name != "" {
		return o.unenroll(s.Unenroll)
	}
	if s.Unexcuse != "" {
		before := len(o.Excused)
		o.Excused = slices.DeleteFunc(o.Excused, func(name string) bool { return name == s.Unexcuse })
		return len(o.Excused) < before
	}
	m := o.byID(s.ID)
	if m == nil || m.Revision != s.Revision || !m.active() {
		return false
	}
	if s.Overdue || s.Override {
		before := *m
		m.Overdue = m.Overdue || s.Overdue && (m.State == Out || m.State == Returning)
		m.Overridden = m.Overridden || s.Override && m.Overdue
		return *m != before
	}
	if !mayFollow(m.State, s.To) {
		return false
	}
	if s.To == Next {
		if o.Paused || !o.hasPlace(m, s) {
			return false
		}
		m.Zone = s.Zone
	}
	if (s.To == Next || s.To == Draining) && m.Kind == Gateway && (o.sharedShardConflict(m, shards) != "" || !shards.Complete(m.Name)) {
		return false
	}
	life := m.Incarnation
	if s.Incarnation != 0 {
		life = s.Incarnation
	}
	m.setState(now, index, s.To)
	if m.inProgress() {
		m.Incarnation = life
	}
	if s.To == Back {
		o.trimDone()
	}
	return true
}

// follows tells whether a state may be followed by another by a step.
func mayFollow(from, to State) bool {
	switch from {
	case Requested:
		return to == Next
	case Next:
		return to == Draining || to == Requested
	case Draining:
		return to == Out || to == Requested
	case Out:
		return to == Returning
	case Returning:
		return to == Out || to == Returning || to == Back
	}
	return false
}

// room tells whether one more may go.
func (o *Order) hasPlace(m *Machine, s Step) bool {
	gateways, zone, servers := 0, 0, 0
	for i := range o.Machines {
		x := &o.Machines[i]
		if x.ID == m.ID {
			continue
		}
		if m.Kind == Server && x.Kind == Server && x.Group == m.Group && x.inProgress() {
			return false
		}
		switch {
		case !x.occupiesPlace():
		case x.Kind == Server:
			servers++
		default:
			gateways++
			if x.Zone == s.Zone {
				zone++
			}
		}
	}
	if m.Kind == Server {
		return servers < s.MaxServers
	}
	return gateways < s.MaxGateways && zone < s.MaxPerZone
}

// clash tells why a gateway may not go for the sake of what it holds; empty: it may.
func (o *Order) sharedShardConflict(m *Machine, shards Shards) string {
	for i := range o.Machines {
		if x := &o.Machines[i]; x.ID != m.ID && x.Kind == Gateway && x.inProgress() && shards.ShareShard(m.Name, x.Name) {
			return fmt.Sprintf("%s holds a shard that it holds too, and is %s", x.Name, x.State)
		}
	}
	return ""
}

// Stands is a machine's state as an operator is told of it.
func (m *Machine) StateText(held bool) string {
	switch {
	case m.Overdue:
		return "overdue"
	case held && m.State == Requested:
		return "held"
	}
	return m.State.String()
}
