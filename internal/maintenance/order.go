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
	Asked     State = iota // it waits for its turn
	Next                   // it is its turn: what would be missed is moved away first
	Leaving                // it takes nothing new, and ends what it has
	Out                    // it may be touched
	Returning              // it is there again, and has to show that it is well
	Back                   // done
	Dropped                // an operator has taken it out of the order
	States
)

var stateNames = [States]string{"asked", "next", "leaving", "out", "returning", "back", "dropped"}

// String is the state's name.
func (s State) String() string { return stateNames[s%States] }

// Machine is one machine in the order.
type Machine struct {
	ID    uint64 // its place: given once, in the order of asking
	Kind  Kind
	Name  string
	Group int    // of a server
	Zone  string // of a gateway, from its turn on
	State State
	Turn  uint32       // counts its changes of state
	At    uint64       // the ledger's index at the last one
	Since clock.Micros // the ledger's time then
	Left  clock.Micros // when it was last told that it may be touched
	For   clock.Micros // how long the work may take
	Life  uint64       // of a gateway: the one that leaves, or that has come back
	Why   string       // the operator's words
	By    string       // the gateway that was asked
	// Overdue says that it is away for longer than it was to be, and Word that an operator has said to go on all the same: it
	// holds nobody up any more, but for whoever shares a shard or a group with it.
	Overdue, Word bool
}

// open tells whether a machine is in hand.
func (m *Machine) open() bool { return m.State < Back }

// away tells whether a machine is, or is about to be, out of service.
func (m *Machine) away() bool { return m.State > Asked && m.State < Back }

// counts tells whether a machine takes up one of the places that the limits leave.
func (m *Machine) counts() bool { return m.away() && !(m.Overdue && m.Word) }

// Drained tells whether gateways send a server nothing new, or a gateway takes nothing new.
func (m *Machine) Drained() bool { return m.State == Leaving || m.State == Out }

// Label names a machine among others.
func (m *Machine) Label() string {
	if m.Kind == Server {
		return fmt.Sprintf("%s of group %d", m.Name, m.Group)
	}
	return m.Name
}

// Asker is whose commands were carried out up to which number: one that comes again, or late, has no effect.
type Asker struct {
	Client, Sequence uint64
	OK               bool // what came of that one, for whoever asks again
	Said             string
}

// Enrolled is a life of a gateway that sends to servers. A gateway sends nothing before it finds itself on the roll, and knows with
// that which servers are left alone; so those on it are all that have to be asked before one may be touched.
type Enrolled struct {
	Name string
	Life uint64
}

// Order is all machines in the order of asking, those that are done with for a while.
type Order struct {
	Held     bool // an operator has said that nobody goes
	Numbers  uint64
	Machines []Machine
	Excused  []string // gateways that are dead, and that an operator has said are not waited for
	Askers   []Asker
	Roll     []Enrolled
}

// The bounds of what an order keeps.
const (
	MostMachines = 256 // in hand
	mostRoll     = 1024
	mostDone     = 32
	mostAskers   = 64
	MostWhy      = 100 // bytes
	MostName     = 64
)

// Clone is the same order again.
func (o *Order) Clone() *Order {
	c := *o
	c.Machines, c.Excused, c.Askers, c.Roll = slices.Clone(o.Machines), slices.Clone(o.Excused), slices.Clone(o.Askers), slices.Clone(o.Roll)
	return &c
}

// Enrolled is the life of a gateway that is on the roll; 0: none is.
func (o *Order) Enrolled(name string) uint64 {
	for _, e := range o.Roll {
		if e.Name == name {
			return e.Life
		}
	}
	return 0
}

// enroll puts a life on the roll, and strike takes one and all before off it.
func (o *Order) enroll(e Enrolled) bool {
	if o.Enrolled(e.Name) >= e.Life || len(o.Roll) >= mostRoll {
		return false
	}
	o.strike(e)
	o.Roll = append(o.Roll, e)
	return true
}

func (o *Order) strike(e Enrolled) bool {
	before := len(o.Roll)
	o.Roll = slices.DeleteFunc(o.Roll, func(x Enrolled) bool { return x.Name == e.Name && x.Life <= e.Life })
	return len(o.Roll) < before
}

// Find is the machine of a name that is in hand; nil: none is. The group tells servers of one name apart; below 0 any will do.
func (o *Order) Find(kind Kind, name string, group int) *Machine {
	for i := range o.Machines {
		if m := &o.Machines[i]; m.open() && m.Kind == kind && m.Name == name && (kind == Gateway || group < 0 || m.Group == group) {
			return m
		}
	}
	return nil
}

// numbered is the machine of a number; nil: it is not there any more.
func (o *Order) numbered(id uint64) *Machine {
	if i := slices.IndexFunc(o.Machines, func(m Machine) bool { return m.ID == id }); i >= 0 {
		return &o.Machines[i]
	}
	return nil
}

