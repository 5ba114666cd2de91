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
	clientTimeout = 100
	lastTick      = 260
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
	serverChosen       stage = iota // a server is chosen
	awaitingPermission              // its last byte may not go out yet
	permitted                       // it may, and has not
	inKernel                        // it has
	answeredByServer                // the server has run it, and answers
	ended
)

// attempt is one, and the gateway's life that made it.
type attempt struct {
	gateway, incarnation int
	id                   uint64
	stage                stage
}

// storeCall is a call of the store that is under way.
type storeCall struct {
	gateway, incarnation int
	put                  Put
	get                  Get
	isPut                bool
	applied              bool
	result               StoreReplied
}

// ask is one time that the client asked.
type clientRequest struct {
	gateway, incarnation int
	id                   uint64
	repeat               bool
	answered             bool
	kind                 AnswerKind
	value                string
	canceled             bool // it goes no further here: the client has gone
}

// budget is how often each kind of fault may happen yet.
type budget struct{ repeats, crashes, failedCalls, storeLosses, endReports, failovers, pauses, shutdowns int }

// world is two gateways, the store as its contract has it, a server and a client that asks again.
type world struct {
	now           clock.Micros
	resolvers     [2]*Resolver
	incarnations  [2]int
	down          [2]bool
	intent        *Intent
	version       uint64
	versions      uint64
	lost          bool
	lostAt        clock.Micros
	intentAt      clock.Micros
	calls         []storeCall
	attempts      []attempt
	lookups       []clientRequest // who waits for one
	requests      []clientRequest
	runs          int
	effectVisible bool // the primary shows it
	budget        budget
	broken        string
}

// model is an arrangement.
type model struct {
	policy Policy
	budget budget
	mutant *mutant
}

func (m model) Start() *world {
	w := &world{budget: m.budget}
	for g := range w.resolvers {
		m.boot(w, g)
	}
	return w
}

func (m model) boot(w *world, g int) {
	w.incarnations[g]++
	w.down[g] = false
	c := testConfig
	c.Gateway, c.Incarnation = fmt.Sprint("g", g), uint64(w.incarnations[g])
	w.resolvers[g] = New(c)
}

func (w *world) clone() *world {
	c := *w
	c.resolvers = [2]*Resolver{w.resolvers[0].Clone(), w.resolvers[1].Clone()}
	if w.intent != nil {
		r := *w.intent
		c.intent = &r
	}
	c.calls, c.attempts, c.requests, c.lookups = slices.Clone(w.calls), slices.Clone(w.attempts), slices.Clone(w.requests), slices.Clone(w.lookups)
	return &c
}

// Key tells states apart.
func (m model) Key(w *world) string {
	text := fmt.Sprint(w.now, w.incarnations, w.down, w.version, w.versions, w.lost, w.lostAt, w.intentAt, w.attempts, w.requests, w.lookups, w.runs, w.effectVisible, w.budget, w.broken)
	if w.intent != nil {
		text += fmt.Sprint(*w.intent)
	}
	for _, d := range w.resolvers {
		text += fmt.Sprint(d.lastCall, d.writes, d.endedGateways)
	}
	for _, c := range w.calls {
		text += fmt.Sprint(c.gateway, c.incarnation, c.put, c.get, c.isPut, c.applied, c.result.Result, c.result.Version)
	}
	b := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text))
	return string(binary.BigEndian.AppendUint32(b, uint32(len(text))))
}

// Show draws a state.
func (m model) Show(w *world) string {
	out := fmt.Sprintf("t=%d runs=%d", w.now, w.runs)
	if w.intent != nil {
		out += fmt.Sprintf(" %v@%s/%d#%d v%d", w.intent.State, w.intent.Owner, w.intent.Incarnation, w.intent.ClaimCount, w.version)
	}
	for g, d := range w.resolvers {
		out += fmt.Sprintf(" | g%d/%d", g, w.incarnations[g])
		for _, e := range d.writes {
			out += fmt.Sprintf(" %d:%d", e.request.ID, e.phase)
		}
	}
	return out
}

