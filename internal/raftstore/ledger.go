package raftstore

import (
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// ledger is the state machine of the ledger: which stores exist, and which groups have members on them. The ledger's leader
// plans the changes (planner.plan). Each change is checked again when it is applied: a change that no longer fits the state has no
// effect.
type ledger struct {
	*api.Ledger
	notices []Notice // caused by the last applied entry
}

func newLedger() *ledger { return &ledger{Ledger: &api.Ledger{}} }

func (l *ledger) time() clock.Micros { return clock.Micros(l.Time) }

func (l *ledger) snapshot() []byte {
	b, _ := proto.Marshal(l.Ledger) // cannot fail, because names are validated when they are received
	return b
}

func (l *ledger) restore(b []byte) error {
	var in api.Ledger
	if err := proto.Unmarshal(b, &in); err != nil {
		return err
	}
	l.Ledger = &in
	return nil
}

func (l *ledger) apply(index uint64, e *api.Entry) (out []*api.Reply) {
	l.Time = max(l.Time, e.Time)
	l.notices = nil
	before := proto.Clone(l.Ledger)
	for _, c := range e.Commands {
		r := &api.Reply{Time: l.Time}
		switch {
		case c.Change.GetMaintenanceCommand() != nil || c.Change.GetMaintenanceStep() != nil:
			status, text := l.applyMaintenance(index, c)
			r.Status, r.Value = uint32(status), []byte(text)
		case c.Change != nil:
			l.applyChange(c.Change)
		}
		out = append(out, r)
	}
	before.(*api.Ledger).Time = l.Time
	if !proto.Equal(before, l.Ledger) {
		l.Index = index // a ledger with this index contains all changes so far
	}
	return out
}

// newBootstrappedLedger returns the ledger of a new state store. Its first store has the only voter of every group; more voters are
// added as stores join.
func newBootstrappedLedger(f *api.Bootstrap) *ledger {
	l := newLedger()
	l.ClusterId, l.VotersPerGroup, l.Index, l.NextMember = f.ClusterId, f.VotersPerGroup, 1, 1
	l.Stores = []*api.Store{f.Store}
	for range f.Shards + 1 {
		n := l.allocateMember()
		g := &api.Group{Epoch: 1, Voters: []*api.GroupMember{{Id: n, Store: f.Store.Id, Incarnation: f.Incarnation}}, FirstMember: n}
		if !f.First {
			g.LostAt = 1
		}
		l.Groups = append(l.Groups, g)
	}
	return l
}

// allocateMember returns a member number that was never used before.
func (l *ledger) allocateMember() uint64 {
	l.NextMember++
	return l.NextMember - 1
}

func (l *ledger) store(number uint64) *api.Store { return findStore(l.Ledger, number) }

// findStore returns the store with the given number, or nil if there is none.
func findStore(l *api.Ledger, number uint64) *api.Store {
	for _, s := range l.GetStores() {
		if s.Id == number {
			return s
		}
	}
	return nil
}

// group returns the group with the given number if the group is in the given epoch, or else nil.
func (l *ledger) group(number, epoch uint32) *api.Group {
	if g := findGroup(l.Ledger, number); g != nil && g.Epoch == epoch {
		return g
	}
	return nil
}

// findGroup returns the group with the given number, or nil if there is none.
func findGroup(l *api.Ledger, number uint32) *api.Group {
	if int(number) < len(l.GetGroups()) {
		return l.Groups[number]
	}
	return nil
}

func (l *ledger) addNotice(kind NoticeKind, group, epoch uint32, number uint64, name string) {
	l.notices = append(l.notices, Notice{Kind: kind, Group: group, Epoch: epoch, Number: number, Name: name})
}

// applyChange applies a change if it fits the state.
func (l *ledger) applyChange(c *api.Change) {
	switch {
	case c.JoinStore != nil:
		l.joinStore(c.JoinStore)
	case c.RemoveStore != 0:
		l.removeStore(c.RemoveStore)
	case c.AddMember != nil:
		l.addMember(c.AddMember)
	case c.SetVoters != nil:
		l.setVoters(c.SetVoters)
	case c.ResetGroup != nil:
		l.resetGroup(c.ResetGroup)
	case c.MarkStale != nil:
		l.markStale(c.MarkStale)
	case c.RaiseFormat > l.Format && c.RaiseFormat <= commonFormat(l.Ledger):
		l.Format = c.RaiseFormat
		l.addNotice(NoticeFormatRaised, 0, 0, uint64(c.RaiseFormat), "")
	}
}

// joinStore adds a store, or updates the properties that its gateway reports. A gateway has only one store. If a gateway joins
// with a different store, its earlier store counts as lost.
func (l *ledger) joinStore(s *api.Store) {
	if known := l.store(s.Id); known != nil {
		if !known.Removed && known.Name == s.Name {
			known.Zone, known.Weight, known.Format = s.Zone, s.Weight, s.Format
		}
		return
	}
	if s.Format < l.Format {
		return // the store could not read the records
	}
	for _, other := range l.Stores {
		if other.Name == s.Name {
			l.removeStore(other.Id)
		}
	}
	l.pruneStores()
	l.Stores = append(l.Stores, &api.Store{Id: s.Id, Name: s.Name, Zone: s.Zone, Weight: s.Weight, Format: s.Format})
	l.addNotice(NoticeStoreJoined, 0, 0, s.Id, s.Name)
}

// removeStore records that a store is permanently lost.
func (l *ledger) removeStore(number uint64) {
	if s := l.store(number); s != nil && !s.Removed {
		s.Removed = true
		l.addNotice(NoticeStoreRemoved, 0, 0, number, s.Name)
	}
}

// pruneStores deletes removed stores that no group refers to any more.
func (l *ledger) pruneStores() {
	referenced := map[uint64]bool{}
	for _, g := range l.Groups {
		for _, r := range groupMembers(g) {
			referenced[r.Store] = true
		}
	}
	l.Stores = slices.DeleteFunc(l.Stores, func(s *api.Store) bool { return s.Removed && !referenced[s.Id] })
}

// groupMembers returns all members of a group, including a member that is being added.
func groupMembers(g *api.Group) []*api.GroupMember {
	all := slices.Clone(g.Voters)
	if g.Adding != nil {
		all = append(all, g.Adding)
	}
	return all
}

// hasMember reports whether a group has a member with the given number, including a member that is being added.
func hasMember(g *api.Group, number uint64) bool {
	return slices.ContainsFunc(groupMembers(g), func(m *api.GroupMember) bool { return m.Id == number })
}

// addMember records that a group is to add a member. If the group is complete, the new member takes another member's place.
func (l *ledger) addMember(a *api.AddMember) {
	g, s := l.group(a.Group, a.Epoch), l.store(a.Store)
	if g == nil || s == nil || s.Removed {
		return
	}
	replaces := slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Id == a.Removing })
	full := len(g.Voters) >= int(l.VotersPerGroup)
	if replaces != (a.Removing != 0) || full != replaces {
		return // an incomplete group only adds members, a complete group only replaces members
	}
	if slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Store == a.Store && !(r.Stale && r.Id == a.Removing) }) {
		return
	}
	g.Adding, g.Removing = &api.GroupMember{Id: l.allocateMember(), Store: a.Store, Incarnation: a.Incarnation}, a.Removing
	l.addNotice(NoticeMemberAssigned, a.Group, a.Epoch, g.Adding.Id, s.Name)
}

