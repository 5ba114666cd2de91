package maintenance

import (
	"maps"

	"marblespan/internal/clock"
)

// Planner makes the decisions of the ledger's leader. Its only state is the time since which each returning machine has been
// healthy. A new leader has a new Planner, for which each returning machine has to be healthy for the whole SettleTime again.
type Planner struct {
	healthySince map[uint64]clock.Micros // by Machine.ID
}

// Clone returns a deep copy of the planner.
func (p *Planner) Clone() *Planner {
	c := &Planner{healthySince: map[uint64]clock.Micros{}}
	maps.Copy(c.healthySince, p.healthySince)
	return c
}

// Waits maps the ID of each waiting machine to the text of the reason why it waits.
type Waits map[uint64]string

// note records the text of a reason, unless the reason is the zero Reason.
func (w Waits) note(id uint64, r Reason) {
	if r.exists() {
		w[id] = r.String()
	}
}

// Listing is the maintenance order for display to operators, with the ledger leader's reasons why machines wait.
type Listing struct {
	Order  *Order
	Waits  Waits
	Leader string       // empty if the leader has not answered; Order is then the queried gateway's own copy
	Now    clock.Micros // the ledger's time
}

// decision is the next state of a machine that is in progress.
type decision struct {
	to          State  // the present state if the machine waits
	incarnation uint64 // a gateway's new incarnation; 0 if the incarnation does not change
	reason      Reason // what the machine waits for, or why it goes back to an earlier state
}

// stay returns the decision that a machine has to be in the given state; r is the reason why it waits in that state or
// goes back to it.
func stay(state State, r Reason) decision { return decision{to: state, reason: r} }

// Plan decides which steps to take next and returns the reasons why the other machines wait. Machines that are in progress come
// first. A requested machine becomes Next only if there is no other step to take. The caller must have led the ledger without
// interruption since the Planner was created.
func (p *Planner) Plan(order *Order, view *ClusterView, limits Limits) (steps []Step, waits Waits) {
	p.forget(order)
	waits = Waits{}
	e := evaluator{order, view, limits}
	steps = append(e.unexcuseSteps(), e.rosterSteps()...)
	for i := range order.Machines {
		if m := &order.Machines[i]; m.inProgress() {
			d := p.decide(e, m)
			waits.note(m.ID, d.reason)
			if step, due := e.stepFor(m, d); due {
				steps = append(steps, step)
			}
		}
	}
	for i := range order.Machines {
		m := &order.Machines[i]
		if m.State != Requested {
			continue
		}
		reason := e.reasonToWait(m)
		waits.note(m.ID, reason)
		// Only one machine becomes Next at a time, because whether a second machine may be taken out of service depends on the
		// order as the first step leaves it.
		if !reason.exists() && len(steps) == 0 {
			steps = append(steps, e.stepToNext(m))
		}
	}
	return steps, waits
}

// forget deletes the entries of machines that are no longer returning.
func (p *Planner) forget(order *Order) {
	if p.healthySince == nil {
		p.healthySince = map[uint64]clock.Micros{}
	}
	for id := range p.healthySince {
		if m := order.byID(id); m == nil || m.State != Returning {
			delete(p.healthySince, id)
		}
	}
}

// decide returns the decision for a machine that is in progress.
func (p *Planner) decide(e evaluator, m *Machine) decision {
	switch m.State {
	case Next:
		return e.next(m)
	case Draining:
		return e.draining(m)
	}
	return p.away(e, m)
}

// away returns the decision for a machine that is Out or Returning.
func (p *Planner) away(e evaluator, m *Machine) decision {
	if m.Kind == Server {
		return p.serverAway(e, m)
	}
	return p.gatewayAway(e, m)
}

// gatewayAway returns the decision for a gateway that is Out or Returning. The gateway counts as returned when a later
// incarnation of it reports.
func (p *Planner) gatewayAway(e evaluator, m *Machine) decision {
	g := e.view.gateway(m.Name)
	if m.State == Out {
		if g.isReporting() && g.Incarnation > m.Incarnation {
			return decision{to: Returning, incarnation: g.Incarnation}
		}
		return stay(Out, because(Work))
	}
	switch {
	case g != nil && (g.Presence == Dead || g.Presence == Left):
		return stay(Out, because(Return))
	case !g.isReporting():
		return p.settle(e, m, because(AnyReport))
	case g.Incarnation > m.Incarnation:
		return decision{Returning, g.Incarnation, because(Stability)}
	case g.Incarnation < m.Incarnation || g.LedgerIndex < m.ChangeIndex:
		return p.settle(e, m, because(CurrentReport))
	case !g.Ready:
		return p.settle(e, m, because(Readiness))
	case !e.view.Complete(m.Name):
		return p.settle(e, m, because(ShardsRestored))
	}
	return p.settle(e, m, Reason{})
}

// serverAway returns the decision for a server that is Out or Returning.
func (p *Planner) serverAway(e evaluator, m *Machine) decision {
	if m.State == Out {
		return stay(Out, because(ServerWork))
	}
	s, known := e.view.combinedReport(m.Group, m.Name)
	switch {
	case !known:
		return p.settle(e, m, because(EndpointListing))
	case s.Down:
		return p.settle(e, m, because(Answers))
	case s.WarmingUp:
		return p.settle(e, m, because(WarmUp))
	case s.Lagging:
		return p.settle(e, m, because(CatchUp))
	}
	return p.settle(e, m, Reason{})
}

// settle measures how long a returning machine has been healthy. The machine goes to Back after it has been healthy for
// SettleTime without interruption. The argument reason says why the machine is not healthy now, and is the zero Reason if the
// machine is healthy.
func (p *Planner) settle(e evaluator, m *Machine, reason Reason) decision {
	if reason.exists() {
		delete(p.healthySince, m.ID)
		return stay(Returning, reason)
	}
	since, counting := p.healthySince[m.ID]
	if !counting {
		since = e.view.Now
		p.healthySince[m.ID] = since
	}
	if e.view.Now-since < e.limits.SettleTime {
		return stay(Returning, because(Settling))
	}
	return decision{to: Back}
}
