package policy

import "marblespan/internal/clock"

// Health is what a router knows of its servers, for those who decide whether its gateway is of use.
type Health struct {
	UsableServers        int // in service: excluded neither by the list nor by health checks
	GroupsWithoutPrimary int // groups with a request lately that have no known primary
}

// Health counts. Groups without a request in the last interval are left out: their primaries are
// not looked for.
func (r *Router) Health(interval clock.Micros) (h Health) {
	for _, g := range r.groupsByID {
		for _, s := range g.servers {
			if r.inService(s) {
				h.UsableServers++
			}
		}
		if g.primary == nil && g.lastRequestAt > 0 && r.now-g.lastRequestAt <= interval && len(g.servers) > 0 {
			h.GroupsWithoutPrimary++
		}
	}
	return h
}

// ServerView is what a router knows of one server, for those who decide whether it can be spared.
type ServerView struct {
	Endpoint      // as listed
	Primary       bool
	Down          bool
	InSlowStart   bool
	Lag           clock.Micros // between its position and its last sign of life
	LastRequestAt clock.Micros // of its group; 0: never
	InFlight      int          // attempts
}

// View tells of one server.
func (r *Router) View(id ServerID) (v ServerView, known bool) {
	s := r.servers[id]
	if s == nil {
		return v, false
	}
	return ServerView{
		Endpoint: Endpoint{
			Server:  id,
			Group:   s.group.id,
			Zone:    s.zone,
			State:   s.state,
			Started: s.startedAt,
			Primary: s.listedPrimary,
		},
		Primary:       s.group.primary == s,
		Down:          s.down,
		InSlowStart:   r.slowStartWeight(s) < one,
		Lag:           max(s.lastSeenAt-s.position, 0),
		LastRequestAt: s.group.lastRequestAt,
		InFlight:      len(s.inFlight),
	}, true
}
