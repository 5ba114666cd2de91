package policy

// maxSessions is how many sessions are remembered; the positions of older ones merge into one floor.
const maxSessions = 1 << 14

// session is what is remembered of one session.
type session struct {
	key            uint64
	position       Position // of its last commit through this gateway, as far as is known
	writesInFlight int      // attempts of its writes
	replica        ServerID // valid if sticky
	sticky         bool
}

// sessions is a store of bounded size that forgets the session first seen longest ago. All of its
// memory is allocated at the start, so that it does not grow through the day.
type sessions struct {
	byKey map[uint64]*session
	ring  []session
	next  int
	floor Position // the highest position of a session that was forgotten
}

// newSessions makes a store for so many sessions.
func newSessions(size int) *sessions {
	return &sessions{byKey: make(map[uint64]*session, size), ring: make([]session, 0, size)}
}

// get finds a session, or makes one that begins at the highest position ever forgotten. A request
// that still holds the forgotten session can only raise the position of the new one. A session with
// a write in flight is not forgotten.
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

// recordSessionWrite notes for the later reads of a session how an attempt of its write ended. What
// may have run counts as committed by now: its answer may have been lost.
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
