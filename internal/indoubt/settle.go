package indoubt

// This file takes a claimed booking from its sending to its settled record.

// sending answers whether an attempt may be written.
func (d *Desk) sending(s Sending) {
	e := d.find(s.ID)
	if e != nil && s.Server != "" {
		e.record.Server = s.Server
	}
	switch {
	case e == nil || e.phase != routed || e.barred || d.now >= s.By:
		d.do(Permit{s.ID, s.Attempt, false})
	case d.now <= e.sure:
		e.let = true
		d.do(Permit{s.ID, s.Attempt, true})
	default:
		e.phase, e.attempt, e.asksBy = confirming, s.Attempt, s.By
		d.get(e, s.By)
	}
}

// permit ends the asking of an attempt.
func (d *Desk) permit(e *entry, ok bool) {
	e.phase, e.let = routed, e.let || ok
	d.do(Permit{e.ask.ID, e.attempt, ok})
}

// confirmed takes in whether a claim is still this one's.
func (d *Desk) confirmed(e *entry, s Stored) {
	switch {
	case s.Result == OK && s.Record != nil && s.Version == e.version:
		if e.sure = e.begun + d.cfg.Window; d.now > e.sure {
			e.phase = routed // it took too long, or this gateway stood still
			d.sending(Sending{ID: e.ask.ID, Attempt: e.attempt, By: e.asksBy})
			return
		}
		d.permit(e, true)
	case s.Result == OK:
		e.barred = true
		d.note(e, Barred)
		if s.Record != nil {
			e.version = s.Version
		}
		d.permit(e, false)
	default:
		d.permit(e, false) // a later attempt may ask again
	}
}

// told takes in routing's answer.
func (d *Desk) told(e *entry, t Told) {
	if e.phase == confirming {
		e.call = 0
		d.permit(e, false)
	}
	switch t.Kind {
	case Served:
		if !e.ask.Policy.Safe {
			d.reply(e, Served, nil)
		}
		d.settle(e, Answered, t.Value, t.Kept)
	case Refused:
		d.note(e, Released)
		d.reply(e, Refused, nil)
		d.settle(e, Unsent, nil, false)
	case Failed:
		d.reply(e, Failed, nil)
		if !e.let { // none of its attempts was let go out, whatever routing knows
			d.note(e, Released)
			d.settle(e, Unsent, nil, false)
			return
		}
		d.settle(e, Doubtful, nil, false)
	}
}

// settle says in the store what became of a booking.
func (d *Desk) settle(e *entry, state State, value []byte, kept bool) {
	e.phase, e.barred = settling, true
	e.record.State, e.record.Value, e.record.Kept = state, value, kept
	if e.record.Owner != d.cfg.Name || e.record.Life != d.cfg.Life {
		e.record.By = d.cfg.Name
	}
	if e.until = d.now + d.cfg.Keep; !e.answered {
		e.until = max(e.ask.By, d.now)
	}
	d.put(e, e.until)
}

// settled goes on until the store has it, or has something that says as much.
func (d *Desk) settled(e *entry, s Stored) {
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
		e.again = d.now + d.cfg.Poll
		return
	}
	if s.Result != OK {
		e.again = d.now + d.cfg.Poll
		return
	}
	e.phase = settling
	if s.Record == nil {
		if s.Lost || e.record.State != Unsent {
			d.closed(e) // it has ended, or is lost: nothing that is said now is of use
			return
		}
		e.version = 0 // the claim has not come into force, and must not any more
		d.put(e, e.until)
		return
	}
	if !mayFollow(&e.record, s.Record) {
		d.closed(e)
		return
	}
	e.version = s.Version
	d.put(e, e.until)
}

// mayFollow tells whether what this gateway knows is to take the place of what the store has. Only the claim's own owner says
// that it was never sent; an answer takes the place of a doubt, whoever has it; and no later claim is touched.
func mayFollow(mine, there *Record) bool {
	same := there.Owner == mine.Owner && there.Life == mine.Life && there.ID == mine.ID && there.Attempt == mine.Attempt
	if !same {
		return false
	}
	switch there.State {
	case Open:
		return true
	case Doubtful:
		return mine.State != Doubtful
	}
	return false
}

// closed ends an entry whose record is as it should be.
func (d *Desk) closed(e *entry) {
	d.answerAs(e)
	e.phase = over
}
