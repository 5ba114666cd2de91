package maintenance

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

var names = [3]string{"a", "b", "c"}

// servers are a primary and a replica of one group.
var servers = [2]string{"p", "r"}

const group = 7

var testLimits = Limits{MaxGateways: 1, MaxPerZone: 1, MaxServers: 1, KeepReady: 1, MaxLoad: 900, SettleTime: 10, ReturnWithin: 200, RepairAfter: 1000}

// chainedShards are shards such that each gateway shares one with its neighbor: a with b, and b with c.
var chainedShards = []ShardStatus{{Hosts: []string{"a", "b"}, Complete: true}, {Hosts: []string{"b", "c"}, Complete: true}}

// gatewayModel is the state of one gateway: what is in flight there and its copy of the order.
type gatewayModel struct {
	up, hasRequest  bool
	inFlightAt      [2]bool // whether it has a request in flight at each server
	incarnation     uint64
	order           *Order // its copy of the order, as of ledgerIndex
	ledgerIndex     uint64
	reportInTransit *GatewayStatus // its report that has not reached the leader yet
}

// eventBudget is how many times each event may still happen.
type eventBudget struct{ crash, falseSuspicion, leaderChange, duplicate, delay, staleStep, leave, pause, cancel, override, promote, restart int }

// proposal is an entry for the ledger's log: a step or a command.
type proposal struct {
	step    *Step
	command *Command
	session ClientSession
	applied int
}

// cluster is one state of the model: the order as applied from the ledger's log, three gateways of which one leads, two servers
// and an operator.
type cluster struct {
	now          clock.Micros
	index        uint64
	order        *Order
	gateways     [3]gatewayModel
	leader       int
	planner      *Planner
	statuses     [3]GatewayStatus // what the leader knows about each gateway
	reported     [3]bool          // whether each gateway has reported to this leader
	pending      []proposal       // entries that are still to be applied
	toRequest    []string         // machines for which maintenance is still to be requested
	lastSequence uint64           // sequence number of the operator's last command
	primary      int
	budget       eventBudget
	violation    string
}

// mutant is a fault that is injected into the code under test or its environment.
type mutant struct {
	name            string
	caughtBy        string                                         // the arrangement whose walks must find the fault
	view            func(w *cluster, f *ClusterView)               // changes the leader's view
	step            func(o *Order, s *Step)                        // changes a step before it is applied
	shards          func(Shards) Shards                            // changes the shards that a step is checked against
	session         func(a *ClientSession)                         // changes the session of a command
	skipsEnrollment bool                                           // gateways serve before they are enrolled
	cordons         func(g *gatewayModel, m *Machine, d bool) bool // returns whether a gateway considers a machine cordoned
	report          func(w *cluster, g int, f *GatewayStatus)      // changes a gateway's report
}

// model is the state machine that is explored: an arrangement of events, with or without a mutant.
type model struct {
	onlyReplica bool // gateways send to the replica only, and time does not pass
	toRequest   []string
	limits      Limits
	budget      eventBudget
	mutant      *mutant
}

func (m model) InitialState() *cluster {
	w := &cluster{order: &Order{}, planner: &Planner{}, toRequest: m.toRequest, budget: m.budget}
	for i := range w.gateways {
		w.order.Roster = append(w.order.Roster, Enrollment{names[i], 1})
		w.gateways[i] = gatewayModel{up: true, incarnation: 1, order: w.order}
	}
	for i := range w.gateways {
		w.gateways[i].reportInTransit = m.report(w, i)
		w.deliverReport(i)
	}
	return w
}

func (w *cluster) clone() *cluster {
	c := *w
	c.planner = w.planner.Clone()
	c.pending, c.toRequest = slices.Clone(w.pending), slices.Clone(w.toRequest)
	return &c
}

func (m model) Key(w *cluster) string {
	text := fmt.Sprint(w.now, w.index, *w.order, w.leader, w.planner.healthySince, w.statuses, w.reported, w.toRequest, w.primary, w.budget, w.violation)
	for _, g := range w.gateways {
		text += fmt.Sprint(g.up, g.hasRequest, g.inFlightAt, g.incarnation, g.ledgerIndex)
		if g.reportInTransit != nil {
			text += fmt.Sprint(*g.reportInTransit)
		}
	}
	for _, p := range w.pending {
		if p.step != nil {
			text += fmt.Sprint(*p.step, p.applied)
		} else {
			text += fmt.Sprint(*p.command, p.session, p.applied)
		}
	}
	return string(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text)))
}

