package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// probes is how many others a member asks in an interval. A death is first noticed by whoever asks next, so this sets how
// soon that is; its price is so many pings and answers.
const probesPerInterval = 3

// helpers is how many others are asked to ask, where there is no direct answer.
const indirectProbeHelpers = 3

// The parts of an interval: a direct answer is waited for, and helpers are waited for, half of it each; a helper says after
// a quarter that it has had no answer, so that its word comes in time.
const (
	directAckFraction = 2
	nackFraction      = 4
)

// The bounds of a suspicion in intervals, counted from the ping that was not answered: the least is for one that so many
// others confirm, the most for one that nobody does.
const (
	minSuspicionIntervals = 6
	maxSuspicionIntervals = 18
	maxConfirmations      = 3
)

// spread times the logarithm of the number of members is how often a piece of news is sent on.
const retransmitMultiplier = 3

// newsPart is the part of an interval after which news are sent out of turn, to newsTo others.
const (
	gossipFraction = 4
	gossipNodes    = 2
)

// askEvery is how many intervals go between two asks of the dead, and of addresses that nobody has answered from.
const rejoinIntervals = 25

// eagerAsks is how often a member that knows nobody asks every interval; later it asks as seldom as the dead are asked.
const eagerJoinAttempts = 10

// mostHealth bounds by how much a member that is ill itself stretches its spans. healthSamples is over how many answers of
// helpers that is measured.
const (
	maxLocalHealth     = 9
	localHealthSamples = 16
)

// cutAfter is how many pings in a row must fail directly, and be answered by way of helpers, before a path counts as cut.
const pathLostAfter = 3

// mostCuts bounds what is kept of others' paths.
const maxPaths = 8192

// quiet is for how many intervals a member that stood still accuses nobody; it shows itself as such ten times as long.
const (
	stallGraceIntervals   = 2
	stalledShownIntervals = 10 * stallGraceIntervals
)

// forgetAfter is how long the end of a life is remembered.
const retainEndedFor clock.Micros = 3_600_000_000

// leaveRounds is how often a member that leaves tells leaveTo others, a quarter interval apart.
const (
	leaveRounds = 4
	leaveNodes  = 6
)

// Machine is one member's state. Its zero value is of no use; New makes one.
type Machine struct {
	cfg          Config
	self         Record
	members      []member
	index        map[string]int  // of members
	pathStates   []PathState     // of others' paths and own ones; the latest word on each
	pathIndex    map[pathKey]int // of cuts
	memberGossip gossipQueue     // of members
	pathGossip   gossipQueue     // of paths; they go out with what is sent anyway
	rng          uint64

	lastEvent       clock.Micros // last time anything was handled
	generationStart clock.Micros // start of its present life
	running         bool
	excluded        bool // another has its name
	leaveRoundsLeft int  // rounds left; 0: it does not leave
	nextProbe       clock.Micros
	nextGossip      clock.Micros
	nextRejoin      clock.Micros
	joinAttempts    int // asks to join so far
	accuseFrom      clock.Micros
	stalledUntil    clock.Micros
	helperMisses    int // missing answers of helpers, in thousandths of all
	lastNumber      uint32
	probeOrder      []string // whom to ask in turn
	probeTurn       int
	reprobe         []string // whom to ask out of turn, for a path that may be cut
	probes          []probe
	relayedPings    []relayedPing
	helperRequests  []helperRequest
	joinSources     []netip.AddrPort // addresses that somebody, or this member itself, has answered from
	joinNames       []string
	syncPage        int // of what is sent to those who know other members
	lastDeadPinged  int
	suspected       []string // every suspect, and some that are none any more
	digest          uint64
	aliveOthers     int  // how many others live
	digestStale     bool // the two above are to be counted anew
	actions         []Action
}

// member is another one, as this one knows it.
type member struct {
	Record
	stateSince     clock.Micros
	lastReceived   clock.Micros // last word from itself
	lastAck        clock.Micros // last answer to a question of this member, or of a helper's that it had asked
	rtt            clock.Micros
	suspectedSince clock.Micros // of the suspicion: the ping that was not answered
	accusers       []string     // who suspect it, one more than confirmations at the most
	lastHelper     string       // the helper that reached it last
	indirectOnly   int          // pings in a row that were answered by way of helpers only
	lastDirectPing uint32       // number of its last ping that came directly
	digest         uint64       // what it knows, as it last said
	unaware        bool         // it does not know this life of this member
	path           PathState    // of the path to it, as this member says
}

// ask is one request to a helper, whose word shows whether this member itself is well.
type helperRequest struct {
	helper   string
	number   uint32
	sentAt   clock.Micros
	answered bool
}

// path is who says something of the path to whom.
type pathKey struct{ reporter, peer string }

