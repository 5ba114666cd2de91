package indoubt

import (
	"slices"

	"marblespan/internal/clock"
)

// Desk is what one gateway knows of the bookings that it has in hand. Its zero value is not ready; New makes one.
type Resolver struct {
	cfg           Config
	now           clock.Micros
	lastCall      uint64
	writes        []write
	endedGateways []GatewayEnded // the latest life of each gateway that is known to be over
	actions       []Action
}

// phase is where a booking stands here.
type phase uint8

const (
	claiming        phase = iota // a claim is asked for
	readingIntent                // what the store has is asked for
	awaitingOwner                // another gateway has it, and may yet say what became of it
	takingOver                   // the claim of another one is taken over
	lookingUp                    // a read is asked whether it ran
	routed                       // claimed and on its way
	confirmingClaim              // likewise, and asked whether the claim is still this one's
	storingOutcome               // what became of it is said in the store
	rereadingIntent              // likewise: the record was another one than expected, and is read again
	followingWrite               // this gateway has it for another request already
)

// entry is one booking that is in hand.
type write struct {
	request    RequestReceived
	receivedAt clock.Micros
	phase      phase
	call       uint64       // under way; 0: none
	begun      clock.Micros // when that was asked for
	version    uint64       // of the record as last known
	intent     Intent       // as last known, or as it is to be
	sure       clock.Micros // until when it may be sent without asking
	barred     bool         // it may not be sent any more
	let        bool         // it was let go out once
	attempt    uint64       // that waits for its permission
	asksBy     clock.Micros // until when that waits
	again      clock.Micros // when to look again
	late       clock.Micros // from then on the record's owner cannot settle it any more
	until      clock.Micros // of settling
	after      uint64       // the request that it follows
	answered   bool         // its client has its final answer, or is gone
	retaken    bool         // a record that was gone was claimed anew already
	peeked     bool         // a read was asked while its owner may yet say what became of it
}

// New makes a desk.
func New(cfg Config) *Resolver { return &Resolver{cfg: cfg} }

// Clone is the same desk again.
func (d *Resolver) Clone() *Resolver {
	c := *d
	c.writes, c.endedGateways, c.actions = slices.Clone(d.writes), slices.Clone(d.endedGateways), nil
	return &c
}

