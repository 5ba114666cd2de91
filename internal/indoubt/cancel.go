package indoubt

// requestCanceled lets a client go. A write of which an attempt was permitted is still waited for, so that a repeat gets its answer;
// a write of which none was is fenced, and routing gives it up. What only read or waited is forgotten.
func (r *Resolver) requestCanceled(id uint64) {
	w := r.find(id)
	if w == nil || w.client != clientWaiting {
		return
	}
	w.client = clientCanceled
	switch w.phase {
	case followingWrite, awaitingOwner, readingIntent, lookingUp:
		w.phase = finished
	case routed, confirmingClaim:
		if w.sending.state.mayHaveRun() {
			w.sending.state = permittedOnce
		} else {
			w.sending.state = fencedUnsent
		}
	}
}
