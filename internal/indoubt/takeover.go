package indoubt

import "slices"

// This file resolves a write that was claimed by another gateway or by an earlier incarnation of this gateway. The resolution
// begins only when a client repeats its request and the claim of the repeat conflicts with the stored intent:
//
//	readIntent -> intentRead -> awaitOwner -> takeOver -> takeoverStored -> lookupOrFinish -> lookupAnswered -> storeOutcome

// readIntent reads the stored intent after a claim or a takeover conflicted with it.
func (r *Resolver) readIntent(w *write) {
	w.phase = readingIntent
	r.get(w, w.request.Deadline)
}

// intentRead handles the stored intent. Its state decides whether the client gets the stored answer, the write is claimed again,
// the request waits for the owner, or a lookup starts.
func (r *Resolver) intentRead(w *write, reply StoreReplied) {
	switch {
	case reply.Result != OK: // there is an intent, but it cannot be read
		r.finishInDoubt(w)
		return
	case reply.Intent == nil:
		r.intentMissing(w, reply)
		return
	}
	changed := w.version != reply.Version || w.intent.State != reply.Intent.State
	w.version, w.intent = reply.Version, *reply.Intent
	switch w.intent.State {
	case Answered:
		r.answerRead(w, reply)
	case Unsent:
		r.claim(w, w.version, w.intent.ClaimCount)
	case Open:
		if changed {
			w.takeover.ownerDeadline = r.now + w.intent.TimeLeft + r.cfg.OwnerGrace
		}
		r.awaitOwner(w)
	default:
		r.lookupOrFinish(w)
	}
}

// intentMissing handles a write whose intent is no longer stored. It claims the write again, except in two cases, in which the
// write is in doubt: it has already been claimed again once, or the store may have lost the intent and the request may be a
// repeat.
func (r *Resolver) intentMissing(w *write, reply StoreReplied) {
	if reply.PossiblyLost && w.mayBeRepeat() || w.takeover.reclaimed {
		r.finishInDoubt(w)
		return
	}
	w.takeover.reclaimed = true // the intent's retention has ended in the meantime
	r.claim(w, 0, 0)
}

// answerRead replies with the stored answer, or claims a new write if the stored answer belongs to an earlier write.
func (r *Resolver) answerRead(w *write, reply StoreReplied) {
	switch {
	case !w.mayBeRepeat() && reply.Age > r.now-w.receivedAt:
		// The request is not a repeat and the stored write was answered before the request came, so the request is a new write
		// with the same statement. A stored write that was answered after the request came may be the write of the request
		// itself: the client may have repeated the request and been served before the claim of the first request reached the
		// store.
		r.claim(w, w.version, w.intent.ClaimCount)
	case w.intent.ValueComplete:
		r.logTransition(w, AnswerKnown)
		r.finish(w, Served, w.intent.Value)
	default:
		r.finishInDoubt(w)
	}
}

// awaitOwner leaves an open intent to its owner while the owner may still store the outcome, and then takes the intent over.
func (r *Resolver) awaitOwner(w *write) {
	if r.ownerEnded(&w.intent) || r.now >= w.takeover.ownerDeadline {
		r.takeOver(w)
		return
	}
	if !w.takeover.lookupStarted && r.lookupPossible(w) { // the owner may be dead although this gateway has no report of it yet
		w.takeover.lookupStarted = true
		r.startLookup(w)
		return
	}
	if w.phase != awaitingOwner {
		w.phase = awaitingOwner
		r.logTransition(w, AwaitingOwner)
	}
	w.retryAt = min(r.now+r.cfg.PollInterval, w.takeover.ownerDeadline)
}

// ownerEnded reports whether an intent's owner is known to send nothing more, apart from bytes that its kernel may still hold.
func (r *Resolver) ownerEnded(intent *Intent) bool {
	if intent.Owner == r.cfg.Gateway {
		return intent.Incarnation != r.cfg.Incarnation // an earlier incarnation of this gateway
	}
	return slices.ContainsFunc(r.endedGateways, func(x GatewayEnded) bool { return x.Gateway == intent.Owner && intent.Incarnation <= x.Incarnation })
}

