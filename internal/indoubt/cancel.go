package indoubt

// requestCanceled lets a client go. A write of which an attempt was permitted is still waited for, so that a repeat gets its answer;
// a write of which none was is given up by routing. Neither is permitted a further attempt. What only read or waited is forgotten.
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
		// Only ever raised: a fence stays, and an attempt that was permitted stays known. A permission that is being confirmed
		// is denied by the fence.
		w.sending.state = w.sending.state.fence()
	}
}
