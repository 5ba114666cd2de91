package policy

import (
	"fmt"
	"sort"

	"marblespan/internal/clock"
)

// This file holds containers only: what the router remembers, and how it is kept. No decision stands here.

// Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	settings   *Settings     // in force
	classes    []*classState // its classes
	rng        random
	now        clock.Micros
	actions    []Action
	servers    map[ServerID]*server
	groups     map[int]*group
	groupsByID []*group // by id
	requests   map[string]*request
	sessions   *sessions

	// work answered since servedFrom; the usual amount from a server in a fall window
	workServed, usualWork int64
	workSince             clock.Micros // both in microseconds
	meanRequestWork       int64        // moving mean of the work of a request
	retryTokens           int64        // saved-up retries, in thousandths
	checkTokens           int64        // saved-up probes for freshness, in thousandths

	minObjective clock.Micros // the smallest aim: the pace of sweeps and of looking for a primary
	maxObjective clock.Micros
	minBound     clock.Micros // the smallest bound: the pace of probes

	subscribed, subscribing       bool
	subscribeAt, subscribeBackOff clock.Micros
}

// kind is a class, and what has been learned of it.
type classState struct {
	Class
	typicalLatency clock.Micros // moving mean of the latency of its answers
}

// Reconfigure puts other settings in force. A request in hand is finished under those that it came
// under; what has been
// learned of servers, groups, sessions and of classes that keep their names stays.
func (r *Router) Reconfigure(now clock.Micros, set Settings) []Action {
	r.now = max(r.now, now)
	r.adopt(set)
	return r.takeActions()
}

// adopt takes settings over. Servers that the list has called gone are judged by the new ones again:
// what forbids them
// may bind only now, and what was forbidden stays so until the list says ready.
func (r *Router) adopt(set Settings) {
	known := map[string]clock.Micros{}
	for _, k := range r.classes {
		known[k.Name] = k.typicalLatency
	}
	r.settings, r.classes, r.minObjective, r.maxObjective, r.minBound = &set, nil, 0, 0, 0
	for _, c := range set.Classes {
		r.classes = append(r.classes, &classState{Class: c, typicalLatency: known[c.Name]})
	}
	r.normalizeSettings()
	for _, g := range r.groupsByID {
		for _, s := range g.servers {
			if s.state == EndpointRemoved {
				r.endpointRemoved(s)
			}
		}
	}
}

// server is what this gateway knows of one database server.
type server struct {
	id            ServerID
	group         *group
	zone          string
	state         EndpointState
	excluded      bool // draining or gone, as told: nothing new may be sent
	listedPrimary bool // the list names it as the primary
	startedAt     clock.Micros

	position     Position     // never goes back
	lastSeenAt   clock.Micros // last sign of life
	roleProvenAt clock.Micros // time of the newest proof of its role
	role         Role

	inFlight      []*attempt // attempts out, oldest first
	busySince     clock.Micros
	limit         int64 // attempts this gateway lets be out at once, in thousandths
	limitCutAt    clock.Micros
	latencySeenAt clock.Micros
	latencyRatio  int64 // moving mean of latency over aim, in thousandths
	errorShare    int64 // moving share of attempts that failed, in thousandths

	suspect         bool // a connection failed or broke: a probe shall tell whether it is down
	down            bool // its probes fail
	downAt          clock.Micros
	recheckInterval clock.Micros
	ejectedAt       clock.Micros
	ejected         bool
	ejectionTime    clock.Micros

	backOffUntil clock.Micros // it turned a request away as full: left alone until then
	backOff      clock.Micros

	misdirectedUntil   clock.Micros // it turned a read away as too far behind: not tried on hope until then
	misdirectedBackOff clock.Micros
	writeMisdirectedAt clock.Micros // last time it turned a write away

	checking     bool
	checkedAt    clock.Micros
	failedChecks int

	slowStartSends   []slowStartSend // sends while cold, within the fall window
	slowStartDraw    int64           // a budget below one send is a chance: what was drawn, in thousandths
	slowStartDrawnAt clock.Micros
}

// coldSend is a send to a cold server, and the work that it may be.
type slowStartSend struct {
	at   clock.Micros
	work int64
}

// Health is what a router knows of its servers, for those who judge whether its gateway is of use.
type Health struct {
	UsableServers        int // servers that work may be sent to
	GroupsWithoutPrimary int // groups asked for lately that have no known primary
}

// Health counts; it decides nothing. Groups that nobody has asked for in the last span are left out:
// their primaries are
// not looked for.
func (r *Router) Health(lately clock.Micros) (h Health) {
	for _, g := range r.groupsByID {
		for _, s := range g.servers {
			if r.inService(s) {
				h.UsableServers++
			}
		}
		if g.primary == nil && g.lastRequestAt > 0 && r.now-g.lastRequestAt <= lately && len(g.servers) > 0 {
			h.GroupsWithoutPrimary++
		}
	}
	return h
}