// Next is when a Tick is due; false: never, as it stands.
func (d *Resolver) Next() (at clock.Micros, ok bool) {
	for i := range d.writes {
		e := &d.writes[i]
		due, any := e.due()
		if any && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// due is when an entry wants to be looked at.
func (e *write) due() (clock.Micros, bool) {
	switch e.phase {
	case awaitingOwner:
		return min(e.again, e.request.Deadline), true
	case storingOutcome, rereadingIntent:
		if e.call == 0 {
			return min(e.again, e.until), true
		}
		return 0, false
	case followingWrite:
		return e.request.Deadline, true
	case confirmingClaim:
		return e.asksBy, true
	case claiming, readingIntent, takingOver, lookingUp:
		return e.request.Deadline, !e.answered // whatever the store does, its client has an answer in time
	}
	return 0, false
}

// Handle takes in one event and returns what is to be done.
func (d *Resolver) Handle(now clock.Micros, ev Event) []Action {
	d.now, d.actions = max(d.now, now), nil
	switch ev := ev.(type) {
	case RequestReceived:
		d.requestReceived(ev)
	case StoreReplied:
		if i := slices.IndexFunc(d.writes, func(e write) bool { return e.call == ev.Call && ev.Call != 0 }); i >= 0 {
			e := &d.writes[i]
			e.call = 0
			d.storeReplied(e, ev)
		}
	case PermissionRequested:
		d.permissionRequested(ev)
	case RoutingAnswered:
		if e := d.find(ev.ID); e != nil && (e.phase == routed || e.phase == confirmingClaim) {
			d.routingAnswered(e, ev)
		}
	case GatewayEnded:
		d.gatewayEnded(ev)
	case LookupAnswered:
		if e := d.find(ev.ID); e != nil && e.phase == lookingUp {
			d.lookupAnswered(e, ev)
		}
	case RequestCanceled:
		d.requestCanceled(ev.ID)
	case ShutdownStarted:
		for i := range d.writes {
			if e := &d.writes[i]; e.phase != routed && e.phase != confirmingClaim && e.phase != finished {
				d.replyAtDeadline(e)
			}
		}
	case Tick:
	}
	d.handleDue()
	d.resumeFollowers()
	d.writes = slices.DeleteFunc(d.writes, func(e write) bool {
		if e.phase == finished {
			d.emit(Finished{e.request.ID})
		}
		return e.phase == finished
	})
	out := d.actions
	d.actions = nil
	return out
}

// over marks an entry that is done with.
const finished phase = 255

func (d *Resolver) find(id uint64) *write {
	if i := slices.IndexFunc(d.writes, func(e write) bool { return e.request.ID == id }); i >= 0 {
		return &d.writes[i]
	}
	return nil
}

func (d *Resolver) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Resolver) logTransition(e *write, what Transition) {
	d.emit(LogTransition{Transition: what, Key: e.request.Key, RequestID: e.request.RequestID, Intent: e.intent})
}

// reply gives the final answer, once.
func (d *Resolver) reply(e *write, kind AnswerKind, value []byte) {
	if !e.answered {
		e.answered = true
		d.emit(Reply{ID: e.request.ID, Kind: kind, Value: value})
	}
}

// finish replies and is done with an entry of which nothing has to be said in the store.
func (d *Resolver) finish(e *write, kind AnswerKind, value []byte) {
	d.reply(e, kind, value)
	e.phase = finished
}

func (d *Resolver) newCall(e *write) uint64 {
	d.lastCall++
	e.call, e.begun = d.lastCall, d.now
	return e.call
}

func (d *Resolver) put(e *write, by clock.Micros) {
	d.emit(Put{Call: d.newCall(e), Key: e.request.Key, Version: e.version, Intent: e.intent, Retention: e.request.Policy.Retention, Deadline: by})
}

func (d *Resolver) get(e *write, by clock.Micros) {
	d.emit(Get{Call: d.newCall(e), Key: e.request.Key, Deadline: by})
}

// asked takes in a booking.
func (d *Resolver) requestReceived(a RequestReceived) {
	d.writes = append(d.writes, write{request: a, receivedAt: d.now})
	e := &d.writes[len(d.writes)-1]
	inHand := 0
	for i := range d.writes {
		if d.writes[i].request.Class == a.Class {
			inHand++
		}
	}
	if inHand > a.Policy.MaxInFlight {
		d.logTransition(e, TooManyInFlight)
		d.finish(e, d.notSentAnswer(e), nil)
		return
	}
	for i := range d.writes[:len(d.writes)-1] {
		if o := &d.writes[i]; o.request.Key == a.Key && o.phase != finished && o.phase != followingWrite {
			// Two at once are one booking, marked or not: what runs beside it could be it.
			e.phase, e.after = followingWrite, o.request.ID
			d.logTransition(e, AwaitingOwner)
			return
		}
	}
	d.claim(e, 0, 0)
}

// unsent is the answer to a request of which nothing was sent. One that is marked as asked again must not hear that nothing ran:
// the first one may have.
func (d *Resolver) notSentAnswer(e *write) AnswerKind {
	if e.request.Repeat {
		return Failed
	}
	return Rejected
}

// claim asks for a claim, over a record of a version.
func (d *Resolver) claim(e *write, version uint64, attempt uint32) {
	e.phase, e.version = claiming, version
	e.intent = Intent{
		State: Open, Owner: d.cfg.Gateway, Incarnation: d.cfg.Incarnation, RequestID: e.request.RequestID, Class: e.request.Class, Group: e.request.Group, Server: e.request.Server,
		ClaimCount: attempt + 1, TimeLeft: max(e.request.Deadline-d.now, 0),
	}
	d.put(e, e.request.Deadline)
}

// stored takes in what came of an entry's call.
func (d *Resolver) storeReplied(e *write, s StoreReplied) {
	switch e.phase {
	case claiming:
		d.claimStored(e, s)
	case readingIntent:
		d.intentRead(e, s)
	case awaitingOwner:
		if s.Result != OK { // asked again in a while
			e.again = d.now + d.cfg.PollInterval
			return
		}
		d.intentRead(e, s)
	case takingOver:
		d.takeoverStored(e, s)
	case confirmingClaim:
		d.claimConfirmed(e, s)
	case storingOutcome, rereadingIntent:
		d.outcomeStored(e, s)
	}
}

// mayRepeat tells whether a request may be one that is asked again.
func (e *write) mayBeRepeat() bool { return e.request.Repeat || !e.request.Policy.RepeatsMarked }

func (d *Resolver) claimStored(e *write, s StoreReplied) {
	switch s.Result {
	case OK:
		e.version = s.Version
		switch {
		case s.PossiblyLost && e.intent.ClaimCount == 1 && (e.mayBeRepeat() || s.SinceLoss <= d.now-e.receivedAt):
			// It may have been claimed before, in what was lost: by one that asked earlier, or by one that asked again while
			// this one waited. Whoever came after the loss and is no repeat has no such rival.
			d.logTransition(e, RepliedInDoubt)
			if e.mayBeRepeat() {
				d.reply(e, Failed, nil)
			}
			d.reply(e, Rejected, nil) // this one was not sent
			d.storeOutcome(e, InDoubt, nil, false)
		case e.answered || d.now >= e.request.Deadline: // nobody waits for it
			d.logTransition(e, Released)
			d.reply(e, d.notSentAnswer(e), nil)
			d.storeOutcome(e, Unsent, nil, false)
		default:
			e.phase, e.sure = routed, e.begun+d.cfg.SendWindow
			d.logTransition(e, Claimed)
			d.emit(Route{e.request.ID})
		}
	case Conflict:
		e.phase = readingIntent
		d.get(e, e.request.Deadline)
	case NotApplied:
		d.logTransition(e, ClaimFailed)
		d.finish(e, d.notSentAnswer(e), nil)
	case Unknown: // the claim may come into force yet, with nobody to settle it
		d.logTransition(e, ClaimFailed)
		d.reply(e, d.notSentAnswer(e), nil)
		d.storeOutcome(e, Unsent, nil, false)
	}
}

// read goes on from what the store has of a booking.
func (d *Resolver) intentRead(e *write, s StoreReplied) {
	if s.Result != OK {
		// There is a record, and it cannot be read.
		d.logTransition(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	if s.Intent == nil {
		switch {
		case s.PossiblyLost && e.mayBeRepeat(), e.retaken:
			d.logTransition(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		default: // it has ended meanwhile
			e.retaken = true
			d.claim(e, 0, 0)
		}
		return
	}
	first := e.version != s.Version || e.intent.State != s.Intent.State
	e.version, e.intent = s.Version, *s.Intent
	switch e.intent.State {
	case Answered:
		switch {
		case !e.mayBeRepeat() && s.Age > d.now-e.receivedAt:
			// Another booking of the same words, later. One that was answered while this request was here may be its own: its
			// client may have asked again, and have been served, before the claim of the first came through.
			d.claim(e, e.version, e.intent.ClaimCount)
		case e.intent.ValueComplete:
			d.logTransition(e, AnswerKnown)
			d.finish(e, Served, e.intent.Value)
		default:
			d.logTransition(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		}
	case Unsent:
		d.claim(e, e.version, e.intent.ClaimCount)
	case Open:
		if first {
			e.late = d.now + e.intent.TimeLeft + d.cfg.OwnerGrace
		}
		d.awaitOwner(e)
	default:
		d.lookUp(e)
	}
}

// ownerOver tells whether the owner of a claim is known to send nothing any more, but for what it may have handed to its machine.
func (d *Resolver) ownerEnded(r *Intent) bool {
	if r.Owner == d.cfg.Gateway {
		return r.Incarnation != d.cfg.Incarnation // a life of this gateway's own that is over
	}
	return slices.ContainsFunc(d.endedGateways, func(x GatewayEnded) bool { return x.Gateway == r.Owner && r.Incarnation <= x.Incarnation })
}

// wait leaves a claim to its owner, for as long as that may say what became of it.
func (d *Resolver) awaitOwner(e *write) {
	if d.ownerEnded(&e.intent) || d.now >= e.late {
		d.takeOver(e)
		return
	}
	if e.request.Policy.HasLookup && !e.peeked && !e.answered && d.now < e.request.Deadline { // its owner may be gone, and not be known to be for a while
		e.peeked = true
		e.phase = lookingUp
		d.emit(LookUp{ID: e.request.ID, Key: e.request.Key, Deadline: e.request.Deadline})
		return
	}
	if e.phase != awaitingOwner {
		e.phase = awaitingOwner
		d.logTransition(e, AwaitingOwner)
	}
	e.again = min(d.now+d.cfg.PollInterval, e.late)
}

// take settles another one's claim: from then on its owner finds that it is its own no more, and does not send.
func (d *Resolver) takeOver(e *write) {
	e.phase = takingOver
	e.intent.State, e.intent.SettledBy = InDoubt, d.cfg.Gateway
	d.put(e, e.request.Deadline)
}

func (d *Resolver) takeoverStored(e *write, s StoreReplied) {
	switch s.Result {
	case OK:
		e.version = s.Version
		d.logTransition(e, TakenOver)
		d.lookUp(e)
	case Conflict:
		e.phase = readingIntent
		d.get(e, e.request.Deadline)
	default:
		d.logTransition(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
	}
}

// look asks a read whether a booking that is in doubt has run.
func (d *Resolver) lookUp(e *write) {
	if !e.request.Policy.HasLookup || d.now >= e.request.Deadline || e.answered {
		d.logTransition(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	e.phase = lookingUp
	d.emit(LookUp{ID: e.request.ID, Key: e.request.Key, Deadline: e.request.Deadline})
}

// looked takes in what a read has shown. That it has not run yet says nothing: its bytes may be on their way.
func (d *Resolver) lookupAnswered(e *write, l LookupAnswered) {
	switch {
	case !l.Found && e.intent.State == Open:
		d.awaitOwner(e)
		return
	case !l.Found:
		d.logTransition(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	d.logTransition(e, FoundByLookup)
	d.reply(e, Served, l.Value)
	d.storeOutcome(e, Answered, l.Value, true)
}
