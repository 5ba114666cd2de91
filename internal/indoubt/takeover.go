package indoubt

import "slices"

// This file resolves a write that another gateway, or an earlier incarnation of this one, has claimed. It begins only when a client
// asks again and its claim meets the stored intent:
//
//	readIntent -> intentRead -> awaitOwner -> takeOver -> takeoverStored -> lookupOrFinish -> lookupAnswered -> storeOutcome

// readIntent reads the intent that a claim or a takeover met in place of the one that it expected.
func (r *Resolver) readIntent(w *write) {
	w.phase = readingIntent
	r.get(w, w.request.Deadline)
}

// intentRead goes on from the state of the stored intent.
func (r *Resolver) intentRead(w *write, reply StoreReplied) {
	switch {
	case reply.Result != OK: // there is an intent, and it cannot be read
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

// intentMissing claims a write whose intent is gone, once, unless the intent may have been lost.
func (r *Resolver) intentMissing(w *write, reply StoreReplied) {
	if reply.PossiblyLost && w.mayBeRepeat() || w.takeover.reclaimed {
		r.finishInDoubt(w)
		return
	}
	w.takeover.reclaimed = true // its retention has ended meanwhile
	r.claim(w, 0, 0)
}

// answerRead gives the client the stored answer, or claims a new write in place of an old one.
func (r *Resolver) answerRead(w *write, reply StoreReplied) {
	switch {
	case !w.mayBeRepeat() && reply.Age > r.now-w.receivedAt:
		// Another write with the same statement, later. One that was answered while this request was here may be its own: the
		// client may have asked again, and have been served, before the claim of the first request came through.
		r.claim(w, w.version, w.intent.ClaimCount)
	case w.intent.ValueComplete:
		r.logTransition(w, AnswerKnown)
		r.finish(w, Served, w.intent.Value)
	default:
		r.finishInDoubt(w)
	}
}

// awaitOwner leaves an open intent to its owner for as long as the owner may still store the outcome, then takes it over.
func (r *Resolver) awaitOwner(w *write) {
	if r.ownerEnded(&w.intent) || r.now >= w.takeover.ownerDeadline {
		r.takeOver(w)
		return
	}
	if !w.takeover.lookupStarted && r.lookupPossible(w) { // the owner may be dead, and not yet be known to be
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

// ownerEnded tells whether an intent's owner is known to send nothing any more, except what its kernel may still have.
func (r *Resolver) ownerEnded(intent *Intent) bool {
	if intent.Owner == r.cfg.Gateway {
		return intent.Incarnation != r.cfg.Incarnation // an earlier incarnation of this gateway
	}
	return slices.ContainsFunc(r.endedGateways, func(x GatewayEnded) bool { return x.Gateway == intent.Owner && intent.Incarnation <= x.Incarnation })
}

// intentPolled goes on from what a poll has read while the owner may still store the outcome.
func (r *Resolver) intentPolled(w *write, reply StoreReplied) {
	if reply.Result != OK { // the next poll may read it
		w.retryAt = r.now + r.cfg.PollInterval
		return
	}
	r.intentRead(w, reply)
}

// pollOwner is due while a write awaits its owner: it gives up at the client's deadline, takes over at the owner's, and reads the
// intent again before.
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

// gatewayEnded remembers which incarnations have ended, and takes over what they own and a client here waits for.
func (r *Resolver) gatewayEnded(ended GatewayEnded) {
	i := slices.IndexFunc(r.endedGateways, func(known GatewayEnded) bool { return known.Gateway == ended.Gateway })
	if i < 0 {
		r.endedGateways = append(r.endedGateways, ended)
	} else {
		r.endedGateways[i].Incarnation = max(r.endedGateways[i].Incarnation, ended.Incarnation)
	}
	for i := range r.writes {
		if w := &r.writes[i]; w.phase == awaitingOwner && w.call.id == 0 && r.ownerEnded(&w.intent) {
			r.takeOver(w)
		}
	}
}

// takeOver puts another owner's open intent in doubt. The changed version fences the owner: when it confirms its claim it finds
// that it has lost it, and does not send.
func (r *Resolver) takeOver(w *write) {
	w.phase = takingOver
	w.intent.State, w.intent.SettledBy = InDoubt, r.cfg.Gateway
	r.put(w, w.request.Deadline)
}

// takeoverStored looks the write up once the owner is fenced.
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

// lookupPossible tells whether a lookup exists for the class, and somebody waits for its result.
func (r *Resolver) lookupPossible(w *write) bool {
	return w.request.Policy.HasLookup && w.client == clientWaiting && r.now < w.request.Deadline
}

// lookupOrFinish asks a lookup whether a write that is in doubt has run. Without one the client hears that it may have.
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

// lookupAnswered settles a write that a lookup has found. One that it has not found may still run: its bytes may be on their way.
func (r *Resolver) lookupAnswered(w *write, answer LookupAnswered) {
	switch {
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
