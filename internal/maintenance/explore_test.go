package maintenance

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

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
var chain = []ShardStatus{{Hosts: []string{"a", "b"}, Complete: true}, {Hosts: []string{"b", "c"}, Complete: true}}

// gw is one gateway.
type gw struct {
	up, busy bool
	at       [2]bool // it has something out at a server
	life     uint64
	view     *Order // as it knows it
	seen     uint64
	mail     *GatewayStatus // a report on its way
}

// budget is how often something may happen yet.
type budget struct{ crash, wrong, lead, again, slow, stray, leave, hold, drop, word, promote, restart int }

type proposal struct {
	step    *Step
	command *Command
	asker   ClientSession
	applied int
}

// world is the ledger's log as it is applied, three gateways, one that leads, two servers and an operator.
type world struct {
	now     clock.Micros
	index   uint64
	order   *Order
	gws     [3]gw
	leader  int
	planner *Planner
	facts   [3]GatewayStatus
	known   [3]bool // heard by this leader
	pending []proposal
	asked   []string // still to be asked for
	numbers uint64   // of the operator's commands
	primary int
	left    budget
	broken  string
}

// mutant spoils one thing.
type mutant struct {
	name   string
	by     string                                  // the arrangement that shows it
	facts  func(w *world, f *ClusterView)          // what the leader goes by
	step   func(o *Order, s *Step)                 // before it is applied
	shards func(Shards) Shards                     // by which it is applied
	asker  func(a *ClientSession)                  // of a command
	blind  bool                                    // gateways start on what their disks say
	drains func(g *gw, m *Machine, d bool) bool    // what a gateway makes of a machine
	fact   func(w *world, g int, f *GatewayStatus) // a gateway's report
}

type model struct {
	quiet  bool // nothing is under way but at the replica
	asked  []string
	limits Limits
	left   budget
	mut    *mutant
}

func (m model) Start() *world {
	w := &world{order: &Order{}, planner: &Planner{}, asked: m.asked, left: m.left}
	for i := range w.gws {
		w.order.Roster = append(w.order.Roster, Enrollment{names[i], 1})
		w.gws[i] = gw{up: true, life: 1, view: w.order}
	}
	for i := range w.gws {
		w.gws[i].mail = m.report(w, i)
		w.deliver(i)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.planner = w.planner.Clone()
	c.pending, c.asked = slices.Clone(w.pending), slices.Clone(w.asked)
	return &c
}

func (m model) Key(w *world) string {
	text := fmt.Sprint(w.now, w.index, *w.order, w.leader, w.planner.healthySince, w.facts, w.known, w.asked, w.primary, w.left, w.broken)
	for _, g := range w.gws {
		text += fmt.Sprint(g.up, g.busy, g.at, g.life, g.seen)
		if g.mail != nil {
			text += fmt.Sprint(*g.mail)
		}
	}
	for _, p := range w.pending {
		if p.step != nil {
			text += fmt.Sprint(*p.step, p.applied)
		} else {
			text += fmt.Sprint(*p.command, p.asker, p.applied)
		}
	}
	return string(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text)))
}

func (m model) Show(w *world) string {
	out := fmt.Sprintf("t=%d i=%d leader %s", w.now, w.index, names[w.leader])
	for _, x := range w.order.Machines {
		out += fmt.Sprintf(" %s:%s/%d", x.Name, x.State, x.Revision)
	}
	for i, g := range w.gws {
		out += fmt.Sprintf(" | %s/%d up:%v busy:%v at:%v seen:%d", names[i], g.life, g.up, g.busy, g.at, g.seen)
	}
	return out
}

// serves tells whether a gateway is on the roll, as far as it knows.
func (m model) serves(w *world, i int) bool {
	g := &w.gws[i]
	return g.view.EnrolledIncarnation(names[i]) == g.life || m.mut != nil && m.mut.blind
}

