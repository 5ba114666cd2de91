package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// probes is how many others a member asks in an interval. A death is first noticed by whoever asks next, so this sets how
// soon that is; its price is so many pings and answers.
const probes = 3

// helpers is how many others are asked to ask, where there is no direct answer.
const helpers = 3

// The parts of an interval: a direct answer is waited for, and helpers are waited for, half of it each; a helper says after
// a quarter that it has had no answer, so that its word comes in time.
const (
	answerPart = 2
	nackPart   = 4
)

// The bounds of a suspicion in intervals, counted from the ping that was not answered: the least is for one that so many
// others confirm, the most for one that nobody does.
const (
	leastSuspicion = 6
	mostSuspicion  = 18
	confirmations  = 3
)

// spread times the logarithm of the number of members is how often a piece of news is sent on.
const spread = 3

// newsPart is the part of an interval after which news are sent out of turn, to newsTo others.
const (
	newsPart = 4
	newsTo   = 2
)

// askEvery is how many intervals go between two asks of the dead, and of addresses that nobody has answered from.
const askEvery = 25

// eagerAsks is how often a member that knows nobody asks every interval; later it asks as seldom as the dead are asked.
const eagerAsks = 10

// mostHealth bounds by how much a member that is ill itself stretches its spans. healthSamples is over how many answers of
// helpers that is measured.
const (
	mostHealth    = 9
	healthSamples = 16
)

// cutAfter is how many pings in a row must fail directly, and be answered by way of helpers, before a path counts as cut.
const cutAfter = 3

// mostCuts bounds what is kept of others' paths.
const mostCuts = 8192

// quiet is for how many intervals a member that stood still accuses nobody; it shows itself as such ten times as long.
const (
	quiet     = 2
	stoodMost = 10 * quiet
)

// forgetAfter is how long the end of a life is remembered.
const forgetAfter clock.Micros = 3_600_000_000

// leaveRounds is how often a member that leaves tells leaveTo others, a quarter interval apart.
const (
	leaveRounds = 4
	leaveTo     = 6
)

// Machine is one member's state. Its zero value is of no use; New makes one.
type Machine struct {
	cfg     Config
	self    Record
	members []member
	index   map[string]int // of members
	cuts    []PathState    // of others' paths and own ones; the latest word on each
	cutAt   map[path]int   // of cuts
	news    news           // of members
	paths   news           // of paths; they go out with what is sent anyway
	rng     uint64

	seen      clock.Micros // last time anything was handled
	begun     clock.Micros // start of its present life
	running   bool
	out       bool // another has its name
	leaving   int  // rounds left; 0: it does not leave
	nextProbe clock.Micros
	nextNews  clock.Micros
	nextAsk   clock.Micros
	asked     int // asks to join so far
	quietBy   clock.Micros
	stoodBy   clock.Micros
	health    int // missing answers of helpers, in thousandths of all
	number    uint32
	order     []string // whom to ask in turn
	turn      int
	again     []string // whom to ask out of turn, for a path that may be cut
	probing   []probe
	errands   []errand
	asks      []ask
	joined    []netip.AddrPort // addresses that somebody, or this member itself, has answered from
	joinedAs  []string
	page      int // of what is sent to those who know other members
	lastAsked int
	suspected []string // every suspect, and some that are none any more
	digest    uint64
	alive     int  // how many others live
	digestOld bool // the two above are to be counted anew
	actions   []Action
}

// member is another one, as this one knows it.
type member struct {
	Record
	since    clock.Micros
	heard    clock.Micros // last word from itself
	answered clock.Micros // last answer to a question of this member, or of a helper's that it had asked
	rtt      clock.Micros
	started  clock.Micros // of the suspicion: the ping that was not answered
	accusers []string     // who suspect it, one more than confirmations at the most
	reached  string       // the helper that reached it last
	misses   int          // pings in a row that were answered by way of helpers only
	pinged   uint32       // number of its last ping that came directly
	digest   uint64       // what it knows, as it last said
	stranger bool         // it does not know this life of this member
	cut      PathState    // of the path to it, as this member says
}

// ask is one request to a helper, whose word shows whether this member itself is well.
type ask struct {
	helper   string
	number   uint32
	at       clock.Micros
	answered bool
}

// path is who says something of the path to whom.
type path struct{ by, peer string }

// New makes a member that knows nobody.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, index: map[string]int{}, cutAt: map[path]int{}, rng: cfg.Seed, digestOld: true}
	m.self = Record{Name: cfg.Name, Address: cfg.Address, Generation: cfg.Generation, Meta: cfg.Meta}
	return m
}

