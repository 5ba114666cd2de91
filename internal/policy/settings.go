package policy

import "marblespan/internal/clock"

// Need says how current the data behind a request must be.
type Need uint8

// The needs, from the least to the most demanding.
const (
	NeedAny     Need = iota // every server will do
	NeedBounded             // no older than the class's staleness bound when sent
	NeedSession             // all that the session has written
	NeedFresh               // all that was written before the request came in
	NeedWrite               // changes data: only the primary takes it
)

// Effect says what a second run of a request may do.
type Effect uint8

// The effects. The zero value is the strictest.
const (
	EffectNonIdempotent Effect = iota // must never run twice
	EffectIdempotent                  // may run again without harm
)

// FreshnessCheck says what a server does with a read for which it is too far behind.
type FreshnessCheck uint8

// The checks. The zero value trusts the servers with nothing.
const (
	FreshnessCheckNone   FreshnessCheck = iota // it answers from what it has
	FreshnessCheckReject                       // it rejects the read as misdirected at once
	FreshnessCheckWait                         // it waits a while to catch up, then rejects it as misdirected
)

// Class is one kind of request.
type Class struct {
	Name             string // identifies it when the settings change
	Need             Need
	Effect           Effect
	StalenessBound   clock.Micros // of NeedBounded
	LatencyObjective clock.Micros // an answer within this time earns all of the weight
	Deadline         clock.Micros // the client's patience over all attempts
	PriorityWeight   int64        // in thousandths
	LateWeight       int64        // share of the weight after the objective, in thousandths
	ObjectiveStretch int64        // the objective grows by this multiple of the request's work, in thousandths
}

// Settings is all that a router is told at its start. Zero values are read as the strictest
// sensible meaning.
type Settings struct {
	Classes []Class
	Tick    clock.Micros // shortest time between two events
	Zone    string       // where this gateway is; compared, never read

	// The fleet of gateways.
	Gateways        int // how many serve these servers
	Ordinal         int // which of them this one is
	CanMessagePeers bool

	// What the servers do and tell.
	FreshnessCheck          FreshnessCheck
	FreshnessCheckWait      clock.Micros // how long FreshnessCheckWait lasts
	SessionPositionsCarried bool         // by session reads; otherwise the router remembers writes
	AnswersCarryPosition    bool         // every answer does

	// The endpoint list.
	ListSubscribed    bool         // the list is subscribed to, not given
	ListPushed        bool         // its changes count as known here at once, received or not
	SubscribeWithin   clock.Micros // after this long without a subscription the list counts as known
	DrainGrace        clock.Micros // sends to a draining or removed server must have ended after it
	RemovedStayUsable bool         // only draining excludes a server, not removal from the list

	// Attempts and final answers.
	CanHealthCheck    bool
	CanCancel         bool
	CanHedge          bool
	CanSendRetryAfter bool
	MaxRetryAfter     clock.Micros
	MaxAttempts       int
	ConnectTimeout    clock.Micros
	AnswerSlack       clock.Micros // a final answer this long after the deadline still counts

	// Slow start.
	SlowStartMinWeight int64        // least share of capacity at a server's start, in thousandths
	SlowStartWindow    clock.Micros // slow start ends this long after the start
	OverloadFactor     int64        // load that brings a server in slow start down, in thousandths
	OverloadWindow     clock.Micros // ... of its capacity, if it lasts for this long

	// CrossZoneCost is the price of each attempt that goes to another zone, in thousandths of a point; points
	// count as a share of requests.
	CrossZoneCost int64
}

// objectiveSpread bounds what is learned to the pace of objectives up to this many times the
// smallest.
const objectiveSpread = 3

// classState is a class, and what has been learned of it.
type classState struct {
	Class
	typicalLatency clock.Micros // moving mean of its answers; 0: none yet
}

// intervals are the paces that follow from the settings' classes.
type intervals struct {
	minObjective clock.Micros // the smallest latency objective: the pace of sweeps and of finding a primary
	maxObjective clock.Micros // the largest, within objectiveSpread: the pace of what is learned
	minBound     clock.Micros // the smallest staleness bound: the pace of health checks for freshness
}

// Reconfigure puts other settings in force. A request in hand is finished under those that it came
// under. What has been learned of servers, groups, sessions, and of classes that keep their names
// stays.
func (r *Router) Reconfigure(now clock.Micros, settings Settings) []Action {
	r.now = max(r.now, now)
	r.adopt(settings)
	return r.takeActions()
}

// adopt takes settings over. Servers that the list has removed are looked at again: removal may
// bind only now, and what was excluded stays so until the list says ready.
func (r *Router) adopt(settings Settings) {
	known := map[string]clock.Micros{}
	for _, k := range r.classes {
		known[k.Name] = k.typicalLatency
	}
	r.settings = &settings
	r.classes = nil
	for _, c := range settings.Classes {
		r.classes = append(r.classes, &classState{Class: c, typicalLatency: known[c.Name]})
	}
	r.normalizeSettings()
	r.deriveIntervals()
	r.meanRequestWork = int64(r.minObjective / unseenWorkPart / 2)
	for _, g := range r.groupsByID {
		for _, s := range g.servers {
			if s.state == EndpointRemoved {
				r.endpointRemoved(s)
			}
		}
	}
}

// normalizeSettings gives missing or contradictory settings the strictest reading that still works,
// with a log line.
func (r *Router) normalizeSettings() {
	s := r.settings
	r.raiseTo(&s.Tick, 1, "tick")
	r.raiseTo(&s.ConnectTimeout, s.Tick, "connect timeout")
	s.Gateways = max(s.Gateways, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	for i, c := range r.classes {
		r.raiseTo(&c.Deadline, s.Tick, "deadline")
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			r.log("class %d: latency objective read as its deadline", i)
			c.LatencyObjective = c.Deadline
		}
	}
}

// raiseTo raises a setting that is too small to the minimum.
func (r *Router) raiseTo(v *clock.Micros, minimum clock.Micros, name string) {
	if *v < minimum {
		r.log("setting %s is %d us, read as %d", name, *v, minimum)
		*v = minimum
	}
}

// deriveIntervals finds the intervals that follow from the classes. Without a class the connect
// timeout stands for the objective, without a bounded one the objective for the bound.
func (r *Router) deriveIntervals() {
	r.intervals = intervals{}
	for _, c := range r.classes {
		if r.minObjective == 0 || c.LatencyObjective < r.minObjective {
			r.minObjective = c.LatencyObjective
		}
		r.maxObjective = max(r.maxObjective, c.LatencyObjective)
		bounded := c.Need == NeedBounded && c.StalenessBound > 0
		if bounded && (r.minBound == 0 || c.StalenessBound < r.minBound) {
			r.minBound = c.StalenessBound
		}
	}
	if r.minObjective == 0 {
		r.minObjective = r.settings.ConnectTimeout
		r.maxObjective = r.settings.ConnectTimeout
	}
	r.maxObjective = min(r.maxObjective, r.minObjective*objectiveSpread)
	if r.minBound == 0 {
		r.minBound = r.minObjective
	}
}
