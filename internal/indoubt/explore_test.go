package indoubt

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// The clock of the model, in units that a run has a few hundred of.
const (
	patience = 100
	horizon  = 260
)

var testConfig = Config{SendWindow: 30, PollInterval: 45, OwnerGrace: 20, OutcomeTimeout: 100}

// mutant spoils one thing about a desk.
type mutant struct {
	name   string
	before func(d *Resolver, ev Event) Event
	after  func(d *Resolver, out []Action) []Action
}

// stage is how far an attempt is.
type stage uint8

const (
	chosen    stage = iota // a server is chosen
	asking                 // its last byte may not go out yet
	permitted              // it may, and has not
	inKernel               // it has
	served                 // the server has run it, and answers
	done
)

// attempt is one, and the gateway's life that made it.
type attempt struct {
	gw, life int
	id       uint64
	stage    stage
}

// storeCall is a call of the store that is under way.
type storeCall struct {
	gw, life int
	put      Put
	get      Get
	isPut    bool
	applied  bool
	result   StoreReplied
}

// ask is one time that the client asked.
type ask struct {
	gw, life int
	id       uint64
	marked   bool
	told     bool
	kind     AnswerKind
	value    string
	let      bool // it goes no further here: the client has gone
}

// budget is how often each kind of fault may happen yet.
type budget struct{ asks, crash, cut, loss, word, failover, pause, closing int }

// world is two gateways, the store as its contract has it, a server and a client that asks again.
type world struct {
	now      clock.Micros
	desks    [2]*Resolver
	life     [2]int
	down     [2]bool
	rec      *Intent
	version  uint64
	versions uint64
	lost     bool
	lostAt   clock.Micros
	recAt    clock.Micros
	calls    []storeCall
	attempts []attempt
	looks    []ask // who waits for one
	asks     []ask
	runs     int
	effect   bool // the primary shows it
	left     budget
	broken   string
}

// model is an arrangement.
type model struct {
	policy Policy
	left   budget
	mut    *mutant
}

func (m model) Start() *world {
	w := &world{left: m.left}
	for g := range w.desks {
		m.boot(w, g)
	}
	return w
}

func (m model) boot(w *world, g int) {
	w.life[g]++
	w.down[g] = false
	c := testConfig
	c.Gateway, c.Incarnation = fmt.Sprint("g", g), uint64(w.life[g])
	w.desks[g] = New(c)
}

func (w *world) clone() *world {
	c := *w
	c.desks = [2]*Resolver{w.desks[0].Clone(), w.desks[1].Clone()}
	if w.rec != nil {
		r := *w.rec
		c.rec = &r
	}
	c.calls, c.attempts, c.asks, c.looks = slices.Clone(w.calls), slices.Clone(w.attempts), slices.Clone(w.asks), slices.Clone(w.looks)
	return &c
}

// Key tells states apart.
func (m model) Key(w *world) string {
	text := fmt.Sprint(w.now, w.life, w.down, w.version, w.versions, w.lost, w.lostAt, w.recAt, w.attempts, w.asks, w.looks, w.runs, w.effect, w.left, w.broken)
	if w.rec != nil {
		text += fmt.Sprint(*w.rec)
	}
	for _, d := range w.desks {
		text += fmt.Sprint(d.nextCall, d.entries, d.ended)
	}
	for _, c := range w.calls {
		text += fmt.Sprint(c.gw, c.life, c.put, c.get, c.isPut, c.applied, c.result.Result, c.result.Version)
	}
	b := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text))
	return string(binary.BigEndian.AppendUint32(b, uint32(len(text))))
}

// Show draws a state.
func (m model) Show(w *world) string {
	out := fmt.Sprintf("t=%d runs=%d", w.now, w.runs)
	if w.rec != nil {
		out += fmt.Sprintf(" %v@%s/%d#%d v%d", w.rec.State, w.rec.Owner, w.rec.Incarnation, w.rec.ClaimCount, w.version)
	}
	for g, d := range w.desks {
		out += fmt.Sprintf(" | g%d/%d", g, w.life[g])
		for _, e := range d.entries {
			out += fmt.Sprintf(" %d:%d", e.ask.ID, e.phase)
		}
	}
	return out
}