func (m model) Describe(w *cluster) string {
	out := fmt.Sprintf("t=%d i=%d leader %s", w.now, w.index, names[w.leader])
	for _, x := range w.order.Machines {
		out += fmt.Sprintf(" %s:%s/%d", x.Name, x.State, x.Revision)
	}
	for i, g := range w.gateways {
		out += fmt.Sprintf(" | %s/%d up:%v busy:%v in flight at:%v ledger index:%d", names[i], g.incarnation, g.up, g.hasRequest, g.inFlightAt, g.ledgerIndex)
	}
	return out
}

// isEnrolled reports whether a gateway is on the roster in its own copy of the order.
func (m model) isEnrolled(w *cluster, i int) bool {
	g := &w.gateways[i]
	return g.order.EnrolledIncarnation(names[i]) == g.incarnation || m.mutant != nil && m.mutant.skipsEnrollment
}

// cordoned reports whether a machine is cordoned in a gateway's own copy of the order.
func (m model) cordoned(g *gatewayModel, kind Kind, name string) bool {
	x := g.order.Find(kind, name, group)
	d := x != nil && x.Cordoned()
	if m.mutant != nil && m.mutant.cordons != nil && x != nil {
		d = m.mutant.cordons(g, x, d)
	}
	return d
}

// report returns a gateway's report.
func (m model) report(w *cluster, i int) *GatewayStatus {
	g := &w.gateways[i]
	f := &GatewayStatus{Name: names[i], Incarnation: g.incarnation, Report: Report{
		LedgerIndex: g.ledgerIndex, Ready: !m.cordoned(g, Gateway, names[i]) && m.isEnrolled(w, i), Idle: !g.hasRequest && g.inFlightAt == [2]bool{}, Load: 100,
	}}
	for s, name := range servers {
		f.Servers = append(f.Servers, ServerReport{Group: group, Name: name, Primary: s == w.primary})
		if x := g.order.Find(Server, name, group); x != nil && m.cordoned(g, Server, name) && !g.inFlightAt[s] {
			f.Quiesced = append(f.Quiesced, x.ID)
		}
	}
	if m.mutant != nil && m.mutant.report != nil {
		m.mutant.report(w, i, f)
	}
	return f
}

// plan returns the steps that the leader decides on.
func (m model) plan(w *cluster) []Step {
	f := &ClusterView{Now: w.now, AllReported: true, Gateways: slices.Clone(w.statuses[:]), Shards: chainedShards}
	for i := range f.Gateways {
		f.Gateways[i].Name = names[i]
		if !w.reported[i] && f.Gateways[i].Presence == Alive {
			f.Gateways[i].Presence, f.AllReported = Silent, false
		}
	}
	if m.mutant != nil && m.mutant.view != nil {
		m.mutant.view(w, f)
	}
	steps, _ := w.planner.Plan(w.order, f, m.limits)
	return steps
}

// apply applies an entry of the log to the order.
func (m model) apply(w *cluster, p *proposal) {
	w.index++
	next := w.order.Clone()
	effect := false
	if p.step != nil {
		s, shards := *p.step, Shards(&ClusterView{Shards: chainedShards})
		if m.mutant != nil && m.mutant.step != nil {
			m.mutant.step(next, &s)
		}
		if m.mutant != nil && m.mutant.shards != nil {
			shards = m.mutant.shards(shards)
		}
		effect = next.Step(w.now, w.index, s, shards)
	} else {
		session := p.session
		if m.mutant != nil && m.mutant.session != nil {
			m.mutant.session(&session)
		}
		next.Command(w.now, w.index, session, *p.command)
		effect = !reflect.DeepEqual(w.order.Machines, next.Machines) || w.order.Paused != next.Paused
	}
	if effect && p.applied > 0 && w.violation == "" && (p.step == nil || p.step.ID > 0) { // the roster is idempotent
		w.violation = "an entry took effect twice"
	}
	if effect {
		p.applied++
	}
	w.order = next
}

