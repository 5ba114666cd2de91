package indoubt

import "slices"

// This file is what ends from outside: other gateways, clients that leave, and time.

// gatewayEnded remembers which lives are over, and has what waits for them go on.
func (d *Desk) gatewayEnded(x Ended) {
	i := slices.IndexFunc(d.ended, func(y Ended) bool { return y.Owner == x.Owner })
	if i < 0 {
		d.ended = append(d.ended, x)
	} else {
		d.ended[i].Life = max(d.ended[i].Life, x.Life)
	}
	for i := range d.entries {
		if e := &d.entries[i]; e.phase == waiting && e.call == 0 && d.ownerOver(&e.record) {
			d.take(e)
		}
	}
}

// gone lets a client go. What it has begun is brought to an end: a booking that was let go out is still waited for, so that
// whoever asks again has its answer; any other one goes out no more.
func (d *Desk) gone(id uint64) {
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
func (d *Desk) expire() {
	for i := range d.entries {
		e := &d.entries[i]
		at, any := e.due()
		if !any || at > d.now {
			continue
		}
		switch e.phase {
		case waiting:
			switch {
			case d.now >= e.ask.By:
				d.note(e, LeftInDoubt)
				d.finish(e, Failed, nil)
			case e.call != 0:
				e.again = d.now + d.cfg.Poll
			case d.now >= e.late:
				d.take(e)
			default:
				e.again = d.now + d.cfg.Poll
				d.get(e, e.ask.By)
			}
		case following:
			d.note(e, LeftInDoubt)
			d.finish(e, Failed, nil)
		case claiming, reading, taking, looking:
			d.outOfTime(e)
		case confirming:
			e.call = 0
			d.permit(e, false)
		case settling, rereading:
			switch {
			case d.now >= e.until && !e.answered: // it has its answer, kept or not
				e.until = d.now + d.cfg.Keep
				d.answerAs(e)
				fallthrough
			case d.now < e.until:
				if e.again = d.now + d.cfg.Poll; e.phase == settling {
					d.put(e, e.until)
				} else {
					d.get(e, e.until)
				}
			default:
				d.note(e, Unsettled)
				d.closed(e)
			}
		}
	}
}

// outOfTime gives a client its final answer by what is known now. What is asked of the store goes on.
func (d *Desk) outOfTime(e *entry) {
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
func (d *Desk) answerAs(e *entry) {
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
func (d *Desk) follow() {
	for i := range d.entries {
		e := &d.entries[i]
		if e.phase != following {
			continue
		}
		o := d.find(e.after)
		switch {
		case o == nil || o.phase == over:
			d.claim(e, 0, 0) // the store knows
		case o.answered && o.phase == settling && o.record.State == Answered && o.record.Kept:
			d.note(e, Remembered)
			d.finish(e, Served, o.record.Value)
		}
	}
}