// ServerView is what a router knows of one server, for those who ask whether it can be spared.
type ServerView struct {
	Endpoint
	Primary, Down, InSlowStart bool
	Lag                        clock.Micros // by its last word
	LastRequestAt              clock.Micros // when its group was last asked for; 0: never
	InFlight                   int          // attempts that are out there
}

// View tells of a server; it decides nothing.
func (r *Router) View(id ServerID) (v ServerView, known bool) {
	s := r.servers[id]
	if s == nil {
		return v, false
	}
	return ServerView{
		Endpoint: Endpoint{Server: id,
			Group:   s.group.id,
			Zone:    s.zone,
			State:   s.state,
			Started: s.startedAt,
			Primary: s.listedPrimary},
		Primary:       s.group.primary == s,
		Down:          s.down,
		InSlowStart:   r.slowStartWeight(s) < one,
		Lag:           max(s.lastSeenAt-s.position, 0),
		LastRequestAt: s.group.lastRequestAt,
		InFlight:      len(s.inFlight),
	}, true
}

// group is a primary and its replicas.
type group struct {
	id              int
	servers         []*server // by id
	primary         *server
	primaryProvenAt clock.Micros // time of the proof that made it the primary
	queue           []*request
	lastRequestAt   clock.Micros // last arrival of a request for it
}

// groupOf finds or makes a group.
func (r *Router) groupOf(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id}
		r.groups[id] = g
		r.groupsByID = append(r.groupsByID, g)
		sort.Slice(r.groupsByID, func(i, j int) bool { return r.groupsByID[i].id < r.groupsByID[j].id })
	}
	return g
}

// attempt is one send of a request.
type attempt struct {
	request  *request
	index    int
	server   *server
	sentAt   clock.Micros
	inFlight bool
	neverRan bool
}

// request is one accepted request.
type request struct {
	id                 string
	settings           *Settings // those that it came under and is finished under, as its class
	class              *classState
	group              *group
	session            *session
	requiredPosition   Position // what a replica must have applied; for bounded reads it moves with the clock
	deadline           clock.Micros
	objectiveAt        clock.Micros
	awaitsCheckUntil   clock.Micros // it waits for reports of replicas until then
	attempts           []*attempt
	misdirectedBy      []ServerID
	admissionDraw      int64 // its draw against limits below one attempt
	admissionDrawUntil clock.Micros
	queued             bool
	done               bool
}

// outstanding counts the attempts that are out.
func (req *request) outstanding() int {
	n := 0
	for _, a := range req.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// firstMaybe is the first attempt that ran or may have run, or nil.
func firstMaybe(req *request) *attempt {
	for _, a := range req.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// writesSession tells whether the request is a write whose commit its session's reads must see.
func (req *request) writesSession() bool { return req.class.Need == NeedWrite && req.session != nil }

// session is what is remembered of one session.
type session struct {
	key            uint64
	position       Position // its last commit through this gateway, as far as is known
	writesInFlight int      // attempts of its writes that are out
	replica        ServerID
	sticky         bool // replica is set
}

// sessions is a store of bounded size that forgets the session first seen longest ago. All of it is
// set aside at the
// start, so that it does not grow through the day.
type sessions struct {
	byKey map[uint64]*session
	ring  []session
	next  int
	floor Position // the highest mark forgotten
}

func newSessions(size int) *sessions {
	return &sessions{byKey: make(map[uint64]*session, size), ring: make([]session, 0, size)}
}

// get finds or makes a session; a new one begins at the highest mark ever forgotten. A request that
// still holds the
// one forgotten can only raise the new one's mark. One with a write out is not forgotten.
func (t *sessions) get(key uint64) *session {
	if s := t.byKey[key]; s != nil {
		return s
	}
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, session{})
	}
	for range t.ring {
		if t.ring[t.next].writesInFlight == 0 {
			break
		}
		t.next = (t.next + 1) % len(t.ring)
	}
	s := &t.ring[t.next]
	t.next = (t.next + 1) % cap(t.ring)
	t.floor = max(t.floor, s.position)
	if t.byKey[s.key] == s {
		delete(t.byKey, s.key)
	}
	*s = session{key: key, position: t.floor}
	t.byKey[key] = s
	return s
}

// take hands over the actions gathered so far.
func (r *Router) takeActions() (out []Action) {
	out, r.actions = r.actions, nil
	return out
}

func (r *Router) emit(a Action)                     { r.actions = append(r.actions, a) }
func (r *Router) setTimer(at clock.Micros, t Timer) { r.emit(SetTimer{At: at, Timer: t}) }
func (r *Router) log(format string, a ...any)       { r.emit(Log{Text: fmt.Sprintf(format, a...)}) }

// random is a splitmix64 sequence.
type random struct{ state uint64 }

func (r *random) below(n int) int {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

// drop removes the first x from list, keeping the order.
func drop[T comparable](list []T, x T) []T {
	for i, v := range list {
		if v == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// contains tells whether list holds x.
func contains[T comparable](list []T, x T) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}
