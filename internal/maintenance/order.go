package maintenance

import (
	"slices"

	"marblespan/internal/clock"
)

// ClientSession records the last command of one client. If the same command arrives again, the client gets the same answer; an
// earlier command that arrives late has no effect.
type ClientSession struct {
	Client, Sequence uint64
	OK               bool // the command was carried out
	Answer           string
}

// Enrollment is an incarnation of a gateway that may send to servers. Only gateways on the roster (Order.Roster) can have requests
// in flight at a server, because a gateway sends nothing before it finds itself on the roster in its own copy of the order. That
// copy also shows the gateway which servers are cordoned.
type Enrollment struct {
	Name        string
	Incarnation uint64
}

// Order is the maintenance order: all machines in the order of their requests. It keeps the last maxDone machines whose
// maintenance has ended.
type Order struct {
	Paused   bool   // an operator has paused maintenance
	LastID   uint64 // the last Machine.ID that was assigned
	Machines []Machine
	Excused  []string // dead gateways that an operator has decided not to wait for
	Sessions []ClientSession
	Roster   []Enrollment // at most one incarnation of each gateway
}

// Limits on the size of an order.
const (
	MaxMachines      = 256 // active machines
	maxRoster        = 1024
	maxDone          = 32 // machines that are back or canceled
	maxSessions      = 64
	MaxCommentLength = 100 // bytes
	MaxNameLength    = 64  // bytes
)

// Clone returns a deep copy of the order.
func (o *Order) Clone() *Order {
	c := *o
	c.Machines, c.Excused, c.Sessions, c.Roster = slices.Clone(o.Machines), slices.Clone(o.Excused), slices.Clone(o.Sessions), slices.Clone(o.Roster)
	return &c
}

// EnrolledIncarnation returns the incarnation of a gateway that is on the roster, or 0 if no incarnation of it is on the
// roster.
func (o *Order) EnrolledIncarnation(name string) uint64 {
	for _, e := range o.Roster {
		if e.Name == name {
			return e.Incarnation
		}
	}
	return 0
}

// enroll puts an incarnation on the roster in place of all earlier incarnations of the same gateway. It reports whether the
// roster has changed.
func (o *Order) enroll(e Enrollment) bool {
	if o.EnrolledIncarnation(e.Name) >= e.Incarnation || len(o.Roster) >= maxRoster {
		return false
	}
	o.unenroll(e)
	o.Roster = append(o.Roster, e)
	return true
}

// unenroll removes an incarnation and all earlier incarnations of the same gateway from the roster. It reports whether the
// roster has changed.
func (o *Order) unenroll(e Enrollment) bool {
	before := len(o.Roster)
	o.Roster = slices.DeleteFunc(o.Roster, func(x Enrollment) bool { return x.Name == e.Name && x.Incarnation <= e.Incarnation })
	return len(o.Roster) < before
}

// excuse adds a dead gateway to Excused, so that maintenance does not wait for it, and removes it from the roster.
func (o *Order) excuse(name string) {
	if !slices.Contains(o.Excused, name) {
		o.Excused = append(o.Excused, name)
	}
	o.unenroll(Enrollment{name, o.EnrolledIncarnation(name)})
}

// unexcuse removes from Excused a gateway that is no longer dead. It reports whether the gateway was in Excused.
func (o *Order) unexcuse(gateway string) bool {
	before := len(o.Excused)
	o.Excused = slices.DeleteFunc(o.Excused, func(name string) bool { return name == gateway })
	return len(o.Excused) < before
}

// Find returns the active machine with this kind and name, or nil. For a server the group must match too, unless group is
// negative.
func (o *Order) Find(kind Kind, name string, group int) *Machine {
	for i := range o.Machines {
		if m := &o.Machines[i]; m.active() && m.Kind == kind && m.Name == name && (kind == Gateway || group < 0 || m.Group == group) {
			return m
		}
	}
	return nil
}

// byID returns the machine with this ID, or nil if the order no longer contains it.
func (o *Order) byID(id uint64) *Machine {
	if i := slices.IndexFunc(o.Machines, func(m Machine) bool { return m.ID == id }); i >= 0 {
		return &o.Machines[i]
	}
	return nil
}

// Position returns a machine's position among the active machines, starting at 1, or 0 if it is not active.
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

// activeCount returns the number of active machines.
func (o *Order) activeCount() (count int) {
	for i := range o.Machines {
		if o.Machines[i].active() {
			count++
		}
	}
	return count
}

// trimDone removes the oldest machines whose maintenance has ended, so that at most maxDone of them remain.
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

// cancel ends the maintenance of a machine, whatever its state.
func (o *Order) cancel(now clock.Micros, index uint64, m *Machine) {
	m.setState(now, index, Canceled)
	o.trimDone()
}