// handle hands a desk an event and carries out what comes of it.
func (m model) handle(w *world, g int, ev Event) {
	d := w.desks[g]
	if m.mut != nil && m.mut.before != nil {
		ev = m.mut.before(d, ev)
	}
	var out []Action
	if ev != nil {
		out = d.Handle(w.now, ev)
	}
	if m.mut != nil && m.mut.after != nil {
		out = m.mut.after(d, out)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Put:
			w.calls = append(w.calls, storeCall{gw: g, life: w.life[g], put: a, isPut: true})
		case Get:
			w.calls = append(w.calls, storeCall{gw: g, life: w.life[g], get: a})
		case Route:
			w.attempts = append(w.attempts, attempt{gw: g, life: w.life[g], id: a.ID})
		case Permit:
			w.permit(m, g, a)
		case Reply:
			w.reply(g, a)
		case LookUp:
			w.looks = append(w.looks, ask{gw: g, life: w.life[g], id: a.ID})
		}
	}
}

func (w *world) attempt(g int, id uint64) *attempt {
	i := slices.IndexFunc(w.attempts, func(a attempt) bool { return a.gw == g && a.id == id && a.life == w.life[g] && a.stage != done })
	if i < 0 {
		return nil
	}
	return &w.attempts[i]
}

func (w *world) permit(m model, g int, p Permit) {
	x := w.attempt(g, p.ID)
	if x == nil || x.stage != asking {
		return
	}
	if p.Granted {
		x.stage = permitted
		return
	}
	x.stage = done
	m.handle(w, g, RoutingAnswered{ID: p.ID, Kind: Rejected})
}

// out tells whether a byte of the booking may come to a server yet, or has.
func (w *world) out() bool {
	return w.runs > 0 || slices.ContainsFunc(w.attempts, func(a attempt) bool {
		return a.stage == inKernel || a.stage == permitted && a.life == w.life[a.gw] && !w.down[a.gw]
	})
}

func (w *world) reply(g int, r Reply) {
	for i := range w.asks {
		a := &w.asks[i]
		if a.gw != g || a.id != r.ID || a.life != w.life[g] {
			continue
		}
		if a.told && w.broken == "" {
			w.broken = "two answers to one request"
		}
		a.told, a.kind, a.value = true, r.Kind, string(r.Value)
		if r.Kind == Served && r.Value == nil {
			a.value = "answer"
		}
		switch {
		case r.Kind == Served && w.runs != 1:
			w.broken = fmt.Sprintf("served, and it ran %d times", w.runs)
		case r.Kind == Served && a.value != "answer":
			w.broken = "served with another answer: " + a.value
		case r.Kind == Rejected && a.marked && w.out():
			w.broken = "asked again and refused, though it may have run"
		case r.Kind == Rejected && slices.ContainsFunc(w.attempts, func(x attempt) bool {
			return x.gw == g && x.life == a.life && x.id == a.id && x.stage != done
		}):
			w.broken = "refused while it may go out"
		}
	}
}

// Check tells what is broken.
func (m model) Check(w *world) error {
	switch {
	case w.broken != "":
		return errors.New(w.broken)
	case w.runs > 1:
		return errors.New("it ran twice")
	case w.rec != nil && w.rec.State == Unsent && w.out():
		return errors.New("the store says that it never ran, and it may have")
	}
	if len(w.calls)+len(w.looks) > 0 || slices.ContainsFunc(w.attempts, func(a attempt) bool { return a.stage != done }) {
		return nil
	}
	for g, d := range w.desks {
		if _, due := d.Next(); due && !w.down[g] {
			return nil
		}
	}
	for _, a := range w.asks {
		if !a.told && !a.let && !w.down[a.gw] && a.life == w.life[a.gw] {
			return fmt.Errorf("request %d never gets an answer", a.id)
		}
	}
	return nil
}

