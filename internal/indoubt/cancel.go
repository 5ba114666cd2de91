package indoubt

// requestCanceled handles a client that has stopped waiting. No further attempt of its write is permitted. If an attempt was
// already permitted, the resolver still waits for the answer of that attempt, so that a repeat of the request can get the answer.
// If no attempt was permitted, routing gives up the write because routing gets no permission to send. A request that was only
// reading the intent, looking up, or waiting for another gateway or request is removed at once.
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
		// fence keeps an existing fence and keeps the record that an attempt was permitted. If an attempt waits for the claim
		// to be confirmed, claimConfirmed denies its permission because of the fence.
		w.sending.state = w.sending.state.fence()
	}
}