// New makes a member that knows nobody.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, index: map[string]int{}, pathIndex: map[pathKey]int{}, rng: cfg.Seed, digestStale: true}
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
	c.pathIndex = make(map[pathKey]int, len(m.pathIndex))
	for k, i := range m.pathIndex {
		c.pathIndex[k] = i
	}
	c.pathStates, c.memberGossip, c.pathGossip = slices.Clone(m.pathStates), m.memberGossip.clone(), m.pathGossip.clone()
	c.probeOrder, c.reprobe = slices.Clone(m.probeOrder), slices.Clone(m.reprobe)
	c.probes, c.relayedPings, c.helperRequests = slices.Clone(m.probes), slices.Clone(m.relayedPings), slices.Clone(m.helperRequests)
	c.joinSources, c.joinNames, c.suspected = slices.Clone(m.joinSources), slices.Clone(m.joinNames), slices.Clone(m.suspected)
	c.actions = nil
	return &c
}

// Self is what this member tells of itself.
func (m *Machine) Self() Record { return m.self }

// Out tells that another process has this one's name, and that it takes no part.
func (m *Machine) Excluded() bool { return m.excluded }

// StoodStillUntil is until when this member shows that it stood still: whoever holds something by time must not trust what it
// knew before.
func (m *Machine) StalledUntil() clock.Micros { return m.stalledUntil }

// Health is by how much this member stretches its spans, for it misses answers that others get: 1 is well.
func (m *Machine) LocalHealth() int {
	if m.cfg.WithoutLifeguard {
		return 1
	}
	return 1 + m.helperMisses*(maxLocalHealth-1)/1000
}

// Members lists how everybody stands, itself first.
func (m *Machine) Members() []View {
	all := []View{{Record: m.self, Self: true, Since: m.generationStart, LastReceived: m.lastEvent}}
	for i := range m.members {
		e := &m.members[i]
		v := View{Record: e.Record, Since: e.stateSince, LastReceived: e.lastReceived, RTT: e.rtt, LastHelper: e.lastHelper}
		for _, c := range m.pathStates {
			if !c.Healthy() && (c.Reporter == e.Name || c.Peer == e.Name) && !m.generationOver(c.Reporter, c.Generation) {
				v.BrokenPaths = append(v.BrokenPaths, c)
			}
		}
		all = append(all, v)
	}
	return all
}

// gone tells whether a life of a member is over, or not known.
func (m *Machine) generationOver(name string, generation uint64) bool {
	if name == m.self.Name {
		return generation != m.self.Generation
	}
	e := m.find(name)
	return e == nil || e.Generation != generation || e.State.Ended()
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
func (m *Machine) countAlive() int {
	m.viewDigest()
	return m.aliveOthers
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
	case m.leaveRoundsLeft > 0:
		return m.nextGossip, true
	case m.excluded:
		return m.nextRejoin, true
	}
	next := min(m.nextProbe, m.nextRejoin)
	if !m.memberGossip.empty() {
		next = min(next, m.nextGossip)
	}
	for _, p := range m.probes {
		next = min(next, p.nextStep)
	}
	for _, e := range m.relayedPings {
		if !e.nackSent {
			next = min(next, e.sent+m.cfg.Interval/nackFraction)
		}
	}
	for _, e := range m.currentSuspects() {
		next = min(next, max(m.suspicionDeadline(e), m.accuseFrom))
	}
	return next, true
}