// Moves are all that can happen.
func (m model) Moves(w *world) (all []modelcheck.Move[*world]) {
	add := func(name string, do func(w *world)) {
		next := w.clone()
		do(next)
		all = append(all, modelcheck.Move[*world]{Name: name, To: next})
	}
	m.clientMoves(w, add)
	for i, c := range w.calls {
		m.callMoves(w, i, c, add)
	}
	for i, x := range w.attempts {
		m.attemptMoves(w, i, x, add)
	}
	for i, l := range w.looks {
		if w.down[l.gw] || l.life != w.life[l.gw] {
			continue
		}
		add(fmt.Sprint("look ", l.id), func(w *world) {
			w.looks = slices.Delete(w.looks, i, i+1)
			m.handle(w, l.gw, LookupAnswered{ID: l.id, Found: w.effect, Value: []byte("answer")})
		})
	}
	for g := range w.desks {
		if w.down[g] {
			add(fmt.Sprint("start g", g), func(w *world) { m.boot(w, g) })
			continue
		}
		if at, due := w.desks[g].Next(); due && at <= horizon {
			add(fmt.Sprint("tick g", g), func(w *world) {
				w.now = max(w.now, at)
				m.handle(w, g, Tick{})
			})
		}
		if w.left.crash > 0 {
			add(fmt.Sprint("crash g", g), func(w *world) {
				w.left.crash--
				w.down[g] = true
				w.looks = slices.DeleteFunc(w.looks, func(l ask) bool { return l.gw == g })
				for i := range w.attempts {
					if x := &w.attempts[i]; x.gw == g && x.stage < inKernel {
						x.stage = done
					}
				}
			})
		}
		if w.left.closing > 0 {
			add(fmt.Sprint("g", g, " is about to end"), func(w *world) {
				w.left.closing--
				m.handle(w, g, ShutdownStarted{})
				for _, a := range w.asks {
					routes := slices.ContainsFunc(w.attempts, func(x attempt) bool { return x.gw == g && x.id == a.id && x.life == a.life })
					if a.gw == g && a.life == w.life[g] && !a.told && !a.let && !routes && w.broken == "" {
						w.broken = fmt.Sprintf("request %d is left without an answer", a.id)
					}
				}
			})
		}
		if w.left.word > 0 {
			add(fmt.Sprint("word that g", g, " ended"), func(w *world) {
				w.left.word--
				m.handle(w, 1-g, GatewayEnded{Gateway: fmt.Sprint("g", g), Incarnation: uint64(w.life[g])})
			})
		}
	}
	if w.left.pause > 0 {
		add("time passes", func(w *world) {
			w.left.pause--
			w.now += testConfig.SendWindow + 1
		})
	}
	if w.left.loss > 0 && w.rec != nil {
		add("the store is lost", func(w *world) {
			w.left.loss--
			w.rec, w.version, w.lost, w.lostAt = nil, 0, true, w.now
		})
	}
	if w.left.failover > 0 && w.effect {
		add("a primary without the commit", func(w *world) {
			w.left.failover--
			w.effect = false
		})
	}
	return all
}

func (m model) clientMoves(w *world, add func(string, func(*world))) {
	n := len(w.asks)
	if n > 0 {
		last := w.asks[n-1]
		if last.told && last.kind == Served {
			return
		}
		if !last.told && !last.let {
			if !w.down[last.gw] && last.life == w.life[last.gw] {
				add("the client goes", func(w *world) {
					w.asks[n-1].let = true
					m.handle(w, last.gw, RequestCanceled{last.id})
				})
			}
		}
	}
	if n > m.left.asks {
		return
	}
	for g := range w.desks {
		if w.down[g] {
			continue
		}
		add(fmt.Sprint("ask g", g), func(w *world) {
			a := ask{gw: g, life: w.life[g], id: uint64(n + 1), marked: n > 0 && m.policy.RepeatsMarked}
			w.asks = append(w.asks, a)
			m.handle(w, g, RequestReceived{
				ID: a.id, Key: "key", RequestID: fmt.Sprint("request", n), Repeat: a.marked, Deadline: w.now + patience, Policy: m.policy,
			})
		})
	}
}

