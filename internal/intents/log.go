package intents

import "marblespan/internal/indoubt"

// maxLogLines is the limit on log lines per second.
const maxLogLines = 200

// TransitionCount returns how many times a transition has happened since the start.
func (s *Service) TransitionCount(t indoubt.Transition) int64 { return s.transitionCounts[t].Load() }

// logTransition counts a transition and logs it. The short key of a write is the same at all gateways, so that operators can
// follow one write through the logs of several gateways.
func (s *Service) logTransition(t indoubt.LogTransition) {
	s.transitionCounts[t.Transition].Add(1)
	if !s.logLimiter.Allow() {
		return // rapid repeats by clients must not flood the log; the counters still include all transitions
	}
	line := s.settings.Log.Info()
	switch t.Transition {
	case indoubt.Claimed, indoubt.Released:
		line = s.settings.Log.Debug()
	case indoubt.OutcomeNotStored:
		line = s.settings.Log.Warn()
	}
	// The event name and the names of its fields must not change: operators' log searches and the documentation use them.
	line.Stringer("what", t.Transition).Str("booking", ShortKey(t.Key)).Str("id", t.RequestID).Stringer("state", t.Intent.State).
		Str("owner", t.Intent.Owner).Uint64("life", t.Intent.Incarnation).Uint32("attempt", t.Intent.ClaimCount).Str("claimed_for", t.Intent.RequestID).
		Msg("booking in doubt")
}
