package policy

import "marblespan/internal/clock"

// Health summarizes a router's servers, for callers that decide whether its gateway can serve requests.
type Health struct {
	UsableServers        int // servers in service: excluded neither by the endpoint list nor by health checks
	GroupsWithoutPrimary int // groups with a recent request but without a known primary
}

// Health returns the current summary. GroupsWithoutPrimary leaves out groups whose last request arrived
// longer ago than the given interval, because the router does not search for the primary of an idle group.
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

// ServerView is a router's state of one server, for callers that decide whether the server can be taken
// out of service.
type ServerView struct {
	Endpoint      // entry of the server in the endpoint list
	Primary       bool
	Down          bool
	InSlowStart   bool
	Lag           clock.Micros // from its log position to the last time that it was known to be alive
	LastRequestAt clock.Micros // last arrival of a request for its group; 0: never
	InFlight      int          // attempts in flight
}

// View returns the state of one server and reports whether the server is known.
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