// apply carries a call out.
func (w *world) apply(c *storeCall) {
	c.applied = true
	if !c.isPut {
		c.result = StoreReplied{Call: c.get.Call, Version: w.version, Age: w.now - w.recAt, PossiblyLost: w.lost && w.rec == nil, SinceLoss: w.now - w.lostAt}
		if w.rec != nil {
			r := *w.rec
			c.result.Intent = &r
		}
		return
	}
	c.result = StoreReplied{Call: c.put.Call}
	if c.put.Version != anyVersion && c.put.Version != w.version {
		c.result.Result = Conflict
		return
	}
	c.result.PossiblyLost, c.result.SinceLoss = w.lost && w.rec == nil, w.now-w.lostAt
	r := c.put.Intent
	w.versions++
	w.rec, w.version, w.recAt = &r, w.versions, w.now
	c.result.Version = w.version
}

const anyVersion = ^uint64(0)

func (m model) callMoves(w *world, i int, c storeCall, add func(string, func(*world))) {
	id := c.put.Call + c.get.Call
	alive := !w.down[c.gw] && c.life == w.life[c.gw]
	end := func(w *world, s StoreReplied) {
		w.calls = slices.Delete(w.calls, i, i+1)
		if alive {
			m.handle(w, c.gw, s)
		}
	}
	if !c.applied && (c.isPut || alive) {
		add(fmt.Sprintf("call %d of g%d comes into force", id, c.gw), func(w *world) {
			w.apply(&w.calls[i])
			if !alive {
				w.calls = slices.Delete(w.calls, i, i+1)
			}
		})
	}
	switch {
	case !alive:
		add(fmt.Sprintf("call %d of g%d is lost with it", id, c.gw), func(w *world) { end(w, StoreReplied{}) })
	case c.applied:
		add(fmt.Sprintf("answer to call %d of g%d", id, c.gw), func(w *world) { end(w, c.result) })
	}
	if alive && w.left.cut > 0 {
		add(fmt.Sprintf("call %d of g%d in vain", id, c.gw), func(w *world) {
			w.left.cut--
			if c.applied || !c.isPut {
				end(w, StoreReplied{Call: id, Result: Unknown})
				return
			}
			end(w, StoreReplied{Call: id, Result: NotApplied})
		})
		if c.isPut && !c.applied {
			add(fmt.Sprintf("call %d of g%d given up on, and under way", id, c.gw), func(w *world) {
				w.left.cut--
				late := c
				late.life = -1 // nobody hears of it any more
				w.calls = append(w.calls, late)
				end(w, StoreReplied{Call: id, Result: Unknown})
			})
		}
	}
}

func (m model) attemptMoves(w *world, i int, x attempt, add func(string, func(*world))) {
	alive := !w.down[x.gw] && x.life == w.life[x.gw]
	end := func(w *world, t RoutingAnswered) {
		w.attempts[i].stage = done
		if t.ID = x.id; alive {
			m.handle(w, x.gw, t)
		}
	}
	switch x.stage {
	case chosen:
		add("wants to send", func(w *world) {
			w.attempts[i].stage = asking
			m.handle(w, x.gw, PermissionRequested{ID: x.id, Attempt: 1, Deadline: w.now + patience})
		})
		add("no connection", func(w *world) { end(w, RoutingAnswered{Kind: Rejected}) })
		add("given up on", func(w *world) { end(w, RoutingAnswered{Kind: Failed}) })
	case permitted:
		add("last byte", func(w *world) { w.attempts[i].stage = inKernel })
	case inKernel:
		add("runs", func(w *world) {
			w.attempts[i].stage = served
			w.runs++
			w.effect = true
		})
		add("turned away", func(w *world) { end(w, RoutingAnswered{Kind: Rejected}) })
		if alive {
			add("reset before it runs", func(w *world) {
				w.attempts[i].gw, w.attempts[i].life = x.gw, -1 // its bytes are on their way
				m.handle(w, x.gw, RoutingAnswered{ID: x.id, Kind: Failed})
			})
		}
	case served:
		add("the answer", func(w *world) { end(w, RoutingAnswered{Kind: Served, Value: []byte("answer"), ValueComplete: true}) })
		if alive {
			add("reset", func(w *world) { end(w, RoutingAnswered{Kind: Failed}) })
		}
	}
}

