package indoubt

// This file takes a claimed booking from its sending to its settled record.

// sending answers whether an attempt may be written.
func (d *Resolver) permissionRequested(s PermissionRequested) {
	e := d.find(s.ID)
	if e != nil && s.Server != "" {
		e.intent.Server = s.Server
	}
	switch {
	case e == nil || e.phase != routed || e.barred || d.now >= s.Deadline:
		d.emit(Permit{s.ID, s.Attempt, false})
	case d.now <= e.sure:
		e.let = true
		d.emit(Permit{s.ID, s.Attempt, true})
	default:
		e.phase, e.attempt, e.asksBy = confirmingClaim, s.Attempt, s.Deadline
		d.get(e, s.Deadline)
	}
}

// permit ends the asking of an attempt.
func (d *Resolver) replyPermission(e *write, ok bool) {
	e.phase, e.let = routed, e.let || ok
	d.emit(Permit{e.request.ID, e.attempt, ok})
}

// confirmed takes in whether a claim is still this one's.
func (d *Resolver) claimConfirmed(e *write, s StoreReplied) {
	switch {
	case s.Result == OK && s.Intent != nil && s.Version == e.version:
		if e.sure = e.begun + d.cfg.SendWindow; d.now > e.sure {
			e.phase = routed // it took too long, or this gateway stood still
			d.permissionRequested(PermissionRequested{ID: e.request.ID, Attempt: e.attempt, Deadline: e.asksBy})
			return
		}
		d.replyPermission(e, true)
	case s.Result == OK:
		e.barred = true
		d.logTransition(e, Fenced)
		if s.Intent != nil {
			e.version = s.Version
		}
		d.replyPermission(e, false)
	default:
		d.replyPermission(e, false) // a later attempt may ask again
	}
}

// told takes in routing's answer.
func (d *Resolver) routingAnswered(e *write, t RoutingAnswered) {
	if e.phase == confirmingClaim {
		e.call = 0
		d.replyPermission(e, false)
	}
	switch t.Kind {
	case Served:
		if !e.request.Policy.StoreBeforeReply {
			d.reply(e, Served, nil)
		}
		d.storeOutcome(e, Answered, t.Value, t.ValueComplete)
	case Rejected:
		d.logTransition(e, Released)
		d.reply(e, Rejected, nil)
		d.storeOutcome(e, Unsent, nil, false)
	case Failed:
		d.reply(e, Failed, nil)
		if !e.let { // none of its attempts was let go out, whatever routing knows
			d.logTransition(e, Released)
			d.storeOutcome(e, Unsent, nil, false)
			return
		}
		d.storeOutcome(e, InDoubt, nil, false)
	}
}

// settle says in the store what became of a booking.
func (d *Resolver) storeOutcome(e *write, state State, value []byte, kept bool) {
	e.phase, e.barred = storingOutcome, true
	e.intent.State, e.intent.Value, e.intent.ValueComplete = state, value, kept
	if e.intent.Owner != d.cfg.Gateway || e.intent.Incarnation != d.cfg.Incarnation {
		e.intent.SettledBy = d.cfg.Gateway
	}
	if e.until = d.now + d.cfg.OutcomeTimeout; !e.answered {
		e.until = max(e.request.Deadline, d.now)
	}
	d.put(e, e.until)
}

// settled goes on until the store has it, or has something that says as much.
func (d *Resolver) outcomeStored(e *write, s StoreReplied) {
	if e.phase == storingOutcome {
		switch s.Result {
		case OK:
			d.complete(e)
			return
		case Conflict:
			e.phase = rereadingIntent
			d.get(e, e.until)
			return
		}
		e.again = d.now + d.cfg.PollInterval
		return
	}
	if s.Result != OK {
		e.again = d.now + d.cfg.PollInterval
		return
	}
	e.phase = storingOutcome
	if s.Intent == nil {
		if s.PossiblyLost || e.intent.State != Unsent {
			d.complete(e) // it has ended, or is lost: nothing that is said now is of use
			return
		}
		e.version = 0 // the claim has not come into force, and must not any more
		d.put(e, e.until)
		return
	}
	if !mayReplace(&e.intent, s.Intent) {
		d.complete(e)
		return
	}
	e.version = s.Version
	d.put(e, e.until)
}

// mayFollow tells whether what this gateway knows is to take the place of what the store has. Only the claim's own owner says
// that it was never sent; an answer takes the place of a doubt, whoever has it; and no later claim is touched.
func mayReplace(mine, there *Intent) bool {
	same := there.Owner == mine.Owner && there.Incarnation == mine.Incarnation && there.RequestID == mine.RequestID && there.ClaimCount == mine.ClaimCount
	if !same {
		return false
	}
	switch there.State {
	case Open:
		return true
	case InDoubt:
		return mine.State != InDoubt
	}
	return false
}

// closed ends an entry whose record is as it should be.
func (d *Resolver) complete(e *write) {
	d.replyByOutcome(e)
	e.phase = finished
}
