package indoubt

import "slices"

// This file is what ends from outside: other gateways, clients that leave, and time.

// gatewayEnded remembers which lives are over, and has what waits for them go on.
func (d *Resolver) gatewayEnded(x GatewayEnded) {
	i := slices.IndexFunc(d.ended, func(y GatewayEnded) bool { return y.Gateway == x.Gateway })
	if i < 0 {
		d.ended = append(d.ended, x)
	} else {
		d.ended[i].Incarnation = max(d.ended[i].Incarnation, x.Incarnation)
	}
	for i := range d.entries {
		if e := &d.entries[i]; e.phase == waiting && e.call == 0 && d.ownerOver(&e.record) {
			d.take(e)
		}
	}
}

// gone lets a client go. What it has begun is brought to an end: a booking that was let go out is still waited for, so that
// whoever asks again has its answer; any other one goes out no more.
func (d *Resolver) gone(id uint64) {
	e := d.find(id)
	if e == nil || e.answered {
		return
	}
	e.answered = true
	switch e.phase {
	case following, waiting, reading, looking:
		e.phase = over
	case routed, confirming:
		e.barred = !e.let
	}
}

// expire goes on with what is due.
func (d *Resolver) expire() {
	for i := range d.entries {
		e := &d.entries[i]
		at, any := e.due()
		if !any || at > d.now {
			continue
		}
		switch e.phase {
		case waiting:
			switch {
			case d.now >= e.ask.Deadline:
				d.note(e, RepliedInDoubt)
				d.finish(e, Failed, nil)
			case e.call != 0:
				e.again = d.now + d.cfg.PollInterval
			case d.now >= e.late:
				d.take(e)
			default:
				e.again = d.now + d.cfg.PollInterval
				d.get(e, e.ask.Deadline)
			}
		case following:
			d.note(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		case claiming, reading, taking, looking:
			d.outOfTime(e)
		case confirming:
			e.call = 0
			d.permit(e, false)
		case settling, rereading:
			switch {
			case d.now >= e.until && !e.answered: // it has its answer, kept or not
				e.until = d.now + d.cfg.OutcomeTimeout
				d.answerAs(e)
				fallthrough
			case d.now < e.until:
				if e.again = d.now + d.cfg.PollInterval; e.phase == settling {
					d.put(e, e.until)
				} else {
					d.get(e, e.until)
				}
			default:
				d.note(e, OutcomeNotStored)
				d.closed(e)
			}
		}
	}
}

// outOfTime gives a client its final answer by what is known now. What is asked of the store goes on.
func (d *Resolver) outOfTime(e *entry) {
	switch e.phase {
	case claiming: // nothing was sent, and nothing will be
		d.reply(e, d.unsent(e), nil)
	case settling, rereading:
		d.answerAs(e)
	default:
		d.reply(e, Failed, nil)
	}
}

// answerAs gives a client the answer that its booking has, whether it is kept or not.
func (d *Resolver) answerAs(e *entry) {
	switch e.record.State {
	case Answered:
		d.reply(e, Served, nil)
	case Unsent:
		d.reply(e, d.unsent(e), nil)
	default:
		d.reply(e, Failed, nil)
	}
}

// follow tells those that follow a booking of this gateway's what became of it, once its own client knows.
func (d *Resolver) follow() {
	for i := range d.entries {
		e := &d.entries[i]
		if e.phase != following {
			continue
		}
		o := d.find(e.after)
		switch {
		case o == nil || o.phase == over:
			d.claim(e, 0, 0) // the store knows
		case o.answered && o.phase == settling && o.record.State == Answered && o.record.ValueComplete:
			d.note(e, AnswerKnown)
			d.finish(e, Served, o.record.Value)
		}
	}
}
