package membership

import (
	"maps"
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// retainEndedFor is how long an ended member is remembered.
const retainEndedFor clock.Micros = 3_600_000_000

// A member that leaves tells leaveNodes others in each of leaveRounds rounds.
const (
	leaveRounds = 4
	leaveNodes  = 6
)

// A member that was stalled accuses nobody for stallGraceIntervals; it shows itself as such for stalledFlagIntervals. It was
// stalled if its timer ran late by an interval divided by stallDivisor.
const (
	stallGraceIntervals  = 2
	stalledFlagIntervals = 10 * stallGraceIntervals
	stallDivisor         = 2
)

// Machine is one member's state. Its zero value is of no use; New makes one. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self Record
	view
	gossip
	detector
	joining

	lastEvent       clock.Micros // when anything was handled last
	generationStart clock.Micros
	running         bool
	excluded        bool // another process owns its name
	leaveRoundsLeft int  // 0: it does not leave
	stallGraceUntil clock.Micros
	stalledUntil    clock.Micros
	randomState     uint64
	actions         []Action // of the event in hand
}

// view is what is known of others.
type view struct {
	members     []member
	index       map[string]int  // place in members by name
	pathStates  []PathState     // the latest report of each reporter on each path, this member's own among them
	pathIndex   map[pathKey]int // place in pathStates
	digest      uint64          // of all alive members, see viewDigest
	alivePeers  int             // how many others have not ended
	digestStale bool            // digest and alivePeers are to be computed again
}

// gossip is what is still to be spread.
type gossip struct {
	memberGossip gossipQueue // of records; it has messages sent out of turn
	pathGossip   gossipQueue // of path reports; they go out with what is sent anyway
	nextGossip   clock.Micros
	syncPage     int // next of members to be sent to those whose view differs
}

// detector is the state of the failure detector.
type detector struct {
	nextProbe      clock.Micros
	lastNumber     uint32   // of the pings sent
	probeOrder     []string // whom to probe in turn
	probeTurn      int      // next of probeOrder
	reprobe        []string // whom to probe out of turn, as the path to them may be lost
	probes         []probe
	relayedPings   []relayedPing
	helperRequests []helperRequest
	helperMisses   int      // helpers' missing answers, in thousandths of all
	suspected      []string // every suspect, and some that are none any more
}

// joining is what is under way to find members, and to find ended ones again.
type joining struct {
	nextRejoin     clock.Micros
	joinAttempts   int
	joinSources    []netip.AddrPort // addresses to join at that have answered
	joinNames      []string         // who answered, at the same places
	lastDeadPinged int
}

// member is another member, as this one knows it.
type member struct {
	Record
	stateSince     clock.Micros
	lastReceived   clock.Micros // last message from itself
	lastAck        clock.Micros // last answer to a probe, its own or by a helper
	rtt            clock.Micros
	suspectedSince clock.Micros // when the probe began that was not answered
	suspectedBy    []string     // who suspect it, maxConfirmations+1 at the most
	lastHelper     string       // the helper that reached it last
	indirectOnly   int          // probes in a row that were answered by way of helpers only
	lastDirectPing uint32       // number of its last ping that came directly
	digest         uint64       // of its view, as it last sent it
	unaware        bool         // it does not know this generation of this member
	path           PathState    // of the path to it, as this member reports it
}

// pathKey is who reports on the path to whom.
type pathKey struct{ reporter, peer string }

// New makes a member that knows nobody.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, randomState: cfg.Seed}
	m.index, m.pathIndex, m.digestStale = map[string]int{}, map[pathKey]int{}, true
	m.self = Record{Name: cfg.Name, Address: cfg.Address, Generation: cfg.Generation, Meta: cfg.Meta}
	return m
}