// handle hands a desk an event and carries out what comes of it.
func (m model) handle(w *world, g int, ev Event) {
	d := w.resolvers[g]
	if m.mutant != nil && m.mutant.before != nil {
		ev = m.mutant.before(d, ev)
	}
	var out []Action
	if ev != nil {
		out = d.Handle(w.now, ev)
	}
	if m.mutant != nil && m.mutant.after != nil {
		out = m.mutant.after(d, out)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Put:
			w.calls = append(w.calls, storeCall{gateway: g, incarnation: w.incarnations[g], put: a, isPut: true})
		case Get:
			w.calls = append(w.calls, storeCall{gateway: g, incarnation: w.incarnations[g], get: a})
		case Route:
			w.attempts = append(w.attempts, attempt{gateway: g, incarnation: w.incarnations[g], id: a.ID})
		case Permit:
			w.permit(m, g, a)
		case Reply:
			w.reply(g, a)
		case LookUp:
			w.lookups = append(w.lookups, clientRequest{gateway: g, incarnation: w.incarnations[g], id: a.ID})
		}
	}
}

func (w *world) attempt(g int, id uint64) *attempt {
	i := slices.IndexFunc(w.attempts, func(a attempt) bool {
		return a.gateway == g && a.id == id && a.incarnation == w.incarnations[g] && a.stage != ended
	})
	if i < 0 {
		return nil
	}
	return &w.attempts[i]
}

func (w *world) permit(m model, g int, p Permit) {
	x := w.attempt(g, p.ID)
	if x == nil || x.stage != awaitingPermission {
		return
	}
	if p.Granted {
		x.stage = permitted
		return
	}
	x.stage = ended
	m.handle(w, g, RoutingAnswered{ID: p.ID, Kind: Rejected})
}

// out tells whether a byte of the booking may come to a server yet, or has.
func (w *world) mayStillRun() bool {
	return w.runs > 0 || slices.ContainsFunc(w.attempts, func(a attempt) bool {
		return a.stage == inKernel || a.stage == permitted && a.incarnation == w.incarnations[a.gateway] && !w.down[a.gateway]
	})
}

