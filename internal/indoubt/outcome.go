package indoubt

// This file stores the outcome of a write in its intent.

// release replies, and stores that nothing was sent.
func (r *Resolver) release(w *write, kind AnswerKind) {
	r.logTransition(w, Released)
	r.reply(w, kind, nil)
	r.storeOutcome(w, Unsent, nil, false)
}

// storeOutcome stores what became of a write. From here on no attempt is permitted.
func (r *Resolver) storeOutcome(w *write, state State, value []byte, complete bool) {
	w.phase, w.sending.state = storingOutcome, w.sending.state.fence()
	w.intent.State, w.intent.Value, w.intent.ValueComplete = state, value, complete
	if w.intent.Owner != r.cfg.Gateway || w.intent.Incarnation != r.cfg.Incarnation {
		w.intent.SettledBy = r.cfg.Gateway
	}
	if w.client == clientWaiting {
		w.outcomeDeadline = max(w.request.Deadline, r.now)
	} else {
		w.outcomeDeadline = r.now + r.cfg.OutcomeTimeout
	}
	r.put(w, w.outcomeDeadline)
}

// outcomeStored finishes the write once the store has its outcome; after a conflict the stored intent is read first.
func (r *Resolver) outcomeStored(w *write, reply StoreReplied) {
	switch reply.Result {
	case OK:
		r.complete(w)
	case Conflict:
		w.phase = rereadingIntent
		r.get(w, w.outcomeDeadline)
	default:
		w.retryAt = r.now + r.cfg.PollInterval
	}
}

// intentReread stores the outcome over what a conflict has shown, or finishes if that says as much.
func (r *Resolver) intentReread(w *write, reply StoreReplied) {
	if reply.Result != OK {
		w.retryAt = r.now + r.cfg.PollInterval
		return
	}
	w.phase = storingOutcome
	switch {
	case reply.Intent == nil && (reply.PossiblyLost || w.intent.State != Unsent):
		r.complete(w) // its retention has ended, or it is lost: no outcome is of use any more
	case reply.Intent == nil:
		w.version = 0 // the claim was not applied yet, and must not be any more
		r.put(w, w.outcomeDeadline)
	case !mayReplace(&w.intent, reply.Intent):
		r.complete(w)
	default:
		w.version = reply.Version
		r.put(w, w.outcomeDeadline)
	}
}

// mayReplace tells whether an outcome is to replace the stored intent. Only the claim's own owner states that it was never sent; an
// outcome replaces a doubt, whoever stored it; and a later claim is never touched.
func mayReplace(outcome, stored *Intent) bool {
	if !outcome.sameClaim(stored) {
		return false
	}
	switch stored.State {
	case Open:
		return true
	case InDoubt:
		return outcome.State != InDoubt
	}
	return false
}

// retryOutcome is due while the outcome is not stored. At the deadline a client that waits gets its answer, stored or not; then
// OutcomeTimeout is left for storing it.
func (r *Resolver) retryOutcome(w *write) {
	if r.now >= w.outcomeDeadline {
		if w.client != clientWaiting {
			r.logTransition(w, OutcomeNotStored)
			r.complete(w)
			return
		}
		w.outcomeDeadline = r.now + r.cfg.OutcomeTimeout
		r.replyByOutcome(w)
	}
	w.retryAt = r.now + r.cfg.PollInterval
	if w.phase == storingOutcome {
		r.put(w, w.outcomeDeadline)
	} else {
		r.get(w, w.outcomeDeadline)
	}
}

// replyByOutcome gives a client the answer that its write has, stored or not.
func (r *Resolver) replyByOutcome(w *write) {
	switch w.intent.State {
	case Answered:
		r.reply(w, Served, nil)
	case Unsent:
		r.reply(w, w.notSentAnswer(), nil)
	default:
		r.reply(w, Failed, nil)
	}
}

// complete replies and forgets a write of which nothing more has to be stored.
func (r *Resolver) complete(w *write) {
	r.replyByOutcome(w)
	w.phase = finished
}
