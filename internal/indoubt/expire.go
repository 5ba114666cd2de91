package indoubt

import "slices"

// This file is what ends from outside: other gateways, clients that leave, and time.

// gatewayEnded remembers which lives are over, and has what waits for them go on.
func (d *Resolver) gatewayEnded(x GatewayEnded) {
	i := slices.IndexFunc(d.endedGateways, func(y GatewayEnded) bool { return y.Gateway == x.Gateway })
	if i < 0 {
		d.endedGateways = append(d.endedGateways, x)
	} else {
		d.endedGateways[i].Incarnation = max(d.endedGateways[i].Incarnation, x.Incarnation)
	}
	for i := range d.writes {
		if e := &d.writes[i]; e.phase == awaitingOwner && e.call == 0 && d.ownerEnded(&e.intent) {
			d.takeOver(e)
		}
	}
}

// gone lets a client go. What it has begun is brought to an end: a booking that was let go out is still waited for, so that
// whoever asks again has its answer; any other one goes out no more.
func (d *Resolver) requestCanceled(id uint64) {
	e := d.find(id)
	if e == nil || e.answered {
		return
	}
	e.answered = true
	switch e.phase {
	case followingWrite, awaitingOwner, readingIntent, lookingUp:
		e.phase = finished
	case routed, confirmingClaim:
		e.barred = !e.let
	}
}

// expire goes on with what is due.
func (d *Resolver) handleDue() {
	for i := range d.writes {
		e := &d.writes[i]
		at, any := e.due()
		if !any || at > d.now {
			continue
		}
		switch e.phase {
		case awaitingOwner:
			switch {
			case d.now >= e.request.Deadline:
				d.logTransition(e, RepliedInDoubt)
				d.finish(e, Failed, nil)
			case e.call != 0:
				e.again = d.now + d.cfg.PollInterval
			case d.now >= e.late:
				d.takeOver(e)
			default:
				e.again = d.now + d.cfg.PollInterval
				d.get(e, e.request.Deadline)
			}
		case followingWrite:
			d.logTransition(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		case claiming, readingIntent, takingOver, lookingUp:
			d.replyAtDeadline(e)
		case confirmingClaim:
			e.call = 0
			d.replyPermission(e, false)
		case storingOutcome, rereadingIntent:
			switch {
			case d.now >= e.until && !e.answered: // it has its answer, kept or not
				e.until = d.now + d.cfg.OutcomeTimeout
				d.replyByOutcome(e)
				fallthrough
			case d.now < e.until:
				if e.again = d.now + d.cfg.PollInterval; e.phase == storingOutcome {
					d.put(e, e.until)
				} else {
					d.get(e, e.until)
				}
			default:
				d.logTransition(e, OutcomeNotStored)
				d.complete(e)
			}
		}
	}
}

// outOfTime gives a client its final answer by what is known now. What is asked of the store goes on.
func (d *Resolver) replyAtDeadline(e *write) {
	switch e.phase {
	case claiming: // nothing was sent, and nothing will be
		d.reply(e, d.notSentAnswer(e), nil)
	case storingOutcome, rereadingIntent:
		d.replyByOutcome(e)
	default:
		d.reply(e, Failed, nil)
	}
}

// answerAs gives a client the answer that its booking has, whether it is kept or not.
func (d *Resolver) replyByOutcome(e *write) {
	switch e.intent.State {
	case Answered:
		d.reply(e, Served, nil)
	case Unsent:
		d.reply(e, d.notSentAnswer(e), nil)
	default:
		d.reply(e, Failed, nil)
	}
}

// follow tells those that follow a booking of this gateway's what became of it, once its own client knows.
func (d *Resolver) resumeFollowers() {
	for i := range d.writes {
		e := &d.writes[i]
		if e.phase != followingWrite {
			continue
		}
		o := d.find(e.after)
		switch {
		case o == nil || o.phase == finished:
			d.claim(e, 0, 0) // the store knows
		case o.answered && o.phase == storingOutcome && o.intent.State == Answered && o.intent.ValueComplete:
			d.logTransition(e, AnswerKnown)
			d.finish(e, Served, o.intent.Value)
		}
	}
}
