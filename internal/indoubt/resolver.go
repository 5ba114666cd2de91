package indoubt

import (
	"slices"

	"marblespan/internal/clock"
)

// Resolver holds the writes that are in flight at one gateway and decides their next steps. Use New to create a Resolver; the zero
// value is not usable. A Resolver is not safe for concurrent use.
type Resolver struct {
	cfg           Config
	now           clock.Micros
	lastCall      uint64
	writes        writeTable
	endedGateways []GatewayEnded // for each gateway, the latest incarnation that is known to have ended
	actions       []Action       // the actions of the event that is being handled
}

// New returns a Resolver without writes.
func New(cfg Config) *Resolver { return &Resolver{cfg: cfg, writes: newWriteTable()} }

// Clone returns a copy that shares no mutable state with r.
func (r *Resolver) Clone() *Resolver {
	c := *r
	c.writes, c.endedGateways, c.actions = r.writes.clone(), slices.Clone(r.endedGateways), nil
	return &c
}

// Handle handles one event and returns the actions that follow from it.
func (r *Resolver) Handle(now clock.Micros, ev Event) []Action {
	r.now, r.actions = max(r.now, now), nil
	r.dispatch(ev)
	r.writes.update()
	r.handleDue()
	r.resumeFollowers()
	r.removeFinished()
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Resolver) dispatch(ev Event) {
	switch ev := ev.(type) {
	case RequestReceived:
		r.requestReceived(ev)
	case StoreReplied:
		r.storeReplied(ev)
	case PermissionRequested:
		r.permissionRequested(ev)
	case RoutingAnswered:
		if w := r.find(ev.ID); w != nil && w.inRouting() {
			r.routingAnswered(w, ev)
		}
	case GatewayEnded:
		r.gatewayEnded(ev)
	case LookupAnswered:
		if w := r.find(ev.ID); w != nil && w.phase == lookingUp {
			r.lookupAnswered(w, ev)
		}
	case RequestCanceled:
		r.requestCanceled(ev.ID)
	case ShutdownStarted:
		r.shutdownStarted()
	case Tick: // handleDue, which runs after every event, does the work
	}
}

// storeReplied passes the result of a store call to the function for the write's current phase.
func (r *Resolver) storeReplied(reply StoreReplied) {
	if reply.Call == 0 {
		return
	}
	w := r.writes.takeCall(reply.Call)
	if w == nil {
		return
	}
	switch w.phase {
	case claiming:
		r.claimStored(w, reply)
	case readingIntent:
		r.intentRead(w, reply)
	case awaitingOwner:
		r.intentPolled(w, reply)
	case takingOver:
		r.takeoverStored(w, reply)
	case confirmingClaim:
		r.claimConfirmed(w, reply)
	case storingOutcome:
		r.outcomeStored(w, reply)
	case rereadingIntent:
		r.intentReread(w, reply)
	}
}

func (r *Resolver) removeFinished() {
	for _, w := range r.writes.takeFinished() {
		r.emit(Finished{w.request.ID})
	}
}

func (r *Resolver) find(id uint64) *write { return r.writes.find(id) }

func (r *Resolver) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Resolver) logTransition(w *write, t Transition) {
	r.emit(LogTransition{Transition: t, Key: w.request.Key, RequestID: w.request.RequestID, Intent: w.intent})
}

// reply gives the client its final answer. It has no effect if the client has been answered or has canceled.
func (r *Resolver) reply(w *write, kind AnswerKind, value []byte) {
	if w.client == clientWaiting {
		w.client = clientAnswered
		r.emit(Reply{ID: w.request.ID, Kind: kind, Value: value})
	}
}

// finish replies with the given answer and finishes a write for which nothing has to be stored.
func (r *Resolver) finish(w *write, kind AnswerKind, value []byte) {
	r.reply(w, kind, value)
	w.phase = finished
}

// finishInDoubt replies that the write may have run, and finishes the write.
func (r *Resolver) finishInDoubt(w *write) {
	r.logTransition(w, RepliedInDoubt)
	r.finish(w, Failed, nil)
}

// put stores the write's intent, on condition that the stored intent has the version in w.version.
func (r *Resolver) put(w *write, deadline clock.Micros) {
	r.emit(Put{
		Call: r.newCall(w), Key: w.request.Key, Version: w.version, Intent: w.intent, Retention: w.request.Policy.Retention, Deadline: deadline,
	})
}

func (r *Resolver) get(w *write, deadline clock.Micros) {
	r.emit(Get{Call: r.newCall(w), Key: w.request.Key, Deadline: deadline})
}

// newCall returns the ID of a new store call, and records the call as the one whose reply the write waits for.
func (r *Resolver) newCall(w *write) uint64 {
	r.lastCall++
	r.writes.setCall(w, pendingCall{id: r.lastCall, startedAt: r.now})
	return w.call.id
}