func (m model) CheckInvariant(w *cluster) error {
	if w.violation != "" {
		return errors.New(w.violation)
	}
	gateways, inGroup := 0, 0
	var away []string
	for i := range w.order.Machines {
		x := &w.order.Machines[i]
		if !x.inProgress() {
			continue
		}
		if x.Kind == Server {
			inGroup++
			continue
		}
		if x.occupiesPlace() {
			gateways++
		}
		for _, name := range away {
			if (&ClusterView{Shards: chainedShards}).ShareShard(name, x.Name) {
				return fmt.Errorf("%s and %s are both in progress and share a shard", name, x.Name)
			}
		}
		away = append(away, x.Name)
	}
	switch {
	case gateways > m.limits.MaxGateways:
		return errors.New("more gateways are in progress than the limits allow")
	case inGroup > 1:
		return errors.New("two servers of one group are in progress")
	}
	for i := range w.order.Machines {
		x := &w.order.Machines[i]
		if x.State != Out || x.Overridden {
			continue
		}
		for k, g := range w.gateways {
			if x.Kind == Gateway && names[k] == x.Name && g.up && g.hasRequest {
				return fmt.Errorf("%s is out and still has a request in flight", x.Name)
			}
			if x.Kind == Server && g.up && g.inFlightAt[slices.Index(servers[:], x.Name)] {
				return fmt.Errorf("%s is out and %s still has a request in flight there", x.Name, names[k])
			}
		}
	}
	return nil
}

// commit appends an entry to the log and applies it.
func (m model) commit(w *cluster, p proposal) { m.apply(w, &p) }

func (w *cluster) command(c Command) proposal {
	w.lastSequence++
	return proposal{command: &c, session: ClientSession{Client: 1, Sequence: w.lastSequence}}
}

// entries adds the moves by which entries reach the log: at once, delayed, or at once and a second time later.
func (m model) entries(w *cluster, name string, make func(w *cluster) []proposal, add func(string, func(*cluster))) {
	add(name, func(w *cluster) {
		for _, p := range make(w) {
			m.commit(w, p)
		}
	})
	if w.budget.delay > 0 {
		add(name+", delayed", func(w *cluster) { w.budget.delay--; w.pending = append(w.pending, make(w)...) })
	}
	if w.budget.duplicate > 0 {
		add(name+", and duplicated later", func(w *cluster) {
			w.budget.duplicate--
			for _, p := range make(w) {
				m.apply(w, &p)
				w.pending = append(w.pending, p)
			}
		})
	}
}

func command(v Verb, name string) Command {
	c := Command{Verb: v, Name: name, Group: group, Duration: 200}
	if slices.Contains(servers[:], name) {
		c.Kind = Server
	}
	return c
}

func (m model) Transitions(w *cluster) (all []modelcheck.Transition[*cluster]) {
	add := func(name string, do func(w *cluster)) {
		next := w.clone()
		do(next)
		all = append(all, modelcheck.Transition[*cluster]{Name: name, Next: next})
	}
	for i, name := range w.toRequest {
		m.entries(w, "request maintenance of "+name, func(w *cluster) []proposal {
			w.toRequest = slices.Delete(w.toRequest, i, i+1)
			return []proposal{w.command(command(Add, name))}
		}, add)
	}
	if steps := m.plan(w.clone()); len(steps) > 0 {
		m.entries(w, fmt.Sprint("decide ", steps[0].ID, " ", steps[0].To), func(w *cluster) (out []proposal) {
			for _, s := range m.plan(w) {
				out = append(out, proposal{step: &s})
			}
			return out
		}, add)
	}
	for i := range w.pending {
		add("a delayed entry is applied", func(w *cluster) {
			p := w.pending[i]
			w.pending = slices.Delete(w.pending, i, i+1)
			m.apply(w, &p)
		})
	}
	for _, x := range w.order.Machines {
		if w.budget.staleStep > 0 && x.State == Requested { // a step by a leader with another view of the cluster
			add("a stale step for "+x.Name, func(w *cluster) {
				w.budget.staleStep--
				m.commit(w, proposal{step: &Step{ID: x.ID, Revision: x.Revision, To: Next, MaxGateways: m.limits.MaxGateways, MaxPerZone: m.limits.MaxPerZone, MaxServers: m.limits.MaxServers}})
			})
		}
	}
	for i := range w.gateways {
		m.gatewayMoves(w, i, add)
	}
	m.operatorMoves(w, add)
	if !m.onlyReplica {
		add("time passes", func(w *cluster) { w.now += testLimits.SettleTime })
	}
	return all
}

