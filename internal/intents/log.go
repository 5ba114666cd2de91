package intents

import "marblespan/internal/indoubt"

// maxLogLines bounds the log, in lines a second.
const maxLogLines = 200

// TransitionCount is how often a transition has happened since the start.
func (s *Service) TransitionCount(t indoubt.Transition) int64 { return s.transitionCounts[t].Load() }

// logTransition counts a transition and logs it. The short key is the same at all gateways: one write can be followed by it.
func (s *Service) logTransition(t indoubt.LogTransition) {
	s.transitionCounts[t.Transition].Add(1)
	if !s.logLimiter.Allow() {
		return // clients that repeat in haste must not flood the log; the counters have all transitions
	}
	line := s.settings.Log.Info()
	switch t.Transition {
	case indoubt.Claimed, indoubt.Released:
		line = s.settings.Log.Debug()
	case indoubt.OutcomeNotStored:
		line = s.settings.Log.Warn()
	}
	// Operators' searches and the pages name this event and its fields.
	line.Stringer("what", t.Transition).Str("booking", ShortKey(t.Key)).Str("id", t.RequestID).Stringer("state", t.Intent.State).
		Str("owner", t.Intent.Owner).Uint64("life", t.Intent.Incarnation).Uint32("attempt", t.Intent.ClaimCount).Str("claimed_for", t.Intent.RequestID).
		Msg("booking in doubt")
}
