package policy

// maxSessions is the number of sessions that are remembered. Of all forgotten sessions, only the highest
// position is kept (sessions.floor).
const maxSessions = 1 << 14

// session is the state that is remembered for one session.
type session struct {
	key            uint64
	position       Position // log position of the session's last known commit through this gateway
	writesInFlight int      // attempts of the session's writes that are in flight
	replica        ServerID // the session's sticky replica; valid if sticky
	sticky         bool
}

// sessions is a store of bounded size. When it is full, it replaces the session that was first seen
// longest ago. All of its memory is allocated at the start, so that it does not grow while the gateway
// runs.
type sessions struct {
	byKey map[uint64]*session
	ring  []session
	next  int
	floor Position // the highest position of a forgotten session
}

// newSessions creates a store for size sessions.
func newSessions(size int) *sessions {
	return &sessions{byKey: make(map[uint64]*session, size), ring: make([]session, 0, size)}
}

// get returns the session with the given key. If there is no such session, get creates a session whose
// position is the highest of any forgotten session. The new session reuses the memory of a forgotten session.
// A request that still refers to the forgotten session therefore updates the new session, and can only raise
// the new session's position. A session with a write in flight is not forgotten, unless every session has a
// write in flight.
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

// recordSessionWrite updates a session's position for its later reads when an attempt of its write has
// ended. A served attempt usually gives the position of its commit. Any other attempt that may have run
// counts as committed at the current time, because its answer may have been lost.
func (r *Router) recordSessionWrite(ended *attempt, e Outcome) {
	sess := ended.request.session
	sess.writesInFlight--
	switch {
	case e.Result == ResultOK && e.Position > 0:
		sess.position = max(sess.position, e.Position)
	case ended.execution != ExecutionNone:
		sess.position = max(sess.position, r.now)
	}
}