// Clone is an independent copy, for tests and the model checker.
func (m *Machine) Clone() *Machine {
	c := *m
	c.members = slices.Clone(m.members)
	for i := range c.members {
		c.members[i].suspectedBy = slices.Clone(c.members[i].suspectedBy)
	}
	c.index, c.pathIndex = cloneMap(m.index), cloneMap(m.pathIndex)
	c.pathStates, c.memberGossip, c.pathGossip = slices.Clone(m.pathStates), m.memberGossip.clone(), m.pathGossip.clone()
	c.probeOrder, c.reprobe = slices.Clone(m.probeOrder), slices.Clone(m.reprobe)
	c.probes, c.relayedPings, c.helperRequests = slices.Clone(m.probes), slices.Clone(m.relayedPings), slices.Clone(m.helperRequests)
	c.joinSources, c.joinNames, c.suspected = slices.Clone(m.joinSources), slices.Clone(m.joinNames), slices.Clone(m.suspected)
	c.actions = nil
	return &c
}

// cloneMap copies a map; unlike maps.Clone it never returns nil, so that the copy can be written to.
func cloneMap[K comparable](from map[K]int) map[K]int {
	c := make(map[K]int, len(from))
	maps.Copy(c, from)
	return c
}

// Self is what this member tells of itself.
func (m *Machine) Self() Record { return m.self }

// Excluded tells that another process owns this member's name, and that it takes no part.
func (m *Machine) Excluded() bool { return m.excluded }

// StalledUntil is until when this member shows that it was stalled: whoever holds something by time must not trust what it
// knew before.
func (m *Machine) StalledUntil() clock.Micros { return m.stalledUntil }

// LocalHealth is Lifeguard's local health multiplier: by how much this member stretches its timeouts because it misses
// answers that others get. 1 is healthy, maxLocalHealth the worst.
func (m *Machine) LocalHealth() int {
	if m.cfg.WithoutLifeguard {
		return 1
	}
	return 1 + m.helperMisses*(maxLocalHealth-1)/1000
}

// Members lists all members as this one sees them, itself first.
func (m *Machine) Members() []View {
	all := []View{{Record: m.self, Self: true, Since: m.generationStart, LastReceived: m.lastEvent}}
	for i := range m.members {
		e := &m.members[i]
		v := View{Record: e.Record, Since: e.stateSince, LastReceived: e.lastReceived, RTT: e.rtt, LastHelper: e.lastHelper}
		for _, p := range m.pathStates {
			if !p.Healthy() && (p.Reporter == e.Name || p.Peer == e.Name) && !m.generationOver(p.Reporter, p.Generation) {
				v.LostPaths = append(v.LostPaths, p)
			}
		}
		all = append(all, v)
	}
	return all
}

// generationOver tells whether a generation of a member has ended, or is not known.
func (m *Machine) generationOver(name string, generation uint64) bool {
	if name == m.self.Name {
		return generation != m.self.Generation
	}
	e := m.find(name)
	return e == nil || e.Generation != generation || e.State.Ended()
}

// Lookup is the record of another member; false: it is not known.
func (m *Machine) Lookup(name string) (Record, bool) {
	if e := m.find(name); e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// find is another member by its name, or nil. The pointer is valid until a member is added or removed.
func (m *Machine) find(name string) *member {
	if i, ok := m.index[name]; ok {
		return &m.members[i]
	}
	return nil
}

// random draws a number below n. Without a seed it is always 0.
func (m *Machine) random(n int) int {
	if m.cfg.Seed == 0 || n <= 1 {
		return 0
	}
	m.randomState += 0x9e3779b97f4a7c15 // splitmix64, Steele, Lea and Flood 2014
	z := m.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) >> 1 % uint64(n))
}

// pickAlive draws one of the members that have not ended, of those that pass; nil: there is none.
func (m *Machine) pickAlive(pass func(*member) bool) *member {
	var candidates []*member
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() && pass(e) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.random(len(candidates))]
}

// anyMember lets every member pass.
func anyMember(*member) bool { return true }