func (m model) gatewayMoves(w *cluster, i int, add func(string, func(*cluster))) {
	g, name := &w.gateways[i], names[i]
	if !g.up {
		add("start "+name, func(w *cluster) {
			g := &w.gateways[i]
			g.up, g.hasRequest, g.inFlightAt, g.incarnation = true, false, [2]bool{}, g.incarnation+1
		})
	} else {
		if g.ledgerIndex < w.index {
			add(name+" applies the ledger", func(w *cluster) { w.applyLedger(i) })
		}
		if g.hasRequest {
			add(name+" finishes its request", func(w *cluster) { w.gateways[i].hasRequest = false })
		} else if !m.onlyReplica && m.isEnrolled(w, i) && !m.cordoned(g, Gateway, name) {
			add(name+" admits a request", func(w *cluster) { w.gateways[i].hasRequest = true })
		}
		for s, server := range servers {
			if g.inFlightAt[s] {
				add(name+" gets an answer from "+server, func(w *cluster) { w.gateways[i].inFlightAt[s] = false })
			} else if (!m.onlyReplica || s == 1) && m.isEnrolled(w, i) && !m.cordoned(g, Server, server) {
				add(name+" sends to "+server, func(w *cluster) { w.gateways[i].inFlightAt[s] = true })
			}
		}
		add(name+" reports", func(w *cluster) { w.gateways[i].reportInTransit = m.report(w, i); w.deliverReport(i) })
		if w.budget.delay > 0 && g.reportInTransit == nil {
			add(name+" reports slowly", func(w *cluster) { w.budget.delay--; w.gateways[i].reportInTransit = m.report(w, i) })
		}
		if w.budget.leave > 0 && !g.hasRequest && g.inFlightAt == [2]bool{} {
			add(name+" shuts down", func(w *cluster) { w.budget.leave--; w.gateways[i].up = false; w.statuses[i].Presence = Left })
		}
		if w.budget.crash > 0 {
			add("crash of "+name, func(w *cluster) { w.budget.crash--; w.gateways[i].up = false })
		}
		if w.budget.leaderChange > 0 && i != w.leader {
			add(name+" becomes the leader", func(w *cluster) {
				w.budget.leaderChange--
				w.makeLeader(i)
			})
		}
		if w.budget.falseSuspicion > 0 && w.statuses[i].Presence == Alive {
			for _, p := range []Presence{Dead, Silent} {
				add(fmt.Sprint(name, " is falsely given presence ", p), func(w *cluster) { w.budget.falseSuspicion--; w.statuses[i].Presence = p })
			}
		}
		if w.statuses[i].Presence != Alive {
			add(name+" is considered alive", func(w *cluster) { w.statuses[i].Presence = Alive })
		}
	}
	if !g.up && w.statuses[i].Presence == Alive {
		add(name+" is considered dead", func(w *cluster) { w.statuses[i].Presence = Dead })
	}
	if g.reportInTransit != nil {
		add("the leader receives the report of "+name, func(w *cluster) { w.deliverReport(i) })
	}
}

func (w *cluster) applyLedger(i int) {
	g := &w.gateways[i]
	g.order, g.ledgerIndex = w.order, w.index
}

func (w *cluster) deliverReport(i int) {
	g := &w.gateways[i]
	if g.reportInTransit.Incarnation >= w.statuses[i].Incarnation {
		g.reportInTransit.Presence = w.statuses[i].Presence
		if g.reportInTransit.Incarnation > w.statuses[i].Incarnation {
			g.reportInTransit.Presence = Alive // the membership also learns of the new incarnation
		}
		w.statuses[i], w.reported[i] = *g.reportInTransit, true
	}
	g.reportInTransit = nil
}

