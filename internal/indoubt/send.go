package indoubt

// This file permits the attempts of a claimed write and handles the answer of routing.

// permissionRequested decides whether an attempt may be written. Within the SendWindow of the claim it decides at once, otherwise
// only after the claim is confirmed.
func (r *Resolver) permissionRequested(request PermissionRequested) {
	w := r.find(request.ID)
	if w != nil && request.Server != "" {
		w.intent.Server = request.Server
	}
	switch {
	case w == nil || w.phase != routed || w.sending.state.fenced() || r.now >= request.Deadline:
		r.emit(Permit{request.ID, request.Attempt, false})
	case r.now <= w.sending.validUntil:
		w.sending.state = w.sending.state.permit()
		r.emit(Permit{request.ID, request.Attempt, true})
	default:
		w.phase, w.sending.attempt, w.sending.attemptDeadline = confirmingClaim, request.Attempt, request.Deadline
		r.get(w, request.Deadline)
	}
}

// replyPermission ends the confirmation of a claim and answers the attempt that waits for it.
func (r *Resolver) replyPermission(w *write, granted bool) {
	w.phase = routed
	if granted {
		w.sending.state = w.sending.state.permit()
	}
	r.emit(Permit{w.request.ID, w.sending.attempt, granted})
}

// claimConfirmed permits the attempt if the stored claim still belongs to this gateway.
func (r *Resolver) claimConfirmed(w *write, reply StoreReplied) {
	switch {
	case reply.Result != OK, w.sending.state.fenced():
		r.replyPermission(w, false) // if the write is not fenced, a later attempt may request permission again
	case reply.Intent == nil || reply.Version != w.version:
		w.sending.state = w.sending.state.fence()
		r.logTransition(w, Fenced)
		// w.version stays: storing the outcome conflicts with the stored intent, and intentReread decides whether it may replace it.
		r.replyPermission(w, false)
	default:
		w.sending.validUntil = w.call.startedAt + r.cfg.SendWindow
		if r.now > w.sending.validUntil { // the read took too long, or this process was paused
			w.phase = routed
			r.permissionRequested(PermissionRequested{ID: w.request.ID, Attempt: w.sending.attempt, Deadline: w.sending.attemptDeadline})
			return
		}
		r.replyPermission(w, true)
	}
}

// confirmationTimedOut denies permission to an attempt whose claim was not confirmed in time.
func (r *Resolver) confirmationTimedOut(w *write) {
	w.call.id = 0
	r.replyPermission(w, false)
}

// routingAnswered replies to the client and stores the outcome.
func (r *Resolver) routingAnswered(w *write, answer RoutingAnswered) {
	if w.phase == confirmingClaim {
		r.confirmationTimedOut(w)
	}
	switch answer.Kind {
	case Served:
		if !w.request.Policy.StoreBeforeReply {
			r.reply(w, Served, nil)
		}
		r.storeOutcome(w, Answered, answer.Value, answer.ValueComplete)
	case Rejected:
		r.release(w, Rejected)
	case Failed:
		r.reply(w, Failed, nil)
		if w.sending.state.mayHaveRun() {
			r.storeOutcome(w, InDoubt, nil, false)
			return
		}
		r.release(w, Failed) // no attempt was permitted, so Unsent is stored although routing reports Failed
	}
}