// Next is when a Tick is due; false: never, as the member has not started or has left.
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
	for _, r := range m.relayedPings {
		if !r.nackSent {
			next = min(next, r.sentAt+m.cfg.Interval/nackDivisor)
		}
	}
	for _, e := range m.currentSuspects() {
		next = min(next, max(m.suspicionDeadline(e), m.stallGraceUntil))
	}
	return next, true
}

// Handle takes in one event and returns what is to be done, in order. Time never goes back: an earlier time counts as the
// last one. After each event the machine does all that is due.
func (m *Machine) Handle(now clock.Micros, ev Event) []Action {
	now = max(now, m.lastEvent)
	m.actions = nil
	if m.running {
		m.detectStall(now)
	}
	m.lastEvent = now
	switch e := ev.(type) {
	case Started:
		m.start(now)
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

func (m *Machine) start(now clock.Micros) {
	if m.running {
		return
	}
	m.running, m.generationStart = true, now
	m.nextProbe, m.nextGossip, m.nextRejoin = now, now, now
}

// detectStall checks whether the process did not run for a while. What lies unread in the socket must be read before anybody
// is accused, so for some time nobody is. Others were not late to one that could not listen, so their deadlines move on by
// the pause.
func (m *Machine) detectStall(now clock.Micros) {
	due, _ := m.Next()
	late := now - max(due, m.lastEvent)
	if m.cfg.WithoutLifeguard || late < m.cfg.Interval/stallDivisor {
		return
	}
	m.stallGraceUntil = now + stallGraceIntervals*m.cfg.Interval
	m.stalledUntil = now + stalledFlagIntervals*m.cfg.Interval
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

// clearStall takes the Stalled flag back when its time is over.
func (m *Machine) clearStall(now clock.Micros) {
	if m.self.Meta.Flags&Stalled != 0 && now >= m.stalledUntil {
		m.self.Meta.Flags &^= Stalled
		m.bumpIncarnation()
	}
}

// tick does all that is due.
func (m *Machine) tick(now clock.Micros) {
	if m.leaveRoundsLeft > 0 {
		m.tickLeaving(now)
		return
	}
	m.clearStall(now)
	if now >= m.nextRejoin {
		m.rejoin(now)
		m.forgetEnded(now)
	}
	if m.excluded {
		return
	}
	m.advanceProbes(now)
	m.expireSuspicions(now)
	if now >= m.nextProbe {
		between := m.cfg.Interval / probesPerInterval
		if m.nextProbe += between; m.nextProbe <= now {
			m.nextProbe = now + between
		}
		m.startProbe(now)
	}
	if !m.memberGossip.empty() && now >= m.nextGossip {
		m.sendGossip(now)
	}
}

// sendGossip spreads what is new out of turn, by pings that wait for no answer.
func (m *Machine) sendGossip(now clock.Micros) {
	m.nextGossip = now + m.cfg.Interval/gossipDivisor
	for range gossipNodes {
		if e := m.pickAlive(anyMember); e != nil {
			m.ping(e, 0, "", 0)
		}
	}
}

// forgetEnded removes members that ended long ago, and the path reports of ended reporters.
func (m *Machine) forgetEnded(now clock.Micros) {
	for i := 0; i < len(m.members); {
		if e := &m.members[i]; e.State.Ended() && now-e.stateSince > retainEndedFor {
			m.removeMember(i)
			continue
		}
		i++
	}
	m.retainPaths(func(p PathState) bool { return !m.generationOver(p.Reporter, p.Generation) })
}

// startLeaving begins to tell the others that this member leaves.
func (m *Machine) startLeaving(now clock.Micros) {
	m.self.State = Left
	m.digestStale = true
	m.leaveRoundsLeft, m.nextGossip = leaveRounds, now
	m.memberGossip, m.pathGossip = gossipQueue{}, gossipQueue{}
	m.gossipMember(m.self.Name)
}

// tickLeaving tells some others that this member leaves, and stops after the last round.
func (m *Machine) tickLeaving(now clock.Micros) {
	if now < m.nextGossip {
		return
	}
	m.nextGossip = now + m.cfg.Interval/gossipDivisor
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
