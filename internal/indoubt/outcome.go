package indoubt

// This file stores the outcome of a write in its intent.

// release replies to the client and stores the outcome that nothing was sent.
func (r *Resolver) release(w *write, kind AnswerKind) {
	r.logTransition(w, Released)
	r.reply(w, kind, nil)
	r.storeOutcome(w, Unsent, nil, false)
}

// storeOutcome stores the outcome of a write. From then on no attempt is permitted.
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

// outcomeStored finishes the write once its outcome is stored. After a conflict it reads the stored intent first.
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

// intentReread handles the stored intent, which was read because storing the outcome conflicted with it. If the outcome should
// replace the stored intent, intentReread stores the outcome again; otherwise it finishes the write.
func (r *Resolver) intentReread(w *write, reply StoreReplied) {
	if reply.Result != OK {
		w.retryAt = r.now + r.cfg.PollInterval
		return
	}
	w.phase = storingOutcome
	switch {
	case reply.Intent == nil && (reply.PossiblyLost || w.intent.State != Unsent):
		r.complete(w) // the intent's retention has ended or the store lost it, so storing the outcome has no use
	case reply.Intent == nil:
		w.version = 0 // the claim has not been applied yet; storing Unsent makes a late claim conflict
		r.put(w, w.outcomeDeadline)
	case !mayReplace(&w.intent, reply.Intent):
		r.complete(w)
	default:
		w.version = reply.Version
		r.put(w, w.outcomeDeadline)
	}
}

// mayReplace reports whether an outcome may replace the stored intent. Any outcome replaces Open. Answered and Unsent also
// replace InDoubt, regardless of which gateway stored InDoubt. Unsent may replace InDoubt because only the owner of the claim
// stores Unsent. The intent of a later claim is never replaced.
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

// retryOutcome tries again to store the outcome. At outcomeDeadline a client that still waits gets its answer although the
// outcome is not stored, and the resolver keeps trying for another OutcomeTimeout.
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

// replyByOutcome gives the client the answer that follows from the outcome of its write, whether or not the outcome is stored.
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

// complete replies to the client and finishes a write for which nothing more has to be stored.
func (r *Resolver) complete(w *write) {
	r.replyByOutcome(w)
	w.phase = finished
}