// makeLeader makes another gateway the leader. Of the former leader's knowledge, the new leader keeps only the incarnations and
// the presence of the gateways.
func (w *cluster) makeLeader(i int) {
	w.leader, w.planner, w.reported = i, &Planner{}, [3]bool{}
	for k := range w.statuses {
		w.statuses[k] = GatewayStatus{Name: names[k], Incarnation: w.statuses[k].Incarnation, Presence: w.statuses[k].Presence}
	}
}

func (m model) operatorMoves(w *cluster, add func(string, func(*cluster))) {
	for _, x := range w.order.Machines {
		i := slices.Index(names[:], x.Name)
		switch {
		case x.State == Out && x.Kind == Gateway && w.gateways[i].up && w.gateways[i].incarnation == x.Incarnation:
			add("maintenance stops "+x.Name, func(w *cluster) { w.gateways[i].up = false })
		case x.State == Out && x.Kind == Server:
			m.entries(w, x.Name+" is reported as done", func(w *cluster) []proposal { return []proposal{w.command(command(Done, x.Name))} }, add)
		case x.State == Draining && x.Kind == Gateway && w.budget.restart > 0 && w.gateways[i].up:
			add("restart "+x.Name, func(w *cluster) { w.budget.restart--; w.gateways[i].up = false })
		}
		if x.inProgress() && w.budget.cancel > 0 {
			m.entries(w, "cancel "+x.Name, func(w *cluster) []proposal {
				w.budget.cancel--
				w.toRequest = append(w.toRequest, x.Name)
				return []proposal{w.command(command(Cancel, x.Name))}
			}, add)
		}
		if x.State == Draining && x.Kind == Server && w.budget.override > 0 {
			add("resume "+x.Name, func(w *cluster) { w.budget.override--; m.commit(w, w.command(command(Resume, x.Name))) })
		}
	}
	if w.budget.pause > 0 {
		m.entries(w, "pause", func(w *cluster) []proposal { w.budget.pause--; return []proposal{w.command(Command{Verb: Pause})} }, add)
	}
	if w.order.Paused {
		add("resume", func(w *cluster) { m.commit(w, w.command(Command{Verb: Resume})) })
	}
	if w.budget.promote > 0 {
		add("promote", func(w *cluster) { w.budget.promote--; w.primary = 1 - w.primary })
	}
}

// repair lets the cluster run without further faults and checks that the maintenance of every machine ends.
func (m model) repair(w *cluster) error {
	w.toRequest = nil
	for range 200 {
		if w.order.Paused {
			w.pending = append(w.pending, w.command(Command{Verb: Resume}))
		}
		for len(w.pending) > 0 {
			p := w.pending[0]
			w.pending = w.pending[1:]
			m.apply(w, &p)
			if err := m.CheckInvariant(w); err != nil {
				return err
			}
		}
		for i := range w.gateways {
			g := &w.gateways[i]
			if !g.up {
				g.up, g.incarnation = true, g.incarnation+1
			}
			g.hasRequest, g.inFlightAt = false, [2]bool{}
			w.applyLedger(i)
			g.reportInTransit = m.report(w, i)
			w.statuses[i].Presence = Alive
			w.deliverReport(i)
		}
		waiting := false
		for _, x := range w.order.Machines {
			if !x.active() {
				continue
			}
			waiting = true
			switch {
			case x.State == Out && x.Kind == Gateway:
				w.gateways[slices.Index(names[:], x.Name)].up = false
			case x.State == Out:
				w.pending = append(w.pending, w.command(command(Done, x.Name)))
			case x.State == Next && x.Kind == Server && x.Name == servers[w.primary]:
				w.primary = 1 - w.primary
			}
		}
		if !waiting {
			return nil
		}
		w.now += testLimits.SettleTime
		for _, s := range m.plan(w) {
			w.pending = append(w.pending, proposal{step: &s})
		}
	}
	return fmt.Errorf("a machine waits forever: %s", m.Describe(w))
}
