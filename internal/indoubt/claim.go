package indoubt

// This file claims the write of a request: the claim is an intent that is stored before anything is sent.

// requestReceived admits a request, unless its class has too many writes in flight; a request that is not admitted is answered
// and nothing is sent for it. An admitted request claims the write, or follows another request that already has the same write
// in flight at this gateway.
func (r *Resolver) requestReceived(request RequestReceived) {
	w := r.writes.add(write{request: request, receivedAt: r.now})
	if r.writes.inClass[request.Class] > request.Policy.MaxInFlight {
		r.logTransition(w, TooManyInFlight)
		r.finish(w, w.notSentAnswer(), nil)
		return
	}
	if other := r.sameWrite(w); other != nil {
		// Two simultaneous requests with the same key count as one write, whether or not the second is marked as a repeat: the
		// write that runs for the first request may be the write that the client of the second request asked for.
		w.phase, w.followed = followingWrite, other.request.ID
		r.logTransition(w, AwaitingOwner)
		return
	}
	r.claim(w, 0, 0)
}

// sameWrite returns the request that already has the same write in flight at this gateway, or nil.
func (r *Resolver) sameWrite(w *write) *write {
	for _, other := range r.writes.byKey[w.request.Key] {
		if &other.write != w && other.phase != finished && other.phase != followingWrite {
			return &other.write
		}
	}
	return nil
}

// claim requests that a claim is stored if the stored intent has the given version, or if no intent is stored and version is 0.
// claimCount is the number of earlier claims in that intent.
func (r *Resolver) claim(w *write, version uint64, claimCount uint32) {
	w.phase, w.version = claiming, version
	w.intent = Intent{
		State: Open, Owner: r.cfg.Gateway, Incarnation: r.cfg.Incarnation, RequestID: w.request.RequestID,
		Class: w.request.Class, Group: w.request.Group, Server: w.request.Server,
		ClaimCount: claimCount + 1, TimeLeft: max(w.request.Deadline-r.now, 0),
	}
	r.put(w, w.request.Deadline)
}

// claimStored handles the result of storing the claim. If the claim conflicts with a stored intent, claimStored starts the
// resolution of that intent's write (takeover.go).
func (r *Resolver) claimStored(w *write, reply StoreReplied) {
	switch reply.Result {
	case OK:
		w.version = reply.Version
		r.claimSucceeded(w, reply)
	case Conflict:
		r.readIntent(w)
	case NotApplied:
		r.logTransition(w, ClaimFailed)
		r.finish(w, w.notSentAnswer(), nil)
	case Unknown: // the claim may still be applied; this gateway has to store the write's outcome, because no other gateway would
		r.logTransition(w, ClaimFailed)
		r.reply(w, w.notSentAnswer(), nil)
		r.storeOutcome(w, Unsent, nil, false)
	}
}

func (r *Resolver) claimSucceeded(w *write, reply StoreReplied) {
	switch {
	case r.earlierClaimMayBeLost(w, reply):
		r.logTransition(w, RepliedInDoubt)
		if w.mayBeRepeat() {
			r.reply(w, Failed, nil)
		}
		r.reply(w, Rejected, nil) // nothing was sent for this request; reply has no effect if the client was answered above
		r.storeOutcome(w, InDoubt, nil, false)
	case w.client != clientWaiting || r.now >= w.request.Deadline: // the client no longer waits for the write
		r.release(w, w.notSentAnswer())
	default:
		w.phase, w.sending.validUntil = routed, w.call.startedAt+r.cfg.SendWindow
		r.logTransition(w, Claimed)
		r.emit(Route{w.request.ID})
	}
}

// earlierClaimMayBeLost reports whether the store may have lost an earlier claim of the same write as w. The lost claim may have
// been made for a request that came before w's request, or for a repeat that came while w's request waited. If w's request came
// after the loss and is not a repeat, no claim of its write can have been lost.
func (r *Resolver) earlierClaimMayBeLost(w *write, reply StoreReplied) bool {
	return reply.PossiblyLost && w.intent.ClaimCount == 1 && (w.mayBeRepeat() || reply.SinceLoss <= r.now-w.receivedAt)
}

// resumeFollowers ends the wait of the requests that follow another request. If the other request is finished, the follower
// claims the write. If the other request is not finished but its answer is known (hasKnownAnswer), the follower gets that answer.
func (r *Resolver) resumeFollowers() {
	for _, w := range r.writes.touchedFollowers() {
		other := r.find(w.followed)
		switch {
		case other == nil || other.phase == finished:
			r.claim(w, 0, 0) // the claim conflicts with the stored outcome, which is then read
		case other.hasKnownAnswer():
			r.logTransition(w, AnswerKnown)
			r.finish(w, Served, other.intent.Value)
		}
	}
}

// hasKnownAnswer reports whether three conditions hold: the write ran, its client no longer waits, and the complete answer is
// known. Followers can then get the same answer.
func (w *write) hasKnownAnswer() bool {
	return w.client != clientWaiting && w.phase == storingOutcome && w.intent.State == Answered && w.intent.ValueComplete
}