// Handle takes in one event. Time never goes back: an earlier time counts as the last one.
func (m *Machine) Handle(now clock.Micros, ev Event) []Action {
	now = max(now, m.lastEvent)
	m.actions = nil
	if m.running {
		m.detectStall(now)
	}
	m.lastEvent = now
	switch e := ev.(type) {
	case Started:
		if !m.running {
			m.running, m.generationStart = true, now
			m.nextProbe, m.nextGossip, m.nextRejoin = now, now, now
		}
	case LeaveRequested:
		if m.running && m.leaveRoundsLeft == 0 {
			m.startLeaving(now)
		}
	case MessageReceived:
		if m.running {
			m.handleMessage(now, e.Source, e.Message)
		}
	case MetaUpdated:
		m.updateMeta(e.Meta)
	case Reconfigured:
		m.cfg.Interval, m.cfg.Join = e.Interval, e.Join
		m.nextProbe, m.nextRejoin = min(m.nextProbe, now), min(m.nextRejoin, now)
	}
	if m.running {
		m.tick(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// tell changes what the member tells of itself, and has it spread.
func (m *Machine) updateMeta(meta Meta) {
	meta.Flags = meta.Flags&^Stalled | m.self.Meta.Flags&Stalled
	if meta != m.self.Meta {
		m.self.Meta = meta
		m.bumpIncarnation()
	}
}

// speak has this member's own record spread as its latest word.
func (m *Machine) bumpIncarnation() {
	m.self.Incarnation++
	m.digestStale = true
	m.gossipMember(m.self.Name)
}

// wake looks whether the process stood still. What lies unread must be read before anybody is judged, so for a while nobody
// is; others were not late to one that could not listen, so their spans go on where they were.
func (m *Machine) detectStall(now clock.Micros) {
	due, _ := m.Next()
	late := now - max(due, m.lastEvent)
	if m.cfg.WithoutLifeguard || late < m.cfg.Interval/2 {
		return
	}
	m.accuseFrom = now + stallGraceIntervals*m.cfg.Interval
	m.stalledUntil = now + stalledShownIntervals*m.cfg.Interval
	for i := range m.members {
		e := &m.members[i]
		e.suspectedSince += late
		if e.lastAck > 0 {
			e.lastAck += late
		}
	}
	m.probes, m.helperRequests, m.relayedPings = nil, nil, nil
	m.nextProbe = now
	if m.self.Meta.Flags&Stalled == 0 {
		m.self.Meta.Flags |= Stalled
		m.bumpIncarnation()
	}
	m.emit(Notice{Kind: ProcessStalled, StallDuration: late})
}

// leave tells the others, a few times.
func (m *Machine) startLeaving(now clock.Micros) {
	m.self.State = Left
	m.digestStale = true
	m.leaveRoundsLeft, m.nextGossip = leaveRounds, now
	m.memberGossip, m.pathGossip = gossipQueue{}, gossipQueue{}
	m.gossipMember(m.self.Name)
}

// tick does what is due.
func (m *Machine) tick(now clock.Micros) {
	t := m.cfg.Interval
	if m.leaveRoundsLeft > 0 {
		m.tickLeaving(now)
		return
	}
	if m.self.Meta.Flags&Stalled != 0 && now >= m.stalledUntil {
		m.self.Meta.Flags &^= Stalled
		m.bumpIncarnation()
	}
	if now >= m.nextRejoin {
		m.rejoin(now)
	}
	if m.excluded {
		return
	}
	m.advanceProbes(now)
	m.expireSuspicions(now)
	if now >= m.nextProbe {
		if m.nextProbe += t / probesPerInterval; m.nextProbe <= now {
			m.nextProbe = now + t/probesPerInterval
		}
		m.startProbe(now)
	}
	if !m.memberGossip.empty() && now >= m.nextGossip {
		m.nextGossip = now + t/gossipFraction
		for range gossipNodes {
			if e := m.pickAlive(func(*member) bool { return true }); e != nil {
				m.ping(e, 0, "", 0)
			}
		}
	}
}

func (m *Machine) tickLeaving(now clock.Micros) {
	if now < m.nextGossip {
		return
	}
	m.nextGossip = now + m.cfg.Interval/gossipFraction
	chosen := map[string]bool{}
	for range leaveNodes {
		if e := m.pickAlive(func(e *member) bool { return !chosen[e.Name] }); e != nil {
			chosen[e.Name] = true
			m.ping(e, 0, "", 0)
		}
	}
	if m.leaveRoundsLeft--; m.leaveRoundsLeft == 0 {
		m.running = false
		m.emit(LeaveCompleted{})
	}
}

// draw picks one of the living at random, of those that pass.
func (m *Machine) pickAlive(pass func(*member) bool) *member {
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
func (m *Machine) rejoin(now clock.Micros) {
	every := m.cfg.Interval
	if m.countAlive() > 0 || m.joinAttempts >= eagerJoinAttempts && !m.excluded {
		every *= rejoinIntervals
	}
	m.nextRejoin = now + every
	m.joinAttempts++
	var dead []*member
	for i := range m.members {
		if e := &m.members[i]; e.State == Dead && !m.excluded {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		m.lastDeadPinged++
		m.ping(dead[m.lastDeadPinged%len(dead)], 0, "", 0)
	}
	for _, at := range m.cfg.Join {
		if !m.joinAddressCovered(at) {
			msg := m.newMessage(Ping, nil)
			m.emit(Send{Address: at, Message: msg})
		}
	}
	for i := 0; i < len(m.members); {
		if e := &m.members[i]; e.State.Ended() && now-e.stateSince > retainEndedFor {
			m.removeMember(i)
			continue
		}
		i++
	}
	m.retainPaths(func(c PathState) bool { return !m.generationOver(c.Reporter, c.Generation) })
}

// covers tells whether somebody who lives has answered from an address.
func (m *Machine) joinAddressCovered(at netip.AddrPort) bool {
	i := slices.Index(m.joinSources, at)
	if i < 0 || m.excluded {
		return false
	}
	name := m.joinNames[i]
	if name == m.self.Name {
		return true
	}
	e := m.find(name)
	return e != nil && !e.State.Ended()
}

func (m *Machine) removeMember(i int) {
	delete(m.index, m.members[i].Name)
	m.members = slices.Delete(m.members, i, i+1)
	for j := i; j < len(m.members); j++ {
		m.index[m.members[j].Name] = j
	}
}