// markStale records that a member must not run again.
func (l *ledger) markStale(x *api.MemberRef) {
	if g := l.group(x.Group, x.Epoch); g != nil {
		for _, r := range groupMembers(g) {
			if r.Id == x.Member {
				r.Stale = true
			}
		}
	}
}

// setVoters records that a group has carried out its pending change. It has no effect unless the reported voters are exactly those
// that the group is to have after the change.
func (l *ledger) setVoters(s *api.SetVoters) {
	g := l.group(s.Group, s.Epoch)
	if g == nil || g.Adding == nil {
		return
	}
	var next []*api.GroupMember
	for _, r := range groupMembers(g) {
		if r.Id != g.Removing {
			next = append(next, r)
		}
	}
	if len(next) != len(s.Voters) {
		return
	}
	for _, r := range next {
		if !slices.Contains(s.Voters, r.Id) {
			return
		}
	}
	g.Voters, g.Adding, g.Removing = next, nil, 0
	l.addNotice(NoticeVotersChanged, s.Group, s.Epoch, 0, "")
}

// resetGroup restarts a group empty in its next epoch. The records of the previous epoch are lost, and LostAt is set to the
// time of the reset. Unless the reset is forced, resetGroup has no effect on a group that still has its quorum.
func (l *ledger) resetGroup(r *api.ResetGroup) {
	g, s := l.group(r.Group, r.Epoch), l.store(r.Store)
	if g == nil || s == nil || s.Removed || r.Group == LedgerGroup || !r.Forced && !quorumLost(l.Ledger, g) {
		return
	}
	l.addNotice(NoticeGroupLost, r.Group, g.Epoch, 0, s.Name)
	g.Epoch++
	n := l.allocateMember()
	g.Voters, g.Adding, g.Removing, g.FirstMember = []*api.GroupMember{{Id: n, Store: r.Store, Incarnation: r.Incarnation}}, nil, 0, n
	g.LostAt = max(l.Time, 1)
}

// quorumLost reports whether so many of a group's voters are permanently lost that the remaining ones are not a majority.
func quorumLost(l *api.Ledger, g *api.Group) bool {
	left := 0
	for _, r := range g.Voters {
		if !memberLost(l, r) {
			left++
		}
	}
	return left < len(g.Voters)/2+1
}

// memberLost reports whether a member is permanently lost.
func memberLost(l *api.Ledger, r *api.GroupMember) bool {
	s := findStore(l, r.Store)
	return r.Stale || s == nil || s.Removed
}
