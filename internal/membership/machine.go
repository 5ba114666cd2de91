package membership

import (
	"maps"
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// retainEndedFor is how long a member is kept in the view after it died or left.
const retainEndedFor clock.Micros = 3_600_000_000

// A member that leaves announces that it leaves in leaveRounds rounds, to leaveNodes other members in each round.
const (
	leaveRounds = 4
	leaveNodes  = 6
)

// A member counts as stalled if its timer ran late by an interval divided by stallDivisor. It then suspects no other member
// for stallGraceIntervals, and sets its Stalled flag for stalledFlagIntervals.
const (
	stallGraceIntervals  = 2
	stalledFlagIntervals = 10 * stallGraceIntervals
	stallDivisor         = 2
)

// Machine is the membership state machine of one member. The zero value is not usable; New returns a Machine. A Machine is not
// safe for concurrent use.
type Machine struct {
	cfg  Config
	self Record
	view
	gossip
	detector
	joining

	lastEvent       clock.Micros // when the last event was handled
	generationStart clock.Micros
	running         bool
	excluded        bool         // another process owns this member's name
	leaveRoundsLeft int          // 0: the member is not leaving
	stallGraceUntil clock.Micros // after a stall, no member is suspected or declared dead before this time
	stalledUntil    clock.Micros // the time until which the Stalled flag is set
	randomState     uint64
	actions         []Action // actions of the event being handled
}

// view holds what is known about the other members.
type view struct {
	members     []member
	index       map[string]int  // index into members by name
	pathStates  []PathState     // the latest report of each reporter on each path, including this member's own reports
	pathIndex   map[pathKey]int // index into pathStates
	digest      uint64          // digest of all members that have not ended, see viewDigest
	alivePeers  int             // number of other members that have not ended
	digestStale bool            // digest and alivePeers must be recomputed
}

// gossip holds the information that still has to be sent to other members.
type gossip struct {
	memberGossip gossipQueue // records; while the queue holds any, additional pings are sent to carry them
	pathGossip   gossipQueue // path reports; they are only added to messages that are sent anyway
	nextGossip   clock.Micros
	syncPage     int // index in members of the last record sent in a page of the view
}

// detector is the state of the failure detector.
type detector struct {
	nextProbe      clock.Micros
	lastNumber     uint32   // number of the last ping sent
	probeOrder     []string // members to probe, in this order
	probeTurn      int      // index in probeOrder of the next member to probe
	reprobe        []string // members to probe before their turn because the path to them may be lost
	probes         []probe
	relayedPings   []relayedPing
	helperRequests []helperRequest
	helperMisses   int      // moving average of the share of requests that helpers did not answer, in thousandths
	suspected      []string // all suspects, and possibly members that are no longer suspected
}

// joining is the state of the attempts to find new members and to find dead ones again.
type joining struct {
	nextRejoin     clock.Micros
	joinAttempts   int
	joinSources    []netip.AddrPort // join addresses that have answered
	joinNames      []string         // the member that answered from joinSources[i]
	lastDeadPinged int
}

// member holds what this machine knows about another member.
type member struct {
	Record
	stateSince     clock.Micros
	lastReceived   clock.Micros // when the last message from the member itself arrived
	lastAck        clock.Micros // when the last answer to a probe arrived, from the member or from a helper
	rtt            clock.Micros
	suspectedSince clock.Micros // start of the unanswered probe that led to the suspicion
	suspectedBy    []string     // names of the members that suspect the described member, at most maxConfirmations+1
	lastHelper     string       // the helper that most recently reached the member
	indirectOnly   int          // consecutive probes that were answered only through helpers
	lastDirectPing uint32       // number of the last ping received directly from the member
	digest         uint64       // digest of the member's view, from its last message
	unaware        bool         // the member does not know this machine's own current generation
	path           PathState    // this machine's own report on the path to the member
}

// pathKey identifies the reports of one member on its path to a peer.
type pathKey struct{ reporter, peer string }

// New returns a machine that is not started and knows no other member.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, randomState: cfg.Seed}
	m.index, m.pathIndex, m.digestStale = map[string]int{}, map[pathKey]int{}, true
	m.self = Record{Name: cfg.Name, Address: cfg.Address, Generation: cfg.Generation, Meta: cfg.Meta}
	return m
}

