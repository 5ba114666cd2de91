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
	notices []Noticed // of the last entry
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
		case c.Change.GetSaid() != nil || c.Change.GetStep() != nil:
			status, text := l.maintain(index, c)
			r.Status, r.Value = uint32(status), []byte(text)
		case c.Change != nil:
			l.change(c.Change)
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
func found(f *api.Found) *ledger {
	l := newLedger()
	l.Founding, l.Copies, l.Index, l.Next = f.Founding, f.Copies, 1, 1
	l.Stores = []*api.Store{f.Store}
	for range f.Shards + 1 {
		n := l.number()
		g := &api.Group{Epoch: 1, Voters: []*api.Replica{{Number: n, Store: f.Store.Number, Life: f.Life}}, Origin: n}
		if !f.First {
			g.Lost = 1
		}
		l.Groups = append(l.Groups, g)
	}
	return l
}

// number is a replica's number that was never used before.
func (l *ledger) number() uint64 {
	l.Next++
	return l.Next - 1
}

func (l *ledger) store(number uint64) *api.Store { return storeIn(l.Ledger, number) }

func storeIn(l *api.Ledger, number uint64) *api.Store {
	for _, s := range l.GetStores() {
		if s.Number == number {
			return s
		}
	}
	return nil
}

// group is a group at an epoch; nil: it is in another one.
func (l *ledger) group(number, epoch uint32) *api.Group {
	if g := groupIn(l.Ledger, number); g != nil && g.Epoch == epoch {
		return g
	}
	return nil
}

func groupIn(l *api.Ledger, number uint32) *api.Group {
	if int(number) < len(l.GetGroups()) {
		return l.Groups[number]
	}
	return nil
}

func (l *ledger) note(what Notice, group, epoch uint32, number uint64, name string) {
	l.notices = append(l.notices, Noticed{What: what, Group: group, Epoch: epoch, Number: number, Name: name})
}

func (l *ledger) change(c *api.Change) {
	switch {
	case c.Join != nil:
		l.join(c.Join)
	case c.Gone != 0:
		l.gone(c.Gone)
	case c.Assign != nil:
		l.assign(c.Assign)
	case c.Settle != nil:
		l.settle(c.Settle)
	case c.Renew != nil:
		l.renew(c.Renew)
	case c.Spoil != nil:
		l.spoil(c.Spoil)
	case c.Format > l.Format && c.Format <= understood(l.Ledger):
		l.Format = c.Format
		l.note(Raised, 0, 0, uint64(c.Format), "")
	}
}

// join takes a disk in, or takes over what its gateway tells of itself. A gateway has one disk: with another one the last is
// gone, by its own word.
func (l *ledger) join(s *api.Store) {
	if known := l.store(s.Number); known != nil {
		if !known.Gone && known.Name == s.Name {
			known.Zone, known.Weight, known.Format = s.Zone, s.Weight, s.Format
		}
		return
	}
	if s.Format < l.Format {
		return // it would not understand what it was given
	}
	for _, other := range l.Stores {
		if other.Name == s.Name {
			l.gone(other.Number)
		}
	}
	l.forget()
	l.Stores = append(l.Stores, &api.Store{Number: s.Number, Name: s.Name, Zone: s.Zone, Weight: s.Weight, Format: s.Format})
	l.note(Joined, 0, 0, s.Number, s.Name)
}

func (l *ledger) gone(number uint64) {
	if s := l.store(number); s != nil && !s.Gone {
		s.Gone = true
		l.note(StoreGone, 0, 0, number, s.Name)
	}
}

// forget drops disks that are gone and that no group names any more.
func (l *ledger) forget() {
	named := map[uint64]bool{}
	for _, g := range l.Groups {
		for _, r := range replicas(g) {
			named[r.Store] = true
		}
	}
	l.Stores = slices.DeleteFunc(l.Stores, func(s *api.Store) bool { return s.Gone && !named[s.Number] })
}

// replicas are all replicas of a group, the one that is taken in among them.
func replicas(g *api.Group) []*api.Replica {
	all := slices.Clone(g.Voters)
	if g.Adding != nil {
		all = append(all, g.Adding)
	}
	return all
}

func (l *ledger) assign(a *api.Assign) {
	g, s := l.group(a.Group, a.Epoch), l.store(a.Store)
	if g == nil || s == nil || s.Gone {
		return
	}
	leaves := slices.ContainsFunc(g.Voters, func(r *api.Replica) bool { return r.Number == a.Leaving })
	whole := len(g.Voters) >= int(l.Copies)
	if leaves != (a.Leaving != 0) || whole != leaves {
		return // the number of voters only grows to what it is to be, and never falls
	}
	if slices.ContainsFunc(g.Voters, func(r *api.Replica) bool { return r.Store == a.Store && !(r.Lost && r.Number == a.Leaving) }) {
		return
	}
	g.Adding, g.Leaving = &api.Replica{Number: l.number(), Store: a.Store, Life: a.Life}, a.Leaving
	l.note(Assigned, a.Group, a.Epoch, g.Adding.Number, s.Name)
}

// spoil notes that a replica must not go on.
func (l *ledger) spoil(x *api.Ref) {
	if g := l.group(x.Group, x.Epoch); g != nil {
		for _, r := range replicas(g) {
			if r.Number == x.Number {
				r.Lost = true
			}
		}
	}
}

// settle takes over what a group has carried out: the change that was assigned, as a whole.
func (l *ledger) settle(s *api.Settle) {
	g := l.group(s.Group, s.Epoch)
	if g == nil || g.Adding == nil {
		return
	}
	var next []*api.Replica
	for _, r := range replicas(g) {
		if r.Number != g.Leaving {
			next = append(next, r)
		}
	}
	if len(next) != len(s.Voters) {
		return
	}
	for _, r := range next {
		if !slices.Contains(s.Voters, r.Number) {
			return
		}
	}
	g.Voters, g.Adding, g.Leaving = next, nil, 0
	l.note(Settled, s.Group, s.Epoch, 0, "")
}

// renew begins a group anew: what it held is lost, and known to be.
func (l *ledger) renew(r *api.Renew) {
	g, s := l.group(r.Group, r.Epoch), l.store(r.Store)
	if g == nil || s == nil || s.Gone || r.Group == LedgerGroup || !r.Word && !beyond(l.Ledger, g) {
		return
	}
	l.note(LostGroup, r.Group, g.Epoch, 0, s.Name)
	g.Epoch++
	n := l.number()
	g.Voters, g.Adding, g.Leaving, g.Origin = []*api.Replica{{Number: n, Store: r.Store, Life: r.Life}}, nil, 0, n
	g.Lost = max(l.Time, 1)
}

// beyond tells whether more of a group's voters are gone for good than it can bear.
func beyond(l *api.Ledger, g *api.Group) bool {
	left := 0
	for _, r := range g.Voters {
		if !lostIn(l, r) {
			left++
		}
	}
	return left < len(g.Voters)/2+1
}

// lostIn tells whether a replica is lost for good.
func lostIn(l *api.Ledger, r *api.Replica) bool {
	s := storeIn(l, r.Store)
	return r.Lost || s == nil || s.Gone
}
