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

// chain has neighbours share a shard each.
var chainedShards = []ShardStatus{{Hosts: []string{"a", "b"}, Complete: true}, {Hosts: []string{"b", "c"}, Complete: true}}

// gatewayModel is one gateway: what runs there and what it knows.
type gatewayModel struct {
	up, hasRequest  bool
	inFlightAt      [2]bool // it has a request in flight at a server
	incarnation     uint64
	order           *Order // as it knows it
	ledgerIndex     uint64
	reportInTransit *GatewayStatus // to the leader
}

// eventBudget is how often each event may still happen.
type eventBudget struct{ crash, falseSuspicion, leaderChange, duplicate, delay, staleStep, leave, pause, cancel, override, promote, restart int }

// proposal is an entry for the log: a step or a command.
type proposal struct {
	step    *Step
	command *Command
	session ClientSession
	applied int
}

// cluster is one state of the model: the ledger's log as it is applied, three gateways, one of which leads, two servers and an
// operator.
type cluster struct {
	now          clock.Micros
	index        uint64
	order        *Order
	gateways     [3]gatewayModel
	leader       int
	planner      *Planner
	statuses     [3]GatewayStatus
	reported     [3]bool // to this leader
	pending      []proposal
	toRequest    []string // maintenance still to be requested
	lastSequence uint64   // of the operator's commands
	primary      int
	budget       eventBudget
	violation    string
}

// mutant is one fault that is put into the code under test or its environment.
type mutant struct {
	name            string
	caughtBy        string                                         // the arrangement that shows it
	view            func(w *cluster, f *ClusterView)               // what the leader goes by
	step            func(o *Order, s *Step)                        // before it is applied
	shards          func(Shards) Shards                            // by which it is applied
	session         func(a *ClientSession)                         // of a command
	skipsEnrollment bool                                           // gateways serve before they are enrolled
	cordons         func(g *gatewayModel, m *Machine, d bool) bool // whether a gateway takes a machine for cordoned
	report          func(w *cluster, g int, f *GatewayStatus)      // a gateway's report
}