// Clone is a copy that goes its own way.
func (m *Machine) Clone() *Machine {
	c := *m
	c.members = slices.Clone(m.members)
	for i := range c.members {
		c.members[i].accusers = slices.Clone(c.members[i].accusers)
	}
	c.index = make(map[string]int, len(m.index))
	for name, i := range m.index {
		c.index[name] = i
	}
	c.cutAt = make(map[path]int, len(m.cutAt))
	for k, i := range m.cutAt {
		c.cutAt[k] = i
	}
	c.cuts, c.news, c.paths = slices.Clone(m.cuts), m.news.clone(), m.paths.clone()
	c.order, c.again = slices.Clone(m.order), slices.Clone(m.again)
	c.probing, c.errands, c.asks = slices.Clone(m.probing), slices.Clone(m.errands), slices.Clone(m.asks)
	c.joined, c.joinedAs, c.suspected = slices.Clone(m.joined), slices.Clone(m.joinedAs), slices.Clone(m.suspected)
	c.actions = nil
	return &c
}

// Self is what this member tells of itself.
func (m *Machine) Self() Record { return m.self }

// Out tells that another process has this one's name, and that it takes no part.
func (m *Machine) Excluded() bool { return m.out }

// StoodStillUntil is until when this member shows that it stood still: whoever holds something by time must not trust what it
// knew before.
func (m *Machine) StalledUntil() clock.Micros { return m.stoodBy }

// Health is by how much this member stretches its spans, for it misses answers that others get: 1 is well.
func (m *Machine) LocalHealth() int {
	if m.cfg.WithoutLifeguard {
		return 1
	}
	return 1 + m.health*(mostHealth-1)/1000
}

// Members lists how everybody stands, itself first.
func (m *Machine) Members() []View {
	all := []View{{Record: m.self, Self: true, Since: m.begun, LastReceived: m.seen}}
	for i := range m.members {
		e := &m.members[i]
		v := View{Record: e.Record, Since: e.since, LastReceived: e.heard, RTT: e.rtt, LastHelper: e.reached}
		for _, c := range m.cuts {
			if !c.Healthy() && (c.Reporter == e.Name || c.Peer == e.Name) && !m.gone(c.Reporter, c.Generation) {
				v.BrokenPaths = append(v.BrokenPaths, c)
			}
		}
		all = append(all, v)
	}
	return all
}

// gone tells whether a life of a member is over, or not known.
func (m *Machine) gone(name string, life uint64) bool {
	if name == m.self.Name {
		return life != m.self.Generation
	}
	e := m.find(name)
	return e == nil || e.Generation != life || e.State.Ended()
}

// Lookup is what is known of a member; false: nothing.
func (m *Machine) Lookup(name string) (Record, bool) {
	if e := m.find(name); e != nil {
		return e.Record, true
	}
	return Record{}, false
}

func (m *Machine) find(name string) *member {
	if i, ok := m.index[name]; ok {
		return &m.members[i]
	}
	return nil
}

// living counts the others whose lives have not ended.
func (m *Machine) living() int {
	m.know()
	return m.alive
}

// random draws a number below n. Without a seed it is always 0.
func (m *Machine) random(n int) int {
	if m.cfg.Seed == 0 || n <= 1 {
		return 0
	}
	m.rng += 0x9e3779b97f4a7c15 // splitmix64, Steele, Lea and Flood 2014
	z := m.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) >> 1 % uint64(n))
}

// Next is when a Tick is due.
func (m *Machine) Next() (clock.Micros, bool) {
	if !m.running {
		return 0, false
	}
	switch {
	case m.leaving > 0:
		return m.nextNews, true
	case m.out:
		return m.nextAsk, true
	}
	next := min(m.nextProbe, m.nextAsk)
	if !m.news.empty() {
		next = min(next, m.nextNews)
	}
	for _, p := range m.probing {
		next = min(next, p.next)
	}
	for _, e := range m.errands {
		if !e.said {
			next = min(next, e.sent+m.cfg.Interval/nackPart)
		}
	}
	for _, e := range m.suspects() {
		next = min(next, max(m.deadline(e), m.quietBy))
	}
	return next, true
}

