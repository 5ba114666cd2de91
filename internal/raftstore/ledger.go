package raftstore

import (
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// ledger is the machine of the ledger: which stores there are, and who holds which group. Its decisions are made in plan, by
// its leader, and are valid by their place in the log: a change that no longer fits what it finds has no effect.
type ledger struct {
	*api.Ledger
	notices []Notice // of the last entry
}

func newLedger() *ledger { return &ledger{Ledger: &api.Ledger{}} }

func (l *ledger) time() clock.Micros { return clock.Micros(l.Time) }

func (l *ledger) snapshot() []byte {
	b, _ := proto.Marshal(l.Ledger) // names are checked when they come in
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
		l.Index = index // whoever knows this index knows all of it
	}
	return out
}

// found is the ledger of a new store: its first holder has every group alone, and others are assigned as they join.
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

// number is a replica's number that was never used before.
func (l *ledger) allocateMember() uint64 {
	l.NextMember++
	return l.NextMember - 1
}

func (l *ledger) store(number uint64) *api.Store { return findStore(l.Ledger, number) }

func findStore(l *api.Ledger, number uint64) *api.Store {
	for _, s := range l.GetStores() {
		if s.Id == number {
			return s
		}
	}
	return nil
}

// group is a group at an epoch; nil: it is in another one.
func (l *ledger) group(number, epoch uint32) *api.Group {
	if g := findGroup(l.Ledger, number); g != nil && g.Epoch == epoch {
		return g
	}
	return nil
}

func findGroup(l *api.Ledger, number uint32) *api.Group {
	if int(number) < len(l.GetGroups()) {
		return l.Groups[number]
	}
	return nil
}

func (l *ledger) addNotice(what NoticeKind, group, epoch uint32, number uint64, name string) {
	l.notices = append(l.notices, Notice{Kind: what, Group: group, Epoch: epoch, Number: number, Name: name})
}

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

// join takes a disk in, or takes over what its gateway tells of itself. A gateway has one disk: with another one the last is
// gone, by its own word.
func (l *ledger) joinStore(s *api.Store) {
	if known := l.store(s.Id); known != nil {
		if !known.Removed && known.Name == s.Name {
			known.Zone, known.Weight, known.Format = s.Zone, s.Weight, s.Format
		}
		return
	}
	if s.Format < l.Format {
		return // it would not understand what it was given
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

func (l *ledger) removeStore(number uint64) {
	if s := l.store(number); s != nil && !s.Removed {
		s.Removed = true
		l.addNotice(NoticeStoreRemoved, 0, 0, number, s.Name)
	}
}

// forget drops disks that are gone and that no group names any more.
func (l *ledger) pruneStores() {
	named := map[uint64]bool{}
	for _, g := range l.Groups {
		for _, r := range groupMembers(g) {
			named[r.Store] = true
		}
	}
	l.Stores = slices.DeleteFunc(l.Stores, func(s *api.Store) bool { return s.Removed && !named[s.Id] })
}

// replicas are all replicas of a group, the one that is taken in among them.
func groupMembers(g *api.Group) []*api.GroupMember {
	all := slices.Clone(g.Voters)
	if g.Adding != nil {
		all = append(all, g.Adding)
	}
	return all
}

func (l *ledger) addMember(a *api.AddMember) {
	g, s := l.group(a.Group, a.Epoch), l.store(a.Store)
	if g == nil || s == nil || s.Removed {
		return
	}
	replaces := slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Id == a.Removing })
	full := len(g.Voters) >= int(l.VotersPerGroup)
	if replaces != (a.Removing != 0) || full != replaces {
		return // the number of voters only grows to what it is to be, and never falls
	}
	if slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Store == a.Store && !(r.Stale && r.Id == a.Removing) }) {
		return
	}
	g.Adding, g.Removing = &api.GroupMember{Id: l.allocateMember(), Store: a.Store, Incarnation: a.Incarnation}, a.Removing
	l.addNotice(NoticeMemberAssigned, a.Group, a.Epoch, g.Adding.Id, s.Name)
}

// spoil notes that a replica must not go on.
func (l *ledger) markStale(x *api.MemberRef) {
	if g := l.group(x.Group, x.Epoch); g != nil {
		for _, r := range groupMembers(g) {
			if r.Id == x.Member {
				r.Stale = true
			}
		}
	}
}

// settle takes over what a group has carried out: the change that was assigned, as a whole.
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

// renew begins a group anew: what it held is lost, and known to be.
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

// beyond tells whether more of a group's voters are gone for good than it can bear.
func quorumLost(l *api.Ledger, g *api.Group) bool {
	left := 0
	for _, r := range g.Voters {
		if !memberLost(l, r) {
			left++
		}
	}
	return left < len(g.Voters)/2+1
}

// lostIn tells whether a replica is lost for good.
func memberLost(l *api.Ledger, r *api.GroupMember) bool {
	s := findStore(l, r.Store)
	return r.Stale || s == nil || s.Removed
}