var (
	once     = Policy{RepeatsMarked: true, Retention: 1000, MaxInFlight: 8}
	always   = Policy{Retention: 1000, MaxInFlight: 8}
	safely   = Policy{RepeatsMarked: true, StoreBeforeReply: true, Retention: 1000, MaxInFlight: 8}
	lookedAt = Policy{RepeatsMarked: true, HasLookup: true, Retention: 1000, MaxInFlight: 8}
)

var arrangements = []struct {
	name string
	model
}{
	{"a crash", model{policy: once, left: budget{asks: 1, crash: 1, closing: 1}}},
	{"a crash, answers kept first", model{policy: safely, left: budget{asks: 1, crash: 1}}},
	{"a crash, and a read that shows", model{policy: lookedAt, left: budget{asks: 1, crash: 1, word: 1, failover: 1}}},
	{"calls in vain", model{policy: once, left: budget{asks: 1, cut: 2}}},
	{"calls in vain, clients that do not mark", model{policy: always, left: budget{asks: 1, cut: 2, closing: 1}}},
	{"a pause, and a wrong word", model{policy: once, left: budget{asks: 1, pause: 1, word: 1}}},
	{"a pause, a wrong word and calls in vain", model{policy: lookedAt, left: budget{asks: 1, pause: 1, word: 1, cut: 1}}},
	{"the store is lost", model{policy: once, left: budget{asks: 1, loss: 1, crash: 1}}},
	{"the store is lost, clients that do not mark", model{policy: always, left: budget{asks: 1, loss: 1}}},
	{"three times", model{policy: once, left: budget{asks: 2, word: 1, cut: 1}}},
}

// states bounds an exploration in CI.
const states = 30_000

// Whatever the order of events between two gateways, the store, the server and a client that asks again: one run, one answer,
// nothing told as unsent that may have run, and an answer for everybody.
func TestExplore(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			r := modelcheck.Run[*world](a.model, modelcheck.Limits{States: states / fewer})
			if r.Broken != nil {
				t.Fatalf("%d states\n%v", r.States, r.Broken)
			}
			t.Logf("%d states, %d moves, depth %d, whole: %v", r.States, r.Moves, r.Depth, r.Whole)
		})
	}
}

// walks is how many runs of each arrangement are drawn in CI, and steps how long they are.
const (
	walks = 600
	steps = 60
)

// Runs that go on where the search of all states ends.
func TestWalks(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			moves := 0
			for seed := range uint64(walks / fewer) {
				made, broken := modelcheck.Walk[*world](a.model, seed, steps)
				if moves += made; broken != nil {
					t.Fatalf("seed %d\n%v", seed, broken)
				}
			}
			t.Logf("%d moves", moves)
		})
	}
}

// onStored spoils what a desk hears of its calls.
func onStored(do func(e *entry, s *StoreReplied)) func(*Resolver, Event) Event {
	return func(d *Resolver, ev Event) Event {
		s, is := ev.(StoreReplied)
		if !is {
			return ev
		}
		for i := range d.entries {
			if d.entries[i].call == s.Call {
				do(&d.entries[i], &s)
			}
		}
		return s
	}
}

// on spoils one kind of action.
func on[A Action](do func(d *Resolver, a A) Action) func(*Resolver, []Action) []Action {
	return func(d *Resolver, out []Action) []Action {
		for i, x := range out {
			if a, is := x.(A); is {
				out[i] = do(d, a)
			}
		}
		return out
	}
}

// found turns a record of one state, as it is read, into one of another.
func found(state, into State) func(*Resolver, Event) Event {
	return onStored(func(_ *entry, s *StoreReplied) {
		if s.Intent != nil && s.Intent.State == state {
			r := *s.Intent
			r.State = into
			s.Intent = &r
		}
	})
}

