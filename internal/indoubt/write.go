package indoubt

import "marblespan/internal/clock"

// write is one request for a write that is in flight at this gateway.
type write struct {
	request    RequestReceived
	receivedAt clock.Micros
	phase      phase
	client     clientState
	call       pendingCall
	intent     Intent // as last read, or as it is to be stored
	version    uint64 // of the stored intent, as last known; 0: there is none
	sending    sending
	takeover   takeover
	retryAt    clock.Micros // awaitingOwner, storingOutcome, rereadingIntent: when to call the store again
	// outcomeDeadline is when storing the outcome is given up; while the client waits for it, when the client gets its answer.
	outcomeDeadline clock.Micros
	followed        uint64 // followingWrite: the ID of the request that it follows
}

// phase is what a write waits for.
type phase uint8

const (
	claiming        phase = iota // the claim is being stored
	readingIntent                // the stored intent is being read
	awaitingOwner                // another gateway owns the intent, and may still store its outcome
	takingOver                   // another gateway's claim is being taken over
	lookingUp                    // a lookup is asked whether the write ran
	routed                       // claimed, and in routing
	confirmingClaim              // in routing, and the claim is being read before an attempt is permitted
	storingOutcome               // the outcome is being stored
	rereadingIntent              // storing the outcome met another version, which is being read
	followingWrite               // this gateway has the same write in flight for another request
	finished                     // to be forgotten at the end of this event
)

// phaseNames are part of the answers on the control socket.
var phaseNames = [finished]string{
	"claiming", "reading", "waiting", "taking_over", "looking", "under_way", "confirming", "settling", "settling", "following",
}

// clientState tells whether a client still waits for its final answer.
type clientState uint8

const (
	clientWaiting clientState = iota
	clientAnswered
	clientCanceled
)

// pendingCall is the store call that a write waits for.
type pendingCall struct {
	id        uint64 // 0: none
	startedAt clock.Micros
}

// sending is what a claimed write may do in routing.
type sending struct {
	state           sendState
	validUntil      clock.Micros // until then an attempt may be permitted without confirming the claim
	attempt         uint64       // confirmingClaim: the attempt that waits for its permission
	attemptDeadline clock.Micros // confirmingClaim: until when it waits
}

// sendState tells whether an attempt was permitted, and whether a further one may be.
type sendState uint8

const (
	notPermitted      sendState = iota // none was permitted yet: the write has not run
	permittedOnce                      // at least one was permitted: the write may have run
	fencedUnsent                       // none was permitted, and none will be
	fencedAfterPermit                  // one was permitted, and no further one will be
)

func (s sendState) fenced() bool { return s == fencedUnsent || s == fencedAfterPermit }

// mayHaveRun tells whether an attempt was permitted.
func (s sendState) mayHaveRun() bool { return s == permittedOnce || s == fencedAfterPermit }

// permit is the state after an attempt was permitted.
func (s sendState) permit() sendState {
	if s.fenced() {
		return fencedAfterPermit
	}
	return permittedOnce
}

// fence is the state after which no attempt is permitted.
func (s sendState) fence() sendState {
	if s.mayHaveRun() {
		return fencedAfterPermit
	}
	return fencedUnsent
}

// takeover is how far the resolution of another gateway's intent is.
type takeover struct {
	ownerDeadline clock.Micros // from then on the owner cannot store an outcome any more
	reclaimed     bool         // the intent was gone, and was claimed anew; this is done once
	lookupStarted bool         // a lookup was asked while the owner may still store the outcome; this is done once
}

// mayBeRepeat tells whether the request may repeat an earlier one.
func (w *write) mayBeRepeat() bool { return w.request.Repeat || !w.request.Policy.RepeatsMarked }

// inRouting tells whether the write was given to routing and not answered.
func (w *write) inRouting() bool { return w.phase == routed || w.phase == confirmingClaim }

// notSentAnswer is the answer to a request of which nothing was sent. A marked repeat must not be told that nothing ran: the first
// request may have run.
func (w *write) notSentAnswer() AnswerKind {
	if w.request.Repeat {
		return Failed
	}
	return Rejected
}
