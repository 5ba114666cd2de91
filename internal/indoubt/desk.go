package indoubt

import (
	"slices"

	"marblespan/internal/clock"
)

// Desk is what one gateway knows of the bookings that it has in hand. Its zero value is not ready; New makes one.
type Resolver struct {
	cfg      Config
	now      clock.Micros
	nextCall uint64
	entries  []entry
	ended    []GatewayEnded // the latest life of each gateway that is known to be over
	out      []Action
}

// phase is where a booking stands here.
type phase uint8

const (
	claiming   phase = iota // a claim is asked for
	reading                 // what the store has is asked for
	waiting                 // another gateway has it, and may yet say what became of it
	taking                  // the claim of another one is taken over
	looking                 // a read is asked whether it ran
	routed                  // claimed and on its way
	confirming              // likewise, and asked whether the claim is still this one's
	settling                // what became of it is said in the store
	rereading               // likewise: the record was another one than expected, and is read again
	following               // this gateway has it for another request already
)

// entry is one booking that is in hand.
type entry struct {
	ask      RequestReceived
	came     clock.Micros
	phase    phase
	call     uint64       // under way; 0: none
	begun    clock.Micros // when that was asked for
	version  uint64       // of the record as last known
	record   Intent       // as last known, or as it is to be
	sure     clock.Micros // until when it may be sent without asking
	barred   bool         // it may not be sent any more
	let      bool         // it was let go out once
	attempt  uint64       // that waits for its permission
	asksBy   clock.Micros // until when that waits
	again    clock.Micros // when to look again
	late     clock.Micros // from then on the record's owner cannot settle it any more
	until    clock.Micros // of settling
	after    uint64       // the request that it follows
	answered bool         // its client has its final answer, or is gone
	retaken  bool         // a record that was gone was claimed anew already
	peeked   bool         // a read was asked while its owner may yet say what became of it
}

// New makes a desk.
func New(cfg Config) *Resolver { return &Resolver{cfg: cfg} }

// Clone is the same desk again.
func (d *Resolver) Clone() *Resolver {
	c := *d
	c.entries, c.ended, c.out = slices.Clone(d.entries), slices.Clone(d.ended), nil
	return &c
}

