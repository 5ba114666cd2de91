package maintenance

import "marblespan/internal/clock"

// Step is a decision of the ledger's leader: a change of a machine's state, decided for one Revision of the machine, or a change
// of the roster or of the excused gateways. A Step sets exactly one of three parts: To; or Overdue or Override; or Enroll,
// Unenroll or Unexcuse.
type Step struct {
	ID          uint64 // the machine's ID
	Revision    uint32 // the machine's revision when the step was decided
	To          State  // the machine's new state
	Incarnation uint64 // a gateway's new incarnation; 0 if the incarnation does not change
	Zone        string // a gateway's zone; set if To is Next
	Overdue     bool   // the machine is out of service for too long; the machine's state does not change
	Override    bool   // the other machines stop waiting for the machine; the machine's state does not change

	Unexcuse string     // a gateway that was excused and is alive again
	Enroll   Enrollment // an incarnation to put on the roster
	Unenroll Enrollment // an incarnation that has shut down gracefully

	// The limits in the leader's operators' file; set if To is Next.
	MaxGateways, MaxPerZone, MaxServers int
}

// Shards describes which gateways hold which shards, according to the ledger at the index at which a step is applied.
type Shards interface {
	// Complete reports whether every shard that a gateway holds is complete: all its copies exist and none is being moved.
	Complete(gateway string) bool
	// ShareShard reports whether two gateways both hold a copy of the same shard.
	ShareShard(a, b string) bool
}

// Step carries out a decision of the leader, which is an entry of the ledger; now and index are the entry's time and index. It
// reports whether anything has changed. A step for a machine has an effect only if the machine still has the Revision that the
// step was decided for and the safety rules hold: no more machines out of service than the limits allow, no two servers of one
// group, no two gateways that share a shard, and no incomplete shard.
func (o *Order) Step(now clock.Micros, index uint64, s Step, shards Shards) bool {
	switch {
	case s.Enroll.Name != "":
		return o.enroll(s.Enroll)
	case s.Unenroll.Name != "":
		return o.unenroll(s.Unenroll)
	case s.Unexcuse != "":
		return o.unexcuse(s.Unexcuse)
	}
	machine := o.byID(s.ID)
	if machine == nil || machine.Revision != s.Revision || !machine.active() {
		return false
	}
	if s.Overdue || s.Override {
		return machine.markOverdue(s)
	}
	if !mayFollow(machine.State, s.To) {
		return false
	}
	if s.To == Next {
		if o.Paused || !o.hasPlace(machine, s) {
			return false
		}
		machine.Zone = s.Zone // set even if the check below fails: every version of the program must produce the same order
	}
	if !o.shardsPermit(machine, s, shards) {
		return false
	}
	incarnation := machine.Incarnation
	if s.Incarnation != 0 {
		incarnation = s.Incarnation
	}
	machine.setState(now, index, s.To)
	if machine.inProgress() {
		machine.Incarnation = incarnation
	}
	if s.To == Back {
		o.trimDone()
	}
	return true
}

// markOverdue marks the machine as overdue or overridden and reports whether this changed the machine.
func (m *Machine) markOverdue(s Step) bool {
	before := *m
	m.Overdue = m.Overdue || s.Overdue && (m.State == Out || m.State == Returning)
	m.Overridden = m.Overridden || s.Override && m.Overdue
	return *m != before
}

// shardsPermit reports whether the step leaves a gateway's shards safe: all of them are complete, and no other gateway that holds
// one of these shards is in progress. Only steps to Next and Draining are checked.
func (o *Order) shardsPermit(m *Machine, s Step, shards Shards) bool {
	if m.Kind != Gateway || s.To != Next && s.To != Draining {
		return true
	}
	return o.sharedShardConflict(m, shards) == nil && shards.Complete(m.Name)
}

// mayFollow reports whether a step may change a machine's state from one state to another.
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

// hasPlace reports whether the step's limits allow one more machine out of service, and for a server, whether no other server of
// its group is in progress.
func (o *Order) hasPlace(m *Machine, s Step) bool {
	gateways, inZone, servers := 0, 0, 0
	for i := range o.Machines {
		other := &o.Machines[i]
		if other.ID == m.ID {
			continue
		}
		if m.Kind == Server && other.Kind == Server && other.Group == m.Group && other.inProgress() {
			return false
		}
		switch {
		case !other.occupiesPlace():
		case other.Kind == Server:
			servers++
		default:
			gateways++
			if other.Zone == s.Zone {
				inZone++
			}
		}
	}
	if m.Kind == Server {
		return servers < s.MaxServers
	}
	return gateways < s.MaxGateways && inZone < s.MaxPerZone
}

// sharedShardConflict returns another gateway that is in progress and shares a shard with the machine, or nil.
func (o *Order) sharedShardConflict(m *Machine, shards Shards) *Machine {
	for i := range o.Machines {
		if other := &o.Machines[i]; other.ID != m.ID && other.Kind == Gateway && other.inProgress() && shards.ShareShard(m.Name, other.Name) {
			return other
		}
	}
	return nil
}