// intentPolled handles the reply to the read that pollOwner started.
func (r *Resolver) intentPolled(w *write, reply StoreReplied) {
	if reply.Result != OK { // the next poll may succeed
		w.retryAt = r.now + r.cfg.PollInterval
		return
	}
	r.intentRead(w, reply)
}

// pollOwner runs when a write that awaits its owner is due. It gives up at the client's deadline, takes the intent over at the
// owner's deadline, and before these deadlines reads the intent again.
func (r *Resolver) pollOwner(w *write) {
	switch {
	case r.now >= w.request.Deadline:
		r.finishInDoubt(w)
	case w.call.id != 0:
		w.retryAt = r.now + r.cfg.PollInterval
	case r.now >= w.takeover.ownerDeadline:
		r.takeOver(w)
	default:
		w.retryAt = r.now + r.cfg.PollInterval
		r.get(w, w.request.Deadline)
	}
}

// gatewayEnded records that incarnations of a gateway have ended, and takes over each intent that they own and that a request at
// this gateway waits for.
func (r *Resolver) gatewayEnded(ended GatewayEnded) {
	i := slices.IndexFunc(r.endedGateways, func(known GatewayEnded) bool { return known.Gateway == ended.Gateway })
	if i < 0 {
		r.endedGateways = append(r.endedGateways, ended)
	} else {
		r.endedGateways[i].Incarnation = max(r.endedGateways[i].Incarnation, ended.Incarnation)
	}
	for _, w := range r.writes.all() {
		if w.phase == awaitingOwner && w.call.id == 0 && r.ownerEnded(&w.intent) {
			r.writes.touch(w)
			r.takeOver(w)
		}
	}
}

// takeOver changes another owner's open intent to InDoubt. The new version fences the owner: when the owner confirms its claim, it
// finds that the claim is lost and does not send.
func (r *Resolver) takeOver(w *write) {
	w.phase = takingOver
	w.intent.State, w.intent.SettledBy = InDoubt, r.cfg.Gateway
	r.put(w, w.request.Deadline)
}

// takeoverStored handles the result of storing the takeover. Once the takeover is stored, the owner is fenced and the lookup can
// start.
func (r *Resolver) takeoverStored(w *write, reply StoreReplied) {
	switch reply.Result {
	case OK:
		w.version = reply.Version
		r.logTransition(w, TakenOver)
		r.lookupOrFinish(w)
	case Conflict:
		r.readIntent(w)
	default:
		r.finishInDoubt(w)
	}
}

// lookupPossible reports whether the class has a lookup and the client still waits for the result of its write.
func (r *Resolver) lookupPossible(w *write) bool {
	return w.request.Policy.HasLookup && w.client == clientWaiting && r.now < w.request.Deadline
}

// lookupOrFinish starts a lookup that shows whether an in-doubt write ran. If no lookup is possible, the client's answer is that
// the write may have run.
func (r *Resolver) lookupOrFinish(w *write) {
	if !r.lookupPossible(w) {
		r.finishInDoubt(w)
		return
	}
	r.startLookup(w)
}

func (r *Resolver) startLookup(w *write) {
	w.phase = lookingUp
	r.emit(Lookup{ID: w.request.ID, Key: w.request.Key, Deadline: w.request.Deadline})
}

// lookupAnswered replies and stores the outcome, if it is not too large, if the lookup showed that the write ran. Otherwise the write may still run because
// its bytes may still be on their way to the server. The request then waits for the owner if the intent is open; if not, the
// client's answer is that the write may have run.
func (r *Resolver) lookupAnswered(w *write, answer LookupAnswered) {
	switch {
	case answer.Found && answer.TooLarge:
		r.logTransition(w, FoundByLookup)
		r.finish(w, Served, answer.Value)
	case answer.Found:
		r.logTransition(w, FoundByLookup)
		r.reply(w, Served, answer.Value)
		r.storeOutcome(w, Answered, answer.Value, true)
	case w.intent.State == Open:
		r.awaitOwner(w)
	default:
		r.finishInDoubt(w)
	}
}