func (w *world) reply(g int, r Reply) {
	for i := range w.requests {
		a := &w.requests[i]
		if a.gateway != g || a.id != r.ID || a.incarnation != w.incarnations[g] {
			continue
		}
		if a.answered && w.broken == "" {
			w.broken = "two answers to one request"
		}
		a.answered, a.kind, a.value = true, r.Kind, string(r.Value)
		if r.Kind == Served && r.Value == nil {
			a.value = "answer"
		}
		switch {
		case r.Kind == Served && w.runs != 1:
			w.broken = fmt.Sprintf("served, and it ran %d times", w.runs)
		case r.Kind == Served && a.value != "answer":
			w.broken = "served with another answer: " + a.value
		case r.Kind == Rejected && a.repeat && w.mayStillRun():
			w.broken = "asked again and refused, though it may have run"
		case r.Kind == Rejected && slices.ContainsFunc(w.attempts, func(x attempt) bool {
			return x.gateway == g && x.incarnation == a.incarnation && x.id == a.id && x.stage != ended
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
	case w.intent != nil && w.intent.State == Unsent && w.mayStillRun():
		return errors.New("the store says that it never ran, and it may have")
	}
	if len(w.calls)+len(w.lookups) > 0 || slices.ContainsFunc(w.attempts, func(a attempt) bool { return a.stage != ended }) {
		return nil
	}
	for g, d := range w.resolvers {
		if _, due := d.Next(); due && !w.down[g] {
			return nil
		}
	}
	for _, a := range w.requests {
		if !a.answered && !a.canceled && !w.down[a.gateway] && a.incarnation == w.incarnations[a.gateway] {
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
	for i, l := range w.lookups {
		if w.down[l.gateway] || l.incarnation != w.incarnations[l.gateway] {
			continue
		}
		add(fmt.Sprint("look ", l.id), func(w *world) {
			w.lookups = slices.Delete(w.lookups, i, i+1)
			m.handle(w, l.gateway, LookupAnswered{ID: l.id, Found: w.effectVisible, Value: []byte("answer")})
		})
	}
	for g := range w.resolvers {
		if w.down[g] {
			add(fmt.Sprint("start g", g), func(w *world) { m.boot(w, g) })
			continue
		}
		if at, due := w.resolvers[g].Next(); due && at <= lastTick {
			add(fmt.Sprint("tick g", g), func(w *world) {
				w.now = max(w.now, at)
				m.handle(w, g, Tick{})
			})
		}
		if w.budget.crashes > 0 {
			add(fmt.Sprint("crash g", g), func(w *world) {
				w.budget.crashes--
				w.down[g] = true
				w.lookups = slices.DeleteFunc(w.lookups, func(l clientRequest) bool { return l.gateway == g })
				for i := range w.attempts {
					if x := &w.attempts[i]; x.gateway == g && x.stage < inKernel {
						x.stage = ended
					}
				}
			})
		}
		if w.budget.shutdowns > 0 {
			add(fmt.Sprint("g", g, " is about to end"), func(w *world) {
				w.budget.shutdowns--
				m.handle(w, g, ShutdownStarted{})
				for _, a := range w.requests {
					routes := slices.ContainsFunc(w.attempts, func(x attempt) bool { return x.gateway == g && x.id == a.id && x.incarnation == a.incarnation })
					if a.gateway == g && a.incarnation == w.incarnations[g] && !a.answered && !a.canceled && !routes && w.broken == "" {
						w.broken = fmt.Sprintf("request %d is left without an answer", a.id)
					}
				}
			})
		}
		if w.budget.endReports > 0 {
			add(fmt.Sprint("word that g", g, " ended"), func(w *world) {
				w.budget.endReports--
				m.handle(w, 1-g, GatewayEnded{Gateway: fmt.Sprint("g", g), Incarnation: uint64(w.incarnations[g])})
			})
		}
	}
	if w.budget.pauses > 0 {
		add("time passes", func(w *world) {
			w.budget.pauses--
			w.now += testConfig.SendWindow + 1
		})
	}
	if w.budget.storeLosses > 0 && w.intent != nil {
		add("the store is lost", func(w *world) {
			w.budget.storeLosses--
			w.intent, w.version, w.lost, w.lostAt = nil, 0, true, w.now
		})
	}
	if w.budget.failovers > 0 && w.effectVisible {
		add("a primary without the commit", func(w *world) {
			w.budget.failovers--
			w.effectVisible = false
		})
	}
	return all
}

func (m model) clientMoves(w *world, add func(string, func(*world))) {
	n := len(w.requests)
	if n > 0 {
		last := w.requests[n-1]
		if last.answered && last.kind == Served {
			return
		}
		if !last.answered && !last.canceled {
			if !w.down[last.gateway] && last.incarnation == w.incarnations[last.gateway] {
				add("the client goes", func(w *world) {
					w.requests[n-1].canceled = true
					m.handle(w, last.gateway, RequestCanceled{last.id})
				})
			}
		}
	}
	if n > m.budget.repeats {
		return
	}
	for g := range w.resolvers {
		if w.down[g] {
			continue
		}
		add(fmt.Sprint("ask g", g), func(w *world) {
			a := clientRequest{gateway: g, incarnation: w.incarnations[g], id: uint64(n + 1), repeat: n > 0 && m.policy.RepeatsMarked}
			w.requests = append(w.requests, a)
			m.handle(w, g, RequestReceived{
				ID: a.id, Key: "key", RequestID: fmt.Sprint("request", n), Repeat: a.repeat, Deadline: w.now + clientTimeout, Policy: m.policy,
			})
		})
	}
}

// apply carries a call out.
func (w *world) apply(c *storeCall) {
	c.applied = true
	if !c.isPut {
		c.result = StoreReplied{Call: c.get.Call, Version: w.version, Age: w.now - w.intentAt, PossiblyLost: w.lost && w.intent == nil, SinceLoss: w.now - w.lostAt}
		if w.intent != nil {
			r := *w.intent
			c.result.Intent = &r
		}
		return
	}
	c.result = StoreReplied{Call: c.put.Call}
	if c.put.Version != anyVersion && c.put.Version != w.version {
		c.result.Result = Conflict
		return
	}
	c.result.PossiblyLost, c.result.SinceLoss = w.lost && w.intent == nil, w.now-w.lostAt
	r := c.put.Intent
	w.versions++
	w.intent, w.version, w.intentAt = &r, w.versions, w.now
	c.result.Version = w.version
}

const anyVersion = ^uint64(0)

func (m model) callMoves(w *world, i int, c storeCall, add func(string, func(*world))) {
	id := c.put.Call + c.get.Call
	alive := !w.down[c.gateway] && c.incarnation == w.incarnations[c.gateway]
	end := func(w *world, s StoreReplied) {
		w.calls = slices.Delete(w.calls, i, i+1)
		if alive {
			m.handle(w, c.gateway, s)
		}
	}
	if !c.applied && (c.isPut || alive) {
		add(fmt.Sprintf("call %d of g%d comes into force", id, c.gateway), func(w *world) {
			w.apply(&w.calls[i])
			if !alive {
				w.calls = slices.Delete(w.calls, i, i+1)
			}
		})
	}
	switch {
	case !alive:
		add(fmt.Sprintf("call %d of g%d is lost with it", id, c.gateway), func(w *world) { end(w, StoreReplied{}) })
	case c.applied:
		add(fmt.Sprintf("answer to call %d of g%d", id, c.gateway), func(w *world) { end(w, c.result) })
	}
	if alive && w.budget.failedCalls > 0 {
		add(fmt.Sprintf("call %d of g%d in vain", id, c.gateway), func(w *world) {
			w.budget.failedCalls--
			if c.applied || !c.isPut {
				end(w, StoreReplied{Call: id, Result: Unknown})
				return
			}
			end(w, StoreReplied{Call: id, Result: NotApplied})
		})
		if c.isPut && !c.applied {
			add(fmt.Sprintf("call %d of g%d given up on, and under way", id, c.gateway), func(w *world) {
				w.budget.failedCalls--
				late := c
				late.incarnation = -1 // nobody hears of it any more
				w.calls = append(w.calls, late)
				end(w, StoreReplied{Call: id, Result: Unknown})
			})
		}
	}
}

func (m model) attemptMoves(w *world, i int, x attempt, add func(string, func(*world))) {
	alive := !w.down[x.gateway] && x.incarnation == w.incarnations[x.gateway]
	end := func(w *world, t RoutingAnswered) {
		w.attempts[i].stage = ended
		if t.ID = x.id; alive {
			m.handle(w, x.gateway, t)
		}
	}
	switch x.stage {
	case serverChosen:
		add("wants to send", func(w *world) {
			w.attempts[i].stage = awaitingPermission
			m.handle(w, x.gateway, PermissionRequested{ID: x.id, Attempt: 1, Deadline: w.now + clientTimeout})
		})
		add("no connection", func(w *world) { end(w, RoutingAnswered{Kind: Rejected}) })
		add("given up on", func(w *world) { end(w, RoutingAnswered{Kind: Failed}) })
	case permitted:
		add("last byte", func(w *world) { w.attempts[i].stage = inKernel })
	case inKernel:
		add("runs", func(w *world) {
			w.attempts[i].stage = answeredByServer
			w.runs++
			w.effectVisible = true
		})
		add("turned away", func(w *world) { end(w, RoutingAnswered{Kind: Rejected}) })
		if alive {
			add("reset before it runs", func(w *world) {
				w.attempts[i].gateway, w.attempts[i].incarnation = x.gateway, -1 // its bytes are on their way
				m.handle(w, x.gateway, RoutingAnswered{ID: x.id, Kind: Failed})
			})
		}
	case answeredByServer:
		add("the answer", func(w *world) { end(w, RoutingAnswered{Kind: Served, Value: []byte("answer"), ValueComplete: true}) })
		if alive {
			add("reset", func(w *world) { end(w, RoutingAnswered{Kind: Failed}) })
		}
	}
}

var (
	marked     = Policy{RepeatsMarked: true, Retention: 1000, MaxInFlight: 8}
	unmarked   = Policy{Retention: 1000, MaxInFlight: 8}
	storeFirst = Policy{RepeatsMarked: true, StoreBeforeReply: true, Retention: 1000, MaxInFlight: 8}
	withLookup = Policy{RepeatsMarked: true, HasLookup: true, Retention: 1000, MaxInFlight: 8}
)

var scenarios = []struct {
	name string
	model
}{
	{"a crash", model{policy: marked, budget: budget{repeats: 1, crashes: 1, shutdowns: 1}}},
	{"a crash, answers kept first", model{policy: storeFirst, budget: budget{repeats: 1, crashes: 1}}},
	{"a crash, and a read that shows", model{policy: withLookup, budget: budget{repeats: 1, crashes: 1, endReports: 1, failovers: 1}}},
	{"calls in vain", model{policy: marked, budget: budget{repeats: 1, failedCalls: 2}}},
	{"calls in vain, clients that do not mark", model{policy: unmarked, budget: budget{repeats: 1, failedCalls: 2, shutdowns: 1}}},
	{"a pause, and a wrong word", model{policy: marked, budget: budget{repeats: 1, pauses: 1, endReports: 1}}},
	{"a pause, a wrong word and calls in vain", model{policy: withLookup, budget: budget{repeats: 1, pauses: 1, endReports: 1, failedCalls: 1}}},
	{"the store is lost", model{policy: marked, budget: budget{repeats: 1, storeLosses: 1, crashes: 1}}},
	{"the store is lost, clients that do not mark", model{policy: unmarked, budget: budget{repeats: 1, storeLosses: 1}}},
	{"three times", model{policy: marked, budget: budget{repeats: 2, endReports: 1, failedCalls: 1}}},
}

// states bounds an exploration in CI.
const maxStates = 30_000

// Whatever the order of events between two gateways, the store, the server and a client that asks again: one run, one answer,
// nothing told as unsent that may have run, and an answer for everybody.
func TestExplore(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			r := modelcheck.Run[*world](a.model, modelcheck.Limits{States: maxStates / stateDivisor})
			if r.Broken != nil {
				t.Fatalf("%d states\n%v", r.States, r.Broken)
			}
			t.Logf("%d states, %d moves, depth %d, whole: %v", r.States, r.Moves, r.Depth, r.Whole)
		})
	}
}

// walks is how many runs of each arrangement are drawn in CI, and steps how long they are.
const (
	walksPerScenario = 600
	maxSteps         = 60
)

// Runs that go on where the search of all states ends.
func TestWalks(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			moves := 0
			for seed := range uint64(walksPerScenario / stateDivisor) {
				made, broken := modelcheck.Walk[*world](a.model, seed, maxSteps)
				if moves += made; broken != nil {
					t.Fatalf("seed %d\n%v", seed, broken)
				}
			}
			t.Logf("%d moves", moves)
		})
	}
}