// drained tells whether a gateway, by what it knows, sends nothing to a machine, or takes nothing new.
func (m model) drained(g *gw, kind Kind, name string) bool {
	x := g.view.Find(kind, name, group)
	d := x != nil && x.Cordoned()
	if m.mut != nil && m.mut.drains != nil && x != nil {
		d = m.mut.drains(g, x, d)
	}
	return d
}

// report is what a gateway tells of itself.
func (m model) report(w *world, i int) *GatewayStatus {
	g := &w.gws[i]
	f := &GatewayStatus{Name: names[i], Incarnation: g.life, Report: Report{
		LedgerIndex: g.seen, Ready: !m.drained(g, Gateway, names[i]) && m.serves(w, i), Idle: !g.busy && g.at == [2]bool{}, Load: 100,
	}}
	for s, name := range servers {
		f.Servers = append(f.Servers, ServerReport{Group: group, Name: name, Primary: s == w.primary})
		if x := g.view.Find(Server, name, group); x != nil && m.drained(g, Server, name) && !g.at[s] {
			f.Quiesced = append(f.Quiesced, x.ID)
		}
	}
	if m.mut != nil && m.mut.fact != nil {
		m.mut.fact(w, i, f)
	}
	return f
}

// plan has the leader decide.
func (m model) plan(w *world) []Step {
	f := &ClusterView{Now: w.now, AllReported: true, Gateways: slices.Clone(w.facts[:]), Shards: chain}
	for i := range f.Gateways {
		f.Gateways[i].Name = names[i]
		if !w.known[i] && f.Gateways[i].Presence == Alive {
			f.Gateways[i].Presence, f.AllReported = Silent, false
		}
	}
	if m.mut != nil && m.mut.facts != nil {
		m.mut.facts(w, f)
	}
	steps, _ := w.planner.Plan(w.order, f, m.limits)
	return steps
}

// apply carries out an entry of the log.
func (m model) apply(w *world, p *proposal) {
	w.index++
	next := w.order.Clone()
	effect := false
	if p.step != nil {
		s, shards := *p.step, Shards(&ClusterView{Shards: chain})
		if m.mut != nil && m.mut.step != nil {
			m.mut.step(next, &s)
		}
		if m.mut != nil && m.mut.shards != nil {
			shards = m.mut.shards(shards)
		}
		effect = next.Step(w.now, w.index, s, shards)
	} else {
		asker := p.asker
		if m.mut != nil && m.mut.asker != nil {
			m.mut.asker(&asker)
		}
		next.Command(w.now, w.index, asker, *p.command)
		effect = !reflect.DeepEqual(w.order.Machines, next.Machines) || w.order.Paused != next.Paused
	}
	if effect && p.applied > 0 && w.broken == "" && (p.step == nil || p.step.ID > 0) { // the roll is no worse for it
		w.broken = "an entry had its effect twice"
	}
	if effect {
		p.applied++
	}
	w.order = next
}

