package raftstore

import (
	"cmp"
	"slices"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// planner decides who holds what. It keeps nothing: what it has decided is in the ledger.
type planner struct {
	*api.Ledger
	placementFacts
	tick, repairAfter clock.Micros
	maxRepairs        int
	changes           []*api.Change
}

// plan is what is to be changed now. None of it rests on a holder's silence alone but what healAfter allows.
func (p planner) plan() []*api.Change {
	moving := 0
	for number, g := range p.Groups {
		p.confirmVoters(uint32(number), g)
		if g.Adding != nil && g.Removing != 0 {
			moving++
		}
	}
	if len(p.changes) > 0 {
		return p.changes // what follows is judged on the ledger after it
	}
	for number, g := range p.Groups {
		p.repair(uint32(number), g, &moving)
	}
	if len(p.changes) == 0 && moving == 0 {
		p.rebalance()
	}
	if f := commonFormat(p.Ledger); f > max(p.Format, FirstFormat) {
		p.changes = append(p.changes, &api.Change{RaiseFormat: f})
	}
	return p.changes
}

// understood is the latest format of records that all holders understand.
func commonFormat(l *api.Ledger) uint32 {
	oldest := uint32(0)
	for _, s := range l.Stores {
		if f := max(s.Format, FirstFormat); !s.Removed && (oldest == 0 || f < oldest) { // the first versions name none
			oldest = f
		}
	}
	return oldest
}

// target is what a group's voters are to be once what is assigned is carried out.
func targetVoters(g *api.Group) (out []uint64) {
	for _, r := range groupMembers(g) {
		if r.Id != g.Removing {
			out = append(out, r.Id)
		}
	}
	slices.Sort(out)
	return out
}

// settle takes over what a group reports to have carried out.
func (p *planner) confirmVoters(number uint32, g *api.Group) {
	r := p.groupReports[number]
	if g.Adding == nil || r == nil || r.Epoch != g.Epoch || r.Joint {
		return
	}
	voters := slices.Sorted(slices.Values(r.Voters))
	if slices.Equal(voters, targetVoters(g)) {
		p.changes = append(p.changes, &api.Change{SetVoters: &api.SetVoters{Group: number, Epoch: g.Epoch, Voters: voters}})
	}
}

// silent tells whether a store's holder has said nothing for so long.
func (p *planner) isSilent(store uint64, duration clock.Micros) bool {
	return p.now-max(p.heartbeatAt[store], p.leaderSince) > duration
}

// fresh lists the stores that can take replicas now.
func (p *planner) freshStores() (out []*api.Store) {
	for _, s := range p.Stores {
		if _, apart := maintenanceDuration(p.Ledger, s.Name); apart {
			continue // it is about to be out for work, or is
		}
		if at, known := p.heartbeatAt[s.Id]; !s.Removed && known && p.now-at <= freshTicks*p.tick {
			out = append(out, s)
		}
	}
	return out
}

// away tells whether a replica has to be replaced: also before its machine is out for longer than a silent one is waited for.
func (p *planner) needsReplacement(r *api.GroupMember) bool {
	if s := findStore(p.Ledger, r.Store); s != nil {
		if duration, apart := maintenanceDuration(p.Ledger, s.Name); apart && duration > p.repairAfter {
			return true
		}
	}
	return memberLost(p.Ledger, r) || p.isSilent(r.Store, p.repairAfter)
}

// heal gives a group the holders that it lacks.
func (p *planner) repair(id uint32, group *api.Group, moving *int) {
	if quorumLost(p.Ledger, group) {
		if id == LedgerGroup {
			return // whoever decides here has a quorum of it
		}
		if all := placeGroup(id, p.freshStores(), 1); len(all) > 0 {
			p.changes = append(p.changes, &api.Change{ResetGroup: &api.ResetGroup{Group: id, Epoch: group.Epoch, Store: all[0].Id, Incarnation: p.incarnations[all[0].Id]}})
		}
		return
	}
	removing := uint64(0)
	switch {
	case group.Adding != nil && !p.needsReplacement(group.Adding):
		return
	case group.Adding != nil:
		removing = group.Removing // another one in its place
	case len(group.Voters) >= int(p.VotersPerGroup):
		// A replica that is lost goes before one that is only silent.
		for _, lost := range []bool{true, false} {
			for _, r := range group.Voters {
				if removing == 0 && p.needsReplacement(r) && memberLost(p.Ledger, r) == lost {
					removing = r.Id
				}
			}
		}
		if removing == 0 || *moving >= p.maxRepairs {
			return
		}
		*moving++
	}
	if s := p.pickStore(id, group, removing); s != nil {
		p.changes = append(p.changes, &api.Change{AddMember: &api.AddMember{Group: id, Epoch: group.Epoch, Store: s.Id, Removing: removing, Incarnation: p.incarnations[s.Id]}})
	}
}

// pick is the best fresh store for a group's next replica: of a zone that has the fewest, then by score.
func (p *planner) pickStore(id uint32, group *api.Group, removing uint64) (best *api.Store) {
	zones, taken := map[string]int{}, map[uint64]bool{}
	for _, r := range group.Voters {
		if r.Id == removing && r.Stale {
			continue // its gateway is there, and may have another one
		}
		taken[r.Store] = true
		if r.Id == removing {
			continue
		}
		if s := findStore(p.Ledger, r.Store); s != nil {
			zones[s.Zone]++
		}
	}
	for _, s := range p.freshStores() {
		if !taken[s.Id] && (best == nil || cmp.Or(cmp.Compare(zones[s.Zone], zones[best.Zone]), -cmp.Compare(rendezvousScore(id, s), rendezvousScore(id, best))) < 0) {
			best = s
		}
	}
	return best
}

// drift moves one replica to where it belongs, once all is whole, everybody is there and nothing has changed for a while.
func (p *planner) rebalance() {
	if p.now-p.ledgerChangedAt < calmTicks*p.tick {
		return
	}
	stores := p.freshStores()
	for _, s := range p.Stores {
		if !s.Removed && !slices.Contains(stores, s) {
			return
		}
	}
	for number, g := range p.Groups {
		if g.Adding != nil || len(g.Voters) < int(p.VotersPerGroup) {
			return
		}
		ideal := placeGroup(uint32(number), stores, int(p.VotersPerGroup))
		in := func(store uint64) bool {
			return slices.ContainsFunc(ideal, func(s *api.Store) bool { return s.Id == store })
		}
		for _, r := range g.Voters {
			if in(r.Store) {
				continue
			}
			for _, s := range ideal {
				if !slices.ContainsFunc(g.Voters, func(r *api.GroupMember) bool { return r.Store == s.Id }) {
					p.changes = append(p.changes, &api.Change{AddMember: &api.AddMember{
						Group: uint32(number), Epoch: g.Epoch, Store: s.Id, Removing: r.Id, Incarnation: p.incarnations[s.Id],
					}})
					return
				}
			}
		}
	}
}