// Place is a machine's place among those that are in hand, from 1; 0: it is not.
func (o *Order) Place(id uint64) (n int) {
	if m := o.numbered(id); m == nil || !m.open() {
		return 0
	}
	for i := range o.Machines {
		if m := &o.Machines[i]; m.open() && m.ID <= id {
			n++
		}
	}
	return n
}

// Verb is what an operator says.
type Verb uint8

// The verbs.
const (
	Add  Verb = 1 + iota // a machine is to be taken out
	Done                 // the work at a machine is over
	Drop                 // a machine is to be left alone
	Hold                 // nobody goes, and whoever is about to leave stays
	Go                   // they may again; of one machine: whatever only an operator can know of it holds
	Verbs
)

// Command is what an operator says.
type Command struct {
	Verb  Verb
	Kind  Kind
	Name  string // empty: all
	Group int    // of a server
	For   clock.Micros
	Why   string
	By    string
}

// Step is a decision of the ledger's leader: a machine's change of state, made for one turn of it.
type Step struct {
	ID   uint64
	Turn uint32
	To   State
	Life uint64
	Zone string
	// Overdue marks the machine, whose state stays, and Word has it hold nobody up any more.
	Overdue, Word bool
	// Unexcused is a gateway that is alive again, Enroll a life that is to be on the roll, Strike one that has ended in an orderly way.
	// Nothing else is in the step then.
	Unexcused      string
	Enroll, Strike Enrolled
	// The places that the leader's file leaves, with To Next.
	Gateways, InZone, Servers int
}

// Shards tells who shares shards, as the ledger has it at that place of its log.
type Shards interface {
	// Whole tells whether every shard that a gateway holds has all its copies and none on its way.
	Whole(gateway string) bool
	// Shared tells whether two gateways hold a shard both.
	Shared(a, b string) bool
}

// Command carries out what an operator says, and tells what came of it in plain words.
func (o *Order) Command(now clock.Micros, index uint64, from Asker, c Command) (ok bool, said string) {
	if from.Client != 0 {
		i := slices.IndexFunc(o.Askers, func(a Asker) bool { return a.Client == from.Client })
		switch {
		case i < 0:
			if o.Askers = append(o.Askers, from); len(o.Askers) > mostAskers {
				o.Askers = o.Askers[1:]
			}
		case o.Askers[i].Sequence == from.Sequence:
			return o.Askers[i].OK, o.Askers[i].Said
		case o.Askers[i].Sequence > from.Sequence:
			return false, "this comes too late"
		default:
			o.Askers = append(slices.Delete(o.Askers, i, i+1), from)
		}
		defer func() {
			last := &o.Askers[len(o.Askers)-1]
			last.OK, last.Said = ok, said
		}()
	}
	if c.Name == "" {
		return o.all(now, index, c)
	}
	m := o.Find(c.Kind, c.Name, c.Group)
	if m == nil && c.Verb != Add {
		if c.Verb == Go && c.Kind == Gateway {
			if !slices.Contains(o.Excused, c.Name) {
				o.Excused = append(o.Excused, c.Name)
			}
			o.strike(Enrolled{c.Name, o.Enrolled(c.Name)})
			return true, c.Name + " is not waited for as long as it is dead"
		}
		return false, c.Name + " is not in the order"
	}
	switch c.Verb {
	case Add:
		if m != nil {
			return true, fmt.Sprintf("%s is in the order already, as number %d, and %s", m.Label(), o.Place(m.ID), m.Stands(o.Held))
		}
		return o.add(now, index, c)
	case Done:
		switch m.State {
		case Out:
			m.turn(now, index, Returning)
			return true, m.Label() + " is returning"
		case Returning:
			return true, m.Label() + " is returning already"
		}
		return false, fmt.Sprintf("%s was not out: it is %s", m.Label(), m.State)
	case Drop:
		label := m.Label()
		m.turn(now, index, Dropped)
		o.tidy()
		return true, label + " is out of the order"
	case Go:
		m.Word = true
		return true, fmt.Sprintf("%s is %s, and goes on by your word", m.Label(), m.State)
	}
	return false, "nothing of the sort is known"
}

// all carries out what concerns everybody.
func (o *Order) all(now clock.Micros, index uint64, c Command) (ok bool, said string) {
	switch c.Verb {
	case Hold:
		o.Held = true
		for i := range o.Machines { // what has begun to leave has not been touched yet, and is of more use in service
			if m := &o.Machines[i]; m.State == Next || m.State == Leaving {
				m.turn(now, index, Asked)
			}
		}
		return true, "nobody goes any more; who is out stays out"
	case Go:
		o.Held = false
		for i := range o.Machines {
			if m := &o.Machines[i]; m.Overdue {
				m.Word = true
			}
		}
		return true, "they go on"
	}
	return false, "a machine is to be named"
}

