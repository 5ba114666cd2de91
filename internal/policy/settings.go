package policy

import "marblespan/internal/clock"

// Need is how current the data behind a request must be.
type Need uint8

// The needs, from least to most demanding.
const (
	NeedAny     Need = iota // any server may serve the request
	NeedBounded             // data no older than the class's staleness bound when the request is sent
	NeedSession             // data with all writes of the session
	NeedFresh               // data with every write made before the request arrived
	NeedWrite               // changes data: only the primary may run it
)

// Effect is the harm that a second run of a request may do.
type Effect uint8

// The effects. The zero value is the strictest.
const (
	EffectNonIdempotent Effect = iota // must never run twice
	EffectIdempotent                  // may run again without harm
)

// FreshnessCheck is what a server does with a read that needs newer data than the server has.
type FreshnessCheck uint8

// The checks. The zero value is the strictest: the router must not rely on the servers.
const (
	FreshnessCheckNone   FreshnessCheck = iota // the server serves the read from its old data
	FreshnessCheckReject                       // the server rejects the read as misdirected at once
	FreshnessCheckWait                         // server waits to catch up, then rejects the read as misdirected
)

// Class is one class of requests.
type Class struct {
	Name             string // identifies the class when the settings change
	Need             Need
	Effect           Effect
	StalenessBound   clock.Micros // for NeedBounded
	LatencyObjective clock.Micros // an answer within this time earns the full priority weight
	Deadline         clock.Micros // how long the client waits, over all attempts
	PriorityWeight   int64        // in thousandths
	LateWeight       int64        // share of the weight earned after the objective, in thousandths
	ObjectiveStretch int64        // the objective grows by this multiple of the request's work, in thousandths
}

// Settings configures a router. Zero values are given the strictest meaning that makes sense.
type Settings struct {
	Classes []Class
	Tick    clock.Micros // shortest time between two events
	Zone    string       // this gateway's zone; only compared with those of servers

	// The fleet of gateways.
	Gateways        int // number of gateways that share these servers
	Ordinal         int // number of this gateway among them
	CanMessagePeers bool

	// Capabilities of the servers.
	FreshnessCheck          FreshnessCheck
	FreshnessCheckWait      clock.Micros // how long a server waits to catch up
	SessionPositionsCarried bool         // session reads carry a position; else the router remembers writes
	AnswersCarryPosition    bool         // every answer carries the server's position

	// The endpoint list.
	ListSubscribed    bool         // the router subscribes to the list; otherwise it is given the list
	ListPushed        bool         // a change counts as known to this gateway at once, even if not received
	SubscribeWithin   clock.Micros // after this long without a subscription, the list counts as known anyway
	DrainGrace        clock.Micros // after this long nothing may be sent to a draining or removed server
	RemovedStayUsable bool         // only draining excludes a server; removal from the list does not

	// Attempts and final answers.
	CanHealthCheck    bool
	CanCancel         bool
	CanHedge          bool
	CanSendRetryAfter bool
	MaxRetryAfter     clock.Micros
	MaxAttempts       int
	ConnectTimeout    clock.Micros
	AnswerSlack       clock.Micros // a final answer up to this long after the deadline still counts

	// Slow start.
	SlowStartMinWeight int64        // share of its capacity that a server has at its start, in thousandths
	SlowStartWindow    clock.Micros // length of slow start, from the server's start
	OverloadFactor     int64        // load that makes a server in slow start fail, in thousandths ...
	OverloadWindow     clock.Micros // ... of its capacity, if the load lasts for this long

	// CrossZoneCost is the cost of each attempt that goes to another zone, in thousandths of a point.
	// Points are given as a share of requests. The router only tests whether the cost is above zero.
	CrossZoneCost int64
}

// objectiveSpread limits maxObjective to this many times minObjective, so that one class with a long
// objective does not slow down everything that depends on maxObjective.
const objectiveSpread = 3

// classState is a class and what the router has learned about it.
type classState struct {
	Class
	typicalLatency clock.Micros // moving mean of the latency of its answers; 0: no answer yet
}

// intervals are the time scales that are derived from the classes in the settings.
type intervals struct {
	// minObjective is the smallest latency objective. The interval between sweeps and the intervals of the
	// search for a primary are fractions of it.
	minObjective clock.Micros
	// maxObjective is the largest latency objective, but at most objectiveSpread times minObjective. The
	// larger maxObjective is, the slower moving means change, and the longer ejections and the intervals
	// between health checks of servers that are down can be.
	maxObjective clock.Micros
	// minBound is the smallest staleness bound. The intervals of health checks for freshness are fractions
	// of it.
	minBound clock.Micros
}

// Reconfigure replaces the settings. A request that has already arrived is finished under the settings in
// force on its arrival. The router keeps what it has learned about servers, groups, sessions, and classes
// that keep their names.
func (r *Router) Reconfigure(now clock.Micros, settings Settings) []Action {
	r.now = max(r.now, now)
	r.applySettings(settings)
	return r.takeActions()
}

// applySettings puts new settings in force. The new settings may make removal from the endpoint list
// exclude a server, so servers that the list has already removed are processed again. A server that is
// already excluded stays excluded until the list marks it as ready.
func (r *Router) applySettings(settings Settings) {
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
	r.meanRequestWork = int64(r.minObjective / unseenWorkDivisor / 2)
	for _, g := range r.groupsByID {
		for _, s := range g.servers {
			if s.state == EndpointRemoved {
				r.endpointRemoved(s)
			}
		}
	}
}

// normalizeSettings replaces missing or contradictory settings by the strictest values that still work,
// and logs each duration that it replaces.
func (r *Router) normalizeSettings() {
	s := r.settings
	r.raiseTo(&s.Tick, 1, "tick")
	r.raiseTo(&s.ConnectTimeout, s.Tick, "connect timeout")
	s.Gateways = max(s.Gateways, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	for i, c := range r.classes {
		r.raiseTo(&c.Deadline, s.Tick, "deadline")
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			r.log("class %d: latency objective is missing or longer than the deadline, using the deadline", i)
			c.LatencyObjective = c.Deadline
		}
	}
}

// raiseTo raises a setting that is below its minimum to the minimum, and logs the change.
func (r *Router) raiseTo(v *clock.Micros, minimum clock.Micros, name string) {
	if *v < minimum {
		r.log("setting %s is %d us, using the minimum of %d us", name, *v, minimum)
		*v = minimum
	}
}

// deriveIntervals computes the intervals from the classes. Without classes, the connect timeout is used
// as the objective. Without a class that has a staleness bound, the smallest objective is used as the
// bound.
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
