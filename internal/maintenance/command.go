package maintenance

import (
	"fmt"
	"slices"

	"marblespan/internal/clock"
)

// Verb is the kind of an operator's command. Its numeric values are on the wire and on disk.
type Verb uint8

// The verbs; Verbs is one above the last.
const (
	Add    Verb = 1 + iota // take a machine out of service when its turn comes
	Done                   // the work on a machine is finished
	Cancel                 // end the maintenance of a machine
	Pause                  // take no further machine out of service; machines that have not reached Out go back to Requested
	Resume                 // end the pause; for one machine: continue although a condition cannot be verified automatically
	Verbs
)

// Command is an operator's command.
type Command struct {
	Verb        Verb
	Kind        Kind
	Name        string       // the machine's name; empty for all machines
	Group       int          // the group of a server
	Duration    clock.Micros // used with Add: how long the work may take
	Comment     string       // used with Add: at most MaxCommentLength bytes
	RequestedBy string       // the gateway that received the command
}

// Command carries out an operator's command, which is an entry of the ledger; now and index are the entry's time and index. It
// returns whether the command was accepted and an answer for the operator. The answer is stored with the client's session, so its
// text is part of the replicated state.
func (o *Order) Command(now clock.Micros, index uint64, from ClientSession, c Command) (ok bool, answer string) {
	if from.Client != 0 {
		last, isNew := o.openSession(from)
		if !isNew {
			return last.OK, last.Answer
		}
		defer func() { o.closeSession(ok, answer) }()
	}
	if c.Name == "" {
		return o.commandAll(now, index, c)
	}
	machine := o.Find(c.Kind, c.Name, c.Group)
	switch {
	case machine == nil && c.Verb == Add:
		return o.add(now, index, c)
	case machine == nil && c.Verb == Resume && c.Kind == Gateway:
		o.excuse(c.Name)
		return true, c.Name + " is not waited for as long as it is dead"
	case machine == nil:
		return false, c.Name + " is not in the order"
	}
	return o.commandOne(now, index, c.Verb, machine)
}

// openSession records that a client's command is being carried out. isNew is false if this command or a later command of the same
// client has already arrived; In that case result holds the answer.
func (o *Order) openSession(from ClientSession) (result ClientSession, isNew bool) {
	i := slices.IndexFunc(o.Sessions, func(s ClientSession) bool { return s.Client == from.Client })
	switch {
	case i < 0:
		if o.Sessions = append(o.Sessions, from); len(o.Sessions) > maxSessions {
			o.Sessions = o.Sessions[1:]
		}
	case o.Sessions[i].Sequence == from.Sequence:
		return o.Sessions[i], false
	case o.Sessions[i].Sequence > from.Sequence:
		return ClientSession{Answer: "this comes too late"}, false
	default:
		o.Sessions = append(slices.Delete(o.Sessions, i, i+1), from)
	}
	return ClientSession{}, true
}

// closeSession stores the result of the command whose session was opened last.
func (o *Order) closeSession(ok bool, answer string) {
	last := &o.Sessions[len(o.Sessions)-1]
	last.OK, last.Answer = ok, answer
}

// commandOne carries out a command for a machine that is active.
func (o *Order) commandOne(now clock.Micros, index uint64, verb Verb, m *Machine) (ok bool, answer string) {
	switch verb {
	case Add:
		return true, fmt.Sprintf("%s is in the order already, as number %d, and %s", m.Label(), o.Position(m.ID), m.StateText(o.Paused))
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
		label := m.Label() // read before cancel, which may move other machines into the memory that m points to
		o.cancel(now, index, m)
		return true, label + " is out of the order"
	case Resume:
		m.Overridden = true
		return true, fmt.Sprintf("%s is %s, and goes on by your word", m.Label(), m.State)
	}
	return false, "nothing of the sort is known"
}

// commandAll carries out a command that concerns all machines.
func (o *Order) commandAll(now clock.Micros, index uint64, c Command) (ok bool, answer string) {
	switch c.Verb {
	case Pause:
		o.pause(now, index)
		return true, "nobody goes any more; who is out stays out"
	case Resume:
		o.resume()
		return true, "they go on"
	}
	return false, "a machine is to be named"
}

// pause stops taking machines out of service. Machines that are draining go back to Requested: no work on them has begun, and
// they are more useful in service.
func (o *Order) pause(now clock.Micros, index uint64) {
	o.Paused = true
	for i := range o.Machines {
		if m := &o.Machines[i]; m.State == Next || m.State == Draining {
			m.setState(now, index, Requested)
		}
	}
}

// resume lets machines be taken out of service again. It also overrides machines that are overdue, so that the others no longer
// wait for them.
func (o *Order) resume() {
	o.Paused = false
	for i := range o.Machines {
		if m := &o.Machines[i]; m.Overdue {
			m.Overridden = true
		}
	}
}

// add appends a machine to the order.
func (o *Order) add(now clock.Micros, index uint64, c Command) (ok bool, answer string) {
	if active := o.activeCount(); active >= MaxMachines {
		return false, fmt.Sprintf("%d machines are in the order, and no more fit", active)
	}
	o.LastID++
	o.Machines = append(o.Machines, Machine{
		ID: o.LastID, Kind: c.Kind, Name: c.Name, Group: c.Group, Duration: c.Duration, Comment: c.Comment, RequestedBy: c.RequestedBy, ChangeIndex: index, Since: now,
	})
	o.trimDone()
	m := o.byID(o.LastID)
	return true, fmt.Sprintf("%s is number %d in the order", m.Label(), o.Position(m.ID))
}