// Handle takes in one event. Time never goes back: an earlier time counts as the last one.
func (m *Machine) Handle(now clock.Micros, ev Event) []Action {
	now = max(now, m.seen)
	m.actions = nil
	if m.running {
		m.wake(now)
	}
	m.seen = now
	switch e := ev.(type) {
	case Started:
		if !m.running {
			m.running, m.begun = true, now
			m.nextProbe, m.nextNews, m.nextAsk = now, now, now
		}
	case LeaveRequested:
		if m.running && m.leaving == 0 {
			m.leave(now)
		}
	case MessageReceived:
		if m.running {
			m.hear(now, e.Source, e.Message)
		}
	case MetaUpdated:
		m.tell(e.Meta)
	case Reconfigured:
		m.cfg.Interval, m.cfg.Join = e.Interval, e.Join
		m.nextProbe, m.nextAsk = min(m.nextProbe, now), min(m.nextAsk, now)
	}
	if m.running {
		m.tick(now)
	}
	return m.actions
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// tell changes what the member tells of itself, and has it spread.
func (m *Machine) tell(meta Meta) {
	meta.Flags = meta.Flags&^Stalled | m.self.Meta.Flags&Stalled
	if meta != m.self.Meta {
		m.self.Meta = meta
		m.speak()
	}
}

// speak has this member's own record spread as its latest word.
func (m *Machine) speak() {
	m.self.Incarnation++
	m.digestOld = true
	m.push(m.self.Name)
}

// wake looks whether the process stood still. What lies unread must be read before anybody is judged, so for a while nobody
// is; others were not late to one that could not listen, so their spans go on where they were.
func (m *Machine) wake(now clock.Micros) {
	next, _ := m.Next()
	late := now - max(next, m.seen)
	if m.cfg.WithoutLifeguard || late < m.cfg.Interval/2 {
		return
	}
	m.quietBy = now + quiet*m.cfg.Interval
	m.stoodBy = now + stoodMost*m.cfg.Interval
	for i := range m.members {
		e := &m.members[i]
		e.started += late
		if e.answered > 0 {
			e.answered += late
		}
	}
	m.probing, m.asks, m.errands = nil, nil, nil
	m.nextProbe = now
	if m.self.Meta.Flags&Stalled == 0 {
		m.self.Meta.Flags |= Stalled
		m.speak()
	}
	m.act(Notice{Kind: ProcessStalled, StallDuration: late})
}

// leave tells the others, a few times.
func (m *Machine) leave(now clock.Micros) {
	m.self.State = Left
	m.digestOld = true
	m.leaving, m.nextNews = leaveRounds, now
	m.news, m.paths = news{}, news{}
	m.push(m.self.Name)
}

// tick does what is due.
func (m *Machine) tick(now clock.Micros) {
	t := m.cfg.Interval
	if m.leaving > 0 {
		m.tickLeaving(now)
		return
	}
	if m.self.Meta.Flags&Stalled != 0 && now >= m.stoodBy {
		m.self.Meta.Flags &^= Stalled
		m.speak()
	}
	if now >= m.nextAsk {
		m.askAround(now)
	}
	if m.out {
		return
	}
	m.judge(now)
	m.expire(now)
	if now >= m.nextProbe {
		if m.nextProbe += t / probes; m.nextProbe <= now {
			m.nextProbe = now + t/probes
		}
		m.startProbe(now)
	}
	if !m.news.empty() && now >= m.nextNews {
		m.nextNews = now + t/newsPart
		for range newsTo {
			if e := m.draw(func(*member) bool { return true }); e != nil {
				m.ping(e, 0, "", 0)
			}
		}
	}
}

func (m *Machine) tickLeaving(now clock.Micros) {
	if now < m.nextNews {
		return
	}
	m.nextNews = now + m.cfg.Interval/newsPart
	told := map[string]bool{}
	for range leaveTo {
		if e := m.draw(func(e *member) bool { return !told[e.Name] }); e != nil {
			told[e.Name] = true
			m.ping(e, 0, "", 0)
		}
	}
	if m.leaving--; m.leaving == 0 {
		m.running = false
		m.act(LeaveCompleted{})
	}
}

// draw picks one of the living at random, of those that pass.
func (m *Machine) draw(pass func(*member) bool) *member {
	var all []*member
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() && pass(e) {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[m.random(len(all))]
}

// askAround asks one of the dead, and an address to join at that nobody has answered from: halves that were parted find each
// other again by it, in any order.
func (m *Machine) askAround(now clock.Micros) {
	every := m.cfg.Interval
	if m.living() > 0 || m.asked >= eagerAsks && !m.out {
		every *= askEvery
	}
	m.nextAsk = now + every
	m.asked++
	var dead []*member
	for i := range m.members {
		if e := &m.members[i]; e.State == Dead && !m.out {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		m.lastAsked++
		m.ping(dead[m.lastAsked%len(dead)], 0, "", 0)
	}
	for _, at := range m.cfg.Join {
		if !m.covers(at) {
			msg := m.message(Ping, nil)
			m.act(Send{Address: at, Message: msg})
		}
	}
	for i := 0; i < len(m.members); {
		if e := &m.members[i]; e.State.Ended() && now-e.since > forgetAfter {
			m.drop(i)
			continue
		}
		i++
	}
	m.forgetCuts(func(c PathState) bool { return !m.gone(c.Reporter, c.Generation) })
}

// covers tells whether somebody who lives has answered from an address.
func (m *Machine) covers(at netip.AddrPort) bool {
	i := slices.Index(m.joined, at)
	if i < 0 || m.out {
		return false
	}
	name := m.joinedAs[i]
	if name == m.self.Name {
		return true
	}
	e := m.find(name)
	return e != nil && !e.State.Ended()
}

func (m *Machine) drop(i int) {
	delete(m.index, m.members[i].Name)
	m.members = slices.Delete(m.members, i, i+1)
	for j := i; j < len(m.members); j++ {
		m.index[m.members[j].Name] = j
	}
}