// Next is when a Tick is due; false: never, as it stands.
func (d *Resolver) Next() (at clock.Micros, ok bool) {
	for i := range d.entries {
		e := &d.entries[i]
		due, any := e.due()
		if any && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// due is when an entry wants to be looked at.
func (e *entry) due() (clock.Micros, bool) {
	switch e.phase {
	case waiting:
		return min(e.again, e.ask.Deadline), true
	case settling, rereading:
		if e.call == 0 {
			return min(e.again, e.until), true
		}
		return 0, false
	case following:
		return e.ask.Deadline, true
	case confirming:
		return e.asksBy, true
	case claiming, reading, taking, looking:
		return e.ask.Deadline, !e.answered // whatever the store does, its client has an answer in time
	}
	return 0, false
}

// Handle takes in one event and returns what is to be done.
func (d *Resolver) Handle(now clock.Micros, ev Event) []Action {
	d.now, d.out = max(d.now, now), nil
	switch ev := ev.(type) {
	case RequestReceived:
		d.asked(ev)
	case StoreReplied:
		if i := slices.IndexFunc(d.entries, func(e entry) bool { return e.call == ev.Call && ev.Call != 0 }); i >= 0 {
			e := &d.entries[i]
			e.call = 0
			d.stored(e, ev)
		}
	case PermissionRequested:
		d.sending(ev)
	case RoutingAnswered:
		if e := d.find(ev.ID); e != nil && (e.phase == routed || e.phase == confirming) {
			d.told(e, ev)
		}
	case GatewayEnded:
		d.gatewayEnded(ev)
	case LookupAnswered:
		if e := d.find(ev.ID); e != nil && e.phase == looking {
			d.looked(e, ev)
		}
	case RequestCanceled:
		d.gone(ev.ID)
	case ShutdownStarted:
		for i := range d.entries {
			if e := &d.entries[i]; e.phase != routed && e.phase != confirming && e.phase != over {
				d.outOfTime(e)
			}
		}
	case Tick:
	}
	d.expire()
	d.follow()
	d.entries = slices.DeleteFunc(d.entries, func(e entry) bool {
		if e.phase == over {
			d.do(Finished{e.ask.ID})
		}
		return e.phase == over
	})
	out := d.out
	d.out = nil
	return out
}

// over marks an entry that is done with.
const over phase = 255

func (d *Resolver) find(id uint64) *entry {
	if i := slices.IndexFunc(d.entries, func(e entry) bool { return e.ask.ID == id }); i >= 0 {
		return &d.entries[i]
	}
	return nil
}

func (d *Resolver) do(a Action) { d.out = append(d.out, a) }

func (d *Resolver) note(e *entry, what Transition) {
	d.do(LogTransition{Transition: what, Key: e.ask.Key, RequestID: e.ask.RequestID, Intent: e.record})
}

// reply gives the final answer, once.
func (d *Resolver) reply(e *entry, kind AnswerKind, value []byte) {
	if !e.answered {
		e.answered = true
		d.do(Reply{ID: e.ask.ID, Kind: kind, Value: value})
	}
}

// finish replies and is done with an entry of which nothing has to be said in the store.
func (d *Resolver) finish(e *entry, kind AnswerKind, value []byte) {
	d.reply(e, kind, value)
	e.phase = over
}

func (d *Resolver) newCall(e *entry) uint64 {
	d.nextCall++
	e.call, e.begun = d.nextCall, d.now
	return e.call
}

func (d *Resolver) put(e *entry, by clock.Micros) {
	d.do(Put{Call: d.newCall(e), Key: e.ask.Key, Version: e.version, Intent: e.record, Retention: e.ask.Policy.Retention, Deadline: by})
}

func (d *Resolver) get(e *entry, by clock.Micros) {
	d.do(Get{Call: d.newCall(e), Key: e.ask.Key, Deadline: by})
}

// asked takes in a booking.
func (d *Resolver) asked(a RequestReceived) {
	d.entries = append(d.entries, entry{ask: a, came: d.now})
	e := &d.entries[len(d.entries)-1]
	inHand := 0
	for i := range d.entries {
		if d.entries[i].ask.Class == a.Class {
			inHand++
		}
	}
	if inHand > a.Policy.MaxInFlight {
		d.note(e, TooManyInFlight)
		d.finish(e, d.unsent(e), nil)
		return
	}
	for i := range d.entries[:len(d.entries)-1] {
		if o := &d.entries[i]; o.ask.Key == a.Key && o.phase != over && o.phase != following {
			// Two at once are one booking, marked or not: what runs beside it could be it.
			e.phase, e.after = following, o.ask.ID
			d.note(e, AwaitingOwner)
			return
		}
	}
	d.claim(e, 0, 0)
}

// unsent is the answer to a request of which nothing was sent. One that is marked as asked again must not hear that nothing ran:
// the first one may have.
func (d *Resolver) unsent(e *entry) AnswerKind {
	if e.ask.Repeat {
		return Failed
	}
	return Rejected
}

// claim asks for a claim, over a record of a version.
func (d *Resolver) claim(e *entry, version uint64, attempt uint32) {
	e.phase, e.version = claiming, version
	e.record = Intent{
		State: Open, Owner: d.cfg.Gateway, Incarnation: d.cfg.Incarnation, RequestID: e.ask.RequestID, Class: e.ask.Class, Group: e.ask.Group, Server: e.ask.Server,
		ClaimCount: attempt + 1, TimeLeft: max(e.ask.Deadline-d.now, 0),
	}
	d.put(e, e.ask.Deadline)
}

// stored takes in what came of an entry's call.
func (d *Resolver) stored(e *entry, s StoreReplied) {
	switch e.phase {
	case claiming:
		d.claimStored(e, s)
	case reading:
		d.read(e, s)
	case waiting:
		if s.Result != OK { // asked again in a while
			e.again = d.now + d.cfg.PollInterval
			return
		}
		d.read(e, s)
	case taking:
		d.taken(e, s)
	case confirming:
		d.confirmed(e, s)
	case settling, rereading:
		d.settled(e, s)
	}
}

// mayRepeat tells whether a request may be one that is asked again.
func (e *entry) mayRepeat() bool { return e.ask.Repeat || !e.ask.Policy.RepeatsMarked }

func (d *Resolver) claimStored(e *entry, s StoreReplied) {
	switch s.Result {
	case OK:
		e.version = s.Version
		switch {
		case s.PossiblyLost && e.record.ClaimCount == 1 && (e.mayRepeat() || s.SinceLoss <= d.now-e.came):
			// It may have been claimed before, in what was lost: by one that asked earlier, or by one that asked again while
			// this one waited. Whoever came after the loss and is no repeat has no such rival.
			d.note(e, RepliedInDoubt)
			if e.mayRepeat() {
				d.reply(e, Failed, nil)
			}
			d.reply(e, Rejected, nil) // this one was not sent
			d.settle(e, InDoubt, nil, false)
		case e.answered || d.now >= e.ask.Deadline: // nobody waits for it
			d.note(e, Released)
			d.reply(e, d.unsent(e), nil)
			d.settle(e, Unsent, nil, false)
		default:
			e.phase, e.sure = routed, e.begun+d.cfg.SendWindow
			d.note(e, Claimed)
			d.do(Route{e.ask.ID})
		}
	case Conflict:
		e.phase = reading
		d.get(e, e.ask.Deadline)
	case NotApplied:
		d.note(e, ClaimFailed)
		d.finish(e, d.unsent(e), nil)
	case Unknown: // the claim may come into force yet, with nobody to settle it
		d.note(e, ClaimFailed)
		d.reply(e, d.unsent(e), nil)
		d.settle(e, Unsent, nil, false)
	}
}

// read goes on from what the store has of a booking.
func (d *Resolver) read(e *entry, s StoreReplied) {
	if s.Result != OK {
		// There is a record, and it cannot be read.
		d.note(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	if s.Intent == nil {
		switch {
		case s.PossiblyLost && e.mayRepeat(), e.retaken:
			d.note(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		default: // it has ended meanwhile
			e.retaken = true
			d.claim(e, 0, 0)
		}
		return
	}
	first := e.version != s.Version || e.record.State != s.Intent.State
	e.version, e.record = s.Version, *s.Intent
	switch e.record.State {
	case Answered:
		switch {
		case !e.mayRepeat() && s.Age > d.now-e.came:
			// Another booking of the same words, later. One that was answered while this request was here may be its own: its
			// client may have asked again, and have been served, before the claim of the first came through.
			d.claim(e, e.version, e.record.ClaimCount)
		case e.record.ValueComplete:
			d.note(e, AnswerKnown)
			d.finish(e, Served, e.record.Value)
		default:
			d.note(e, RepliedInDoubt)
			d.finish(e, Failed, nil)
		}
	case Unsent:
		d.claim(e, e.version, e.record.ClaimCount)
	case Open:
		if first {
			e.late = d.now + e.record.TimeLeft + d.cfg.OwnerGrace
		}
		d.wait(e)
	default:
		d.look(e)
	}
}

// ownerOver tells whether the owner of a claim is known to send nothing any more, but for what it may have handed to its machine.
func (d *Resolver) ownerOver(r *Intent) bool {
	if r.Owner == d.cfg.Gateway {
		return r.Incarnation != d.cfg.Incarnation // a life of this gateway's own that is over
	}
	return slices.ContainsFunc(d.ended, func(x GatewayEnded) bool { return x.Gateway == r.Owner && r.Incarnation <= x.Incarnation })
}

// wait leaves a claim to its owner, for as long as that may say what became of it.
func (d *Resolver) wait(e *entry) {
	if d.ownerOver(&e.record) || d.now >= e.late {
		d.take(e)
		return
	}
	if e.ask.Policy.HasLookup && !e.peeked && !e.answered && d.now < e.ask.Deadline { // its owner may be gone, and not be known to be for a while
		e.peeked = true
		e.phase = looking
		d.do(LookUp{ID: e.ask.ID, Key: e.ask.Key, Deadline: e.ask.Deadline})
		return
	}
	if e.phase != waiting {
		e.phase = waiting
		d.note(e, AwaitingOwner)
	}
	e.again = min(d.now+d.cfg.PollInterval, e.late)
}

// take settles another one's claim: from then on its owner finds that it is its own no more, and does not send.
func (d *Resolver) take(e *entry) {
	e.phase = taking
	e.record.State, e.record.SettledBy = InDoubt, d.cfg.Gateway
	d.put(e, e.ask.Deadline)
}

func (d *Resolver) taken(e *entry, s StoreReplied) {
	switch s.Result {
	case OK:
		e.version = s.Version
		d.note(e, TakenOver)
		d.look(e)
	case Conflict:
		e.phase = reading
		d.get(e, e.ask.Deadline)
	default:
		d.note(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
	}
}

// look asks a read whether a booking that is in doubt has run.
func (d *Resolver) look(e *entry) {
	if !e.ask.Policy.HasLookup || d.now >= e.ask.Deadline || e.answered {
		d.note(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	e.phase = looking
	d.do(LookUp{ID: e.ask.ID, Key: e.ask.Key, Deadline: e.ask.Deadline})
}

// looked takes in what a read has shown. That it has not run yet says nothing: its bytes may be on their way.
func (d *Resolver) looked(e *entry, l LookupAnswered) {
	switch {
	case !l.Found && e.record.State == Open:
		d.wait(e)
		return
	case !l.Found:
		d.note(e, RepliedInDoubt)
		d.finish(e, Failed, nil)
		return
	}
	d.note(e, FoundByLookup)
	d.reply(e, Served, l.Value)
	d.settle(e, Answered, l.Value, true)
}
