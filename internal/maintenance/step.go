package maintenance

import "marblespan/internal/clock"

// Step is a decision of the ledger's leader: a machine's change of state, made for one Revision of it, or a change of the roster.
// Exactly one of the three parts is set: Enroll, Unenroll or Unexcuse; Overdue or Override; or To.
type Step struct {
	ID          uint64 // of the machine
	Revision    uint32 // of the machine when the step was decided
	To          State
	Incarnation uint64 // of a gateway; 0: as it was
	Zone        string // of a gateway, with To Next
	Overdue     bool   // the machine is away for too long; its state stays
	Override    bool   // the others go on without it; its state stays

	Unexcuse string     // a gateway that was excused and is alive again
	Enroll   Enrollment // an incarnation that is to be on the roster
	Unenroll Enrollment // an incarnation that has ended in an orderly way

	// The limits by the leader's operators' file, with To Next.
	MaxGateways, MaxPerZone, MaxServers int
}

// Shards tells who holds which shards, as the ledger has it at the place of its log where a step is applied.
type Shards interface {
	// Complete tells whether every shard that a gateway holds has all its replicas and none on its way.
	Complete(gateway string) bool
	// ShareShard tells whether two gateways hold replicas of the same shard.
	ShareShard(a, b string) bool
}

// Step carries out a leader's decision, as an entry of the ledger with this time and index. It does so only if the machine is still
// the one that the step was made for, and if what must never be violated is kept: no more machines away than there are places, no
// two servers of one group, no two gateways that share a shard, no shard that is incomplete. It tells whether anything has changed.
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
		machine.Zone = s.Zone // also if the check that follows fails: each version of the program has to leave the same order
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

// markOverdue marks a machine as overdue or overridden, and tells whether that is new.
func (m *Machine) markOverdue(s Step) bool {
	before := *m
	m.Overdue = m.Overdue || s.Overdue && (m.State == Out || m.State == Returning)
	m.Overridden = m.Overridden || s.Override && m.Overdue
	return *m != before
}

// shardsPermit tells whether a gateway's shards stay safe if it takes a step: they are complete, and nobody else who holds one goes.
func (o *Order) shardsPermit(m *Machine, s Step, shards Shards) bool {
	if m.Kind != Gateway || s.To != Next && s.To != Draining {
		return true
	}
	return o.sharedShardConflict(m, shards) == nil && shards.Complete(m.Name)
}

// mayFollow tells whether a step may lead from a state to another.
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

// hasPlace tells whether the step's limits leave a place for one more machine.
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

// sharedShardConflict is a gateway that is in progress and shares a shard with a machine; nil: none is.
func (o *Order) sharedShardConflict(m *Machine, shards Shards) *Machine {
	for i := range o.Machines {
		if other := &o.Machines[i]; other.ID != m.ID && other.Kind == Gateway && other.inProgress() && shards.ShareShard(m.Name, other.Name) {
			return other
		}
	}
	return nil
}