// model is the state machine that is explored: an arrangement of events, with or without a mutant.
type model struct {
	onlyReplica bool // requests go to the replica only, and time stands still
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

// isEnrolled tells whether a gateway is on the roster, as far as it knows.
func (m model) isEnrolled(w *cluster, i int) bool {
	g := &w.gateways[i]
	return g.order.EnrolledIncarnation(names[i]) == g.incarnation || m.mutant != nil && m.mutant.skipsEnrollment
}

// cordoned tells whether a gateway, by what it knows, sends nothing to a machine, or admits nothing new.
func (m model) cordoned(g *gatewayModel, kind Kind, name string) bool {
	x := g.order.Find(kind, name, group)
	d := x != nil && x.Cordoned()
	if m.mutant != nil && m.mutant.cordons != nil && x != nil {
		d = m.mutant.cordons(g, x, d)
	}
	return d
}

// report is what a gateway reports.
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

// plan has the leader decide.
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

// apply applies an entry of the log.
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
		w.violation = "an entry had its effect twice"
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
				return fmt.Errorf("%s and %s are away and share a shard", name, x.Name)
			}
		}
		away = append(away, x.Name)
	}
	switch {
	case gateways > m.limits.MaxGateways:
		return errors.New("more gateways are away than there are places")
	case inGroup > 1:
		return errors.New("two of a group are away")
	}
	for i := range w.order.Machines {
		x := &w.order.Machines[i]
		if x.State != Out || x.Overridden {
			continue
		}
		for k, g := range w.gateways {
			if x.Kind == Gateway && names[k] == x.Name && g.up && g.hasRequest {
				return fmt.Errorf("%s may be touched and has something under way", x.Name)
			}
			if x.Kind == Server && g.up && g.inFlightAt[slices.Index(servers[:], x.Name)] {
				return fmt.Errorf("%s may be touched and %s has something out there", x.Name, names[k])
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

// entries adds the moves by which entries come into the log: at once, later, or at once and once more later.
func (m model) entries(w *cluster, name string, make func(w *cluster) []proposal, add func(string, func(*cluster))) {
	add(name, func(w *cluster) {
		for _, p := range make(w) {
			m.commit(w, p)
		}
	})
	if w.budget.delay > 0 {
		add(name+", late", func(w *cluster) { w.budget.delay--; w.pending = append(w.pending, make(w)...) })
	}
	if w.budget.duplicate > 0 {
		add(name+", and again later", func(w *cluster) {
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
		m.entries(w, "ask for "+name, func(w *cluster) []proposal {
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
		add("an entry comes late", func(w *cluster) {
			p := w.pending[i]
			w.pending = slices.Delete(w.pending, i, i+1)
			m.apply(w, &p)
		})
	}
	for _, x := range w.order.Machines {
		if w.budget.staleStep > 0 && x.State == Requested { // of a leader with another view
			add("a stray step for "+x.Name, func(w *cluster) {
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
		add("time", func(w *cluster) { w.now += testLimits.SettleTime })
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
			add(name+" hears the ledger", func(w *cluster) { w.applyLedger(i) })
		}
		if g.hasRequest {
			add(name+" is done", func(w *cluster) { w.gateways[i].hasRequest = false })
		} else if !m.onlyReplica && m.isEnrolled(w, i) && !m.cordoned(g, Gateway, name) {
			add(name+" takes something", func(w *cluster) { w.gateways[i].hasRequest = true })
		}
		for s, server := range servers {
			if g.inFlightAt[s] {
				add(name+" has its answer from "+server, func(w *cluster) { w.gateways[i].inFlightAt[s] = false })
			} else if (!m.onlyReplica || s == 1) && m.isEnrolled(w, i) && !m.cordoned(g, Server, server) {
				add(name+" sends to "+server, func(w *cluster) { w.gateways[i].inFlightAt[s] = true })
			}
		}
		add(name+" reports", func(w *cluster) { w.gateways[i].reportInTransit = m.report(w, i); w.deliverReport(i) })
		if w.budget.delay > 0 && g.reportInTransit == nil {
			add(name+" reports slowly", func(w *cluster) { w.budget.delay--; w.gateways[i].reportInTransit = m.report(w, i) })
		}
		if w.budget.leave > 0 && !g.hasRequest && g.inFlightAt == [2]bool{} {
			add(name+" is ended", func(w *cluster) { w.budget.leave--; w.gateways[i].up = false; w.statuses[i].Presence = Left })
		}
		if w.budget.crash > 0 {
			add("kill "+name, func(w *cluster) { w.budget.crash--; w.gateways[i].up = false })
		}
		if w.budget.leaderChange > 0 && i != w.leader {
			add(name+" leads", func(w *cluster) {
				w.budget.leaderChange--
				w.makeLeader(i)
			})
		}
		if w.budget.falseSuspicion > 0 && w.statuses[i].Presence == Alive {
			for _, p := range []Presence{Dead, Silent} {
				add(fmt.Sprint(name, " is wrongly ", p), func(w *cluster) { w.budget.falseSuspicion--; w.statuses[i].Presence = p })
			}
		}
		if w.statuses[i].Presence != Alive {
			add(name+" is seen", func(w *cluster) { w.statuses[i].Presence = Alive })
		}
	}
	if !g.up && w.statuses[i].Presence == Alive {
		add(name+" is found dead", func(w *cluster) { w.statuses[i].Presence = Dead })
	}
	if g.reportInTransit != nil {
		add("the leader hears "+name, func(w *cluster) { w.deliverReport(i) })
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
			g.reportInTransit.Presence = Alive // membership tells of the new incarnation
		}
		w.statuses[i], w.reported[i] = *g.reportInTransit, true
	}
	g.reportInTransit = nil
}

// makeLeader has another gateway lead. Of what the last leader knew it has the incarnations, and who is there.
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
			add("work at "+x.Name, func(w *cluster) { w.gateways[i].up = false })
		case x.State == Out && x.Kind == Server:
			m.entries(w, x.Name+" is done", func(w *cluster) []proposal { return []proposal{w.command(command(Done, x.Name))} }, add)
		case x.State == Draining && x.Kind == Gateway && w.budget.restart > 0 && w.gateways[i].up:
			add("restart "+x.Name, func(w *cluster) { w.budget.restart--; w.gateways[i].up = false })
		}
		if x.inProgress() && w.budget.cancel > 0 {
			m.entries(w, "drop "+x.Name, func(w *cluster) []proposal {
				w.budget.cancel--
				w.toRequest = append(w.toRequest, x.Name)
				return []proposal{w.command(command(Cancel, x.Name))}
			}, add)
		}
		if x.State == Draining && x.Kind == Server && w.budget.override > 0 {
			add("go "+x.Name, func(w *cluster) { w.budget.override--; m.commit(w, w.command(command(Resume, x.Name))) })
		}
	}
	if w.budget.pause > 0 {
		m.entries(w, "hold", func(w *cluster) []proposal { w.budget.pause--; return []proposal{w.command(Command{Verb: Pause})} }, add)
	}
	if w.order.Paused {
		add("go", func(w *cluster) { m.commit(w, w.command(Command{Verb: Resume})) })
	}
	if w.budget.promote > 0 {
		add("promote", func(w *cluster) { w.budget.promote--; w.primary = 1 - w.primary })
	}
}

// repair has nothing go wrong from here on, and checks that the maintenance of every machine comes to its end.
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
	return fmt.Errorf("something waits for ever: %s", m.Describe(w))
}
