package indoubt

import "marblespan/internal/clock"

// Next returns the time at which a Tick is due. It returns false if no Tick is due before the next event.
func (r *Resolver) Next() (at clock.Micros, ok bool) {
	return r.writes.nextDue()
}

// due returns the time at which a write has something to do without an event. It returns false if there is no such time.
func (w *write) due() (clock.Micros, bool) {
	switch w.phase {
	case awaitingOwner:
		return min(w.retryAt, w.request.Deadline), true
	case storingOutcome, rereadingIntent:
		if w.call.id == 0 {
			return min(w.retryAt, w.outcomeDeadline), true
		}
	case followingWrite:
		return w.request.Deadline, true
	case confirmingClaim:
		return w.sending.attemptDeadline, true
	case claiming, readingIntent, takingOver, lookingUp:
		return w.request.Deadline, w.client == clientWaiting // so the client gets its answer even if the store does not reply
	}
	return 0, false
}

// handleDue continues each write that is due.
func (r *Resolver) handleDue() {
	for _, w := range r.writes.takeDue(r.now) {
		switch w.phase {
		case awaitingOwner:
			r.pollOwner(w)
		case followingWrite:
			r.finishInDoubt(w)
		case claiming, readingIntent, takingOver, lookingUp:
			r.replyNow(w)
		case confirmingClaim:
			r.confirmationTimedOut(w)
		case storingOutcome, rereadingIntent:
			r.retryOutcome(w)
		}
	}
}

// replyNow gives a client its final answer from what is known now. Store calls that are in flight continue.
func (r *Resolver) replyNow(w *write) {
	switch w.phase {
	case claiming: // nothing was sent and nothing will be sent
		r.reply(w, w.notSentAnswer(), nil)
	case storingOutcome, rereadingIntent:
		r.replyByOutcome(w)
	default:
		r.reply(w, Failed, nil)
	}
}

// shutdownStarted answers every client whose write is not in routing.
func (r *Resolver) shutdownStarted() {
	for _, w := range r.writes.all() {
		if !w.inRouting() && w.phase != finished {
			r.writes.touch(w)
			r.replyNow(w)
		}
	}
}
