package maintenance

import (
	"slices"

	"marblespan/internal/clock"
)

// ClientSession is the last command of one client: one that arrives again has the same answer, one that arrives late has no effect.
type ClientSession struct {
	Client, Sequence uint64
	OK               bool // whether the command was carried out
	Answer           string
}

// Enrollment is an incarnation of a gateway that may send to servers. A gateway sends nothing before it finds itself on the roster,
// and knows with that which servers are cordoned; so those on the roster are all that can have anything in flight at a server.
type Enrollment struct {
	Name        string
	Incarnation uint64
}

// Order is all machines in the order of their requests, those whose maintenance is over for a while.
type Order struct {
	Paused   bool   // an operator has said that nobody goes
	LastID   uint64 // the last Machine.ID that was given
	Machines []Machine
	Excused  []string // gateways that are dead, and that are not waited for by an operator's decision
	Sessions []ClientSession
	Roster   []Enrollment
}

// The bounds of what an order keeps.
const (
	MaxMachines      = 256 // active
	maxRoster        = 1024
	maxDone          = 32 // machines that are back or canceled
	maxSessions      = 64
	MaxCommentLength = 100 // bytes
	MaxNameLength    = 64  // bytes
)

// Clone is a deep copy of the order.
func (o *Order) Clone() *Order {
	c := *o
	c.Machines, c.Excused, c.Sessions, c.Roster = slices.Clone(o.Machines), slices.Clone(o.Excused), slices.Clone(o.Sessions), slices.Clone(o.Roster)
	return &c
}

// EnrolledIncarnation is the incarnation of a gateway that is on the roster; 0: none is.
func (o *Order) EnrolledIncarnation(name string) uint64 {
	for _, e := range o.Roster {
		if e.Name == name {
			return e.Incarnation
		}
	}
	return 0
}

// enroll puts an incarnation on the roster in place of all before it. It tells whether the roster has changed.
func (o *Order) enroll(e Enrollment) bool {
	if o.EnrolledIncarnation(e.Name) >= e.Incarnation || len(o.Roster) >= maxRoster {
		return false
	}
	o.unenroll(e)
	o.Roster = append(o.Roster, e)
	return true
}

// unenroll takes an incarnation and all before it off the roster. It tells whether the roster has changed.
func (o *Order) unenroll(e Enrollment) bool {
	before := len(o.Roster)
	o.Roster = slices.DeleteFunc(o.Roster, func(x Enrollment) bool { return x.Name == e.Name && x.Incarnation <= e.Incarnation })
	return len(o.Roster) < before
}

// excuse has a dead gateway not be waited for.
func (o *Order) excuse(name string) {
	if !slices.Contains(o.Excused, name) {
		o.Excused = append(o.Excused, name)
	}
	o.unenroll(Enrollment{name, o.EnrolledIncarnation(name)})
}

// unexcuse has a gateway that is alive again be waited for. It tells whether it was excused.
func (o *Order) unexcuse(gateway string) bool {
	before := len(o.Excused)
	o.Excused = slices.DeleteFunc(o.Excused, func(name string) bool { return name == gateway })
	return len(o.Excused) < before
}

// Find is the active machine of a name; nil: none is. The group tells servers of one name apart; below 0 any will do.
func (o *Order) Find(kind Kind, name string, group int) *Machine {
	for i := range o.Machines {
		if m := &o.Machines[i]; m.active() && m.Kind == kind && m.Name == name && (kind == Gateway || group < 0 || m.Group == group) {
			return m
		}
	}
	return nil
}

// byID is the machine of an ID; nil: it is not there any more.
func (o *Order) byID(id uint64) *Machine {
	if i := slices.IndexFunc(o.Machines, func(m Machine) bool { return m.ID == id }); i >= 0 {
		return &o.Machines[i]
	}
	return nil
}

// Position is a machine's position among the active ones, from 1; 0: it is not active.
func (o *Order) Position(id uint64) (position int) {
	if m := o.byID(id); m == nil || !m.active() {
		return 0
	}
	for i := range o.Machines {
		if m := &o.Machines[i]; m.active() && m.ID <= id {
			position++
		}
	}
	return position
}

// activeCount is how many machines are active.
func (o *Order) activeCount() (count int) {
	for i := range o.Machines {
		if o.Machines[i].active() {
			count++
		}
	}
	return count
}

// trimDone drops the oldest machines whose maintenance is over, down to maxDone of them.
func (o *Order) trimDone() {
	done := len(o.Machines) - o.activeCount()
	o.Machines = slices.DeleteFunc(o.Machines, func(m Machine) bool {
		if m.active() || done <= maxDone {
			return false
		}
		done--
		return true
	})
}

// cancel ends the maintenance of a machine where it stands.
func (o *Order) cancel(now clock.Micros, index uint64, m *Machine) {
	m.setState(now, index, Canceled)
	o.trimDone()
}