// onStored spoils what a desk hears of its calls.
func onStoreReply(do func(e *write, s *StoreReplied)) func(*Resolver, Event) Event {
	return func(d *Resolver, ev Event) Event {
		s, is := ev.(StoreReplied)
		if !is {
			return ev
		}
		for i := range d.writes {
			if d.writes[i].call.id == s.Call {
				do(&d.writes[i], &s)
			}
		}
		return s
	}
}

// on spoils one kind of action.
func onAction[A Action](do func(d *Resolver, a A) Action) func(*Resolver, []Action) []Action {
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
func readAs(state, into State) func(*Resolver, Event) Event {
	return onStoreReply(func(_ *write, s *StoreReplied) {
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
	{name: "a claim that may not be in force is one", before: onStoreReply(func(e *write, s *StoreReplied) {
		if e.phase == claiming && s.Result == Unknown {
			s.Result, s.Version = OK, 1
		}
	})},
	{name: "a claim that was turned away is one", before: onStoreReply(func(e *write, s *StoreReplied) {
		if e.phase == claiming && s.Result == Conflict {
			s.Result = OK
		}
	})},
	{name: "what is in doubt is claimed anew", before: readAs(InDoubt, Unsent)},
	{name: "what another gateway has is claimed anew", before: readAs(Open, Unsent)},
	{name: "what was asked before is not looked up", before: func(_ *Resolver, ev Event) Event {
		if a, is := ev.(RequestReceived); is && a.Repeat {
			a.Repeat = false
			return a
		}
		return ev
	}, after: onAction(func(_ *Resolver, p Put) Action {
		if p.Intent.State == Open {
			p.Version = anyVersion
		}
		return p
	})},
	{name: "whoever takes over sends", before: onStoreReply(func(e *write, s *StoreReplied) {
		if e.phase == takingOver && s.Result == OK {
			e.phase, e.intent.State = claiming, Open
		}
	})},
	{name: "what is not shown has not run", before: func(d *Resolver, ev Event) Event {
		if l, is := ev.(LookupAnswered); is && !l.Found {
			if e := d.find(l.ID); e != nil && e.phase == lookingUp {
				r := e.intent
				r.State, e.phase, e.call.id = Unsent, readingIntent, 1<<40
				return StoreReplied{Call: e.call.id, Version: e.version, Intent: &r}
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
	{name: "changes records whatever their version", after: onAction(func(_ *Resolver, p Put) Action {
		p.Version = anyVersion
		return p
	})},
	{name: "what was lost never was", before: onStoreReply(func(_ *write, s *StoreReplied) { s.PossiblyLost = false })},
	{name: "what went out is released when its client goes", before: func(d *Resolver, ev Event) Event {
		if g, is := ev.(RequestCanceled); is {
			if e := d.find(g.ID); e != nil && e.phase == routed {
				return RoutingAnswered{ID: g.ID, Kind: Rejected}
			}
		}
		return ev
	}},
	{name: "asked again is refused", after: onAction(func(_ *Resolver, r Reply) Action {
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
		d.writes = slices.DeleteFunc(d.writes, func(e write) bool { return e.phase == followingWrite })
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
type weightedModel struct{ model }

func (m weightedModel) Moves(w *world) (all []modelcheck.Move[*world]) {
	for _, mv := range m.model.Moves(w) {
		all = append(all, mv)
		if !strings.HasPrefix(mv.Name, "tick") && !strings.HasPrefix(mv.Name, "the client") && !strings.HasPrefix(mv.Name, "ask") {
			all = append(all, mv, mv, mv)
		}
	}
	return all
}

func TestMutantsAreCaught(t *testing.T) {
	if stateDivisor > 1 {
		t.Skip("the same runs as without the race detector, many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, a := range scenarios {
				m := a.model
				m.mutant = &mut
				for seed := range uint64(4 * walksPerScenario) {
					if made, broken := modelcheck.Walk[*world](weightedModel{m}, seed, maxSteps); broken != nil {
						t.Logf("%q, seed %d, after %d moves: %v", a.name, seed, made, broken.Err)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}
