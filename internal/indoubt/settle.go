package indoubt

// This file takes a claimed booking from its sending to its settled record.

// sending answers whether an attempt may be written.
func (d *Resolver) sending(s PermissionRequested) {
	e := d.find(s.ID)
	if e != nil && s.Server != "" {
		e.record.Server = s.Server
	}
	switch {
	case e == nil || e.phase != routed || e.barred || d.now >= s.Deadline:
		d.do(Permit{s.ID, s.Attempt, false})
	case d.now <= e.sure:
		e.let = true
		d.do(Permit{s.ID, s.Attempt, true})
	default:
		e.phase, e.attempt, e.asksBy = confirming, s.Attempt, s.Deadline
		d.get(e, s.Deadline)
	}
}

// permit ends the asking of an attempt.
func (d *Resolver) permit(e *entry, ok bool) {
	e.phase, e.let = routed, e.let || ok
	d.do(Permit{e.ask.ID, e.attempt, ok})
}

// confirmed takes in whether a claim is still this one's.
func (d *Resolver) confirmed(e *entry, s StoreReplied) {
	switch {
	case s.Result == OK && s.Intent != nil && s.Version == e.version:
		if e.sure = e.begun + d.cfg.SendWindow; d.now > e.sure {
			e.phase = routed // it took too long, or this gateway stood still
			d.sending(PermissionRequested{ID: e.ask.ID, Attempt: e.attempt, Deadline: e.asksBy})
			return
		}
		d.permit(e, true)
	case s.Result == OK:
		e.barred = true
		d.note(e, Fenced)
		if s.Intent != nil {
			e.version = s.Version
		}
		d.permit(e, false)
	default:
		d.permit(e, false) // a later attempt may ask again
	}
}

// told takes in routing's answer.
func (d *Resolver) told(e *entry, t RoutingAnswered) {
	if e.phase == confirming {
		e.call = 0
		d.permit(e, false)
	}
	switch t.Kind {
	case Served:
		if !e.ask.Policy.StoreBeforeReply {
			d.reply(e, Served, nil)
		}
		d.settle(e, Answered, t.Value, t.ValueComplete)
	case Rejected:
		d.note(e, Released)
		d.reply(e, Rejected, nil)
		d.settle(e, Unsent, nil, false)
	case Failed:
		d.reply(e, Failed, nil)
		if !e.let { // none of its attempts was let go out, whatever routing knows
			d.note(e, Released)
			d.settle(e, Unsent, nil, false)
			return
		}
		d.settle(e, InDoubt, nil, false)
	}
}

// settle says in the store what became of a booking.
func (d *Resolver) settle(e *entry, state State, value []byte, kept bool) {
	e.phase, e.barred = settling, true
	e.record.State, e.record.Value, e.record.ValueComplete = state, value, kept
	if e.record.Owner != d.cfg.Gateway || e.record.Incarnation != d.cfg.Incarnation {
		e.record.SettledBy = d.cfg.Gateway
	}
	if e.until = d.now + d.cfg.OutcomeTimeout; !e.answered {
		e.until = max(e.ask.Deadline, d.now)
	}
	d.put(e, e.until)
}

// settled goes on until the store has it, or has something that says as much.
func (d *Resolver) settled(e *entry, s StoreReplied) {
	if e.phase == settling {
		switch s.Result {
		case OK:
			d.closed(e)
			return
		case Conflict:
			e.phase = rereading
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
	e.phase = settling
	if s.Intent == nil {
		if s.PossiblyLost || e.record.State != Unsent {
			d.closed(e) // it has ended, or is lost: nothing that is said now is of use
			return
		}
		e.version = 0 // the claim has not come into force, and must not any more
		d.put(e, e.until)
		return
	}
	if !mayFollow(&e.record, s.Intent) {
		d.closed(e)
		return
	}
	e.version = s.Version
	d.put(e, e.until)
}

// mayFollow tells whether what this gateway knows is to take the place of what the store has. Only the claim's own owner says
// that it was never sent; an answer takes the place of a doubt, whoever has it; and no later claim is touched.
func mayFollow(mine, there *Intent) bool {
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
func (d *Resolver) closed(e *entry) {
	d.answerAs(e)
	e.phase = over
}