// Each of these desks is wrong in one point. The runs must show it.
var mutants = []mutant{
	{name: "ends without a word to whoever waits for the store", before: func(_ *Resolver, ev Event) Event {
		if _, is := ev.(ShutdownStarted); is {
			return nil
		}
		return ev
	}},
	{name: "a claim that may not be in force is one", before: onStored(func(e *entry, s *StoreReplied) {
		if e.phase == claiming && s.Result == Unknown {
			s.Result, s.Version = OK, 1
		}
	})},
	{name: "a claim that was turned away is one", before: onStored(func(e *entry, s *StoreReplied) {
		if e.phase == claiming && s.Result == Conflict {
			s.Result = OK
		}
	})},
	{name: "what is in doubt is claimed anew", before: found(InDoubt, Unsent)},
	{name: "what another gateway has is claimed anew", before: found(Open, Unsent)},
	{name: "what was asked before is not looked up", before: func(_ *Resolver, ev Event) Event {
		if a, is := ev.(RequestReceived); is && a.Repeat {
			a.Repeat = false
			return a
		}
		return ev
	}, after: on(func(_ *Resolver, p Put) Action {
		if p.Intent.State == Open {
			p.Version = anyVersion
		}
		return p
	})},
	{name: "whoever takes over sends", before: onStored(func(e *entry, s *StoreReplied) {
		if e.phase == taking && s.Result == OK {
			e.phase, e.record.State = claiming, Open
		}
	})},
	{name: "what is not shown has not run", before: func(d *Resolver, ev Event) Event {
		if l, is := ev.(LookupAnswered); is && !l.Found {
			if e := d.find(l.ID); e != nil && e.phase == looking {
				r := e.record
				r.State, e.phase, e.call = Unsent, reading, 1<<40
				return StoreReplied{Call: e.call, Version: e.version, Intent: &r}
			}
		}
		return ev
	}},
	{name: "what may have run is told as unsent", before: func(_ *Resolver, ev Event) Event {
		if t, is := ev.(RoutingAnswered); is && t.Kind == Failed {
			t.Kind = Rejected
			return t
		}
		return ev
	}},
	{name: "changes records whatever their version", after: on(func(_ *Resolver, p Put) Action {
		p.Version = anyVersion
		return p
	})},
	{name: "what was lost never was", before: onStored(func(_ *entry, s *StoreReplied) { s.PossiblyLost = false })},
	{name: "what went out is released when its client goes", before: func(d *Resolver, ev Event) Event {
		if g, is := ev.(RequestCanceled); is {
			if e := d.find(g.ID); e != nil && e.phase == routed {
				return RoutingAnswered{ID: g.ID, Kind: Rejected}
			}
		}
		return ev
	}},
	{name: "asked again is refused", after: on(func(_ *Resolver, r Reply) Action {
		if r.Kind == Failed {
			r.Kind = Rejected
		}
		return r
	})},
	{name: "an answer is given twice", after: func(_ *Resolver, out []Action) []Action {
		for _, a := range out {
			if r, is := a.(Reply); is {
				return append(out, r)
			}
		}
		return out
	}},
	{name: "forgets whoever follows", before: func(d *Resolver, ev Event) Event {
		d.entries = slices.DeleteFunc(d.entries, func(e entry) bool { return e.phase == following })
		return ev
	}},
	{name: "says nothing where it is in doubt", after: func(_ *Resolver, out []Action) []Action {
		return slices.DeleteFunc(out, func(a Action) bool {
			r, is := a.(Reply)
			return is && r.Kind == Failed
		})
	}},
}

// eager has time pass seldom where something else can happen, and what the client does likewise.
type eager struct{ model }

func (m eager) Moves(w *world) (all []modelcheck.Move[*world]) {
	for _, mv := range m.model.Moves(w) {
		all = append(all, mv)
		if !strings.HasPrefix(mv.Name, "tick") && !strings.HasPrefix(mv.Name, "the client") && !strings.HasPrefix(mv.Name, "ask") {
			all = append(all, mv, mv, mv)
		}
	}
	return all
}

func TestMutantsAreCaught(t *testing.T) {
	if fewer > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, a := range arrangements {
				m := a.model
				m.mut = &mut
				for seed := range uint64(4 * walks) {
					if made, broken := modelcheck.Walk[*world](eager{m}, seed, steps); broken != nil {
						t.Logf("%q, seed %d, after %d moves: %v", a.name, seed, made, broken.Err)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