func (m model) Check(w *world) error {
	if w.broken != "" {
		return errors.New(w.broken)
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
			if (&ClusterView{Shards: chain}).ShareShard(name, x.Name) {
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
		for k, g := range w.gws {
			if x.Kind == Gateway && names[k] == x.Name && g.up && g.busy {
				return fmt.Errorf("%s may be touched and has something under way", x.Name)
			}
			if x.Kind == Server && g.up && g.at[slices.Index(servers[:], x.Name)] {
				return fmt.Errorf("%s may be touched and %s has something out there", x.Name, names[k])
			}
		}
	}
	return nil
}

// enter puts something into the log.
func (m model) enter(w *world, p proposal) { m.apply(w, &p) }

func (w *world) say(c Command) proposal {
	w.numbers++
	return proposal{command: &c, asker: ClientSession{Client: 1, Sequence: w.numbers}}
}

// entries lets something come into the log: at once, later, or at once and once more later.
func (m model) entries(w *world, name string, make func(w *world) []proposal, add func(string, func(*world))) {
	add(name, func(w *world) {
		for _, p := range make(w) {
			m.enter(w, p)
		}
	})
	if w.left.slow > 0 {
		add(name+", late", func(w *world) { w.left.slow--; w.pending = append(w.pending, make(w)...) })
	}
	if w.left.again > 0 {
		add(name+", and again later", func(w *world) {
			w.left.again--
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

func (m model) Moves(w *world) (all []modelcheck.Move[*world]) {
	add := func(name string, do func(w *world)) {
		next := w.clone()
		do(next)
		all = append(all, modelcheck.Move[*world]{Name: name, To: next})
	}
	for i, name := range w.asked {
		m.entries(w, "ask for "+name, func(w *world) []proposal {
			w.asked = slices.Delete(w.asked, i, i+1)
			return []proposal{w.say(command(Add, name))}
		}, add)
	}
	if steps := m.plan(w.clone()); len(steps) > 0 {
		m.entries(w, fmt.Sprint("decide ", steps[0].ID, " ", steps[0].To), func(w *world) (out []proposal) {
			for _, s := range m.plan(w) {
				out = append(out, proposal{step: &s})
			}
			return out
		}, add)
	}
	for i := range w.pending {
		add("an entry comes late", func(w *world) {
			p := w.pending[i]
			w.pending = slices.Delete(w.pending, i, i+1)
			m.apply(w, &p)
		})
	}
	for _, x := range w.order.Machines {
		if w.left.stray > 0 && x.State == Requested { // of a leader that goes by other facts
			add("a stray step for "+x.Name, func(w *world) {
				w.left.stray--
				m.enter(w, proposal{step: &Step{ID: x.ID, Revision: x.Revision, To: Next, MaxGateways: m.limits.MaxGateways, MaxPerZone: m.limits.MaxPerZone, MaxServers: m.limits.MaxServers}})
			})
		}
	}
	for i := range w.gws {
		m.gatewayMoves(w, i, add)
	}
	m.operatorMoves(w, add)
	if !m.quiet {
		add("time", func(w *world) { w.now += testLimits.SettleTime })
	}
	return all
}

func (m model) gatewayMoves(w *world, i int, add func(string, func(*world))) {
	g, name := &w.gws[i], names[i]
	if !g.up {
		add("start "+name, func(w *world) {
			g := &w.gws[i]
			g.up, g.busy, g.at, g.life = true, false, [2]bool{}, g.life+1
		})
	} else {
		if g.seen < w.index {
			add(name+" hears the ledger", func(w *world) { w.hear(i) })
		}
		if g.busy {
			add(name+" is done", func(w *world) { w.gws[i].busy = false })
		} else if !m.quiet && m.serves(w, i) && !m.drained(g, Gateway, name) {
			add(name+" takes something", func(w *world) { w.gws[i].busy = true })
		}
		for s, server := range servers {
			if g.at[s] {
				add(name+" has its answer from "+server, func(w *world) { w.gws[i].at[s] = false })
			} else if (!m.quiet || s == 1) && m.serves(w, i) && !m.drained(g, Server, server) {
				add(name+" sends to "+server, func(w *world) { w.gws[i].at[s] = true })
			}
		}
		add(name+" reports", func(w *world) { w.gws[i].mail = m.report(w, i); w.deliver(i) })
		if w.left.slow > 0 && g.mail == nil {
			add(name+" reports slowly", func(w *world) { w.left.slow--; w.gws[i].mail = m.report(w, i) })
		}
		if w.left.leave > 0 && !g.busy && g.at == [2]bool{} {
			add(name+" is ended", func(w *world) { w.left.leave--; w.gws[i].up = false; w.facts[i].Presence = Left })
		}
		if w.left.crash > 0 {
			add("kill "+name, func(w *world) { w.left.crash--; w.gws[i].up = false })
		}
		if w.left.lead > 0 && i != w.leader {
			add(name+" leads", func(w *world) {
				w.left.lead--
				w.lead(i)
			})
		}
		if w.left.wrong > 0 && w.facts[i].Presence == Alive {
			for _, p := range []Presence{Dead, Silent} {
				add(fmt.Sprint(name, " is wrongly ", p), func(w *world) { w.left.wrong--; w.facts[i].Presence = p })
			}
		}
		if w.facts[i].Presence != Alive {
			add(name+" is seen", func(w *world) { w.facts[i].Presence = Alive })
		}
	}
	if !g.up && w.facts[i].Presence == Alive {
		add(name+" is found dead", func(w *world) { w.facts[i].Presence = Dead })
	}
	if g.mail != nil {
		add("the leader hears "+name, func(w *world) { w.deliver(i) })
	}
}

func (w *world) hear(i int) {
	g := &w.gws[i]
	g.view, g.seen = w.order, w.index
}

func (w *world) deliver(i int) {
	g := &w.gws[i]
	if g.mail.Incarnation >= w.facts[i].Incarnation {
		g.mail.Presence = w.facts[i].Presence
		if g.mail.Incarnation > w.facts[i].Incarnation {
			g.mail.Presence = Alive // membership tells of the new life
		}
		w.facts[i], w.known[i] = *g.mail, true
	}
	g.mail = nil
}

// lead has another gateway lead: of what the last one had heard it knows the lives, and who is there.
func (w *world) lead(i int) {
	w.leader, w.planner, w.known = i, &Planner{}, [3]bool{}
	for k := range w.facts {
		w.facts[k] = GatewayStatus{Name: names[k], Incarnation: w.facts[k].Incarnation, Presence: w.facts[k].Presence}
	}
}

func (m model) operatorMoves(w *world, add func(string, func(*world))) {
	for _, x := range w.order.Machines {
		i := slices.Index(names[:], x.Name)
		switch {
		case x.State == Out && x.Kind == Gateway && w.gws[i].up && w.gws[i].life == x.Incarnation:
			add("work at "+x.Name, func(w *world) { w.gws[i].up = false })
		case x.State == Out && x.Kind == Server:
			m.entries(w, x.Name+" is done", func(w *world) []proposal { return []proposal{w.say(command(Done, x.Name))} }, add)
		case x.State == Draining && x.Kind == Gateway && w.left.restart > 0 && w.gws[i].up:
			add("restart "+x.Name, func(w *world) { w.left.restart--; w.gws[i].up = false })
		}
		if x.inProgress() && w.left.drop > 0 {
			m.entries(w, "drop "+x.Name, func(w *world) []proposal {
				w.left.drop--
				w.asked = append(w.asked, x.Name)
				return []proposal{w.say(command(Cancel, x.Name))}
			}, add)
		}
		if x.State == Draining && x.Kind == Server && w.left.word > 0 {
			add("go "+x.Name, func(w *world) { w.left.word--; m.enter(w, w.say(command(Resume, x.Name))) })
		}
	}
	if w.left.hold > 0 {
		m.entries(w, "hold", func(w *world) []proposal { w.left.hold--; return []proposal{w.say(Command{Verb: Pause})} }, add)
	}
	if w.order.Paused {
		add("go", func(w *world) { m.enter(w, w.say(Command{Verb: Resume})) })
	}
	if w.left.promote > 0 {
		add("promote", func(w *world) { w.left.promote--; w.primary = 1 - w.primary })
	}
}

// mend has all be well from here on, and tells whether everything comes to its end.
func (m model) mend(w *world) error {
	w.asked = nil
	for range 200 {
		if w.order.Paused {
			w.pending = append(w.pending, w.say(Command{Verb: Resume}))
		}
		for len(w.pending) > 0 {
			p := w.pending[0]
			w.pending = w.pending[1:]
			m.apply(w, &p)
			if err := m.Check(w); err != nil {
				return err
			}
		}
		for i := range w.gws {
			g := &w.gws[i]
			if !g.up {
				g.up, g.life = true, g.life+1
			}
			g.busy, g.at = false, [2]bool{}
			w.hear(i)
			g.mail = m.report(w, i)
			w.facts[i].Presence = Alive
			w.deliver(i)
		}
		waiting := false
		for _, x := range w.order.Machines {
			if !x.active() {
				continue
			}
			waiting = true
			switch {
			case x.State == Out && x.Kind == Gateway:
				w.gws[slices.Index(names[:], x.Name)].up = false
			case x.State == Out:
				w.pending = append(w.pending, w.say(command(Done, x.Name)))
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
	return fmt.Errorf("something waits for ever: %s", m.Show(w))
}

var wide = func() Limits { l := testLimits; l.MaxGateways, l.MaxPerZone, l.MaxServers = 2, 2, 2; return l }()

var arrangements = []struct {
	name string
	model
}{
	{"two gateways", model{asked: []string{"a", "b"}, limits: testLimits, left: budget{crash: 1, lead: 1, slow: 1}}},
	{"two places, and shared shards", model{asked: []string{"a", "b", "c"}, limits: wide, left: budget{stray: 2, again: 1}}},
	{"both servers of a group", model{asked: []string{"r", "p"}, limits: wide, left: budget{stray: 1, promote: 1}}},
	{"a server, a crash and a wrong word", model{quiet: true, asked: []string{"r"}, limits: testLimits, left: budget{crash: 1, wrong: 1}}},
	{"a server, and a gateway that is ended", model{quiet: true, asked: []string{"r"}, limits: testLimits, left: budget{leave: 1}}},
	{"a server, and another leader", model{quiet: true, asked: []string{"r"}, limits: testLimits, left: budget{leave: 1, lead: 1, slow: 1}}},
	{"a gateway, restarted while it leaves", model{asked: []string{"a"}, limits: testLimits, left: budget{restart: 1, lead: 1, slow: 1}}},
	{"hold and drop", model{asked: []string{"a"}, limits: testLimits, left: budget{hold: 1, drop: 1, again: 1, slow: 2}}},
	{"an operator's word", model{asked: []string{"r", "a"}, limits: testLimits, left: budget{word: 1, wrong: 1, crash: 1}}},
	{"everything", model{asked: []string{"a", "p", "b", "r"}, limits: wide,
		left: budget{crash: 2, wrong: 2, lead: 2, again: 2, slow: 3, stray: 2, leave: 1, hold: 1, drop: 1, promote: 2, restart: 1}}},
}

// states bounds a search, walks and moves the runs that are drawn.
const (
	states = 12_000
	walks  = 150
	moves  = 60
)

func TestExplore(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			if r := modelcheck.Run[*world](a.model, modelcheck.Limits{States: states / fewer}); r.Broken != nil {
				t.Fatalf("%d states\n%v", r.States, r.Broken)
			}
		})
	}
}

// walk makes a drawn run, then has all be well.
func walk(m model, seed uint64) error {
	kept := &last{model: m}
	if _, broken := modelcheck.Walk[*world](kept, seed, moves); broken != nil {
		return errors.New(broken.String())
	}
	return m.mend(kept.at.clone())
}

// last is a model that remembers where it was looked at last.
type last struct {
	model
	at *world
}

// Moves has what leads on be drawn oftener.
func (l *last) Moves(w *world) []modelcheck.Move[*world] {
	all := l.model.Moves(w)
	for _, mv := range all {
		if strings.HasPrefix(mv.Name, "decide") && !strings.HasSuffix(mv.Name, "late") {
			all = append(all, mv, mv, mv, mv)
		}
		if strings.HasSuffix(mv.Name, "reports") || strings.HasSuffix(mv.Name, "hears the ledger") {
			all = append(all, mv)
		}
	}
	return all
}

func (l *last) Check(w *world) error { l.at = w; return l.model.Check(w) }

// Runs that go on where the search of all states ends: nothing that must not be comes about, and in the end nobody waits.
func TestWalks(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walks / fewer) {
				if err := walk(a.model, seed); err != nil {
					t.Fatalf("seed %d\n%v", seed, err)
				}
			}
		})
	}
}

// loose sees no shards.
type loose struct{}

func (loose) Complete(string) bool           { return true }
func (loose) ShareShard(string, string) bool { return false }

// all has every gateway's fact spoilt.
func all(do func(w *world, i int, g *GatewayStatus)) func(*world, *ClusterView) {
	return func(w *world, f *ClusterView) {
		for i := range f.Gateways {
			do(w, i, &f.Gateways[i])
		}
	}
}

// presence has the leader take one for another.
func presence(from, to Presence) func(*world, *ClusterView) {
	return all(func(_ *world, _ int, g *GatewayStatus) {
		if g.Presence == from {
			g.Presence = to
		}
	})
}

// Each of these is wrong in one point; the arrangement shows it.
var mutants = []mutant{
	{name: "takes a word from before it was told", by: "two gateways", facts: all(func(_ *world, _ int, g *GatewayStatus) { g.LedgerIndex = 1 << 40 })},
	{name: "does not wait for what is under way", by: "two gateways", facts: all(func(_ *world, _ int, g *GatewayStatus) { g.Idle = true })},
	{name: "carries out a step that was made for another turn", by: "hold and drop", step: func(o *Order, s *Step) {
		if m := o.byID(s.ID); m != nil {
			s.Revision = m.Revision
		}
	}},
	{name: "has more places when it is carried out", by: "two places, and shared shards", step: func(_ *Order, s *Step) { s.MaxGateways, s.MaxPerZone = 9, 9 },
		shards: func(Shards) Shards { return loose{} }},
	{name: "does not see shared shards", by: "two places, and shared shards", shards: func(Shards) Shards { return loose{} }},
	{name: "does not wait for the dead", by: "a server, a crash and a wrong word", facts: presence(Dead, Left)},
	{name: "who has not reported has nothing out", by: "a server, a crash and a wrong word", facts: presence(Silent, Left)},
	{name: "a new leader decides before it has heard anybody", by: "a server, and another leader", facts: func(w *world, f *ClusterView) {
		f.AllReported = true
		for i := range f.Gateways {
			if !w.known[i] {
				f.Gateways[i].Presence = Left
			}
		}
	}},
	{name: "gateways start on what their disks say", by: "a server, and a gateway that is ended", blind: true},
	{name: "gateways take a server for theirs again once it is out", by: "a server, and a gateway that is ended",
		drains: func(_ *gw, m *Machine, d bool) bool { return d && m.State == Draining }},
	{name: "commands count as often as they come", by: "hold and drop", asker: func(a *ClientSession) { *a = ClientSession{} }},
	{name: "servers of one group are strangers", by: "both servers of a group", step: func(o *Order, s *Step) {
		for i := range o.Machines {
			o.Machines[i].Group = i
		}
	}},
	{name: "a gateway says that it is apart while something is out", by: "a server, and a gateway that is ended", fact: func(w *world, i int, f *GatewayStatus) {
		for s, name := range servers {
			if x := w.gws[i].view.Find(Server, name, group); x != nil && x.Cordoned() && w.gws[i].at[s] {
				f.Quiesced = append(f.Quiesced, x.ID)
			}
		}
	}},
	{name: "a returned one is waited for without end", by: "a gateway, restarted while it leaves", facts: all(func(_ *world, _ int, g *GatewayStatus) { g.Ready = false })},
}

func TestMutantsAreCaught(t *testing.T) {
	if fewer > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, a := range arrangements {
				for seed := range uint64(6 * walks) {
					if a.name != mut.by {
						break
					}
					m := a.model
					m.mut = &mut
					if err := walk(m, seed); err != nil {
						lines := strings.Split(strings.TrimSpace(err.Error()), "\n")
						t.Logf("seed %d: %.160s", seed, lines[len(lines)-1])
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
