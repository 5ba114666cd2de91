package maintenance

import (
	"fmt"

	"marblespan/internal/clock"
)

// Kind is a kind of machine. Its numbers are on the wire and on disk.
type Kind uint8

// The kinds of machines; Kinds is their count.
const (
	Gateway Kind = iota
	Server
	Kinds
)

// String is the kind in plain words.
func (k Kind) String() string { return [Kinds]string{"gateway", "server"}[k%Kinds] }

// State is how far the maintenance of a machine has come. Its numbers are on the wire and on disk.
type State uint8

// The states of a machine; States is their count. A machine is active in all states before Back.
const (
	Requested State = iota // it waits for its turn
	Next                   // it is its turn: shards that would be missed are migrated first
	Draining               // it takes no new work, and finishes what is in flight
	Out                    // it may be touched
	Returning              // it is there again, and has to show that it is healthy
	Back                   // done
	Canceled               // an operator has taken it out of the order
	States
)

// stateNames are what operators read; they are older than the constants' names.
var stateNames = [States]string{"asked", "next", "leaving", "out", "returning", "back", "dropped"}

// String is the state as operators read it.
func (s State) String() string { return stateNames[s%States] }

// Machine is one machine in the order.
type Machine struct {
	ID          uint64 // given once, ascending in the order of the requests
	Kind        Kind
	Name        string
	Group       int    // of a server: the replication group that it belongs to
	Zone        string // of a gateway, from its turn on
	State       State
	Revision    uint32       // counts its changes of state
	ChangeIndex uint64       // the ledger's index at the last change of state
	Since       clock.Micros // the ledger's time at the last change of state
	OutSince    clock.Micros // when it last came to be Out
	Duration    clock.Micros // how long the work may take
	Incarnation uint64       // of a gateway: the one that drains, or that has come back
	Comment     string       // the operator's words
	RequestedBy string       // the gateway that took the operator's request
	Overdue     bool         // it is away for longer than Duration
	// Overridden is set when an operator, or ExcuseAfter, has decided that the others go on all the same. A machine that is overdue
	// and overridden takes up no place any more; only those that share a shard or a group with it still wait for it.
	Overridden bool
}

// active tells whether the maintenance of a machine is not over yet.
func (m *Machine) active() bool { return m.State < Back }

// inProgress tells whether a machine is, or is about to be, out of service.
func (m *Machine) inProgress() bool { return m.State > Requested && m.State < Back }

// occupiesPlace tells whether a machine takes up one of the places that the limits leave.
func (m *Machine) occupiesPlace() bool { return m.inProgress() && !(m.Overdue && m.Overridden) }

// Cordoned tells whether gateways send a server nothing new, or a gateway takes nothing new.
func (m *Machine) Cordoned() bool { return m.State == Draining || m.State == Out }

// Label names a machine among others, for operators.
func (m *Machine) Label() string {
	if m.Kind == Server {
		return fmt.Sprintf("%s of group %d", m.Name, m.Group)
	}
	return m.Name
}

// StateText is a machine's state as operators read it. paused is the order's Paused.
func (m *Machine) StateText(paused bool) string {
	switch {
	case m.Overdue:
		return "overdue"
	case paused && m.State == Requested:
		return "held"
	}
	return m.State.String()
}

// setState changes a machine's state. now and index are the ledger's time and index.
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