func (o *Order) add(now clock.Micros, index uint64, c Command) (ok bool, said string) {
	inHand := 0
	for i := range o.Machines {
		if o.Machines[i].open() {
			inHand++
		}
	}
	if inHand >= MostMachines {
		return false, fmt.Sprintf("%d machines are in the order, and no more fit", inHand)
	}
	o.Numbers++
	o.Machines = append(o.Machines, Machine{
		ID: o.Numbers, Kind: c.Kind, Name: c.Name, Group: c.Group, For: c.For, Why: c.Why, By: c.By, At: index, Since: now,
	})
	o.tidy()
	m := o.numbered(o.Numbers)
	return true, fmt.Sprintf("%s is number %d in the order", m.Label(), o.Place(m.ID))
}

// tidy drops the oldest of those that are done with.
func (o *Order) tidy() {
	done := 0
	for i := range o.Machines {
		if !o.Machines[i].open() {
			done++
		}
	}
	o.Machines = slices.DeleteFunc(o.Machines, func(m Machine) bool {
		if m.open() || done <= mostDone {
			return false
		}
		done--
		return true
	})
}

// turn changes a machine's state.
func (m *Machine) turn(now clock.Micros, index uint64, to State) {
	if m.State == Leaving && to == Out {
		m.Left = now
	}
	m.State, m.At, m.Since = to, index, now
	m.Turn++
	if to == Asked || to == Back || to == Dropped {
		m.Life, m.Zone, m.Overdue, m.Word = 0, "", false, false
	}
}

// Step carries out a decision, if the order is still the one that it was made for and it keeps what may never be: more away
// than there are places, two of one group, two that share a shard, a shard that is not whole. It tells whether it did.
func (o *Order) Step(now clock.Micros, index uint64, s Step, shards Shards) bool {
	if s.Enroll.Name != "" {
		return o.enroll(s.Enroll)
	}
	if s.Strike.Name != "" {
		return o.strike(s.Strike)
	}
	if s.Unexcused != "" {
		before := len(o.Excused)
		o.Excused = slices.DeleteFunc(o.Excused, func(name string) bool { return name == s.Unexcused })
		return len(o.Excused) < before
	}
	m := o.numbered(s.ID)
	if m == nil || m.Turn != s.Turn || !m.open() {
		return false
	}
	if s.Overdue || s.Word {
		before := *m
		m.Overdue = m.Overdue || s.Overdue && (m.State == Out || m.State == Returning)
		m.Word = m.Word || s.Word && m.Overdue
		return *m != before
	}
	if !follows(m.State, s.To) {
		return false
	}
	if s.To == Next {
		if o.Held || !o.room(m, s) {
			return false
		}
		m.Zone = s.Zone
	}
	if (s.To == Next || s.To == Leaving) && m.Kind == Gateway && (o.clash(m, shards) != "" || !shards.Whole(m.Name)) {
		return false
	}
	life := m.Life
	if s.Life != 0 {
		life = s.Life
	}
	m.turn(now, index, s.To)
	if m.away() {
		m.Life = life
	}
	if s.To == Back {
		o.tidy()
	}
	return true
}

// follows tells whether a state may be followed by another by a step.
func follows(from, to State) bool {
	switch from {
	case Asked:
		return to == Next
	case Next:
		return to == Leaving || to == Asked
	case Leaving:
		return to == Out || to == Asked
	case Out:
		return to == Returning
	case Returning:
		return to == Out || to == Returning || to == Back
	}
	return false
}

// room tells whether one more may go.
func (o *Order) room(m *Machine, s Step) bool {
	gateways, zone, servers := 0, 0, 0
	for i := range o.Machines {
		x := &o.Machines[i]
		if x.ID == m.ID {
			continue
		}
		if m.Kind == Server && x.Kind == Server && x.Group == m.Group && x.away() {
			return false
		}
		switch {
		case !x.counts():
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
		return servers < s.Servers
	}
	return gateways < s.Gateways && zone < s.InZone
}

// clash tells why a gateway may not go for the sake of what it holds; empty: it may.
func (o *Order) clash(m *Machine, shards Shards) string {
	for i := range o.Machines {
		if x := &o.Machines[i]; x.ID != m.ID && x.Kind == Gateway && x.away() && shards.Shared(m.Name, x.Name) {
			return fmt.Sprintf("%s holds a shard that it holds too, and is %s", x.Name, x.State)
		}
	}
	return ""
}

// Stands is a machine's state as an operator is told of it.
func (m *Machine) Stands(held bool) string {
	switch {
	case m.Overdue:
		return "overdue"
	case held && m.State == Asked:
		return "held"
	}
	return m.State.String()
}
