package maintenance

import (
	"fmt"

	"marblespan/internal/clock"
)

// Kind is a kind of machine. Its numeric values are on the wire and on disk.
type Kind uint8

// The kinds of machines; Kinds is the number of kinds.
const (
	Gateway Kind = iota
	Server
	Kinds
)

// String returns the name of the kind.
func (k Kind) String() string { return [Kinds]string{"gateway", "server"}[k%Kinds] }

// State is the progress of a machine's maintenance. Its numeric values are on the wire and on disk.
type State uint8

// The states of a machine; States is the number of states. A machine is active in all states before Back.
const (
	Requested State = iota // the machine waits for its turn
	Next                   // the machine is next; if it will be out for long, its shards are migrated first
	Draining               // the machine takes no new work and finishes what is in flight
	Out                    // the machine is out of service and may be worked on
	Returning              // the machine is running again and has to stay healthy for a while
	Back                   // the maintenance is finished
	Canceled               // an operator has canceled the maintenance
	States
)

// stateNames are the names that operators see. They differ from the constants' names because the texts are older and must not
// change.
var stateNames = [States]string{"asked", "next", "leaving", "out", "returning", "back", "dropped"}

// String returns the name of the state that operators see.
func (s State) String() string { return stateNames[s%States] }

// Machine is one machine in the order.
type Machine struct {
	ID          uint64 // unique; ascends in the order of the requests
	Kind        Kind
	Name        string
	Group       int    // a server's replication group
	Zone        string // a gateway's zone; set when the gateway becomes Next
	State       State
	Revision    uint32       // number of changes of state
	ChangeIndex uint64       // the ledger's index at the last change of state
	Since       clock.Micros // the ledger's time at the last change of state
	OutSince    clock.Micros // when the machine last went from Draining to Out
	Duration    clock.Micros // how long the work may take
	Incarnation uint64       // the incarnation of a gateway that drains or that has returned
	Comment     string       // the operator's comment
	RequestedBy string       // the gateway that received the operator's request
	Overdue     bool         // the machine is out of service for longer than allowed
	// Overridden is set by an operator's Resume command, or when ExcuseAfter has passed. A machine that is both overdue and
	// overridden no longer counts against the limits on machines out of service. Only machines that share a shard or a group
	// with such a machine still wait for it.
	Overridden bool
}

// active reports whether the maintenance of the machine has not ended yet.
func (m *Machine) active() bool { return m.State < Back }

// inProgress reports whether the machine is out of service or about to be.
func (m *Machine) inProgress() bool { return m.State > Requested && m.State < Back }

// occupiesPlace reports whether the machine counts against the limits on machines out of service.
func (m *Machine) occupiesPlace() bool { return m.inProgress() && !(m.Overdue && m.Overridden) }

// Cordoned reports whether the machine gets no new work: a cordoned gateway admits no new requests, and gateways send no new
// requests to a cordoned server.
func (m *Machine) Cordoned() bool { return m.State == Draining || m.State == Out }

// Label returns the name that identifies the machine to operators.
func (m *Machine) Label() string {
	if m.Kind == Server {
		return fmt.Sprintf("%s of group %d", m.Name, m.Group)
	}
	return m.Name
}

// StateText returns the machine's state as operators see it. paused is Order.Paused.
func (m *Machine) StateText(paused bool) string {
	switch {
	case m.Overdue:
		return "overdue"
	case paused && m.State == Requested:
		return "held"
	}
	return m.State.String()
}

// setState changes the machine's state. now and index are the ledger's time and index.
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