// Clone returns an independent copy, for tests and the model checker.
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

// Self returns this member's own record.
func (m *Machine) Self() Record { return m.self }

// Excluded reports whether this member does not participate because another process owns its name.
func (m *Machine) Excluded() bool { return m.excluded }

// StalledUntil returns the time until which this member sets its Stalled flag. Until then, a caller that holds something for a
// limited time, such as a lease, must not rely on what it knew before the stall.
func (m *Machine) StalledUntil() clock.Micros { return m.stalledUntil }

// LocalHealth returns Lifeguard's local health multiplier: the factor by which this member extends its timeouts. The factor
// grows with the share of this member's requests that helpers do not answer. 1 is healthy; maxLocalHealth is the worst.
func (m *Machine) LocalHealth() int {
	if m.cfg.WithoutLifeguard {
		return 1
	}
	return 1 + m.helperMisses*(maxLocalHealth-1)/1000
}

// Members returns all members as this member sees them, with this member first.
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

// generationOver reports whether a generation of a member has ended or differs from the member's known generation.
func (m *Machine) generationOver(name string, generation uint64) bool {
	if name == m.self.Name {
		return generation != m.self.Generation
	}
	e := m.find(name)
	return e == nil || e.Generation != generation || e.State.Ended()
}

// Lookup returns the record of another member. The result is false if the member is not known.
func (m *Machine) Lookup(name string) (Record, bool) {
	if e := m.find(name); e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// find returns the other member with the given name, or nil. The pointer is valid until a member is added or removed.
func (m *Machine) find(name string) *member {
	if i, ok := m.index[name]; ok {
		return &m.members[i]
	}
	return nil
}

// random returns a pseudo-random number in [0, n). Without a seed it always returns 0.
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

// pickAlive returns a random member among those that have not ended and for which the function pass returns true, or nil if
// there is no such member.
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

// anyMember is a filter for pickAlive that accepts every member.
func anyMember(*member) bool { return true }

// Next returns the time at which a Tick is due. The result is false if the member has not started or has left.
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

// Handle processes one event and returns the actions to carry out, in order. If now is earlier than the time of the previous
// event, that time is used instead. After every event, Handle also does all work that is due, as for a Tick.
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

// detectStall checks whether the process did not run for a while. After a stall, the socket may hold unread messages, which
// must be read before any member is suspected; so no member is suspected for stallGraceIntervals. The suspicion deadlines of
// other members are extended by the duration of the stall, because this process could not receive their answers during it.
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

// clearStall clears the Stalled flag once stalledUntil has passed.
func (m *Machine) clearStall(now clock.Micros) {
	if m.self.Meta.Flags&Stalled != 0 && now >= m.stalledUntil {
		m.self.Meta.Flags &^= Stalled
		m.bumpIncarnation()
	}
}

// tick does all work that is due.
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

// sendGossip sends additional pings that only carry queued gossip. The member does not wait for answers to these pings.
func (m *Machine) sendGossip(now clock.Micros) {
	m.nextGossip = now + m.cfg.Interval/gossipDivisor
	for range gossipNodes {
		if e := m.pickAlive(anyMember); e != nil {
			m.ping(e, 0, "", 0)
		}
	}
}

// forgetEnded removes members that died or left more than retainEndedFor ago, and the path reports of generations that have
// ended.
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

// startLeaving marks this member's record as Left, and queues that record as the only gossip.
func (m *Machine) startLeaving(now clock.Micros) {
	m.self.State = Left
	m.digestStale = true
	m.leaveRoundsLeft, m.nextGossip = leaveRounds, now
	m.memberGossip, m.pathGossip = gossipQueue{}, gossipQueue{}
	m.gossipMember(m.self.Name)
}

// tickLeaving announces to leaveNodes other members that this member leaves, and stops the machine after the last round.
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
