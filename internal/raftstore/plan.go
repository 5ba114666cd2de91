package raftstore

import (
	"cmp"
	"slices"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// The spans by which the ledger's leader judges, in ticks: a holder that announced itself within freshFor can take replicas; one
// change of placement that is not needed follows another after calmFor.
const (
	announceEvery = 5
	freshFor      = 3 * announceEvery
	calmFor       = 20
)

// facts are what the ledger's leader has heard beside the ledger.
type facts struct {
	now     clock.Micros
	since   clock.Micros                // since it leads
	heard   map[uint64]clock.Micros     // last word of each store
	lives   map[uint64]uint64           // its life, by that word
	reports map[uint32]*api.GroupReport // of each group's leader, the latest
	told    map[uint32]clock.Micros     // when that came
	changed clock.Micros                // when the ledger last changed
}

// planner decides who holds what. It keeps nothing: what it has decided is in the ledger.
type planner struct {
	*api.Ledger
	facts
	tick, healAfter clock.Micros
	healAtOnce      int
	out             []*api.Change
}

// plan is what is to be changed now. None of it rests on a holder's silence alone but what healAfter allows.
func (p planner) plan() []*api.Change {
	moving := 0
	for number, g := range p.Groups {
		p.settle(uint32(number), g)
		if g.Adding != nil && g.Removing != 0 {
			moving++
		}
	}
	if len(p.out) > 0 {
		return p.out // what follows is judged on the ledger after it
	}
	for number, g := range p.Groups {
		p.heal(uint32(number), g, &moving)
	}
	if len(p.out) == 0 && moving == 0 {
		p.drift()
	}
	if f := understood(p.Ledger); f > max(p.Format, FirstFormat) {
		p.out = append(p.out, &api.Change{RaiseFormat: f})
	}
	return p.out
}

// understood is the latest format of records that all holders understand.
func understood(l *api.Ledger) uint32 {
	least := uint32(0)
	for _, s := range l.Stores {
		if f := max(s.Format, FirstFormat); !s.Removed && (least == 0 || f < least) { // the first versions name none
			least = f
		}
	}
	return least
}

// target is what a group's voters are to be once what is assigned is carried out.
func target(g *api.Group) (out []uint64) {
	for _, r := range replicas(g) {
		if r.Id != g.Removing {
			out = append(out, r.Id)
		}
	}
	slices.Sort(out)
	return out
}

// settle takes over what a group reports to have carried out.
func (p *planner) settle(number uint32, g *api.Group) {
	r := p.reports[number]
	if g.Adding == nil || r == nil || r.Epoch != g.Epoch || r.Joint {
		return
	}
	voters := slices.Sorted(slices.Values(r.Voters))
	if slices.Equal(voters, target(g)) {
		p.out = append(p.out, &api.Change{SetVoters: &api.SetVoters{Group: number, Epoch: g.Epoch, Voters: voters}})
	}
}

// silent tells whether a store's holder has said nothing for so long.
func (p *planner) silent(store uint64, span clock.Micros) bool {
	return p.now-max(p.heard[store], p.since) > span
}

// fresh lists the stores that can take replicas now.
func (p *planner) fresh() (out []*api.Store) {
	for _, s := range p.Stores {
		if _, apart := awayFor(p.Ledger, s.Name); apart {
			continue // it is about to be out for work, or is
		}
		if at, heard := p.heard[s.Id]; !s.Removed && heard && p.now-at <= freshFor*p.tick {
			out = append(out, s)
		}
	}
	return out
}

// away tells whether a replica has to be replaced: also before its machine is out for longer than a silent one is waited for.
func (p *planner) away(r *api.GroupMember) bool {
	if s := storeIn(p.Ledger, r.Store); s != nil {
		if span, apart := awayFor(p.Ledger, s.Name); apart && span > p.healAfter {
			return true
		}
	}
	return lostIn(p.Ledger, r) || p.silent(r.Store, p.healAfter)
}

// heal gives a group the holders that it lacks.
func (p *planner) heal(number uint32, g *api.Group, moving *int) {
	if beyond(p.Ledger, g) {
		if number == LedgerGroup {
			return // whoever decides here has a quorum of it
		}
		if all := place(number, p.fresh(), 1); len(all) > 0 {
			p.out = append(p.out, &api.Change{ResetGroup: &api.ResetGroup{Group: number, Epoch: g.Epoch, Store: all[0].Id, Incarnation: p.lives[all[0].Id]}})
		}
		return
	}
	leaving := uint64(0)
	switch {
	case g.Adding != nil && !p.away(g.Adding):
		return
	case g.Adding != nil:
		leaving = g.Removing // another one in its place
	case len(g.Voters) >= int(p.VotersPerGroup):
		// A replica that is lost goes before one that is only silent.
		for _, lost := range []bool{true, false} {
			for _, r := range g.Voters {
				if leaving == 0 && p.away(r) && lostIn(p.Ledger, r) == lost {
					leaving = r.Id
				}
			}
		}
		if leaving == 0 || *moving >= p.healAtOnce {
			return
		}
		*moving++
	}
	if s := p.pick(number, g, leaving); s != nil {
		p.out = append(p.out, &api.Change{AddMember: &api.AddMember{Group: number, Epoch: g.Epoch, Store: s.Id, Removing: leaving, Incarnation: p.lives[s.Id]}})
	}
}

// pick is the best fresh store for a group's next replica: of a zone that has the fewest, then by score.
func (p *planner) pick(number uint32, g *api.Group, leaving uint64) (best *api.Store) {
	zones, taken := map[string]int{}, map[uint64]bool{}
	for _, r := range g.Voters {
		if r.Id == leaving && r.Stale {
			continue // its gateway is there, and may have another one
		}
		taken[r.Store] = true
		if r.Id == leaving {
			continue
		}
		if s := storeIn(p.Ledger, r.Store); s != nil {
			zones[s.Zone]++
		}
	}
	for _, s := range p.fresh() {
		if !taken[s.Id] && (best == nil || cmp.Or(cmp.Compare(zones[s.Zone], zones[best.Zone]), -cmp.Compare(score(number, s), score(number, best))) < 0) {
			best = s
		}
	}
	return best
}

// drift moves one replica to where it belongs, once all is whole, everybody is there and nothing has changed for a while.
func (p *planner) drift() {
	if p.now-p.changed < calmFor*p.tick {
		return
	}
	stores := p.fresh()
	for _, s := range p.Stores {
		if !s.Removed && !slices.Contains(stores, s) {
			return
		}
	}
	for number, g := range p.Groups {
		if g.Adding != nil || len(g.Voters) < int(p.VotersPerGroup) {
			return
		}
		ideal := place(uint32(number), stores, int(p.VotersPerGroup))
		in := func(store uint64) bool {
			return slices.ContainsFunc(ideal, func(s *api.Store) bool { return s.Id == store })
		}
		for _, r := range g.Voters {
			if in(r.Store) {
				continue
			}
			for _, s := range ideal {
				if !slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Store == s.Id }) {
					p.out = append(p.out, &api.Change{AddMember: &api.AddMember{
						Group: uint32(number), Epoch: g.Epoch, Store: s.Id, Removing: r.Id, Incarnation: p.lives[s.Id],
					}})
					return
				}
			}
		}
	}
}
