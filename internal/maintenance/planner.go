package maintenance

import (
	"maps"

	"marblespan/internal/clock"
)

// Planner makes the ledger's leader's decisions. It remembers only since when machines that have returned are healthy: another
// leader begins to count anew.
type Planner struct {
	healthySince map[uint64]clock.Micros // by the machine's ID
}

// Clone is a deep copy of the planner.
func (p *Planner) Clone() *Planner {
	c := &Planner{healthySince: map[uint64]clock.Micros{}}
	maps.Copy(c.healthySince, p.healthySince)
	return c
}

// Waits are the texts of the reasons for which machines wait, by the machine's ID.
type Waits map[uint64]string

// note keeps a reason, where there is one.
func (w Waits) note(id uint64, r Reason) {
	if r.exists() {
		w[id] = r.String()
	}
}

// Listing is an order as its leader sees it.
type Listing struct {
	Order  *Order
	Waits  Waits
	Leader string       // empty: the leader has not answered, and the order is what is known elsewhere
	Now    clock.Micros // by the ledger's time
}

// decision is what becomes of a machine that is in progress.
type decision struct {
	to          State  // its state as it is: it waits
	incarnation uint64 // of a gateway, with a change; 0: as it was
	reason      Reason // what it waits for, or why it is turned back
}

// stay has a machine wait in a state for a reason.
func stay(state State, r Reason) decision { return decision{to: state, reason: r} }

// Plan decides which steps to take next, and tells what all other machines wait for. Machines that are in progress come first; one
// more goes only where none of them has a step to make. The caller has led the ledger since the Planner was made.
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
		if !reason.exists() && len(steps) == 0 { // the machines behind it are evaluated by the order after this step
			steps = append(steps, e.stepToNext(m))
		}
	}
	return steps, waits
}

// forget drops what is remembered of machines that are not returning any more.
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

// decide tells what becomes of a machine that is in progress.
func (p *Planner) decide(e evaluator, m *Machine) decision {
	switch m.State {
	case Next:
		return e.next(m)
	case Draining:
		return e.draining(m)
	}
	return p.away(e, m)
}

// away tells what becomes of a machine that is out, or on its way back.
func (p *Planner) away(e evaluator, m *Machine) decision {
	if m.Kind == Server {
		return p.serverAway(e, m)
	}
	return p.gatewayAway(e, m)
}

// gatewayAway tells what becomes of a gateway that is out, or on its way back: a later incarnation of it is its return.
func (p *Planner) gatewayAway(e evaluator, m *Machine) decision {
	g := e.view.gateway(m.Name)
	if m.State == Out {
		if g.isThere() && g.Incarnation > m.Incarnation {
			return decision{to: Returning, incarnation: g.Incarnation}
		}
		return stay(Out, because(Work))
	}
	switch {
	case g != nil && (g.Presence == Dead || g.Presence == Left):
		return stay(Out, because(Return))
	case !g.isThere():
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

// serverAway tells what becomes of a server that is out, or on its way back.
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

// settle counts for how long a machine that returned has been healthy; it is back after SettleTime without a break. A reason tells
// why it is not healthy now.
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
