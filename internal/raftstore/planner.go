package raftstore

import (
	"cmp"
	"slices"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// planner plans the placement from the ledger and the observations of the ledger's leader. It keeps no state between plans.
type planner struct {
	*api.Ledger
	placementObservations
	tick, repairAfter clock.Micros
	maxRepairs        int
	changes           []*api.Change
}

// plan returns the changes to propose now. If a store is silent but not known to be lost, its members are replaced only
// after repairAfter.
func (p planner) plan() []*api.Change {
	replacing := 0
	for number, g := range p.Groups {
		p.confirmVoters(uint32(number), g)
		if g.Adding != nil && g.Removing != 0 {
			replacing++
		}
	}
	if len(p.changes) > 0 {
		return p.changes // plan the rest once the ledger has these changes
	}
	for number, g := range p.Groups {
		p.repair(uint32(number), g, &replacing)
	}
	if len(p.changes) == 0 && replacing == 0 {
		p.rebalance()
	}
	if f := commonFormat(p.Ledger); f > max(p.Format, FirstFormat) {
		p.changes = append(p.changes, &api.Change{RaiseFormat: f})
	}
	return p.changes
}

// commonFormat returns the latest record format that all stores understand.
func commonFormat(l *api.Ledger) uint32 {
	oldest := uint32(0)
	for _, s := range l.Stores {
		if f := max(s.Format, FirstFormat); !s.Removed && (oldest == 0 || f < oldest) { // the first versions report no format
			oldest = f
		}
	}
	return oldest
}

// targetVoters returns the voters that a group is to have once its pending change is done, sorted.
func targetVoters(g *api.Group) (out []uint64) {
	for _, r := range groupMembers(g) {
		if r.Id != g.Removing {
			out = append(out, r.Id)
		}
	}
	slices.Sort(out)
	return out
}

// confirmVoters plans to record in the ledger that a group's pending change is done, if the group's leader has reported this.
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

// isSilent reports whether a store has sent no heartbeat for longer than the given duration. The time before this leader's election
// does not count.
func (p *planner) isSilent(store uint64, duration clock.Micros) bool {
	return p.now-max(p.heartbeatAt[store], p.leaderSince) > duration
}

// freshStores returns the stores that can get members now.
func (p *planner) freshStores() (out []*api.Store) {
	for _, s := range p.Stores {
		if _, cordoned := maintenanceDuration(p.Ledger, s.Name); cordoned {
			continue // the store's machine is out for maintenance, or is about to be
		}
		if at, known := p.heartbeatAt[s.Id]; !s.Removed && known && p.now-at <= freshTicks*p.tick {
			out = append(out, s)
		}
	}
	return out
}

// needsReplacement reports whether a member must be replaced, because the member is permanently lost, its store has been silent for
// too long, or its machine is out, or about to be out, for maintenance for longer than repairAfter.
func (p *planner) needsReplacement(r *api.GroupMember) bool {
	if s := findStore(p.Ledger, r.Store); s != nil {
		if duration, cordoned := maintenanceDuration(p.Ledger, s.Name); cordoned && duration > p.repairAfter {
			return true
		}
	}
	return memberLost(p.Ledger, r) || p.isSilent(r.Store, p.repairAfter)
}

// repair adds a member that a group lacks, or replaces a member. A group that has lost its quorum is reset.
func (p *planner) repair(id uint32, group *api.Group, replacing *int) {
	if quorumLost(p.Ledger, group) {
		if id == LedgerGroup {
			return // the ledger has a quorum, because its leader is running this code
		}
		if reset := p.resetGroup(id, group); reset != nil {
			p.changes = append(p.changes, &api.Change{ResetGroup: reset})
		}
		return
	}
	removing := uint64(0)
	switch {
	case group.Adding != nil && !p.needsReplacement(group.Adding):
		return
	case group.Adding != nil:
		removing = group.Removing // add a member on a different store instead of the store of group.Adding
	case len(group.Voters) >= int(p.VotersPerGroup):
		removing = p.voterToReplace(group)
		if removing == 0 || *replacing >= p.maxRepairs {
			return
		}
		*replacing++
	}
	if s := p.pickStore(id, group, removing); s != nil {
		p.addMember(id, group, s, removing)
	}
}

// resetGroup returns the change that restarts a group on the fresh store that ranks first for it, or nil if there is no fresh
// store.
func (p *planner) resetGroup(id uint32, group *api.Group) *api.ResetGroup {
	stores := placeGroup(id, p.freshStores(), 1)
	if len(stores) == 0 {
		return nil
	}
	return &api.ResetGroup{Group: id, Epoch: group.Epoch, Store: stores[0].Id, Incarnation: p.incarnations[stores[0].Id]}
}

// addMember plans to add a member on a store to a group. If removing is not 0, the new member takes the place of that member.
func (p *planner) addMember(id uint32, group *api.Group, s *api.Store, removing uint64) {
	p.changes = append(p.changes, &api.Change{AddMember: &api.AddMember{
		Group: id, Epoch: group.Epoch, Store: s.Id, Removing: removing, Incarnation: p.incarnations[s.Id],
	}})
}

// voterToReplace returns a voter that must be replaced, or 0 if there is none. Permanently lost voters are replaced first.
func (p *planner) voterToReplace(group *api.Group) uint64 {
	for _, lost := range []bool{true, false} {
		for _, m := range group.Voters {
			if p.needsReplacement(m) && memberLost(p.Ledger, m) == lost {
				return m.Id
			}
		}
	}
	return 0
}

// pickStore returns the best fresh store for a group's next member. The zones with the fewest members of the group come first;
// among the stores of these zones, the store with the highest rendezvous score is the best. pickStore returns nil if no fresh
// store can be used.
func (p *planner) pickStore(id uint32, group *api.Group, removing uint64) (best *api.Store) {
	zones, taken := map[string]int{}, map[uint64]bool{}
	for _, r := range group.Voters {
		if r.Id == removing && r.Stale {
			continue // only the member is stale; its store may get another member
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

// rebalance moves one member to a store that placeGroup prefers, once all groups are complete, all stores are fresh and the ledger
// has not changed for stableTicks.
func (p *planner) rebalance() {
	if p.now-p.ledgerChangedAt < stableTicks*p.tick {
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
		if m, s := misplaced(g.Voters, ideal); m != nil {
			p.addMember(uint32(number), g, s, m.Id)
			return
		}
	}
}

// misplaced returns the first voter that is not on one of the ideal stores, and the first ideal store without a voter. Both are
// nil if there is no such pair.
func misplaced(voters []*api.GroupMember, ideal []*api.Store) (*api.GroupMember, *api.Store) {
	for _, m := range voters {
		if slices.ContainsFunc(ideal, func(s *api.Store) bool { return s.Id == m.Store }) {
			continue
		}
		for _, s := range ideal {
			if !slices.ContainsFunc(voters, func(other *api.GroupMember) bool { return other.Store == s.Id }) {
				return m, s
			}
		}
	}
	return nil, nil
}
