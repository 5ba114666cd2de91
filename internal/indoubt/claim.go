package indoubt

// This file takes a request to its claim: the intent that is stored before anything is sent.

// requestReceived admits a request, and claims its write or follows the one that is in flight here.
func (r *Resolver) requestReceived(request RequestReceived) {
	r.writes = append(r.writes, write{request: request, receivedAt: r.now})
	w := &r.writes[len(r.writes)-1]
	if r.inFlight(request.Class) > request.Policy.MaxInFlight {
		r.logTransition(w, TooManyInFlight)
		r.finish(w, w.notSentAnswer(), nil)
		return
	}
	if other := r.sameWrite(w); other != nil {
		// Two requests at once are one write, marked as a repeat or not: what runs for the other could be this one's.
		w.phase, w.followed = followingWrite, other.request.ID
		r.logTransition(w, AwaitingOwner)
		return
	}
	r.claim(w, 0, 0)
}

// inFlight counts the writes of a class.
func (r *Resolver) inFlight(class string) (n int) {
	for i := range r.writes {
		if r.writes[i].request.Class == class {
			n++
		}
	}
	return n
}

// sameWrite is the request that has the same write in flight here; nil: none has.
func (r *Resolver) sameWrite(w *write) *write {
	for i := range r.writes {
		other := &r.writes[i]
		if other != w && other.request.Key == w.request.Key && other.phase != finished && other.phase != followingWrite {
			return other
		}
	}
	return nil
}

// claim asks the store for a claim, in place of an intent of this version that was claimed this often.
func (r *Resolver) claim(w *write, version uint64, claimCount uint32) {
	w.phase, w.version = claiming, version
	w.intent = Intent{
		State: Open, Owner: r.cfg.Gateway, Incarnation: r.cfg.Incarnation, RequestID: w.request.RequestID,
		Class: w.request.Class, Group: w.request.Group, Server: w.request.Server,
		ClaimCount: claimCount + 1, TimeLeft: max(w.request.Deadline-r.now, 0),
	}
	r.put(w, w.request.Deadline)
}

// claimStored routes a claimed write. A conflict is where the resolution of another gateway's write begins.
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
	case Unknown: // the claim may still be applied, and nobody else would store its outcome
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
		r.reply(w, Rejected, nil) // nothing was sent for this request
		r.storeOutcome(w, InDoubt, nil, false)
	case w.client != clientWaiting || r.now >= w.request.Deadline: // nobody waits for it
		r.release(w, w.notSentAnswer())
	default:
		w.phase, w.sending.validUntil = routed, w.call.startedAt+r.cfg.SendWindow
		r.logTransition(w, Claimed)
		r.emit(Route{w.request.ID})
	}
}

// earlierClaimMayBeLost tells whether the store may have lost an earlier claim of the same write: by a request that came before
// this one, or by a repeat that came while this one waited. A request that came after the loss and is no repeat has no such rival.
func (r *Resolver) earlierClaimMayBeLost(w *write, reply StoreReplied) bool {
	return reply.PossiblyLost && w.intent.ClaimCount == 1 && (w.mayBeRepeat() || reply.SinceLoss <= r.now-w.receivedAt)
}

// resumeFollowers goes on with the requests that follow one whose client has its answer, or that is finished.
func (r *Resolver) resumeFollowers() {
	for i := range r.writes {
		w := &r.writes[i]
		if w.phase != followingWrite {
			continue
		}
		other := r.find(w.followed)
		switch {
		case other == nil || other.phase == finished:
			r.claim(w, 0, 0) // the store knows the outcome
		case other.hasKnownAnswer():
			r.logTransition(w, AnswerKnown)
			r.finish(w, Served, other.intent.Value)
		}
	}
}

// hasKnownAnswer tells whether the client has its answer and it can be given to followers.
func (w *write) hasKnownAnswer() bool {
	return w.client != clientWaiting && w.phase == storingOutcome && w.intent.State == Answered && w.intent.ValueComplete
}
